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

// FleetSettings configure a Fleet. Times are in seconds.
type FleetSettings struct {
	Seed               uint64
	Workers            int
	Slots              float64
	Dispatchers        int
	MeanWork           float64 // of a job on one slot; exponentially distributed
	Load               float64 // offered load as a fraction of the capacity of all workers
	LatencyObjective   float64 // a job served within it counts as in time
	Timeout            float64
	Tick               float64 // between two steps of a dispatcher; a message takes one tick each way
	Span               float64 // during which jobs arrive
	Quota              float64 // of the only tenant, in jobs per second; 0: the mean arrival rate
	WithoutLoadReports bool    // workers send no load reports and dispatchers no health checks
	WideFraction       float64 // fraction of the jobs that take four slots and are not idempotent
	KeepAlive          float64 // after which an idle connection is closed
	DialTimeout        float64 // after which a dial fails
	DrainGrace         float64 // allowed for sends after a dispatcher has received a drain; see History
	Record             bool    // keep the data that History returns
	Faults
	Cold              SlowStart
	DistinctWorkerIDs bool // each dispatcher has its own worker IDs: dispatchers share no order of workers
}

// FleetResult is the result of [Fleet.Run]. All fields but CPU, Wall and Heap depend on
// the settings alone.
type FleetResult struct {
	Jobs, InTime, Late, Rejected, Failed int
	Attempts, HealthChecks, Dials        int
	Wide, WideInTime                     int                // jobs that take four slots
	Unreached                            int                // attempts that got no connection
	Retries                              int                // final answers to jobs that had ended already
	ByDispatcher                         []dispatcherCounts // by dispatcher
	Connections                          int                // at the worker with most connections, at the end of Span
	Ideal                                int                // jobs in time with one central queue and no message delays
	Latencies                            []float64          // of served jobs, in seconds
	Digest                               uint64
	CPU                                  time.Duration // processor time of the decisions of all dispatchers
	Wall                                 time.Duration
	Heap                                 uint64 // growth of the heap during the run, in bytes
}

// dispatcherCounts counts the jobs that arrived at one dispatcher.
type dispatcherCounts struct{ Jobs, InTime, Served int }

// Fleet runs the dispatchers' decision modules against modelled workers, tick by
// tick on all cores. Dispatchers share only the workers. Within a tick the
// dispatchers run in any order; workers process their messages in the order of the dispatchers.
type Fleet struct {
	FleetSettings
	now             float64
	began           float64
	endpointChanges []endpointChange // of the endpoint list, in order of time
	drainAt         []float64        // by worker: when it drains; 0: never
	startAt         []float64        // by worker: when it starts; 0: it is warm from the beginning
	processEnded    []bool           // by worker: its process has ended
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
	kind    int // sendJob, cancelJob or checkHealth
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
	attempts  []int        // the worker of each attempt
	inFlight  map[int]bool // by attempt
	closed    bool
}

type fleetDispatcher struct {
	number              int
	balancer            *balance.Balancer
	rng                 *rand.Rand
	jobs                map[string]*fleetJob
	queue               []*fleetJob // in order of their deadlines: all jobs have the same timeout
	events              []balance.Event
	outbox              []outgoing
	timers              []float64
	arrivals            []*fleetJob // of this tick
	digest              *xxhash.Digest
	cpu                 time.Duration
	lastJob             int
	connections         map[int]*connectionPool // by worker
	faultRand           *rand.Rand              // for faults only: arrivals are the same without faults
	endpointDelay       float64                 // after which endpoint changes reach this dispatcher
	appliedChanges      int                     // number of endpoint changes received
	delayed             []delayedDial
	unreachableByWorker map[int]int // attempts that got no connection, by worker
	endpointHistory     []invariants.EndpointChange
	requests            map[string]*invariants.Request
	FleetResult
}

// connectionPool counts a dispatcher's connections to one worker.
type connectionPool struct {
	busy int
	idle []float64 // since when each is idle, in ascending order
}

// acquire takes the idle connection that was used last. If there is none it dials a new one and returns true.
func (d *fleetDispatcher) acquire(w int, now, keep float64) (dialled bool) {
	pool := d.connections[w]
	if pool == nil {
		pool = &connectionPool{}
		d.connections[w] = pool
	}
	pool.sweep(now - keep)
	if n := len(pool.idle); n > 0 {
		pool.idle = pool.idle[:n-1]
	} else {
		dialled = true
		d.Dials++
	}
	pool.busy++
	return dialled
}

// sweep closes the connections that have been idle since before the given time.
func (l *connectionPool) sweep(before float64) {
	for len(l.idle) > 0 && l.idle[0] < before {
		l.idle = l.idle[1:]
	}
}

// release returns a connection to the pool, or closes it.
func (d *fleetDispatcher) release(w int, now float64, closed bool) {
	pool := d.connections[w]
	if pool.busy--; !closed {
		pool.idle = append(pool.idle, now)
	}
}

// workerID returns the ID by which a dispatcher knows a worker.
func (f *Fleet) workerID(d, w int) string {
	if f.DistinctWorkerIDs {
		return f.names[w] + "@" + strconv.Itoa(d)
	}
	return f.names[w]
}

// workerIndex returns the worker of an ID as returned by workerID.
func (f *Fleet) workerIndex(name string) int {
	name, _, _ = strings.Cut(name, "@")
	return f.index[name]
}

// shards does not depend on the number of cores, since the order of events, and thus the result, depends on it.
const shards = 16

// fleetShard is a part of the workers. Only one goroutine at a time runs it.
type fleetShard struct {
	events       [][]balance.Event // by dispatcher
	jobs         map[string]*fleetJob
	attempts     []*invariants.Attempt
	openAttempts map[string]*invariants.Attempt // attempts that have not ended, by job
}

// NewFleet returns a fleet of warm workers, all known to every dispatcher. Errors are those of [balance.New].
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
		if s.WideFraction > 0 { // all workers are of this class's kind, as at the modelled site
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

// parallel calls play for each of n parts, on all cores.
func parallel(n int, play func(i int)) {
	var all sync.WaitGroup
	var next atomic.Int64 // the next part: goroutines draw parts one by one, as they take unequal time
	for range min(n, runtime.GOMAXPROCS(0)) {
		all.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				play(i)
			}
		})
	}
	all.Wait()
}

// Run runs the fleet for Span, and then until no job is open, for at most two timeouts.
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
		_ = binary.Write(sum, binary.LittleEndian, d.digest.Sum64()) // a hash returns no error
	}
	r.Digest = sum.Sum64()
	return r
}

// countConnections sets mostConnections to the number of connections at the worker with most of them.
func (f *Fleet) countConnections() {
	open := make([]int, len(f.workers))
	for _, d := range f.dispatchers {
		for w, pool := range d.connections {
			pool.sweep(f.now - f.KeepAlive)
			open[w] += pool.busy + len(pool.idle)
		}
	}
	f.mostConnections = slices.Max(open)
}

// stepDispatcher runs one tick of a dispatcher: it collects the events, then carries out the decisions on them.
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
	actions := d.balancer.Step(f.now, events)
	d.cpu += time.Since(began)
	for _, a := range actions {
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

// handleFinalAnswer ends a job that the decision module has rejected or failed.
func (d *fleetDispatcher) handleFinalAnswer(f *Fleet, id string, how byte) {
	if d.jobs[id] == nil {
		d.Retries++
	}
	d.endJob(f, d.jobs[id], how)
}

// endJob records how a job ended: S served, R rejected, F failed.
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

// stepWorkers runs one tick of the workers of a shard.
func (f *Fleet) stepWorkers(part int) {
	s := &f.shards[part]
	notify := func(j *fleetJob, e balance.Event) { s.events[j.owner] = append(s.events[j.owner], e) }
	report := func(w *emulator.Worker) []float64 {
		if f.WithoutLoadReports {
			return nil
		}
		r := w.Report(f.now)
		return []float64{r.FreeSlots, r.Queue}
	}
	endAttempt := func(id string, unstarted bool, result string) {
		if a := s.openAttempts[id]; a != nil {
			a.End, a.Unstarted, a.Result = f.now, unstarted, result
			delete(s.openAttempts, id)
		}
	}
	handleEvents := func(i int, events []emulator.Event) {
		w := f.workers[i]
		for _, e := range events {
			j := s.jobs[e.ID]
			if j == nil {
				continue
			}
			k := len(j.attempts) - 1
			switch e.Kind {
			case emulator.Started:
				notify(j, balance.AttemptStarted{ID: j.id, Attempt: k})
			case emulator.Done:
				delete(s.jobs, e.ID)
				endAttempt(j.id, false, j.id)
				notify(j, balance.AttemptDone{
					ID:          j.id,
					Attempt:     k,
					Worker:      f.names[i],
					Outcome:     balance.Served,
					JobFinished: true,
					Report:      report(w),
				})
			case emulator.Returned:
				delete(s.jobs, e.ID)
				endAttempt(j.id, true, "")
				notify(j, balance.AttemptDone{
					ID:      j.id,
					Attempt: k,
					Worker:  f.names[i],
					Outcome: balance.Overloaded,
					Report:  report(w),
				})
			case emulator.Lost:
				delete(s.jobs, e.ID)
				endAttempt(j.id, false, "")
				notify(j, balance.AttemptDone{
					ID:      j.id,
					Attempt: k,
					Worker:  f.names[i],
					Outcome: balance.ConnectionLost,
				})
			}
		}
	}
	advance := func(i int) { handleEvents(i, f.workers[i].Advance(f.now)) }
	for i := part; i < len(f.workers); i += len(f.shards) {
		handleEvents(i, f.replaceWorker(i))
	}
	inShard := func(i int) bool { return i%len(f.shards) == part }
	for _, d := range f.dispatchers {
		for _, o := range d.outbox {
			if !inShard(o.worker) {
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
					endAttempt(o.job.id, true, "")
					notify(o.job, balance.AttemptDone{
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
				endAttempt(o.job.id, false, "")
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

// idealQueue is a single queue for all slots that knows the work of each job in advance.
type idealQueue struct {
	free   floats
	inTime int
}

func newIdealQueue(slots int) *idealQueue { return &idealQueue{free: make(floats, slots)} }

func (x *idealQueue) serve(at, work, objective float64) {
	start := max(at, x.free[0])
	if start+work-at > objective { // it would be late: the ideal queue drops it
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
