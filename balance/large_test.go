package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet lists n workers.
func fleet(n int) []WorkerInfo {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("w", i)
	}
	return runningWorkers(ids...)
}

// Found at full size: each event ranked all workers, and each job went to another
// worker on a new connection.
func TestDispatcherUsesSmallPool(t *testing.T) {
	seen := map[string]int{}
	for index := range 60 {
		cfg := testConfig()
		cfg.Dispatchers, cfg.Index, cfg.HealthChecks = 60, index, false
		r := newRig(t, cfg, fleet(100)...)
		own := map[string]bool{}
		for range 40 {
			for _, s := range actionsOf[Send](r.stepAt(r.now+5, r.job("read", "a"))) {
				own[s.Worker] = true
				r.step(AttemptStarted{s.ID, 0})
				r.step(done(s, 0, Served))
			}
		}
		if len(own) < 2 || len(own) > 2*minPoolSize+poolPerAttempt {
			t.Errorf("dispatcher %d used %d of 100 workers", index, len(own))
		}
		for w := range own {
			seen[w]++
		}
	}
	if len(seen) < 95 {
		t.Errorf("all dispatchers together use %d of 100 workers", len(seen))
	}
	for w, n := range seen {
		if n > 20 {
			t.Errorf("%s serves %d of 60 dispatchers", w, n)
		}
	}
}

// Found at full size: what a report showed seconds ago had long been taken.
func TestOldReportDecaysToZoneEstimate(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.HealthChecks = 100, false
	r := newRig(t, cfg, runningWorkers("old", "v", "w")...)
	r.step(r.report("old", 4))
	for i := range 12 {
		r.stepAt(101+float64(i), r.report("v", float64(i%2)*0.1), r.report("w", float64(i%2)*0.1))
	}
	if slots, _ := r.b.estimateFree(r.b.workersByID["old"]); slots > 1 {
		t.Errorf("a report of 4 slots still counts for %.1f after 12 s", slots)
	}
	cfg.Dispatchers = 1
	r = newRig(t, cfg, runningWorkers("old")...)
	r.step(r.report("old", 4))
	r.now += 12
	r.step(TimerFired{})
	if slots, _ := r.b.estimateFree(r.b.workersByID["old"]); slots != 4 {
		t.Errorf("a lone dispatcher counts %.1f slots, want the 4 that nobody else takes", slots)
	}
}

// Found at full size: among hundreds a slice of the slow-start budget is below a job, so
// none sent. Whole jobs in turn must keep the budget in any span, and use some of it.
func TestSlowStartBudgetAcrossDispatchers(t *testing.T) {
	const n, slots = 150, 4.0
	cold := WorkerInfo{ID: "cold", Zone: "here", State: Running, StartedAt: 100}
	var all []*rig
	for index := range n {
		cfg := testConfig()
		cfg.Dispatchers, cfg.Index, cfg.HealthChecks = n, index, false
		cfg.SlowStartFloor, cfg.SlowStartSeconds, cfg.OverloadMultiple, cfg.OverloadSeconds = 0.3, 20, 3, 2
		r := newRig(t, cfg, cold)
		r.b.maxSlotsByKind[""] = slots
		for range 20 {
			r.b.meanRunTime.observe(2)
			r.b.classes["read"].runTime.observe(2)
		}
		all = append(all, r)
	}
	var sent []float64
	for step := range 190 {
		now := 100 + float64(step)*0.1
		for _, r := range all {
			var ev []Event
			if step%10 == 0 {
				ev = append(ev, r.job("read", "a"))
			}
			for range actionsOf[Send](r.stepAt(now, ev...)) {
				sent = append(sent, now)
			}
		}
	}
	job := all[0].b.classes["read"].expectedRunTime()
	for i, from := range sent {
		work := 0.0
		for _, at := range sent[i:] {
			if at < from+2 {
				work += job
			}
		}
		if limit := 3 * (0.3 + 0.7*(from+2-100)/20) * slots * 2; work > limit {
			t.Fatalf("%.0f slot-seconds sent from %.1f on, at most %.0f", work, from, limit)
		}
	}
	if len(sent) == 0 {
		t.Error("nothing was sent to the cold worker")
	}
}

// Found at full size: a third of the sends met a queue while slots stood free.
func TestUnstartedJobIsHedged(t *testing.T) {
	for _, c := range []struct {
		class  string
		prompt float64
		copies int
	}{{"read", 1, 1}, {"read", 0, 0}, {"write", 1, 0}} {
		cfg := testConfig()
		cfg.Dispatchers, cfg.HealthChecks, cfg.Cancellation, cfg.Hedging = 100, false, true, true
		r := newRig(t, cfg, runningWorkers("v", "w")...)
		for range 20 {
			r.b.promptStartRate.observe(c.prompt)
		}
		first := actionsOf[Send](r.step(r.job(c.class, "a")))
		if len(first) != 1 {
			t.Fatalf("%d sends, want 1", len(first))
		}
		again := actionsOf[Send](r.stepAt(104, TimerFired{}))
		if len(again) != c.copies || c.copies == 1 && again[0].Worker == first[0].Worker {
			t.Errorf("%s, %v of sends prompt: copies %v after %v", c.class, c.prompt, again, first)
		}
		if c.copies == 1 {
			off := actionsOf[Cancel](r.step(AttemptStarted{first[0].ID, 1}))
			if len(off) != 1 || off[0].Attempt != 0 {
				t.Errorf("called off %v, want the attempt that has not started", off)
			}
		}
	}
}

// Found at full size: no report is fresh when a job comes to a quiet dispatcher.
func TestJobWaitsForHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 100
	r := newRig(t, cfg, fleet(healthChecksPerJob)...)
	acts := r.step(r.job("write", "a"))
	asked := actionsOf[HealthCheck](acts)
	if len(actionsOf[Send](acts)) != 0 || len(asked) != healthChecksPerJob {
		t.Fatalf("%d sends and %d probes at once, want none and %d", len(actionsOf[Send](acts)), len(asked), healthChecksPerJob)
	}
	if more := actionsOf[HealthCheck](r.stepAt(100.01, r.report(asked[0].Worker, 0))); len(more) > 0 {
		t.Errorf("%d more probes while an answer is still out", len(more))
	}
	got := actionsOf[Send](r.stepAt(100.02, r.report(asked[1].Worker, 4)))
	if len(got) != 1 || got[0].Worker != asked[1].Worker {
		t.Errorf("sent %v, want to %s which shows room", got, asked[1].Worker)
	}
}

// Found at full size: at a job in ten seconds chance looked like surplus.
func TestRandomArrivalsAreNotSurplus(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Tenants = 100, []Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 10}}
	r := newRig(t, cfg, runningWorkers("w")...)
	rng := rand.New(rand.NewPCG(1, 2))
	over := map[string]int{}
	for range 500 { // a sends nine tenths of its allotment, b three times it
		r.now += 10 * rng.ExpFloat64() / 0.9
		for range 1 {
			r.b.chargeTags(r.b.tenantsByName["a"], 1, true)
		}
		for range 3 + rng.IntN(2) {
			r.b.chargeTags(r.b.tenantsByName["b"], 1, true)
		}
		for _, name := range []string{"a", "b"} {
			r.b.now = r.now
			if tn := r.b.tenantsByName[name]; r.b.availableTokens(tn) < 1 {
				over[name]++
				tn.tokens = max(tn.tokens, 0)
			}
		}
	}
	if over["a"] > 50 || over["b"] < 400 {
		t.Errorf("taken for surplus in 500 looks: %v; want a seldom, b nearly always", over)
	}
}

// BenchmarkStep shows the cost of one event at a few hundred workers.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := testConfig()
			cfg.Dispatchers = 300
			bal, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100.0
			bal.Step(now, []Event{EndpointUpdate{Kind: EndpointsCached, Workers: fleet(n)}})
			for i := range b.N {
				now += 0.1
				id := fmt.Sprint("j", i)
				events := []Event{JobArrived{ID: id, Class: "read", Tenant: "a", Timeout: 30}}
				for len(events) > 0 { // each answer may bring more to do
					acts := bal.Step(now, events)
					events = events[:0]
					for _, a := range acts {
						switch a := a.(type) {
						case HealthCheck:
							events = append(events, HealthCheckDone{Worker: a.Worker, Outcome: Served, Report: []float64{3}})
						case Send:
							events = append(events, done(a, 0, Served))
						}
					}
				}
			}
		})
	}
}

// Found where few dispatchers share busy workers: sends rejected used up attempts.
func TestRejectionsRaiseRequiredFreeSlots(t *testing.T) {
	for _, c := range []struct{ miss, want float64 }{{0, 1}, {1, 0}} {
		cfg := testConfig()
		cfg.Dispatchers = 4
		r := newRig(t, cfg, runningWorkers("w")...)
		for range 20 {
			r.b.rejectionRate.observe(c.miss)
		}
		if got := actionsOf[Send](r.step(r.report("w", 1), r.job("write", "a"))); float64(len(got)) != c.want {
			t.Errorf("%d sends after refusals in %v of the sends, want %v", len(got), c.miss, c.want)
		}
	}
}
