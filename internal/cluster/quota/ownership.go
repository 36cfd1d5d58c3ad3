package quota

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The owners of a tenant's reservation are the first few instances by rendezvous hashing
// (Thaler, Ravishankar, 1998) over those that count, the best of each region before the
// second best of any.
//
// Why no part is owned twice: an instance's rank can only get worse as more instances are
// counted. If each that has joined counts all that have, its rank among those is no worse
// than the rank by which it claims a part; no two have the same rank; so no more claim
// than there are parts, and nobody claims more than one of as many parts as there are
// claimants. An instance that is expected and was never seen may have joined: until all
// were seen, or others would have been forgotten, an instance does not join.

// rendezvousScore ranks an instance for a tenant.
func rendezvousScore(tenant, instance uint64) uint64 {
	x := tenant ^ instance
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// updateOwnership determines the mode of ownership, and assigns owners if that or the
// members have changed. In another mode, or another region of an instance, the ranks
// differ: everything owned is given up, and claimed again once all agree.
func (a *Allocator) updateOwnership(now float64) {
	flat := a.requiresFlat(now)
	unseen := a.countUnseen(now, flat)
	if flat == a.flat && unseen == a.members.unseen && !a.members.changed {
		return
	}
	if flat != a.flat {
		a.changeMode()
	}
	a.flat = flat
	a.members.unseen = unseen
	a.assignOwners(now)
}

// requiresFlat reports whether any instance doesn't support owners, or is set so.
func (a *Allocator) requiresFlat(now float64) bool {
	if a.Owners <= 0 || now < a.members.earlierBuildUntil && !a.disabled.ownership.unknownBuilds {
		return true
	}
	return slices.ContainsFunc(a.members.sorted, func(p *peer) bool { return p.build < OwnershipBuild })
}

// countUnseen is how many instances are expected and were never seen.
func (a *Allocator) countUnseen(now float64, flat bool) int {
	unseen := max(0, a.ExpectedInstances-len(a.members.sorted)-1)
	if unseen == 0 {
		a.members.expectedReached = true
	}
	if !flat && a.members.expectedReached { // a missing one was seen, and has left or is forgotten
		return 0
	}
	expired := a.ForgetAfter > 0 && now-a.lastUnknownContact() >= a.ForgetAfter
	if expired || a.disabled.ownership.unseenInstances {
		return 0
	}
	return unseen
}

// changeMode gives up everything that is owned.
func (a *Allocator) changeMode() {
	if !a.disabled.ownership.ownershipChange {
		a.joined = false
	}
	for _, p := range a.members.sorted {
		p.sent.viewPollInterval = 0
		p.resendGrants()
	}
}

// assignOwners finds the owners of each tenant, and what this instance owns.
func (a *Allocator) assignOwners(now float64) {
	a.members.changed = false
	a.updateViewDigest()
	a.updateFullMesh()
	if a.flat {
		a.assignFlat(now)
		return
	}
	r := newRanking(a)
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		owners, owned := r.owners(t.ID, a.self.hash)
		a.setOwners(now, t, owners)
		a.setOwned(t, owned)
	}
}

// assignFlat gives every instance an equal part.
func (a *Allocator) assignFlat(now float64) {
	part := uint32(FullReservation / a.ClusterSize(now))
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		a.setOwners(now, t, nil)
		a.setOwned(t, part)
	}
}

// memberDigest is the part of the view's digest that one instance contributes.
func (a *Allocator) memberDigest(name, region string) uint64 {
	if a.flat {
		return xxhash.Sum64String(name) // as earlier builds do
	}
	return xxhash.Sum64String(name + "\x00" + region)
}

// updateViewDigest computes the digest of everything that all members have to agree on.
func (a *Allocator) updateViewDigest() {
	digest := a.memberDigest(a.self.name, a.Region)
	for _, p := range a.members.sorted {
		digest ^= a.memberDigest(p.name, p.region)
	}
	if !a.flat { // the mode belongs to the view
		var buf [16]byte
		binary.LittleEndian.PutUint64(buf[:], digest)
		binary.LittleEndian.PutUint64(buf[8:], uint64(a.Owners)<<8|OwnershipBuild)
		digest = xxhash.Sum64(buf[:])
	}
	if digest == a.members.viewDigest {
		return
	}
	a.members.viewDigest = digest
	for _, p := range a.members.sorted {
		p.sent.viewPollInterval = 0
	}
}

// updateFullMesh determines whether each instance sends its counts to every other.
func (a *Allocator) updateFullMesh() {
	fullMesh := len(a.members.sorted) < fullMeshInstances
	if fullMesh == a.fullMesh {
		return
	}
	a.fullMesh = fullMesh
	for _, p := range a.members.sorted {
		p.pending.fullState = true
	}
}

// ranking ranks instances for one tenant after the other.
type ranking struct {
	peers    []*peer
	regions  []int // by peer; 0 is this instance's
	best     [][]candidate
	sameRank []candidate
	selected []candidate
	wanted   int // owners of each tenant
	parts    int // owners of each tenant that there are
}

// candidate is an instance that may own a part; a nil peer is this instance.
type candidate struct {
	score uint64
	peer  *peer
}

func compareCandidates(x, y candidate) int { return cmp.Compare(y.score, x.score) }

func newRanking(a *Allocator) *ranking {
	r := &ranking{
		peers:   a.members.sorted,
		regions: make([]int, len(a.members.sorted)),
		wanted:  a.Owners,
		parts:   min(a.Owners, len(a.members.sorted)+1),
	}
	numbers := map[string]int{a.Region: 0}
	for i, p := range r.peers {
		number, known := numbers[p.region]
		if !known {
			number = len(numbers)
			numbers[p.region] = number
		}
		r.regions[i] = number
	}
	r.best = make([][]candidate, len(numbers))
	return r
}

// owners are a tenant's owners by rank, and the part that this instance owns.
func (r *ranking) owners(tenant, self uint64) (owners []*peer, owned uint32) {
	r.rankRegions(tenant, self)
	r.selectOwners()
	owners = make([]*peer, 0, len(r.selected))
	for _, c := range r.selected {
		owners = append(owners, c.peer)
		if c.peer == nil {
			owned = uint32(FullReservation / r.parts)
		}
	}
	return owners, owned
}

// rankRegions finds the best candidates of each region.
func (r *ranking) rankRegions(tenant, self uint64) {
	for region := range r.best {
		r.best[region] = r.best[region][:0]
	}
	r.add(0, candidate{score: rendezvousScore(tenant, self)})
	for i, p := range r.peers {
		r.add(r.regions[i], candidate{score: rendezvousScore(tenant, p.hash), peer: p})
	}
}

// add inserts a candidate among the best of its region.
func (r *ranking) add(region int, c candidate) {
	best := r.best[region]
	if len(best) == r.wanted {
		if best[len(best)-1].score >= c.score {
			return
		}
		best = best[:len(best)-1]
	}
	at := len(best)
	for at > 0 && best[at-1].score < c.score {
		at--
	}
	r.best[region] = slices.Insert(best, at, c)
}

// selectOwners takes the best of each region, then the second best of each, and so on.
func (r *ranking) selectOwners() {
	r.selected = r.selected[:0]
	for rank := 0; rank < r.wanted && len(r.selected) < r.parts; rank++ {
		r.sameRank = r.sameRank[:0]
		for _, best := range r.best {
			if rank < len(best) {
				r.sameRank = append(r.sameRank, best[rank])
			}
		}
		slices.SortFunc(r.sameRank, compareCandidates)
		r.selected = append(r.selected, r.sameRank...)
	}
	r.selected = r.selected[:r.parts]
}

// setOwned sets the part of a tenant's reservation that this instance owns.
func (a *Allocator) setOwned(t *tenantState, millionths uint32) {
	if !a.joined || a.leaving {
		millionths = 0 // the others may count on all of it
	}
	if t.ledger.owned != millionths {
		t.ledger.owned = millionths
		a.markChanged(t)
	}
}

// setOwners sets a tenant's owners.
func (a *Allocator) setOwners(now float64, t *tenantState, owners []*peer) {
	previous := t.ledger.owners
	if slices.Equal(previous, owners) {
		return
	}
	t.ledger.owners = owners
	for _, p := range previous {
		if p != nil && !slices.Contains(owners, p) && p.loans.requested[t.ID] > 0 {
			p.setRequested(t.ID, 0)
		}
	}
	if t.request.millionths > 0 && !a.leaving {
		a.requestFromOwners(t, true)
	}
	a.sendCountsToOwners(now, t, previous)
}

// sendCountsToOwners schedules sending a tenant's counts to new owners, and to all others if
// this instance has become an owner or ceased to be one.
func (a *Allocator) sendCountsToOwners(now float64, t *tenantState, previous []*peer) {
	ownedHere := t.ownedHere()
	sameHere := slices.Contains(previous, nil) == ownedHere
	for _, p := range t.ledger.owners {
		if p == nil || slices.Contains(previous, p) && sameHere {
			continue
		}
		p.pending.counts.add(t.ID)
		p.pending.sendCountsBy(now + a.usageReportDelay())
		if ownedHere {
			p.pending.relays.add(t.ID)
		}
	}
}

// aggregator is the instance that reports to a tenant's users what was counted elsewhere:
// the first of its owners that is present; nil is this instance.
func (a *Allocator) aggregator(t *tenantState) (p *peer, ok bool) {
	for _, p := range t.ledger.owners {
		if p == nil || p.presence.present {
			return p, true
		}
	}
	return nil, false
}

// isAggregator reports whether this instance is a tenant's aggregator. Where each instance
// sends its counts to every other, each is its own aggregator.
func (a *Allocator) isAggregator(t *tenantState) bool {
	if a.flat || a.fullMesh {
		return true
	}
	p, ok := a.aggregator(t)
	return ok && p == nil && !a.leaving
}
