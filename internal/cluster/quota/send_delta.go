package quota

import (
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// Sizes of the parts of a message, in entries. A message holds at most maxMessageEntries.
const (
	fractionEntries = 1
	countEntries    = 2
	relayEntries    = 4 // for the name and the incarnation of relayed counts
)

// knownCounts holds the counts from which messages are built.
type knownCounts struct {
	state usage.State
	local usage.Counts // counts of this instance's current incarnation
}

// deltaBuilder collects content into as few delta messages as their maximum size allows.
type deltaBuilder struct {
	complete []Message
	current  Message
	entries  int
}

func newDeltaBuilder() *deltaBuilder { return &deltaBuilder{current: Message{Delta: true}} }

// reserve makes room for the given number of entries: it begins another message if the current one
// would exceed maxMessageEntries.
func (b *deltaBuilder) reserve(entries int) {
	b.entries += entries
	if b.entries <= maxMessageEntries {
		return
	}
	b.complete = append(b.complete, b.current)
	b.current = Message{Delta: true}
	b.entries = entries
}

func (b *deltaBuilder) addDemand(tenant uint64, millionths uint32) {
	b.reserve(fractionEntries)
	b.current.Demands = append(b.current.Demands, TenantFraction{Tenant: tenant, Millionths: millionths})
}

func (b *deltaBuilder) addGrant(tenant uint64, millionths uint32) {
	b.reserve(fractionEntries)
	b.current.Grants = append(b.current.Grants, TenantFraction{Tenant: tenant, Millionths: millionths})
}

func (b *deltaBuilder) addCount(tenant uint64, count usage.Count) {
	b.reserve(countEntries)
	b.current.Counts = append(b.current.Counts, usage.TenantCount{Tenant: tenant, Count: count})
}

func (b *deltaBuilder) addTotal(tenant uint64, count usage.Count) {
	b.reserve(countEntries)
	b.current.RemoteTotals = append(b.current.RemoteTotals, usage.TenantCount{Tenant: tenant, Count: count})
}

// addRelayed adds the counts of one incarnation of another instance, in parts that fit a message.
func (b *deltaBuilder) addRelayed(name string, incarnation uint64, counts usage.Counts) {
	for len(counts) > 0 {
		n := min(len(counts), (maxMessageEntries-relayEntries)/countEntries)
		b.reserve(countEntries*n + relayEntries)
		b.current.RelayedUsage = append(b.current.RelayedUsage, &usage.InstanceUsage{
			Name:         name,
			Incarnations: []usage.IncarnationUsage{{Incarnation: incarnation, Counts: counts[:n:n]}},
		})
		counts = counts[n:]
	}
}

// messages returns all messages, including the current one.
func (b *deltaBuilder) messages() []Message { return append(b.complete, b.current) }

// deltaMessages returns messages with everything that is pending for a peer, and clears it.
func (a *Allocator) deltaMessages(now float64, p *peer, known knownCounts) []Message {
	if p.pending.fullState {
		p.pending.fullState = false
		a.addFullState(p, known.local)
	}
	b := newDeltaBuilder()
	for _, tenant := range sortedKeys(p.pending.demands) {
		b.addDemand(tenant, p.loans.requested[tenant])
	}
	for _, tenant := range sortedKeys(p.pending.grants) {
		b.addGrant(tenant, p.loans.granted[tenant])
	}
	a.includeDeferred(now, p)
	for _, tenant := range sortedKeys(p.pending.counts) {
		if t, ok := a.tenants.byID[tenant]; ok {
			a.addCounts(now, b, p, t, known)
		}
	}
	a.addRelays(b, p, known.state)
	p.pending.clear()
	return b.messages()
}

// addFullState schedules sending the complete state to a peer.
func (a *Allocator) addFullState(p *peer, local usage.Counts) {
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		if a.receivesCounts(p, t) {
			if local.At(t.ID) != (usage.Count{}) {
				p.pending.counts.add(t.ID)
			}
			if a.fullMesh || t.ownedHere() {
				p.pending.relays.add(t.ID)
			}
		}
		if p.loans.requested[t.ID] > 0 {
			p.pending.demands.add(t.ID)
		}
	}
}

// includeDeferred makes deferred counts pending if the last ones were sent at least a lease ago.
func (a *Allocator) includeDeferred(now float64, p *peer) {
	if now-p.pending.deferredSentAt < a.LeaseDuration {
		return
	}
	p.pending.deferredSentAt = now
	for tenant := range p.pending.deferred {
		p.pending.counts.add(tenant)
	}
	clear(p.pending.deferred)
}

// addCounts adds this instance's count of a tenant if the peer receives it. It also adds the total of
// the other instances if this instance is the tenant's aggregator and the peer is one of its users.
func (a *Allocator) addCounts(now float64, b *deltaBuilder, p *peer, t *tenantState, known knownCounts) {
	if count := known.local.At(t.ID); a.receivesCounts(p, t) && count != (usage.Count{}) {
		b.addCount(t.ID, count)
	}
	if p.usesTenant(now, t.ID) && !a.fullMesh && a.isAggregator(t) {
		b.addTotal(t.ID, totalWithout(known.state, t.ID, p))
	}
}

// addRelays adds the counts of other instances for the tenants whose counts have to be relayed.
func (a *Allocator) addRelays(b *deltaBuilder, p *peer, st usage.State) {
	if len(p.pending.relays) == 0 {
		return
	}
	tenants := sortedKeys(p.pending.relays)
	st.ForEach(func(instance *usage.InstanceUsage) bool {
		if instance.Name == a.self.name {
			return true
		}
		for _, incarnation := range instance.Incarnations {
			if instance.Name == p.name && incarnation.Incarnation == p.received.incarnation {
				continue
			}
			b.addRelayed(instance.Name, incarnation.Incarnation, selectCounts(incarnation.Counts, tenants))
		}
		return true
	})
}

// selectCounts returns the counts of the given tenants that are not zero.
func selectCounts(counts usage.Counts, tenants []uint64) usage.Counts {
	var selected usage.Counts
	for _, tenant := range tenants {
		if count := counts.At(tenant); count != (usage.Count{}) {
			selected = append(selected, usage.TenantCount{Tenant: tenant, Count: count})
		}
	}
	return selected
}

// totalWithout returns the total count of a tenant without that of a peer's current incarnation.
func totalWithout(st usage.State, tenant uint64, p *peer) usage.Count {
	total := st.Total(tenant)
	counts, _ := st.Instance(p.name).Incarnation(p.received.incarnation)
	own := counts.At(tenant)
	return usage.Count{Started: total.Started - own.Started, Refunded: total.Refunded - own.Refunded}
}

func sortedKeys(set tenantSet) []uint64 {
	if len(set) == 0 {
		return nil
	}
	list := make([]uint64, 0, len(set))
	for tenant := range set {
		list = append(list, tenant)
	}
	slices.Sort(list)
	return list
}
