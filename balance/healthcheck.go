package balance

// Health checks.
const (
	healthCheckBudgetShare     = 0.004 // part of the jobs' priority weight that health checks may cost
	healthChecksPerJob         = 2     // workers checked for each queued job
	healthCheckWaitSeconds     = 0.05  // after this, jobs no longer wait for the answer and the worker counts as full
	healthCheckIntervalSeconds = 0.5   // a worker with a younger report is not checked; also the pause after a check
	minCheckSlots              = 0.2   // added to the weight, so that a worker without free slots may be checked
)

// healthCheckState is the state of a worker's health checks.
type healthCheckState struct {
	unreachable bool    // gets health checks only, until one is answered
	checking    bool    // a check was sent and is unanswered
	checkedAt   float64 // when the last check was sent
	nextCheckAt float64 // earliest time of the next check
}

// addHealthCheckBudget adds a job's contribution to the budget, which is limited to one check of each
// worker in the scan.
func (b *Balancer) addHealthCheckBudget(j *job) {
	limit := b.config.HealthCheckCost * float64(len(b.scanned))
	b.healthCheckBudget = min(b.healthCheckBudget+healthCheckBudgetShare*j.class.PriorityWeight, limit)
}

// hasUnreachable reports whether any worker in the scan is unreachable.
func (b *Balancer) hasUnreachable() bool {
	for _, w := range b.scanned {
		if w.unreachable {
			return true
		}
	}
	return false
}

// sendHealthChecks checks, within the budget, the unreachable workers and a few workers that probably have
// capacity for each queued job within its tenant's allotment and for each queued hedged request. Where
// jobs are few every report is old, so jobs wait for the answers; this costs time where answers are slow.
func (b *Balancer) sendHealthChecks() {
	if !b.config.HealthChecks {
		return
	}
	for _, w := range b.scanned {
		if w.unreachable && !w.checking && b.now >= w.nextCheckAt {
			b.startHealthCheck(w)
		}
	}
	for _, t := range b.tenants {
		t.effectiveTag = t.localTag
		if t.queue.count > 0 && (b.isDue(t) || b.availableTokens(t) >= 1) {
			for _, g := range t.queue.groups {
				b.checkUntilFree(g.jobShape, healthChecksPerJob*g.count)
			}
		} else {
			t.queue.visitRetries(func(j *job) {
				b.checkUntilFree(j.group.jobShape, healthChecksPerJob*min(j.inFlight, 1))
			})
		}
	}
}

// hasRecentReport reports whether a worker's report is recent enough that it need not be checked. For a
// single dispatcher no report is too old.
func (b *Balancer) hasRecentReport(w *worker) bool {
	maxAge := healthCheckIntervalSeconds / (1 - 1/float64(b.config.Dispatchers))
	return w.report.valid && b.now-w.report.receivedAt < maxAge
}

// checkUntilFree sends health checks until the wanted number of workers have capacity for a shape or are
// being checked, or the budget is used up.
func (b *Balancer) checkUntilFree(s jobShape, wanted int) {
	for _, w := range b.eligible {
		if s.class.runsOn(w) && (w.checking || b.hasRecentReport(w) && w.hasCapacity(s)) {
			wanted--
		}
	}
	for ; wanted > 0 && b.healthCheckBudget >= b.config.HealthCheckCost; wanted-- {
		w := b.drawWeighted(func(w *worker) float64 { return b.checkWeight(w, s) })
		if w == nil {
			return
		}
		b.startHealthCheck(w)
	}
}

func (w *worker) hasCapacity(s jobShape) bool {
	return w.freeSlots >= s.slots-estimateSlackSlots && w.freeMemory >= s.memory
}

// checkWeight returns a worker's weight in the draw of workers to check for a shape; 0 excludes it.
func (b *Balancer) checkWeight(w *worker, s jobShape) float64 {
	if !s.class.runsOn(w) || w.checking || b.now < max(w.ejectedUntil, w.nextCheckAt) || b.hasRecentReport(w) {
		return 0
	}
	return (max(w.freeSlots, 0) + minCheckSlots) * w.zoneAffinity * b.wideJobFactor(w, s.slots)
}

func (b *Balancer) startHealthCheck(w *worker) {
	if b.healthCheckBudget < b.config.HealthCheckCost {
		return
	}
	b.healthCheckBudget -= b.config.HealthCheckCost
	w.checking = true
	w.checkedAt = b.now
	b.awaitingCheck = true
	w.freeSlots, w.freeMemory = b.estimateFree(w)
	b.emit(HealthCheck{Worker: w.ID})
}

func (b *Balancer) finishHealthCheck(e HealthCheckDone) {
	w := b.workersByID[e.Worker]
	if w == nil {
		return
	}
	w.checking = false
	w.nextCheckAt = b.now + healthCheckIntervalSeconds
	switch e.Outcome {
	case Served:
		if w.unreachable {
			b.logf("worker %s answers again", w.ID)
		}
		w.unreachable = false
		b.applyLoadReport(w, e.Report, true)
	case Unreachable:
		b.markUnreachable(w)
	default: // overloaded or no answer: no capacity in either case
		b.markOverloaded(w)
	}
}
