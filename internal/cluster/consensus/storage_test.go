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

// While the leader's disk is full, its proposals fail, another voter leads, and it
// reports why it does not vote and forwards requests. It resumes by itself.
func TestDiskFull(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		old := c.waitForLeader(names)
		c.propose(old, "one")
		restore := old.failCommits(fmt.Errorf("write: %w", syscall.ENOSPC))
		var full *DiskFullError
		if err := old.Propose(c.context(), []byte("lost")); !errors.As(err, &full) || !full.OutcomeUnknown {
			t.Fatalf("got %v", err)
		}
		next := c.waitForLeader(without(names, old.options.Name))
		c.propose(next, "two")
		time.Sleep(5 * time.Second)
		if err := old.Propose(c.context(), []byte("lost")); !errors.As(err, &full) || full.OutcomeUnknown {
			t.Errorf("got %v", err)
		}
		if _, _, err := old.ReadIndex(c.context()); !errors.As(err, &full) {
			t.Errorf("a read: %v", err)
		}
		if s := old.Status(); s.State != StateDiskFull || s.IsLeader || !strings.Contains(s.Reason, "make room") {
			t.Errorf("status %+v", s)
		}
		if got, err := old.Request(c.context(), []byte("q")); err != nil || !strings.HasPrefix(string(got), next.options.Name) {
			t.Errorf("a request: %q %v", got, err)
		}
		restore()
		c.waitForValue(names, "two")
		c.propose(c.waitForLeader(names), "three")
		c.waitForValue(names, "three")
	})
}

// After any other failed commit the file is not trusted any more.
func TestCommitErrorIsFinal(t *testing.T) {
	names := "a b c"
	withCluster(t, names, nil, func(c *testCluster) {
		old := c.waitForLeader(names)
		restore := old.failCommits(syscall.EIO)
		old.Propose(c.context(), []byte("lost"))
		restore()
		var corrupt *CorruptFileError
		if err := old.Propose(c.context(), []byte("lost")); !errors.As(err, &corrupt) || corrupt.Path != old.loop.storage.path {
			t.Errorf("got %v", err)
		}
		c.propose(c.waitForLeader(without(names, old.options.Name)), "two")
		if s := old.Status(); s.State != StateFailed {
			t.Errorf("status %+v", s)
		}
	})
}

// A file is replaced by an older copy of itself.
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
		if err := c.nodes[name].Propose(c.context(), []byte("x")); !errors.As(err, &corrupt) || !strings.Contains(err.Error(), "older one put back") {
			t.Errorf("got %v", err)
		}
		c.propose(leader, "three")
	})
}

// writeVoterFile creates a voter's file with some entries, and returns its path and
// its content.
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

// raftContents returns everything that raft would read.
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

// With a flipped bit, a missing end or a torn page anywhere in the file, it is
// either rejected or has its complete content, the last commit included.
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
				t.Fatalf("%s: accepted with another content", damage)
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
			offset = rng.IntN(2)*os.Getpagesize() + rng.IntN(80) // the meta pages
		}
		raw[offset] ^= 1 << rng.IntN(8)
		check(fmt.Sprintf("bit at %d", offset), raw)
	}
	for n := range 40 {
		check(fmt.Sprintf("cut %d", n), intact[:1+rng.IntN(len(intact)-1)])
	}
	for n := range 40 { // a page that was not written, or only in part
		raw := append([]byte(nil), intact...)
		offset := rng.IntN(len(raw)/512) * 512
		clear(raw[offset:min(len(raw), offset+512*(1+n%8))])
		check(fmt.Sprintf("zeros at %d", offset), raw)
	}
	t.Logf("%d of 330 rejected", rejected)
	if rejected < 50 {
		t.Error("hardly any corruption was found")
	}
}

// Each record is verified, and the error names it.
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
		"record mark: it is not":   func(one, _ *bbolt.Bucket) error { return flip(one, keyLogState) },
		"record mark: it is miss":  func(one, _ *bbolt.Bucket) error { return one.Delete(keyLogState) },
		"record snapshot":          func(one, _ *bbolt.Bucket) error { return one.Put(keySnapshot, one.Get(keyLogState)) },
		"it is not what was":       func(_, log *bbolt.Bucket) error { return flip(log, last(log)) },
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
			t.Errorf("got %v, want %q", err, want)
		}
	}
	dir := filepath.Dir(path)
	if _, err := openStorage(dir, "b", "test"); err == nil || !strings.Contains(err.Error(), `of voter "a"`) {
		t.Errorf("another voter's file: %v", err)
	}
}
