package balance

import "slices"

// The endpoint list and its polling.
const (
	pollSoonSeconds                = 0.15  // longest delay of the next poll if the last one started long ago
	pollPauseSeconds               = 2.8   // longest delay of the next poll if the last one failed at once
	pollSpreadPerDispatcherSeconds = 0.018 // polls are spread over this time for each other dispatcher
	maxPollSpreadSeconds           = 1.4   // a longer spread would delay polls that could be served at once
	queuedPollSeconds              = 1.5   // a poll that lasted longer was queued, as connecting takes less
	maxPollGapSeconds              = 5.9   // from one poll to the end of the next: changes must apply within 6 s
	endpointRetentionSeconds       = 600.0 // an unlisted worker is removed after this: no list is wrong for so long
	pruneIntervalSeconds           = endpointRetentionSeconds / 10
)

// endpointState is the state of the subscription to the endpoint list.
type endpointState struct {
	subscribed  bool
	nextPollAt  float64
	polledAt    float64
	failures    int // consecutive failed polls
	sortedCount int // number of workers when they were last sorted
	updateCount int
	pruneAt     float64 // from then on even a delta update removes workers past their retention
}

// listing is what the endpoint list and operators say about a worker.
type listing struct {
	listedState WorkerState // by the endpoint list, regardless of cordons
	uncordoned  bool        // uncordoned by operators, and nothing sent to it since
	drained     bool        // listed as draining since its last start
	lastListed  int         // number of the last update that named it
	removedAt   float64     // since when it has been listed as removed or missing from the list; 0 while it is listed
}

// updateEndpoints applies an update of the endpoint list. No further job is sent to a worker once it is
// listed as draining, or as removed unless removed workers stay usable.
func (b *Balancer) updateEndpoints(e EndpointUpdate) {
	switch e.Kind {
	case EndpointsFailed, EndpointsUnsubscribed:
		b.subscriptionEnded(e.Kind)
		return
	case EndpointsCached:
		b.endpoints.subscribed = false
		// Spread the first polls of dispatchers that start together.
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

// sortWorkers sorts the workers into this dispatcher's order after some were added.
func (b *Balancer) sortWorkers() {
	if len(b.workersByID) > b.endpoints.sortedCount {
		slices.SortStableFunc(b.workers, compareRank)
	}
	b.endpoints.sortedCount = len(b.workersByID)
}

// pruneEndpoints drops the workers that a complete list does not name, and those past their retention.
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

// isRetentionExpired reports whether a worker has been unlisted for more than endpointRetentionSeconds.
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

// update applies a new entry of the endpoint list. A later start time means a new worker process.
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

// dropEndpoint removes a worker. Where removed workers stay usable, the list may be wrong: the worker is
// kept until its retention expires and may still get jobs while it answers, unless it was listed as
// draining. An unverified worker is removed at once.
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

// applyCordon cordons a worker whatever the endpoint list says, or uncordons it. An uncordoned worker is
// treated as one that has just started, though the list may not show the new start yet: a report from
// before the cordon would have a warming worker filled, so its health is checked first. It is preferred
// for the next job, as it would get none while other workers have free capacity.
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

// recordCordon records whether a worker is cordoned. It returns the time since which the worker was
// cordoned before, or 0.
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
	s.nextPollAt = b.now + b.config.PollInterval/2 + pollPauseSeconds // it is answered or has failed by then
	b.emit(Subscribe{})
}

// PollDelay returns the backoff before the next poll of the endpoint list, in seconds. Last is how the
// last poll ended, sinceLast the seconds since it was made, and failures the number of consecutive
// failures before it. Jitter is a uniform random number from 0 to 1.
//
// All dispatchers lose the subscription at once, and discovery serves callers in turn, including those
// that have timed out. If many polled together repeatedly, none would ever be answered in time. So polls
// are spread, and a dispatcher whose poll was queued and then failed waits longer.
func PollDelay(last EndpointUpdateKind, sinceLast float64, failures, dispatchers int, jitter float64) float64 {
	delay := jitter * pollSoonSeconds
	wasQueued := failures > 0 && sinceLast > queuedPollSeconds
	switch {
	case last == EndpointsUnsubscribed:
		delay = jitter * min(pollSpreadPerDispatcherSeconds*float64(dispatchers-1), maxPollSpreadSeconds)
	case wasQueued && sinceLast < maxPollGapSeconds/2: // after a longer poll the link may be broken
		delay = (1 + 2*jitter) / 3 * (maxPollGapSeconds - sinceLast) // the next poll may be queued for as long
	}
	return max(delay, pollPauseSeconds-jitter-2*sinceLast)
}

// Worker returns the entry of a worker in the endpoint list, or false if the list does not have it.
func (b *Balancer) Worker(id string) (WorkerInfo, bool) {
	w := b.workersByID[id]
	if w == nil {
		return WorkerInfo{}, false
	}
	return w.WorkerInfo, true
}
