package balance

import (
	"fmt"
	"reflect"
	"testing"
)

// In a new configuration, a new class is known, changed idempotence of a class applies to new jobs only, and
// MaxAttempts applies to all jobs.
func TestConfigChanged(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg, runningWorkers("w", "v")...)
	s := actionsOf[Send](r.step(r.job("read", "a"), r.report("w", 1)))
	if len(s) != 1 {
		t.Fatal("job was not sent under the first configuration")
	}
	r.step(AttemptStarted{s[0].ID, 0})
	next := testConfig()
	next.MaxAttempts = 2
	next.Classes[0].Idempotence = NonIdempotent
	next.Classes = append(next.Classes[:2],
		Class{Name: "new", LatencyObjective: 5, Deadline: 30, Idempotence: Idempotent, WorkerKind: "k"})
	next.Tenants = []Tenant{{Name: "a", Quota: 2, Weight: 5}, {Name: "c", Quota: 3}}
	r.b.tenantsByName["a"].globalTag, r.b.tenantsByName["a"].localTag = 77, 101
	r.step(ConfigChanged{Config: next})
	if a := r.b.tenantsByName["a"]; a.globalTag != 77 || a.localTag != 101 || a.quota != 2 || a.weight != 5 {
		t.Errorf("tenant a: got tags %v and %v, quota %v, weight %v, want 77, 101, 2, 5",
			a.globalTag, a.localTag, a.quota, a.weight)
	}
	if q := r.b.tenantsByName["b"].quota; q != 0 || r.b.tenantsByName["c"].quota != 3 {
		t.Errorf("got quota %v for the removed tenant and %v for the new one, want 0 and 3", q, r.b.tenantsByName["c"].quota)
	}
	// The job keeps the idempotence with which it arrived: it may be retried, but only once.
	again := actionsOf[Send](r.stepAt(101, done(s[0], 0, ConnectionLost), r.report("v", 1), r.report("w", 1)))
	if len(again) != 1 {
		t.Fatalf("got sends %v, want one retry of the job that arrived as idempotent", again)
	}
	if acts := r.stepAt(102, done(again[0], 1, ConnectionLost), r.report("v", 1), r.report("w", 1)); len(actionsOf[Send](acts)) > 0 ||
		len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("got actions %v after the last allowed attempt, want one Reject and no Send", acts)
	}
	// A new job of the class has the new idempotence.
	s = actionsOf[Send](r.stepAt(110, r.job("read", "a"), r.report("w", 1), r.report("v", 1)))
	if len(s) != 1 {
		t.Fatal("job was not sent under the new configuration")
	}
	if acts := r.stepAt(111, done(s[0], 0, ConnectionLost)); len(actionsOf[Send](acts)) > 0 || len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("got actions %v for a non-idempotent job that may have run, want one Fail and no Send", acts)
	}
	if s = actionsOf[Send](r.stepAt(120, r.job("new", "c"), r.report("w", 1), r.report("v", 1))); len(s) != 1 || !r.b.anyWorkerKind {
		t.Errorf("got sends %v for a job of the new class, want one, and anyWorkerKind set", s)
	}
}

// An invalid configuration changes nothing. The same configuration again changes nothing either.
func TestConfigChangeKeepsState(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	s := actionsOf[Send](r.step(r.job("read", "a"), r.report("w", 1)))
	r.step(AttemptStarted{s[0].ID, 0})
	r.stepAt(103, done(s[0], 0, Served))
	bad := testConfig()
	bad.Classes[1].Idempotence = "sometimes"
	bad.MaxAttempts = 1
	cfg := r.b.config
	r.step(ConfigChanged{Config: bad})
	if bad.Check() == nil || !reflect.DeepEqual(r.b.config, cfg) {
		t.Errorf("got configuration %+v after an invalid one, want the previous one", r.b.config)
	}
	r.step(ConfigChanged{Config: testConfig()})
	if c := r.b.classes["read"]; c.runTime.count != 1 || c.longestTimeout != 30 || !reflect.DeepEqual(r.b.config, cfg) {
		t.Errorf("got class %+v after the same configuration again, want its statistics kept", c)
	}
}

// If a class is removed while one of its jobs waits for a retry, the job keeps the class with which it arrived.
func TestClassRemovedWhileItsJobWaits(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	s := actionsOf[Send](r.step(r.job("write", "a"), r.report("w", 1)))
	r.stepAt(101, done(s[0], 0, Overloaded)) // the job never ran and waits for capacity
	next := testConfig()
	next.Classes = next.Classes[:1]
	r.step(ConfigChanged{Config: next})
	again := actionsOf[Send](r.stepAt(102, r.report("w", 2)))
	if len(again) != 1 || again[0].ID != s[0].ID {
		t.Fatalf("got sends %v, want the job of the removed class", again)
	}
	if acts := r.stepAt(103, done(again[0], 1, ConnectionLost), r.report("w", 2)); len(actionsOf[Fail](acts)) != 1 ||
		len(actionsOf[Send](acts)) > 0 {
		t.Errorf("got actions %v for a non-idempotent job that may have run, want one Fail and no Send", acts)
	}
}

// TightenExisting restricts the retries of existing jobs as well, but never allows them more retries.
func TestTightenedConfigBindsExistingJobs(t *testing.T) {
	for _, tighten := range []bool{false, true} {
		r := newRig(t, testConfig(), runningWorkers("w", "v")...)
		s := actionsOf[Send](r.step(r.job("read", "a"), r.job("write", "a"), r.report("w", 2)))
		if len(s) != 2 {
			t.Fatal("the two jobs were not sent")
		}
		next := testConfig()
		next.Classes[0].Idempotence, next.Classes[1].Idempotence = NonIdempotent, Idempotent
		r.step(ConfigChanged{Config: next, TightenExisting: tighten})
		r.stepAt(101, done(s[0], 0, ConnectionLost), done(s[1], 0, ConnectionLost), r.report("v", 2))
		if fails, again := len(actionsOf[Fail](r.actions)), len(actionsOf[Send](r.actions))-2; tighten && (fails != 2 || again != 0) ||
			!tighten && (fails != 1 || again != 1) {
			t.Errorf("TightenExisting %v: got %d failed and %d retried, want 2 and 0 with it, 1 and 1 without",
				tighten, fails, again)
		}
	}
}

// A job whose tenant is exported and imported again must keep the class with which it was accepted, however the
// configuration has changed since: its retries, its worker kind, and its unknown class.
func TestMovedJobKeepsItsClass(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		sends int
	}{
		"write": {"write", 1}, // non-idempotent, idempotent in the new configuration
		"read":  {"read", 3},  // idempotent, non-idempotent in the new configuration
		"none":  {"none", 1},  // unknown, idempotent in the new configuration
	} {
		for _, moves := range []bool{false, true} {
			r := newRig(t, testConfig(), runningWorkers("w", "v")...)
			sent := actionsOf[Send](r.step(r.job(c.class, "a"), r.report("w", 4), r.report("v", 4)))
			if len(sent) != 1 {
				t.Fatalf("%s: got sends %v, want one", name, sent)
			}
			next := testConfig()
			next.Classes[0].Idempotence, next.Classes[1].Idempotence = NonIdempotent, Idempotent
			next.Classes = append(next.Classes, Class{Name: "none", LatencyObjective: 5, Idempotence: Idempotent})
			r.step(ConfigChanged{Config: next})
			if moves {
				r.step(ImportTenant{State: r.b.exportTenant("a")})
			}
			for i := range 3 {
				all := actionsOf[Send](r.actions)
				r.now += 0.1
				r.step(done(all[len(all)-1], i, ConnectionLost), r.report("w", 4), r.report("v", 4))
				if len(actionsOf[Send](r.actions)) == len(all) {
					break
				}
			}
			if got := len(actionsOf[Send](r.actions)); got != c.sends {
				t.Errorf("%s, moved %v: got %d sends, want %d by the class of its arrival", name, moves, got, c.sends)
			}
		}
	}
}

// A job whose class runs on one kind of worker must still reach a worker of that kind after a new configuration frees
// the class of it or removes the class, however many other workers are ranked first, whether it was queued before or
// accepted before.
func TestWorkerKindOfAcceptedJobIsFound(t *testing.T) {
	next := testConfig()
	removed := testConfig()
	removed.Classes = removed.Classes[1:]
	for _, c := range []struct {
		queued bool
		next   Config
	}{{false, next}, {true, next}, {false, removed}, {true, removed}} {
		queued := c.queued
		cfg := testConfig()
		cfg.Classes[0].WorkerKind = "gpu"
		accepted := cfg.Classes[0]
		var workers []WorkerInfo
		for i := range 100 {
			workers = append(workers, WorkerInfo{ID: fmt.Sprint("w", i), Zone: "here", Kind: "k", State: Running})
		}
		r := newRig(t, cfg, append(workers, WorkerInfo{ID: "g", Zone: "here", Kind: "gpu", State: Running})...)
		job := r.job("read", "a")
		job.Accepted = &accepted
		if queued {
			r.step(job) // no worker has reported free slots yet
		}
		r.step(ConfigChanged{Config: c.next})
		if !queued {
			r.step(job)
		}
		for range 50 {
			checks := actionsOf[HealthCheck](r.actions)
			r.now += 0.1
			r.actions = nil
			for _, check := range checks {
				r.step(r.report(check.Worker, 4))
			}
			r.step(TimerFired{})
			if sent := actionsOf[Send](r.actions); len(sent) > 0 {
				if sent[0].Worker != "g" {
					t.Errorf("queued before %v, %d classes then: sent to %s, want the worker of its kind", queued, len(c.next.Classes), sent[0].Worker)
				}
				break
			}
		}
		if len(actionsOf[Send](r.actions)) == 0 {
			t.Errorf("queued before %v, %d classes then: not sent within 5 s", queued, len(c.next.Classes))
		}
	}
}

// Configurations that change a class again and again must not leave anything behind in the queues once the jobs of its
// former definitions have ended.
func TestFormerClassesAreForgotten(t *testing.T) {
	r := newRig(t, testConfig(), runningWorkers("w")...)
	for i := range 50 {
		cfg := testConfig()
		cfg.Classes[0].PriorityWeight = float64(i + 2)
		r.step(ConfigChanged{Config: cfg})
		accepted := testConfig().Classes[0]
		job := r.job("read", "a")
		job.Accepted = &accepted
		r.step(job, r.job("read", "a"))
		r.now += 60
		r.step(TimerFired{}) // the jobs' clients have given up
	}
	r.step(ConfigChanged{Config: testConfig()})
	q := &r.b.tenantsByName["a"].queue
	if len(r.b.jobs) > 0 || len(r.b.formerClasses) > 0 || len(q.firstRequestHeaps) > 1 || len(q.byFirstRequest) > 1 {
		t.Errorf("got %d jobs, %d names with former classes, %d and %d heaps; want 0, 0, and at most 1 of the present class",
			len(r.b.jobs), len(r.b.formerClasses), len(q.firstRequestHeaps), len(q.byFirstRequest))
	}
}
