package dispatcher

import (
	"errors"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/upstream"
)

// allowedTransitions is the expected table of transitions, independent of the one in the code.
const allowedTransitions = `starting: serving paused retiring stopped
serving: paused retiring stopped
paused: starting retiring stopped
retiring: draining closing stopped
draining: closing stopped
closing: stopped`

// Random calls of Enter must succeed exactly for the transitions of the table, and a stopped program stays stopped.
func FuzzPhases(f *testing.F) {
	f.Add([]byte{0, 1, 2, 1, 2, 3})
	f.Add([]byte{1, 2, 0, 3, 1, 2, 4, 5, 6, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		ways := map[string]map[string]bool{}
		for line := range strings.SplitSeq(allowedTransitions, "\n") {
			from, to, _ := strings.Cut(line, ": ")
			ways[from] = map[string]bool{}
			for w := range strings.FieldsSeq(to) {
				ways[from][w] = true
			}
		}
		p := &Phases{}
		wiretest.Steps(data, 100, func(b byte) {
			old, next := p.Now(), Phase(int(b)%7)
			if got, want := p.Enter(next), ways[old.String()][next.String()]; got != want {
				t.Fatalf("Enter from %v to %v: got %v, want %v", old, next, got, want)
			} else if got && p.Now() != next || !got && p.Now() != old {
				t.Fatalf("Enter from %v to %v: phase is %v afterwards", old, next, p.Now())
			}
			if p.Ready() != (p.Now() == Serving) || p.Ending() != (p.Now() == Paused || p.Now() >= Draining) {
				t.Fatalf("phase %v: got ready %v and ending %v, one of which is wrong", p.Now(), p.Ready(), p.Ending())
			}
		})
	})
}

// startJob makes a job arrive and waits until it is sent to a worker.
func (r *rig) startJob(id, class string) *jobModel {
	r.t.Helper()
	j := r.arrive(id, class, time.Hour)
	r.advance(20 * time.Millisecond)
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
	}
	r.healthChecks = nil
	r.advance(8 * time.Millisecond)
	if j.inFlight == nil {
		r.t.Fatalf("job %s was not sent", id)
	}
	return j
}

// setPaused applies an operator's pause or resume, and returns an error if the phase does not match it.
func (r *rig) setPaused(on bool) error {
	r.ApplyOperatorState((&handoff.OperatorState{}).SetPaused(on), true)
	if p := r.Phases.Now(); (p == Paused) != on && p < Retiring {
		return errors.New(p.String())
	}
	return nil
}

// A pause takes effect at once and without the loop. It closes idle connections once the front has had time to stop
// sending new ones, rejects requests that arrive too late to finish in time, and lets earlier jobs finish. A resume
// takes effect at once too, even in the middle of a pause.
func TestPause(t *testing.T) {
	r := newRig(t)
	a := r.startJob("a", "unsafe")
	if r.Status() != nil || r.setPaused(true) != nil || r.setPaused(true) != nil {
		t.Fatal("a serving dispatcher was not paused")
	}
	if r.Phases.Ready() || !r.Phases.Ending() || r.Status() == nil {
		t.Error("a pause did not take effect before the loop ran")
	}
	r.advance(300 * time.Millisecond)
	if r.closeIdleCalls > 0 {
		t.Error("idle connections were closed while the front still sends new ones")
	}
	r.advance(200 * time.Millisecond)
	if r.closeIdleCalls == 0 {
		t.Error("idle connections were not closed in a pause")
	}
	b := r.startJob("b", "safe")
	r.advance(1350 * time.Millisecond)
	c := r.arrive("c", "unsafe", time.Hour)
	if len(a.answers)+len(b.answers) > 0 || len(c.answers) != 1 || c.answers[0] != 503 {
		t.Errorf("answers %v and %v to admitted requests, %v to a late one; want none, none and [503]", a.answers, b.answers, c.answers)
	}
	for range 2 {
		if err := r.setPaused(false); err != nil {
			t.Errorf("not resumed: %v", err)
		}
	}
	r.advance(4 * time.Millisecond)
	if r.Status() != nil || r.Phases.Ending() {
		t.Errorf("phase %v after the end of a pause, want serving and not ending", r.Phases.Now())
	}
	closed := r.closeIdleCalls
	d := r.arrive("d", "safe", time.Hour)
	r.advance(100 * time.Millisecond)
	if r.closeIdleCalls != closed || len(d.answers) > 0 {
		t.Errorf("%d calls of CloseIdle and answers %v after a pause, want none", r.closeIdleCalls-closed, d.answers)
	}
	// A second pause must count its times from its own start.
	r.setPaused(true)
	r.advance(300 * time.Millisecond)
	if e := r.arrive("e", "safe", time.Hour); r.closeIdleCalls != closed || len(e.answers) > 0 {
		t.Error("a second pause counted its times from the first pause")
	}
}

// A pause combined with other transitions: a resume before the loop has handled the pause, a pause before any
// worker is known, and a stop during a pause, which must close idle connections at once and cannot be undone.
func TestPauseWithOtherTransitions(t *testing.T) {
	r := newRig(t)
	r.setPaused(true)
	r.setPaused(false)
	r.advance(time.Second)
	if !r.Phases.Ready() || r.closeIdleCalls > 0 {
		t.Errorf("phase %v, %d calls of CloseIdle after a pause and resume, want ready and none", r.Phases.Now(), r.closeIdleCalls)
	}
	r.setPaused(true)
	r.advance(8 * time.Millisecond)
	r.handle(stopRequested{r.clock()})
	r.advance(60 * time.Millisecond)
	if r.Phases.Now() != Draining || r.closeIdleCalls == 0 {
		t.Errorf("phase %v, %d calls of CloseIdle after a stop in a pause, want draining and some", r.Phases.Now(), r.closeIdleCalls)
	}
	if r.setPaused(false) != nil || r.setPaused(true) != nil || r.Phases.Now() != Draining {
		t.Errorf("phase %v after a resume and a pause during a stop, want draining", r.Phases.Now())
	}
	p, paused := &Phases{}, (&handoff.OperatorState{}).SetPaused(true)
	d := &Dispatcher{Options: Options{Phases: p}, wakeups: make(chan struct{}, 1)}
	if d.ApplyOperatorState(paused, true); d.Status() == nil || p.Enter(Serving) {
		t.Errorf("phase %v: a process that was paused while starting serves", p.Now())
	}
	if d.ApplyOperatorState(&handoff.OperatorState{}, true); !p.Enter(Serving) {
		t.Errorf("phase %v: not resumed, Enter(Serving) failed", p.Now())
	}
}

// A cordon is in force when ApplyOperatorState returns, before the loop has handled it, because an attempt checks it
// before it writes. The scheduler must be notified of each change once.
func TestCordons(t *testing.T) {
	r := newStartingRig(t, settingsJSON, 1)
	r.handle(endpointEvent{watchID: r.watchID, err: syscall.ECONNREFUSED}) // discovery is down and lists nothing
	r.advance(0)
	r.AcceptsCommands = true
	r.publishWorkers()
	a := r.startJob("a", "safe")
	if known, listed := r.KnowsWorker("a"); !known || listed {
		t.Errorf("known %v, listed %v before any list, want true and false", known, listed)
	}
	if known, _ := r.KnowsWorker("z"); known {
		t.Error("a worker that no list contains is known")
	}
	s, _ := (&handoff.OperatorState{}).Cordon("a", 1)
	s, _ = s.Cordon("b", 1)
	r.ApplyOperatorState(s, true)
	if r.attemptRequests[0].Blocked() == "" {
		t.Error("an attempt to a cordoned worker was not blocked")
	}
	r.pendingEvents = nil
	r.applyCommands()
	r.applyCommands()
	if got := len(r.pendingEvents); got != 2 || len(r.closedIdleTo) != 2 {
		t.Errorf("%d events for two cordons, idle connections to %v closed; want 2 of each", got, r.closedIdleTo)
	}
	// All workers are cordoned: a new request must be answered by its deadline, and nothing may be sent.
	b := r.arrive("b", "safe", time.Second)
	attempts := len(r.attempts)
	r.advance(1100 * time.Millisecond)
	if len(b.answers) != 1 || len(r.attempts) != attempts || len(a.answers) > 0 {
		t.Errorf("answers %v, %d attempts while all workers are cordoned, want one and 0; the earlier request got %v, want none", b.answers, len(r.attempts)-attempts, a.answers)
	}
	r.ApplyOperatorState(s.Uncordon("a"), true)
	if r.operatorState.Load().IsCordoned("a") || !r.operatorState.Load().IsCordoned("b") {
		t.Errorf("operator state %+v after uncordoning a, want only b cordoned", r.operatorState.Load())
	}
	r.applyCommands()
	if len(r.cordoned) != 1 || !r.cordoned["b"] {
		t.Errorf("workers %v are cordoned after uncordoning a, want only b", r.cordoned)
	}
	r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 2, Endpoints: []endpoints.Endpoint{{WorkerInfo: balance.WorkerInfo{ID: "z", State: balance.Running}, Address: "1:3"}}}})
	if known, listed := r.KnowsWorker("z"); !known || !listed {
		t.Error("a listed worker is not known")
	}
}

// In an upgrade a yielding process closes idle connections after 1 s and sends almost nothing to warming workers. When
// it leads again, it uses a quarter of its slow-start budgets at first and all of them later.
func TestYield(t *testing.T) {
	r := newRig(t)
	r.Settings.FleetRules.OverloadSeconds, r.Settings.FleetRules.OverloadMultiple = 3, 2
	lastMultiple := func() float64 { // the multiple in the last configuration for the scheduler
		for _, event := range slices.Backward(r.pendingEvents) {
			if e, ok := event.(balance.ConfigChanged); ok {
				return e.Config.OverloadMultiple
			}
		}
		return -1
	}
	none := &handoff.OperatorState{}
	r.ApplyOperatorState(none, false)
	r.applyCommands()
	if got := lastMultiple(); got != 2*yieldingSlowStartShare {
		t.Errorf("OverloadMultiple is %v when it yields", got)
	}
	if r.Status() == nil || !r.Phases.Ready() || !r.Phases.Ending() {
		t.Errorf("status %v, ready %v, ending %v while it yields; want an error, true, true", r.Status(), r.Phases.Ready(), r.Phases.Ending())
	}
	r.advance(900 * time.Millisecond)
	if r.closeIdleCalls > 0 || r.slowStartShare != yieldingSlowStartShare {
		t.Errorf("%d calls of CloseIdle, slow-start share %v after 0.9 s of yielding", r.closeIdleCalls, r.slowStartShare)
	}
	r.advance(200 * time.Millisecond)
	if r.closeIdleCalls == 0 {
		t.Error("idle connections were not closed after 1.1 s of yielding")
	}
	r.ApplyOperatorState(none, true)
	r.applyCommands()
	if got := lastMultiple(); got != 2*overlapSlowStartShare {
		t.Errorf("OverloadMultiple is %v when it leads", got)
	}
	r.advance(8 * time.Millisecond)
	closed := r.closeIdleCalls
	if r.Status() != nil || r.Phases.Ending() || r.slowStartShare != overlapSlowStartShare {
		t.Errorf("status %v, ending %v, slow-start share %v when it leads again", r.Status(), r.Phases.Ending(), r.slowStartShare)
	}
	r.advance(100 * time.Millisecond)
	if r.closeIdleCalls != closed || r.slowStartShare != overlapSlowStartShare {
		t.Errorf("%d calls of CloseIdle, slow-start share %v after it leads again", r.closeIdleCalls-closed, r.slowStartShare)
	}
	if r.advance(3 * time.Second); r.slowStartShare != 1 {
		t.Errorf("slow-start share %v after the overlap, want 1", r.slowStartShare)
	}
	// A process that stops while it yields still reports ready for the dispatcher, and drains at once.
	r.ApplyOperatorState(none, false)
	r.advance(8 * time.Millisecond)
	r.handle(stopRequested{r.clock()})
	r.advance(60 * time.Millisecond)
	if r.Phases.Now() != Draining || !r.Phases.Ready() || r.closeIdleCalls == closed {
		t.Errorf("phase %v, ready %v, %d calls of CloseIdle after a stop; want draining, true and some", r.Phases.Now(), r.Phases.Ready(), r.closeIdleCalls-closed)
	}
}
