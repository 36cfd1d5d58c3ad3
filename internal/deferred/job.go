package deferred

import "fmt"

// Outcome is how a job ended, as seen by the jobs that depend on it.
type Outcome int

// The outcomes. A job becomes eligible only when all jobs that it depends on are Served.
const (
	Served    Outcome = iota + 1
	Failed            // the job may have run, or can never run
	Refused           // the job did not run, and a retry may help
	Abandoned         // the client disconnected
	Unknown           // no job with this id arrived within the grace period
)

// String returns the outcome as it is written in answers to clients.
func (o Outcome) String() string {
	return [...]string{"", "served", "failed", "refused", "left by its client", "unknown here"}[o]
}

// Job is a job that may be deferred. Times are in seconds on the store's clock.
type Job struct {
	ID        string
	DependsOn []string // ids of jobs that must be served first
	NotBefore float64  // earliest start time; 0: none
	Deadline  float64  // when the job is handed over even if it is not eligible
	Size      int64    // bytes
}

// Cause is why a job will never be eligible.
type Cause struct {
	Parent  string // id of the job whose outcome started the cascade
	Outcome Outcome
}

// Retryable reports whether a retry may help. If not, the parent will never be served, so no job that depends
// on it can become eligible.
func (c Cause) Retryable() bool { return c.Outcome == Refused || c.Outcome == Unknown }

// String returns the cause as it is written in answers to clients.
func (c Cause) String() string {
	return fmt.Sprintf("job %s, which this one waits for, is %s", c.Parent, c.Outcome)
}

// Names of the request's fields in errors.
const (
	fieldDependsOn = "Wait-For"
	fieldNotBefore = "Not-Before"
)

// InvalidDependencyError reports a dependency or start time in a request that is invalid.
type InvalidDependencyError struct {
	Field  string // Wait-For or Not-Before
	Reason string
}

// Error returns the field and the reason.
func (e *InvalidDependencyError) Error() string { return e.Field + ": " + e.Reason }

func invalidDependency(format string, args ...any) error {
	return &InvalidDependencyError{Field: fieldDependsOn, Reason: fmt.Sprintf(format, args...)}
}

// LimitError reports that a job can't be deferred because a limit has been reached. Resource is what is limited.
type LimitError struct{ Resource string }

// Error names the limited resource.
func (e *LimitError) Error() string { return "too many " + e.Resource + " wait here" }

// ParentFailedError reports that a job depends on one that has ended without being served.
type ParentFailedError struct{ Cause }

// Error returns the cause as text.
func (e *ParentFailedError) Error() string { return e.String() }

// Due is a job that leaves the store.
type Due struct {
	ID string

	// Cause is nil for a job that goes to the scheduler, either because it is eligible or because its deadline
	// has passed and the scheduler has to answer it. A job with a Cause has ended.
	Cause   *Cause
	Expired bool // the job was handed over before it was eligible: its deadline passed, or see ExpireAll
}
