package balance

import (
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
