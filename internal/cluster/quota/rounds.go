package quota

const (
	leaveAttempts          = 4   // messages to each peer by which an instance announces that it leaves
	viewPollGrowth         = 1.5 // factor between two requests for a view
	maxViewPollSeconds     = 2.0
	maxAckTimeoutDoublings = 8
)

// Round begins a round. Arrivals are the numbers of jobs of each tenant that have arrived since the
// start, in ascending order of tenant ids. Round returns the names of the peers to which messages
// have to be sent.
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

// resume prepares this instance to join again after it was suspended for longer than a lease.
func (a *Allocator) resume(now float64) {
	a.rounds.startedAt = now
	a.joined = false
	a.members.changed = true
	a.tenants.stopFollowing()
	for _, p := range a.members.peers {
		p.presence.lastPresent = now
	}
}

// flatReceivers returns the next Fanout peers in turn. They include peers that membership doesn't
// see, because a partition may end before membership notices.
func (a *Allocator) flatReceivers(now float64) []string {
	a.prepareFlatRound(now)
	var names []string
	for range min(a.Fanout, len(a.members.sorted)) {
		names = append(names, a.members.nextPeer().name)
	}
	return names
}

// deltaReceivers returns the peers to which a message is due.
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

// isDue reports whether a message to a peer is due. Without changes only users and owners of the same
// tenants exchange messages, so that the cost of renewals does not grow with the cluster.
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

// viewPollDue reports whether this instance has to request a peer's view in order to join.
func (a *Allocator) viewPollDue(now float64, p *peer) bool {
	return !a.joined && !a.hasConfirmedView(now, p) && now-p.sent.viewPolledAt >= p.sent.viewPollInterval
}

func (a *Allocator) scheduleViewPoll(now float64, p *peer) {
	retry := a.retrySeconds()
	longest := max(retry, min(maxViewPollSeconds, a.LeaseDuration/4))
	p.sent.viewPolledAt = now
	p.sent.viewPollInterval = min(max(viewPollGrowth*p.sent.viewPollInterval, retry), longest)
}

// renewalAge returns the age in seconds of the latest acknowledged message at which loans are renewed.
// It leaves time for leaseRenewalAttempts attempts before the loans expire, within the limits of a
// quarter and a half of the lease.
func (a *Allocator) renewalAge() float64 {
	latest := a.LeaseDuration - 2*a.Period - leaseRenewalAttempts*a.ackTimeout(0)
	return max(a.LeaseDuration/4, min(a.LeaseDuration/2, latest))
}

// ackTimeout returns how long to wait for an acknowledgement, in seconds, after the given number of
// unacknowledged attempts.
func (a *Allocator) ackTimeout(attempts int) float64 {
	first := a.retrySeconds()
	backoff := first * float64(int(1)<<min(attempts, maxAckTimeoutDoublings))
	return max(first, min(backoff, a.LeaseDuration/8))
}

// isLender reports whether this instance borrows from the peer or has requested to.
func (p *peer) isLender() bool { return len(p.loans.requested) > 0 || len(p.loans.borrowed) > 0 }
