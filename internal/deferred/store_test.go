package deferred

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func limits() Limits {
	l := Defaults()
	l.UnknownParentGrace, l.Retention = 2, 60
	return l
}

// job returns a job of 100 bytes with a deadline that the tests don't reach.
func job(id string, dependsOn ...string) Job {
	return Job{ID: id, DependsOn: dependsOn, Deadline: 1e6, Size: 100}
}

// addDeferred adds a job that has to be deferred.
func addDeferred(t *testing.T, s *Store, now float64, j Job) {
	t.Helper()
	if eligible, err := s.Add(now, j); eligible || err != nil {
		t.Fatalf("%s: eligible %v, error %v, want a deferred job", j.ID, eligible, err)
	}
}

// drainAll returns the ids of all due jobs. It appends "!" and the outcome of the parent to ids of jobs with a
// cause, and "?" to those of expired jobs.
func drainAll(s *Store) (ids []string) {
	for _, d := range s.Drain(1 << 30) {
		id := d.ID
		if d.Cause != nil {
			id += "!" + d.Cause.Outcome.String()
		} else if d.Expired {
			id += "?"
		}
		ids = append(ids, id)
	}
	return ids
}

func checkIDs(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: drained %v, want %v", what, got, want)
	}
}

func TestParents(t *testing.T) {
	s := New(limits())
	s.Track(0, "p")
	addDeferred(t, s, 0, job("c", "p"))
	checkIDs(t, "while the parent runs", drainAll(s))
	s.End(1, "p", Served)
	checkIDs(t, "parent served", drainAll(s), "c")
	if eligible, err := s.Add(2, job("late", "p")); !eligible || err != nil {
		t.Errorf("parent served before: eligible %v, error %v", eligible, err)
	}
	s.Track(2, "q")
	addDeferred(t, s, 2, job("d", "q"))
	addDeferred(t, s, 2, job("e", "d"))
	s.End(3, "q", Failed)
	checkIDs(t, "parent failed", drainAll(s), "d!failed", "e!failed")
	var parentFailed *ParentFailedError
	if _, err := s.Add(4, job("f", "q")); !errors.As(err, &parentFailed) || parentFailed.Retryable() {
		t.Errorf("parent failed before: got %v, want a ParentFailedError that is not retryable", err)
	}
	// A child of a refused job is refused as well, so its own children may be retried.
	s.Track(5, "r")
	addDeferred(t, s, 5, job("g", "r"))
	s.End(5, "r", Refused)
	checkIDs(t, "parent refused", drainAll(s), "g!refused")
	if _, err := s.Add(5, job("h", "g")); !errors.As(err, &parentFailed) || !parentFailed.Retryable() {
		t.Errorf("child of a refused job: got %v, want a retryable ParentFailedError", err)
	}
	if got := s.Stats(); got.Waiting != 0 || got.Bytes != 0 || got.Cascaded != 3 || got.Released != 1 {
		t.Errorf("got %+v, want nothing waiting, 3 cascaded and 1 released", got)
	}
	// Outcomes are dropped after Retention.
	s.Tick(100)
	addDeferred(t, s, 100, job("i", "p"))
	s.Tick(102)
	checkIDs(t, "parent whose outcome was dropped", drainAll(s), "i!unknown here")
}

func TestParentArrivesAfterChild(t *testing.T) {
	s := New(limits())
	addDeferred(t, s, 0, job("c", "p"))
	s.Track(1, "p")
	s.Tick(10)
	checkIDs(t, "after the grace, parent arrived within it", drainAll(s))
	s.End(11, "p", Served)
	checkIDs(t, "served", drainAll(s), "c")
	// A parent that arrives and is deferred itself.
	addDeferred(t, s, 20, job("z", "y"))
	addDeferred(t, s, 20, job("y", "x"))
	s.Track(21, "x")
	s.End(22, "x", Served)
	checkIDs(t, "x", drainAll(s), "y")
	s.End(23, "y", Served)
	checkIDs(t, "y", drainAll(s), "z")
}

func TestDiamond(t *testing.T) {
	for _, o := range []Outcome{Served, Failed} {
		s := New(limits())
		s.Track(0, "a")
		addDeferred(t, s, 0, job("l", "a"))
		addDeferred(t, s, 0, job("r", "a"))
		addDeferred(t, s, 0, job("end", "l", "r", "l"))
		s.End(1, "a", Served)
		checkIDs(t, "top", drainAll(s), "l", "r")
		s.End(2, "l", Served)
		checkIDs(t, "one side", drainAll(s))
		s.End(3, "r", o)
		if o == Served {
			checkIDs(t, "both", drainAll(s), "end")
		} else {
			checkIDs(t, "one failed", drainAll(s), "end!failed")
		}
	}
}

func TestStartTimesAndDeadlines(t *testing.T) {
	s := New(limits())
	j := job("t")
	j.NotBefore = 5
	addDeferred(t, s, 0, j)
	k := job("both", "p")
	k.NotBefore = 5
	s.Track(0, "p")
	addDeferred(t, s, 0, k)
	if at, ok := s.Next(); !ok || at != 5 {
		t.Errorf("next tick at %v, want 5", at)
	}
	s.Tick(4.99)
	checkIDs(t, "before its start time", drainAll(s))
	s.Tick(5)
	checkIDs(t, "at its start time", drainAll(s), "t")
	s.End(6, "p", Served)
	checkIDs(t, "after its start time, parent served", drainAll(s), "both")
	past := job("past")
	past.NotBefore = 1
	if eligible, err := s.Add(7, past); !eligible || err != nil {
		t.Errorf("start time in the past: eligible %v, error %v", eligible, err)
	}
	// At its deadline a job is handed over to the scheduler, and its children remain deferred.
	expiring := job("over", "q")
	expiring.Deadline = 9
	s.Track(8, "q")
	addDeferred(t, s, 8, expiring)
	addDeferred(t, s, 8, job("child", "over"))
	s.Tick(9)
	checkIDs(t, "at its deadline", drainAll(s), "over?")
	s.End(9, "over", Refused)
	checkIDs(t, "child of the refused job", drainAll(s), "child!refused")
}

// Add rejects invalid dependencies and start times with an error that names the field, and stores nothing.
func TestInvalidRequestsAreRejected(t *testing.T) {
	l := limits()
	l.Parents, l.Depth = 3, 4
	s := New(l)
	addDeferred(t, s, 0, job("b", "a"))
	addDeferred(t, s, 0, job("c", "b"))
	before := s.Stats()
	for _, c := range []struct {
		j     Job
		field string
	}{
		{job("x", "x"), "Wait-For"},
		{job("x", "1", "2", "3", "4"), "Wait-For"},
		{job("a", "c"), "Wait-For"}, // a cycle of three jobs
		{Job{ID: "x", NotBefore: math.NaN(), Deadline: 10}, "Not-Before"},
		{Job{ID: "x", NotBefore: -1, Deadline: 10}, "Not-Before"},
		{Job{ID: "x", NotBefore: math.Inf(1), Deadline: 10}, "Not-Before"},
		{Job{ID: "x", NotBefore: 11, Deadline: 10}, "Not-Before"},
	} {
		var invalid *InvalidDependencyError
		if _, err := s.Add(0, c.j); !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%+v: got %v, want an InvalidDependencyError", c.j, err)
		}
	}
	addDeferred(t, s, 0, job("d", "c"))
	addDeferred(t, s, 0, job("e", "d"))
	var invalid *InvalidDependencyError
	if _, err := s.Add(0, job("f", "e")); !errors.As(err, &invalid) {
		t.Errorf("chain longer than Depth: got %v, want an InvalidDependencyError", err)
	}
	if _, err := s.Add(0, job("a", "0")); !errors.As(err, &invalid) {
		t.Errorf("parent that makes the chain of its children too long: got %v, want an InvalidDependencyError", err)
	}
	after := s.Stats()
	if after.Waiting != before.Waiting+2 || after.UnknownParents != before.UnknownParents || after.Invalid != 9 {
		t.Errorf("stats before %+v, after %+v, want 2 more waiting, no more unknown parents and 9 invalid", before, after)
	}
}

// In a chain of 10,000 jobs, a failure of the first ends all others, and otherwise each is released when its
// parent is served.
func TestLongChain(t *testing.T) {
	for _, o := range []Outcome{Served, Failed} {
		s := New(limits())
		s.Track(0, "0")
		for i := range 10_000 {
			addDeferred(t, s, 0, job(fmt.Sprint(i+1), fmt.Sprint(i)))
		}
		s.End(1, "0", o)
		for i := range 10_000 {
			d := s.Drain(1)
			if len(d) != 1 || d[0].ID != fmt.Sprint(i+1) || (d[0].Cause != nil) != (o == Failed) {
				t.Fatalf("job %d: drained %v", i, d)
			}
			if o == Served {
				s.End(1, d[0].ID, Served)
			}
		}
		if got := s.Stats(); got.Waiting != 0 || s.Pending() != 0 {
			t.Errorf("jobs are left in the store: %+v", got)
		}
	}
}

// A chain may be added in reverse, each parent after its child, up to the limit of descendants that are searched.
func TestChainAddedFromLeafToRoot(t *testing.T) {
	s := New(limits())
	s.UnknownParentGrace = 100
	var err error
	n := 0
	for ; err == nil && n < 10_000; n++ {
		_, err = s.Add(0, job(fmt.Sprint(n), fmt.Sprint(n+1)))
	}
	var invalid *InvalidDependencyError
	if n < maxDescendantsVisited || !errors.As(err, &invalid) {
		t.Errorf("after %d jobs got %v, want an InvalidDependencyError", n, err)
	}
}

// Drain returns 10,000 children of one parent in the order of their arrival, at most 64 in one call.
func TestManyChildren(t *testing.T) {
	s := New(limits())
	s.Track(0, "p")
	for i := range 10_000 {
		addDeferred(t, s, 0, job(fmt.Sprint(i), "p"))
	}
	s.End(1, "p", Served)
	for i := 0; i < 10_000; {
		d := s.Drain(64)
		if len(d) == 0 || len(d) > 64 {
			t.Fatalf("drained %d jobs in one call, want 1 to 64", len(d))
		}
		for _, x := range d {
			if x.ID != fmt.Sprint(i) {
				t.Fatalf("drained %s at position %d", x.ID, i)
			}
			i++
		}
	}
}

// The limits of jobs, bytes and unknown parents hold. What jobs count against them is released when their
// clients disconnect.
func TestLimitsHoldAndAreReleased(t *testing.T) {
	l := limits()
	l.Jobs, l.Bytes, l.UnknownParents = 50, 2000, 10
	s := New(l)
	s.Track(0, "p")
	wantLimitError := func(j Job, what string) {
		t.Helper()
		var limit *LimitError
		if _, err := s.Add(0, j); !errors.As(err, &limit) || limit.Resource != what {
			t.Errorf("got %v, want too many %s", err, what)
		}
	}
	for i := range 10 {
		addDeferred(t, s, 0, job(fmt.Sprint("s", i), fmt.Sprint("never", i)))
	}
	wantLimitError(job("s", "never"), "jobs for ids that have not come")
	for i := range 10 {
		addDeferred(t, s, 0, job(fmt.Sprint("b", i), "p"))
	}
	wantLimitError(job("b", "p"), "bytes of jobs")
	for i := range 30 {
		j := job(fmt.Sprint("j", i), "p")
		j.Size = 0
		addDeferred(t, s, 0, j)
	}
	wantLimitError(Job{ID: "j", DependsOn: []string{"p"}, Deadline: 9}, "jobs")
	for i := range 10 {
		s.End(1, fmt.Sprint("s", i), Abandoned)
		s.End(1, fmt.Sprint("b", i), Abandoned)
	}
	for i := range 30 {
		s.End(1, fmt.Sprint("j", i), Abandoned)
	}
	got := s.Stats()
	if got.Waiting != 0 || got.Bytes != 0 || got.UnknownParents != 0 || len(s.timers) != 0 || len(s.byID["p"].children) > 33 {
		t.Errorf("not all was released: %+v, %d timers", got, len(s.timers))
	}
	// RetainedOutcomes bounds the outcomes.
	s.RetainedOutcomes = 100
	for i := range 1000 {
		id := fmt.Sprint("e", i)
		s.Track(2, id)
		s.End(2, id, Served)
	}
	if len(s.byID) > 102 {
		t.Errorf("%d ids are kept, want at most 102", len(s.byID))
	}
}

func TestExpireAll(t *testing.T) {
	s := New(limits())
	s.Track(0, "p")
	addDeferred(t, s, 0, job("a", "p"))
	addDeferred(t, s, 0, job("b", "a", "never"))
	j := job("c")
	j.NotBefore = 50
	addDeferred(t, s, 0, j)
	s.ExpireAll()
	got := drainAll(s)
	slices.Sort(got)
	checkIDs(t, "after ExpireAll", got, "a?", "b?", "c?")
}

// Random operations are compared with a simple model: each job leaves the store at most once, none leaves before
// its parents are served and its start time has come, and no job remains at the end.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits()
		l.Parents, l.Depth, l.UnknownParents, l.Jobs, l.Retention = 3, 6, 8, 40, 1e9
		s := New(l)
		type model struct {
			dependsOn []string
			notBefore float64
			deadline  float64
			state     string // deferred, released or ended
			outcome   Outcome
		}
		all := map[string]*model{}
		var ids []string
		now := 0.0
		served := func(id string) bool { m := all[id]; return m != nil && m.outcome == Served }
		drain := func(most int) {
			for _, d := range s.Drain(most) {
				m := all[d.ID]
				if m == nil || m.state != "deferred" {
					t.Fatalf("%s left the store in state %+v", d.ID, m)
				}
				switch {
				case d.Cause != nil:
					if p := all[d.Cause.Parent]; p != nil && p.outcome == Served {
						t.Fatalf("%s ended because of %v, but that was served", d.ID, d.Cause)
					}
					m.state, m.outcome = "ended", Failed
				case d.Expired:
					m.state = "released"
				default:
					for _, p := range m.dependsOn {
						if !served(p) {
							t.Fatalf("%s left the store before %s was served", d.ID, p)
						}
					}
					if now < m.notBefore {
						t.Fatalf("%s left the store at %v, want not before %v", d.ID, now, m.notBefore)
					}
					m.state = "released"
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1: // a job arrives
				id := fmt.Sprint(rapid.IntRange(0, 25).Draw(t, "id"))
				if all[id] != nil {
					continue
				}
				m := &model{deadline: now + rapid.Float64Range(1, 20).Draw(t, "deadline")}
				for range rapid.IntRange(0, 3).Draw(t, "parents") {
					m.dependsOn = append(m.dependsOn, fmt.Sprint(rapid.IntRange(0, 25).Draw(t, "parent")))
				}
				if rapid.Bool().Draw(t, "timed") {
					m.notBefore = now + rapid.Float64Range(0, 10).Draw(t, "not before")
				}
				eligible, err := s.Add(now, Job{ID: id, DependsOn: m.dependsOn, NotBefore: m.notBefore, Deadline: m.deadline, Size: 1})
				if err != nil {
					continue
				}
				all[id] = m
				ids = append(ids, id)
				m.state = "deferred"
				if eligible {
					m.state = "released"
					for _, p := range m.dependsOn {
						if !served(p) {
							t.Fatalf("%s is eligible before %s was served", id, p)
						}
					}
				}
			case 2: // a job ends, or its client disconnects
				if len(ids) == 0 {
					continue
				}
				m := all[rapid.SampledFrom(ids).Draw(t, "ends")]
				o := Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
				if m.state == "deferred" {
					o = Abandoned
				}
				if m.state == "released" || m.state == "deferred" {
					drain(1 << 30) // the caller drains before it reports an outcome
					if m.state == "ended" {
						continue
					}
					if m.state == "deferred" {
						o = Abandoned
					}
					for id, x := range all {
						if x == m {
							s.End(now, id, o)
						}
					}
					m.state, m.outcome = "ended", o
				}
			case 3:
				now += rapid.Float64Range(0, 3).Draw(t, "time")
				s.Tick(now)
			default:
				drain(rapid.IntRange(1, 4).Draw(t, "most"))
			}
		}
		for range 40 {
			now++
			s.Tick(now)
			drain(1 << 30)
			for id, m := range all {
				if m.state == "released" {
					s.End(now, id, Served)
					m.state, m.outcome = "ended", Served
				}
			}
		}
		drain(1 << 30)
		for id, m := range all {
			if m.state != "ended" && m.state != "released" {
				t.Fatalf("%s never left the store: %+v", id, m)
			}
		}
		if got := s.Stats(); got.Waiting != 0 || got.Bytes != 0 || got.UnknownParents != 0 || len(s.timers) != 0 {
			t.Fatalf("the store is not empty at the end: %+v, %d timers", got, len(s.timers))
		}
	})
}

func TestLimitsAreChecked(t *testing.T) {
	if key, err := Defaults().Check(); err != nil {
		t.Errorf("default of %s: %v", key, err)
	}
	l := Defaults()
	l.UnknownParentGrace = math.NaN()
	if key, err := l.Check(); key != "grace" || err == nil {
		t.Errorf("got key %s, error %v, want an error for grace", key, err)
	}
}

// Measures the arrival and release of one job while 100 to 100,000 other jobs are deferred.
func BenchmarkArrivalAndRelease(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(n, "waiting"), func(b *testing.B) {
			l := Defaults()
			l.Jobs, l.Bytes, l.Retention = 1_000_000, 1<<40, 0
			s := New(l)
			s.Track(0, "root")
			for i := range n {
				j := job(fmt.Sprint("w", i), "root")
				j.Deadline, j.NotBefore = 1e6+float64(i), float64(1000+i)
				s.Add(0, j)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 1 + float64(i)*1e-6
				s.Track(now, "p")
				s.Add(now, job("c", "p"))
				s.End(now, "p", Served)
				if d := s.Drain(10); len(d) != 1 {
					b.Fatal(d)
				}
				s.End(now, "c", Served)
			}
		})
	}
}

// Measures how long End takes when a parent of 10,000 jobs fails.
func BenchmarkCascade(b *testing.B) {
	for range b.N {
		b.StopTimer()
		s := New(limits())
		s.Track(0, "p")
		for i := range 10_000 {
			s.Add(0, job(fmt.Sprint(i), "p"))
		}
		b.StartTimer()
		began := time.Now()
		s.End(1, "p", Failed)
		b.ReportMetric(float64(time.Since(began).Microseconds()), "us/cascade")
	}
}
