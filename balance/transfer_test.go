package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// If a tenant is exported and imported again at the same time, no later decision changes: its queue, its tags,
// its attempts in flight and the capacity that they take are the same, to the last digit. Each run does so
// about 40 times for each of the three tenants.
func TestExportAndImportKeepDecisions(t *testing.T) {
	for name, cfg := range recordedConfigs() {
		for _, wait := range []float64{0, 8} {
			cfg.Classes[0].MaxWait = wait
			for seed := range uint64(5) { // the fifth seed covers a search in a long queue with gaps
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
							t.Fatalf("tenant %s: job %s is still stored after the export", s.Tenant, j.id)
						}
					}
					b.importTenant(s)
					moves, jobs = moves+1, jobs+len(s.Jobs)
					return nil
				})
				if want := actionDigest(t, cfg, seed, nil); got != want || moves < 60 || jobs < 300 {
					t.Errorf("config %s, seed %d, MaxWait %v: got digest %s after %d moves of %d jobs, want %s as without moves",
						name, seed, wait, got, moves, jobs, want)
				}
			}
		}
	}
}

// When a tenant moves between two Balancers, no job is lost or duplicated, its tags keep their distance from
// now, and the ends of its attempts in flight are handled by the new Balancer.
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
	exported, more := actionsOf[TenantExported](acts), len(actionsOf[Send](acts)) // other tenants use the freed capacity
	if len(exported) != 1 || len(exported[0].State.Jobs) != 40 || n == 0 || from.b.inFlight != len(sent)-n+more {
		t.Fatalf("exported %d of 40 jobs, %d of %d attempts in flight are the tenant's, %d remain in flight here",
			len(exported[0].State.Jobs), n, len(sent), from.b.inFlight)
	}
	to.now = 5000 // a different clock
	to.step(ImportTenant{exported[0].State}, ImportTenant{exported[0].State})
	if got := to.b.tenantsByName["a"].localTag - to.now; fmt.Sprintf("%.9f", got) != fmt.Sprintf("%.9f", local) {
		t.Errorf("got local tag %v from now, want %v as before the move", got, local)
	}
	if len(to.b.jobs) != 40 || to.b.inFlight != n || to.b.tenantsByName["a"].queue.count != 40-n {
		t.Fatalf("got %d jobs, %d in flight, %d queued; want 40, %d, %d",
			len(to.b.jobs), to.b.inFlight, to.b.tenantsByName["a"].queue.count, n, 40-n)
	}
	for _, s := range sent { // a non-idempotent job that may have run is never sent again
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
		t.Errorf("got %d jobs failed, %d sent, %d still stored; want %d, %d, 0", fails, len(again), len(to.b.jobs), n, 40-n)
	}
}

// A job that has not started when its tenant moves is hedged in the same way as without the move.
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
			t.Errorf("tenant moved %v: got sends %v, want a copy at the other worker", moves, sent)
		}
	}
}

// A Send that was not carried out has no effect: the job is sent again, to the same worker, and its tenant is
// charged for it once.
func TestSendAborted(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	sent := actionsOf[Send](r.step(r.job("write", "a"), r.job("write", "a"), r.report("w", 4)))
	ta := r.b.tenantsByName["a"]
	w, local, global, busy := r.b.workersByID["w"], ta.localTag, ta.globalTag, r.b.workersByID["w"].busySlots
	if len(sent) != 2 || busy != 2 {
		t.Fatalf("got sends %v and %v busy slots, want 2 sends and 2 slots", sent, busy)
	}
	again := actionsOf[Send](r.step(SendAborted{sent[0].ID, 0}, SendAborted{sent[0].ID, 0}, SendAborted{"x", 0}))
	if len(again) != 1 || again[0] != sent[0] || r.b.inFlight != 2 || w.busySlots != busy || len(w.attempts) != 2 {
		t.Errorf("after SendAborted: got sends %v, %d in flight, %v busy slots; want the first send again",
			again, r.b.inFlight, w.busySlots)
	}
	if math.Abs(ta.localTag-local) > 1e-9 || math.Abs(ta.globalTag-global) > 1e-9 {
		t.Errorf("got local and global tags %v and %v, want %v and %v", ta.localTag, ta.globalTag, local, global)
	}
	r.step(done(sent[0], 0, Overloaded)) // counts as the first attempt, and proves that the job never ran
	if j := r.b.jobs[sent[0].ID]; j == nil || j.mayHaveRun || len(j.attempts) != 1 {
		t.Errorf("got job %+v, want one attempt and no possible run", j)
	}
	r.step(ClientDisconnected{sent[1].ID}, SendAborted{sent[1].ID, 0})
	if r.b.jobs[sent[1].ID] != nil || r.b.inFlight != 0 || w.busySlots != 0 {
		t.Errorf("got %d attempts in flight after the client of the last one disconnected, want 0", r.b.inFlight)
	}
}
