package consensus

import (
	"errors"
	"fmt"
)

const operatorsPage = "docs/operators/accord.md, Mend"

const outcomeUnknownHint = "; the proposal may still be committed: read the current state before you propose it again"

// ErrClosed is returned by operations on a closed node or client.
var ErrClosed = errors.New("consensus: closed")

// NoQuorumError is returned if no majority of the voters has confirmed an
// operation in time, or no leader is known.
type NoQuorumError struct {
	OutcomeUnknown bool  // the proposal may still be committed
	Err            error // why the wait ended, such as the context's error; may be nil
}

func (e *NoQuorumError) Error() string {
	text := "consensus: no majority of the voters responds: " +
		"start the voters that are down or repair the network between them (" + operatorsPage + ")"
	if e.OutcomeUnknown {
		text += outcomeUnknownHint
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns e.Err.
func (e *NoQuorumError) Unwrap() error { return e.Err }

// NotLeaderError is returned by a voter that is not the leader. It names the leader.
type NotLeaderError struct{ Leader, Address string }

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("consensus: the leader is %q at %s: propose there, with that instance's file and SIGHUP",
		e.Leader, e.Address)
}

// TooLargeError is returned for a proposal, request, response or snapshot beyond
// the limit, and for an empty proposal.
type TooLargeError struct{ Size, Limit int } // in bytes

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("consensus: size is %d bytes, at most %d are allowed: make the rules block smaller (%s)",
		e.Size, e.Limit, operatorsPage)
}

// OverloadedError is returned if a bounded queue is full. The operation has had
// no effect.
type OverloadedError struct{ Queue string }

func (e *OverloadedError) Error() string {
	return "consensus: too many " + e.Queue + " are pending: ask again later, or less often"
}

// DiskFullError is returned while there is no space to write the voter's file.
// The voter does not vote, and resumes by itself once there is space.
type DiskFullError struct {
	Path           string
	OutcomeUnknown bool // the proposal may still be committed
}

func (e *DiskFullError) Error() string {
	text := fmt.Sprintf("consensus: no space to write %s: make room on its disk; the voter then goes on by itself",
		e.Path)
	if e.OutcomeUnknown {
		text += outcomeUnknownHint
	}
	return text
}

// CorruptFileError is returned if the voter's file, or one record of it, is corrupt
// or inconsistent, or could not be written. The voter does not vote with this file.
type CorruptFileError struct {
	Path   string
	Record string // empty if the error concerns the entire file
	Err    error
}

func (e *CorruptFileError) Error() string {
	place := e.Path
	if e.Record != "" {
		place += ", " + e.Record
	}
	return fmt.Sprintf("consensus: %s: %v: keep the file for an investigation, "+
		"and replace this voter by one with another name and an empty directory (%s)", place, e.Err, operatorsPage)
}

// Unwrap returns the cause.
func (e *CorruptFileError) Unwrap() error { return e.Err }

// DataLostError is returned by a voter whose file was lost: the cluster's members
// have its name with another file's seed. The votes that it may have cast are lost
// with the file, so it never votes again.
type DataLostError struct{ Name, Dir string }

func (e *DataLostError) Error() string {
	return fmt.Sprintf("consensus: the file of voter %q in %s is lost, so this voter does not vote: "+
		"replace it by a voter with another name (%s)", e.Name, e.Dir, operatorsPage)
}

// NotVoterError is returned by a node that is not a voter, or does not know yet
// whether it is one.
type NotVoterError struct{ Name, Reason string }

func (e *NotVoterError) Error() string {
	return fmt.Sprintf("consensus: %q does not vote: %s (%s)", e.Name, e.Reason, operatorsPage)
}

// ChangeRejectedError is returned for a change of voters that is not possible.
type ChangeRejectedError struct{ Reason string }

func (e *ChangeRejectedError) Error() string {
	return "consensus: change of voters rejected: " + e.Reason + " (" + operatorsPage + ")"
}

// UnreachableError is returned if there was no response from an address.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("consensus: no response from %s: see whether the instance there is running "+
		"and reachable (%s): %v",
		e.Address, operatorsPage, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// WrongClusterError is returned if the voter at an address belongs to another
// cluster than those that responded before.
type WrongClusterError struct{ Address string }

func (e *WrongClusterError) Error() string {
	return fmt.Sprintf("consensus: the voter at %s belongs to another cluster: correct the voters' addresses; "+
		"if the cluster was recreated on purpose, restart this instance (%s)", e.Address, operatorsPage)
}

// UnavailableError is returned if a voter can neither handle nor forward a request.
type UnavailableError struct{ Address, Reason string }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("consensus: the voter at %s can't handle the request: %s", e.Address, e.Reason)
}
