package balance

import (
	"fmt"
	"testing"
)

// newBacklog returns a balancer with the given number of queued jobs and of workers without free capacity, its
// current time, and the number of attempts of each job. Half of the jobs belong to each of two tenants; they
// are of all classes and of 1 to 4 slots.
func newBacklog(tb testing.TB, queued, workers int) (*Balancer, float64, map[string]int) {
	cfg := testConfig()
	cfg.HealthChecks, cfg.HealthCheckCost, cfg.Dispatchers = true, 0.01, 4
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective, cfg.Classes[i].Deadline = 500, 1000
	}
	b, err := New(cfg, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now, attempts := 100.0, map[string]int{}
	list := fleet(workers)
	stepOverloaded := func(events ...Event) { // lets every send be rejected and every health check report 0 free slots
		for len(events) > 0 {
			acts := b.Step(now, events)
			events = nil
			for _, a := range acts {
				if s, ok := a.(Send); ok {
					events = append(events, AttemptDone{ID: s.ID, Attempt: attempts[s.ID], Worker: s.Worker, Outcome: Overloaded})
					attempts[s.ID]++
				} else if p, ok := a.(HealthCheck); ok {
					events = append(events, HealthCheckDone{Worker: p.Worker, Outcome: Served, Report: []float64{0}})
				}
			}
		}
	}
	stepOverloaded(EndpointUpdate{Kind: EndpointsCached, Workers: list})
	for i := 0; i < queued; {
		var events []Event
		for range min(queued, 500) {
			events = append(events, JobArrived{ID: fmt.Sprint("j", i), Class: cfg.Classes[i%3].Name,
				Tenant:  []string{"a", "b"}[i%2],
				Timeout: 1000, Slots: float64(1 + i%4)})
			i++
		}
		now += 0.01
		stepOverloaded(events...)
	}
	for _, w := range list {
		stepOverloaded(HealthCheckDone{Worker: w.ID, Outcome: Served, Report: []float64{0}})
	}
	return b, now, attempts
}

var backlogSizes = []struct{ queued, workers int }{{100, 12}, {10_000, 12}, {100_000, 12}, {100, 1000}, {100_000, 1000},
	{100, 5000}, {100_000, 5000}}

// BenchmarkBacklogStep measures a step while no worker has free capacity.
func BenchmarkBacklogStep(b *testing.B) {
	for _, c := range backlogSizes {
		b.Run(fmt.Sprint(c.queued, "waiting-", c.workers, "workers"), func(b *testing.B) {
			r, now, _ := newBacklog(b, c.queued, c.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 1e-6
				r.Step(now, []Event{TimerFired{}})
			}
		})
	}
}

// BenchmarkBacklogRelease measures the steps in which a worker reports free slots, a job arrives, and a queued
// job is sent and ends. If no job was sent, the client of one disconnects, so that the number of queued jobs
// stays about the same.
func BenchmarkBacklogRelease(b *testing.B) {
	for _, c := range backlogSizes {
		b.Run(fmt.Sprint(c.queued, "waiting-", c.workers, "workers"), func(b *testing.B) {
			r, now, attempts := newBacklog(b, c.queued, c.workers)
			sent, extra, nextToDisconnect := 0, 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 0.005
				r.scanWorkers()
				events := []Event{JobArrived{ID: fmt.Sprint("n", i), Class: "read", Tenant: "a", Timeout: 1000},
					HealthCheckDone{Worker: r.eligible[i%len(r.eligible)].ID, Outcome: Served, Report: []float64{1 + float64(i%2)}}}
				for extra++; extra > 0 && nextToDisconnect <= i; nextToDisconnect++ {
					if id := fmt.Sprint("n", nextToDisconnect); attempts[id] == 0 {
						events, extra = append(events, ClientDisconnected{id}), extra-1
					}
				}
				acts := r.Step(now, events)
				for o := Served; len(actionsOf[Send](acts)) > 0; o = Overloaded { // later sends are rejected
					var ended []Event
					for _, s := range actionsOf[Send](acts) {
						sent++
						if o == Served {
							extra--
						}
						n := attempts[s.ID]
						attempts[s.ID]++
						ended = append(ended, AttemptStarted{ID: s.ID, Attempt: n},
							AttemptDone{ID: s.ID, Attempt: n, Worker: s.Worker, Outcome: o,
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

// Compares a queue with a plain list of its jobs while random jobs are added and removed.
func TestQueueMatchesPlainList(t *testing.T) {
	c := &class{Class: Class{Name: "c", LatencyObjective: 1}}
	d := &class{Class: Class{Name: "d", LatencyObjective: 1}}
	var q queue
	var all []*job
	state := uint64(1)
	next := func(n int) int { state = state*6364136223846793005 + 1442695040888963407; return int(state>>33) % n }
	for step := range 20_000 {
		if next(5) < 3 && len(all) < 600 || len(all) == 0 {
			j := &job{id: fmt.Sprint(step), class: []*class{c, d}[next(2)],
				arrivedAt: float64(step - next(2)*next(50)), firstRequestedAt: float64(step - next(100)),
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
		size, retries := 0.0, 0
		for _, j := range all {
			size += j.size()
			if len(j.attempts) > 0 {
				retries++
			}
		}
		if q.count != len(all) || q.size != size {
			t.Fatalf("got %d jobs of total size %v, want %d of total size %v", q.count, q.size, len(all), size)
		}
		q.visitRetries(func(*job) { retries-- })
		if retries != 0 {
			t.Fatalf("visitRetries missed %d jobs, want 0", retries)
		}
		total := 0
		for _, g := range q.groups {
			var last *job
			g.visitEnds(1<<20, nil, func(j *job) {
				if last != nil && compareArrival(last, j) >= 0 {
					t.Fatalf("jobs visited out of order: %+v before %+v", last, j)
				}
				last = j
				total++
			})
			visited := 0
			g.visitEnds(5, func(j *job) bool { return j.arrivedAt < float64(step-20) }, func(*job) { visited++ })
			if g.count > 10 && visited > 10 || g.count <= 10 && visited != g.count {
				t.Fatalf("visited %d of %d jobs, want at most 10 or, if there are no more than 10, all", visited, g.count)
			}
		}
		if total != len(all) {
			t.Fatalf("visited %d of %d jobs", total, len(all))
		}
		limit := float64(step + 200)
		n := 0
		nextJob := q.byDeadline.visitWhile(func(j *job) bool { return j.deadline < limit }, func(*job) { n++ })
		var want *job
		for _, j := range all {
			if j.deadline < limit {
				n--
			} else if want == nil || j.deadline < want.deadline {
				want = j
			}
		}
		if n != 0 || (want == nil) != (nextJob == nil) || want != nil && want.deadline != nextJob.deadline {
			t.Fatalf("visited %d jobs too many with a deadline before %v, then returned %v, want %v", n, limit, nextJob, want)
		}
	}
}
