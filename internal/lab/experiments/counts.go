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

// The experiment's synthetic site: four tenants of equal weight. One of them enters through a single
// dispatcher; the others overload the fleet through all dispatchers.
const (
	countsInstances  = 5
	countsLoneTenant = "lone"
	countsOverload   = 2.5 // demand of the other tenants, as a multiple of the fleet's capacity
	countsWindow     = 10 * time.Second
)

var (
	countsTenants  = []string{"lone", "north", "east", "south"}
	countsQuotas   = map[string]float64{"lone": 30, "north": 30, "east": 34, "south": 40}
	countsSettings = quota.Settings{Period: 0.25, LeaseDuration: 3, RetainedFraction: 0.02, ForgetAfter: 120, ExpectedInstances: countsInstances, MaxDelay: 0.05, LossRate: 0.1, Owners: operatorconfig.DefaultOwners}
)

// countsCluster is five dispatcher processes, their fleet, their load and the relay between them.
type countsCluster struct {
	*Processes
	p Params
}

func newCountsCluster(p Params) (*countsCluster, error) {
	var parties []string
	for _, t := range countsTenants {
		parties = append(parties, fmt.Sprintf(`{"name":%q,"quota_per_s":%v}`, t, countsQuotas[t]))
	}
	// 20 workers of 2 slots and 0.2 s: 200 jobs a second.
	c, err := Site{N: countsInstances, Workers: 20, Slots: 2, Mean: 200 * time.Millisecond,
		Link:        Link{Loss: 0.1, Repeat: 0.02, Jitter: 50 * time.Millisecond},
		ClassesJSON: `{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"}`, TenantsJSON: strings.Join(parties, ","),
		File: func(c *Processes, x *Instance) string {
			s := countsSettings
			return x.Peering(c, s.Period) + fmt.Sprintf("counts {\n  staleness = \"%gs\"\n  floor = %g\n  forget = \"%gs\"\n  loss = %g\n  exchange = %v\n}\n",
				s.LeaseDuration, s.RetainedFraction, s.ForgetAfter, s.LossRate, p.Without != "exchange")
		}}.Start(p)
	return &countsCluster{c, p}, err
}

// startFlood starts the load until ctx ends: the lone tenant sends 1.2 times its reservation through the first
// dispatcher, the other tenants together send countsOverload times the fleet's capacity through all dispatchers.
func (c *countsCluster) startFlood(ctx context.Context, seed uint64) {
	const capacity = 200.0
	var streams []Stream
	for _, t := range countsTenants {
		if t == countsLoneTenant {
			streams = append(streams, Stream{Tenant: t, Class: "job", Rate: countsQuotas[t] * 1.2, EvenlySpaced: true, ClientTimeout: 2 * time.Second})
			continue
		}
		for i := range countsInstances {
			rate := capacity * countsOverload / float64(len(countsTenants)-1) / countsInstances
			streams = append(streams, Stream{Tenant: t, Class: "job", Entry: i, Rate: rate, ClientTimeout: 2 * time.Second})
		}
	}
	c.Load.Play(ctx, seed, streams)
}

// idealRates returns the jobs per second that each tenant would get from a single scheduler that sees all
// demand and follows the module's rules, if done jobs per second are served in total. Reservations come first.
// While capacity is short, the rest is divided by the buckets, which fill in proportion to the reservations. No
// tenant gets more than it asks for.
func idealRates(done float64) map[string]float64 {
	return divideRate(done, func(t string) float64 { return countsQuotas[t] })
}

// divideRate divides done jobs per second among the tenants: reservations first, the rest in proportion to
// weight. The lone tenant gets no more than 1.2 times its reservation, which is what it asks for.
func divideRate(done float64, weight func(string) float64) map[string]float64 {
	at := func(level float64) (all float64, got map[string]float64) {
		got = map[string]float64{}
		for _, t := range countsTenants {
			ask := math.Inf(1)
			if t == countsLoneTenant {
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

// startRates returns the jobs per second that workers started, by tenant, in each window between begin and end.
// Each window begins half a window after the previous one.
func (c *countsCluster) startRates(begin, end time.Time) (list []map[string]float64) {
	for at := begin; !at.Add(countsWindow).After(end); at = at.Add(countsWindow / 2) {
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

// awaitAgreement polls until every instance's counts equal the workers' own records or the time is up. It
// returns the seconds that passed, the largest excess of a count in any poll and the largest shortfall in the
// last poll, both in jobs. It returns an error if an instance does not answer.
func (c *countsCluster) awaitAgreement(within time.Duration) (took, over, under float64, err error) {
	began := time.Now()
	for {
		truth := c.Fleet.JobsByTenant()
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
	c, err := newCountsCluster(p)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &Result{Size: fmt.Sprintf("%d processes, 20 workers, %d tenants, 10%% loss, 0 to 50 ms, 2%% repeats", countsInstances, len(countsTenants))}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.startFlood(ctx, p.Seed)
	warm := time.Duration((countsSettings.LeaseDuration + 5) * float64(time.Second))
	if p.Quick {
		warm -= 2 * time.Second
	}
	p.Log("warm-up for %v, then overload for %v", warm, steady)
	time.Sleep(warm)
	begin := time.Now()
	time.Sleep(steady)
	end := time.Now()

	stated := countsSettings.Bounds(countsInstances, countsQuotas[countsLoneTenant], countsWindow.Seconds())
	worst, even, lone := 0.0, 0.0, math.Inf(1)
	for _, w := range c.startRates(begin, end) {
		done := 0.0
		for _, t := range countsTenants {
			done += w[t]
		}
		want, equal := idealRates(done), divideRate(done, func(string) float64 { return 1 })
		for _, t := range countsTenants {
			worst = max(worst, math.Abs(w[t]-want[t])/want[t])
			even = max(even, math.Abs(w[t]-equal[t])/equal[t])
		}
		lone = min(lone, w[countsLoneTenant]/countsQuotas[countsLoneTenant])
		p.Log("window: %.1f jobs a second: %v, ideal %v", done, formatRates(w), formatRates(want))
	}
	r.AtMost("a tenant's share in every 10 s window differs from the ideal's by at most", stated.ShareError, worst, "part")
	r.AtLeast("a tenant that enters through one instance gets of its reservation, in every 10 s window", 0.95, lone, "part")

	p.Log("partition for %v: 2 instances against 3", cut)
	heal := c.Relay.AddFault(func(a, b int) bool { return (a < 2) != (b < 2) }, Link{Cut: true})
	drain := 3500 * time.Millisecond // so that jobs in flight have ended before the partition is healed
	time.Sleep(cut - drain)
	stop()
	c.Load.Wait()
	time.Sleep(drain - 2*time.Second)
	heal()
	took, over, under, err := c.awaitAgreement(5 * time.Second)
	if err != nil {
		return nil, err
	}
	p.Log("after the partition: waited %.2f s for equal counts, excess %v, shortfall %v", took, over, under)
	r.AtMost("after the partition, counts equal the workers' records within", 3, secondsIfAgreed(took, under), "s")
	r.AtMost("jobs charged twice after the partition", 0, over, "jobs")

	p.Log("one instance is killed under load and restarted without its state")
	ctx, stop = context.WithCancel(context.Background())
	defer stop()
	c.startFlood(ctx, p.Seed+1)
	time.Sleep(4 * time.Second)
	victim := c.Nodes[3]
	victim.Kill()
	died := time.Now()
	// Starts that the killed instance had not reported to the others yet are lost.
	unreported := 0.0
	for _, j := range c.Fleet.Jobs() {
		if j.Entry == "3" && j.At.After(died.Add(-time.Duration(2*stated.UsageDelay*float64(time.Second)))) {
			unreported++
		}
	}
	if err := victim.Start(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	stop()
	c.Load.Wait()
	_, over, under, err = c.awaitAgreement(3 * time.Second)
	if err != nil {
		return nil, err
	}
	r.AtMost("jobs charged twice after a restart without memory", 0, over, "jobs")
	r.AtMost("jobs forgotten with the killed instance, at most what it started in its last moments", unreported, under, "jobs")
	r.Note("stated: news within", stated.UsageDelay, "s")
	r.Note("today's way, M/N: what the tenant that enters through one is promised there", 1.0/countsInstances, "part")
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

// secondsIfAgreed returns took if no count was too low in the last poll, and 1e6 otherwise.
func secondsIfAgreed(took, under float64) float64 {
	if under > 0 {
		return 1e6 // JSON has no infinity
	}
	return took
}

// formatRates returns each tenant's name and rate, in the order of countsTenants.
func formatRates(m map[string]float64) (list []string) {
	for _, t := range countsTenants {
		list = append(list, fmt.Sprintf("%s %.1f", t, m[t]))
	}
	return list
}
