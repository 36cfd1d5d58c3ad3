package emulator

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// modelState is the state of a job in the model.
type modelState string

const (
	modelQueued    modelState = "queued"
	modelRunning   modelState = "running"
	modelSuspended modelState = "suspended"
	modelEnded     modelState = "ended"
)

// modelJob is the state of an accepted job according to its events.
type modelJob struct {
	Job
	state     modelState
	resumedAt float64
	worked    float64
}

func (j *modelJob) size() float64 { return max(j.Slots, 1) }

// workerModel checks the events of a worker against the jobs that it accepted.
type workerModel struct {
	*rapid.T
	settings Settings
	worker   *Worker
	jobs     map[string]*modelJob
	now      float64
	slots    float64
	memory   float64
}

// For random submissions, cancellations, drains and restarts, each accepted job ends
// exactly once, the running jobs never use more slots or memory than the worker has, and
// no job is done before its work.
func TestWorkerAgainstRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Slots:            4,
			MaxQueue:         rapid.IntRange(0, 6).Draw(t, "queue"),
			Speed:            rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "speed"),
			Preempts:         rapid.Bool().Draw(t, "preempts"),
			Memory:           rapid.SampledFrom([]float64{0, 3}).Draw(t, "memory"),
			SlowStartFloor:   0.3,
			SlowStartSeconds: 5,
		}
		m := &workerModel{
			T:        t,
			settings: settings,
			worker:   New(settings, &Zone{Window: 3}),
			jobs:     map[string]*modelJob{},
			now:      10,
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += rapid.Float64Range(0, 1).Draw(t, "elapsed")
			m.apply(m.worker.Advance(m.now))
			m.step(i)
			m.apply(m.worker.Advance(m.now))
			m.checkUsage()
		}
		m.finish()
	})
}

// step cancels or submits a job, or drains or restarts the worker, at random.
func (m *workerModel) step(i int) {
	switch rapid.IntRange(0, 9).Draw(m.T, "step") {
	case 8:
		m.cancel(fmt.Sprint(i - 3))
	case 9:
		m.interrupt()
	default:
		m.submit(fmt.Sprint(i))
	}
}

func (m *workerModel) cancel(id string) {
	job := m.jobs[id]
	if job == nil || job.state == modelEnded {
		return
	}
	m.worker.Cancel(m.now, id)
	if job.state == modelRunning {
		m.slots -= job.size()
	}
	if job.state != modelQueued {
		m.memory -= job.Memory
	}
	job.state = modelEnded
}

func (m *workerModel) interrupt() {
	if rapid.Bool().Draw(m.T, "drains") {
		m.apply(m.worker.Drain(m.now))
		return
	}
	m.apply(m.worker.Restart(m.now))
	m.slots = 0
	m.memory = 0
}

func (m *workerModel) submit(id string) {
	job := &modelJob{
		Job: Job{
			ID:       id,
			Slots:    float64(rapid.IntRange(0, 5).Draw(m.T, "slots")),
			Memory:   float64(rapid.IntRange(0, 2).Draw(m.T, "memory")),
			Work:     rapid.Float64Range(0.01, 3).Draw(m.T, "work"),
			Priority: rapid.IntRange(0, 2).Draw(m.T, "priority"),
		},
		state: modelQueued,
	}
	admission := m.worker.Submit(m.now, job.Job)
	if admission == Accepted {
		m.jobs[id] = job
		return
	}
	if admission == Draining != m.worker.draining {
		m.Fatalf("got admission %v while draining is %v", admission, m.worker.draining)
	}
}

// apply updates the model by events, whose times must not decrease.
func (m *workerModel) apply(events []Event) {
	last := 0.0
	for _, e := range events {
		job := m.jobs[e.ID]
		if job == nil || job.state == modelEnded || e.At < last || e.At > m.now+1e-9 {
			m.Fatalf("got unexpected event %+v for job %+v, previous event at %v", e, job, last)
		}
		last = e.At
		m.applyEvent(e, job)
		if m.slots > 4+1e-9 || m.settings.Memory > 0 && m.memory > m.settings.Memory+1e-9 {
			m.Fatalf("got %v slots and %v memory in use, more than the worker has", m.slots, m.memory)
		}
	}
}

func (m *workerModel) applyEvent(e Event, job *modelJob) {
	switch e.Kind {
	case Started, Resumed:
		m.applyStart(e, job)
	case Suspended:
		job.state = modelSuspended
		job.worked += e.At - job.resumedAt
		m.slots -= job.size()
	case Done:
		worked := job.worked + e.At - job.resumedAt
		want := job.Work / m.settings.Speed
		if job.state != modelRunning || math.Abs(worked-want) > 1e-6 {
			m.Fatalf("%+v: got %v s of work, want %v s", e, worked, want)
		}
		m.slots -= job.size()
		m.memory -= job.Memory
		job.state = modelEnded
	case Returned, Lost:
		if e.Kind == Returned && job.state != modelQueued {
			m.Fatalf("a draining worker returned a job that is %s", job.state)
		}
		job.state = modelEnded
	}
}

func (m *workerModel) applyStart(e Event, job *modelJob) {
	startsQueued := (e.Kind == Started) == (job.state == modelQueued)
	resumesSuspended := (e.Kind == Resumed) == (job.state == modelSuspended)
	if !startsQueued || !resumesSuspended {
		m.Fatalf("got %+v for a job that is %s", e, job.state)
	}
	if e.Kind == Started {
		m.memory += job.Memory
	}
	job.state = modelRunning
	job.resumedAt = e.At
	m.slots += job.size()
}

// checkUsage compares the worker's slots and memory in use with those of the model.
func (m *workerModel) checkUsage() {
	w := m.worker
	if len(w.queue) > m.settings.MaxQueue+len(m.jobs) {
		m.Fatalf("got %d queued tasks, more than the queue may hold", len(w.queue))
	}
	if math.Abs(w.usedSlots-m.slots) > 1e-9 || math.Abs(w.usedMemory-m.memory) > 1e-9 {
		m.Fatalf("worker counts %v slots and %v memory in use, want %v and %v", w.usedSlots, w.usedMemory, m.slots, m.memory)
	}
}

// finish advances until the worker has no further events: every job must have ended.
func (m *workerModel) finish() {
	for n := 0; n < 10_000 && !math.IsInf(m.worker.Next(m.now), 1); n++ {
		m.now = max(m.now, m.worker.Next(m.now))
		m.apply(m.worker.Advance(m.now))
	}
	for id, job := range m.jobs {
		if job.state != modelEnded {
			m.Fatalf("job %s remains %s", id, job.state)
		}
	}
}

func TestPreemption(t *testing.T) {
	w := New(Settings{Slots: 2, MaxQueue: 9, Preempts: true}, nil)
	submit := func(now float64, id string, slots float64, priority int) []Event {
		w.Advance(now)
		if v := w.Submit(now, Job{ID: id, Slots: slots, Work: 1, Priority: priority}); v != Accepted {
			t.Fatalf("submit %s: got admission %v, want Accepted", id, v)
		}
		return w.Advance(now)
	}
	submit(0, "a", 1, 0)
	submit(0.1, "b", 1, 0)
	submit(0.2, "c", 1, 0)                                                                                                 // is queued
	if got := submit(0.5, "high", 2, 1); len(got) != 3 || got[0].ID != "b" || got[1].ID != "a" || got[2].Kind != Started { // the latest arrival is suspended first
		t.Fatalf("got unexpected events %+v", got)
	}
	got := w.Advance(1.5)
	if len(got) != 3 || got[0] != (Event{1.5, Done, "high"}) || got[1] != (Event{1.5, Resumed, "a"}) || got[2] != (Event{1.5, Resumed, "b"}) {
		t.Fatalf("got unexpected events %+v", got)
	}
	if got = w.Advance(2.0); len(got) != 2 || got[0] != (Event{2, Done, "a"}) || got[1] != (Event{2, Started, "c"}) {
		t.Fatalf("got unexpected events %+v", got)
	}
}

func TestSlowStartDrainAndDeduplication(t *testing.T) {
	z := &Zone{Window: 5}
	w := New(Settings{Slots: 4, MaxQueue: 9, SlowStartFloor: 0.25, SlowStartSeconds: 8}, z)
	other := New(Settings{Slots: 4, MaxQueue: 9}, z)
	w.Restart(0)
	for i := range 4 {
		w.Submit(0, Job{ID: fmt.Sprint(i), IdempotencyKey: "k", Work: 100})
	}
	if got := w.Advance(0); len(got) != 1 || w.Report(0).FreeSlots != 0 || w.Report(0).Queue != 3 {
		t.Fatalf("at the start: got events %+v", got)
	}
	if got := w.Advance(8); len(got) != 3 {
		t.Fatalf("after slow start: got events %+v", got)
	}
	if got := w.Drain(8); len(got) != 0 || w.Submit(8, Job{ID: "x"}) != Draining {
		t.Fatalf("drain: got events %+v", got)
	}
	other.Submit(8, Job{ID: "y", IdempotencyKey: "q", Work: 1})
	other.Advance(8)
	other.Submit(8, Job{ID: "z", Work: 100})
	other.Submit(8, Job{ID: "wide", Slots: 4, Work: 100})
	other.Advance(8)
	if got := other.Drain(8.5); len(got) != 1 || got[0].ID != "wide" || got[0].Kind != Returned {
		t.Fatalf("drain with a waiting job: got events %+v", got)
	}
	other.Advance(9)
	w.draining = false
	if w.Submit(10, Job{ID: "a", IdempotencyKey: "q"}) != AlreadyDone || w.Submit(14.1, Job{ID: "b", IdempotencyKey: "q"}) == AlreadyDone {
		t.Error("want a completed key rejected within 5 s and accepted after them")
	}
}

// Guards against a deadlock: the first job of the queue waited for memory that suspended
// jobs held, while these waited behind it in the queue, so that no job ran any more.
func TestSuspendedJobsDoNotBlockMemory(t *testing.T) {
	w := New(Settings{Slots: 4, MaxQueue: 5, Speed: 1, Preempts: true, Memory: 3}, nil)
	w.Submit(0, Job{ID: "low", Slots: 4, Memory: 2, Work: 1, Priority: 0})
	w.Advance(0)
	w.Submit(0.1, Job{ID: "high", Slots: 4, Memory: 1, Work: 1, Priority: 1})
	w.Advance(0.1) // low is suspended and keeps its memory
	w.Submit(0.2, Job{ID: "more", Slots: 4, Memory: 2, Work: 1, Priority: 2})
	var done []string
	for now := 0.2; now < 10; now += 0.1 {
		for _, e := range w.Advance(now) {
			if e.Kind == Done {
				done = append(done, e.ID)
			}
		}
	}
	if len(done) != 3 {
		t.Errorf("got %v done, want all 3 jobs", done)
	}
}
