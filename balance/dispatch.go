package balance

import (
	"cmp"
	"slices"
)

// Dispatch.
const (
	surplusFreeShare   = 0.65 // free slots that surplus leaves for each worker considered, on average
	maxScannedPerShape = 16   // jobs of a shape considered at either end of a long queue
	minProbabilityGain = 1e-9 // by which a later job's probability must exceed that of an earlier one
	duePassRank        = -1.0 // of tenants with a due tag: before all others
)

// candidate is a queued job that stands for all of its shape in the present pass.
type candidate struct {
	job         *job
	oldest      *job // of the shape
	probability float64
	value       float64 // expected weight per slot and second
}

// dispatchQueued sends what fits: the tenant with the earliest due local tag first, then by global tag.
// Jobs that cannot meet their objective are sent only when no other fits: else a tenant's backlog would
// make its later jobs miss their objective, too, one after the other. As in the paper, no local tag is
// older than its job, so that a tenant that fell short for long does not precede all others for as long.
func (b *Balancer) dispatchQueued() {
	if b.mostFreeSlots < 1-estimateSlackSlots {
		return // no job takes less than a slot
	}
	b.dispatchPromised()
	for _, late := range []bool{false, true} {
		for b.dispatchNext(late) {
		}
	}
}

func (b *Balancer) hasPriority(j *job) bool { return b.now >= j.priorityFrom }

// dispatchPromised sends jobs with a promised wait that have waited for long, the earliest promise
// first, charged as usual. A wide one would never find its slots free at once, as each goes to a
// smaller job; so the first that does not fit has a worker reserved for it. No other job is sent there
// meanwhile, since its run time is not known.
func (b *Balancer) dispatchPromised() {
	b.reservedWorker = nil
	b.reservedFor = nil
	for _, j := range b.promised.sortedDue(b.hasPriority) {
		t := j.tenant
		t.effectiveTag = max(t.localTag, j.arrivedAt)
		if w := b.selectWorker(j); w != nil {
			t.localTag = t.effectiveTag
			b.sendJob(j, w, b.isDue(t))
		} else if b.reservedWorker == nil && j.slots > 1 {
			b.reservedFor = j
			b.reservedWorker = b.mostFreeWorker(j)
		}
	}
}

// dispatchNext sends one job, of those that are late or of those that are not, and reports whether
// there was one that fits.
func (b *Balancer) dispatchNext(late bool) bool {
	for _, t := range b.passOrder(late) {
		for _, c := range t.candidates {
			if b.dispatchCandidate(t, c.job, late) {
				return true
			}
		}
	}
	return false
}

// passOrder is the tenants that have candidates, in the order in which they may send. The result is valid
// until the next call.
func (b *Balancer) passOrder(late bool) []*tenant {
	order := b.passBuffer[:0]
	for _, t := range b.tenants {
		t.candidates = b.candidates(t, late)
		if len(t.candidates) == 0 {
			continue
		}
		t.effectiveTag = max(t.localTag, t.candidates[0].job.arrivedAt)
		t.passRank = b.viewUncertainty() * b.tokenWait(t, 1)
		t.passTieBreak = t.globalTag
		if b.isDue(t) {
			t.passRank = duePassRank
			t.passTieBreak = t.effectiveTag
		}
		order = append(order, t)
	}
	b.passBuffer = order
	slices.SortStableFunc(order, func(x, y *tenant) int {
		return cmp.Or(cmp.Compare(x.passRank, y.passRank), cmp.Compare(x.passTieBreak, y.passTieBreak))
	})
	return order
}

// dispatchCandidate sends a job if a worker has capacity for it and, for surplus, for others as well.
func (b *Balancer) dispatchCandidate(t *tenant, j *job, late bool) bool {
	leaveFree := 0.0
	debt := 0.0
	if (late || !b.isDue(t)) && b.viewUncertainty() > 0 && b.availableTokens(t) < 1 {
		leaveFree = surplusFreeShare * b.viewUncertainty() * float64(len(b.eligible))
		debt = b.tokenWait(t, 1-idleCreditSlots)
	}
	w := b.selectWorker(j)
	if w == nil || leaveFree != 0 && !(b.totalFreeSlots-leaveFree >= min(j.slots, b.maxVisibleSlots)) {
		return false
	}
	for _, other := range b.tenants { // a tenant in debt for long has all buckets refill
		other.refilledAt -= debt
	}
	t.localTag = t.effectiveTag
	b.sendJob(j, w, b.isDue(t))
	return true
}

// candidates returns one queued job of each shape, the most value for the slot time first. Of a shape it
// is the oldest of those with the best chance; in a long queue only the oldest and the youngest are
// compared. (In a long backlog, first come, first served would make nearly all miss their objective.)
// This favours a tenant's short jobs over its long ones.
func (b *Balancer) candidates(t *tenant, late bool) (found []candidate) {
	skip := func(j *job) bool { return !late && j.cannotMeetObjective(b.now) }
	for _, g := range t.queue.groups {
		best := candidate{probability: -1}
		g.visitEnds(maxScannedPerShape, skip, func(j *job) {
			if j.cannotMeetObjective(b.now) != late {
				return
			}
			best.oldest = cmp.Or(best.oldest, j)
			if p := j.objectiveProbability(b.now, 1); p > best.probability+minProbabilityGain {
				best.job = j
				best.probability = p
			}
		})
		if best.job != nil {
			best.value = best.job.expectedValue(best.probability)
			found = append(found, best)
		}
	}
	slices.SortFunc(found, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.value, x.value), compareArrival(x.oldest, y.oldest))
	})
	return found
}

// expectedValue is the weight that a job is expected to have per slot and second.
func (j *job) expectedValue(probability float64) float64 {
	c := j.class
	return c.PriorityWeight * (probability + (1-probability)*c.LateWeightFraction) / j.work()
}

// sendJob sends a job to a worker and charges its tenant.
func (b *Balancer) sendJob(j *job, w *worker, toReservation bool) {
	a := b.recordSend(j, w, toReservation)
	b.chargeTags(j.tenant, j.size(), toReservation)
	b.totalFreeSlots -= min(j.slots, b.maxVisibleSlots)
	w.freeSlots, w.freeMemory = b.estimateFree(w)
	if b.watchesStart(j) {
		b.awaitingStart = append(b.awaitingStart, a)
	}
	b.emit(Send{ID: j.id, Worker: w.ID})
}

// recordSend books a new attempt at a worker.
func (b *Balancer) recordSend(j *job, w *worker, toReservation bool) *attempt {
	b.sendCount++
	a := &attempt{
		job:                  j,
		worker:               w,
		sentAt:               b.now,
		number:               b.sendCount,
		chargedToReservation: toReservation,
	}
	j.attempts = append(j.attempts, a)
	j.inFlight++
	b.inFlight++
	if j.firstWorker == nil {
		j.firstWorker = w
		j.firstAttemptAt = b.now
	}
	b.dequeue(j)
	w.uncordoned = false
	b.addBusy(w, j.slots, j.memory)
	w.attempts = append(w.attempts, a)
	if b.capacityShare(w) < 1 {
		w.slowStartWork = append(w.slowStartWork, workSample{at: b.now, work: j.work()})
		w.slowStartSentAt = b.now
	}
	return a
}
