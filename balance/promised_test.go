package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// fleetSim plays workers of some slots against one balancer in virtual time.
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
	firstSentAt  map[string]float64 // when a job was first sent
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
	s := &fleetSim{t: t, b: b, now: 100, rng: rand.New(rand.NewPCG(5, 6)), freeSlots: map[string]float64{}, attempts: map[string]int{}, jobSlots: map[string]float64{},
		arrivedAt: map[string]float64{}, firstSentAt: map[string]float64{}, rejectedAt: map[string]float64{}, failed: map[string]bool{}, unresponsive: map[string]bool{}, meanRunTime: 0.2}
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

// addArrivals has jobs of tenant a arrive evenly at a rate.
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
				s.schedule(0.005, HealthCheckDone{Worker: a.Worker, Outcome: Served, Report: []float64{max(0, s.freeSlots[a.Worker])}}, nil)
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
					s.schedule(0, AttemptDone{ID: a.ID, Attempt: k, Worker: a.Worker, Outcome: Served, JobFinished: true, Report: []float64{s.freeSlots[a.Worker]}}, nil)
				})
			}
		}
	}
	s.now = until
}

// waitStats are the promised wait for a first attempt of admitted jobs of a class, how
// many were sent, refused as they came, and not sent at all in the end.
func (s *fleetSim) waitStats(class string) (worst float64, sent, refused, starved int) {
	for id, came := range s.arrivedAt {
		if !strings.HasPrefix(id, class) {
			continue
		}
		at, ok := s.firstSentAt[id]
		r, no := s.rejectedAt[id]
		switch {
		case ok:
			sent++
			worst = max(worst, at-came)
		case no && r-came < 0.05:
			refused++
		case no:
			starved++
			worst = max(worst, r-came)
		default:
			starved++
			worst = max(worst, s.now-came)
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

// Under a sustained stream of dearer jobs at 120% of the fleet, cheap ones and
// wide ones are sent within their promised wait or rejected on arrival; the
// stream loses little. Without the promise they starve.
func TestPromisedWaitUnderOverload(t *testing.T) {
	play := func(maxWait float64) *fleetSim {
		s := newFleetSim(t, promisedWaitConfig(maxWait), 8, 4) // 160 slots a second
		s.addArrivals("hi", 1, 1.2*160, 3)
		s.addArrivals("lo", 1, 6, 12)
		s.addArrivals("wide", 4, 0.5, 12)
		s.runUntil(140)
		for id, came := range s.arrivedAt { // those that came last have not had their time
			if came > 140-4 {
				delete(s.arrivedAt, id)
			}
		}
		return s
	}
	const most = 4.0
	with, without := play(most), play(0)
	for _, class := range []string{"lo", "wide"} {
		worst, sent, refused, starved := with.waitStats(class)
		was, wasSent, _, wasStarved := without.waitStats(class)
		t.Logf("%s: worst %.2f s, %d sent, %d refused, %d starved; without: worst %.2f s, %d sent, %d starved", class, worst, sent, refused, starved, was, wasSent, wasStarved)
		if worst > most || starved > 0 || sent == 0 {
			t.Errorf("%s: worst wait %.2f s, %d sent, %d starved", class, worst, sent, starved)
		}
		if was <= most {
			t.Errorf("%s: waits at most %.2f s without the promise: the test shows nothing", class, was)
		}
	}
	_, hi, _, _ := with.waitStats("hi")
	_, all, _, _ := without.waitStats("hi")
	if float64(hi) < 0.95*float64(all) {
		t.Errorf("the stream has %d jobs sent, %d without the promise", hi, all)
	}
	t.Logf("hi: %d sent, %d without", hi, all)
}

// More than a small part of what is started is not promised: the rest is
// rejected on arrival, with a Retry-After, and what is admitted is sent in time.
func TestPromisedWaitRejectsExcess(t *testing.T) {
	s := newFleetSim(t, promisedWaitConfig(4), 8, 4)
	s.addArrivals("hi", 1, 1.2*160, 3)
	s.addArrivals("lo", 1, 100, 12)
	s.runUntil(130)
	for id, came := range s.arrivedAt {
		if came > 126 {
			delete(s.arrivedAt, id)
		}
	}
	worst, sent, refused, starved := s.waitStats("lo")
	if worst > 4 || starved > 0 || refused < sent || sent < 50 {
		t.Errorf("worst %.2f s, %d sent, %d refused, %d starved", worst, sent, refused, starved)
	}
}

// Where classes are promised different waits, a job that is due to go before the
// tags is not hidden by one that has to go sooner and is not due yet.
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
			t.Errorf("at %v s: %v, want %s", at, got, want)
		}
	}
}

// A promised wait can be set and removed while jobs are queued: theirs stays.
func TestPromisedWaitChanges(t *testing.T) {
	cfg := testConfig()
	class := cfg.Classes[0].Name
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(id string, more ...Event) bool {
		return len(actionsOf[Reject](b.Step(100, append(more, JobArrived{ID: id, Class: class, Tenant: "a", Timeout: 60})))) > 0
	}
	if refused("a") || refused("b") || len(b.promised.jobs) > 0 {
		t.Fatal("promised without a promise")
	}
	promise := func(of int, wait float64) ConfigChanged {
		next := testConfig()
		next.Classes[of].MaxWait = wait
		return ConfigChanged{Config: next}
	}
	if refused("c", promise(0, 1e-6)) || !refused("d") || len(b.promised.jobs) != 1 {
		t.Error("the first of a class gets its turn, the second can't within a microsecond")
	}
	if refused("e", promise(0, 0)) || len(b.promised.jobs) != 1 || b.promised.jobs[0].promisedBy != 100+1e-6 {
		t.Error("the end of the promise refuses a job, or forgets one that has it")
	}
	if refused("f", promise(1, 1e-6), promise(0, -1)) {
		t.Error("a promise of another class, or one below 0, counts")
	}
}
