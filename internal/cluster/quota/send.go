package quota

import (
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// Messages builds the next messages to one peer, with counts from st. It returns nil if the peer is
// unknown. Loans in these messages are deducted from this instance's allotments from now on.
func (a *Allocator) Messages(now float64, to string, st usage.State) []*Message {
	p := a.members.peers[to]
	if p == nil {
		return nil
	}
	known := knownCounts{state: st}
	known.local, _ = st.Instance(a.self.name).Incarnation(a.self.incarnation)
	var drafts []Message
	round := a.rounds.number
	if a.flat {
		drafts = a.flatMessages(now, p, known.local)
	} else {
		drafts = a.deltaMessages(now, p, known)
		round = p.sent.seq + 1 // the difference to the sequence number is 0 for most messages, and is not sent then
	}
	requestAck := a.requiresAck(now, p)
	var messages []*Message
	for i := range drafts {
		m := &drafts[i]
		if !a.reserveSlot(now, p, m) {
			continue
		}
		a.setHeader(now, p, m, round)
		a.send(now, p, m, requestAck)
		messages = append(messages, m)
	}
	a.finishSending(now, p, messages)
	return messages
}

// requiresAck reports whether an acknowledgement is required regardless of the content of the messages.
func (a *Allocator) requiresAck(now float64, p *peer) bool {
	return p.pending.countsLost || !a.joined || p.isLender() && now-p.sent.ackedSentAt >= a.renewalAge()*2/3
}

// reserveSlot makes room for a message among the messages in flight. If that is not possible, it
// makes the content of the message pending again and returns false.
func (a *Allocator) reserveSlot(now float64, p *peer, m *Message) bool {
	if len(p.sent.inFlight) < maxInFlightMessages {
		return true
	}
	if len(m.Grants) > 0 || len(p.sent.inFlight[0].grants) > 0 {
		p.pending.restore(m) // no new loans until earlier ones are acknowledged or expired
		p.pending.sendCountsBy(now + a.LeaseDuration)
		return false
	}
	p.requeue(&p.sent.inFlight[0])
	p.sent.inFlight = slices.Delete(p.sent.inFlight, 0, 1)
	return true
}

// restore makes the content of a message that was not sent pending again.
func (s *pendingState) restore(m *Message) {
	for _, demand := range m.Demands {
		s.demands.add(demand.Tenant)
	}
	for _, grant := range m.Grants {
		s.grants.add(grant.Tenant)
	}
	for _, count := range m.Counts {
		s.counts.add(count.Tenant)
	}
	for _, total := range m.RemoteTotals {
		s.counts.add(total.Tenant)
	}
}

// setHeader sets the header, the acknowledgement and, where required, the view of a message.
func (a *Allocator) setHeader(now float64, p *peer, m *Message, round uint64) {
	m.From = a.self.name
	m.To = p.name
	m.Incarnation = a.self.incarnation
	m.Seq = p.sent.nextSeq(now, round)
	m.Round = round
	m.AckIncarnation = p.received.incarnation
	m.AckSeq = p.received.seq
	m.AckBits = p.received.bits
	m.Leaving = a.leaving
	m.ViewRequested = m.Delta && !a.joined && !a.leaving
	if !m.Delta || m.ViewRequested || p.sent.viewRequested {
		m.ViewDigest = a.members.viewDigest
		m.LoansCovered = a.loansCovered
		m.TableDigest = a.tenants.digest
	}
	if a.Owners > 0 {
		m.Build = OwnershipBuild
	}
}

// send completes a message and records it as in flight.
func (a *Allocator) send(now float64, p *peer, m *Message, requestAck bool) {
	entry := newInFlightMessage(now, m)
	m.AckRequested = m.Delta && (requestAck || entry.hasUpdates() || p.hasLoanReducedBy(m))
	entry.ackRequested = m.AckRequested
	// The borrower counts the lease from the time at which it sent its latest message that was received
	// here. This instance counts it from the time of reception, which is later, so the loan expires
	// for the borrower first. Every message renews all loans in this way.
	p.loans.expireAt = max(p.loans.expireAt, p.presence.lastReceived+a.LeaseDuration*(1+clockDriftRatio))
	a.omitKnownFields(p, m)
	if !m.Delta || entry.hasUpdates() || len(entry.grants) > 0 {
		p.sent.inFlight = append(p.sent.inFlight, entry)
		p.loans.outdated = true
	}
}

// hasLoanReducedBy reports whether a message takes back a part of what the peer may hold. Such a message
// requires an acknowledgement. A new loan requires none, because it answers a demand.
func (p *peer) hasLoanReducedBy(m *Message) bool {
	return slices.ContainsFunc(m.Grants, func(g TenantFraction) bool { return g.Millionths < p.loans.lent[g.Tenant] })
}

// newInFlightMessage returns the record of a message whose tenants are still named by id.
func newInFlightMessage(now float64, m *Message) inFlightMessage {
	entry := inFlightMessage{
		seq:        m.Seq,
		round:      m.Round,
		sentAt:     now,
		rangeStart: m.RangeStart,
		rangeEnd:   m.RangeEnd,
		grants:     slices.Clone(m.Grants),
	}
	if m.Delta {
		entry.rangeStart = 1
		entry.rangeEnd = 0
		for _, demand := range m.Demands {
			entry.demandTenants = append(entry.demandTenants, demand.Tenant)
		}
	}
	for _, count := range m.Counts {
		entry.countTenants = append(entry.countTenants, count.Tenant)
	}
	for _, total := range m.RemoteTotals {
		entry.countTenants = append(entry.countTenants, total.Tenant)
	}
	for _, instance := range m.RelayedUsage {
		for _, incarnation := range instance.Incarnations {
			for _, count := range incarnation.Counts {
				entry.relayedTenants = append(entry.relayedTenants, count.Tenant)
			}
		}
	}
	return entry
}

// hasUpdates reports whether the message holds counts or is a delta message with demands.
func (m *inFlightMessage) hasUpdates() bool {
	return len(m.demandTenants)+len(m.countTenants)+len(m.relayedTenants) > 0
}

// finishSending records that everything that was due has been sent, and starts the wait for an
// acknowledgement if one was requested.
func (a *Allocator) finishSending(now float64, p *peer, messages []*Message) {
	p.sent.ackOwed = false
	p.sent.viewRequested = false
	p.pending.urgent = false
	p.pending.countsLost = false
	if !p.pending.hasCounts() {
		p.pending.countsDueAt = math.Inf(1)
	}
	if len(messages) > 0 && messages[len(messages)-1].AckRequested {
		p.sent.ackDueAt = now + a.ackTimeout(p.sent.unacknowledged)
		p.sent.unacknowledged++
	}
	a.updateLent(p)
}

// omitKnownFields leaves out of a delta message what its receiver already knows.
func (a *Allocator) omitKnownFields(p *peer, m *Message) {
	if !m.Delta || m.AckIncarnation == 0 {
		return
	}
	if p.received.tableDigest == a.tenants.digest { // reported by the acknowledged incarnation
		a.toIndexes(m)
	}
	// A peer that has received messages of this incarnation, and whose latest message named this
	// incarnation, can derive both incarnations from the link digest.
	known := p.received.acknowledges && p.received.addressesUs && p.sent.unacknowledged == 0
	if known && !m.Leaving && !m.ViewRequested {
		m.LinkID = linkDigest(a.self.incarnation, p.received.incarnation)
		m.From = ""
		m.Incarnation = 0
		m.AckIncarnation = 0
	}
}

// toIndexes replaces tenant ids by indexes in the tenant table, in place.
func (a *Allocator) toIndexes(m *Message) {
	m.TenantsByIndex = true
	for _, fractions := range [][]TenantFraction{m.Demands, m.Grants} {
		for i := range fractions {
			fractions[i].Tenant = a.tenants.indexOf(fractions[i].Tenant)
		}
	}
	for _, counts := range []usage.Counts{m.Counts, m.RemoteTotals} {
		for i := range counts {
			counts[i].Tenant = a.tenants.indexOf(counts[i].Tenant)
		}
	}
}

// indexOf returns the index of a tenant of the table.
func (t tenantTable) indexOf(id uint64) uint64 { return uint64(t.byID[id].index) }
