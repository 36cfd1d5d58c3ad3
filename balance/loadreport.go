package balance

import (
	"math"
	"slices"
)

// Load reports and the estimates derived from them.
const (
	estimateSlackSlots   = 0.5  // slots by which an estimate may fall short of what a job needs
	freeSlotsPriorWeight = 2.0  // weight of the prior of one free slot for each worker, in reports
	reportAgeSeconds     = 0.3  // assumed age of a report that comes with an answer
	promptStartSeconds   = 0.05 // a job that has not started by then is assumed to be in the worker's queue
	// requestedReportAgeSeconds is the assumed age of a health check's report: workers renew theirs every few ms.
	requestedReportAgeSeconds = 0.05
)

// loadReport is the last load report of a worker.
type loadReport struct {
	valid      bool
	slots      float64 // free, after the worker's own queue
	memory     float64 // free
	measuredAt float64
	receivedAt float64
	values     []float64 // as received
}

// applyLoadReport records a load report. Requested means that it answers a health check. An unrequested
// report with the same values is assumed to be the last one repeated, and its age is kept. (If a report
// were assumed to be older than it is, one that shows just enough capacity for a wide job would be
// estimated as too little, and the job would find no worker.)
func (b *Balancer) applyLoadReport(w *worker, values []float64, requested bool) {
	if !b.isUsableReport(values) {
		return
	}
	r := &w.report
	w.unverified = false
	measuredAt := b.now - min(b.now-r.receivedAt, healthCheckIntervalSeconds)/2 - reportAgeSeconds
	if requested {
		measuredAt = b.now - requestedReportAgeSeconds
	}
	r.receivedAt = b.now
	olderThanKnown := measuredAt < r.measuredAt // for example, an Overloaded outcome came after it
	if olderThanKnown || !requested && r.valid && slices.Equal(r.values, values) {
		return
	}
	if !r.valid {
		b.nextWarmUpScan = b.now
	}
	b.storeReport(w, values, measuredAt)
}

// isUsableReport reports whether a report has one finite number of 0 or more for each configured field.
func (b *Balancer) isUsableReport(values []float64) bool {
	if len(values) == 0 || len(values) != len(b.config.ReportFields) {
		return false
	}
	invalid := func(v float64) bool { return !(v >= 0 && v < math.MaxFloat64) }
	return !slices.ContainsFunc(values, invalid)
}

func (b *Balancer) storeReport(w *worker, values []float64, measuredAt float64) {
	r := &w.report
	r.valid = true
	r.measuredAt = measuredAt
	r.values = slices.Clone(values)
	r.slots = 0
	r.memory = math.Inf(1)
	queued := 0.0
	for i, field := range b.config.ReportFields {
		switch field {
		case FieldFreeSlots:
			r.slots = math.Round(values[i])
		case FieldFreeMemory:
			r.memory = values[i]
		case FieldQueueLength:
			queued = math.Round(values[i])
		}
	}
	used, _ := w.usageAt(measuredAt)
	b.maxSlotsByKind[w.Kind] = max(b.maxSlotsByKind[w.Kind], r.slots+used)
	b.maxSlots = max(b.maxSlots, b.maxSlotsByKind[w.Kind])
	r.slots = max(0, r.slots-queued)
	w.zoneFreeSlots.observe(r.slots)
}

// markOverloaded records that a worker has no free capacity at present.
func (b *Balancer) markOverloaded(w *worker) {
	w.report = loadReport{
		valid:      true,
		memory:     math.Inf(1),
		measuredAt: b.now,
		receivedAt: b.now,
	}
	if b.maxVisibleSlots > 1 { // without reports only zeros would be observed, which would exclude the worker forever
		w.zoneFreeSlots.observe(0)
		w.report.memory = 0
	}
}

// estimateFree estimates a worker's free slots and memory: its last report, less what this dispatcher has
// sent and plus what it has seen end since. A job that has not started promptly shows that nothing is
// free. A worker without a report is assumed to have one free slot (or room for one job of any width,
// where there are no reports at all) whenever all of the jobs sent to it have started.
//
// Other dispatchers have taken or freed slots since an old report. So the estimate decays to the mean of
// recent reports from the worker's zone, faster the larger the other dispatchers' part of the load is. It
// is wrong for a single worker that stays full for long.
func (b *Balancer) estimateFree(w *worker) (slots, memory float64) {
	notStarted := false
	for _, a := range w.attempts {
		if a.started() {
			continue
		}
		notStarted = true
		if b.config.StartNotifications && b.now-a.sentAt > promptStartSeconds {
			return 0, 0
		}
	}
	r := &w.report
	if w.checking && (!r.valid || b.now-w.checkedAt > healthCheckWaitSeconds) || !r.valid && notStarted {
		return 0, 0
	}
	if !r.valid {
		return 1, math.Inf(1)
	}
	usedSlots, usedMemory := w.usageAt(r.measuredAt)
	freshness := b.freshness(r.measuredAt)
	zoneMean := w.zoneFreeSlots.withPrior(1, freeSlotsPriorWeight)
	slots = zoneMean + (r.slots+max(0, usedSlots-w.busySlots)-zoneMean)*freshness - max(0, w.busySlots-usedSlots)
	if w.takesTurns && b.capacityShare(w) < 1 && w.busySlots == 0 {
		slots = max(slots, 1) // no other dispatcher sends to this worker now
	}
	return slots, usedMemory + r.memory - w.busyMemory
}

// freshness returns the weight of an observation by its age: 1 at first, near 0 several mean run times
// later. With a single dispatcher it stays 1.
func (b *Balancer) freshness(observedAt float64) float64 {
	others := 1 - 1/float64(b.config.Dispatchers)
	return math.Exp(-max(0, b.now-observedAt) * others / b.meanRunTime.withPrior(1, 1))
}
