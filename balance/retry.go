package balance

import "slices"

// mayAttempt reports whether the retry rules allow another attempt of a job on a worker. A job that has
// nothing in flight and cannot have run may go anywhere; otherwise its class decides. MaxAttempts limits
// all jobs.
func (b *Balancer) mayAttempt(j *job, w *worker) bool {
	if len(j.attempts) >= b.config.MaxAttempts {
		return false
	}
	switch {
	case !j.mayHaveRun && j.inFlight == 0:
		return true
	case j.class.Idempotence == Idempotent:
		return j.inFlight == 0 || b.config.Hedging
	case j.class.Idempotence == IdempotentWithKey:
		return b.isDeduplicated(j, w)
	}
	return false
}

// isDeduplicated reports whether a worker would recognise a job with an idempotency key as a duplicate of
// its first attempt that may have run.
func (b *Balancer) isDeduplicated(j *job, w *worker) bool {
	first := j.firstWorker
	if first == nil || b.now >= j.firstAttemptAt+j.class.DedupWindow {
		return false
	}
	return j.class.DedupScope.Contains(&first.WorkerInfo, &w.WorkerInfo)
}

// DeduplicatesAfter reports whether any worker still recognises a duplicate of a job with an idempotency key some
// seconds after it was first sent.
func (c *Class) DeduplicatesAfter(seconds float64) bool {
	switch c.DedupScope {
	case ScopeAll, ScopeZone, ScopeCell:
		return seconds < c.DedupWindow
	}
	return false
}

// Contains reports whether a worker recognises the duplicates of jobs that another one has received.
func (s DedupScope) Contains(first, other *WorkerInfo) bool {
	switch s {
	case ScopeAll:
		return true
	case ScopeZone:
		return first.Zone == other.Zone
	case ScopeCell:
		return first.Cell == other.Cell
	}
	return false
}

// cannotBeServed reports whether no further attempt of a job without attempts in flight is possible: its
// attempts are used up, or it may have run and no running worker may run it again.
func (b *Balancer) cannotBeServed(j *job) bool {
	if j.inFlight > 0 || len(j.attempts) == 0 {
		return false
	}
	if len(j.attempts) >= b.config.MaxAttempts {
		return true
	}
	return j.mayHaveRun && !slices.ContainsFunc(b.workers, func(w *worker) bool {
		return w.State == Running && b.mayAttempt(j, w)
	})
}

// shouldRetry reports whether a job is sent again after an attempt with the given outcome. After an error
// it is retried with a probability slightly above the success rate of such retries. Otherwise jobs that
// fail fast on any worker would use up attempts and slots.
func (b *Balancer) shouldRetry(o Outcome) bool {
	switch o {
	case NotSent, TimedOut:
		return false
	case Failed:
		return b.rng.Float64() < b.retrySuccessRate.withPrior(1, 2)+learningRate
	}
	return true
}

// findAttempt returns an attempt that is in flight, or nil.
func (b *Balancer) findAttempt(id string, number int) *attempt {
	j := b.jobs[id]
	if j == nil || number < 0 || number >= len(j.attempts) || j.attempts[number].done {
		return nil
	}
	return j.attempts[number]
}

// startAttempt records that a worker has started a job. If the job is idempotent, its other attempts that
// have not started are cancelled.
func (b *Balancer) startAttempt(e AttemptStarted) {
	a := b.findAttempt(e.ID, e.Attempt)
	if !b.config.StartNotifications || a == nil || a.started() {
		return
	}
	a.startedAt = b.now
	a.worker.unverified = false
	b.addRunning(a.worker, a.job.slots, a.job.memory)
	b.rejectionRate.observe(0)
	if a.job.class.Idempotence != Idempotent {
		return
	}
	b.dequeue(a.job)
	for i, other := range a.job.attempts {
		if b.config.Cancellation && !other.done && !other.started() {
			b.emit(Cancel{ID: e.ID, Attempt: i})
		}
	}
}

// finishAttempt records the end of an attempt. A finished job is closed. An unfinished one without another
// attempt in flight is queued for a retry, rejected or failed.
func (b *Balancer) finishAttempt(e AttemptDone) {
	a := b.findAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	j := a.job
	a.done = true
	j.inFlight--
	b.inFlight--
	b.freeWorker(a)
	b.applyLoadReport(a.worker, e.Report, false)
	b.observeRetry(j, e.Outcome)
	b.observeOutcome(a.worker, a, e.Outcome)
	b.refundIfNeverRan(a, e.Outcome)
	switch {
	case e.JobFinished || j.closed || e.Outcome == Served:
		b.closeJob(j)
	case j.inFlight > 0: // a hedged request may still serve it
	case b.now < j.deadline && !b.cannotBeServed(j) && b.shouldRetry(e.Outcome):
		b.enqueue(j)
	default:
		b.answerUnserved(j)
	}
}

// freeWorker releases the slots and memory that an attempt occupies on its worker.
func (b *Balancer) freeWorker(a *attempt) {
	j := a.job
	w := a.worker
	if b.config.StartNotifications && a.started() {
		b.addRunning(w, -j.slots, -j.memory)
	}
	b.addBusy(w, -j.slots, -j.memory)
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
}

// observeRetry records whether a retry after an error succeeded.
func (b *Balancer) observeRetry(j *job, o Outcome) {
	if j.failedAttempts == 0 {
		return
	}
	switch o {
	case Served:
		b.retrySuccessRate.observe(1)
	case Failed:
		b.retrySuccessRate.observe(0)
	}
}

// refundIfNeverRan records whether an attempt may have run, and refunds its tenant where it did not.
func (b *Balancer) refundIfNeverRan(a *attempt, o Outcome) {
	j := a.job
	if o.NeverRan() {
		b.chargeTags(j.tenant, -j.size(), a.chargedToReservation)
	}
	if !o.NeverRan() || o == Overloaded && b.config.OverloadedMayHaveRun {
		j.mayHaveRun = true
	}
	if !j.mayHaveRun && j.inFlight == 0 {
		j.firstWorker = nil
	}
}
