package coordinator

import "fmt"

const operatorsPage = "docs/operators/clusters.md"

// InvalidLedgerError reports that the migration state in the config can't be used. While
// it can't, this cluster neither changes the state nor sends messages.
type InvalidLedgerError struct {
	Self  string
	Owner string // cluster that the state belongs to; empty if it can't be decoded
	Cause error
}

func (e *InvalidLedgerError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the capacity ledger of cluster %q can't be decoded (%v): moves are suspended; "+
			"upgrade this instance, or let an instance that can decode it lead (%s, Mend)",
			e.Self, e.Cause, operatorsPage)
	}
	return fmt.Sprintf("the capacity ledger in the rules is that of cluster %q: moves are suspended; "+
		"correct clusters.self, which is %q, and restart", e.Owner, e.Self)
}

// Unwrap returns the cause, or nil if there is none.
func (e *InvalidLedgerError) Unwrap() error { return e.Cause }

// BlockedPlacementError reports why a service with a placement does not migrate,
// or has no reservation.
type BlockedPlacementError struct{ Service, Reason string }

func (e *BlockedPlacementError) Error() string {
	return fmt.Sprintf("placement %q: %s (%s, Mend)", e.Service, e.Reason, operatorsPage)
}
