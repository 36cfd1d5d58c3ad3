package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
	"example.org/bellstream/internal/lab/simulation"
)

// mixedInstance is an instance of one of the two builds: either earlier or allocator is set.
type mixedInstance struct {
	name        string
	earlier     *earlierAllocator
	allocator   *quota.Allocator
	up          bool
	visibleFrom map[string]float64 // by name: when membership begins to show that instance to this one
	allotments  []uint32
	arrivals    []uint64
	nextRound   float64 // time of the next round
}

// mixedCluster is a cluster in which instances of the earlier build and of this one run side by side.
type mixedCluster struct {
	rand        *rand.Rand
	settings    quota.Settings
	loss        float64
	now         float64
	incarnation uint64
	instances   []*mixedInstance
	queue       []struct {
		at float64
		m  *quota.Message
	}
	tenants []quota.Tenant
}

// boot starts an instance under a new incarnation, of the earlier build or of this one.
func (s *mixedCluster) boot(x *mixedInstance, earlier bool) {
	s.incarnation++
	n := len(s.tenants)
	x.earlier, x.allocator, x.up, x.allotments, x.arrivals, x.nextRound = nil, nil, true, nil, make([]uint64, n), s.now+s.rand.Float64()*s.settings.Period
	if earlier {
		x.earlier = newEarlier(earlierSettings{Period: s.settings.Period, Staleness: s.settings.LeaseDuration, Floor: s.settings.RetainedFraction, Forget: s.settings.ForgetAfter,
			Instances: s.settings.ExpectedInstances, Delay: s.settings.MaxDelay, Loss: s.settings.LossRate}, x.name, s.incarnation, s.tenants, s.now)
	} else {
		x.allocator = quota.New(s.settings, x.name, s.incarnation, s.tenants, s.now)
	}
	x.visibleFrom = map[string]float64{}
	for _, o := range s.instances { // membership shows the two to each other at different times
		if o != x && o.up {
			x.visibleFrom[o.name], o.visibleFrom[x.name] = s.now+s.rand.Float64(), s.now+s.rand.Float64()
		}
	}
}

// stop ends an instance; membership hides it from the others immediately.
func (s *mixedCluster) stop(x *mixedInstance) {
	x.up, x.allotments = false, nil
	for _, o := range s.instances {
		delete(o.visibleFrom, x.name)
	}
}

// round runs one instance's round and queues the messages that are not lost.
func (s *mixedCluster) round(x *mixedInstance) {
	for i := range x.arrivals {
		x.arrivals[i] += uint64(s.rand.IntN(9))
	}
	var members []quota.Member
	var names []string
	for _, o := range s.instances {
		if at, ok := x.visibleFrom[o.name]; ok && s.now >= at && o.up {
			names = append(names, o.name)
			m := quota.Member{Name: o.name}
			if o.allocator != nil {
				m.Build = quota.OwnershipBuild
			}
			members = append(members, m)
		}
	}
	var out []*quota.Message
	if x.earlier != nil {
		x.earlier.Members(s.now, names)
		for _, to := range x.earlier.Round(s.now, x.arrivals) {
			out = append(out, x.earlier.Message(s.now, to, nil)...)
		}
		x.allotments = x.earlier.Slices(s.now, nil)
	} else {
		x.allocator.UpdateMembers(s.now, members)
		for _, to := range x.allocator.Round(s.now, x.arrivals) {
			out = append(out, x.allocator.Messages(s.now, to, usage.EmptyState())...)
		}
		x.allotments = x.allocator.Allotments(s.now, nil)
	}
	for _, m := range out {
		if s.rand.Float64() >= s.loss {
			s.queue = append(s.queue, struct {
				at float64
				m  *quota.Message
			}{s.now + s.rand.Float64()*s.settings.MaxDelay, m})
		}
	}
}

// run runs the cluster for span seconds and returns the largest sum, in millionths, of the allotments of one tenant.
func (s *mixedCluster) run(span float64) (maxUsed uint64) {
	const step = 0.01
	for end := s.now + span; s.now < end; s.now += step {
		slices.SortStableFunc(s.queue, func(a, b struct {
			at float64
			m  *quota.Message
		}) int {
			if a.at < b.at {
				return -1
			} else if a.at > b.at {
				return 1
			}
			return 0
		})
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			m := s.queue[0].m
			s.queue = s.queue[1:]
			for _, x := range s.instances {
				byLink := m.To == "" && x.allocator != nil
				if x.name != m.To && !byLink || !x.up {
					continue
				}
				if x.earlier != nil {
					if m.Delta {
						continue // the earlier build can't decode delta messages
					}
					x.earlier.Hear(s.now, m)
				} else {
					x.allocator.Receive(s.now, m)
				}
			}
		}
		for _, x := range s.instances {
			if x.up && s.now >= x.nextRound {
				s.round(x)
				x.nextRound = s.now + s.settings.Period*(0.9+0.2*s.rand.Float64())
			}
		}
		for i := range s.tenants {
			sum := uint64(0)
			for _, x := range s.instances {
				if x.up && len(x.allotments) > 0 {
					sum += uint64(x.allotments[i])
				}
			}
			maxUsed = max(maxUsed, sum)
		}
	}
	return maxUsed
}

// In a rolling restart between an earlier build without hashed ownership and this one, in either direction, at any pace
// and with message loss, the sum of all allotments never exceeds the reservation. Finally all instances have joined.
func TestMixedBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		s := &mixedCluster{rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 27)), tenants: simulation.EqualTenants(2, 20),
			settings: quota.Settings{Period: 0.25, LeaseDuration: 4, RetainedFraction: 0.02, ExpectedInstances: n, MaxDelay: 0.05, LossRate: 0.1, Owners: rapid.IntRange(1, 3).Draw(t, "owners")},
			loss:     rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")}
		toEarlier := rapid.Bool().Draw(t, "to the earlier build")
		for i := range n {
			s.instances = append(s.instances, &mixedInstance{name: fmt.Sprint("n", i)})
		}
		for _, x := range s.instances {
			s.boot(x, !toEarlier)
		}
		check := func(span float64) {
			if maxUsed := s.run(span); maxUsed > quota.FullReservation {
				t.Fatalf("allotments add up to %d, want at most %d, by %.1f s", maxUsed, quota.FullReservation, s.now)
			}
		}
		check(12)
		for _, x := range s.instances {
			s.stop(x)
			check(rapid.Float64Range(0, 6).Draw(t, "time stopped"))
			s.boot(x, toEarlier)
			check(rapid.Float64Range(0, 12).Draw(t, "pause"))
		}
		check(30)
		for _, x := range s.instances {
			if x.allocator != nil && (!x.allocator.Joined() || !x.allocator.HashedOwnership()) || x.earlier != nil && !x.earlier.Joined() {
				t.Fatalf("%s has not joined", x.name)
			}
		}
	})
}
