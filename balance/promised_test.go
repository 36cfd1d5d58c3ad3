package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// fleetSim simulates workers with a number of slots that are used by one balancer, in virtual time.
type fleetSim struct {
	t            *testing.T
	b            *Balancer
	now          float64
	rng          *rand.Rand
	pending      simHeap
	freeSlots    map[string]float64
	attempts     map[string]int
	jobSlots     map[string]float64
	arrivedAt    map[string]float64
	firstSentAt  map[string]float64 // time at which a job was first sent
	rejectedAt   map[string]float64
	failed       map[string]bool
	unresponsive map[string]bool
	meanRunTime  float64
	sequence     int
}

type simEvent struct {
	at       float64
	sequence int
	event    Event
	callback func()
}
type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].sequence < h[k].sequence
}
func (h simHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

func newFleetSim(t *testing.T, cfg Config, workers int, slots float64) *fleetSim {
	b, err := New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	s := &fleetSim{t: t, b: b, now: 100, rng: rand.New(rand.NewPCG(5, 6)),
		freeSlots: map[string]float64{}, attempts: map[string]int{}, jobSlots: map[string]float64{},
		arrivedAt: map[string]float64{}, firstSentAt: map[string]float64{}, rejectedAt: map[string]float64{},
		failed: map[string]bool{}, unresponsive: map[string]bool{}, meanRunTime: 0.2}
	list := fleet(workers)
	for _, w := range list {
		s.freeSlots[w.ID] = slots
	}
	s.schedule(0, EndpointUpdate{Kind: EndpointsCached, Workers: list}, nil)
	return s
}

func (s *fleetSim) schedule(d float64, e Event, do func()) {
	s.sequence++
	heap.Push(&s.pending, simEvent{s.now + d, s.sequence, e, do})
}

func (s *fleetSim) job(class, tenant string, slots, left float64) string {
	s.sequence++
	id := fmt.Sprint(class, s.sequence)
	s.arrivedAt[id], s.jobSlots[id] = s.now, slots
	s.schedule(0, JobArrived{ID: id, Class: class, Tenant: tenant, Timeout: left, Slots: slots}, nil)
	return id
}

// addArrivals lets jobs of tenant a arrive at a constant rate, in jobs per second.
func (s *fleetSim) addArrivals(class string, slots, rate, left float64) {
	var next func()
	next = func() {
		s.job(class, "a", slots, left)
		s.schedule(1/rate, nil, next)
	}
	s.schedule(s.rng.Float64()/rate, nil, next)
}

func (s *fleetSim) runUntil(until float64) {
	for len(s.pending) > 0 && s.pending[0].at <= until {
		x := heap.Pop(&s.pending).(simEvent)
		s.now = x.at
		if x.callback != nil {
			x.callback()
		}
		if x.event == nil {
			continue
		}
		for _, a := range s.b.Step(s.now, []Event{x.event}) {
			switch a := a.(type) {
			case SetTimer:
				s.schedule(a.After, TimerFired{}, nil)
			case HealthCheck:
				s.schedule(0.005, HealthCheckDone{Worker: a.Worker, Outcome: Served,
					Report: []float64{max(0, s.freeSlots[a.Worker])}}, nil)
			case Reject:
				s.rejectedAt[a.ID] = s.now
			case Fail:
				s.failed[a.ID] = true
			case Send:
				k := s.attempts[a.ID]
				s.attempts[a.ID]++
				if k == 0 {
					s.firstSentAt[a.ID] = s.now
				}
				if s.freeSlots[a.Worker] < s.jobSlots[a.ID] {
					s.schedule(0.002, AttemptDone{ID: a.ID, Attempt: k, Worker: a.Worker, Outcome: Overloaded}, nil)
					continue
				}
				s.freeSlots[a.Worker] -= s.jobSlots[a.ID]
				s.schedule(0.002, AttemptStarted{ID: a.ID, Attempt: k}, nil)
				if s.unresponsive[a.Worker] {
					continue
				}
				s.schedule(0.002+s.meanRunTime*s.rng.ExpFloat64(), nil, func() {
					s.freeSlots[a.Worker] += s.jobSlots[a.ID]
					s.schedule(0, AttemptDone{ID: a.ID, Attempt: k, Worker: a.Worker, Outcome: Served, JobFinished: true,
						Report: []float64{s.freeSlots[a.Worker]}}, nil)
				})
			}
		}
	}
	s.now = until
}

// waitStats returns the longest wait of an admitted job of a class for its first attempt, in seconds, and how
// many of its jobs were sent, were rejected on arrival, and were admitted but never sent.
func (s *fleetSim) waitStats(class string) (longest float64, sent, rejected, starved int) {
	for id, arrived := range s.arrivedAt {
		if !strings.HasPrefix(id, class) {
			continue
		}
		at, ok := s.firstSentAt[id]
		r, wasRejected := s.rejectedAt[id]
		switch {
		case ok:
			sent++
			longest = max(longest, at-arrived)
		case wasRejected && r-arrived < 0.05:
			rejected++
		case wasRejected:
			starved++
			longest = max(longest, r-arrived)
		default:
			starved++
			longest = max(longest, s.now-arrived)
		}
	}
	return
}

func promisedWaitConfig(maxWait float64) Config {
	cfg := testConfig()
	cfg.Classes = []Class{
		{Name: "hi", LatencyObjective: 0.5, Deadline: 3, PriorityWeight: 10, Idempotence: Idempotent},
		{Name: "lo", LatencyObjective: 9, Deadline: 12, PriorityWeight: 1, Idempotence: NonIdempotent, MaxWait: maxWait},
		{Name: "wide", LatencyObjective: 9, Deadline: 12, PriorityWeight: 2, Idempotence: NonIdempotent, MaxWait: maxWait},
	}
	cfg.Tenants = []Tenant{{Name: "a", Quota: 200}}
	cfg.HealthCheckCost, cfg.ClientsMarkRetries, cfg.MaxRetryAfter = 0.01, true, 2
	return cfg
}

// Under a sustained load of jobs with a higher PriorityWeight at 120% of the fleet's capacity, jobs of a low
// weight and jobs of many slots are sent within their promised wait or rejected on arrival. At least 95% as
// many of the other jobs are sent as without the promise. Without it, jobs wait longer than that.
func TestPromisedWaitUnderOverload(t *testing.T) {
	play := func(maxWait float64) *fleetSim {
		s := newFleetSim(t, promisedWaitConfig(maxWait), 8, 4) // capacity: 160 slots per second
		s.addArrivals("hi", 1, 1.2*160, 3)
		s.addArrivals("lo", 1, 6, 12)
		s.addArrivals("wide", 4, 0.5, 12)
		s.runUntil(140)
		for id, arrived := range s.arrivedAt { // jobs that arrived less than 4 s ago may still be waiting
			if arrived > 140-4 {
				delete(s.arrivedAt, id)
			}
		}
		return s
	}
	const most = 4.0
	with, without := play(most), play(0)
	for _, class := range []string{"lo", "wide"} {
		longest, sent, rejected, starved := with.waitStats(class)
		longestWithout, sentWithout, _, starvedWithout := without.waitStats(class)
		t.Logf("%s: longest wait %.2f s, %d sent, %d rejected, %d starved; without MaxWait: %.2f s, %d sent, %d starved",
			class, longest, sent, rejected, starved, longestWithout, sentWithout, starvedWithout)
		if longest > most || starved > 0 || sent == 0 {
			t.Errorf("%s: longest wait %.2f s, %d sent, %d starved; want at most 4 s, some sent, none starved",
				class, longest, sent, starved)
		}
		if longestWithout <= most {
			t.Errorf("%s: longest wait %.2f s without the promise, want a longer one than with it", class, longestWithout)
		}
	}
	_, hi, _, _ := with.waitStats("hi")
	_, all, _, _ := without.waitStats("hi")
	if float64(hi) < 0.95*float64(all) {
		t.Errorf("class hi: got %d sends, %d without the promise; want nearly as many", hi, all)
	}
	t.Logf("hi: %d sent, %d without the promise", hi, all)
}

// Jobs with a promised wait may take up only a small part of the work in flight. Jobs beyond that are rejected
// on arrival with a Retry-After, and the admitted ones are sent in time.
func TestPromisedWaitRejectsExcess(t *testing.T) {
	s := newFleetSim(t, promisedWaitConfig(4), 8, 4)
	s.addArrivals("hi", 1, 1.2*160, 3)
	s.addArrivals("lo", 1, 100, 12)
	s.runUntil(130)
	for id, arrived := range s.arrivedAt {
		if arrived > 126 {
			delete(s.arrivedAt, id)
		}
	}
	longest, sent, rejected, starved := s.waitStats("lo")
	if longest > 4 || starved > 0 || rejected < sent || sent < 50 {
		t.Errorf("longest wait %.2f s, %d sent, %d rejected, %d starved; want up to 4 s, 50 or more sent and rejected, 0 starved",
			longest, sent, rejected, starved)
	}
}

// With different promised waits, a job that has reached the time of its priority must be found even if another
// job, which has not reached it yet, has the earlier end of its promised wait.
func TestDifferentPromisedWaits(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].MaxWait, cfg.Classes[1].MaxWait = 10, 3
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(100, []Event{JobArrived{ID: "long", Class: cfg.Classes[0].Name, Tenant: "a", Timeout: 60}})
	b.Step(104, []Event{JobArrived{ID: "short", Class: cfg.Classes[1].Name, Tenant: "a", Timeout: 60}})
	for at, want := range map[float64]string{104.9: "", 105.1: "long", 105.6: "short long"} {
		b.now = at
		var got []string
		for _, j := range b.promised.sortedDue(b.hasPriority) {
			got = append(got, j.id)
		}
		if strings.Join(got, " ") != want {
			t.Errorf("at %v s: got %v, want %s", at, got, want)
		}
	}
}

// A promised wait can be set and removed while jobs are queued. Queued jobs keep the one that they have.
func TestPromisedWaitChanges(t *testing.T) {
	cfg := testConfig()
	class := cfg.Classes[0].Name
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	rejected := func(id string, more ...Event) bool {
		return len(actionsOf[Reject](b.Step(100, append(more,
			JobArrived{ID: id, Class: class, Tenant: "a", Timeout: 60})))) > 0
	}
	if rejected("a") || rejected("b") || len(b.promised.jobs) > 0 {
		t.Fatal("job rejected or given a promised wait in a class without MaxWait")
	}
	promise := func(of int, wait float64) ConfigChanged {
		next := testConfig()
		next.Classes[of].MaxWait = wait
		return ConfigChanged{Config: next}
	}
	if rejected("c", promise(0, 1e-6)) || !rejected("d") || len(b.promised.jobs) != 1 {
		t.Error("want the first job of the class admitted with a promised wait of a microsecond, and the second rejected")
	}
	if rejected("e", promise(0, 0)) || len(b.promised.jobs) != 1 || b.promised.jobs[0].promisedBy != 100+1e-6 {
		t.Error("removing MaxWait rejected a new job or changed the promise of a queued one")
	}
	if rejected("f", promise(1, 1e-6), promise(0, -1)) {
		t.Error("a MaxWait of another class, or one below 0, rejected a job")
	}
}

// A job keeps the MaxWait with which it was accepted, and no other one is promised to it: when it was deferred until
// after a change of the configuration, and when its tenant is exported and imported again.
func TestPromisedWaitOfAcceptance(t *testing.T) {
	for _, deferred := range []bool{false, true} {
		for _, c := range []struct{ before, after float64 }{{8, 2}, {8, 0}, {0, 8}} {
			cfg := testConfig()
			cfg.Classes[0].MaxWait = c.before
			accepted := cfg.Classes[0]
			r := newRig(t, cfg)
			job := r.job("read", "a")
			job.Accepted = &accepted
			if !deferred {
				r.step(job)
			}
			cfg = testConfig()
			cfg.Classes[0].MaxWait = c.after
			r.step(ConfigChanged{Config: cfg})
			if deferred {
				r.step(job)
			}
			r.step(ImportTenant{State: r.b.exportTenant("a")})
			j := r.b.jobs[job.ID]
			if j == nil || j.hasMaxWait() != (c.before > 0) || j.hasMaxWait() && j.promisedBy != j.arrivedAt+c.before {
				t.Errorf("deferred %v, MaxWait %v, then %v: got job %+v, want the first one", deferred, c.before, c.after, j)
			}
		}
	}
}
