package balance

import (
	"cmp"
	"slices"
)

// Constants of dispatch.
const (
	surplusFreeShare   = 0.65 // average number of free slots per considered worker that surplus must leave
	maxScannedPerShape = 16   // jobs of a shape that are compared at each end of a long queue
	minProbabilityGain = 1e-9 // least gain in probability for which a later job is preferred to an earlier one
	duePassRank        = -1.0 // rank of tenants with a due tag: ahead of all others
)

// candidate is the queued job that represents all jobs of its shape in the present pass.
type candidate struct {
	job         *job
	oldest      *job // oldest queued job of the shape
	probability float64
	value       float64 // expected PriorityWeight per slot and second
}

// dispatchQueued sends the queued jobs for which workers have capacity: first those of tenants with a due
// local tag, the earliest tag first, then the others by global tag. Late jobs, which cannot meet their
// objective, are sent only when no other job fits; otherwise a tenant's backlog would make each of its
// later jobs miss its objective, too. As in the paper, the local tag that counts is never earlier than the
// arrival of the job, so that a tenant that was short of service for long does not precede all others for
// as long.
func (b *Balancer) dispatchQueued() {
	if b.mostFreeSlots < 1-estimateSlackSlots {
		return // every job takes at least one slot
	}
	b.dispatchPromised()
	for _, late := range []bool{false, true} {
		for b.dispatchNext(late) {
		}
	}
}

func (b *Balancer) hasPriority(j *job) bool { return b.now >= j.priorityFrom }

// dispatchPromised sends jobs that have waited for priorityWaitShare of their promised wait, in the order in
// which the promises end, and charges their tenants as usual. A job of several slots might never find enough
// of them free at once, because each freed slot goes to a smaller job. So a worker is reserved for the first
// such job that does not fit. No other job is sent to this worker meanwhile, because it is not known how long
// that job would run.
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

// dispatchNext sends one job, either a late one or one that is not late, and reports whether a worker had
// capacity for one.
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

// passOrder returns the tenants that have candidates, in the order in which they may send. The result is
// valid until the next call.
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

// dispatchCandidate sends a job if a worker has capacity for it, and reports whether it did. Surplus is sent
// only if enough free slots remain for other jobs.
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
	for _, other := range b.tenants { // if t's bucket is far below 0, all buckets gain the time that it lacks
		other.refilledAt -= debt
	}
	t.localTag = t.effectiveTag
	b.sendJob(j, w, b.isDue(t))
	return true
}

// candidates returns one queued job of each shape, ordered by descending value per slot and second. The
// candidate of a shape is the oldest of the jobs that are most likely to meet their objective; in a long
// queue only the oldest and the newest are compared. (In a long backlog, first come, first served would
// make nearly all jobs miss their objective.) A tenant's short jobs are favoured over its long ones.
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

// expectedValue returns the expected weight of a job's answer per slot and second, where probability is that
// of an answer within the objective.
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

// recordSend records a new attempt and the capacity that it takes of its worker.
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
