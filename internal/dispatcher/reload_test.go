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

// reload puts other settings into force: the rig's own with replacements.
func (r *rig) reload(oldnew ...string) {
	r.t.Helper()
	s, err := settings.Parse([]byte(strings.NewReplacer(oldnew...).Replace(settingsJSON)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.handle(settingsChanged{s})
	r.advance(4 * time.Millisecond)
}

// Who keeps the watch open changes with the settings. Whatever it stands at then, one is open soon
// behind a change, and is asked for again when it ends.
func TestReloadOfEndpointMode(t *testing.T) {
	for _, ended := range []bool{false, true} {
		r := newRig(t)
		wiretest.Get(t, r.watches, "the module's watch")
		r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
		for _, mode := range []string{"pushed", "on_request", "pushed"} {
			id := r.watchID // the next may be asked for at once
			if ended {
				r.handle(endpointEvent{watchID: r.watchID, err: context.DeadlineExceeded})
				r.advance(4 * time.Millisecond)
			}
			r.reload("on_request", mode)
			if r.advance(4 * time.Second); ended == (r.watchID == id) || len(r.watches) > 1 {
				t.Fatalf("%s, with the watch ended %v: asked %d times", mode, ended, r.watchID-id)
			}
			if ended {
				wiretest.Get(t, r.watches, mode+": a watch")
			}
			r.handle(endpointEvent{watchID: r.watchID, update: &endpoints.Update{Seq: 1}})
		}
	}
}

// A report that was asked for by the fields before a reload has its values in their order: behind the
// reload it would be read as something else.
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
			t.Fatalf("%v, %d probes, out %v", err, len(r.healthChecks), j.inFlight != nil)
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
				t.Errorf("fields %s behind [x0]: %T told of %v", c.fields, e, report)
			}
		}
		if seen != 2 {
			t.Errorf("%d ends of a probe and an attempt", seen)
		}
	}
}

// A reload to a shorter grace has deadlines looked at by the tick that goes with it.
func TestReloadOfAnswerGrace(t *testing.T) {
	r := newRig(t)
	r.reload(`"grace_to_answer":0.016`, `"grace_to_answer":0.004`)
	var jobs []*jobModel
	for n := range 4 { // a millisecond from one to the next: 4 ms are one tick of the longer grace
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
