package shardrouter

import "example.org/bellstream/internal/cluster/shard"

// advanceOwner sends pending grants again and expires jobs of origins that do not
// respond. It does nothing unless the owner is open, this instance's balancer
// schedules the shard and the table is current.
func (sh *shardState) advanceOwner(now float64) {
	if sh.owner.State() != shard.StateOpen || !sh.owned.balancing || !sh.router.tableIsCurrent() {
		return
	}
	sh.resendGrantsIfDue(now)
	if sh.owner.PendingCount() == 0 {
		sh.owned.oldestGrant = 0
	}
	sh.expireUnansweredIfDue(now)
}

func (sh *shardState) resendGrantsIfDue(now float64) {
	o := &sh.owned
	if sh.owner.PendingCount() == 0 || now < o.resendAt {
		return
	}
	grants := sh.owner.PendingGrants(shard.MaxChunkRecords)
	oldest := grants[0].Number
	if oldest == o.oldestGrant {
		o.resendDelay = min(2*o.resendDelay, maxRetrySeconds)
	} else {
		o.resendDelay = sh.router.Timing.RetryInterval
	}
	newlyPending := o.oldestGrant == 0
	o.oldestGrant = oldest
	o.resendAt = now + o.resendDelay
	if !newlyPending {
		sh.resendGrants(grants)
	}
}

func (sh *shardState) resendGrants(grants []shard.Grant) {
	r := sh.router
	for _, g := range grants {
		if g.Origin != r.incarnation {
			r.send(instanceOf(g.Origin), g)
			r.counters.add(countGrantsResent, 1)
		}
	}
}

// expireUnansweredIfDue expires, once per CompareInterval, the jobs of other
// origins that are unanswered more than OriginGrace after their deadline.
func (sh *shardState) expireUnansweredIfDue(now float64) {
	r := sh.router
	if now < sh.owned.nextExpiryAt {
		return
	}
	sh.owned.nextExpiryAt = now + r.Timing.CompareInterval
	for key, view := range sh.owned.jobViews {
		if !view.answered && key.Origin != r.incarnation && now > view.deadline+r.Timing.OriginGrace {
			sh.owned.updates = append(sh.owned.updates, jobExpired{key})
			r.markReady(sh)
		}
	}
}

// queueUpdates queues updates from origins for the balancer if the balancer
// schedules the shard. Otherwise the updates are not needed, as startBalancing
// passes all jobs of the shard to the balancer.
func (sh *shardState) queueUpdates(updates []shard.Update) {
	if !sh.owned.balancing || len(updates) == 0 {
		return
	}
	for _, u := range updates {
		sh.owned.updates = append(sh.owned.updates, jobUpdated{u})
	}
	sh.router.markReady(sh)
}

// queueReturnedGrants queues an event for the balancer, if it schedules the shard,
// for each grant that its origin did not execute.
func (sh *shardState) queueReturnedGrants(grants []shard.Grant) {
	if !sh.owned.balancing {
		return
	}
	for _, g := range grants {
		sh.owned.updates = append(sh.owned.updates, grantReturned{g})
		sh.router.markReady(sh)
	}
}

// receive handles an envelope: a message, or the notice that its sender has a new
// incarnation. Package shard ignores messages that are late, duplicated or of another epoch.
func (sh *shardState) receive(now float64, e envelope) {
	if e.newIncarnation != "" {
		sh.receiveIncarnation(e.sender, e.newIncarnation)
		return
	}
	switch m := e.message.(type) {
	case shard.Ack, shard.Grant, shard.Revoke, shard.DigestMismatch, shard.ResendRequest:
		sh.receiveAsOrigin(now, e)
	case shard.JobUpdate:
		sh.receiveUpdate(now, e.sender, m)
	case shard.Decline:
		sh.queueReturnedGrants(sh.owner.ApplyDecline(m))
	case shard.Digest:
		sh.receiveDigest(e.sender, m)
	case shard.BucketContents:
		sh.receiveContents(e.sender, m)
	case shard.Chunk:
		sh.receiveChunk(now, e.sender, m)
	case shard.Abort:
		sh.receiveAbort(now, e.sender, m)
	case shard.ChunkAck:
		sh.receiveChunkAck(now, e.sender, m)
	case shard.Aborted:
		sh.receiveAborted(m)
	}
}

// receiveAsOrigin handles a message to an origin. It drops messages to another
// incarnation of this instance.
func (sh *shardState) receiveAsOrigin(now float64, e envelope) {
	self := sh.router.incarnation
	switch m := e.message.(type) {
	case shard.Ack:
		if m.Origin == self {
			sh.receiveAck(now, e.sender, m)
		}
	case shard.Grant:
		if m.Origin == self {
			sh.receiveGrant(e.sender, m)
		}
	case shard.Revoke:
		if m.Origin == self {
			sh.receiveRevoke(now, e.sender, m)
		}
	case shard.DigestMismatch:
		if m.Origin == self {
			sh.receiveMismatch(e.sender, m)
		}
	case shard.ResendRequest:
		if m.Origin == self {
			sh.jobLog.QueueResend(m)
		}
	}
}

func (sh *shardState) receiveUpdate(now float64, sender string, update shard.JobUpdate) {
	r := sh.router
	if len(sh.owned.updates) >= maxQueuedUpdates {
		r.counters.add(countUpdatesDeferred, 1)
		return
	}
	updates, ack, err := sh.owner.ApplyUpdate(now, update)
	if ack.Epoch > 0 {
		r.send(sender, ack)
	}
	if err == nil {
		sh.queueUpdates(updates)
	}
}

func (sh *shardState) receiveDigest(sender string, digest shard.Digest) {
	r := sh.router
	if mismatch, differs := sh.owner.Compare(digest); differs {
		r.counters.add(countMismatches, 1)
		r.Log("shard %d: jobs of origin %s differ from the records of the owner here in %d of %d buckets; reconciling",
			sh.number, digest.Origin, len(mismatch.Buckets), shard.BucketCount)
		r.send(sender, mismatch)
	}
	if sh.owner.State() != shard.StateClosed && digest.Epoch == sh.owner.Epoch() {
		r.send(sender, shard.Ack{ // shows the origin that its owner responds
			Shard:  sh.number,
			Epoch:  digest.Epoch,
			Origin: digest.Origin,
			Next:   digest.LastUpdate + 1,
		})
	}
}

func (sh *shardState) receiveContents(sender string, contents shard.BucketContents) {
	updates, request := sh.owner.Reconcile(contents)
	sh.router.counters.add(countReconciled, len(updates)+len(request.IDs))
	sh.queueUpdates(updates)
	if len(request.IDs) > 0 {
		sh.router.send(sender, request)
	}
}

// receiveIncarnation drops the jobs of former incarnations of the sender.
func (sh *shardState) receiveIncarnation(sender, incarnation string) {
	for _, origin := range sh.owner.Origins() {
		former := instanceOf(origin) == sender && incarnationNumber(origin) < incarnationNumber(incarnation)
		if sh.owner.State() != shard.StateClosed && former {
			sh.queueUpdates(sh.owner.OriginLost(origin))
		}
	}
}
