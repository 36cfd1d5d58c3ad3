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

// The fleet can run 400 jobs per second. Sixteen tenants ask for more than that through all six instances; one more
// tenant, lone, asks for a fifth more than its reservation through a single instance.
const (
	rebalanceN         = 6
	rebalanceVoters    = 3
	rebalanceShards    = 64
	rebalanceLoneQuota = 30.0 // reservation of the lone tenant, in jobs per second
	rebalanceTenants   = 16
)

var rebalanceLeases = lease.Settings{LeaseSeconds: 1.5, RenewIntervalSeconds: 0.25, NetworkDelaySeconds: 0.05, ClockDrift: 0.01, PollIntervalSeconds: 0.05}

func rebalanceSite(sharded bool, sockets int) Site {
	s := rebalanceLeases
	parties := []string{fmt.Sprintf(`{"name":"lone","quota_per_s":%g}`, rebalanceLoneQuota)}
	for i := range rebalanceTenants {
		parties = append(parties, fmt.Sprintf(`{"name":"t%d","quota_per_s":10}`, i))
	}
	return Site{N: rebalanceN, Workers: 20, Slots: 2, Mean: 100 * time.Millisecond, Link: Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond},
		Sockets: sockets,
		ClassesJSON: `{"name":"job","aim":20,"aim_stretch":2,"hard_limit":60,"value":1,"semantics":"safe"},` +
			`{"name":"once","aim":20,"aim_stretch":2,"hard_limit":60,"value":1,"semantics":"unsafe"}`,
		TenantsJSON: strings.Join(parties, ","),
		File: func(c *Processes, x *Instance) string {
			file := fmt.Sprintf("admin {\n  listen = %q\n}\n", x.Admin)
			if !sharded {
				return file
			}
			var voters, lines, names []string
			for i, y := range c.Nodes {
				if i < rebalanceVoters {
					voters = append(voters, fmt.Sprintf("%s = %q", y.Name, y.AccordAddr))
				}
				lines = append(lines, fmt.Sprintf("%s = %q", y.Name, y.JobsAddr))
				names = append(names, fmt.Sprintf("%q", y.Name))
			}
			return file + fmt.Sprintf("accord {\n  cluster = \"lab\"\n  listen = %q\n  folder = %q\n  voters = { %s }\n  lease = \"%gs\"\n  period = \"%gs\"\n"+
				"  delay = \"%gs\"\n  drift = %g\n  look = \"%gs\"\n  journal = %q\n}\nshards {\n  count = %d\n  listen = %q\n  instances = { %s }\n  tolerance = 0.1\n"+
				"  at_once = 8\n}\nrules {\n  based_on = 0\n  instances = [%s]\n}\n",
				x.AccordListen, x.Dir, strings.Join(voters, ", "), s.LeaseSeconds, s.RenewIntervalSeconds, s.NetworkDelaySeconds, s.ClockDrift, s.PollIntervalSeconds, x.Journal,
				rebalanceShards, x.JobsListen, strings.Join(lines, ", "), strings.Join(names, ", "))
		}}
}

// shardOwners returns, by the instance with the newest rules, how many shards have an owner and how
// often owners have changed, over all shards.
func (c *Processes) shardOwners() (owned, changes int) {
	var newest uint64
	for _, x := range c.Nodes {
		s, ok := x.accordStatus()
		if !ok || !s.Leased || s.Table == nil || s.Stage != "in force" || s.Version < newest {
			continue
		}
		newest, owned, changes = s.Version, 0, 0
		for _, seat := range s.Table.ShardOwners {
			if seat.Name != "" {
				owned++
			}
			changes += int(seat.Epoch)
		}
	}
	return owned, changes
}

// rebalanceLoad returns the load: the sixteen tenants with rate jobs per second in total, and the lone tenant.
func rebalanceLoad(rate float64, patience time.Duration) (list []Stream) {
	for i := range rebalanceN {
		for t := range rebalanceTenants {
			class := "job"
			if t%4 == 0 {
				class = "once"
			}
			list = append(list, Stream{Tenant: fmt.Sprint("t", t), Class: class, Entry: i, Rate: rate / rebalanceN / rebalanceTenants, ClientTimeout: patience})
		}
	}
	return append(list, Stream{Tenant: "lone", Class: "job", Entry: 0, Rate: rebalanceLoneQuota * 1.2, EvenlySpaced: true, ClientTimeout: patience})
}

// loneTenantShare returns the rate at which the fleet started jobs of the lone tenant, as a fraction of its reservation.
func (c *Processes) loneTenantShare(from, to time.Time) float64 {
	n := 0.0
	for _, j := range c.Fleet.Jobs() {
		if j.Tenant == "lone" && !j.Started.Before(from) && j.Started.Before(to) {
			n++
		}
	}
	return n / to.Sub(from).Seconds() / rebalanceLoneQuota
}

// startRate returns how many jobs per second the fleet started.
func (c *Processes) startRate(from, to time.Time) float64 {
	n := 0.0
	for _, j := range c.Fleet.Jobs() {
		if !j.Started.Before(from) && j.Started.Before(to) {
			n++
		}
	}
	return n / to.Sub(from).Seconds()
}

// reorderedShare returns, of the pairs of one tenant's jobs sent at least a second apart, the fraction that started in
// the other order.
func (c *Processes) reorderedShare(from, to time.Time) float64 {
	sentAt := map[string]time.Time{}
	for _, a := range c.Load.Answers() {
		sentAt[a.ID] = a.At
	}
	starts := map[string][]time.Time{} // when each job was sent, in the order of starts
	jobs := c.Fleet.Jobs()
	slices.SortFunc(jobs, func(a, b Job) int { return a.Started.Compare(b.Started) })
	for _, j := range jobs {
		if at, ok := sentAt[j.ID]; ok && !j.Started.Before(from) && j.Started.Before(to) && j.Tenant != "lone" {
			starts[j.Tenant] = append(starts[j.Tenant], at)
		}
	}
	pairs, reordered := 0.0, 0.0
	for _, list := range starts {
		for i := range list {
			for k := i + 1; k < min(len(list), i+200); k++ {
				if d := list[k].Sub(list[i]); d >= time.Second || d <= -time.Second {
					pairs++
					if d < 0 {
						reordered++
					}
				}
			}
		}
	}
	return reordered / math.Max(pairs, 1)
}

// measureUnsharded measures the lone tenant's share without shards: each instance enforces a sixth of the reservation.
func measureUnsharded(p Params, span time.Duration) (lone, rate float64, err error) {
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
	return c.loneTenantShare(from, to), c.startRate(from, to), nil
}

func runRebalance(p Params) (*Result, error) {
	moves, queued, span := 500, 6000, 20*time.Second
	if p.Quick {
		moves, queued, span = 40, 1500, 8*time.Second
	}
	unsharded, unshardedRate, err := measureUnsharded(p, span/2)
	if err != nil {
		return nil, err
	}
	if p.Without == "shards" { // without shards nothing moves, so the first measurement is all there is
		r := &Result{Size: fmt.Sprintf("%d processes that share nothing", rebalanceN)}
		r.AtLeast("a tenant that enters through one of six gets of its reservation", 0.95, unsharded, "part")
		return r, nil
	}
	c, err := rebalanceSite(true, 6000).Start(p)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &Result{Size: fmt.Sprintf("%d processes, %d shards, %d jobs queued, %d changes of seats", rebalanceN, rebalanceShards, queued, moves)}
	allOwned := func() bool { n, _ := c.shardOwners(); return n == rebalanceShards }
	if err := Until(20*time.Second, "every shard to have an owner", allOwned); err != nil {
		return nil, err
	}
	const patience = 45 * time.Second
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.Load.Play(ctx, p.Seed, rebalanceLoad(500, patience))
	time.Sleep(3 * time.Second)
	calmStart := time.Now()
	time.Sleep(span)
	calmEnd := time.Now()
	lone, order := c.loneTenantShare(calmStart, calmEnd), c.reorderedShare(calmStart, calmEnd)
	p.Log("without faults: the lone tenant has %.3f of its reservation, %.4f of pairs out of order", lone, order)

	// Jobs are queued while shards change owners.
	_, before := c.shardOwners()
	ownerChanges := func() int { _, n := c.shardOwners(); return n - before }
	player := &Player{Processes: c, Log: p.Log, Bound: 20 * time.Second, Conditions: map[string]func() bool{"seated": allOwned}}
	names := make([]string, 0, rebalanceN)
	for _, x := range c.Nodes {
		names = append(names, x.Name)
	}
	menu := ScheduleOptions{Steps: 3, Gap: 700 * time.Millisecond, Span: 3 * time.Second, Faults: []string{"kill", "kill", "stop", "cut", "delay", "reset"}, Names: names,
		When: []string{"seated"}}
	began, faults, mostQueued := time.Now(), 0, 0
	for n := uint64(0); ownerChanges() < moves && time.Since(began) < time.Duration(moves)*time.Second; n++ {
		s := menu.Generate(p.Seed + n)
		if err := player.Play(context.Background(), s); err != nil {
			return nil, err
		}
		faults += len(s)
		queuedNow := 0
		for _, x := range c.Nodes {
			var st struct{ Entries int }
			if x.Ask("/shards", &st) == nil {
				queuedNow += st.Entries
			}
		}
		mostQueued = max(mostQueued, queuedNow)
		if queuedNow > queued { // a long queue is only logged
			p.Log("%d jobs are queued at shard owners", queuedNow)
		}
	}
	movesEnd := time.Now()
	moved := ownerChanges()
	if err := Until(20*time.Second, "every shard to have an owner again", allOwned); err != nil {
		return nil, err
	}
	orderMoved := c.reorderedShare(calmEnd, movesEnd)
	stop()
	c.Load.Wait()

	acts := c.Halt()
	v := acts.Evaluate(func(uint64) bool { return true })
	for _, x := range append(v.ShardConflicts, v.Exclusive...)[:min(len(v.ShardConflicts)+len(v.Exclusive), 5)] {
		p.Log("%v", x)
	}
	h := c.History(invariants.Limits{Grace: 0.016, NetworkSlack: 0.75}, []invariants.Class{{Name: "job", Repeat: "safe"}, {Name: "once", Repeat: "unsafe"}})
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
	ownerless := c.ownerlessTimes(acts)
	quantile := func(q float64) float64 {
		if len(ownerless) == 0 {
			return 0
		}
		return ownerless[min(int(q*float64(len(ownerless))), len(ownerless)-1)]
	}
	r.AtLeast("changes of seats", float64(moves), float64(moved), "changes")
	r.AtMost("jobs lost: no answer though holder and client lived", 0, float64(lost), "jobs")
	r.AtMost("jobs that ran twice and must not", 0, float64(twice), "jobs")
	r.AtMost("times in which two seated one shard", 0, float64(len(v.ShardConflicts)+len(v.Exclusive)), "times")
	r.AtMost("versions that went back at an instance", 0, float64(len(v.Regressions)), "times")
	r.AtLeast("a tenant that enters through one of six gets of its reservation", 0.95, lone, "part")
	r.AtMost("pairs of a tenant's jobs, a second apart, begun in the other order, beyond those without moves", 0.05, orderMoved-order, "part")
	r.Note("today: the same tenant without shards", unsharded, "part")
	r.Note("jobs begun a second, today", unshardedRate, "jobs/s")
	r.Note("jobs begun a second, calm", c.startRate(calmStart, calmEnd), "jobs/s")
	r.Note("jobs begun a second, under faults", c.startRate(calmEnd, movesEnd), "jobs/s")
	r.Note("a shard is nobody's in a change of seats, p50", quantile(0.5), "s")
	r.Note("a shard is nobody's in a change of seats, p99", quantile(0.99), "s")
	r.Note("jobs at seats at one time, at most", float64(mostQueued), "jobs")
	r.Note("faults played", float64(faults), "faults")
	r.Note("jobs asked", float64(asked), "jobs")
	r.Note("jobs served", float64(served), "jobs")
	return r, nil
}

// ownerlessTimes returns how long shards had no owner when the owner changed, in seconds and ascending.
func (c *Processes) ownerlessTimes(acts invariants.Journals) (list []float64) {
	type span struct {
		name     string
		from, to int64
	}
	spansByShard := map[int][]span{}
	lines := slices.Clone(acts.Lines)
	slices.SortStableFunc(lines, func(a, b invariants.JournalEntry) int { return cmp.Compare(a.At, b.At) })
	last := map[string]invariants.JournalEntry{}
	for _, l := range lines {
		previous := last[l.Name]
		last[l.Name] = l
		for _, n := range l.Shards {
			s := spansByShard[n]
			if k := len(s) - 1; k >= 0 && s[k].name == l.Name && slices.Contains(previous.Shards, n) {
				s[k].to = l.Until
				continue
			}
			spansByShard[n] = append(s, span{l.Name, l.At, l.Until})
		}
		for _, n := range previous.Shards { // ownership ends at the first line without the shard
			if s := spansByShard[n]; !slices.Contains(l.Shards, n) && len(s) > 0 && s[len(s)-1].name == l.Name {
				s[len(s)-1].to = min(s[len(s)-1].to, l.At)
			}
		}
	}
	for _, s := range spansByShard {
		for i := 1; i < len(s); i++ {
			list = append(list, float64(max(0, s[i].from-s[i-1].to))/1e9)
		}
	}
	slices.Sort(list)
	return list
}
