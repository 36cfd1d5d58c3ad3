package fault

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var rulesOfAllKinds = []Rule{
	{Kind: Delay, Endpoints: []string{"worker-1", "gossip"}, Side: Request, At: 1, Duration: 2, Fraction: 0.25, Delay: 0.05, Jitter: 0.02},
	{Kind: Rate, Endpoints: []string{"worker-1"}, Side: Both, Rate: 1000},
	{Kind: Loss, Endpoints: []string{"gossip"}, Loss: 0.1},
	{Kind: Cut, Endpoints: []string{"worker-1"}, Side: Answer, Byte: 512},
	{Kind: Reset, Endpoints: []string{"worker-1"}, After: Data, Nth: 3},
	{Kind: HalfClose, Endpoints: []string{"worker-1"}, After: Text, Text: "HTTP/1.1"},
	{Kind: Silence, Endpoints: []string{"worker-1"}, After: Head},
	{Kind: Garble, Endpoints: []string{"worker-1"}, After: Chunk},
	{Kind: Mute, Endpoints: []string{"worker-1"}},
	{Kind: Refuse, Endpoints: []string{"worker-1"}},
}

var testEndpoints = []Endpoint{
	{Name: "worker-1", Listen: "127.0.0.1:9101", Target: "127.0.0.1:8101", Network: "tcp"},
	{Name: "gossip", Listen: "127.0.0.1:9102", Target: "127.0.0.1:8102", Network: "udp"},
}

// The format of configuration files stays: each key sets the same field as before.
func TestGoldenFiles(t *testing.T) {
	for path, want := range map[string]Config{
		"testdata/golden/every.hcl": {
			Seed:      7,
			Admin:     "127.0.0.1:9901",
			Log:       "/var/log/fault.jsonl",
			Endpoints: testEndpoints,
			Rules:     rulesOfAllKinds,
		},
		"../../../deploy/fault.hcl": {
			Seed:      7,
			Admin:     "127.0.0.1:9901",
			Endpoints: testEndpoints,
			Rules: []Rule{
				{Kind: Silence, Endpoints: []string{"worker-1"}, Side: Answer, At: 5, Duration: 20},
				{Kind: Garble, Endpoints: []string{"worker-1"}, Side: Answer, At: 30, Duration: 10, After: Data, Nth: 2},
				{Kind: Loss, Endpoints: []string{"gossip"}, Loss: 0.1},
			},
		},
	} {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Parse(path, raw)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: got %+v, want %+v", path, *got, want)
		}
	}
}

// The keys of a command stay those of a fault block in the file.
func TestGoldenCommand(t *testing.T) {
	raw, err := os.ReadFile("testdata/golden/command.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseCommand(raw, testEndpoints)
	want := Rule{
		Kind:      Cut,
		Endpoints: []string{"worker-1"},
		Side:      Answer,
		At:        5,
		Duration:  20,
		Fraction:  0.5,
		Delay:     0.05,
		Jitter:    0.021,
		Rate:      1001,
		Loss:      0.25,
		After:     Text,
		Nth:       4,
		Text:      "HTTP",
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	got, err = ParseCommand([]byte(`{"kind":"reset","byte":9}`), testEndpoints[:1])
	if want := (Rule{Kind: Reset, Byte: 9}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// The JSON that the admin API sends for GET /doors and GET /faults stays.
func TestGoldenJSON(t *testing.T) {
	every := Rule{
		ID:        1,
		Kind:      Cut,
		Endpoints: []string{"worker-1"},
		Side:      Answer,
		At:        2,
		Duration:  3,
		Fraction:  0.4,
		Delay:     5,
		Jitter:    6,
		Rate:      7,
		Loss:      0.8,
		Byte:      9,
		After:     Text,
		Nth:       10,
		Text:      "HTTP",
	}
	checkGolden(t, "faults.json", []Rule{every, {}})
	checkGolden(t, "doors.json", []Endpoint{testEndpoints[1], {}})
}

// checkGolden checks that a value encodes to the bytes of a golden file and that these
// bytes decode to the value.
func checkGolden[T any](t *testing.T, name string, want T) {
	t.Helper()
	path := "testdata/golden/" + name
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetIndent("", "  ")
	if err := e.Encode(want); err != nil {
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
		t.Errorf("%s: got encoding\n%s, want\n%s", name, b.Bytes(), raw)
	}
	var got T
	if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got decoded value %+v, error %v, want %+v", name, got, err, want)
	}
}
