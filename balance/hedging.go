package balance

import "slices"

// Hedged requests, and jobs that are moved away from a worker's queue.
const (
	hedgeObjectiveShare = 0.65 // part of the objective, times viewUncertainty(), that remains when a job is hedged
	minPromptStartRate  = 0.5  // no job is hedged while a smaller part of the sends starts promptly
)

// watchesStart reports whether a job is hedged or moved if it does not start promptly.
func (b *Balancer) watchesStart(j *job) bool {
	if !b.config.StartNotifications {
		return false
	}
	switch j.class.Idempotence {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return b.movesQueued()
	}
	return false
}

// movesQueued reports whether jobs in a worker's queue are moved rather than hedged.
func (b *Balancer) movesQueued() bool { return b.config.Cancellation && !b.config.Hedging }

// rebalanceQueued hedges or moves jobs that wait in a worker's queue. With old reports many sends meet a
// queue while slots are free on other workers. When most sends meet a queue, no worker has free capacity
// and hedged requests would only add load. Hedging costs more than it gains where workers keep cancelled
// jobs in their queues.
func (b *Balancer) rebalanceQueued() {
	if b.movesQueued() {
		b.awaitingStart = slices.DeleteFunc(b.awaitingStart, b.moveIfFree)
	} else {
		b.awaitingStart = slices.DeleteFunc(b.awaitingStart, b.hedgeIfLate)
	}
}

// hedgeIfLate hedges a job whose attempt has not started within the hedging delay. It reports whether the
// attempt need not be watched any longer.
func (b *Balancer) hedgeIfLate(a *attempt) (settled bool) {
	j := a.job
	hedgeDelay := (1 - hedgeObjectiveShare*b.viewUncertainty()) * j.class.LatencyObjective
	if b.now-a.sentAt < hedgeDelay {
		if a.started() {
			b.promptStartRate.observe(1)
		}
		return a.done || a.started()
	}
	if a.done || a.started() || j.closed {
		return true
	}
	b.promptStartRate.observe(0)
	if b.promptStartRate.withPrior(1, 2) > minPromptStartRate {
		b.hedge(j)
	}
	return true
}

// hedge queues an idempotent job once more while its only attempt is in flight.
func (b *Balancer) hedge(j *job) {
	if j.class.Idempotence != Idempotent || !b.config.Hedging || len(j.attempts) >= b.config.MaxAttempts {
		return
	}
	if j.inFlight == 1 && !j.closed {
		b.enqueue(j)
	}
}

// moveIfFree cancels an attempt that waits in a worker's queue if another worker has free capacity. It
// reports whether the attempt need not be watched any longer. The job loses its place in that queue and
// one of its attempts, and a worker that seems free may have a queue as well.
func (b *Balancer) moveIfFree(a *attempt) (settled bool) {
	j := a.job
	if a.done || a.started() || j.closed || len(j.attempts) >= b.config.MaxAttempts || j.cannotMeetObjective(b.now) {
		return true
	}
	if b.now-a.sentAt < promptStartSeconds {
		return false
	}
	if b.scannedAt != b.now {
		b.scanWorkers()
	}
	if !b.anyWorkerFreeFor(a) {
		return false
	}
	b.markOverloaded(a.worker)
	b.emit(Cancel{ID: j.id, Attempt: slices.Index(j.attempts, a)})
	return true
}

// anyWorkerFreeFor reports whether another worker has free capacity for the job of an attempt, provided
// that the attempt is cancelled.
func (b *Balancer) anyWorkerFreeFor(a *attempt) bool {
	j := a.job
	mayHaveRun := j.mayHaveRun
	j.mayHaveRun = true // a cancelled attempt may have run
	j.inFlight--
	slots := min(j.slots, b.maxVisibleSlots)
	found := slices.ContainsFunc(b.eligible, func(w *worker) bool {
		return w != a.worker && w.freeSlots >= slots && w.freeMemory >= j.memory && b.mayAttempt(j, w) &&
			j.class.runsOn(w) && b.outlierAllows(j, w) && b.slowStartAllows(w, j)
	})
	j.mayHaveRun = mayHaveRun
	j.inFlight++
	return found
}
