package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/endpoints"
)

// updateHealth delivers an endpoint list in which the workers a and b have the given health.
func (r *rig) updateHealth(seq int, health string) {
	r.t.Helper()
	u, err := endpoints.Parse([]byte(strings.ReplaceAll(strings.Replace(cachedListJSON, `"seq":1`, fmt.Sprintf(`"seq":%d`, seq), 1), "active", health)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.handle(endpointEvent{watchID: r.watchID, update: u})
	r.advance(8 * time.Millisecond)
}

// The start time of a deferred job passes while all workers drain or have left. The job must wait like any other job
// until a worker is available or its deadline passes, and must not fail.
func TestDeferredJobDueWithoutWorkers(t *testing.T) {
	for _, health := range []string{"leaving", "left"} {
		r := newDeferredRig(t)
		p := r.arrive("p", "unsafe", 5*time.Second)
		r.reportFreeSlots(1e6)
		r.startDelay = 300 * time.Millisecond
		kept, lost := r.arrive("kept", "unsafe", 3*time.Second), r.arrive("lost", "unsafe", 500*time.Millisecond)
		child := r.arrive("child", "unsafe", 3*time.Second, "p")
		r.updateHealth(2, health)
		r.finishJob(p, balance.Served) // an attempt in flight may finish
		r.advance(400 * time.Millisecond)
		if kept.inFlight != nil || lost.inFlight != nil || child.inFlight != nil {
			t.Fatalf("%s: a job was sent to a worker in this state", health)
		}
		r.advance(100 * time.Millisecond)
		r.wantAnswer(lost, 503) // rejected rather than failed, as it never ran
		r.updateHealth(3, "active")
		r.reportFreeSlots(1e6)
		r.finishJob(kept, balance.Served)
		r.finishJob(child, balance.Served)
		r.wantAnswer(kept, 200)
		r.wantAnswer(child, 200)
	}
}

// A child whose deadline is before its parent's must be answered at its own deadline, together with the jobs that
// depend on it. The parent and its other children must not be affected.
func TestChildEndsBeforeItsParent(t *testing.T) {
	r := newDeferredRig(t)
	p := r.arrive("p", "unsafe", 2*time.Second)
	c, g := r.arrive("c", "unsafe", 300*time.Millisecond, "p"), r.arrive("g", "unsafe", 2*time.Second, "c")
	other := r.arrive("other", "unsafe", 2*time.Second, "p")
	r.reportFreeSlots(1e6)
	r.advance(310 * time.Millisecond)
	r.wantAnswer(c, 503)
	r.wantAnswer(g, 503)
	if p.inFlight == nil || len(other.answers) > 0 {
		t.Fatal("the end of the child affected its parent or another child")
	}
	r.finishJob(p, balance.Served)
	r.finishJob(other, balance.Served)
	r.wantAnswer(p, 200)
	r.wantAnswer(other, 200)
	if s := r.Deferred.Stats(); s.Waiting != 0 || s.Bytes != 0 {
		t.Errorf("jobs are still deferred: %+v", s)
	}
}

// Deferred jobs do not survive a restart: a stop must answer them with 503. The next process does not know earlier
// parents, so a child gets 503 unless its parent arrives as well.
func TestRestartWhileWaiting(t *testing.T) {
	r := newDeferredRig(t)
	r.arrive("p", "unsafe", time.Hour)
	r.reportFreeSlots(1e6)
	c, d := r.arrive("c", "unsafe", time.Hour, "p"), r.arrive("d", "unsafe", time.Hour, "c")
	r.startDelay = time.Minute
	timed := r.arrive("timed", "unsafe", time.Hour)
	r.handle(stopRequested{r.clock()})
	r.advance(3600 * time.Millisecond)
	r.wantAnswer(c, 503)
	r.wantAnswer(d, 503)
	r.wantAnswer(timed, 503)
	next := newDeferredRig(t)
	c = next.arrive("c", "unsafe", 9*time.Second, "p")
	next.advance(2100 * time.Millisecond)
	next.wantAnswer(c, 503)
	c = next.arrive("c2", "unsafe", 9*time.Second, "p2")
	p := next.arrive("p2", "unsafe", 9*time.Second)
	next.reportFreeSlots(1e6)
	next.finishJob(p, balance.Served)
	next.finishJob(c, balance.Served)
	next.wantAnswer(c, 200)
}

// When deferred jobs reach the limit of bytes, of jobs or of unknown parents, the next one must be rejected with
// 503 at once. Jobs without dependencies must be served as before, and nothing may remain after the flood.
func TestFloodOfDeferredJobs(t *testing.T) {
	for name, c := range map[string]struct {
		limits func(*deferred.Limits)
		after  func(i int) string
		fit    int
		ends   time.Duration // until the admitted jobs are answered
	}{
		"bytes":     {func(l *deferred.Limits) { l.Bytes = 100 * requestOverheadBytes }, func(int) string { return "parent" }, 100, 4 * time.Second},
		"jobs":      {func(l *deferred.Limits) { l.Jobs = 100 }, func(int) string { return "parent" }, 100, 4 * time.Second},
		"strangers": {func(l *deferred.Limits) { l.UnknownParents = 100 }, func(i int) string { return fmt.Sprint("never", i) }, 100, 2 * time.Second},
	} {
		r := newDeferredRig(t)
		c.limits(&r.Deferred.Limits)
		parent := r.arrive("parent", "unsafe", 9*time.Second)
		r.reportFreeSlots(1e6)
		var all []*jobModel
		for i := range 2000 {
			all = append(all, r.arrive(fmt.Sprint("f", i), "unsafe", 4*time.Second, c.after(i)))
		}
		for i, j := range all {
			if taken := len(j.answers) == 0; taken != (i < c.fit) || !taken && j.answers[0] != 503 {
				t.Fatalf("%s: job %d: answers %v on arrival, want none within the limit and then [503]", name, i, j.answers)
			}
		}
		for i := range 50 {
			j := r.arrive(fmt.Sprint("usual", i), "unsafe", 9*time.Second) // the scheduler derives a job's age from its timeout
			r.reportFreeSlots(1e6)
			r.finishJob(j, balance.Served)
			r.wantAnswer(j, 200)
		}
		r.advance(c.ends + 20*time.Millisecond)
		for _, j := range all[:c.fit] {
			r.wantAnswer(j, 503)
		}
		if s := r.Deferred.Stats(); s.Waiting+s.UnknownParents != 0 || s.Bytes != 0 || s.Ended > r.Deferred.RetainedOutcomes {
			t.Errorf("%s: deferred jobs or outcomes remain: %+v", name, s)
		}
		r.finishJob(parent, balance.Served)
		r.wantAnswer(parent, 200)
	}
}

// Stats must report waiting jobs by stage, class and tenant, with the age of the oldest. A promised wait applies
// from the reload that adds it until the reload that removes it.
func TestStatsAndMaxWaits(t *testing.T) {
	r := newDeferredRig(t)
	r.Depths = deferred.NewDepths()
	arriveTwenty := func(name string) {
		for i := range 20 {
			r.arrive(fmt.Sprint(name, i), "unsafe", 9*time.Second)
		}
	}
	r.reportFreeSlots(0)
	r.arrive("a1", "unsafe", 9*time.Second)
	r.advance(100 * time.Millisecond)
	arriveTwenty("b")
	r.arrive("k", "safe", 9*time.Second, "a1")
	r.advance(100 * time.Millisecond)
	f := r.stats()
	if len(f.Depths) != 2 || f.Depths[0].Stage != deferred.StageDeferred || f.Depths[0].Jobs != 1 || f.Depths[1].Jobs != 21 ||
		f.Depths[1].Class != "unsafe" || f.Depths[1].Tenant != "acme" || f.Depths[1].Oldest < 0.2 || f.Depths[1].Oldest > 0.22 {
		t.Fatalf("depths %+v, want 1 deferred job and 21 queued ones, the oldest for 0.2 s", f.Depths)
	}
	declined := func() (n int) {
		r.advance(8 * time.Millisecond)
		for _, j := range r.jobs {
			if len(j.answers) > 0 {
				n++
			}
		}
		return n
	}
	r.handle(maxWaitsChanged{map[string]float64{"unsafe": 0.5}})
	arriveTwenty("c")
	before := declined()
	if before == 0 || before == 20 {
		t.Errorf("%d of 20 jobs were rejected on arrival, want some but not all", before)
	}
	if f = r.stats(); len(f.FirstAttempts) != 1 || f.FirstAttempts[0].Declined != uint64(before) || f.FirstAttempts[0].Sent != 0 {
		t.Errorf("first attempts %+v, want the rejected jobs as declined and none sent", f.FirstAttempts)
	}
	r.handle(maxWaitsChanged{nil})
	arriveTwenty("d")
	if n := declined(); n != before {
		t.Errorf("%d jobs were rejected after the promised wait was removed, want 0", n-before)
	}
	r.advance(time.Second) // no worker has capacity, so the promised wait is exceeded
	r.reportFreeSlots(1e6)
	for range 40 {
		for _, h := range r.attempts {
			if !h.done {
				r.finishJob(h.job, balance.Served)
			}
		}
	}
	f = r.stats()
	if len(f.Depths) > 0 {
		t.Errorf("depths %+v after all jobs were served, want none", f.Depths)
	}
	if h := f.FirstAttempts[len(f.FirstAttempts)-1]; h.Class != "unsafe" || h.Late != uint64(20-before) || h.Longest < 1 {
		t.Errorf("first attempts %+v, want class unsafe with %d late and the longest wait at least 1 s", h, 20-before)
	}
}
