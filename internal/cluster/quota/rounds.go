package quota

const (
	leaveAttempts          = 4   // messages by which an instance announces that it leaves
	viewPollGrowth         = 1.5 // factor between two requests for a view
	maxViewPollSeconds     = 2.0
	maxAckTimeoutDoublings = 8
)

// Round begins a round. Arrivals is how many jobs of each tenant came since the
// start, in the order of ids. It returns which peers are to be written to.
func (a *Allocator) Round(now float64, arrivals []uint64) []string {
	elapsed := now - a.rounds.last
	if elapsed > a.LeaseDuration && !a.disabled.joining.suspension {
		a.resume(now)
	}
	a.rounds.last = now
	a.rounds.number++
	a.measureDemand(elapsed, arrivals)
	a.forgetPeers(now)
	a.updateOwnership(now)
	a.expireLoans(now)
	a.tryJoin(now)
	a.applyEarlyTotals()
	a.loansCovered = a.loansWithinOwned() && (a.pastLoansExpired(now) || a.disabled.joining.pastLoans)
	if a.flat {
		return a.flatReceivers(now)
	}
	a.advertiseDemand(now)
	a.allocate(now)
	return a.deltaReceivers(now)
}

// resume goes on after this instance was suspended for longer than a lease.
func (a *Allocator) resume(now float64) {
	a.rounds.startedAt = now
	a.joined = false
	a.members.changed = true
	a.tenants.stopFollowing()
	for _, p := range a.members.peers {
		p.presence.lastPresent = now
	}
}

// flatReceivers are the next peers in turn, also those that membership doesn't see: a
// partition may be over before it notices.
func (a *Allocator) flatReceivers(now float64) []string {
	a.prepareFlatRound(now)
	var names []string
	for range min(a.Fanout, len(a.members.sorted)) {
		names = append(names, a.members.nextPeer().name)
	}
	return names
}

// deltaReceivers are the peers for which something is due.
func (a *Allocator) deltaReceivers(now float64) []string {
	var names []string
	polls := 0
	for range a.members.sorted {
		if p := a.members.nextPeer(); a.isDue(now, p, &polls) {
			names = append(names, p.name)
		}
	}
	return names
}

// isDue reports whether a peer is to be written to. At rest only users and owners of
// the same tenants are, so that renewals don't cost more in a larger cluster.
func (a *Allocator) isDue(now float64, p *peer, polls *int) bool {
	if a.leaving {
		p.sent.unacknowledged++
		return p.sent.unacknowledged <= leaveAttempts
	}
	if p.sent.ackOwed {
		return true
	}
	if *polls < a.Fanout && a.viewPollDue(now, p) {
		*polls++
		a.scheduleViewPoll(now, p)
		return true
	}
	firstRetry := p.pending.urgent && p.sent.unacknowledged <= 1
	if now < p.sent.ackDueAt && !firstRetry {
		return false
	}
	deferredDue := len(p.pending.deferred) > 0 && now-p.pending.deferredSentAt >= a.LeaseDuration
	renewalDue := p.isLender() && now-p.sent.ackedSentAt >= a.renewalAge()
	return deferredDue || p.pending.urgent || now >= p.pending.countsDueAt || renewalDue
}

// viewPollDue reports whether this instance waits for a peer's view to join.
func (a *Allocator) viewPollDue(now float64, p *peer) bool {
	return !a.joined && !a.hasConfirmedView(now, p) && now-p.sent.viewPolledAt >= p.sent.viewPollInterval
}

func (a *Allocator) scheduleViewPoll(now float64, p *peer) {
	retry := a.retrySeconds()
	longest := max(retry, min(maxViewPollSeconds, a.LeaseDuration/4))
	p.sent.viewPolledAt = now
	p.sent.viewPollInterval = min(max(viewPollGrowth*p.sent.viewPollInterval, retry), longest)
}

// renewalAge is the age of the latest answered message at which loans are renewed, so
// that some attempts are left before they expire.
func (a *Allocator) renewalAge() float64 {
	latest := a.LeaseDuration - 2*a.Period - leaseRenewalAttempts*a.ackTimeout(0)
	return max(a.LeaseDuration/4, min(a.LeaseDuration/2, latest))
}

// ackTimeout is how long an acknowledgement is awaited, after so many attempts.
func (a *Allocator) ackTimeout(attempts int) float64 {
	first := a.retrySeconds()
	backoff := first * float64(int(1)<<min(attempts, maxAckTimeoutDoublings))
	return max(first, min(backoff, a.LeaseDuration/8))
}

// isLender reports whether this instance borrows of the peer, or would.
func (p *peer) isLender() bool { return len(p.loans.requested) > 0 || len(p.loans.borrowed) > 0 }
