package quota_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/lab/simulation"
)

// The sum of all allotments never exceeds the reservation in random clusters, on a network that loses, repeats and
// delays messages, some by up to 20 s, through starts, crashes, suspensions, partitions, leaves and moving demand.
// ForgetAfter is 0: the guarantee doesn't cover an instance that is silent for longer than ForgetAfter.
//
// With hashed ownership, owners change as instances join under new names, crash, or are stopped for ten minutes, with
// regions and without.
func TestSumNeverAboveReservation(t *testing.T) {
	for _, owners := range []int{0, 2, 3} { // TestSearchNeverAboveReservation covers one owner
		t.Run(fmt.Sprint(owners, " owners"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := newRandomCluster(t, owners)
				for step := range rapid.IntRange(1, 15).Draw(t, "steps") {
					c.step(step)
				}
			})
		})
	}
}

// Events of a random cluster.
const (
	eventCrash     = "crash"
	eventSuspend   = "suspend"
	eventPartition = "partition"
	eventHeal      = "heal partition"
	eventRestart   = "restart"
	eventLoad      = "add load"
	eventLeave     = "leave"
	eventAbsence   = "stop for ten minutes"
	eventJoin      = "join under a new name"
)

const maxRandomInstances = 9

// randomCluster is a cluster to which random events happen.
type randomCluster struct {
	*simulation.Cluster
	t        *rapid.T
	settings quota.Settings
	regions  int
	events   []string
	check    func()
}

func newRandomCluster(t *rapid.T, owners int) *randomCluster {
	n := rapid.IntRange(1, 6).Draw(t, "instances")
	net := simulation.Network{
		Loss:           rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"),
		Duplication:    0.1,
		MaxDelay:       rapid.SampledFrom([]float64{0, 0.05, 1, 3}).Draw(t, "delay"),
		LateFraction:   0.1,
		DetectionDelay: 1,
		SyncInterval:   2,
	}
	c := &randomCluster{t: t}
	minExpected := c.drawEvents(n)
	c.settings = settings(rapid.IntRange(max(n, minExpected), max(6, minExpected)).Draw(t, "expected"))
	c.settings.ForgetAfter = 0
	c.settings.Owners = owners
	c.regions = rapid.IntRange(1, 3).Draw(t, "regions")
	c.Cluster = simulation.New(rapid.Uint64().Draw(t, "seed"), c.settings, net, simulation.EqualTenants(2, 20))
	for i := range n {
		in := c.StartAs(fmt.Sprint("n", i), 0, c.settingsOf(i))
		for _, tenant := range c.Tenants {
			rate := 30 * c.Rand.Float64() * float64(c.Rand.IntN(2))
			generateLoad(c.Cluster, in, tenant.Name, &rate)
		}
	}
	c.check = overcommitCheck(t, c.Cluster)
	return c
}

// drawEvents draws which events may happen, and returns how many instances the settings must expect at least: no fewer
// than may start before they see each other.
//
// An instance that sees no other assumes the expected number of instances, so that one more would exceed the
// reservation. New names therefore join either without partitions, or in a cluster that expects all of them.
func (c *randomCluster) drawEvents(n int) (minExpected int) {
	c.events = []string{eventCrash, eventSuspend, eventPartition, eventHeal, eventRestart, eventLoad, eventLeave, eventAbsence}
	switch rapid.IntRange(0, 2).Draw(c.t, "new names") {
	case 1:
		c.events = []string{eventCrash, eventSuspend, eventJoin, eventJoin, eventRestart, eventLoad, eventLeave, eventAbsence}
		return 2
	case 2:
		c.events = append(c.events, eventJoin, eventJoin)
		return maxRandomInstances
	}
	return n
}

// settingsOf returns the settings of instance i, with a region if there are several.
func (c *randomCluster) settingsOf(i int) quota.Settings {
	s := c.settings
	if c.regions > 1 {
		s.Region = fmt.Sprint("r", i%c.regions)
	}
	return s
}

// step runs the cluster for up to 8 s and then executes one random event on one instance.
func (c *randomCluster) step(number int) {
	c.Run(c.Now+rapid.Float64Range(0, 8).Draw(c.t, "pause"), c.check)
	in := c.Instances[rapid.IntRange(0, len(c.Instances)-1).Draw(c.t, "instance")]
	switch rapid.SampledFrom(c.events).Draw(c.t, "event") {
	case eventCrash:
		if in.Up {
			c.Kill(in)
		}
	case eventSuspend:
		c.Freeze(in, rapid.Float64Range(0, 20).Draw(c.t, "suspended for"))
	case eventPartition:
		mask := rapid.IntRange(0, 63).Draw(c.t, "sides")
		c.Partition(func(i int) int { return mask >> (i % 6) & 1 })
	case eventHeal:
		c.Partition(func(int) int { return 0 })
	case eventRestart:
		if !in.Up && number > 0 {
			c.restart(in, "tenant-0000")
		}
	case eventLoad:
		rate := 60 * c.Rand.Float64()
		generateLoad(c.Cluster, in, "tenant-0001", &rate)
	case eventJoin:
		c.join()
	case eventLeave:
		c.leave(in)
	case eventAbsence:
		if in.Up {
			c.Kill(in)
			c.Run(c.Now+600, c.check)
			c.restart(in, "tenant-0001")
		}
	}
}

// restart starts a stopped instance again under its name, with jobs of a tenant.
func (c *randomCluster) restart(in *simulation.Instance, tenant string) {
	i := slices.Index(c.Instances, in)
	c.Instances = append(c.Instances[:i:i], c.Instances[i+1:]...)
	s := c.settings
	s.Region = in.Region
	again := c.StartAs(in.Name, 0, s)
	again.Side = in.Side
	rate := 40 * c.Rand.Float64()
	generateLoad(c.Cluster, again, tenant, &rate)
}

// join starts an instance under a new name, which changes the owners, unless there are maxRandomInstances.
func (c *randomCluster) join() {
	if len(c.Instances) >= maxRandomInstances {
		return
	}
	in := c.StartAs(fmt.Sprint("m", c.Incarnations), 0, c.settingsOf(len(c.Instances)))
	in.Side = c.Instances[0].Side
	rate := 60 * c.Rand.Float64()
	generateLoad(c.Cluster, in, "tenant-0000", &rate)
}

// leave has an instance announce that it leaves, and ends it 1 s later.
func (c *randomCluster) leave(in *simulation.Instance) {
	if !in.Up {
		return
	}
	in.Allocator.Leave()
	c.Run(c.Now+1, c.check)
	c.Kill(in)
}
