package dispatcher

import (
	"errors"
	"net/http"

	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/downstream"
)

// Jobs with dependencies or a start time. Package deferred decides which of them may run and which never will.
const (
	deferredMarginSeconds = 0.06    // time before its deadline at which a deferred job is given to the scheduler
	deferredBatch         = 128     // jobs submitted in one turn; more would delay other requests
	deferredDrain         = 1024    // jobs taken from the store at a time
	answeredPerReleased   = 16      // jobs handled in one turn, per job that may be submitted
	unboundedBatch        = 1 << 30 // a larger batch has no limit on the jobs handled in one turn
	requestOverheadBytes  = 1024    // memory of a request beside its body
)

// otherTenants is the name under which queue depths count all tenants that the settings do not name. Clients
// choose tenant names, and must not be able to create an unbounded number of metrics.
const otherTenants = "other"

// outcomeOf returns the outcome of a job, for jobs that depend on it, from the status of its answer.
func outcomeOf(status int) deferred.Outcome {
	switch status {
	case http.StatusOK:
		return deferred.Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return deferred.Refused
	}
	return deferred.Failed
}

// admitDeferred registers a request with the deferred store, whether it is deferred or not, and reports whether
// it was admitted. A request that asks to be deferred but cannot be is answered here.
func (d *Dispatcher) admitDeferred(r *request) bool {
	if d.Deferred == nil {
		return true
	}
	in := r.inbound
	now := d.clock()
	notBefore := d.unixSeconds(in.Arrived.Add(in.Delay))
	if len(in.DependsOn) == 0 && notBefore <= now {
		d.Deferred.Track(now, in.ID)
		return true
	}
	_, err := d.Deferred.Add(now, deferred.Job{
		ID:        in.ID,
		DependsOn: in.DependsOn,
		NotBefore: notBefore,
		Deadline:  r.deadline - deferredMarginSeconds,
		Size:      int64(len(in.Body) + requestOverheadBytes),
	})
	if err != nil {
		d.logLimited("door "+in.Class, "job %s cannot be deferred: %v", in.ID, err)
		in.Answer(d.notDeferred(err))
	}
	return err == nil
}

// notDeferred returns the answer to a request that cannot be deferred.
func (d *Dispatcher) notDeferred(err error) downstream.Answer {
	a := downstream.Answer{Status: http.StatusBadRequest, Body: []byte(err.Error() + "\n")}
	var limit *deferred.LimitError
	var parent *deferred.ParentFailedError
	switch {
	case errors.As(err, &limit), errors.As(err, &parent) && parent.Retryable():
		a.Status = http.StatusServiceUnavailable
		a.RetryAfter = d.Settings.Capabilities.MaxRetryAfter
	case parent != nil:
		a.Status = http.StatusFailedDependency
	}
	return a
}

// nextDeferred returns when the next deferred job is due; ok is false if there is none.
func (d *Dispatcher) nextDeferred() (at float64, ok bool) {
	switch {
	case d.Deferred == nil:
		return 0, false
	case d.Deferred.Pending() > 0:
		return d.lastStepAt, true
	}
	return d.Deferred.Next()
}

// releaseDeferred releases the deferred jobs that are due. At most the given number is submitted to the scheduler.
// Jobs that depend on a failed job are answered instead.
func (d *Dispatcher) releaseDeferred(now float64, most int) {
	if d.Deferred == nil {
		return
	}
	d.Deferred.Tick(now)
	submitted := 0
	handled := 0
	for submitted < most && (handled < answeredPerReleased*most || most > unboundedBatch) {
		batch := d.Deferred.Drain(min(most-submitted, deferredDrain))
		if len(batch) == 0 {
			return
		}
		for _, due := range batch {
			handled++
			if d.release(now, due) {
				submitted++
			}
		}
	}
}

// release releases one job and reports whether it was submitted to the scheduler before it expired.
func (d *Dispatcher) release(now float64, due deferred.Due) (submitted bool) {
	r := d.requests[due.ID]
	if r == nil {
		return false
	}
	if due.Cause != nil {
		d.logLimited("cascade", "job %s ends with one that it depends on: %v", due.ID, due.Cause)
	}
	switch {
	case r.answered:
	case due.Expired: // with no time left, the scheduler answers it in its next step
		d.submit(r, 0, true)
	case due.Cause == nil:
		d.submit(r, r.deadline-now, true)
		return true
	default:
		d.answer(r, d.parentFailed(due.Cause))
	}
	return false
}

// logFormerClass logs that a job is released with the definition of its class with which it was accepted, if jobs that
// arrive now get another one.
func (d *Dispatcher) logFormerClass(r *request) {
	present := d.classDefinition(r.inbound)
	if r.class == present || r.class.SameDefinition(*present) {
		return
	}
	d.logLimited("former "+r.class.Name, "class %s: job %s was deferred before the class changed and keeps the "+
		"definition of its arrival (%s, now %s)", r.class.Name, r.inbound.ID, r.class.Idempotence, present.Idempotence)
}

// parentFailed returns the answer to a job that fails because a job that it depends on has failed.
func (d *Dispatcher) parentFailed(cause *deferred.Cause) downstream.Answer {
	a := downstream.Answer{Status: http.StatusFailedDependency, Body: []byte(cause.String() + "\n")}
	if cause.Retryable() {
		a.Status = http.StatusServiceUnavailable
		a.RetryAfter = d.Settings.Capabilities.MaxRetryAfter
	}
	return a
}

// enterStage records in the queue depths that a request waits in a stage.
func (d *Dispatcher) enterStage(r *request, stage deferred.Stage) {
	if d.Depths == nil {
		return
	}
	tenant := r.inbound.Tenant
	if !d.knownTenants[tenant] {
		tenant = otherTenants
	}
	d.Depths.Enter(d.clock(), &r.depthPlace, stage, r.inbound.Class, tenant)
}

// leaveStage records that a request has ended and no longer waits, and whether the promise of a first attempt
// was declined on arrival or broken.
func (d *Dispatcher) leaveStage(r *request, o deferred.Outcome) {
	if d.Depths == nil {
		return
	}
	d.Depths.Leave(&r.depthPlace)
	if r.maxWait == 0 || len(r.attempts) > 0 || o == deferred.Abandoned {
		return
	}
	in := r.inbound
	if r.submitStep == d.stepCount { // rejected by the step that admitted it
		d.Depths.FirstAttempts(in.Class).Declined++
		d.logLimited("declined "+in.Class,
			"class %s: job %s rejected on arrival: no attempt within %v s can be promised", in.Class, in.ID, r.maxWait)
		return
	}
	d.Depths.FirstAttempts(in.Class).Unsent++
	d.logLimited("unsent "+in.Class, "class %s: job %s ended unsent %.3f s after an attempt within %v s was promised",
		in.Class, in.ID, d.clock()-r.submittedAt, r.maxWait)
}

// recordFirstAttempt records that a job is sent to a worker for the first time.
func (d *Dispatcher) recordFirstAttempt(r *request) {
	if d.Depths == nil {
		return
	}
	d.Depths.Leave(&r.depthPlace)
	in := r.inbound
	waited := d.clock() - r.submittedAt
	if late := d.Depths.FirstAttempts(in.Class).Observe(waited, r.maxWait); late {
		d.logLimited("late "+in.Class, "class %s: job %s first sent after %.3f s, promised within %v s",
			in.Class, in.ID, waited, r.maxWait)
	}
}
