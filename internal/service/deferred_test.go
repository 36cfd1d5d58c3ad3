package service

import (
	"os"
	"path/filepath"
	"testing"

	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// Clients choose how many jobs end: their outcomes must fit into the memory, unless the operator's file sets their
// number.
func TestOutcomesFitIntoMemory(t *testing.T) {
	for _, c := range []struct {
		block    string
		memoryMB int
		want     int
	}{
		{"waiting {}", 32, 8192},
		{"waiting {}", 64, 16384},
		{"waiting {}", 4096, 100_000},
		{"waiting {}", 0, 100_000},
		{"waiting {\n  ended = 50000\n}", 32, 50_000},
	} {
		path := filepath.Join(t.TempDir(), "operator.hcl")
		if err := os.WriteFile(path, []byte(c.block+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		file, err := operatorconfig.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		limits, err := deferredLimits(file, &settings.Instance{MemoryMB: c.memoryMB})
		if err != nil || limits.RetainedOutcomes != c.want {
			t.Errorf("%s with %d MB: %d outcomes, error %v, want %d", c.block, c.memoryMB, limits.RetainedOutcomes, err, c.want)
		}
	}
}
