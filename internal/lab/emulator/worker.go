package emulator

import (
	"container/heap"
	"math"
	"slices"
)

// startedLongAgo is the start time of a worker that is not in slow start.
const startedLongAgo = -1

// Worker is the model of one worker. It is not safe for concurrent use.
type Worker struct {
	Settings
	Zone *Zone

	startedAt  float64
	draining   bool
	queue      taskQueue
	running    runningTasks
	byID       map[string]*task
	usedSlots  float64
	usedMemory float64
	arrivals   int
}

// New returns a worker that is not in slow start. The zone may be nil: then keys are not
// deduplicated.
func New(s Settings, z *Zone) *Worker {
	if s.Speed <= 0 {
		s.Speed = 1
	}
	return &Worker{
		Settings:  s,
		Zone:      z,
		startedAt: startedLongAgo,
		byID:      map[string]*task{},
	}
}

// usableSlots returns the number of slots that slow start allows at a time.
func (w *Worker) usableSlots(now float64) float64 {
	if w.startedAt < 0 || w.SlowStartFloor <= 0 || w.SlowStartSeconds <= 0 {
		return w.Slots
	}
	fraction := min(1, w.SlowStartFloor+(1-w.SlowStartFloor)*(now-w.startedAt)/w.SlowStartSeconds)
	return max(1, math.Floor(fraction*w.Slots))
}

// Submit offers a job to the worker. The caller must call Advance with the same
// time before Submit, and again after it to receive the resulting events.
func (w *Worker) Submit(now float64, j Job) Admission {
	t := &task{
		Job:       j,
		remaining: j.Work / w.Speed,
		arrival:   w.arrivals,
	}
	switch {
	case w.draining:
		return Draining
	case w.Zone != nil && w.Zone.completed(now, j.IdempotencyKey):
		return AlreadyDone
	case w.exceedsWorker(t):
		return QueueFull
	case len(w.queue) >= w.MaxQueue && !w.fits(now, t):
		return QueueFull
	}
	w.arrivals++
	w.byID[j.ID] = t
	heap.Push(&w.queue, t)
	return Accepted
}

// exceedsWorker reports whether a task needs more than the idle worker has.
func (w *Worker) exceedsWorker(t *task) bool {
	return t.size() > w.Slots || w.Memory > 0 && t.Memory > w.Memory
}

// fits reports whether a task could start now.
func (w *Worker) fits(now float64, t *task) bool {
	return w.usedSlots+t.size() <= w.usableSlots(now) && w.hasMemory(t)
}

// hasMemory reports whether a task's memory is available. A started task holds
// its memory until it ends, suspended or not.
func (w *Worker) hasMemory(t *task) bool {
	return w.Memory == 0 || t.started || w.usedMemory+t.Memory <= w.Memory
}

// Next returns the time at which Advance has to be called next unless another method is
// called before, or infinity if nothing is due.
func (w *Worker) Next(now float64) float64 {
	next := math.Inf(1)
	if len(w.running.taskQueue) > 0 {
		next = w.running.taskQueue[0].endsAt
	}
	warmingUp := w.usableSlots(now) < w.Slots
	if len(w.queue) > 0 && warmingUp {
		next = min(next, now+w.SlowStartSeconds/w.Slots)
	}
	return next
}

// Advance ends and starts the tasks that are due up to now, and returns the events in
// order of time.
func (w *Worker) Advance(now float64) (events []Event) {
	for len(w.running.taskQueue) > 0 && w.running.taskQueue[0].endsAt <= now {
		t := w.running.taskQueue[0]
		w.remove(t)
		if w.Zone != nil {
			w.Zone.record(t.endsAt, t.IdempotencyKey)
		}
		events = append(events, Event{At: t.endsAt, Kind: Done, ID: t.ID})
		events = w.startRunnable(t.endsAt, events)
	}
	return w.startRunnable(now, events)
}

// Cancel removes a job, for example because its client has disconnected. Unknown IDs are
// ignored.
func (w *Worker) Cancel(_ float64, id string) {
	if t := w.byID[id]; t != nil {
		w.remove(t)
	}
}

// Drain makes the worker reject new jobs and gives back the jobs that have not started, as
// Returned events. Started jobs continue.
func (w *Worker) Drain(now float64) (events []Event) {
	w.draining = true
	var started taskQueue
	slices.SortFunc(w.queue, byArrival)
	for _, t := range w.queue {
		if t.started {
			started = append(started, t)
			continue
		}
		delete(w.byID, t.ID)
		events = append(events, Event{At: now, Kind: Returned, ID: t.ID})
	}
	w.queue = started
	for i, t := range w.queue {
		t.heapIndex = i
	}
	heap.Init(&w.queue)
	return events
}

// Restart drops all jobs, as Lost events, and begins slow start.
func (w *Worker) Restart(now float64) (events []Event) {
	lost := append(slices.Clone(w.queue), w.running.taskQueue...)
	slices.SortFunc(lost, byArrival)
	for _, t := range lost {
		events = append(events, Event{At: now, Kind: Lost, ID: t.ID})
	}
	w.queue = nil
	w.running.taskQueue = nil
	w.byID = map[string]*task{}
	w.usedSlots = 0
	w.usedMemory = 0
	w.draining = false
	w.startedAt = now
	return events
}

func byArrival(a, b *task) int { return a.arrival - b.arrival }

// Report returns the worker's load.
func (w *Worker) Report(now float64) Report {
	queued := 0.0
	for _, t := range w.queue {
		queued += t.size()
	}
	report := Report{
		FreeSlots:  max(0, w.usableSlots(now)-w.usedSlots-queued),
		FreeMemory: math.Inf(1),
		Queue:      float64(len(w.queue)),
	}
	if w.Memory > 0 {
		report.FreeMemory = max(0, w.Memory-w.usedMemory)
	}
	return report
}
