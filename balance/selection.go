package balance

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// Selection of workers.
const (
	minPoolSize             = 5    // workers considered when nothing is in flight; doubled without health checks
	poolPerAttempt          = 3    // additional workers considered for each attempt in flight
	zoneAffinityFactor      = 8.0  // preference factor of a worker in this dispatcher's zone
	minFreshness            = 0.05 // least weight factor of an estimate from an old report
	rejectionCautionSlots   = 3.0  // extra free slots required, times the rejection rate and 1 - viewUncertainty()
	checkWaitObjectiveShare = 0.25 // longest wait of a job for checks, in latency objectives times viewUncertainty()
	maxJobsWaitingForChecks = 128  // in one queue: with more, a check is always pending and no job would ever be sent
	slowdownPriorWeight     = 4.0  // weight of the prior of a worker's slowdown, in observations
	minSlowdown             = 0.1
	probabilityFloor        = 0.1  // added to the probability of success, so that a low one alone excludes no worker
	wideWorkPrior           = 0.3  // prior of the wide jobs' part of the work; see wideJobFactor
	wideWorkPriorWeight     = 20.0 // weight of that prior, in slots times seconds
	wideJobMismatchFactor   = 0.06 // for narrow jobs on workers reserved for wide ones, and for wide jobs on the others
)

// placement holds a worker's rank for this dispatcher and its preferences, which are derived from its zone and from
// hashes of its id.
type placement struct {
	rank         float64 // the dispatcher considers workers in ascending order of rank
	zoneAffinity float64
	wideJobRank  float64 // from 0 to 1, the same at all dispatchers; workers with low ranks are reserved for wide jobs
	turnOffset   float64 // the same at all dispatchers; determines which dispatcher may send while the worker warms up
}

// scan holds the workers that the present step considers.
type scan struct {
	eligible       []*worker // workers that jobs may be sent to
	scanned        []*worker // the eligible workers and the unreachable ones
	scannedAt      float64
	scanCount      int
	totalFreeSlots float64 // sum of the eligible workers' estimated free slots
	mostFreeSlots  float64 // most estimated free slots of any eligible worker
	awaitingCheck  bool    // a health check was sent less than healthCheckWaitSeconds ago and is unanswered
}

// rankWorker sets a worker's placement.
func (b *Balancer) rankWorker(w *worker) {
	h := fnv.New64a()
	h.Write([]byte(w.ID)) //nolint:errcheck // a hash never fails
	id := h.Sum64()
	affinity := 1.0
	if w.Zone == b.config.Zone {
		affinity = zoneAffinityFactor
	}
	w.placement = placement{
		rank:         rand.New(rand.NewPCG(id, uint64(b.config.Index))).ExpFloat64() / affinity,
		zoneAffinity: affinity,
		wideJobRank:  rand.New(rand.NewPCG(id, math.MaxUint64)).Float64(),
		turnOffset:   float64(id % uint64(b.config.Dispatchers)),
	}
}

// scanWorkers selects the workers that this step considers: the first usable ones in the dispatcher's
// own order. Their number grows with the number of attempts in flight. If all of several hundred workers
// were considered, each job would need a new connection, reports would always be old, and a step would
// cost too much. Known limit: if a few dispatchers have most of the traffic, their pools are too small.
func (b *Balancer) scanWorkers() {
	b.scan = scan{
		eligible:  b.eligible[:0],
		scanned:   b.scanned[:0],
		scannedAt: b.now,
		scanCount: b.scanCount + 1,
	}
	wanted := minPoolSize + poolPerAttempt*b.inFlight
	if !b.config.HealthChecks {
		wanted += minPoolSize // a worker's load is known only from this dispatcher's own jobs
	}
	for _, w := range b.workers {
		if wanted <= 0 && !b.anyWorkerKind {
			break
		}
		if w.State == Running && (b.capacityShare(w) == 1 || !w.takesTurns) && b.addToScan(w) {
			wanted--
		}
	}
	b.scanWarmingUp()
}

// addToScan adds a worker to this step's scan, and to the eligible workers unless it is unreachable. It
// reports whether the worker is fully usable: reachable, not ejected, warmed up and verified. Only such
// workers count towards the size of the pool.
func (b *Balancer) addToScan(w *worker) bool {
	w.lastScan = b.scanCount
	b.scanned = append(b.scanned, w)
	if w.unreachable {
		return false
	}
	b.eligible = append(b.eligible, w)
	w.freeSlots, w.freeMemory = b.estimateFree(w)
	b.totalFreeSlots += max(w.freeSlots, 0)
	b.mostFreeSlots = max(b.mostFreeSlots, w.freeSlots)
	if w.checking && b.now-w.checkedAt < healthCheckWaitSeconds {
		b.awaitingCheck = true
	}
	return b.now >= w.ejectedUntil && b.capacityShare(w) == 1 && !w.unverified
}

// selectWorker draws a worker for a job from those that fit, or returns nil if there is none or the job
// waits for health checks. Workers are weighted by free slots, by the freshness of that estimate
// (otherwise many old estimates would outweigh the few fresh reports) and by preference.
func (b *Balancer) selectWorker(j *job) *worker {
	slots := min(j.slots, b.maxVisibleSlots)
	if b.mostFreeSlots < slots-estimateSlackSlots || b.waitsForChecks(j) {
		return nil
	}
	caution := min(rejectionCautionSlots*(1-b.viewUncertainty())*b.rejectionRate.withPrior(0, 2), b.maxVisibleSlots-1)
	return b.drawWeighted(func(w *worker) float64 {
		if w.freeSlots < slots-estimateSlackSlots+caution || !b.mayRunOn(j, w) {
			return 0
		}
		freshness := max(minFreshness, b.freshness(w.report.measuredAt))
		return w.freeSlots * w.freeSlots * freshness * b.preference(w, j) * b.wideJobFactor(w, j.slots)
	})
}

// waitsForChecks reports whether a job is held back until health checks are answered.
func (b *Balancer) waitsForChecks(j *job) bool {
	if !b.awaitingCheck || j.queue.count > maxJobsWaitingForChecks {
		return false
	}
	return b.now < j.enqueuedAt+checkWaitObjectiveShare*b.viewUncertainty()*j.class.LatencyObjective
}

// mayRunOn reports whether a queued job may be sent to a worker, apart from the worker's free slots.
func (b *Balancer) mayRunOn(j *job, w *worker) bool {
	switch {
	case j.inFlight > 0 && w.hasAttemptOf(j):
		return false
	case w == b.reservedWorker && j != b.reservedFor:
		return false
	}
	return j.class.runsOn(w) && w.freeMemory >= j.memory && b.mayAttempt(j, w) &&
		b.outlierAllows(j, w) && b.slowStartAllows(w, j)
}

func (w *worker) hasAttemptOf(j *job) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool { return a.job == j })
}

// drawWeighted draws one of the eligible workers in proportion to their weights. It returns nil if no
// weight is above 0.
func (b *Balancer) drawWeighted(weigh func(*worker) float64) (drawn *worker) {
	total := 0.0
	for _, w := range b.eligible {
		weight := weigh(w)
		if !(weight > 0) {
			continue
		}
		total += weight
		if b.rng.Float64()*total < weight {
			drawn = w
		}
	}
	return drawn
}

// mostFreeWorker returns the worker with the most free slots among the eligible workers that a job may
// use, or nil.
func (b *Balancer) mostFreeWorker(j *job) (found *worker) {
	for _, w := range b.eligible {
		if j.class.runsOn(w) && b.outlierAllows(j, w) && (found == nil || w.freeSlots > found.freeSlots) {
			found = w
		}
	}
	return found
}

// preference returns a factor for a worker's weight. It is higher for workers on which the job probably
// meets its objective, and for fast, near and healthy workers. It alone excludes no worker.
func (b *Balancer) preference(w *worker, j *job) float64 {
	slowdown := b.expectedSlowdown(w) / b.capacityShare(w)
	probability := j.objectiveProbability(b.now, slowdown) + probabilityFloor
	preference := probability * probability / slowdown * w.zoneAffinity
	if w.takesTurns && b.capacityShare(w) < 1 || w.uncordoned {
		preference *= slowStartTurnFactor
	}
	healthy := 1 - w.failureRate.withPrior(0, 2)
	return preference * healthy * healthy
}

// expectedSlowdown returns a worker's run time relative to the fleet's. It is learned from the worker's
// own jobs and, while those are few, from other workers of its kind.
func (b *Balancer) expectedSlowdown(w *worker) float64 {
	kind := w.kindSlowdown.withPrior(1, slowdownPriorWeight)
	return max(w.slowdown.withPrior(kind, slowdownPriorWeight), minSlowdown)
}

// wideJobFactor returns a preference factor for a worker and a job of the given slots. If narrow jobs
// were spread evenly over all workers, none would have capacity for a wide job (one that takes more than
// half of a worker) although the total would suffice. So all dispatchers reserve the same workers, by
// their ids, for wide jobs, in proportion to the wide jobs' part of the work. The drawback is that narrow
// jobs wait longer while that part changes.
func (b *Balancer) wideJobFactor(w *worker, slots float64) float64 {
	wideShare := (b.wideWork + wideWorkPrior*wideWorkPriorWeight) / (b.totalWork + wideWorkPriorWeight)
	reservedForWide := w.wideJobRank < wideShare
	if w.uncordoned || reservedForWide == (2*slots > b.maxSlots) {
		return 1
	}
	return wideJobMismatchFactor
}
