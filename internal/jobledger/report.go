package jobledger

// StatusQuery asks a worker for the status of a job. It also fences the job: after it, the
// worker rejects leases of a lower term, so that a start message that is still in transit
// can't start the job after the worker has replied WorkerNeverStarted.
type StatusQuery struct {
	ID     string
	Worker string
	Term   uint64 // above that of the lease in question
}

// StatusQuery returns the query about the open lease; false if no lease is open.
func (j *Job) StatusQuery() (StatusQuery, bool) {
	if j.State != Leased {
		return StatusQuery{}, false
	}
	lease := j.lastLease()
	return StatusQuery{j.ID, lease.Worker, lease.Term + 1}, true
}

// WorkerStatus is the status of a job on a worker.
type WorkerStatus string

// Statuses on a worker.
const (
	WorkerCompleted    WorkerStatus = "ran"     // with a result
	WorkerFailed       WorkerStatus = "broke"   // it ran and failed
	WorkerRunning      WorkerStatus = "running" // it was started and has not ended
	WorkerNeverStarted WorkerStatus = "never"   // this worker process has never seen it, and lower terms are fenced
)

// StatusReport is a worker's reply to a query, or a report that the worker sends unasked.
type StatusReport struct {
	ID     string
	Worker string // the sender
	Term   uint64 // of the query, or of the lease that the report is about
	Epoch  string // of the sending worker process
	Status WorkerStatus
	Result []byte
}

// RecordFromReport returns the record that follows from a report; false if none follows
// because the report answers an older query or contains nothing new. A missing report
// never leads to a record, however long it has been missing.
func (j *Job) RecordFromReport(r StatusReport) (Record, bool) {
	if j.State != Leased || r.ID != j.ID {
		return Record{}, false
	}
	switch r.Status {
	case WorkerCompleted:
		return Record{Kind: JobCompleted, ID: j.ID, Outcome: Succeeded, Result: r.Result}, true
	case WorkerFailed:
		return Record{Kind: JobCompleted, ID: j.ID, Outcome: Failed}, true
	case WorkerNeverStarted:
		return j.recordFromNeverStarted(r)
	}
	return Record{}, false
}

// recordFromNeverStarted ignores reports of workers other than the lease's: a lease whose
// record was lost in a crash may have had the same term, and a report on it may arrive late.
func (j *Job) recordFromNeverStarted(r StatusReport) (Record, bool) {
	lease := j.lastLease()
	if r.Term <= lease.Term || r.Worker != lease.Worker {
		return Record{}, false
	}
	if r.Epoch != lease.Epoch {
		return j.resolveLease(lease.Term, Indeterminate), true // it may have run in the worker's previous process
	}
	return j.resolveLease(lease.Term, NeverRan), true
}
