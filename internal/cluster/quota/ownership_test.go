package quota_test

import (
	"fmt"
	"math"
	"testing"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/lab/simulation"
)

// hashedCluster returns a cluster with three owners of each reservation, and its overcommitCheck.
func hashedCluster(t *testing.T, seed uint64, n, tenants int, net simulation.Network, forgetAfter float64) (*simulation.Cluster, func()) {
	set := settings(n)
	set.Owners, set.ForgetAfter = 3, forgetAfter
	c := simulation.New(seed, set, net, simulation.EqualTenants(tenants, 20))
	for i := range n {
		c.Start(fmt.Sprint("n", i), float64(i)*5)
	}
	return c, overcommitCheck(t, c)
}

// requireJoined reports each running instance that has not joined.
func requireJoined(t *testing.T, c *simulation.Cluster) {
	t.Helper()
	for _, in := range c.Instances {
		if in.Up && !in.Allocator.Joined() {
			t.Errorf("%s has not joined", in.Name)
		}
	}
}

// An instance at which all jobs of a tenant arrive gets nearly all of the tenant's reservation, whichever instances own
// it. When the jobs arrive at another instance, the reservation moves there.
func TestLoansFollowDemandFromOwners(t *testing.T) {
	c, check := hashedCluster(t, 1, 8, 6, lossyNetwork, 90)
	rates := make([][]float64, 8)
	for i := range rates {
		rates[i] = make([]float64, 6)
		for k := range rates[i] {
			generateLoad(c, c.Instances[i], c.Tenants[k].Name, &rates[i][k])
		}
	}
	for k := range 6 {
		rates[k][k] = 30
	}
	c.Run(15, check)
	requireJoined(t, c)
	for k, tn := range c.Tenants {
		if got := allotment(c.Instances[k], tenantIndex(c, tn.Name)); got < 0.97 {
			t.Errorf("%s: allotment %.3f where the jobs arrive, want at least 0.97", tn.Name, got)
		}
	}
	for k := range 6 {
		rates[k][k], rates[k+2][k] = 0, 30
	}
	c.Run(15+c.Settings.Bounds(8, 20, 10).ShiftDelay+4, check)
	c.Run(40, check)
	for k, tn := range c.Tenants { // less than 0.97: demand is assumed for some time where the jobs arrived before
		if got := allotment(c.Instances[k+2], tenantIndex(c, tn.Name)); got < 0.9 {
			t.Errorf("%s: allotment %.3f where the jobs arrive now, want at least 0.9", tn.Name, got)
		}
	}
}

// Each tenant sends more than its reservation through every one of 5 instances: each instance may use a fifth.
func TestOverloadThroughAllInstancesFromOwners(t *testing.T) {
	c, check := hashedCluster(t, 2, 5, 4, lossyNetwork, 90)
	rate := 100.0
	for _, in := range c.Instances {
		for _, tn := range c.Tenants {
			generateLoad(c, in, tn.Name, &rate)
		}
	}
	c.Run(25, check)
	for _, in := range c.Instances {
		for i := range c.Tenants {
			if got := allotment(in, i); math.Abs(got-0.2) > 0.02 {
				t.Errorf("%s: allotment of tenant %d is %.4f, want 0.2", in.Name, i, got)
			}
		}
	}
}

// After one of three owners has crashed, the others still lend their two thirds of the reservation, and all of it once
// the crashed owner is forgotten. It then starts again without its earlier state, and the reservation stays in use.
func TestOwnerCrashes(t *testing.T) {
	c, check := hashedCluster(t, 4, 6, 1, lossyNetwork, 90)
	rate := 30.0
	c.Run(10, check)
	owner, nonOwner := -1, -1
	for i, in := range c.Instances {
		if own, _ := in.Allocator.OwnedTenants(); own > 0 {
			owner = i
		} else {
			nonOwner = i
		}
	}
	busy := c.Instances[nonOwner]
	generateLoad(c, busy, "tenant-0000", &rate)
	c.Run(25, check)
	if got := allotment(busy, 0); got < 0.95 {
		t.Fatalf("allotment %.3f with all owners, want at least 0.95", got)
	}
	crashed := c.Instances[owner]
	c.Kill(crashed)
	c.Run(25+c.Settings.LeaseDuration+3, check)
	if got := allotment(busy, 0); got < 0.63 || got > 0.67 {
		t.Errorf("allotment %.3f after an owner has crashed, want two thirds", got)
	}
	c.Run(25+c.Settings.ForgetAfter+5, check)
	if got := allotment(busy, 0); got < 0.95 {
		t.Errorf("allotment %.3f after the owner was forgotten, want at least 0.95", got)
	}
	for i, in := range c.Instances {
		if in == crashed {
			c.Instances = append(c.Instances[:i:i], c.Instances[i+1:]...)
			break
		}
	}
	c.Start(crashed.Name, 0)
	c.Run(25+c.Settings.ForgetAfter+30, check)
	requireJoined(t, c)
	if got := allotment(busy, 0); got < 0.95 {
		t.Errorf("allotment %.3f after the owner has started again, want at least 0.95", got)
	}
}

// Through a partition of 300 s the allotments of both sides never add up to more than the reservation. After it, all
// instances have joined, and those that know a tenant's count, at least its three owners, know the exact one.
func TestPartitionOfOwners(t *testing.T) {
	c, check := hashedCluster(t, 3, 6, 4, lossyNetwork, 0)
	rate := 20.0
	for i, in := range c.Instances {
		generateLoad(c, in, c.Tenants[i%4].Name, &rate)
	}
	c.Run(20, check)
	c.Partition(func(i int) int { return i / 3 })
	c.Run(320, check)
	c.Partition(func(int) int { return 0 })
	c.Run(340, check)
	requireJoined(t, c)
	rate = 0
	c.Run(365, check)
	started := map[string]uint64{}
	for _, in := range c.Instances {
		for _, tn := range c.Tenants {
			started[tn.Name] += in.Meter.Counts().At(tn.ID).Started
		}
	}
	known := 0
	for _, in := range c.Instances {
		for _, tn := range c.Tenants {
			got, ok := in.KnownUsage(tn.ID)
			if ok {
				known++
			}
			if ok && got.Started != started[tn.Name] {
				t.Errorf("%s counts %d of %s, want %d", in.Name, got.Started, tn.Name, started[tn.Name])
			}
		}
	}
	if known < 3*4 {
		t.Errorf("%d counts are known, want at least 12: those of 4 tenants at three owners each", known)
	}
}

// The three owners of a reservation are in three regions, so that two of them remain when a region is lost.
func TestOwnersAreSpreadOverRegions(t *testing.T) {
	set := settings(12)
	set.Owners = 3
	c := simulation.New(9, set, lossyNetwork, simulation.EqualTenants(40, 20))
	for i := range 12 {
		s := set
		s.Region = fmt.Sprint("r", i%4)
		c.StartAs(fmt.Sprint("n", i), 0, s)
	}
	c.Run(10, overcommitCheck(t, c))
	requireJoined(t, c)
	for i := range 40 {
		owners := map[string]int{}
		for _, in := range c.Instances {
			if in.Allotments[i] > 0 {
				owners[in.Region]++
			}
		}
		if len(owners) != 3 {
			t.Errorf("tenant %d: got owners by region %v, want three regions", i, owners)
		}
	}
}

// In a rolling restart from flat to hashed ownership, and back, allotments never exceed the reservation. Ownership is
// hashed while all instances are set to it, and finally all have joined.
func TestOwnershipModeChanges(t *testing.T) {
	c, check := flatCluster(t, 21, 5, 3, lossyNetwork)
	rate := 20.0
	for i, in := range c.Instances {
		generateLoad(c, in, c.Tenants[i%3].Name, &rate)
	}
	c.Run(12, check)
	for _, owners := range []int{3, 0} {
		for i := range 5 {
			in := c.Instances[0]
			c.Kill(in)
			c.Run(c.Now+1, check)
			c.Instances = c.Instances[1:]
			s := c.Settings
			s.Owners = owners
			again := c.StartAs(in.Name, 0, s)
			generateLoad(c, again, c.Tenants[i%3].Name, &rate)
			c.Run(c.Now+8, check)
			for _, in := range c.Instances {
				if in.Allocator.HashedOwnership() != (owners == 3 && i == 4) {
					t.Errorf("%d of %d restarted with %d owners: %s has hashed ownership: %v",
						i+1, 5, owners, in.Name, in.Allocator.HashedOwnership())
				}
			}
		}
		c.Run(c.Now+10, check)
		requireJoined(t, c)
	}
}

// An instance that is set to another number of owners than the rest of the cluster doesn't join: it would own parts
// that other instances own by their settings.
func TestDifferentOwnerCounts(t *testing.T) {
	c, check := hashedCluster(t, 22, 4, 3, lossyNetwork, 0)
	c.Run(10, check)
	requireJoined(t, c)
	s := c.Settings
	s.Owners = 2
	in := c.Instances[0]
	c.Kill(in)
	c.Instances = c.Instances[1:]
	differing := c.StartAs(in.Name, 0, s)
	c.Run(60, check)
	if differing.Allocator.Joined() {
		t.Error("an instance with another number of owners has joined")
	}
}

// A cluster without jobs sends no messages at all. With jobs of one tenant at one instance only a few of the 30
// instances exchange messages: at most 12 a second in all.
func TestIdleClusterSendsNothing(t *testing.T) {
	c, check := hashedCluster(t, 23, 30, 3, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1}, 90)
	c.Run(20, check)
	requireJoined(t, c)
	received := func() (n uint64) {
		for _, in := range c.Instances {
			n += in.Allocator.Received()
		}
		return n
	}
	before := received()
	c.Run(80, check)
	if n := received() - before; n > 0 {
		t.Errorf("%d messages in a minute without jobs, want 0", n)
	}
	rate := 30.0
	generateLoad(c, c.Instances[0], "tenant-0000", &rate)
	c.Run(90, check)
	before = received()
	c.Run(150, check)
	if n := received() - before; n > 60*3*4 {
		t.Errorf("%d messages in a minute for one tenant at one instance, want at most 720", n)
	}
}

// Counts are sent again until they are acknowledged, however low the configured loss rate is. Otherwise a start whose
// report is lost stays unknown until the instance reports its next start, which may be much later.
func TestLostCountsAreResent(t *testing.T) {
	set := settings(12)
	set.Owners, set.ForgetAfter, set.LeaseDuration, set.LossRate = 3, 90, 20, 0.001
	for seed := range uint64(5) {
		c := simulation.New(seed, set, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1}, simulation.EqualTenants(4, 20))
		for i := range 12 {
			c.Start(fmt.Sprint("n", i), float64(i))
		}
		check := overcommitCheck(t, c)
		reporter, observer, tenant := c.Instances[0], c.Instances[1], c.Tenants[0]
		c.Run(30, check)
		start := func(in *simulation.Instance) {
			in.Meter.RecordArrival(tenant.Name)
			in.Meter.RecordStart(tenant.Name, 1)
		}
		start(reporter)
		start(observer)
		c.Run(40, check)
		if got, ok := observer.KnownUsage(tenant.ID); !ok || got.Started != 2000 {
			t.Fatalf("seed %d: got count %v, known %v; want two starts", seed, got, ok)
		}
		start(reporter)
		c.Unreachable = func(a, b *simulation.Instance) bool { return a == reporter || b == reporter }
		c.Run(41, check)
		c.Unreachable = nil
		for c.Now < 60 {
			if got, _ := observer.KnownUsage(tenant.ID); got.Started == 3000 {
				break
			}
			c.Run(c.Now+0.05, check)
		}
		if delay := c.Now - 41; delay > 3 {
			t.Errorf("seed %d: start known %.2f s after the instance was reachable again, want at most 3 s", seed, delay)
		}
	}
}

// Two instances that know each other's incarnations identify themselves by a link ID, without their names. After one of
// them was restarted, messages have both names again until each instance has received one from the other.
func TestLinksReplaceNames(t *testing.T) {
	c, check := hashedCluster(t, 5, 9, 3, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1, SyncInterval: 2}, 20)
	rate := 5.0
	for _, in := range c.Instances[:3] {
		generateLoad(c, in, c.Tenants[0].Name, &rate)
	}
	linked, named := 0, 0
	c.MessageSize = func(m *quota.Message) int {
		if m.LinkID != 0 {
			linked++
			if m.From != "" || m.Incarnation != 0 || m.AckIncarnation != 0 {
				t.Fatalf("message with a link ID has a name or an incarnation too: %+v", m)
			}
		} else {
			named++
		}
		return 0
	}
	c.Run(30, check)
	requireJoined(t, c)
	linked, named = 0, 0
	c.Run(60, check)
	if linked < 100 || named > linked/50 {
		t.Errorf("%d messages with a link ID, %d with names when all know each other; want at most 1 of 50 with names",
			linked, named)
	}
	c.Kill(c.Instances[1])
	c.Run(62, check)
	c.Start(c.Instances[1].Name, 0)
	c.Run(100, check)
	requireJoined(t, c)
	linked, named = 0, 0
	c.Run(120, check)
	if linked < 60 || named > linked/20 {
		t.Errorf("%d messages with a link ID, %d with names after a restart; want at most 1 of 20 with names",
			linked, named)
	}
}

// An owner that becomes a tenant's aggregator after a crash reports totals as soon as one user has noticed the crash. A
// user that notices the crash later must keep that report and apply it then: without another start no second report is
// sent, and the user's count would stay too low.
func TestTotalOfNewAggregatorIsKept(t *testing.T) {
	delayed := 0
	for crashed := 2; crashed < 12; crashed++ {
		set := settings(12)
		set.Owners, set.ForgetAfter, set.LossRate = 3, 90, 0.001
		c := simulation.New(7, set, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1}, simulation.EqualTenants(4, 20))
		for i := range 12 {
			c.Start(fmt.Sprint("n", i), float64(i))
		}
		check := overcommitCheck(t, c)
		reporter, observer, tenant := c.Instances[0], c.Instances[1], c.Tenants[0]
		start := func(in *simulation.Instance) {
			in.Meter.RecordArrival(tenant.Name)
			in.Meter.RecordStart(tenant.Name, 1)
		}
		c.Run(30, check)
		start(reporter)
		start(observer)
		c.Run(45, check) // all owners have both counts
		observer.DetectionLag = 4
		c.Kill(c.Instances[crashed])
		c.Run(46.6, check)
		start(reporter)
		c.Run(49, check)
		if got, _ := observer.KnownUsage(tenant.ID); got.Started != 3000 {
			delayed++
		}
		c.Run(55, check)
		if got, ok := observer.KnownUsage(tenant.ID); !ok || got.Started != 3000 {
			t.Errorf("%s crashed: got count %v, known %v; want three starts", c.Instances[crashed].Name, got, ok)
		}
	}
	if delayed == 0 {
		t.Error("no crashed instance was the aggregator: no count was delayed")
	}
}

// A message with an unknown link ID comes from an instance that was forgotten here, or that knows an earlier
// incarnation of this one. Its sender exists, so that instances which were not seen yet are still expected: the
// reservation must not be divided among fewer.
func TestUnknownLinkCountsAsMember(t *testing.T) {
	for link, want := range map[uint64]int{0: 1, 77: 5} {
		set := quota.Settings{Period: 0.25, LeaseDuration: 4, Owners: 3, ExpectedInstances: 5, ForgetAfter: 10, LossRate: 0.01}
		x := quota.NewExchange(set, "b", 2, []quota.Tenant{{Name: "t", ID: 4, Quota: 1}}, 0)
		if link != 0 {
			if err := x.Receive(9, &quota.Message{Header: quota.Header{LinkID: link, Seq: 1, Round: 1, Build: quota.OwnershipBuild}, Ack: quota.Ack{AckSeq: 1}, Delta: true}); err == nil {
				t.Error("a message with an unknown link ID was accepted")
			}
		}
		if n := x.Allocator.ClusterSize(12); n != want {
			t.Errorf("link %d: got a cluster size of %d, want %d", link, n, want)
		}
	}
}
