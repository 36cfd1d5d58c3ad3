package usage

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const (
	modelInstances = 4
	modelTenants   = 3 // with ids from 1
)

// convergenceModel runs instances against the simplest model: what was really started.
type convergenceModel struct {
	t            *rapid.T
	truth        [modelTenants + 1]uint64 // by tenant id
	incarnations uint64
	instances    [modelInstances]*modelInstance
	sent         []State // everything that was ever sent, to be delivered at any time
}

type modelInstance struct {
	name    string
	replica *Replica
	counts  Counts
	seen    map[uint64]uint64 // the highest totals so far
}

// A random run of a cluster: instances count, restart without memory, and merge each
// other's states in any order with losses and repeats. No total is ever above the truth or
// below what it was before, and when all have merged everything, every total is the truth.
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

func (m *convergenceModel) start(i int) {
	m.incarnations++
	name := fmt.Sprint(i)
	m.instances[i] = &modelInstance{
		name:    name,
		replica: NewReplica(name, m.incarnations),
		seen:    map[uint64]uint64{},
	}
}

func (m *convergenceModel) step() {
	i := rapid.IntRange(0, modelInstances-1).Draw(m.t, "who")
	x := m.instances[i]
	switch rapid.IntRange(0, 3).Draw(m.t, "what") {
	case 0:
		tenant := rapid.Uint64Range(1, modelTenants).Draw(m.t, "tenant")
		x.counts = addCounts(x.counts, Counts{{tenant, Count{Started: 1}}})
		m.truth[tenant]++
	case 1:
		m.send(x)
	case 2:
		if len(m.sent) > 0 {
			m.deliver(x, m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(m.t, "news")])
		}
	case 3:
		m.crash(x)
		m.start(i)
	}
}

func (m *convergenceModel) send(x *modelInstance) {
	x.replica.UpdateLocal(x.counts)
	m.sent = append(m.sent, x.replica.Snapshot())
}

func (m *convergenceModel) deliver(x *modelInstance, s State) {
	mergeState(0, x.replica, s)
	for tenant := uint64(1); tenant <= modelTenants; tenant++ {
		got := x.replica.Snapshot().Total(tenant).Started
		if got < x.seen[tenant] || got > m.truth[tenant] {
			m.t.Fatalf("tenant %d counts %d, was %d, truth %d", tenant, got, x.seen[tenant], m.truth[tenant])
		}
		x.seen[tenant] = got
	}
}

// crash ends an instance after it has sent what it had counted, or before: then that is lost.
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

func (m *convergenceModel) checkConverged(x *modelInstance) {
	for tenant := uint64(1); tenant <= modelTenants; tenant++ {
		if got := x.replica.Snapshot().Total(tenant).Started; got != m.truth[tenant] {
			m.t.Fatalf("instance %s counts %d of tenant %d, truth %d", x.name, got, tenant, m.truth[tenant])
		}
	}
}

// mergeState merges everything that a state knows.
func mergeState(now float64, to *Replica, s State) { to.Merge(now, instancesOf(s)...) }

func instancesOf(s State) []*InstanceUsage {
	var list []*InstanceUsage
	s.ForEach(func(u *InstanceUsage) bool {
		list = append(list, u)
		return true
	})
	return list
}
