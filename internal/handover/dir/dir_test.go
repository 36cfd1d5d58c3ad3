package dir

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/handover"
)

// rig is a folder with some processes, which differ in their locks alone.
type rig struct {
	t    *testing.T
	path string
	said []string
}

func (r *rig) log(format string, args ...any) { r.said = append(r.said, fmt.Sprintf(format, args...)) }

func (r *rig) join() *Member {
	r.t.Helper()
	m, err := Join(r.path, r.log)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(m.Leave)
	return m
}

func newRig(t *testing.T) *rig {
	return &rig{t: t, path: Path(t.TempDir(), "n/0", "127.0.0.1:1")}
}

func look(m *Member) (v View) {
	m.Look(func(now View) { v = now })
	return v
}

func out(worker string) func(*handover.Shared) (*handover.Shared, error) {
	return func(s *handover.Shared) (*handover.Shared, error) { return s.Suspend(worker, 1) }
}

func none(View) {}

// An upgrade, step by step: the old process leads until the new one is ready,
// and leads again if that one ends, in good order or not.
func TestUpgrade(t *testing.T) {
	r := newRig(t)
	old := r.join()
	if v := look(old); !v.Leads || v.Others != 0 {
		t.Errorf("alone: %+v", v)
	}
	old.Tell(handover.Ready)
	old.Change(out("w"), none)
	next := r.join()
	if v := look(old); !v.Leads || v.Others != 1 {
		t.Errorf("the old one beside one that starts: %+v", v)
	}
	if v := look(next); v.Leads || v.Others != 1 || !v.Shared.IsOut("w") {
		t.Errorf("the new one at its start: %+v", v)
	}
	next.Tell(handover.Ready)
	if v := look(old); v.Leads {
		t.Errorf("the old one beside a new one that is ready: %+v", v)
	}
	if v := look(next); !v.Leads {
		t.Errorf("the new one when it is ready: %+v", v)
	}
	// What is said to either binds both.
	old.Change(func(s *handover.Shared) (*handover.Shared, error) { return s.Pause(true), nil }, none)
	if v := look(next); !v.Shared.Paused || !v.Shared.IsOut("w") {
		t.Errorf("said to the old one, the new one knows %+v", v.Shared)
	}
	next.Change(func(s *handover.Shared) (*handover.Shared, error) { return s.Restore("w"), nil }, none)
	if v := look(old); v.Shared.IsOut("w") || !v.Shared.Paused {
		t.Errorf("said to the new one, the old one knows %+v", v.Shared)
	}
	next.own.Close() // as a killed process's locks end
	if v := look(old); !v.Leads || v.Others != 0 {
		t.Errorf("after the new one was killed: %+v", v)
	}
	next.own = nil
	if v := look(r.join()); !v.Shared.Paused {
		t.Errorf("a later start knows %+v", v.Shared)
	}
	if files := old.files(); len(files) != 2 {
		t.Errorf("files of %v: that of a dead process stays", files)
	}
}

// Three in quick succession: the youngest ready one leads, at any time one does.
func TestThree(t *testing.T) {
	r := newRig(t)
	a, b, c := r.join(), r.join(), r.join()
	leads := func(want string) {
		t.Helper()
		got := ""
		for n, m := range []*Member{a, b, c} {
			if m.own != nil && look(m).Leads {
				got += string(rune('a' + n))
			}
		}
		if got != want {
			t.Errorf("%s lead, want %s", got, want)
		}
	}
	leads("abc")
	a.Tell(handover.Ready)
	leads("a")
	c.Tell(handover.Ready)
	leads("c")
	b.Tell(handover.Ready)
	leads("c")
	c.Tell(handover.Leaving)
	leads("b")
	b.Leave()
	leads("a")
}

// Ids that one process takes are told to the others once each, whole, and for as
// long as it lives.
func TestIDs(t *testing.T) {
	r := newRig(t)
	a, b := r.join(), r.join()
	look(a)
	got := func(m *Member) string { return strings.Join(m.Noted(), " ") }
	if s := got(b); s != "" {
		t.Errorf("before there are any: %q", s)
	}
	a.Note([]string{"x", "y"})
	a.Note(nil)
	if s := got(b); s != "x y" || got(b) != "" || got(a) != "" {
		t.Errorf("got %q, then the same again, or one's own", s)
	}
	f, err := os.OpenFile(a.idsFile(a.no), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.WriteString("half")
	if s := got(b); s != "" {
		t.Errorf("half a line: %q", s)
	}
	f.WriteString(" an id\nz\n")
	if s := got(b); s != "half an id z" {
		t.Errorf("got %q", s)
	}
	a.Note([]string{"last"})
	a.own.Close() // killed
	a.own = nil
	if s := got(b); s != "last" {
		t.Errorf("of one that was killed: %q", s)
	}
	look(b)
	if _, err := os.Stat(a.idsFile(a.no)); err == nil {
		t.Error("what a dead process left stays")
	}
}

// A damaged file takes back nothing that is known, stops no start, and is said once.
func TestDamage(t *testing.T) {
	r := newRig(t)
	m := r.join()
	m.Change(out("w"), none)
	whole, err := os.ReadFile(filepath.Join(r.path, sharedName))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) - 1 {
		os.WriteFile(filepath.Join(r.path, sharedName), whole[:n], 0o600)
		if v := look(m); !v.Shared.IsOut("w") {
			t.Fatalf("cut after %d bytes: %+v", n, v.Shared)
		}
	}
	if v := look(r.join()); v.Shared.IsOut("w") || len(r.said) == 0 || !strings.Contains(r.said[0], sharedName) {
		t.Errorf("a start beside a damaged file knows %+v, the log %q", v.Shared, r.said)
	}
	m.Change(out("v"), none)
	if v := look(r.join()); !v.Shared.IsOut("w") || !v.Shared.IsOut("v") {
		t.Errorf("after the next command a start knows %+v", v.Shared)
	}
}

// A process that was stopped with the lock does not hold up a command: it binds
// here, and the log says that the others do not hear of it in good order.
func TestLockIsHeld(t *testing.T) {
	r := newRig(t)
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
	if err := m.Change(out("w"), func(now View) { v = now }); err != nil || !v.Shared.IsOut("w") || len(r.said) != 1 {
		t.Errorf("%v, %+v, the log says %q", err, v.Shared, r.said)
	}
	naps := 0
	nap = func(time.Duration) { naps++ }
	defer func() { nap = time.Sleep }()
	for n := range 10 {
		m.Change(out(fmt.Sprint(n)), none)
	}
	if naps > 0 {
		t.Errorf("ten more commands waited %d times for the lock", naps)
	}
	nap = time.Sleep
	if _, err := Join(r.path, r.log); err == nil {
		t.Error("a process has entered without the lock")
	}
}

// Two dispatchers that share a folder for temporary files share nothing else.
func TestPath(t *testing.T) {
	if Path("/t", "n0", "a:1") == Path("/t", "n0", "a:2") || Path("/t", "n/0", "a:1") == Path("/t", "n_0", "a:1") {
		t.Error("two dispatchers have one folder")
	}
}

// Looking for ids that are not there takes no memory to speak of.
func TestNotedIsCheap(t *testing.T) {
	r := newRig(t)
	a, b := r.join(), r.join()
	look(a)
	b.Note([]string{"x"})
	a.Noted()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 50 {
		a.Noted()
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / 50; each > 16<<10 {
		t.Errorf("%d bytes a look", each)
	}
}
