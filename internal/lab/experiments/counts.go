package experiments

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/operatorconfig"
)

var countsExperiment = Experiment{
	Name:    "counts",
	About:   "Five real processes exchange counts through loss, delay, repeats, a partition and a death.",
	Without: []string{"exchange"},
	Run:     runCounts,
}

// The made-up site of the experiment: four tenants with the same weight, of
// which one enters through one dispatcher alone, and a fleet that the others'
// flood keeps busy.
const (
	countsN      = 5
	countsLone   = "lone"
	countsRates  = 2.5 // times what the fleet can do, that the others ask for
	countsWindow = 10 * time.Second
)

var (
	countsTenants = []string{"lone", "north", "east", "south"}
	countsQuotas  = map[string]float64{"lone": 30, "north": 30, "east": 34, "south": 40}
	countsSet     = quota.Settings{Period: 0.25, LeaseDuration: 3, RetainedFraction: 0.02, ForgetAfter: 120, ExpectedInstances: countsN, MaxDelay: 0.05, LossRate: 0.1, Owners: operatorconfig.DefaultOwners}
)

// cluster is five processes, their fleet, their load and the relay between them.
type cluster struct {
	*Processes
	p Params
}

func newCluster(p Params) (*cluster, error) {
	var parties []string
	for _, t := range countsTenants {
		parties = append(parties, fmt.Sprintf(`{"name":%q,"quota_per_s":%v}`, t, countsQuotas[t]))
	}
	// 20 workers of 2 slots and 0.2 s: 200 jobs a second.
	c, err := Site{N: countsN, Workers: 20, Slots: 2, Mean: 200 * time.Millisecond,
		Link:  Link{Loss: 0.1, Repeat: 0.02, Jitter: 50 * time.Millisecond},
		Lanes: `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"}`, Parties: strings.Join(parties, ","),
		File: func(c *Processes, x *Instance) string {
			s := countsSet
			return x.Peering(c, s.Period) + fmt.Sprintf("counts {\n  staleness = \"%gs\"\n  floor = %g\n  forget = \"%gs\"\n  loss = %g\n  exchange = %v\n}\n",
				s.LeaseDuration, s.RetainedFraction, s.ForgetAfter, s.LossRate, p.Without != "exchange")
		}}.Start(p)
	return &cluster{c, p}, err
}

// flood has all tenants but the lone one ask through all dispatchers for more
// than the fleet can do, and the lone one through the first for a fifth more
// than it was promised.
func (c *cluster) flood(ctx context.Context, seed uint64) {
	const capacity = 200.0
	var streams []Stream
	for _, t := range countsTenants {
		if t == countsLone {
			streams = append(streams, Stream{Tenant: t, Class: "job", Rate: countsQuotas[t] * 1.2, EvenlySpaced: true, ClientTimeout: 2 * time.Second})
			continue
		}
		for i := range countsN {
			rate := capacity * countsRates / float64(len(countsTenants)-1) / countsN
			streams = append(streams, Stream{Tenant: t, Class: "job", Entry: i, Rate: rate, ClientTimeout: 2 * time.Second})
		}
	}
	c.Load.Play(ctx, seed, streams)
}

// ideal is what each tenant would get in a second from one scheduler that sees
// all and follows the module's rules: reservations first; while the fleet is
// short, the rest by the buckets, which fill in proportion to the reservations;
// to nobody more than he asks for.
func ideal(done float64) map[string]float64 {
	return fill(done, func(t string) float64 { return countsQuotas[t] })
}

// fill divides what was done: reservations first, the rest in proportion to
// weights, to the lone tenant no more than it asks for.
func fill(done float64, weight func(string) float64) map[string]float64 {
	at := func(level float64) (all float64, got map[string]float64) {
		got = map[string]float64{}
		for _, t := range countsTenants {
			ask := math.Inf(1)
			if t == countsLone {
				ask = countsQuotas[t] * 1.2
			}
			got[t] = max(min(ask, countsQuotas[t]), min(ask, level*weight(t)))
			all += got[t]
		}
		return all, got
	}
	lo, hi := 0.0, done
	for range 60 {
		mid := (lo + hi) / 2
		if all, _ := at(mid); all < done {
			lo = mid
		} else {
			hi = mid
		}
	}
	_, got := at(hi)
	return got
}

// windows counts the jobs that workers started in each window of a span, by tenant.
func (c *cluster) windows(begin, end time.Time) (list []map[string]float64) {
	for at := begin; !at.Add(countsWindow).After(end); at = at.Add(countsWindow / 2) { // they overlap
		n := map[string]float64{}
		for _, j := range c.Fleet.Jobs() {
			if !j.Started.Before(at) && j.Started.Before(at.Add(countsWindow)) {
				n[j.Tenant] += 1 / countsWindow.Seconds()
			}
		}
		list = append(list, n)
	}
	return list
}

// agree waits until every instance's counts equal the workers' own records and
// returns how long that took, how much too high any was at any time, and how
// much too low the last look was, in jobs.
func (c *cluster) agree(within time.Duration) (took, over, under float64, err error) {
	began := time.Now()
	for {
		truth := c.Fleet.Taken()
		under, all := 0.0, 0.0
		for _, d := range c.Nodes {
			var got map[string]struct{ Starts, Backs uint64 }
			if err := d.Ask("/counts", &got); err != nil {
				return 0, 0, 0, err
			}
			for _, t := range countsTenants {
				diff := float64(got[t].Starts-got[t].Backs)/1000 - float64(truth[t])
				over = max(over, diff)
				under = max(under, -diff)
				all += math.Abs(diff)
			}
		}
		if all == 0 || time.Since(began) > within {
			return time.Since(began).Seconds(), over, under, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func runCounts(p Params) (*Result, error) {
	steady, cut := 40*time.Second, 30*time.Second
	if p.Quick {
		steady, cut = 15*time.Second, 6*time.Second
	}
	c, err := newCluster(p)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &Result{Size: fmt.Sprintf("%d processes, 20 workers, %d tenants, 10%% loss, 0 to 50 ms, 2%% repeats", countsN, len(countsTenants))}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.flood(ctx, p.Seed)
	warm := time.Duration((countsSet.LeaseDuration + 5) * float64(time.Second))
	if p.Quick {
		warm -= 2 * time.Second
	}
	p.Log("warming up for %v, then %v of flood", warm, steady)
	time.Sleep(warm)
	begin := time.Now()
	time.Sleep(steady)
	end := time.Now()

	stated := countsSet.Bounds(countsN, countsQuotas[countsLone], countsWindow.Seconds())
	worst, even, lone := 0.0, 0.0, math.Inf(1)
	for _, w := range c.windows(begin, end) {
		done := 0.0
		for _, t := range countsTenants {
			done += w[t]
		}
		want, equal := ideal(done), fill(done, func(string) float64 { return 1 })
		for _, t := range countsTenants {
			worst = max(worst, math.Abs(w[t]-want[t])/want[t])
			even = max(even, math.Abs(w[t]-equal[t])/equal[t])
		}
		lone = min(lone, w[countsLone]/countsQuotas[countsLone])
		p.Log("window: %.1f a second: %v, ideal %v", done, round(w), round(want))
	}
	r.AtMost("a tenant's share in every 10 s window differs from the ideal's by at most", stated.ShareError, worst, "part")
	r.AtLeast("a tenant that enters through one instance gets of its reservation, in every 10 s window", 0.95, lone, "part")

	p.Log("cut for %v: 2 against 3", cut)
	heal := c.Relay.Lay(func(a, b int) bool { return (a < 2) != (b < 2) }, Link{Cut: true})
	quiet := 3500 * time.Millisecond // so that what is out has ended when the cut does
	time.Sleep(cut - quiet)
	stop()
	c.Load.Wait()
	time.Sleep(quiet - 2*time.Second)
	heal()
	took, over, under, err := c.agree(5 * time.Second)
	if err != nil {
		return nil, err
	}
	p.Log("after the cut: agreed in %.2f s, over %v, under %v", took, over, under)
	r.AtMost("after the partition, counts equal the workers' records within", 3, agreed(took, under), "s")
	r.AtMost("jobs charged twice after the partition", 0, over, "jobs")

	p.Log("one is killed while it works, and starts again with no memory")
	ctx, stop = context.WithCancel(context.Background())
	defer stop()
	c.flood(ctx, p.Seed+1)
	time.Sleep(4 * time.Second)
	victim := c.Nodes[3]
	victim.Kill()
	died := time.Now()
	// What it had started and not told yet dies with it.
	untold := 0.0
	for _, j := range c.Fleet.Jobs() {
		if j.Entry == "3" && j.At.After(died.Add(-time.Duration(2*stated.UsageDelay*float64(time.Second)))) {
			untold++
		}
	}
	if err := victim.Start(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	stop()
	c.Load.Wait()
	_, over, under, err = c.agree(3 * time.Second)
	if err != nil {
		return nil, err
	}
	r.AtMost("jobs charged twice after a restart without memory", 0, over, "jobs")
	r.AtMost("jobs forgotten with the killed instance, at most what it started in its last moments", untold, under, "jobs")
	r.Note("stated: news within", stated.UsageDelay, "s")
	r.Note("today's way, M/N: what the tenant that enters through one is promised there", 1.0/countsN, "part")
	r.Note("ideal that sees all: the same tenant", 1.2, "part")
	answers := c.Load.Answers()
	served := 0
	for _, a := range answers {
		if a.Status == 200 {
			served++
		}
	}
	r.Note("a share's largest difference from equal weights for all beyond the reservations", even, "part")
	r.Note("jobs asked", float64(len(answers)), "jobs")
	r.Note("jobs served", float64(served), "jobs")
	return r, nil
}

// agreed is a time only if there was agreement.
func agreed(took, under float64) float64 {
	if under > 0 {
		return 1e6 // never, as a figure that JSON has
	}
	return took
}

func round(m map[string]float64) (list []string) {
	for _, t := range countsTenants {
		list = append(list, fmt.Sprintf("%s %.1f", t, m[t]))
	}
	return list
}
