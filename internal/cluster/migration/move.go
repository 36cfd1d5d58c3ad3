package migration

import (
	"cmp"
	"fmt"
	"strings"
)

// Key identifies a service, the cluster that it leaves and the cluster that it goes to.
// At most one move of a key is open at a time.
type Key struct{ From, To, Service string }

func (k Key) compare(other Key) int {
	return cmp.Or(
		strings.Compare(k.Service, other.Service),
		strings.Compare(k.From, other.From),
		strings.Compare(k.To, other.To),
	)
}

// String returns the move's name for messages to operators. It leaves out unknown clusters.
func (k Key) String() string {
	text := fmt.Sprintf("move of %q", k.Service)
	if k.From != "" {
		text += fmt.Sprintf(" from %q", k.From)
	}
	if k.To != "" {
		text += fmt.Sprintf(" to %q", k.To)
	}
	return text
}

// ID identifies one move. Seq is 1 for a key's first move and increases by 1 with each later one.
type ID struct {
	Key
	Seq uint64
}

func (i ID) String() string { return fmt.Sprintf("%s, number %d", i.Key, i.Seq) }

// Direction is the direction that the source's config requests for a move.
type Direction string

// The directions.
const (
	Forward  Direction = "forward"
	Backward Direction = "back" // shifts lead back to the source
	Stop     Direction = "stop" // no further shift in either direction; the escrow stays
)

func (d Direction) valid() bool { return d == Forward || d == Backward || d == Stop }

// DirectionRequest is a requested direction. Its number prevents an older request from
// replacing a newer one.
type DirectionRequest struct {
	Number    uint64
	Direction Direction
}

// EndReason is why a side has ended a move. After the end the side issues no debit and
// applies no credit for the move. The values are those of the status output.
type EndReason string

// The end reasons.
const (
	Open          EndReason = ""         // not ended
	Completed     EndReason = "freed"    // the full amount is on one side
	EndedByPeer   EndReason = "told"     // the other side has ended the move
	Rejected      EndReason = "refused"  // the destination lacked capacity for the offer
	ForceReleased EndReason = "released" // ended by an operator's command
)

// Stage is the progress of a move as one side knows it. The values are those of the status output.
type Stage string

// The stages.
const (
	StageOffered  Stage = "offered"  // the source does not know whether the destination holds capacity
	StageEscrowed Stage = "held"     // the destination holds capacity for the full amount
	StageShifting Stage = "shifting" // the first number was issued, and the move is not settled
	StageSettled  Stage = "settled"  // the full amount is usable at the destination
	StageEnded    Stage = "free"     // this side has ended the move
)

// Move is one side's record of a move. Every shift and every pass of the token has the
// next number, which the side with the token issues. At most one number is
// unacknowledged at a time.
type Move struct {
	ID               ID
	Source           bool        // this side is the source
	Amount           Amount      // total that is to change clusters
	Local            Amount      // part of Amount that is usable on this side
	Number           uint64      // the last number that this side has issued or applied
	HasToken         bool        // this side issues the next number
	Unacknowledged   MessageType // MessageShift or MessageTokenPass issued by this side as Number; empty: none
	InTransit        Amount      // amount of the unacknowledged shift
	DestinationReady bool        // on the source: the destination is known to hold the capacity
	Request          DirectionRequest
	End              EndReason
	Closed           bool   // both sides are known to have ended the move, so that the key's next move may begin
	Shortfall        Amount // for Rejected: the capacity that was missing
}

// Stage returns the progress of the move as this side knows it.
func (m *Move) Stage() Stage {
	switch {
	case m.End != Open:
		return StageEnded
	case m.Source && !m.DestinationReady:
		return StageOffered
	case m.Number == 0:
		return StageEscrowed
	case m.settled():
		return StageSettled
	}
	return StageShifting
}

// settled reports whether this side knows that the full amount of an open move is at the destination.
func (m *Move) settled() bool {
	if m.Unacknowledged != "" || m.HasToken != m.Source {
		return false
	}
	if m.Source {
		return m.Local == 0
	}
	return m.Local == m.Amount
}

// Escrow returns the capacity that this side holds for amounts that may arrive or return; 0
// after the end of the move.
func (m *Move) Escrow() Amount {
	if m.End != Open {
		return 0
	}
	return m.Amount - m.Local - m.InTransit
}

// mayIssue reports whether this side may issue the next number of an open move.
func (m *Move) mayIssue() bool { return m.End == Open && m.HasToken && m.Unacknowledged == "" }

// Shiftable returns the largest amount that this side may debit in a shift now; 0 if none.
func (m *Move) Shiftable() Amount {
	if !m.mayIssue() {
		return 0
	}
	if m.Source && (!m.DestinationReady || m.Request.Direction != Forward) {
		return 0
	}
	if !m.Source && m.Request.Direction != Backward {
		return 0
	}
	return m.Local
}

// Err returns a *MoveRejectedError if the destination rejected the move, and nil otherwise.
func (m *Move) Err() error {
	if m.End != Rejected {
		return nil
	}
	cause := &InsufficientCapacityError{
		Cluster: m.ID.To,
		Missing: m.Shortfall,
	}
	return &MoveRejectedError{Move: m.ID.Key, Cause: cause}
}
