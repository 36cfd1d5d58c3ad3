package balance

import (
	"fmt"
	"testing"
)

// Found on overloaded days: a backlog made every job late in its turn.
func TestLateJobDoesNotBlock(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	r.step(r.job("read", "a"), r.report("w", 0))
	r.at(115, r.job("read", "a"))
	got := of[Send](r.at(115.1, r.report("w", 1)))
	if len(got) != 1 || got[0].ID != "a2" {
		t.Errorf("sent %v, want the fresh job only", got)
	}
}

// Found on overloaded days: long jobs took the slots of many short ones.
func TestSmallJobsFirstWithinTenant(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	wide := r.job("read", "a")
	wide.Slots = 3
	r.step(wide, r.job("read", "a"))
	if got := of[Send](r.step(r.report("w", 3))); len(got) != 1 || got[0].ID != "a2" {
		t.Errorf("sent %v, want the narrow job and no room for the wide one", got)
	}
}

// Found on recorded days: one tenant's surplus took each slot as it came free.
func TestSurplusLeavesFreeSlots(t *testing.T) {
	cfg := base()
	cfg.Tenants = []Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 1}}
	cfg.Dispatchers = 2
	r := newRig(t, cfg, up("w")...)
	var flood []Event
	for range 60 {
		flood = append(flood, r.job("read", "a"))
	}
	got := of[Send](r.step(append(flood, r.report("w", 10))...))
	if len(got) >= 10 || len(got) < 5 {
		t.Errorf("surplus took %d of 10 slots", len(got))
	}
	if got := of[Send](r.step(r.job("read", "b"))); len(got) != 1 || got[0].ID[0] != 'b' {
		t.Errorf("%v for the tenant within its quota", got)
	}
}

// Found on a recorded day: completions kept a queue inside the worker alive.
func TestCompletionWithQueuedJobFreesNoSlot(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	s := of[Send](r.step(r.job("read", "a"), r.job("read", "a"), r.report("w", 2)))
	r.step(AttemptStarted{s[0].ID, 0}) // the second queues there
	r.at(101, r.report("w", 0))
	got := of[Send](r.at(102, done(s[0], 0, Served), r.job("read", "a")))
	if len(got) != 0 {
		t.Errorf("sent %v after a completion whose slot the queued job takes", got)
	}
}

// Found on every day's first seconds: no report exists yet.
func TestUnreportedWorkerGetsOneAtATime(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	blank := HealthCheckDone{Worker: "w", Outcome: Served}
	got := of[Send](r.step(blank, r.job("read", "a"), r.job("read", "a"), r.job("read", "a")))
	if len(got) != 1 {
		t.Fatalf("%d sends into the unknown, want 1", len(got))
	}
	if got := of[Send](r.step(AttemptStarted{got[0].ID, 0})); len(got) != 1 {
		t.Errorf("%d sends after the first has started, want 1", len(got))
	}
}

// Found on a recorded day: health checks alone cost more than two points.
func TestHealthChecksStayWithinBudget(t *testing.T) {
	cfg := base()
	cfg.HealthCheckCost = 0.01
	ids := []string{}
	for i := range 20 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	r := newRig(t, cfg, up(ids...)...)
	jobs := 0
	for range 100 {
		r.now += 0.3
		ev := []Event{r.job("read", "a")}
		jobs++
		for _, p := range of[HealthCheck](r.acts) {
			ev = append(ev, HealthCheckDone{Worker: p.Worker, Outcome: Served, Report: []float64{0}})
		}
		r.step(ev...)
	}
	if n := len(of[HealthCheck](r.acts)); float64(n-20)*0.01 > healthCheckBudgetShare*float64(jobs)+0.01 {
		t.Errorf("%d probes for %d jobs", n, jobs)
	}
}

// Found at a site with unlike cores: slow workers got as much as fast ones.
func TestSelectionPrefersFastWorkers(t *testing.T) {
	r := newRig(t, base(), up("quick", "slow")...)
	count := map[string]int{}
	for i := range 300 {
		r.now += 10
		s := of[Send](r.step(r.job("read", "a"), r.report("quick", float64(3+i%2)), r.report("slow", float64(3+i%2))))
		if len(s) != 1 {
			continue
		}
		if i > 100 {
			count[s[0].Worker]++
		}
		r.step(AttemptStarted{s[0].ID, 0})
		r.now += map[string]float64{"quick": 1, "slow": 5}[s[0].Worker]
		r.step(done(s[0], 0, Served))
	}
	if count["quick"] < 2*count["slow"] || count["slow"] == 0 {
		t.Errorf("picked %v: want the quick one more, the slow one still", count)
	}
}

func TestFailingWorkerIsEjected(t *testing.T) {
	r := newRig(t, base(), up("bad", "good")...)
	s := of[Send](r.step(r.job("write", "a"), r.report("bad", 5)))[0]
	r.step(done(s, 0, Failed))
	for range 20 {
		for _, s := range of[Send](r.step(r.job("write", "a"), r.report("bad", 50))) {
			t.Fatalf("unsafe job sent to %s right after it failed one", s.Worker)
		}
	}
}

func TestCommonCauseEjectsNoWorker(t *testing.T) {
	r := newRig(t, base(), up("u", "v", "w")...)
	r.b.failureRate = mean{count: 20, value: 0.5}
	for _, w := range []string{"u", "v", "w"} {
		s := of[Send](r.step(r.job("write", "a"), r.report(w, 3)))
		if len(s) != 1 {
			t.Fatalf("%d sends while half of all fail, want 1", len(s))
		}
		r.step(done(s[0], 0, ConnectionLost), r.report(w, 0))
	}
}

// Found on recorded days with many dispatchers: a tenant with an old backlog
// kept the oldest local tag and passed all others wherever slots were short.
func TestOldBacklogDoesNotPassFreshDueJobs(t *testing.T) {
	cfg := base()
	cfg.Tenants = []Tenant{{Name: "a", Quota: 5}, {Name: "b", Quota: 5}}
	cfg.Classes[0].LatencyObjective = 0.3
	r := newRig(t, cfg, up("w")...)
	r.step(r.report("w", 0))
	for range 80 { // a floods for 8 s; nothing leaves
		r.now += 0.1
		r.step(r.job("read", "a"))
	}
	r.step(r.job("read", "b"))
	served := map[byte]int{}
	for _, s := range of[Send](r.at(r.now+0.2, r.report("w", 2))) {
		served[s.ID[0]]++
	}
	if served['b'] != 1 {
		t.Errorf("served %v: the fresh job of the other tenant had to wait", served)
	}
}

// Found on overloaded days: late surplus waited for its deadline and cost
// the price of late failures; within the quota a late answer still earns.
func TestLateSurplusIsRejectedAtOnce(t *testing.T) {
	for _, c := range []struct{ jobs, want int }{{3, 0}, {120, 120 - idleCreditSlots}} {
		cfg := base()
		cfg.Tenants = []Tenant{{Name: "a", Quota: 1}}
		r := newRig(t, cfg, up("w")...)
		r.step(r.report("w", 0))
		for range c.jobs {
			r.step(r.job("read", "a"))
		}
		if got := of[Reject](r.at(112, TimerFired{})); len(got) != c.want {
			t.Errorf("%d of %d hopeless jobs refused, want %d", len(got), c.jobs, c.want)
		}
	}
}

// Found by a long run of jobs that must not run twice: workers that had failed some
// waited for a trial that no job could give them, until none was left.
func TestProbationWhereNothingIsIdempotent(t *testing.T) {
	for _, harmless := range []bool{true, false} {
		cfg := base()
		if !harmless {
			cfg.Classes = cfg.Classes[1:2]
		}
		r := newRig(t, cfg, up("w")...)
		r.step(r.report("w", 4))
		w := r.b.workersByID["w"]
		w.probationLeft = probationSuccesses
		got := of[Send](r.at(110, r.job("write", "a"), r.job("write", "a")))
		if want := map[bool]int{true: 0, false: 1}[harmless]; len(got) != want {
			t.Errorf("a class that may be repeated %v: %d sent to a worker on trial, want %d", harmless, len(got), want)
		}
	}
}

// Found by random steps: a worker that was full once and then stands idle gives
// the same report as before. Taken for the old one, it kept the worker out for good.
func TestSameReportAfterOverloadCounts(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	s := of[Send](r.step(r.job("read", "a"), r.report("w", 3)))
	r.at(101, done(s[0], 0, Overloaded))
	if got := of[Send](r.at(101.04, r.report("w", 3))); len(got) > 0 {
		t.Errorf("sent %v upon a report that may be older than the end as full", got)
	}
	if got := of[Send](r.at(102, r.report("w", 3))); len(got) != 1 {
		t.Errorf("sent %v though it has stood idle since", got)
	}
}
