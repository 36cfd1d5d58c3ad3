package simulation

import (
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

const maxLateSeconds = 20

// measure runs work on behalf of an instance and, with a Tap, counts its processor time.
func (c *Cluster) measure(in *Instance, work func()) {
	if c.Tap == nil {
		work()
		return
	}
	began := c.Tap.CPUSeconds()
	work()
	in.CPUSeconds += c.Tap.CPUSeconds() - began
}

// members returns the other instances that membership reports to an instance.
func (c *Cluster) members(in *Instance) (members []quota.Member) {
	for _, other := range c.Instances {
		alive := other.Up && in.Side == other.Side && c.Now >= other.FrozenUntil
		if c.Now-other.membershipChangedAt < c.DetectionDelay+in.DetectionLag { // not detected yet
			alive = !alive
		}
		if other != in && alive && other.Name != in.Name {
			members = append(members, quota.Member{Name: other.Name, Region: other.Region, Build: other.Build})
		}
	}
	return members
}

// round is one period of an instance's exchange.
func (c *Cluster) round(in *Instance) {
	if !in.Up {
		return
	}
	if c.Now < in.FrozenUntil {
		c.After(in.FrozenUntil-c.Now, func() { c.round(in) })
		return
	}
	now := in.localTime(c)
	members := c.members(in)
	var messages []*quota.Message
	c.measure(in, func() {
		in.Allocator.UpdateMembers(now, members)
		messages = in.Round(now)
		for _, m := range in.inbox {
			c.receive(in, m)
		}
		in.inbox = nil
		in.Allotments = in.Allocator.Allotments(now, in.Allotments)
	})
	for _, m := range messages {
		c.send(in, m)
	}
	c.After(c.Settings.Period*(0.9+0.2*c.Rand.Float64()), func() { c.round(in) })
}

func (c *Cluster) send(in *Instance, m *quota.Message) {
	if c.MessageSize != nil {
		in.BytesSent += float64(c.MessageSize(m))
	}
	var raw []byte
	if c.Tap != nil {
		c.measure(in, func() { raw = c.Tap.Pack(m) })
		c.Tap.OnBytes(in, true, len(raw))
	}
	copies := 1
	if c.Rand.Float64() < c.Duplication {
		copies = 2
	}
	for range copies {
		if c.Rand.Float64() < c.Loss {
			continue
		}
		c.After(c.drawDelay(in, m), func() { c.deliver(in, m, raw) })
	}
}

func (c *Cluster) drawDelay(in *Instance, m *quota.Message) float64 {
	delay := c.Rand.Float64() * c.MaxDelay
	if c.LateFraction > 0 && c.Rand.Float64() < c.LateFraction {
		delay = c.Rand.Float64() * maxLateSeconds
	}
	if to := c.byName[m.To]; c.ExtraDelay != nil && to != nil {
		delay += c.ExtraDelay(in, to)
	}
	return delay
}

// deliver passes a message to its receiver, in its encoded form if raw is not nil.
func (c *Cluster) deliver(from *Instance, m *quota.Message, raw []byte) {
	to := c.byName[m.To]
	switch {
	case to == nil || !to.Up || !c.connected(from, to):
	case c.Now < to.FrozenUntil:
		to.inbox = append(to.inbox, m)
	case raw != nil:
		c.Tap.OnBytes(to, false, len(raw))
		c.measure(to, func() {
			if decoded, err := c.Tap.Unpack(raw); err == nil {
				c.receive(to, decoded)
			}
		})
	default:
		c.receive(to, m)
	}
}

// receive passes a message to an instance. A message that the exchange rejects is ignored.
func (c *Cluster) receive(in *Instance, m *quota.Message) {
	_ = in.Receive(in.localTime(c), m)
}

func (c *Cluster) connected(a, b *Instance) bool {
	return a.Side == b.Side && (c.Unreachable == nil || !c.Unreachable(a, b))
}

// sync makes an instance exchange its complete state with a random other one, as membership does at intervals.
func (c *Cluster) sync(in *Instance) {
	if !in.Up {
		return
	}
	other := c.Instances[c.Rand.IntN(len(c.Instances))]
	if c.canSync(in, other) {
		c.exchangeStates(in, other)
	}
	c.After(c.SyncInterval*(0.5+c.Rand.Float64()), func() { c.sync(in) })
}

func (c *Cluster) canSync(in, other *Instance) bool {
	if in.Allocator.HashedOwnership() || other.Allocator.HashedOwnership() {
		return false
	}
	running := c.Now >= other.FrozenUntil && c.Now >= in.FrozenUntil
	return other != in && other.Up && c.connected(in, other) && running
}

func (c *Cluster) exchangeStates(a, b *Instance) {
	stateA := a.Usage.Snapshot()
	stateB := b.Usage.Snapshot()
	if c.Tap != nil {
		c.tapState(a, b, stateA)
		c.tapState(b, a, stateB)
	}
	instancesA := quota.Instances(stateA)
	instancesB := quota.Instances(stateB)
	c.measure(a, func() { a.MergeAll(a.localTime(c), instancesB) })
	c.measure(b, func() { b.MergeAll(b.localTime(c), instancesA) })
}

// tapState counts the bytes of a state that one instance sends to another.
func (c *Cluster) tapState(from, to *Instance, state usage.State) {
	c.measure(from, func() {
		bytes := len(c.Tap.PackState(state))
		c.Tap.OnBytes(from, true, bytes)
		c.Tap.OnBytes(to, false, bytes)
	})
}
