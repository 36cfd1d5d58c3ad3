package dispatcher

import (
	"net/http"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/timerwheel"
	"example.org/bellstream/internal/upstream"
)

// request is a request from its arrival until it is answered and none of its attempts is in flight.
type request struct {
	inbound       *downstream.Request
	deadline      float64
	answered      bool
	deadlineTimer *timerwheel.Timer[any]
	depthPlace    deferred.QueuePlace // in Depths

	attempts          []upstream.Attempt // nil once the outcome is known
	lastSentAt        float64            // when the last attempt was decided on
	firstMayHaveRunAt float64            // when the first attempt that may have run was decided on; 0: none
	class             *balance.Class     // the definition with which it was accepted; not modified

	submittedAt float64 // when it was submitted to the scheduler
	submitStep  uint64  // the step that handles its submission; 0: still deferred
	maxWait     float64 // seconds promised for its first attempt; 0: none
}

// inFlight reports whether an attempt has no outcome yet.
func (r *request) inFlight() bool {
	for _, a := range r.attempts {
		if a != nil {
			return true
		}
	}
	return false
}

// atMostOnce reports whether its class is not idempotent, or only with a key.
func (r *request) atMostOnce() bool { return r.class.Idempotence != balance.Idempotent }

// dedupWindow returns the seconds in which it may be retried once it may have run; 0: no window.
func (r *request) dedupWindow() float64 {
	if r.class.Idempotence != balance.IdempotentWithKey {
		return 0
	}
	return r.class.DedupWindow
}

// size is what the scheduler charges a tenant for an attempt, in slots.
func (r *request) size() float64 { return max(r.inbound.Slots, r.inbound.Memory, 1) }

// Arrive accepts a request, which gets exactly one answer. After the end of the loop a request is rejected
// here: it was never forwarded.
func (d *Dispatcher) Arrive(r *downstream.Request) {
	select {
	case d.inbox <- requestArrived{r}:
	case <-d.done:
		d.reject(r)
		return
	}
	select {
	case <-d.done: // the inbox may have had room after the loop last read it
		d.rejectQueued()
	default:
	}
}

// rejectQueued rejects the requests in the inbox that the loop will not handle any more. It is called at the end
// of the loop and by each Arrive after that, so that no request is left in the inbox whichever comes last.
func (d *Dispatcher) rejectQueued() {
	for {
		select {
		case m := <-d.inbox:
			if a, ok := m.(requestArrived); ok {
				d.reject(a.req)
			}
		default:
			return
		}
	}
}

func (d *Dispatcher) reject(r *downstream.Request) {
	r.Answer(downstream.Answer{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: d.Settings.Capabilities.MaxRetryAfter,
	})
}

// handleArrival admits a request. A request whose id is in use or was used recently is rejected, so that the
// first request with that id is not disturbed and does not run again.
func (d *Dispatcher) handleArrival(in *downstream.Request) {
	if d.rejectsNew() || d.rejectsAtMostOnce(in) {
		d.reject(in)
		return
	}
	if in.Disconnected() { // nobody waits for an answer, and nothing was sent
		return
	}
	if !d.acceptID(in.ID) {
		in.Answer(usedIDAnswer())
		return
	}
	r := d.newRequest(in)
	if !d.admitDeferred(r) {
		return
	}
	d.requests[in.ID] = r
	r.deadlineTimer = d.timers.Set(r.deadline, requestDeadline{r})
	if d.Usage != nil {
		d.Usage.RecordArrival(in.Tenant)
	}
	if d.Deferred != nil && d.Deferred.IsDeferred(in.ID) {
		d.enterStage(r, deferred.StageDeferred)
	} else {
		d.submit(r, r.deadline-d.clock(), false)
	}
}

func (d *Dispatcher) newRequest(in *downstream.Request) *request {
	return &request{
		inbound:  in,
		deadline: d.unixSeconds(in.Arrived.Add(in.Timeout)),
		class:    d.acceptedClass(in),
	}
}

// acceptedClass returns the definition with which a request is accepted: the present one of its class. If a reload
// has changed the class since the head was read, it allows the retries that both allow. An idempotency key was
// required only if the class was keyed then.
func (d *Dispatcher) acceptedClass(in *downstream.Request) *balance.Class {
	present := d.classDefinition(in)
	atHead := in.ClassDefinition
	platform := d.platformClasses[in.Class]
	if atHead == nil || platform == nil || platform.SameDefinition(*atHead) {
		return present
	}
	accepted := present.TightenedBy(*atHead)
	if accepted.Idempotence == balance.IdempotentWithKey && in.IdempotencyKey == "" {
		accepted.Idempotence = balance.NonIdempotent
	}
	return &accepted
}

// classDefinition returns the present definition of a request's class.
func (d *Dispatcher) classDefinition(in *downstream.Request) *balance.Class {
	if class := d.classes[in.Class]; class != nil {
		return class
	}
	unknown := balance.UnknownClass(in.Class, in.Timeout.Seconds())
	return &unknown
}

// submit passes a request to the scheduler with its remaining time. For a request that was deferred, the latency
// objective is counted from now.
func (d *Dispatcher) submit(r *request, timeLeft float64, wasDeferred bool) {
	in := r.inbound
	r.submittedAt = d.clock()
	r.submitStep = d.stepCount + 1
	r.maxWait = r.class.MaxWait
	if wasDeferred {
		d.logFormerClass(r)
	}
	d.enterStage(r, deferred.StageQueued)
	d.addEvent(balance.JobArrived{
		ID:        in.ID,
		Class:     in.Class,
		Tenant:    in.Tenant,
		Timeout:   timeLeft,
		Slots:     in.Slots,
		Memory:    in.Memory,
		Retry:     in.Retry,
		StartsNow: wasDeferred,
		Accepted:  r.class,
	})
}

// handleDisconnect closes a request whose client has disconnected, unless it is closed already.
func (d *Dispatcher) handleDisconnect(r *request) {
	if !r.answered {
		d.addEvent(balance.ClientDisconnected{ID: r.inbound.ID})
		d.closeRequest(r, deferred.Abandoned)
	}
}

// answer sends the final answer to a request, unless it has been answered or closed already.
func (d *Dispatcher) answer(r *request, a downstream.Answer) {
	if !r.answered {
		r.inbound.Answer(a)
		d.closeRequest(r, outcomeOf(a.Status))
	}
}

func (d *Dispatcher) answerRejected(a balance.Reject) {
	if r := d.requests[a.ID]; r != nil {
		d.answer(r, downstream.Answer{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter})
	}
}

func (d *Dispatcher) answerFailed(now float64, a balance.Fail) {
	r := d.requests[a.ID]
	if r == nil {
		return
	}
	status := http.StatusBadGateway
	if now >= r.deadline {
		status = http.StatusGatewayTimeout
	}
	d.answer(r, downstream.Answer{Status: status})
}

// answerOverdue answers a request that is unanswered after its deadline. This ensures an answer even if the loop
// was delayed so long that the scheduler's own timer fired too late.
func (d *Dispatcher) answerOverdue(r *request) {
	if !r.answered {
		d.Log("request %s: no decision by its deadline", r.inbound.ID)
		d.addEvent(balance.ClientDisconnected{ID: r.inbound.ID})
		d.answer(r, downstream.Answer{Status: http.StatusGatewayTimeout})
	}
}

// closeRequest marks a request as needing no further answer. It ends the attempts in flight, as no client waits
// for them any more and the timer for the deadline is stopped.
func (d *Dispatcher) closeRequest(r *request, o deferred.Outcome) {
	r.answered = true
	d.leaveStage(r, o)
	if d.Deferred != nil {
		d.Deferred.End(d.clock(), r.inbound.ID, o)
	}
	r.deadlineTimer.Stop()
	for n := range r.attempts {
		d.abandonAttempt(r, n, balance.Cancelled, nil)
	}
	d.releaseRequest(r)
}

// releaseRequest removes a request that needs no answer and has no attempt in flight.
func (d *Dispatcher) releaseRequest(r *request) {
	if r.answered && !r.inFlight() {
		delete(d.requests, r.inbound.ID)
	}
}

// unanswered returns the requests that have no answer yet.
func (d *Dispatcher) unanswered() (found []*request) {
	for _, r := range d.requests {
		if !r.answered {
			found = append(found, r)
		}
	}
	return found
}
