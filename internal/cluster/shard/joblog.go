package shard

import (
	"maps"
	"slices"

	"example.org/bellstream/balance"
)

// JobLog is an origin's record of its jobs in one shard. Only the JobLog decides
// whether a grant is executed, so that two instances that both act as owner cannot
// make a job run twice. It sends all its jobs to the owner of the newest epoch.
type JobLog struct {
	shard          int
	origin         string
	epoch          uint64
	revokedThrough uint64 // grants of the epoch up to this number are revoked
	lastOrder      uint64 // Order of the job accepted last
	jobs           map[string]*loggedJob

	// The records of updates are numbered; each number belongs to one job id. A
	// record is sent in its current state, so a number that is resent may carry a
	// later state, but never an earlier one.
	// FindWorker returns a worker's entry in the origin's endpoint list. Accept calls it. Nil: no worker is known.
	FindWorker func(id string) (balance.WorkerInfo, bool)

	unsent              []string // ids of jobs changed since they were last sent, each once
	unacknowledged      []string // ids sent under the numbers from firstUnacknowledged on
	firstUnacknowledged uint64
	snapshotSize        uint64
	announced           bool // the first update of the epoch was made
	acknowledged        bool // an Ack of the epoch was received
}

type loggedJob struct {
	JobRecord
	asOf       float64               // time to which the record's times refer
	workers    []*balance.WorkerInfo // of its attempts, as they were when these began; nil entry: not known
	queued     bool                  // its id is in unsent
	lastNumber uint64                // number under which it was last sent
}

// NewJobLog returns an empty log for a shard. origin is the incarnation of the
// instance.
func NewJobLog(shard int, origin string) *JobLog {
	return &JobLog{
		shard:               shard,
		origin:              origin,
		jobs:                map[string]*loggedJob{},
		firstUnacknowledged: 1,
	}
}

// Epoch returns the highest epoch known; 0: none is known.
func (l *JobLog) Epoch() uint64 { return l.epoch }

// OpenJobs returns the number of jobs that are not answered yet.
func (l *JobLog) OpenJobs() int {
	open := 0
	for _, j := range l.jobs {
		if !j.Finished {
			open++
		}
	}
	return open
}

// ObserveEpoch records that the shard has reached an epoch, as learned from the
// agreed map or from a message of the owner, and reports whether the epoch is new.
// In a new epoch all open jobs are sent again, numbered from 1.
func (l *JobLog) ObserveEpoch(epoch uint64) bool {
	if epoch <= l.epoch {
		return false
	}
	l.epoch = epoch
	l.revokedThrough = 0
	l.unacknowledged = nil
	l.firstUnacknowledged = 1
	l.announced = false
	l.acknowledged = false
	// Finished jobs are not part of the snapshot: the owner removes jobs that the
	// snapshot does not contain.
	maps.DeleteFunc(l.jobs, func(_ string, j *loggedJob) bool { return j.Finished })
	l.unsent = slices.Sorted(maps.Keys(l.jobs))
	for _, j := range l.jobs {
		j.queued = true
		j.lastNumber = 0
	}
	l.snapshotSize = uint64(len(l.unsent))
	return true
}

// Add accepts a job whose times are relative to now. It returns a
// DuplicateJobError if the id is in the log, answered or not.
func (l *JobLog) Add(now float64, record JobRecord) error {
	if l.jobs[record.ID] != nil {
		return DuplicateJobError{l.shard, record.ID}
	}
	l.lastOrder++
	record.Origin = l.origin
	record.Order = l.lastOrder
	record.Admitted = false
	record.Granted = false
	record.Finished = false
	record.Attempts = nil
	j := &loggedJob{JobRecord: record, asOf: now}
	l.jobs[record.ID] = j
	l.markChanged(j)
	return nil
}

// Tighten restricts the retries of all open jobs to those that a change of the agreed rules allows, and reports the
// restricted definitions to the owner. The result is whether there are any.
func (l *JobLog) Tighten(t *balance.Tightening) (changed bool) {
	for _, j := range l.jobs {
		if !j.Finished && j.tighten(t) {
			l.markChanged(j)
			changed = true
		}
	}
	return changed
}

func (l *JobLog) markChanged(j *loggedJob) {
	if !j.queued {
		j.queued = true
		l.unsent = append(l.unsent, j.ID)
	}
}

// advanceTo makes the job's times relative to now.
func (j *loggedJob) advanceTo(now float64) {
	j.JobRecord = j.advancedBy(now - j.asOf)
	j.asOf = now
}

// Accept decides whether this origin executes a grant now. If it returns nil, the
// grant is recorded as executed and the caller has to execute it. If it returns an
// error, the caller has to send the owner the result of Decline.
func (l *JobLog) Accept(now float64, g Grant) error {
	if g.Epoch < l.epoch {
		return StaleEpochError{l.shard, g.Epoch, l.epoch}
	}
	l.ObserveEpoch(g.Epoch)
	j := l.jobs[g.ID]
	switch {
	case g.Number <= l.revokedThrough:
		return GrantRevokedError{l.shard, g.Number}
	case j == nil:
		return NotFoundError{l.shard, g.ID}
	case j.Finished:
		return JobFinishedError{l.shard, g.ID}
	case g.Kind == Cancel:
		return l.checkCancel(j, g)
	}
	if err := l.checkGrant(now, j, g); err != nil {
		return err
	}
	j.advanceTo(now)
	if g.Kind == Send {
		j.beginAttempt(g.Worker)
		j.workers = append(slices.Clip(j.workers), l.workerInfo(g.Worker))
	} else {
		j.Finished = true
	}
	l.markChanged(j)
	return nil
}

func (l *JobLog) checkCancel(j *loggedJob, g Grant) error {
	begun := len(j.Attempts)
	if !j.InFlight() || g.Attempt != begun-1 {
		return StaleAttemptError{l.shard, g.ID, g.Attempt, begun}
	}
	return nil
}

func (l *JobLog) checkGrant(now float64, j *loggedJob, g Grant) error {
	begun := len(j.Attempts)
	switch {
	case j.InFlight() && g.Kind != Fail:
		return AttemptInFlightError{l.shard, g.ID}
	case g.Attempt != begun || begun >= MaxAttempts:
		return StaleAttemptError{l.shard, g.ID, g.Attempt, begun}
	case g.Kind != Fail && j.MayHaveRun():
		return l.checkRepeat(now, j, g)
	}
	return nil
}

// checkRepeat decides whether a job that may have run may be sent again, or its client be told to send it again, by the
// class with which this origin accepted the job: the owner may know another definition.
func (l *JobLog) checkRepeat(now float64, j *loggedJob, g Grant) error {
	first := slices.IndexFunc(j.Attempts, func(a Attempt) bool { return a.MayHaveRun })
	elapsed := j.Attempts[first].Elapsed + now - j.asOf
	switch {
	case j.AtMostOnce, g.Kind == Send && j.isKeyed() && !j.Accepted.DeduplicatesAfter(elapsed):
		return MayHaveRunError{l.shard, g.ID}
	case !j.isKeyed():
		return nil
	case g.Kind == Reject && !j.Accepted.RetryIsHarmless():
		return MayHaveRunError{l.shard, g.ID}
	case g.Kind == Send && !l.isInScope(j, first, g.Worker):
		return OutsideDedupScopeError{l.shard, g.ID, g.Worker}
	}
	return nil
}

func (j *loggedJob) isKeyed() bool {
	return j.Accepted != nil && j.Accepted.Idempotence == balance.IdempotentWithKey
}

// isInScope reports whether a worker recognises the duplicates of what the worker of an attempt has received.
func (l *JobLog) isInScope(j *loggedJob, attempt int, worker string) bool {
	if j.Accepted.DedupScope == balance.ScopeAll {
		return true
	}
	former := j.workers[attempt]
	next := l.workerInfo(worker)
	return former != nil && next != nil && j.Accepted.DedupScope.Contains(former, next)
}

// workerInfo returns the entry of a worker in the endpoint list, or nil.
func (l *JobLog) workerInfo(id string) *balance.WorkerInfo {
	if l.FindWorker == nil {
		return nil
	}
	info, ok := l.FindWorker(id)
	if !ok {
		return nil
	}
	return &info
}

func (j *loggedJob) beginAttempt(worker string) {
	begun := len(j.Attempts)
	j.Attempts = append(slices.Clone(j.Attempts), Attempt{Worker: worker})
	if begun > 0 {
		j.Attempts[begun-1].Report = nil // the owner has already used it for its decision
	}
}

// lastAttempt returns the newest attempt for writing. It clones the slice first,
// because copies of the record share the old one.
func (j *loggedJob) lastAttempt() *Attempt {
	j.Attempts = slices.Clone(j.Attempts)
	return &j.Attempts[len(j.Attempts)-1]
}

// MarkStarted records that the worker of the attempt in flight has started the job.
// It returns a NotFoundError if the job has no attempt in flight.
func (l *JobLog) MarkStarted(now float64, id string) error {
	j := l.jobs[id]
	if j == nil || !j.InFlight() {
		return NotFoundError{l.shard, id}
	}
	j.advanceTo(now)
	j.lastAttempt().Started = true
	l.markChanged(j)
	return nil
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Outcome    balance.Outcome
	MayHaveRun bool
	Answered   bool      // the attempt answered the job
	Report     []float64 // load report sent with the result, if any; ignored if longer than MaxReportValues
}

// FinishAttempt records the end of the attempt in flight. It returns a
// NotFoundError if the job has no attempt in flight.
func (l *JobLog) FinishAttempt(now float64, id string, result AttemptResult) error {
	j := l.jobs[id]
	if j == nil || !j.InFlight() {
		return NotFoundError{l.shard, id}
	}
	j.advanceTo(now)
	a := j.lastAttempt()
	a.Outcome = result.Outcome
	a.MayHaveRun = result.MayHaveRun
	if len(result.Report) <= MaxReportValues {
		a.Report = slices.Clone(result.Report)
	}
	j.Finished = j.Finished || result.Answered
	l.markChanged(j)
	return nil
}

// FinishJob records that the job needs no answer any more: the client has
// disconnected, or the origin has answered without an attempt, as at the deadline.
// It returns a NotFoundError if the job is not in the log or already finished.
func (l *JobLog) FinishJob(id string) error {
	j := l.jobs[id]
	if j == nil || j.Finished {
		return NotFoundError{l.shard, id}
	}
	j.Finished = true
	l.markChanged(j)
	return nil
}

// Revoke ensures that no grant of the epoch with a number up to r.Through is
// executed from now on. The caller sends the result, like that of Decline, after
// all updates, because the owner drops it while it lacks any of them. Revoke
// returns a StaleEpochError for a past epoch.
func (l *JobLog) Revoke(r Revoke) (Decline, error) {
	if r.Epoch < l.epoch {
		return Decline{}, StaleEpochError{l.shard, r.Epoch, l.epoch}
	}
	l.ObserveEpoch(r.Epoch)
	l.revokedThrough = max(l.revokedThrough, r.Through)
	return l.decline(l.epoch, r.Through, ""), nil
}

// Decline returns the message to send to the owner for a grant that Accept
// rejected. It returns false for a grant of a past epoch, whose update numbers are
// no longer valid: the updates to the owner of the current epoch settle such a
// grant.
func (l *JobLog) Decline(g Grant) (Decline, bool) {
	return l.decline(g.Epoch, g.Number, g.ID), g.Epoch == l.epoch
}

func (l *JobLog) decline(epoch, number uint64, id string) Decline {
	return Decline{
		Shard:      l.shard,
		Epoch:      epoch,
		Origin:     l.origin,
		Number:     number,
		ID:         id,
		LastUpdate: l.lastUpdate(),
	}
}

// lastUpdate returns the number under which the last change known now was or will be sent.
func (l *JobLog) lastUpdate() uint64 {
	return l.firstUnacknowledged + uint64(len(l.unacknowledged)+len(l.unsent)) - 1
}

// NextUpdate returns an update with at most MaxChunkRecords changed records that
// were not sent yet. The first update of an epoch may be empty. NextUpdate returns
// false if there is nothing to send, no epoch is known, or MaxUnacknowledged
// records await their acknowledgement.
func (l *JobLog) NextUpdate(now float64) (JobUpdate, bool) {
	n := min(MaxChunkRecords, len(l.unsent), MaxUnacknowledged-len(l.unacknowledged))
	if l.epoch == 0 || n == 0 && l.announced {
		return JobUpdate{}, false
	}
	first := l.firstUnacknowledged + uint64(len(l.unacknowledged))
	for i, id := range l.unsent[:n] {
		j := l.jobs[id]
		j.queued = false
		j.lastNumber = first + uint64(i)
	}
	l.unacknowledged = append(l.unacknowledged, l.unsent[:n]...)
	l.unsent = l.unsent[n:]
	l.announced = true
	return l.update(now, first, l.unacknowledged[len(l.unacknowledged)-n:]), true
}

// Resend returns an update with the oldest unacknowledged records, at most
// MaxChunkRecords, for a caller that has received no Ack in time. It returns false
// if all that was sent is acknowledged.
func (l *JobLog) Resend(now float64) (JobUpdate, bool) {
	if !l.announced || l.acknowledged && len(l.unacknowledged) == 0 {
		return JobUpdate{}, false
	}
	n := min(MaxChunkRecords, len(l.unacknowledged))
	return l.update(now, l.firstUnacknowledged, l.unacknowledged[:n]), true
}

func (l *JobLog) update(now float64, first uint64, ids []string) JobUpdate {
	records := make([]JobRecord, len(ids))
	for i, id := range ids {
		j := l.jobs[id]
		records[i] = j.advancedBy(now - j.asOf)
	}
	return JobUpdate{
		Shard:        l.shard,
		Epoch:        l.epoch,
		Origin:       l.origin,
		First:        first,
		SnapshotSize: l.snapshotSize,
		Records:      records,
	}
}

// Acknowledge records which updates the owner has received. An Ack of a higher
// epoch also makes that epoch known.
func (l *JobLog) Acknowledge(a Ack) {
	l.ObserveEpoch(a.Epoch)
	end := l.firstUnacknowledged + uint64(len(l.unacknowledged))
	if a.Epoch < l.epoch || a.Next < l.firstUnacknowledged || a.Next > end || !l.announced {
		return
	}
	l.acknowledged = true
	n := int(a.Next - l.firstUnacknowledged)
	for _, id := range l.unacknowledged[:n] {
		j := l.jobs[id]
		if j == nil {
			continue // finished and already deleted: this Ack covers two numbers of the job
		}
		j.Admitted = true
		if j.Finished && !j.queued && j.lastNumber < a.Next {
			delete(l.jobs, id)
		}
	}
	l.unacknowledged = l.unacknowledged[n:]
	l.firstUnacknowledged = a.Next
	if len(l.unacknowledged) == 0 {
		l.unacknowledged = nil
	}
}

// Synced reports whether the owner has acknowledged the current state of all jobs.
func (l *JobLog) Synced() bool {
	return l.acknowledged && len(l.unacknowledged) == 0 && len(l.unsent) == 0
}
