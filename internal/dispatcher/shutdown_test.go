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

// runUntilStopped lets time pass until the loop ends, and returns how long that took.
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
	r.t.Fatal("the loop has not ended after 1 min")
	return 0
}

// If the loop is delayed past the end of the drain, or even past the time for the last answers, all requests must
// still be answered before it ends.
func TestLoopDelayedPastDrain(t *testing.T) {
	for _, late := range []time.Duration{3500 * time.Millisecond, 3560 * time.Millisecond, 5 * time.Second} {
		r := newRig(t)
		sent, queued := r.startJob("out", "unsafe"), r.arrive("waits", "unsafe", time.Hour)
		r.handle(stopRequested{r.clock()})
		r.now = r.now.Add(late)
		r.runUntilStopped()
		if len(sent.answers) != 1 || len(queued.answers) != 1 || sent.answers[0] == 503 {
			t.Errorf("loop delayed by %v: answers %v to a sent request, %v to a queued one", late, sent.answers, queued.answers)
		}
	}
}

// The drain time is counted from the signal, as that of SIGKILL is, and not from when the loop handles the stop.
func TestStopCountsFromTheSignal(t *testing.T) {
	r := newRig(t)
	a := r.startJob("a", "unsafe")
	r.Stop()
	r.now = r.now.Add(time.Second) // the loop is delayed
	r.advance(2500 * time.Millisecond)
	if len(a.answers) != 1 {
		t.Errorf("answers %v 3.5 s after the signal, want one", a.answers)
	}
}

// A connection that is accepted just when no other is open must be served before the loop ends: the loop must stop
// accepting and then check again for open connections.
func TestConnectionAcceptedDuringClosing(t *testing.T) {
	r := newRig(t)
	r.handle(stopRequested{r.clock()})
	for n := 0; r.stopAcceptingCalls == 0 && n < 1000; n++ {
		r.advance(4 * time.Millisecond)
	}
	r.openConns = 1 // accepted just before StopAccepting
	r.advance(4 * time.Millisecond)
	a := r.arrive("a", "safe", time.Hour)
	if len(a.answers) != 1 || a.answers[0] != 503 || r.Phases.Now() == Stopped || !r.Phases.Ending() {
		t.Errorf("answers %v in phase %v, want [503] before stopped", a.answers, r.Phases.Now())
	}
	r.openConns = 0
	if took := r.runUntilStopped(); took > 8*time.Millisecond {
		t.Errorf("loop ended %v after the last connection, want at most 8 ms", took)
	}
	if r.stopAcceptingCalls != 1 {
		t.Errorf("StopAccepting was called %d times, want 1", r.stopAcceptingCalls)
	}
}

// A client that connects as the loop closes must be served before the loop ends, even if it was quiet long before the
// end of the drain and the process is suspended meanwhile, or if it is suspended in the time for the last answers.
func TestSuspendedWhileClosing(t *testing.T) {
	for name, drained := range map[string]bool{"quiet": false, "end of the drain": true} {
		r := newRig(t)
		if drained {
			r.openConns = 1
		}
		r.handle(stopRequested{r.clock()})
		for n := 0; r.stopAcceptingCalls == 0 && n < 1000; n++ {
			r.advance(4 * time.Millisecond)
		}
		r.openConns = 1 // accepted from the backlog
		r.now = r.now.Add(150 * time.Millisecond)
		for range 5 { // turns in which its request arrives and is answered
			r.now = r.now.Add(4 * time.Millisecond)
			if r.runTurn(r.clock()); r.advancePhase(r.clock()) {
				t.Errorf("%s: the loop ended before a connection from the backlog was served", name)
				break
			}
		}
		r.openConns = 0
		if r.Phases.Now() != Stopped {
			r.runUntilStopped()
		}
	}
}

// downstreamStub is a Downstream without connections. It calls onCheck when the loop calls Open or Drained.
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

// startDispatcher starts a dispatcher with its own loop; ended is closed when the loop has ended.
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

// A request that is posted after the loop's last check of its inbox, while the loop ends, or after its end must be
// answered, so that no client waits for a loop that has ended.
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
						t.Errorf("%s: answered %d, want 503", kind, a.Status)
					}
				}})
		}
		in.onCheck = func() { // runs on the loop, so it posts few requests, for which the inbox has room
			if in.checks.Add(1); in.checks.Load() == 1 || in.stopped.Load() && in.checks.Load() < 100 {
				post("last check ")
			}
		}
		d, ended := startDispatcher(t, in)
		synctest.Wait()
		d.Stop()
		<-ended
		post("after the end ")
		synctest.Wait()
		if posted.Load() < 2 || answered.Load() != posted.Load() {
			t.Errorf("%d of %d requests were answered", answered.Load(), posted.Load())
		}
	})
}

// Like TestRequestArrivesAsLoopEnds, with many concurrent requests at any time while the loop ends.
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
					t.Errorf("request %d of client %d has no answer", i, n)
					return
				}
			}
		})
	}
	<-ended
	stopped.Store(true)
	all.Wait()
}

// A reload after a stop must not lengthen the drain, as the time of SIGKILL is fixed, but must shorten it if the
// longest deadline becomes shorter.
func TestReloadAfterStop(t *testing.T) {
	for _, c := range []struct {
		before, after string // the longest deadlines, in seconds
		most          time.Duration
	}{{"0.5", "30", 950 * time.Millisecond}, {"30", "0.5", 950 * time.Millisecond}, {"2", "2", 2450 * time.Millisecond}} {
		longest := func(v string) string {
			return strings.NewReplacer(`"hard_limit":3`, `"hard_limit":`+v, `"hard_limit":2`, `"hard_limit":0.3`).Replace(settingsJSON)
		}
		r := newRigWith(t, longest(c.before), 1)
		a := r.startJob("a", "unsafe")
		r.handle(stopRequested{r.clock()})
		from := r.now
		s, err := settings.Parse([]byte(longest(c.after)))
		if err != nil {
			t.Fatal(err)
		}
		r.handle(settingsChanged{s})
		for len(a.answers) == 0 && r.now.Sub(from) < 5*time.Second {
			r.advance(4 * time.Millisecond)
		}
		if took := r.now.Sub(from); took < c.most || took > c.most+20*time.Millisecond {
			t.Errorf("deadlines of %s s, then %s s: answered after %v, want %v", c.before, c.after, took, c.most)
		}
	}
}

// After a stop before the first list, held requests must be sent when a list arrives, and the rest of the stop must
// be as usual.
func TestStopBeforeTheFirstList(t *testing.T) {
	r := newRig(t)
	for host := range r.endpoints.Hosts() { // no worker is known any more
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
	u, _ := endpoints.Parse([]byte(strings.Replace(cachedListJSON, `"seq":1`, `"seq":3`, 1))) // a list with an older version would not add workers
	r.handle(endpointEvent{watchID: r.watchID, update: u})
	r.advance(40 * time.Millisecond)
	for _, notify := range r.healthChecks {
		notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
	}
	r.advance(40 * time.Millisecond)
	if a.inFlight == nil || b.inFlight == nil {
		t.Fatal("not sent after a list arrived")
	}
	for _, h := range slices.Clone(r.attempts) {
		h.end(true)
		h.notify(upstream.AttemptEvent{Outcome: balance.Served})
	}
	r.runUntilStopped()
	if len(a.answers) != 1 || len(b.answers) != 1 || a.answers[0] != 200 || b.answers[0] != 200 {
		t.Errorf("answers %v and %v, want [200] and [200]", a.answers, b.answers)
	}
}

// A result arrives at the end of the drain: before Closing begins, while the scheduler's Shutdown event is pending, or
// after the request was answered. Each request must get one answer, and its result if that arrived in time.
func TestResultsAtClosing(t *testing.T) {
	for _, c := range []struct {
		when string
		want int
	}{{"before", 200}, {"shutdown pending", 200}, {"answered", 502}} {
		r := newRig(t)
		a := r.startJob("a", "unsafe")
		h := a.inFlight
		r.handle(stopRequested{r.clock()})
		served := func() {
			if h.end(true); c.when == "answered" {
				h.done = false // an abandoned attempt that still reports its result
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
		r.advancePhase(r.clock()) // the scheduler gets Shutdown in the next step
		if c.when == "shutdown pending" {
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

// A process that starts to yield while it drains must continue to close idle connections.
func TestYieldWhileItDrains(t *testing.T) {
	r := newRig(t)
	r.startJob("a", "unsafe")
	r.handle(stopRequested{r.clock()})
	r.advance(2100 * time.Millisecond)
	if r.Phases.Now() != Draining {
		t.Fatalf("phase %v", r.Phases.Now())
	}
	r.ApplyOperatorState(&handoff.OperatorState{}, false)
	calls := r.closeIdleCalls
	if r.advance(200 * time.Millisecond); r.closeIdleCalls < calls+3 {
		t.Errorf("%d calls of CloseIdle in 0.2 s, want at least 3", r.closeIdleCalls-calls)
	}
}

// A class without a deadline has 60 s, which must also apply to the drain time and to the retention of ids.
func TestStopWithoutDeadlines(t *testing.T) {
	r := newRigWith(t, strings.NewReplacer(`"hard_limit":2,`, "", `"hard_limit":3,`, "").Replace(settingsJSON), 1)
	a := r.startJob("a", "unsafe")
	r.handle(stopRequested{r.clock()})
	if r.advance(3400 * time.Millisecond); len(a.answers) > 0 {
		t.Errorf("answers %v before the drain time is over, want none", a.answers)
	}
	if r.recentIDs.retention != 60 {
		t.Errorf("ids are remembered for %v s, want 60", r.recentIDs.retention)
	}
}
