package shardrouter

import "example.org/bellstream/internal/cluster/shard"

// advanceOrigin sends or applies the origin's updates for the shard's owner, and
// checks whether the owner responds.
func (sh *shardState) advanceOrigin(now float64) {
	switch {
	case sh.jobLog.Epoch() == 0 || sh.origin.ownerName == "":
		sh.expectResponseForJobs(now)
	case sh.origin.ownerName == sh.router.Name:
		sh.updateLocalOwner(now, allUpdates)
	default:
		sh.updateRemoteOwner(now)
	}
	sh.checkOwnerTimeout(now)
}

// expectResponseForJobs calls expectResponse if this instance has unanswered jobs
// of the shard.
func (sh *shardState) expectResponseForJobs(now float64) {
	if sh.origin.localJobs > 0 {
		sh.expectResponse(now)
	}
}

// expectResponse records that this origin waits for a response of the owner from
// now on, unless it already waits.
func (sh *shardState) expectResponse(now float64) {
	if sh.origin.unansweredSince == 0 {
		sh.origin.unansweredSince = now
	}
}

func (sh *shardState) updateRemoteOwner(now float64) {
	sh.sendUpdates(now)
	sh.resendIfDue(now)
	sh.compareIfDue(now)
}

// sendUpdates sends all updates that the log allows to be sent now.
func (sh *shardState) sendUpdates(now float64) {
	for {
		update, ok := sh.jobLog.NextUpdate(now)
		if !ok {
			return
		}
		sh.sendUpdate(now, update)
	}
}

func (sh *shardState) sendUpdate(now float64, update shard.JobUpdate) {
	sh.expectResponse(now)
	if sh.origin.resendAt == 0 {
		sh.origin.resendAt = now + sh.origin.resendDelay
	}
	sh.router.send(sh.origin.ownerName, update)
}

func (sh *shardState) resendIfDue(now float64) {
	o := &sh.origin
	if o.resendAt == 0 || now < o.resendAt {
		return
	}
	o.resendAt = 0
	if sh.resend(now) {
		o.resendDelay = min(2*o.resendDelay, maxRetrySeconds)
		o.resending = true
	}
}

// resend sends the oldest unacknowledged update again, and reports whether there
// was one.
func (sh *shardState) resend(now float64) bool {
	update, ok := sh.jobLog.Resend(now)
	if ok {
		sh.sendUpdate(now, update)
		sh.router.counters.add(countUpdatesResent, len(update.Records))
	}
	return ok
}

func (sh *shardState) compareIfDue(now float64) {
	o := &sh.origin
	if now < o.compareAt || o.localJobs == 0 && o.unansweredSince == 0 {
		return
	}
	digest, ok := sh.jobLog.Digest()
	if !ok {
		return
	}
	o.compareAt = now + sh.router.Timing.CompareInterval
	sh.router.send(o.ownerName, digest)
	sh.expectResponse(now)
}

// checkOwnerTimeout marks the owner as unresponsive after OwnerTimeout without a
// response. After four tick intervals it lets the loop answer jobs that are close
// to their deadline.
func (sh *shardState) checkOwnerTimeout(now float64) {
	o := &sh.origin
	r := sh.router
	if o.unansweredSince == 0 {
		return
	}
	if !o.ownerUnresponsive && now > o.unansweredSince+r.Timing.OwnerTimeout {
		o.ownerUnresponsive = true
		r.counters.add(countOwnersUnresponsive, 1)
		r.Log("shard %d: no response from its owner (%q) for %.1f s: jobs of this instance are "+
			"rejected with Retry-After, or failed if a retry is not safe",
			sh.number, o.ownerName, now-o.unansweredSince)
	}
	if o.localJobs > 0 && now > o.unansweredSince+4*r.Timing.TickInterval {
		r.markReady(sh) // the loop answers the jobs that are close to their deadline
	}
}

// ownerResponded records a response of the owner.
func (sh *shardState) ownerResponded() {
	if sh.origin.ownerUnresponsive {
		sh.router.Log("shard %d: its owner (%s) responds again", sh.number, sh.origin.ownerName)
	}
	sh.origin.unansweredSince = 0
	sh.origin.ownerUnresponsive = false
}

// updateLocalOwner applies at most limit updates to the owner on this instance,
// without messages. It reports false if there may be more, and true if there are
// none or the owner can't apply them now.
func (sh *shardState) updateLocalOwner(now float64, limit int) bool {
	if sh.owner.State() == shard.StateClosed || sh.owner.Epoch() != sh.jobLog.Epoch() {
		sh.expectResponseForJobs(now)
		return true
	}
	sh.ownerResponded()
	for ; limit > 0 && len(sh.owned.updates) < maxQueuedUpdates; limit-- {
		update, ok := sh.jobLog.NextUpdate(now)
		if !ok {
			return true
		}
		updates, ack, err := sh.owner.ApplyUpdate(now, update)
		if err != nil {
			return true
		}
		sh.jobLog.Acknowledge(ack)
		sh.queueUpdates(updates)
	}
	return false
}

// observeEpoch records the epoch of a message from an owner. If the epoch is new,
// the sender is the shard's owner in it.
func (sh *shardState) observeEpoch(epoch uint64, sender string) {
	if sh.jobLog.ObserveEpoch(epoch) {
		sh.startEpoch(sender)
	}
}

// startEpoch resets the state towards the owner at the beginning of an epoch. The
// log sends all jobs to the new owner.
func (sh *shardState) startEpoch(ownerName string) {
	o := &sh.origin
	o.ownerName = ownerName
	o.resendDelay = sh.router.Timing.RetryInterval
	o.resending = false
	o.lastAcked = 0
	o.resendAt = 0
	o.compareAt = 0
	o.unansweredSince = 0
}

func (sh *shardState) receiveAck(now float64, sender string, ack shard.Ack) {
	sh.observeEpoch(ack.Epoch, sender)
	if ack.Epoch != sh.jobLog.Epoch() {
		return
	}
	sh.jobLog.Acknowledge(ack)
	sh.ownerResponded()
	o := &sh.origin
	switch {
	case ack.Next > o.lastAcked:
		o.lastAcked = ack.Next
		sh.continueResend(now)
	case !sh.jobLog.Synced() && now >= o.gapResendAt: // an update was lost or arrived out of order
		o.gapResendAt = now + minResendSeconds
		o.resending = sh.resend(now)
	}
}

// continueResend sends the next unacknowledged update again if a resend is in
// progress. It is called when an acknowledgement has advanced.
func (sh *shardState) continueResend(now float64) {
	o := &sh.origin
	o.resendDelay = sh.router.Timing.RetryInterval
	o.resendAt = 0
	if sh.jobLog.Synced() {
		o.resending = false
		return
	}
	o.resending = o.resending && sh.resend(now)
	if !o.resending {
		o.resendAt = now + o.resendDelay
	}
}

func (sh *shardState) receiveGrant(sender string, g shard.Grant) {
	if len(sh.origin.grants) >= maxQueuedGrants {
		return
	}
	sh.origin.grants = append(sh.origin.grants, receivedGrant{Grant: g, sender: sender})
	sh.router.markReady(sh)
}

func (sh *shardState) receiveRevoke(now float64, sender string, revoke shard.Revoke) {
	sh.observeEpoch(revoke.Epoch, sender)
	decline, err := sh.jobLog.Revoke(revoke)
	if err != nil {
		return
	}
	sh.sendUpdates(now) // the owner ignores a decline while it lacks earlier updates
	sh.router.send(sender, decline)
}

func (sh *shardState) receiveMismatch(sender string, mismatch shard.DigestMismatch) {
	for _, contents := range sh.jobLog.BucketContents(mismatch) {
		sh.router.send(sender, contents)
	}
}
