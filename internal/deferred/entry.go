package deferred

import "container/heap"

// state is the state of an entry.
type state int

const (
	unknownParent state = iota // has not arrived, but deferred jobs depend on it
	deferred
	due    // in the queue that Drain returns jobs from
	active // handed over, or eligible on arrival
	ended
)

// entry is a job that is deferred or that others depend on.
type entry struct {
	id            string
	state         state
	outcome       Outcome
	stateSince    float64 // set for ended jobs and unknown parents
	job           Job
	pending       int // parents that have not been served
	beforeStart   bool
	depth         int
	parents       []*entry
	children      []*entry
	endedChildren int
	cause         *Cause
	expired       bool
	timerIndex    [timerKinds]int // indexes in the heap, or noTimer
	visit         uint64          // number of the last search that visited the entry
}

// timerKind is one of the timers that an entry may have.
type timerKind int

const (
	startTimer    timerKind = iota // the start time of a job, or the end of an unknown parent's grace
	deadlineTimer                  // the deadline of a job
	timerKinds
)

const noTimer = -1

type timer struct {
	at    float64
	kind  timerKind
	entry *entry
}

// timers is a heap ordered by time, which keeps the timerIndex of entries up to date. It implements
// heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, k int) bool { return t[i].at < t[k].at }

func (t timers) Swap(i, k int) {
	t[i], t[k] = t[k], t[i]
	t[i].entry.timerIndex[t[i].kind] = i
	t[k].entry.timerIndex[t[k].kind] = k
}

func (t *timers) Push(x any) {
	added := x.(timer)
	added.entry.timerIndex[added.kind] = len(*t)
	*t = append(*t, added)
}

func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	last.entry.timerIndex[last.kind] = noTimer
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (s *Store) startTimer(e *entry, kind timerKind, at float64) {
	heap.Push(&s.timers, timer{at: at, kind: kind, entry: e})
}

func (s *Store) stopTimer(e *entry, kind timerKind) {
	if e.timerIndex[kind] != noTimer {
		heap.Remove(&s.timers, e.timerIndex[kind])
	}
}

// stopTimers stops all timers of a deferred job.
func (s *Store) stopTimers(e *entry) {
	s.stopTimer(e, startTimer)
	s.stopTimer(e, deadlineTimer)
}
