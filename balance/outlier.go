package balance

import "math"

// Outlier ejection.
const (
	baseEjectionSeconds = 1.0 // length of the first ejection; doubles with each further one
	maxEjectionDoubling = 3   // number of times that the length doubles
	probationSuccesses  = 3   // successes that end a probation
	failureDeviations   = 3.0 // standard deviations above the fleet's failure rate at which a worker is ejected
)

// outlierState is the state of a worker's outlier detection, from the outcomes of its attempts.
type outlierState struct {
	failureRate   mean // 1 for each failed attempt, 0 for each served one
	ejections     int
	ejectedUntil  float64
	probationLeft int  // successes needed to end the probation
	unverified    bool // added by a list that may be wrong, and not confirmed by a report or start since
}

// eject excludes a worker for a time that doubles with each ejection, up to maxEjectionDoubling times.
func (b *Balancer) eject(w *worker) {
	doubling := float64(min(w.ejections, maxEjectionDoubling))
	w.ejectedUntil = b.now + baseEjectionSeconds*math.Exp2(doubling)
	w.ejections++
}

// outlierAllows reports whether outlier ejection allows a job on a worker. A worker that fails fast always
// seems free and would attract the traffic. So it is ejected, and then gets one idempotent job at a time
// until it has served probationSuccesses. An unverified worker also gets one idempotent job at a time.
// Where no class is idempotent, any job serves as a trial; otherwise such a worker would never be used
// again.
func (b *Balancer) outlierAllows(j *job, w *worker) bool {
	if b.now < w.ejectedUntil {
		return false
	}
	onProbation := w.probationLeft > 0 || w.unverified
	if !onProbation {
		return true
	}
	return w.busySlots == 0 && (j.class.Idempotence == Idempotent || !b.anyIdempotent)
}

// observeOutcome updates a worker's statistics and health from the outcome of an attempt.
func (b *Balancer) observeOutcome(w *worker, a *attempt, o Outcome) {
	switch o {
	case Served:
		b.observeSuccess(w, a)
	case Overloaded:
		b.markOverloaded(w)
		b.rejectionRate.observe(1)
	case Unreachable:
		b.markUnreachable(w)
	case Failed, ConnectionLost:
		b.observeFailure(w, a, o)
	}
}

func (b *Balancer) observeSuccess(w *worker, a *attempt) {
	c := a.job.class
	runTime := b.now - max(a.sentAt, a.startedAt)
	if c.runTime.count > 0 && c.runTime.value > 0 && b.capacityShare(w) == 1 {
		slowdown := runTime / c.runTime.value
		w.slowdown.observe(slowdown)
		w.kindSlowdown.observe(slowdown)
	}
	c.runTime.observe(runTime)
	b.meanRunTime.observe(runTime)
	w.failureRate.observe(0)
	b.failureRate.observe(0)
	w.unreachable = false
	w.probationLeft = max(0, w.probationLeft-1)
	if w.probationLeft == 0 {
		w.ejections = 0
	}
}

// observeFailure records a failure and ejects the worker if its failure rate exceeds the fleet's by more
// than chance explains. With a fixed limit, jobs that fail on any worker or a fault that all workers share
// would have healthy workers ejected; for the same reason an error of a job counts against one worker at
// most. Outliers are not found where more than half of the workers are outliers.
func (b *Balancer) observeFailure(w *worker, a *attempt, o Outcome) {
	a.job.failedAttempts++
	if o == Failed && a.job.failedAttempts > 1 {
		return
	}
	fleetRate := b.failureRate.withPrior(0, 5)
	w.failureRate.observe(1)
	if !w.unverified {
		b.failureRate.observe(1)
	}
	threshold := fleetRate + failureDeviations*math.Sqrt(fleetRate*(1-fleetRate)*learningRate)
	if w.unverified || w.failureRate.withPrior(fleetRate, 2) > threshold {
		b.eject(w)
		w.probationLeft = probationSuccesses
	}
}

// markUnreachable excludes a worker from jobs until a health check is answered; without health checks it
// is ejected instead. Behind a broken link, or on a dead machine whose connections stay open, a job
// neither ends nor fails until its client gives up, so the worker's idempotent jobs are hedged.
func (b *Balancer) markUnreachable(w *worker) {
	b.markOverloaded(w)
	if !b.config.HealthChecks {
		b.eject(w)
	} else if !w.unreachable {
		w.unreachable = true
		b.logf("worker %s unreachable: checking its health until it answers", w.ID)
		for _, a := range w.attempts {
			b.hedge(a.job)
		}
	}
	w.nextCheckAt = b.now + 2*b.config.DialTimeout
}
