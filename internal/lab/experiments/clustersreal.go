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

// A cluster does 400 jobs a second; clients ask each for 60. Workers warm up in some seconds, so that a
// move takes some steps.
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

// crossing is two clusters, by their place in crossNames, that move services.
type crossing struct {
	p     Params
	sites []*Processes
	all   *Processes // instances of both, for links
	rng   *rand.Rand
	at    int // where services are to be
	steps []float64
	took  []float64
	rest  []crossRest
	anew  int // files that were written anew
}

// crossRest is a moment at which all is said to be in one cluster.
type crossRest struct {
	at    int64
	where string
}

// file is the operator's of an instance: based on a version, with all services in one cluster.
func (x *crossing) file(c *Processes, i *Instance, base uint64) string {
	side := slices.Index(c.Sites, c)
	voters := func(c *Processes) string {
		var at []string
		for _, v := range c.Nodes {
			at = append(at, fmt.Sprintf("%s = %q", v.Name, v.Way))
		}
		return strings.Join(at, ", ")
	}
	s, peer := crossLeases, 1-side
	file := fmt.Sprintf("admin {\n  listen = %q\n}\naccord {\n  cluster = \"accord-%s\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n  lease = \"%gs\"\n"+
		"  period = \"%gs\"\n  delay = \"%gs\"\n  drift = %g\n  look = \"%gs\"\n  journal = %q\n  leases = %v\n}\n"+
		"clusters {\n  self = %q\n  linger = \"1s\"\n  peer %q {\n    cluster = \"accord-%s\"\n    voters = { %s }\n  }\n}\nrules {\n  based_on = %d\n",
		i.Admin, crossNames[side], i.Accord, i.Dir, voters(c), s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds, s.ClockDrift, s.PollIntervalSeconds, i.Journal, x.p.Without != "leases",
		crossNames[side], crossNames[peer], crossNames[peer], voters(c.Sites[peer]), base)
	for _, name := range crossNames {
		file += fmt.Sprintf("  cluster %q {\n    capacity = %g\n  }\n", name, crossCapacity)
	}
	for _, name := range slices.Sorted(maps.Keys(crossServices)) {
		file += fmt.Sprintf("  tenant %q {\n    reservation = %g\n  }\n  placement %q {\n    cluster = %q\n    origin = %q\n  }\n",
			name, crossServices[name], name, crossNames[x.at], crossNames[0])
	}
	return file + "}\n"
}

func (x *crossing) site() Site {
	var parties []string
	for _, name := range slices.Sorted(maps.Keys(crossServices)) {
		parties = append(parties, fmt.Sprintf(`{"name":%q,"quota_per_s":%g}`, name, crossServices[name]))
	}
	return Site{N: crossN, Workers: 10, Slots: 2, Mean: 50 * time.Millisecond, Link: Link{Delay: 2 * time.Millisecond, Jitter: 4 * time.Millisecond},
		Lanes: `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"},` +
			`{"name":"once","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"unsafe"}`,
		Parties: strings.Join(parties, ","), Rules: fmt.Sprintf(`,"cold_from":0.1,"warm_after":%g`, crossWarm),
		File: func(c *Processes, i *Instance) string { return x.file(c, i, 0) }}
}

// books is what an instance shows; nil if it shows nothing, or stands still.
func (i *Instance) books() *coordinator.Status {
	i.mu.Lock()
	runs := i.cmd != nil && i.stopped == 0
	i.mu.Unlock()
	var s coordinator.Status
	if !runs || i.Ask("/clusters", &s) != nil {
		return nil
	}
	return &s
}

// uses is what a cluster's newest book that is known lets a service use, and how many numbers its moves have had.
func (x *crossing) uses(side int, service string) (v float64, numbers uint64) {
	var newest uint64
	for _, i := range x.sites[side].Nodes {
		s := i.books()
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
			if m.Service == service && m.To == crossNames[x.at] {
				numbers = m.Number
			}
		}
	}
	return v, numbers
}

// out says that a step of a service is in neither's use, by what its source's instances show.
func (x *crossing) out(source int, service string) bool {
	for _, i := range x.sites[source].Nodes {
		if s := i.books(); s != nil && slices.ContainsFunc(s.Moves, func(m coordinator.MoveStatus) bool {
			return m.Service == service && m.From == s.Self && m.InTransit > 0
		}) {
			return true
		}
	}
	return false
}

// over says that all instances show all services where they are to be, and no move that goes on.
func (x *crossing) over() bool {
	for side, c := range x.sites {
		for _, i := range c.Nodes {
			s := i.books()
			if s == nil || slices.ContainsFunc(s.Moves, func(m coordinator.MoveStatus) bool { return m.EndReason == migration.Open }) {
				return false
			}
			uses := map[string]float64{}
			for _, l := range s.Accounts {
				uses[l.Service] = l.Usable
			}
			for name, all := range crossServices {
				if side != x.at {
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

// place has both clusters' files say where services are to be. Which cluster's come first is drawn. A
// file that was based on a version that is not the newest any more is written anew, as an operator would.
func (x *crossing) place(to int) error {
	x.at = to
	for _, side := range x.rng.Perm(2) {
		c := x.sites[side]
		placed := func(base *uint64) bool {
			for _, i := range c.Nodes {
				s, ok := i.accord()
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
		for end := time.Now().Add(30 * time.Second); ; x.anew++ {
			var base uint64
			if err := Until(10*time.Second, "a version in force", func() bool { return placed(&base) || base > 0 }); err != nil {
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
			err := Until(5*time.Second, "services are placed in the "+crossNames[to]+" by the rules of the "+crossNames[side], func() bool { return placed(&base) })
			if err == nil {
				break
			} else if time.Now().After(end) {
				return err
			}
		}
	}
	return nil
}

// follower is an instance of a cluster that does not lead.
func (x *crossing) follower(side int) *Instance {
	list := slices.Clone(x.sites[side].Nodes)
	x.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, i := range list {
		if s, ok := i.accord(); ok && s.Voter != nil && !s.Voter.IsLeader {
			return i
		}
	}
	return list[0]
}

// move has all services go to the other cluster, with faults on the way. An error is one
// of the processes; ended says that the move came to its end.
func (x *crossing) move() (ended bool, err error) {
	from, to := x.at, 1-x.at
	began := time.Now()
	if err := x.place(to); err != nil {
		return false, err
	}
	lapse := time.Duration((crossLeases.Bounds().ConflictSeconds + 1) * float64(time.Second))
	across := func(a, b int) bool { return a/crossN != b/crossN }
	reach := func(part float64) func() bool {
		return func() bool { v, _ := x.uses(to, "a"); return v >= part*crossServices["a"] }
	}
	if early := 0.2 * x.rng.Float64(); Until(20*time.Second, "a step", reach(early)) != nil ||
		Until(10*time.Second, "one more is out", func() bool { return x.out(from, "a") }) != nil {
		return false, nil
	}
	// The link is cut at a step for longer than all leases; an instance that takes in stands still as long.
	heal := x.all.Relay.Lay(across, Link{Cut: true})
	frozen := x.follower(to)
	thaw, err := frozen.Freeze()
	if err != nil {
		return false, err
	}
	x.p.Log("%s: the link is cut, %s stands still", time.Since(began).Round(time.Millisecond), frozen.Name)
	time.Sleep(lapse)
	heal()
	thaw()
	// One that gives is cut off from everybody until two more numbers have been taken: it has not heard
	// of the second's writing off.
	off := x.follower(from)
	join := x.all.Relay.Lay(func(a, b int) bool { return a == off.Index || b == off.Index }, Link{Cut: true})
	v, numbers := x.uses(to, "a")
	x.p.Log("%s: %s is cut off, a has %g of %g in the %s", time.Since(began).Round(time.Millisecond), off.Name, v, crossServices["a"], crossNames[to])
	more := Until(15*time.Second, "more has gone", func() bool {
		now, n := x.uses(to, "a")
		return n >= numbers+2 || now == crossServices["a"]
	})
	join()
	if more != nil {
		return false, nil
	}
	// A cluster starts anew as a whole.
	side := x.rng.IntN(2)
	v, _ = x.uses(to, "a")
	x.p.Log("%s: the %s starts anew, a has %g of %g in the %s", time.Since(began).Round(time.Millisecond), crossNames[side], v, crossServices["a"], crossNames[to])
	for _, i := range x.sites[side].Nodes {
		i.Kill()
	}
	for _, i := range x.sites[side].Nodes {
		if err := i.Start(); err != nil {
			return false, err
		}
	}
	if Until(40*time.Second, "all is over there", x.over) != nil {
		return false, nil
	}
	x.took = append(x.took, time.Since(began).Seconds())
	for _, name := range slices.Sorted(maps.Keys(crossServices)) {
		_, n := x.uses(to, name)
		x.steps = append(x.steps, float64(n))
	}
	time.Sleep(lapse) // what every loop has taken
	x.rest = append(x.rest, crossRest{Steady(), crossNames[to]})
	return true, nil
}

func runClustersReal(p Params) (*Result, error) {
	turns := 10
	if p.Quick {
		turns = 2
	}
	x := &crossing{p: p, rng: rand.New(rand.NewPCG(p.Seed, 0xc1))}
	sites, err := StartSites(p, x.site(), x.site())
	if err != nil {
		return nil, err
	}
	x.sites, x.all = sites, &Processes{Relay: sites[0].Relay}
	for _, c := range sites {
		defer c.Close()
		x.all.Nodes = append(x.all.Nodes, c.Nodes...)
	}
	if err := Until(20*time.Second, "reservations are entered in the east", x.over); err != nil {
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
				p.Log("%s: %+v", i.Name, i.books())
			}
			break
		}
		moved += len(crossServices)
	}
	stop()
	for _, c := range sites {
		c.Load.Wait()
	}
	return x.judge(turns, moved), nil
}

// judge ends the processes and looks at what they and those around them recorded.
func (x *crossing) judge(turns, moved int) *Result {
	r := &Result{Size: fmt.Sprintf("2 clusters of %d processes, leases of %g s, %d turns of %d moves", crossN, crossLeases.LeaseSeconds, turns, len(crossServices))}
	var acts invariants.Journals
	at, back, late, forks := map[string]string{}, 0, 0, 0
	var unanswered, twice []string
	asked, served := 0, 0
	for side, c := range x.sites {
		for _, i := range c.Nodes {
			at[i.Name] = crossNames[side]
		}
		a := c.Halt()
		v := a.Evaluate(func(uint64) bool { return false })
		back, late, forks = back+len(v.Regressions), late+len(v.Late)+v.Damaged, forks+len(v.Forks)
		acts.Lines, acts.Pauses = append(acts.Lines, a.Lines...), append(acts.Pauses, a.Pauses...)
		unanswered, twice = append(unanswered, c.unanswered()...), append(twice, c.twice("once")...)
		for _, y := range c.Load.Answers() {
			if asked++; y.Status == 200 {
				served++
			}
		}
	}
	for _, text := range append(unanswered, twice...) {
		x.p.Log("%s", text)
	}
	beyond, long, most, astray, levels := 0.0, 0.0, 0.0, 0.0, 0
	for name, all := range crossServices {
		list := acts.Levels(name, func(instance string) string { return at[instance] })
		levels += len(list)
		for i, l := range list {
			most = max(most, l.Sum()/all)
			over := migration.Amount(math.Round((l.Sum() - all) * float64(migration.SlotStart))).SlotStarts()
			if over <= 0 {
				continue
			}
			if beyond = max(beyond, over); i+1 < len(list) {
				long += float64(list[i+1].At-l.At) / 1e9
			}
		}
		for _, m := range x.rest {
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
				astray = max(astray, math.Abs(have-want))
			}
		}
	}
	const unit = "slot-starts/s"
	r.AtLeast("moves that came to their end", float64(turns*len(crossServices)), float64(moved), "moves")
	r.AtMost("usable by what instances of both clusters act on, beyond what is reserved, at any moment", 0, beyond, unit)
	r.AtMost("at rest: not where it belongs", 0, astray, unit)
	r.AtMost("versions that went back at an instance", 0, float64(back), "times")
	r.AtMost("times in which two acted on different rules of one version", 0, float64(forks), "times")
	r.AtMost("lines of journals that claim an ended lease, or are damaged", 0, float64(late), "lines")
	r.AtMost("jobs without one final answer from an instance that ran", 0, float64(len(unanswered)), "jobs")
	r.AtMost("jobs that ran twice and must not", 0, float64(len(twice)), "jobs")
	r.Note("largest sum over both clusters, of what is reserved", most, "part")
	r.Note("beyond what is reserved, for", long, "s")
	r.Note("times looked at, in which one sum held", float64(levels), "times")
	if len(x.took) > 0 {
		slices.Sort(x.took)
		slices.Sort(x.steps)
		r.Note("a turn takes, median", x.took[len(x.took)/2], "s")
		r.Note("a turn takes, at most", x.took[len(x.took)-1], "s")
		r.Note("steps of a move, median", x.steps[len(x.steps)/2], "steps")
		r.Note("steps of a move, at most", x.steps[len(x.steps)-1], "steps")
	}
	r.Note("files that had to be written anew", float64(x.anew), "files")
	r.Note("jobs asked", float64(asked), "jobs")
	r.Note("jobs served", float64(served), "jobs")
	return r
}
