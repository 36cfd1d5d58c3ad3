package lease

import (
	"fmt"
	"strings"
)

// docsPage is the page to which error messages refer operators.
const docsPage = "docs/operators/accord.md"

// InvalidSettingError reports a setting of the accord block that can't be used.
type InvalidSettingError struct {
	Key    string
	Reason string
}

func (e *InvalidSettingError) Error() string { return e.Key + ": " + e.Reason }

// ExpiredError reports that an instance holds no lease, so it must not act on
// any version.
type ExpiredError struct {
	KnownRevision  Revision // the highest revision that the instance has received
	ExpiredSeconds float64  // time since the lease expired; 0 if there has been no lease
}

func (e *ExpiredError) Error() string {
	state := "no lease has been granted yet"
	if e.ExpiredSeconds > 0 {
		state = fmt.Sprintf("the lease of %s expired %.3g s ago", e.KnownRevision, e.ExpiredSeconds)
	}
	return state + ": check that this instance reaches the voters of the accord block, " +
		"and that most of them run (" + docsPage + ")"
}

// StaleProposalError rejects a proposal whose base is not the newest version.
type StaleProposalError struct {
	Base    uint64
	Newest  uint64
	Changes []Change // versions after Base, oldest first; those that the history no longer has are missing
}

func (e *StaleProposalError) Error() string {
	changes := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		changes[i] = c.String()
	}
	return fmt.Sprintf("the proposal is based on version %d, but %d is the newest (%s): "+
		"update the file to match it, then send SIGHUP again", e.Base, e.Newest, strings.Join(changes, "; "))
}

// ProposalInProgressError rejects a proposal while another version is being rolled out.
type ProposalInProgressError struct {
	Revision Revision
	Proposer string
}

func (e *ProposalInProgressError) Error() string {
	return fmt.Sprintf("%s, proposed by %s, is being rolled out: send SIGHUP again once it is in force, or, "+
		"to cancel it, with the rules that are in force now (%s)", e.Revision, e.Proposer, docsPage)
}

// ClusterMismatchError reports a message between two different clusters.
type ClusterMismatchError struct {
	Local  string
	Remote string
}

func (e *ClusterMismatchError) Error() string {
	return fmt.Sprintf("this is cluster %q, the other side is of %q: correct the voters of the accord block; "+
		"to move an instance to another cluster for good, stop it and start it with an empty accord.folder",
		e.Local, e.Remote)
}

// StateLostError reports that the voters, or the state of this instance, have a lower revision than one that was
// agreed on before.
type StateLostError struct {
	Known    Revision
	Reported Revision
}

func (e *StateLostError) Error() string {
	return fmt.Sprintf("%s was agreed on before, but the voters now have %s: most of them have lost their files; "+
		"instances act on no older rules, so propose newer ones (%s)", e.Known, e.Reported, docsPage)
}

// NotLeaderError reports that the instance does not lead the voters.
type NotLeaderError struct{}

func (e *NotLeaderError) Error() string {
	return "this instance does not lead the voters: nothing to do, " +
		"clients find the leader (admin, /accord)"
}

// NotReadyError reports that the leader can't grant leases yet.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "no lease can be granted yet: " + e.Reason }

// TooManyHoldersError rejects a holder beyond MaxHolders.
type TooManyHoldersError struct{}

func (e *TooManyHoldersError) Error() string {
	return fmt.Sprintf("%d instances hold leases, which is the maximum: stop some, "+
		"or divide them into two clusters by accord.cluster and accord.voters", MaxHolders)
}

// StaleEntryError reports that an entry changed nothing because it was proposed
// in another term, or for another version or stage than the next one.
type StaleEntryError struct{ Entry string }

func (e *StaleEntryError) Error() string {
	return e.Entry + " was applied too late and had no effect: nothing to do, the current leader proposes it again"
}

// CorruptMessageError reports bytes that can't be decoded.
type CorruptMessageError struct {
	Subject string
	Reason  string
}

func (e *CorruptMessageError) Error() string {
	return fmt.Sprintf("%s can't be decoded (%s): if it was read from disk, stop this instance, "+
		"move accord.folder away and start it again", e.Subject, e.Reason)
}

// UnsupportedFormatError reports an entry that only newer builds can decode.
type UnsupportedFormatError struct{ Subject string }

func (e *UnsupportedFormatError) Error() string {
	return e.Subject + " is from a newer build: upgrade this instance (docs/operators/upgrade.md)"
}
