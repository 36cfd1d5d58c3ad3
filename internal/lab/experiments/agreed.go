package experiments

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/lab/invariants"
)

var agreedExperiment = Experiment{
	Name:    "agreed",
	About:   "Seven real processes agree on versions of the rules while they are killed, stopped and cut off.",
	Without: []string{"leases"},
	Run:     runAgreed,
}

// Five of seven instances vote. A job takes 0.1 s of one of 40 slots; clients ask for a third of that capacity.
const (
	agreedN      = 7
	agreedVoters = 5
	agreedRate   = 20.0 // jobs per second and instance
)

var agreedLeases = lease.Settings{LeaseSeconds: 1, RenewIntervalSeconds: 0.25, NetworkDelaySeconds: 0.03, ClockDrift: 0.01, PollIntervalSeconds: 0.05}

// agreedSite describes a cluster of n instances, of which the first ones vote.
func agreedSite(n, voters int, s lease.Settings, leases bool) Site {
	return Site{N: n, Workers: 20, Slots: 2, Mean: 100 * time.Millisecond, Link: Link{Delay: 2 * time.Millisecond, Jitter: 8 * time.Millisecond},
		ClassesJSON: `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"},` +
			`{"name":"once","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"unsafe"}`,
		TenantsJSON: `{"name":"a","quota_per_s":30},{"name":"b","quota_per_s":30}`,
		File: func(c *Processes, x *Instance) string {
			return x.accordConfig(c.Nodes[:voters], s, leases)
		}}
}

// accordConfig returns the operator's file of an instance with these initial voters.
func (x *Instance) accordConfig(voters []*Instance, s lease.Settings, leases bool) string {
	var addresses []string
	for _, v := range voters {
		addresses = append(addresses, fmt.Sprintf("%s = %q", v.Name, v.AccordAddr))
	}
	return fmt.Sprintf("admin {\n  listen = %q\n}\naccord {\n  cluster = \"lab\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n"+
		"  lease = \"%gs\"\n  period = \"%gs\"\n  delay = \"%gs\"\n  drift = %g\n  look = \"%gs\"\n  journal = %q\n  leases = %v\n}\n",
		x.Admin, x.AccordListen, x.Dir, strings.Join(addresses, ", "), s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds, s.ClockDrift, s.PollIntervalSeconds, x.Journal, leases)
}

// agreedRules returns a rules block. Changes of reservations are exclusive, changes of weights are loose.
func agreedRules(base uint64, reservation, weight int, more ...string) string {
	return fmt.Sprintf("rules {\n  based_on = %d\n  tenant \"a\" {\n    reservation = %d\n    weight = %d\n  }\n%s}\n", base, reservation, weight, strings.Join(more, ""))
}

// accordStatus returns an instance's /accord page; if it does not answer, an empty status (not leased) and false.
func (x *Instance) accordStatus() (s agent.Status, ok bool) {
	if x.Ask("/accord", &s) != nil {
		return agent.Status{}, false
	}
	return s, true
}

// jobsRunTwice describes the jobs of a class that workers ran more than once.
func (c *Processes) jobsRunTwice(class string) (list []string) {
	runs := map[string]int{}
	for _, t := range c.Fleet.Attempts() {
		if t.Last > 0 && !t.Unstarted {
			runs[t.ID]++
		}
	}
	for _, x := range c.Load.Answers() {
		if x.Class == class && runs[x.ID] > 1 {
			list = append(list, fmt.Sprintf("job %s ran %d times", x.ID, runs[x.ID]))
		}
	}
	return list
}

// jobsWithoutOneAnswer describes the jobs that did not get exactly one final answer although their instance kept
// running.
func (c *Processes) jobsWithoutOneAnswer() (list []string) {
	for _, x := range c.History(invariants.Limits{}, nil).Requests {
		if len(x.Answers) != 1 && x.DisconnectedAt == 0 && !x.NeverAccepted {
			list = append(list, fmt.Sprintf("job %s, sent to n%s at %.3f s, got %d answers", x.ID, x.Dispatcher, x.SentAt, len(x.Answers)))
		}
	}
	return list
}

// agreement proposes versions of the rules and records the outcomes.
type agreement struct {
	*Processes
	site      Site
	rng       *rand.Rand
	version   uint64
	values    [2]int // reservation and weight of tenant a in force
	exclusive map[uint64]bool
	refused   int
	slowest   [2]time.Duration // longest time from a proposal until it is in force: loose, exclusive
}

// observeNewVersion reports whether an instance acts on a later version than the last observed one, and records that
// version.
func (a *agreement) observeNewVersion() bool {
	for _, x := range a.Nodes {
		s, ok := x.accordStatus()
		if !ok || !s.Leased || s.Table == nil || s.Stage != "in force" || s.Version <= a.version || s.Table.Version != s.Version {
			continue
		}
		t, _ := s.Table.Tenant("a")
		if t.Reservation == nil || t.Weight == nil {
			continue
		}
		values := [2]int{int(*t.Reservation), int(*t.Weight)}
		// Since propose waits for each version, usually there is one new version. There can be two if both
		// sides of a cut proposed one after the other; then either may have changed the value.
		for v := a.version + 1; v <= s.Version; v++ {
			a.exclusive[v] = values[0] != a.values[0]
		}
		a.version, a.values = s.Version, values
		return true
	}
	return false
}

// propose changes the rules in one instance's file or, in one of five cases, differently in two instances' files.
func (a *agreement) propose() {
	exclusive := a.rng.IntN(2) == 0
	began, base := time.Now(), a.version
	for range 1 + a.rng.IntN(5)/4 {
		next := a.values
		if exclusive {
			next[0] = 1 + (next[0]+a.rng.IntN(40))%60
		} else {
			next[1] = 1 + (next[1]+a.rng.IntN(6))%9
		}
		x := a.Nodes[a.rng.IntN(len(a.Nodes))]
		x.Write(a.site.File(a.Processes, x) + agreedRules(base, next[0], next[1]))
		x.Reload()
	}
	if Until(5*time.Second, "a new version", a.observeNewVersion) != nil {
		a.refused++ // for example, by a process that was killed, cut off or had an outdated file
		return
	}
	k := 0
	if a.exclusive[a.version] {
		k = 1
	}
	a.slowest[k] = max(a.slowest[k], time.Since(began))
}

func runAgreed(p Params) (*Result, error) {
	versions, gap := 200, 900*time.Millisecond
	if p.Quick {
		versions = 16
	}
	first := agreedRules(0, 30, 1)
	a := &agreement{site: agreedSite(agreedN, agreedVoters, agreedLeases, p.Without != "leases"), rng: rand.New(rand.NewPCG(p.Seed, 0xa9)), exclusive: map[uint64]bool{}}
	start := a.site
	start.File = func(c *Processes, x *Instance) string { return a.site.File(c, x) + first }
	c, err := start.Start(p)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	a.Processes = c
	r := &Result{Size: fmt.Sprintf("%d processes, %d of them voters, leases of %g s, %d versions", agreedN, agreedVoters, agreedLeases.LeaseSeconds, versions)}
	if err := Until(20*time.Second, "a first version in force", a.observeNewVersion); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var streams []Stream
	for i := range agreedN {
		for _, t := range []string{"a", "b"} {
			for _, k := range []string{"job", "once"} {
				streams = append(streams, Stream{Tenant: t, Class: k, Entry: i, Rate: agreedRate / 4, ClientTimeout: 2 * time.Second})
			}
		}
	}
	c.Load.Play(ctx, p.Seed, streams)

	player := &Player{Processes: c, Log: p.Log, Names: map[string]func() string{"leader": func() string {
		for _, x := range c.Nodes {
			if s, ok := x.accordStatus(); ok && s.Voter != nil && s.Voter.IsLeader {
				return x.Name
			}
		}
		return ""
	}}}
	names := []string{"leader"}
	for _, x := range c.Nodes {
		names = append(names, x.Name)
	}
	menu := ScheduleOptions{Gap: gap, Span: 3 * time.Second, Faults: []string{"kill", "stop", "stop", "cut", "cut", "delay", "slow", "lose", "reset", "fill"}, Names: names}
	faults, played := 0, make(chan error, 1)
	ended := make(chan struct{})
	go func() { // short schedules one after the other, until enough versions are agreed on
		for n := uint64(0); ; n++ {
			menu.Steps = 6
			s := menu.Generate(p.Seed + n)
			if err := player.Play(context.Background(), s); err != nil {
				played <- err
				return
			}
			faults += len(s)
			select {
			case <-ended:
				played <- nil
				return
			default:
			}
		}
	}()
	agreed, deadline := 0, time.Now().Add(time.Duration(versions)*4*time.Second)
	for agreed < versions && time.Now().Before(deadline) {
		before := a.version
		a.propose()
		agreed += int(a.version - before)
	}
	close(ended)
	if err := <-played; err != nil {
		return nil, err
	}

	// Cut off a side with a minority of the voters.
	if err := Until(20*time.Second, "all have a lease", func() bool {
		for _, x := range c.Nodes {
			if s, ok := x.accordStatus(); !ok || !s.Leased {
				return false
			}
		}
		return true
	}); err != nil {
		return nil, err
	}
	inMinority := func(i int) bool { return i >= 3 && i != 4 } // n3, n5, n6: one voter of five
	heal := c.Relay.AddFault(func(x, y int) bool { return inMinority(x) != inMinority(y) }, Link{Cut: true})
	expiry := time.Duration((agreedLeases.Bounds().ConflictSeconds + 0.5) * float64(time.Second))
	time.Sleep(expiry)
	from := time.Now()
	for n := range 2 { // the majority agrees on new versions, so the minority's version is outdated
		next := [2]int{1 + (a.values[0]+7*n+5)%60, a.values[1]}
		c.Nodes[4].Write(a.site.File(c, c.Nodes[4]) + agreedRules(a.version, next[0], next[1]))
		c.Nodes[4].Reload()
		if err := Until(10*time.Second, "a version in force on the large side of the cut", a.observeNewVersion); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(from.Add(4 * time.Second)))
	to := time.Now()
	time.Sleep(3 * time.Second) // longer than the clients' timeout
	heal()
	stop()
	c.Load.Wait()

	asked, served := 0, 0
	for _, x := range AnswersBetween(c.Load.Answers(), from, to, 3, 5, 6) {
		if asked++; x.Status == 200 {
			served++
		}
	}
	acts := c.Halt()
	v := acts.Evaluate(func(v uint64) bool { return a.exclusive[v] })
	for _, list := range [][]invariants.Conflict{v.Exclusive, v.Forks} {
		for _, x := range list[:min(len(list), 5)] {
			p.Log("%v", x)
		}
	}
	for _, x := range append(v.Regressions, v.Late...) {
		p.Log("%s", x)
	}
	twice, unanswered := c.jobsRunTwice("once"), c.jobsWithoutOneAnswer()
	for _, x := range append(unanswered, twice...) {
		p.Log("%s", x)
	}
	r.AtLeast("versions that were agreed on", float64(versions), float64(agreed), "versions")
	r.AtMost("times in which two acted on exclusive rules that contradict", 0, float64(len(v.Exclusive)), "times")
	r.AtMost("times in which two acted on different rules of one version", 0, float64(len(v.Forks)), "times")
	r.AtMost("two acted on loose rules that contradict, at most", agreedLeases.Bounds().ConflictSeconds, v.Loose, "s")
	r.AtMost("versions that went back at an instance", 0, float64(len(v.Regressions)), "times")
	r.AtMost("lines of journals that claim an ended lease, or are damaged", 0, float64(len(v.Late)+v.Damaged), "lines")
	r.AtMost("jobs without one final answer from an instance that ran", 0, float64(len(unanswered)), "jobs")
	r.AtMost("jobs that ran twice and must not", 0, float64(len(twice)), "jobs")
	r.AtLeast("served of what was asked in the minority of a cut, without leases", 0.95, float64(served)/math.Max(float64(asked), 1), "part")
	exclusive := 0
	for _, is := range a.exclusive {
		if is {
			exclusive++
		}
	}
	r.Note("exclusive versions", float64(exclusive), "versions")
	r.Note("faults played", float64(faults), "faults")
	r.Note("proposals that came to nothing", float64(a.refused), "proposals")
	r.Note("slowest loose version, from proposal to in force", a.slowest[0].Seconds(), "s")
	r.Note("slowest exclusive version, from proposal to in force", a.slowest[1].Seconds(), "s")
	r.Note("times looked at, in which an instance acted on one position", float64(v.Spans), "times")
	return r, nil
}
