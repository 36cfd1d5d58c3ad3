package balance

import (
	"math"
	"slices"
)

// Slow start of workers.
const (
	slowStartSafety = 0.8 // part of the budget that is allotted, as the work of a job is only estimated
	// slowStartRestartShare is the part of its allotment that a restarted dispatcher uses during the first
	// OverloadSeconds, as its former process may have sent jobs as well.
	slowStartRestartShare = 0.25
	slowStartTurnFactor   = 30.0 // preference factor of a worker for the dispatcher whose turn it is, the only sender
	warmUpScansPerSpan    = 8    // scans of the warming workers in OverloadSeconds
	turnsPerSpan          = 2    // turns that a span of OverloadSeconds can overlap
)

// slowStartState is the state of a worker's budget while it warms up.
type slowStartState struct {
	takesTurns      bool         // its budget is below one job for each dispatcher, so they take turns
	slowStartWork   []workSample // sent by this dispatcher while the worker warmed up
	slowStartSentAt float64      // when the last of that work was sent
}

// workSample is work that was sent at some time, in slots times seconds.
type workSample struct {
	at   float64
	work float64
}

// warmUp holds the workers that started recently.
type warmUp struct {
	warmingUp      []*worker
	openForWarmUp  []*worker // those that have a budget for this dispatcher, by the last scan
	nextWarmUpScan float64
}

// trackWarmUp adds a worker to the warming ones if it started recently.
func (b *Balancer) trackWarmUp(w *worker) {
	if b.capacityShare(w) < 1 && !slices.Contains(b.warmingUp, w) {
		b.warmingUp = append(b.warmingUp, w)
	}
}

// scanWarmingUp adds the warming workers that have a budget for this dispatcher to the step's scan. Their
// budgets are not computed in each step, as that costs too much with hundreds of warming workers.
func (b *Balancer) scanWarmingUp() {
	if b.now >= b.nextWarmUpScan {
		b.nextWarmUpScan = b.now + max(busyTimerSeconds, b.config.OverloadSeconds/warmUpScansPerSpan)
		b.openForWarmUp = b.openForWarmUp[:0]
		b.warmingUp = slices.DeleteFunc(b.warmingUp, func(w *worker) bool {
			return w.State == Removed || b.capacityShare(w) == 1
		})
		for _, w := range b.warmingUp {
			if budget, _ := b.slowStartBudget(w); budget > 0 {
				b.openForWarmUp = append(b.openForWarmUp, w)
			}
		}
	}
	for _, w := range b.openForWarmUp {
		if w.State == Running && w.lastScan != b.scanCount {
			b.addToScan(w)
		}
	}
}

// capacityShare returns the least part of its full capacity that a worker has at its present age, up to 1.
func (b *Balancer) capacityShare(w *worker) float64 {
	c := &b.config
	age := b.now - w.StartedAt
	if w.StartedAt == 0 || age >= c.SlowStartSeconds {
		return 1
	}
	return c.SlowStartFloor + (1-c.SlowStartFloor)*max(age, 0)/c.SlowStartSeconds
}

// slowStartBudget returns the work, in slots times seconds, that this dispatcher may send to a warming
// worker, and the time since which sent work counts towards it. All dispatchers get an equal part of
// OverloadMultiple times the worker's least capacity, and a smaller one while a former process of this
// dispatcher may have sent jobs as well.
//
// Among hundreds of dispatchers such a part is less than one job, so none would send. Then the
// dispatchers take turns at sending whole jobs. Any span of OverloadSeconds overlaps two turns, and after
// an idle time all dispatchers may use theirs at once, possibly with long jobs only. So a turn has half
// of the budget (or one job, if the budget is that large), and a dispatcher with a later place in the
// turn sends less. Part of the budget is unused where few dispatchers have jobs to send. The budget is
// infinite where no limit applies.
func (b *Balancer) slowStartBudget(w *worker) (work, since float64) {
	c := &b.config
	if b.capacityShare(w) == 1 || c.OverloadMultiple == 0 || c.OverloadSeconds == 0 {
		return math.Inf(1), b.now
	}
	dispatchers := float64(c.Dispatchers)
	meanJob := b.meanRunTime.withPrior(1, 1) * b.meanSlots.withPrior(1, 1)
	budget := b.overloadBudget(w)
	w.takesTurns = slowStartSafety*budget < dispatchers*meanJob
	if !w.takesTurns {
		return slowStartSafety * budget / dispatchers, b.now - c.OverloadSeconds
	}
	turn := math.Floor((b.now - w.StartedAt) / c.OverloadSeconds)
	place := math.Mod(float64(c.Index)+w.turnOffset+turn*math.Floor(dispatchers/math.Phi), dispatchers)
	since = w.StartedAt + turn*c.OverloadSeconds
	overBudget := place > 0 && turnsPerSpan*(place+1)*meanJob > budget
	if budget < meanJob || overBudget || w.slowStartSentAt >= since {
		return 0, b.now
	}
	return min(2*meanJob, max(2*meanJob, budget/turnsPerSpan)/(place+1)), since
}

// overloadBudget returns the work, in slots times seconds, that all dispatchers together may send to a
// warming worker within OverloadSeconds.
func (b *Balancer) overloadBudget(w *worker) float64 {
	c := &b.config
	size := max(b.maxSlotsByKind[w.Kind], 1) / b.expectedSlowdown(w) // in slots of an average worker
	budget := c.OverloadMultiple * b.capacityShare(w) * size * c.OverloadSeconds
	if w.StartedAt < b.startedAt && b.now < b.startedAt+c.OverloadSeconds {
		budget *= slowStartRestartShare
	}
	return budget
}

// slowStartAllows reports whether a job fits into the remaining budget of a worker.
func (b *Balancer) slowStartAllows(w *worker, j *job) bool {
	remaining, since := b.slowStartBudget(w)
	for _, s := range w.slowStartWork {
		if s.at >= since {
			remaining -= s.work
		}
	}
	return j.work() <= remaining
}
