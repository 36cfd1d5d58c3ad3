package agent

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/lease"
)

// A lease file is read back as it was saved. A flipped bit is never read as another revision, and a truncated file is
// an error, not a missing file.
func TestLeaseFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x", "n.lease")
	f, err := openLeaseFile(path)
	if err != nil || f.revision != (lease.Revision{}) {
		t.Fatal(f, err)
	}
	revision := lease.Revision{Version: 7, Stage: lease.StageIntersection}
	if err := f.save("id", revision); err != nil {
		t.Fatal(err)
	}
	if f, err = openLeaseFile(path); err != nil || f.cluster != "id" || f.revision != revision {
		t.Fatal(f, err)
	}
	raw, _ := os.ReadFile(path)
	for i := range raw {
		corrupted := bytes.Clone(raw)
		corrupted[i] ^= 1
		os.WriteFile(path, corrupted, 0o600)
		if f, err := openLeaseFile(path); err == nil && (f.revision != revision || f.cluster != "id") {
			t.Fatalf("with a flipped bit in byte %d the file is read as %v of cluster %q, want an error or no change",
				i, f.revision, f.cluster)
		}
	}
	os.WriteFile(path, raw[:len(raw)/2], 0o600)
	var corrupt *CorruptFileError
	if _, err := openLeaseFile(path); !errors.As(err, &corrupt) || !strings.Contains(err.Error(), "docs/operators/accord.md") {
		t.Errorf("opening a truncated file: got error %v, want %T", err, corrupt)
	}
}
