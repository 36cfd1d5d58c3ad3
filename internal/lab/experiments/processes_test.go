package experiments

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/invariants"
)

var built struct {
	once sync.Once
	dir  string
	path string
	err  error
}

// TestMain lets the test binary stand in for a process that writes to its state, and for one of hollow instances,
// and removes the program if a test has had it built.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == HollowCommand {
		if err := ServeHollow(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if at := os.Getenv("LAB_HOLLOW"); at != "" {
		startForTest(at)
	}
	if path := os.Getenv("LAB_WRITER"); path != "" {
		f, _ := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		for {
			_, err := f.Write([]byte("x"))
			fmt.Println(errors.Is(err, syscall.EFBIG))
			time.Sleep(5 * time.Millisecond)
		}
	}
	code := m.Run()
	os.RemoveAll(built.dir)
	os.Exit(code)
}

func program(t *testing.T) string {
	t.Helper()
	built.once.Do(func() {
		if built.dir, built.err = os.MkdirTemp("", "bellstream-lab-"); built.err == nil {
			built.path, built.err = Build(built.dir)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.path
}

// seen is what instance i sees of the others.
func seen(x *Instance) map[string]peer {
	var s struct {
		Incarnation uint64
		Peers       []peer
	}
	m := map[string]peer{}
	if x.Ask("/peers", &s) != nil {
		return m
	}
	for _, p := range s.Peers {
		m[p.Name] = p
	}
	m[x.Name] = peer{Name: x.Name, Incarnation: s.Incarnation}
	return m
}

type peer struct {
	Name        string
	Present     bool
	Age         float64 `json:"age_s"`
	Incarnation uint64
}

// fresh says that it was heard within so long.
func (p peer) fresh(s float64) bool { return p.Name != "" && p.Age >= 0 && p.Age < s }

// Kill, stop and one-way cut are really caused, and heal: by what the processes
// themselves see of each other, and by what clients and workers saw.
func TestFaultsAreCaused(t *testing.T) {
	const seed = 20260750
	t.Logf("seed %d", seed)
	dir := t.TempDir()
	c, err := Site{N: 3, Workers: 4, Slots: 4, Mean: 20 * time.Millisecond, Link: Link{Loss: 0.02, Jitter: 5 * time.Millisecond},
		Lanes: `{"name":"job","aim":1,"hard_limit":2,"value":1,"semantics":"unsafe"}`, Parties: `{"name":"t","quota_per_s":100}`,
		File: func(c *Processes, x *Instance) string {
			return x.Peering(c, 0.1) + "counts {\n  staleness = \"3s\"\n  floor = 0.02\n  loss = 0.1\n}\n"
		}}.Start(Params{Seed: seed, Program: program(t), Out: dir})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p := &Player{Processes: c, Bound: 30 * time.Second, Log: t.Logf, Conditions: map[string]func() bool{"joined": func() bool {
		for _, x := range c.Nodes {
			for _, y := range c.Nodes {
				if p := seen(x)[y.Name]; x != y && (!p.Present || !p.fresh(1)) {
					return false
				}
			}
		}
		return true
	}}}
	until := func(what string, ok func() bool) {
		t.Helper()
		if err := Until(p.Bound, what, ok); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	strike := func(text string) (undo func()) {
		t.Helper()
		s, err := ParseSchedule(text)
		if err != nil {
			t.Fatal(err)
		}
		do, err := p.strike(s[0], rand.New(rand.NewPCG(seed, 0)))
		if err != nil {
			t.Fatalf("seed %d, %s: %v", seed, text, err)
		}
		return func() {
			t.Helper()
			if err := do(); err != nil {
				t.Fatalf("seed %d, end of %s: %v", seed, text, err)
			}
		}
	}
	joined := p.Conditions["joined"]
	n0, n1, n2 := c.Nodes[0], c.Nodes[1], c.Nodes[2]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var streams []Stream
	for i := range c.Nodes {
		streams = append(streams, Stream{Tenant: "t", Class: "job", Entry: i, Rate: 20, ClientTimeout: time.Second})
	}
	c.Load.Play(ctx, seed, streams)

	heal := strike("after 0s when joined cut n2>*")
	until("n2 is not heard, and hears", func() bool {
		a, b, back := seen(n0)[n2.Name], seen(n1)[n2.Name], seen(n2)
		return a.Age > 1.5 && b.Age > 1.5 && back[n0.Name].fresh(1) && back[n1.Name].fresh(1)
	})
	until("n2 is taken to be away", func() bool { return !seen(n0)[n2.Name].Present && !seen(n1)[n2.Name].Present })
	heal()
	until("they are joined again", joined)

	thaw, pid := strike("after 0s stop n1"), n1.cmd.Process.Pid
	quick := http.Client{Timeout: 200 * time.Millisecond}
	if _, err := quick.Get("http://" + n1.Admin + "/peers"); err == nil {
		t.Error("n1 stands still and answers")
	}
	until("n1 is not heard", func() bool { return seen(n0)[n1.Name].Age > 1.5 && seen(n2)[n1.Name].Age > 1.5 })
	thaw()
	until("they are joined again", joined)
	if n1.cmd.Process.Pid != pid || n1.life != 1 {
		t.Error("n1 is another process after it was stopped")
	}

	before := seen(n0)[n0.Name].Incarnation
	start := strike("after 0s kill n0")
	began := time.Now()
	if _, err := quick.Get("http://" + n0.Admin + "/peers"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("n0 is killed: %v", err)
	}
	until("n0 is not heard", func() bool { return seen(n1)[n0.Name].Age > 1.5 })
	ended := time.Now()
	start()
	until("they are joined again", joined)
	if after := seen(n0)[n0.Name].Incarnation; after <= before {
		t.Errorf("incarnation %d after %d", after, before)
	}

	s := Menu{Steps: 5, Gap: 300 * time.Millisecond, Span: 2 * time.Second, Faults: []string{"kill", "stop", "cut", "delay", "slow", "lose", "repeat", "reorder", "reset"},
		Names: []string{"n0", "n1", "n2"}}.Draw(seed)
	if err := p.Play(context.Background(), s); err != nil {
		t.Fatal(err)
	}
	if err := Until(p.Bound, "they are joined again", joined); err != nil {
		t.Fatalf("seed %d: %v, after\n%v", seed, err, s)
	}
	stop()
	c.Load.Wait()
	away := AnswersBetween(c.Load.Answers(), began, ended, 0)
	others := AnswersBetween(c.Load.Answers(), began, ended, 1, 2)
	if ServedFraction(away) != 0 || ServedFraction(others) < 0.9 || len(others) < 20 {
		t.Errorf("while n0 was away it served %.2f of %d, the others %.2f of %d", ServedFraction(away), len(away), ServedFraction(others), len(others))
	}
	acts := c.Halt()
	if found := c.History(invariants.Limits{Grace: 0.016}, []invariants.Class{{Name: "job", Repeat: "unsafe"}}).Check(); len(found) > 0 {
		t.Errorf("seed %d: %d rules broken, first %v, after\n%v", seed, len(found), found[0], s)
	}
	if len(acts.Pauses) < 5 || !acts.Pauses[0].Killed || acts.Pauses[0].To <= acts.Pauses[0].From {
		t.Errorf("%+v", acts.Pauses)
	}
}

// What an instance writes of what it acted on is taken in over its lives, and
// ends with them.
func TestJournalsAreTakenIn(t *testing.T) {
	dir := t.TempDir()
	x := &Instance{Dispatcher: &Dispatcher{Name: "n0"}, Journal: filepath.Join(dir, "n0.journal")}
	c := &Processes{Nodes: []*Instance{x}, Relay: NewRelay(1, Link{})}
	defer c.Relay.Close()
	if err := c.listen(x); err != nil {
		t.Fatal(err)
	}
	for life := range 3 {
		f, err := os.OpenFile(x.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(f, "{\"at\":%d,\"name\":\"n0\",\"life\":%d,\"stage\":\"none\"}\n", life+1, life+1)
		f.Close()
	}
	if acts := c.Halt(); len(acts.Lines) != 3 || acts.Lines[2].Incarnation != 3 || acts.Damaged != 0 {
		t.Errorf("%+v", acts)
	}
}

// A full disk, a torn write and lost files strike the state alone.
func TestDiskFaults(t *testing.T) {
	dir := t.TempDir()
	x := &Instance{Dispatcher: &Dispatcher{Name: "n0"}, Dir: filepath.Join(dir, "n0")}
	os.Mkdir(x.Dir, 0o700)
	state, other := filepath.Join(x.Dir, "state"), filepath.Join(x.Dir, "short")
	whole := append(bytes.Repeat([]byte("abc"), 1000), 0, 0, 0, 0)
	os.WriteFile(state, whole, 0o600)
	os.WriteFile(other, []byte("short"), 0o600)

	x.cmd = exec.Command(os.Args[0])
	x.cmd.Env = append(os.Environ(), "LAB_WRITER="+state)
	said, _ := x.cmd.StdoutPipe()
	if err := x.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	x.ended = make(chan error, 1)
	defer x.Kill()
	says := func(want string) {
		t.Helper()
		var line string
		for range 400 { // those that were said before come first
			if fmt.Fscanln(said, &line); line == want {
				return
			}
		}
		t.Fatalf("400 writes, none of which is %s to be refused", want)
	}
	says("false")
	lift, err := x.Fill()
	if err != nil {
		t.Fatal(err)
	}
	says("true")
	lift()
	says("false")
	x.cmd.Process.Kill()
	x.ended <- x.cmd.Wait()
	x.Kill()

	os.WriteFile(state, whole, 0o600)
	cut, garbled := false, false
	for seed := range uint64(20) {
		os.WriteFile(state, whole, 0o600)
		if err := x.Tear(rand.New(rand.NewPCG(seed, 0))); err != nil {
			t.Fatal(err)
		}
		raw, _ := os.ReadFile(state)
		cut = cut || len(raw) < len(whole) && bytes.HasPrefix(whole, raw)
		garbled = garbled || len(raw) == len(whole) && !bytes.Equal(raw, whole) && bytes.Equal(raw[:2000], whole[:2000])
		if bytes.Equal(raw, whole) {
			t.Errorf("seed %d tears nothing", seed)
		}
	}
	if raw, _ := os.ReadFile(other); !cut || !garbled || string(raw) != "short" {
		t.Errorf("cut off %v, garbled %v, the other file %q", cut, garbled, raw)
	}
	if err := x.Wipe(); err != nil || x.Tear(rand.New(rand.NewPCG(1, 0))) == nil {
		t.Errorf("files thrown away: %v", err)
	}
}

// A stream over a cut link stands still in that direction alone, and goes on
// with nothing lost; one that is made over a cut is made when the cut ends; a
// reset is told.
func TestRelayStreams(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := NewRelay(1, Link{})
	defer r.Close()
	at, err := r.Door(2, 5, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	pair := func() (near, far net.Conn) {
		t.Helper()
		near, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
		if far, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		near.SetDeadline(time.Now().Add(5 * time.Second))
		return near, far
	}
	says := func(from, to net.Conn, text string) error {
		io.WriteString(from, text)
		to.SetReadDeadline(time.Now().Add(150 * time.Millisecond)) // what must not come ends by it
		got := make([]byte, len(text))
		_, err := io.ReadFull(to, got)
		if err == nil && string(got) != text {
			return fmt.Errorf("%q", got)
		}
		return err
	}
	near, far := pair()
	if err := errors.Join(says(near, far, "a"), says(far, near, "b")); err != nil {
		t.Fatal(err)
	}
	lift := r.Lay(func(from, to int) bool { return from == 2 && to == 5 }, Link{Cut: true})
	also := r.Lay(func(from, to int) bool { return from == 2 }, Link{Cut: true})
	if err := says(near, far, "cut"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("over a cut: %v", err)
	}
	if err := says(far, near, "back"); err != nil {
		t.Errorf("the other way: %v", err)
	}
	lift()
	if err := says(near, far, ""); err != nil || says(near, far, "!") == nil {
		t.Error("one of two cuts is lifted: it passes")
	}
	asked, _ := net.Dial("tcp", at) // its other end comes when the cut has ended
	gone, _ := net.Dial("tcp", at)
	open := func(n int) func() bool {
		return func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.streams) == n }
	}
	if err := Until(5*time.Second, "the relay has them", open(3)); err != nil {
		t.Fatal(err)
	}
	gone.Close() // before it was made: it never was
	if err := Until(5*time.Second, "the relay has let one go", open(2)); err != nil {
		t.Fatal(err)
	}
	also()
	if got := make([]byte, 4); says(far, near, "x") != nil {
		t.Error("after the cut: nothing")
	} else if far.SetReadDeadline(time.Now().Add(5 * time.Second)); true {
		if _, err := io.ReadFull(far, got); string(got) != "cut!" {
			t.Errorf("what stood still: %q, %v", got, err)
		}
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	late, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := says(asked, late, "late"); err != nil {
		t.Error(err)
	}
	r.Reset(func(from, to int) bool { return from == 5 })
	if err := says(near, far, "whole"); err != nil {
		t.Error(err)
	}
	r.Reset(func(from, to int) bool { return from == 2 && to == 5 })
	if err := says(far, near, "more"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset: %v", err)
	}
}

// A schedule is the same for the same seed and is read back from its text; what
// is none is named by its line.
func TestSchedule(t *testing.T) {
	m := Menu{Steps: 50, Gap: time.Second, Span: time.Second, Faults: []string{"kill", "cut", "reset"}, Names: []string{"n0", "leader"}, When: []string{"narrow"}}
	one := m.Draw(7)
	back, err := ParseSchedule("# a remark\n\n" + one.String())
	if err != nil || back.String() != one.String() || len(one) != 50 || m.Draw(7).String() != one.String() || m.Draw(8).String() == one.String() {
		t.Errorf("%v\n%v\n%v", err, one, back)
	}
	for _, bad := range []string{"kill n0", "after 1 kill n0", "after 1s kill", "after -1s kill n0", "after 1s kill n0 for x"} {
		if _, err := ParseSchedule("after 1s kill n0\n" + bad); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", bad, err)
		}
	}
	c := &Processes{Relay: NewRelay(1, Link{}), seed: 99}
	defer c.Relay.Close()
	for i := range 4 {
		c.Nodes = append(c.Nodes, &Instance{Dispatcher: &Dispatcher{Name: fmt.Sprint("n", i)}, Index: i})
	}
	p := &Player{Processes: c, Bound: time.Millisecond, Names: map[string]func() string{"leader": func() string { return "n3" }, "nobody": func() string { return "" }},
		Conditions: map[string]func() bool{"never": func() bool { return false }}}
	for text, want := range map[string]string{"n0>n1": "01", "n0<>n1": "01 10", "leader>*": "30 31 32", "*>n2": "02 12 32", "n0+n1>*": "02 03 12 13", "*<>n0": "01 02 03 10 20 30"} {
		over, err := p.links(text, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for i := range 4 {
			for j := range 4 {
				if over(i, j) {
					got = append(got, fmt.Sprint(i, j)[:1]+fmt.Sprint(j))
				}
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: %v, want %s", text, got, want)
		}
	}
	for _, bad := range []string{"cut n0", "cut *>*", "cut n0>n9", "explode n0", "kill n9", "kill nobody", "kill n0 when", "cut nobody>n0"} {
		s, err := ParseSchedule("after 0s " + bad)
		if err != nil {
			continue
		}
		if err := p.Play(context.Background(), s); err == nil || !strings.Contains(err.Error(), "seed 99") || !strings.Contains(err.Error(), s.String()) {
			t.Errorf("%q: %v", bad, err)
		}
	}
	for _, when := range []string{"never", "unknown"} {
		if err := p.Play(context.Background(), Schedule{{When: when, Do: "kill", To: "n0"}}); err == nil || !strings.Contains(err.Error(), when) {
			t.Errorf("%s: %v", when, err)
		}
	}
}

func FuzzSchedule(f *testing.F) {
	f.Add("after 1.5s when narrow kill leader for 2s\nafter 0s cut n0>*")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSchedule(text)
		if err != nil {
			return
		}
		if back, err := ParseSchedule(s.String()); err != nil || back.String() != s.String() {
			t.Errorf("%q: %v\n%v", text, err, back)
		}
	})
}
