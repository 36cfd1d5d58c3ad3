// Package jobledger holds the states of durable jobs and their legal
// transitions. It does no I/O and reads no clock. Each transition is a record that
// the caller makes durable; applying a job's records in order gives its state.
// docs/design/leases.md has the reasons for the rules.
//
// The caller must not act on a record before the record is durable: it acknowledges
// a submission after the JobAccepted record, starts an attempt after the
// LeaseGranted record, and sends a response after the JobCompleted record.
package jobledger

import (
	"slices"

	"example.org/bellstream/balance"
)

// State is the state of a job.
type State string

// States.
const (
	Accepted     State = "taken"        // no lease is open
	Leased       State = "leased"       // a lease is open: the job may be running, or have run
	Completed    State = "reported"     // the final outcome is known
	Acknowledged State = "acknowledged" // the client has received the outcome
)

// Outcome is the final outcome of a job.
type Outcome string

// Outcomes.
const (
	Succeeded Outcome = "served"
	Rejected  Outcome = "refused" // it never ran and never will
	Failed    Outcome = "failed"  // it may have run
)

// LeaseOutcome is what is known about the run of a lease.
type LeaseOutcome string

// Outcomes of a lease.
const (
	Open          LeaseOutcome = "open"    // the job may be running, or start later
	NeverRan      LeaseOutcome = "void"    // the job did not run under this lease and never will
	Indeterminate LeaseOutcome = "unknown" // the job may have run, and this can't be found out any more
)

// Lease allows one worker to run a job once.
type Lease struct {
	Term    uint64 // the fencing token; increases with each lease of the job
	Worker  string
	Epoch   string // of the worker process that got the lease
	Outcome LeaseOutcome
}

// Job is the state of one job. It is modified by Ledger.Apply only.
type Job struct {
	ID          string
	Idempotence balance.Idempotence
	Deadline    float64 // Unix time in seconds
	Data        []byte  // the request, kept so that the job can be started after a crash
	State       State
	Leases      []Lease
	Outcome     Outcome
	Result      []byte
}

// lastTerm returns the term of the latest lease, which is the highest one; 0 if there is none.
func (j *Job) lastTerm() uint64 {
	if len(j.Leases) == 0 {
		return 0
	}
	return j.lastLease().Term
}

func (j *Job) lastLease() Lease { return j.Leases[len(j.Leases)-1] }

// ProvenNotRun reports whether it is proven that the job has not run and that none of
// its leases can still run it.
func (j *Job) ProvenNotRun() bool {
	return !slices.ContainsFunc(j.Leases, func(l Lease) bool { return l.Outcome != NeverRan })
}

// leaseBlocker returns the reason why no lease may be granted; empty if one may. An open
// lease blocks further leases of the job, whatever its idempotence, so attempts of a job
// never overlap. An indeterminate lease blocks further leases only if the job is not
// idempotent. For a job that is idempotent with a key, the caller chooses workers that
// know the key.
func (j *Job) leaseBlocker() string {
	switch {
	case j.State != Accepted:
		return "the job is " + string(j.State)
	case j.Idempotence == balance.NonIdempotent && !j.ProvenNotRun():
		return "the job may have run and must not run twice"
	}
	return ""
}

// CanLease reports whether a lease of the job may be granted now.
func (j *Job) CanLease() bool { return j.leaseBlocker() == "" }

// NewLease returns the record that leases the job to a worker process, with the next term.
func (j *Job) NewLease(worker, epoch string) Record {
	return Record{Kind: LeaseGranted, ID: j.ID, Term: j.lastTerm() + 1, Worker: worker, Epoch: epoch}
}

// RecordFromRejection returns the record for a lease that its worker has rejected, if the
// rejection proves that the job did not start. The lease is identified by its term. It
// returns false if that lease is not open.
func (j *Job) RecordFromRejection(term uint64) (Record, bool) {
	if j.State != Leased || j.lastTerm() != term {
		return Record{}, false
	}
	return j.resolveLease(term, NeverRan), true
}

func (j *Job) resolveLease(term uint64, outcome LeaseOutcome) Record {
	return Record{Kind: LeaseResolved, ID: j.ID, Term: term, LeaseOutcome: outcome}
}

// CompleteUnserved returns the record that completes a job which will not be served,
// because its deadline has passed or no lease may be granted; false if the job is completed
// already. The outcome is Rejected if it is proven that the job has not run, else Failed.
func (j *Job) CompleteUnserved() (Record, bool) {
	if j.State != Accepted && j.State != Leased {
		return Record{}, false
	}
	outcome := Failed
	if j.ProvenNotRun() {
		outcome = Rejected
	}
	return Record{Kind: JobCompleted, ID: j.ID, Outcome: outcome}, true
}

// Action is what the caller has to do next for a job.
type Action string

// Actions.
const (
	ActionSchedule    Action = "offer" // find a worker and grant a lease
	ActionQueryWorker Action = "query" // send a status query to the worker of the open lease
	ActionFail        Action = "fail"  // the outcome is indeterminate, and the job must not run twice
	ActionRespond     Action = "answer"
	ActionNone        Action = "rest"
)

// NextAction returns what has to be done next for the job. The answer depends only on the
// records, so it is also valid right after a restart.
func (j *Job) NextAction() Action {
	switch j.State {
	case Acknowledged:
		return ActionNone
	case Completed:
		return ActionRespond
	case Leased:
		return ActionQueryWorker
	}
	if j.CanLease() {
		return ActionSchedule
	}
	return ActionFail
}
