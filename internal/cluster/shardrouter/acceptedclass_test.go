package shardrouter

import (
	"fmt"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// withReadClass returns the configuration with the definition of class read changed.
func withReadClass(cfg balance.Config, change func(*balance.Class)) balance.Config {
	cfg.Classes = append([]balance.Class(nil), cfg.Classes...)
	for i := range cfg.Classes {
		if cfg.Classes[i].Name == "read" {
			change(&cfg.Classes[i])
		}
	}
	return cfg
}

func nonIdempotent(c *balance.Class) { c.Idempotence = balance.NonIdempotent }

// freeWorkers sets the free slots of all workers.
func (s *sim) freeWorkers(slots int) {
	for _, w := range s.workers {
		w.free = slots
	}
}

// TestOwnersKeepTheClassOfTheOrigin checks that the jobs of an origin are retried by the class with which it accepted
// them, though the owner of their shard has another definition, and after their queue has moved to another owner.
func TestOwnersKeepTheClassOfTheOrigin(t *testing.T) {
	for _, moves := range []bool{false, true} {
		t.Run(fmt.Sprintf("the queue moves %v", moves), func(t *testing.T) {
			cfg := withReadClass(testConfig(), func(c *balance.Class) { c.LatencyObjective = 20 }) // no job is dropped as late
			cfg.MaxAttempts = 8                                                                    // a rejection by a full worker counts as an attempt
			s := newSim(t, 1, 3, 1, cfg)
			s.reliableWorkers = true
			s.freeWorkers(0)
			s.run(1)
			for _, owner := range []*node{s.nodes[0], s.nodes[2]} {
				owner.post(balance.ConfigChanged{Config: withReadClass(cfg, nonIdempotent)})
			}
			s.run(0.5)
			for range 20 {
				s.nodes[1].arrive("read", "a", 8)
			}
			s.run(0.5)
			if moves {
				if err := s.nodes[0].r.Transfer(0, s.nodes[2].name); err != nil {
					t.Fatal(err)
				}
				s.run(2)
				if got := s.table.ShardOwners[0].Name; got != s.nodes[2].name {
					t.Fatalf("the shard's owner is %q after the transfer", got)
				}
			}
			s.freeWorkers(4)
			s.breakFirstRun = true
			s.run(10)
			s.verify()
			for id, j := range s.jobs {
				if j.runs < 2 {
					t.Errorf("job %s ran %d times in %d attempts, want a retry as the origin's class allows", id, j.runs, j.attempts)
				}
			}
		})
	}
}

// TestTightenedClassReachesTheOwner checks that an owner that does not know of a change of the agreed rules yet answers
// a job that may have run when its origin reports the change, rather than grant attempts that the origin declines.
func TestTightenedClassReachesTheOwner(t *testing.T) {
	s := newSim(t, 1, 2, 1, testConfig())
	s.breakFirstRun, s.reliableWorkers = true, true
	origin := s.nodes[1]
	for range 20 {
		origin.arrive("read", "a", 8)
	}
	s.run(0.02)
	origin.post(balance.ConfigChanged{Config: withReadClass(testConfig(), nonIdempotent), TightenExisting: true})
	s.run(2)
	s.verify()
	for id, j := range s.jobs {
		if j.runs != 1 || !j.answered {
			t.Errorf("job %s ran %d times, answered %v; want one run and an answer", id, j.runs, j.answered)
		}
	}
	if declined := s.counterTotal(countGrantsDeclined); declined > 0 {
		t.Errorf("the origin declined %d grants, want 0", declined)
	}
}

// TestTightenedRulesBindWaitingState checks that a change of the agreed rules binds jobs that no balancer holds at the
// time: an update that the owner has not taken up yet, and a job from before there were shards that is being moved.
func TestTightenedRulesBindWaitingState(t *testing.T) {
	s := newSim(t, 1, 1, 1, testConfig())
	r := s.nodes[0].r
	accepted := testConfig().Classes[0]
	sh := r.allShards()[0]
	sh.owned.updates = append(sh.owned.updates, jobUpdated{shard.Update{JobRecord: shard.JobRecord{Accepted: &accepted}}})
	r.handleConfigChanged(balance.ConfigChanged{Config: withReadClass(testConfig(), nonIdempotent), TightenExisting: true})
	r.reimportUnsharded(balance.TenantState{Tenant: "a", Jobs: []balance.JobState{{ID: "j", Class: "read", Accepted: &accepted}}})
	imported := r.batch.tenantEvents[len(r.batch.tenantEvents)-1].(balance.ImportTenant)
	for what, class := range map[string]*balance.Class{
		"the waiting update": sh.owned.updates[0].(jobUpdated).Accepted,
		"the moved job":      imported.State.Jobs[0].Accepted,
	} {
		if class.Idempotence != balance.NonIdempotent {
			t.Errorf("%s has a class that is %s, want unsafe", what, class.Idempotence)
		}
	}
}

// withoutDefinitions is a filter of messages for owners of a build that does not read the origin's definitions.
func withoutDefinitions(_, _ *node, m shard.Message) (shard.Message, bool) {
	if update, ok := m.(shard.JobUpdate); ok {
		for i := range update.Records {
			update.Records[i].Accepted, update.Records[i].AtMostOnce = nil, false
		}
	}
	return m, true
}

// TestOriginChecksScopeOfDuplicates checks that an origin does not execute a Send of a keyed job that may have run
// outside the scope and the window with which it accepted the job, whatever the owner's definition allows. The owner is
// of a build that does not read the origin's.
func TestOriginChecksScopeOfDuplicates(t *testing.T) {
	const window = 8
	for name, c := range map[string]struct {
		scope   balance.DedupScope
		window  float64
		repeats bool
	}{
		"zone":               {balance.ScopeZone, window, true},
		"no scope":           {"", window, false},
		"shorter than a run": {balance.ScopeAll, 0.04, false},
	} {
		t.Run(name, func(t *testing.T) {
			keyed := func(scope balance.DedupScope, window float64) balance.Config {
				return withReadClass(testConfig(), func(c *balance.Class) {
					c.Idempotence, c.DedupScope, c.DedupWindow = balance.IdempotentWithKey, scope, window
				})
			}
			s := newSim(t, 1, 2, 1, keyed(balance.ScopeAll, window))
			s.breakFirstRun, s.reliableWorkers = true, true
			s.zones = map[string]string{}
			for i := range 8 {
				s.zones[fmt.Sprint("w", i)] = []string{"west", "east"}[i%2]
			}
			s.filter = withoutDefinitions
			origin := s.nodes[1]
			for _, n := range s.nodes {
				n.post(s.endpointUpdate())
			}
			origin.post(balance.ConfigChanged{Config: keyed(c.scope, c.window)})
			s.run(0.5)
			for range 20 {
				origin.arrive("read", "a", 8)
			}
			s.run(10)
			s.verify()
			repeated := 0
			for id, j := range s.jobs {
				for _, worker := range j.ranOn {
					if s.zones[worker] != s.zones[j.ranOn[0]] {
						t.Errorf("job %s ran on %v, which are in different zones", id, j.ranOn)
					}
				}
				if j.runs > 1 {
					repeated++
				}
			}
			if (repeated > 0) != c.repeats {
				t.Errorf("%d of %d jobs were sent again, want some %v", repeated, len(s.jobs), c.repeats)
			}
			t.Logf("%d jobs sent again, %d grants declined", repeated, s.counterTotal(countGrantsDeclined))
		})
	}
}

// TestJobThatMustNotRunAgainIsAnswered checks that an origin answers a job at once that may have run and must not run
// again, when the owner grants another attempt by a definition that allows it: the owner would grant it again until the
// job's deadline.
func TestJobThatMustNotRunAgainIsAnswered(t *testing.T) {
	for name, change := range map[string]func(*balance.Class){
		"unsafe": nonIdempotent,
		"keyed without a scope": func(c *balance.Class) {
			c.Idempotence, c.DedupWindow = balance.IdempotentWithKey, 8
		},
	} {
		s := newSim(t, 1, 2, 1, testConfig())
		s.breakFirstRun, s.reliableWorkers, s.filter = true, true, withoutDefinitions
		origin := s.nodes[1]
		origin.post(balance.ConfigChanged{Config: withReadClass(testConfig(), change)})
		s.run(0.5)
		for range 20 {
			origin.arrive("read", "a", 8)
		}
		s.run(1)
		for id, j := range s.jobs {
			if !j.answered || j.runs != 1 {
				t.Errorf("%s: job %s ran %d times, answered %v after 1 s of 8; want one run and an answer", name, id, j.runs, j.answered)
			}
		}
		s.run(9)
		s.verify()
		t.Logf("%s: %d grants declined", name, s.counterTotal(countGrantsDeclined))
	}
}
