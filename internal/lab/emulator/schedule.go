package emulator

import (
	"container/heap"
	"slices"
)

// startRunnable starts queued tasks in order while they fit, if necessary by
// preemption, and appends the events.
func (w *Worker) startRunnable(now float64, events []Event) []Event {
	for len(w.queue) > 0 {
		t := w.queue[0]
		if !w.fits(now, t) {
			var preempted bool
			events, preempted = w.preempt(now, t, events)
			if !preempted {
				// Suspended tasks may hold the memory that the first task needs:
				// they must end before it can start.
				t = w.firstResumable(now)
			}
		}
		if t == nil {
			return events
		}
		events = append(events, w.start(now, t))
	}
	return events
}

// start removes a task from the queue and runs it.
func (w *Worker) start(now float64, t *task) Event {
	heap.Remove(&w.queue, t.heapIndex)
	kind := Resumed
	if !t.started {
		kind = Started
		w.usedMemory += t.Memory
	}
	w.usedSlots += t.size()
	t.started = true
	t.running = true
	t.resumedAt = now
	t.endsAt = now + t.remaining
	heap.Push(&w.running, t)
	return Event{At: now, Kind: kind, ID: t.ID}
}

// firstResumable returns the first suspended task that fits, if the first task
// of the queue waits for memory. Otherwise it returns nil.
func (w *Worker) firstResumable(now float64) (first *task) {
	if w.hasMemory(w.queue[0]) {
		return nil
	}
	for _, t := range w.queue {
		if t.started && w.fits(now, t) && (first == nil || resumesBefore(t, first)) {
			first = t
		}
	}
	return first
}

func resumesBefore(a, b *task) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.arrival < b.arrival
}

// preempt suspends tasks of lower priority if that frees enough slots for t, and
// reports whether it did. It selects the lowest priority first and, within a
// priority, the latest arrival.
func (w *Worker) preempt(now float64, t *task, events []Event) ([]Event, bool) {
	if !w.Preempts || !w.hasMemory(t) {
		return events, false
	}
	victims, enough := w.victims(now, t)
	if !enough {
		return events, false
	}
	for _, victim := range victims {
		victim.remaining -= now - victim.resumedAt
		w.stop(victim)
		heap.Push(&w.queue, victim)
		events = append(events, Event{At: now, Kind: Suspended, ID: victim.ID})
	}
	return events, true
}

// victims returns the tasks to suspend for t, and whether they free enough slots.
func (w *Worker) victims(now float64, t *task) (lower []*task, enough bool) {
	for _, other := range w.running.taskQueue {
		if other.Priority < t.Priority {
			lower = append(lower, other)
		}
	}
	slices.SortFunc(lower, func(a, b *task) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return b.arrival - a.arrival
	})
	free := w.usableSlots(now) - w.usedSlots
	count := 0
	for count < len(lower) && free < t.size() {
		free += lower[count].size()
		count++
	}
	return lower[:count], free >= t.size()
}

// stop releases the slots of a running task.
func (w *Worker) stop(t *task) {
	heap.Remove(&w.running, t.heapIndex)
	t.running = false
	w.usedSlots -= t.size()
}

// remove removes a task and releases its slots and memory.
func (w *Worker) remove(t *task) {
	if t.running {
		w.stop(t)
	} else {
		heap.Remove(&w.queue, t.heapIndex)
	}
	if t.started {
		w.usedMemory -= t.Memory
	}
	delete(w.byID, t.ID)
}
