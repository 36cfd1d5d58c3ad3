package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

// Network configures the delivery of messages between instances. Times are in seconds.
type Network struct {
	Loss, Duplication float64 // fraction of the messages
	MaxDelay          float64 // one way; the delay of each message is uniformly distributed
	LateFraction      float64 // fraction of the messages that are delayed by up to 20 s instead
	DetectionDelay    float64 // until membership reports that an instance has started or ended
	SyncInterval      float64 // mean interval between an instance's exchanges of its complete state; 0: none
}

// Instance is one instance of a Cluster.
type Instance struct {
	*quota.Exchange
	Name         string
	ClockOffset  float64 // seconds by which its clock is ahead of the cluster's
	Up           bool
	FrozenUntil  float64
	DetectionLag float64 // seconds on top of the network's DetectionDelay
	Side         int     // side of a partition that it is on
	Region       string  // as membership reports it
	Build        uint32  // as membership reports it
	BytesSent    float64
	CPUSeconds   float64  // measured if there is a Tap
	Allotments   []uint32 // by tenant, in millionths of the tenant's reservation

	inbox               []*quota.Message // messages that arrived while it was frozen
	membershipChangedAt float64
}

// Cluster is a set of instances that exchange usage and quotas, and the messages between them.
type Cluster struct {
	Network
	Now          float64
	Instances    []*Instance
	Tenants      []quota.Tenant
	Settings     quota.Settings
	Rand         *rand.Rand
	Incarnations uint64 // number of instances started so far

	MessageSize func(*quota.Message) int     // in bytes; nil: not counted
	Unreachable func(a, b *Instance) bool    // messages are lost although membership reports both; nil: none
	ExtraDelay  func(a, b *Instance) float64 // seconds on top of a message's delay; nil: none
	Tap         *Tap                         // nil: nothing is measured

	byName    map[string]*Instance
	events    eventQueue
	lastEvent int
}

// Tap measures the bytes and the processor time of the exchange. With a Tap, messages are encoded and decoded.
type Tap struct {
	Pack       func(*quota.Message) []byte
	Unpack     func([]byte) (*quota.Message, error)
	PackState  func(usage.State) []byte // the complete state that two instances exchange
	CPUSeconds func() float64           // processor time of this thread
	OnBytes    func(in *Instance, sent bool, bytes int)
}

// New returns a cluster without instances.
func New(seed uint64, settings quota.Settings, network Network, tenants []quota.Tenant) *Cluster {
	return &Cluster{
		Network:  network,
		Settings: settings,
		Tenants:  tenants,
		byName:   map[string]*Instance{},
		Rand:     rand.New(rand.NewPCG(seed, 0xbe11)),
	}
}

// After schedules an action some seconds from now.
func (c *Cluster) After(seconds float64, do func()) {
	c.lastEvent++
	heap.Push(&c.events, event{c.Now + seconds, c.lastEvent, do})
}

// Run runs until the given time and calls each, if it is not nil, after every event.
func (c *Cluster) Run(until float64, each func()) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
		if each != nil {
			each()
		}
	}
	c.Now = until
}

// Start starts an instance with the cluster's settings and without state.
func (c *Cluster) Start(name string, clockOffset float64) *Instance {
	return c.StartAs(name, clockOffset, c.Settings)
}

// StartAs starts an instance with its own settings.
func (c *Cluster) StartAs(name string, clockOffset float64, settings quota.Settings) *Instance {
	c.Incarnations++
	in := &Instance{
		Name:                name,
		ClockOffset:         clockOffset,
		Up:                  true,
		Region:              settings.Region,
		membershipChangedAt: c.Now,
	}
	if settings.Owners > 0 {
		in.Build = quota.OwnershipBuild
	}
	in.Exchange = quota.NewExchange(settings, name, c.Incarnations, c.Tenants, in.localTime(c))
	c.Instances = append(c.Instances, in)
	c.byName[name] = in
	c.After(c.Rand.Float64()*c.Settings.Period, func() { c.round(in) })
	if c.SyncInterval > 0 {
		c.After(c.Rand.Float64()*c.SyncInterval, func() { c.sync(in) })
	}
	return in
}

func (in *Instance) localTime(c *Cluster) float64 { return c.Now + in.ClockOffset }

// Kill ends an instance without notice to the others.
func (c *Cluster) Kill(in *Instance) {
	in.Up = false
	in.membershipChangedAt = c.Now
	in.Allotments = nil
}

// Freeze suspends an instance for some seconds. Messages to it wait until then.
func (c *Cluster) Freeze(in *Instance, seconds float64) {
	in.FrozenUntil = max(in.FrozenUntil, c.Now+seconds)
}

// Partition divides the cluster: side returns the side of the instance with index i.
func (c *Cluster) Partition(side func(i int) int) {
	for i, in := range c.Instances {
		in.Side = side(i)
	}
}

// Usable returns, by tenant index, how much of a tenant's reservation all instances together may use now, in
// millionths. Frozen instances do not count, because they start no jobs. The result reuses buf.
func (c *Cluster) Usable(buf []uint64) []uint64 {
	buf = append(buf[:0], make([]uint64, len(c.Tenants))...)
	for _, in := range c.Instances {
		if !in.Up || c.Now < in.FrozenUntil || len(in.Allotments) > len(buf) {
			continue
		}
		for i, allotment := range in.Allotments {
			buf[i] += uint64(allotment)
		}
	}
	return buf
}

// EqualTenants makes n numbered tenants with the same quota.
func EqualTenants(n int, quotaValue float64) (tenants []quota.Tenant) {
	for i := range n {
		name := fmt.Sprintf("tenant-%04d", i)
		tenants = append(tenants, quota.Tenant{
			Name:  name,
			ID:    usage.TenantID(name, quotaValue, 1),
			Quota: quotaValue,
		})
	}
	return tenants
}
