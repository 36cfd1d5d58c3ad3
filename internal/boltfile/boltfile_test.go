package boltfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// A file-size limit stands in for a full disk: a write that would extend the file fails and leaves it unchanged, and
// after the limit is lifted the file can be written again. After any other failure of a commit it is never written.
func TestFullDiskIsRecoverable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	f, err := Open(path, func(*bbolt.Tx) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	put := func(n int) error {
		return f.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists([]byte("b"))
			if err != nil {
				return err
			}
			return b.Put(fmt.Append(nil, n), bytes.Repeat([]byte{byte(n)}, 8<<10))
		})
	}
	if err := put(1); err != nil {
		t.Fatal(err)
	}
	var oldLimit unix.Rlimit
	if err := unix.Prlimit(0, unix.RLIMIT_FSIZE, nil, &oldLimit); err != nil {
		t.Fatal(err)
	}
	info, _ := os.Stat(path)
	if err := unix.Prlimit(0, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(info.Size()), Max: oldLimit.Max}, nil); err != nil {
		t.Fatal(err)
	}
	n := 2
	for err = put(n); err == nil && n < 50; err = put(n) {
		n++
	}
	bothErrs := errors.Join(err, put(n))
	unix.Prlimit(0, unix.RLIMIT_FSIZE, &oldLimit, nil)
	if !errors.Is(err, ErrNoSpace) || errors.Is(bothErrs, ErrCommitFailed) {
		t.Fatalf("record %d, written twice at the size limit: got %v, want ErrNoSpace", n, bothErrs)
	}
	if err := put(n); err != nil {
		t.Fatalf("write after the limit was lifted: %v", err)
	}
	f.Close()
	f, err = Open(path, func(tx *bbolt.Tx) error {
		for i := 1; i <= n; i++ {
			if v := tx.Bucket([]byte("b")).Get(fmt.Append(nil, i)); !bytes.Equal(v, bytes.Repeat([]byte{byte(i)}, 8<<10)) {
				t.Errorf("record %d of %d is wrong: it has %d bytes", i, n, len(v))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.Commit = func(func(*bbolt.Tx) error) error { return unix.EIO }
	if err := put(1); !errors.Is(err, ErrCommitFailed) || !errors.Is(put(1), ErrCommitFailed) {
		t.Errorf("I/O error in a commit: got %v, want ErrCommitFailed", err)
	}
}

// If the library panics in a commit, as it does on an invalid free page, the commit fails with an error.
func TestCommitPanic(t *testing.T) {
	f, err := Open(filepath.Join(t.TempDir(), "f"), func(*bbolt.Tx) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	f.Commit = func(func(*bbolt.Tx) error) error { panic("write: circular dependency occurred") }
	for range 2 {
		if err := f.Update(nil); !errors.Is(err, ErrCommitFailed) || !strings.Contains(err.Error(), "circular") {
			t.Errorf("got %v, want ErrCommitFailed with the reason", err)
		}
	}
	if err := f.Close(); !errors.Is(err, ErrCommitFailed) {
		t.Errorf("Close after a panic: got %v, want ErrCommitFailed", err)
	}
}
