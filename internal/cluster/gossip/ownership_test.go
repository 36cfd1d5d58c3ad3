package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"example.org/bellstream/internal/cluster/quota"
)

const ownershipInstances = 9

// ownershipCluster is a cluster of nine instances in three regions, with three owners for each tenant.
type ownershipCluster struct {
	t        *testing.T
	tenants  []quota.Tenant
	notified allotments // recorded at the first instance
	nodes    []*Node
	flat     *Node // the instance with flat ownership; nil: not started
}

// logIfFailed logs the status of all instances if the test has failed.
func (c *ownershipCluster) logIfFailed() {
	if !c.t.Failed() {
		return
	}
	for _, n := range append(slices.Clone(c.nodes), c.flat) {
		if n != nil {
			c.t.Logf("%+v", n.Status())
		}
	}
}

// TestHashedOwnership checks that each tenant gets three owners in three regions, that loans
// reach the instance that serves the tenant, and that counts reach only instances that serve it
// or own a part. While an instance without hashed ownership is a member, all use flat ownership.
func TestHashedOwnership(t *testing.T) {
	t.Cleanup(func() { // runs after all nodes have been closed: a pending probe waits some seconds for its answer
		until(t, "probes have ended", func() bool { return goleak.Find(goleak.IgnoreTopFunction("time.Sleep")) == nil })
	})
	c := newOwnershipCluster(t)
	defer c.logIfFailed()
	c.checkOwners()
	c.checkLending()
	until(t, "no instance sends messages while nothing changes", func() bool {
		before := c.sent()
		time.Sleep(500 * time.Millisecond)
		return c.sent() == before
	})
	c.removeLast()
	c.checkFlatMember()
	until(t, "all use hashed ownership again", c.joined)
}

func newOwnershipCluster(t *testing.T) *ownershipCluster {
	c := &ownershipCluster{t: t, tenants: testTenants()}
	first, _ := start(t, "n0", nil, func(o *Options) {
		c.configure(0, o)
		o.OnQuotaUpdate = c.notified.record
	})
	c.nodes = []*Node{first}
	for i := 1; i < ownershipInstances; i++ {
		n, _ := start(t, fmt.Sprint("n", i), []string{first.Addr()}, func(o *Options) { c.configure(i, o) })
		c.nodes = append(c.nodes, n)
	}
	until(t, "all instances have joined", c.joined)
	return c
}

func (c *ownershipCluster) configure(i int, o *Options) {
	o.Tenants = c.tenants
	o.Settings = quota.Settings{
		Period:            0.05,
		LeaseDuration:     2,
		RetainedFraction:  0.02,
		ExpectedInstances: ownershipInstances,
		Owners:            3,
		Region:            region(i),
		LossRate:          0.05,
		MaxDelay:          0.02,
	}
}

func region(i int) string { return fmt.Sprint("r", i%3) }

func (c *ownershipCluster) joined() bool {
	return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return !n.Status().Joined || !n.Status().HashedOwnership })
}

func (c *ownershipCluster) checkOwners() {
	owned, regions := 0, map[string]bool{}
	for i, n := range c.nodes {
		owned += n.Status().OwnedTenants
		if n.Status().OwnedTenants > 0 {
			regions[region(i)] = true
		}
	}
	if owned != 3*len(c.tenants) || len(regions) != 3 {
		c.t.Errorf("%d parts are owned, in %d regions, want three parts for each tenant, in 3 regions", owned, len(regions))
	}
}

func (c *ownershipCluster) checkLending() {
	first := c.nodes[0]
	stop := generateLoad(first)
	until(c.t, "the serving instance may use nearly all of a's quota", func() bool { return c.notified.of("a") > 0.95 })
	stop()
	until(c.t, "only the owners of tenant a and the instance that serves it know its starts", func() bool {
		counts := first.exchange.Meter.Counts()
		informed := 0
		for _, n := range c.nodes {
			if got, ok := n.Usage()["a"]; ok {
				if got.Started != counts.At(c.tenants[0].ID).Started {
					return false
				}
				informed++
			}
		}
		return informed >= 3 && informed <= 4
	})
}

func (c *ownershipCluster) sent() (n uint64) {
	for _, x := range c.nodes {
		n += x.Status().Sent
	}
	return n
}

// removeLast makes the last instance leave.
func (c *ownershipCluster) removeLast() {
	last := c.nodes[ownershipInstances-1]
	c.nodes = c.nodes[:ownershipInstances-1]
	last.Leave()
	until(c.t, "the last instance has announced its leave", func() bool { return len(c.nodes[0].Status().Peers) == 7 })
	last.Close()
	// Its name is used again at another address. Before all have removed it, that would be a name conflict.
	until(c.t, "all instances have removed it", func() bool {
		for _, n := range c.nodes {
			n.directory.mu.Lock()
			_, present := n.directory.present[last.Name]
			n.directory.mu.Unlock()
			if present || len(n.Status().Peers) != 7 {
				return false
			}
		}
		return true
	})
}

// checkFlatMember starts an instance with flat ownership under the name of the last instance,
// and makes it leave.
func (c *ownershipCluster) checkFlatMember() {
	flat, _ := start(c.t, "n8", []string{c.nodes[0].Addr()}, func(o *Options) {
		c.configure(ownershipInstances-1, o)
		o.Settings.Owners = 0
	})
	c.flat = flat
	until(c.t, "all instances use flat ownership", func() bool {
		for _, n := range c.nodes {
			if n.Status().HashedOwnership || !n.Status().Joined {
				return false
			}
		}
		return flat.Status().Joined
	})
	flat.Leave()
	until(c.t, "the flat instance has announced its leave", func() bool { return len(c.nodes[0].Status().Peers) == 7 })
	flat.Close()
}
