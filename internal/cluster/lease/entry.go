package lease

import (
	"fmt"

	"example.org/bellstream/internal/cluster/config"
)

// Limits of the fields of entries and of the state.
const (
	MaxNameBytes     = 128 // of an instance or a cluster
	MaxTableBytes    = config.MaxTableBytes
	MaxHistoryLength = 64 // number of changes kept in the state
	MaxChangeKeys    = 16 // number of keys kept per change
	MaxKeyBytes      = 256
)

// EntryKind is the type of an entry of the replicated log.
type EntryKind uint8

// The kinds of entries.
const (
	EntryIdentify    EntryKind = 1 // sets the cluster's identity; the first entry of a log
	EntryPropose     EntryKind = 2 // adds a version
	EntryAdvance     EntryKind = 3 // moves a version to its next stage
	EntryExtendLease EntryKind = 4 // raises the longest lease that may have been granted
)

// String returns the name under which operators see the kind.
func (k EntryKind) String() string {
	switch k {
	case EntryIdentify:
		return "identity"
	case EntryPropose:
		return "proposal"
	case EntryAdvance:
		return "step"
	case EntryExtendLease:
		return "lease"
	}
	return "unknown entry"
}

// Entry is one transition of the state, an entry of the replicated log.
// View.Proposal creates entries of the kind EntryPropose.
type Entry struct {
	Kind EntryKind

	// Cluster is set in EntryIdentify.
	Cluster string

	// The fields of EntryPropose. The proposer computes Exclusive, Withdraws,
	// Keys and OmittedKeys once. They depend only on replicated versions: the
	// proposed one, Base, and the one in force while Base is being rolled out.
	Base        uint64
	Proposer    string
	Table       []byte
	Exclusive   bool // has an exclusive conflict with Base
	Withdraws   bool // restores the version in force while Base is being rolled out
	Keys        []string
	OmittedKeys int

	// The fields of EntryAdvance.
	Version     uint64
	TargetStage Stage
	Term        uint64 // of the leader that proposed the transition

	// LeaseSeconds is set in EntryExtendLease. It includes the clock drift.
	LeaseSeconds float64
}

// String describes the entry for operators.
func (e Entry) String() string {
	switch e.Kind {
	case EntryPropose:
		return fmt.Sprintf("the proposal by %s based on version %d", e.Proposer, e.Base)
	case EntryAdvance:
		return fmt.Sprintf("the advance of version %d to %s in term %d", e.Version, e.TargetStage, e.Term)
	}
	return "the " + e.Kind.String()
}

// setConflicts records how the proposed table differs from its base.
func (e *Entry) setConflicts(conflicts []config.Conflict) {
	for _, c := range conflicts {
		if c.Kind == config.Exclusive {
			e.Exclusive = true
		}
		if len(e.Keys) == MaxChangeKeys {
			e.OmittedKeys++
			continue
		}
		e.Keys = append(e.Keys, truncateKey(c.Key))
	}
}

// validate checks the fields of the entry's kind. Names and keys have to be
// valid UTF-8, since others can't be encoded. Its error is a
// *CorruptMessageError, or an *UnsupportedFormatError if the kind is unknown.
func (e Entry) validate() error {
	reason := ""
	switch e.Kind {
	case EntryIdentify:
		if !validName(e.Cluster) {
			reason = "invalid cluster name"
		}
	case EntryPropose:
		if !e.validProposal() {
			reason = "invalid proposer, table or keys"
		}
	case EntryAdvance:
		if !e.validAdvance() {
			reason = reasonInvalidField
		}
	case EntryExtendLease:
		if !(e.LeaseSeconds > 0 && e.LeaseSeconds <= MaxLeaseSeconds*(1+MaxClockDrift)) {
			reason = reasonInvalidField
		}
	default:
		return &UnsupportedFormatError{Subject: subjectEntry}
	}
	if reason != "" {
		return &CorruptMessageError{Subject: e.Kind.String(), Reason: reason}
	}
	return nil
}

func (e Entry) validProposal() bool {
	return validName(e.Proposer) && len(e.Table) > 0 && len(e.Table) <= MaxTableBytes &&
		validKeys(e.Keys) && e.OmittedKeys >= 0
}

func (e Entry) validAdvance() bool {
	return e.Version != 0 && e.Term != 0 && (e.TargetStage == StageIntersection || e.TargetStage == StageInForce)
}
