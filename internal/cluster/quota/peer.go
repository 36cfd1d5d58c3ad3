package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ackWindow is the number of messages that one acknowledgement covers in addition to the latest one.
const ackWindow = 64

// tenantSet is a set of tenants by id.
type tenantSet map[uint64]struct{}

func (s tenantSet) add(tenant uint64) { s[tenant] = struct{}{} }

// peer is the state that is kept about another instance.
type peer struct {
	name      string
	hash      uint64
	region    string
	build     uint32
	announced Member // the latest announcement by membership
	presence  presence
	received  receiveState
	sent      sendState
	loans     loanState
	pending   pendingState
	lastUsed  map[uint64]float64 // by tenant: when the peer last reported a demand or a count
}

// presence records when a peer was seen by membership and heard from.
type presence struct {
	present      bool // membership sees the peer now
	lastPresent  float64
	lastReceived float64 // time of the latest message; -Inf: never
	leftAt       float64 // when the peer announced that it leaves; -Inf: it has not
}

// receiveState is the state of the messages received from a peer's current incarnation.
type receiveState struct {
	incarnation  uint64
	seq          uint64 // the highest sequence number received
	bits         uint64 // bit i: message seq-1-i was received as well
	round        uint64 // the latest round from which a message was received
	delta        bool   // the peer sends delta messages, not full ones
	viewDigest   uint64
	tableDigest  uint64
	loansCovered bool
	acknowledges bool // the peer has received a message from this instance's current incarnation
	addressesUs  bool // the peer's latest message named this instance's current incarnation
}

// sendState is the state of the messages sent to a peer and of their acknowledgements.
type sendState struct {
	seq              uint64 // sequence number of the last message
	inFlight         []inFlightMessage
	times            [2 * maxInFlightMessages]sendTime
	link             link
	ackOwed          bool
	viewRequested    bool    // the peer has requested this instance's view
	unacknowledged   int     // messages sent since the last acknowledgement that requested one
	ackDueAt         float64 // when the wait for an acknowledgement times out
	ackedSentAt      float64 // send time of the latest message that was acknowledged
	viewAckedSentAt  float64 // send time of the latest message that was acknowledged together with a view
	viewPollInterval float64 // seconds between requests for the peer's view
	viewPolledAt     float64 // when the peer's view was last requested
}

// sendTime records when one message was sent.
type sendTime struct {
	seq   uint64
	round uint64
	at    float64
}

// link caches the link digest for a pair of incarnations: the peer's and this instance's.
type link struct {
	digest uint64
	from   uint64
	to     uint64
}

// loanState holds the loans between a peer and this instance, by tenant, in millionths.
type loanState struct {
	demands   map[uint64]uint32 // advertised by the peer
	borrowed  map[uint64]loan   // lent by the peer to this instance
	requested map[uint64]uint32 // demand that this instance advertises to the peer
	granted   map[uint64]uint32 // current grants to the peer, sent or pending
	confirmed map[uint64]uint32 // grants that the peer has acknowledged
	lent      map[uint64]uint32 // upper bound on what the peer may hold
	expireAt  float64           // when all loans to the peer have certainly expired
	outdated  bool              // lent has to be recomputed
}

// loan is a borrowed fraction of a reservation.
type loan struct {
	millionths uint32
	expiresAt  float64
}

// pendingState is the content that still has to be sent to a peer.
type pendingState struct {
	demands        tenantSet
	grants         tenantSet
	urgent         bool      // demands or grants must not wait to share a message
	counts         tenantSet // tenants whose counts by this instance have to be sent
	relays         tenantSet // tenants whose counts by other instances have to be sent
	deferred       tenantSet // tenants whose counts may be sent later
	deferredSentAt float64
	countsDueAt    float64 // when pending counts have to be sent; +Inf: none are due
	countsLost     bool    // counts were lost and have to be sent again
	fullState      bool    // the complete state has to be sent: the peer is new, restarted or was unreachable
}

// inFlightMessage is a sent message that may or may not have been received.
type inFlightMessage struct {
	seq            uint64
	round          uint64
	sentAt         float64
	rangeStart     uint64 // tenants of a full message; above rangeEnd in a delta message
	rangeEnd       uint64
	grants         []TenantFraction
	demandTenants  []uint64
	countTenants   []uint64
	relayedTenants []uint64
	ackRequested   bool
	acknowledged   bool
	requeued       bool // the content is pending again
	superseded     bool // the peer will never accept the message
}

// isDelta reports whether the message is a delta message.
func (m *inFlightMessage) isDelta() bool { return m.rangeStart > m.rangeEnd }

// covers reports whether the message determines the grant of a tenant.
func (m *inFlightMessage) covers(tenant uint64) bool {
	for _, g := range m.grants {
		if g.Tenant == tenant {
			return true
		}
	}
	return m.inRange(tenant)
}

// inRange reports whether a full message covers a tenant.
func (m *inFlightMessage) inRange(tenant uint64) bool {
	return m.rangeStart <= m.rangeEnd && tenant >= m.rangeStart && tenant <= m.rangeEnd
}

func newPeer(m Member, now float64) *peer {
	never := math.Inf(-1)
	return &peer{
		name:      m.Name,
		hash:      xxhash.Sum64String(m.Name),
		region:    m.Region,
		build:     m.Build,
		announced: m,
		presence: presence{
			lastPresent:  now,
			lastReceived: never,
			leftAt:       never,
		},
		sent: sendState{
			ackedSentAt:     never,
			viewAckedSentAt: never,
			viewPolledAt:    never,
		},
		loans: loanState{
			demands:   map[uint64]uint32{},
			borrowed:  map[uint64]loan{},
			requested: map[uint64]uint32{},
			granted:   map[uint64]uint32{},
			confirmed: map[uint64]uint32{},
			lent:      map[uint64]uint32{},
			expireAt:  never,
		},
		pending: pendingState{
			demands:        tenantSet{},
			grants:         tenantSet{},
			counts:         tenantSet{},
			relays:         tenantSet{},
			deferred:       tenantSet{},
			deferredSentAt: now,
			countsDueAt:    math.Inf(1),
			fullState:      true,
		},
		lastUsed: map[uint64]float64{},
	}
}

// hasLeft reports whether the peer announced that it leaves.
func (p *peer) hasLeft() bool { return !math.IsInf(p.presence.leftAt, -1) }

// isSilent reports whether no message of the peer was accepted for at least duration seconds.
func (p *peer) isSilent(now, duration float64) bool {
	return now-p.presence.lastReceived >= duration
}

// timeOf returns when a message was sent. It returns false if the record has been overwritten
// by a later message.
func (s *sendState) timeOf(seq uint64) (sendTime, bool) {
	t := s.times[seq%uint64(len(s.times))]
	return t, t.seq == seq
}

// nextSeq returns the sequence number of a message that is sent now, and records its send time.
func (s *sendState) nextSeq(now float64, round uint64) uint64 {
	s.seq++
	s.times[s.seq%uint64(len(s.times))] = sendTime{seq: s.seq, round: round, at: now}
	return s.seq
}

// stopWaiting ends the wait for an acknowledgement.
func (s *sendState) stopWaiting() {
	s.unacknowledged = 0
	s.ackDueAt = 0
}

// linkTo returns the digest for messages from the peer's incarnation to the given incarnation
// of this instance.
func (p *peer) linkTo(incarnation uint64) uint64 {
	l := &p.sent.link
	if l.from != p.received.incarnation || l.to != incarnation {
		l.from = p.received.incarnation
		l.to = incarnation
		l.digest = linkDigest(l.from, l.to)
	}
	return l.digest
}

// sendCountsBy schedules sending the pending counts no later than at the given time.
func (p *pendingState) sendCountsBy(at float64) { p.countsDueAt = min(p.countsDueAt, at) }

// hasCounts reports whether counts are pending, not including deferred ones.
func (p *pendingState) hasCounts() bool { return len(p.counts)+len(p.relays) > 0 }

// requestAgain schedules sending a demand to the peer again without delay.
func (p *peer) requestAgain(tenant uint64) {
	p.pending.demands.add(tenant)
	p.pending.urgent = true
}

// resendGrants schedules sending the grants of all tenants of which the peer may hold a loan.
func (p *peer) resendGrants() {
	for tenant := range p.loans.lent {
		p.pending.grants.add(tenant)
		p.pending.urgent = true
	}
}

// requeue schedules sending the content of a lost message again.
func (p *peer) requeue(m *inFlightMessage) {
	if m.requeued || m.acknowledged {
		return
	}
	m.requeued = true
	for _, tenant := range m.demandTenants {
		p.requestAgain(tenant)
	}
	if m.isDelta() {
		for _, grant := range m.grants {
			p.pending.grants.add(grant.Tenant)
			p.pending.urgent = true
		}
	}
	for _, tenant := range m.countTenants {
		p.pending.counts.add(tenant)
	}
	for _, tenant := range m.relayedTenants {
		p.pending.relays.add(tenant)
	}
	if len(m.countTenants)+len(m.relayedTenants) > 0 {
		p.pending.sendCountsBy(m.sentAt) // already overdue
		p.pending.countsLost = true
	}
}

// setRequested sets the demand that is advertised to the peer, and reports whether it changed.
func (p *peer) setRequested(tenant uint64, millionths uint32) bool {
	if p.loans.requested[tenant] == millionths {
		return false
	}
	if millionths > 0 {
		p.loans.requested[tenant] = millionths
	} else {
		delete(p.loans.requested, tenant)
	}
	p.pending.demands.add(tenant)
	return true
}

// dropExpired drops an expired loan, and sends the demand again if the loan is still needed.
func (p *peer) dropExpired(tenant uint64) {
	delete(p.loans.borrowed, tenant)
	if p.loans.requested[tenant] > 0 {
		p.requestAgain(tenant)
	}
}

// usesTenant reports whether the peer is a user of a tenant: it has a demand, or reported one or
// a count within userExpirySeconds.
func (p *peer) usesTenant(now float64, tenant uint64) bool {
	last, used := p.lastUsed[tenant]
	return used && now-last < userExpirySeconds || p.loans.demands[tenant] > 0
}
