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

// TestMain lets the test binary also act as a hollow process and as a process that writes to its state,
// and removes the executable of bellstream if a test has built it.
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

// peersSeenBy returns the peers that an instance lists, by name, and the instance itself with its incarnation.
func peersSeenBy(x *Instance) map[string]peer {
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

// heardWithin reports whether the peer was heard of less than s seconds ago.
func (p peer) heardWithin(s float64) bool { return p.Name != "" && p.Age >= 0 && p.Age < s }

// Checks that kill, stop and a one-way cut really take effect and end, by what the processes list of each other
// and by the records of clients and workers.
func TestFaultsAreCaused(t *testing.T) {
	const seed = 20260750
	t.Logf("seed %d", seed)
	dir := t.TempDir()
	c, err := Site{N: 3, Workers: 4, Slots: 4, Mean: 20 * time.Millisecond, Link: Link{Loss: 0.02, Jitter: 5 * time.Millisecond},
		ClassesJSON: `{"name":"job","aim":1,"hard_limit":2,"value":1,"semantics":"unsafe"}`, TenantsJSON: `{"name":"t","quota_per_s":100}`,
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
				if p := peersSeenBy(x)[y.Name]; x != y && (!p.Present || !p.heardWithin(1)) {
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
	applyFault := func(text string) (undo func()) {
		t.Helper()
		s, err := ParseSchedule(text)
		if err != nil {
			t.Fatal(err)
		}
		undoFault, err := p.apply(s[0], rand.New(rand.NewPCG(seed, 0)))
		if err != nil {
			t.Fatalf("seed %d, %s: %v", seed, text, err)
		}
		return func() {
			t.Helper()
			if err := undoFault(); err != nil {
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

	heal := applyFault("after 0s when joined cut n2>*")
	until("n2 hears the others and is not heard", func() bool {
		a, b, back := peersSeenBy(n0)[n2.Name], peersSeenBy(n1)[n2.Name], peersSeenBy(n2)
		return a.Age > 1.5 && b.Age > 1.5 && back[n0.Name].heardWithin(1) && back[n1.Name].heardWithin(1)
	})
	until("n2 is absent for the others", func() bool { return !peersSeenBy(n0)[n2.Name].Present && !peersSeenBy(n1)[n2.Name].Present })
	heal()
	until("they are joined again", joined)

	thaw, pid := applyFault("after 0s stop n1"), n1.cmd.Process.Pid
	client := http.Client{Timeout: 200 * time.Millisecond}
	if _, err := client.Get("http://" + n1.Admin + "/peers"); err == nil {
		t.Error("n1 answers although it is stopped")
	}
	until("n1 is not heard", func() bool { return peersSeenBy(n0)[n1.Name].Age > 1.5 && peersSeenBy(n2)[n1.Name].Age > 1.5 })
	thaw()
	until("they are joined again", joined)
	if n1.cmd.Process.Pid != pid || n1.generation != 1 {
		t.Error("n1 was restarted while it was stopped, want the same process")
	}

	before := peersSeenBy(n0)[n0.Name].Incarnation
	start := applyFault("after 0s kill n0")
	began := time.Now()
	if _, err := client.Get("http://" + n0.Admin + "/peers"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("request to the killed n0: got error %v, want connection refused", err)
	}
	until("n0 is not heard", func() bool { return peersSeenBy(n1)[n0.Name].Age > 1.5 })
	ended := time.Now()
	start()
	until("they are joined again", joined)
	if after := peersSeenBy(n0)[n0.Name].Incarnation; after <= before {
		t.Errorf("incarnation after the restart: got %d, want above %d", after, before)
	}

	s := ScheduleOptions{Steps: 5, Gap: 300 * time.Millisecond, Span: 2 * time.Second, Faults: []string{"kill", "stop", "cut", "delay", "slow", "lose", "repeat", "reorder", "reset"},
		Names: []string{"n0", "n1", "n2"}}.Generate(seed)
	if err := p.Play(context.Background(), s); err != nil {
		t.Fatal(err)
	}
	if err := Until(p.Bound, "they are joined again", joined); err != nil {
		t.Fatalf("seed %d: %v, after\n%v", seed, err, s)
	}
	stop()
	c.Load.Wait()
	ofKilled := AnswersBetween(c.Load.Answers(), began, ended, 0)
	others := AnswersBetween(c.Load.Answers(), began, ended, 1, 2)
	if ServedFraction(ofKilled) != 0 || ServedFraction(others) < 0.9 || len(others) < 20 {
		t.Errorf("while n0 was down: it served %.2f of %d jobs, want 0; the others served %.2f of %d, want at least 0.9 of 20", ServedFraction(ofKilled), len(ofKilled), ServedFraction(others), len(others))
	}
	acts := c.Halt()
	if found := c.History(invariants.Limits{Grace: 0.016}, []invariants.Class{{Name: "job", Repeat: "unsafe"}}).Check(); len(found) > 0 {
		t.Errorf("seed %d: %d rules broken, first %v, after\n%v", seed, len(found), found[0], s)
	}
	if len(acts.Pauses) < 5 || !acts.Pauses[0].Killed || acts.Pauses[0].To <= acts.Pauses[0].From {
		t.Errorf("got pauses %+v, want at least 5, the first one a kill that ended", acts.Pauses)
	}
}

// Checks that the journal of an instance is read across restarts of its process.
func TestJournalsAreReadAcrossRestarts(t *testing.T) {
	dir := t.TempDir()
	x := &Instance{Dispatcher: &Dispatcher{Name: "n0"}, Journal: filepath.Join(dir, "n0.journal")}
	c := &Processes{Nodes: []*Instance{x}, Relay: NewRelay(1, Link{})}
	defer c.Relay.Close()
	if err := c.collectJournal(x); err != nil {
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
		t.Errorf("got journals %+v, want 3 undamaged lines, the last of incarnation 3", acts)
	}
}

// Checks that the faults fill, tear and wipe affect only the state of an instance.
func TestDiskFaults(t *testing.T) {
	dir := t.TempDir()
	x := &Instance{Dispatcher: &Dispatcher{Name: "n0"}, Dir: filepath.Join(dir, "n0")}
	os.Mkdir(x.Dir, 0o700)
	state, other := filepath.Join(x.Dir, "state"), filepath.Join(x.Dir, "short")
	content := append(bytes.Repeat([]byte("abc"), 1000), 0, 0, 0, 0)
	os.WriteFile(state, content, 0o600)
	os.WriteFile(other, []byte("short"), 0o600)

	x.cmd = exec.Command(os.Args[0])
	x.cmd.Env = append(os.Environ(), "LAB_WRITER="+state)
	output, _ := x.cmd.StdoutPipe()
	if err := x.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	x.ended = make(chan error, 1)
	defer x.Kill()
	waitForOutput := func(want string) {
		t.Helper()
		var line string
		for range 400 { // earlier output comes first
			if fmt.Fscanln(output, &line); line == want {
				return
			}
		}
		t.Fatalf("400 writes, for none of them the process printed %s (whether it was refused)", want)
	}
	waitForOutput("false")
	lift, err := x.Fill()
	if err != nil {
		t.Fatal(err)
	}
	waitForOutput("true")
	lift()
	waitForOutput("false")
	x.cmd.Process.Kill()
	x.ended <- x.cmd.Wait()
	x.Kill()

	os.WriteFile(state, content, 0o600)
	cut, garbled := false, false
	for seed := range uint64(20) {
		os.WriteFile(state, content, 0o600)
		if err := x.Tear(rand.New(rand.NewPCG(seed, 0))); err != nil {
			t.Fatal(err)
		}
		raw, _ := os.ReadFile(state)
		cut = cut || len(raw) < len(content) && bytes.HasPrefix(content, raw)
		garbled = garbled || len(raw) == len(content) && !bytes.Equal(raw, content) && bytes.Equal(raw[:2000], content[:2000])
		if bytes.Equal(raw, content) {
			t.Errorf("seed %d: Tear changed nothing", seed)
		}
	}
	if raw, _ := os.ReadFile(other); !cut || !garbled || string(raw) != "short" {
		t.Errorf("got cut off %v, overwritten %v, want both; the other file: got %q, want unchanged", cut, garbled, raw)
	}
	if err := x.Wipe(); err != nil || x.Tear(rand.New(rand.NewPCG(1, 0))) == nil {
		t.Errorf("Wipe, then Tear: got error %v of Wipe, or no error of Tear without files", err)
	}
}

// Checks that a cut stalls a stream in its direction only and that the stream continues without loss after it, that a
// stream opened during a cut is connected when the cut ends, and that a reset reaches the far end.
func TestRelayStreams(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := NewRelay(1, Link{})
	defer r.Close()
	at, err := r.Forward(2, 5, l.Addr().String())
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
	send := func(from, to net.Conn, text string) error {
		io.WriteString(from, text)
		to.SetReadDeadline(time.Now().Add(150 * time.Millisecond)) // ends the wait for text that must not arrive
		got := make([]byte, len(text))
		_, err := io.ReadFull(to, got)
		if err == nil && string(got) != text {
			return fmt.Errorf("got %q", got)
		}
		return err
	}
	near, far := pair()
	if err := errors.Join(send(near, far, "a"), send(far, near, "b")); err != nil {
		t.Fatal(err)
	}
	lift := r.AddFault(func(from, to int) bool { return from == 2 && to == 5 }, Link{Cut: true})
	liftSecond := r.AddFault(func(from, to int) bool { return from == 2 }, Link{Cut: true})
	if err := send(near, far, "cut"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("in the direction of the cut: got error %v, want deadline exceeded", err)
	}
	if err := send(far, near, "back"); err != nil {
		t.Errorf("against the direction of the cut: got error %v", err)
	}
	lift()
	if err := send(near, far, ""); err != nil || send(near, far, "!") == nil {
		t.Error("one of two cuts is lifted: data passes, want it to be held")
	}
	opened, _ := net.Dial("tcp", at) // accepted at the target when the cut has ended
	closedEarly, _ := net.Dial("tcp", at)
	open := func(n int) func() bool {
		return func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.streams) == n }
	}
	if err := Until(5*time.Second, "the relay to have 3 streams", open(3)); err != nil {
		t.Fatal(err)
	}
	closedEarly.Close() // closed before it is connected, so it never is
	if err := Until(5*time.Second, "the relay to drop one stream", open(2)); err != nil {
		t.Fatal(err)
	}
	liftSecond()
	if got := make([]byte, 4); send(far, near, "x") != nil {
		t.Error("after the cut: nothing arrives")
	} else if far.SetReadDeadline(time.Now().Add(5 * time.Second)); true {
		if _, err := io.ReadFull(far, got); string(got) != "cut!" {
			t.Errorf("data held by the cut: got %q, error %v, want \"cut!\"", got, err)
		}
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	late, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := send(opened, late, "late"); err != nil {
		t.Error(err)
	}
	r.Reset(func(from, to int) bool { return from == 5 })
	if err := send(near, far, "whole"); err != nil {
		t.Error(err)
	}
	r.Reset(func(from, to int) bool { return from == 2 && to == 5 })
	if err := send(far, near, "more"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: got error %v, want connection reset", err)
	}
}

// Checks that a schedule depends on its seed alone and can be parsed from its text, that link targets select the
// right links, and that errors name line, condition, or seed and schedule.
func TestSchedule(t *testing.T) {
	m := ScheduleOptions{Steps: 50, Gap: time.Second, Span: time.Second, Faults: []string{"kill", "cut", "reset"}, Names: []string{"n0", "leader"}, When: []string{"narrow"}}
	generated := m.Generate(7)
	parsed, err := ParseSchedule("# a remark\n\n" + generated.String())
	if err != nil || parsed.String() != generated.String() || len(generated) != 50 || m.Generate(7).String() != generated.String() || m.Generate(8).String() == generated.String() {
		t.Errorf("error %v; generated schedule:\n%v\nparsed:\n%v", err, generated, parsed)
	}
	for _, bad := range []string{"kill n0", "after 1 kill n0", "after 1s kill", "after -1s kill n0", "after 1s kill n0 for x"} {
		if _, err := ParseSchedule("after 1s kill n0\n" + bad); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: got error %v, want one that names line 2", bad, err)
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
			t.Errorf("links of %s: got %v, want %s", text, got, want)
		}
	}
	for _, bad := range []string{"cut n0", "cut *>*", "cut n0>n9", "explode n0", "kill n9", "kill nobody", "kill n0 when", "cut nobody>n0"} {
		s, err := ParseSchedule("after 0s " + bad)
		if err != nil {
			continue
		}
		if err := p.Play(context.Background(), s); err == nil || !strings.Contains(err.Error(), "seed 99") || !strings.Contains(err.Error(), s.String()) {
			t.Errorf("%q: got error %v, want one that names seed and schedule", bad, err)
		}
	}
	for _, when := range []string{"never", "unknown"} {
		if err := p.Play(context.Background(), Schedule{{When: when, Do: "kill", To: "n0"}}); err == nil || !strings.Contains(err.Error(), when) {
			t.Errorf("condition %s: got error %v, want one that names it", when, err)
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
		if parsed, err := ParseSchedule(s.String()); err != nil || parsed.String() != s.String() {
			t.Errorf("%q: parsed again: error %v, got\n%v", text, err, parsed)
		}
	})
}
