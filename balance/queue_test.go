package balance

import (
	"fmt"
	"testing"
)

// newBacklog is a balancer at which so many jobs wait, and at which workers have no
// capacity: half of the jobs of each of two tenants, of all classes and sizes.
func newBacklog(tb testing.TB, waiting, workers int) (*Balancer, float64, map[string]int) {
	cfg := testConfig()
	cfg.HealthChecks, cfg.HealthCheckCost, cfg.Dispatchers = true, 0.01, 4
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective, cfg.Classes[i].Deadline = 500, 1000
	}
	b, err := New(cfg, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now, tries := 100.0, map[string]int{}
	list := fleet(workers)
	full := func(events ...Event) { // no worker has capacity
		for len(events) > 0 {
			acts := b.Step(now, events)
			events = nil
			for _, a := range acts {
				if s, ok := a.(Send); ok {
					events = append(events, AttemptDone{ID: s.ID, Attempt: tries[s.ID], Worker: s.Worker, Outcome: Overloaded})
					tries[s.ID]++
				} else if p, ok := a.(HealthCheck); ok {
					events = append(events, HealthCheckDone{Worker: p.Worker, Outcome: Served, Report: []float64{0}})
				}
			}
		}
	}
	full(EndpointUpdate{Kind: EndpointsCached, Workers: list})
	for i := 0; i < waiting; {
		var events []Event
		for range min(waiting, 500) {
			events = append(events, JobArrived{ID: fmt.Sprint("j", i), Class: cfg.Classes[i%3].Name, Tenant: []string{"a", "b"}[i%2],
				Timeout: 1000, Slots: float64(1 + i%4)})
			i++
		}
		now += 0.01
		full(events...)
	}
	for _, w := range list {
		full(HealthCheckDone{Worker: w.ID, Outcome: Served, Report: []float64{0}})
	}
	return b, now, tries
}

var backlogSizes = []struct{ waiting, workers int }{{100, 12}, {10_000, 12}, {100_000, 12}, {100, 1000}, {100_000, 1000}, {100, 5000}, {100_000, 5000}}

// One step while nothing has capacity.
func BenchmarkBacklogStep(b *testing.B) {
	for _, c := range backlogSizes {
		b.Run(fmt.Sprint(c.waiting, "waiting-", c.workers, "workers"), func(b *testing.B) {
			r, now, _ := newBacklog(b, c.waiting, c.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 1e-6
				r.Step(now, []Event{TimerFired{}})
			}
		})
	}
}

// A worker reports a slot, a job goes there and ends, another comes; the client of
// one leaves where none was sent, so that as many wait as before.
func BenchmarkBacklogRelease(b *testing.B) {
	for _, c := range backlogSizes {
		b.Run(fmt.Sprint(c.waiting, "waiting-", c.workers, "workers"), func(b *testing.B) {
			r, now, tries := newBacklog(b, c.waiting, c.workers)
			sent, extra, gone := 0, 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 0.005
				r.scanWorkers()
				events := []Event{JobArrived{ID: fmt.Sprint("n", i), Class: "read", Tenant: "a", Timeout: 1000},
					HealthCheckDone{Worker: r.eligible[i%len(r.eligible)].ID, Outcome: Served, Report: []float64{1 + float64(i%2)}}}
				for extra++; extra > 0 && gone <= i; gone++ {
					if id := fmt.Sprint("n", gone); tries[id] == 0 {
						events, extra = append(events, ClientDisconnected{id}), extra-1
					}
				}
				acts := r.Step(now, events)
				for o := Served; len(actionsOf[Send](acts)) > 0; o = Overloaded { // what the end lets go finds no capacity
					var ended []Event
					for _, s := range actionsOf[Send](acts) {
						sent++
						if o == Served {
							extra--
						}
						n := tries[s.ID]
						tries[s.ID]++
						ended = append(ended, AttemptStarted{ID: s.ID, Attempt: n}, AttemptDone{ID: s.ID, Attempt: n, Worker: s.Worker, Outcome: o,
							JobFinished: o == Served, Report: []float64{0}})
					}
					acts = r.Step(now, ended)
				}
			}
			b.StopTimer()
			left := 0
			for _, t := range r.tenants {
				left += t.queue.count
			}
			b.ReportMetric(float64(sent)/float64(b.N), "sent/op")
			b.ReportMetric(float64(left), "waiting")
		})
	}
}

// The bookkeeping of a queue against the plainest one: a list in order.
func TestQueueMatchesPlainList(t *testing.T) {
	c := &class{Class: Class{Name: "c", LatencyObjective: 1}}
	d := &class{Class: Class{Name: "d", LatencyObjective: 1}}
	var q queue
	var all []*job
	rnd := uint64(1)
	next := func(n int) int { rnd = rnd*6364136223846793005 + 1442695040888963407; return int(rnd>>33) % n }
	for step := range 20_000 {
		if next(5) < 3 && len(all) < 600 || len(all) == 0 {
			j := &job{id: fmt.Sprint(step), class: []*class{c, d}[next(2)], arrivedAt: float64(step - next(2)*next(50)), firstRequestedAt: float64(step - next(100)),
				enqueuedAt: float64(step), deadline: float64(step + next(1000)), slots: float64(1 + next(2))}
			if next(4) == 0 {
				j.attempts = []*attempt{{}}
			}
			q.add(j)
			all = append(all, j)
		} else {
			i := next(len(all))
			q.remove(all[i])
			all = append(all[:i], all[i+1:]...)
		}
		size, again := 0.0, 0
		for _, j := range all {
			size += j.size()
			if len(j.attempts) > 0 {
				again++
			}
		}
		if q.count != len(all) || q.size != size {
			t.Fatalf("%d jobs of size %v, want %d of %v", q.count, q.size, len(all), size)
		}
		q.visitRetries(func(*job) { again-- })
		if again != 0 {
			t.Fatalf("%d sent before are not listed", again)
		}
		seen := 0
		for _, g := range q.groups {
			var last *job
			g.visitEnds(1<<20, nil, func(j *job) {
				if last != nil && compareArrival(last, j) >= 0 {
					t.Fatalf("out of order: %+v, %+v", last, j)
				}
				last = j
				seen++
			})
			few := 0
			g.visitEnds(5, func(j *job) bool { return j.arrivedAt < float64(step-20) }, func(*job) { few++ })
			if g.count > 10 && few > 10 || g.count <= 10 && few != g.count {
				t.Fatalf("%d of %d looked at", few, g.count)
			}
		}
		if seen != len(all) {
			t.Fatalf("%d seen of %d", seen, len(all))
		}
		limit := float64(step + 200)
		n := 0
		left := q.byDeadline.visitWhile(func(j *job) bool { return j.deadline < limit }, func(*job) { n++ })
		var want *job
		for _, j := range all {
			if j.deadline < limit {
				n--
			} else if want == nil || j.deadline < want.deadline {
				want = j
			}
		}
		if n != 0 || (want == nil) != (left == nil) || want != nil && want.deadline != left.deadline {
			t.Fatalf("%d too many below %v, then %v, want %v", n, limit, left, want)
		}
	}
}
