package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// beyond is how much of what may go to a warming worker in a span has gone there: at most 1.
func beyond(got, allowed float64) float64 { return got / (allowed + 2*math.Sqrt(allowed) + 2) }

// coldFleet is many dispatchers before workers of which some are away at first and come back warming up,
// while all others are full.
type coldFleet struct {
	dispatchers int
	warm, cold  int     // workers
	slots       float64 // of each
	mean        float64 // work of a job
	load        float64 // part of what all can do
	spread      float64 // of a job's own work in its class: standard deviation over mean
	wide        bool    // some jobs take two slots, some four
	hasty       bool    // classes aim at less than they take
	silent      bool    // no report of load comes, and nobody may ask
	rides       bool    // reports come with answers, too
	heavy       float64 // the first dispatcher has so many times the mean traffic; 0: as all
	late        float64 // lists come up to so much later
	inPlace     bool    // the warming ones were there, warm, and started anew
	restarts    float64 // part of the dispatchers that start anew after the warming ones did
	hangs       bool    // one of the warming ones hangs
	copies      bool    // a second attempt of a job may be out at once
	turnsAway   bool    // one of the warming ones rejects all
	renumbered  bool    // the dispatchers get other numbers after the warming ones start
	noise       float64 // of the reports' figures: standard deviation over value
	takenBack   bool    // operators cordon the warming ones, and take them back when they start
}

const (
	coldBegin, coldStart   = 102.0, 106.0 // when the dispatchers begin, and when the warming ones start
	coldFrom, coldBy       = 0.3, 6.0     // the worst growth that the settings allow
	coldMultiple, coldSpan = 3.0, 3.0
	coldTick               = 0.02
)

func coldPart(age float64) float64 { return min(1, coldFrom+(1-coldFrom)*age/coldBy) }

type coldWorker struct {
	WorkerInfo
	queue       []*coldCall
	hangs, shut bool
	got         []*coldCall
	slots, used float64
}

func (w *coldWorker) usable(now float64) float64 {
	if w.StartedAt == 0 {
		return w.slots
	}
	return max(1, math.Round(w.slots*coldPart(now-w.StartedAt)))
}

type coldCall struct {
	at, slots, work float64
	attempt         int
	told, off       bool
	back            func(after float64, e Event)
	id              string
}

// runUntil returns how far the worst of the warming workers went, and how many calls they got.
func (f coldFleet) play(t *testing.T, seed uint64, ramp bool) (worst float64, calls int) {
	s := newColdSim(t, f, seed, ramp)
	s.schedule()
	for ; s.step < len(s.due); s.step++ {
		s.now = coldBegin + float64(s.step)*coldTick
		for _, do := range s.due[s.step] {
			do()
		}
		s.arrive()
		s.decide()
	}
	for _, w := range s.workers[f.warm:] {
		calls += len(w.got)
		worst = max(worst, s.worstLoad(w))
	}
	return worst, calls
}

// size is the slots of the mean job.
func (f coldFleet) size() float64 {
	if f.wide {
		return 0.6*1 + 0.25*2 + 0.15*4
	}
	return 1
}

// rate is the jobs per second that all workers together can do.
func (f coldFleet) rate() float64 { return f.slots * float64(f.warm+f.cold) / (f.mean * f.size()) }

// classWork is the mean work of each class; they have half, three and two tenths of the jobs.
func (f coldFleet) classWork() []float64 { return []float64{0.4 * f.mean, 2 * f.mean, f.mean} }

func (f coldFleet) config(ramp bool) Config {
	cfg := testConfig()
	cfg.Dispatchers = f.dispatchers
	cfg.Cancellation = true
	cfg.Hedging = f.copies
	cfg.HealthCheckCost = 0.01
	cfg.SlowStartFloor = coldFrom
	cfg.SlowStartSeconds = coldBy
	cfg.OverloadMultiple = coldMultiple
	cfg.OverloadSeconds = coldSpan
	cfg.ReportFields = []string{FieldFreeSlots, FieldQueueLength}
	if f.silent {
		cfg.HealthChecks = false
		cfg.ReportFields = nil
	}
	if !ramp {
		cfg.OverloadMultiple = 0
	}
	objectives := []float64{1, 4, 2}
	if f.hasty {
		objectives = []float64{0.2, 1, 0.5}
	}
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = f.mean * objectives[i]
	}
	quota := 0.45 * f.rate()
	cfg.Tenants = []Tenant{{Name: "a", Quota: quota, Weight: 1}, {Name: "b", Quota: quota, Weight: 1}}
	return cfg
}

// coldSim is one run of a coldFleet.
type coldSim struct {
	coldFleet
	t    *testing.T
	seed uint64
	cfg  Config
	rng  *rand.Rand

	now     float64
	step    int
	due     [][]func() // by step
	nextJob float64    // when the next one arrives

	workers  []*coldWorker
	byID     map[string]*coldWorker
	all      []*Balancer
	events   [][]Event // by dispatcher
	told     []bool    // by dispatcher: it has the list with the warming workers
	jobs     map[string]*coldCall
	attempts map[string][]*coldCall
}

func newColdSim(t *testing.T, f coldFleet, seed uint64, ramp bool) *coldSim {
	s := &coldSim{
		coldFleet: f,
		t:         t,
		seed:      seed,
		cfg:       f.config(ramp),
		rng:       rand.New(rand.NewPCG(seed, 6)),
		now:       coldBegin,
		due:       make([][]func(), int((coldStart+coldBy-coldBegin)/coldTick)+1),
		nextJob:   coldBegin,
		byID:      map[string]*coldWorker{},
		all:       make([]*Balancer, f.dispatchers),
		events:    make([][]Event, f.dispatchers),
		told:      make([]bool, f.dispatchers),
		jobs:      map[string]*coldCall{},
		attempts:  map[string][]*coldCall{},
	}
	for i := range f.warm + f.cold {
		info := WorkerInfo{ID: fmt.Sprint("w", seed, "-", i), Zone: fmt.Sprint("z", i%3), State: Running}
		w := &coldWorker{slots: f.slots, WorkerInfo: info}
		s.workers = append(s.workers, w)
		s.byID[w.ID] = w
	}
	return s
}

// schedule has something done after a time, in a later step.
func (s *coldSim) after(wait float64, do func()) {
	if i := s.step + max(1, int(math.Ceil(wait/coldTick))); i < len(s.due) {
		s.due[i] = append(s.due[i], do)
	}
}

// schedule starts the dispatchers and schedules what befalls them and the workers.
func (s *coldSim) schedule() {
	untilStart := coldStart - coldBegin
	for d := range s.all {
		s.begin(d, 0)
		s.after(untilStart+0.03+s.rng.Float64()*s.late, func() {
			s.told[d] = true
			s.post(d, s.list(EndpointsSnapshot, true))
		})
		if s.renumbered {
			s.after(untilStart+1+2*s.rng.Float64(), func() {
				c := s.cfg
				c.Index = (d + s.dispatchers/2) % s.dispatchers
				s.post(d, ConfigChanged{Config: c})
			})
		}
		s.scheduleCordons(d, untilStart)
		if float64(d) < s.restarts*float64(s.dispatchers) {
			s.after(untilStart+1+2*s.rng.Float64(), func() { s.begin(d, 1) })
		}
	}
	s.after(untilStart, s.startWorkers)
}

func (s *coldSim) scheduleCordons(d int, untilStart float64) {
	if !s.takenBack {
		return
	}
	for _, w := range s.workers[s.warm:] {
		s.post(d, Cordon{w.ID, true})
		s.after(untilStart+s.rng.Float64(), func() {
			s.told[d] = true
			s.post(d, Cordon{w.ID, false})
		})
	}
}

// begin starts a process of a dispatcher.
func (s *coldSim) begin(d int, life uint64) {
	c := s.cfg
	c.Index = d
	c.Zone = fmt.Sprint("z", d%3)
	b, err := New(c, s.seed<<20+life<<10+uint64(d))
	if err != nil {
		s.t.Fatal(err)
	}
	s.all[d] = b
	s.events[d] = []Event{s.list(EndpointsCached, s.inPlace || s.told[d])}
}

func (s *coldSim) post(d int, e Event) { s.events[d] = append(s.events[d], e) }

// list is the endpoint list, with the warming workers or without them.
func (s *coldSim) list(kind EndpointUpdateKind, all bool) EndpointUpdate {
	u := EndpointUpdate{Kind: kind}
	for i, w := range s.workers {
		if i < s.warm || all {
			u.Workers = append(u.Workers, w.WorkerInfo)
		}
	}
	return u
}

// startWorkers starts the warming workers; what they had ends.
func (s *coldSim) startWorkers() {
	for i, w := range s.workers[s.warm:] {
		for _, c := range w.queue {
			c.back(0, AttemptDone{ID: c.id, Attempt: c.attempt, Worker: w.ID, Outcome: ConnectionLost})
		}
		w.StartedAt = s.now
		w.queue = nil
		w.used = 0
		w.got = nil
		w.hangs = s.hangs && i == 0
		w.shut = s.turnsAway && i == 0
	}
}

// report is a worker's load report.
func (s *coldSim) report(w *coldWorker) []float64 {
	queued := 0.0
	for _, c := range w.queue {
		queued += c.slots
	}
	return []float64{max(0, w.usable(s.now)-w.used) * math.Exp(s.noise*s.rng.NormFloat64()), queued}
}

// reportWithAnswer is the report that comes with an answer, if any does.
func (s *coldSim) reportWithAnswer(w *coldWorker) []float64 {
	if s.rides {
		return s.report(w)
	}
	return nil
}

// serve starts what a worker has slots for.
func (s *coldSim) serve(w *coldWorker) {
	for len(w.queue) > 0 && !w.hangs && (w.used == 0 || w.used+w.queue[0].slots <= w.usable(s.now)) {
		c := w.queue[0]
		w.queue = w.queue[1:]
		if !c.off {
			s.start(w, c)
		}
	}
}

func (s *coldSim) start(w *coldWorker, c *coldCall) {
	w.used += c.slots
	c.back(0, AttemptStarted{c.id, c.attempt})
	started := w.StartedAt
	s.after(c.work, func() {
		if w.StartedAt != started { // it ended with its process
			return
		}
		w.used -= c.slots
		c.back(0, AttemptDone{
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

// backTo posts events to a dispatcher as long as its process lives.
func (s *coldSim) backTo(d int) func(wait float64, e Event) {
	b := s.all[d]
	return func(wait float64, e Event) {
		s.after(wait, func() {
			if s.all[d] == b {
				s.post(d, e)
			}
		})
	}
}

// act carries out an action of a dispatcher.
func (s *coldSim) act(d int, a Action) {
	back := s.backTo(d)
	switch a := a.(type) {
	case Send:
		s.send(d, a, back)
	case Cancel:
		s.attempts[a.ID][a.Attempt].off = true
		back(0, AttemptDone{ID: a.ID, Attempt: a.Attempt, Outcome: Cancelled})
	case HealthCheck:
		if w := s.byID[a.Worker]; w.hangs {
			back(0.5, HealthCheckDone{Worker: w.ID, Outcome: TimedOut})
		} else {
			back(0, HealthCheckDone{Worker: w.ID, Outcome: Served, Report: s.report(w)})
		}
	case SetTimer:
		back(a.After, TimerFired{})
	}
}

func (s *coldSim) send(d int, a Send, back func(wait float64, e Event)) {
	w := s.byID[a.Worker]
	c := *s.jobs[a.ID]
	c.at = s.now
	c.attempt = len(s.attempts[a.ID])
	c.told = s.told[d]
	c.back = back
	s.attempts[a.ID] = append(s.attempts[a.ID], &c)
	w.got = append(w.got, &c)
	if w.shut || len(w.queue) > int(4*s.slots) {
		done := AttemptDone{ID: a.ID, Attempt: c.attempt, Worker: w.ID, Outcome: Overloaded, Report: s.reportWithAnswer(w)}
		back(0, done)
		return
	}
	w.queue = append(w.queue, &c)
	s.serve(w)
}

// arrive has the jobs of a step arrive at dispatchers.
func (s *coldSim) arrive() {
	sigma := math.Sqrt(math.Log(1 + s.spread*s.spread))
	for ; s.nextJob < s.now; s.nextJob += s.rng.ExpFloat64() / (s.load * s.rate()) {
		d := s.drawDispatcher()
		class := s.drawClass()
		slots := s.drawSlots()
		own := min(8, math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)) // nobody could expect a longer one
		id := fmt.Sprint("j", len(s.jobs))
		s.jobs[id] = &coldCall{id: id, slots: slots, work: own * s.classWork()[class]}
		s.post(d, JobArrived{
			ID:      id,
			Class:   s.cfg.Classes[class].Name,
			Tenant:  []string{"a", "b"}[len(s.jobs)%2],
			Timeout: 30,
			Slots:   slots,
		})
	}
}

func (s *coldSim) drawDispatcher() int {
	d := s.rng.IntN(s.dispatchers)
	if s.rng.Float64() < s.heavy/float64(s.dispatchers) {
		return 0
	}
	return d
}

func (s *coldSim) drawClass() int {
	switch x := s.rng.Float64(); {
	case x > 0.8:
		return 2
	case x > 0.5:
		return 1
	}
	return 0
}

func (s *coldSim) drawSlots() float64 {
	switch x := s.rng.Float64(); {
	case s.wide && x > 0.85:
		return 4
	case s.wide && x > 0.6:
		return 2
	}
	return 1
}

// decide has each dispatcher take a step on what has happened.
func (s *coldSim) decide() {
	for d, b := range s.all {
		events := s.events[d]
		if len(events) == 0 {
			continue
		}
		s.events[d] = nil
		for _, a := range b.Step(s.now, events) {
			s.act(d, a)
		}
	}
}

// worstLoad is how much of what may go to a worker within any span went there, at most, where most of it came from
// dispatchers that knew of its start.
func (s *coldSim) worstLoad(w *coldWorker) (worst float64) {
	first := 0
	sum := 0.0
	informed := 0.0
	count := func(c *coldCall, sign float64) {
		sum += sign * c.slots * c.work / (s.mean * s.size())
		if c.told {
			informed += sign * c.slots * c.work / (s.mean * s.size())
		}
	}
	for _, c := range w.got {
		for count(c, 1); w.got[first].at <= c.at-coldSpan; first++ {
			count(w.got[first], -1)
		}
		if informed > sum*2/3 {
			allowed := coldMultiple * coldPart(c.at-w.StartedAt) * w.slots * coldSpan / (s.mean * s.size())
			worst = max(worst, beyond(sum, allowed))
		}
	}
	return worst
}
