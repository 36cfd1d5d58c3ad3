package wire

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

var sampleRecord = shard.JobRecord{ID: "j\xff", Class: "c", Tenant: "t", Origin: "h#1", Slots: 1, Memory: 64, Timeout: 9.5, Age: 0.5, AtMostOnce: true, Admitted: true, Granted: true,
	Order: 9, Retry: true, StartsNow: true,
	Attempts: []shard.Attempt{{Worker: "w1", Outcome: balance.ConnectionLost, MayHaveRun: true, Elapsed: 3, Report: []float64{0, 2.5}}, {Worker: "w2", Elapsed: 1, Started: true, RunningFor: 0.5}}}

var sampleMessages = []shard.Message{
	shard.Grant{Shard: 7, Epoch: 3, Number: 9, Kind: shard.Send, Origin: "h#1", ID: "j", Attempt: 2, Worker: "w"},
	shard.Grant{Shard: 7, Epoch: 3, Number: 9, Kind: shard.Reject, Origin: "h#1", ID: "j", RetryAfter: 2.5},
	shard.JobUpdate{Shard: 7, Epoch: 3, Origin: "h#1", First: 4, SnapshotSize: 8, Records: []shard.JobRecord{sampleRecord, {ID: "g", Origin: "h#1", Finished: true}}},
	shard.JobUpdate{Shard: 7, Epoch: 3, Origin: "h#1", First: 1},
	shard.Ack{Shard: 7, Epoch: 3, Origin: "h#1", Next: 5},
	shard.Revoke{Shard: 7, Epoch: 3, Origin: "h#1", Through: 9},
	shard.Decline{Shard: 7, Epoch: 3, Origin: "h#1", Number: 9, ID: "j", LastUpdate: 4},
	shard.Chunk{Shard: 7, Epoch: 3, TransferNumber: 2, Target: "b#1", Index: 1, Count: 2, Age: 0.25, Records: []shard.JobRecord{sampleRecord},
		Tags: []shard.TenantTags{{Tenant: "t", Local: -1, Global: 2}}, Checksum: shard.Checksum{Count: 2, Digest: 5}, TotalChecksum: shard.Checksum{Count: 258, Digest: 6}},
	shard.ChunkAck{Shard: 7, Epoch: 3, TransferNumber: 2, Next: 2},
	shard.Abort{Shard: 7, Epoch: 3, TransferNumber: 2, Target: "b#1"},
	shard.Aborted{Shard: 7, Epoch: 3, TransferNumber: 2, Reason: "full"},
	shard.Digest{Shard: 7, Epoch: 3, Origin: "h#1", LastUpdate: 4, Checksums: make([]shard.Checksum, shard.BucketCount)},
	shard.DigestMismatch{Shard: 7, Epoch: 3, Origin: "h#1", Buckets: []int{0, 63}},
	shard.BucketContents{Shard: 7, Epoch: 3, Origin: "h#1", LastUpdate: 4, Bucket: 63, From: "a", To: "b", Jobs: []shard.JobStatus{{ID: "a", Digest: 77}}},
	shard.ResendRequest{Shard: 7, Epoch: 3, Origin: "h#1", IDs: []string{"a"}},
}

func TestRoundTrip(t *testing.T) {
	for _, m := range sampleMessages {
		raw, err := Encode(5, m)
		if err != nil {
			t.Fatalf("encode %+v: %v", m, err)
		}
		if got, err := Decode(5, raw); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("decoded %+v, %v\nwant %+v", got, err, m)
		}
		if _, err := Decode(6, raw); !errors.Is(err, ErrWrongCluster) {
			t.Errorf("%T decoded for another cluster: got error %v, want ErrWrongCluster", m, err)
		}
		if _, err := Decode(5, raw[:len(raw)-1]); err == nil {
			t.Errorf("%T without its last byte is decoded without an error", m)
		}
	}
}

// otherMessage is a type of message that Encode does not know.
type otherMessage struct{}

func (otherMessage) ShardNumber() int { return 0 }

// TestInvalidMessages checks that Encode returns an error for each message that Decode would reject, and that Decode
// rejects invalid bytes.
func TestInvalidMessages(t *testing.T) {
	long := strings.Repeat("x", MaxName+1)
	update := func(f func(*shard.JobRecord)) shard.Message {
		e := sampleRecord
		f(&e)
		return shard.JobUpdate{Shard: 7, Epoch: 3, Origin: "h", First: 1, Records: []shard.JobRecord{e}}
	}
	chunk := func(f func(*shard.Chunk)) shard.Message {
		c := sampleMessages[7].(shard.Chunk)
		f(&c)
		return c
	}
	for name, m := range map[string]shard.Message{
		"no epoch":               shard.Ack{Origin: "h"},
		"no origin":              shard.Ack{Epoch: 1},
		"shard number too large": shard.Ack{Shard: shard.MaxShards, Epoch: 1, Origin: "h"},
		"unknown kind":           shard.Grant{Epoch: 1, Origin: "h", ID: "j", Kind: "other"},
		"no id":                  update(func(e *shard.JobRecord) { e.ID = "" }),
		"long id":                update(func(e *shard.JobRecord) { e.ID = long }),
		"NaN in a class":         update(func(e *shard.JobRecord) { e.Accepted = &balance.Class{DedupWindow: math.NaN()} }),
		"long name in a class":   update(func(e *shard.JobRecord) { e.Accepted = &balance.Class{WorkerKind: long} }),
		"NaN timeout":            update(func(e *shard.JobRecord) { e.Timeout = math.NaN() }),
		"long report": update(func(e *shard.JobRecord) {
			e.Attempts = []shard.Attempt{{Report: make([]float64, shard.MaxReportValues+1)}}
		}),
		"NaN in a report":           update(func(e *shard.JobRecord) { e.Attempts = []shard.Attempt{{Report: []float64{math.NaN()}}} }),
		"infinite slots":            update(func(e *shard.JobRecord) { e.Slots = math.Inf(1) }),
		"earlier attempt in flight": update(func(e *shard.JobRecord) { e.Attempts = make([]shard.Attempt, 2) }),
		"too many attempts":         update(func(e *shard.JobRecord) { e.Attempts = make([]shard.Attempt, shard.MaxAttempts+1) }),
		"too many records":          chunk(func(c *shard.Chunk) { c.Records = make([]shard.JobRecord, shard.MaxChunkRecords+1) }),
		"too many tags":             chunk(func(c *shard.Chunk) { c.Tags = make([]shard.TenantTags, shard.MaxChunkTags+1) }),
		"chunk index too large":     chunk(func(c *shard.Chunk) { c.Index = 2 }),
		"no chunks":                 chunk(func(c *shard.Chunk) { c.Count, c.Index = 0, 0 }),
		"too few checksums":         shard.Digest{Epoch: 1, Origin: "h", Checksums: make([]shard.Checksum, 1)},
		"bucket number too large":   shard.DigestMismatch{Epoch: 1, Origin: "h", Buckets: []int{shard.BucketCount}},
		"too many ids":              shard.ResendRequest{Epoch: 1, Origin: "h", IDs: make([]string, shard.MaxChunkRecords+1)},
		"unknown type":              otherMessage{},
	} {
		if _, err := Encode(5, m); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: Encode returned %v, want ErrCorrupt", name, err)
		}
	}
	marshal := func(e *Envelope) []byte { e.Cluster = 5; raw, _ := proto.Marshal(e); return raw }
	for name, c := range map[string]struct {
		raw  []byte
		want error
	}{
		"too large": {make([]byte, MaxMessage+1), ErrTooLarge},
		"class index too large": {marshal(&Envelope{Epoch: 1, Origin: []byte("h"), Body: &Envelope_JobUpdate{&JobUpdateMessage{
			Classes: []*ClassMessage{{}}, Records: []*RecordMessage{{Id: []byte("j"), Accepted: 2}}}}}), ErrCorrupt},
		"not protobuf":            {[]byte{0xff}, ErrCorrupt},
		"newer version":           {marshal(&Envelope{MinVersion: Version + 1}), ErrUnsupportedVersion},
		"no body":                 {marshal(&Envelope{Epoch: 1, Origin: []byte("h")}), ErrCorrupt},
		"lists of unequal length": {marshal(&Envelope{Epoch: 1, Origin: []byte("h"), Body: &Envelope_BucketContents{&BucketContentsMessage{Ids: [][]byte{{1}}}}}), ErrCorrupt},
		"unknown kind":            {marshal(&Envelope{Epoch: 1, Origin: []byte("h"), Body: &Envelope_Grant{&GrantMessage{Id: []byte("j"), Kind: 1 << 31}}}), ErrCorrupt},
	} {
		if _, err := Decode(5, c.raw); !errors.Is(err, c.want) {
			t.Errorf("%s: Decode returned %v, want %v", name, err, c.want)
		}
	}
}

// FuzzDecode checks that no bytes make Decode panic, that a decoded message is the same
// after another round trip, and that the types of package shard handle it without a panic.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages {
		raw, _ := Encode(5, m)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(5, raw)
		if err != nil {
			return
		}
		again, err := Encode(5, m)
		if err != nil {
			t.Fatalf("encode %+v again: %v", m, err)
		}
		if back, err := Decode(5, again); err != nil || !reflect.DeepEqual(back, m) {
			t.Fatalf("got %+v, which a second round trip decodes to %+v, error %v", m, back, err)
		}
		jobLog, owner := shard.NewJobLog(7, "h#1"), shard.NewOwner(7, shard.Limits{MaxJobs: 4})
		jobLog.Add(0, shard.JobRecord{ID: "j", Timeout: 9})
		jobLog.ObserveEpoch(3)
		owner.Open(3, nil)
		update, _ := jobLog.NextUpdate(0)
		owner.ApplyUpdate(0, update)
		importTransfer := shard.NewImportTransfer(7, "b#1", 4)
		switch m := m.(type) {
		case shard.Grant:
			jobLog.Accept(1, m)
			jobLog.Decline(m)
		case shard.JobUpdate:
			owner.ApplyUpdate(1, m)
		case shard.Ack:
			jobLog.Acknowledge(m)
		case shard.Revoke:
			jobLog.Revoke(m)
		case shard.Decline:
			owner.ApplyDecline(m)
		case shard.Chunk:
			importTransfer.AddChunk(1, m)
			importTransfer.TakeSnapshot(m.Epoch + 1)
		case shard.ChunkAck, shard.Aborted:
			exportTransfer, _ := owner.BeginTransfer("b#1")
			exportTransfer.Freeze(1, nil, true)
			exportTransfer.Chunks(1, 1)
			if x, ok := m.(shard.ChunkAck); ok {
				exportTransfer.Acknowledge(x)
			} else {
				exportTransfer.HandleAborted(m.(shard.Aborted))
			}
		case shard.Abort:
			importTransfer.HandleAbort(m)
		case shard.Digest:
			owner.Compare(m)
		case shard.DigestMismatch:
			jobLog.BucketContents(m)
		case shard.BucketContents:
			owner.Reconcile(m)
		case shard.ResendRequest:
			jobLog.QueueResend(m)
		}
		if owner.JobCount() > shard.MaxChunkRecords+1 {
			t.Fatalf("the owner has %d jobs, want at most MaxChunkRecords+1, which one message can add", owner.JobCount())
		}
	})
}

// BenchmarkCopy measures a transfer of 4,096 records: encoding, decoding, and computing the checksums on both sides.
func BenchmarkCopy(b *testing.B) {
	const size = 4096
	jobLog, owner := shard.NewJobLog(0, "h#1"), shard.NewOwner(0, shard.Limits{MaxJobs: size})
	for i := range size {
		jobLog.Add(0, shard.JobRecord{ID: fmt.Sprintf("request-%08d", i), Class: "interactive", Tenant: fmt.Sprint("tenant", i%50), Timeout: 30, Slots: 1, Memory: 256})
	}
	jobLog.ObserveEpoch(1)
	owner.Open(1, nil)
	for m, ok := jobLog.NextUpdate(0); ok; m, ok = jobLog.NextUpdate(0) {
		_, ack, _ := owner.ApplyUpdate(0, m)
		jobLog.Acknowledge(ack)
	}
	bytes := 0
	for b.Loop() {
		exportTransfer, _ := owner.BeginTransfer("b#1")
		exportTransfer.Freeze(1, nil, false)
		importTransfer := shard.NewImportTransfer(0, "b#1", size)
		for _, p := range exportTransfer.Chunks(1, size) {
			raw, err := Encode(5, p)
			if err != nil {
				b.Fatal(err)
			}
			m, _ := Decode(5, raw)
			if _, _, err := importTransfer.AddChunk(1, m.(shard.Chunk)); err != nil {
				b.Fatal(err)
			}
			bytes += len(raw)
		}
		exportTransfer.HandleAborted(*importTransfer.Abort("again"))
	}
	b.ReportMetric(float64(size)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
	b.ReportMetric(float64(bytes)/float64(size)/float64(b.N), "B/entry")
}
