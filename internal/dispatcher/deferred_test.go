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

// reportFreeSlots answers all health checks with a report of the given number of free slots, in three rounds.
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
		r.t.Fatalf("%s is not in flight", j.req.ID)
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
		t.Fatal("the parent was not sent, or the child was sent before the parent ended")
	}
	r.finishJob(p, balance.Served)
	if c.inFlight == nil {
		t.Fatal("the child was not sent")
	}
	r.finishJob(c, balance.Served)
	r.wantAnswer(c, 200)
	// A job whose parents have been served already is sent too.
	d := r.arrive("d", "safe", 2*time.Second, "p", "c")
	r.reportFreeSlots(1e6)
	r.finishJob(d, balance.Served)
}

// If a parent fails, times out or its client disconnects, its child and grandchild must be answered at once. A child
// that arrives later must be answered at once too. All get 424, as a retry would not help.
func TestChildEndsWithItsParent(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(r *rig, p *jobModel)
		want int
	}{
		"fails":     {func(r *rig, p *jobModel) { r.finishJob(p, balance.ConnectionLost) }, 424},
		"times out": {func(r *rig, p *jobModel) { r.advance(520 * time.Millisecond) }, 424},
		"client disconnects": {func(r *rig, p *jobModel) {
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
			t.Errorf("%s: child got %v, grandchild got %v, want %d", name, k.answers, g.answers, c.want)
		}
		r.wantAnswer(r.arrive("late", "safe", time.Second, "p"), c.want)
	}
}

// A child whose parent is unknown waits for the parent for the grace time. If the parent does not arrive, the child
// gets 503.
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
	a := r.arrive("a", "safe", 2*time.Second) // rig.Start checks that it is not sent too soon
	r.advance(480 * time.Millisecond)
	if a.inFlight != nil {
		t.Fatal("sent before its start time")
	}
	r.advance(40 * time.Millisecond)
	r.reportFreeSlots(1e6)
	r.finishJob(a, balance.Served)
	// The deadline passes before the parent arrives: the scheduler rejects the job, which never ran.
	r.startDelay = 0
	b := r.arrive("b", "unsafe", 300*time.Millisecond, "c")
	r.advance(310 * time.Millisecond)
	r.wantAnswer(b, 503)
	r.startDelay = 9 * time.Second
	r.wantAnswer(r.arrive("d", "safe", time.Second), 400)
}

// When a parent with 10,000 children is served, the children must be submitted to the scheduler in batches. When the
// parent fails, all children must be answered within 100 ms of virtual time.
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
		for range 5 { // several turns in one batch interval, as posted messages cause, must release only one batch
			r.drainInbox()
			r.runTurn(r.clock())
		}
		submitted := 0
		for _, j := range all {
			if r.Deferred.IsDeferred(j.req.ID) {
				continue
			}
			submitted++
		}
		if o == balance.Served {
			if submitted == 0 || submitted > deferredBatch {
				t.Fatalf("%d children submitted in one batch interval, want between 1 and deferredBatch", submitted)
			}
			began := time.Now()
			for r.Deferred.Pending() > 0 {
				r.advance(4 * time.Millisecond)
			}
			t.Logf("a batch of %d took %v on average", deferredBatch, time.Since(began)/(10_000/deferredBatch))
			continue
		}
		for r.Deferred.Pending() > 0 {
			r.advance(4 * time.Millisecond)
		}
		if took := r.now.Sub(before); took > 100*time.Millisecond {
			t.Errorf("answering all children took %v, want at most 100 ms", took)
		}
		for _, j := range all {
			r.wantAnswer(j, 424)
		}
	}
}

// A request that repeats the id of a parent must get 409 and must affect neither the parent nor its children.
func TestRepeatedParentID(t *testing.T) {
	r := newDeferredRig(t)
	p := r.arrive("p", "unsafe", 9*time.Second)
	c := r.arrive("c", "safe", 9*time.Second, "p")
	r.reportFreeSlots(1e6)
	r.wantAnswer(r.arrive("p", "unsafe", 9*time.Second), 409)
	if p.inFlight == nil || len(c.answers) > 0 {
		t.Fatal("the repeated id affected the parent or the child")
	}
	r.finishJob(p, balance.Served)
	r.finishJob(c, balance.Served)
}
