package quota

import (
	"cmp"
	"slices"
)

// allocate adjusts the loans of the tenants whose demands or owners have changed. Each user gets
// its demand, or a share in proportion to it if the demands exceed the lendable part. This
// instance is one of the users.
func (a *Allocator) allocate(now float64) {
	if len(a.changed) == 0 {
		return
	}
	for _, i := range a.drainChanged() {
		t := &a.tenants.list[i]
		if t.ledger.owned == 0 && t.ledger.lent == 0 {
			continue
		}
		d := a.newDistribution(now, t)
		revoke := a.mustRevoke(now, d)
		if revoke {
			t.ledger.rebalancedAt = now
		}
		a.reduceLoans(now, d, revoke)
		a.raiseLoans(now, d)
	}
}

// distribution describes how a tenant's lendable part is divided among its users, in millionths.
type distribution struct {
	tenant   *tenantState
	lendable uint64 // part of what is owned that may be lent
	demand   uint64 // sum over all users
}

func (a *Allocator) newDistribution(now float64, t *tenantState) distribution {
	owned := uint64(t.ledger.owned)
	d := distribution{
		tenant:   t,
		lendable: owned - min(owned, uint64(float64(owned)*a.RetainedFraction)+1),
		demand:   uint64(t.request.millionths),
	}
	for _, p := range a.members.sorted {
		if a.mayLendTo(now, p) {
			d.demand += uint64(p.loans.demands[t.ID])
		}
	}
	return d
}

// target returns what a user with the given demand should have.
func (d distribution) target(demand uint32) uint32 {
	if d.demand <= d.lendable || d.demand == 0 {
		return demand
	}
	return uint32(d.lendable * uint64(demand) / d.demand)
}

// free returns the part that is neither lent nor needed by this instance.
func (d distribution) free() uint64 {
	localTarget := uint64(d.target(d.tenant.request.millionths))
	return d.lendable - min(d.lendable, localTarget+uint64(d.tenant.ledger.lent))
}

// mustRevoke reports whether loans have to be reduced now so that other users can get more. Loans
// are reduced at once if a user could have less than 1/starvedFactor of its target. Smaller
// differences wait for rebalanceSeconds, because each change costs messages.
func (a *Allocator) mustRevoke(now float64, d distribution) bool {
	if d.tenant.ledger.owned == 0 || now-d.tenant.ledger.rebalancedAt >= rebalanceSeconds {
		return true
	}
	free := d.free()
	for _, p := range a.members.sorted {
		if !a.mayLendTo(now, p) {
			continue
		}
		target := uint64(d.target(p.loans.demands[d.tenant.ID]))
		if target > starvedFactor*(uint64(p.loans.granted[d.tenant.ID])+free) {
			return true
		}
	}
	return false
}

// reduceLoans ends loans that are not needed any more. If revoke is set, it also reduces loans that
// exceed their target by more than lendStep.
func (a *Allocator) reduceLoans(now float64, d distribution, revoke bool) {
	tenant := d.tenant.ID
	for _, p := range a.members.sorted {
		target := uint32(0)
		if a.mayLendTo(now, p) {
			target = d.target(p.loans.demands[tenant])
		}
		current := p.loans.granted[tenant]
		above := target+lendStep(current) < current
		switch {
		case target == 0 && current > 0 || revoke && above:
			a.grant(p, d.tenant, target)
		case above:
			a.markChanged(d.tenant) // checked again in the next round
		}
	}
}

// raiseLoans lends the free part to users that have less than their target.
func (a *Allocator) raiseLoans(now float64, d distribution) {
	tenant := d.tenant.ID
	for _, p := range a.members.sorted {
		if !a.mayLendTo(now, p) {
			continue
		}
		target := d.target(p.loans.demands[tenant])
		current := p.loans.granted[tenant]
		if target <= current {
			continue
		}
		target = min(target, max(current, p.loans.lent[tenant])+uint32(d.free()))
		if target > current+lendStep(current) || current == 0 && target > 0 {
			a.grant(p, d.tenant, target)
		}
	}
}

// lendStep returns the size in millionths that a change of a loan must exceed to be worth a message.
func lendStep(current uint32) uint32 { return current/lendStepDivisor + lendStepMillionths }

// mayLendTo reports whether this instance may lend to a peer: the peer has acknowledged this
// incarnation, was heard from within a lease and has not left, and this instance has joined and is
// not leaving.
func (a *Allocator) mayLendTo(now float64, p *peer) bool {
	return p.received.acknowledges && !p.isSilent(now, a.LeaseDuration) && a.joined && !a.leaving && !p.hasLeft()
}

// grant sets the loan of a tenant to a peer, and schedules sending it.
func (a *Allocator) grant(p *peer, t *tenantState, millionths uint32) {
	current := p.loans.granted[t.ID]
	if millionths > 0 {
		p.loans.granted[t.ID] = millionths
		a.deduct(p, t, millionths)
	} else {
		delete(p.loans.granted, t.ID)
	}
	p.pending.grants.add(t.ID)
	if millionths < current || millionths > 2*current {
		p.pending.urgent = true
	} else { // a small increase can wait and share a message with other content
		p.pending.sendCountsBy(a.rounds.last + batchSeconds)
	}
}

// deduct deducts a new loan to a peer from this instance's allotment. A smaller loan changes nothing
// until the peer has confirmed it.
func (a *Allocator) deduct(p *peer, t *tenantState, millionths uint32) {
	lent := p.loans.lent[t.ID]
	if millionths <= lent || a.disabled.lending.deductFirst {
		return
	}
	t.ledger.lent += millionths - lent
	p.loans.lent[t.ID] = millionths
}

// markLoansChanged schedules recomputing the loans of all tenants for which the peer has a demand or
// a grant.
func (a *Allocator) markLoansChanged(p *peer) {
	for tenant := range p.loans.demands {
		a.markChanged(a.tenants.byID[tenant])
	}
	for tenant := range p.loans.granted {
		a.markChanged(a.tenants.byID[tenant])
	}
}

// expireLoans drops expired loans to and from all peers, and updates what is lent.
func (a *Allocator) expireLoans(now float64) {
	for _, p := range a.members.sorted {
		a.expireLent(now, p)
		a.requeueLost(now, p)
		a.expireBorrowed(now, p)
		if p.isSilent(now, a.LeaseDuration) && len(p.loans.demands) > 0 {
			a.markLoansChanged(p)
			clear(p.loans.demands)
		}
		a.updateLent(p)
	}
}

// expireLent takes back all loans to a peer once they have certainly expired.
func (a *Allocator) expireLent(now float64, p *peer) {
	mayHoldLoans := len(p.loans.confirmed) > 0 || len(p.loans.granted) > 0 || len(p.sent.inFlight) > 0
	if now < p.loans.expireAt || !mayHoldLoans {
		return
	}
	clear(p.loans.confirmed)
	for tenant := range p.loans.granted {
		a.markChanged(a.tenants.byID[tenant])
	}
	clear(p.loans.granted)
	for i := range p.sent.inFlight {
		p.requeue(&p.sent.inFlight[i])
	}
	p.sent.inFlight = p.sent.inFlight[:0]
	p.loans.outdated = true
}

// requeueLost schedules sending again the content of messages that were not acknowledged in time.
// These messages may still arrive, so their loans stay deducted.
func (a *Allocator) requeueLost(now float64, p *peer) {
	for i := range p.sent.inFlight {
		m := &p.sent.inFlight[i]
		timeout := a.ackTimeout(0)
		if m.isDelta() && !m.ackRequested {
			timeout += a.LeaseDuration / 2
		}
		if !m.acknowledged && !m.requeued && now-m.sentAt > timeout {
			p.requeue(m)
		}
	}
}

// expireBorrowed drops loans from a peer that have expired.
func (a *Allocator) expireBorrowed(now float64, p *peer) {
	for tenant, borrowed := range p.loans.borrowed {
		switch {
		case now < borrowed.expiresAt:
		case a.flat:
			delete(p.loans.borrowed, tenant)
		default: // the owner may lend it again
			p.dropExpired(tenant)
		}
	}
}

// updateLent recomputes what a peer may hold of each tenant, if that is outdated: the maximum of
// the confirmed loan, the grants in flight and the current grant.
func (a *Allocator) updateLent(p *peer) {
	if !p.loans.outdated {
		return
	}
	p.loans.outdated = false
	previous := p.loans.lent
	p.loans.lent = a.maxOutstanding(p, len(previous))
	for tenant, millionths := range previous {
		t := a.tenants.byID[tenant]
		t.ledger.lent -= min(millionths, t.ledger.lent)
		if p.loans.lent[tenant] < millionths {
			a.markChanged(t) // the difference can be lent to others
		}
	}
	for tenant, millionths := range p.loans.lent {
		a.tenants.byID[tenant].ledger.lent += millionths
	}
}

// maxOutstanding returns the most that a peer may hold of each tenant. Size is a hint for the size
// of the map.
func (a *Allocator) maxOutstanding(p *peer, size int) map[uint64]uint32 {
	held := make(map[uint64]uint32, size)
	raise := func(tenant uint64, millionths uint32) {
		if millionths > held[tenant] {
			held[tenant] = millionths
		}
	}
	for tenant, millionths := range p.loans.confirmed {
		raise(tenant, millionths)
	}
	if a.disabled.lending.deductFirst {
		return held
	}
	for i := range p.sent.inFlight {
		for _, grant := range p.sent.inFlight[i].grants {
			raise(grant.Tenant, grant.Millionths)
		}
	}
	for tenant, millionths := range p.loans.granted {
		raise(tenant, millionths)
	}
	return held
}

// prepareFlatRound sums, for each tenant, the demands of the peers beyond their own parts, and lists
// the demands of this instance. Flat ownership only.
func (a *Allocator) prepareFlatRound(now float64) {
	a.flatDemands = nil
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		t.ledger.unmetDemand = 0
		if t.demand.millionths > 0 && !a.leaving {
			a.flatDemands = append(a.flatDemands, TenantFraction{Tenant: t.ID, Millionths: t.demand.millionths})
		}
	}
	for _, p := range a.members.sorted {
		if p.isSilent(now, a.LeaseDuration) {
			continue
		}
		for tenant, demand := range p.loans.demands {
			if l := &a.tenants.byID[tenant].ledger; demand > l.owned {
				l.unmetDemand += uint64(demand - l.owned)
			}
		}
	}
}

// flatGrants returns the grants to one peer with flat ownership. This instance lends what it does
// not need itself, in proportion to what each peer needs beyond its own part.
func (a *Allocator) flatGrants(now float64, p *peer) []TenantFraction {
	clear(p.loans.granted)
	if !a.mayLendTo(now, p) {
		return nil
	}
	var grants []TenantFraction
	for tenant, demand := range p.loans.demands {
		t := a.tenants.byID[tenant]
		millionths := a.flatGrant(p, t, demand)
		if millionths == 0 {
			continue
		}
		grants = append(grants, TenantFraction{Tenant: tenant, Millionths: millionths})
		p.loans.granted[tenant] = millionths
		a.deduct(p, t, millionths)
	}
	slices.SortFunc(grants, func(x, y TenantFraction) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return grants
}

// flatGrant returns the grant of one tenant to a peer with the given demand.
func (a *Allocator) flatGrant(p *peer, t *tenantState, demand uint32) uint32 {
	owned := t.ledger.owned
	kept := max(t.demand.millionths, uint32(float64(owned)*a.RetainedFraction)+1)
	if demand <= owned || kept >= owned {
		return 0
	}
	needed := float64(demand - owned)
	unmet := max(float64(t.ledger.unmetDemand), needed) // the demand may be newer than the sum
	millionths := uint32(min(float64(owned-kept)*needed/unmet, needed))
	// What other peers hold or may still hold can't be lent.
	others := t.ledger.lent - min(p.loans.lent[t.ID], t.ledger.lent)
	if others+kept >= owned {
		return 0
	}
	return min(millionths, owned-kept-others)
}
