// Package emulator models a zone's worker: slots and memory, a priority queue
// with preemption, slow start, draining that returns queued jobs, deduplication
// by idempotency key, and load reports. It has no clock and no I/O, so that the
// fleet on sockets and the simulated fleet run the same model. Times are in
// seconds.
package emulator

// Settings are the parameters of a worker.
type Settings struct {
	Slots            float64
	Memory           float64 // 0: memory is not limited
	MaxQueue         int     // waiting jobs; further jobs are rejected unless they can start at once
	Speed            float64 // divisor of the running times; 0 or less means 1
	SlowStartFloor   float64 // fraction of the slots that is usable right after a start; 0 means all
	SlowStartSeconds float64
	Preempts         bool // a job takes the slots of jobs of lower priority, which are suspended
}

// Job is a job as it is submitted.
type Job struct {
	ID             string
	IdempotencyKey string  // empty: none
	Slots          float64 // less than 1, including 0, means 1
	Memory         float64
	Work           float64 // seconds on a worker of speed 1
	Priority       int     // jobs with higher values run first
}

// Admission is a worker's decision on a submitted job.
type Admission int

// The admission decisions.
const (
	Accepted    Admission = iota
	QueueFull             // not run: the queue is full, or the job needs more than the idle worker has
	Draining              // not run: the worker is draining
	AlreadyDone           // the zone has completed a job with this key
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Started EventKind = iota
	Done
	Suspended
	Resumed
	Returned // by a draining worker; the job never ran
	Lost     // by a restart
)

// Event is a change of an accepted job.
type Event struct {
	At   float64
	Kind EventKind
	ID   string
}

// Report is a worker's load report.
type Report struct {
	FreeSlots  float64 // usable slots less those of running and of waiting jobs
	FreeMemory float64 // infinity if memory is not limited
	Queue      float64 // waiting jobs
}
