package balance

import (
	"fmt"
	"testing"
)

// In some deployments workers send no load reports, or reports without free slots. Wide jobs must be sent there like
// narrow ones: each worker gets one job of any width at a time until the job has started. If a worker without reports
// counted for one slot only, wide jobs would never be sent; if a report without free slots counted for none, no job
// would be.
func TestJobsWithoutReports(t *testing.T) {
	for name, fields := range map[string][]string{
		"none": nil, "other fields": {"", ""}, "queue length only": {FieldQueueLength}} {
		for _, slots := range []float64{1, 4} {
			t.Run(fmt.Sprintf("%s, %v slots", name, slots), func(t *testing.T) {
				cfg := testConfig()
				cfg.ReportFields, cfg.HealthChecks, cfg.Dispatchers = fields, false, 3
				r := newRig(t, cfg, runningWorkers("v", "w")...)
				for i := range 20 {
					arrival := JobArrived{ID: fmt.Sprint("j", i), Class: "write", Tenant: "a", Timeout: 30, Slots: slots}
					sent := actionsOf[Send](r.stepAt(r.now+1, arrival))
					if len(sent) != 1 {
						t.Fatalf("job %d: got %d sends, want 1", i, len(sent))
					}
					r.step(AttemptStarted{sent[0].ID, 0})
					end := done(sent[0], 0, Served)
					end.Report = make([]float64, len(fields))
					r.stepAt(r.now+1, end)
				}
			})
		}
	}
}

// A worker that was overloaded is tried again, also with wide jobs and jobs that need memory. If more free slots were
// required than an estimate can show, the worker would be excluded forever, as only a started job lowers the rejection
// rate.
func TestOverloadedWorkerIsRetriedWithoutReports(t *testing.T) {
	for _, dispatchers := range []int{2, 3, 30} {
		for _, j := range []JobArrived{{}, {Slots: 4}, {Slots: 2, Memory: 8}} {
			t.Run(fmt.Sprintf("%d dispatchers, %v slots, memory %v", dispatchers, j.Slots, j.Memory), func(t *testing.T) {
				cfg := testConfig()
				cfg.ReportFields, cfg.HealthChecks, cfg.Dispatchers, cfg.MaxAttempts = nil, false, dispatchers, 4
				r := newRig(t, cfg, runningWorkers("w")...)
				j.ID, j.Class, j.Tenant, j.Timeout = "j", "write", "a", 30
				sent := actionsOf[Send](r.step(j))
				for k := range 3 {
					if len(sent) != 1 {
						t.Fatalf("attempt %d: got %d sends, want 1", k, len(sent))
					}
					sent = actionsOf[Send](r.step(done(sent[0], k, Overloaded)))
					for end := r.now + 9; len(sent) == 0 && r.now < end; {
						sent = actionsOf[Send](r.stepAt(r.now+0.1, TimerFired{}))
					}
				}
			})
		}
	}
}

// Without load reports the width of a job makes no difference to the free slots that surplus leaves, nor to the jobs
// that are moved away from a worker because they have not started.
func TestWidthIsIgnoredWithoutReports(t *testing.T) {
	cfg := testConfig()
	cfg.ReportFields, cfg.HealthChecks, cfg.Dispatchers, cfg.Cancellation = nil, false, 4, true
	cfg.Tenants = []Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 1}}
	surplus := func(slots float64) (sent int) {
		r := newRig(t, cfg, runningWorkers("q", "r", "s", "t", "u", "v", "w", "x")...)
		var arrivals []Event
		for range 30 {
			j := r.job("write", "a")
			j.Slots = slots
			arrivals = append(arrivals, j)
		}
		return len(actionsOf[Send](r.step(arrivals...)))
	}
	if narrow, wide := surplus(1), surplus(4); narrow != wide || narrow == 0 || narrow == 8 {
		t.Errorf("got %d surplus jobs of one slot and %d of four slots sent to 8 workers, want the same number, 1 to 7",
			narrow, wide)
	}
	moved := func(slots float64) int {
		r := newRig(t, cfg, runningWorkers("v", "w")...)
		j := r.job("read", "a")
		j.Slots = slots
		r.step(j)
		return len(actionsOf[Cancel](r.stepAt(100.06, TimerFired{})))
	}
	if narrow, wide := moved(1), moved(4); narrow != 1 || wide != 1 {
		t.Errorf("got %d unstarted jobs of one slot and %d of four slots cancelled, want 1 each", narrow, wide)
	}
}
