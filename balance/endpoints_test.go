package balance

import "testing"

// With OverloadedMayHaveRun, after an Overloaded outcome a non-idempotent job fails at once, one with an idempotency
// key is retried in its scope only, and an idempotent one anywhere. Unreachable still proves that the job never ran.
func TestOverloadedMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		want    string
	}{
		{"write", Overloaded, "fail"}, {"write", Unreachable, "send"},
		{"put", Overloaded, "hold"}, {"put", Unreachable, "send"},
		{"read", Overloaded, "send"},
	} {
		cfg := testConfig()
		cfg.OverloadedMayHaveRun = true
		r := newRig(t, cfg, append(runningWorkers("v"), WorkerInfo{ID: "far", Zone: "there", State: Running})...)
		s := actionsOf[Send](r.step(r.job(c.class, "a"), r.report("v", 1)))[0]
		actions := r.step(r.report("far", 5), done(s, 0, c.outcome))
		got := "hold"
		if again := actionsOf[Send](actions); len(again) > 0 {
			got = "send"
		} else if len(actionsOf[Fail](actions)) > 0 {
			got = "fail"
		} else if len(actionsOf[Reject](actions)) > 0 {
			got = "reject"
		}
		if got != c.want {
			t.Errorf("%s job after %s: got %s, want %s", c.class, c.outcome, got, c.want)
		}
		if c.want != "hold" {
			continue
		}
		if got := r.stepAt(r.now+4.1, TimerFired{}); len(actionsOf[Fail](got)) != 1 {
			t.Errorf("%s job past its deduplication window: got %v, want one Fail", c.class, got)
		}
	}
}

// With RemovedStayUsable, a worker that was listed as draining gets no job until a newer start of it is listed, and
// any other worker that was removed or left out is still used.
func TestDrainedWorkerNeedsNewerStart(t *testing.T) {
	remove := func(w WorkerInfo) EndpointUpdate {
		w.State = Removed
		return EndpointUpdate{EndpointsDelta, []WorkerInfo{w}}
	}
	drain := func(w WorkerInfo) EndpointUpdate {
		w.State = Draining
		return EndpointUpdate{EndpointsDelta, []WorkerInfo{w}}
	}
	empty := EndpointUpdate{Kind: EndpointsSnapshot}
	w, newer := runningWorkers("w")[0], runningWorkers("w")[0]
	newer.StartedAt = 99
	for name, c := range map[string]struct {
		updates []EndpointUpdate
		used    bool
	}{
		"removed":               {[]EndpointUpdate{remove(w)}, true},
		"left out":              {[]EndpointUpdate{empty}, true},
		"drained":               {[]EndpointUpdate{drain(w)}, false},
		"drained, removed":      {[]EndpointUpdate{drain(w), remove(w)}, false},
		"drained, left out":     {[]EndpointUpdate{drain(w), empty}, false},
		"drained, old snapshot": {[]EndpointUpdate{drain(w), empty, {EndpointsSnapshot, []WorkerInfo{w}}}, false},
		"drained, restarted":    {[]EndpointUpdate{drain(w), empty, {EndpointsSnapshot, []WorkerInfo{newer}}}, true},
		"restarted, drained, old snapshot": {[]EndpointUpdate{{EndpointsSnapshot, []WorkerInfo{newer}}, drain(w),
			{EndpointsSnapshot, []WorkerInfo{w}}}, false},
	} {
		cfg := testConfig()
		cfg.RemovedStayUsable = true
		r := newRig(t, cfg, w)
		r.step(r.report("w", 3))
		for _, update := range c.updates {
			r.step(update)
		}
		got := actionsOf[Send](r.stepAt(r.now+1, r.job("read", "a"), r.report("w", 3)))
		if used := len(got) == 1; used != c.used {
			t.Errorf("%s: job sent to the worker: got %v, want %v", name, used, c.used)
		}
	}
}

// A rejected client gets a Retry-After within MaxRetryAfter, or none if that is 0.
func TestRejectionHasRetryAfter(t *testing.T) {
	for _, c := range []struct{ limit, min, max float64 }{{0, 0, 0}, {2, 0.1, 2}, {1e6, 2, 1e5}} {
		cfg := testConfig()
		cfg.MaxRetryAfter = c.limit
		cfg.Tenants = []Tenant{{Name: "a", Quota: 1}}
		r := newRig(t, cfg, runningWorkers("w")...)
		r.step(r.report("w", 0))
		for range 50 {
			r.step(r.job("read", "a"))
		}
		for _, f := range actionsOf[Reject](r.stepAt(112, TimerFired{})) {
			if f.RetryAfter < c.min || f.RetryAfter > c.max {
				t.Errorf("MaxRetryAfter %v: got RetryAfter %v, want %v to %v", c.limit, f.RetryAfter, c.min, c.max)
			}
		}
	}
}

// Jobs that fail on any worker must not have workers ejected. If each failure counted against the worker that ran the
// attempt, all workers would be ejected, and half of the fleet would stay on probation after such jobs cease.
func TestFailingJobsEjectNoWorker(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("u", "v", "w", "x")...)
	fail := func(s Send, n int) []Send { return actionsOf[Send](r.step(done(s, n, Failed))) }
	var last []Send
	for i := range 200 {
		r.now += 0.5
		last = actionsOf[Send](r.step(r.job("read", "a"), r.report("u", 4), r.report("v", 4), r.report("w", 4), r.report("x", 4)))
		for n := 0; len(last) > 0; n++ {
			if i%2 == 0 { // a job that succeeds
				r.step(done(last[0], n, Served))
				break
			}
			last = fail(last[0], n)
		}
	}
	excluded := 0
	for _, w := range r.b.workers {
		if w.probationLeft > 0 || r.now < w.ejectedUntil {
			excluded++
		}
	}
	if excluded > 0 {
		t.Errorf("%d of 4 workers ejected or on probation because of failing jobs, want 0", excluded)
	}
	if attempts := len(actionsOf[Send](r.actions)); attempts > 330 { // 100 jobs that succeed, 100 failing ones of up to 3 attempts
		t.Errorf("got %d attempts for 200 jobs, half of which fail on any worker, want 330 at most", attempts)
	}
}

// Where clients mark their retries, a job's timeout says nothing about its age. If a short timeout were taken for a
// late retry, the job would be rejected on arrival.
func TestShortTimeoutIsNotTakenForRetry(t *testing.T) {
	for _, c := range []struct {
		marks, retry bool
		sends        int
	}{{true, false, 1}, {true, true, 0}, {false, false, 0}} {
		cfg := testConfig()
		cfg.ClientsMarkRetries = c.marks
		for i := range cfg.Classes {
			cfg.Classes[i].LateWeightFraction = 0
		}
		r := newRig(t, cfg, runningWorkers("w")...)
		s := actionsOf[Send](r.step(r.job("read", "a"), r.report("w", 1)))[0]
		r.step(done(s, 0, Served))
		j := r.job("read", "a")
		j.Timeout, j.Retry = 4, c.retry
		if got := actionsOf[Send](r.stepAt(102, j, r.report("w", 3))); len(got) != c.sends {
			t.Errorf("ClientsMarkRetries %v, job marked as retry %v: got %d sends, want %d", c.marks, c.retry, len(got), c.sends)
		}
	}
}

// A wrong list may add workers that do not exist, and non-idempotent jobs sent to them are lost. So an unverified
// worker gets one idempotent job at a time until it reports or starts a job.
func TestUnverifiedWorkerGetsOnlyTrials(t *testing.T) {
	cfg := testConfig()
	cfg.RemovedStayUsable, cfg.HealthChecks = true, false
	r := newRig(t, cfg)
	r.step(EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers("ghost")})
	if got := actionsOf[Send](r.step(r.job("write", "a"))); len(got) != 0 {
		t.Fatalf("non-idempotent job sent to an unverified worker: %v", got)
	}
	got := actionsOf[Send](r.step(r.job("read", "a"), r.job("read", "a")))
	if len(got) != 1 {
		t.Fatalf("got %d idempotent jobs sent to an unverified worker, want 1", len(got))
	}
	if got := actionsOf[Send](r.step(AttemptStarted{got[0].ID, 0})); len(got) == 0 {
		t.Error("no job sent to a worker that has started one")
	}
	r = newRig(t, cfg)
	r.step(EndpointUpdate{Kind: EndpointsSnapshot, Workers: runningWorkers("ghost")})
	r.step(EndpointUpdate{Kind: EndpointsSnapshot})
	if len(r.b.workers) != 0 {
		t.Error("an unverified worker is kept when the list drops it")
	}
}

// With unusual lists, invalid reports, repeated outcomes and a long pause, jobs are still sent and every job ends.
func TestUnusualListsAreTolerated(t *testing.T) {
	for _, usable := range []bool{false, true} {
		cfg := testConfig()
		cfg.RemovedStayUsable = usable
		r := newRig(t, cfg)
		sent := 0
		for i := range 200 {
			kind, list := EndpointsSnapshot, runningWorkers("u", "v")
			switch i % 4 {
			case 1:
				list = nil
			case 2:
				kind, list = EndpointsDelta, []WorkerInfo{{ID: "u", State: "odd"}, {ID: "never", State: Removed}}
			case 3:
				list[0].StartedAt = r.now - float64(i)
			}
			bad := HealthCheckDone{Worker: "v", Outcome: Served, Report: []float64{float64(i%5) - 2}}
			out := actionsOf[Send](r.stepAt(r.now+1, EndpointUpdate{kind, list}, r.job("read", "a"), bad))
			for ; len(out) > 0; out = out[1:] {
				sent++
				out = append(out, actionsOf[Send](r.step(done(out[0], 0, Served), done(out[0], 0, Served)))...)
			}
		}
		for _, s := range actionsOf[Send](r.stepAt(r.now+1e5, TimerFired{})) {
			r.step(done(s, 0, TimedOut))
		}
		if len(r.b.jobs) != 0 || sent == 0 {
			t.Errorf("RemovedStayUsable %v: got %d unfinished jobs and %d sends, want no unfinished job and some sends",
				usable, len(r.b.jobs), sent)
		}
	}
}
