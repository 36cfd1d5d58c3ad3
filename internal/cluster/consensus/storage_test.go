package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// While the leader's disk is full, its proposals fail and another voter becomes the
// leader. The old leader reports why it does not vote, and forwards requests. It votes
// again once there is space.
func TestDiskFull(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		old := c.waitForLeader(names)
		c.propose(old, "one")
		restore := old.failCommits(fmt.Errorf("write: %w", syscall.ENOSPC))
		var full *DiskFullError
		if err := old.Propose(c.context(), []byte("lost")); !errors.As(err, &full) || !full.OutcomeUnknown {
			t.Fatalf("proposal when the disk gets full: got %v, want DiskFullError with unknown outcome", err)
		}
		next := c.waitForLeader(without(names, old.options.Name))
		c.propose(next, "two")
		time.Sleep(5 * time.Second)
		if err := old.Propose(c.context(), []byte("lost")); !errors.As(err, &full) || full.OutcomeUnknown {
			t.Errorf("proposal while the disk is full: got %v, want DiskFullError with known outcome", err)
		}
		if _, _, err := old.ReadIndex(c.context()); !errors.As(err, &full) {
			t.Errorf("read while the disk is full: got %v, want DiskFullError", err)
		}
		if s := old.Status(); s.State != StateDiskFull || s.IsLeader || !strings.Contains(s.Reason, "make room") {
			t.Errorf("while the disk is full: got status %+v", s)
		}
		if got, err := old.Request(c.context(), []byte("q")); err != nil || !strings.HasPrefix(string(got), next.options.Name) {
			t.Errorf("request while the disk is full: got response %q, error %v", got, err)
		}
		restore()
		c.waitForValue(names, "two")
		c.propose(c.waitForLeader(names), "three")
		c.waitForValue(names, "three")
	})
}

// After a commit that failed for any reason other than a full disk, the voter no longer
// uses the file.
func TestCommitErrorIsFinal(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		old := c.waitForLeader(names)
		restore := old.failCommits(syscall.EIO)
		old.Propose(c.context(), []byte("lost"))
		restore()
		var corrupt *CorruptFileError
		if err := old.Propose(c.context(), []byte("lost")); !errors.As(err, &corrupt) || corrupt.Path != old.loop.storage.path {
			t.Errorf("proposal after a failed commit: got %v, want CorruptFileError that names the file", err)
		}
		c.propose(c.waitForLeader(without(names, old.options.Name)), "two")
		if s := old.Status(); s.State != StateFailed {
			t.Errorf("after a failed commit: got status %+v, want StateFailed", s)
		}
	})
}

// A voter whose file was replaced by an older copy stops voting: the copy lacks entries
// that the voter has acknowledged.
func TestRolledBackFileIsRejected(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		leader := c.waitForLeader(names)
		c.propose(leader, "one")
		c.waitForValue(names, "one")
		name := strings.Fields(without(names, leader.options.Name))[0]
		path := c.nodes[name].loop.storage.path
		old, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		c.propose(leader, "two")
		c.waitForValue(names, "two")
		c.stop(name)
		os.WriteFile(path, old, 0o600)
		c.start(name, names)
		c.waitFor("the voter to fail", func() bool { return c.nodes[name].Status().State == StateFailed })
		var corrupt *CorruptFileError
		if err := c.nodes[name].Propose(c.context(), []byte("x")); !errors.As(err, &corrupt) ||
			!strings.Contains(err.Error(), "replaced by an older copy") {
			t.Errorf("proposal with a rolled-back file: got %v, want CorruptFileError", err)
		}
		c.propose(leader, "three")
	})
}

// writeVoterFile creates a voter's file with a snapshot and entries, and returns its
// path and its raftContents.
func writeVoterFile(t *testing.T) (path, content string) {
	path = filepath.Join(t.TempDir(), "accord.db")
	withCluster(t, "a", func(o *Options) { o.SnapshotCount = 24 }, func(c *testCluster) {
		n := c.waitForLeader("a")
		for i := range 40 {
			c.propose(n, fmt.Sprintf("%d%s", i, strings.Repeat("x", 200)))
		}
		c.stop("a")
		raw, err := os.ReadFile(n.loop.storage.path)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(path, raw, 0o600)
	})
	store, err := openStorage(filepath.Dir(path), "a", "test")
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	return path, raftContents(t, store)
}

// raftContents returns, as text, the owner of a file and everything that raft reads
// from it.
func raftContents(t *testing.T, store *storage) string {
	hard, conf, _ := store.InitialState()
	snap, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	first, _ := store.FirstIndex()
	last, _ := store.LastIndex()
	out := fmt.Sprint(store.owner, hard, conf, snap, first, last)
	if first <= last {
		list, err := store.Entries(first, last+1, 1<<30)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			raw, _ := proto.Marshal(e)
			out += string(raw)
		}
	}
	return out
}

// A file with a flipped bit, a truncated end or a torn page at a random position is
// either rejected without being modified, or opened with its complete content,
// including the last commit.
func TestCorruptFileIsRejected(t *testing.T) {
	path, content := writeVoterFile(t)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 6))
	rejected := 0
	check := func(damage string, raw []byte) {
		dir := t.TempDir()
		corruptPath := filepath.Join(dir, "accord.db")
		os.WriteFile(corruptPath, raw, 0o600)
		store, err := openStorage(dir, "a", "test")
		if err == nil {
			defer store.close()
			if raftContents(t, store) != content {
				t.Fatalf("%s: the file was accepted with changed content", damage)
			}
			return
		}
		rejected++
		if !strings.Contains(err.Error(), corruptPath) {
			t.Fatalf("%s: the error does not name the file: %v", damage, err)
		}
		if current, _ := os.ReadFile(corruptPath); string(current) != string(raw) {
			t.Fatalf("%s: the corrupt file was modified", damage)
		}
	}
	for n := range 250 {
		raw := append([]byte(nil), intact...)
		offset := rng.IntN(len(raw))
		if n < 50 {
			offset = rng.IntN(2)*os.Getpagesize() + rng.IntN(80) // in the meta pages
		}
		raw[offset] ^= 1 << rng.IntN(8)
		check(fmt.Sprintf("bit at %d", offset), raw)
	}
	for n := range 40 {
		check(fmt.Sprintf("cut %d", n), intact[:1+rng.IntN(len(intact)-1)])
	}
	for n := range 40 { // pages that were not written, or only in part
		raw := append([]byte(nil), intact...)
		offset := rng.IntN(len(raw)/512) * 512
		clear(raw[offset:min(len(raw), offset+512*(1+n%8))])
		check(fmt.Sprintf("zeros at %d", offset), raw)
	}
	t.Logf("%d of 330 corrupt files rejected", rejected)
	if rejected < 50 {
		t.Error("fewer than 50 corrupt files were rejected")
	}
}

// Each record is validated, and the error names the corrupt one.
func TestCorruptRecordIsNamed(t *testing.T) {
	path, _ := writeVoterFile(t)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	flip := func(b *bbolt.Bucket, k []byte) error {
		v := append([]byte(nil), b.Get(k)...)
		v[len(v)/2] ^= 4
		return b.Put(k, v)
	}
	last := func(log *bbolt.Bucket) []byte { k, _ := log.Cursor().Last(); return k }
	for want, corrupt := range map[string]func(one, log *bbolt.Bucket) error{
		"record self":              func(one, _ *bbolt.Bucket) error { return flip(one, keyOwner) },
		"record mark: its check":   func(one, _ *bbolt.Bucket) error { return flip(one, keyLogState) },
		"record mark: it is miss":  func(one, _ *bbolt.Bucket) error { return one.Delete(keyLogState) },
		"record snapshot":          func(one, _ *bbolt.Bucket) error { return one.Put(keySnapshot, one.Get(keyLogState)) },
		"its checksum or content":  func(_, log *bbolt.Bucket) error { return flip(log, last(log)) },
		"the log ends with":        func(_, log *bbolt.Bucket) error { return log.Delete(last(log)) },
		"entry after 25: it is mi": func(_, log *bbolt.Bucket) error { k, _ := log.Cursor().First(); return log.Delete(k) },
	} {
		dir := t.TempDir()
		corruptPath := filepath.Join(dir, "accord.db")
		os.WriteFile(corruptPath, intact, 0o600)
		db, err := bbolt.Open(corruptPath, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.Update(func(tx *bbolt.Tx) error { return corrupt(tx.Bucket(bucketRecords), tx.Bucket(bucketLog)) }); err != nil {
			t.Fatal(err)
		}
		db.Close()
		var corruptErr *CorruptFileError
		if _, err := openStorage(dir, "a", "test"); !errors.As(err, &corruptErr) || corruptErr.Path != corruptPath || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want CorruptFileError with %q", err, want)
		}
	}
	dir := filepath.Dir(path)
	if _, err := openStorage(dir, "b", "test"); err == nil || !strings.Contains(err.Error(), `of voter "a"`) {
		t.Errorf("opening another voter's file: got error %v", err)
	}
}
