package experiments

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/lab/invariants"
)

var rebalanceExperiment = Experiment{
	Name:    "rebalance",
	About:   "Queued work of sixteen tenants moves between six real processes that are killed, stopped and cut off.",
	Without: []string{"shards"},
	Run:     runRebalance,
}

// The fleet does 400 jobs a second. Sixteen tenants ask for more than that through all six; one more asks, through
// one of them alone, for a fifth more than it is promised.
const (
	rebalanceN      = 6
	rebalanceVoters = 3
	rebalanceShards = 64
	rebalanceLone   = 30.0 // jobs a second that the lone tenant is promised
	rebalanceCrowd  = 16
)

var rebalanceLeases = lease.Settings{LeaseSeconds: 1.5, RenewIntervalSeconds: 0.25, NetworkDelaySeconds: 0.05, ClockDrift: 0.01, PollIntervalSeconds: 0.05}

func rebalanceSite(sharded bool, sockets int) Site {
	s := rebalanceLeases
	parties := []string{fmt.Sprintf(`{"name":"lone","quota_per_s":%g}`, rebalanceLone)}
	for i := range rebalanceCrowd {
		parties = append(parties, fmt.Sprintf(`{"name":"t%d","quota_per_s":10}`, i))
	}
	return Site{N: rebalanceN, Workers: 20, Slots: 2, Mean: 100 * time.Millisecond, Link: Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond},
		Sockets: sockets,
		Lanes: `{"name":"job","aim":20,"aim_stretch":2,"hard_limit":60,"value":1,"semantics":"safe"},` +
			`{"name":"once","aim":20,"aim_stretch":2,"hard_limit":60,"value":1,"semantics":"unsafe"}`,
		Parties: strings.Join(parties, ","),
		File: func(c *Processes, x *Instance) string {
			file := fmt.Sprintf("admin {\n  listen = %q\n}\n", x.Admin)
			if !sharded {
				return file
			}
			var voters, lines, names []string
			for i, y := range c.Nodes {
				if i < rebalanceVoters {
					voters = append(voters, fmt.Sprintf("%s = %q", y.Name, y.Way))
				}
				lines = append(lines, fmt.Sprintf("%s = %q", y.Name, y.Line))
				names = append(names, fmt.Sprintf("%q", y.Name))
			}
			return file + fmt.Sprintf("accord {\n  cluster = \"lab\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n  lease = \"%gs\"\n  period = \"%gs\"\n"+
				"  delay = \"%gs\"\n  drift = %g\n  look = \"%gs\"\n  journal = %q\n}\nshards {\n  count = %d\n  listen = %q\n  instances = { %s }\n  tolerance = 0.1\n"+
				"  at_once = 8\n}\nrules {\n  based_on = 0\n  instances = [%s]\n}\n",
				x.Accord, x.Dir, strings.Join(voters, ", "), s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds, s.ClockDrift, s.PollIntervalSeconds, x.Journal,
				rebalanceShards, x.Jobs, strings.Join(lines, ", "), strings.Join(names, ", "))
		}}
}

// seats are the agreed seats, as the instance with the newest rules knows them: how many are taken, and
// how often any was changed.
func (c *Processes) seats() (taken, changes int) {
	var newest uint64
	for _, x := range c.Nodes {
		s, ok := x.accord()
		if !ok || !s.Leased || s.Table == nil || s.Stage != "in force" || s.Version < newest {
			continue
		}
		newest, taken, changes = s.Version, 0, 0
		for _, seat := range s.Table.ShardOwners {
			if seat.Name != "" {
				taken++
			}
			changes += int(seat.Epoch)
		}
	}
	return taken, changes
}

// rebalanceLoad are the streams: a crowd that asks for so much, and the lone tenant.
func rebalanceLoad(rate float64, patience time.Duration) (list []Stream) {
	for i := range rebalanceN {
		for t := range rebalanceCrowd {
			class := "job"
			if t%4 == 0 {
				class = "once"
			}
			list = append(list, Stream{Tenant: fmt.Sprint("t", t), Class: class, Entry: i, Rate: rate / rebalanceN / rebalanceCrowd, ClientTimeout: patience})
		}
	}
	return append(list, Stream{Tenant: "lone", Class: "job", Entry: 0, Rate: rebalanceLone * 1.2, EvenlySpaced: true, ClientTimeout: patience})
}

// lone is the rate at which the fleet began jobs of the lone tenant, against its reservation.
func (c *Processes) lone(from, to time.Time) float64 {
	n := 0.0
	for _, j := range c.Fleet.Jobs() {
		if j.Tenant == "lone" && !j.Started.Before(from) && j.Started.Before(to) {
			n++
		}
	}
	return n / to.Sub(from).Seconds() / rebalanceLone
}

// rate is how many jobs a second the fleet began.
func (c *Processes) rate(from, to time.Time) float64 {
	n := 0.0
	for _, j := range c.Fleet.Jobs() {
		if !j.Started.Before(from) && j.Started.Before(to) {
			n++
		}
	}
	return n / to.Sub(from).Seconds()
}

// turned is the part of pairs of one tenant's jobs, asked for a second apart or more, that began in the other order.
func (c *Processes) turned(from, to time.Time) float64 {
	asked := map[string]time.Time{}
	for _, a := range c.Load.Answers() {
		asked[a.ID] = a.At
	}
	began := map[string][]time.Time{} // in the order in which they began
	jobs := c.Fleet.Jobs()
	slices.SortFunc(jobs, func(a, b Job) int { return a.Started.Compare(b.Started) })
	for _, j := range jobs {
		if at, ok := asked[j.ID]; ok && !j.Started.Before(from) && j.Started.Before(to) && j.Tenant != "lone" {
			began[j.Tenant] = append(began[j.Tenant], at)
		}
	}
	pairs, wrong := 0.0, 0.0
	for _, list := range began {
		for i := range list {
			for k := i + 1; k < min(len(list), i+200); k++ {
				if d := list[k].Sub(list[i]); d >= time.Second || d <= -time.Second {
					pairs++
					if d < 0 {
						wrong++
					}
				}
			}
		}
	}
	return wrong / math.Max(pairs, 1)
}

// today measures the lone tenant's part where nothing is shared: each instance enforces a sixth.
func rebalanceToday(p Params, span time.Duration) (lone, rate float64, err error) {
	q := p
	q.Out += "/today"
	if err := os.MkdirAll(q.Out, 0o755); err != nil {
		return 0, 0, err
	}
	c, err := rebalanceSite(false, 0).Start(q)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.Load.Play(ctx, p.Seed, rebalanceLoad(600, 2*time.Second))
	time.Sleep(3 * time.Second)
	from := time.Now()
	time.Sleep(span)
	to := time.Now()
	return c.lone(from, to), c.rate(from, to), nil
}

func runRebalance(p Params) (*Result, error) {
	moves, queued, span := 500, 6000, 20*time.Second
	if p.Quick {
		moves, queued, span = 40, 1500, 8*time.Second
	}
	today, todayRate, err := rebalanceToday(p, span/2)
	if err != nil {
		return nil, err
	}
	if p.Without == "shards" { // nothing moves, and the tenant has what it has today
		r := &Result{Size: fmt.Sprintf("%d processes that share nothing", rebalanceN)}
		r.AtLeast("a tenant that enters through one of six gets of its reservation", 0.95, today, "part")
		return r, nil
	}
	c, err := rebalanceSite(true, 6000).Start(p)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &Result{Size: fmt.Sprintf("%d processes, %d shards, %d jobs queued, %d changes of seats", rebalanceN, rebalanceShards, queued, moves)}
	seated := func() bool { n, _ := c.seats(); return n == rebalanceShards }
	if err := Until(20*time.Second, "every shard is seated", seated); err != nil {
		return nil, err
	}
	const patience = 45 * time.Second
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.Load.Play(ctx, p.Seed, rebalanceLoad(500, patience))
	time.Sleep(3 * time.Second)
	calm := time.Now()
	time.Sleep(span)
	calmEnd := time.Now()
	lone, order := c.lone(calm, calmEnd), c.turned(calm, calmEnd)
	p.Log("calm: the lone tenant has %.3f of its reservation, %.4f of pairs turned", lone, order)

	// The queue grows while shards move under it.
	_, before := c.seats()
	done := func() int { _, n := c.seats(); return n - before }
	player := &Player{Processes: c, Log: p.Log, Bound: 20 * time.Second, Conditions: map[string]func() bool{"seated": seated}}
	names := make([]string, 0, rebalanceN)
	for _, x := range c.Nodes {
		names = append(names, x.Name)
	}
	menu := Menu{Steps: 3, Gap: 700 * time.Millisecond, Span: 3 * time.Second, Faults: []string{"kill", "kill", "stop", "cut", "delay", "reset"}, Names: names,
		When: []string{"seated"}}
	began, faults, most := time.Now(), 0, 0
	for n := uint64(0); done() < moves && time.Since(began) < time.Duration(moves)*time.Second; n++ {
		s := menu.Draw(p.Seed + n)
		if err := player.Play(context.Background(), s); err != nil {
			return nil, err
		}
		faults += len(s)
		waits := 0
		for _, x := range c.Nodes {
			var st struct{ Entries int }
			if x.Ask("/shards", &st) == nil {
				waits += st.Entries
			}
		}
		most = max(most, waits)
		if waits > queued { // enough: others are to be served as well
			p.Log("%d jobs are at seats", waits)
		}
	}
	movesEnd := time.Now()
	moved := done()
	if err := Until(20*time.Second, "every shard is seated again", seated); err != nil {
		return nil, err
	}
	orderMoved := c.turned(calmEnd, movesEnd)
	stop()
	c.Load.Wait()

	acts := c.Halt()
	v := acts.Evaluate(func(uint64) bool { return true })
	for _, x := range append(v.ShardConflicts, v.Exclusive...)[:min(len(v.ShardConflicts)+len(v.Exclusive), 5)] {
		p.Log("%v", x)
	}
	h := c.History(invariants.Limits{Grace: 0.016, Sockets: 0.75}, []invariants.Class{{Name: "job", Repeat: "safe"}, {Name: "once", Repeat: "unsafe"}})
	lost := 0
	for _, f := range h.Check() {
		if f.Rule == 1 {
			lost++
			p.Log("%v", f)
		}
	}
	runs := map[string]int{}
	for _, t := range h.Attempts {
		if t.Last > 0 && !t.Unstarted {
			runs[t.ID]++
		}
	}
	twice, served, asked := 0, 0, 0
	for _, a := range c.Load.Answers() {
		if asked++; a.Status == 200 {
			served++
		}
		if a.Class == "once" && runs[a.ID] > 1 {
			twice++
			p.Log("job %s ran %d times", a.ID, runs[a.ID])
		}
	}
	sealed := c.sealed(acts)
	at := func(q float64) float64 {
		if len(sealed) == 0 {
			return 0
		}
		return sealed[min(int(q*float64(len(sealed))), len(sealed)-1)]
	}
	r.AtLeast("changes of seats", float64(moves), float64(moved), "changes")
	r.AtMost("jobs lost: no answer though holder and client lived", 0, float64(lost), "jobs")
	r.AtMost("jobs that ran twice and must not", 0, float64(twice), "jobs")
	r.AtMost("times in which two seated one shard", 0, float64(len(v.ShardConflicts)+len(v.Exclusive)), "times")
	r.AtMost("versions that went back at an instance", 0, float64(len(v.Regressions)), "times")
	r.AtLeast("a tenant that enters through one of six gets of its reservation", 0.95, lone, "part")
	r.AtMost("pairs of a tenant's jobs, a second apart, begun in the other order, beyond those without moves", 0.05, orderMoved-order, "part")
	r.Note("today: the same tenant without shards", today, "part")
	r.Note("jobs begun a second, today", todayRate, "jobs/s")
	r.Note("jobs begun a second, calm", c.rate(calm, calmEnd), "jobs/s")
	r.Note("jobs begun a second, under faults", c.rate(calmEnd, movesEnd), "jobs/s")
	r.Note("a shard is nobody's in a change of seats, p50", at(0.5), "s")
	r.Note("a shard is nobody's in a change of seats, p99", at(0.99), "s")
	r.Note("jobs at seats at one time, at most", float64(most), "jobs")
	r.Note("faults played", float64(faults), "faults")
	r.Note("jobs asked", float64(asked), "jobs")
	r.Note("jobs served", float64(served), "jobs")
	return r, nil
}

// sealed are the times between one's last moment at a shard's seat and the next one's first, in seconds, ascending.
func (c *Processes) sealed(acts invariants.Journals) (list []float64) {
	type span struct {
		name     string
		from, to int64
	}
	by := map[int][]span{}
	lines := slices.Clone(acts.Lines)
	slices.SortStableFunc(lines, func(a, b invariants.JournalEntry) int { return cmp.Compare(a.At, b.At) })
	last := map[string]invariants.JournalEntry{}
	for _, l := range lines {
		was := last[l.Name]
		last[l.Name] = l
		for _, n := range l.Shards {
			s := by[n]
			if k := len(s) - 1; k >= 0 && s[k].name == l.Name && slices.Contains(was.Shards, n) {
				s[k].to = l.Until
				continue
			}
			by[n] = append(s, span{l.Name, l.At, l.Until})
		}
		for _, n := range was.Shards { // it ends with the line that names it no more
			if s := by[n]; !slices.Contains(l.Shards, n) && len(s) > 0 && s[len(s)-1].name == l.Name {
				s[len(s)-1].to = min(s[len(s)-1].to, l.At)
			}
		}
	}
	for _, s := range by {
		for i := 1; i < len(s); i++ {
			list = append(list, float64(max(0, s[i].from-s[i-1].to))/1e9)
		}
	}
	slices.Sort(list)
	return list
}
