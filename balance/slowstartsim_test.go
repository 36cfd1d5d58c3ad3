package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// overloadRatio returns the load of a warming worker relative to the allowed load plus a margin for random variation.
// A ratio above 1 is an overload.
func overloadRatio(got, allowed float64) float64 { return got / (allowed + 2*math.Sqrt(allowed) + 2) }

// warmUpFleet describes a simulation of dispatchers and workers. Some workers are missing at first and then start
// warming up while all others are full.
type warmUpFleet struct {
	dispatchers         int
	warm, cold          int     // numbers of workers that are warm, and that start warming up
	slots               float64 // of each worker
	work                float64 // mean work of a job, in slots times seconds
	load                float64 // offered load relative to the capacity of all workers
	workDeviation       float64 // coefficient of variation of a job's work within its class
	wideJobs            bool    // some jobs take 2 slots, some 4
	shortObjectives     bool    // latency objectives are shorter than run times
	noReports           bool    // there are neither load reports nor health checks
	reportsWithAnswers  bool    // answers include load reports
	firstDispatcherLoad float64 // additional traffic of the first dispatcher, relative to the mean; 0: none
	listDelay           float64 // longest additional delay of the endpoint list, in seconds
	restartInPlace      bool    // the warming workers existed before and restart
	dispatcherRestarts  float64 // part of the dispatchers that restart after the warming workers started
	oneHangs            bool    // one of the warming workers hangs
	hedging             bool    // two attempts of a job may be in flight at once
	oneRejects          bool    // one of the warming workers rejects all jobs
	indexChanges        bool    // the dispatchers get other indexes after the warming workers start
	reportNoise         float64 // relative standard deviation of the reported free slots
	uncordon            bool    // operators cordon the warming workers and uncordon them when they start
}

const (
	simBegin, simWarmUpStart                = 102.0, 106.0 // start of the dispatchers and of the warming workers
	rampFloor, rampSeconds                  = 0.3, 6.0     // part of the capacity at a start, and time until full capacity
	simOverloadMultiple, simOverloadSeconds = 3.0, 3.0
	simTick                                 = 0.02
)

// rampCapacity returns the part of its capacity that a worker has at an age in seconds.
func rampCapacity(age float64) float64 { return min(1, rampFloor+(1-rampFloor)*age/rampSeconds) }

type simWorker struct {
	WorkerInfo
	queue            []*simAttempt
	hangs, rejects   bool
	received         []*simAttempt
	slots, usedSlots float64
}

func (w *simWorker) usableSlots(now float64) float64 {
	if w.StartedAt == 0 {
		return w.slots
	}
	return max(1, math.Round(w.slots*rampCapacity(now-w.StartedAt)))
}

type simAttempt struct {
	sentAt, slots, work     float64
	attempt                 int
	fromInformed, cancelled bool // fromInformed: the sender knew that the warming workers had started
	reply                   func(after float64, e Event)
	id                      string
}

// run simulates the fleet. It returns the highest overload ratio of a warming worker and the number of sends to
// warming workers.
func (f warmUpFleet) run(t *testing.T, seed uint64, ramp bool) (worst float64, sends int) {
	s := newSlowStartSim(t, f, seed, ramp)
	s.schedule()
	for ; s.step < len(s.scheduled); s.step++ {
		s.now = simBegin + float64(s.step)*simTick
		for _, do := range s.scheduled[s.step] {
			do()
		}
		s.addArrivals()
		s.stepDispatchers()
	}
	for _, w := range s.workers[f.warm:] {
		sends += len(w.received)
		worst = max(worst, s.worstLoad(w))
	}
	return worst, sends
}

// size returns the mean slots of a job.
func (f warmUpFleet) size() float64 {
	if f.wideJobs {
		return 0.6*1 + 0.25*2 + 0.15*4
	}
	return 1
}

// rate returns the jobs per second that all workers together can serve.
func (f warmUpFleet) rate() float64 { return f.slots * float64(f.warm+f.cold) / (f.work * f.size()) }

// classWork returns the mean work of each class. The classes have 0.5, 0.3 and 0.2 of the jobs.
func (f warmUpFleet) classWork() []float64 { return []float64{0.4 * f.work, 2 * f.work, f.work} }

func (f warmUpFleet) config(ramp bool) Config {
	cfg := testConfig()
	cfg.Dispatchers = f.dispatchers
	cfg.Cancellation = true
	cfg.Hedging = f.hedging
	cfg.HealthCheckCost = 0.01
	cfg.SlowStartFloor = rampFloor
	cfg.SlowStartSeconds = rampSeconds
	cfg.OverloadMultiple = simOverloadMultiple
	cfg.OverloadSeconds = simOverloadSeconds
	cfg.ReportFields = []string{FieldFreeSlots, FieldQueueLength}
	if f.noReports {
		cfg.HealthChecks = false
		cfg.ReportFields = nil
	}
	if !ramp {
		cfg.OverloadMultiple = 0
	}
	objectives := []float64{1, 4, 2}
	if f.shortObjectives {
		objectives = []float64{0.2, 1, 0.5}
	}
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = f.work * objectives[i]
	}
	quota := 0.45 * f.rate()
	cfg.Tenants = []Tenant{{Name: "a", Quota: quota, Weight: 1}, {Name: "b", Quota: quota, Weight: 1}}
	return cfg
}

// slowStartSim is the state of one run of a warmUpFleet.
type slowStartSim struct {
	warmUpFleet
	t    *testing.T
	seed uint64
	cfg  Config
	rng  *rand.Rand

	now       float64
	step      int
	scheduled [][]func() // actions by step
	nextJob   float64    // when the next job arrives

	workers   []*simWorker
	byID      map[string]*simWorker
	balancers []*Balancer
	events    [][]Event // by dispatcher
	informed  []bool    // by dispatcher: whether it knows that the warming workers have started
	jobs      map[string]*simAttempt
	attempts  map[string][]*simAttempt
}

func newSlowStartSim(t *testing.T, f warmUpFleet, seed uint64, ramp bool) *slowStartSim {
	s := &slowStartSim{
		warmUpFleet: f,
		t:           t,
		seed:        seed,
		cfg:         f.config(ramp),
		rng:         rand.New(rand.NewPCG(seed, 6)),
		now:         simBegin,
		scheduled:   make([][]func(), int((simWarmUpStart+rampSeconds-simBegin)/simTick)+1),
		nextJob:     simBegin,
		byID:        map[string]*simWorker{},
		balancers:   make([]*Balancer, f.dispatchers),
		events:      make([][]Event, f.dispatchers),
		informed:    make([]bool, f.dispatchers),
		jobs:        map[string]*simAttempt{},
		attempts:    map[string][]*simAttempt{},
	}
	for i := range f.warm + f.cold {
		info := WorkerInfo{ID: fmt.Sprint("w", seed, "-", i), Zone: fmt.Sprint("z", i%3), State: Running}
		w := &simWorker{slots: f.slots, WorkerInfo: info}
		s.workers = append(s.workers, w)
		s.byID[w.ID] = w
	}
	return s
}

// after schedules a call for a later step, when at least wait seconds have passed. Calls after the end of the run are
// dropped.
func (s *slowStartSim) after(wait float64, do func()) {
	if i := s.step + max(1, int(math.Ceil(wait/simTick))); i < len(s.scheduled) {
		s.scheduled[i] = append(s.scheduled[i], do)
	}
}

// schedule starts the dispatchers and schedules the events of dispatchers and workers.
func (s *slowStartSim) schedule() {
	untilStart := simWarmUpStart - simBegin
	for d := range s.balancers {
		s.startDispatcher(d, 0)
		s.after(untilStart+0.03+s.rng.Float64()*s.listDelay, func() {
			s.informed[d] = true
			s.post(d, s.endpointUpdate(EndpointsSnapshot, true))
		})
		if s.indexChanges {
			s.after(untilStart+1+2*s.rng.Float64(), func() {
				c := s.cfg
				c.Index = (d + s.dispatchers/2) % s.dispatchers
				s.post(d, ConfigChanged{Config: c})
			})
		}
		s.scheduleCordons(d, untilStart)
		if float64(d) < s.dispatcherRestarts*float64(s.dispatchers) {
			s.after(untilStart+1+2*s.rng.Float64(), func() { s.startDispatcher(d, 1) })
		}
	}
	s.after(untilStart, s.startWorkers)
}

func (s *slowStartSim) scheduleCordons(d int, untilStart float64) {
	if !s.uncordon {
		return
	}
	for _, w := range s.workers[s.warm:] {
		s.post(d, Cordon{w.ID, true})
		s.after(untilStart+s.rng.Float64(), func() {
			s.informed[d] = true
			s.post(d, Cordon{w.ID, false})
		})
	}
}

// startDispatcher starts a process of a dispatcher. The process number is part of its seed.
func (s *slowStartSim) startDispatcher(d int, process uint64) {
	c := s.cfg
	c.Index = d
	c.Zone = fmt.Sprint("z", d%3)
	b, err := New(c, s.seed<<20+process<<10+uint64(d))
	if err != nil {
		s.t.Fatal(err)
	}
	s.balancers[d] = b
	s.events[d] = []Event{s.endpointUpdate(EndpointsCached, s.restartInPlace || s.informed[d])}
}

func (s *slowStartSim) post(d int, e Event) { s.events[d] = append(s.events[d], e) }

// endpointUpdate returns an update with the warm workers and, if includeWarming is set, the warming ones.
func (s *slowStartSim) endpointUpdate(kind EndpointUpdateKind, includeWarming bool) EndpointUpdate {
	u := EndpointUpdate{Kind: kind}
	for i, w := range s.workers {
		if i < s.warm || includeWarming {
			u.Workers = append(u.Workers, w.WorkerInfo)
		}
	}
	return u
}

// startWorkers starts the warming workers. Their former attempts end with ConnectionLost.
func (s *slowStartSim) startWorkers() {
	for i, w := range s.workers[s.warm:] {
		for _, c := range w.queue {
			c.reply(0, AttemptDone{ID: c.id, Attempt: c.attempt, Worker: w.ID, Outcome: ConnectionLost})
		}
		w.StartedAt = s.now
		w.queue = nil
		w.usedSlots = 0
		w.received = nil
		w.hangs = s.oneHangs && i == 0
		w.rejects = s.oneRejects && i == 0
	}
}

// report returns a worker's load report.
func (s *slowStartSim) report(w *simWorker) []float64 {
	queued := 0.0
	for _, c := range w.queue {
		queued += c.slots
	}
	return []float64{max(0, w.usableSlots(s.now)-w.usedSlots) * math.Exp(s.reportNoise*s.rng.NormFloat64()), queued}
}

// reportWithAnswer returns the load report that a worker includes in an answer, or nil if its answers have none.
func (s *slowStartSim) reportWithAnswer(w *simWorker) []float64 {
	if s.reportsWithAnswers {
		return s.report(w)
	}
	return nil
}

// serve starts queued attempts as long as the worker has free slots.
func (s *slowStartSim) serve(w *simWorker) {
	for len(w.queue) > 0 && !w.hangs && (w.usedSlots == 0 || w.usedSlots+w.queue[0].slots <= w.usableSlots(s.now)) {
		c := w.queue[0]
		w.queue = w.queue[1:]
		if !c.cancelled {
			s.startAttempt(w, c)
		}
	}
}

func (s *slowStartSim) startAttempt(w *simWorker, c *simAttempt) {
	w.usedSlots += c.slots
	c.reply(0, AttemptStarted{c.id, c.attempt})
	started := w.StartedAt
	s.after(c.work, func() {
		if w.StartedAt != started { // the attempt ended with its process
			return
		}
		w.usedSlots -= c.slots
		c.reply(0, AttemptDone{
			ID:          c.id,
			Attempt:     c.attempt,
			Worker:      w.ID,
			Outcome:     Served,
			JobFinished: true,
			Report:      s.reportWithAnswer(w),
		})
		s.serve(w)
	})
}

// replyTo returns a function that posts an event to a dispatcher after a wait, unless the dispatcher has restarted.
func (s *slowStartSim) replyTo(d int) func(wait float64, e Event) {
	b := s.balancers[d]
	return func(wait float64, e Event) {
		s.after(wait, func() {
			if s.balancers[d] == b {
				s.post(d, e)
			}
		})
	}
}

// execute performs an action that a dispatcher returned.
func (s *slowStartSim) execute(d int, a Action) {
	reply := s.replyTo(d)
	switch a := a.(type) {
	case Send:
		s.send(d, a, reply)
	case Cancel:
		s.attempts[a.ID][a.Attempt].cancelled = true
		reply(0, AttemptDone{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
	case HealthCheck:
		if w := s.byID[a.Worker]; w.hangs {
			reply(0.5, HealthCheckDone{Worker: w.ID, Outcome: TimedOut})
		} else {
			reply(0, HealthCheckDone{Worker: w.ID, Outcome: Served, Report: s.report(w)})
		}
	case SetTimer:
		reply(a.After, TimerFired{})
	}
}

func (s *slowStartSim) send(d int, a Send, reply func(wait float64, e Event)) {
	w := s.byID[a.Worker]
	c := *s.jobs[a.ID]
	c.sentAt = s.now
	c.attempt = len(s.attempts[a.ID])
	c.fromInformed = s.informed[d]
	c.reply = reply
	s.attempts[a.ID] = append(s.attempts[a.ID], &c)
	w.received = append(w.received, &c)
	if w.rejects || len(w.queue) > int(4*s.slots) {
		done := AttemptDone{ID: a.ID, Attempt: c.attempt, Worker: w.ID, Outcome: Overloaded, Report: s.reportWithAnswer(w)}
		reply(0, done)
		return
	}
	w.queue = append(w.queue, &c)
	s.serve(w)
}

// addArrivals posts each job that arrives before the present step to a random dispatcher.
func (s *slowStartSim) addArrivals() {
	sigma := math.Sqrt(math.Log(1 + s.workDeviation*s.workDeviation))
	for ; s.nextJob < s.now; s.nextJob += s.rng.ExpFloat64() / (s.load * s.rate()) {
		d := s.drawDispatcher()
		class := s.drawClass()
		slots := s.drawSlots()
		// The factor is limited because run times far above the estimate can't be allowed for.
		factor := min(8, math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
		id := fmt.Sprint("j", len(s.jobs))
		s.jobs[id] = &simAttempt{id: id, slots: slots, work: factor * s.classWork()[class]}
		s.post(d, JobArrived{
			ID:      id,
			Class:   s.cfg.Classes[class].Name,
			Tenant:  []string{"a", "b"}[len(s.jobs)%2],
			Timeout: 30,
			Slots:   slots,
		})
	}
}

func (s *slowStartSim) drawDispatcher() int {
	d := s.rng.IntN(s.dispatchers)
	if s.rng.Float64() < s.firstDispatcherLoad/float64(s.dispatchers) {
		return 0
	}
	return d
}

func (s *slowStartSim) drawClass() int {
	switch x := s.rng.Float64(); {
	case x > 0.8:
		return 2
	case x > 0.5:
		return 1
	}
	return 0
}

func (s *slowStartSim) drawSlots() float64 {
	switch x := s.rng.Float64(); {
	case s.wideJobs && x > 0.85:
		return 4
	case s.wideJobs && x > 0.6:
		return 2
	}
	return 1
}

// stepDispatchers runs a step of each dispatcher that has events.
func (s *slowStartSim) stepDispatchers() {
	for d, b := range s.balancers {
		events := s.events[d]
		if len(events) == 0 {
			continue
		}
		s.events[d] = nil
		for _, a := range b.Step(s.now, events) {
			s.execute(d, a)
		}
	}
}

// worstLoad returns the highest overload ratio of a worker over all spans of simOverloadSeconds. It ignores spans in
// which at most 2/3 of the load came from dispatchers that knew that the worker had started.
func (s *slowStartSim) worstLoad(w *simWorker) (worst float64) {
	first := 0
	sum := 0.0
	informed := 0.0
	count := func(c *simAttempt, sign float64) {
		sum += sign * c.slots * c.work / (s.work * s.size())
		if c.fromInformed {
			informed += sign * c.slots * c.work / (s.work * s.size())
		}
	}
	for _, c := range w.received {
		for count(c, 1); w.received[first].sentAt <= c.sentAt-simOverloadSeconds; first++ {
			count(w.received[first], -1)
		}
		if informed > sum*2/3 {
			allowed := simOverloadMultiple * rampCapacity(c.sentAt-w.StartedAt) * w.slots * simOverloadSeconds /
				(s.work * s.size())
			worst = max(worst, overloadRatio(sum, allowed))
		}
	}
	return worst
}
