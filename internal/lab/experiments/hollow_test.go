package experiments

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/hollow"
	"example.org/bellstream/internal/operatorconfig"
)

// Hollow instances and a real one are one cluster: they see each other, count what came in at each, and go when
// their process is killed. Nothing is left when it is closed.
func TestHollowBesideReal(t *testing.T) {
	h := hollowCluster{n: 9, real: 1, hosts: 1, lostZone: -1, peers: true, agreement: true, load: capacity.NewLoad(10, 3)}
	h.lostZone = h.load.Place(9)[8]
	p := Params{Seed: 3, Out: t.TempDir(), Program: program(t), Log: t.Logf}
	c, err := h.start(p)
	if err != nil {
		t.Fatal(err)
	}
	defer closeSites(c.Sites)
	if len(c.Hosts) != 4 || len(c.Hosts[0].Nodes) != 1 || len(c.Hosts[1].Nodes) != 1 || len(c.Hosts[2].Nodes) != 5 || len(c.Hosts[3].Nodes) != 1 || c.Nodes[0].Pid() == 0 || c.Nodes[1].Pid() != 0 {
		t.Fatalf("%d processes of hollow instances", len(c.Hosts))
	}
	stop, err := h.startLoad(p, c, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := Until(20*time.Second, "starts at hollow instances and at the real one", func() bool {
		states, err := c.HollowStates()
		return err == nil && states["n1"].Starts > 5 && len(c.Fleet.Jobs()) > 5
	}); err != nil {
		t.Fatal(err)
	}
	// Over homes an instance that starts nothing, and is no home of a team that is served, has nothing to say of counts: so
	// the bytes are looked at while work is played, until one second shows all kinds at a real, a hollow and a voting one.
	g := h.groups(c)
	var m []Cost
	if err := Until(20*time.Second, "bytes of each kind at each instance", func() bool {
		if m, err = c.Measure(time.Second, g[groupReal], g[groupAlone], g[groupVoters]); err != nil {
			t.Fatal(err)
		}
		for _, x := range m {
			if x.Sent <= 0 || x.Received <= 0 || x.Worst < x.Sent || x.CPU <= 0 || x.Memory <= 0 || x.Descriptors <= 0 || x.By[TrafficOther].Sent.Bytes > 0 {
				t.Fatalf("%+v", x)
			}
			if x.By[TrafficExchange].Sent.Bytes <= 0 || x.By[TrafficMembership].Sent.Bytes <= 0 || x.By[TrafficAgreement].Sent.Bytes <= 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v: %+v", err, m)
	}
	stop()
	// Where reservations have homes nobody else is told of a team: all that know of one count the same of it, its homes
	// and the instance that serves it among them, and over all teams that is what was started.
	if err := Until(20*time.Second, "all that know of a team count all of it", func() bool {
		states, err := c.HollowStates()
		if err != nil {
			return false
		}
		want, sum := uint64(0), uint64(0)
		for _, n := range c.Fleet.Taken() {
			want += uint64(n)
		}
		for _, s := range states {
			want += s.Starts
		}
		known, err := h.knownStarts(c)
		if err != nil {
			return false
		}
		all := slices.Collect(maps.Values(known))
		if len(all) != h.n || len(disagreeing(all)) > 0 {
			return false
		}
		know, count := map[string]int{}, map[string]uint64{}
		for _, m := range all {
			for team, net := range m {
				know[team]++
				count[team] = net
			}
		}
		for team, net := range count {
			if sum += net; net > 0 && know[team] < operatorconfig.DefaultOwners {
				return false
			}
		}
		return sum == want
	}); err != nil {
		t.Fatal(err)
	}
	last := c.Hosts[1]
	last.Kill()
	last.Kill()
	if _, err := last.Execute(hollow.Command{}); err == nil || last.Pid() != 0 {
		t.Error("it was killed and answers")
	}
	if err := Until(30*time.Second, "the others see that it is gone", func() bool {
		var s struct {
			Peers []struct{ Present bool }
		}
		if c.Nodes[0].Ask("/peers", &s) != nil {
			return false
		}
		present := 0
		for _, x := range s.Peers {
			if x.Present {
				present++
			}
		}
		return present == 7
	}); err != nil {
		t.Fatal(err)
	}
	pids := []int{c.Hosts[0].Pid(), c.Hosts[2].Pid(), c.Hosts[3].Pid(), c.Nodes[0].Pid()}
	closeSites(c.Sites)
	for _, pid := range pids {
		if _, err := os.Stat("/proc/" + strconv.Itoa(pid)); err == nil {
			t.Errorf("process %d is left", pid)
		}
	}
}

// A process that hangs holds nobody up for ever.
func TestHollowThatHangs(t *testing.T) {
	answers, silent, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	orders, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer orders.Close()
	h := &HollowHost{Name: "hollow-1", in: in, pipe: answers, out: json.NewDecoder(answers), timeout: 20 * time.Millisecond}
	if _, err := h.Execute(hollow.Command{Report: true}); err == nil || !strings.Contains(err.Error(), "no answer within 20ms") {
		t.Errorf("%v from a process that says nothing", err)
	}
}

// A process of hollow instances ends with the laboratory, also where that is killed.
func TestHollowEndsWithItsParent(t *testing.T) {
	dir := t.TempDir()
	at := filepath.Join(dir, "pid")
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), "LAB_HOLLOW="+at, "LAB_PROGRAM="+program(t))
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	defer parent.Wait()
	defer parent.Process.Kill()
	var pid int
	if err := Until(30*time.Second, "hollow instances", func() bool {
		raw, err := os.ReadFile(at)
		if err != nil {
			return false
		}
		pid, err = strconv.Atoi(string(raw))
		return err == nil
	}); err != nil {
		t.Fatal(err)
	}
	alive := func() bool {
		raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/cmdline")
		return err == nil && strings.Contains(string(raw), HollowCommand)
	}
	if !alive() {
		t.Fatalf("process %d is none of hollow instances", pid)
	}
	parent.Process.Kill()
	if err := Until(10*time.Second, "it has ended too", func() bool { return !alive() }); err != nil {
		t.Fatal(err)
	}
}

// startForTest starts two hollow instances, says where their process is, and stays.
func startForTest(at string) {
	h := hollowCluster{n: 2, hosts: 1, lostZone: -1, peers: true, load: capacity.NewLoad(10, 3)}
	c, err := h.start(Params{Seed: 3, Out: filepath.Dir(at), Program: os.Getenv("LAB_PROGRAM"), Log: func(string, ...any) {}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.WriteFile(at+".new", []byte(strconv.Itoa(c.Hosts[0].Pid())), 0o600)
	os.Rename(at+".new", at)
	select {}
}

// Claims fail where hollow instances are not as real ones, and where they do not come together again.
func TestHollowClaims(t *testing.T) {
	h := hollowCluster{n: 24, real: 2, load: capacity.NewLoad(10, 3)}
	cost := func(bytes, cpu float64) Cost { return Cost{Sent: bytes, Received: bytes, CPU: cpu, Alive: 2} }
	same := [5]Cost{groupReal: cost(1000, 12), groupAlone: cost(1000, 10), groupStandalone: cost(0, 2), groupShared: cost(1000, 5), groupVoters: cost(2000, 9)}
	for name, c := range map[string]struct {
		change func(f *hollowResult)
		broken int
	}{
		"alike":                 {func(*hollowResult) {}, 0},
		"more bytes at rest":    {func(f *hollowResult) { f.standIns[0].Sent *= 1.4 }, 1},
		"fewer bytes at peak":   {func(f *hollowResult) { f.standIns[1].Received *= 0.6 }, 1},
		"less work":             {func(f *hollowResult) { f.standIns[1].CPU = 8 }, 1},
		"more work at rest":     {func(f *hollowResult) { f.standIns[0].CPU = 12 }, 1},
		"no processor time":     {func(f *hollowResult) { f.standIns[0].CPU, f.rest[groupReal].CPU = 0, 2 }, 1},
		"nothing measured":      {func(f *hollowResult) { f.standIns[0], f.rest[groupReal] = Cost{}, Cost{} }, 2},
		"never alike":           {func(f *hollowResult) { f.convergedAfter = math.Inf(1) }, 1},
		"never whole":           {func(f *hollowResult) { f.connectedAfter = math.Inf(1) }, 1},
		"less work in no claim": {func(f *hollowResult) { f.zoneLoss[groupAlone].CPU = 0 }, 0},
	} {
		got := hollowResult{rest: same, load: same, zoneLoss: same, standIns: [2]Cost{same[groupAlone], same[groupAlone]}, connectedAfter: 1, convergedAfter: 1}
		c.change(&got)
		f, broken := &CapacityResult{}, 0
		h.addClaims(CapacityParams{}, f, got)
		for _, x := range f.Claims {
			if !x.Held {
				broken++
			}
		}
		if broken != c.broken || len(f.Claims) != 6 {
			t.Errorf("%s: %d claims broken of %d: %+v", name, broken, len(f.Claims), f.Claims)
		}
	}
}

// What a machine gives that does not keep up shows nothing.
func TestHollowVoid(t *testing.T) {
	h := hollowCluster{n: 24, real: 2, load: capacity.NewLoad(10, 3)}
	for late, void := range map[float64]bool{0: false, maxLateFraction: false, 2 * maxLateFraction: true} {
		f := &CapacityResult{}
		if h.addClaims(CapacityParams{}, f, hollowResult{lateFraction: late}); f.Void != "" != void {
			t.Errorf("%v late: %q", late, f.Void)
		}
	}
}

// Rows name the kinds of the budget once each, and break where the budget is passed.
func TestHollowRows(t *testing.T) {
	h := hollowCluster{n: 46, real: 2, load: capacity.NewLoad(10, 3)}
	by := func(k TrafficKind, bytes float64) map[TrafficKind]Traffic {
		return map[TrafficKind]Traffic{k: {Sent: Amount{Bytes: bytes}, Received: Amount{Bytes: bytes}}}
	}
	got := hollowResult{partitioned: true, convergedAfter: 1}
	got.load[groupShared] = Cost{By: by(TrafficExchange, 3000), Alive: 1}
	got.zoneLoss[groupShared] = Cost{Sent: 2000, Alive: 1}
	f := &CapacityResult{}
	h.addRows(f, got)
	kinds, names := map[capacity.Kind]int{}, map[string]bool{}
	for _, r := range f.Rows {
		kinds[r.Kind]++
		if names[r.Line+r.What] || r.Percent != 10 || r.How != capacity.OnSockets {
			t.Errorf("%+v", r)
		}
		names[r.Line+r.What] = true
		if want := !strings.HasPrefix(r.What, "counts and loans on sockets"); r.Held != want {
			t.Errorf("%+v", r)
		}
	}
	if kinds[capacity.Membership] != 1 || kinds[capacity.Agreement] != 1 || kinds[capacity.Counts] != 0 {
		t.Errorf("%v", kinds)
	}
	h.n, f = 300, &CapacityResult{}
	h.addRows(f, got)
	for _, r := range f.Rows {
		if r.Kind != "" {
			t.Errorf("the budget's sum has a part of 300 dispatchers: %+v", r)
		}
	}
}

// A team is apart where those that know of it count otherwise; who does not know of it does not matter.
func TestApart(t *testing.T) {
	know := func(a, b uint64) map[string]uint64 { return map[string]uint64{"a": a, "b": b} }
	for name, c := range map[string]struct {
		known []map[string]uint64
		want  int
	}{
		"none":                 {nil, 0},
		"alike":                {[]map[string]uint64{know(3, 4), know(3, 4)}, 0},
		"one is behind":        {[]map[string]uint64{know(3, 4), know(3, 3), know(3, 4)}, 1},
		"in both":              {[]map[string]uint64{know(1, 2), know(2, 1)}, 2},
		"not heard of yet":     {[]map[string]uint64{know(1, 1), know(0, 1)}, 1},
		"not of its knowledge": {[]map[string]uint64{know(1, 1), {"a": 1}, {}}, 0},
	} {
		if got := len(disagreeing(c.known)); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
