package balance

import (
	"fmt"
	"testing"
)

// A client that sets a very long timeout must not make the other jobs of its class count as late, to be rejected.
func TestLongTimeoutDoesNotMakeOthersLate(t *testing.T) {
	for _, marksRetry := range []bool{false, true} {
		cfg := testConfig()
		cfg.ClientsMarkRetries = marksRetry
		cfg.Classes[0].Deadline = 30
		cfg.Classes[0].LateWeightFraction = 0
		r := newRig(t, cfg, runningWorkers("w1", "w2")...)
		class := cfg.Classes[0].Name
		long := r.job(class, "other")
		long.Timeout = 86400
		r.step(long)
		usual := r.job(class, "other")
		usual.Retry = true
		r.stepAt(r.now+1, usual)
		if j := r.b.jobs[usual.ID]; j == nil || j.firstRequestedAt < r.now-1 {
			t.Errorf("marks retry %v: a job that has just been sent counts as sent long ago, or was rejected: %+v", marksRetry, j)
		}
	}
}

// Clients choose the names of tenants: those without jobs must not stay in memory, nor in what each step visits.
func TestUnknownTenantsAreForgotten(t *testing.T) {
	const names = 20000
	r := newRig(t, testConfig(), runningWorkers("w1")...)
	r.step(r.report("w1", 1))
	sent := r.job("write", "kept")
	if sends := actionsOf[Send](r.step(sent)); len(sends) != 1 {
		t.Fatalf("got %d sends, want 1", len(sends))
	}
	queued := r.job("write", "waits")
	r.step(queued)
	most := 0
	for n := range names {
		j := r.job("write", fmt.Sprint("name-", n))
		r.stepAt(r.now+0.0005, j)
		r.stepAt(r.now+0.0005, ClientDisconnected{ID: j.ID})
		most = max(most, len(r.b.tenants))
	}
	if limit := minUnknownTenants + len(testConfig().Tenants); most > limit || len(r.b.tenantsByName) > limit {
		t.Errorf("%d tenants after %d names, want at most %d", most, names, limit)
	}
	if cap(r.b.tenants) > 4*minUnknownTenants {
		t.Errorf("room for %d tenants is kept", cap(r.b.tenants))
	}
	for _, j := range []JobArrived{sent, queued} {
		if kept := r.b.jobs[j.ID]; kept == nil || r.b.tenantsByName[j.Tenant] != kept.tenant {
			t.Errorf("the tenant of job %s, which is open, was forgotten", j.ID)
		}
	}
	for _, name := range []string{"a", "b"} {
		if r.b.tenantsByName[name] == nil {
			t.Errorf("the configured tenant %s was forgotten", name)
		}
	}
	// Those with jobs may be more than the limit: none is forgotten.
	for n := range 2 * minUnknownTenants {
		r.step(r.job("write", fmt.Sprint("busy-", n)))
	}
	for n := range 2 * minUnknownTenants {
		if r.b.tenantsByName[fmt.Sprint("busy-", n)] == nil {
			t.Fatalf("tenant busy-%d, which has a job, was forgotten", n)
		}
	}
}
