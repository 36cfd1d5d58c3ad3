package deferred

import (
	"container/heap"
	"errors"
)

// Stats are the counters that operators see.
type Stats struct {
	Waiting        int    `json:"waiting"`
	Bytes          int64  `json:"bytes"`
	UnknownParents int    `json:"strangers"`
	Ended          int    `json:"ended"` // retained outcomes
	Released       uint64 `json:"released_total"`
	Cascaded       uint64 `json:"cascaded_total"` // ended because a parent was not served
	Expired        uint64 `json:"over_total"`     // handed over before they were eligible
	Refused        uint64 `json:"refused_total"`  // rejected on arrival because a limit was reached
	Invalid        uint64 `json:"bad_total"`      // rejected on arrival because of an invalid field
}

// Store keeps deferred jobs and the outcomes that they may depend on.
type Store struct {
	Limits
	byID       map[string]*entry
	timers     timers
	dueQueue   []*entry // valid from dueHead on, oldest first
	dueHead    int
	ended      []*entry // valid from endedHead on, oldest first
	endedHead  int
	visits     uint64 // number of searches so far
	stats      Stats
	endedCount int // entries in ended, from endedHead on
}

// minQueueCompaction is the number of removed entries above which a queue's array may be compacted.
const minQueueCompaction = 1024

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{Limits: limits, byID: map[string]*entry{}}
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.stats.Ended = s.endedCount
	return s.stats
}

// IsDeferred reports whether a job is deferred, or due but not yet returned by Drain.
func (s *Store) IsDeferred(id string) bool {
	e := s.byID[id]
	return e != nil && (e.state == deferred || e.state == due)
}

// Track records the arrival of a job that is eligible, so that other jobs can depend on it.
func (s *Store) Track(now float64, id string) {
	s.expireOutcomes(now)
	e := s.byID[id]
	switch {
	case e == nil:
		e = s.insert(id)
	case e.state == unknownParent:
		s.stopTimer(e, startTimer)
		s.stats.UnknownParents--
	case e.state == ended: // the id is used again for a new job
		e = s.insert(id)
	default:
		return // the caller rejects repeated ids before
	}
	e.state = active
}

func (s *Store) insert(id string) *entry {
	e := &entry{id: id, timerIndex: [timerKinds]int{noTimer, noTimer}}
	s.byID[id] = e
	return e
}

// Add stores a job that may have to wait. If the job is eligible at once, Add tracks it and returns true. An
// error is an *InvalidDependencyError, *LimitError or *ParentFailedError; the job is not stored then.
func (s *Store) Add(now float64, job Job) (eligible bool, err error) {
	s.expireOutcomes(now)
	if err := s.check(now, &job); err != nil {
		s.countError(err)
		return false, err
	}
	pending := s.pendingParents(job.DependsOn)
	beforeStart := job.NotBefore > now
	if pending == 0 && !beforeStart {
		s.Track(now, job.ID)
		return true, nil
	}
	e := s.entryOf(job.ID)
	e.state = deferred
	e.job = job
	e.pending = pending
	e.beforeStart = beforeStart
	for _, id := range job.DependsOn {
		s.addParent(now, e, id)
	}
	s.updateDepths(e)
	if beforeStart {
		s.startTimer(e, startTimer, job.NotBefore)
	}
	s.startTimer(e, deadlineTimer, job.Deadline)
	s.stats.Waiting++
	s.stats.Bytes += job.Size
	return false, nil
}

func (s *Store) countError(err error) {
	var invalid *InvalidDependencyError
	var limit *LimitError
	switch {
	case errors.As(err, &invalid):
		s.stats.Invalid++
	case errors.As(err, &limit):
		s.stats.Refused++
	}
}

// pendingParents returns how many of the jobs with these ids have not ended.
func (s *Store) pendingParents(ids []string) (pending int) {
	for _, id := range ids {
		if parent := s.byID[id]; parent == nil || parent.state != ended {
			pending++
		}
	}
	return pending
}

// entryOf returns the entry for an arriving job: that of the unknown parent with its id, or else a new one.
func (s *Store) entryOf(id string) *entry {
	e := s.byID[id]
	if e == nil || e.state != unknownParent {
		return s.insert(id)
	}
	s.stopTimer(e, startTimer)
	s.stats.UnknownParents--
	return e
}

// addParent links a job to the parent with an id, unless that has ended. If no such job has arrived, it adds an
// unknown parent.
func (s *Store) addParent(now float64, e *entry, id string) {
	parent := s.byID[id]
	if parent != nil && parent.state == ended {
		return
	}
	if parent == nil {
		parent = s.insert(id)
		parent.state = unknownParent
		parent.stateSince = now
		s.startTimer(parent, startTimer, now+s.UnknownParentGrace)
		s.stats.UnknownParents++
	}
	parent.children = append(parent.children, e)
	e.parents = append(e.parents, parent)
}

// Tick fires the timers that are due by now, and drops expired outcomes.
func (s *Store) Tick(now float64) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		fired := heap.Pop(&s.timers).(timer)
		switch {
		case fired.entry.state == unknownParent:
			s.stats.UnknownParents--
			s.end(now, fired.entry, Unknown)
		case fired.kind == deadlineTimer:
			fired.entry.expired = true
			s.stats.Expired++
			s.enqueueDue(fired.entry)
		default:
			fired.entry.beforeStart = false
			s.releaseIfReady(fired.entry)
		}
	}
	s.expireOutcomes(now)
}

// Next returns when Tick has to be called next, or false if there is no timer.
func (s *Store) Next() (at float64, ok bool) {
	if len(s.timers) == 0 {
		return 0, false
	}
	return s.timers[0].at, true
}

// ExpireAll hands over all deferred jobs, ordered by their earliest timer, as if their deadlines had passed. It
// is for a program that stops: the scheduler then answers the jobs.
func (s *Store) ExpireAll() {
	for _, e := range s.byID {
		if e.state == deferred {
			e.expired = true
		}
	}
	for len(s.timers) > 0 {
		fired := heap.Pop(&s.timers).(timer)
		if fired.entry.state == deferred {
			s.stats.Expired++
			s.enqueueDue(fired.entry)
		}
	}
}
