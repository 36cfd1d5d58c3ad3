package simulation

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/emulator"
	"example.org/bellstream/internal/lab/invariants"
)

// FleetSettings are what a Fleet is made of. Times are in seconds.
type FleetSettings struct {
	Seed               uint64
	Workers            int
	Slots              float64
	Dispatchers        int
	MeanWork           float64 // of the work, exponential
	Load               float64 // part of what all workers can do
	LatencyObjective   float64 // an answer within that is in time
	Timeout            float64
	Tick               float64 // of the dispatchers; a message takes one, each way
	Span               float64
	Quota              float64 // of the one tenant, jobs a second; 0: all that comes
	WithoutLoadReports bool    // no reports and no probes
	WideFraction       float64 // part of the jobs that take four slots, and must not run twice
	KeepAlive          float64 // an idle connection is used again for so long
	DialTimeout        float64 // until a connection counts as failed
	DrainGrace         float64 // after a drain was told
	Record             bool    // History is kept
	Faults
	Cold              SlowStart
	DistinctWorkerIDs bool // each dispatcher knows the workers by other ids, so that no order is shared
}

// FleetResult is what came of it. Digest, and all but the last three figures,
// depend on the settings alone.
type FleetResult struct {
	Jobs, InTime, Late, Rejected, Failed int
	Attempts, HealthChecks, Dials        int
	Wide, WideInTime                     int                // jobs of four slots
	Unreached                            int                // attempts that got no connection
	Retries                              int                // answers beyond the first
	ByDispatcher                         []dispatcherCounts // by dispatcher
	Connections                          int                // at the worker that has most, when the last job comes
	Ideal                                int                // in time where one queue sees all and nothing takes a way
	Latencies                            []float64          // of those that were served, s
	Digest                               uint64
	CPU                                  time.Duration // of the decisions, all dispatchers together
	Wall                                 time.Duration
	Heap                                 uint64 // bytes that the dispatchers hold
}

// dispatcherCounts is what came to one dispatcher.
type dispatcherCounts struct{ Jobs, InTime, Served int }

// Fleet plays the dispatchers' decision module against modelled workers, tick by
// tick on all cores. Dispatchers share nothing but the workers; within a tick
// they are played in any order, their messages are taken in theirs.
type Fleet struct {
	FleetSettings
	now             float64
	began           float64
	endpointChanges []endpointChange // of the list, in order of time
	drainAt         []float64        // when a worker drains; 0: never
	startAt         []float64        // when it starts; 0: long ago
	processEnded    []bool           // its process is no more
	workers         []*emulator.Worker
	names           []string
	index           map[string]int
	dispatchers     []*fleetDispatcher
	shards          []fleetShard
	mostConnections int
}

// outgoing is a message to a worker.
type outgoing struct {
	worker  int
	kind    int // send, cancel, probe
	job     *fleetJob
	attempt int
}

const (
	sendJob = iota
	cancelJob
	checkHealth
)

type fleetJob struct {
	id        string
	owner     int
	arrivedAt float64
	work      float64
	slots     float64
	attempts  []int // workers
	inFlight  map[int]bool
	closed    bool
}

type fleetDispatcher struct {
	number              int
	balancer            *balance.Balancer
	rng                 *rand.Rand
	jobs                map[string]*fleetJob
	queue               []*fleetJob // by deadline: all have one patience
	events              []balance.Event
	outbox              []outgoing
	timers              []float64
	arrivals            []*fleetJob // in this tick
	digest              *xxhash.Digest
	cpu                 time.Duration
	lastJob             int
	connections         map[int]*connectionPool // by worker
	faultRand           *rand.Rand              // of its troubles: arrivals stay what they are without
	endpointDelay       float64                 // of lists
	appliedChanges      int                     // changes
	delayed             []delayedDial
	unreachableByWorker map[int]int // attempts that got no connection, by worker
	endpointHistory     []invariants.EndpointChange
	requests            map[string]*invariants.Request
	FleetResult
}

// connectionPool are a dispatcher's connections to one worker.
type connectionPool struct {
	busy int
	idle []float64 // since when
}

// acquire uses a connection, the one that was used last, or dials, and says which.
func (d *fleetDispatcher) acquire(w int, now, keep float64) (dialled bool) {
	l := d.connections[w]
	if l == nil {
		l = &connectionPool{}
		d.connections[w] = l
	}
	l.sweep(now - keep)
	if n := len(l.idle); n > 0 {
		l.idle = l.idle[:n-1]
	} else {
		dialled = true
		d.Dials++
	}
	l.busy++
	return dialled
}

// sweep closes what is idle since before a time.
func (l *connectionPool) sweep(before float64) {
	for len(l.idle) > 0 && l.idle[0] < before {
		l.idle = l.idle[1:]
	}
}

// release gives a connection back, or closes it.
func (d *fleetDispatcher) release(w int, now float64, closed bool) {
	l := d.connections[w]
	if l.busy--; !closed {
		l.idle = append(l.idle, now)
	}
}

// workerID is what a dispatcher calls a worker, at whom it means.
func (f *Fleet) workerID(d, w int) string {
	if f.DistinctWorkerIDs {
		return f.names[w] + "@" + strconv.Itoa(d)
	}
	return f.names[w]
}

func (f *Fleet) workerIndex(name string) int {
	name, _, _ = strings.Cut(name, "@")
	return f.index[name]
}

// shards is fixed: the order of events follows from it, and so the result.
const shards = 16

// fleetShard is a part of the workers, played by one core.
type fleetShard struct {
	events       [][]balance.Event // by dispatcher
	jobs         map[string]*fleetJob
	attempts     []*invariants.Attempt
	openAttempts map[string]*invariants.Attempt // that is out, by job
}

// NewFleet makes a fleet of warm workers that every dispatcher knows.
func NewFleet(s FleetSettings) (*Fleet, error) {
	f := &Fleet{FleetSettings: s, index: map[string]int{}, now: 100, began: 100}
	for i := range s.Workers {
		f.workers = append(f.workers, emulator.New(emulator.Settings{
			Slots:    s.Slots,
			MaxQueue: int(2 * s.Slots),
		}, nil))
		f.names = append(f.names, fmt.Sprintf("w-%04d", i))
		f.index[f.names[i]] = i
	}
	if s.Quota == 0 {
		s.Quota = s.Load * float64(s.Workers) * s.Slots / s.MeanWork / (1 + 3*s.WideFraction)
	}
	for i := range s.Dispatchers {
		cfg := balance.Config{
			Index:       i,
			Dispatchers: s.Dispatchers,
			Zone:        fmt.Sprint("z", i%4),
			Classes: []balance.Class{{
				Name:             "job",
				LatencyObjective: s.LatencyObjective,
				Deadline:         s.Timeout,
				PriorityWeight:   1,
				Idempotence:      balance.Idempotent,
			}},
			Tenants:            []balance.Tenant{{Name: "t", Quota: s.Quota}},
			ReportFields:       []string{balance.FieldFreeSlots, balance.FieldQueueLength},
			StartNotifications: true,
			ClientsMarkRetries: true,
			MaxAttempts:        3,
			HealthChecks:       !s.WithoutLoadReports,
			Cancellation:       true,
			Tick:               s.Tick,
			MaxRetryAfter:      2,
			HealthCheckCost:    0.01,
			DialTimeout:        s.DialTimeout,
			SlowStartFloor:     s.Cold.Floor,
			SlowStartSeconds:   s.Cold.WarmAfter,
			OverloadMultiple:   s.Cold.OverloadMultiple,
			OverloadSeconds:    s.Cold.OverloadSpan,
		}
		if s.WithoutLoadReports {
			cfg.ReportFields = nil
		}
		if s.WideFraction > 0 { // which one kind of machine runs, as it is at our site: so all workers are looked at
			cfg.Classes[0].PriorityWeight = 5
			cfg.Classes = append(cfg.Classes, balance.Class{
				Name:             "wide",
				LatencyObjective: s.LatencyObjective,
				Deadline:         s.Timeout,
				PriorityWeight:   10,
				Idempotence:      balance.NonIdempotent,
				WorkerKind:       "k",
			})
		}
		var list []balance.WorkerInfo
		for w := range s.Workers {
			list = append(list, balance.WorkerInfo{
				ID:    f.workerID(i, w),
				Kind:  "k",
				Zone:  fmt.Sprint("z", w%4),
				State: balance.Running,
			})
		}
		b, err := balance.New(cfg, s.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		d := &fleetDispatcher{
			number:              i,
			balancer:            b,
			rng:                 rand.New(rand.NewPCG(s.Seed, uint64(i))),
			jobs:                map[string]*fleetJob{},
			connections:         map[int]*connectionPool{},
			digest:              xxhash.New(),
			requests:            map[string]*invariants.Request{},
			unreachableByWorker: map[int]int{},
		}
		d.events = []balance.Event{balance.EndpointUpdate{Kind: balance.EndpointsCached, Workers: list}}
		f.dispatchers = append(f.dispatchers, d)
	}
	f.scheduleFaults()
	f.shards = make([]fleetShard, shards)
	for i := range f.shards {
		f.shards[i] = fleetShard{
			events:       make([][]balance.Event, s.Dispatchers),
			jobs:         map[string]*fleetJob{},
			openAttempts: map[string]*invariants.Attempt{},
		}
	}
	return f, nil
}

// parallel plays n parts on all cores.
func parallel(n int, play func(i int)) {
	var all sync.WaitGroup
	var next atomic.Int64 // who is ready takes the next: parts differ in length
	for range min(n, runtime.GOMAXPROCS(0)) {
		all.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				play(i)
			}
		})
	}
	all.Wait()
}

// Run plays the whole span and what is left of it.
func (f *Fleet) Run() FleetResult {
	began := time.Now()
	ideal := newIdealQueue(f.Workers * int(f.Slots))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	end := f.now + f.Span
	for open := 1; f.now < end || open > 0 && f.now < end+2*f.Timeout; f.now += f.Tick {
		parallel(len(f.dispatchers), func(i int) { f.stepDispatcher(f.dispatchers[i], f.now < end) })
		open = 0
		for _, d := range f.dispatchers {
			open += len(d.jobs)
			for _, j := range d.arrivals {
				ideal.serve(j.arrivedAt, j.work, f.LatencyObjective)
			}
		}
		parallel(len(f.shards), f.stepWorkers)
		if f.now < end && f.now+f.Tick >= end {
			runtime.GC()
			runtime.ReadMemStats(&after)
			f.countConnections()
		}
	}
	r := FleetResult{Wall: time.Since(began), Ideal: ideal.inTime, Connections: f.mostConnections}
	if after.HeapAlloc > before.HeapAlloc {
		r.Heap = after.HeapAlloc - before.HeapAlloc
	}
	sum := xxhash.New()
	for _, d := range f.dispatchers {
		r.Jobs += d.Jobs
		r.InTime += d.InTime
		r.Late += d.Late
		r.Rejected += d.Rejected
		r.Failed += d.Failed
		r.Latencies = append(r.Latencies, d.Latencies...)
		r.Attempts, r.CPU = r.Attempts+d.Attempts, r.CPU+d.cpu
		r.HealthChecks += d.HealthChecks
		r.Dials += d.Dials
		r.Wide += d.Wide
		r.WideInTime += d.WideInTime
		r.Unreached, r.Retries = r.Unreached+d.Unreached, r.Retries+d.Retries
		r.ByDispatcher = append(r.ByDispatcher, dispatcherCounts{d.Jobs, d.InTime, d.InTime + d.Late})
		_ = binary.Write(sum, binary.LittleEndian, d.digest.Sum64()) // a hash never fails
	}
	r.Digest = sum.Sum64()
	return r
}

// countConnections counts the connections at the worker that has most.
func (f *Fleet) countConnections() {
	open := make([]int, len(f.workers))
	for _, d := range f.dispatchers {
		for w, l := range d.connections {
			l.sweep(f.now - f.KeepAlive)
			open[w] += l.busy + len(l.idle)
		}
	}
	f.mostConnections = slices.Max(open)
}

// stepDispatcher plays a tick of one dispatcher: what has come to it, then its decisions.
func (f *Fleet) stepDispatcher(d *fleetDispatcher, arrivals bool) {
	for i := range f.shards {
		d.events = append(d.events, f.shards[i].events[d.number]...)
		f.shards[i].events[d.number] = f.shards[i].events[d.number][:0]
	}
	for _, e := range d.events {
		if e, ok := e.(balance.HealthCheckDone); ok {
			d.release(f.workerIndex(e.Worker), f.now, false)
		}
		if e, ok := e.(balance.AttemptDone); ok {
			j := d.jobs[e.ID]
			if j == nil {
				continue
			}
			if j.inFlight[e.Attempt] {
				d.release(j.attempts[e.Attempt], f.now, false)
			}
			delete(j.inFlight, e.Attempt)
			if e.Outcome == balance.Served && !j.closed {
				d.endJob(f, j, 'S')
			}
		}
	}
	d.outbox, d.arrivals = d.outbox[:0], d.arrivals[:0]
	d.completeDials(f)
	d.receiveEndpoints(f)
	for len(d.queue) > 0 && (d.queue[0].closed || d.queue[0].arrivedAt+f.Timeout <= f.now) {
		j := d.queue[0]
		d.queue = d.queue[1:]
		if !j.closed {
			for k := range len(j.attempts) {
				if j.inFlight[k] {
					d.release(j.attempts[k], f.now, true)
					d.outbox = append(d.outbox, outgoing{j.attempts[k], cancelJob, j, k})
					d.events = append(d.events, balance.AttemptDone{
						ID:      j.id,
						Attempt: k,
						Worker:  f.names[j.attempts[k]],
						Outcome: balance.TimedOut,
					})
				}
			}
			clear(j.inFlight)
		}
	}
	if arrivals {
		for range Poisson(d.rng, f.arrivalRate(d.number)*f.Tick) {
			d.lastJob++
			d.Jobs++
			j := &fleetJob{
				id:        strconv.Itoa(d.number) + "-" + strconv.Itoa(d.lastJob),
				owner:     d.number,
				arrivedAt: f.now,
				work:      d.rng.ExpFloat64() * f.MeanWork,
				slots:     1,
				inFlight:  map[int]bool{},
			}
			class := "job"
			if f.WideFraction > 0 && d.rng.Float64() < f.WideFraction {
				class, j.slots = "wide", 4
				d.Wide++
			}
			if f.Record {
				d.requests[j.id] = &invariants.Request{
					ID:            j.id,
					Class:         class,
					Dispatcher:    strconv.Itoa(d.number),
					SentAt:        f.now,
					ClientTimeout: f.Timeout,
				}
			}
			d.jobs[j.id] = j
			d.queue, d.arrivals = append(d.queue, j), append(d.arrivals, j)
			d.events = append(d.events, balance.JobArrived{
				ID:      j.id,
				Class:   class,
				Tenant:  "t",
				Timeout: f.Timeout,
				Slots:   j.slots,
			})
		}
	}
	kept := d.timers[:0]
	for _, at := range d.timers {
		if at <= f.now {
			d.events = append(d.events, balance.TimerFired{})
		} else {
			kept = append(kept, at)
		}
	}
	d.timers = kept
	if len(d.events) == 0 {
		return
	}
	events := d.events
	d.events = nil
	began := time.Now()
	acts := d.balancer.Step(f.now, events)
	d.cpu += time.Since(began)
	for _, a := range acts {
		switch a := a.(type) {
		case balance.Send:
			if j := d.jobs[a.ID]; j != nil {
				k, w := len(j.attempts), f.workerIndex(a.Worker)
				j.attempts, j.inFlight[k] = append(j.attempts, w), true
				d.Attempts++
				d.dispatch(f, outgoing{w, sendJob, j, k})
			}
		case balance.Cancel:
			if j := d.jobs[a.ID]; j != nil && j.inFlight[a.Attempt] {
				d.release(j.attempts[a.Attempt], f.now, true)
				delete(j.inFlight, a.Attempt)
				d.outbox = append(d.outbox, outgoing{j.attempts[a.Attempt], cancelJob, j, a.Attempt})
				d.events = append(d.events, balance.AttemptDone{
					ID:      j.id,
					Attempt: a.Attempt,
					Worker:  f.names[j.attempts[a.Attempt]],
					Outcome: balance.Cancelled,
				})
			}
		case balance.HealthCheck:
			d.HealthChecks++
			d.dispatch(f, outgoing{f.workerIndex(a.Worker), checkHealth, nil, 0})
		case balance.SetTimer:
			d.timers = append(d.timers, f.now+a.After)
		case balance.Reject:
			d.handleFinalAnswer(f, a.ID, 'R')
		case balance.Fail:
			d.handleFinalAnswer(f, a.ID, 'F')
		}
	}
}

// handleFinalAnswer takes an answer of the module's.
func (d *fleetDispatcher) handleFinalAnswer(f *Fleet, id string, how byte) {
	if d.jobs[id] == nil {
		d.Retries++
	}
	d.endJob(f, d.jobs[id], how)
}

// endJob counts how a job ended.
func (d *fleetDispatcher) endJob(f *Fleet, j *fleetJob, how byte) {
	if j == nil || j.closed {
		return
	}
	j.closed = true
	delete(d.jobs, j.id)
	if r := d.requests[j.id]; r != nil {
		r.Answers = append(r.Answers, invariants.Answer{
			At:     f.now,
			Status: map[byte]int{'S': 200, 'R': 503, 'F': 502}[how],
			Body:   map[byte]string{'S': j.id}[how],
		})
	}
	if how == 'S' {
		d.Latencies = append(d.Latencies, f.now-j.arrivedAt)
	}
	switch {
	case how == 'R':
		d.Rejected++
	case how == 'F':
		d.Failed++
	case f.now-j.arrivedAt <= f.LatencyObjective:
		if d.InTime++; j.slots > 1 {
			d.WideInTime++
		}
	default:
		d.Late++
	}
	fmt.Fprintf(d.digest, "%s%c%.3f;", j.id, how, f.now)
}

// stepWorkers plays a tick of a part of the workers.
func (f *Fleet) stepWorkers(part int) {
	s := &f.shards[part]
	tell := func(j *fleetJob, e balance.Event) { s.events[j.owner] = append(s.events[j.owner], e) }
	report := func(w *emulator.Worker) []float64 {
		if f.WithoutLoadReports {
			return nil
		}
		r := w.Report(f.now)
		return []float64{r.FreeSlots, r.Queue}
	}
	ended := func(id string, unstarted bool, result string) {
		if a := s.openAttempts[id]; a != nil {
			a.End, a.Unstarted, a.Result = f.now, unstarted, result
			delete(s.openAttempts, id)
		}
	}
	happen := func(i int, events []emulator.Event) {
		w := f.workers[i]
		for _, e := range events {
			j := s.jobs[e.ID]
			if j == nil {
				continue
			}
			k := len(j.attempts) - 1
			switch e.Kind {
			case emulator.Started:
				tell(j, balance.AttemptStarted{ID: j.id, Attempt: k})
			case emulator.Done:
				delete(s.jobs, e.ID)
				ended(j.id, false, j.id)
				tell(j, balance.AttemptDone{
					ID:          j.id,
					Attempt:     k,
					Worker:      f.names[i],
					Outcome:     balance.Served,
					JobFinished: true,
					Report:      report(w),
				})
			case emulator.Returned:
				delete(s.jobs, e.ID)
				ended(j.id, true, "")
				tell(j, balance.AttemptDone{
					ID:      j.id,
					Attempt: k,
					Worker:  f.names[i],
					Outcome: balance.Overloaded,
					Report:  report(w),
				})
			case emulator.Lost:
				delete(s.jobs, e.ID)
				ended(j.id, false, "")
				tell(j, balance.AttemptDone{
					ID:      j.id,
					Attempt: k,
					Worker:  f.names[i],
					Outcome: balance.ConnectionLost,
				})
			}
		}
	}
	advance := func(i int) { happen(i, f.workers[i].Advance(f.now)) }
	for i := part; i < len(f.workers); i += len(f.shards) {
		happen(i, f.replaceWorker(i))
	}
	mine := func(i int) bool { return i%len(f.shards) == part }
	for _, d := range f.dispatchers {
		for _, o := range d.outbox {
			if !mine(o.worker) {
				continue
			}
			w := f.workers[o.worker]
			switch o.kind {
			case sendJob:
				advance(o.worker)
				if f.Record {
					a := &invariants.Attempt{
						ID:         o.job.id,
						Worker:     f.names[o.worker],
						Dispatcher: strconv.Itoa(d.number),
						First:      f.now,
						Last:       f.now,
						Work:       f.MeanWork * o.job.slots,
					}
					s.attempts, s.openAttempts[a.ID] = append(s.attempts, a), a
				}
				if w.Submit(f.now, emulator.Job{
					ID:    o.job.id,
					Slots: o.job.slots,
					Work:  o.job.work,
				}) != emulator.Accepted {
					ended(o.job.id, true, "")
					tell(o.job, balance.AttemptDone{
						ID:      o.job.id,
						Attempt: o.attempt,
						Worker:  f.names[o.worker],
						Outcome: balance.Overloaded,
						Report:  report(w),
					})
					continue
				}
				s.jobs[o.job.id] = o.job
			case cancelJob:
				w.Cancel(f.now, o.job.id)
				ended(o.job.id, false, "")
				delete(s.jobs, o.job.id)
			case checkHealth:
				s.events[d.number] = append(s.events[d.number], balance.HealthCheckDone{
					Worker:  f.workerID(d.number, o.worker),
					Outcome: balance.Served,
					Report:  report(w),
				})
			}
		}
	}
	for i := part; i < len(f.workers); i += len(f.shards) {
		advance(i)
	}
}

// idealQueue is one queue before all slots, which sees all.
type idealQueue struct {
	free   floats
	inTime int
}

func newIdealQueue(slots int) *idealQueue { return &idealQueue{free: make(floats, slots)} }

func (x *idealQueue) serve(at, work, aim float64) {
	start := max(at, x.free[0])
	if start+work-at > aim { // it earns nothing: the ideal does not run it
		return
	}
	x.inTime++
	x.free[0] = start + work
	heap.Fix(&x.free, 0)
}

type floats []float64

func (f floats) Len() int           { return len(f) }
func (f floats) Less(i, k int) bool { return f[i] < f[k] }
func (f floats) Swap(i, k int)      { f[i], f[k] = f[k], f[i] }
func (f *floats) Push(x any)        { *f = append(*f, x.(float64)) }
func (f *floats) Pop() any          { o := *f; x := o[len(o)-1]; *f = o[:len(o)-1]; return x }
