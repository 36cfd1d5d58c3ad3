package quota

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The owners of a tenant's reservation are the a.Owners highest-ranked members by rendezvous
// hashing (Thaler, Ravishankar, 1998). The best instance of each region ranks before the second
// best instance of any region.
//
// No part is owned twice. An instance claims a part by its rank among the members that it counts, and
// this rank can only get worse as it counts more members. If each joined instance counts all joined
// instances, then its rank among the joined instances is no worse than the rank by which it claims.
// No two instances have the same rank, so there are no more claimants than parts, and each claims at
// most 1/n of the reservation, where n is the number of claimants. This requires that no joined
// instance is left out, and an expected instance that was never seen may have joined. An instance
// therefore does not join until all expected instances were seen, or until ForgetAfter has passed,
// the time after which silent members are removed as well.

// rendezvousScore returns the score by which an instance is ranked for a tenant; the highest score
// ranks first.
func rendezvousScore(tenant, instance uint64) uint64 {
	x := tenant ^ instance
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// updateOwnership determines the mode of ownership, and assigns owners if the mode or the members
// have changed. If the mode or the region of an instance changes, the ranks change as well, so this
// instance gives up everything that it owns, and owns parts again once all members agree.
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

// requiresFlat reports whether any instance, this one included, is set to flat ownership or is of an
// earlier build.
func (a *Allocator) requiresFlat(now float64) bool {
	if a.Owners <= 0 || now < a.members.earlierBuildUntil && !a.disabled.ownership.unknownBuilds {
		return true
	}
	return slices.ContainsFunc(a.members.sorted, func(p *peer) bool { return p.build < OwnershipBuild })
}

// countUnseen returns the number of expected instances that were never seen and still have to be waited
// for. It is 0 once ForgetAfter has passed, and, unless ownership is flat, once all have been seen.
func (a *Allocator) countUnseen(now float64, flat bool) int {
	unseen := max(0, a.ExpectedInstances-len(a.members.sorted)-1)
	if unseen == 0 {
		a.members.expectedReached = true
	}
	if !flat && a.members.expectedReached { // all were seen; a missing one has left or was removed
		return 0
	}
	expired := a.ForgetAfter > 0 && now-a.lastUnknownContact() >= a.ForgetAfter
	if expired || a.disabled.ownership.unseenInstances {
		return 0
	}
	return unseen
}

// changeMode gives up everything that this instance owns, because the mode of ownership changes.
func (a *Allocator) changeMode() {
	if !a.disabled.ownership.ownershipChange {
		a.joined = false
	}
	for _, p := range a.members.sorted {
		p.sent.viewPollInterval = 0
		p.resendGrants()
	}
}

// assignOwners computes the owners of each tenant and the part that this instance owns.
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

// assignFlat sets this instance's part of every reservation, which is equal for all instances.
func (a *Allocator) assignFlat(now float64) {
	part := uint32(FullReservation / a.ClusterSize(now))
	for i := range a.tenants.list {
		t := &a.tenants.list[i]
		a.setOwners(now, t, nil)
		a.setOwned(t, part)
	}
}

// memberDigest returns the contribution of one instance to the view's digest.
func (a *Allocator) memberDigest(name, region string) uint64 {
	if a.flat {
		return xxhash.Sum64String(name) // compatible with earlier builds
	}
	return xxhash.Sum64String(name + "\x00" + region)
}

// updateViewDigest computes the digest of the view on which all members have to agree.
func (a *Allocator) updateViewDigest() {
	digest := a.memberDigest(a.self.name, a.Region)
	for _, p := range a.members.sorted {
		digest ^= a.memberDigest(p.name, p.region)
	}
	if !a.flat { // the digest covers the mode of ownership
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

// updateFullMesh determines whether each instance sends its counts to every other. If that changes,
// the full state is sent to all peers.
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

// ranking ranks the instances for a tenant. Its buffers are reused for each tenant.
type ranking struct {
	peers    []*peer
	regions  []int         // region number of each peer; 0 is this instance's region
	best     [][]candidate // best candidates of each region, by rank
	sameRank []candidate   // candidates of equal rank within their regions
	selected []candidate   // the tenant's owners, by rank
	wanted   int           // configured number of owners of each tenant
	parts    int           // actual number of owners of each tenant: the lesser of wanted and the number of instances
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

// owners returns a tenant's owners by rank, and the part in millionths that this instance owns if it
// is among them. A nil owner is this instance.
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

// rankRegions computes the best candidates of each region for a tenant.
func (r *ranking) rankRegions(tenant, self uint64) {
	for region := range r.best {
		r.best[region] = r.best[region][:0]
	}
	r.add(0, candidate{score: rendezvousScore(tenant, self)})
	for i, p := range r.peers {
		r.add(r.regions[i], candidate{score: rendezvousScore(tenant, p.hash), peer: p})
	}
}

// add inserts a candidate into the ranked list of its region, and keeps only the best r.wanted candidates.
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

// selectOwners selects the best candidate of each region, then the second best of each, and so on.
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

// setOwned sets the part of a tenant's reservation that this instance owns. It is 0 while this
// instance has not joined or is leaving.
func (a *Allocator) setOwned(t *tenantState, millionths uint32) {
	if !a.joined || a.leaving {
		millionths = 0 // other instances may own this part
	}
	if t.ledger.owned != millionths {
		t.ledger.owned = millionths
		a.markChanged(t)
	}
}

// setOwners sets a tenant's owners. If they have changed, it schedules messages that withdraw the demands
// from former owners, and that send demands and counts to the present ones.
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

// sendCountsToOwners schedules sending a tenant's counts to its new owners, or to all of its owners if
// this instance has become an owner or ceased to be one.
func (a *Allocator) sendCountsToOwners(now float64, t *tenantState, previous []*peer) {
	ownedHere := t.ownedHere()
	unchangedHere := slices.Contains(previous, nil) == ownedHere
	for _, p := range t.ledger.owners {
		if p == nil || slices.Contains(previous, p) && unchangedHere {
			continue
		}
		p.pending.counts.add(t.ID)
		p.pending.sendCountsBy(now + a.usageReportDelay())
		if ownedHere {
			p.pending.relays.add(t.ID)
		}
	}
}

// aggregator returns the instance that relays a tenant's usage counts between the instances that use
// the tenant: the first owner by rank that is present. A nil peer with ok set is this instance.
func (a *Allocator) aggregator(t *tenantState) (p *peer, ok bool) {
	for _, p := range t.ledger.owners {
		if p == nil || p.presence.present {
			return p, true
		}
	}
	return nil, false
}

// isAggregator reports whether this instance is a tenant's aggregator. If every instance sends its
// counts to every other, each is its own aggregator.
func (a *Allocator) isAggregator(t *tenantState) bool {
	if a.flat || a.fullMesh {
		return true
	}
	p, ok := a.aggregator(t)
	return ok && p == nil && !a.leaving
}
