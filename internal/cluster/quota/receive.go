package quota

import (
	"math"

	"example.org/bellstream/internal/cluster/usage"
)

// Receive processes a message. It returns an error if the message was dropped: [ErrOutOfOrder] or a
// [*DropError]. The caller has to merge the message's counts even if the message was out of order;
// merging is idempotent.
func (a *Allocator) Receive(now float64, m *Message) error {
	a.stats.received++
	m = a.resolveLink(m)
	if m.From == "" { // unknown link: the sender was removed here, or either instance was restarted
		a.members.unknownContactAt = now
		return a.drop(m, UnknownMember)
	}
	if m.TenantsByIndex {
		if m.AckIncarnation != a.self.incarnation { // sent to an earlier incarnation of this instance
			return a.drop(m, OtherReceiver)
		}
		m = a.toIDs(m)
	}
	reason := a.check(now, m)
	if reason == "" {
		reason = a.accept(now, a.members.peers[m.From], m)
	}
	if reason != "" {
		return a.drop(m, reason)
	}
	return nil
}

// drop counts a dropped message, and returns the error for it.
func (a *Allocator) drop(m *Message, reason DropReason) error {
	a.stats.drops[reason]++
	if reason == OutOfOrder {
		return ErrOutOfOrder
	}
	return &DropError{From: m.From, Reason: reason}
}

// resolveLink returns a copy of the message with the names and incarnations that its LinkID stands
// for, or without them if the link is unknown. A message without a LinkID is returned as it is.
func (a *Allocator) resolveLink(m *Message) *Message {
	if m.LinkID == 0 {
		return m
	}
	resolved := *m
	resolved.LinkID = 0
	for _, p := range a.members.sorted {
		if p.linkTo(a.self.incarnation) == m.LinkID && p.received.incarnation != 0 {
			resolved.From = p.name
			resolved.To = a.self.name
			resolved.Incarnation = p.received.incarnation
			resolved.AckIncarnation = a.self.incarnation
			break
		}
	}
	return &resolved
}

// toIDs returns a copy of the message that names tenants by id instead of by index.
func (a *Allocator) toIDs(m *Message) *Message {
	resolved := *m
	resolved.TenantsByIndex = false
	resolved.Demands = a.tenants.fractionsByID(m.Demands)
	resolved.Grants = a.tenants.fractionsByID(m.Grants)
	resolved.Counts = a.tenants.countsByID(m.Counts)
	resolved.RemoteTotals = a.tenants.countsByID(m.RemoteTotals)
	return &resolved
}

func (t tenantTable) fractionsByID(list []TenantFraction) []TenantFraction {
	var resolved []TenantFraction
	for _, f := range list {
		if f.Tenant < uint64(len(t.list)) {
			resolved = append(resolved, TenantFraction{Tenant: t.list[f.Tenant].ID, Millionths: f.Millionths})
		}
	}
	return resolved
}

func (t tenantTable) countsByID(counts usage.Counts) usage.Counts {
	var resolved usage.Counts
	for _, c := range counts {
		if c.Tenant < uint64(len(t.list)) {
			resolved = append(resolved, usage.TenantCount{Tenant: t.list[c.Tenant].ID, Count: c.Count})
		}
	}
	return resolved
}

// check returns the reason why a message can't be accepted, or an empty reason if it can.
func (a *Allocator) check(now float64, m *Message) DropReason {
	p := a.members.peers[m.From]
	switch {
	case m.From == a.self.name:
		return DuplicateName
	case m.To != a.self.name && (m.To != "" || m.AckIncarnation != a.self.incarnation):
		return OtherReceiver
	case p == nil:
		a.recordUnknown(now, m)
		return UnknownMember
	case m.Seq == 0 || !m.Delta && m.RangeStart > m.RangeEnd || m.Incarnation == 0:
		return Malformed
	case m.Incarnation < p.received.incarnation && !a.disabled.receiving.incarnations:
		return EndedIncarnation
	}
	return ""
}

// recordUnknown records a message from an instance that is not a known member.
func (a *Allocator) recordUnknown(now float64, m *Message) {
	a.members.unknownContactAt = now
	if m.Build < OwnershipBuild && m.Incarnation > 0 && !m.Leaving {
		// The sender owns its part by flat ownership, possibly without waiting for this instance.
		a.members.earlierBuildUntil = now + 2*a.LeaseDuration
	}
	left, known := a.members.departed[m.From]
	if known && m.Incarnation > left && !m.Leaving { // the instance was restarted
		delete(a.members.departed, m.From)
	}
}

// accept processes a message of a known peer.
func (a *Allocator) accept(now float64, p *peer, m *Message) DropReason {
	if m.Incarnation > p.received.incarnation {
		a.beginIncarnation(p, m.Incarnation)
	}
	if !p.received.accept(m) && !a.disabled.receiving.messageOrder {
		return OutOfOrder
	}
	if p.isSilent(now, a.LeaseDuration) {
		p.pending.fullState = true // the peer was down or unreachable
	}
	if p.build != m.Build {
		p.build = m.Build
		a.members.changed = true
	}
	p.presence.lastReceived = now
	a.receiveView(p, m)
	if m.Leaving {
		a.MemberLeft(now, p.name)
		return ""
	}
	p.sent.ackOwed = p.sent.ackOwed || m.AckRequested
	p.sent.viewRequested = p.sent.viewRequested || m.ViewRequested
	p.received.addressesUs = m.AckIncarnation == a.self.incarnation
	a.receiveAck(p, m)
	a.receiveDemands(now, p, m)
	a.receiveGrants(now, p, m)
	a.recordUsers(now, p, m)
	a.receiveTotals(p, m)
	return ""
}

// beginIncarnation resets the state of a peer that was restarted. Loans to its old incarnation end
// with their lease. Loans from it end now, because the new incarnation owns its parts without
// deducting them.
func (a *Allocator) beginIncarnation(p *peer, incarnation uint64) {
	a.relayIncarnation(p)
	a.markLoansChanged(p)
	p.received = receiveState{
		incarnation:  incarnation,
		delta:        p.received.delta,
		loansCovered: p.received.loansCovered,
		addressesUs:  p.received.addressesUs,
	}
	p.presence.leftAt = math.Inf(-1)
	p.pending.fullState = true
	p.sent.stopWaiting()
	delete(a.members.departed, p.name)
	clear(p.loans.demands)
	if !a.disabled.receiving.incarnations {
		clear(p.loans.borrowed)
	}
	clear(p.lastUsed)
	p.resendGrants()
}

// accept records that a message was received, and reports whether to process it. Duplicates and
// messages that arrive after a message of a later round are rejected.
func (s *receiveState) accept(m *Message) bool {
	switch {
	case m.Delta == s.delta && m.Round < s.round:
		return false
	case m.Seq > s.seq:
		s.advance(m)
		return true
	case m.Delta != s.delta || m.Round > s.round: // a sender's rounds never decrease
		return false
	}
	return s.fillGap(s.seq - m.Seq)
}

// advance records a message with a higher sequence number than any before.
func (s *receiveState) advance(m *Message) {
	if gap := m.Seq - s.seq; gap > ackWindow {
		s.bits = 0
	} else {
		s.bits <<= gap
		if s.seq > 0 {
			s.bits |= 1 << (gap - 1)
		}
	}
	s.seq = m.Seq
	s.round = m.Round
	s.delta = m.Delta
}

// fillGap records a message whose sequence number is lower by behind than the highest one. It returns
// false if the message is a duplicate or too old.
func (s *receiveState) fillGap(behind uint64) bool {
	if behind == 0 || behind > ackWindow || s.bits&(1<<(behind-1)) != 0 {
		return false
	}
	s.bits |= 1 << (behind - 1)
	return true
}

// hasView reports whether a message holds the sender's view.
func (m *Message) hasView() bool { return !m.Delta || m.ViewDigest != 0 }

func (a *Allocator) receiveView(p *peer, m *Message) {
	if !m.hasView() {
		return
	}
	if p.received.viewDigest != m.ViewDigest {
		p.sent.viewPollInterval = 0
	}
	p.received.viewDigest = m.ViewDigest
	p.received.loansCovered = m.LoansCovered
	p.received.tableDigest = m.TableDigest
}
