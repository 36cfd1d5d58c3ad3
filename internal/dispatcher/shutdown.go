package dispatcher

import (
	"math"
	"net/http"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/timerwheel"
)

const (
	drainPollSeconds   = 0.05 // between sweeps of idle client connections
	maxDrainSeconds    = 3.0  // the longest deadline that a stop waits for; SIGKILL follows 0.7 s after it
	drainGraceSeconds  = 0.45 // added to the longest deadline of requests
	minDrainSeconds    = 1.0  // shortest drain: connections keep arriving for 0.4 s after a stop
	retiringShare      = 0.6  // fraction of a drain in which clients keep their connections
	flushSeconds       = 0.1  // time for the last answers to be written
	closePollSeconds   = 0.005
	maxTurnSeconds     = 0.01 // between two turns in Closing; in a longer gap the process was not run
	maxFlushPolls      = 50   // polls of finish for answers that are being written
	flushPoll          = time.Millisecond
	closingIdleTimeout = 50 * time.Millisecond
	newConnGrace       = 250 * time.Millisecond // time for a new connection's first byte while idle ones are closed
)

// drainState is the state of pausing, yielding and draining.
type drainState struct {
	pausedSince     float64 // by operators; 0: not paused
	yielding        bool    // to a newer process
	stopRequestedAt float64
	retiringUntil   float64 // until then clients keep their connections after a stop
	drainDeadline   float64 // when the scheduler answers the remaining requests
	maxDrain        float64
	closingTurnAt   float64 // the last turn in Closing
	closingRan      float64 // seconds in Closing in which the process ran
	closingStep     uint64  // the last step before closing began
	idlePollTimer   *timerwheel.Timer[any]
}

// startRetiring begins a stop.
func (d *Dispatcher) startRetiring(requestedAt float64) {
	if !d.Phases.Enter(Retiring) {
		return
	}
	d.stopRequestedAt = requestedAt
	d.drainDeadline = requestedAt + d.maxDrain
	// In a rolling restart the other processes may not be back yet, so clients whose connections were closed now
	// might have no process to connect to. Their connections are closed later.
	d.retiringUntil = requestedAt
	if d.pausedSince == 0 && !d.yielding {
		d.retiringUntil += retiringShare * d.maxDrain
	}
	d.pollIdleAt(d.retiringUntil)
	d.Log("retiring: %d requests in flight", len(d.requests))
}

// rejectsNew reports whether new requests are rejected.
func (d *Dispatcher) rejectsNew() bool {
	phase := d.Phases.Now()
	if phase >= Closing {
		return true
	}
	return d.pausedSince > 0 && phase == Paused && d.clock() >= d.pausedSince+pauseRejectSeconds
}

// pollIdleAt sets the time at which idle client connections are closed next.
func (d *Dispatcher) pollIdleAt(at float64) {
	d.idlePollTimer.Stop()
	d.idlePollTimer = d.timers.Set(at, idlePoll{})
}

// closeIdleConns closes idle client connections while the dispatcher is pausing, yielding or draining.
func (d *Dispatcher) closeIdleConns(now float64) {
	phase := d.Phases.Now()
	isPaused := phase == Paused && d.pausedSince > 0
	if phase < Retiring && !isPaused && !d.yielding {
		return // resumed, or leading again
	}
	if d.Phases.Enter(Draining) {
		d.Log("draining: %d requests in flight", len(d.requests))
	}
	if d.Phases.Now() < Closing { // from Closing on advancePhase closes them
		d.downstream.CloseIdle(newConnGrace)
		d.pollIdleAt(now + drainPollSeconds)
	}
}

// advancePhase enters the phases that are due and reports whether the loop must end.
func (d *Dispatcher) advancePhase(now float64) (over bool) {
	phases := d.Phases
	if phases.Now() == Starting && d.canServe() && phases.Enter(Serving) {
		d.Log("serving: %d workers known", d.endpoints.Len())
	}
	if phases.Now() < Retiring {
		return false
	}
	unanswered := len(d.unanswered())
	if (d.isQuiet(now, unanswered) || now > d.drainDeadline) && phases.Enter(Closing) {
		d.startClosing(now, unanswered)
	}
	// Without a step since Closing began, as after a delay of the loop, the scheduler has yet to answer requests.
	if phases.Now() != Closing || d.stepCount == d.closingStep {
		return false
	}
	d.downstream.CloseIdle(closingIdleTimeout)
	if unanswered == 0 && d.downstream.Drained() || d.closingExpired(now) {
		phases.Enter(Stopped)
		return true
	}
	d.pollIdleAt(now + closePollSeconds)
	return false
}

// closingExpired reports whether Closing ends although connections are left. If it began early, because nothing was
// left to drain, clients that connected since have until the end of the drain. Time in which the process was
// suspended does not count as time for the last answers.
func (d *Dispatcher) closingExpired(now float64) bool {
	d.closingRan += min(now-d.closingTurnAt, maxTurnSeconds)
	d.closingTurnAt = now
	return now > d.drainDeadline+flushSeconds && d.closingRan > flushSeconds
}

func (d *Dispatcher) canServe() bool { return d.cachedUpdate == nil && d.endpoints.Len() > 0 }

// isQuiet reports whether nothing is left to drain and the shortest drain time has passed.
func (d *Dispatcher) isQuiet(now float64, unanswered int) bool {
	return unanswered == 0 && d.downstream.InFlight() == 0 && d.downstream.Open() == 0 &&
		now-d.stopRequestedAt > minDrainSeconds
}

// startClosing makes the scheduler answer all remaining requests.
func (d *Dispatcher) startClosing(now float64, unanswered int) {
	d.closingTurnAt = now
	d.closingStep = d.stepCount
	if unanswered > 0 {
		d.Log("closing: %d requests get no answer from a worker", unanswered)
	}
	if d.Deferred != nil { // the scheduler answers the jobs that are still deferred
		d.Deferred.ExpireAll()
		d.releaseDeferred(now, math.MaxInt)
	}
	d.addEvent(balance.Shutdown{})
	// A connection that has just been accepted may not be counted as open yet.
	d.downstream.StopAccepting()
}

// finish handles the messages that arrived while the loop ended, and ensures that no caller waits for the loop
// afterwards.
func (d *Dispatcher) finish() {
	d.drainInbox()
	for _, r := range d.unanswered() { // a safeguard: the scheduler should have answered all
		d.Log("request %s: no decision before the end", r.inbound.ID)
		d.answer(r, downstream.Answer{Status: http.StatusBadGateway})
	}
	close(d.done)
	d.rejectQueued()
	for polls := 0; d.downstream.InFlight() > 0 && polls < maxFlushPolls; polls++ {
		time.Sleep(flushPoll) // the process ends after this, and would cut off answers that are being written
	}
}
