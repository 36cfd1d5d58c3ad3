package shardrouter

import (
	"strings"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/cluster/shard/wire"
)

// localJob is a sharded job that this instance accepted.
type localJob struct {
	shard      *shardState
	id         string
	deadline   float64        // when its client gives up
	class      *balance.Class // the definition with which it was accepted
	mayHaveRun bool           // an ended attempt may have run
	inFlight   bool           // an attempt is in flight
	finished   bool           // the client has been answered or has disconnected
}

// handleArrival accepts a job for its shard, or rejects it if it can't be reported
// to the shard's owner.
func (r *Router) handleArrival(now float64, sh *shardState, e balance.JobArrived) {
	if r.localJobs[e.ID] != nil {
		return
	}
	sh.Lock()
	defer sh.Unlock()
	if r.accept(now, sh, e) {
		return
	}
	r.counters.add(countRejectedOnArrival, 1)
	r.actions = append(r.actions, balance.Reject{ID: e.ID, RetryAfter: r.settings.retryAfter(r.RetryAfter)})
}

// accept adds a job to its shard's log, and reports whether it could.
func (r *Router) accept(now float64, sh *shardState, e balance.JobArrived) bool {
	class := e.Accepted
	if class == nil {
		class = r.settings.acceptedClass(e.Class, e.Timeout)
	}
	if !validNames(e, class) || r.shuttingDown || sh.origin.ownerUnresponsive || r.withoutLease() {
		return false
	}
	err := sh.jobLog.Add(now, shard.JobRecord{
		ID:         e.ID,
		Class:      e.Class,
		Tenant:     e.Tenant,
		Timeout:    e.Timeout,
		Slots:      e.Slots,
		Memory:     e.Memory,
		AtMostOnce: class.Idempotence == balance.NonIdempotent,
		Accepted:   class,
		Retry:      e.Retry,
		StartsNow:  e.StartsNow,
	})
	if err != nil {
		return false
	}
	r.localJobs[e.ID] = &localJob{
		shard:    sh,
		id:       e.ID,
		deadline: now + e.Timeout,
		class:    class,
	}
	sh.origin.localJobs++
	sh.active.Store(true)
	r.markChanged(sh)
	return true
}

// validNames reports whether a job's id, class and tenant and the names in the
// definition of its class fit in a message, and whether its id can be part of a
// job key.
func validNames(e balance.JobArrived, class *balance.Class) bool {
	longest := max(len(e.ID), len(e.Class), len(e.Tenant))
	longest = max(longest, len(class.Name), len(class.DedupScope), len(class.WorkerKind))
	return e.ID != "" && longest <= wire.MaxName && !strings.Contains(e.ID, keySeparator)
}

func (r *Router) handleDisconnect(job *localJob) {
	job.shard.Lock()
	r.endJob(job)
	job.shard.Unlock()
}

// endJob records that a job needs no further answer, both here and in the log for
// the job's owner. The lock of the job's shard is held.
func (r *Router) endJob(job *localJob) {
	_ = job.shard.jobLog.FinishJob(job.id) // an error means that the log has finished the job already
	r.finishJob(job)
	r.markChanged(job.shard)
}

func (r *Router) handleAttemptStarted(now float64, job *localJob) {
	if !r.settings.startNotifications {
		return
	}
	job.shard.Lock()
	_ = job.shard.jobLog.MarkStarted(now, job.id) // an error means that the attempt has ended already
	job.shard.Unlock()
	r.markChanged(job.shard)
}

// mayHaveRun reports whether an attempt with the given outcome may have run.
func (s *settings) mayHaveRun(outcome balance.Outcome) bool {
	switch outcome {
	case balance.Unreachable, balance.NotSent, balance.Blocked:
		return false
	case balance.Overloaded:
		return s.overloadedMayHaveRun
	}
	return true
}

// handleAttemptDone records the end of an attempt.
func (r *Router) handleAttemptDone(now float64, job *localJob, e balance.AttemptDone) {
	mayHaveRun := r.settings.mayHaveRun(e.Outcome)
	answered := e.JobFinished || e.Outcome == balance.Served
	sh := job.shard
	sh.Lock()
	defer sh.Unlock()
	_ = sh.jobLog.FinishAttempt(now, e.ID, shard.AttemptResult{ // an error means that the attempt has ended already
		Outcome:    e.Outcome,
		MayHaveRun: mayHaveRun,
		Answered:   answered || job.finished,
		Report:     e.Report,
	})
	job.inFlight = false
	job.mayHaveRun = job.mayHaveRun || mayHaveRun
	r.markChanged(sh)
	switch {
	case job.finished:
		delete(r.localJobs, job.id)
	case answered:
		r.finishJob(job)
	case r.noFurtherAttempt(now, job, e.Outcome):
		r.answerLocally(job)
	}
}

// noFurtherAttempt reports whether a job can't wait for another grant of its
// owner, so that this instance has to answer it.
func (r *Router) noFurtherAttempt(now float64, job *localJob, outcome balance.Outcome) bool {
	origin := &job.shard.origin
	if origin.ownerUnresponsive || r.shuttingDown || r.withoutLease() {
		return true
	}
	return origin.ownerName != r.Name && outcome == balance.TimedOut && now >= job.deadline
}

// finishJob records that a job needs no further answer, and drops it if no attempt
// is in flight. The lock of the job's shard is held.
func (r *Router) finishJob(job *localJob) {
	if !job.finished {
		job.finished = true
		job.shard.origin.localJobs--
	}
	if !job.inFlight {
		delete(r.localJobs, job.id)
	}
}

// answerLocally answers a job without a grant of its owner: it rejects the job if
// a retry is safe, otherwise it fails the job. The lock of the job's shard is held.
func (r *Router) answerLocally(job *localJob) {
	if (job.mayHaveRun || job.inFlight) && !job.class.RetryIsHarmless() {
		r.actions = append(r.actions, balance.Fail{ID: job.id})
	} else {
		r.actions = append(r.actions, balance.Reject{ID: job.id, RetryAfter: r.settings.retryAfter(r.RetryAfter)})
	}
	r.counters.add(countAnsweredLocally, 1)
	r.endJob(job)
}

// answerOverdueJobs answers jobs that have no attempt in flight and whose owner
// does not respond: all jobs of an owner that has exceeded OwnerTimeout, otherwise
// those close to their deadline. With all set, which is the case without a lease,
// it answers the jobs of every owner. Without it, it scans the jobs at most once per
// TickInterval.
func (r *Router) answerOverdueJobs(now float64, all bool) {
	if !all && now < r.lastScan+r.Timing.TickInterval {
		return
	}
	r.lastScan = now
	for _, job := range r.localJobs {
		if job.inFlight || job.finished {
			continue
		}
		job.shard.Lock()
		if all || job.isOverdue(now) {
			r.answerLocally(job)
		}
		job.shard.Unlock()
	}
}

// isOverdue reports whether a job can't wait for its owner any longer: the owner is
// unresponsive, or has not responded yet and the deadline is near.
func (j *localJob) isOverdue(now float64) bool {
	origin := &j.shard.origin
	return origin.ownerUnresponsive || origin.unansweredSince > 0 && now >= j.deadline-answerMarginSeconds
}
