package shardrouter

import (
	"fmt"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// routerGroup is one or two routers that exchange frames by direct calls. Router "a" owns the only shard.
type routerGroup struct {
	now     float64
	routers map[string]*Router
	sent    map[string][][]byte
}

func newRouterGroup(b *testing.B, names ...string) *routerGroup {
	observer := lockObserver
	lockObserver = nil
	b.Cleanup(func() { lockObserver = observer })
	x := &routerGroup{now: 1000, routers: map[string]*Router{}, sent: map[string][][]byte{}}
	table := &config.Table{Version: 1}
	cfg := testConfig()
	cfg.HealthChecks, cfg.Dispatchers, cfg.ReportFields = false, 1, []string{balance.FieldFreeSlots}
	for _, name := range names {
		bal, err := balance.New(cfg, 1)
		if err != nil {
			b.Fatal(err)
		}
		r := New(Options{Name: name, Incarnation: 1, Config: cfg, Table: func() *config.Table { return table }, Now: func() float64 { return x.now }, Wake: func() {},
			Send:    func(to string, f []byte) bool { x.sent[to] = append(x.sent[to], f); return true },
			Propose: func(list []shard.OwnerChange) {}, Limits: shard.Limits{MaxJobs: shard.MaxRecords}, Log: b.Logf}, bal)
		r.manual = true
		r.Step(x.now, []balance.Event{balance.EndpointUpdate{Kind: balance.EndpointsSnapshot, Workers: []balance.WorkerInfo{{ID: "v", State: balance.Running}, {ID: "w", State: balance.Running}}}})
		x.routers[name] = r
	}
	table = &config.Table{Version: 2, ShardOwners: []config.ShardOwner{{Name: "a", Epoch: 1}}}
	x.settle(nil)
	return x
}

// settle runs all routers until no router has frames or wakeups left. It calls act, unless nil, with each action; an
// event that act returns is passed to the same router.
func (x *routerGroup) settle(act func(name string, a balance.Action) balance.Event) {
	for idle := false; !idle; {
		idle = true
		for name, r := range x.routers {
			var events []balance.Event
			for repeat := true; repeat; {
				actions := r.Step(x.now, events)
				events, repeat = nil, false
				for _, a := range actions {
					if act != nil {
						if e := act(name, a); e != nil {
							events, repeat = append(events, e), true
						}
					}
				}
			}
			for len(r.runQueue) > 0 {
				r.runShard(<-r.runQueue)
			}
			select {
			case <-r.wakeups:
				idle = false
			default:
			}
		}
		for name, frames := range x.sent {
			for _, f := range frames {
				for from, r := range x.routers {
					if from != name {
						x.routers[name].Receive(from, f)
						_ = r
					}
				}
				idle = false
			}
			delete(x.sent, name)
		}
		for _, r := range x.routers {
			for len(r.runQueue) > 0 {
				r.runShard(<-r.runQueue)
			}
		}
	}
}

// BenchmarkJob measures a job from its arrival to its end at a worker with a free slot: with only a Balancer, with an
// owner in the same process, and with an owner in another one (the work of both, including messages, but no network).
func BenchmarkJob(b *testing.B) {
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprintf("job-%08d", i)
	}
	arrive := func(i int) balance.Event {
		return balance.JobArrived{ID: ids[i%len(ids)], Class: "read", Tenant: "a", Timeout: 4, Slots: 1}
	}
	done := func(id, worker string) balance.Event {
		return balance.AttemptDone{ID: id, Worker: worker, Outcome: balance.Served, JobFinished: true, Report: []float64{500}}
	}
	b.Run("balancer", func(b *testing.B) {
		cfg := testConfig()
		cfg.HealthChecks, cfg.Dispatchers = false, 1
		bal, _ := balance.New(cfg, 1)
		bal.Step(1000, []balance.Event{balance.EndpointUpdate{Kind: balance.EndpointsSnapshot, Workers: []balance.WorkerInfo{{ID: "v", State: balance.Running}, {ID: "w", State: balance.Running}}}})
		b.ReportAllocs()
		now, events := 1000.0, make([]balance.Event, 0, 2)
		for i := 0; b.Loop(); i++ {
			now += 0.001
			for _, a := range bal.Step(now, append(events[:0], arrive(i))) {
				if s, ok := a.(balance.Send); ok {
					bal.Step(now, append(events[:0], done(s.ID, s.Worker)))
				}
			}
		}
	})
	b.Run("owner here", func(b *testing.B) {
		x := newRouterGroup(b, "a")
		r, sent := x.routers["a"], 0
		b.ReportAllocs()
		events := make([]balance.Event, 0, 2)
		for i := 0; b.Loop(); i++ {
			x.now += 0.001
			for _, a := range r.Step(x.now, append(events[:0], arrive(i))) {
				if s, ok := a.(balance.Send); ok {
					sent++
					r.Step(x.now, append(events[:0], done(s.ID, s.Worker)))
				}
			}
		}
		if sent < b.N*9/10 {
			b.Errorf("sent %d of %d jobs, want at least nine in ten", sent, b.N)
		}
	})
	b.Run("owner elsewhere", func(b *testing.B) {
		x := newRouterGroup(b, "a", "b")
		sent := 0
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			x.now += 0.001
			x.routers["b"].Step(x.now, []balance.Event{arrive(i)})
			x.settle(func(name string, a balance.Action) balance.Event {
				if s, ok := a.(balance.Send); ok {
					sent++
					return done(s.ID, s.Worker)
				}
				return nil
			})
		}
		if sent < b.N*9/10 {
			b.Errorf("sent %d of %d jobs, want at least nine in ten", sent, b.N)
		}
	})
	// Maximum load: 64 jobs per step, so that each message carries many.
	b.Run("owner elsewhere, 64 at once", func(b *testing.B) {
		x := newRouterGroup(b, "a", "b")
		sent := 0
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			var events []balance.Event
			x.now += 0.05
			for k := range 64 {
				events = append(events, arrive(64*i+k))
			}
			x.routers["b"].Step(x.now, events)
			for range 2 {
				x.now += 0.001
				x.settle(func(name string, a balance.Action) balance.Event {
					if s, ok := a.(balance.Send); ok {
						sent++
						return done(s.ID, s.Worker)
					}
					return nil
				})
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(sent, 1)), "ns/job")
		b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "released/s")
	})
}

// BenchmarkTransfer measures a transfer of a shard with 20,000 jobs between two processes, from sealing until the new
// owner's Balancer has the jobs, without the time for agreement.
func BenchmarkTransfer(b *testing.B) {
	const jobs = 20_000
	for rounds := 1; b.Loop(); rounds++ {
		b.StopTimer()
		cfg := testConfig()
		cfg.Classes = []balance.Class{{Name: "read", LatencyObjective: 1000, ObjectiveStretch: 2, Deadline: 4000, LateWeightFraction: 1, Idempotence: balance.Idempotent}}
		s := newSim(b, 1, 2, 1, cfg)
		s.delay = 0
		for _, w := range s.workers {
			w.free = 0
		}
		for i := range jobs {
			if s.nodes[1].arrive("read", "c", 4000); i%100 == 99 {
				s.run(0.002)
			}
		}
		s.run(0.01)
		oldOwner, newOwner := s.nodes[0].r.allShards()[0], s.nodes[1].r.allShards()[0]
		if oldOwner.owner.JobCount() < jobs*9/10 {
			b.Fatalf("the owner has %d jobs, want at least 18000", oldOwner.owner.JobCount())
		}
		n, observer := oldOwner.owner.JobCount(), lockObserver
		lockObserver = nil
		b.StartTimer()
		if err := s.nodes[0].r.Transfer(0, "b"); err != nil {
			b.Fatal(err)
		}
		s.nodes[0].runWorkers()
		for i := 0; !newOwner.owned.balancing; i++ {
			if s.run(0.001); i > 3000 {
				b.Fatal("the transfer did not end within 3 s of simulated time")
			}
		}
		lockObserver = observer
		b.ReportMetric(float64(n*rounds)/b.Elapsed().Seconds(), "entries/s")
	}
}

// BenchmarkMessageVolume measures the frames and bytes that origins and owners exchange, without the framing of a
// connection: at idle per instance and second, and per job in addition to that. There are ten shards per instance, and
// each instance is both an origin and an owner.
func BenchmarkMessageVolume(b *testing.B) {
	const span, rate = 20.0, 40.0
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for seed := uint64(0); b.Loop(); seed++ {
				s := newSim(b, seed, n, 10*n, testConfig())
				s.reliableWorkers = true
				s.run(5)
				frames, bytes := s.frames, s.bytes
				s.run(span)
				idleFrames, idleBytes := (s.frames-frames)/span, (s.bytes-bytes)/span
				frames, bytes = s.frames, s.bytes
				s.generateLoad(rate, span)
				s.run(span + 10)
				jobs, elapsed := float64(len(s.jobs)), span+10
				b.ReportMetric(idleBytes/float64(n), "rest-B/s/instance")
				b.ReportMetric(idleFrames/float64(n), "rest-frames/s/instance")
				b.ReportMetric((s.bytes-bytes-idleBytes*elapsed)/jobs, "B/job")
				b.ReportMetric((s.frames-frames-idleFrames*elapsed)/jobs, "frames/job")
				b.ReportMetric(0, "ns/op")
				s.verify()
			}
		})
	}
}
