package balance

// Event is something that happened at this dispatcher.
type Event interface{ event() }

// JobArrived adds a job, which must get exactly one final answer.
type JobArrived struct {
	ID      string
	Class   string
	Tenant  string
	Timeout float64 // seconds until the client gives up; 0 or less: it does so at once
	Slots   float64 // 0 means 1
	Memory  float64
	Retry   bool // the client states that this is a retry
	// StartsNow makes the latency objective count from now, even if part of the client's timeout has passed.
	StartsNow bool
	// Accepted is the definition of the class with which the caller accepted the job, if that may have been under
	// an earlier configuration. Nil means the definition that is configured when the event is handled. It is not
	// modified. Its MaxWait counts from now.
	Accepted *Class
	// Age is how long ago the job arrived, in seconds, if it was held elsewhere before the caller got it.
	// It determines the job's place in the queue.
	Age float64
}

// ClientDisconnected reports that a job's client has disconnected: the job needs no answer any more.
type ClientDisconnected struct{ ID string }

// Outcome states how an attempt or a health check ended.
type Outcome string

// The outcomes. Unreachable, NotSent and Blocked prove that the job never ran, and so does Overloaded
// unless Config.OverloadedMayHaveRun is set.
const (
	Served          Outcome = "served"
	Failed          Outcome = "errored"
	Overloaded      Outcome = "full"
	TimedOut        Outcome = "timed_out"
	Unreachable     Outcome = "unreachable"
	ConnectionLost  Outcome = "broken"
	StaleConnection Outcome = "stale" // a reused connection was lost: does not count against the worker
	Cancelled       Outcome = "cancelled"
	NotSent         Outcome = "void"
	Blocked         Outcome = "barred" // not sent because conditions changed: does not count against the worker
)

// NeverRan reports whether an outcome proves that the worker did not run the job.
func (o Outcome) NeverRan() bool {
	switch o {
	case Overloaded, Unreachable, NotSent, Blocked:
		return true
	}
	return false
}

// AttemptDone reports the end of an attempt. There is exactly one for each Send.
type AttemptDone struct {
	ID          string
	Attempt     int
	Worker      string
	Outcome     Outcome
	JobFinished bool      // the client has its final answer, by this attempt or an earlier one
	Report      []float64 // the worker's load report, if one came with the answer
}

// AttemptStarted reports that the worker has started to run the job.
type AttemptStarted struct {
	ID      string
	Attempt int
}

// HealthCheckDone reports the result of a HealthCheck.
type HealthCheckDone struct {
	Worker  string
	Outcome Outcome
	Report  []float64
}

// TimerFired reports that the time of a SetTimer has passed.
type TimerFired struct{}

// Shutdown reports that this dispatcher stops now: every unanswered job gets its final answer, even while
// attempts are in flight.
type Shutdown struct{}

// QuotaUpdate is what the other dispatchers report about a tenant: the fraction of its reservation that
// this dispatcher may use from now on, and what the others have sent for it since the last update. Before
// the first update the fraction is 1 / Config.Dispatchers.
type QuotaUpdate struct {
	Tenant      string
	Allotment   float64 // 0 to 1
	RemoteUsage float64 // slots; negative if more jobs proved not to have run than were sent
}

// Cordon reports that operators exclude a worker, whatever its state in the endpoint list, or admit it
// again. The worker need not be in the list yet. Attempts in flight continue.
type Cordon struct {
	Worker   string
	Cordoned bool
}

// ConfigChanged replaces the entire configuration; one that Config.Check rejects changes nothing. Existing
// jobs keep the class definition with which they were accepted, but the new MaxAttempts applies to them, too.
// Tenants keep their tags. With TightenExisting, existing jobs are also bound by a class definition that
// allows fewer retries than before.
type ConfigChanged struct {
	Config          Config
	TightenExisting bool
}

// WorkerState is the state of a worker in the endpoint list.
type WorkerState string

// The states of a worker. Any other value is treated as Draining.
const (
	Running  WorkerState = "running"
	Draining WorkerState = "draining"
	Removed  WorkerState = "gone"
)

// WorkerInfo is one entry of the endpoint list.
type WorkerInfo struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     WorkerState
	StartedAt float64 // time of its last start by the caller's clock, in seconds; 0: long ago
}

// EndpointUpdateKind states how an EndpointUpdate relates to the list so far.
type EndpointUpdateKind string

// The kinds of endpoint updates.
const (
	EndpointsCached       EndpointUpdateKind = "saved"  // the complete list from a cache, possibly stale
	EndpointsSnapshot     EndpointUpdateKind = "full"   // the complete list; workers not in it count as removed
	EndpointsDelta        EndpointUpdateKind = "delta"  // changed entries only
	EndpointsFailed       EndpointUpdateKind = "failed" // a poll failed or the subscription broke
	EndpointsUnsubscribed EndpointUpdateKind = "lost"   // no subscription yet, or the server ended a working one
)

// EndpointUpdate reports a change of the endpoint list or of the subscription to it.
type EndpointUpdate struct {
	Kind    EndpointUpdateKind
	Workers []WorkerInfo
}

func (JobArrived) event()         {}
func (ClientDisconnected) event() {}
func (AttemptDone) event()        {}
func (AttemptStarted) event()     {}
func (HealthCheckDone) event()    {}
func (TimerFired) event()         {}
func (Shutdown) event()           {}
func (EndpointUpdate) event()     {}
func (QuotaUpdate) event()        {}
func (Cordon) event()             {}
func (ConfigChanged) event()      {}
func (SendAborted) event()        {}
func (ExportTenant) event()       {}
func (ImportTenant) event()       {}
