package migration

import (
	"cmp"
	"slices"
)

// placeOverflow moves services away from clusters whose capacity is exceeded. It prefers the
// smallest service that covers the excess alone, and moves it undivided if another cluster has
// the capacity.
func (p *planner) placeOverflow(placements []Placement) error {
	movable := p.movableServices(placements)
	for _, from := range p.names {
		if err := p.moveExcessAway(from, p.reservationsBySize(from, movable)); err != nil {
			return err
		}
	}
	return nil
}

// movableServices returns the services without a fixed cluster or an open move, sorted.
func (p *planner) movableServices(placements []Placement) []string {
	var services []string
	for _, placement := range placements {
		if placement.Cluster == "" && !p.migrating(placement.Service) {
			services = append(services, placement.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// reservationsBySize returns the services' reservations at a cluster, the smallest first.
func (p *planner) reservationsBySize(cluster string, services []string) []Reservation {
	var list []Reservation
	for _, service := range services {
		if reserved := p.ledgers[cluster].Account(service).Reserved; reserved > 0 {
			list = append(list, Reservation{Service: service, Amount: reserved})
		}
	}
	slices.SortStableFunc(list, func(a, b Reservation) int { return cmp.Compare(a.Amount, b.Amount) })
	return list
}

// moveExcessAway moves candidates away from a cluster until its capacity covers the remaining
// promises, or no candidate is left.
func (p *planner) moveExcessAway(from string, candidates []Reservation) error {
	for len(candidates) > 0 {
		excess := -p.freeAtEnd(from)
		if excess <= 0 {
			return nil
		}
		i := slices.IndexFunc(candidates, func(r Reservation) bool { return r.Amount >= excess })
		if i < 0 {
			i = len(candidates) - 1
		}
		if missing := p.placeElsewhere(candidates[i], from, excess); missing > 0 {
			return &MoveRejectedError{
				Move:  Key{From: from, Service: candidates[i].Service},
				Cause: &InsufficientCapacityError{Cluster: from, Missing: missing},
			}
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return nil
}

// placeElsewhere moves all of a service to one other cluster. If none has the capacity, it
// moves only the excess, to several clusters. If they lack capacity for that too, it moves
// nothing and returns the missing capacity.
func (p *planner) placeElsewhere(r Reservation, from string, excess Amount) (missing Amount) {
	free := p.freeElsewhere(from)
	if len(free) > 0 && free[0].amount >= r.Amount {
		p.distribute(r.Service, from, r.Amount, free)
		return 0
	}
	amount := min(r.Amount, excess)
	var sum Amount
	for _, f := range free {
		sum += f.amount
	}
	if sum < amount {
		return amount - sum
	}
	p.distribute(r.Service, from, amount, free)
	return 0
}

// freeCapacity is the capacity that a cluster has free after all pending moves.
type freeCapacity struct {
	cluster string
	amount  Amount
}

// freeElsewhere returns the free capacity of the other clusters, the largest first.
func (p *planner) freeElsewhere(from string) (list []freeCapacity) {
	for _, cluster := range p.names {
		if free := p.freeAtEnd(cluster); cluster != from && free > 0 {
			list = append(list, freeCapacity{cluster: cluster, amount: free})
		}
	}
	slices.SortStableFunc(list, func(a, b freeCapacity) int { return cmp.Compare(b.amount, a.amount) })
	return list
}

// distribute divides an amount among clusters with free capacity, in the order of free.
func (p *planner) distribute(service, from string, amount Amount, free []freeCapacity) {
	for _, f := range free {
		if part := min(amount, f.amount); part > 0 {
			p.addMove(Key{From: from, To: f.cluster, Service: service}, part)
			amount -= part
		}
	}
}
