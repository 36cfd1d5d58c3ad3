package simulation

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/emulator"
)

// TaskWorker configures a worker of Tasks.
type TaskWorker struct {
	Zone        int
	Slots       int
	Accelerated bool // its slots are accelerators and run only tasks that require one
}

// TaskTeam configures a team that sends tasks.
type TaskTeam struct {
	Name   string
	Rate   float64 // tasks per second; the sum over all teams includes urgent tasks and those of gangs
	Quota  float64 // guaranteed tasks per second
	Enters []int   // dispatchers that it sends to, each with the same probability
}

// Gangs configures jobs of Size tasks each. The tasks of a gang begin their work when all of them have started.
type Gangs struct {
	Size int
	Rate float64 // gangs per second
}

// TaskSettings configure Tasks. Times are in seconds.
type TaskSettings struct {
	Seed                  uint64
	Workers               []TaskWorker
	Regions               []int // region of each zone
	Dispatchers           []int // zone of each dispatcher
	Teams                 []TaskTeam
	Work                  func(r *rand.Rand) float64 // draws the work of a task
	MeanWork              float64                    // mean of Work
	AcceleratedFraction   float64                    // fraction of tasks, and of gangs, that require accelerators
	Gangs                 []Gangs
	UrgentRate            float64 // urgent tasks per second, of teams drawn with equal probability
	UrgentTeamReservation float64 // quota of a separate team for all urgent tasks; 0: no such team
	UrgentObjective       float64 // latency objective of urgent tasks
	UrgentMaxWait         float64 // balance.Class.MaxWait of the urgent classes ('ageing'); 0: none
	InitialTasks          int     // that arrive during the first half of WarmUp, partly done
	WarmUp                float64 // until the window begins
	Window                float64 // tasks and gangs that arrive in it are measured
	Tail                  float64 // how long the run continues after the window
	// CPUSeconds returns the processor time used so far; nil: it is not measured.
	CPUSeconds func() float64
}

// Constants of the model.
const (
	taskRoundSeconds     = 0.004 // s; least time between two steps of a dispatcher
	nearDelaySeconds     = 0.001 // s; one way, within a region
	farDelaySeconds      = 0.02  // s; one way, to another region
	taskObjectiveSeconds = 30.0  // s; wait up to which a task has its full weight
	clientTimeoutSeconds = 7200  // s; a client's timeout
	lateTaskWeight       = 0.5   // fraction of its weight that a task has after a longer wait
	urgentWeight         = 100.0 // priority weight of urgent tasks; that of others is 1
	gangTimeoutSeconds   = 60.0  // s; a gang whose tasks have not all started by then is abandoned
	retryDelaySeconds    = 0.5   // s; least time until a rejected task is requested again
)

// GangResult is the result for the gangs of one size that arrived in the window.
type GangResult struct {
	Size               int
	Arrived            int
	Within10, Within60 int       // gangs whose tasks had all started within 10 or 60 s
	Spread             []float64 // s from the first task's start to the last task's, of complete gangs
	CompleteAfter      []float64 // s from a gang's arrival to its last task's start, of complete gangs
	HeldSlotSeconds    float64   // slot-seconds in which started tasks waited for the others of their gang
	WastedSlotSeconds  float64   // the part of HeldSlotSeconds of gangs that were abandoned
	Rejected           int       // requests for their tasks that were rejected (503) and repeated
}

// TaskResult is the result of [Tasks.Run]. It covers the window, except for Slots, MostRunning and Digest, which
// cover the whole run.
type TaskResult struct {
	Arrived, Started, Rejected, Failed int       // tasks that are neither urgent nor part of a gang
	Waits                              []float64 // s from such a task's arrival to its start, in ascending order
	Accelerated                        []float64 // waits for accelerators, in order of arrival; infinity: not started
	// Avoidable is, for each task, the part of its wait in seconds during which there were enough free slots for it
	// and all other waiting tasks: with one central queue it would not have waited then. AvoidableAccelerated is
	// the same for tasks that require accelerators.
	Avoidable, AvoidableAccelerated []float64
	Running                         float64 // mean number of running tasks in the window
	Slots                           int
	Starts                          float64 // task starts per second, of all kinds
	Unanswered                      int     // tasks of the window that were lost: expected to be 0
	MostRunning                     int     // largest number of tasks that ran at one time
	Attempts, HealthChecks          int
	Gangs                           []GangResult
	Urgent                          []float64 // s from arrival to start, ascending; infinity: not started
	UrgentRejected                  int       // requests for urgent tasks that were rejected (503) and repeated
	CPUPerSecond                    []float64 // processor time of the decisions, by dispatcher, in s per second
	Jobs                            []int     // requests that arrived at each dispatcher
	Digest                          uint64
}

type taskKind int

const (
	plainTask taskKind = iota
	gangTask
	urgentTask
	initialTask
)

// task is a task with all requests for it.
type task struct {
	id            string
	requests      int // requests for it so far
	dispatcher    int // dispatcher of the last request
	kind          taskKind
	accelerated   bool
	team          int
	arrivedAt     float64
	counted       bool
	work          float64
	gang          *gang
	started       float64 // 0: not yet started
	freeAtArrival float64 // slotPool.freeFor at its arrival
	freeAtEnd     float64 // slotPool.freeFor when it stopped waiting
	done          bool
	waiting       bool // at a dispatcher, or for its next request
	attempts      []*taskAttempt
}

type taskAttempt struct {
	task       *task
	dispatcher int
	number     int // of the attempt within its request, from 0
	id         string
	worker     int
	inFlight   bool // as far as the dispatcher knows
	ran        bool // it occupies a slot of the worker
}

type gang struct {
	size      int
	arrivedAt float64
	counted   bool
	tasks     []*task
	starts    int
	complete  bool
	done      bool
	work      float64
}

// slotPool counts the slots of the plain workers, or of those with accelerators.
type slotPool struct {
	slots, running, waiting int
	freeFor                 float64 // seconds so far during which there were free slots for all waiting tasks
	advancedAt              float64 // time up to which freeFor is counted
}

// advance counts freeFor up to now. Call it before any change of the pool.
func (k *slotPool) advance(now float64) {
	if k.slots-k.running >= k.waiting {
		k.freeFor += now - k.advancedAt
	}
	k.advancedAt = now
}

type taskDispatcher struct {
	balancer      *balance.Balancer
	events        []balance.Event
	steppedAt     float64
	stepScheduled bool
	jobs          map[string]*task
	cpuSeconds    float64
	arrivals      int
}

// Tasks runs the dispatchers' decision modules against modelled workers that run long tasks, event by event. A
// dispatcher steps when it has received an event, at most once per taskRoundSeconds. The tasks of a gang are sent
// as separate jobs, because the dispatcher has no notion of gangs.
type Tasks struct {
	TaskSettings
	now                            float64
	events                         eventQueue
	lastEvent                      int
	rng                            *rand.Rand
	dispatchers                    []*taskDispatcher
	workers                        []*emulator.Worker
	index                          map[string]int
	wakes                          []float64 // by worker: the time of the last scheduled wake-up; 0: none
	attemptsByKey                  map[string]*taskAttempt
	lastID                         int
	pools                          [2]slotPool
	running                        int
	taskSeconds                    float64 // integral of running
	starts, attempts, healthChecks int
	countedUntil                   float64
	tasks                          []*task // that arrived in the window
	gangs                          []*gang
	digest                         *xxhash.Digest
	result                         TaskResult
	teamRates                      []float64
}

// NewTasks returns a model whose dispatchers know all workers. A team's quota is divided equally among the
// dispatchers that the team sends to, as the exchange of usage would divide it. Errors are those of [balance.New].
func NewTasks(s TaskSettings) (*Tasks, error) {
	w := &Tasks{
		TaskSettings:  s,
		rng:           rand.New(rand.NewPCG(s.Seed, 0x7a5c)),
		index:         map[string]int{},
		attemptsByKey: map[string]*taskAttempt{},
		digest:        xxhash.New(),
	}
	var list []balance.WorkerInfo
	for i, x := range s.Workers {
		name := fmt.Sprintf("w-%04d", i)
		w.index[name] = i
		w.workers = append(w.workers, emulator.New(emulator.Settings{
			Slots:    float64(x.Slots),
			MaxQueue: 2 * x.Slots,
		}, nil))
		list = append(list, balance.WorkerInfo{
			ID:    name,
			Zone:  strconv.Itoa(x.Zone),
			Kind:  workerKind(x.Accelerated),
			State: balance.Running,
		})
		w.result.Slots += x.Slots
		w.pools[poolIndex(x.Accelerated)].slots += x.Slots
	}
	w.wakes = make([]float64, len(w.workers))
	cfg := balance.Config{
		Dispatchers:        len(s.Dispatchers),
		StartNotifications: true,
		ClientsMarkRetries: true,
		MaxAttempts:        3,
		HealthChecks:       true,
		Cancellation:       true,
		ReportFields:       []string{balance.FieldFreeSlots, balance.FieldQueueLength},
		Tick:               taskRoundSeconds,
		MaxRetryAfter:      taskObjectiveSeconds,
		HealthCheckCost:    0.01,
		DialTimeout:        0.25,
	}
	for _, accel := range []bool{false, true} {
		c := balance.Class{
			Name:               className(plainTask, accel),
			WorkerKind:         workerKind(accel),
			LatencyObjective:   taskObjectiveSeconds,
			ObjectiveStretch:   1,
			Deadline:           clientTimeoutSeconds,
			PriorityWeight:     1,
			LateWeightFraction: lateTaskWeight,
			Idempotence:        balance.Idempotent,
		}
		cfg.Classes = append(cfg.Classes, c)
		c.Name = className(urgentTask, accel)
		c.PriorityWeight = urgentWeight
		c.LatencyObjective = s.UrgentObjective
		c.MaxWait = s.UrgentMaxWait
		cfg.Classes = append(cfg.Classes, c)
	}
	for _, t := range s.Teams {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota})
		w.teamRates = append(w.teamRates, t.Rate)
	}
	if s.UrgentTeamReservation > 0 {
		urgent := TaskTeam{Name: "urgent", Quota: s.UrgentTeamReservation}
		for i := range s.Dispatchers {
			urgent.Enters = append(urgent.Enters, i)
		}
		s.Teams = append(slices.Clone(s.Teams), urgent)
		w.Teams, w.teamRates = s.Teams, append(w.teamRates, 0)
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Name: urgent.Name, Quota: urgent.Quota})
	}
	for i, z := range s.Dispatchers {
		c := cfg
		c.Index, c.Zone = i, strconv.Itoa(z)
		b, err := balance.New(c, s.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		d := &taskDispatcher{
			balancer: b,
			jobs:     map[string]*task{},
			events:   []balance.Event{balance.EndpointUpdate{Kind: balance.EndpointsCached, Workers: list}},
		}
		for _, t := range s.Teams {
			share := balance.QuotaUpdate{Tenant: t.Name}
			if slices.Contains(t.Enters, i) {
				share.Allotment = 1 / float64(len(t.Enters))
			}
			d.events = append(d.events, share)
		}
		w.dispatchers = append(w.dispatchers, d)
	}
	w.result.CPUPerSecond, w.result.Jobs = make([]float64, len(w.dispatchers)), make([]int, len(w.dispatchers))
	return w, nil
}

func poolIndex(accel bool) int {
	if accel {
		return 1
	}
	return 0
}

// setWaiting records that a task begins or stops waiting for a slot.
func (w *Tasks) setWaiting(t *task, waits bool) {
	if t.waiting == waits {
		return
	}
	k := &w.pools[poolIndex(t.accelerated)]
	k.advance(w.now)
	t.waiting = waits
	if waits {
		k.waiting++
	} else {
		k.waiting--
		t.freeAtEnd = k.freeFor
	}
}

// addRunning adds to the number of tasks that a worker runs.
func (w *Tasks) addRunning(worker, more int) {
	k := &w.pools[poolIndex(w.Workers[worker].Accelerated)]
	k.advance(w.now)
	k.running += more
	w.addTaskSeconds()
	w.running += more
	w.result.MostRunning = max(w.result.MostRunning, w.running)
}

func workerKind(accel bool) string {
	if accel {
		return "accelerated"
	}
	return "plain"
}

// className returns the class of a task. A gang's tasks have the same class as other tasks.
func className(k taskKind, accel bool) string {
	if k == urgentTask {
		return "urgent-" + workerKind(accel)
	}
	return "task-" + workerKind(accel)
}

// after schedules an action in s seconds.
func (w *Tasks) after(s float64, do func()) {
	w.lastEvent++
	heap.Push(&w.events, event{w.now + s, w.lastEvent, do})
}

// Run runs the warm-up, the window and the tail, and returns the result.
func (w *Tasks) Run() TaskResult {
	end := w.WarmUp + w.Window + w.Tail
	for i := range w.dispatchers {
		w.step(i)
	}
	w.addInitialTasks()
	total := 0.0
	for _, r := range w.teamRates {
		total += r
	}
	for _, g := range w.Gangs {
		total -= float64(g.Size) * g.Rate
	}
	w.scheduleArrivals(max(0, total-w.UrgentRate), func() {
		w.addTask(plainTask, w.drawTeam(), w.rng.Float64() < w.AcceleratedFraction, nil, w.Work(w.rng))
	})
	for _, g := range w.Gangs {
		w.scheduleArrivals(g.Rate, func() { w.addGang(g.Size) })
	}
	w.scheduleArrivals(w.UrgentRate, func() {
		team := w.rng.IntN(len(w.Teams))
		if w.UrgentTeamReservation > 0 {
			team = len(w.Teams) - 1
		}
		w.addTask(urgentTask, team, false, nil, w.Work(w.rng))
	})
	w.after(w.WarmUp, func() {
		for _, d := range w.dispatchers {
			d.cpuSeconds, d.arrivals = 0, 0
		}
		w.attempts, w.healthChecks, w.starts = 0, 0, 0
		w.addTaskSeconds()
		w.taskSeconds = 0
	})
	w.after(w.WarmUp+w.Window, func() {
		w.addTaskSeconds()
		w.result.Running, w.result.Starts = w.taskSeconds/w.Window, float64(w.starts)/w.Window
		w.result.Attempts, w.result.HealthChecks = w.attempts, w.healthChecks
		for i, d := range w.dispatchers {
			w.result.CPUPerSecond[i], w.result.Jobs[i] = d.cpuSeconds/w.Window, d.arrivals
		}
	})
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
	w.summarize()
	w.result.Digest = w.digest.Sum64()
	return w.result
}

// Release drops the decision modules, so that a caller can measure how much memory they held.
func (w *Tasks) Release() {
	for _, d := range w.dispatchers {
		d.balancer, d.jobs, d.events = nil, nil, nil
	}
}

// addTaskSeconds adds to taskSeconds the task-seconds since the last call.
func (w *Tasks) addTaskSeconds() {
	w.taskSeconds += float64(w.running) * (w.now - w.countedUntil)
	w.countedUntil = w.now
}

// scheduleArrivals calls a function as a Poisson process of the given rate per second, until the end of the run.
func (w *Tasks) scheduleArrivals(rate float64, arrive func()) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		arrive()
		w.after(w.rng.ExpFloat64()/rate, next)
	}
	w.after(w.rng.ExpFloat64()/rate, next)
}

// drawTeam draws a team with a probability in proportion to its rate.
func (w *Tasks) drawTeam() int {
	total := 0.0
	for _, r := range w.teamRates {
		total += r
	}
	x := w.rng.Float64() * total
	for i, r := range w.teamRates {
		if x -= r; x < 0 {
			return i
		}
	}
	return len(w.teamRates) - 1
}

// addInitialTasks adds InitialTasks tasks, which arrive in the first half of WarmUp. Their work is the remaining
// work of tasks that are observed at a random moment: a task is drawn with a probability in proportion to its length.
func (w *Tasks) addInitialTasks() {
	draws := make([]float64, 1<<16)
	total := 0.0
	for i := range draws {
		draws[i] = w.Work(w.rng)
		total += draws[i]
		draws[i] = total
	}
	for range w.InitialTasks {
		x := w.rng.Float64() * total
		i, _ := slices.BinarySearch(draws, x)
		length := draws[i]
		if i > 0 {
			length -= draws[i-1]
		}
		remaining := length * w.rng.Float64()
		accel, team := w.rng.Float64() < w.AcceleratedFraction, w.drawTeam()
		w.after(w.rng.Float64()*w.WarmUp/2, func() { w.addTask(initialTask, team, accel, nil, remaining) })
	}
}

// inWindow reports whether the window is open now.
func (w *Tasks) inWindow() bool { return w.now >= w.WarmUp && w.now < w.WarmUp+w.Window }

// addTask adds a task and submits it to one of the dispatchers that its team sends to.
func (w *Tasks) addTask(k taskKind, team int, accel bool, g *gang, work float64) *task {
	w.lastID++
	t := &task{
		id:          strconv.Itoa(w.lastID),
		kind:        k,
		accelerated: accel,
		team:        team,
		arrivedAt:   w.now,
		counted:     w.inWindow() && k != initialTask,
		work:        work,
		gang:        g,
	}
	if t.counted {
		w.tasks = append(w.tasks, t)
	}
	pool := &w.pools[poolIndex(accel)]
	pool.advance(w.now)
	t.freeAtArrival = pool.freeFor
	dispatchers := w.Teams[team].Enters
	w.submit(t, dispatchers[w.rng.IntN(len(dispatchers))])
	return t
}

// addGang adds a job whose tasks are submitted at once, each to one of its team's dispatchers.
func (w *Tasks) addGang(size int) {
	team, accel := w.drawTeam(), w.rng.Float64() < w.AcceleratedFraction
	g := &gang{size: size, arrivedAt: w.now, counted: w.inWindow(), work: w.Work(w.rng)}
	if g.counted {
		w.gangs = append(w.gangs, g)
	}
	for range size {
		g.tasks = append(g.tasks, w.addTask(gangTask, team, accel, g, math.Inf(1)))
	}
	w.after(gangTimeoutSeconds, func() {
		if !g.complete {
			w.abandon(g)
		}
	})
}

// submit sends a new request for a task to a dispatcher.
func (w *Tasks) submit(t *task, d int) {
	t.requests++
	t.dispatcher = d
	w.setWaiting(t, true)
	id := t.id + "." + strconv.Itoa(t.requests)
	w.dispatchers[d].jobs[id] = t
	w.dispatchers[d].arrivals++
	w.deliver(d, balance.JobArrived{
		ID:      id,
		Class:   className(t.kind, t.accelerated),
		Tenant:  w.Teams[t.team].Name,
		Timeout: clientTimeoutSeconds - (w.now - t.arrivedAt),
		Slots:   1,
		Retry:   t.requests > 1,
	})
}

// abandon ends a gang whose tasks have not all started in time: its client disconnects all its requests.
func (w *Tasks) abandon(g *gang) {
	g.done = true
	for _, t := range g.tasks {
		if t.done {
			continue
		}
		t.done = true
		w.setWaiting(t, false)
		w.deliver(t.dispatcher, balance.ClientDisconnected{ID: t.id + "." + strconv.Itoa(t.requests)})
		for _, a := range t.attempts {
			if a.inFlight {
				w.cancel(a, true)
			}
		}
	}
}

// cancel ends an attempt at the dispatcher and sends the cancellation to the worker.
func (w *Tasks) cancel(a *taskAttempt, closed bool) {
	a.inFlight = false
	w.deliver(a.dispatcher, balance.AttemptDone{
		ID:          a.id,
		Attempt:     a.number,
		Worker:      taskWorkerName(a.worker),
		Outcome:     balance.Cancelled,
		JobFinished: closed,
	})
	w.after(w.delay(a.dispatcher, a.worker), func() { w.atWorker(a.worker, func(m *emulator.Worker) { w.drop(m, a) }) })
}

// drop ends an attempt when the dispatcher's cancellation reaches the worker.
func (w *Tasks) drop(m *emulator.Worker, a *taskAttempt) {
	if w.attemptsByKey[a.key()] == nil {
		return
	}
	delete(w.attemptsByKey, a.key())
	m.Cancel(w.now, a.key())
	if t := a.task; a.ran && !t.done { // the cancellation crossed its start: the task waits for another attempt
		t.started = 0
		w.setWaiting(t, true)
		if t.gang != nil && !t.gang.complete {
			t.gang.starts--
		}
	}
	w.markEnded(a)
}

func (a *taskAttempt) key() string { return a.id + "/" + strconv.Itoa(a.number) }
func taskWorkerName(w int) string  { return fmt.Sprintf("w-%04d", w) }
func (w *Tasks) markEnded(a *taskAttempt) {
	if a.ran {
		a.ran = false
		w.addRunning(a.worker, -1)
	}
}

// delay returns how many seconds a message takes between a dispatcher and a worker.
func (w *Tasks) delay(d, worker int) float64 {
	if w.Regions[w.Dispatchers[d]] == w.Regions[w.Workers[worker].Zone] {
		return nearDelaySeconds
	}
	return farDelaySeconds
}

// deliver passes an event to a dispatcher, which steps within taskRoundSeconds.
func (w *Tasks) deliver(d int, e balance.Event) {
	x := w.dispatchers[d]
	x.events = append(x.events, e)
	if !x.stepScheduled {
		x.stepScheduled = true
		w.after(max(0, x.steppedAt+taskRoundSeconds-w.now), func() { w.step(d) })
	}
}

// step runs one step of a dispatcher on the events that it has received, and carries out its decisions.
func (w *Tasks) step(i int) {
	d := w.dispatchers[i]
	events := d.events
	d.events, d.stepScheduled, d.steppedAt = nil, false, w.now
	began := 0.0
	if w.CPUSeconds != nil {
		began = w.CPUSeconds()
	}
	actions := d.balancer.Step(1+w.now, events)
	if w.CPUSeconds != nil {
		d.cpuSeconds += w.CPUSeconds() - began
	}
	for _, a := range actions {
		switch a := a.(type) {
		case balance.Send:
			t := d.jobs[a.ID]
			if t == nil {
				continue
			}
			number := 0
			for _, o := range t.attempts {
				if o.id == a.ID {
					number++
				}
			}
			x := &taskAttempt{task: t, dispatcher: i, number: number, id: a.ID,
				worker: w.index[a.Worker], inFlight: true}
			t.attempts = append(t.attempts, x)
			w.attempts++
			w.after(w.delay(i, x.worker), func() { w.submitAttempt(x) })
		case balance.Cancel:
			if t := d.jobs[a.ID]; t != nil {
				for _, o := range t.attempts {
					if o.id == a.ID && o.number == a.Attempt && o.inFlight {
						w.cancel(o, false)
					}
				}
			}
		case balance.HealthCheck:
			w.healthChecks++
			at := w.index[a.Worker]
			w.after(w.delay(i, at), func() {
				w.atWorker(at, func(m *emulator.Worker) {
					report := w.report(m)
					w.after(w.delay(i, at), func() {
						w.deliver(i, balance.HealthCheckDone{
							Worker:  a.Worker,
							Outcome: balance.Served,
							Report:  report,
						})
					})
				})
			})
		case balance.SetTimer:
			w.after(a.After, func() { w.deliver(i, balance.TimerFired{}) })
		case balance.Reject:
			w.handleReject(d.jobs[a.ID], a)
			delete(d.jobs, a.ID)
		case balance.Fail:
			if t := d.jobs[a.ID]; t != nil && !t.done {
				t.done = true
				w.setWaiting(t, false)
				w.addToDigest(t, 'F')
				if t.counted && t.kind == plainTask {
					w.result.Failed++
				}
			}
			delete(d.jobs, a.ID)
		}
	}
}

// handleReject handles a final answer of 503. Tasks of gangs and urgent tasks are requested again.
func (w *Tasks) handleReject(t *task, a balance.Reject) {
	if t == nil || t.done {
		return
	}
	w.addToDigest(t, 'R')
	switch t.kind {
	case gangTask, urgentTask:
		if t.counted && t.kind == urgentTask {
			w.result.UrgentRejected++
		}
		w.after(max(retryDelaySeconds, math.Ceil(a.RetryAfter)), func() {
			if dispatchers := w.Teams[t.team].Enters; !t.done {
				w.submit(t, dispatchers[w.rng.IntN(len(dispatchers))])
			}
		})
	default:
		t.done = true
		w.setWaiting(t, false)
		if t.counted {
			w.result.Rejected++
		}
	}
}

func (w *Tasks) addToDigest(t *task, outcome byte) {
	_, _ = w.digest.WriteString(t.id) // a hash returns no error
	_, _ = w.digest.Write(binary.LittleEndian.AppendUint64([]byte{outcome}, math.Float64bits(w.now)))
}

func (w *Tasks) report(m *emulator.Worker) []float64 {
	r := m.Report(w.now)
	return []float64{r.FreeSlots, r.Queue}
}

// atWorker advances a worker to now, calls do if it is not nil, handles the worker's events and schedules its
// next wake-up.
func (w *Tasks) atWorker(i int, do func(m *emulator.Worker)) {
	m := w.workers[i]
	w.handleWorkerEvents(i, m.Advance(w.now))
	if do != nil {
		do(m)
		w.handleWorkerEvents(i, m.Advance(w.now))
	}
	next := m.Next(w.now)
	if math.IsInf(next, 1) || w.wakes[i] > w.now && w.wakes[i] <= next {
		return
	}
	w.wakes[i] = next
	w.after(next-w.now, func() { w.atWorker(i, nil) })
}

// submitAttempt submits an attempt to its worker, at which it has just arrived.
func (w *Tasks) submitAttempt(a *taskAttempt) {
	w.atWorker(a.worker, func(m *emulator.Worker) {
		if !a.inFlight {
			return // cancelled before it arrived
		}
		if m.Submit(w.now, emulator.Job{ID: a.key(), Slots: 1, Work: a.task.work}) != emulator.Accepted {
			w.reportOutcome(a, balance.AttemptDone{
				ID:      a.id,
				Attempt: a.number,
				Worker:  taskWorkerName(a.worker),
				Outcome: balance.Overloaded,
				Report:  w.report(m),
			})
			return
		}
		w.attemptsByKey[a.key()] = a
	})
}

// reportOutcome sends the outcome of an attempt to its dispatcher.
func (w *Tasks) reportOutcome(a *taskAttempt, e balance.AttemptDone) {
	w.after(w.delay(a.dispatcher, a.worker), func() {
		if !a.inFlight {
			return
		}
		a.inFlight = false
		if e.Outcome == balance.Served {
			delete(w.dispatchers[a.dispatcher].jobs, a.id)
		}
		w.deliver(a.dispatcher, e)
	})
}

// handleWorkerEvents handles the events of a worker.
func (w *Tasks) handleWorkerEvents(i int, list []emulator.Event) {
	for _, e := range list {
		a := w.attemptsByKey[e.ID]
		if a == nil {
			continue
		}
		switch e.Kind {
		case emulator.Started:
			a.ran = true
			w.addRunning(i, 1)
			w.starts++
			w.recordStart(a)
			w.after(w.delay(a.dispatcher, i), func() {
				if a.inFlight {
					w.deliver(a.dispatcher, balance.AttemptStarted{ID: a.id, Attempt: a.number})
				}
			})
		case emulator.Done:
			w.finish(a)
		}
	}
}

// recordStart records the first start of a task. When all tasks of a gang have started it schedules their end.
func (w *Tasks) recordStart(a *taskAttempt) {
	t := a.task
	if t.started > 0 || t.done {
		return
	}
	t.started = w.now
	w.setWaiting(t, false)
	w.addToDigest(t, 'B')
	if g := t.gang; g != nil {
		if g.starts++; g.starts == g.size && !g.done {
			g.complete = true
			w.after(g.work, func() {
				g.done = true
				for _, t := range g.tasks {
					for _, a := range t.attempts {
						if a.ran {
							w.atWorker(a.worker, func(m *emulator.Worker) {
								m.Cancel(w.now, a.key())
								w.finish(a)
							})
						}
					}
				}
			})
		}
	}
}

// finish ends a task whose work is done.
func (w *Tasks) finish(a *taskAttempt) {
	delete(w.attemptsByKey, a.key())
	w.markEnded(a)
	w.addToDigest(a.task, 'D')
	a.task.done = true
	w.reportOutcome(a, balance.AttemptDone{
		ID:          a.id,
		Attempt:     a.number,
		Worker:      taskWorkerName(a.worker),
		Outcome:     balance.Served,
		JobFinished: true,
		Report:      w.report(w.workers[a.worker]),
	})
}

// summarize computes the results of the tasks and gangs that arrived in the window.
func (w *Tasks) summarize() {
	for _, t := range w.tasks {
		switch t.kind {
		case plainTask:
			w.result.Arrived++
			if t.started > 0 {
				w.result.Started++
				w.result.Waits = append(w.result.Waits, t.started-t.arrivedAt)
			}
			freeAtEnd := t.freeAtEnd
			if t.waiting {
				k := &w.pools[poolIndex(t.accelerated)]
				k.advance(w.now)
				freeAtEnd = k.freeFor
			}
			w.result.Avoidable = append(w.result.Avoidable, freeAtEnd-t.freeAtArrival)
			if t.accelerated {
				w.result.Accelerated = append(w.result.Accelerated, cmp.Or(t.started, math.Inf(1))-t.arrivedAt)
				w.result.AvoidableAccelerated = append(w.result.AvoidableAccelerated, freeAtEnd-t.freeAtArrival)
			}
		case urgentTask:
			wait := math.Inf(1)
			if t.started > 0 {
				wait = t.started - t.arrivedAt
			}
			w.result.Urgent = append(w.result.Urgent, wait)
		}
		if t.started == 0 && !t.done && !t.waiting {
			w.result.Unanswered++
		}
	}
	for _, s := range w.Gangs {
		r := GangResult{Size: s.Size}
		for _, g := range w.gangs {
			if g.size != s.Size {
				continue
			}
			r.Arrived++
			first, last := math.Inf(1), 0.0
			for _, t := range g.tasks {
				r.Rejected += t.requests - 1
				if t.started > 0 {
					first, last = min(first, t.started), max(last, t.started)
				}
			}
			until := min(g.arrivedAt+gangTimeoutSeconds, w.now)
			if g.complete {
				until = last
				r.Spread, r.CompleteAfter = append(r.Spread, last-first), append(r.CompleteAfter, last-g.arrivedAt)
				if last-g.arrivedAt <= 10 {
					r.Within10++
				}
				r.Within60++
			}
			held := 0.0
			for _, t := range g.tasks {
				if t.started > 0 {
					held += max(0, until-t.started)
				}
			}
			r.HeldSlotSeconds += held
			if !g.complete {
				r.WastedSlotSeconds += held
			}
		}
		w.result.Gangs = append(w.result.Gangs, r)
	}
	slices.SortFunc(w.result.Urgent, cmp.Compare[float64])
	slices.Sort(w.result.Waits)
}
