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

// TaskWorker is a machine of a Tasks world.
type TaskWorker struct {
	Zone        int
	Slots       int
	Accelerated bool // its slots are accelerators, for tasks that ask for them
}

// TaskTeam sends tasks.
type TaskTeam struct {
	Name   string
	Rate   float64 // tasks a second
	Quota  float64 // a second, guaranteed
	Enters []int   // dispatchers; they are used alike
}

// Gangs are jobs of so many tasks each, which begin their work when all of them have started.
type Gangs struct {
	Size int
	Rate float64 // jobs a second
}

// TaskSettings are what a Tasks world is made of. Times are in seconds.
type TaskSettings struct {
	Seed                  uint64
	Workers               []TaskWorker
	Regions               []int // by zone
	Dispatchers           []int // zone of each
	Teams                 []TaskTeam
	Work                  func(r *rand.Rand) float64
	MeanWork              float64 // of Work
	AcceleratedFraction   float64 // part of the tasks, and of the gangs, that ask for accelerators
	Gangs                 []Gangs
	UrgentRate            float64 // urgent tasks a second, of teams drawn alike
	UrgentTeamReservation float64 // of a separate team that they belong to; 0: none
	UrgentObjective       float64 // within which one is to start
	UrgentMaxWait         float64 // longest wait that their class is promised ('ageing'); 0: no promise
	InitialTasks          int     // that run already at the start
	WarmUp                float64 // until it is looked at
	Window                float64 // in which what comes is looked at
	Tail                  float64 // for which it goes on behind that
	// Clock is the processor time that was used, in seconds; nil: it is not measured.
	CPUSeconds func() float64
}

// Figures of the world that are nobody's setting.
const (
	taskRoundSeconds     = 0.004 // s between two steps of a dispatcher at least
	nearDelaySeconds     = 0.001 // s one way, within a region
	farDelaySeconds      = 0.02  // s one way, to another region
	taskObjectiveSeconds = 30.0  // s that a task may wait and still earn all its worth
	clientTimeoutSeconds = 7200  // s that a client waits for its answer
	lateTaskWeight       = 0.5   // worth of a task that waited for longer
	urgentWeight         = 100.0 // worth of an urgent one
	gangTimeoutSeconds   = 60.0  // s after which a job gives up whose tasks have not all started
	retryDelaySeconds    = 0.5   // s at least until a job asks again for a task that was refused
)

// GangResult is what became of the gangs of one size that came in the window.
type GangResult struct {
	Size               int
	Arrived            int
	Within10, Within60 int       // all tasks had started by then
	Spread             []float64 // s between the first task's start and the last one's, of those that were whole
	CompleteAfter      []float64 // s from the job's coming to its last task's start
	HeldSlotSeconds    float64   // slot-seconds of tasks that had started and waited for others of their gang
	WastedSlotSeconds  float64   // the part of it of gangs that gave up
	Rejected           int       // answers of 503 to their tasks, which they asked for again
}

// TaskResult is what was seen in the window, apart from Digest, which is of all.
type TaskResult struct {
	Arrived, Started, Rejected, Failed int       // tasks that belong to no gang and are not urgent
	Waits                              []float64 // s from a task's coming to its start
	Accelerated                        []float64 // the same, for accelerators; infinity: not until the end
	// Avoidable is, of each task, and of those for accelerators, the part of its wait in which slots for it and for
	// all others that waited stood free: a queue that saw all would not have had it.
	Avoidable, AvoidableAccelerated []float64
	Running                         float64 // tasks that ran, in the mean over the window
	Slots                           int
	Starts                          float64 // a second, of all kinds
	Unanswered                      int     // tasks of the window that were lost: 0
	MostRunning                     int     // tasks that ran at one time
	Attempts, HealthChecks          int
	Gangs                           []GangResult
	Urgent                          []float64 // s until each started; infinity: not until the end
	UrgentRejected                  int       // answers of 503 to urgent tasks; they asked again
	CPUPerSecond                    []float64 // processor time of the decisions, by dispatcher, s a second
	Jobs                            []int     // that came to each dispatcher
	Digest                          uint64
}

type taskKind int

const (
	plainTask taskKind = iota
	gangTask
	urgentTask
	initialTask
)

// task is one request, and those that ask again for it.
type task struct {
	id            string
	requests      int // requests for it so far
	dispatcher    int // dispatcher of the last one
	kind          taskKind
	accelerated   bool
	team          int
	arrivedAt     float64
	counted       bool
	work          float64
	gang          *gang
	started       float64 // 0: not yet
	freeAtArrival float64 // freeFor when it came
	freeAtEnd     float64 // the same when it had waited
	done          bool
	waiting       bool // at a dispatcher, or about to be
	attempts      []*taskAttempt
}

type taskAttempt struct {
	task       *task
	dispatcher int
	number     int // of the attempt
	id         string
	worker     int
	inFlight   bool // as the dispatcher knows it
	ran        bool
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

// slotPool are the slots of plain workers, or of those with accelerators.
type slotPool struct {
	slots, running, waiting int
	freeFor                 float64 // for how long so far there were free ones for all that waited
	advancedAt              float64 // when that was looked at
}

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

// Tasks plays dispatchers' decision modules before workers that run tasks for long, event by event: a
// dispatcher steps when something has come, at most once a round. Tasks that belong to one job are sent as
// jobs of their own, as nothing in the dispatcher knows more of them.
type Tasks struct {
	TaskSettings
	now                            float64
	events                         eventQueue
	lastEvent                      int
	rng                            *rand.Rand
	dispatchers                    []*taskDispatcher
	workers                        []*emulator.Worker
	index                          map[string]int
	wakes                          []float64 // when each worker's next event is due; 0: none is known
	attemptsByKey                  map[string]*taskAttempt
	lastID                         int
	pools                          [2]slotPool
	running                        int
	taskSeconds                    float64 // task-seconds
	starts, attempts, healthChecks int
	countedUntil                   float64
	tasks                          []*task // of the window
	gangs                          []*gang
	digest                         *xxhash.Digest
	result                         TaskResult
	teamsByShare                   []float64
}

// NewTasks makes a world whose dispatchers know all workers, and of each team what of its reservation is
// theirs: as much at each of those that it enters through, as the exchange of counts settles it.
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
		w.teamsByShare = append(w.teamsByShare, t.Rate)
	}
	if s.UrgentTeamReservation > 0 {
		own := TaskTeam{Name: "urgent", Quota: s.UrgentTeamReservation}
		for i := range s.Dispatchers {
			own.Enters = append(own.Enters, i)
		}
		s.Teams = append(slices.Clone(s.Teams), own)
		w.Teams, w.teamsByShare = s.Teams, append(w.teamsByShare, 0)
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Name: own.Name, Quota: own.Quota})
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

// setWaiting notes that a task begins to wait for a slot, or ends to.
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

// addRunning notes that a worker has so many tasks more.
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

// className is the class of a task. A gang's tasks are tasks like others: nothing tells them apart.
func className(k taskKind, accel bool) string {
	if k == urgentTask {
		return "urgent-" + workerKind(accel)
	}
	return "task-" + workerKind(accel)
}

func (w *Tasks) after(s float64, do func()) {
	w.lastEvent++
	heap.Push(&w.events, event{w.now + s, w.lastEvent, do})
}

// Run plays it all.
func (w *Tasks) Run() TaskResult {
	end := w.WarmUp + w.Window + w.Tail
	for i := range w.dispatchers {
		w.step(i)
	}
	w.addInitialTasks()
	total := 0.0
	for _, r := range w.teamsByShare {
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

// Release lets go of the decision modules, so that what they hold can be told apart.
func (w *Tasks) Release() {
	for _, d := range w.dispatchers {
		d.balancer, d.jobs, d.events = nil, nil, nil
	}
}

// addTaskSeconds adds up what has run since it was last looked at.
func (w *Tasks) addTaskSeconds() {
	w.taskSeconds += float64(w.running) * (w.now - w.countedUntil)
	w.countedUntil = w.now
}

// scheduleArrivals has something come at a rate, until the end.
func (w *Tasks) scheduleArrivals(rate float64, come func()) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		come()
		w.after(w.rng.ExpFloat64()/rate, next)
	}
	w.after(w.rng.ExpFloat64()/rate, next)
}

// drawTeam draws one by its part of the starts.
func (w *Tasks) drawTeam() int {
	total := 0.0
	for _, r := range w.teamsByShare {
		total += r
	}
	x := w.rng.Float64() * total
	for i, r := range w.teamsByShare {
		if x -= r; x < 0 {
			return i
		}
	}
	return len(w.teamsByShare) - 1
}

// addInitialTasks has so many tasks come in the first half of Warm, with the rests of tasks that are met at a random
// moment: long ones are met more often, by their length.
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
		long := draws[i]
		if i > 0 {
			long -= draws[i-1]
		}
		left := long * w.rng.Float64()
		accel, team := w.rng.Float64() < w.AcceleratedFraction, w.drawTeam()
		w.after(w.rng.Float64()*w.WarmUp/2, func() { w.addTask(initialTask, team, accel, nil, left) })
	}
}

func (w *Tasks) inWindow() bool { return w.now >= w.WarmUp && w.now < w.WarmUp+w.Window }

// addTask has a task come to one of the dispatchers that its team enters through.
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
	on := &w.pools[poolIndex(accel)]
	on.advance(w.now)
	t.freeAtArrival = on.freeFor
	enters := w.Teams[team].Enters
	w.submit(t, enters[w.rng.IntN(len(enters))])
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

// submit sends a request for a task.
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

// abandon ends a gang that did not become whole: its client closes what it asked for.
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

// cancel ends an attempt from the dispatcher's side.
func (w *Tasks) cancel(a *taskAttempt, closed bool) {
	a.inFlight = false
	w.deliver(a.dispatcher, balance.AttemptDone{
		ID:          a.id,
		Attempt:     a.number,
		Worker:      taskWorkerName(a.worker),
		Outcome:     balance.Cancelled,
		JobFinished: closed,
	})
	w.after(w.delay(a.dispatcher, a.worker), func() { w.withWorker(a.worker, func(m *emulator.Worker) { w.cancelAtWorker(m, a) }) })
}

// cancelAtWorker has a worker give up an attempt.
func (w *Tasks) cancelAtWorker(m *emulator.Worker, a *taskAttempt) {
	if w.attemptsByKey[a.key()] == nil {
		return
	}
	delete(w.attemptsByKey, a.key())
	m.Cancel(w.now, a.key())
	if t := a.task; a.ran && !t.done { // it had begun unheard, and begins anew elsewhere
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

// delay is how long a message is on the way between a dispatcher and a worker.
func (w *Tasks) delay(d, worker int) float64 {
	if w.Regions[w.Dispatchers[d]] == w.Regions[w.Workers[worker].Zone] {
		return nearDelaySeconds
	}
	return farDelaySeconds
}

// deliver hands an event to a dispatcher, which steps within a round.
func (w *Tasks) deliver(d int, e balance.Event) {
	x := w.dispatchers[d]
	x.events = append(x.events, e)
	if !x.stepScheduled {
		x.stepScheduled = true
		w.after(max(0, x.steppedAt+taskRoundSeconds-w.now), func() { w.step(d) })
	}
}

// step plays a dispatcher's decisions on what has come.
func (w *Tasks) step(i int) {
	d := w.dispatchers[i]
	events := d.events
	d.events, d.stepScheduled, d.steppedAt = nil, false, w.now
	began := 0.0
	if w.CPUSeconds != nil {
		began = w.CPUSeconds()
	}
	acts := d.balancer.Step(1+w.now, events)
	if w.CPUSeconds != nil {
		d.cpuSeconds += w.CPUSeconds() - began
	}
	for _, a := range acts {
		switch a := a.(type) {
		case balance.Send:
			t := d.jobs[a.ID]
			if t == nil {
				continue
			}
			no := 0
			for _, o := range t.attempts {
				if o.id == a.ID {
					no++
				}
			}
			x := &taskAttempt{task: t, dispatcher: i, number: no, id: a.ID, worker: w.index[a.Worker], inFlight: true}
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
				w.withWorker(at, func(m *emulator.Worker) {
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

// handleReject is a final answer of 503. What belongs to a gang, or is urgent, is asked for again.
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
			if enters := w.Teams[t.team].Enters; !t.done {
				w.submit(t, enters[w.rng.IntN(len(enters))])
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

func (w *Tasks) addToDigest(t *task, how byte) {
	_, _ = w.digest.WriteString(t.id) // a hash never fails
	_, _ = w.digest.Write(binary.LittleEndian.AppendUint64([]byte{how}, math.Float64bits(w.now)))
}

func (w *Tasks) report(m *emulator.Worker) []float64 {
	r := m.Report(w.now)
	return []float64{r.FreeSlots, r.Queue}
}

// withWorker plays a worker up to now, does something to it and plays what follows.
func (w *Tasks) withWorker(i int, do func(m *emulator.Worker)) {
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
	w.after(next-w.now, func() { w.withWorker(i, nil) })
}

// submitAttempt is an attempt's coming to its worker.
func (w *Tasks) submitAttempt(a *taskAttempt) {
	w.withWorker(a.worker, func(m *emulator.Worker) {
		if !a.inFlight {
			return // called off on its way
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

// reportOutcome sends the end of an attempt back to its dispatcher.
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

// handleWorkerEvents plays what happened at a worker.
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

// recordStart is a task's start, the first one of those that it may have.
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
							w.withWorker(a.worker, func(m *emulator.Worker) {
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

// finish is the end of a task's work.
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

// summarize looks at what came in the window.
func (w *Tasks) summarize() {
	for _, t := range w.tasks {
		switch t.kind {
		case plainTask:
			w.result.Arrived++
			if t.started > 0 {
				w.result.Started++
				w.result.Waits = append(w.result.Waits, t.started-t.arrivedAt)
			}
			began := t.freeAtEnd
			if t.waiting {
				k := &w.pools[poolIndex(t.accelerated)]
				k.advance(w.now)
				began = k.freeFor
			}
			w.result.Avoidable = append(w.result.Avoidable, began-t.freeAtArrival)
			if t.accelerated {
				w.result.Accelerated = append(w.result.Accelerated, cmp.Or(t.started, math.Inf(1))-t.arrivedAt)
				w.result.AvoidableAccelerated = append(w.result.AvoidableAccelerated, began-t.freeAtArrival)
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
