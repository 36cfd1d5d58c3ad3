package quota

import "slices"

// receiveAck processes the acknowledgement in a message of the peer.
func (a *Allocator) receiveAck(p *peer, m *Message) {
	if m.AckIncarnation != a.self.incarnation || m.AckSeq == 0 {
		return
	}
	if !p.received.acknowledges {
		p.received.acknowledges = true
		a.markLoansChanged(p)
	}
	a.resolveInFlight(p, m.AckSeq, m.AckBits)
	sent, known := p.sent.timeOf(m.AckSeq)
	if !known {
		return
	}
	p.sent.ackedSentAt = max(p.sent.ackedSentAt, sent.at)
	if m.hasView() {
		p.sent.viewAckedSentAt = max(p.sent.viewAckedSentAt, sent.at)
	}
	p.sent.stopWaiting()
}

// resolveInFlight determines which messages in flight were received. A message from a round
// before that of the highest acknowledged message was either received by now or will never be
// accepted.
func (a *Allocator) resolveInFlight(p *peer, seq, bits uint64) {
	latest, known := p.sent.timeOf(seq)
	if !known {
		return // the send time is no longer recorded
	}
	resolved := false
	for i := range p.sent.inFlight {
		if p.resolveMessage(&p.sent.inFlight[i], latest, bits) {
			resolved = true
		}
	}
	if a.disabled.lending.confirmedReturn { // treats every sent message as received
		for i := range p.sent.inFlight {
			p.sent.inFlight[i].acknowledged = true
			resolved = true
		}
	}
	if !resolved {
		return
	}
	for i := range p.sent.inFlight {
		p.confirm(i)
	}
	p.sent.inFlight = slices.DeleteFunc(p.sent.inFlight, func(m inFlightMessage) bool {
		return m.acknowledged || m.superseded || m.requeued && len(m.grants) == 0
	})
	p.loans.outdated = true
}

// resolveMessage determines whether one message was received or will never be accepted. It reports
// whether one of these became known now.
func (p *peer) resolveMessage(m *inFlightMessage, latest sendTime, bits uint64) bool {
	behind := latest.seq - m.seq
	switch {
	case m.seq > latest.seq || m.acknowledged:
		return false
	case behind == 0 || behind <= ackWindow && bits&(1<<(behind-1)) != 0:
		m.acknowledged = true
		return true
	case m.round == latest.round: // it may still arrive
		return false
	}
	p.requeue(m)
	if behind > ackWindow { // outside the acknowledgement window: the message may have been received
		return false
	}
	m.superseded = true
	return true
}

// confirm records the grants of an acknowledged message as held by the peer. A grant of a
// tenant replaces any earlier grant of the same tenant that the borrower received, so the
// earlier messages' grants of these tenants are dropped.
func (p *peer) confirm(index int) {
	m := &p.sent.inFlight[index]
	if !m.acknowledged || m.superseded {
		return
	}
	for tenant := range p.loans.confirmed {
		if m.inRange(tenant) {
			delete(p.loans.confirmed, tenant)
		}
	}
	for _, grant := range m.grants {
		if grant.Millionths > 0 {
			p.loans.confirmed[grant.Tenant] = grant.Millionths
		} else {
			delete(p.loans.confirmed, grant.Tenant)
		}
	}
	for i := range index {
		earlier := &p.sent.inFlight[i]
		earlier.grants = slices.DeleteFunc(earlier.grants, func(g TenantFraction) bool { return m.covers(g.Tenant) })
	}
}
