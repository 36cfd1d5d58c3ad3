package balance

import "cmp"

// usageHistorySeconds is how far back the usage of a worker is kept. No load report is that old.
const usageHistorySeconds = 8.0

// worker is what this dispatcher knows of a worker from the endpoint list, load reports and the outcomes
// of its own attempts.
type worker struct {
	WorkerInfo
	listing
	placement
	workerUsage
	report loadReport
	healthCheckState
	outlierState
	slowStartState

	attempts []*attempt // of this dispatcher, in flight

	freeSlots  float64 // as estimated in the present step
	freeMemory float64
	lastScan   int // number of the last scan that included the worker

	slowdown      mean  // run time relative to the class's mean
	kindSlowdown  *mean // the same over all workers of this kind, shared by them
	zoneFreeSlots *mean // free slots recently reported in this zone, shared by its workers
}

// workerUsage is the slots and memory that this dispatcher's own attempts occupy on a worker.
type workerUsage struct {
	busySlots     float64 // of attempts in flight
	busyMemory    float64
	runningSlots  float64 // of attempts known to run; of all in flight without start notifications
	runningMemory float64
	usageHistory  []usageSample // the running slots and memory over time, oldest first
}

// usageSample is what this dispatcher's running attempts occupied from a time on.
type usageSample struct {
	at     float64
	slots  float64
	memory float64
}

// usageAt returns what this dispatcher's running attempts occupied at a time; zeros before the history.
func (u *workerUsage) usageAt(at float64) (slots, memory float64) {
	for i := len(u.usageHistory) - 1; i >= 0; i-- { //nolint:modernize // slices.Backward copies each sample here
		sample := &u.usageHistory[i]
		if sample.at <= at {
			return sample.slots, sample.memory
		}
	}
	return 0, 0
}

func (u *workerUsage) record(now float64) {
	for len(u.usageHistory) > 1 && u.usageHistory[1].at < now-usageHistorySeconds {
		u.usageHistory = u.usageHistory[1:]
	}
	u.usageHistory = append(u.usageHistory, usageSample{now, u.runningSlots, u.runningMemory})
}

// newWorker returns a worker of which only the entry in the endpoint list is known.
func (b *Balancer) newWorker(info WorkerInfo) *worker {
	return &worker{
		WorkerInfo:    info,
		zoneFreeSlots: b.zoneFreeSlots.forName(info.Zone),
		kindSlowdown:  b.kindSlowdowns.forName(info.Kind),
	}
}

// resetProcess discards what is known about the worker's former process.
func (w *worker) resetProcess() {
	w.report.valid = false
	w.report.measuredAt = 0
	w.drained = false
	w.unreachable = false
	w.outlierState = outlierState{unverified: w.unverified}
	w.slowStartWork = nil
}

// addBusy adds slots and memory of an attempt to a worker's usage. Values below 0 free them.
func (b *Balancer) addBusy(w *worker, slots, memory float64) {
	w.busySlots += slots
	w.busyMemory += memory
	if !b.config.StartNotifications {
		b.addRunning(w, slots, memory)
	}
	w.record(b.now)
}

// addRunning adds slots and memory of a started attempt to a worker's usage. Values below 0 free them.
// (If a job in the worker's queue counted as running, each completion would seem to free a slot and cause
// another send, so the queue would never drain.)
func (b *Balancer) addRunning(w *worker, slots, memory float64) {
	w.runningSlots += slots
	w.runningMemory += memory
	w.record(b.now)
}

// compareRank compares workers by this dispatcher's order.
func compareRank(x, y *worker) int { return cmp.Compare(x.rank, y.rank) }
