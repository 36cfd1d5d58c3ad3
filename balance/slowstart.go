package balance

import (
	"math"
	"slices"
)

// Slow start of workers.
const (
	slowStartSafety = 0.8 // part of the budget that allotments use: job sizes are only expected values
	// slowStartRestartShare is the part of its allotment that a new process of this dispatcher uses for
	// OverloadSeconds: its predecessor may have sent, too.
	slowStartRestartShare = 0.25
	slowStartTurnFactor   = 30.0 // preference of a worker by whoever has the turn: nobody else sends there
	warmUpScansPerSpan    = 8
	turnsPerSpan          = 2 // that a span of OverloadSeconds can overlap
)

// slowStartState is what a worker may get while it warms up.
type slowStartState struct {
	takesTurns      bool         // its budget is below a job for each dispatcher, so whole jobs are sent in turns
	slowStartWork   []workSample // sent while it warmed up
	slowStartSentAt float64      // when the last of it was sent
}

// workSample is work that was sent, in slots times seconds.
type workSample struct {
	at   float64
	work float64
}

// warmUp is the workers that started recently.
type warmUp struct {
	warmingUp      []*worker
	openForWarmUp  []*worker // those that this dispatcher may send to now
	nextWarmUpScan float64
}

// trackWarmUp records a worker as one of those that started recently, if it is.
func (b *Balancer) trackWarmUp(w *worker) {
	if b.capacityShare(w) < 1 && !slices.Contains(b.warmingUp, w) {
		b.warmingUp = append(b.warmingUp, w)
	}
}

// scanWarmingUp adds the workers that warm up and have a budget for this dispatcher. With hundreds of
// them the budgets are too much work for each step.
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

// capacityShare is the least part of its capacity that a worker has at its age.
func (b *Balancer) capacityShare(w *worker) float64 {
	c := &b.config
	age := b.now - w.StartedAt
	if w.StartedAt == 0 || age >= c.SlowStartSeconds {
		return 1
	}
	return c.SlowStartFloor + (1-c.SlowStartFloor)*max(age, 0)/c.SlowStartSeconds
}

// slowStartBudget is the work that this dispatcher may send to a worker that warms up, and since when
// sent work counts. It is an equal part of the multiple of the worker's least capacity, and little while
// a former process of this dispatcher may have sent as well.
//
// Among hundreds of dispatchers such a part is below one job, and none would send. Then whole jobs are
// sent in turns, one for each dispatcher. Any span of OverloadSeconds overlaps two turns, and after an
// idle time all dispatchers use theirs at once, possibly with long jobs only. So a turn has half of the
// budget (or one job, if the budget holds that), and a dispatcher later in the turn sends less. The
// budget is not used up where few dispatchers have jobs to send.
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
	tooLate := place > 0 && turnsPerSpan*(place+1)*meanJob > budget
	if budget < meanJob || tooLate || w.slowStartSentAt >= since {
		return 0, b.now
	}
	return min(2*meanJob, max(2*meanJob, budget/turnsPerSpan)/(place+1)), since
}

// overloadBudget is the work within OverloadSeconds that all dispatchers may send to a worker.
func (b *Balancer) overloadBudget(w *worker) float64 {
	c := &b.config
	size := max(b.maxSlotsByKind[w.Kind], 1) / b.expectedSlowdown(w) // in slots of an average worker
	budget := c.OverloadMultiple * b.capacityShare(w) * size * c.OverloadSeconds
	if w.StartedAt < b.startedAt && b.now < b.startedAt+c.OverloadSeconds {
		budget *= slowStartRestartShare
	}
	return budget
}

// slowStartAllows reports whether a job fits what is left of a worker's budget.
func (b *Balancer) slowStartAllows(w *worker, j *job) bool {
	left, since := b.slowStartBudget(w)
	for _, s := range w.slowStartWork {
		if s.at >= since {
			left -= s.work
		}
	}
	return j.work() <= left
}
