package wire

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// updateGolden rewrites the files under testdata/golden. A changed file means that the wire format has changed.
var updateGolden = flag.Bool("update", false, "write testdata/golden anew")

const goldenCluster = 0x1122334455667788

// goldenRecord has a distinct value in every field.
var goldenRecord = shard.JobRecord{
	ID:         "job-\xff",
	Class:      "interactive",
	Tenant:     "tenant-1",
	Origin:     "a#11",
	Slots:      1.5,
	Memory:     64.25,
	Timeout:    9.5,
	Age:        0.75,
	Order:      12,
	Retry:      true,
	StartsNow:  true,
	AtMostOnce: true,
	Admitted:   true,
	Granted:    true,
	Finished:   true,
	Attempts: []shard.Attempt{
		{Worker: "w1", Outcome: balance.ConnectionLost, MayHaveRun: true, Elapsed: 3.25, Started: true, RunningFor: 2.125, Report: []float64{0.5, 7}},
		{Worker: "w2", Elapsed: 1.25, Started: true, RunningFor: 0.625},
	},
}

// goldenClass has a distinct value in every field but MaxWait.
var goldenClass = balance.Class{
	Name:               "interactive",
	LatencyObjective:   1.5,
	ObjectiveStretch:   2.25,
	Deadline:           30,
	PriorityWeight:     3,
	LateWeightFraction: 0.125,
	Idempotence:        balance.IdempotentWithKey,
	DedupScope:         balance.ScopeCell,
	DedupWindow:        12,
	WorkerKind:         "large",
}

// recordWithClass returns goldenRecord as an origin reports it that reports classes.
func recordWithClass(class balance.Class) shard.JobRecord {
	r := goldenRecord
	r.Accepted = &class
	return r
}

func goldenChecksums() []shard.Checksum {
	sums := make([]shard.Checksum, shard.BucketCount)
	for i := range sums {
		sums[i] = shard.Checksum{Count: uint64(i + 1), Digest: 0xabcdef00 + uint64(i)}
	}
	return sums
}

// goldenMessages holds each type of message twice: with a distinct value in every field, and with every optional field
// empty.
var goldenMessages = map[string]shard.Message{
	"grant-send": shard.Grant{Shard: 7, Epoch: 3, Number: 9, Kind: shard.Send, Origin: "a#11", ID: "job-\xff", Attempt: 2, Worker: "w1", RetryAfter: 0.25},
	"grant-refuse": shard.Grant{Shard: 7, Epoch: 3, Number: 10, Kind: shard.Reject, Origin: "a#11", ID: "job-1",
		RetryAfter: 2.5},
	"grant-fail":   shard.Grant{Shard: 7, Epoch: 3, Number: 11, Kind: shard.Fail, Origin: "a#11", ID: "job-2", Attempt: 1},
	"grant-cancel": shard.Grant{Shard: 7, Epoch: 3, Number: 12, Kind: shard.Cancel, Origin: "a#11", ID: "job-3", Attempt: 4},
	"grant-empty":  shard.Grant{Epoch: 1, Kind: shard.Send, Origin: "a", ID: "j"},

	"tell": shard.JobUpdate{Shard: 7, Epoch: 3, Origin: "a#11", First: 4, SnapshotSize: 8,
		Records: []shard.JobRecord{goldenRecord, {ID: "job-2", Origin: "a#11", Finished: true}}},
	"tell-classes": shard.JobUpdate{Shard: 7, Epoch: 3, Origin: "a#11", First: 4, SnapshotSize: 8,
		Records: []shard.JobRecord{recordWithClass(goldenClass), goldenRecord, recordWithClass(balance.Class{Name: "batch"}), recordWithClass(goldenClass)}},
	"tell-max-wait": shard.JobUpdate{Shard: 7, Epoch: 3, Origin: "a#11", First: 4, SnapshotSize: 8,
		Records: []shard.JobRecord{recordWithClass(balance.Class{Name: "batch", MaxWait: 0.75})}},
	"tell-empty":    shard.JobUpdate{Epoch: 1, Origin: "a"},
	"ack":           shard.Ack{Shard: 7, Epoch: 3, Origin: "a#11", Next: 5},
	"ack-empty":     shard.Ack{Epoch: 1, Origin: "a"},
	"recall":        shard.Revoke{Shard: 7, Epoch: 3, Origin: "a#11", Through: 9},
	"recall-empty":  shard.Revoke{Epoch: 1, Origin: "a"},
	"settled":       shard.Decline{Shard: 7, Epoch: 3, Origin: "a#11", Number: 9, ID: "job-1", LastUpdate: 4},
	"settled-empty": shard.Decline{Epoch: 1, Origin: "a"},
	"piece": shard.Chunk{Shard: 7, Epoch: 3, TransferNumber: 2, Target: "b#12", Index: 1, Count: 4, Age: 0.25,
		Records:       []shard.JobRecord{goldenRecord},
		Tags:          []shard.TenantTags{{Tenant: "tenant-1", Local: -1.5, Global: 2.75}},
		Checksum:      shard.Checksum{Count: 2, Digest: 5},
		TotalChecksum: shard.Checksum{Count: 258, Digest: 6}},
	"piece-classes": shard.Chunk{Shard: 7, Epoch: 3, TransferNumber: 2, Target: "b#12", Count: 1, Records: []shard.JobRecord{recordWithClass(goldenClass)}},
	"piece-empty":   shard.Chunk{Epoch: 1, Target: "b", Count: 1},
	"took":          shard.ChunkAck{Shard: 7, Epoch: 3, TransferNumber: 2, Next: 4},
	"took-empty":    shard.ChunkAck{Epoch: 1},
	"off":           shard.Abort{Shard: 7, Epoch: 3, TransferNumber: 2, Target: "b#12"},
	"off-empty":     shard.Abort{Epoch: 1, Target: "b"},
	"dropped":       shard.Aborted{Shard: 7, Epoch: 3, TransferNumber: 2, Reason: "full"},
	"dropped-empty": shard.Aborted{Epoch: 1},
	"check":         shard.Digest{Shard: 7, Epoch: 3, Origin: "a#11", LastUpdate: 4, Checksums: goldenChecksums()},
	"check-empty":   shard.Digest{Epoch: 1, Origin: "a", Checksums: make([]shard.Checksum, shard.BucketCount)},
	"differs":       shard.DigestMismatch{Shard: 7, Epoch: 3, Origin: "a#11", Buckets: []int{0, 5, 63}},
	"differs-empty": shard.DigestMismatch{Epoch: 1, Origin: "a"},
	"have": shard.BucketContents{Shard: 7, Epoch: 3, Origin: "a#11", LastUpdate: 4, Bucket: 63, From: "job-1", To: "job-9",
		Jobs: []shard.JobStatus{{ID: "job-1", Digest: 77}, {ID: "job-2", Digest: 78}}},
	"have-empty": shard.BucketContents{Epoch: 1, Origin: "a"},
	"want":       shard.ResendRequest{Shard: 7, Epoch: 3, Origin: "a#11", IDs: []string{"job-1", "job-\xff"}},
	"want-empty": shard.ResendRequest{Epoch: 1, Origin: "a"},
}

func compareGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".bin")
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, raw) {
		t.Errorf("%s: encoded\n%x\nwant\n%x", name, encoded, raw)
	}
	return raw
}

// TestGoldenMessages checks the encoded bytes of each message against the golden files, because instances with other
// builds read and write the same format.
func TestGoldenMessages(t *testing.T) {
	for name, m := range goldenMessages {
		encoded, err := Encode(goldenCluster, m)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		raw := compareGolden(t, name, encoded)
		got, err := Decode(goldenCluster, raw)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: decoded\n%+v, %v\nwant\n%+v", name, got, err, m)
		}
	}
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.bin"))
	if err != nil || !*updateGolden && len(files) != len(goldenMessages)+2 { // plus the two of TestGoldenTransfer
		t.Errorf("got %d golden files for %d messages, want two more than messages: %v", len(files), len(goldenMessages), err)
	}
}

// TestGoldenTransfer checks the digests of a reconciliation and of a transfer against the golden files, because the two
// instances that compute them may run different builds.
func TestGoldenTransfer(t *testing.T) {
	l := shard.NewJobLog(7, "a#11")
	s := shard.NewOwner(7, shard.Limits{MaxJobs: 16})
	l.ObserveEpoch(3)
	if err := s.Open(3, nil); err != nil {
		t.Fatal(err)
	}
	for _, e := range []shard.JobRecord{
		{ID: "job-1", Class: "interactive", Tenant: "tenant-1", Slots: 1.5, Memory: 64.25, Timeout: 9.5, Age: 0.75, Retry: true},
		{ID: "job-2", Class: "batch", Tenant: "tenant-2", Slots: 2, Memory: 128, Timeout: 30, StartsNow: true, AtMostOnce: true},
		{ID: "job-\xff", Class: "batch", Tenant: "tenant-2", Timeout: 31},
	} {
		if err := l.Add(1, e); err != nil {
			t.Fatal(err)
		}
	}
	update := func(now float64) {
		t.Helper()
		m, ok := l.NextUpdate(now)
		if !ok {
			t.Fatal("NextUpdate has nothing to send")
		}
		_, ack, err := s.ApplyUpdate(now, m)
		if err != nil {
			t.Fatal(err)
		}
		l.Acknowledge(ack)
	}
	update(1)
	grant := func(now float64, id, worker string) {
		t.Helper()
		g, err := s.Grant(shard.JobKey{Origin: "a#11", ID: id}, shard.Decision{Kind: shard.Send, Worker: worker})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Accept(now, g); err != nil {
			t.Fatal(err)
		}
	}
	grant(1.5, "job-1", "w1")
	grant(1.5, "job-2", "w2")
	if err := l.MarkStarted(2, "job-1"); err != nil {
		t.Fatal(err)
	}
	if err := l.FinishAttempt(2.5, "job-1", shard.AttemptResult{Outcome: balance.Failed, MayHaveRun: true, Report: []float64{0.5, 7}}); err != nil {
		t.Fatal(err)
	}
	update(2.5)
	check, ok := l.Digest()
	if !ok {
		t.Fatal("Digest has nothing to compare, though all updates are acknowledged")
	}
	if d, differs := s.Compare(check); differs {
		t.Fatal(d)
	}
	out, err := s.BeginTransfer("b#12")
	if err != nil {
		t.Fatal(err)
	}
	if err := out.Freeze(3, []shard.TenantTags{{Tenant: "tenant-1", Local: -1.5, Global: 2.75}, {Tenant: "tenant-2", Local: 0.5}}, false); err != nil {
		t.Fatal(err)
	}
	chunks := out.Chunks(3.25, 8)
	if len(chunks) != 1 {
		t.Fatalf("got %d chunks, want 1", len(chunks))
	}
	for name, m := range map[string]shard.Message{"transfer-check": check, "transfer-piece": chunks[0]} {
		encoded, err := Encode(goldenCluster, m)
		if err != nil {
			t.Fatal(err)
		}
		raw := compareGolden(t, name, encoded)
		got, err := Decode(goldenCluster, raw)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: decoded\n%+v, %v\nwant\n%+v", name, got, err, m)
		}
		if p, ok := got.(shard.Chunk); ok {
			in := shard.NewImportTransfer(7, "b#12", 16)
			if _, aborted, err := in.AddChunk(4, p); err != nil || aborted != nil || !in.Staged() {
				t.Errorf("the chunk is rejected or the transfer not staged: aborted %v, error %v", aborted, err)
			}
		}
	}
}
