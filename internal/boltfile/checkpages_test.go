package boltfile

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// The check of pages must accept every file that commits leave, with large values and with deleted records and buckets.
func TestCheckAcceptsHealthyFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	f, err := Open(path, func(*bbolt.Tx) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(1, 6))
	for n := range 400 {
		if err := f.Update(func(tx *bbolt.Tx) error { return changeAtRandom(tx, rng) }); err != nil {
			t.Fatal(err)
		}
		if err := check(path); err != nil {
			t.Fatalf("after commit %d: %v", n, err)
		}
	}
}

// changeAtRandom writes and deletes records, and now and then deletes a bucket.
func changeAtRandom(tx *bbolt.Tx, rng *rand.Rand) error {
	name := fmt.Append(nil, "bucket", rng.IntN(3))
	if rng.IntN(40) == 0 && tx.Bucket(name) != nil {
		return tx.DeleteBucket(name)
	}
	bucket, err := tx.CreateBucketIfNotExists(name)
	if err != nil {
		return err
	}
	for range rng.IntN(30) {
		key := fmt.Appendf(nil, "%0*d", 1+rng.IntN(60), rng.IntN(400))
		value := make([]byte, []int{0, 20, 300, 20_000}[rng.IntN(4)])
		if rng.IntN(3) == 0 {
			err = bucket.Delete(key)
		} else {
			err = bucket.Put(key, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Each field of a page that the library trusts must be verified: a wrong one is an error, never a panic or a hang.
func TestCheckFindsWrongFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	f, err := Open(path, func(*bbolt.Tx) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for n := range 300 {
		err := f.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("b"))
			if err != nil {
				return err
			}
			return bucket.Put(fmt.Appendf(nil, "key%03d", n), make([]byte, 100))
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	numbers := map[string]int64{} // a page in use of each kind
	f.View(func(tx *bbolt.Tx) error {
		for number := 2; ; number++ {
			info, err := tx.Page(number)
			if err != nil || info == nil {
				return err
			}
			numbers[info.Type] = int64(number)
		}
	})
	f.Close()
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	pageSize := int64(os.Getpagesize())
	for _, wrong := range []struct {
		kind, field string
		offset      int64
	}{
		{"branch", "number", 0}, {"branch", "kind", kindOffset}, {"branch", "count", countOffset},
		{"branch", "overflow", overflowOffset}, {"branch", "overflow, high byte", overflowOffset + 3},
		{"branch", "position", headerBytes}, {"branch", "key length", headerBytes + 4}, {"branch", "child", headerBytes + 8},
		{"leaf", "number", 0}, {"leaf", "kind", kindOffset}, {"leaf", "count", countOffset}, {"leaf", "overflow", overflowOffset},
		{"leaf", "flags", headerBytes}, {"leaf", "position", headerBytes + 4}, {"leaf", "key length", headerBytes + 8},
		{"leaf", "value length", headerBytes + 12},
		{"freelist", "number", 0}, {"freelist", "kind", kindOffset}, {"freelist", "count", countOffset},
		{"freelist", "overflow", overflowOffset}, {"freelist", "free page", headerBytes},
	} {
		corrupted := append([]byte(nil), original...)
		corrupted[numbers[wrong.kind]*pageSize+wrong.offset] ^= 1
		if err := os.WriteFile(path, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := check(path); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s page with a wrong %s: got %v, want ErrCorrupt", wrong.kind, wrong.field, err)
		}
	}
}
