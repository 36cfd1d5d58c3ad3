package balance

// Action is something that the caller has to carry out.
type Action interface{ action() }

// Send starts an attempt, which may last until the client gives up. The attempts of a job are numbered
// 0, 1, 2 ... The caller reports the end of each with one AttemptDone.
type Send struct {
	ID     string
	Worker string
}

// Reject is a final answer: the job was not served, and the client may safely retry it.
type Reject struct {
	ID         string
	RetryAfter float64 // seconds that the client should wait before a retry; 0: no advice
}

// Fail is a final answer: the job was not served, and it is unknown whether it took effect.
type Fail struct{ ID string }

// Cancel tells the caller to stop waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// HealthCheck requests a load report from a worker. The caller answers with one HealthCheckDone.
type HealthCheck struct{ Worker string }

// SetTimer requests a TimerFired after the given number of seconds.
type SetTimer struct{ After float64 }

// Subscribe requests all later changes of the endpoint list. The caller answers with one EndpointUpdate.
type Subscribe struct{}

// Log requests that a line is written to the operators' log.
type Log struct{ Text string }

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Cancel) action()         {}
func (HealthCheck) action()    {}
func (SetTimer) action()       {}
func (Subscribe) action()      {}
func (Log) action()            {}
func (TenantExported) action() {}
