package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet returns the endpoint list entries of n running workers.
func fleet(n int) []WorkerInfo {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("w", i)
	}
	return runningWorkers(ids...)
}

// Guards against dispatchers that consider all workers of a large fleet: each event would rank all of them,
// and each job would be sent to a different worker on a new connection.
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
			t.Errorf("dispatcher %d used %d of 100 workers, want a small pool", index, len(own))
		}
		for w := range own {
			seen[w]++
		}
	}
	if len(seen) < 95 {
		t.Errorf("all dispatchers together used %d of 100 workers, want at least 95", len(seen))
	}
	for w, n := range seen {
		if n > 20 {
			t.Errorf("worker %s served %d of 60 dispatchers, want at most 20", w, n)
		}
	}
}

// With many dispatchers, the free slots in a report that is seconds old have been taken by others, so the
// estimate must approach what recent reports from the zone show.
func TestOldReportDecaysToZoneEstimate(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.HealthChecks = 100, false
	r := newRig(t, cfg, runningWorkers("old", "v", "w")...)
	r.step(r.report("old", 4))
	for i := range 12 {
		r.stepAt(101+float64(i), r.report("v", float64(i%2)*0.1), r.report("w", float64(i%2)*0.1))
	}
	if slots, _ := r.b.estimateFree(r.b.workersByID["old"]); slots > 1 {
		t.Errorf("a report of 4 free slots counts for %.1f after 12 s, want at most 1", slots)
	}
	cfg.Dispatchers = 1
	r = newRig(t, cfg, runningWorkers("old")...)
	r.step(r.report("old", 4))
	r.now += 12
	r.step(TimerFired{})
	if slots, _ := r.b.estimateFree(r.b.workersByID["old"]); slots != 4 {
		t.Errorf("a single dispatcher estimates %.1f free slots, want 4", slots)
	}
}

// If hundreds of dispatchers share a worker's slow-start budget, the share of each is less than one job's work,
// so none would send. The dispatchers must take turns at sending whole jobs instead. In any period of
// OverloadSeconds, the work of these jobs must not exceed the budget, and some jobs must be sent.
func TestSlowStartBudgetAcrossDispatchers(t *testing.T) {
	const n, slots = 150, 4.0
	warming := WorkerInfo{ID: "cold", Zone: "here", State: Running, StartedAt: 100}
	var all []*rig
	for index := range n {
		cfg := testConfig()
		cfg.Dispatchers, cfg.Index, cfg.HealthChecks = n, index, false
		cfg.SlowStartFloor, cfg.SlowStartSeconds, cfg.OverloadMultiple, cfg.OverloadSeconds = 0.3, 20, 3, 2
		r := newRig(t, cfg, warming)
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
			t.Fatalf("sent %.0f slot-seconds in the 2 s from %.1f on, want at most %.0f", work, from, limit)
		}
	}
	if len(sent) == 0 {
		t.Error("no job was sent to the worker that warms up")
	}
}

// Guards against jobs that wait in a worker's queue while other workers have free slots. In a large fleet, a
// third of all sends waited like this.
func TestUnstartedJobIsHedged(t *testing.T) {
	for _, c := range []struct {
		class        string
		promptStarts float64 // fraction of attempts that start promptly
		hedges       int
	}{{"read", 1, 1}, {"read", 0, 0}, {"write", 1, 0}} {
		cfg := testConfig()
		cfg.Dispatchers, cfg.HealthChecks, cfg.Cancellation, cfg.Hedging = 100, false, true, true
		r := newRig(t, cfg, runningWorkers("v", "w")...)
		for range 20 {
			r.b.promptStartRate.observe(c.promptStarts)
		}
		first := actionsOf[Send](r.step(r.job(c.class, "a")))
		if len(first) != 1 {
			t.Fatalf("got %d sends, want 1", len(first))
		}
		hedged := actionsOf[Send](r.stepAt(104, TimerFired{}))
		if len(hedged) != c.hedges || c.hedges == 1 && hedged[0].Worker == first[0].Worker {
			t.Errorf("class %s, fraction of prompt starts %v: got hedged sends %v after sends %v",
				c.class, c.promptStarts, hedged, first)
		}
		if c.hedges == 1 {
			cancelled := actionsOf[Cancel](r.step(AttemptStarted{first[0].ID, 1}))
			if len(cancelled) != 1 || cancelled[0].Attempt != 0 {
				t.Errorf("got cancellations %v, want one of the attempt that has not started", cancelled)
			}
		}
	}
}

// A dispatcher that was idle for long has no fresh report, so the next job must wait for health checks.
func TestJobWaitsForHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 100
	r := newRig(t, cfg, fleet(healthChecksPerJob)...)
	acts := r.step(r.job("write", "a"))
	checks := actionsOf[HealthCheck](acts)
	if len(actionsOf[Send](acts)) != 0 || len(checks) != healthChecksPerJob {
		t.Fatalf("got %d sends and %d health checks at once, want 0 and %d",
			len(actionsOf[Send](acts)), len(checks), healthChecksPerJob)
	}
	if more := actionsOf[HealthCheck](r.stepAt(100.01, r.report(checks[0].Worker, 0))); len(more) > 0 {
		t.Errorf("got %d more health checks while one is pending, want 0", len(more))
	}
	got := actionsOf[Send](r.stepAt(100.02, r.report(checks[1].Worker, 4)))
	if len(got) != 1 || got[0].Worker != checks[1].Worker {
		t.Errorf("got sends %v, want one to %s, which reported free slots", got, checks[1].Worker)
	}
}

// At a rate of one job in ten seconds, the random variation of arrivals must not count as surplus.
func TestRandomArrivalsAreNotSurplus(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Tenants = 100, []Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 10}}
	r := newRig(t, cfg, runningWorkers("w")...)
	rng := rand.New(rand.NewPCG(1, 2))
	surplusRounds := map[string]int{}
	for range 500 { // tenant a sends nine tenths of its allotment, tenant b more than three times its allotment
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
				surplusRounds[name]++
				tn.tokens = max(tn.tokens, 0)
			}
		}
	}
	if surplusRounds["a"] > 50 || surplusRounds["b"] < 400 {
		t.Errorf("rounds of 500 with surplus: got %v, want at most 50 for a and at least 400 for b", surplusRounds)
	}
}

// BenchmarkStep measures the cost of one job with 20, 200 and 2000 workers.
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
				for len(events) > 0 { // handling an event may return further actions
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

// A high rate of rejections must raise the number of free slots that a send requires. Otherwise, if few
// dispatchers share busy workers, jobs use up their attempts on workers that reject them.
func TestRejectionsRaiseRequiredFreeSlots(t *testing.T) {
	for _, c := range []struct{ rejectionRate, want float64 }{{0, 1}, {1, 0}} {
		cfg := testConfig()
		cfg.Dispatchers = 4
		r := newRig(t, cfg, runningWorkers("w")...)
		for range 20 {
			r.b.rejectionRate.observe(c.rejectionRate)
		}
		if got := actionsOf[Send](r.step(r.report("w", 1), r.job("write", "a"))); float64(len(got)) != c.want {
			t.Errorf("got %d sends with a rejection rate of %v, want %v", len(got), c.rejectionRate, c.want)
		}
	}
}
