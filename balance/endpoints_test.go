package balance

import "testing"

// Where Overloaded is no proof, a non-idempotent job fails at once, one with an idempotency key stays in its
// scope and an idempotent one is retried anywhere. A connection that was never made still proves that it did not run.
func TestOverloadedMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		want    string
	}{
		{"write", Overloaded, "fail"}, {"write", Unreachable, "send"}, {"put", Overloaded, "hold"}, {"put", Unreachable, "send"},
		{"read", Overloaded, "send"},
	} {
		cfg := base()
		cfg.OverloadedMayHaveRun = true
		r := newRig(t, cfg, append(up("v"), WorkerInfo{ID: "far", Zone: "there", State: Running})...)
		s := of[Send](r.step(r.job(c.class, "a"), r.report("v", 1)))[0]
		got := r.step(r.report("far", 5), done(s, 0, c.outcome))
		is := "hold"
		if again := of[Send](got); len(again) > 0 {
			is = "send"
		} else if len(of[Fail](got)) > 0 {
			is = "fail"
		} else if len(of[Reject](got)) > 0 {
			is = "refuse"
		}
		if is != c.want {
			t.Errorf("%s after %s: %s, want %s", c.class, c.outcome, is, c.want)
		}
		if c.want != "hold" {
			continue
		}
		if got := r.at(r.now+4.1, TimerFired{}); len(of[Fail](got)) != 1 {
			t.Errorf("%s past its window: %v, want a failure at once", c.class, got)
		}
	}
}

// Where removed workers stay usable, one that was listed as draining still gets nothing until a newer start of
// it is listed.
func TestDrainedWorkerNeedsNewerStart(t *testing.T) {
	gone := func(w WorkerInfo) EndpointUpdate {
		w.State = Removed
		return EndpointUpdate{EndpointsDelta, []WorkerInfo{w}}
	}
	drain := func(w WorkerInfo) EndpointUpdate {
		w.State = Draining
		return EndpointUpdate{EndpointsDelta, []WorkerInfo{w}}
	}
	empty := EndpointUpdate{Kind: EndpointsSnapshot}
	w, newer := up("w")[0], up("w")[0]
	newer.StartedAt = 99
	for name, c := range map[string]struct {
		news []EndpointUpdate
		open bool
	}{
		"gone":                    {[]EndpointUpdate{gone(w)}, true},
		"left out":                {[]EndpointUpdate{empty}, true},
		"drained":                 {[]EndpointUpdate{drain(w)}, false},
		"drained, gone":           {[]EndpointUpdate{drain(w), gone(w)}, false},
		"drained, left out":       {[]EndpointUpdate{drain(w), empty}, false},
		"drained, an older list":  {[]EndpointUpdate{drain(w), empty, {EndpointsSnapshot, []WorkerInfo{w}}}, false},
		"drained, started anew":   {[]EndpointUpdate{drain(w), empty, {EndpointsSnapshot, []WorkerInfo{newer}}}, true},
		"started anew, old entry": {[]EndpointUpdate{{EndpointsSnapshot, []WorkerInfo{newer}}, drain(w), {EndpointsSnapshot, []WorkerInfo{w}}}, false},
	} {
		cfg := base()
		cfg.RemovedStayUsable = true
		r := newRig(t, cfg, w)
		r.step(r.report("w", 3))
		for _, n := range c.news {
			r.step(n)
		}
		got := of[Send](r.at(r.now+1, r.job("read", "a"), r.report("w", 3)))
		if open := len(got) == 1; open != c.open {
			t.Errorf("%s: sent to is %v, want %v", name, open, c.open)
		}
	}
}

// A rejected client gets a Retry-After, within what clients heed.
func TestRejectionHasRetryAfter(t *testing.T) {
	for _, c := range []struct{ limit, min, max float64 }{{0, 0, 0}, {2, 0.1, 2}, {1e6, 2, 1e5}} {
		cfg := base()
		cfg.MaxRetryAfter = c.limit
		cfg.Tenants = []Tenant{{Name: "a", Quota: 1}}
		r := newRig(t, cfg, up("w")...)
		r.step(r.report("w", 0))
		for range 50 {
			r.step(r.job("read", "a"))
		}
		for _, f := range of[Reject](r.at(112, TimerFired{})) {
			if f.RetryAfter < c.min || f.RetryAfter > c.max {
				t.Errorf("limit %v: told to come back after %v, want %v to %v", c.limit, f.RetryAfter, c.min, c.max)
			}
		}
	}
}

// Found on shymkent-giving: jobs that fail wherever they go had every worker rest, and
// when they ceased, half of the fleet stayed under suspicion.
func TestFailingJobsEjectNoWorker(t *testing.T) {
	r := newRig(t, base(), up("u", "v", "w", "x")...)
	fail := func(s Send, n int) []Send { return of[Send](r.step(done(s, n, Failed))) }
	var last []Send
	for i := range 200 {
		r.now += 0.5
		last = of[Send](r.step(r.job("read", "a"), r.report("u", 4), r.report("v", 4), r.report("w", 4), r.report("x", 4)))
		for n := 0; len(last) > 0; n++ {
			if i%2 == 0 { // a healthy one
				r.step(done(last[0], n, Served))
				break
			}
			last = fail(last[0], n)
		}
	}
	resting := 0
	for _, w := range r.b.workers {
		if w.probationLeft > 0 || r.now < w.ejectedUntil {
			resting++
		}
	}
	if resting > 0 {
		t.Errorf("%d of 4 workers rest for the faults of jobs", resting)
	}
	if tries := len(of[Send](r.acts)); tries > 330 { // 100 healthy ones, 100 bad ones of up to 3 attempts
		t.Errorf("%d attempts for 200 jobs, half of which fail wherever they go", tries)
	}
}

// Found on i35577a: clients in a hurry were taken for late repeats and rejected on arrival.
func TestShortTimeoutIsNotTakenForRetry(t *testing.T) {
	for _, c := range []struct {
		marks, retry bool
		sends        int
	}{{true, false, 1}, {true, true, 0}, {false, false, 0}} {
		cfg := base()
		cfg.ClientsMarkRetries = c.marks
		for i := range cfg.Classes {
			cfg.Classes[i].LateWeightFraction = 0
		}
		r := newRig(t, cfg, up("w")...)
		s := of[Send](r.step(r.job("read", "a"), r.report("w", 1)))[0]
		r.step(done(s, 0, Served))
		j := r.job("read", "a")
		j.Timeout, j.Retry = 4, c.retry
		if got := of[Send](r.at(102, j, r.report("w", 3))); len(got) != c.sends {
			t.Errorf("clients mark repeats %v, marked %v: %d sends, want %d", c.marks, c.retry, len(got), c.sends)
		}
	}
}

// Found on pos-alumni-link: a list added workers that do not exist, and jobs that must not
// run twice were lost on them. One job at a time, idempotent, until something is heard.
func TestUnverifiedWorkerGetsOnlyTrials(t *testing.T) {
	cfg := base()
	cfg.RemovedStayUsable, cfg.HealthChecks = true, false
	r := newRig(t, cfg)
	r.step(EndpointUpdate{Kind: EndpointsSnapshot, Workers: up("ghost")})
	if got := of[Send](r.step(r.job("write", "a"))); len(got) != 0 {
		t.Fatalf("unsafe job sent to a stranger: %v", got)
	}
	got := of[Send](r.step(r.job("read", "a"), r.job("read", "a")))
	if len(got) != 1 {
		t.Fatalf("%d repeatable jobs sent to a stranger, want 1", len(got))
	}
	if got := of[Send](r.step(AttemptStarted{got[0].ID, 0})); len(got) == 0 {
		t.Error("nothing sent to a worker that has started a job")
	}
	r = newRig(t, cfg)
	r.step(EndpointUpdate{Kind: EndpointsSnapshot, Workers: up("ghost")})
	r.step(EndpointUpdate{Kind: EndpointsSnapshot})
	if len(r.b.workers) != 0 {
		t.Error("a worker that was never heard of is kept when the list drops it")
	}
}

// Unusual lists and a long pause neither break the scheduler nor make it act for nothing.
func TestUnusualListsAreTolerated(t *testing.T) {
	for _, only := range []bool{false, true} {
		cfg := base()
		cfg.RemovedStayUsable = only
		r := newRig(t, cfg)
		sent := 0
		for i := range 200 {
			kind, list := EndpointsSnapshot, up("u", "v")
			switch i % 4 {
			case 1:
				list = nil
			case 2:
				kind, list = EndpointsDelta, []WorkerInfo{{ID: "u", State: "odd"}, {ID: "never", State: Removed}}
			case 3:
				list[0].StartedAt = r.now - float64(i)
			}
			bad := HealthCheckDone{Worker: "v", Outcome: Served, Report: []float64{float64(i%5) - 2}}
			out := of[Send](r.at(r.now+1, EndpointUpdate{kind, list}, r.job("read", "a"), bad))
			for ; len(out) > 0; out = out[1:] {
				sent++
				out = append(out, of[Send](r.step(done(out[0], 0, Served), done(out[0], 0, Served)))...)
			}
		}
		for _, s := range of[Send](r.at(r.now+1e5, TimerFired{})) {
			r.step(done(s, 0, TimedOut))
		}
		if len(r.b.jobs) != 0 || sent == 0 {
			t.Errorf("only draining binds %v: %d jobs kept, %d sent", only, len(r.b.jobs), sent)
		}
	}
}
