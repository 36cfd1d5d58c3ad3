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

// Hollow instances and a real one form one cluster: they see each other, count the starts at every instance, and are
// seen to leave when their process is killed. No process is left after the cluster is closed.
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
		t.Fatalf("hollow instances are distributed wrongly over %d processes", len(c.Hosts))
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
	// With hashed owners, an instance that starts nothing and owns no active team sends no counts. So the test
	// measures while load runs, until one second shows all kinds of traffic at a real, a hollow and a voting
	// instance.
	groups := h.groups(c)
	var costs []Cost
	if err := Until(20*time.Second, "bytes of each kind at each instance", func() bool {
		if costs, err = c.Measure(time.Second, groups[groupReal], groups[groupAlone], groups[groupVoters]); err != nil {
			t.Fatal(err)
		}
		for _, x := range costs {
			if x.Sent <= 0 || x.Received <= 0 || x.Worst < x.Sent || x.CPU <= 0 || x.Memory <= 0 || x.Descriptors <= 0 || x.By[TrafficOther].Sent.Bytes > 0 {
				t.Fatalf("cost of an instance is incomplete or has unclassified bytes: %+v", x)
			}
			if x.By[TrafficExchange].Sent.Bytes <= 0 || x.By[TrafficMembership].Sent.Bytes <= 0 || x.By[TrafficAgreement].Sent.Bytes <= 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("not all kinds of traffic seen: %v: %+v", err, costs)
	}
	stop()
	// With hashed owners, other instances are not told of a team: all instances that know of a team (its owners and
	// the instances that serve it) report the same count, and the sum over all teams equals the number of starts.
	if err := Until(20*time.Second, "equal counts at all instances that know of a team", func() bool {
		states, err := c.HollowStates()
		if err != nil {
			return false
		}
		want, sum := uint64(0), uint64(0)
		for _, n := range c.Fleet.JobsByTenant() {
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
		for _, counts := range all {
			for team, net := range counts {
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
		t.Error("a killed process still responds or has a process ID")
	}
	if err := Until(30*time.Second, "the others see that the killed instance has left", func() bool {
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
			t.Errorf("process %d still exists after the cluster was closed", pid)
		}
	}
}

// A host process that hangs must not block its caller forever.
func TestHollowThatHangs(t *testing.T) {
	responses, responsesEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer responsesEnd.Close()
	commands, commandsEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer commands.Close()
	h := &HollowHost{Name: "hollow-1", in: commandsEnd, pipe: responses, out: json.NewDecoder(responses), timeout: 20 * time.Millisecond}
	if _, err := h.Execute(hollow.Command{Report: true}); err == nil || !strings.Contains(err.Error(), "no answer within 20ms") {
		t.Errorf("got error %v from a process that does not respond, want a timeout", err)
	}
}

// A host process of hollow instances exits with the laboratory, also when the laboratory is killed.
func TestHollowEndsWithItsParent(t *testing.T) {
	dir := t.TempDir()
	pidFile := filepath.Join(dir, "pid")
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), "LAB_HOLLOW="+pidFile, "LAB_PROGRAM="+program(t))
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	defer parent.Wait()
	defer parent.Process.Kill()
	var pid int
	if err := Until(30*time.Second, "start of the hollow instances", func() bool {
		raw, err := os.ReadFile(pidFile)
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
		t.Fatalf("process %d does not run hollow instances", pid)
	}
	parent.Process.Kill()
	if err := Until(10*time.Second, "exit of the host process", func() bool { return !alive() }); err != nil {
		t.Fatal(err)
	}
}

// startForTest starts two hollow instances, writes the ID of their process to pidFile and blocks.
func startForTest(pidFile string) {
	h := hollowCluster{n: 2, hosts: 1, lostZone: -1, peers: true, load: capacity.NewLoad(10, 3)}
	c, err := h.start(Params{Seed: 3, Out: filepath.Dir(pidFile), Program: os.Getenv("LAB_PROGRAM"), Log: func(string, ...any) {}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.WriteFile(pidFile+".new", []byte(strconv.Itoa(c.Hosts[0].Pid())), 0o600)
	os.Rename(pidFile+".new", pidFile)
	select {}
}

// Claims fail when hollow instances differ from real ones, and when the cluster does not reconnect or agree on counts
// again.
func TestHollowClaims(t *testing.T) {
	h := hollowCluster{n: 24, real: 2, load: capacity.NewLoad(10, 3)}
	cost := func(bytes, cpu float64) Cost { return Cost{Sent: bytes, Received: bytes, CPU: cpu, Alive: 2} }
	same := [5]Cost{groupReal: cost(1000, 12), groupAlone: cost(1000, 10), groupStandalone: cost(0, 2), groupShared: cost(1000, 5), groupVoters: cost(2000, 9)}
	for name, c := range map[string]struct {
		change func(f *hollowResult)
		broken int
	}{
		"equal":                     {func(*hollowResult) {}, 0},
		"more bytes at rest":        {func(f *hollowResult) { f.standIns[0].Sent *= 1.4 }, 1},
		"fewer bytes at peak":       {func(f *hollowResult) { f.standIns[1].Received *= 0.6 }, 1},
		"less CPU time":             {func(f *hollowResult) { f.standIns[1].CPU = 8 }, 1},
		"more CPU time at rest":     {func(f *hollowResult) { f.standIns[0].CPU = 12 }, 1},
		"no CPU time":               {func(f *hollowResult) { f.standIns[0].CPU, f.rest[groupReal].CPU = 0, 2 }, 1},
		"nothing measured":          {func(f *hollowResult) { f.standIns[0], f.rest[groupReal] = Cost{}, Cost{} }, 2},
		"counts never agree":        {func(f *hollowResult) { f.convergedAfter = math.Inf(1) }, 1},
		"never connected":           {func(f *hollowResult) { f.connectedAfter = math.Inf(1) }, 1},
		"less CPU time in no claim": {func(f *hollowResult) { f.zoneLoss[groupAlone].CPU = 0 }, 0},
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
			t.Errorf("%s: got %d broken claims of %d: %+v", name, broken, len(f.Claims), f.Claims)
		}
	}
}

// A run is void when the machine was too busy to keep up.
func TestHollowVoid(t *testing.T) {
	h := hollowCluster{n: 24, real: 2, load: capacity.NewLoad(10, 3)}
	for late, void := range map[float64]bool{0: false, maxLateFraction: false, 2 * maxLateFraction: true} {
		f := &CapacityResult{}
		if h.addClaims(CapacityParams{}, f, hollowResult{lateFraction: late}); f.Void != "" != void {
			t.Errorf("%v of the polls late: got void reason %q", late, f.Void)
		}
	}
}

// Rows name each kind of the budget once, and fail where the budget is exceeded.
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
			t.Errorf("row is repeated or has a wrong percentage or method: %+v", r)
		}
		names[r.Line+r.What] = true
		if want := !strings.HasPrefix(r.What, "counts and loans on sockets"); r.Held != want {
			t.Errorf("row has a wrong verdict: %+v", r)
		}
	}
	if kinds[capacity.Membership] != 1 || kinds[capacity.Agreement] != 1 || kinds[capacity.Counts] != 0 {
		t.Errorf("got rows by kind %v, want one of membership and one of agreement", kinds)
	}
	h.n, f = 300, &CapacityResult{}
	h.addRows(f, got)
	for _, r := range f.Rows {
		if r.Kind != "" {
			t.Errorf("a row of 300 dispatchers is part of the budget's sum: %+v", r)
		}
	}
}

// A team counts as disagreeing when the instances that know of it report different counts; instances that do not know
// of it do not matter.
func TestDisagreeing(t *testing.T) {
	counts := func(a, b uint64) map[string]uint64 { return map[string]uint64{"a": a, "b": b} }
	for name, c := range map[string]struct {
		known []map[string]uint64
		want  int
	}{
		"none":             {nil, 0},
		"equal":            {[]map[string]uint64{counts(3, 4), counts(3, 4)}, 0},
		"one is behind":    {[]map[string]uint64{counts(3, 4), counts(3, 3), counts(3, 4)}, 1},
		"in both":          {[]map[string]uint64{counts(1, 2), counts(2, 1)}, 2},
		"not received yet": {[]map[string]uint64{counts(1, 1), counts(0, 1)}, 1},
		"unknown to some":  {[]map[string]uint64{counts(1, 1), {"a": 1}, {}}, 0},
	} {
		if got := len(disagreeing(c.known)); got != c.want {
			t.Errorf("%s: got %d teams, want %d", name, got, c.want)
		}
	}
}
