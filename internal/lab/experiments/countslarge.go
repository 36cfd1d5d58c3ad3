package experiments

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"

	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
	"example.org/bellstream/internal/lab/simulation"
)

var countsLarge = Experiment{
	Name:    "counts-large",
	About:   "The same exchange in virtual time: 10, 50 and 200 instances, 1,000 tenants, churn, 10% loss.",
	Without: []string{"exchange", "homes"},
	Run:     runCountsLarge,
}

// largeOwners is the number of owners of each tenant. It is more than the file's default: with 5% of the
// instances dying each minute, the loss of one owner would take a third of a reservation, and too many tenants
// would have less than nine tenths of what they need.
const largeOwners = 8

// largeRun holds the figures of one cluster size.
type largeRun struct {
	over      float64 // largest excess of a tenant's sum of slices over its reservation, as a fraction of it
	reached   float64 // usable part of the needed reservation over settled tenants, 1st percentile
	median    float64 // the same, median
	bytes     float64 // sent per second and instance
	converged float64 // seconds from the end of traffic until all counts are equal
	double    float64 // largest excess of a count over the slots that were started
}

func runCountsLarge(p Params) (*Result, error) {
	sizes, tenants, span, period := []int{10, 50, 200}, 1000, 90.0, 0.5
	if p.Quick {
		sizes, tenants, span, period = []int{10, 50, 100}, 200, 40, 0.25
	}
	r := &Result{}
	var worst largeRun
	worst.reached = math.Inf(1)
	set := func(n int) quota.Settings {
		s := quota.Settings{Period: period, RetainedFraction: 0.02, ExpectedInstances: n, MaxDelay: 0.05, LossRate: 0.1, Owners: largeOwners}
		s.LeaseDuration = s.Bounds(n, 20, 10).UsageDelay + s.MaxDelay + 2*period + 2
		switch p.Without {
		case "exchange":
			s.LeaseDuration = 0 // loans expire at once
		case "homes":
			s.Owners = 0
			s.LeaseDuration = s.Bounds(n, 20, 10).UsageDelay + s.MaxDelay + 2*period + 2
		}
		return s
	}
	var usageDelay float64
	runs := make([]largeRun, len(sizes))
	var all sync.WaitGroup
	for i, n := range sizes { // each run has its own virtual clock, so running in parallel does not change results
		all.Add(1)
		go func() {
			defer all.Done()
			began := time.Now()
			runs[i] = simulateLarge(p.Seed, set(n), n, tenants, span)
			p.Log("%d instances, %d tenants: %+v in %.1f s", n, tenants, runs[i], time.Since(began).Seconds())
		}()
	}
	all.Wait()
	for i, n := range sizes {
		x, b := runs[i], set(n).Bounds(n, 20, 10)
		r.Note(fmt.Sprintf("%d instances: bytes a second and instance", n), x.bytes, "B/s")
		r.Note(fmt.Sprintf("%d instances: counts alike after", n), x.converged, "s")
		r.Note(fmt.Sprintf("%d instances: stated time of news", n), b.UsageDelay, "s")
		r.Note(fmt.Sprintf("%d instances: share of the needed reservation, median", n), x.median, "part")
		r.Note(fmt.Sprintf("%d instances: the same, 1st percentile", n), x.reached, "part")
		r.Note(fmt.Sprintf("%d instances: today's way, M/N over the 3 where a tenant enters", n), math.Min(1, 3/float64(n)), "part")
		worst.over, worst.double = max(worst.over, x.over), max(worst.double, x.double)
		worst.reached, worst.bytes = min(worst.reached, x.reached), max(worst.bytes, x.bytes)
		worst.converged = max(worst.converged, x.converged-10-2*b.UsageDelay)
		usageDelay = b.UsageDelay
	}
	largest := sizes[len(sizes)-1]
	r.Size = fmt.Sprintf("up to %d instances, %d tenants, %.0f s, churn 5%% a minute, 10%% loss", largest, tenants, span)
	r.AtMost("the sum of all slices passes the reservation by", 0, worst.over, "part")
	r.AtLeast("a settled tenant has where it enters, of what it needs of its reservation, 1st percentile", 0.9, worst.reached, "part")
	r.AtMost("slots counted that nobody started", 0, worst.double, "slots")
	r.AtMost("bytes a second and instance", 8<<10, worst.bytes, "B/s")
	r.AtMost("counts are alike after traffic ends, beyond 10 s for full exchanges and twice the news", 0, worst.converged, "s")
	r.Note("stated time of news at the largest", usageDelay, "s")
	r.Note("ideal that sees all: of what is needed", 1, "part")
	return r, nil
}

// simulateLarge simulates a cluster of n instances for span seconds. Each tenant enters through three instances
// and asks for 0.9 of its reservation there in total. Instances die and restart; tenants move to other instances.
func simulateLarge(seed uint64, set quota.Settings, n, tenants int, span float64) (x largeRun) {
	const quotaValue, step = 20.0, 0.25
	c := simulation.New(seed, set, simulation.Network{Loss: 0.1, Duplication: 0.02, MaxDelay: 0.05, DetectionDelay: 3, SyncInterval: 5}, simulation.EqualTenants(tenants, quotaValue))
	c.MessageSize = wire.MessageSize
	ids := map[uint64]int{} // position of each tenant's slice in Allotments
	order := make([]uint64, 0, tenants)
	for _, t := range c.Tenants {
		order = append(order, t.ID)
	}
	sort.Slice(order, func(i, k int) bool { return order[i] < order[k] })
	for i, id := range order {
		ids[id] = i
	}
	nodes := make([]*simulation.Instance, n)
	for i := range n {
		nodes[i] = c.Start(fmt.Sprintf("n%03d", i), 0)
	}
	enters, since := make([][]int, tenants), make([]float64, tenants)
	move := func(t int) {
		enters[t], since[t] = []int{c.Rand.IntN(n), c.Rand.IntN(n), c.Rand.IntN(n)}, c.Now
	}
	for t := range tenants {
		move(t)
	}
	started := make([]uint64, tenants) // millislots started, by tenant
	var traffic func()
	running := true
	traffic = func() {
		if !running {
			return
		}
		for t, where := range enters {
			for _, i := range where {
				if !nodes[i].Up {
					continue
				}
				for range simulation.Poisson(c.Rand, quotaValue*0.3*step) {
					nodes[i].Meter.RecordArrival(c.Tenants[t].Name)
					nodes[i].Meter.RecordStart(c.Tenants[t].Name, 1)
					started[t] += usage.MillislotsPerSlot
				}
			}
		}
		c.After(step, traffic)
	}
	c.After(0, traffic)
	churn := func() {}
	churn = func() { // 5% of the instances a minute die and restart after 2 to 6 s without state
		if !running {
			return
		}
		i := c.Rand.IntN(n)
		in := nodes[i]
		if in.Up {
			c.Kill(in)
			for t, where := range enters {
				for _, k := range where {
					if k == i {
						since[t] = c.Now
					}
				}
			}
			c.After(2+4*c.Rand.Float64(), func() {
				for k, o := range c.Instances {
					if o == in {
						c.Instances = append(c.Instances[:k], c.Instances[k+1:]...)
						break
					}
				}
				nodes[i] = c.Start(in.Name, 0)
				for t, where := range enters {
					for _, k := range where {
						if k == i {
							since[t] = c.Now
						}
					}
				}
			})
		}
		move(c.Rand.IntN(tenants))
		c.After(60/(0.05*float64(n)), churn)
	}
	c.After(10, churn)
	var uses []uint64
	var parts []float64
	b := set.Bounds(n, quotaValue, 10)
	settled := b.ShiftDelay + 8 // demand is counted for some seconds more, and a dead instance keeps its slice for a lease
	sample := func() {
		uses = c.Usable(uses)
		for _, u := range uses {
			x.over = max(x.over, float64(u)/quota.FullReservation-1)
		}
		if c.Now < set.LeaseDuration+settled {
			return
		}
		for t, where := range enters {
			if c.Now-since[t] < settled+set.LeaseDuration {
				continue
			}
			usable, needed := 0.0, 0.0
			for k, i := range where {
				needed += 0.3
				if seen := where[:k]; len(nodes[i].Allotments) > 0 && !contains(seen, i) {
					usable += float64(nodes[i].Allotments[ids[c.Tenants[t].ID]]) / quota.FullReservation
				}
			}
			parts = append(parts, min(1, usable/needed))
		}
	}
	for c.Now < span {
		c.Run(min(span, c.Now+1), nil)
		sample()
	}
	for _, in := range c.Instances {
		x.bytes += in.BytesSent / float64(len(c.Instances)) / span
	}
	running = false
	ended := c.Now
	for c.Now < ended+60 {
		c.Run(c.Now+0.25, nil)
		if countsAgree(c, order) {
			break
		}
	}
	x.converged = c.Now - ended
	for t, tn := range c.Tenants {
		for _, in := range c.Instances {
			if in.Up {
				if got, ok := in.KnownUsage(tn.ID); ok {
					x.double = max(x.double, float64(int64(got.Started)-int64(started[t]))/usage.MillislotsPerSlot)
				}
			}
		}
	}
	sort.Float64s(parts)
	if len(parts) > 0 {
		x.reached, x.median = parts[len(parts)/100], parts[len(parts)/2]
	}
	return x
}

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

// countsAgree reports whether, for each tenant, all live instances that know a count have the same one, and
// enough instances know it: as many as it has owners, or all live instances if ownership is off.
func countsAgree(c *simulation.Cluster, ids []uint64) bool {
	for _, id := range ids {
		var first usage.Count
		informed, up := 0, 0
		for _, in := range c.Instances {
			if !in.Up {
				continue
			}
			up++
			got, ok := in.KnownUsage(id)
			if !ok {
				continue
			}
			if informed++; informed == 1 {
				first = got
			} else if got != first {
				return false
			}
		}
		if informed < min(up, max(1, c.Settings.Owners)) || c.Settings.Owners == 0 && informed < up {
			return false
		}
	}
	return true
}
