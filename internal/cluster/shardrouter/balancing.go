package shardrouter

import (
	"cmp"
	"math"
	"slices"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// unsetTagSeconds, negated, represents a tag that is not set, as messages can't
// contain infinite numbers.
const unsetTagSeconds = 1e9

// notStarted is the StartedAge of an attempt that has not started.
const notStarted = -1

// savedTags are a tenant's queue tags and tokens at a point in time.
type savedTags struct {
	asOf         float64 // the time of the values below, in seconds
	local        float64 // the local tag, in seconds relative to asOf
	global       float64 // the global tag, in seconds relative to asOf
	tokens       float64
	tokensAge    float64 // seconds
	quotaDivisor float64 // 0: the tokens are not known
}

// updateBalancing starts balancing for a shard whose owner is open here, and stops
// it for any other. The shard's lock is held.
func (sh *shardState) updateBalancing(now float64) {
	want := sh.table.mayOpen && sh.owner.State() == shard.StateOpen
	switch {
	case sh.owned.balancing && !want:
		sh.stopBalancing()
	case want && !sh.owned.balancing && sh.owned.tenantsToExport == 0:
		sh.startBalancing(now)
	}
}

// stopBalancing makes the balancer export the shard's tenants.
func (sh *shardState) stopBalancing() {
	r := sh.router
	sh.owned.balancing = false
	sh.owned.updates = nil
	sh.owned.tagsEpoch = sh.owner.Epoch()
	for tenant := range sh.owned.tenants {
		r.batch.tenantEvents = append(r.batch.tenantEvents, balance.ExportTenant{Tenant: tenant})
	}
	sh.owned.tenantsToExport = len(sh.owned.tenants)
	r.needsStep = true
}

// tenantExported saves the tags of a tenant that the balancer has exported. The
// exported sharded jobs are not needed, as the owner has their records.
func (r *Router) tenantExported(now float64, state balance.TenantState) {
	sh := r.shardOf(state.Tenant)
	sh.Lock()
	defer sh.Unlock()
	sh.owned.tenantsToExport--
	sh.saveTags(now, state)
	r.batch.tenantEvents = append(r.batch.tenantEvents, balance.QuotaUpdate{Tenant: state.Tenant})
	r.reimportUnsharded(state)
	if sh.owned.tenantsToExport == 0 {
		clear(sh.owned.jobViews)
		sh.updateBalancing(now)
		r.schedule(sh)
	}
}

// saveTags saves a tenant's tags if they are valid in the owner's epoch and at
// least one of them is set.
func (sh *shardState) saveTags(now float64, state balance.TenantState) {
	isSet := state.LocalTag > unsetTag || state.GlobalTag > unsetTag
	if sh.owned.tagsEpoch != sh.owner.Epoch() || !isSet {
		return
	}
	sh.owned.tags[state.Tenant] = savedTags{
		asOf:         now,
		local:        max(state.LocalTag, -unsetTagSeconds),
		global:       max(state.GlobalTag, -unsetTagSeconds),
		tokens:       state.Tokens,
		tokensAge:    state.TokensAge,
		quotaDivisor: state.QuotaDivisor,
	}
}

// reimportUnsharded imports those of an exported tenant's jobs into the balancer again
// that arrived before there were shards.
func (r *Router) reimportUnsharded(state balance.TenantState) {
	var unsharded []balance.JobState
	for _, job := range state.Jobs {
		if _, _, ok := r.parseJobKey(job.ID); !ok {
			if r.batch.tightening != nil { // the balancer exported the job before it tightened the others
				job.Accepted = r.batch.tightening.Apply(job.Accepted)
			}
			unsharded = append(unsharded, job)
		}
	}
	if len(unsharded) > 0 {
		kept := balance.TenantState{Tenant: state.Tenant, Jobs: unsharded}
		r.batch.tenantEvents = append(r.batch.tenantEvents, balance.ImportTenant{State: kept})
	}
}

// startBalancing imports the shard's tenants into the balancer, with the jobs that
// the owner knows and the saved tags.
func (sh *shardState) startBalancing(now float64) {
	r := sh.router
	sh.owned.balancing = true
	sh.owned.updates = nil
	clear(sh.owned.jobViews)
	byTenant := map[string][]shard.JobRecord{}
	for _, record := range sh.owner.Jobs(now) {
		byTenant[record.Tenant] = append(byTenant[record.Tenant], record)
		sh.owned.tenants[record.Tenant] = true
	}
	sh.addKnownTenants()
	for tenant := range sh.owned.tenants {
		state := sh.tenantState(now, tenant, byTenant[tenant])
		r.batch.tenantEvents = append(r.batch.tenantEvents,
			balance.QuotaUpdate{Tenant: tenant, Allotment: 1},
			balance.ImportTenant{State: state})
	}
	r.needsStep = true
	r.counters.add(countShardsStarted, 1)
}

// addKnownTenants adds the tenants with saved tags and the configured tenants of
// the shard to the shard's tenants.
func (sh *shardState) addKnownTenants() {
	r := sh.router
	for tenant := range sh.owned.tags {
		sh.owned.tenants[tenant] = true
	}
	for _, tenant := range r.settings.tenants {
		if r.shardOf(tenant) == sh {
			sh.owned.tenants[tenant] = true
		}
	}
}

func (sh *shardState) tenantState(now float64, tenant string, records []shard.JobRecord) balance.TenantState {
	state := balance.TenantState{
		Tenant:    tenant,
		LocalTag:  unsetTag,
		GlobalTag: unsetTag,
	}
	if tags, ok := sh.owned.tags[tenant]; ok {
		tags.restore(now, &state)
	} else if len(records) > 0 {
		state.LocalTag = 0
		state.GlobalTag = 0
	}
	state.Jobs = sh.jobStates(records)
	return state
}

// restore sets the tags and tokens of a tenant's state, adjusted to now.
func (t savedTags) restore(now float64, state *balance.TenantState) {
	elapsed := now - t.asOf
	if t.local > -unsetTagSeconds {
		state.LocalTag = t.local - elapsed
	}
	if t.global > -unsetTagSeconds {
		state.GlobalTag = t.global - elapsed
	}
	state.QuotaDivisor = t.quotaDivisor
	state.Tokens = t.tokens
	state.TokensAge = t.tokensAge + elapsed
}

// jobStates returns the states of jobs for the balancer, sorted from the oldest to
// the youngest. Jobs of one origin keep their order.
func (sh *shardState) jobStates(records []shard.JobRecord) []balance.JobState {
	var states []balance.JobState
	youngest := math.Inf(1)
	origin := ""
	for _, record := range records {
		if record.Origin != origin {
			youngest = math.Inf(1)
			origin = record.Origin
		}
		// The ages of jobs that arrived at the same time may differ by rounding errors. An age
		// above that of the job before it would change the order.
		youngest = min(youngest, record.Age)
		record.Age = youngest
		if state, ok := sh.jobState(record); ok {
			states = append(states, state)
		}
	}
	slices.SortStableFunc(states, func(a, b balance.JobState) int { return cmp.Compare(b.Age, a.Age) })
	return states
}

// jobState returns a job's state for the balancer and records the balancer's view
// of the job. It reports false if a Reject or Fail for the job is granted and
// pending, as the balancer then has nothing left to decide.
func (sh *shardState) jobState(record shard.JobRecord) (balance.JobState, bool) {
	r := sh.router
	key := shard.JobKey{Origin: record.Origin, ID: record.ID}
	grant, pending := sh.owner.PendingGrant(key)
	view := &jobView{
		tenant:   record.Tenant,
		attempts: len(record.Attempts),
		started:  len(record.Attempts),
		finished: len(record.Attempts),
		deadline: r.Now() + record.Timeout,
		class:    r.settings.classOf(&record),
	}
	sh.owned.jobViews[key] = view
	if pending && (grant.Kind == shard.Reject || grant.Kind == shard.Fail) {
		view.answered = true
		return balance.JobState{}, false
	}
	r.settings.recordTimeout(record.Class, record.Timeout+record.Age)
	job := r.settings.jobState(&record)
	job.Accepted = view.class
	job.ID = r.jobKey(sh, key)
	for i := range record.Attempts {
		r.settings.addAttempt(&job, view, &record, i)
	}
	if pending && grant.Kind == shard.Send || record.Granted {
		addGrantedAttempt(&job, view, grant.Worker, pending)
	}
	job.Queued = view.finished == view.attempts
	return job, true
}

// jobState converts a record, without its attempts, to the balancer's state of a
// job.
func (s *settings) jobState(record *shard.JobRecord) balance.JobState {
	job := balance.JobState{
		Class:           record.Class,
		Slots:           max(record.Slots, 1),
		Memory:          max(record.Memory, 0),
		Age:             record.Age,
		FirstRequestAge: record.Age,
		QueuedAge:       record.Age,
		TimeLeft:        record.Timeout,
		QueueOrder:      record.Order,
	}
	if _, known := s.classes[record.Class]; known && !record.StartsNow {
		job.FirstRequestAge += max(0, s.longestTimeout[record.Class]-(record.Timeout+record.Age))
	}
	return job
}

// addAttempt adds the i-th attempt of a record to the balancer's state of a job,
// and updates the view.
func (s *settings) addAttempt(job *balance.JobState, view *jobView, record *shard.JobRecord, i int) {
	a := &record.Attempts[i]
	state := balance.AttemptState{
		Worker:     balance.WorkerInfo{ID: a.Worker, State: balance.Running},
		SentAge:    a.Elapsed,
		StartedAge: notStarted,
		Number:     uint64(i),
		Done:       a.Outcome != "",
	}
	switch {
	case a.Started:
		state.StartedAge = a.RunningFor
	case !state.Done:
		view.started = i
		state.AwaitingStart = s.startNotifications && view.mayRunTwice()
	}
	if !state.Done {
		view.finished = i
	}
	if a.Outcome == balance.Failed || a.Outcome == balance.ConnectionLost {
		job.FailedAttempts++
	}
	job.MayHaveRun = job.MayHaveRun || a.MayHaveRun && state.Done
	if (a.MayHaveRun || !state.Done) && job.FirstWorker.ID == "" {
		job.FirstWorker = state.Worker
		job.FirstAttemptAge = a.Elapsed
	}
	job.Attempts = append(job.Attempts, state)
}

// addGrantedAttempt adds an attempt that was granted and is not known to have
// begun. If the grant is not pending at this owner, a former owner made it and its
// worker is unknown.
func addGrantedAttempt(job *balance.JobState, view *jobView, workerID string, pending bool) {
	worker := balance.WorkerInfo{ID: workerID, State: balance.Running}
	if !pending {
		worker.State = balance.Removed
	}
	job.Attempts = append(job.Attempts, balance.AttemptState{
		Worker:     worker,
		StartedAge: notStarted,
		Number:     uint64(len(job.Attempts)),
	})
	view.attempts++
}
