package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// reload applies the rig's settings with replacements.
func (r *rig) reload(oldnew ...string) {
	r.t.Helper()
	s, err := settings.Parse([]byte(strings.NewReplacer(oldnew...).Replace(settingsJSON)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.handle(settingsChanged{s})
	r.advance(4 * time.Millisecond)
}

// A reload changes whether the loop or the scheduler keeps the watch open, while the watch is open or has ended. Soon
// after the reload a watch must be open, and it must be started again when it ends.
func TestReloadOfEndpointMode(t *testing.T) {
	for _, ended := range []bool{false, true} {
		r := newRig(t)
		wiretest.Get(t, r.watches, "the scheduler's watch")
		r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
		for _, mode := range []string{"pushed", "on_request", "pushed"} {
			id := r.watchID // the next watch may start at once
			if ended {
				r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded})
				r.advance(4 * time.Millisecond)
			}
			r.reload("on_request", mode)
			if r.advance(4 * time.Second); ended == (r.watchID == id) || len(r.watches) > 1 {
				t.Fatalf("%s, watch ended %v: %d watches started", mode, ended, r.watchID-id)
			}
			if ended {
				wiretest.Get(t, r.watches, mode+": a watch")
			}
			r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
		}
	}
}

// A load report that was requested before a reload has its values in the order of the former fields. If the reload
// changes the fields, the report must be dropped, as its values would be taken for those of other fields.
func TestLoadReportAfterReload(t *testing.T) {
	for _, c := range []struct {
		fields string
		counts bool
	}{{`["x0"]`, true}, {`["waiting"]`, false}, {`["waiting","x0"]`, false}} {
		r := newRig(t)
		j := r.startJob("a", "safe")
		r.execute(r.clock(), balance.HealthCheck{Worker: "a"})
		s, err := settings.Parse([]byte(strings.Replace(settingsJSON, `["x0"]`, c.fields, 1)))
		if err != nil || len(r.healthChecks) == 0 || j.inFlight == nil {
			t.Fatalf("error %v, %d health checks, attempt in flight %v", err, len(r.healthChecks), j.inFlight != nil)
		}
		r.handle(settingsChanged{s})
		r.pendingEvents = nil
		r.healthChecks[0](upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
		j.inFlight.notify(upstream.AttemptEvent{Outcome: balance.Failed, Report: []float64{3}})
		r.drainInbox()
		seen := 0
		for _, e := range r.pendingEvents {
			var report []float64
			switch e := e.(type) {
			case balance.HealthCheckDone:
				report = e.Report
			case balance.AttemptDone:
				report = e.Report
			default:
				continue
			}
			if seen++; (report != nil) != c.counts {
				t.Errorf("fields %s after [x0]: %T carries report %v", c.fields, e, report)
			}
		}
		if seen != 2 {
			t.Errorf("got %d ends of a health check and an attempt, want 2", seen)
		}
	}
}

// After a reload with a shorter answer grace, the timers must use the shorter tick that goes with it.
func TestReloadOfAnswerGrace(t *testing.T) {
	r := newRig(t)
	r.reload(`"grace_to_answer":0.016`, `"grace_to_answer":0.004`)
	var jobs []*jobModel
	for n := range 4 { // deadlines 1 ms apart, as the tick of the longer grace is 4 ms
		j := r.arrive(fmt.Sprint(n), "unsafe", time.Duration(300+n)*time.Millisecond)
		for r.advance(8 * time.Millisecond); j.inFlight == nil && r.now.Before(j.sentAt.Add(200*time.Millisecond)); r.advance(4 * time.Millisecond) {
			for _, notify := range r.healthChecks {
				notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
			}
			r.healthChecks = nil
		}
		if j.inFlight == nil {
			t.Fatal("not sent")
		}
		jobs = append(jobs, j)
	}
	for _, j := range jobs {
		for end := j.sentAt.Add(j.req.Timeout); len(j.answers) == 0; r.now = r.now.Add(250 * time.Microsecond) {
			if late := r.now.Sub(end); late > 1500*time.Microsecond {
				t.Errorf("no answer %v after the deadline", late)
				break
			}
			r.runTurn(r.clock())
		}
	}
}
