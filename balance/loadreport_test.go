package balance

import (
	"fmt"
	"testing"
)

// Workers that report nothing, or nothing of free slots, are all that some deployments have. Jobs of
// several slots are served there like others: each worker is tried with one job that has not started
// yet, however wide. They were never sent, as no worker was ever seen to have capacity for one; and where
// reports came without free slots that was so for any job.
func TestJobsWithoutReports(t *testing.T) {
	for name, fields := range map[string][]string{"none": nil, "other figures": {"", ""}, "only what waits": {FieldQueueLength}} {
		for _, slots := range []float64{1, 4} {
			t.Run(fmt.Sprintf("%s, %v slots", name, slots), func(t *testing.T) {
				cfg := base()
				cfg.ReportFields, cfg.HealthChecks, cfg.Dispatchers = fields, false, 3
				r := newRig(t, cfg, up("v", "w")...)
				for i := range 20 {
					arrives := JobArrived{ID: fmt.Sprint("j", i), Class: "write", Tenant: "a", Timeout: 30, Slots: slots}
					sent := of[Send](r.at(r.now+1, arrives))
					if len(sent) != 1 {
						t.Fatalf("job %d: %d sends, want one", i, len(sent))
					}
					r.step(AttemptStarted{sent[0].ID, 0})
					end := done(sent[0], 0, Served)
					end.Report = make([]float64, len(fields))
					r.at(r.now+1, end)
				}
			})
		}
	}
}

// A worker that turned jobs away is tried again, by wide jobs and by such that need memory too. More
// caution than an estimate can ever show would be for good: nothing but a job that starts lessens it.
func TestOverloadedWorkerIsRetriedWithoutReports(t *testing.T) {
	for _, dispatchers := range []int{2, 3, 30} {
		for _, j := range []JobArrived{{}, {Slots: 4}, {Slots: 2, Memory: 8}} {
			t.Run(fmt.Sprintf("%d dispatchers, %v slots, memory %v", dispatchers, j.Slots, j.Memory), func(t *testing.T) {
				cfg := base()
				cfg.ReportFields, cfg.HealthChecks, cfg.Dispatchers, cfg.MaxAttempts = nil, false, dispatchers, 4
				r := newRig(t, cfg, up("w")...)
				j.ID, j.Class, j.Tenant, j.Timeout = "j", "write", "a", 30
				sent := of[Send](r.step(j))
				for k := range 3 {
					if len(sent) != 1 {
						t.Fatalf("send %d: %d, want one", k, len(sent))
					}
					sent = of[Send](r.step(done(sent[0], k, Overloaded)))
					for end := r.now + 9; len(sent) == 0 && r.now < end; {
						sent = of[Send](r.at(r.now+0.1, TimerFired{}))
					}
				}
			})
		}
	}
}

// Width makes no difference where none is ever shown: not to what surplus leaves free, nor to what is
// moved from a worker that has not started it.
func TestWidthIsIgnoredWithoutReports(t *testing.T) {
	cfg := base()
	cfg.ReportFields, cfg.HealthChecks, cfg.Dispatchers, cfg.Cancellation = nil, false, 4, true
	cfg.Tenants = []Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 1}}
	surplus := func(slots float64) (sent int) {
		r := newRig(t, cfg, up("q", "r", "s", "t", "u", "v", "w", "x")...)
		var flood []Event
		for range 30 {
			j := r.job("write", "a")
			j.Slots = slots
			flood = append(flood, j)
		}
		return len(of[Send](r.step(flood...)))
	}
	if narrow, wide := surplus(1), surplus(4); narrow != wide || narrow == 0 || narrow == 8 {
		t.Errorf("to eight workers %d surplus jobs of one slot and %d of four, want the same, and some room left", narrow, wide)
	}
	moved := func(slots float64) int {
		r := newRig(t, cfg, up("v", "w")...)
		j := r.job("read", "a")
		j.Slots = slots
		r.step(j)
		return len(of[Cancel](r.at(100.06, TimerFired{})))
	}
	if narrow, wide := moved(1), moved(4); narrow != 1 || wide != 1 {
		t.Errorf("called off where they had not started: %d of one slot, %d of four, want one each", narrow, wide)
	}
}
