package usage

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Instances exchange tenant ids and counted amounts, so that all builds must compute the same ones.
func TestGoldenIdentities(t *testing.T) {
	var got bytes.Buffer
	for _, name := range []string{"", "a", "team-a", "märkt"} {
		for _, figures := range [][2]float64{{0, 1}, {20, 1}, {20, 3}, {0.1, 0.5}} {
			fmt.Fprintf(&got, "id %q quota %g weight %g: %016x\n", name, figures[0], figures[1], TenantID(name, figures[0], figures[1]))
		}
	}
	for _, slots := range []float64{0, -1, 0.0004, 0.0005, 0.0015, 0.0025, 1, 2.5, math.MaxUint32, math.MaxUint32 + 1, math.Inf(1), math.NaN()} {
		fmt.Fprintf(&got, "slots %g: %d\n", slots, Millislots(slots))
	}
	path := filepath.Join("testdata", "golden", "identities.txt")
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got\n%s\nwant\n%s", got.Bytes(), want)
	}
}
