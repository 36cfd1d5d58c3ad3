package quota

import (
	"cmp"
	"slices"
)

// allocate lends what this instance owns, as demands and owners change. Each user
// gets what it needs, or in proportion where that is more than there is; this instance is
// a user among them.
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

// distribution is how a tenant's lendable part is divided among its users.
type distribution struct {
	tenant   *tenantState
	lendable uint64 // of what is owned
	demand   uint64 // of all users
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

// target is what a user with such a demand should have.
func (d distribution) target(demand uint32) uint32 {
	if d.demand <= d.lendable || d.demand == 0 {
		return demand
	}
	return uint32(d.lendable * uint64(demand) / d.demand)
}

// free is what is neither lent nor needed here.
func (d distribution) free() uint64 {
	localTarget := uint64(d.target(d.tenant.request.millionths))
	return d.lendable - min(d.lendable, localTarget+uint64(d.tenant.ledger.lent))
}

// mustRevoke reports whether loans are reduced now to the benefit of others. Where a user
// gets much less than its part they are; small differences wait, as each costs messages.
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

// reduceLoans ends loans that are not needed any more, and if loans are to be revoked
// those above their target.
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
			a.markChanged(d.tenant) // later
		}
	}
}

// raiseLoans lends what is free to users below their target.
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

// lendStep is the smallest change of a loan that is worth a message.
func lendStep(current uint32) uint32 { return current/lendStepDivisor + lendStepMillionths }

// mayLendTo reports whether a peer can be lent anything: it receives messages of this
// incarnation, and sent one recently.
func (a *Allocator) mayLendTo(now float64, p *peer) bool {
	return p.received.acknowledges && !p.isSilent(now, a.LeaseDuration) && a.joined && !a.leaving && !p.hasLeft()
}

// grant sets what a peer is lent.
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
	} else { // a little more can wait for other content
		p.pending.sendCountsBy(a.rounds.last + batchSeconds)
	}
}

// deduct deducts what a peer may hold from now on.
func (a *Allocator) deduct(p *peer, t *tenantState, millionths uint32) {
	lent := p.loans.lent[t.ID]
	if millionths <= lent || a.disabled.lending.deductFirst {
		return
	}
	t.ledger.lent += millionths - lent
	p.loans.lent[t.ID] = millionths
}

// markLoansChanged schedules computing the loans of all tenants that a peer needs or holds.
func (a *Allocator) markLoansChanged(p *peer) {
	for tenant := range p.loans.demands {
		a.markChanged(a.tenants.byID[tenant])
	}
	for tenant := range p.loans.granted {
		a.markChanged(a.tenants.byID[tenant])
	}
}

// expireLoans drops loans that have expired, on both sides, and computes what is lent.
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

// expireLent takes back everything that a peer held, once it has expired for certain.
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

// requeueLost has the content of messages sent again that were not acknowledged in time.
// They may still arrive: what they lend stays written off.
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
		default: // it may be lent again
			p.dropExpired(tenant)
		}
	}
}

// updateLent computes what a peer may hold of each tenant: the most of what it is known to
// have received, of what is in flight and of what it is granted.
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
			a.markChanged(t) // others may have it
		}
	}
	for tenant, millionths := range p.loans.lent {
		a.tenants.byID[tenant].ledger.lent += millionths
	}
}

// maxOutstanding is the most that a peer may hold of each tenant.
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

// prepareFlatRound adds up what all need beyond their parts, and lists the demands of this
// instance. Flat ownership only.
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

// flatGrants decides what one peer gets with flat ownership: of what this instance does not
// need itself, in proportion to what each needs beyond its part.
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

// flatGrant is what a peer with such a demand gets of one tenant.
func (a *Allocator) flatGrant(p *peer, t *tenantState, demand uint32) uint32 {
	owned := t.ledger.owned
	kept := max(t.demand.millionths, uint32(float64(owned)*a.RetainedFraction)+1)
	if demand <= owned || kept >= owned {
		return 0
	}
	needed := float64(demand - owned)
	unmet := max(float64(t.ledger.unmetDemand), needed) // the demand may be newer than the round
	millionths := uint32(min(float64(owned-kept)*needed/unmet, needed))
	// What others hold, or may still hold, can't be lent again.
	others := t.ledger.lent - min(p.loans.lent[t.ID], t.ledger.lent)
	if others+kept >= owned {
		return 0
	}
	return min(millionths, owned-kept-others)
}
