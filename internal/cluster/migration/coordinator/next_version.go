package coordinator

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/wire"
)

// maxPieces is the approximate number of pieces that a service is moved in if its
// destination lacks capacity for all of it.
const maxPieces = 32

// Next returns the table to propose after the one in force, or nil for no change. It may
// be called only while no version is pending.
func (c *Coordinator) Next(now float64) *config.Table {
	if !c.active() || now < c.proposeAfter || !c.reviewDue && now < c.lastReview+reviewSeconds {
		return nil
	}
	c.reviewDue = false
	c.lastReview = now
	n := c.newNextVersion(now)
	n.updateCapacity()
	n.enterReservations()
	n.applyMessages()
	n.updateRequests()
	n.beginMoves()
	for _, r := range n.state.DueRecords() {
		n.apply(r)
	}
	n.advanceMoves()
	return n.changedTable()
}

// nextVersion builds the next version of the table. Each record is applied to the result
// of the previous ones. Only the final state is proposed, and messages are sent only for
// a state that is in force.
type nextVersion struct {
	options  *Options
	progress *progress
	dropped  map[string]uint64
	now      float64
	table    *config.Table    // in force
	state    *migration.State // after the records applied so far

	stateInForce *migration.State
	issued       map[string]migration.Amount // reservations entered in this cluster's ledger, by service
}

func (c *Coordinator) newNextVersion(now float64) *nextVersion {
	n := &nextVersion{
		options:  &c.options,
		progress: &c.progress,
		dropped:  c.dropped,
		now:      now,
		table:    c.inForce.table,
		state:    c.inForce.state,

		stateInForce: c.inForce.state,
		issued:       map[string]migration.Amount{},
	}
	for _, e := range n.table.LedgerEntries {
		n.issued[e.Service] = amountOf(e.Issued)
	}
	return n
}

// changedTable returns the table with the new state, or nil if nothing has changed.
func (n *nextVersion) changedTable() *config.Table {
	table := *n.table
	if n.state != n.stateInForce { // an unchanged state keeps its bytes, which an older build may have written
		table.CapacityLedger = wire.MarshalState(n.state)
	}
	table.LedgerEntries = n.ledgerEntries()
	sameLedger := bytes.Equal(table.CapacityLedger, n.table.CapacityLedger)
	if sameLedger && slices.Equal(table.LedgerEntries, n.table.LedgerEntries) {
		return nil
	}
	return &table
}

// apply applies a record if it is allowed, and reports whether it was.
func (n *nextVersion) apply(r migration.Record) bool {
	state, err := n.state.Apply(r)
	n.state = state
	return err == nil
}

// applyTo applies a record to a move if it is allowed.
func (n *nextVersion) applyTo(m *migration.Move, r migration.Record) {
	r.Move = m.ID.Key
	r.Seq = m.ID.Seq
	n.apply(r)
}

func (n *nextVersion) updateCapacity() {
	cluster, _ := n.table.Cluster(n.options.Self)
	if capacity := amountOf(cluster.Capacity); capacity != n.state.Capacity {
		n.apply(migration.Record{Step: migration.StepSetCapacity, Amount: capacity})
	}
}

// enterReservations changes the reservations in the ledger to those of the config, for the
// services whose origin is this cluster. A reservation can be reduced only by an amount
// that is at this cluster and in no move.
func (n *nextVersion) enterReservations() {
	for _, p := range n.table.Placements {
		tenant, _ := n.table.Tenant(p.Service)
		if p.Origin != n.options.Self || tenant.Reservation == nil {
			continue
		}
		change := amountOf(*tenant.Reservation) - n.issued[p.Service]
		if change == 0 {
			continue
		}
		if n.apply(migration.Record{Step: migration.StepReserve, Service: p.Service, Amount: change}) {
			n.issued[p.Service] += change
		}
	}
}

// applyMessages applies the messages of other clusters. It ignores an offer until this
// cluster's config also places the service here. With an older config this cluster would
// send the service back, or lack the tenant.
func (n *nextVersion) applyMessages() {
	for _, m := range n.sortedMessages() {
		p, _ := n.table.Placement(m.ID.Service)
		if m.Type == migration.MessageOffer && p.Cluster != n.options.Self {
			continue
		}
		record, changes, err := n.state.RecordFor(m)
		if err != nil {
			n.dropped[droppedStaleMove]++
			delete(n.progress.lastMessages, m.ID)
		} else if changes {
			n.apply(record)
		}
	}
}

// sortedMessages returns the last messages in a deterministic order.
func (n *nextVersion) sortedMessages() []migration.Message {
	ids := slices.SortedFunc(maps.Keys(n.progress.lastMessages), compareIDs)
	messages := make([]migration.Message, len(ids))
	for i, id := range ids {
		messages[i] = n.progress.lastMessages[id]
	}
	return messages
}

func compareIDs(a, b migration.ID) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.From, b.From),
		cmp.Compare(a.To, b.To),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// updateRequests sets the directions of open moves according to the config, and ends the moves that
// an operator has force-released.
func (n *nextVersion) updateRequests() {
	moves := n.state.Moves
	for i := range moves {
		m := &moves[i]
		if m.End != migration.Open {
			continue
		}
		placement, placed := n.table.Placement(m.ID.Service)
		if placement.ForceRelease {
			n.applyTo(m, migration.Record{Step: migration.StepForceRelease})
			continue
		}
		if m.Source {
			direction := wantedDirection(m, placement, placed)
			n.applyTo(m, migration.Record{Step: migration.StepSetDirection, Direction: direction})
		}
	}
}

func wantedDirection(m *migration.Move, placement config.Placement, placed bool) migration.Direction {
	switch {
	case !placed || placement.Cluster == "":
		return migration.Stop
	case placement.Cluster == m.ID.To:
		return migration.Forward
	}
	return migration.Backward
}

// beginMoves offers services that the config places at other clusters, with at most
// MaxConcurrentMoves open moves to each cluster.
func (n *nextVersion) beginMoves() {
	open := map[string]int{}
	claimed := map[string]migration.Amount{}
	for i := range n.state.Moves {
		m := &n.state.Moves[i]
		if m.End != migration.Open {
			continue
		}
		claimed[m.ID.Service] += m.Local
		if m.Source {
			open[m.ID.To]++
		}
	}
	for _, p := range n.table.Placements {
		movable := n.state.Usable(p.Service) - claimed[p.Service]
		if movable <= 0 || !n.mayMoveTo(p) || open[p.Cluster] >= n.options.MaxConcurrentMoves {
			continue
		}
		if n.beginMove(p, movable) {
			open[p.Cluster]++
		}
	}
}

func (n *nextVersion) mayMoveTo(p config.Placement) bool {
	return !p.ForceRelease && slices.Contains(n.options.Peers, p.Cluster)
}

func (n *nextVersion) beginMove(p config.Placement, movable migration.Amount) bool {
	key := migration.Key{
		From:    n.options.Self,
		To:      p.Cluster,
		Service: p.Service,
	}
	amount := n.offerAmount(key, movable)
	if amount == 0 {
		return false
	}
	return n.apply(migration.Record{Step: migration.StepBeginMove, Move: key, Amount: amount})
}

// offerAmount returns the amount to offer, or 0 for no offer. After a rejection the
// destination is offered the amount that it had capacity for, and after RetrySeconds the
// full amount again.
func (n *nextVersion) offerAmount(key migration.Key, movable migration.Amount) migration.Amount {
	last := n.state.Move(key)
	if last == nil || last.End != migration.Rejected {
		return movable
	}
	since := firstTime(n.progress.rejectedAt, last.ID, n.now)
	if n.now >= since+n.options.RetrySeconds {
		return movable
	}
	piece := min(last.Amount-last.Shortfall, movable)
	if piece < max(1, movable/maxPieces) {
		return 0
	}
	return piece
}

// advanceMoves debits the amounts that the other sides can take, and ends settled moves.
func (n *nextVersion) advanceMoves() {
	moves := n.state.Moves
	for i := range moves {
		m := &moves[i]
		shift := n.options.Pacer.NextShift(m, n.progress.lastMessages[m.ID])
		if shift > 0 {
			n.applyTo(m, migration.Record{Step: migration.StepShift, Amount: shift})
			continue
		}
		n.finishSettled(m)
	}
}

// finishSettled ends a move that has been settled for SettledSeconds.
func (n *nextVersion) finishSettled(m *migration.Move) {
	if !m.Source || m.Stage() != migration.StageSettled || m.Request.Direction != migration.Forward {
		delete(n.progress.settledAt, m.ID)
		return
	}
	since := firstTime(n.progress.settledAt, m.ID, n.now)
	if n.now >= since+n.options.SettledSeconds {
		n.applyTo(m, migration.Record{Step: migration.StepFinish})
	}
}

// ledgerEntries returns the part of the state that the instances need, sorted by service.
func (n *nextVersion) ledgerEntries() (entries []config.LedgerEntry) {
	ledger := n.state.Ledger()
	for i, usable := range ledger.UsableReservations() {
		issued := n.issued[usable.Service]
		if ledger.Accounts[i].Total() > 0 || issued > 0 {
			entries = append(entries, config.LedgerEntry{
				Service: usable.Service,
				Usable:  usable.Amount.SlotStarts(),
				Issued:  issued.SlotStarts(),
			})
		}
		delete(n.issued, usable.Service)
	}
	for service, issued := range n.issued { // entered here, but all of it is at other clusters
		if issued > 0 {
			entries = append(entries, config.LedgerEntry{Service: service, Issued: issued.SlotStarts()})
		}
	}
	slices.SortFunc(entries, func(a, b config.LedgerEntry) int { return cmp.Compare(a.Service, b.Service) })
	return entries
}
