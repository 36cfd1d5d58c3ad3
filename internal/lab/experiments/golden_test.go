package experiments

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/capacity"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards the keys and defaults of fleet files against unintended changes.
func TestGoldenFleets(t *testing.T) {
	queue := 9
	for path, want := range map[string]FleetFile{
		"testdata/golden/every.hcl": {
			Seed:       2,
			Discovery:  "127.0.0.1:9200",
			Mean:       "151ms",
			Record:     "fleet.jsonl",
			Repeats:    "5s",
			Priorities: map[string]int{"read": 1, "write": 2},
			Workers: []*WorkerGroup{
				{
					Name:      "large",
					Count:     4,
					Slots:     8,
					Queue:     &queue,
					Zone:      "a",
					Kind:      "m2",
					Speed:     0.8,
					ColdFrom:  0.3,
					WarmAfter: "7s",
					Suspends:  true,
					Lag:       "300ms",
					Noise:     0.1,
					lag:       300 * time.Millisecond,
					warm:      7 * time.Second,
				},
				{Name: "small", Count: 1, Slots: 4},
			},
			Faults: []*FleetFault{
				{
					Kind:    "heavy_tail",
					Workers: []string{"large", "small-00"},
					At:      "20s",
					For:     "10s",
					Part:    0.25,
					Factor:  3,
					Free:    6,
					Drain:   "4s",
					at:      20 * time.Second,
					end:     30 * time.Second,
					drain:   4 * time.Second,
				},
				{Kind: "errors", end: 1000 * time.Hour, drain: 2 * time.Second},
			},
			window: 5 * time.Second,
			mean:   151 * time.Millisecond,
		},
		"../../../deploy/fleet.hcl": {
			Seed:       1,
			Discovery:  "127.0.0.1:9200",
			Mean:       "150ms",
			Repeats:    "5s",
			Priorities: map[string]int{"read": 1},
			Workers: []*WorkerGroup{
				{
					Name:  "large",
					Count: 4,
					Slots: 8,
					Zone:  "a",
					Kind:  "m2",
					Lag:   "300ms",
					Noise: 0.1,
					lag:   300 * time.Millisecond,
				},
				{
					Name:      "small",
					Count:     8,
					Slots:     4,
					Zone:      "b",
					Kind:      "m1",
					Speed:     0.8,
					ColdFrom:  0.3,
					WarmAfter: "8s",
					warm:      8 * time.Second,
				},
			},
			Faults: []*FleetFault{
				{
					Kind:    "silent",
					Workers: []string{"small-00", "small-01"},
					At:      "20s",
					For:     "10s",
					at:      20 * time.Second,
					end:     30 * time.Second,
					drain:   2 * time.Second,
				},
				{
					Kind:    "neighbour",
					Workers: []string{"large"},
					Factor:  2,
					At:      "40s",
					For:     "20s",
					at:      40 * time.Second,
					end:     60 * time.Second,
					drain:   2 * time.Second,
				},
				{
					Kind:    "deploy",
					Workers: []string{"small"},
					At:      "70s",
					Drain:   "3s",
					at:      70 * time.Second,
					end:     70*time.Second + 1000*time.Hour,
					drain:   3 * time.Second,
				},
			},
			window: 5 * time.Second,
			mean:   150 * time.Millisecond,
		},
	} {
		got, err := LoadFleet(path)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: got %s, want %s", path, dump(t, got), dump(t, &want))
		}
	}
}

// dump returns a fleet file as JSON for messages.
func dump(t *testing.T, f *FleetFile) string {
	t.Helper()
	raw, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Guards the JSON that 'run --json' and 'load --json' print.
func TestGoldenJSON(t *testing.T) {
	golden(t, "result.json", &Result{
		Experiment: "capacity",
		Seed:       7,
		Size:       "44 instances",
		Claims:     []Claim{{Name: "a claim", Bound: 1.5, Measured: 1.25, Unit: "s", Held: true}, {}},
		Held:       true,
		Void:       "one died",
		Beside:     []ContextFigure{{Name: "beside", Value: 3.5, Unit: "jobs"}, {}},
		Rows: []capacity.Row{{
			Line:     "line",
			Percent:  50,
			What:     "what",
			Bound:    4.5,
			Measured: 4.25,
			Least:    true,
			Unit:     "MB",
			Held:     true,
			How:      capacity.VirtualTime,
			Setting:  "setting",
			Shown:    true,
			Kind:     "kind",
			When:     "when",
		}, {}},
		Slopes: []capacity.Slope{{
			What:   "what",
			By:     "by",
			Unit:   "ms",
			How:    capacity.OnSockets,
			Kind:   "kind",
			Points: []capacity.Point{{X: 5.5, Y: 6.5}},
			A:      7.5,
			B:      8.5,
			Spread: 9.5,
			Bend:   10.5,
		}, {}},
		Command: "bellstream-lab run capacity",
		Build:   "d277da8",
		Machine: "load 1.0",
	})
	golden(t, "empty-result.json", &Result{})
	latency := func(from float64) *Latency {
		return &Latency{N: int64(from), P50: from + 1, P90: from + 2, P99: from + 3, P999: from + 4, Max: from + 5}
	}
	golden(t, "load.json", &LoadReport{
		Jobs:     1,
		Asked:    2,
		Unasked:  3,
		NoSocket: 4,
		Left:     5,
		InTime:   6,
		Seconds:  7.5,
		Status:   map[string]int{"200": 8},
		Classes:  map[string]*Latency{"job": latency(10)},
		Tenants:  map[string]*Latency{"t": latency(20)},
		ToolLate: latency(30),
		Void:     "no descriptors",
	})
	golden(t, "empty-load.json", &LoadReport{})
}

// golden checks that want encodes to the bytes of a golden file and decodes from them. With -update it writes the
// file first.
func golden[T any](t *testing.T, name string, want *T) {
	t.Helper()
	path := "testdata/golden/" + name
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(want); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(raw, b.Bytes()) {
		t.Errorf("%s: encoded as\n%s, want\n%s", name, b.Bytes(), raw)
	}
	got := new(T)
	if err := json.Unmarshal(raw, got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded as %+v, error %v, want %+v", name, got, err, want)
	}
}
