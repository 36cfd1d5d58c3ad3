package deferred

import "slices"

// minChildrenCompaction is the number of ended children above which a parent's list may be compacted.
const minChildrenCompaction = 16

// releaseIfReady moves a deferred job to the due queue if it has become eligible.
func (s *Store) releaseIfReady(e *entry) {
	if e.state == deferred && e.pending == 0 && !e.beforeStart {
		s.stats.Released++
		s.enqueueDue(e)
	}
}

// enqueueDue appends a deferred job to the queue that Drain returns jobs from.
func (s *Store) enqueueDue(e *entry) {
	s.stopTimers(e)
	e.state = due
	s.dueQueue = append(s.dueQueue, e)
	s.release(e)
}

// release subtracts a job that is no longer deferred from the counts that are limited, and unlinks it from its
// parents.
func (s *Store) release(e *entry) {
	s.stats.Waiting--
	s.stats.Bytes -= e.job.Size
	for _, parent := range e.parents {
		if parent.state != ended {
			s.unlinkChild(parent)
		}
	}
	e.parents = nil
	e.job = Job{}
}

// unlinkChild records that one of a parent's children is no longer deferred. An unknown parent without deferred
// children is removed.
func (s *Store) unlinkChild(parent *entry) {
	parent.endedChildren++
	if parent.endedChildren > minChildrenCompaction && parent.endedChildren*2 > len(parent.children) {
		parent.children = slices.DeleteFunc(parent.children, func(c *entry) bool { return c.state != deferred })
		parent.endedChildren = 0
	}
	if parent.state == unknownParent && parent.endedChildren == len(parent.children) {
		s.stopTimer(parent, startTimer) // no job depends on it any more
		s.stats.UnknownParents--
		delete(s.byID, parent.id)
	}
}

// Drain returns at most limit jobs that leave the store, in the order in which they became due. The others
// remain for the next call, so that one parent with thousands of children doesn't delay other work.
func (s *Store) Drain(limit int) (list []Due) {
	for s.dueHead < len(s.dueQueue) && len(list) < limit {
		e := s.dueQueue[s.dueHead]
		s.dueQueue[s.dueHead] = nil
		s.dueHead++
		if e.state != due && e.cause == nil { // the client has disconnected since
			continue
		}
		list = append(list, Due{ID: e.id, Cause: e.cause, Expired: e.expired})
		if e.cause == nil {
			e.state = active
		}
		e.cause = nil
	}
	s.dueQueue, s.dueHead = compactQueue(s.dueQueue, s.dueHead)
	return list
}

// compactQueue drops the removed entries before head if they make up more than half of the array.
func compactQueue(queue []*entry, head int) ([]*entry, int) {
	if head == len(queue) {
		return queue[:0], 0
	}
	if head > minQueueCompaction && head*2 > len(queue) {
		return append(queue[:0], queue[head:]...), 0
	}
	return queue, head
}

// Pending returns the number of queued entries that Drain has not processed yet.
func (s *Store) Pending() int { return len(s.dueQueue) - s.dueHead }

// End records the outcome of a job that is deferred, due, or active (tracked or handed over); other ids are
// ignored. If the job was served, jobs that depend on no other become eligible; otherwise all jobs that depend
// on it end.
func (s *Store) End(now float64, id string, outcome Outcome) {
	e := s.byID[id]
	if e == nil || e.state == ended || e.state == unknownParent {
		return
	}
	if e.state == deferred {
		s.endDeferred(e)
	}
	s.end(now, e, outcome)
}

// endDeferred ends a deferred job. It sets the state before it calls release, which compacts the lists of
// children by their state.
func (s *Store) endDeferred(e *entry) {
	s.stopTimers(e)
	e.state = ended
	s.release(e)
}

// end retains the outcome of a job and applies it to the jobs that depend on it.
func (s *Store) end(now float64, e *entry, outcome Outcome) {
	s.retain(now, e, outcome)
	if outcome != Served {
		s.cascade(now, e, &Cause{Parent: e.id, Outcome: outcome})
		return
	}
	for _, child := range e.children {
		if child.state == deferred {
			child.pending--
			s.releaseIfReady(child)
		}
	}
	e.children = nil
}

// cascade ends all jobs that depend directly or indirectly on a job that was not served. They are Refused if
// the cause is retryable, otherwise Failed.
func (s *Store) cascade(now float64, e *entry, cause *Cause) {
	outcome := Failed
	if cause.Retryable() {
		outcome = Refused
	}
	work := []*entry{e}
	for len(work) > 0 {
		parent := work[len(work)-1]
		work = work[:len(work)-1]
		for _, child := range parent.children {
			if child.state != deferred {
				continue
			}
			s.endDeferred(child)
			child.cause = cause
			s.stats.Cascaded++
			s.dueQueue = append(s.dueQueue, child)
			s.retain(now, child, outcome)
			work = append(work, child)
		}
		parent.children = nil
	}
}

// retain marks a job as ended and keeps its outcome.
func (s *Store) retain(now float64, e *entry, outcome Outcome) {
	e.state = ended
	e.outcome = outcome
	e.stateSince = now
	s.ended = append(s.ended, e)
	s.endedCount++
	s.expireOutcomes(now)
}

// expireOutcomes drops outcomes that are older than Retention, and the oldest ones above RetainedOutcomes.
func (s *Store) expireOutcomes(now float64) {
	for s.endedHead < len(s.ended) && s.oldestOutcomeExpired(now) {
		e := s.ended[s.endedHead]
		s.ended[s.endedHead] = nil
		s.endedHead++
		s.endedCount--
		if s.byID[e.id] == e {
			delete(s.byID, e.id)
		}
	}
	if s.endedHead > minQueueCompaction && s.endedHead*2 > len(s.ended) {
		s.ended = append(s.ended[:0], s.ended[s.endedHead:]...)
		s.endedHead = 0
	}
}

func (s *Store) oldestOutcomeExpired(now float64) bool {
	return s.endedCount > s.RetainedOutcomes || s.ended[s.endedHead].stateSince < now-s.Retention
}
