package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/upstream"
)

func newDeferredRig(t *testing.T) *rig {
	r := newRig(t)
	r.Deferred = deferred.New(deferred.Defaults())
	r.advance(20 * time.Millisecond)
	r.reportFreeSlots(1e6)
	return r
}

// reportFreeSlots has all health checks answered with so many free slots.
func (r *rig) reportFreeSlots(free float64) {
	for range 3 {
		for _, notify := range r.healthChecks {
			notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{free}})
		}
		r.healthChecks = nil
		r.advance(8 * time.Millisecond)
	}
}

func (r *rig) finishJob(j *jobModel, o balance.Outcome) {
	r.t.Helper()
	if j.inFlight == nil {
		r.t.Fatalf("%s is not out", j.req.ID)
	}
	h := j.inFlight
	h.notify(upstream.AttemptEvent{})
	h.end(o != balance.Overloaded)
	h.notify(upstream.AttemptEvent{Outcome: o, Result: []byte("x"), Report: []float64{1e6}})
	r.advance(8 * time.Millisecond)
	r.reportFreeSlots(1e6)
}

func (r *rig) wantAnswer(j *jobModel, want int) {
	r.t.Helper()
	if len(j.answers) != 1 || j.answers[0] != want {
		r.t.Errorf("%s: answers %v, want %d", j.req.ID, j.answers, want)
	}
}

func TestChildFollowsItsParent(t *testing.T) {
	r := newDeferredRig(t)
	p := r.arrive("p", "unsafe", 2*time.Second)
	c := r.arrive("c", "safe", 2*time.Second, "p")
	r.reportFreeSlots(1e6)
	if p.inFlight == nil || c.inFlight != nil {
		t.Fatal("the child did not wait, or the parent did")
	}
	r.finishJob(p, balance.Served)
	if c.inFlight == nil {
		t.Fatal("the child was not sent")
	}
	r.finishJob(c, balance.Served)
	r.wantAnswer(c, 200)
	// The parent has ended already.
	d := r.arrive("d", "safe", 2*time.Second, "p", "c")
	r.reportFreeSlots(1e6)
	r.finishJob(d, balance.Served)
}

// However a parent ends badly, its child gets its answer at once: one that a
// client can try again where that can help, one that it can't where not.
func TestChildEndsWithItsParent(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(r *rig, p *jobModel)
		want int
	}{
		"fails":     {func(r *rig, p *jobModel) { r.finishJob(p, balance.ConnectionLost) }, 424},
		"times out": {func(r *rig, p *jobModel) { r.advance(520 * time.Millisecond) }, 424},
		"client leaves": {func(r *rig, p *jobModel) {
			p.disconnected = true
			r.handle(clientDisconnected{p.req})
			r.advance(8 * time.Millisecond)
		}, 424},
	} {
		r := newDeferredRig(t)
		p := r.arrive("p", "unsafe", 500*time.Millisecond)
		k := r.arrive("k", "safe", 9*time.Second, "p")
		g := r.arrive("g", "safe", 9*time.Second, "k")
		r.reportFreeSlots(1e6)
		c.end(r, p)
		r.advance(8 * time.Millisecond)
		if len(k.answers) != 1 || len(g.answers) != 1 || k.answers[0] != c.want || g.answers[0] != c.want {
			t.Errorf("%s: child %v, its child %v, want %d", name, k.answers, g.answers, c.want)
		}
		r.wantAnswer(r.arrive("late", "safe", time.Second, "p"), c.want)
	}
}

// A parent that is unknown may arrive within its grace.
func TestUnknownParent(t *testing.T) {
	r := newDeferredRig(t)
	c := r.arrive("c", "safe", 9*time.Second, "never")
	d := r.arrive("d", "safe", 9*time.Second, "soon")
	r.advance(time.Second)
	p := r.arrive("soon", "safe", 9*time.Second)
	r.reportFreeSlots(1e6)
	r.finishJob(p, balance.Served)
	r.finishJob(d, balance.Served)
	r.advance(1500 * time.Millisecond)
	r.wantAnswer(c, 503)
	r.wantAnswer(d, 200)
}

func TestStartTime(t *testing.T) {
	r := newDeferredRig(t)
	r.startDelay = 500 * time.Millisecond
	a := r.arrive("a", "safe", 2*time.Second) // the model checks that it is not sent too soon
	r.advance(480 * time.Millisecond)
	if a.inFlight != nil {
		t.Fatal("sent before its time")
	}
	r.advance(40 * time.Millisecond)
	r.reportFreeSlots(1e6)
	r.finishJob(a, balance.Served)
	// Its deadline comes first: the scheduler rejects what never ran.
	r.startDelay = 0
	b := r.arrive("b", "unsafe", 300*time.Millisecond, "c")
	r.advance(310 * time.Millisecond)
	r.wantAnswer(b, 503)
	r.startDelay = 9 * time.Second
	r.wantAnswer(r.arrive("d", "safe", time.Second), 400)
}

// 10,000 children of one parent go to the scheduler a few at a time, and no more
// of them out than there is capacity for; when it fails instead, all are answered
// within 100 ms of the loop's time.
func TestTenThousandChildren(t *testing.T) {
	for _, o := range []balance.Outcome{balance.Served, balance.ConnectionLost} {
		r := newDeferredRig(t)
		p := r.arrive("p", "unsafe", 100*time.Second)
		var all []*jobModel
		for i := range 10_000 {
			all = append(all, r.arrive(fmt.Sprint("c", i), "unsafe", 90*time.Second, "p"))
		}
		r.reportFreeSlots(5)
		h := p.inFlight
		h.notify(upstream.AttemptEvent{})
		h.end(true)
		h.notify(upstream.AttemptEvent{Outcome: o, Result: []byte("x"), Report: []float64{5}})
		before := r.now
		for range 5 { // turns that come at once, as posts do: one round's worth goes
			r.drainInbox()
			r.runTurn(r.clock())
		}
		offered := 0
		for _, j := range all {
			if r.Deferred.IsDeferred(j.req.ID) {
				continue
			}
			offered++
		}
		if o == balance.Served {
			if offered == 0 || offered > deferredBatch {
				t.Fatalf("%d offered in one round", offered)
			}
			began := time.Now()
			for r.Deferred.Pending() > 0 {
				r.advance(4 * time.Millisecond)
			}
			t.Logf("a round of %d took %v in the mean", deferredBatch, time.Since(began)/(10_000/deferredBatch))
			continue
		}
		for r.Deferred.Pending() > 0 {
			r.advance(4 * time.Millisecond)
		}
		if took := r.now.Sub(before); took > 100*time.Millisecond {
			t.Errorf("cascade took %v", took)
		}
		for _, j := range all {
			r.wantAnswer(j, 424)
		}
	}
}

// Requests that wait are counted by nobody as asked for more than once, and a
// repeat of an id disturbs neither the job nor its children.
func TestRepeatedParentID(t *testing.T) {
	r := newDeferredRig(t)
	p := r.arrive("p", "unsafe", 9*time.Second)
	c := r.arrive("c", "safe", 9*time.Second, "p")
	r.reportFreeSlots(1e6)
	r.wantAnswer(r.arrive("p", "unsafe", 9*time.Second), 409)
	if p.inFlight == nil || len(c.answers) > 0 {
		t.Fatal("the repeat disturbed them")
	}
	r.finishJob(p, balance.Served)
	r.finishJob(c, balance.Served)
}
