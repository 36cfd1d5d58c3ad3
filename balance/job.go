package balance

import "math"

// class is a class of jobs together with what was observed of its jobs.
type class struct {
	Class
	runTime        mean    // seconds from start to end, over all workers
	longestTimeout float64 // longest timeout of a job so far, at most Deadline, taken for that of a first request
	promisedSize   float64 // total size of its queued jobs that have a promised wait
}

// expectedRunTime returns the expected run time of a job on a worker of average speed, in seconds.
func (c *class) expectedRunTime() float64 { return c.runTime.withPrior(c.LatencyObjective, 1) }

// runsOn reports whether jobs of the class can run on the worker's kind.
func (c *class) runsOn(w *worker) bool { return c.WorkerKind == "" || c.WorkerKind == w.Kind }

// UnknownClass returns the definition of a class whose name is not configured, for a job with the given
// timeout in seconds. Its jobs are never retried.
func UnknownClass(name string, timeout float64) Class {
	return Class{
		Name:             name,
		LatencyObjective: timeout,
		Deadline:         timeout,
		PriorityWeight:   1,
		Idempotence:      NonIdempotent,
	}
}

// job is a job that is queued or in flight.
type job struct {
	queuePosition
	id               string
	class            *class
	tenant           *tenant
	firstRequestedAt float64 // when the client first sent it, as far as it can be derived from the timeout
	arrivedAt        float64
	enqueuedAt       float64 // when it last joined the queue
	deadline         float64
	maxWait          float64 // longest wait for its first send, by its class when it was accepted; 0: no limit
	promisedBy       float64 // end of its promised wait
	priorityFrom     float64 // time from which it is sent ahead of the order of the tags
	slots            float64
	memory           float64
	attempts         []*attempt
	inFlight         int     // attempts without an outcome
	failedAttempts   int     // attempts that ended with an error
	mayHaveRun       bool    // an attempt that ended may have run
	firstWorker      *worker // worker of the first attempt that may have run
	firstAttemptAt   float64
	closed           bool // it needs no further answer
}

// size returns what a job is charged for in tags: the larger of its slots and its memory. (A worker has
// one unit of memory for each slot.)
func (j *job) size() float64 { return max(j.slots, j.memory) }

// work returns the expected use of a worker, in slots times seconds.
func (j *job) work() float64 { return j.class.expectedRunTime() * j.slots }

// cannotMeetObjective reports whether a job has waited longer than its latency objective plus what an
// average job gains by the objective's stretch.
func (j *job) cannotMeetObjective(now float64) bool { return now > j.objectiveLimit() }

// objectiveLimit returns the latest start time at which a job can still meet its latency objective.
func (j *job) objectiveLimit() float64 {
	return j.firstRequestedAt + j.class.LatencyObjective + max(0, j.class.ObjectiveStretch-1)*j.class.expectedRunTime()
}

// objectiveProbability returns the probability that a job that starts now meets its objective on a worker
// of the given slowdown, if run times are exponentially distributed. On a fast worker the stretch can make
// up for time spent waiting; on a slow one the job falls further behind its objective.
func (j *job) objectiveProbability(now, slowdown float64) float64 {
	runTime := j.class.expectedRunTime()
	slack := j.firstRequestedAt + j.class.LatencyObjective - now
	behind := (slowdown - j.class.ObjectiveStretch) * runTime
	endsInTime := 1 - math.Exp(-(j.deadline-now)/(slowdown*runTime)) // before the client gives up
	switch {
	case slack >= 0 && behind <= 0:
		return endsInTime
	case slack >= 0:
		return min(endsInTime, 1-math.Exp(-slack/behind))
	case behind < 0:
		return math.Exp(-slack / behind)
	}
	return 0
}

// attempt is one send of a job to a worker.
type attempt struct {
	job                  *job
	worker               *worker
	sentAt               float64
	startedAt            float64 // 0: no start has been reported
	number               uint64  // sequence number over all attempts of this dispatcher
	done                 bool
	chargedToReservation bool
}

// started reports whether the worker has reported the start of the job.
func (a *attempt) started() bool { return a.startedAt > 0 }
