package shard

import "fmt"

// The text of each error says what happened, the consequence, and what the
// operator has to do. errors.Is matches any error of the same type, whatever its
// fields hold.

// StaleEpochError reports a message or call that belongs to a past epoch.
type StaleEpochError struct {
	Shard int
	Epoch uint64
	Known uint64
}

func (e StaleEpochError) Error() string {
	return fmt.Sprintf("shard %d: message or call of epoch %d dropped, because epoch %d is known: nothing to do; "+
		"if this lasts for longer than a lease, one instance does not receive the agreed configuration "+
		"(docs/operators/shards.md, \"Mend\")", e.Shard, e.Epoch, e.Known)
}

// Is reports whether err has the same type.
func (StaleEpochError) Is(err error) bool { _, ok := err.(StaleEpochError); return ok }

// AttemptInFlightError reports a grant for a job that has an attempt in flight.
type AttemptInFlightError struct {
	Shard int
	ID    string
}

func (e AttemptInFlightError) Error() string {
	return fmt.Sprintf("shard %d: an attempt of job %q is in flight: the grant is not executed, nothing to do",
		e.Shard, e.ID)
}

// Is reports whether err has the same type.
func (AttemptInFlightError) Is(err error) bool { _, ok := err.(AttemptInFlightError); return ok }

// DuplicateJobError reports a job whose id the origin already has in its log.
type DuplicateJobError struct {
	Shard int
	ID    string
}

func (e DuplicateJobError) Error() string {
	return fmt.Sprintf("shard %d: job id %q is already in use: each id is accepted once and the second request is "+
		"rejected with 409: nothing to do on this instance; have the client use distinct ids", e.Shard, e.ID)
}

// Is reports whether err has the same type.
func (DuplicateJobError) Is(err error) bool { _, ok := err.(DuplicateJobError); return ok }

// JobFinishedError reports a grant for a job that is already answered.
type JobFinishedError struct {
	Shard int
	ID    string
}

func (e JobFinishedError) Error() string {
	return fmt.Sprintf("shard %d: job %q is already answered: the grant is not executed, nothing to do", e.Shard, e.ID)
}

// Is reports whether err has the same type.
func (JobFinishedError) Is(err error) bool { _, ok := err.(JobFinishedError); return ok }

// NotFoundError reports that a job, or the incarnation of an origin, is not
// known. ID names the job or the incarnation.
type NotFoundError struct {
	Shard int
	ID    string
}

func (e NotFoundError) Error() string {
	return fmt.Sprintf("shard %d: %q is not known: a grant for it is not executed, nothing to do; "+
		"the next reconciliation repairs the difference", e.Shard, e.ID)
}

// Is reports whether err has the same type.
func (NotFoundError) Is(err error) bool { _, ok := err.(NotFoundError); return ok }

// StaleAttemptError reports a grant whose attempt number does not match the
// number of attempts that the job's origin has begun.
type StaleAttemptError struct {
	Shard   int
	ID      string
	Attempt int // attempt number in the grant
	Begun   int // number of attempts begun
}

func (e StaleAttemptError) Error() string {
	return fmt.Sprintf("shard %d: a grant names attempt %d of job %q, but %d attempts have begun: the grant is "+
		"not executed, nothing to do", e.Shard, e.Attempt, e.ID, e.Begun)
}

// Is reports whether err has the same type.
func (StaleAttemptError) Is(err error) bool { _, ok := err.(StaleAttemptError); return ok }

// MayHaveRunError reports a grant that would start a job again that must not run
// twice any more, or reject it as never run, although the job may have run.
type MayHaveRunError struct {
	Shard int
	ID    string
}

func (e MayHaveRunError) Error() string {
	return fmt.Sprintf("shard %d: job %q may have run: it is neither started again nor rejected; if this recurs, "+
		"compare the classes' \"semantics\" in the platform's configurations of the job's origin and of the shard's "+
		"owner (docs/operators/shards.md, \"Read\")", e.Shard, e.ID)
}

// Is reports whether err has the same type.
func (MayHaveRunError) Is(err error) bool { _, ok := err.(MayHaveRunError); return ok }

// GrantRevokedError reports a grant that its owner has revoked.
type GrantRevokedError struct {
	Shard  int
	Number uint64
}

func (e GrantRevokedError) Error() string {
	return fmt.Sprintf("shard %d: grant %d was revoked by its owner: it is not executed, nothing to do",
		e.Shard, e.Number)
}

// Is reports whether err has the same type.
func (GrantRevokedError) Is(err error) bool { _, ok := err.(GrantRevokedError); return ok }

// GrantPendingError reports a second grant for a job whose previous grant is
// still pending.
type GrantPendingError struct {
	Shard int
	ID    string
}

func (e GrantPendingError) Error() string {
	return fmt.Sprintf("shard %d: the last grant for job %q is still pending: the job is decided again after its "+
		"origin has reported, nothing to do", e.Shard, e.ID)
}

// Is reports whether err has the same type.
func (GrantPendingError) Is(err error) bool { _, ok := err.(GrantPendingError); return ok }

// NotOwnerError reports a call that the shard's owner on this instance cannot
// serve in its current state.
type NotOwnerError struct {
	Shard int
	State State
}

func (e NotOwnerError) Error() string {
	return fmt.Sprintf("shard %d: its owner on this instance is %s: try again; if this lasts for longer than a lease, "+
		"see docs/operators/shards.md, \"Mend\"", e.Shard, e.State)
}

// Is reports whether err has the same type.
func (NotOwnerError) Is(err error) bool { _, ok := err.(NotOwnerError); return ok }

// OwnerFullError reports a job that its owner does not admit: the owner is full,
// or would not release the job before the client's timeout.
type OwnerFullError struct {
	Shard      int
	Tenant     string
	Jobs       int     // jobs that the owner knows
	RetryAfter float64 // seconds
}

func (e OwnerFullError) Error() string {
	return fmt.Sprintf("shard %d: its owner has %d jobs and would not release another of tenant %q in time: rejected, "+
		"Retry-After %.0f s; give the tenant a larger reservation or more workers (docs/operators/shards.md, \"Size\")",
		e.Shard, e.Jobs, e.Tenant, e.RetryAfter)
}

// Is reports whether err has the same type.
func (OwnerFullError) Is(err error) bool { _, ok := err.(OwnerFullError); return ok }

// TransferRejectedError reports that a transfer, or a message of a transfer, was
// rejected, and why.
type TransferRejectedError struct {
	Shard          int
	Epoch          uint64
	TransferNumber uint64
	Reason         string
}

func (e TransferRejectedError) Error() string {
	return fmt.Sprintf("shard %d: transfer %d of epoch %d is rejected: %s: the owner does not change or the next "+
		"message repairs it, nothing to do; if this recurs, see docs/operators/shards.md, \"Mend\"",
		e.Shard, e.TransferNumber, e.Epoch, e.Reason)
}

// Is reports whether err has the same type.
func (TransferRejectedError) Is(err error) bool { _, ok := err.(TransferRejectedError); return ok }

// NoMembersError reports that shards cannot be placed because no instance may own any.
type NoMembersError struct{ Shards int }

func (e NoMembersError) Error() string {
	return fmt.Sprintf("no instance may own any of the %d shards: start an instance, "+
		"or see docs/operators/shards.md, \"Switch on\"", e.Shards)
}

// Is reports whether err has the same type.
func (NoMembersError) Is(err error) bool { _, ok := err.(NoMembersError); return ok }

// OutsideDedupScopeError reports a Send of a job with an idempotency key that may
// have run, to a worker that would not recognise the job.
type OutsideDedupScopeError struct {
	Shard  int
	ID     string
	Worker string
}

func (e OutsideDedupScopeError) Error() string {
	return fmt.Sprintf("shard %d: job %q may have run, and worker %q would not recognise it as a duplicate: the "+
		"grant is not executed; if this lasts, the shard's owner runs an earlier build, or one of the two instances "+
		"lacks a worker in its endpoint list (docs/operators/shards.md, \"Read\")", e.Shard, e.ID, e.Worker)
}

// Is reports whether err has the same type.
func (OutsideDedupScopeError) Is(err error) bool { _, ok := err.(OutsideDedupScopeError); return ok }
