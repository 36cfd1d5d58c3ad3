package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// runUntilStopped lets time go by until the loop is over, and returns how long that took.
func (r *rig) runUntilStopped() time.Duration {
	r.t.Helper()
	from := r.now
	for ; r.now.Sub(from) < time.Minute; r.now = r.now.Add(4 * time.Millisecond) {
		r.drainInbox()
		r.runTurn(r.clock())
		if r.advancePhase(r.clock()) {
			return r.now.Sub(from)
		}
	}
	r.t.Fatal("the loop does not end")
	return 0
}

// A loop that was held up over the drain's time, and over that for the last answers, has all that
// is held answered before it ends.
func TestLoopDelayedPastDrain(t *testing.T) {
	for _, late := range []time.Duration{3500 * time.Millisecond, 3560 * time.Millisecond, 5 * time.Second} {
		r := newRig(t)
		out, waits := r.startJob("out", "unsafe"), r.arrive("waits", "unsafe", time.Hour)
		r.handle(stopRequested{r.clock()})
		r.now = r.now.Add(late)
		r.runUntilStopped()
		if len(out.answers) != 1 || len(waits.answers) != 1 || out.answers[0] == 503 {
			t.Errorf("held up for %v: answers %v to one that is out, %v to one that waits", late, out.answers, waits.answers)
		}
	}
}

// The time of a stop runs from the signal, not from when the loop handles it: SIGKILL's does.
func TestStopCountsFromTheSignal(t *testing.T) {
	r := newRig(t)
	a := r.startJob("a", "unsafe")
	r.Stop()
	r.now = r.now.Add(time.Second) // the loop is held up
	r.advance(2500 * time.Millisecond)
	if len(a.answers) != 1 {
		t.Errorf("answers %v 3.5 s after the signal", a.answers)
	}
}

// What comes in the moment in which nothing is open any more has to be found before the loop ends:
// it stops the listener and looks again.
func TestConnectionAcceptedDuringClosing(t *testing.T) {
	r := newRig(t)
	r.handle(stopRequested{r.clock()})
	for n := 0; r.stopAcceptingCalls == 0 && n < 1000; n++ {
		r.advance(4 * time.Millisecond)
	}
	r.openConns = 1 // Accept handed it over meanwhile
	r.advance(4 * time.Millisecond)
	a := r.arrive("a", "safe", time.Hour)
	if len(a.answers) != 1 || a.answers[0] != 503 || r.Phases.Now() == Stopped || !r.Phases.Ending() {
		t.Errorf("answers %v in phase %v", a.answers, r.Phases.Now())
	}
	r.openConns = 0
	if took := r.runUntilStopped(); took > 8*time.Millisecond {
		t.Errorf("ended %v after the last connection", took)
	}
	if r.stopAcceptingCalls != 1 {
		t.Errorf("shut %d times", r.stopAcceptingCalls)
	}
}

// downstreamStub is the clients' side of a loop that runs, with something to happen when the loop looks at it.
type downstreamStub struct {
	checks, inFlight atomic.Int64
	stopped          atomic.Bool
	onCheck          func()
}

func (d *downstreamStub) InFlight() int { return int(d.inFlight.Load()) }
func (d *downstreamStub) Open() int {
	d.onCheck()
	return 0
}
func (d *downstreamStub) CloseIdle(time.Duration) {}
func (d *downstreamStub) StopAccepting()          { d.stopped.Store(true) }
func (d *downstreamStub) Drained() bool {
	d.onCheck()
	return d.stopped.Load()
}

// startDispatcher is a dispatcher whose own loop runs; ended is closed when it is over.
func startDispatcher(t *testing.T, in *downstreamStub) (d *Dispatcher, ended chan struct{}) {
	t.Helper()
	s, err := settings.Parse([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	d, err = New(Options{Settings: s, CachedEndpoints: []byte(cachedListJSON), Upstream: &rig{}, Phases: &Phases{}, Log: func(string, ...any) {}, Now: time.Now,
		Watch: func(ctx context.Context, _ string, _ int64, _ func(*endpoints.Update)) error {
			<-ctx.Done()
			return ctx.Err()
		}})
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(in)
	}()
	return d, ended
}

// A request that is posted between the loop's last look and its end, while it ends, or behind it,
// is answered: nobody may wait for a loop that is gone.
func TestRequestArrivesAsLoopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d *Dispatcher
		var posted, answered atomic.Int64
		in := &downstreamStub{}
		post := func(kind string) {
			n := posted.Add(1)
			d.Arrive(&downstream.Request{ID: fmt.Sprint(kind, n), Class: "safe", Arrived: time.Now(), Timeout: time.Hour,
				Answer: func(a downstream.Answer) {
					if answered.Add(1); a.Status != 503 {
						t.Errorf("%s: got %d", kind, a.Status)
					}
				}})
		}
		in.onCheck = func() { // few, as the inbox must have room: this is called on the loop
			if in.checks.Add(1); in.checks.Load() == 1 || in.stopped.Load() && in.checks.Load() < 100 {
				post("last look ")
			}
		}
		d, ended := startDispatcher(t, in)
		synctest.Wait()
		d.Stop()
		<-ended
		post("behind the end ")
		synctest.Wait()
		if posted.Load() < 2 || answered.Load() != posted.Load() {
			t.Errorf("%d of %d requests were answered", answered.Load(), posted.Load())
		}
	})
}

// The same with many at once, at any moment of the end.
func TestManyRequestsArriveAsLoopEnds(t *testing.T) {
	d, ended := startDispatcher(t, &downstreamStub{onCheck: func() {}})
	d.Phases.Enter(Serving)
	d.Stop()
	var all sync.WaitGroup
	var stopped atomic.Bool
	for n := range 8 {
		all.Go(func() {
			for i := 0; !stopped.Load() || i%10 > 0; i++ {
				answer := make(chan downstream.Answer, 1)
				d.Arrive(&downstream.Request{ID: fmt.Sprint(n, "-", i), Class: "none", Arrived: time.Now(), Timeout: 10 * time.Millisecond,
					Answer: func(a downstream.Answer) { answer <- a }})
				select {
				case <-answer:
				case <-time.After(10 * time.Second):
					t.Errorf("request %d of %d has no answer", i, n)
					return
				}
			}
		})
	}
	<-ended
	stopped.Store(true)
	all.Wait()
}

// A reload behind a stop does not have it last longer, as SIGKILL's time stands, nor keep jobs past an
// earlier one.
func TestReloadAfterStop(t *testing.T) {
	for _, c := range []struct {
		before, behind string // the longest deadlines
		most           time.Duration
	}{{"0.5", "30", 950 * time.Millisecond}, {"30", "0.5", 950 * time.Millisecond}, {"2", "2", 2450 * time.Millisecond}} {
		longest := func(v string) string {
			return strings.NewReplacer(`"hard_limit":3`, `"hard_limit":`+v, `"hard_limit":2`, `"hard_limit":0.3`).Replace(settingsJSON)
		}
		r := newRigWith(t, longest(c.before), 1)
		a := r.startJob("a", "unsafe")
		r.handle(stopRequested{r.clock()})
		from := r.now
		s, err := settings.Parse([]byte(longest(c.behind)))
		if err != nil {
			t.Fatal(err)
		}
		r.handle(settingsChanged{s})
		for len(a.answers) == 0 && r.now.Sub(from) < 5*time.Second {
			r.advance(4 * time.Millisecond)
		}
		if took := r.now.Sub(from); took < c.most || took > c.most+20*time.Millisecond {
			t.Errorf("deadlines of %s s, then %s s: answered after %v, want %v", c.before, c.behind, took, c.most)
		}
	}
}

// A stop before the first list: what is held goes out when a list comes, and all else is as in any stop.
func TestStopBeforeTheFirstList(t *testing.T) {
	r := newRig(t)
	for host := range r.endpoints.Hosts() { // nothing is known
		u, _ := endpoints.Parse([]byte(`{"seq":2,"hosts":[{"host":"` + host + `","health":"left"}]}`))
		r.handle(endpointEvent{watchID: r.watchID, update: u})
	}
	r.Phases = &Phases{}
	a, b := r.arrive("a", "safe", 30*time.Second), r.arrive("b", "unsafe", time.Hour)
	r.handle(stopRequested{r.clock()})
	r.advance(100 * time.Millisecond)
	if r.Phases.Now() != Retiring || len(a.answers) > 0 {
		t.Fatalf("phase %v, answers %v", r.Phases.Now(), a.answers)
	}
	u, _ := endpoints.Parse([]byte(strings.Replace(cachedListJSON, `"seq":1`, `"seq":3`, 1))) // an older one would open nothing
	r.handle(endpointEvent{watchID: r.watchID, update: u})
	r.advance(40 * time.Millisecond)
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
	}
	r.advance(40 * time.Millisecond)
	if a.inFlight == nil || b.inFlight == nil {
		t.Fatal("not sent once a list is there")
	}
	for _, h := range slices.Clone(r.attempts) {
		h.end(true)
		h.notify(upstream.AttemptEvent{Outcome: balance.Served})
	}
	r.runUntilStopped()
	if len(a.answers) != 1 || len(b.answers) != 1 || a.answers[0] != 200 || b.answers[0] != 200 {
		t.Errorf("answers %v and %v", a.answers, b.answers)
	}
}

// A result that comes with the end of the drain's time, before or behind the scheduler's answers, and one
// that comes as the loop ends: each request has one answer, a result where it was there in time.
func TestResultsAtClosing(t *testing.T) {
	for _, c := range []struct {
		when string
		want int
	}{{"before", 200}, {"told", 200}, {"answered", 502}} {
		r := newRig(t)
		a := r.startJob("a", "unsafe")
		h := a.inFlight
		r.handle(stopRequested{r.clock()})
		served := func() {
			if h.end(true); c.when == "answered" {
				h.done = false // it was abandoned, and tells all the same
			}
			h.notify(upstream.AttemptEvent{Outcome: balance.Served})
			r.drainInbox()
		}
		r.now = r.wallTime(r.drainDeadline)
		r.runTurn(r.clock())
		r.advancePhase(r.clock())
		if c.when == "before" {
			served()
		}
		r.now = r.now.Add(4 * time.Millisecond)
		r.runTurn(r.clock())
		r.advancePhase(r.clock()) // the scheduler is told by the next step
		if c.when == "told" {
			if r.Phases.Now() != Closing || len(a.answers) > 0 {
				t.Fatalf("phase %v, answers %v", r.Phases.Now(), a.answers)
			}
			served()
		}
		r.advance(8 * time.Millisecond)
		if c.when == "answered" {
			served()
		}
		if r.advance(200 * time.Millisecond); r.Phases.Now() != Stopped {
			t.Errorf("%s: phase %v", c.when, r.Phases.Now())
		}
		if len(a.answers) != 1 || a.answers[0] != c.want {
			t.Errorf("%s: answers %v, want %d", c.when, a.answers, c.want)
		}
	}
}

// One that is drained and comes to yield goes on to close idle connections.
func TestYieldWhileItDrains(t *testing.T) {
	r := newRig(t)
	r.startJob("a", "unsafe")
	r.handle(stopRequested{r.clock()})
	r.advance(2100 * time.Millisecond)
	if r.Phases.Now() != Draining {
		t.Fatalf("phase %v", r.Phases.Now())
	}
	r.ApplyOperatorState(&handoff.OperatorState{}, false)
	looks := r.closeIdleCalls
	if r.advance(200 * time.Millisecond); r.closeIdleCalls < looks+3 {
		t.Errorf("%d looks at idle connections in 0.2 s", r.closeIdleCalls-looks)
	}
}

// A class that names no deadline has 60 s, also for what a stop and the memory of ids go by.
func TestStopWithoutDeadlines(t *testing.T) {
	r := newRigWith(t, strings.NewReplacer(`"hard_limit":2,`, "", `"hard_limit":3,`, "").Replace(settingsJSON), 1)
	a := r.startJob("a", "unsafe")
	r.handle(stopRequested{r.clock()})
	if r.advance(3400 * time.Millisecond); len(a.answers) > 0 {
		t.Errorf("answers %v to one with time left", a.answers)
	}
	if r.recentIDs.retention != 60 {
		t.Errorf("ids are remembered for %v s", r.recentIDs.retention)
	}
}
