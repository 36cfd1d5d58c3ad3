package quota_test

import (
	"fmt"
	"math"
	"testing"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/lab/simulation"
)

func settings(n int) quota.Settings {
	return quota.Settings{Period: 0.25, LeaseDuration: 4, RetainedFraction: 0.02, ForgetAfter: 90, ExpectedInstances: n, MaxDelay: 0.05, LossRate: 0.1}
}

var lossyNetwork = simulation.Network{Loss: 0.1, Duplication: 0.02, MaxDelay: 0.05, DetectionDelay: 2, SyncInterval: 5}

// generateLoad records jobs of a tenant at an instance as arrived and started, at *rate jobs a second, which may
// change. Nothing is recorded while the instance is down or suspended.
func generateLoad(c *simulation.Cluster, in *simulation.Instance, tenant string, rate *float64) {
	const step = 0.1
	var next func()
	next = func() {
		if in.Up && c.Now >= in.FrozenUntil {
			for range simulation.Poisson(c.Rand, *rate*step) {
				in.Meter.RecordArrival(tenant)
				in.Meter.RecordStart(tenant, 1)
			}
		}
		c.After(step, next)
	}
	c.After(0, next)
}

// allotment returns the fraction of a tenant's reservation that an instance may use, 0 before its first round.
func allotment(in *simulation.Instance, tenant int) float64 {
	if len(in.Allotments) == 0 {
		return 0
	}
	return float64(in.Allotments[tenant]) / quota.FullReservation
}

// tenantIndex returns the index of a tenant in the cluster's table, which is sorted by id.
func tenantIndex(c *simulation.Cluster, name string) int {
	n := 0
	var id uint64
	for _, t := range c.Tenants {
		if t.Name == name {
			id = t.ID
		}
	}
	for _, t := range c.Tenants {
		if t.ID < id {
			n++
		}
	}
	return n
}

// overcommitCheck returns a check to be run at every step: it fails the test if the allotments of all instances add
// up to more than a reservation.
func overcommitCheck(t interface{ Fatalf(string, ...any) }, c *simulation.Cluster) func() {
	var buf []uint64
	return func() {
		buf = c.Usable(buf)
		for i, u := range buf {
			if u > quota.FullReservation {
				t.Fatalf("at %.2f s: allotments of tenant %d add up to %d, want at most %d: %v",
					c.Now, i, u, quota.FullReservation, describeAllotments(c, i))
			}
		}
	}
}

// describeAllotments lists each running instance's allotment of tenant i, and whether the instance has joined.
func describeAllotments(c *simulation.Cluster, i int) (list []string) {
	for _, in := range c.Instances {
		if in.Up && len(in.Allotments) > 0 {
			list = append(list, fmt.Sprint(in.Name, ":", in.Allotments[i], "/", in.Allocator.Joined()))
		}
	}
	return list
}

// flatCluster returns a cluster with flat ownership, and its overcommitCheck.
func flatCluster(t *testing.T, seed uint64, n, tenants int, net simulation.Network) (*simulation.Cluster, func()) {
	c := simulation.New(seed, settings(n), net, simulation.EqualTenants(tenants, 20))
	for i := range n {
		c.Start(fmt.Sprint("n", i), float64(i)*5) // clocks 5 s apart
	}
	return c, overcommitCheck(t, c)
}

// An instance at which all jobs of a tenant arrive gets nearly all of the tenant's reservation while the other
// instances are idle. When the jobs arrive at another instance, the reservation moves there.
func TestLoansFollowDemand(t *testing.T) {
	c, check := flatCluster(t, 1, 5, 3, lossyNetwork)
	a, b := 30.0, 0.0
	generateLoad(c, c.Instances[0], "tenant-0000", &a)
	generateLoad(c, c.Instances[3], "tenant-0000", &b)
	k := tenantIndex(c, "tenant-0000")
	c.Run(15, check)
	if got := allotment(c.Instances[0], k); got < 0.97 {
		t.Errorf("allotment %.3f where the jobs arrive, want at least 0.97", got)
	}
	a, b = 0, 30 // the load moves within one step
	move := c.Settings.Bounds(5, 20, 10).ShiftDelay
	c.Run(15+move+4, check) // demand is assumed for some seconds after the last job
	c.Run(40, check)
	if got := allotment(c.Instances[3], k); got < 0.97 {
		t.Errorf("allotment %.3f where the jobs arrive now, want at least 0.97", got)
	}
}

// Each tenant sends more than its reservation through every one of 5 instances: each instance uses the fifth that
// it owns, and borrows nothing.
func TestOverloadThroughAllInstances(t *testing.T) {
	c, check := flatCluster(t, 2, 5, 4, lossyNetwork)
	rate := 100.0
	for _, in := range c.Instances {
		for _, tn := range c.Tenants {
			generateLoad(c, in, tn.Name, &rate)
		}
	}
	c.Run(20, check)
	for _, in := range c.Instances {
		for i := range c.Tenants {
			if got := allotment(in, i); math.Abs(got-0.2) > 0.001 {
				t.Errorf("%s: allotment of tenant %d is %.4f, want 0.2", in.Name, i, got)
			}
		}
	}
}

// In a partition of 30 s neither side uses what the other may use, and loans between the sides expire in time.
// Afterwards all instances have the same, exact counts.
func TestPartition(t *testing.T) {
	c, check := flatCluster(t, 3, 5, 2, lossyNetwork)
	rate := 30.0
	generateLoad(c, c.Instances[0], "tenant-0000", &rate)
	generateLoad(c, c.Instances[4], "tenant-0001", &rate)
	k := tenantIndex(c, "tenant-0000")
	c.Run(15, check)
	c.Partition(func(i int) int { return i / 2 % 2 }) // instances 0,1,4 and 2,3
	c.Run(15+c.Settings.LeaseDuration+c.Settings.Period, check)
	if got := allotment(c.Instances[0], k); got > 0.6 {
		t.Errorf("%.3f of the reservation used after the partition, want at most the 0.6 that this side owns", got)
	}
	c.Run(45, check)
	c.Partition(func(int) int { return 0 })
	c.Run(48, check)
	rate = 0
	c.Run(49.5, check)
	for i, tn := range c.Tenants {
		want := c.Instances[i*4].Meter.Counts().At(tn.ID)
		for _, in := range c.Instances {
			if got := in.Usage.Snapshot().Total(tn.ID); got != want {
				t.Errorf("%s counts %v of %s, want %v", in.Name, got, tn.Name, want)
			}
		}
	}
}

// What a crashed instance owned is divided among the others once ForgetAfter has passed, not before.
func TestForgottenInstance(t *testing.T) {
	c, check := flatCluster(t, 4, 3, 1, lossyNetwork)
	c.Run(10, check)
	c.Kill(c.Instances[2])
	c.Run(10+c.Settings.ForgetAfter-3, check)
	if got := allotment(c.Instances[0], 0); got > 0.34 {
		t.Errorf("allotment %.3f before the crashed instance was forgotten, want a third", got)
	}
	c.Run(10+c.Settings.ForgetAfter+8, check)
	if got := allotment(c.Instances[0], 0); got < 0.49 {
		t.Errorf("allotment %.3f after the crashed instance was forgotten, want 0.5", got)
	}
	// The instance starts again without its earlier state.
	c.Start("n2", 0)
	c.Run(10+c.Settings.ForgetAfter+25, check)
	if got := allotment(c.Instances[0], 0); got > 0.34 {
		t.Errorf("allotment %.3f with three instances again, want a third", got)
	}
}

// An instance that was suspended for 20 s doesn't use the loans that it had before, and joins again.
func TestSuspendedInstance(t *testing.T) {
	c, check := flatCluster(t, 5, 5, 1, lossyNetwork)
	rate := 30.0
	generateLoad(c, c.Instances[0], "tenant-0000", &rate)
	c.Run(10, check)
	c.Freeze(c.Instances[0], 20)
	c.Run(30.01, check)
	if got := allotment(c.Instances[0], 0); got > 0.25 {
		t.Errorf("allotment %.3f right after the suspension, want at most 0.25", got)
	}
	c.Run(50, check)
	if got := allotment(c.Instances[0], 0); got < 0.95 {
		t.Errorf("allotment %.3f 20 s after the suspension, want at least 0.95", got)
	}
}

// An instance that leaves gives back what it owns without waiting for ForgetAfter.
func TestLeavingInstance(t *testing.T) {
	c, check := flatCluster(t, 6, 2, 1, lossyNetwork)
	c.Settings.ForgetAfter = 0
	c.Run(10, check)
	leaver := c.Instances[1]
	leaver.Allocator.Leave()
	c.Run(12, check)
	if got := allotment(leaver, 0); got > 0.02 {
		t.Errorf("leaving instance has an allotment of %.3f, want at most 0.02", got)
	}
	c.Kill(leaver)
	c.Run(120, check)
	if got := allotment(c.Instances[0], 0); got < 0.99 {
		t.Errorf("allotment %.3f of the remaining instance, want at least 0.99", got)
	}
}

// Tenants with different settings have different ids, so that nothing is lent between them. An instance with another
// tenant table is shown as such in the peers, and counts of tenants that are only in its table are not kept.
func TestDifferentTenantTables(t *testing.T) {
	c, check := flatCluster(t, 7, 2, 1, lossyNetwork)
	// The third instance starts with two tenants, the others have one.
	c.Tenants = append(simulation.EqualTenants(1, 20), simulation.EqualTenants(2, 99)[1])
	differing := c.Start("n9", 0)
	rate := 200.0
	generateLoad(c, differing, "tenant-0001", &rate)
	c.Tenants = c.Tenants[:1]
	c.Run(30, check)
	for _, p := range c.Instances[0].Allocator.Peers(c.Now) {
		if p.SameTable != (p.Name == "n1") {
			t.Errorf("SameTable should be true for n1 alone, got %+v", p)
		}
	}
	if got := c.Instances[0].Usage.Snapshot().Totals(); len(got) != 0 {
		t.Errorf("got counts %v of a tenant that is not in the table, want none", got)
	}
}

// A refund, for jobs that proved never to have run, is subtracted at the other instances too, from the usage by which
// they move tags.
func TestRefunds(t *testing.T) {
	c, check := flatCluster(t, 8, 2, 1, simulation.Network{DetectionDelay: 1})
	x := c.Instances[1]
	remoteUsage := func() float64 { return x.Allocator.RemoteUsage(c.Now+x.ClockOffset, x.Usage.Snapshot())[0] }
	c.Run(10, check)
	remoteUsage()
	c.Instances[0].Meter.RecordStart("tenant-0000", 3)
	c.Run(11, check)
	if got := remoteUsage(); got != 3 {
		t.Errorf("remote usage of %v slots, want 3", got)
	}
	c.Instances[0].Meter.RecordRefund("tenant-0000", 3)
	c.Run(12, check)
	if got := remoteUsage(); got != -3 {
		t.Errorf("remote usage of %v slots, want -3", got)
	}
}

// An instance that starts beside one that has counted for 30 s must not charge tenants for those 30 s. It charges
// nothing in its first 3.5 s, and then only jobs that are started meanwhile.
func TestPastUsageIsNotCharged(t *testing.T) {
	c, check := flatCluster(t, 9, 2, 1, lossyNetwork)
	rate := 50.0
	generateLoad(c, c.Instances[0], "tenant-0000", &rate)
	c.Run(30, check)
	joining := c.Start("n7", 0)
	sum := 0.0
	add := func() { sum += joining.Allocator.RemoteUsage(c.Now, joining.Usage.Snapshot())[0] }
	c.Run(30+c.Settings.LeaseDuration-0.5, add)
	if sum != 0 {
		t.Errorf("%v slots charged for jobs started before the instance, want 0", sum)
	}
	c.Run(50, add)
	if sum < 600 || sum > 900 {
		t.Errorf("%v slots charged in 16 s of 50 jobs a second, want 600 to 900", sum)
	}
}

// With 1000 tenants a round takes several messages, which a network with jitter reorders. Messages of one round must
// be accepted in any order: at most a tenth may be dropped, because a message of a later round has arrived before.
func TestMultiPageRounds(t *testing.T) {
	c := simulation.New(12, settings(3), simulation.Network{MaxDelay: 0.2, DetectionDelay: 1}, simulation.EqualTenants(1000, 20))
	check := overcommitCheck(t, c)
	rate := 18.0
	for i := range 3 {
		in := c.Start(fmt.Sprint("n", i), 0)
		for k := i; k < 1000; k += 3 {
			generateLoad(c, in, c.Tenants[k].Name, &rate)
		}
	}
	c.Run(12, check)
	low := 0
	for i := range 3 {
		for k := i; k < 1000; k += 3 {
			if allotment(c.Instances[i], tenantIndex(c, c.Tenants[k].Name)) < 0.9 {
				low++
			}
		}
	}
	if low > 10 {
		t.Errorf("%d of 1000 tenants have an allotment below 0.9 where their jobs arrive, want at most 10", low)
	}
	for reason, n := range c.Instances[0].Allocator.Drops() {
		if n > c.Instances[0].Allocator.Received()/10 {
			t.Errorf("%d of %d messages dropped, want at most a tenth: %s", n, c.Instances[0].Allocator.Received(), reason)
		}
	}
}

// A cluster under load grows from 1 to 20 instances and shrinks to 1: allotments never exceed the reservation.
func TestGrowAndShrink(t *testing.T) {
	c := simulation.New(11, settings(1), lossyNetwork, simulation.EqualTenants(2, 20))
	check := overcommitCheck(t, c)
	rate := 10.0
	for i := range 20 {
		generateLoad(c, c.Start(fmt.Sprint("n", i), 0), "tenant-0000", &rate)
		c.Run(c.Now+6, check)
	}
	c.Run(c.Now+10, check)
	if got := allotment(c.Instances[19], 0); got < 0.045 || got > 0.06 {
		t.Errorf("allotment %.3f of one of 20 instances, want about 0.05", got)
	}
	for i := range 19 {
		in := c.Instances[i]
		in.Allocator.Leave()
		c.Run(c.Now+2, check)
		c.Kill(in)
	}
	c.Run(c.Now+c.Settings.ForgetAfter+10, check)
	if got := allotment(c.Instances[19], 0); got < 0.99 {
		t.Errorf("allotment %.3f of the last instance, want at least 0.99", got)
	}
}

func TestRejectedMessages(t *testing.T) {
	b := quota.New(settings(2), "a", 1, simulation.EqualTenants(1, 20), 0)
	b.UpdateMemberNames(0, []string{"b"})
	good := quota.Message{Header: quota.Header{From: "b", To: "a", Incarnation: 5, Seq: 3, Round: 2}, RangeEnd: math.MaxUint64}
	if err := b.Receive(0, &good); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[quota.DropReason]func(*quota.Message){
		quota.OutOfOrder:       func(*quota.Message) {},
		quota.EndedIncarnation: func(m *quota.Message) { m.Incarnation = 4 },
		quota.UnknownMember:    func(m *quota.Message) { m.From = "x" },
		quota.DuplicateName:    func(m *quota.Message) { m.From = "a" },
		quota.OtherReceiver:    func(m *quota.Message) { m.To = "x" },
		quota.Malformed:        func(m *quota.Message) { m.RangeStart, m.RangeEnd = 2, 1 },
	} {
		m := good
		change(&m)
		if err := b.Receive(0, &m); err == nil || b.Drops()[want] != 1 {
			t.Errorf("want one drop as %s, got error %v and drops %v", want, err, b.Drops())
		}
	}
	// A loan that acknowledges a message that was never sent, or an old incarnation, is ignored.
	m := good
	m.Seq, m.Round, m.AckIncarnation, m.AckSeq = 9, 3, 1, 77
	m.Grants = []quota.TenantFraction{{Tenant: simulation.EqualTenants(1, 20)[0].ID, Millionths: 500_000}}
	if b.Receive(0, &m); b.Allotments(0, nil)[0] > 20_000 {
		t.Errorf("a loan was accepted for a message that was never sent: allotments %v", b.Allotments(0, nil))
	}
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{5, 50, 200} {
		b.Run(fmt.Sprint(n, "instances"), func(b *testing.B) {
			c := simulation.New(1, settings(n), simulation.Network{DetectionDelay: 1}, simulation.EqualTenants(1000, 20))
			for i := range n {
				in := c.Start(fmt.Sprint("n", i), 0)
				rate := 10.0
				for k := range 20 {
					generateLoad(c, in, c.Tenants[(i*7+k*13)%1000].Name, &rate)
				}
			}
			c.Run(3, nil)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.Instances[0].Round(c.Now + float64(i)*0.001)
			}
		})
	}
}
