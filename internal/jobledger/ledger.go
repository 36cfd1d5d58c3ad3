package jobledger

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"example.org/bellstream/balance"
)

// RecordKind is the kind of a record. Its values are stored in files.
type RecordKind string

// Kinds of records.
const (
	JobAccepted     RecordKind = "take"
	LeaseGranted    RecordKind = "lease"
	LeaseResolved   RecordKind = "settle" // to NeverRan or Indeterminate
	JobCompleted    RecordKind = "report"
	JobAcknowledged RecordKind = "ack"
)

// Record is one transition of one job.
type Record struct {
	Kind         RecordKind          `json:"Kind"`
	ID           string              `json:"ID"`
	Idempotence  balance.Idempotence `json:"Repeat"`   // of JobAccepted
	Deadline     float64             `json:"Deadline"` // of JobAccepted
	Data         []byte              `json:"Data"`     // of JobAccepted
	Term         uint64              `json:"Term"`     // of LeaseGranted, LeaseResolved
	Worker       string              `json:"Worker"`   // of LeaseGranted
	Epoch        string              `json:"Epoch"`    // of LeaseGranted
	LeaseOutcome LeaseOutcome        `json:"Fate"`     // of LeaseResolved
	Outcome      Outcome             `json:"Outcome"`  // of JobCompleted
	Result       []byte              `json:"Result"`   // of JobCompleted, if it succeeded
}

// Ledger is the state of all jobs. It is not safe for concurrent use.
type Ledger struct{ jobs map[string]*Job }

// New returns an empty ledger.
func New() *Ledger { return &Ledger{jobs: map[string]*Job{}} }

// Job returns a job, or nil.
func (l *Ledger) Job(id string) *Job { return l.jobs[id] }

// IDs returns the IDs of all jobs in ascending order.
func (l *Ledger) IDs() []string { return slices.Sorted(maps.Keys(l.jobs)) }

// Forget removes a job if it is acknowledged, and reports whether it did. After that the
// ledger accepts a new job with the same ID, so the caller has to keep an acknowledged
// job for as long as the client may request its outcome.
func (l *Ledger) Forget(id string) bool {
	job := l.jobs[id]
	if job == nil || job.State != Acknowledged {
		return false
	}
	delete(l.jobs, id)
	return true
}

// ErrIllegal is wrapped by every error of Apply. Either the record is not a legal
// transition of its job, or the records are corrupt and contradict each other.
var ErrIllegal = errors.New("illegal transition")

func (r Record) illegal(format string, args ...any) error {
	return fmt.Errorf("%w: %s of job %q: %s", ErrIllegal, r.Kind, r.ID, fmt.Sprintf(format, args...))
}

// Apply applies the transition of a record. An illegal transition changes nothing and
// returns an error that wraps ErrIllegal. So does a record that was applied before. The
// log may contain such records after a crash between writing a snapshot and truncating
// the log; the caller has to skip the records that its snapshot contains.
func (l *Ledger) Apply(r Record) error {
	job := l.jobs[r.ID]
	if r.Kind == JobAccepted {
		return l.accept(job, r)
	}
	if job == nil {
		return r.illegal("no such job")
	}
	switch r.Kind {
	case LeaseGranted:
		return job.grantLease(r)
	case LeaseResolved:
		return job.applyLeaseOutcome(r)
	case JobCompleted:
		return job.complete(r)
	case JobAcknowledged:
		return job.acknowledge(r)
	}
	return r.illegal("unknown record kind")
}

func (l *Ledger) accept(existing *Job, r Record) error {
	switch {
	case r.ID == "":
		return r.illegal("empty ID")
	case existing != nil:
		return r.illegal("the job exists already and is %s", existing.State)
	}
	switch r.Idempotence {
	case balance.Idempotent, balance.IdempotentWithKey, balance.NonIdempotent:
	default:
		return r.illegal("unknown semantics %q", r.Idempotence)
	}
	l.jobs[r.ID] = &Job{
		ID:          r.ID,
		Idempotence: r.Idempotence,
		Deadline:    r.Deadline,
		Data:        r.Data,
		State:       Accepted,
	}
	return nil
}

func (j *Job) grantLease(r Record) error {
	if blocker := j.leaseBlocker(); blocker != "" {
		return r.illegal("%s", blocker)
	}
	if r.Term <= j.lastTerm() || r.Worker == "" {
		return r.illegal("term %d is not above %d, or worker %q is empty", r.Term, j.lastTerm(), r.Worker)
	}
	lease := Lease{Term: r.Term, Worker: r.Worker, Epoch: r.Epoch, Outcome: Open}
	j.Leases = append(slices.Clip(j.Leases), lease)
	j.State = Leased
	return nil
}

func (j *Job) applyLeaseOutcome(r Record) error {
	i := slices.IndexFunc(j.Leases, func(l Lease) bool { return l.Term == r.Term })
	isOpen := j.State == Leased && i >= 0 && j.Leases[i].Outcome == Open
	if !isOpen || r.LeaseOutcome != NeverRan && r.LeaseOutcome != Indeterminate {
		return r.illegal("the lease of term %d can't be resolved as %q while the job is %s",
			r.Term, r.LeaseOutcome, j.State)
	}
	j.Leases = slices.Clone(j.Leases)
	j.Leases[i].Outcome = r.LeaseOutcome
	j.State = Accepted
	return nil
}

func (j *Job) complete(r Record) error {
	if j.State != Accepted && j.State != Leased {
		return r.illegal("the job is %s", j.State)
	}
	if !j.allowsOutcome(r.Outcome) {
		return r.illegal("outcome %q is unknown, or not allowed because a lease may have run", r.Outcome)
	}
	j.State = Completed
	j.Outcome = r.Outcome
	j.Result = r.Result
	return nil
}

func (j *Job) allowsOutcome(outcome Outcome) bool {
	switch outcome {
	case Succeeded, Failed:
		return true
	case Rejected:
		return j.ProvenNotRun()
	}
	return false
}

func (j *Job) acknowledge(r Record) error {
	if j.State != Completed {
		return r.illegal("the job is %s", j.State)
	}
	j.State = Acknowledged
	return nil
}
