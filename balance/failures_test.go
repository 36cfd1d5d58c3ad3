package balance

import (
	"fmt"
	"testing"
)

// A late job must not delay a fresh one. Under overload, a backlog that is sent in order of arrival makes each job
// late in turn.
func TestLateJobDoesNotBlock(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	r.step(r.job("read", "a"), r.report("w", 0))
	r.stepAt(115, r.job("read", "a"))
	got := actionsOf[Send](r.stepAt(115.1, r.report("w", 1)))
	if len(got) != 1 || got[0].ID != "a2" {
		t.Errorf("got sends %v, want the fresh job a2 only", got)
	}
}

// A tenant's narrow jobs are sent before its wide ones. Under overload, long jobs would take the slots of many short
// ones.
func TestSmallJobsFirstWithinTenant(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	wide := r.job("read", "a")
	wide.Slots = 3
	r.step(wide, r.job("read", "a"))
	if got := actionsOf[Send](r.step(r.report("w", 3))); len(got) != 1 || got[0].ID != "a2" {
		t.Errorf("got sends %v, want only the narrow job a2, as the wide one no longer fits", got)
	}
}

// A tenant's surplus must leave free slots for tenants within their quotas. Otherwise it would take each slot that
// becomes free.
func TestSurplusLeavesFreeSlots(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 1}}
	cfg.Dispatchers = 2
	r := newRig(t, cfg, runningWorkers("w")...)
	var surplus []Event
	for range 60 {
		surplus = append(surplus, r.job("read", "a"))
	}
	got := actionsOf[Send](r.step(append(surplus, r.report("w", 10))...))
	if len(got) >= 10 || len(got) < 5 {
		t.Errorf("surplus got %d of 10 slots, want 5 to 9", len(got))
	}
	if got := actionsOf[Send](r.step(r.job("read", "b"))); len(got) != 1 || got[0].ID[0] != 'b' {
		t.Errorf("got sends %v, want one job of tenant b, which is within its quota", got)
	}
}

// A completion whose slot a job in the worker's queue takes must not cause another send. Otherwise that queue never
// drains.
func TestCompletionWithQueuedJobFreesNoSlot(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	s := actionsOf[Send](r.step(r.job("read", "a"), r.job("read", "a"), r.report("w", 2)))
	r.step(AttemptStarted{s[0].ID, 0}) // the second job waits in the worker's queue
	r.stepAt(101, r.report("w", 0))
	got := actionsOf[Send](r.stepAt(102, done(s[0], 0, Served), r.job("read", "a")))
	if len(got) != 0 {
		t.Errorf("got sends %v after a completion whose slot the queued job takes, want none", got)
	}
}

// A worker without a report, as after a start, gets one job at a time until that job has started.
func TestUnreportedWorkerGetsOneAtATime(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	noReport := HealthCheckDone{Worker: "w", Outcome: Served}
	got := actionsOf[Send](r.step(noReport, r.job("read", "a"), r.job("read", "a"), r.job("read", "a")))
	if len(got) != 1 {
		t.Fatalf("got %d sends to a worker without a report, want 1", len(got))
	}
	if got := actionsOf[Send](r.step(AttemptStarted{got[0].ID, 0})); len(got) != 1 {
		t.Errorf("got %d sends after the first job has started, want 1", len(got))
	}
}

// Health checks must stay within their budget. Without one, they alone cost more than two points of
// the simulator's score.
func TestHealthChecksStayWithinBudget(t *testing.T) {
	cfg := testConfig()
	cfg.HealthCheckCost = 0.01
	ids := []string{}
	for i := range 20 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	r := newRig(t, cfg, runningWorkers(ids...)...)
	jobs := 0
	for range 100 {
		r.now += 0.3
		ev := []Event{r.job("read", "a")}
		jobs++
		for _, check := range actionsOf[HealthCheck](r.actions) {
			ev = append(ev, HealthCheckDone{Worker: check.Worker, Outcome: Served, Report: []float64{0}})
		}
		r.step(ev...)
	}
	if n := len(actionsOf[HealthCheck](r.actions)); float64(n-20)*0.01 > healthCheckBudgetShare*float64(jobs)+0.01 {
		t.Errorf("got %d health checks for %d jobs, which exceeds the budget", n, jobs)
	}
}

// Where workers differ in speed, slow ones must get fewer jobs than fast ones, but still some.
func TestSelectionPrefersFastWorkers(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("quick", "slow")...)
	count := map[string]int{}
	for i := range 300 {
		r.now += 10
		s := actionsOf[Send](r.step(r.job("read", "a"), r.report("quick", float64(3+i%2)), r.report("slow", float64(3+i%2))))
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
		t.Errorf("got jobs by worker %v, want quick at least twice slow and slow above 0", count)
	}
}

func TestFailingWorkerIsEjected(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("bad", "good")...)
	s := actionsOf[Send](r.step(r.job("write", "a"), r.report("bad", 5)))[0]
	r.step(done(s, 0, Failed))
	for range 20 {
		for _, s := range actionsOf[Send](r.step(r.job("write", "a"), r.report("bad", 50))) {
			t.Fatalf("non-idempotent job sent to %s right after it failed one", s.Worker)
		}
	}
}

func TestCommonCauseEjectsNoWorker(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("u", "v", "w")...)
	r.b.failureRate = mean{count: 20, value: 0.5}
	for _, w := range []string{"u", "v", "w"} {
		s := actionsOf[Send](r.step(r.job("write", "a"), r.report(w, 3)))
		if len(s) != 1 {
			t.Fatalf("got %d sends while half of all attempts fail, want 1", len(s))
		}
		r.step(done(s[0], 0, ConnectionLost), r.report(w, 0))
	}
}

// A tenant with an old backlog must not precede fresh due jobs of other tenants. It would wherever slots are short,
// above all with many dispatchers, if a local tag could be older than the job that it is used for.
func TestOldBacklogDoesNotPassFreshDueJobs(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", Quota: 5}, {Name: "b", Quota: 5}}
	cfg.Classes[0].LatencyObjective = 0.3
	r := newRig(t, cfg, runningWorkers("w")...)
	r.step(r.report("w", 0))
	for range 80 { // 8 s of jobs of tenant a, none of which is sent
		r.now += 0.1
		r.step(r.job("read", "a"))
	}
	r.step(r.job("read", "b"))
	served := map[byte]int{}
	for _, s := range actionsOf[Send](r.stepAt(r.now+0.2, r.report("w", 2))) {
		served[s.ID[0]]++
	}
	if served['b'] != 1 {
		t.Errorf("got sends by tenant %v, want one of the fresh job of b", served)
	}
}

// Under overload, surplus jobs that cannot meet their objective are rejected at once; waiting for their deadline would
// end in a costlier late failure. Within the quota such jobs are kept, as a late answer still has some value.
func TestLateSurplusIsRejectedAtOnce(t *testing.T) {
	for _, c := range []struct{ jobs, want int }{{3, 0}, {120, 120 - idleCreditSlots}} {
		cfg := testConfig()
		cfg.Tenants = []Tenant{{Name: "a", Quota: 1}}
		r := newRig(t, cfg, runningWorkers("w")...)
		r.step(r.report("w", 0))
		for range c.jobs {
			r.step(r.job("read", "a"))
		}
		if got := actionsOf[Reject](r.stepAt(112, TimerFired{})); len(got) != c.want {
			t.Errorf("%d of %d jobs that cannot meet their objective rejected, want %d", len(got), c.jobs, c.want)
		}
	}
}

// Where no class is idempotent, a non-idempotent job serves as a trial of a worker on probation. Otherwise workers
// that have failed a few jobs would never leave their probation, until none is usable.
func TestProbationWhereNothingIsIdempotent(t *testing.T) {
	for _, anyIdempotent := range []bool{true, false} {
		cfg := testConfig()
		if !anyIdempotent {
			cfg.Classes = cfg.Classes[1:2]
		}
		r := newRig(t, cfg, runningWorkers("w")...)
		r.step(r.report("w", 4))
		w := r.b.workersByID["w"]
		w.probationLeft = probationSuccesses
		got := actionsOf[Send](r.stepAt(110, r.job("write", "a"), r.job("write", "a")))
		if want := map[bool]int{true: 0, false: 1}[anyIdempotent]; len(got) != want {
			t.Errorf("an idempotent class exists %v: got %d sends to a worker on probation, want %d",
				anyIdempotent, len(got), want)
		}
	}
}

// A worker that was overloaded once and is idle now may send the same report as before. If that were taken for the old
// report, the worker would never be used again.
func TestSameReportAfterOverloadCounts(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	s := actionsOf[Send](r.step(r.job("read", "a"), r.report("w", 3)))
	r.stepAt(101, done(s[0], 0, Overloaded))
	if got := actionsOf[Send](r.stepAt(101.04, r.report("w", 3))); len(got) > 0 {
		t.Errorf("got sends %v on a report that may be older than the Overloaded outcome, want none", got)
	}
	if got := actionsOf[Send](r.stepAt(102, r.report("w", 3))); len(got) != 1 {
		t.Errorf("got sends %v to a worker that reports free slots again, want one", got)
	}
}
