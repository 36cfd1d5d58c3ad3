package quota_test

import (
	"fmt"
	"math"
	"testing"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/lab/simulation"
)

// hashedCluster is a cluster with three owners of each reservation.
func hashedCluster(t *testing.T, seed uint64, n, tenants int, net simulation.Network, forget float64) (*simulation.Cluster, func()) {
	set := settings(n)
	set.Owners, set.ForgetAfter = 3, forget
	c := simulation.New(seed, set, net, simulation.EqualTenants(tenants, 20))
	for i := range n {
		c.Start(fmt.Sprint("n", i), float64(i)*5)
	}
	return c, overcommitCheck(t, c)
}

func requireJoined(t *testing.T, c *simulation.Cluster) {
	t.Helper()
	for _, in := range c.Instances {
		if in.Up && !in.Allocator.Joined() {
			t.Errorf("%s has not joined", in.Name)
		}
	}
}

// What enters through one instance has nearly all of its reservation there,
// whoever owns it, and has it where it moves.
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
			t.Errorf("%s: slice where it enters %.3f, want at least 0.97", tn.Name, got)
		}
	}
	for k := range 6 {
		rates[k][k], rates[k+2][k] = 0, 30
	}
	c.Run(15+c.Settings.Bounds(8, 20, 10).ShiftDelay+4, check)
	c.Run(40, check)
	for k, tn := range c.Tenants { // where it was a little is believed for longer
		if got := allotment(c.Instances[k+2], tenantIndex(c, tn.Name)); got < 0.9 {
			t.Errorf("%s: slice where it moved %.3f", tn.Name, got)
		}
	}
}

// All tenants flood through all instances: each gets its even part.
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
				t.Errorf("%s tenant %d: %.4f", in.Name, i, got)
			}
		}
	}
}

// An owner crashes: what it owned is missing until it is forgotten, no more, and the
// rest goes on being lent. It comes back without memory.
func TestOwnerCrashes(t *testing.T) {
	c, check := hashedCluster(t, 4, 6, 1, lossyNetwork, 90)
	rate := 30.0
	c.Run(10, check)
	owner, user := -1, -1
	for i, in := range c.Instances {
		if own, _ := in.Allocator.OwnedTenants(); own > 0 {
			owner = i
		} else {
			user = i
		}
	}
	busy := c.Instances[user]
	generateLoad(c, busy, "tenant-0000", &rate)
	c.Run(25, check)
	if got := allotment(busy, 0); got < 0.95 {
		t.Fatalf("%.3f with all owners", got)
	}
	dead := c.Instances[owner]
	c.Kill(dead)
	c.Run(25+c.Settings.LeaseDuration+3, check)
	if got := allotment(busy, 0); got < 0.63 || got > 0.67 {
		t.Errorf("%.3f with an owner gone, want two thirds", got)
	}
	c.Run(25+c.Settings.ForgetAfter+5, check)
	if got := allotment(busy, 0); got < 0.95 {
		t.Errorf("%.3f after the owner was forgotten", got)
	}
	for i, in := range c.Instances {
		if in == dead {
			c.Instances = append(c.Instances[:i:i], c.Instances[i+1:]...)
			break
		}
	}
	c.Start(dead.Name, 0)
	c.Run(25+c.Settings.ForgetAfter+30, check)
	requireJoined(t, c)
	if got := allotment(busy, 0); got < 0.95 {
		t.Errorf("%.3f after it came back", got)
	}
}

// Each side of a long partition uses no more than it owns, counts are sent to those
// that need them and to nobody twice.
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
	truth := map[string]uint64{}
	for _, in := range c.Instances {
		for _, tn := range c.Tenants {
			truth[tn.Name] += in.Meter.Counts().At(tn.ID).Started
		}
	}
	know := 0
	for _, in := range c.Instances {
		for _, tn := range c.Tenants {
			got, ok := in.KnownUsage(tn.ID)
			if ok {
				know++
			}
			if ok && got.Started != truth[tn.Name] {
				t.Errorf("%s counts %d of %s, truth %d", in.Name, got.Started, tn.Name, truth[tn.Name])
			}
		}
	}
	if know < 3*4 {
		t.Errorf("%d know, want three owners of each of 4", know)
	}
}

// Homes are spread over regions, so that one region's loss leaves two of three.
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
		where := map[string]int{}
		for _, in := range c.Instances {
			if in.Allotments[i] > 0 {
				where[in.Region]++
			}
		}
		if len(where) != 3 {
			t.Errorf("tenant %d: owners by region %v", i, where)
		}
	}
}

// A rolling restart from flat to hashed ownership, and back: never more than the
// reservation, and finally all have joined.
func TestOwnershipModeChanges(t *testing.T) {
	c, check := flatCluster(t, 21, 5, 3, lossyNetwork)
	rate := 20.0
	for i, in := range c.Instances {
		generateLoad(c, in, c.Tenants[i%3].Name, &rate)
	}
	c.Run(12, check)
	for _, homes := range []int{3, 0} {
		for i := range 5 {
			in := c.Instances[0]
			c.Kill(in)
			c.Run(c.Now+1, check)
			c.Instances = c.Instances[1:]
			s := c.Settings
			s.Owners = homes
			again := c.StartAs(in.Name, 0, s)
			generateLoad(c, again, c.Tenants[i%3].Name, &rate)
			c.Run(c.Now+8, check)
			for _, in := range c.Instances {
				if in.Allocator.HashedOwnership() != (homes == 3 && i == 4) {
					t.Errorf("%d of %d restarted with %d owners: %s hashed %v", i+1, 5, homes, in.Name, in.Allocator.HashedOwnership())
				}
			}
		}
		c.Run(c.Now+10, check)
		requireJoined(t, c)
	}
}

// Two instances with different numbers of owners never both own parts by their own settings.
func TestDifferentOwnerCounts(t *testing.T) {
	c, check := hashedCluster(t, 22, 4, 3, lossyNetwork, 0)
	c.Run(10, check)
	requireJoined(t, c)
	s := c.Settings
	s.Owners = 2
	in := c.Instances[0]
	c.Kill(in)
	c.Instances = c.Instances[1:]
	odd := c.StartAs(in.Name, 0, s)
	c.Run(60, check)
	if odd.Allocator.Joined() {
		t.Error("joined by another number of owners")
	}
}

// At rest nobody writes to those with whom it has nothing to do.
func TestIdleClusterSendsNothing(t *testing.T) {
	c, check := hashedCluster(t, 23, 30, 3, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1}, 90)
	c.Run(20, check)
	requireJoined(t, c)
	heard := func() (n uint64) {
		for _, in := range c.Instances {
			n += in.Allocator.Received()
		}
		return n
	}
	was := heard()
	c.Run(80, check)
	if n := heard() - was; n > 0 {
		t.Errorf("%d messages in a minute in which nothing came", n)
	}
	rate := 30.0
	generateLoad(c, c.Instances[0], "tenant-0000", &rate)
	c.Run(90, check)
	was = heard()
	c.Run(150, check)
	if n := heard() - was; n > 60*3*4 {
		t.Errorf("%d messages in a minute for one tenant at one instance", n)
	}
}

// A start whose report is lost is soon known all the same, also of an instance that starts little: counts
// are sent again until they are acknowledged, however low the configured loss rate is.
func TestLostCountsAreResent(t *testing.T) {
	set := settings(12)
	set.Owners, set.ForgetAfter, set.LeaseDuration, set.LossRate = 3, 90, 20, 0.001
	for seed := range uint64(5) {
		c := simulation.New(seed, set, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1}, simulation.EqualTenants(4, 20))
		for i := range 12 {
			c.Start(fmt.Sprint("n", i), float64(i))
		}
		check := overcommitCheck(t, c)
		one, other, tenant := c.Instances[0], c.Instances[1], c.Tenants[0]
		c.Run(30, check)
		start := func(in *simulation.Instance) {
			in.Meter.RecordArrival(tenant.Name)
			in.Meter.RecordStart(tenant.Name, 1)
		}
		start(one)
		start(other)
		c.Run(40, check)
		if is, ok := other.KnownUsage(tenant.ID); !ok || is.Started != 2000 {
			t.Fatalf("seed %d: %v, %v of two starts", seed, is, ok)
		}
		start(one)
		c.Unreachable = func(a, b *simulation.Instance) bool { return a == one || b == one }
		c.Run(41, check)
		c.Unreachable = nil
		for c.Now < 60 {
			if is, _ := other.KnownUsage(tenant.ID); is.Started == 3000 {
				break
			}
			c.Run(c.Now+0.05, check)
		}
		if took := c.Now - 41; took > 3 {
			t.Errorf("seed %d: known %.2f s after the link was back", seed, took)
		}
	}
}

// Two instances that know each other's incarnations send neither name any more; after one of them was
// restarted both are sent until each has received a message of the other.
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
				t.Fatalf("%+v", m)
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
		t.Errorf("%d messages by a link, %d by names, when all know each other", linked, named)
	}
	c.Kill(c.Instances[1])
	c.Run(62, check)
	c.Start(c.Instances[1].Name, 0)
	c.Run(100, check)
	requireJoined(t, c)
	linked, named = 0, 0
	c.Run(120, check)
	if linked < 60 || named > linked/20 {
		t.Errorf("%d messages by a link, %d by names, after one has started again", linked, named)
	}
}

// An owner that became the aggregator after a crash reports totals as soon as one user has noticed the crash. A
// user that notices later applies that report then: there may be no start that would cause another one.
func TestTotalOfNewAggregatorIsKept(t *testing.T) {
	differed := 0
	for gone := 2; gone < 12; gone++ {
		set := settings(12)
		set.Owners, set.ForgetAfter, set.LossRate = 3, 90, 0.001
		c := simulation.New(7, set, simulation.Network{MaxDelay: 0.05, DetectionDelay: 1}, simulation.EqualTenants(4, 20))
		for i := range 12 {
			c.Start(fmt.Sprint("n", i), float64(i))
		}
		check := overcommitCheck(t, c)
		one, other, tenant := c.Instances[0], c.Instances[1], c.Tenants[0]
		start := func(in *simulation.Instance) {
			in.Meter.RecordArrival(tenant.Name)
			in.Meter.RecordStart(tenant.Name, 1)
		}
		c.Run(30, check)
		start(one)
		start(other)
		c.Run(45, check) // all owners have both counts
		other.DetectionLag = 4
		c.Kill(c.Instances[gone])
		c.Run(46.6, check)
		start(one)
		c.Run(49, check)
		if is, _ := other.KnownUsage(tenant.ID); is.Started != 3000 {
			differed++
		}
		c.Run(55, check)
		if is, ok := other.KnownUsage(tenant.ID); !ok || is.Started != 3000 {
			t.Errorf("%s gone: %v, %v of three starts", c.Instances[gone].Name, is, ok)
		}
	}
	if differed == 0 {
		t.Error("none that went was the one who spoke")
	}
}

// The sender of a message by an unknown link was forgotten here, or means an earlier incarnation: it is there, and
// nobody takes the part of those who were not seen meanwhile.
func TestUnknownLinkCountsAsMember(t *testing.T) {
	for link, want := range map[uint64]int{0: 1, 77: 5} {
		set := quota.Settings{Period: 0.25, LeaseDuration: 4, Owners: 3, ExpectedInstances: 5, ForgetAfter: 10, LossRate: 0.01}
		x := quota.NewExchange(set, "b", 2, []quota.Tenant{{Name: "t", ID: 4, Quota: 1}}, 0)
		if link != 0 {
			if err := x.Receive(9, &quota.Message{Header: quota.Header{LinkID: link, Seq: 1, Round: 1, Build: quota.OwnershipBuild}, Ack: quota.Ack{AckSeq: 1}, Delta: true}); err == nil {
				t.Error("a message of nobody was taken")
			}
		}
		if n := x.Allocator.ClusterSize(12); n != want {
			t.Errorf("link %d: divided by %d, want %d", link, n, want)
		}
	}
}
