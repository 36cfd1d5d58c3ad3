// This file and earlier_build_messages_test.go have the allocator of an earlier build, debf7c9, before hashed
// ownership. TestMixedBuilds runs it beside the present one. Its code must not change, except for the names that it
// shares with this build.
package quota_test

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

// FullReservation is a complete reservation in the unit in which it is lent: millionths.
const FullReservation = 1_000_000

// Constants of the exchange.
const (
	clockDriftRatio     = 0.001 // by which two machines' clocks may diverge within a lease
	fastRateSeconds     = 1.0   // time constant of a rise of demand
	slowRateSeconds     = 4.0   // time constant of a fall of demand
	demandMargin        = 1.25  // multiple of the rate that is retained or demanded
	maxInFlightMessages = 128   // unacknowledged messages to one peer
	maxMessageEntries   = 100   // demands, grants and counts in one message: some 1,200 bytes
	compactAfterSeconds = 600.0 // for which a past incarnation must not have grown to be compacted
)

// earlierSettings are the settings of the exchange. Times are in seconds.
type earlierSettings struct {
	Period    float64 // between rounds of messages
	Fanout    int     // peers written to in one round; 0 means 32
	Staleness float64 // after which a loan that is not renewed expires
	Floor     float64 // part of its home, which is its own part of a reservation, that an instance never lends
	Forget    float64 // after which a silent instance is removed; 0 means never
	Instances int     // that are expected: a reservation is divided among so many until more are known
	Delay     float64 // upper bound of a message's delay, one way
	Loss      float64 // part of the messages that is lost
}

type (
	earlierTenant  = quota.Tenant
	earlierPart    = quota.TenantFraction
	earlierMessage = quota.Message
)

// inFlightMessage is a message that may still arrive, or whose grants may still be in use.
type inFlightMessage struct {
	seq                  uint64
	round                uint64
	sentAt               float64
	until                float64 // time by which its grants have expired on the borrower's clock too
	rangeStart, rangeEnd uint64
	grants               []earlierPart
	countTenants         []uint64 // tenants whose counts it has
	acknowledged         bool
	requeued             bool // its counts are to be sent again
}

type loan struct {
	millionths uint32
	expiresAt  float64
}

type peer struct {
	name                      string
	incarnation               uint64
	lastReceived              float64 // time of the last message; -Inf: never
	lastPresent               float64 // time at which membership last showed it
	present                   bool    // membership shows it
	receivedSeq, receivedBits uint64  // highest sequence number accepted from it, and the 64 before that
	receivedRound             uint64  // latest round of which a message was accepted
	lastSentSeq               uint64  // last sequence number sent to it
	inFlight                  []inFlightMessage
	pendingDemands            map[uint64]struct{} // tenants whose counts have to be sent to it
	resendAll                 bool                // all counts have to be sent to it, because it is new or was silent
	demands                   map[uint64]uint32
	borrowed                  map[uint64]loan // from it, by tenant
	viewDigest                uint64
	loansCovered              bool
	acknowledges              bool // it has accepted a message of this incarnation
	tableDigest               uint64
	lent                      map[uint64]uint32 // upper bound of what is lent to it by tenant, as of this round
	sendTimes                 [2 * maxInFlightMessages]struct {
		seq, round uint64
		at         float64
	} // of the last messages to it, by sequence number modulo the length
}

// sendTime returns when a message was sent to the peer, if it is among the last ones.
func (p *peer) sendTime(seq uint64) (float64, bool) {
	t := p.sendTimes[seq%uint64(len(p.sendTimes))]
	return t.at, t.seq == seq
}

// earlierAllocator decides what one instance may use of each tenant's reservation.
type earlierAllocator struct {
	earlierSettings
	name        string
	incarnation uint64
	tenants     []earlierTenant // by ID
	index       map[uint64]int
	table       uint64
	peers       map[string]*peer
	order       []string // of the peers, sorted
	turn        int
	began       float64
	last        float64 // time of the last round
	round       uint64
	joined      bool // every member counts this instance
	leaving     bool
	asked       []uint64 // jobs by tenant that had arrived at the last round
	quick, slow []float64
	need        []uint32
	lent        []uint32          // to all peers, by tenant
	lack        []uint64          // what all peers demand beyond a home, by tenant
	needs       []earlierPart     // demands to be sent in this round
	settled     bool              // no more is lent than the home, as of this round
	digest      uint64            // of the instances that are counted
	left        map[string]uint64 // incarnations that announced that they leave, by name; membership may still show them
	drops       map[string]uint64
	came        uint64
}

// newEarlier makes an allocator at time now.
func newEarlier(s earlierSettings, name string, incarnation uint64, tenants []earlierTenant, now float64) *earlierAllocator {
	if s.Fanout <= 0 {
		s.Fanout = 32
	}
	s.Instances = max(s.Instances, 1)
	b := &earlierAllocator{earlierSettings: s, name: name, incarnation: incarnation, tenants: slices.Clone(tenants),
		index: map[uint64]int{}, peers: map[string]*peer{}, began: now, last: now, drops: map[string]uint64{}, left: map[string]uint64{}}
	slices.SortFunc(b.tenants, func(x, y earlierTenant) int { return cmp.Compare(x.ID, y.ID) })
	for i, t := range b.tenants {
		b.index[t.ID] = i
		b.table ^= mixBits(t.ID)
	}
	n := len(b.tenants)
	b.asked, b.quick, b.slow = make([]uint64, n), make([]float64, n), make([]float64, n)
	b.need, b.lent, b.lack = make([]uint32, n), make([]uint32, n), make([]uint64, n)
	b.sort()
	return b
}

func mixBits(id uint64) uint64 {
	id ^= id >> 31
	id *= 0x9e3779b97f4a7c15
	return id ^ id>>29
}

// ---- Members ----

// Members updates which instances membership shows now. An instance that it doesn't show
// any more still counts until it is forgotten or has announced that it leaves.
func (b *earlierAllocator) Members(now float64, names []string) {
	there := map[string]bool{}
	for _, n := range names {
		there[n] = true
		if _, gone := b.left[n]; gone {
			continue
		}
		if n != b.name && b.peers[n] == nil && len(b.peers) < usage.MaxInstances {
			b.peers[n] = &peer{name: n, lastReceived: math.Inf(-1), lastPresent: now, resendAll: true, demands: map[uint64]uint32{},
				borrowed: map[uint64]loan{}, pendingDemands: map[uint64]struct{}{}, lent: map[uint64]uint32{}}
			b.sort()
		}
	}
	for n := range b.left {
		if !there[n] {
			delete(b.left, n)
		}
	}
	for _, p := range b.peers {
		if p.present = there[p.name]; p.present {
			p.lastPresent = now
		}
	}
}

func (b *earlierAllocator) sort() {
	b.order = b.order[:0]
	for n := range b.peers {
		b.order = append(b.order, n)
	}
	slices.Sort(b.order)
	b.digest = xxhash.Sum64String(b.name)
	for _, n := range b.order {
		b.digest ^= xxhash.Sum64String(n)
	}
}

// Forgotten removes an instance that is not expected to return.
func (b *earlierAllocator) Forgotten(name string) {
	delete(b.peers, name)
	b.sort()
}

// view is the digest of the instances that are counted, including this one.
func (b *earlierAllocator) view() uint64 { return b.digest }

// Size is the number of homes into which a reservation is divided.
func (b *earlierAllocator) Size(now float64) int {
	n := len(b.peers) + 1
	if n < b.Instances && (b.Forget <= 0 || now-b.began < b.Forget) {
		return b.Instances // expected instances that were never seen may still start
	}
	return n
}

// Home is the part of every reservation that this instance owns, in millionths.
func (b *earlierAllocator) Home(now float64) uint32 {
	if !b.joined || b.leaving {
		return 0 // the other instances may own all of it
	}
	return uint32(FullReservation / b.Size(now))
}

// Joined reports whether this instance may own a part of every reservation.
func (b *earlierAllocator) Joined() bool { return b.joined }

// Leave gives the home back. Messages announce that from now on.
func (b *earlierAllocator) Leave() { b.leaving = true }

// join joins once all peers count this instance and have revoked what they had lent
// beyond the smaller homes that they have with it. An instance that has received no
// message for Staleness seconds joins with the number of instances that is expected.
func (b *earlierAllocator) join(now float64) {
	if b.joined {
		return
	}
	view, heard := b.view(), 0
	for _, p := range b.peers {
		if now-p.lastReceived >= b.Staleness {
			if p.present && now-b.began < 2*b.Staleness {
				return
			}
			continue
		}
		if heard++; !p.acknowledges || p.viewDigest != view || !p.loansCovered {
			return
		}
	}
	// Instances that sent nothing may hold loans of an earlier incarnation of this name,
	// which have expired after Staleness seconds.
	b.joined = heard+1 >= b.Instances || now-b.began >= b.Staleness
}

// ---- Rounds ----

// Round begins a round. Asked is the number of jobs of each tenant that have arrived
// since the start, by ascending id. It returns the peers to which messages are to be sent.
func (b *earlierAllocator) Round(now float64, asked []uint64) []string {
	gap := now - b.last
	if gap > b.Staleness { // this instance was suspended, while the others may have run
		b.began = now
		b.joined = false
		for _, p := range b.peers {
			p.lastPresent = now
		}
	}
	b.last = now
	b.round++
	b.measure(gap, asked)
	for _, n := range slices.Clone(b.order) {
		p := b.peers[n]
		if b.Forget > 0 && !p.present && now-max(p.lastPresent, p.lastReceived) >= b.Forget {
			b.Forgotten(n)
		}
	}
	b.look(now)
	b.join(now)
	b.lacks(now)
	var to []string
	for range min(b.Fanout, len(b.order)) {
		b.turn = (b.turn + 1) % len(b.order)
		// Also to peers that membership doesn't show: a partition may end before membership notices.
		to = append(to, b.order[b.turn])
	}
	return to
}

// measure tracks the demand of each tenant, rises fast and falls slowly: demand that is
// stated too high costs other instances nothing unless they have demand themselves.
func (b *earlierAllocator) measure(gap float64, asked []uint64) {
	if gap <= 0 || len(asked) != len(b.tenants) {
		return
	}
	kf, ks := 1-math.Exp(-gap/fastRateSeconds), 1-math.Exp(-gap/slowRateSeconds)
	for i, t := range b.tenants {
		rate := float64(asked[i]-min(b.asked[i], asked[i])) / gap
		b.quick[i] += (rate - b.quick[i]) * kf
		b.slow[i] += (rate - b.slow[i]) * ks
		b.need[i] = 0
		if t.Quota > 0 {
			b.need[i] = uint32(min(FullReservation, max(b.quick[i], b.slow[i])*demandMargin/t.Quota*FullReservation))
		}
	}
	copy(b.asked, asked)
}

// Counted marks tenants whose counts have changed, so that these are sent to all peers.
func (b *earlierAllocator) Counted(tenants []uint64) {
	for _, p := range b.peers {
		if !p.resendAll {
			for _, t := range tenants {
				p.pendingDemands[t] = struct{}{}
			}
		}
	}
}

// look drops messages whose loans have expired and adds up what may still be lent to each peer.
func (b *earlierAllocator) look(now float64) {
	clear(b.lent)
	for _, n := range b.order {
		p := b.peers[n]
		clear(p.lent)
		p.inFlight = slices.DeleteFunc(p.inFlight, func(m inFlightMessage) bool {
			if m.until <= now && !m.acknowledged {
				p.requeue(&m)
			}
			return m.until <= now
		})
		for i := range p.inFlight {
			m := &p.inFlight[i]
			if !m.acknowledged && !m.requeued && now-m.sentAt > 3*b.Period+2*b.Delay {
				p.requeue(m)
				m.requeued = true // it may still arrive late, so that its grants stay deducted
			}
			for _, g := range m.grants {
				p.lent[g.Tenant] = max(p.lent[g.Tenant], g.Millionths)
			}
		}
		for t, share := range p.lent {
			b.lent[b.index[t]] += share
		}
	}
}

// lacks adds up the demand beyond their homes of all peers that were not silent for Staleness
// seconds, and sets the demands that this instance sends in this round.
func (b *earlierAllocator) lacks(now float64) {
	clear(b.lack)
	home := b.Home(now)
	b.needs, b.settled = nil, true
	for i, t := range b.tenants {
		if b.need[i] > 0 && !b.leaving {
			b.needs = append(b.needs, earlierPart{t.ID, b.need[i]})
		}
		b.settled = b.settled && b.lent[i] <= home
	}
	for _, p := range b.peers {
		if now-p.lastReceived >= b.Staleness {
			continue
		}
		for t, need := range p.demands {
			if need > home {
				b.lack[b.index[t]] += uint64(need - home)
			}
		}
	}
}

// requeue marks the counts of a lost message to be sent again.
func (p *peer) requeue(m *inFlightMessage) {
	if !m.requeued && !m.acknowledged {
		for _, t := range m.countTenants {
			p.pendingDemands[t] = struct{}{}
		}
	}
}
