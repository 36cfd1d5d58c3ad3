package shardrouter

import "example.org/bellstream/balance"

// Step handles events of this instance and returns the actions to execute here,
// like balance.Balancer.Step. Only the loop may call it. Until a table has shards,
// it passes the events on to the balancer and returns the balancer's actions. The
// returned slice may be overwritten by the next call.
func (r *Router) Step(now float64, events []balance.Event) []balance.Action {
	r.actions = r.actions[:0]
	r.batch.local = r.batch.local[:0]
	r.batch.tightening = nil
	r.needsStep = false
	former := r.activeTable
	r.adoptTable(now)
	if r.allShards() == nil {
		return r.stepWithoutShards(now, events)
	}
	for _, e := range events {
		r.handleEvent(now, e)
	}
	if r.activeTable != former && r.withoutLease() {
		r.answerOverdueJobs(now, true)
	}
	r.collectEvents(now)
	for _, a := range r.balancer.Step(now, r.batch.events) {
		r.handleAction(now, a)
	}
	r.grantRejections(now)
	r.flushPeers()
	r.scheduleChanged()
	if r.needsStep || len(r.batch.undo) > 0 || len(r.batch.tenantEvents) > 0 {
		r.requestWake()
	}
	return r.actions
}

func (r *Router) stepWithoutShards(now float64, events []balance.Event) []balance.Action {
	for _, e := range events {
		if changed, ok := e.(balance.ConfigChanged); ok {
			r.configure(changed.Config)
		}
	}
	return r.balancer.Step(now, events)
}

// collectEvents collects the events of this step for the balancer, in order.
func (r *Router) collectEvents(now float64) {
	b := &r.batch
	b.events = append(b.events[:0], b.undo...)
	b.events = append(b.events, b.tenantEvents...)
	b.events = append(b.events, b.local...)
	b.undo = b.undo[:0]
	b.tenantEvents = b.tenantEvents[:0]
	r.updateLocalOwners(now)
	r.collectReady(now)
	b.events = append(b.events, b.tenantEvents...) // of shards whose balancing collectReady started or stopped
	b.tenantEvents = b.tenantEvents[:0]
}

// updateLocalOwners applies updates of changed shards to owners on this instance,
// at most maxInlineUpdates per shard. Workers apply the rest.
func (r *Router) updateLocalOwners(now float64) {
	for _, sh := range r.changedShards {
		sh.Lock()
		sh.ownerIsRemote = sh.origin.ownerName != r.Name || !sh.updateLocalOwner(now, maxInlineUpdates)
		sh.Unlock()
	}
}

// collectReady handles the grants and owner events that workers have queued for
// the loop.
func (r *Router) collectReady(now float64) {
	unanswered := false
	for _, sh := range r.takeReady() {
		sh.Lock()
		unanswered = r.collectShard(now, sh) || unanswered
		sh.Unlock()
	}
	if unanswered {
		r.answerOverdueJobs(now, false)
	}
}

// collectShard handles a shard's queued grants and owner events, and reports
// whether local jobs wait for a response of the owner. The shard's lock is held.
func (r *Router) collectShard(now float64, sh *shardState) bool {
	sh.ready = false
	sh.updateBalancing(now)
	grants := sh.origin.grants
	sh.origin.grants = nil
	for _, g := range grants {
		r.acceptGrant(now, sh, g)
	}
	unanswered := sh.origin.unansweredSince > 0 && sh.origin.localJobs > 0
	if len(grants) > 0 {
		r.markChanged(sh)
	}
	r.updateBalancer(now, sh)
	return unanswered
}

// markChanged records that this step added updates to a shard's log.
func (r *Router) markChanged(sh *shardState) {
	if !sh.changed {
		sh.changed = true
		r.changedShards = append(r.changedShards, sh)
	}
}

// scheduleChanged schedules the changed shards whose updates workers have to send.
func (r *Router) scheduleChanged() {
	for _, sh := range r.changedShards {
		sh.changed = false
		if sh.ownerIsRemote {
			r.schedule(sh)
		}
	}
	r.changedShards = r.changedShards[:0]
}

// handleEvent handles an event of a job that belongs to a shard. It queues other
// events unchanged for the balancer.
func (r *Router) handleEvent(now float64, e balance.Event) {
	switch e := e.(type) {
	case balance.JobArrived:
		if sh := r.shardOf(e.Tenant); sh != nil {
			r.handleArrival(now, sh, e)
			return
		}
	case balance.ClientDisconnected:
		if job := r.localJobs[e.ID]; job != nil {
			r.handleDisconnect(job)
			return
		}
	case balance.AttemptStarted:
		if job := r.localJobs[e.ID]; job != nil {
			r.handleAttemptStarted(now, job)
			return
		}
	case balance.AttemptDone:
		if job := r.localJobs[e.ID]; job != nil {
			r.handleAttemptDone(now, job, e)
			return
		}
	case balance.QuotaUpdate:
		if r.shardOf(e.Tenant) != nil {
			return // the owner of the tenant's shard uses the complete reservation
		}
	case balance.ConfigChanged:
		r.handleConfigChanged(e)
		return
	case balance.Shutdown:
		r.handleShutdown(now)
	}
	r.batch.local = append(r.batch.local, e)
}

func (r *Router) handleConfigChanged(e balance.ConfigChanged) {
	r.configure(e.Config)
	if e.TightenExisting {
		r.tightenJobs()
	}
	r.batch.local = append(r.batch.local, e)
	for _, tenant := range r.settings.tenants {
		r.batch.local = append(r.batch.local, r.quotaUpdate(tenant))
	}
}

// tightenJobs restricts the retries of the jobs accepted here and of those of the
// shards owned here to what the present configuration allows. The balancer does
// the same for the jobs that it holds.
func (r *Router) tightenJobs() {
	tightening := balance.NewTightening(func(name string) *balance.Class { return r.settings.classes[name] })
	r.batch.tightening = tightening
	for _, job := range r.localJobs {
		job.class = tightening.Apply(job.class)
	}
	for _, sh := range r.allShards() {
		sh.Lock()
		sh.tighten(tightening)
		sh.Unlock()
	}
}

// tighten restricts the retries of the shard's jobs. The shard's lock is held.
func (sh *shardState) tighten(tightening *balance.Tightening) {
	if sh.jobLog.Tighten(tightening) {
		sh.router.markChanged(sh)
	}
	sh.owner.Tighten(tightening)
	for _, view := range sh.owned.jobViews {
		view.class = tightening.Apply(view.class)
	}
	for i, e := range sh.owned.updates {
		if u, ok := e.(jobUpdated); ok {
			u.Accepted = tightening.Apply(u.Accepted)
			sh.owned.updates[i] = u
		}
	}
}

// quotaUpdate returns the part of a tenant's reservation that the balancer here
// may use: all of it if the balancer schedules the tenant's shard, otherwise
// none.
func (r *Router) quotaUpdate(tenant string) balance.QuotaUpdate {
	sh := r.shardOf(tenant)
	sh.Lock()
	defer sh.Unlock()
	if sh.owned.balancing {
		return balance.QuotaUpdate{Tenant: tenant, Allotment: 1}
	}
	return balance.QuotaUpdate{Tenant: tenant}
}

// handleShutdown stops balancing for all shards and answers all sharded jobs of
// this instance. The balancer exports the shards' tenants before it handles the
// Shutdown event, so that it does not answer their jobs.
func (r *Router) handleShutdown(now float64) {
	r.shuttingDown = true
	for _, sh := range r.allShards() {
		sh.Lock()
		sh.table.namesSelf = false
		sh.table.mayOpen = false
		sh.updateBalancing(now)
		sh.Unlock()
	}
	for _, job := range r.localJobs {
		if !job.finished {
			job.shard.Lock()
			r.answerLocally(job)
			job.shard.Unlock()
		}
	}
	r.batch.local = append(r.batch.local, r.batch.tenantEvents...)
	r.batch.tenantEvents = r.batch.tenantEvents[:0]
}
