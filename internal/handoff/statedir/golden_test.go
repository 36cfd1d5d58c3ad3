package statedir

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/handoff"
)

var update = flag.Bool("update", false, "write the files under testdata/golden anew")

// goldenNumber is the ID of a process that joins a folder with the file goldenDead
// of an ended process. The ID in that file is a time in the far future, so the next
// process gets the ID after it.
const (
	goldenDead   = "process-4102444799999"
	goldenNumber = "4102444800000"
)

// readFolder returns the contents of the files in a folder, by name.
func readFolder(t *testing.T, path string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for _, e := range entries {
		raw, err := os.ReadFile(filepath.Join(path, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		all[e.Name()] = string(raw)
	}
	return all
}

// TestGoldenFolder checks that the name and content of each file don't change:
// during an upgrade two builds share the folder.
func TestGoldenFolder(t *testing.T) {
	golden := filepath.Join("testdata", "golden")
	path := t.TempDir()
	if err := os.WriteFile(filepath.Join(path, goldenDead), []byte("ready\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	m, err := Join(path, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Leave()
	own := "process-" + goldenNumber
	if got := readFolder(t, path); !reflect.DeepEqual(got, map[string]string{"lock": "", own: "starting\n"}) {
		t.Errorf("files after Join: %q", got)
	}
	m.PublishJobIDs([]string{"job-1", "job-2"})
	m.PublishJobIDs([]string{"job-3"})
	m.Update(func(s *handoff.OperatorState) (*handoff.OperatorState, error) {
		return s.SetPaused(true).Cordon("worker-1", 1700000000.25)
	}, ignoreView)
	m.SetState(handoff.Draining)
	if got := readFolder(t, path)[own]; got != "leaving\n" {
		t.Errorf("state file after SetState(Draining): %q", got)
	}
	m.SetState(handoff.Ready)
	written := readFolder(t, path)
	if *update {
		if err := os.MkdirAll(golden, 0o755); err != nil {
			t.Fatal(err)
		}
		for name, content := range written {
			if err := os.WriteFile(filepath.Join(golden, name), []byte(content), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	want := readFolder(t, golden)
	if !reflect.DeepEqual(written, want) {
		t.Errorf("wrote files %q, want %q", written, want)
	}
	for _, name := range []string{"shared", "lock", own, "ids-" + goldenNumber} {
		if _, ok := want[name]; !ok {
			t.Errorf("the golden folder has no file %s", name)
		}
	}
}

// TestGoldenOther checks that this build can read the files of another running process, which the golden files
// stand for.
func TestGoldenOther(t *testing.T) {
	path := t.TempDir()
	for name, content := range readFolder(t, filepath.Join("testdata", "golden")) {
		if err := os.WriteFile(filepath.Join(path, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	other, err := os.Open(filepath.Join(path, "process-"+goldenNumber))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := unix.Flock(int(other.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil { // as a running process does
		t.Fatal(err)
	}
	m, err := Join(path, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Leave()
	if got := strings.Join(m.ReadJobIDs(), " "); got != "job-1 job-2 job-3" {
		t.Errorf("got job IDs %q", got)
	}
	want := View{
		OperatorState:  &handoff.OperatorState{Cordoned: map[string]float64{"worker-1": 1700000000.25}, Paused: true},
		IsLeader:       false,
		OtherProcesses: 1,
	}
	if v := refresh(m); !reflect.DeepEqual(v, want) {
		t.Errorf("got %+v, want %+v", v, want)
	}
	m.SetState(handoff.Ready)
	if v := refresh(m); !v.IsLeader {
		t.Errorf("after the younger process became ready: got %+v, want it to lead", v)
	}
}

// TestGoldenPath checks that the path of the folder doesn't change: two builds have to use the same folder.
func TestGoldenPath(t *testing.T) {
	const want = "/tmp/bellstream-n_0-36c914d2"
	if got := Path("/tmp", "n/0", "127.0.0.1:1"); got != want {
		t.Errorf("got path %s", got)
	}
}
