package experiments

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/coordinator"
	"example.org/bellstream/internal/lab/invariants"
)

var clustersRealExperiment = Experiment{
	Name:    "clusters-real",
	About:   "Two clusters of three real processes move two services there and back, while they are cut off, stopped and restarted whole.",
	Without: []string{"leases"},
	Run:     runClustersReal,
}

// A cluster can run 400 jobs per second; clients ask each one for 60. Workers warm up over crossWarm seconds, so that
// a move takes several steps.
const (
	crossN        = 3
	crossCapacity = 100.0
	crossWarm     = 7.0 // s
)

var (
	crossLeases   = lease.Settings{LeaseSeconds: 1, RenewIntervalSeconds: 0.25, NetworkDelaySeconds: 0.045, ClockDrift: 0.01, PollIntervalSeconds: 0.05}
	crossServices = map[string]float64{"a": 40, "b": 24}
	crossNames    = []string{"east", "west"}
)

// migrationRun moves services between two clusters, which are indexed as in crossNames.
type migrationRun struct {
	p          Params
	sites      []*Processes
	all        *Processes // instances of both clusters, for link faults
	rng        *rand.Rand
	placedAt   int // index of the cluster in which services are to be
	steps      []float64
	durations  []float64
	restPoints []restPoint
	rewrites   int // number of times that the files were written again
}

// restPoint is a time (MonotonicNow) at which all services should be in one cluster.
type restPoint struct {
	at    int64
	where string
}

// file returns the operator's file of an instance: based on a version, with all services placed in one cluster.
func (x *migrationRun) file(c *Processes, i *Instance, base uint64) string {
	side := slices.Index(c.Sites, c)
	voters := func(c *Processes) string {
		var at []string
		for _, v := range c.Nodes {
			at = append(at, fmt.Sprintf("%s = %q", v.Name, v.AccordAddr))
		}
		return strings.Join(at, ", ")
	}
	s, peer := crossLeases, 1-side
	file := fmt.Sprintf("admin {\n  listen = %q\n}\naccord {\n  cluster = \"accord-%s\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n  lease = \"%gs\"\n"+
		"  period = \"%gs\"\n  delay = \"%gs\"\n  drift = %g\n  look = \"%gs\"\n  journal = %q\n  leases = %v\n}\n"+
		"clusters {\n  self = %q\n  linger = \"1s\"\n  peer %q {\n    cluster = \"accord-%s\"\n    voters = { %s }\n  }\n}\nrules {\n  based_on = %d\n",
		i.Admin, crossNames[side], i.AccordListen, i.Dir, voters(c), s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds, s.ClockDrift, s.PollIntervalSeconds, i.Journal, x.p.Without != "leases",
		crossNames[side], crossNames[peer], crossNames[peer], voters(c.Sites[peer]), base)
	for _, name := range crossNames {
		file += fmt.Sprintf("  cluster %q {\n    capacity = %g\n  }\n", name, crossCapacity)
	}
	for _, name := range slices.Sorted(maps.Keys(crossServices)) {
		file += fmt.Sprintf("  tenant %q {\n    reservation = %g\n  }\n  placement %q {\n    cluster = %q\n    origin = %q\n  }\n",
			name, crossServices[name], name, crossNames[x.placedAt], crossNames[0])
	}
	return file + "}\n"
}

func (x *migrationRun) site() Site {
	var parties []string
	for _, name := range slices.Sorted(maps.Keys(crossServices)) {
		parties = append(parties, fmt.Sprintf(`{"name":%q,"quota_per_s":%g}`, name, crossServices[name]))
	}
	return Site{N: crossN, Workers: 10, Slots: 2, Mean: 50 * time.Millisecond, Link: Link{Delay: 2 * time.Millisecond, Jitter: 4 * time.Millisecond},
		ClassesJSON: `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"},` +
			`{"name":"once","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"unsafe"}`,
		TenantsJSON: strings.Join(parties, ","), ExtraRules: fmt.Sprintf(`,"cold_from":0.1,"warm_after":%g`, crossWarm),
		File: func(c *Processes, i *Instance) string { return x.file(c, i, 0) }}
}

// migrationStatus returns an instance's /clusters page; nil if it does not run, is frozen or does not answer.
func (i *Instance) migrationStatus() *coordinator.Status {
	i.mu.Lock()
	runs := i.cmd != nil && i.frozenGeneration == 0
	i.mu.Unlock()
	var s coordinator.Status
	if !runs || i.Ask("/clusters", &s) != nil {
		return nil
	}
	return &s
}

// usable returns what a service may use by the cluster's newest known accounts, and the sequence number of its
// current move.
func (x *migrationRun) usable(side int, service string) (v float64, numbers uint64) {
	var newest uint64
	for _, i := range x.sites[side].Nodes {
		s := i.migrationStatus()
		if s == nil || s.Version < newest {
			continue
		}
		newest, v, numbers = s.Version, 0, 0
		for _, l := range s.Accounts {
			if l.Service == service {
				v = l.Usable
			}
		}
		for _, m := range s.Moves {
			if m.Service == service && m.To == crossNames[x.placedAt] {
				numbers = m.Number
			}
		}
	}
	return v, numbers
}

// inTransit reports whether, by the source's instances, a step of a service is in transit: usable in neither cluster.
func (x *migrationRun) inTransit(source int, service string) bool {
	for _, i := range x.sites[source].Nodes {
		if s := i.migrationStatus(); s != nil && slices.ContainsFunc(s.Moves, func(m coordinator.MoveStatus) bool {
			return m.Service == service && m.From == s.Self && m.InTransit > 0
		}) {
			return true
		}
	}
	return false
}

// settled reports whether all instances show all services in the intended cluster and no move in progress.
func (x *migrationRun) settled() bool {
	for side, c := range x.sites {
		for _, i := range c.Nodes {
			s := i.migrationStatus()
			if s == nil || slices.ContainsFunc(s.Moves, func(m coordinator.MoveStatus) bool { return m.EndReason == migration.Open }) {
				return false
			}
			uses := map[string]float64{}
			for _, l := range s.Accounts {
				uses[l.Service] = l.Usable
			}
			for name, all := range crossServices {
				if side != x.placedAt {
					all = 0
				}
				if uses[name] != all {
					return false
				}
			}
		}
	}
	return true
}

// placeServices writes the placement into both clusters' files, in random order. A file that is based on an outdated
// version is written again, as an operator would do.
func (x *migrationRun) placeServices(to int) error {
	x.placedAt = to
	for _, side := range x.rng.Perm(2) {
		c := x.sites[side]
		isPlaced := func(base *uint64) bool {
			for _, i := range c.Nodes {
				s, ok := i.accordStatus()
				if !ok || s.Table == nil || s.Stage != "in force" {
					continue
				}
				*base = max(*base, s.Version)
				if p, _ := s.Table.Placement("a"); p.Cluster == crossNames[to] {
					return true
				}
			}
			return false
		}
		for deadline := time.Now().Add(30 * time.Second); ; x.rewrites++ {
			var base uint64
			if err := Until(10*time.Second, "a version in force", func() bool { return isPlaced(&base) || base > 0 }); err != nil {
				return err
			}
			for _, i := range c.Nodes {
				if err := i.Write(x.file(c, i, base)); err != nil {
					return err
				}
				if err := i.Reload(); err != nil {
					return err
				}
			}
			err := Until(5*time.Second, "services are placed in the "+crossNames[to]+" by the rules of the "+crossNames[side], func() bool { return isPlaced(&base) })
			if err == nil {
				break
			} else if time.Now().After(deadline) {
				return err
			}
		}
	}
	return nil
}

// follower returns a random instance of a cluster that is a voter but not the leader.
func (x *migrationRun) follower(side int) *Instance {
	list := slices.Clone(x.sites[side].Nodes)
	x.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, i := range list {
		if s, ok := i.accordStatus(); ok && s.Voter != nil && !s.Voter.IsLeader {
			return i
		}
	}
	return list[0]
}

// move moves all services to the other cluster while faults are injected. It returns an error only if a
// process fails; ended reports whether the move completed.
func (x *migrationRun) move() (ended bool, err error) {
	from, to := x.placedAt, 1-x.placedAt
	began := time.Now()
	if err := x.placeServices(to); err != nil {
		return false, err
	}
	expiry := time.Duration((crossLeases.Bounds().ConflictSeconds + 1) * float64(time.Second))
	across := func(a, b int) bool { return a/crossN != b/crossN }
	reach := func(part float64) func() bool {
		return func() bool { v, _ := x.usable(to, "a"); return v >= part*crossServices["a"] }
	}
	if firstShare := 0.2 * x.rng.Float64(); Until(20*time.Second, "a step", reach(firstShare)) != nil ||
		Until(10*time.Second, "another step in transit", func() bool { return x.inTransit(from, "a") }) != nil {
		return false, nil
	}
	// Cut the link during a step for longer than all leases last, and freeze an instance of the destination as long.
	heal := x.all.Relay.AddFault(across, Link{Cut: true})
	frozen := x.follower(to)
	thaw, err := frozen.Freeze()
	if err != nil {
		return false, err
	}
	x.p.Log("%s: link between the clusters cut, %s frozen", time.Since(began).Round(time.Millisecond), frozen.Name)
	time.Sleep(expiry)
	heal()
	thaw()
	// Cut an instance of the source off from all others until two more sequence numbers have been used, so that it
	// does not know that the second step has been debited.
	isolated := x.follower(from)
	reconnect := x.all.Relay.AddFault(func(a, b int) bool { return a == isolated.Index || b == isolated.Index }, Link{Cut: true})
	v, numbers := x.usable(to, "a")
	x.p.Log("%s: %s is cut off, a has %g of %g in the %s", time.Since(began).Round(time.Millisecond), isolated.Name, v, crossServices["a"], crossNames[to])
	moveErr := Until(15*time.Second, "two more steps", func() bool {
		now, n := x.usable(to, "a")
		return n >= numbers+2 || now == crossServices["a"]
	})
	reconnect()
	if moveErr != nil {
		return false, nil
	}
	// Restart all processes of one cluster.
	side := x.rng.IntN(2)
	v, _ = x.usable(to, "a")
	x.p.Log("%s: restarting all of the %s, a has %g of %g in the %s", time.Since(began).Round(time.Millisecond), crossNames[side], v, crossServices["a"], crossNames[to])
	for _, i := range x.sites[side].Nodes {
		i.Kill()
	}
	for _, i := range x.sites[side].Nodes {
		if err := i.Start(); err != nil {
			return false, err
		}
	}
	if Until(40*time.Second, "all services to have moved", x.settled) != nil {
		return false, nil
	}
	x.durations = append(x.durations, time.Since(began).Seconds())
	for _, name := range slices.Sorted(maps.Keys(crossServices)) {
		_, n := x.usable(to, name)
		x.steps = append(x.steps, float64(n))
	}
	time.Sleep(expiry) // long enough for every polling loop to have seen the result
	x.restPoints = append(x.restPoints, restPoint{MonotonicNow(), crossNames[to]})
	return true, nil
}

func runClustersReal(p Params) (*Result, error) {
	turns := 10
	if p.Quick {
		turns = 2
	}
	x := &migrationRun{p: p, rng: rand.New(rand.NewPCG(p.Seed, 0xc1))}
	sites, err := StartSites(p, x.site(), x.site())
	if err != nil {
		return nil, err
	}
	x.sites, x.all = sites, &Processes{Relay: sites[0].Relay}
	for _, c := range sites {
		defer c.Close()
		x.all.Nodes = append(x.all.Nodes, c.Nodes...)
	}
	if err := Until(20*time.Second, "reservations to be usable in the east", x.settled); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for side, c := range sites {
		var streams []Stream
		for i := range crossN {
			for name := range crossServices {
				for _, class := range []string{"job", "once"} {
					streams = append(streams, Stream{Tenant: name, Class: class, Entry: i, Rate: 5, ClientTimeout: 2 * time.Second})
				}
			}
		}
		c.Load.Play(ctx, p.Seed+uint64(side), streams)
	}
	moved := 0
	for range turns {
		ended, err := x.move()
		if err != nil {
			return nil, err
		}
		if !ended {
			for _, i := range x.all.Nodes {
				p.Log("%s: %+v", i.Name, i.migrationStatus())
			}
			break
		}
		moved += len(crossServices)
	}
	stop()
	for _, c := range sites {
		c.Load.Wait()
	}
	return x.evaluate(turns, moved), nil
}

// evaluate ends the processes and evaluates the records of processes, clients and workers.
func (x *migrationRun) evaluate(turns, moved int) *Result {
	r := &Result{Size: fmt.Sprintf("2 clusters of %d processes, leases of %g s, %d turns of %d moves", crossN, crossLeases.LeaseSeconds, turns, len(crossServices))}
	var acts invariants.Journals
	clusterOf, regressions, late, forks := map[string]string{}, 0, 0, 0
	var unanswered, twice []string
	asked, served := 0, 0
	for side, c := range x.sites {
		for _, i := range c.Nodes {
			clusterOf[i.Name] = crossNames[side]
		}
		a := c.Halt()
		v := a.Evaluate(func(uint64) bool { return false })
		regressions, late, forks = regressions+len(v.Regressions), late+len(v.Late)+v.Damaged, forks+len(v.Forks)
		acts.Lines, acts.Pauses = append(acts.Lines, a.Lines...), append(acts.Pauses, a.Pauses...)
		unanswered, twice = append(unanswered, c.jobsWithoutOneAnswer()...), append(twice, c.jobsRunTwice("once")...)
		for _, y := range c.Load.Answers() {
			if asked++; y.Status == 200 {
				served++
			}
		}
	}
	for _, text := range append(unanswered, twice...) {
		x.p.Log("%s", text)
	}
	excess, excessSeconds, largestSum, misplaced, levels := 0.0, 0.0, 0.0, 0.0, 0
	for name, all := range crossServices {
		list := acts.Levels(name, func(instance string) string { return clusterOf[instance] })
		levels += len(list)
		for i, l := range list {
			largestSum = max(largestSum, l.Sum()/all)
			over := migration.Amount(math.Round((l.Sum() - all) * float64(migration.SlotStart))).SlotStarts()
			if over <= 0 {
				continue
			}
			if excess = max(excess, over); i+1 < len(list) {
				excessSeconds += float64(list[i+1].At-l.At) / 1e9
			}
		}
		for _, m := range x.restPoints {
			i, _ := slices.BinarySearchFunc(list, m.at+1, func(l invariants.Level, at int64) int { return cmp.Compare(l.At, at) })
			for _, where := range crossNames {
				want := 0.0
				if where == m.where {
					want = all
				}
				have := math.Inf(1)
				if i > 0 {
					have = list[i-1].By[where]
				}
				misplaced = max(misplaced, math.Abs(have-want))
			}
		}
	}
	const unit = "slot-starts/s"
	r.AtLeast("moves that came to their end", float64(turns*len(crossServices)), float64(moved), "moves")
	r.AtMost("usable by what instances of both clusters act on, beyond what is reserved, at any moment", 0, excess, unit)
	r.AtMost("at rest: not where it belongs", 0, misplaced, unit)
	r.AtMost("versions that went back at an instance", 0, float64(regressions), "times")
	r.AtMost("times in which two acted on different rules of one version", 0, float64(forks), "times")
	r.AtMost("lines of journals that claim an ended lease, or are damaged", 0, float64(late), "lines")
	r.AtMost("jobs without one final answer from an instance that ran", 0, float64(len(unanswered)), "jobs")
	r.AtMost("jobs that ran twice and must not", 0, float64(len(twice)), "jobs")
	r.Note("largest sum over both clusters, of what is reserved", largestSum, "part")
	r.Note("beyond what is reserved, for", excessSeconds, "s")
	r.Note("times looked at, in which one sum held", float64(levels), "times")
	if len(x.durations) > 0 {
		slices.Sort(x.durations)
		slices.Sort(x.steps)
		r.Note("a turn takes, median", x.durations[len(x.durations)/2], "s")
		r.Note("a turn takes, at most", x.durations[len(x.durations)-1], "s")
		r.Note("steps of a move, median", x.steps[len(x.steps)/2], "steps")
		r.Note("steps of a move, at most", x.steps[len(x.steps)-1], "steps")
	}
	r.Note("files that had to be written anew", float64(x.rewrites), "files")
	r.Note("jobs asked", float64(asked), "jobs")
	r.Note("jobs served", float64(served), "jobs")
	return r
}
