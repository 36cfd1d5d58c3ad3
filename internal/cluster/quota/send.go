package quota

import (
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// Messages builds the next messages to one peer, from what is known of counts. What they
// lend is deducted from this instance's allotments from now on.
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
		round = p.sent.seq + 1 // its difference to the sequence number is 0 for nearly all, and not sent then
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

// requiresAck reports whether an acknowledgement is wanted whatever the messages hold.
func (a *Allocator) requiresAck(now float64, p *peer) bool {
	return p.pending.countsLost || !a.joined || p.isLender() && now-p.sent.ackedSentAt >= a.renewalAge()*2/3
}

// reserveSlot frees a place among the messages in flight. Where none can be freed, the
// content of the message is pending again.
func (a *Allocator) reserveSlot(now float64, p *peer, m *Message) bool {
	if len(p.sent.inFlight) < maxInFlightMessages {
		return true
	}
	if len(m.Grants) > 0 || len(p.sent.inFlight[0].grants) > 0 {
		p.pending.restore(m) // no new loans until earlier ones are acknowledged or have expired
		p.pending.sendCountsBy(now + a.LeaseDuration)
		return false
	}
	p.requeue(&p.sent.inFlight[0])
	p.sent.inFlight = slices.Delete(p.sent.inFlight, 0, 1)
	return true
}

// restore schedules sending the content of a message later.
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

// setHeader sets the head of a message.
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

// send completes a message and notes that it is in flight.
func (a *Allocator) send(now float64, p *peer, m *Message, requestAck bool) {
	entry := newInFlightMessage(now, m)
	m.AckRequested = m.Delta && (requestAck || entry.hasUpdates() || p.hasLoanReducedBy(m))
	entry.ackRequested = m.AckRequested
	// A loan's lease begins with the borrower's last message that was received: the borrower
	// sent that earlier, so by its clock the loan expires earlier as well. Any message
	// renews all loans from there.
	p.loans.expireAt = max(p.loans.expireAt, p.presence.lastReceived+a.LeaseDuration*(1+clockDriftRatio))
	a.omitKnownFields(p, m)
	if !m.Delta || entry.hasUpdates() || len(entry.grants) > 0 {
		p.sent.inFlight = append(p.sent.inFlight, entry)
		p.loans.outdated = true
	}
}

// hasLoanReducedBy reports whether a message takes back a part of what a peer may hold. That needs an
// acknowledgement; a loan needs none, as it is the answer to a demand.
func (p *peer) hasLoanReducedBy(m *Message) bool {
	return slices.ContainsFunc(m.Grants, func(g TenantFraction) bool { return g.Millionths < p.loans.lent[g.Tenant] })
}

// newInFlightMessage notes the content of a message that names tenants by id.
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

// hasUpdates reports whether the message holds demands of a delta message, or counts.
func (m *inFlightMessage) hasUpdates() bool {
	return len(m.demandTenants)+len(m.countTenants)+len(m.relayedTenants) > 0
}

// finishSending notes that everything that was due has been sent.
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

// omitKnownFields leaves out what the receiver of a delta message knows.
func (a *Allocator) omitKnownFields(p *peer, m *Message) {
	if !m.Delta || m.AckIncarnation == 0 {
		return
	}
	if p.received.tableDigest == a.tenants.digest { // of the acknowledged incarnation
		a.toIndexes(m)
	}
	// A peer that receives this incarnation's messages, and whose latest message named it,
	// knows both from a single number.
	known := p.received.acknowledges && p.received.addressesUs && p.sent.unacknowledged == 0
	if known && !m.Leaving && !m.ViewRequested {
		m.LinkID = linkDigest(a.self.incarnation, p.received.incarnation)
		m.From = ""
		m.Incarnation = 0
		m.AckIncarnation = 0
	}
}

// toIndexes names tenants by their index in the table, in place.
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

// indexOf is a known tenant's index, as it is sent.
func (t tenantTable) indexOf(id uint64) uint64 { return uint64(t.byID[id].index) }
