package quota

// receiveDemands records the peer's demands.
func (a *Allocator) receiveDemands(now float64, p *peer, m *Message) {
	if !m.Delta {
		a.clearDemands(p, m.RangeStart, m.RangeEnd)
	}
	for _, demand := range m.Demands {
		t, known := a.tenants.byID[demand.Tenant]
		if !known {
			continue
		}
		a.markChanged(t)
		if demand.Millionths == 0 {
			delete(p.loans.demands, t.ID)
			continue
		}
		p.loans.demands[t.ID] = min(demand.Millionths, FullReservation)
		if m.Delta {
			a.recordDemand(now, p, t)
		}
	}
}

// clearDemands drops the peer's demands for tenants with ids from start to end, both included.
func (a *Allocator) clearDemands(p *peer, start, end uint64) {
	for tenant := range p.loans.demands {
		if tenant >= start && tenant <= end {
			delete(p.loans.demands, tenant)
			a.markChanged(a.tenants.byID[tenant])
		}
	}
}

// recordDemand records a peer as a user of a tenant. It schedules sending the peer's grant again, if
// there is one. If this instance relays the tenant's counts to its users, they are sent as well.
func (a *Allocator) recordDemand(now float64, p *peer, t *tenantState) {
	p.lastUsed[t.ID] = now
	if p.loans.granted[t.ID] > 0 { // the peer may have lost the grant
		p.pending.grants.add(t.ID)
	}
	if a.isAggregator(t) && !a.fullMesh {
		p.pending.counts.add(t.ID)
		p.pending.sendCountsBy(now + regionalRelaySeconds)
	}
}

// receiveGrants records what a peer lends. The peer's message acknowledges a message of this instance.
// The loans expire one lease after this instance sent that message, so that they depend on this
// instance's clock only. A delta message also renews loans for tenants that it does not list.
func (a *Allocator) receiveGrants(now float64, p *peer, m *Message) {
	if !m.Delta {
		for tenant := range p.loans.borrowed {
			if tenant >= m.RangeStart && tenant <= m.RangeEnd {
				delete(p.loans.borrowed, tenant)
			}
		}
	}
	sent, known := p.sent.timeOf(m.AckSeq)
	valid := known && m.AckIncarnation == a.self.incarnation && m.AckSeq > 0
	sentAt := sent.at
	if a.disabled.lending.expiryFromSend {
		sentAt = now
	}
	expiresAt := sentAt + a.LeaseDuration
	if valid && m.Delta {
		p.renewBorrowed(now, expiresAt)
	}
	for _, grant := range m.Grants {
		if _, exists := a.tenants.byID[grant.Tenant]; !exists {
			continue
		}
		delete(p.loans.borrowed, grant.Tenant)
		if valid && grant.Millionths > 0 && now < expiresAt {
			p.loans.borrowed[grant.Tenant] = loan{
				millionths: min(grant.Millionths, FullReservation),
				expiresAt:  expiresAt,
			}
		}
	}
}

// renewBorrowed extends all loans from the peer to expiresAt, and drops those that have expired.
func (p *peer) renewBorrowed(now, expiresAt float64) {
	for tenant, borrowed := range p.loans.borrowed {
		switch {
		case now >= borrowed.expiresAt: // the lender may have taken the loan back
			p.dropExpired(tenant)
		case expiresAt > borrowed.expiresAt:
			p.loans.borrowed[tenant] = loan{millionths: borrowed.millionths, expiresAt: expiresAt}
		}
	}
}

// recordUsers records the peer as a user of the tenants for which a delta message has counts.
func (a *Allocator) recordUsers(now float64, p *peer, m *Message) {
	if !m.Delta {
		return
	}
	for _, count := range m.Counts {
		if _, known := a.tenants.byID[count.Tenant]; known {
			p.lastUsed[count.Tenant] = now
		}
	}
}
