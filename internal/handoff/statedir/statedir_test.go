package statedir

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/handoff"
)

// testDirectory is a folder that several memberships of one test process join, each with its own locks.
type testDirectory struct {
	t      *testing.T
	path   string
	logged []string
}

func (r *testDirectory) logf(format string, args ...any) {
	r.logged = append(r.logged, fmt.Sprintf(format, args...))
}

func (r *testDirectory) join() *Membership {
	r.t.Helper()
	m, err := Join(r.path, r.logf)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(m.Leave)
	return m
}

func newTestDirectory(t *testing.T) *testDirectory {
	return &testDirectory{t: t, path: Path(t.TempDir(), "n/0", "127.0.0.1:1")}
}

func refresh(m *Membership) (v View) {
	m.Refresh(func(now View) { v = now })
	return v
}

func cordon(worker string) func(*handoff.OperatorState) (*handoff.OperatorState, error) {
	return func(s *handoff.OperatorState) (*handoff.OperatorState, error) { return s.Cordon(worker, 1) }
}

func ignoreView(View) {}

// During an upgrade the old process leads until the new one is ready, and again if the new one ends.
func TestUpgrade(t *testing.T) {
	r := newTestDirectory(t)
	old := r.join()
	if v := refresh(old); !v.IsLeader || v.OtherProcesses != 0 {
		t.Errorf("only process: got %+v", v)
	}
	old.SetState(handoff.Ready)
	old.Update(cordon("w"), ignoreView)
	next := r.join()
	if v := refresh(old); !v.IsLeader || v.OtherProcesses != 1 {
		t.Errorf("old process while the new one starts: got %+v", v)
	}
	if v := refresh(next); v.IsLeader || v.OtherProcesses != 1 || !v.OperatorState.IsCordoned("w") {
		t.Errorf("new process while it starts: got %+v", v)
	}
	next.SetState(handoff.Ready)
	if v := refresh(old); v.IsLeader {
		t.Errorf("old process after the new one is ready: got %+v", v)
	}
	if v := refresh(next); !v.IsLeader {
		t.Errorf("new process after it is ready: got %+v", v)
	}
	// A command to either process applies to both.
	old.Update(func(s *handoff.OperatorState) (*handoff.OperatorState, error) { return s.SetPaused(true), nil }, ignoreView)
	if v := refresh(next); !v.OperatorState.Paused || !v.OperatorState.IsCordoned("w") {
		t.Errorf("after a command to the old process, the new one has %+v", v.OperatorState)
	}
	next.Update(func(s *handoff.OperatorState) (*handoff.OperatorState, error) { return s.Uncordon("w"), nil }, ignoreView)
	if v := refresh(old); v.OperatorState.IsCordoned("w") || !v.OperatorState.Paused {
		t.Errorf("after a command to the new process, the old one has %+v", v.OperatorState)
	}
	next.stateFile.Close() // as if the process was killed
	if v := refresh(old); !v.IsLeader || v.OtherProcesses != 0 {
		t.Errorf("old process after the new one was killed: got %+v", v)
	}
	next.stateFile = nil
	if v := refresh(r.join()); !v.OperatorState.Paused {
		t.Errorf("a process that joined later has %+v", v.OperatorState)
	}
	if files := old.processIDs(); len(files) != 2 {
		t.Errorf("got files of processes %v: that of an ended process was not removed", files)
	}
}

// Of three processes, the youngest ready one leads; all lead if none is ready.
func TestThreeProcesses(t *testing.T) {
	r := newTestDirectory(t)
	a, b, c := r.join(), r.join(), r.join()
	leads := func(want string) {
		t.Helper()
		got := ""
		for n, m := range []*Membership{a, b, c} {
			if m.stateFile != nil && refresh(m).IsLeader {
				got += string(rune('a' + n))
			}
		}
		if got != want {
			t.Errorf("got leaders %s, want %s", got, want)
		}
	}
	leads("abc")
	a.SetState(handoff.Ready)
	leads("a")
	c.SetState(handoff.Ready)
	leads("c")
	b.SetState(handoff.Ready)
	leads("c")
	c.SetState(handoff.Draining)
	leads("b")
	b.Leave()
	leads("a")
}

// Other processes read each published ID once and completely, also those of a process that has ended, until
// Refresh removes its file.
func TestJobIDs(t *testing.T) {
	r := newTestDirectory(t)
	a, b := r.join(), r.join()
	refresh(a)
	got := func(m *Membership) string { return strings.Join(m.ReadJobIDs(), " ") }
	if s := got(b); s != "" {
		t.Errorf("before any were published: got %q", s)
	}
	a.PublishJobIDs([]string{"x", "y"})
	a.PublishJobIDs(nil)
	if s := got(b); s != "x y" || got(b) != "" || got(a) != "" {
		t.Errorf("got %q first, want \"x y\", then nothing, and none of the process's own IDs", s)
	}
	f, err := os.OpenFile(a.jobIDPath(a.id), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.WriteString("half")
	if s := got(b); s != "" {
		t.Errorf("incomplete line: got %q", s)
	}
	f.WriteString(" an id\nz\n")
	if s := got(b); s != "half an id z" {
		t.Errorf("after the line was completed: got %q", s)
	}
	a.PublishJobIDs([]string{"last"})
	a.stateFile.Close() // as if it was killed
	a.stateFile = nil
	if s := got(b); s != "last" {
		t.Errorf("IDs of a killed process: got %q", s)
	}
	refresh(b)
	if _, err := os.Stat(a.jobIDPath(a.id)); err == nil {
		t.Error("the file of an ended process was not removed")
	}
}

// If the file of the operators' state is corrupt, processes keep the state that they know, new processes can
// join, and the error is logged.
func TestCorruptOperatorState(t *testing.T) {
	r := newTestDirectory(t)
	m := r.join()
	m.Update(cordon("w"), ignoreView)
	intact, err := os.ReadFile(filepath.Join(r.path, operatorStateName))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(intact) - 1 {
		os.WriteFile(filepath.Join(r.path, operatorStateName), intact[:n], 0o600)
		if v := refresh(m); !v.OperatorState.IsCordoned("w") {
			t.Fatalf("file truncated to %d bytes: got state %+v", n, v.OperatorState)
		}
	}
	if v := refresh(r.join()); v.OperatorState.IsCordoned("w") || len(r.logged) == 0 || !strings.Contains(r.logged[0], operatorStateName) {
		t.Errorf("a process that joined with a corrupt file has %+v, logged %q", v.OperatorState, r.logged)
	}
	m.Update(cordon("v"), ignoreView)
	if v := refresh(r.join()); !v.OperatorState.IsCordoned("w") || !v.OperatorState.IsCordoned("v") {
		t.Errorf("after the next command a new process has %+v", v.OperatorState)
	}
}

// A process that is stopped while it holds the lock does not delay commands to other processes: they apply
// locally, and the failure to lock the folder is logged.
func TestLockTimeout(t *testing.T) {
	r := newTestDirectory(t)
	m := r.join()
	f, err := os.Open(filepath.Join(r.path, lockName))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	var v View
	if err := m.Update(cordon("w"), func(now View) { v = now }); err != nil || !v.OperatorState.IsCordoned("w") || len(r.logged) != 1 {
		t.Errorf("got %v, state %+v, logged %q", err, v.OperatorState, r.logged)
	}
	sleeps := 0
	sleep = func(time.Duration) { sleeps++ }
	defer func() { sleep = time.Sleep }()
	if m.lockTimedOut.IsZero() {
		t.Error("the timeout was not recorded")
	}
	for n := range 10 {
		m.lockTimedOut = time.Now().Add(time.Minute) // remains recent even if writing files is slow
		m.Update(cordon(fmt.Sprint(n)), ignoreView)
	}
	if sleeps > 0 {
		t.Errorf("ten more commands slept %d times while waiting for the lock, want 0", sleeps)
	}
	sleep, m.lockTimedOut = time.Sleep, time.Time{}
	if _, err := Join(r.path, r.logf); err == nil {
		t.Error("a process joined without the lock")
	}
}

// Dispatchers that share a folder for temporary files get different folders in it.
func TestPath(t *testing.T) {
	if Path("/t", "n0", "a:1") == Path("/t", "n0", "a:2") || Path("/t", "n/0", "a:1") == Path("/t", "n_0", "a:1") {
		t.Error("two dispatchers have the same folder")
	}
}

// ReadJobIDs allocates little memory if there are no new IDs.
func TestReadJobIDsAllocatesLittle(t *testing.T) {
	r := newTestDirectory(t)
	a, b := r.join(), r.join()
	refresh(a)
	b.PublishJobIDs([]string{"x"})
	a.ReadJobIDs()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 50 {
		a.ReadJobIDs()
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / 50; each > 16<<10 {
		t.Errorf("got %d bytes allocated per call, want at most 16 KiB", each)
	}
}
