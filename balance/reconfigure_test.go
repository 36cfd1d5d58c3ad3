package balance

import (
	"reflect"
	"testing"
)

// A new configuration: a class that appears is known, one that changes its effect
// changes it for new jobs only, attempts count for all.
func TestConfigChanged(t *testing.T) {
	cfg := base()
	r := newRig(t, cfg, up("w", "v")...)
	s := of[Send](r.step(r.job("read", "a"), r.report("w", 1)))
	if len(s) != 1 {
		t.Fatal("not sent")
	}
	r.step(AttemptStarted{s[0].ID, 0})
	next := base()
	next.MaxAttempts = 2
	next.Classes[0].Idempotence = NonIdempotent
	next.Classes = append(next.Classes[:2], Class{Name: "new", LatencyObjective: 5, Deadline: 30, Idempotence: Idempotent, WorkerKind: "k"})
	next.Tenants = []Tenant{{Name: "a", Quota: 2, Weight: 5}, {Name: "c", Quota: 3}}
	r.b.tenantsByName["a"].globalTag, r.b.tenantsByName["a"].localTag = 77, 101
	r.step(ConfigChanged{Config: next})
	if a := r.b.tenantsByName["a"]; a.globalTag != 77 || a.localTag != 101 || a.quota != 2 || a.weight != 5 {
		t.Errorf("tags %v and %v, quota %v, weight %v", a.globalTag, a.localTag, a.quota, a.weight)
	}
	if q := r.b.tenantsByName["b"].quota; q != 0 || r.b.tenantsByName["c"].quota != 3 {
		t.Errorf("a tenant that left has %v, one that came %v", q, r.b.tenantsByName["c"].quota)
	}
	// The job keeps the effect that it came with: it may go again, but only once more.
	again := of[Send](r.at(101, done(s[0], 0, ConnectionLost), r.report("v", 1), r.report("w", 1)))
	if len(again) != 1 {
		t.Fatalf("%v: a safe job under way may not be repeated any more", again)
	}
	if acts := r.at(102, done(again[0], 1, ConnectionLost), r.report("v", 1), r.report("w", 1)); len(of[Send](acts)) > 0 || len(of[Reject](acts)) != 1 {
		t.Errorf("%v after the last attempt that is allowed now", acts)
	}
	// A new job of the class has the new effect.
	s = of[Send](r.at(110, r.job("read", "a"), r.report("w", 1), r.report("v", 1)))
	if len(s) != 1 {
		t.Fatal("not sent")
	}
	if acts := r.at(111, done(s[0], 0, ConnectionLost)); len(of[Send](acts)) > 0 || len(of[Fail](acts)) != 1 {
		t.Errorf("%v: a job that may not run twice was repeated, or refused", acts)
	}
	if s = of[Send](r.at(120, r.job("new", "c"), r.report("w", 1), r.report("v", 1))); len(s) != 1 || !r.b.anyWorkerKind {
		t.Errorf("%v for a class that has appeared", s)
	}
}

// A configuration that can't be used changes nothing, and the same one again neither.
func TestConfigChangeKeepsState(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	s := of[Send](r.step(r.job("read", "a"), r.report("w", 1)))
	r.step(AttemptStarted{s[0].ID, 0})
	r.at(103, done(s[0], 0, Served))
	bad := base()
	bad.Classes[1].Idempotence = "sometimes"
	bad.MaxAttempts = 1
	cfg := r.b.config
	r.step(ConfigChanged{Config: bad})
	if bad.Check() == nil || !reflect.DeepEqual(r.b.config, cfg) {
		t.Errorf("settings in force: %+v", r.b.config)
	}
	r.step(ConfigChanged{Config: base()})
	if c := r.b.classes["read"]; c.runTime.count != 1 || c.longestTimeout != 30 || !reflect.DeepEqual(r.b.config, cfg) {
		t.Errorf("learnt of its class: %+v", c)
	}
}

// A class vanishes while a job of it waits to go again: the job keeps what it came with.
func TestClassRemovedWhileItsJobWaits(t *testing.T) {
	r := newRig(t, base(), up("w")...)
	s := of[Send](r.step(r.job("write", "a"), r.report("w", 1)))
	r.at(101, done(s[0], 0, Overloaded)) // it never ran, and waits for capacity
	next := base()
	next.Classes = next.Classes[:1]
	r.step(ConfigChanged{Config: next})
	again := of[Send](r.at(102, r.report("w", 2)))
	if len(again) != 1 || again[0].ID != s[0].ID {
		t.Fatalf("sent %v, want the job of the class that is gone", again)
	}
	if acts := r.at(103, done(again[0], 1, ConnectionLost), r.report("w", 2)); len(of[Fail](acts)) != 1 || len(of[Send](acts)) > 0 {
		t.Errorf("%v: it may not run twice", acts)
	}
}

// Strict settings bind the jobs that are here as well, but never loosen one.
func TestTightenedConfigBindsExistingJobs(t *testing.T) {
	for _, strict := range []bool{false, true} {
		r := newRig(t, base(), up("w", "v")...)
		s := of[Send](r.step(r.job("read", "a"), r.job("write", "a"), r.report("w", 2)))
		if len(s) != 2 {
			t.Fatal("not sent")
		}
		next := base()
		next.Classes[0].Idempotence, next.Classes[1].Idempotence = NonIdempotent, Idempotent
		r.step(ConfigChanged{Config: next, TightenExisting: strict})
		r.at(101, done(s[0], 0, ConnectionLost), done(s[1], 0, ConnectionLost), r.report("v", 2))
		if fails, again := len(of[Fail](r.acts)), len(of[Send](r.acts))-2; strict && (fails != 2 || again != 0) || !strict && (fails != 1 || again != 1) {
			t.Errorf("strict %v: %d failed, %d sent again", strict, fails, again)
		}
	}
}
