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

// allowedTransitions is the written table of transitions, apart from the code's.
const allowedTransitions = `starting: serving paused retiring stopped
serving: paused retiring stopped
paused: starting retiring stopped
retiring: draining closing stopped
draining: closing stopped
closing: stopped`

// Random steps of all that moves the phase stay on the ways of the table, and
// an end is final.
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
				t.Fatalf("from %v to %v: %v, want %v", old, next, got, want)
			} else if got && p.Now() != next || !got && p.Now() != old {
				t.Fatalf("from %v to %v: now %v", old, next, p.Now())
			}
			if p.Ready() != (p.Now() == Serving) || p.Ending() != (p.Now() == Paused || p.Now() >= Draining) {
				t.Fatalf("%v: ready %v, ending %v", p.Now(), p.Ready(), p.Ending())
			}
		})
	})
}

// startJob has a job come and go out to a worker.
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
		r.t.Fatalf("%s: not sent", id)
	}
	return j
}

// setPaused says what operators do, and what the phase makes of it.
func (r *rig) setPaused(on bool) error {
	r.ApplyOperatorState((&handoff.OperatorState{}).SetPaused(on), true)
	if p := r.Phases.Now(); (p == Paused) != on && p < Retiring {
		return errors.New(p.String())
	}
	return nil
}

// A pause says no at once and without the loop, closes idle connections when
// the front has had its time, rejects what could not be old enough at its end,
// lets jobs finish, and is over at once, also when it is half done.
func TestPause(t *testing.T) {
	r := newRig(t)
	a := r.startJob("a", "unsafe")
	if r.Status() != nil || r.setPaused(true) != nil || r.setPaused(true) != nil {
		t.Fatal("a serving dispatcher was not paused")
	}
	if r.Phases.Ready() || !r.Phases.Ending() || r.Status() == nil {
		t.Error("a pause waits for the loop")
	}
	r.advance(300 * time.Millisecond)
	if r.closeIdleCalls > 0 {
		t.Error("idle connections were closed while the front still brings new ones")
	}
	r.advance(200 * time.Millisecond)
	if r.closeIdleCalls == 0 {
		t.Error("idle connections stay open")
	}
	b := r.startJob("b", "safe")
	r.advance(1350 * time.Millisecond)
	c := r.arrive("c", "unsafe", time.Hour)
	if len(a.answers)+len(b.answers) > 0 || len(c.answers) != 1 || c.answers[0] != 503 {
		t.Errorf("answers %v, %v to those taken, %v to one that came too late", a.answers, b.answers, c.answers)
	}
	for range 2 {
		if err := r.setPaused(false); err != nil {
			t.Errorf("not resumed: %v", err)
		}
	}
	r.advance(4 * time.Millisecond)
	if r.Status() != nil || r.Phases.Ending() {
		t.Errorf("phase %v after the end of a pause", r.Phases.Now())
	}
	closed := r.closeIdleCalls
	d := r.arrive("d", "safe", time.Hour)
	r.advance(100 * time.Millisecond)
	if r.closeIdleCalls != closed || len(d.answers) > 0 {
		t.Errorf("%d looks at idle connections and answers %v after a pause", r.closeIdleCalls-closed, d.answers)
	}
	// Paused anew, its time begins anew.
	r.setPaused(true)
	r.advance(300 * time.Millisecond)
	if e := r.arrive("e", "safe", time.Hour); r.closeIdleCalls != closed || len(e.answers) > 0 {
		t.Error("a second pause goes on where the first was left")
	}
}

// What happens beside a pause: a call back before the loop has handled the
// call out, a pause before there is anything to serve with, and a stop, which
// closes idle connections at once and which nothing undoes.
func TestPauseWithOtherTransitions(t *testing.T) {
	r := newRig(t)
	r.setPaused(true)
	r.setPaused(false)
	r.advance(time.Second)
	if !r.Phases.Ready() || r.closeIdleCalls > 0 {
		t.Errorf("phase %v, %d looks at idle connections", r.Phases.Now(), r.closeIdleCalls)
	}
	r.setPaused(true)
	r.advance(8 * time.Millisecond)
	r.handle(stopRequested{r.clock()})
	r.advance(60 * time.Millisecond)
	if r.Phases.Now() != Draining || r.closeIdleCalls == 0 {
		t.Errorf("phase %v, %d looks at idle connections after a stop in a pause", r.Phases.Now(), r.closeIdleCalls)
	}
	if r.setPaused(false) != nil || r.setPaused(true) != nil || r.Phases.Now() != Draining {
		t.Errorf("a stop was undone: %v", r.Phases.Now())
	}
	p, paused := &Phases{}, (&handoff.OperatorState{}).SetPaused(true)
	d := &Dispatcher{Options: Options{Phases: p}, wakeups: make(chan struct{}, 1)}
	if d.ApplyOperatorState(paused, true); d.Status() == nil || p.Enter(Serving) {
		t.Errorf("phase %v: paused before its start, it serves", p.Now())
	}
	if d.ApplyOperatorState(&handoff.OperatorState{}, true); !p.Enter(Serving) {
		t.Errorf("phase %v: not resumed", p.Now())
	}
}

// A cordon binds when ApplyOperatorState returns, before the loop has handled it: the attempt
// that is under way checks it by itself. The scheduler is notified of each change once.
func TestCordons(t *testing.T) {
	r := newStartingRig(t, settingsJSON, 1)
	r.handle(endpointEvent{watchID: r.watchID, err: syscall.ECONNREFUSED}) // discovery is down: no list from it
	r.advance(0)
	r.AcceptsCommands = true
	r.publishWorkers()
	a := r.startJob("a", "safe")
	if known, listed := r.KnowsWorker("a"); !known || listed {
		t.Errorf("known %v, listed %v before any list", known, listed)
	}
	if known, _ := r.KnowsWorker("z"); known {
		t.Error("an id that nobody named is known")
	}
	s, _ := (&handoff.OperatorState{}).Cordon("a", 1)
	s, _ = s.Cordon("b", 1)
	r.ApplyOperatorState(s, true)
	if r.attemptRequests[0].Blocked() == "" {
		t.Error("a hop that is under way may still write")
	}
	r.pendingEvents = nil
	r.applyCommands()
	r.applyCommands()
	if got := len(r.pendingEvents); got != 2 || len(r.closedIdleTo) != 2 {
		t.Errorf("%d events for two bans, connections to %v closed", got, r.closedIdleTo)
	}
	// All are cordoned: what comes is answered in its time, and nothing is sent.
	b := r.arrive("b", "safe", time.Second)
	hops := len(r.attempts)
	r.advance(1100 * time.Millisecond)
	if len(b.answers) != 1 || len(r.attempts) != hops || len(a.answers) > 0 {
		t.Errorf("answers %v, %d hops while all workers are left out; the one under way got %v", b.answers, len(r.attempts)-hops, a.answers)
	}
	r.ApplyOperatorState(s.Uncordon("a"), true)
	if r.operatorState.Load().IsCordoned("a") || !r.operatorState.Load().IsCordoned("b") {
		t.Errorf("%+v after one was taken back", r.operatorState.Load())
	}
	r.applyCommands()
	if len(r.cordoned) != 1 || !r.cordoned["b"] {
		t.Errorf("%v are out after one was taken back", r.cordoned)
	}
	r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 2, Endpoints: []endpoints.Endpoint{{WorkerInfo: balance.WorkerInfo{ID: "z", State: balance.Running}, Address: "1:3"}}}})
	if known, listed := r.KnowsWorker("z"); !known || !listed {
		t.Error("a listed worker is not known")
	}
}

// An upgrade as the loop sees it: yielding it closes idle connections after a
// while, uses no warming worker, and goes back to all of it when it leads again.
func TestYield(t *testing.T) {
	r := newRig(t)
	r.Settings.FleetRules.OverloadSeconds, r.Settings.FleetRules.OverloadMultiple = 3, 2
	lastMultiple := func() float64 { // the multiple that the scheduler was last told
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
		t.Errorf("the module is told of a multiple of %v when it yields", got)
	}
	if r.Status() == nil || !r.Phases.Ready() || !r.Phases.Ending() {
		t.Errorf("status %v, ready %v, ending %v while it yields", r.Status(), r.Phases.Ready(), r.Phases.Ending())
	}
	r.advance(900 * time.Millisecond)
	if r.closeIdleCalls > 0 || r.slowStartShare != yieldingSlowStartShare {
		t.Errorf("%d looks at idle connections, cold part %v", r.closeIdleCalls, r.slowStartShare)
	}
	r.advance(200 * time.Millisecond)
	if r.closeIdleCalls == 0 {
		t.Error("idle connections stay")
	}
	r.ApplyOperatorState(none, true)
	r.applyCommands()
	if got := lastMultiple(); got != 2*overlapSlowStartShare {
		t.Errorf("the module is told of a multiple of %v when it leads", got)
	}
	r.advance(8 * time.Millisecond)
	closed := r.closeIdleCalls
	if r.Status() != nil || r.Phases.Ending() || r.slowStartShare != overlapSlowStartShare {
		t.Errorf("status %v, ending %v, cold part %v when it leads again", r.Status(), r.Phases.Ending(), r.slowStartShare)
	}
	r.advance(100 * time.Millisecond)
	if r.closeIdleCalls != closed || r.slowStartShare != overlapSlowStartShare {
		t.Errorf("%d looks, cold part %v", r.closeIdleCalls-closed, r.slowStartShare)
	}
	if r.advance(3 * time.Second); r.slowStartShare != 1 {
		t.Errorf("cold part %v when what the other sent no longer counts", r.slowStartShare)
	}
	// Told to stop while it yields, it still says yes for the dispatcher, and goes at once.
	r.ApplyOperatorState(none, false)
	r.advance(8 * time.Millisecond)
	r.handle(stopRequested{r.clock()})
	r.advance(60 * time.Millisecond)
	if r.Phases.Now() != Draining || !r.Phases.Ready() || r.closeIdleCalls == closed {
		t.Errorf("phase %v, ready %v, %d looks after a stop", r.Phases.Now(), r.Phases.Ready(), r.closeIdleCalls-closed)
	}
}
