package handoff

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "write the files under testdata/golden anew")

// TestGoldenOperatorState checks that the format of the file and the names of process states don't change.
func TestGoldenOperatorState(t *testing.T) {
	for name, want := range map[string]*OperatorState{
		"full":  {Cordoned: map[string]float64{"worker-1": 1700000000.25, "worker-2": 1700000001}, Paused: true},
		"empty": {Cordoned: map[string]float64{}},
	} {
		path := filepath.Join("testdata", "golden", "shared-"+name)
		if *update {
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, want.Encode(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if encoded := want.Encode(); string(encoded) != string(raw) {
			t.Errorf("%s is encoded as %q, want %q", name, encoded, raw)
		}
		if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is decoded as %+v, error %v", name, got, err)
		}
	}
	if got := []ProcessState{Starting, Ready, Draining}; !reflect.DeepEqual(got, []ProcessState{"starting", "ready", "leaving"}) {
		t.Errorf("got state names %q", got)
	}
}
