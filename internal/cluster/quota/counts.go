package quota

import (
	"math"

	"example.org/bellstream/internal/cluster/usage"
)

// receivesCounts reports whether this instance sends its counts of a tenant to a peer.
func (a *Allocator) receivesCounts(p *peer, t *tenantState) bool { return a.fullMesh || t.ownedBy(p) }

// countReceivers returns the instances to which this instance sends its counts of a tenant. A nil
// peer is this instance.
func (a *Allocator) countReceivers(t *tenantState) []*peer {
	if a.fullMesh {
		return a.members.sorted
	}
	return t.ledger.owners
}

// usageReportDelay returns the time in seconds within which counts are sent to the aggregator.
func (a *Allocator) usageReportDelay() float64 { return usageReportDelay(len(a.members.sorted) + 1) }

// CountsChanged schedules sending the given counts of this instance, which have changed since the
// last round.
func (a *Allocator) CountsChanged(now float64, counts usage.Counts) {
	if a.flat {
		a.sendCountsToAll(counts)
		return
	}
	for _, count := range counts {
		t, known := a.tenants.byID[count.Tenant]
		if !known {
			continue
		}
		t.usage.lastCounted = now
		a.reportCounts(now, t)
		a.relayToUsers(now, t, a.Region, nil)
	}
}

// sendCountsToAll schedules sending counts to all peers. Flat ownership only.
func (a *Allocator) sendCountsToAll(counts usage.Counts) {
	for _, p := range a.members.sorted {
		if p.pending.fullState {
			continue
		}
		for _, count := range counts {
			p.pending.counts.add(count.Tenant)
		}
	}
}

// reportCounts schedules sending a tenant's counts to its aggregator within usageReportDelay, and to
// the other owners with a longer delay: they need the counts only if the aggregator fails.
func (a *Allocator) reportCounts(now float64, t *tenantState) {
	aggregator, _ := a.aggregator(t)
	for _, p := range a.countReceivers(t) {
		switch {
		case p == nil:
		case p == aggregator || a.fullMesh:
			p.pending.counts.add(t.ID)
			p.pending.sendCountsBy(now + a.usageReportDelay())
		default:
			p.pending.deferred.add(t.ID)
		}
	}
}

// RemoteCountsChanged schedules relaying a tenant's counts after reporter, another instance, has
// reported new ones.
func (a *Allocator) RemoteCountsChanged(now float64, tenant uint64, reporter string) {
	t, known := a.tenants.byID[tenant]
	if !known || a.flat {
		return
	}
	p := a.members.peers[reporter]
	region := ""
	if p != nil {
		region = p.region
	}
	a.relayToUsers(now, t, region, p)
}

// relayToUsers schedules sending a tenant's counts to all of its users except one, if this
// instance is the tenant's aggregator. Users in the region where the jobs were counted receive
// them sooner.
func (a *Allocator) relayToUsers(now float64, t *tenantState, region string, except *peer) {
	if a.fullMesh || !a.isAggregator(t) {
		return
	}
	n := len(a.members.sorted) + 1
	var users []*peer
	for _, p := range a.members.sorted {
		if p != except && p.usesTenant(now, t.ID) {
			users = append(users, p)
		}
	}
	perUserDelay := relayPerUserSeconds * float64(len(users))
	for _, p := range users {
		delay := max(relayDelay(n, p.region == region), perUserDelay)
		p.pending.counts.add(t.ID)
		p.pending.sendCountsBy(now + delay)
	}
}

// relayIncarnation schedules sending the counts of a peer's ended incarnation to the other owners,
// because that incarnation may not have sent them to all owners.
func (a *Allocator) relayIncarnation(ended *peer) {
	if a.flat || ended.received.incarnation == 0 {
		return
	}
	for tenant := range ended.lastUsed {
		t, known := a.tenants.byID[tenant]
		if !known || !a.fullMesh && !t.ownedHere() {
			continue
		}
		for _, p := range a.countReceivers(t) {
			if p != nil && p != ended {
				p.pending.relays.add(tenant)
				p.pending.sendCountsBy(a.rounds.last + remoteRelaySeconds)
			}
		}
	}
}

// receiveTotals records an owner's report of what all other instances have counted.
func (a *Allocator) receiveTotals(p *peer, m *Message) {
	for _, total := range m.RemoteTotals {
		t, known := a.tenants.byID[total.Tenant]
		if !known || a.isAggregator(t) {
			continue
		}
		reported := remoteTotal{owner: p.name, incarnation: p.received.incarnation, Count: total.Count}
		aggregator, present := a.aggregator(t)
		current := t.usage.total.owner
		if current != p.name && current != "" && (!present || aggregator != p) {
			// The sender became the aggregator before this instance noticed, and may not report again.
			a.earlyTotals[t.index] = reported
			continue
		}
		t.usage.total = reported
	}
}

// applyEarlyTotals applies the reports of owners that this instance sees as aggregators by now, and
// drops those that are no longer needed.
func (a *Allocator) applyEarlyTotals() {
	for i, reported := range a.earlyTotals {
		t := &a.tenants.list[i]
		aggregator, _ := a.aggregator(t)
		switch {
		case a.isAggregator(t) || t.usage.total.owner == reported.owner:
			delete(a.earlyTotals, i)
		case aggregator != nil && aggregator.name == reported.owner &&
			aggregator.received.incarnation == reported.incarnation:
			t.usage.total = reported
			delete(a.earlyTotals, i)
		}
	}
}

// KnownUsage returns what all instances have counted of the tenant with the given index, as far as
// this instance knows. It returns false if this instance has no such information, because it
// neither serves nor owns the tenant or has received no report yet.
func (a *Allocator) KnownUsage(index int, st usage.State) (usage.Count, bool) {
	t := &a.tenants.list[index]
	total := t.usage.total
	if a.isAggregator(t) || t.ownedHere() && total.owner == "" {
		return st.Total(t.ID), true
	}
	if t.request.millionths == 0 && a.rounds.last-t.usage.lastCounted >= userExpirySeconds/2 {
		return usage.Count{}, false // this instance does not receive reports any more
	}
	own := a.localCount(t, st)
	sum := usage.Count{Started: own.Started + total.Started, Refunded: own.Refunded + total.Refunded}
	return sum, total.owner != ""
}

// localCount returns what this incarnation has counted of a tenant.
func (a *Allocator) localCount(t *tenantState, st usage.State) usage.Count {
	counts, _ := st.Instance(a.self.name).Incarnation(a.self.incarnation)
	return counts.At(t.ID)
}

// RemoteUsage returns what the other instances have started for each tenant since the last call,
// in slots, in ascending order of tenant ids. Jobs that were counted before this instance followed
// the counts are left out, so that tenants are not charged for them here. For the same reason one
// call charges at most what the reservation allows in the warm-up time (the lease duration, but at
// most usageWarmupSeconds) or minUsageStepSlots if that is more, however long reports were delayed.
func (a *Allocator) RemoteUsage(now float64, st usage.State) []float64 {
	own, _ := st.Instance(a.self.name).Incarnation(a.self.incarnation)
	charges := make([]float64, len(a.tenants.list))
	warmup := min(a.LeaseDuration, usageWarmupSeconds)
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		net, source := a.remoteNet(t, own.At(t.ID), st)
		a.follow(now, t, net, source)
		if now-t.usage.followedSince >= warmup {
			limit := max(minUsageStepSlots, t.Quota*warmup)
			charge := float64(net-t.usage.baseline) / usage.MillislotsPerSlot
			charges[i] = max(-limit, min(limit, charge))
		}
		t.usage.baseline = net
	}
	return charges
}

// remoteNet returns the net count of all other instances for a tenant, and who reported it.
func (a *Allocator) remoteNet(t *tenantState, own usage.Count, st usage.State) (net int64, source remoteTotal) {
	total := t.usage.total
	switch {
	case a.isAggregator(t):
		return st.Total(t.ID).Net() - own.Net(), remoteTotal{owner: a.self.name}
	case t.request.millionths > 0 || own != (usage.Count{}):
		return total.Net(), remoteTotal{owner: total.owner, incarnation: total.incarnation}
	}
	return 0, remoteTotal{}
}

// follow updates since when the counts of the current source are followed. A new source resets the
// time and the baseline.
func (a *Allocator) follow(now float64, t *tenantState, net int64, source remoteTotal) {
	u := &t.usage
	switch {
	case source != u.source || source.owner == "":
		u.followedSince = now
		if a.flat && u.source.owner == "" {
			u.followedSince = a.rounds.startedAt
		}
		u.source = source
		u.baseline = net
	case math.IsInf(u.followedSince, 1):
		u.followedSince = now
	}
}
