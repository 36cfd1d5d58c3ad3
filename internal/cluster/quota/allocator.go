package quota

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Allocator decides what one instance may use of each tenant's reservation.
type Allocator struct {
	Settings
	self         identity
	tenants      tenantTable
	members      membership
	rounds       roundClock
	joined       bool                // all members have confirmed a view that includes this instance
	leaving      bool                // this instance is leaving and owns nothing any more
	flat         bool                // every instance owns an equal part of every reservation
	fullMesh     bool                // the cluster is so small that each instance sends its counts to every other
	loansCovered bool                // as of this round, no more is lent of any tenant than is owned
	flatDemands  []TenantFraction    // demands to send in this round; flat ownership only
	changed      map[int]struct{}    // indexes of tenants whose loans have to be recomputed
	earlyTotals  map[int]remoteTotal // by tenant index: reports of owners not yet seen as aggregator
	stats        receiveStats
	disabled     safetyRules
}

// identity identifies this instance and its incarnation.
type identity struct {
	name        string
	hash        uint64
	incarnation uint64
}

// roundClock holds the times and the number of the rounds.
type roundClock struct {
	startedAt float64 // when this instance started, restarted or was resumed after a suspension
	last      float64 // time of the latest round
	number    uint64
}

// receiveStats counts received and dropped messages.
type receiveStats struct {
	received uint64
	drops    map[DropReason]uint64
}

// New returns an allocator that starts at time now.
func New(s Settings, name string, incarnation uint64, tenants []Tenant, now float64) *Allocator {
	a := &Allocator{
		Settings: s.withDefaults(),
		self: identity{
			name:        name,
			hash:        xxhash.Sum64String(name),
			incarnation: incarnation,
		},
		tenants:     newTenantTable(tenants),
		members:     newMembership(),
		rounds:      roundClock{startedAt: now, last: now},
		flat:        s.Owners <= 0,
		changed:     map[int]struct{}{},
		earlyTotals: map[int]remoteTotal{},
		stats:       receiveStats{drops: map[DropReason]uint64{}},
	}
	a.assignOwners(now)
	return a
}

// Joined reports whether this instance may own parts of reservations.
func (a *Allocator) Joined() bool { return a.joined }

// HashedOwnership reports whether each reservation is owned by a few instances chosen by hashing,
// and not by all instances in equal parts (flat ownership).
func (a *Allocator) HashedOwnership() bool { return !a.flat }

// OwnedTenants returns the number of tenants of which this instance owns a part, and the number
// of all tenants.
func (a *Allocator) OwnedTenants() (owned, all int) {
	for i := range a.tenants.list {
		if a.tenants.list[i].ledger.owned > 0 {
			owned++
		}
	}
	return owned, len(a.tenants.list)
}

// Leave gives up everything that this instance owns. Its messages announce from now on that it leaves.
func (a *Allocator) Leave() {
	a.leaving = true
	for i := range a.tenants.list {
		a.tenants.list[i].ledger.owned = 0
	}
	for _, p := range a.members.peers {
		p.sent.stopWaiting()
		clear(p.loans.requested)
	}
}

// restartAs continues under another incarnation. All loans of the old incarnation end as if the
// instance had been restarted.
func (a *Allocator) restartAs(incarnation uint64) {
	a.self.incarnation = incarnation
	a.joined = false
	a.rounds.startedAt = a.rounds.last
	a.members.changed = true
	a.tenants.stopFollowing()
	for _, p := range a.members.peers {
		p.received.acknowledges = false
		p.sent.ackedSentAt = math.Inf(-1)
		p.sent.viewAckedSentAt = math.Inf(-1)
		clear(p.loans.borrowed)
	}
}

// Allotments returns the fractions of the reservations that this instance may use now, in
// millionths, in ascending order of tenant ids. It overwrites buf. The allotments are valid
// until the next round, which must begin within two periods: a loan that expires within two
// periods is left out.
func (a *Allocator) Allotments(now float64, buf []uint32) []uint32 {
	buf = buf[:0]
	for i := range a.tenants.list {
		l := &a.tenants.list[i].ledger
		buf = append(buf, l.owned-min(l.lent, l.owned))
	}
	if a.leaving {
		return buf
	}
	for _, p := range a.members.sorted {
		for tenant, borrowed := range p.loans.borrowed {
			if borrowed.expiresAt > now+2*a.Period {
				i := a.tenants.byID[tenant].index
				buf[i] = min(buf[i]+borrowed.millionths, FullReservation)
			}
		}
	}
	return buf
}

// markChanged schedules recomputing a tenant's loans.
func (a *Allocator) markChanged(t *tenantState) { a.changed[t.index] = struct{}{} }

// drainChanged returns the indexes of the tenants whose loans have to be recomputed, in ascending
// order, and clears the set.
func (a *Allocator) drainChanged() []int {
	indexes := make([]int, 0, len(a.changed))
	for i := range a.changed {
		indexes = append(indexes, i)
	}
	clear(a.changed)
	slices.Sort(indexes)
	return indexes
}
