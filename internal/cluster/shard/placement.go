package shard

import (
	"cmp"
	"math"
	"slices"
)

// Member is an instance that may own shards.
type Member struct {
	Name   string
	Weight float64 // its share of the shards relative to the other members; 0: its shards move away, as for draining
}

// Bounds limit the placement.
type Bounds struct {
	Tolerance    float64 // fraction of its mean by which a member may deviate without transfers; from 0 to below 1
	MaxTransfers int     // concurrent transfers, at least 1
}

// Assignment names a new owner for a shard that has none.
type Assignment struct {
	Shard int
	To    string
}

// Transfer moves a shard between two live owners. It is sent as JSON.
type Transfer struct {
	Shard int    `json:"Shard"`
	From  string `json:"From"`
	To    string `json:"To"`
}

// Plan lists the next changes of owners.
type Plan struct {
	Assignments []Assignment // take effect at once, without a snapshot
	Transfers   []Transfer   // may begin now
	Deferred    int          // number of transfers that have to wait for others
}

// roundingSlack is far below 1: it keeps floating-point errors from rounding an
// integral bound to the next integer.
const roundingSlack = 1e-9

// noOwner is the index of the owner of a shard whose owner is not a member.
const noOwner = -1

// Place decides which shards need another owner. Shards whose owner is not a
// member, and the shards in lost (whose owner has restarted since it opened them),
// are assigned first; while there are any, no transfer begins. Other shards move
// only if a member deviates from its mean by more than the tolerance, and then by
// the smallest number of transfers that brings all members within the bounds.
// Running transfers count as completed, and against MaxTransfers. Place returns a
// NoMembersError if no member has a weight above 0, or the sum of the weights is
// not finite.
//
// With mean m = shards x weight / sum of weights, a member within the bounds owns
// from floor(m x (1 - tolerance)) to ceil(m x (1 + tolerance)) shards. The same
// input gives the same plan on any machine.
func Place(owners Map, members []Member, lost []int, running []Transfer, bounds Bounds) (Plan, error) {
	p := placement{
		moved: make([]bool, len(owners)),
		index: map[string]int{},
	}
	if !p.addMembers(members, len(owners), bounds.Tolerance) {
		return Plan{}, NoMembersError{len(owners)}
	}
	ownerOf := p.currentOwners(owners, lost)
	started := p.applyRunning(ownerOf, running)
	unowned := p.distribute(ownerOf)
	plan := Plan{Assignments: p.assign(unowned)}
	p.balance(&plan, bounds.MaxTransfers-started)
	return plan, nil
}

// placement is the working state of one call of Place.
type placement struct {
	loads []memberLoad   // sorted by member name
	index map[string]int // index in loads by member name
	moved []bool         // by shard: a transfer of it is running or planned
}

// memberLoad is a member with its shards and its bounds, in shards.
type memberLoad struct {
	name   string
	mean   float64
	low    int
	high   int
	shards []int
}

func (l *memberLoad) excess() int        { return len(l.shards) - l.high }
func (l *memberLoad) deficit() int       { return l.low - len(l.shards) }
func (l *memberLoad) deviation() float64 { return float64(len(l.shards)) - l.mean }

// movableShard returns a shard of the member that has no transfer yet, or -1.
func (l *memberLoad) movableShard(moved []bool) int {
	for _, s := range slices.Backward(l.shards) {
		if !moved[s] {
			return s
		}
	}
	return -1
}

// addMembers fills loads, with each name once. It returns false if no member may
// own a shard.
func (p *placement) addMembers(members []Member, shards int, tolerance float64) bool {
	totalWeight := 0.0
	byName := func(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
	p.loads = make([]memberLoad, 0, len(members))
	for _, m := range slices.SortedFunc(slices.Values(members), byName) {
		if _, duplicate := p.index[m.Name]; duplicate || m.Name == "" {
			continue
		}
		weight := max(m.Weight, 0)
		p.index[m.Name] = len(p.loads)
		p.loads = append(p.loads, memberLoad{name: m.Name, mean: weight})
		totalWeight += weight
	}
	if totalWeight <= 0 || math.IsInf(totalWeight, 0) || math.IsNaN(totalWeight) {
		return false
	}
	for i := range p.loads {
		l := &p.loads[i]
		l.mean *= float64(shards) / totalWeight
		l.low = int(math.Floor(l.mean*(1-tolerance) + roundingSlack))
		l.high = int(math.Ceil(l.mean*(1+tolerance) - roundingSlack))
	}
	return true
}

// currentOwners returns the index of each shard's owner, or noOwner.
func (p *placement) currentOwners(owners Map, lost []int) []int {
	ownerOf := make([]int, len(owners))
	for s, ownership := range owners {
		ownerOf[s] = noOwner
		if i, ok := p.index[ownership.Name]; ok && ownership.Epoch > 0 {
			ownerOf[s] = i
		}
	}
	for _, s := range lost {
		if s >= 0 && s < len(ownerOf) {
			ownerOf[s] = noOwner
		}
	}
	return ownerOf
}

// applyRunning treats the running transfers as completed and returns their number.
func (p *placement) applyRunning(ownerOf []int, running []Transfer) int {
	started := 0
	for _, t := range running {
		i, ok := p.index[t.To]
		if !ok || t.Shard < 0 || t.Shard >= len(ownerOf) || ownerOf[t.Shard] < 0 || p.moved[t.Shard] {
			continue
		}
		ownerOf[t.Shard] = i
		p.moved[t.Shard] = true
		started++
	}
	return started
}

// distribute adds each shard to the load of its owner and returns the shards without an owner.
func (p *placement) distribute(ownerOf []int) []int {
	var unowned []int
	for s, i := range ownerOf {
		if i == noOwner {
			unowned = append(unowned, s)
			continue
		}
		p.loads[i].shards = append(p.loads[i].shards, s)
	}
	return unowned
}

func (p *placement) assign(unowned []int) []Assignment {
	var assignments []Assignment
	for _, s := range unowned {
		to := p.receiver()
		to.shards = append(to.shards, s)
		assignments = append(assignments, Assignment{Shard: s, To: to.name})
	}
	return assignments
}

// balance plans transfers until all members are within their bounds. Transfers
// beyond the limit are counted as deferred, and so are all while the plan has
// assignments.
func (p *placement) balance(plan *Plan, limit int) {
	for {
		from := p.donor()
		to := p.receiver()
		if from == nil || from.excess() <= 0 && to.deficit() <= 0 {
			return
		}
		s := from.movableShard(p.moved)
		at := slices.Index(from.shards, s)
		from.shards = slices.Delete(from.shards, at, at+1)
		to.shards = append(to.shards, s)
		p.moved[s] = true
		if len(plan.Assignments) == 0 && len(plan.Transfers) < limit {
			plan.Transfers = append(plan.Transfers, Transfer{Shard: s, From: from.name, To: to.name})
		} else {
			plan.Deferred++
		}
	}
}

// receiver returns the member that receives the next shard: first one below its
// lower bound, then one below its upper bound, among these the one furthest below
// its mean. There always is one, because the upper bounds add up to at least the
// number of shards.
func (p *placement) receiver() *memberLoad {
	best := &p.loads[0]
	for i := range p.loads {
		l := &p.loads[i]
		order := cmp.Compare(l.receiverRank(), best.receiverRank())
		if order < 0 || order == 0 && l.deviation() < best.deviation() {
			best = l
		}
	}
	return best
}

// receiverRank returns the priority of a member as receiver; the lowest is first.
func (l *memberLoad) receiverRank() int {
	switch {
	case l.deficit() > 0:
		return 0
	case l.excess() < 0:
		return 1
	}
	return 2
}

// donor returns the member that gives up the next shard: first one above its upper
// bound, then one above its lower bound, among these the one furthest above its
// mean; nil: there is none.
func (p *placement) donor() *memberLoad {
	var best *memberLoad
	for i := range p.loads {
		l := &p.loads[i]
		if l.deficit() < 0 && l.donatesBefore(best) && l.movableShard(p.moved) >= 0 {
			best = l
		}
	}
	return best
}

// donatesBefore reports whether l has priority over best as donor.
func (l *memberLoad) donatesBefore(best *memberLoad) bool {
	if best == nil {
		return true
	}
	overloaded := l.excess() > 0
	if overloaded != (best.excess() > 0) {
		return overloaded
	}
	return l.deviation() > best.deviation()
}
