package balance

import "slices"

// The endpoint list and its polling.
const (
	pollSoonSeconds                = 0.15  // longest wait for the next poll if the last was long ago
	pollPauseSeconds               = 2.8   // the same if the last failed at once
	pollSpreadPerDispatcherSeconds = 0.018 // by which many dispatchers spread their polls
	maxPollSpreadSeconds           = 1.4   // longer would be late for those that can be served at once
	queuedPollSeconds              = 1.5   // a poll that lasted longer was queued: connections are accepted sooner
	maxPollGapSeconds              = 5.9   // from one poll to the end of the next: a change binds 6 s after its listing
	endpointRetentionSeconds       = 600.0 // after which an unlisted worker is forgotten: no list is wrong for so long
	pruneIntervalSeconds           = endpointRetentionSeconds / 10
)

// endpointState is the state of the subscription to the endpoint list.
type endpointState struct {
	subscribed  bool
	nextPollAt  float64
	polledAt    float64
	failures    int // in a row
	sortedCount int // workers when they were last sorted
	updateCount int
	pruneAt     float64 // when unlisted workers are looked for again
}

// listing is what the endpoint list says of a worker.
type listing struct {
	listedState WorkerState // whatever operators say
	uncordoned  bool        // admitted again by operators, and nothing sent since
	drained     bool        // listed as draining since its last start
	lastListed  int         // the last update that named it
	removedAt   float64     // since when it is listed as removed, or not at all; 0 while it is listed
}

// updateEndpoints applies an update of the endpoint list. Nothing new is sent to a worker from the
// moment at which it is listed as draining or removed.
func (b *Balancer) updateEndpoints(e EndpointUpdate) {
	switch e.Kind {
	case EndpointsFailed, EndpointsUnsubscribed:
		b.subscriptionEnded(e.Kind)
		return
	case EndpointsCached:
		b.endpoints.subscribed = false
		// Dispatchers that start together do not poll in the same second.
		spread := min(b.viewUncertainty()*b.config.PollInterval/2, pollPauseSeconds)
		b.endpoints.nextPollAt = b.now + b.rng.Float64()*spread
	default:
		b.endpoints.subscribed = true
	}
	b.endpoints.failures = 0
	b.endpoints.updateCount++
	for _, info := range e.Workers {
		b.applyEndpoint(info)
	}
	b.sortWorkers()
	if e.Kind != EndpointsDelta || b.now >= b.endpoints.pruneAt {
		b.pruneEndpoints(e.Kind)
	}
}

func (b *Balancer) subscriptionEnded(kind EndpointUpdateKind) {
	s := &b.endpoints
	delay := PollDelay(kind, b.now-s.polledAt, s.failures, b.config.Dispatchers, b.rng.Float64())
	s.nextPollAt = b.now + delay
	s.subscribed = false
	s.failures++
	if kind == EndpointsFailed {
		b.logf("endpoint poll failed (%d in a row): next poll in %.1f s", s.failures, s.nextPollAt-b.now)
	}
}

// sortWorkers brings new workers in this dispatcher's order.
func (b *Balancer) sortWorkers() {
	if len(b.workersByID) > b.endpoints.sortedCount {
		slices.SortStableFunc(b.workers, compareRank)
	}
	b.endpoints.sortedCount = len(b.workersByID)
}

// pruneEndpoints drops the workers that a whole list does not name, and those that are unlisted for long.
func (b *Balancer) pruneEndpoints(kind EndpointUpdateKind) {
	s := &b.endpoints
	s.pruneAt = b.now + pruneIntervalSeconds
	for _, w := range slices.Clone(b.workers) {
		missing := kind != EndpointsDelta && w.lastListed < s.updateCount
		if missing || b.isRetentionExpired(w) {
			b.dropEndpoint(w)
		}
	}
}

// isRetentionExpired reports whether a worker has been unlisted for long.
func (b *Balancer) isRetentionExpired(w *worker) bool {
	return w.removedAt > 0 && b.now > w.removedAt+endpointRetentionSeconds
}

// applyEndpoint applies one entry of an update.
func (b *Balancer) applyEndpoint(info WorkerInfo) {
	w := b.workersByID[info.ID]
	if info.State == Removed {
		if w != nil {
			b.dropEndpoint(w)
		}
		return
	}
	if w == nil {
		w = b.addEndpoint(info)
	} else {
		w.update(info)
	}
	b.trackWarmUp(w)
	w.drained = w.drained || info.State != Running
	if w.drained && b.config.RemovedStayUsable {
		w.State = Draining
	}
	w.lastListed = b.endpoints.updateCount
	w.listedState = w.State
	b.applyState(w)
}

func (b *Balancer) addEndpoint(info WorkerInfo) *worker {
	w := b.newWorker(info)
	w.unverified = b.config.RemovedStayUsable && b.endpoints.updateCount > 1 && b.capacityShare(w) == 1
	b.rankWorker(w)
	b.workersByID[info.ID] = w
	b.workers = append(b.workers, w)
	return w
}

// update applies a newer entry. A later start is a new process.
func (w *worker) update(info WorkerInfo) {
	if info.StartedAt > w.StartedAt {
		w.resetProcess()
	}
	info.StartedAt = max(info.StartedAt, w.StartedAt) // an old list may arrive late
	w.WorkerInfo = info
	w.removedAt = 0
}

// applyState derives a worker's state from the endpoint list and cordons.
func (b *Balancer) applyState(w *worker) {
	w.State = w.listedState
	if b.cordonedAt[w.ID] > 0 {
		w.State = Draining
	}
}

// dropEndpoint removes a worker. Where removed workers stay usable a list may be wrong: one that drained
// remains closed, and any other is used as far as it still answers.
func (b *Balancer) dropEndpoint(w *worker) {
	if !b.config.RemovedStayUsable || w.unverified || b.isRetentionExpired(w) {
		b.removeWorker(w)
	} else if w.removedAt == 0 {
		w.removedAt = b.now
	}
}

func (b *Balancer) removeWorker(w *worker) {
	w.State = Removed
	delete(b.workersByID, w.ID)
	b.workers = slices.DeleteFunc(b.workers, func(other *worker) bool { return other == w })
}

// applyCordon cordons a worker, whatever the endpoint list says, or admits it again as one that has just
// started, though the list may not say so yet. A report from before would fill a worker that warms up,
// and while others have free capacity it would get nothing. So it is checked first, and is next to get
// a job.
func (b *Balancer) applyCordon(e Cordon) {
	since := b.recordCordon(e)
	w := b.workersByID[e.Worker]
	if w == nil || e.Cordoned == (since > 0) {
		return
	}
	b.applyState(w)
	if e.Cordoned {
		return
	}
	w.resetProcess()
	w.uncordoned = true
	w.unreachable = b.config.HealthChecks
	b.nextWarmUpScan = b.now
	if w.StartedAt <= since {
		w.StartedAt = b.now
	}
	b.trackWarmUp(w)
}

// recordCordon records whether a worker is cordoned, and returns since when it was before.
func (b *Balancer) recordCordon(e Cordon) (since float64) {
	since = b.cordonedAt[e.Worker]
	switch {
	case !e.Cordoned:
		delete(b.cordonedAt, e.Worker)
	case since == 0:
		b.cordonedAt[e.Worker] = b.now
	}
	return since
}

// pollEndpoints requests a subscription where the list is served on request only.
func (b *Balancer) pollEndpoints() {
	s := &b.endpoints
	if !b.config.PollEndpoints || s.subscribed || b.now < s.nextPollAt {
		return
	}
	s.polledAt = b.now
	s.nextPollAt = b.now + b.config.PollInterval/2 + pollPauseSeconds // the answer has come by then
	b.emit(Subscribe{})
}

// PollDelay is the backoff before the next poll of the endpoint list, in seconds: the last one was made
// so long ago, behind so many failures in a row. Jitter is drawn evenly from 0 to 1.
//
// All dispatchers lose the list at once, and the list serves callers in turn, even those that have given
// up; so many callers together would get nothing in time, for ever. Therefore polls are spread, and a
// dispatcher whose poll was queued in vain leaves the list more time.
func PollDelay(last EndpointUpdateKind, sinceLast float64, failures, dispatchers int, jitter float64) float64 {
	delay := jitter * pollSoonSeconds
	wasQueued := failures > 0 && sinceLast > queuedPollSeconds
	switch {
	case last == EndpointsUnsubscribed:
		delay = jitter * min(pollSpreadPerDispatcherSeconds*float64(dispatchers-1), maxPollSpreadSeconds)
	case wasQueued && sinceLast < maxPollGapSeconds/2: // after a longer one the link may be broken
		delay = (1 + 2*jitter) / 3 * (maxPollGapSeconds - sinceLast) // the next may be queued as long again
	}
	return max(delay, pollPauseSeconds-jitter-2*sinceLast)
}
