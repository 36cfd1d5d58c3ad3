package balance

// Health checks.
const (
	healthCheckBudgetShare     = 0.004 // part of the jobs' priority weight that checks may cost
	healthChecksPerJob         = 2     // workers checked for each queued job
	healthCheckWaitSeconds     = 0.05  // an answer that takes longer is not waited for, and shows no capacity
	healthCheckIntervalSeconds = 0.5   // a report younger than this is not requested again
	minCheckSlots              = 0.2   // so that a worker without free slots may be checked as well
)

// healthCheckState is a worker's part in health checks.
type healthCheckState struct {
	unreachable bool // gets health checks only, until one is answered
	checking    bool
	checkedAt   float64 // when the last check was sent
	nextCheckAt float64
}

// addHealthCheckBudget adds a job's part to the budget, which is bounded by a check of each worker.
func (b *Balancer) addHealthCheckBudget(j *job) {
	limit := b.config.HealthCheckCost * float64(len(b.scanned))
	b.healthCheckBudget = min(b.healthCheckBudget+healthCheckBudgetShare*j.class.PriorityWeight, limit)
}

// hasUnreachable reports whether a worker waits for its health check.
func (b *Balancer) hasUnreachable() bool {
	for _, w := range b.scanned {
		if w.unreachable {
			return true
		}
	}
	return false
}

// sendHealthChecks checks the unreachable workers, and a few for each queued job within its tenant's
// allotment, likely ones first, within a budget. Where jobs are few every report is old, so that jobs
// wait for the answers; this costs time where answers are slow.
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

// hasRecentReport reports whether a worker need not be checked. To a lone dispatcher no report is old.
func (b *Balancer) hasRecentReport(w *worker) bool {
	maxAge := healthCheckIntervalSeconds / (1 - 1/float64(b.config.Dispatchers))
	return w.report.valid && b.now-w.report.receivedAt < maxAge
}

// checkUntilFree sends checks until so many workers have capacity for a shape or are being checked.
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

// checkWeight is how likely a worker is checked for a shape.
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
	default: // overloaded or silent: no capacity in either case
		b.markOverloaded(w)
	}
}
