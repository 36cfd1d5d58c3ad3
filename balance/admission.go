package balance

import "slices"

// Constants of admission.
const (
	promisedWorkShare = 0.05 // fraction of the work in flight that jobs with a promised wait may take up
	// retryAfterShare is the fraction of the wait expected at this dispatcher that a rejected client is
	// advised to wait. It is small because another dispatcher is likely to have capacity earlier.
	retryAfterShare = 0.125
)

// handleArrival admits a job and queues it, or rejects it if its promised wait cannot be kept. A job of
// an unknown class is never retried, and a job of an unknown tenant has no reservation.
func (b *Balancer) handleArrival(e JobArrived) {
	if b.jobs[e.ID] != nil {
		return
	}
	j := b.newJob(e)
	if wait, ok := b.canKeepMaxWait(j); !ok {
		b.emit(Reject{ID: j.id, RetryAfter: min(wait, b.config.MaxRetryAfter)})
		return
	}
	b.jobs[j.id] = j
	b.observeDemand(j)
	b.addHealthCheckBudget(j)
	b.enqueue(j)
	b.rebaseGlobalTags()
}

func (b *Balancer) newJob(e JobArrived) *job {
	c := b.classOf(e.Class, e.Accepted, e.Timeout)
	t := b.tenantFor(e.Tenant)
	c.longestTimeout = max(c.longestTimeout, min(e.Timeout, c.Deadline))
	j := &job{
		id:               e.ID,
		class:            c,
		tenant:           t,
		firstRequestedAt: b.now - max(0, c.longestTimeout-e.Timeout),
		arrivedAt:        b.now - e.Age,
		deadline:         b.now + e.Timeout,
		slots:            max(e.Slots, 1),
		memory:           max(e.Memory, 0),
		maxWait:          c.MaxWait,
	}
	if e.Accepted != nil {
		j.maxWait = e.Accepted.MaxWait
	}
	shortTimeout := b.config.ClientsMarkRetries && !e.Retry && j.cannotMeetObjective(b.now)
	if e.StartsNow || shortTimeout { // the job is new: its client merely set a short timeout
		j.firstRequestedAt = b.now
	}
	return j
}

// canKeepMaxWait returns the expected wait of a job and reports whether the job can be sent within its
// MaxWait. The first queued job of a class is always admitted. Any other job waits for all
// promised jobs before it, and these may take up only promisedWorkShare of the work in flight.
func (b *Balancer) canKeepMaxWait(j *job) (wait float64, ok bool) {
	wait = b.promisedWait(j)
	full := j.maxWait > 0 && j.class.promisedSize > 0.5 && wait > (1-priorityWaitShare)*j.maxWait
	return wait, !full
}

// promisedWait returns how long, in seconds, a job with a promised wait is expected to wait for the
// promised jobs before it.
func (b *Balancer) promisedWait(j *job) float64 {
	runTime := b.meanRunTime.withPrior(j.class.LatencyObjective, 1)
	return runTime * (b.promised.size + j.size()) / (promisedWorkShare * float64(max(b.inFlight, 1)))
}

// observeDemand records the size and the work of an admitted job.
func (b *Balancer) observeDemand(j *job) {
	b.meanSlots.observe(j.size())
	b.totalWork += j.work()
	if b.maxSlots > 0 && 2*j.slots > b.maxSlots {
		b.wideWork += j.work()
	}
}

// expireJobs answers queued jobs shortly before their clients give up. Jobs for which further waiting has
// no value are answered at once: late surplus jobs would otherwise accumulate and still fail at their
// deadlines, at a cost.
func (b *Balancer) expireJobs() {
	late := func(j *job) bool { return j.cannotMeetObjective(b.now) }
	expiring := func(j *job) bool { return b.now >= j.deadline-busyTimerSeconds-2*b.config.Tick }
	for _, t := range b.tenants {
		var found []*job
		collect := func(j *job) { found = append(found, j) }
		for _, h := range t.queue.byFirstRequest {
			h.visitWhile(late, collect)
		}
		excess := float64(len(found)) - max(0, b.availableTokens(t))
		t.queue.visitRetries(collect)
		t.queue.byDeadline.visitWhile(expiring, collect)
		slices.SortFunc(found, compareArrival)
		for _, j := range slices.Compact(found) {
			switch {
			case expiring(j), b.cannotBeServed(j):
				b.answerUnserved(j)
			case b.shouldDropLate(j, excess):
				b.answerUnserved(j)
				excess--
			}
		}
	}
}

// shouldDropLate reports whether a late job should not wait any longer, because it exceeds what its tenant
// may send (excess is above 0), a late answer has no value, or it would not end before its deadline.
func (b *Balancer) shouldDropLate(j *job, excess float64) bool {
	if !j.cannotMeetObjective(b.now) || j.inFlight > 0 || j.hasMaxWait() {
		return false
	}
	return excess > 0 || j.class.LateWeightFraction == 0 || j.deadline-b.now < j.class.expectedRunTime()
}

// answerUnserved ends a job that will not be served. The answer is Reject if a retry is provably safe,
// and Fail otherwise.
func (b *Balancer) answerUnserved(j *job) {
	if j.retryIsHarmless() {
		b.emit(Reject{ID: j.id, RetryAfter: b.retryAfter(j)})
	} else {
		b.emit(Fail{ID: j.id})
	}
	b.closeJob(j)
}

// retryIsHarmless reports whether the client may safely send the job again, to any dispatcher.
func (j *job) retryIsHarmless() bool {
	return !j.mayHaveRun && j.inFlight == 0 || j.class.RetryIsHarmless()
}

// retryAfter returns how long, in seconds, a rejected client is advised to wait: a fraction
// (retryAfterShare) of the time until the jobs queued before this one have run in the slots in use by
// this dispatcher and the tenant's bucket holds enough tokens for the job.
func (b *Balancer) retryAfter(j *job) float64 {
	t := j.tenant
	runTime := b.meanRunTime.withPrior(j.class.LatencyObjective, 1)
	wait := runTime * (t.queue.size + j.size()) / float64(max(b.inFlight, 1))
	return min(max(wait, b.tokenWait(t, j.size()))*retryAfterShare, b.config.MaxRetryAfter)
}

// closeJob records that the job needs no further answer, and forgets it once no attempt is in flight.
func (b *Balancer) closeJob(j *job) {
	j.closed = true
	b.dequeue(j)
	if j.inFlight == 0 {
		delete(b.jobs, j.id)
	}
}
