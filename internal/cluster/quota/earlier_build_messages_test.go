package quota_test

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// Message builds this round's messages to one peer. Rows are the counts of this incarnation.
// What the messages lend is deducted from this instance's allotments from now on.
func (b *earlierAllocator) Message(now float64, to string, rows usage.Counts) []*earlierMessage {
	p := b.peers[to]
	if p == nil {
		return nil
	}
	if p.resendAll {
		p.resendAll = false
		for _, r := range rows {
			p.pendingDemands[r.Tenant] = struct{}{}
		}
	}
	// A loan lasts for Staleness seconds after the borrower's last message was received. On the
	// borrower's clock it lasts as long after that message was sent, and so ends no later there.
	until := p.lastReceived + b.Staleness
	home := b.Home(now)
	var grants []earlierPart
	if p.acknowledges && until > now && b.joined && !b.leaving {
		grants = b.lend(p, home)
	}
	var news usage.Counts
	for t := range p.pendingDemands {
		if r := rows.At(t); r != (usage.Count{}) {
			news = append(news, usage.TenantCount{Tenant: t, Count: r})
		}
	}
	clear(p.pendingDemands)
	news = usage.Normalize(news)
	var out []*earlierMessage
	for _, pg := range paginate(b.needs, grants, news) {
		if len(p.inFlight) == maxInFlightMessages { // the oldest can no longer be acknowledged
			p.requeue(&p.inFlight[0])
			if p.inFlight[0].until > now && len(p.inFlight[0].grants) > 0 {
				// Too many messages are in flight: no new loans until theirs have expired.
				for _, r := range pg.Counts {
					p.pendingDemands[r.Tenant] = struct{}{}
				}
				pg.Counts = nil
				continue
			}
			p.inFlight = slices.Delete(p.inFlight, 0, 1)
		}
		p.lastSentSeq++
		at := &p.sendTimes[p.lastSentSeq%uint64(len(p.sendTimes))]
		at.seq, at.round, at.at = p.lastSentSeq, b.round, now
		m := &pg
		m.From, m.To, m.Incarnation, m.Seq, m.Round = b.name, to, b.incarnation, p.lastSentSeq, b.round
		m.AckIncarnation, m.AckSeq, m.AckBits = p.incarnation, p.receivedSeq, p.receivedBits
		m.ViewDigest, m.LoansCovered, m.Leaving = b.view(), b.settled, b.leaving
		m.TableDigest = b.table
		open := inFlightMessage{seq: m.Seq, round: m.Round, sentAt: now, until: now + b.Staleness, rangeStart: m.RangeStart, rangeEnd: m.RangeEnd, grants: m.Grants}
		if len(m.Grants) > 0 {
			open.until = until + b.Staleness*clockDriftRatio
		}
		for _, r := range m.Counts {
			open.countTenants = append(open.countTenants, r.Tenant)
		}
		p.inFlight = append(p.inFlight, open)
		out = append(out, m)
	}
	return out
}

// paginate splits demands, grants and counts into messages that fit a datagram.
func paginate(needs, grants []earlierPart, rows usage.Counts) (out []earlierMessage) {
	var ids []uint64
	for _, x := range needs {
		ids = append(ids, x.Tenant)
	}
	for _, x := range grants {
		ids = append(ids, x.Tenant)
	}
	for _, x := range rows {
		ids = append(ids, x.Tenant)
	}
	slices.Sort(ids)
	lo := uint64(0)
	for {
		hi := uint64(math.MaxUint64)
		if len(ids) > maxMessageEntries {
			at := maxMessageEntries
			for at < len(ids) && ids[at] == ids[at-1] {
				at++
			}
			if at < len(ids) {
				hi = ids[at] - 1
			}
			ids = ids[at:]
		}
		m := earlierMessage{RangeStart: lo, RangeEnd: hi, Demands: inRange(needs, lo, hi), Grants: inRange(grants, lo, hi)}
		for _, r := range rows {
			if r.Tenant >= lo && r.Tenant <= hi {
				m.Counts = append(m.Counts, r)
			}
		}
		out = append(out, m)
		if hi == math.MaxUint64 {
			return out
		}
		lo = hi + 1
	}
}

func inRange(parts []earlierPart, lo, hi uint64) (out []earlierPart) {
	for _, p := range parts {
		if p.Tenant >= lo && p.Tenant <= hi {
			out = append(out, p)
		}
	}
	return out
}

// lend decides what is lent to one peer: what this instance doesn't need itself is divided in
// proportion to each peer's demand beyond its home.
func (b *earlierAllocator) lend(p *peer, home uint32) (grants []earlierPart) {
	for t, need := range p.demands {
		i, ok := b.index[t]
		if !ok || need <= home {
			continue
		}
		keep := max(b.need[i], uint32(float64(home)*b.Floor)+1)
		if keep >= home {
			continue
		}
		mine := float64(need - home)
		lack := max(float64(b.lack[i]), mine) // a later message of the peer may have raised its demand
		share := uint32(min(float64(home-keep)*mine/lack, mine))
		// What other peers have borrowed, or may still use, can't be lent again.
		others := b.lent[i] - min(p.lent[t], b.lent[i])
		if others+keep >= home {
			continue
		}
		if share = min(share, home-keep-others); share > 0 {
			grants = append(grants, earlierPart{t, share})
			if share > p.lent[t] {
				b.lent[i] += share - p.lent[t]
				p.lent[t] = share
			}
		}
	}
	slices.SortFunc(grants, func(x, y earlierPart) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return grants
}

// Reasons for which a message is dropped.
const (
	OtherReceiver    = "not for this instance"
	UnknownMember    = "from an instance that membership does not know"
	OutOfOrder       = "old or repeated"
	EndedIncarnation = "from a life that has ended"
	DuplicateName    = "under this instance's own name"
	Malformed        = "malformed"
)

// ErrOutOfOrder is returned for a message that arrived twice, or after a later one.
var ErrOutOfOrder = errors.New(OutOfOrder)

// Hear processes a message, and returns an error with the reason if the message was dropped. The caller merges the
// message's counts itself, even if the message is old: merging counts in any order gives the same result.
func (b *earlierAllocator) Hear(now float64, m *earlierMessage) error {
	b.came++
	if why := b.hear(now, m); why != "" {
		b.drops[why]++
		if why == OutOfOrder {
			return ErrOutOfOrder
		}
		return fmt.Errorf("message from %s: %s", m.From, why)
	}
	return nil
}

func (b *earlierAllocator) hear(now float64, m *earlierMessage) string {
	p := b.peers[m.From]
	switch {
	case m.From == b.name:
		return DuplicateName
	case m.To != b.name:
		return OtherReceiver
	case p == nil:
		if life, gone := b.left[m.From]; gone && m.Incarnation > life && !m.Leaving {
			delete(b.left, m.From) // the instance has started again
		}
		return UnknownMember
	case m.Seq == 0 || m.RangeStart > m.RangeEnd || m.Incarnation == 0:
		return Malformed
	case m.Incarnation < p.incarnation:
		return EndedIncarnation
	case m.Incarnation > p.incarnation:
		// A new incarnation. What the old one borrowed stays deducted until those loans expire. What
		// the old one lent has ended, because the new one assumes that it has lent nothing.
		p.incarnation, p.receivedSeq, p.receivedBits, p.receivedRound, p.acknowledges, p.resendAll = m.Incarnation, 0, 0, 0, false, true
		clear(p.demands)
		clear(p.borrowed)
	}
	if !p.accept(m) {
		return OutOfOrder
	}
	if now-p.lastReceived >= b.Staleness {
		p.resendAll = true // the peer was down or unreachable
	}
	p.lastReceived, p.viewDigest, p.loansCovered, p.tableDigest = now, m.ViewDigest, m.LoansCovered, m.TableDigest
	if m.Leaving {
		b.Forgotten(p.name)
		b.left[p.name] = m.Incarnation
		return ""
	}
	if m.AckIncarnation == b.incarnation && m.AckSeq > 0 {
		p.acknowledges = true
		b.acked(p, m.AckSeq, m.AckBits)
	}
	for t := range p.demands {
		if t >= m.RangeStart && t <= m.RangeEnd {
			delete(p.demands, t)
		}
	}
	for _, x := range m.Demands {
		if _, ok := b.index[x.Tenant]; ok {
			p.demands[x.Tenant] = min(x.Millionths, FullReservation)
		}
	}
	b.borrow(p, m)
	return ""
}

// accept records that a message was accepted, and reports whether it may be: a message may
// not be accepted twice, or after a message of a later round.
func (p *peer) accept(m *earlierMessage) bool {
	switch gap := m.Seq - p.receivedSeq; {
	case m.Round < p.receivedRound:
		return false
	case m.Seq > p.receivedSeq:
		if gap > 64 {
			p.receivedBits = 0
		} else {
			p.receivedBits <<= gap
			if p.receivedSeq > 0 {
				p.receivedBits |= 1 << (gap - 1)
			}
		}
		p.receivedSeq, p.receivedRound = m.Seq, m.Round
		return true
	case m.Round > p.receivedRound: // invalid: a later round has higher sequence numbers
		return false
	}
	back := p.receivedSeq - m.Seq // the message is of the same round
	if back == 0 || back > 64 || p.receivedBits&(1<<(back-1)) != 0 {
		return false
	}
	p.receivedBits |= 1 << (back - 1)
	return true
}

// acked processes an acknowledgement: seq is the highest accepted sequence number, and bits those before it. A message
// that was not accepted never will be if its round is earlier than that of seq.
func (b *earlierAllocator) acked(p *peer, seq, bits uint64) {
	const width = 64 // of an acknowledgement's bits; earlier messages may have been accepted
	told := p.sendTimes[seq%uint64(len(p.sendTimes))]
	if told.seq != seq {
		return // too long ago to know its round
	}
	for i := range p.inFlight {
		m := &p.inFlight[i]
		switch {
		case m.seq > seq || m.acknowledged:
		case m.seq == seq || seq-m.seq <= width && bits&(1<<(seq-m.seq-1)) != 0:
			m.acknowledged = true
		case m.round == told.round: // it may still arrive
		default:
			p.requeue(m)
			m.requeued = true
			if seq-m.seq <= width {
				m.grants = nil
			}
		}
	}
	// A loan ends when the borrower has accepted a later message for the same tenants.
	for i := range p.inFlight {
		m := &p.inFlight[i]
		if m.seq > seq {
			break
		}
		if !m.acknowledged {
			continue
		}
		for k := i + 1; k < len(p.inFlight) && len(m.grants) > 0; k++ {
			if o := &p.inFlight[k]; o.acknowledged {
				m.grants = slices.DeleteFunc(slices.Clone(m.grants), func(g earlierPart) bool { return g.Tenant >= o.rangeStart && g.Tenant <= o.rangeEnd })
			}
		}
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(m inFlightMessage) bool {
		return m.seq <= seq && len(m.grants) == 0 && (m.acknowledged || m.requeued)
	})
}

// borrow records what a peer lends. A loan expires Staleness seconds after this instance sent
// the message that the peer acknowledges, so that only this instance's own clock matters.
func (b *earlierAllocator) borrow(p *peer, m *earlierMessage) {
	for t := range p.borrowed {
		if t >= m.RangeStart && t <= m.RangeEnd {
			delete(p.borrowed, t)
		}
	}
	if m.AckIncarnation != b.incarnation || m.AckSeq == 0 || len(m.Grants) == 0 {
		return
	}
	sentAt, ok := p.sendTime(m.AckSeq)
	if !ok {
		return
	}
	for _, g := range m.Grants {
		if _, ok := b.index[g.Tenant]; ok {
			p.borrowed[g.Tenant] = loan{min(g.Millionths, FullReservation), sentAt + b.Staleness}
		}
	}
}

// ---- Allotments ----

// Slices returns the parts of the reservations that this instance may use now, in millionths
// by ascending tenant id, and overwrites buf. They are valid until the next round, which must
// come within two periods: a loan that might expire before that is left out.
func (b *earlierAllocator) Slices(now float64, buf []uint32) []uint32 {
	home := b.Home(now)
	buf = buf[:0]
	for i := range b.tenants {
		buf = append(buf, home-min(b.lent[i], home))
	}
	if b.leaving {
		return buf
	}
	for _, p := range b.peers {
		for t, l := range p.borrowed {
			if l.expiresAt > now+2*b.Period {
				i := b.index[t]
				buf[i] = min(buf[i]+l.millionths, FullReservation)
			}
		}
	}
	return buf
}
