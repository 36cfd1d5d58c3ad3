package balance

import "math"

// Wake-ups.
const (
	busyTimerSeconds = 0.05 // least interval between steps while jobs are queued
	idleTimerSeconds = 0.25 // interval between steps while only health checks of unreachable workers are due
	waitedShare      = 5    // a queue is considered again after 1/waitedShare of its newest job's waiting time
)

// armTimer sets a timer for the next step that may have something to decide, unless one is set that fires
// early enough.
func (b *Balancer) armTimer() {
	next := b.nextWakeUp()
	for _, t := range b.tenants {
		if t.queue.count > 0 {
			next = min(next, b.nextForTenant(t))
		}
	}
	// A timer may fire early by a rounding error, so one due within half a tick counts as fired.
	stillSet := b.timerAt > b.now+b.config.Tick/2
	if stillSet && b.timerAt <= next || math.IsInf(next, 1) {
		return
	}
	b.timerAt = max(next, b.now+b.config.Tick)
	b.emit(SetTimer{After: b.timerAt - b.now})
}

// nextWakeUp returns the time of the next step for everything but the tenants' queues, or +Inf if none is
// needed.
func (b *Balancer) nextWakeUp() float64 {
	next := math.Inf(1)
	if b.config.PollEndpoints && !b.endpoints.subscribed {
		next = max(b.endpoints.nextPollAt, b.now+busyTimerSeconds)
	}
	if b.hasUnreachable() {
		next = min(next, b.now+idleTimerSeconds)
	}
	if len(b.awaitingStart) > 0 {
		next = b.now + busyTimerSeconds
	}
	if j := b.promised.visitWhile(b.hasPriority, nil); j != nil {
		next = min(next, j.priorityFrom+b.config.Tick)
	}
	if len(b.promised.jobs) > 0 && b.hasPriority(b.promised.jobs[0]) {
		next = min(next, b.now+busyTimerSeconds)
	}
	return next
}

// nextForTenant returns the time of the next step for a tenant's queue, which must not be empty.
func (b *Balancer) nextForTenant(t *tenant) float64 {
	newest := t.queue.newestFirst.jobs[0]
	next := b.now + max(busyTimerSeconds, (b.now-newest.enqueuedAt)/waitedShare)
	for _, h := range t.queue.byFirstRequest {
		late := func(j *job) bool { return j.objectiveLimit() <= b.now }
		if j := h.visitWhile(late, nil); j != nil {
			next = min(next, j.objectiveLimit()+b.config.Tick)
		}
	}
	expiresAt := func(j *job) float64 { return j.deadline - busyTimerSeconds - b.config.Tick }
	expired := func(j *job) bool { return expiresAt(j) <= b.now }
	if j := t.queue.byDeadline.visitWhile(expired, nil); j != nil {
		next = min(next, expiresAt(j)+b.config.Tick)
	}
	return next
}
