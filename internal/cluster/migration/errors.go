package migration

import "fmt"

const operatorsPage = "docs/operators/clusters.md"

// InsufficientCapacityError reports that a cluster lacks the capacity that was requested.
type InsufficientCapacityError struct {
	Cluster string
	Missing Amount
}

func (e *InsufficientCapacityError) Error() string {
	return fmt.Sprintf("cluster %q lacks capacity for %.6g slot-starts a second: "+
		"lower or move a reservation there, or start workers (%s, Mend)",
		e.Cluster, e.Missing.SlotStarts(), operatorsPage)
}

// MoveRejectedError reports that a record or a planned move is not allowed, and why.
// If capacity is missing, Cause is an *InsufficientCapacityError and Reason is empty.
type MoveRejectedError struct {
	Move   Key
	Reason string
	Cause  error
}

func (e *MoveRejectedError) Error() string {
	text := e.Move.String() + " rejected: "
	if e.Cause != nil {
		return text + e.Cause.Error()
	}
	return fmt.Sprintf("%s%s (%s, Mend)", text, e.Reason, operatorsPage)
}

// Unwrap returns the cause, or nil if there is none.
func (e *MoveRejectedError) Unwrap() error { return e.Cause }

// StaleMoveError reports a message or a record for a move other than the stored one.
// The state is unchanged.
type StaleMoveError struct {
	Move     ID
	KnownSeq uint64 // Seq of the stored move; 0 if none is stored
}

func (e *StaleMoveError) Error() string {
	return fmt.Sprintf("the %s does not match number %d, which is stored here: "+
		"nothing is to be done unless this persists; then compare both clusters' records (%s, Mend)",
		e.Move, e.KnownSeq, operatorsPage)
}
