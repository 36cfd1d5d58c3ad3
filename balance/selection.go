package balance

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// Selection of workers.
const (
	minPoolSize             = 5    // workers considered with nothing in flight, twice as many without health checks
	poolPerAttempt          = 3    // more for each attempt in flight
	zoneAffinityFactor      = 8.0  // preference of a worker in this dispatcher's zone, all else equal
	minFreshness            = 0.05 // preference of a worker without a recent report
	rejectionCautionSlots   = 3.0  // more free slots demanded, times the rate of rejections, times what is known here
	checkWaitObjectiveShare = 0.25 // part of its objective that a job waits for health checks
	maxJobsWaitingForChecks = 128  // with more queued, some check is always pending and none would ever be sent
	slowdownPriorWeight     = 4.0  // observations that the prior of a worker's slowdown counts for
	minSlowdown             = 0.1
	probabilityFloor        = 0.1  // so that no worker is excluded by a low probability alone
	wideWorkPrior           = 0.3  // part of the workers left to wide jobs until their part of the work is known
	wideWorkPriorWeight     = 20.0 // slots times seconds that this counts for
	wideJobMismatchFactor   = 0.06 // preference of a worker that is left to jobs of other widths
)

// placement is a worker's place in this dispatcher's order, drawn from hashes of its id.
type placement struct {
	rank         float64
	zoneAffinity float64
	wideJobRank  float64 // from 0 to 1, the same at all dispatchers: the lowest are left to wide jobs
	turnOffset   float64 // the same at all dispatchers: whose turn it is while it warms up
}

// scan is what the present step considers.
type scan struct {
	eligible       []*worker // that jobs may be sent to
	scanned        []*worker // the same with those that are unreachable
	scannedAt      float64
	scanCount      int
	totalFreeSlots float64 // of the eligible workers, as estimated
	mostFreeSlots  float64 // of one of them
	awaitingCheck  bool    // the answer to a health check may come at any moment
}

// rankWorker places a worker in this dispatcher's order.
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
// own order, more of them the more is in flight. With hundreds of workers in the choice each job would
// need a new connection, reports would always be old, and a step would cost too much. The pool is too
// small where few dispatchers have most of the traffic.
func (b *Balancer) scanWorkers() {
	b.scan = scan{
		eligible:  b.eligible[:0],
		scanned:   b.scanned[:0],
		scannedAt: b.now,
		scanCount: b.scanCount + 1,
	}
	wanted := minPoolSize + poolPerAttempt*b.inFlight
	if !b.config.HealthChecks {
		wanted += minPoolSize // only this dispatcher's jobs tell of a worker
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

// addToScan adds a worker to this step's pool if it may be used, and reports whether it counts as one of
// those wanted.
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

// selectWorker draws a worker for a job from those that fit, weighted by free slots, by how fresh that
// estimate is (else many guesses would outweigh the few fresh reports) and by what was observed.
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

// waitsForChecks reports whether a job waits for the answers to health checks.
func (b *Balancer) waitsForChecks(j *job) bool {
	if !b.awaitingCheck || j.queue.count > maxJobsWaitingForChecks {
		return false
	}
	return b.now < j.enqueuedAt+checkWaitObjectiveShare*b.viewUncertainty()*j.class.LatencyObjective
}

// mayRunOn reports whether nothing but a lack of slots keeps a queued job from a worker.
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

// drawWeighted draws one of the eligible workers in proportion to their weights.
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

// roomiestWorker is the eligible worker that lacks the least of what a job needs.
func (b *Balancer) roomiestWorker(j *job) (found *worker) {
	for _, w := range b.eligible {
		if j.class.runsOn(w) && b.outlierAllows(j, w) && (found == nil || w.freeSlots > found.freeSlots) {
			found = w
		}
	}
	return found
}

// preference favours workers on which the job likely meets its objective, and fast, near and healthy
// ones. It scales the weight by free slots and excludes no worker.
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

// expectedSlowdown is a worker's run time relative to the fleet's, learned from its own jobs and, while
// those are few, from others of its kind.
func (b *Balancer) expectedSlowdown(w *worker) float64 {
	kind := w.kindSlowdown.withPrior(1, slowdownPriorWeight)
	return max(w.slowdown.withPrior(kind, slowdownPriorWeight), minSlowdown)
}

// wideJobFactor is how much a worker is preferred for jobs of so many slots. Where narrow jobs are
// spread evenly, no worker has capacity for a job of more than half a worker, though there is enough in
// all. So all dispatchers leave the same workers, by their ids, to wide jobs: as large a part as these
// have of the work. Narrow jobs suffer while that part changes.
func (b *Balancer) wideJobFactor(w *worker, slots float64) float64 {
	wideShare := (b.wideWork + wideWorkPrior*wideWorkPriorWeight) / (b.totalWork + wideWorkPriorWeight)
	leftToWide := w.wideJobRank < wideShare
	if w.uncordoned || leftToWide == (2*slots > b.maxSlots) {
		return 1
	}
	return wideJobMismatchFactor
}
