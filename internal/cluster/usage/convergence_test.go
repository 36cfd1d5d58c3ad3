package usage

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const (
	modelInstances = 4
	modelTenants   = 3 // their ids are 1 to modelTenants
)

// convergenceModel runs instances and records what each tenant has really started, to compare with their totals.
type convergenceModel struct {
	t            *rapid.T
	truth        [modelTenants + 1]uint64 // started by tenant id, but for counts that a crash has lost
	incarnations uint64
	instances    [modelInstances]*modelInstance
	sent         []State // all states sent so far; each may be delivered at any time, or several times
}

// modelInstance is one incarnation of an instance.
type modelInstance struct {
	name    string
	replica *Replica
	counts  Counts
	seen    map[uint64]uint64 // by tenant id: total at the last delivery
}

// In random runs, instances count, restart without their state, and merge each other's states in any order, with losses
// and repeats. No total ever exceeds what was started or decreases, and once every instance has merged all states, all
// totals are exact.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &convergenceModel{t: t}
		for i := range m.instances {
			m.start(i)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step()
		}
		for _, x := range m.instances {
			m.send(x)
		}
		for _, x := range m.instances {
			for _, s := range m.sent {
				m.deliver(x, s)
			}
			m.checkConverged(x)
		}
	})
}

// start starts instance i under a new incarnation, without its earlier state.
func (m *convergenceModel) start(i int) {
	m.incarnations++
	name := fmt.Sprint(i)
	m.instances[i] = &modelInstance{
		name:    name,
		replica: NewReplica(name, m.incarnations),
		seen:    map[uint64]uint64{},
	}
}

// step executes one random action.
func (m *convergenceModel) step() {
	i := rapid.IntRange(0, modelInstances-1).Draw(m.t, "instance")
	x := m.instances[i]
	switch rapid.IntRange(0, 3).Draw(m.t, "action") {
	case 0:
		tenant := rapid.Uint64Range(1, modelTenants).Draw(m.t, "tenant")
		x.counts = addCounts(x.counts, Counts{{tenant, Count{Started: 1}}})
		m.truth[tenant]++
	case 1:
		m.send(x)
	case 2:
		if len(m.sent) > 0 {
			m.deliver(x, m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(m.t, "state")])
		}
	case 3:
		m.crash(x)
		m.start(i)
	}
}

// send adds an instance's current state to those that may be delivered.
func (m *convergenceModel) send(x *modelInstance) {
	x.replica.UpdateLocal(x.counts)
	m.sent = append(m.sent, x.replica.Snapshot())
}

// deliver merges a state at an instance and checks the instance's totals.
func (m *convergenceModel) deliver(x *modelInstance, s State) {
	mergeState(0, x.replica, s)
	for tenant := uint64(1); tenant <= modelTenants; tenant++ {
		got := x.replica.Snapshot().Total(tenant).Started
		if got < x.seen[tenant] || got > m.truth[tenant] {
			m.t.Fatalf("total of tenant %d is %d, want at least the earlier %d and at most the %d started",
				tenant, got, x.seen[tenant], m.truth[tenant])
		}
		x.seen[tenant] = got
	}
}

// crash ends an instance after it has sent its counts, or before. Counts that were never sent are lost then, and are
// subtracted from the truth.
func (m *convergenceModel) crash(x *modelInstance) {
	if rapid.Bool().Draw(m.t, "sent") {
		m.send(x)
		return
	}
	for _, c := range x.counts {
		own, _ := x.replica.Snapshot().Instance(x.name).Incarnation(x.replica.Incarnation())
		m.truth[c.Tenant] -= c.Started - own.At(c.Tenant).Started
	}
	m.sent = append(m.sent, x.replica.Snapshot())
}

// checkConverged checks that an instance's totals are exact.
func (m *convergenceModel) checkConverged(x *modelInstance) {
	for tenant := uint64(1); tenant <= modelTenants; tenant++ {
		if got := x.replica.Snapshot().Total(tenant).Started; got != m.truth[tenant] {
			m.t.Fatalf("instance %s counts %d of tenant %d, want %d", x.name, got, tenant, m.truth[tenant])
		}
	}
}

// mergeState merges all instances of a state into a replica.
func mergeState(now float64, to *Replica, s State) { to.Merge(now, instancesOf(s)...) }

// instancesOf returns the usage of all instances of a state.
func instancesOf(s State) []*InstanceUsage {
	var list []*InstanceUsage
	s.ForEach(func(u *InstanceUsage) bool {
		list = append(list, u)
		return true
	})
	return list
}
