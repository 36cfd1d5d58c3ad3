package shardrouter

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// TestJobsThroughOwners checks that every job gets exactly one answer through its shard's owner if no messages are
// lost and no instance fails.
func TestJobsThroughOwners(t *testing.T) {
	s := newSim(t, 1, 3, 8, testConfig())
	s.generateLoad(100, 10)
	s.run(30)
	s.verify()
	served, attempts := 0, 0
	for _, j := range s.jobs {
		attempts += j.attempts
		if j.runs > 0 {
			served++
		}
	}
	t.Log(len(s.jobs), served, attempts, s.counterTotal(countUpdatesResent), s.counterTotal(countGrantsResent), s.counterTotal(countGrantsDeclined))
}

// runFaultSchedule simulates duration seconds of load with random crashes, pauses, partitions and transfers, on a
// network that loses, duplicates and reorders messages. change may modify the simulation before it starts. The
// returned simulation has run for another 25 s without message loss, and its final state is checked.
func runFaultSchedule(t testing.TB, seed uint64, duration float64, change func(*sim)) *sim {
	s := newSim(t, seed, 5, 16, testConfig())
	change(s)
	s.loss, s.repeat, s.delay = 0.05, 0.05, 0.02
	s.generateLoad(60, duration)
	end := s.now + duration
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		healthy := n.up && !n.paused && !n.isolated
		switch x := s.rng.IntN(60); {
		case x < 2 && healthy:
			n.crash()
			s.schedule(s.now+0.2+2*s.rng.Float64(), n.start)
		case x < 4 && healthy:
			n.pause()
			incarnation := n.incarnation
			s.schedule(s.now+3*s.rng.Float64(), func() {
				if n.incarnation == incarnation {
					n.resume()
				}
			})
		case x < 6 && healthy:
			n.isolated = true
			s.schedule(s.now+3*s.rng.Float64(), func() { n.isolated = false })
		case healthy:
			s.transferRandomShard(n)
		}
		s.schedule(s.now+0.1*s.rng.Float64(), next)
	}
	next()
	s.reassignShards(end)
	s.run(duration)
	s.loss, s.repeat = 0, 0
	s.run(25)
	s.checkFinalState()
	return s
}

// transferRandomShard begins to transfer a random shard that n owns to a random other instance.
func (s *sim) transferRandomShard(n *node) {
	for _, i := range s.rng.Perm(len(s.table.ShardOwners)) {
		if to := s.nodes[s.rng.IntN(len(s.nodes))]; to != n && s.table.ShardOwners[i].Name == n.name && n.r.allShards() != nil {
			n.r.Transfer(i, to.name)
			n.runWorkers()
			return
		}
	}
}

// reassignShards proposes new owners for the shards of instances that have been down, paused or isolated for more than
// 1.5 s, as the leader's coordinator does. It checks every 0.5 s until 5 s after end.
func (s *sim) reassignShards(end float64) {
	lastHealthy := map[*node]float64{}
	var check func()
	check = func() {
		for _, n := range s.nodes {
			if n.up && !n.paused && !n.isolated {
				lastHealthy[n] = s.now
			}
		}
		for i, x := range s.table.ShardOwners {
			if n := s.node(x.Name); n != nil && s.now > lastHealthy[n]+1.5 {
				s.proposals = append(s.proposals, shard.OwnerChange{Shard: i, Epoch: x.Epoch, To: s.nodes[s.rng.IntN(len(s.nodes))].name})
			}
		}
		if s.now < end+5 {
			s.schedule(s.now+0.5, check)
		}
	}
	check()
}

// TestFaults checks that random fault schedules violate no guarantee of the simulation and cause no event that
// only a bug can cause, and that they do cause the events that they are meant to test.
func TestFaults(t *testing.T) {
	jobs, fallbackAnswers := 0, 0
	total := map[string]uint64{}
	for seed := range uint64(4) {
		s := runFaultSchedule(t, seed, 12, func(*sim) {})
		jobs, fallbackAnswers = jobs+len(s.jobs), fallbackAnswers+s.fallbackAnswers
		for _, n := range s.nodes {
			for k, v := range n.r.Status().Counters {
				total[k] += v
			}
		}
		if len(s.failures) > 0 {
			t.Fatalf("seed %d:\n%s", seed, strings.Join(s.failures, "\n"))
		}
	}
	t.Log(jobs, fallbackAnswers, total)
	for _, counter := range []string{countReconciled, countAttemptsNotGranted, countMessagesNotEncoded, countCorruptFrames} {
		if total[counter] > 0 {
			t.Errorf("counted %d %q, want 0", total[counter], counter)
		}
	}
	for _, counter := range []string{countTransfersBegun, countOpenedWithSnapshot, countRenewed, countIncarnations, countGrantsDeclined, countUpdatesResent, countAnsweredLocally} {
		if total[counter] == 0 {
			t.Errorf("no fault schedule caused any %q", counter)
		}
	}
}

// TestWithoutShards checks that the actions of the Router are those of its Balancer if the table has no shards or
// no tenant is in a shard.
func TestWithoutShards(t *testing.T) {
	for _, table := range []*config.Table{nil, {Version: 1}, {Version: 2, ShardOwners: []config.ShardOwner{{Name: "other", Epoch: 1}}}} {
		reference, _ := balance.New(testConfig(), 3)
		routed, _ := balance.New(testConfig(), 3)
		r := New(Options{Name: "a", Incarnation: 1, Config: testConfig(), Table: func() *config.Table { return table }, Now: func() float64 { return 0 },
			Send: func(string, []byte) bool { return true }, Wake: func() {}, InShards: func(string) bool { return false }, Log: t.Logf}, routed)
		r.manual = true
		rng := rand.New(rand.NewPCG(1, 1))
		sent := 0
		var events []balance.Event
		for i := range 3000 {
			now := 10 + float64(i)/100
			events = append(events, balance.JobArrived{ID: fmt.Sprint(i), Class: "read", Tenant: []string{"a", "b", "x"}[rng.IntN(3)], Timeout: 5})
			if i == 0 {
				events = append(events, balance.EndpointUpdate{Kind: balance.EndpointsSnapshot, Workers: []balance.WorkerInfo{{ID: "w", State: balance.Running}, {ID: "v", State: balance.Running}}})
			}
			want := fmt.Sprintf("%#v", reference.Step(now, slices.Clone(events)))
			actions := r.Step(now, events)
			if got := fmt.Sprintf("%#v", actions); got != want {
				t.Fatalf("step %d:\n%s\nwant\n%s", i, got, want)
			}
			events = nil
			for _, a := range actions {
				switch a := a.(type) {
				case balance.Send:
					sent++
					events = append(events, balance.AttemptStarted{ID: a.ID}, balance.AttemptDone{ID: a.ID, Worker: a.Worker, Outcome: balance.Served, Report: []float64{3}})
				case balance.HealthCheck:
					events = append(events, balance.HealthCheckDone{Worker: a.Worker, Outcome: balance.Served, Report: []float64{float64(rng.IntN(5))}})
				}
			}
		}
		if sent < 1000 {
			t.Errorf("sent %d jobs, want at least 1000", sent)
		}
		r.Close()
	}
}

// TestCompleteReservation checks that a tenant whose requests all arrive at one of six instances gets its complete
// reservation of 20 jobs per second with shards. Without shards it gets only part of it, as each instance has a
// sixth.
func TestCompleteReservation(t *testing.T) {
	rate := func(count int) float64 {
		cfg := testConfig()
		cfg.Tenants = []balance.Tenant{{Name: "a", Quota: 20, Weight: 0.01}, {Name: "b", Quota: 0, Weight: 10}}
		s := newSim(t, 3, 6, count, cfg)
		s.reliableWorkers = true
		for w := range s.workers {
			s.workers[w].free = 1 // 8 workers with one slot each: 80 jobs per second
		}
		end := s.now + 20
		for at := s.now; at < end; at += 0.01 {
			s.schedule(at, func() { s.nodes[0].arrive("read", "a", 2) }) // 100 per second
			for range 2 {
				s.schedule(at, func() { s.nodes[s.rng.IntN(6)].arrive("read", "b", 2) }) // 200 per second
			}
		}
		s.run(30)
		s.verify()
		got := 0
		for _, j := range s.jobs {
			if j.tenant == "a" && j.runs > 0 {
				got++
			}
		}
		return float64(got) / 20
	}
	with, without := rate(8), rate(0)
	t.Logf("%.1f of 20 jobs per second with shards, %.1f without", with, without)
	if with < 19 || without > 8 {
		t.Errorf("got %.1f of 20 jobs per second with shards, want at least 19; got %.1f without, want at most 8", with, without)
	}
}

// TestOrderAcrossTransfers checks that transfers of a shard change neither the order in which a tenant's jobs are
// sent nor the shares of the tenants, which their tags determine.
func TestOrderAcrossTransfers(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = []balance.Class{{Name: "read", LatencyObjective: 100, ObjectiveStretch: 2, Deadline: 400, LateWeightFraction: 1, Idempotence: balance.Idempotent}}
	cfg.Tenants = []balance.Tenant{{Name: "a", Quota: 10, Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 1}}
	sentByTenant := func(withTransfers bool) map[string]int {
		s := newSim(t, 4, 3, 1, cfg) // one shard, which contains all tenants
		s.reliableWorkers, s.delay = true, 0
		for w := range s.workers {
			s.workers[w].free = 1
		}
		transfers := 0
		transferToNext := func() {
			for _, n := range s.nodes {
				if n.name == s.table.ShardOwners[0].Name && s.nextTable == nil {
					if n.r.Transfer(0, s.nodes[(int(n.name[0]-'a')+1)%3].name) == nil {
						transfers++
					}
					n.runWorkers()
				}
			}
		}
		for range 3 { // each instance owns the shard once, so that its balancer learns the service time
			for range 40 {
				s.nodes[0].arrive("read", "a", 300)
				s.run(0.05)
			}
			transferToNext()
			s.run(3)
		}
		s.grantOrder, transfers = nil, 0
		for i := range 3000 {
			s.schedule(s.now+0.005*float64(i), func() { s.nodes[i%3].arrive("read", []string{"a", "b", "c"}[s.rng.IntN(3)], 300) })
		}
		for at := s.now + 1; withTransfers && at < s.now+14; at += 1.1 {
			s.schedule(at, transferToNext)
		}
		s.run(14)
		got, latestArrival := map[string]int{}, map[string]float64{}
		slices.SortStableFunc(s.grantOrder, func(x, y string) int { // jobs of one step are sent at the same time
			return cmp.Or(cmp.Compare(s.jobs[x].grantedAt, s.jobs[y].grantedAt), cmp.Compare(s.jobs[x].arrivedAt, s.jobs[y].arrivedAt))
		})
		for _, id := range s.grantOrder {
			j := s.jobs[id]
			got[j.tenant]++
			if j.arrivedAt < latestArrival[j.tenant] {
				t.Errorf("transfers %v: %s of tenant %s, arrived at %.3f, was sent at %.3f after a job that arrived at %.3f", withTransfers, id, j.tenant, j.arrivedAt, j.grantedAt, latestArrival[j.tenant])
			}
			latestArrival[j.tenant] = max(latestArrival[j.tenant], j.arrivedAt)
		}
		s.run(60)
		s.verify()
		if copies := s.counterTotal(countOpenedWithSnapshot); withTransfers && (transfers < 10 || copies < 13) {
			t.Errorf("got %d transfers, want at least 10; got %d owners opened with a snapshot, want at least 13", transfers, copies)
		}
		return got
	}
	for _, withTransfers := range []bool{false, true} {
		got := sentByTenant(withTransfers)
		t.Log(got)
		if got["a"] < 140 || math.Abs(float64(got["b"])/float64(got["c"])-2) > 0.1 {
			t.Errorf("transfers %v: sent %v by tenant; want 10 per second of a, and twice as many of b as of c", withTransfers, got)
		}
	}
}

// TestFaultsDuringTransfer injects a crash or a pause of the old owner, the new owner or an origin at each step of
// a transfer, and checks that every job still gets exactly one answer.
func TestFaultsDuringTransfer(t *testing.T) {
	messageTypes := map[string]reflect.Type{
		"revoke":    reflect.TypeFor[shard.Revoke](),
		"decline":   reflect.TypeFor[shard.Decline](),
		"chunk":     reflect.TypeFor[shard.Chunk](),
		"chunk ack": reflect.TypeFor[shard.ChunkAck](),
	}
	for _, kind := range []string{"none", "revoke", "decline", "chunk", "chunk ack", "change", "open"} {
		for party := range 3 { // 0: the old owner, 1: the new owner, 2: an origin
			for _, crash := range []bool{true, false} {
				s := newSim(t, uint64(party), 3, 1, testConfig())
				s.generateLoad(60, 4)
				s.run(1.5)
				oldOwner := s.node(s.table.ShardOwners[0].Name)
				newOwner := s.nodes[(int(oldOwner.name[0]-'a')+1)%3]
				victim := []*node{oldOwner, newOwner, s.nodes[(int(oldOwner.name[0]-'a')+2)%3]}[party]
				injected, epoch := kind == "none", s.table.ShardOwners[0].Epoch
				inject := func() {
					if injected = true; crash {
						victim.crash()
						s.schedule(s.now+1, victim.start)
					} else {
						victim.pause()
						s.schedule(s.now+2.5, victim.resume)
					}
				}
				s.filter = func(from, to *node, m shard.Message) (shard.Message, bool) {
					if !injected && messageTypes[kind] != nil && messageTypes[kind] == reflect.TypeOf(m) {
						injected = true
						s.schedule(s.now, inject)
					}
					return m, true
				}
				var watch func()
				watch = func() {
					if !injected && (kind == "change" && s.nextTable != nil || kind == "open" && s.table.ShardOwners[0].Epoch > epoch) {
						inject()
					}
					s.schedule(s.now+0.005, watch)
				}
				watch()
				beginTransfer := func() {
					if err := oldOwner.r.Transfer(0, newOwner.name); err != nil {
						t.Fatal(err)
					}
					oldOwner.runWorkers()
				}
				if f := s.filter; kind == "revoke" || kind == "decline" { // begin while a grant is in transit
					granted := false
					s.filter = func(from, to *node, m shard.Message) (shard.Message, bool) {
						if _, ok := m.(shard.Grant); ok && !granted {
							granted = true
							s.schedule(s.now, beginTransfer)
						}
						return f(from, to, m)
					}
				} else {
					beginTransfer()
				}
				s.reassignShards(s.now + 3)
				s.run(17)
				if s.verify(); t.Failed() || !injected {
					t.Fatalf("fault at %s, party %d, crash %v: failed; fault injected: %v", kind, party, crash, injected)
				}
			}
		}
	}
}

// TestRemovedSafeguards checks that the fault schedules violate a guarantee of the simulation if one of the
// safeguards is removed, which shows that the checks can fail.
func TestRemovedSafeguards(t *testing.T) {
	for name, c := range map[string]struct {
		disable func(*sim)
		want    string
	}{
		"lease end stops grants": {func(s *sim) { s.ignoreLeaseEnd = true }, "without a lease"},
		"origins check grants":   {func(s *sim) { s.skipGrantChecks = true }, "two attempts in flight"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := runFaultSchedule(t, seed, 12, c.disable)
				if failures := strings.Join(s.failures, "\n"); strings.Contains(failures, c.want) {
					t.Logf("seed %d: %s", seed, failures)
					return
				}
			}
			t.Error("no schedule failed without the safeguard")
		})
	}
}

// TestPausedOwnerResumes pauses an owner while grants are in its send buffers, and resumes it after the shard has
// a new owner. The origins know the new epoch and must not execute the old grants. Without the epoch check they
// would, which the second run shows.
func TestPausedOwnerResumes(t *testing.T) {
	for _, checkEpochs := range []bool{true, false} {
		s := newSim(t, 6, 3, 1, testConfig())
		s.reliableWorkers = true
		s.generateLoad(40, 4)
		s.run(1)
		oldOwner, grants := s.node(s.table.ShardOwners[0].Name), 0
		s.filter = func(from, to *node, m shard.Message) (shard.Message, bool) {
			if g, ok := m.(shard.Grant); ok && (from == oldOwner || !checkEpochs) {
				if grants++; grants == 5 {
					oldOwner.pause()
					for _, w := range s.workers { // so that the new owner can't send yet
						w.free -= 4
					}
					s.schedule(s.now+2, oldOwner.resume)
					s.schedule(s.now+3, func() {
						for _, w := range s.workers {
							w.free += 4
						}
					})
				}
				if !checkEpochs {
					g.Epoch += 9 // higher than any epoch in the test, so that origins accept the grant
					m = g
				}
			}
			return m, true
		}
		s.reassignShards(s.now + 4)
		s.run(20)
		s.checkFinalState()
		failures := strings.Join(s.failures, "\n")
		if staleSend := strings.Contains(failures, "was sent under a grant of epoch"); staleSend == checkEpochs || checkEpochs && failures != "" || grants < 5 {
			t.Errorf("epoch check %v, %d grants: %s", checkEpochs, grants, failures)
		}
	}
}

// TestResend checks that, with 10% message loss, updates are sent again until their owner has them, so that the
// owner decides every job. Without resends, jobs are answered without a decision of their owner.
func TestResend(t *testing.T) {
	withoutGrant := func(resend bool) int {
		s := newSim(t, 2, 3, 4, testConfig())
		s.loss = 0.1
		highest := map[string]uint64{}
		s.filter = func(from, to *node, m shard.Message) (shard.Message, bool) {
			x, ok := m.(shard.JobUpdate)
			k := fmt.Sprint(x.Origin, x.Shard, x.Epoch)
			if !ok || resend || x.First > highest[k] {
				highest[k] = max(highest[k], x.First)
				return m, true
			}
			return m, false
		}
		s.generateLoad(50, 8)
		s.run(25)
		if resend {
			s.verify()
		}
		return s.fallbackAnswers + int(s.counterTotal(countAnsweredLocally))
	}
	if with, without := withoutGrant(true), withoutGrant(false); with > 0 || without < 20 {
		t.Errorf("%d jobs were answered without their owner, want 0; without resends %d, want at least 20", with, without)
	}
}
