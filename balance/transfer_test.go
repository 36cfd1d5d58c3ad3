package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A tenant that leaves and comes back within a moment changes no later decision: queue,
// tags, attempts that are out and all that is booked for them are the same, to the last
// digit. Each of the three tenants does so some 40 times a day.
func TestExportAndImportKeepDecisions(t *testing.T) {
	for name, cfg := range recordedConfigs() {
		for _, wait := range []float64{0, 8} {
			cfg.Classes[0].MaxWait = wait
			for seed := range uint64(5) { // in the fifth, a search in a long queue meets gaps
				r := rand.New(rand.NewPCG(seed, 5))
				moves, jobs := 0, 0
				got := actionDigest(t, cfg, seed, func(b *Balancer, now float64) []Event {
					if r.IntN(20) > 0 {
						return nil
					}
					tenant := []string{"a", "b", "c"}[r.IntN(3)]
					for _, j := range b.jobs {
						for _, a := range j.attempts {
							if j.tenant.name == tenant && !a.done && a.worker.State == Removed {
								return nil
							}
						}
					}
					s := b.exportTenant(tenant)
					for _, j := range b.jobs {
						if j.tenant.name == s.Tenant {
							t.Fatalf("%s: %s is still here", s.Tenant, j.id)
						}
					}
					b.importTenant(s)
					moves, jobs = moves+1, jobs+len(s.Jobs)
					return nil
				})
				if want := actionDigest(t, cfg, seed, nil); got != want || moves < 60 || jobs < 300 {
					t.Errorf("%s, seed %d, wait %v: %s after %d moves of %d jobs, %s without", name, seed, wait, got, moves, jobs, want)
				}
			}
		}
	}
}

// Between two Balancers no job is lost or doubled, the tags keep their distance from now, and
// what is out is ended at the new one.
func TestTenantMovesBetweenBalancers(t *testing.T) {
	cfg := testConfig()
	from, to := newRig(t, cfg, runningWorkers("w")...), newRig(t, cfg, runningWorkers("w", "v")...)
	var first []Event
	for range 40 {
		first = append(first, from.job("write", "a"), from.job("read", "b"))
	}
	from.step(first...)
	from.step(from.report("w", 6))
	sent := actionsOf[Send](from.actions)
	local, n := from.b.tenantsByName["a"].localTag-from.now, 0
	for _, s := range sent {
		if s.ID[0] == 'a' {
			n++
		}
	}
	acts := from.step(ExportTenant{Tenant: "a"})
	y, more := actionsOf[TenantExported](acts), len(actionsOf[Send](acts)) // other tenants use the capacity now
	if len(y) != 1 || len(y[0].State.Jobs) != 40 || n == 0 || from.b.inFlight != len(sent)-n+more {
		t.Fatalf("%d of 40 jobs leave, %d of %d out; %d are out here still", len(y[0].State.Jobs), n, len(sent), from.b.inFlight)
	}
	to.now = 5000 // another clock
	to.step(ImportTenant{y[0].State}, ImportTenant{y[0].State})
	if got := to.b.tenantsByName["a"].localTag - to.now; fmt.Sprintf("%.9f", got) != fmt.Sprintf("%.9f", local) {
		t.Errorf("the local tag is %v from now, was %v", got, local)
	}
	if len(to.b.jobs) != 40 || to.b.inFlight != n || to.b.tenantsByName["a"].queue.count != 40-n {
		t.Fatalf("%d jobs, %d out, %d queued; want 40, %d, %d", len(to.b.jobs), to.b.inFlight, to.b.tenantsByName["a"].queue.count, n, 40-n)
	}
	for _, s := range sent { // a non-idempotent one that may have run is never sent again
		if s.ID[0] == 'a' {
			to.step(done(s, 0, ConnectionLost))
		}
	}
	again, fails := map[string]bool{}, len(actionsOf[Fail](to.actions))
	for i := 0; len(to.b.jobs) > 0 && i < 200; i++ {
		to.now += 0.2
		sent := actionsOf[Send](to.step(to.report("v", 4), to.report("w", 0)))
		for len(sent) > 0 {
			again[sent[0].ID] = true
			sent = append(sent[1:], actionsOf[Send](to.step(done(sent[0], 0, Served)))...)
		}
	}
	if fails != n || len(again) != 40-n || len(to.b.jobs) != 0 {
		t.Errorf("%d failed, %d sent, %d left; want %d, %d, 0", fails, len(again), len(to.b.jobs), n, 40-n)
	}
}

// A job that has not started when its tenant moves is asked after as if nothing had happened.
func TestUnstartedJobIsHedgedAfterAnImport(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Hedging = 7, true
	for _, moves := range []bool{false, true} {
		r := newRig(t, cfg, runningWorkers("w", "v")...)
		r.step(r.job("read", "a"), r.report("w", 3), r.report("v", 3))
		if moves {
			r.b.importTenant(r.b.exportTenant("a"))
		}
		for range 100 {
			r.now += 0.05
			r.step(r.report("w", 3), r.report("v", 3))
		}
		if sent := actionsOf[Send](r.actions); len(sent) != 2 || sent[0].Worker == sent[1].Worker {
			t.Errorf("moves %v: sent %v, want a copy at the other worker", moves, sent)
		}
	}
}

// A Send that nobody carried out leaves no trace: the job goes out again in its place, to the
// same worker, and its tenant has been charged for it once.
func TestSendAborted(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	sent := actionsOf[Send](r.step(r.job("write", "a"), r.job("write", "a"), r.report("w", 4)))
	ta := r.b.tenantsByName["a"]
	w, local, global, busy := r.b.workersByID["w"], ta.localTag, ta.globalTag, r.b.workersByID["w"].busySlots
	if len(sent) != 2 || busy != 2 {
		t.Fatalf("sent %v, %v slots", sent, busy)
	}
	again := actionsOf[Send](r.step(SendAborted{sent[0].ID, 0}, SendAborted{sent[0].ID, 0}, SendAborted{"x", 0}))
	if len(again) != 1 || again[0] != sent[0] || r.b.inFlight != 2 || w.busySlots != busy || len(w.attempts) != 2 {
		t.Errorf("again %v, %d out, %v slots", again, r.b.inFlight, w.busySlots)
	}
	if math.Abs(ta.localTag-local) > 1e-9 || math.Abs(ta.globalTag-global) > 1e-9 {
		t.Errorf("tags %v and %v, were %v and %v", ta.localTag, ta.globalTag, local, global)
	}
	r.step(done(sent[0], 0, Overloaded)) // it counts as the first attempt, and as never run
	if j := r.b.jobs[sent[0].ID]; j == nil || j.mayHaveRun || len(j.attempts) != 1 {
		t.Errorf("got %+v", j)
	}
	r.step(ClientDisconnected{sent[1].ID}, SendAborted{sent[1].ID, 0})
	if r.b.jobs[sent[1].ID] != nil || r.b.inFlight != 0 || w.busySlots != 0 {
		t.Errorf("%d out after the last one's client left", r.b.inFlight)
	}
}
