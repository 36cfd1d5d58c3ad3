package balance

import "testing"

// Found in a fleet of 80: nine in ten unsafe jobs of four slots were refused unsent, though
// a quarter of all workers had four slots free. A report of just enough room, asked for a
// moment ago, was taken for older than it was, and counted for less.
func TestAskedReportHoldsForAWideJob(t *testing.T) {
	cfg := base()
	cfg.Dispatchers, cfg.Tenants[0].Quota = 80, 4000
	r := newRig(t, cfg, up("full", "room")...)
	for range 8 { // jobs are short, and its zone has little room as a rule
		r.at(r.now+1, r.report("full", 1), r.report("room", 0))
		for _, s := range of[Send](r.step(r.job("read", "a"))) {
			r.step(AttemptStarted{s.ID, 0})
			r.at(r.now+0.5, done(s, 0, Served))
		}
	}
	wide := r.job("write", "a")
	wide.Slots = 4
	r.at(r.now+1, wide)
	sent := of[Send](r.at(r.now+0.01, r.report("full", 1), r.report("room", 4)))
	if len(sent) != 1 || sent[0].Worker != "room" {
		t.Errorf("a worker that has just told of four free slots gets %v, want the job of four", sent)
	}
}

// A report that comes unasked, with an answer, is as old as before.
func TestUnaskedReportIsOlder(t *testing.T) {
	cfg := base()
	cfg.Dispatchers = 80
	r := newRig(t, cfg, up("w")...)
	s := of[Send](r.step(r.report("w", 1), r.job("read", "a")))[0]
	r.at(r.now+1, AttemptDone{ID: s.ID, Outcome: Served, Report: []float64{4}})
	if age := r.now - r.b.byID["w"].rep.taken; age < reportAge {
		t.Errorf("it is taken to be %.2f s old, want %.2f or more", age, reportAge)
	}
	r.at(r.now+1, r.report("w", 3))
	if age := r.now - r.b.byID["w"].rep.taken; age > askedAge+1e-9 {
		t.Errorf("one that was asked for is taken to be %.2f s old, want %.2f", age, askedAge)
	}
}
