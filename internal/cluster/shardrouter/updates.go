package shardrouter

import (
	"errors"
	"maps"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// ownerEvent is an event of an owner on this instance that is queued for the
// balancer.
type ownerEvent interface {
	// apply converts it to events for the balancer. The shard's lock is held.
	apply(now float64, sh *shardState)
}

// jobUpdated is a job's state as reported by its origin.
type jobUpdated struct{ shard.Update }

// grantReturned is a grant that was not executed.
type grantReturned struct{ shard.Grant }

// jobReintroduced is a job that has to be imported into the balancer again.
type jobReintroduced struct{ key shard.JobKey }

// jobExpired is a job whose deadline has passed by more than OriginGrace without a
// report from its origin.
type jobExpired struct{ key shard.JobKey }

// updateBalancer converts the queued events of an owner on this instance to events
// for the balancer, and discards them if the balancer does not schedule the shard.
// The shard's lock is held.
func (r *Router) updateBalancer(now float64, sh *shardState) {
	list := sh.owned.updates
	sh.owned.updates = nil
	if !sh.owned.balancing {
		return
	}
	for _, e := range list {
		e.apply(now, sh)
	}
}

func (r *Router) addEvent(e balance.Event) { r.batch.events = append(r.batch.events, e) }

func (u jobUpdated) apply(now float64, sh *shardState) {
	key := shard.JobKey{Origin: u.Origin, ID: u.ID}
	view := sh.owned.jobViews[key]
	switch {
	case view == nil && u.Finished:
	case u.RejectReason != nil:
		sh.queueRejection(now, key, u.Update)
	case view == nil && u.New && !u.Admitted && len(u.Attempts) == 0:
		sh.introduceNewJob(now, key, u.Update)
	case view == nil:
		sh.introduceJob(now, key)
	default:
		sh.updateJob(now, key, view, u.Update)
	}
}

// introduceNewJob passes a job to the balancer that no owner has admitted before.
func (sh *shardState) introduceNewJob(now float64, key shard.JobKey, u shard.Update) {
	r := sh.router
	class := r.settings.classOf(&u.JobRecord)
	sh.owned.jobViews[key] = &jobView{tenant: u.Tenant, deadline: now + u.Timeout, class: class}
	sh.ensureTenant(u.Tenant)
	r.settings.recordTimeout(u.Class, u.Timeout)
	r.addEvent(balance.JobArrived{
		ID:        r.jobKey(sh, key),
		Class:     u.Class,
		Tenant:    u.Tenant,
		Timeout:   u.Timeout,
		Slots:     u.Slots,
		Memory:    u.Memory,
		Retry:     u.Retry,
		StartsNow: u.StartsNow,
		Accepted:  class,
		Age:       max(u.Age, 0),
	})
}

// updateJob passes the changes of a job that the balancer knows on to it.
func (sh *shardState) updateJob(now float64, key shard.JobKey, view *jobView, u shard.Update) {
	r := sh.router
	id := r.jobKey(sh, key)
	if !view.answered && len(u.Attempts) > view.attempts { // the last attempt was not granted by this owner
		r.counters.add(countAttemptsNotGranted, 1)
		sh.reintroduceJob(now, key, view, u)
		return
	}
	if !view.answered && !u.Finished && view.isTightenedBy(u.Accepted) {
		sh.reintroduceJob(now, key, view, u)
		return
	}
	r.updateAttempts(id, view, u)
	unused := len(u.Attempts)
	if u.GrantUnused && view.attempts > unused {
		r.abortSend(id, view)
	}
	if !u.Finished {
		return
	}
	if view.attempts > unused { // the last grant was not executed
		r.abortSend(id, view)
	}
	r.forgetJob(id, view)
	delete(sh.owned.jobViews, key)
}

// reintroduceJob makes the balancer forget a job and imports it again as its
// origin reports it.
func (sh *shardState) reintroduceJob(now float64, key shard.JobKey, view *jobView, u shard.Update) {
	r := sh.router
	r.forgetJob(r.jobKey(sh, key), view)
	delete(sh.owned.jobViews, key)
	if !u.Finished {
		sh.introduceJob(now, key)
	}
}

// mayRunTwice reports whether the class of the job allows a retry at all.
func (v *jobView) mayRunTwice() bool {
	return v.class != nil && v.class.Idempotence != balance.NonIdempotent
}

// isTightenedBy reports whether a job's origin allows fewer retries than the
// balancer knows.
func (v *jobView) isTightenedBy(accepted *balance.Class) bool {
	return v.class != nil && accepted != nil && v.class.TightenedBy(*accepted) != *v.class
}

// updateAttempts passes the starts and ends of attempts that the balancer does not
// know yet on to it.
func (r *Router) updateAttempts(id string, view *jobView, u shard.Update) {
	for i := range u.Attempts {
		a := &u.Attempts[i]
		if a.Started && view.started <= i {
			view.started = i + 1
			r.addEvent(balance.AttemptStarted{ID: id, Attempt: i})
		}
		if a.Outcome != "" && view.finished <= i {
			view.finished = i + 1
			r.addEvent(balance.AttemptDone{
				ID:          id,
				Attempt:     i,
				Worker:      a.Worker,
				Outcome:     a.Outcome,
				JobFinished: u.Finished,
				Report:      a.Report,
			})
		}
	}
}

// abortSend removes the last attempt, which was granted and never began, from the
// view and the balancer.
func (r *Router) abortSend(id string, view *jobView) {
	view.attempts--
	r.addEvent(balance.SendAborted{ID: id, Attempt: view.attempts})
}

// forgetJob removes a job from the balancer. It reports the attempts that have not
// ended as cancelled, as no events for them follow.
func (r *Router) forgetJob(id string, view *jobView) {
	for ; view.finished < view.attempts; view.finished++ {
		r.addEvent(balance.AttemptDone{
			ID:          id,
			Attempt:     view.finished,
			Outcome:     balance.Cancelled,
			JobFinished: true,
		})
	}
	r.addEvent(balance.ClientDisconnected{ID: id})
}

func (g grantReturned) apply(now float64, sh *shardState) {
	r := sh.router
	key := shard.JobKey{Origin: g.Origin, ID: g.ID}
	view := sh.owned.jobViews[key]
	if view == nil {
		return
	}
	r.counters.add(countGrantsReturned, 1)
	switch g.Kind {
	case shard.Send:
		if view.attempts == g.Attempt+1 {
			r.abortSend(r.jobKey(sh, key), view)
		}
	case shard.Reject, shard.Fail:
		delete(sh.owned.jobViews, key)
		sh.introduceJob(now, key)
	}
}

func (j jobReintroduced) apply(now float64, sh *shardState) { sh.introduceJob(now, j.key) }

func (j jobExpired) apply(_ float64, sh *shardState) {
	view := sh.owned.jobViews[j.key]
	if view == nil || view.answered {
		return
	}
	r := sh.router
	r.forgetJob(r.jobKey(sh, j.key), view)
	view.answered = true
	r.counters.add(countExpiredJobs, 1)
}

// queueRejection queues the rejection of a job that its owner can't admit.
func (sh *shardState) queueRejection(now float64, key shard.JobKey, u shard.Update) {
	r := sh.router
	r.counters.add(countRejectedByFullOwner, 1)
	retryAfter := r.RetryAfter
	if full, ok := errors.AsType[shard.OwnerFullError](u.RejectReason); ok {
		retryAfter = full.RetryAfter
	}
	sh.owned.jobViews[key] = &jobView{tenant: u.Tenant, deadline: now + u.Timeout}
	r.rejections = append(r.rejections, rejection{
		shard:      sh,
		key:        key,
		retryAfter: r.settings.retryAfter(retryAfter),
	})
}

// introduceJob imports a job into the balancer with the state that the owner
// knows.
func (sh *shardState) introduceJob(now float64, key shard.JobKey) {
	record, ok := sh.owner.Job(now, key)
	if !ok || record.Finished || sh.owned.jobViews[key] != nil {
		return
	}
	state := balance.TenantState{
		Tenant:    record.Tenant,
		LocalTag:  unsetTag,
		GlobalTag: unsetTag,
	}
	if !sh.ensureTenant(record.Tenant) {
		state.LocalTag = 0
		state.GlobalTag = 0
	}
	if job, ok := sh.jobState(record); ok {
		state.Jobs = []balance.JobState{job}
		sh.router.addEvent(balance.ImportTenant{State: state})
	}
}

// minShardTenants is the number of tenants of a shard up to which those without jobs are kept.
const minShardTenants = 1024

// ensureTenant adds a tenant to the shard and gives the balancer the tenant's
// complete reservation. It reports whether the shard had the tenant before.
func (sh *shardState) ensureTenant(tenant string) bool {
	if sh.owned.tenants[tenant] {
		return true
	}
	sh.forgetIdleTenants()
	sh.owned.tenants[tenant] = true
	sh.router.addEvent(balance.QuotaUpdate{Tenant: tenant, Allotment: 1})
	return false
}

// forgetIdleTenants removes the tenants of the shard that have no job and are not configured, once there are many:
// clients choose the names.
func (sh *shardState) forgetIdleTenants() {
	owned := &sh.owned
	if len(owned.tenants) < max(minShardTenants, 2*owned.tenantsAfterSweep) {
		return
	}
	kept := map[string]bool{}
	for _, tenant := range sh.router.settings.tenants {
		kept[tenant] = true
	}
	for _, view := range owned.jobViews {
		kept[view.tenant] = true
	}
	isIdle := func(tenant string) bool { return !kept[tenant] }
	maps.DeleteFunc(owned.tenants, func(tenant string, _ bool) bool { return isIdle(tenant) })
	maps.DeleteFunc(owned.tags, func(tenant string, _ savedTags) bool { return isIdle(tenant) })
	owned.tenantsAfterSweep = len(owned.tenants)
}
