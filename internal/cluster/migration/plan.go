package migration

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// Placement is the cluster where all of a service is to be. Services without a placement stay.
type Placement struct {
	Service string
	Cluster string // empty: the service stays, except for what exceeds its cluster's capacity
}

// Link is a network path that several pairs of clusters share.
type Link struct {
	Pairs              [][2]string // each counts in both directions
	MaxConcurrentMoves int         // of all pairs together; 0: no limit
}

// Limits restrict a plan.
type Limits struct {
	Links     []Link
	MaxPieces int // maximum number of pieces that a move may be cut into; 0: 32
}

// PlannedMove is one move of a plan.
type PlannedMove struct {
	Key
	Amount Amount
}

// Plan returns the moves that bring services to their placements, in rounds. The moves of
// a round run concurrently; a round begins when all moves of the previous one have ended.
// During a move both clusters hold capacity for it. No ledger ever promises more than its
// capacity; one that already does never increases its promises. If the free capacity does
// not suffice for a full service it moves in pieces; so do services that exchange places.
// Services with an open move are left as they are. The same ledgers and placements, in any
// order, give the same plan.
//
// If there is no plan, the error names the clusters that lack capacity and the missing
// amounts (*InsufficientCapacityError, *MoveRejectedError), either for the final placement
// or for the smallest piece of an intermediate round. Plan does not route through a third
// cluster.
func Plan(ledgers []*CapacityLedger, placements []Placement, limits Limits) (rounds [][]PlannedMove, err error) {
	p := newPlanner(ledgers, limits)
	if err := p.placePinned(placements); err != nil {
		return nil, err
	}
	if err := p.placeOverflow(placements); err != nil {
		return nil, err
	}
	for len(p.pending) > 0 {
		round, err := p.nextRound()
		if err != nil {
			return nil, err
		}
		rounds = append(rounds, round)
	}
	return rounds, nil
}

// planner builds a plan. free and pending are as after the rounds planned so far.
type planner struct {
	limits  Limits
	names   []string
	ledgers map[string]*CapacityLedger
	free    map[string]Amount
	pending []pendingMove
}

// pendingMove is the part of a move that no round contains yet.
type pendingMove struct {
	PlannedMove
	smallest Amount // size of a piece
}

func newPlanner(ledgers []*CapacityLedger, limits Limits) *planner {
	p := &planner{
		limits:  limits,
		ledgers: map[string]*CapacityLedger{},
		free:    map[string]Amount{},
	}
	for _, l := range ledgers {
		p.ledgers[l.Cluster] = l
		p.free[l.Cluster] = l.Free()
	}
	p.names = slices.Sorted(maps.Keys(p.ledgers))
	return p
}

func (p *planner) findPending(key Key) int {
	return slices.IndexFunc(p.pending, func(m pendingMove) bool { return m.Key == key })
}

func (p *planner) addMove(key Key, amount Amount) {
	i := p.findPending(key)
	if i < 0 {
		i = len(p.pending)
		p.pending = append(p.pending, pendingMove{PlannedMove: PlannedMove{Key: key}})
	}
	p.pending[i].Amount += amount
	p.pending[i].smallest = smallestStep(p.pending[i].Amount, p.limits.MaxPieces)
}

// freeAtEnd returns the free capacity of a cluster after all pending moves.
func (p *planner) freeAtEnd(cluster string) Amount {
	free := p.free[cluster]
	for _, m := range p.pending {
		if m.To == cluster {
			free -= m.Amount
		}
		if m.From == cluster {
			free += m.Amount
		}
	}
	return free
}

// migrating reports whether a service has an open move in any ledger.
func (p *planner) migrating(service string) bool {
	for _, l := range p.ledgers {
		if a := l.Account(service); a.Escrowed > 0 || a.InTransit > 0 {
			return true
		}
	}
	return false
}

// placePinned plans the placements that name a cluster.
func (p *planner) placePinned(placements []Placement) error {
	for _, placement := range placements {
		if placement.Cluster == "" || p.migrating(placement.Service) {
			continue
		}
		if err := p.moveAllToCluster(placement); err != nil {
			return err
		}
	}
	return p.checkFinalCapacity()
}

// moveAllToCluster plans to move all of a service to the cluster of its placement.
func (p *planner) moveAllToCluster(placement Placement) error {
	if p.ledgers[placement.Cluster] == nil {
		return &MoveRejectedError{
			Move:   Key{To: placement.Cluster, Service: placement.Service},
			Reason: "unknown cluster",
		}
	}
	for _, name := range p.names {
		reserved := p.ledgers[name].Account(placement.Service).Reserved
		if reserved > 0 && name != placement.Cluster {
			p.addMove(Key{From: name, To: placement.Cluster, Service: placement.Service}, reserved)
		}
	}
	return nil
}

// checkFinalCapacity returns an error for every destination that lacks capacity for the final placement.
func (p *planner) checkFinalCapacity() error {
	var errs []error
	for _, name := range p.names {
		isDestination := slices.ContainsFunc(p.pending, func(m pendingMove) bool { return m.To == name })
		if missing := -p.freeAtEnd(name); missing > 0 && isDestination {
			errs = append(errs, &InsufficientCapacityError{Cluster: name, Missing: missing})
		}
	}
	return errors.Join(errs...)
}

// nextRound returns the next moves to run concurrently. They are undivided, if any such moves are
// possible; otherwise moves may be cut into pieces.
func (p *planner) nextRound() ([]PlannedMove, error) {
	graph := p.moveGraph()
	p.sortPending(graph)
	for _, undivided := range []bool{true, false} {
		if round := p.selectRound(graph, undivided); len(round) > 0 {
			p.applyRound(round)
			return round, nil
		}
	}
	return nil, p.mostBlocked()
}

// sortPending puts moves on a cycle first, since the others would take the capacity that the
// cycle needs. Moves that free capacity at a cluster without incoming moves come last. Then
// larger moves come before smaller ones.
func (p *planner) sortPending(graph moveGraph) {
	slices.SortFunc(p.pending, func(a, b pendingMove) int {
		return cmp.Or(
			trueFirst(graph.onCycle(a.Key), graph.onCycle(b.Key)),
			trueFirst(graph.incoming[a.From] > 0, graph.incoming[b.From] > 0),
			cmp.Compare(b.Amount, a.Amount),
			a.compare(b.Key),
		)
	})
}

// selectRound returns the pending moves that free capacity and links allow, cut into pieces unless
// undivided is set.
func (p *planner) selectRound(graph moveGraph, undivided bool) (round []PlannedMove) {
	free := maps.Clone(p.free)
	used := make([]int, len(p.limits.Links))
	for i := range p.pending {
		m := &p.pending[i]
		amount := min(m.Amount, free[m.To])
		divided := amount < m.Amount
		if amount <= 0 || divided && (undivided || amount < m.smallest) || !p.linksAvailable(m.Key, used) {
			continue
		}
		if p.neededByCycle(graph, m.Key) {
			continue
		}
		p.useLinks(m.Key, used)
		free[m.To] -= amount
		round = append(round, PlannedMove{Key: m.Key, Amount: amount})
	}
	return round
}

// neededByCycle reports whether a move that is not on a cycle would take scarce capacity from a
// cycle of moves through its destination.
func (p *planner) neededByCycle(graph moveGraph, key Key) bool {
	return !graph.onCycle(key) && p.free[key.To] < graph.incoming[key.To] && graph.reaches(key.To, key.To)
}

func (p *planner) applyRound(round []PlannedMove) {
	for _, m := range round {
		p.free[m.To] -= m.Amount
		p.free[m.From] += m.Amount
		i := p.findPending(m.Key)
		p.pending[i].Amount -= m.Amount
		if p.pending[i].Amount == 0 {
			p.pending = slices.Delete(p.pending, i, i+1)
		}
	}
}

// mostBlocked returns the error for the pending move that lacks the least capacity. Moves that
// lack none are ignored.
func (p *planner) mostBlocked() error {
	var best *MoveRejectedError
	var leastMissing Amount
	for _, m := range p.pending {
		missing := min(m.smallest, m.Amount) - p.free[m.To]
		if missing <= 0 || best != nil && missing >= leastMissing {
			continue
		}
		leastMissing = missing
		best = &MoveRejectedError{
			Move:  m.Key,
			Cause: &InsufficientCapacityError{Cluster: m.To, Missing: missing},
		}
	}
	return best
}

// linksAvailable reports whether all links of a move allow one more.
func (p *planner) linksAvailable(key Key, used []int) bool {
	for i, l := range p.limits.Links {
		if l.connects(key) && l.MaxConcurrentMoves > 0 && used[i] >= l.MaxConcurrentMoves {
			return false
		}
	}
	return true
}

func (p *planner) useLinks(key Key, used []int) {
	for i, l := range p.limits.Links {
		if l.connects(key) {
			used[i]++
		}
	}
}

func (l *Link) connects(key Key) bool {
	return slices.Contains(l.Pairs, [2]string{key.From, key.To}) ||
		slices.Contains(l.Pairs, [2]string{key.To, key.From})
}
