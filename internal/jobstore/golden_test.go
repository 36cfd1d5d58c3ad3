package jobstore

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/jobledger"
)

var update = flag.Bool("update", false, "rewrite the files under testdata/golden")

// goldenRecords returns records of every kind. Each field is set in at least one of them.
func goldenRecords() []jobledger.Record {
	return []jobledger.Record{
		{Kind: jobledger.JobAccepted, ID: "safe", Idempotence: balance.Idempotent, Deadline: 1700000000.25, Data: []byte{0, 1, 0xff}},
		{Kind: jobledger.LeaseGranted, ID: "safe", Term: 3, Worker: "worker-1", Epoch: "epoch-1"},
		{Kind: jobledger.LeaseResolved, ID: "safe", Term: 3, LeaseOutcome: jobledger.Indeterminate},
		{Kind: jobledger.LeaseGranted, ID: "safe", Term: 4, Worker: "worker-2", Epoch: "epoch-2"},
		{Kind: jobledger.JobCompleted, ID: "safe", Outcome: jobledger.Succeeded, Result: []byte("result")},
		{Kind: jobledger.JobAcknowledged, ID: "safe"},
		{Kind: jobledger.JobAccepted, ID: "keyed", Idempotence: balance.IdempotentWithKey, Deadline: 1700000001, Data: []byte("keyed data")},
		{Kind: jobledger.LeaseGranted, ID: "keyed", Term: 1, Worker: "worker-3", Epoch: "epoch-3"},
		{Kind: jobledger.JobCompleted, ID: "keyed", Outcome: jobledger.Failed},
		{Kind: jobledger.JobAccepted, ID: "unsafe", Idempotence: balance.NonIdempotent, Deadline: 1700000002, Data: []byte("unsafe data")},
		{Kind: jobledger.LeaseGranted, ID: "unsafe", Term: 1, Worker: "worker-4", Epoch: "epoch-4"},
		{Kind: jobledger.LeaseResolved, ID: "unsafe", Term: 1, LeaseOutcome: jobledger.NeverRan},
		{Kind: jobledger.JobCompleted, ID: "unsafe", Outcome: jobledger.Rejected},
		{Kind: jobledger.JobAccepted, ID: "open", Idempotence: balance.NonIdempotent},
		{Kind: jobledger.LeaseGranted, ID: "open", Term: 2, Worker: "worker-5", Epoch: "epoch-5"},
	}
}

// goldenJobs returns the jobs that result from goldenRecords.
func goldenJobs() []jobledger.Job {
	return []jobledger.Job{
		{ID: "keyed", Idempotence: balance.IdempotentWithKey, Deadline: 1700000001, Data: []byte("keyed data"), State: jobledger.Completed,
			Leases: []jobledger.Lease{{Term: 1, Worker: "worker-3", Epoch: "epoch-3", Outcome: jobledger.Open}}, Outcome: jobledger.Failed},
		{ID: "open", Idempotence: balance.NonIdempotent, State: jobledger.Leased,
			Leases: []jobledger.Lease{{Term: 2, Worker: "worker-5", Epoch: "epoch-5", Outcome: jobledger.Open}}},
		{ID: "safe", Idempotence: balance.Idempotent, Deadline: 1700000000.25, Data: []byte{0, 1, 0xff}, State: jobledger.Acknowledged,
			Leases: []jobledger.Lease{{Term: 3, Worker: "worker-1", Epoch: "epoch-1", Outcome: jobledger.Indeterminate},
				{Term: 4, Worker: "worker-2", Epoch: "epoch-2", Outcome: jobledger.Open}},
			Outcome: jobledger.Succeeded, Result: []byte("result")},
		{ID: "unsafe", Idempotence: balance.NonIdempotent, Deadline: 1700000002, Data: []byte("unsafe data"), State: jobledger.Completed,
			Leases: []jobledger.Lease{{Term: 1, Worker: "worker-4", Epoch: "epoch-4", Outcome: jobledger.NeverRan}}, Outcome: jobledger.Rejected},
	}
}

// dumpFile returns the buckets, keys and values of a file. The layout of the pages is left to the library.
func dumpFile(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var b strings.Builder
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(&b, "bucket %s\n", name)
			return bucket.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&b, "%q %q\n", k, v)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func copyFile(t *testing.T, to, from string) {
	t.Helper()
	raw, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestGoldenStore pins the stored format: the key and the bytes of each record, and that a golden file can be read.
func TestGoldenStore(t *testing.T) {
	golden := filepath.Join("testdata", "golden", "jobs.db")
	listing := filepath.Join("testdata", "golden", "jobs.txt")
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, _ := open(t, path)
	for i, err := range appendAndWait(s, append(goldenRecords(), jobledger.Record{Kind: jobledger.JobAccepted, ID: "forgotten", Idempotence: balance.Idempotent})...) {
		if err != nil {
			t.Fatalf("record %d: %v", i, err)
		}
	}
	result := make(chan error)
	s.Delete("forgotten", func(err error) { result <- err })
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	written := dumpFile(t, path)
	if *update {
		if err := os.MkdirAll(filepath.Dir(golden), 0o755); err != nil {
			t.Fatal(err)
		}
		copyFile(t, golden, path)
		if err := os.WriteFile(listing, []byte(written), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(listing)
	if err != nil {
		t.Fatal(err)
	}
	if written != string(want) {
		t.Errorf("written file has\n%s\nwant\n%s", written, want)
	}
	old := filepath.Join(t.TempDir(), "jobs.db")
	copyFile(t, old, golden)
	if got := dumpFile(t, old); got != string(want) {
		t.Errorf("golden file has\n%s\nwant\n%s", got, want)
	}
	_, l := open(t, old)
	var jobs []jobledger.Job
	for _, id := range l.IDs() {
		jobs = append(jobs, *l.Job(id))
	}
	if want := goldenJobs(); !reflect.DeepEqual(jobs, want) {
		t.Errorf("got jobs %+v\nwant %+v", jobs, want)
	}
	db, err := bbolt.Open(golden, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	read := map[string][]jobledger.Record{}
	if err := db.View(func(tx *bbolt.Tx) error {
		return ForEachRecord(tx, func(id string, _ uint64, r jobledger.Record) error {
			read[id] = append(read[id], r)
			return nil
		})
	}); err != nil {
		t.Fatal(err)
	}
	wantRecords := map[string][]jobledger.Record{}
	for _, r := range goldenRecords() {
		wantRecords[r.ID] = append(wantRecords[r.ID], r)
	}
	if !reflect.DeepEqual(read, wantRecords) {
		t.Errorf("got records %+v\nwant %+v", read, wantRecords)
	}
}
