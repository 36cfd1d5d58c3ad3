package shardrouter

import (
	"errors"
	"strconv"
	"strings"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// acceptGrant executes a grant from an owner on another instance, or declines it.
// The shard's lock is held.
func (r *Router) acceptGrant(now float64, sh *shardState, g receivedGrant) {
	sh.observeEpoch(g.Epoch, g.sender)
	err := sh.jobLog.Accept(now, g.Grant)
	if err == nil {
		r.executeGrant(g.Grant)
		return
	}
	r.counters.add(countGrantsDeclined, 1)
	r.failIfSpent(g.Grant, err)
	if decline, ok := sh.jobLog.Decline(g.Grant); ok {
		sh.sendUpdates(now) // the owner ignores a decline while it lacks earlier updates
		r.send(g.sender, decline)
	}
}

// failIfSpent fails a job whose grant was declined because it may have run and must
// not run again. No grant but a Fail would be executed any more, and an owner whose
// definition of the class allows more would repeat the declined one until the
// job's deadline. The lock of the job's shard is held.
func (r *Router) failIfSpent(g shard.Grant, declined error) {
	job := r.localJobs[g.ID]
	if job != nil && !job.finished && errors.Is(declined, shard.MayHaveRunError{}) {
		r.answerLocally(job)
	}
}

// executeGrant adds the action of an accepted grant to the actions of this step.
func (r *Router) executeGrant(g shard.Grant) {
	job := r.localJobs[g.ID]
	if job == nil {
		return
	}
	switch g.Kind {
	case shard.Send:
		job.inFlight = true
		r.actions = append(r.actions, balance.Send{ID: g.ID, Worker: g.Worker})
	case shard.Reject:
		r.actions = append(r.actions, balance.Reject{ID: g.ID, RetryAfter: g.RetryAfter})
		r.finishJob(job)
	case shard.Fail:
		r.actions = append(r.actions, balance.Fail{ID: g.ID})
		r.finishJob(job)
	case shard.Cancel:
		r.actions = append(r.actions, balance.Cancel{ID: g.ID, Attempt: g.Attempt})
	}
}

// handleAction turns an action of the balancer for a sharded job into a grant. It
// passes other actions on to the loop unchanged.
func (r *Router) handleAction(now float64, a balance.Action) {
	granted := false
	switch a := a.(type) {
	case balance.Send:
		granted = r.grantAction(now, a.ID, shard.Decision{Kind: shard.Send, Worker: a.Worker})
	case balance.Reject:
		granted = r.grantAction(now, a.ID, shard.Decision{Kind: shard.Reject, RetryAfter: a.RetryAfter})
	case balance.Fail:
		granted = r.grantAction(now, a.ID, shard.Decision{Kind: shard.Fail})
	case balance.Cancel:
		granted = r.grantAction(now, a.ID, shard.Decision{Kind: shard.Cancel})
	case balance.TenantExported:
		r.tenantExported(now, a.State)
		return
	}
	if !granted {
		r.actions = append(r.actions, a)
	}
}

// grantAction grants a decision for the job with a job key, or undoes it if the
// owner can't grant. It reports false if id is no job key: the job belongs to no
// shard.
func (r *Router) grantAction(now float64, id string, decision shard.Decision) bool {
	sh, key, ok := r.parseJobKey(id)
	if !ok {
		return false
	}
	sh.Lock()
	defer sh.Unlock()
	view := sh.owned.jobViews[key]
	if view == nil {
		return true // the job has ended meanwhile
	}
	if decision.Kind == shard.Send {
		view.attempts++
	}
	g, err := sh.grant(key, decision)
	if err != nil {
		r.counters.add(countDecisionsNotGranted, 1)
		r.undoDecision(sh, key, view, decision.Kind)
		return true
	}
	view.answered = view.answered || decision.Kind == shard.Reject || decision.Kind == shard.Fail
	if key.Origin == r.incarnation {
		r.grantLocally(now, sh, g)
	} else {
		r.send(instanceOf(key.Origin), g)
	}
	return true
}

func (sh *shardState) grant(key shard.JobKey, decision shard.Decision) (shard.Grant, error) {
	if !sh.owned.balancing || !sh.router.tableIsCurrent() {
		return shard.Grant{}, shard.NotOwnerError{Shard: sh.number, State: sh.owner.State()}
	}
	return sh.owner.Grant(key, decision)
}

// grantLocally executes a grant for a job of this instance, or declines it. The
// shard's lock is held.
func (r *Router) grantLocally(now float64, sh *shardState, g shard.Grant) {
	err := sh.jobLog.Accept(now, g)
	if err == nil {
		r.executeGrant(g)
		sh.updateLocalOwner(now, maxInlineUpdates)
		return
	}
	r.failIfSpent(g, err)
	if decline, ok := sh.jobLog.Decline(g); ok {
		r.counters.add(countGrantsDeclined, 1)
		sh.updateLocalOwner(now, maxInlineUpdates)
		sh.queueReturnedGrants(sh.owner.ApplyDecline(decline))
		r.needsStep = true
	}
}

// undoDecision makes the balancer revert a decision that was not granted. A Send
// is aborted in the next step. After a Reject or a Fail the balancer, which has
// dropped the job, receives the job again as its owner knows it.
func (r *Router) undoDecision(sh *shardState, key shard.JobKey, view *jobView, kind shard.Kind) {
	switch kind {
	case shard.Send:
		view.attempts--
		r.batch.undo = append(r.batch.undo, balance.SendAborted{ID: r.jobKey(sh, key), Attempt: view.attempts})
	case shard.Reject, shard.Fail:
		view.answered = false
		delete(sh.owned.jobViews, key)
		sh.owned.updates = append(sh.owned.updates, jobReintroduced{key})
		r.markReady(sh)
		r.needsStep = true
	}
}

// rejection is a job that an owner on this instance rejects without passing it to
// the balancer. retryAfter is in seconds.
type rejection struct {
	shard      *shardState
	key        shard.JobKey
	retryAfter float64
}

// grantRejections grants the rejections of jobs that owners did not admit in this
// step.
func (r *Router) grantRejections(now float64) {
	for _, x := range r.rejections {
		r.grantAction(now, r.jobKey(x.shard, x.key), shard.Decision{Kind: shard.Reject, RetryAfter: x.retryAfter})
	}
	r.rejections = r.rejections[:0]
}

// keySeparator separates the parts of a job key. validNames rejects ids that
// contain it, so that no client can forge a job key.
const keySeparator = "\x00"

// jobKey returns the id that the balancer uses for a sharded job: its origin, its
// shard's number and its own id.
func (r *Router) jobKey(sh *shardState, key shard.JobKey) string {
	return key.Origin + keySeparator + strconv.Itoa(sh.number) + keySeparator + key.ID
}

// parseJobKey returns the shard and the job of a job key. It reports false if key
// is no job key of a shard here.
func (r *Router) parseJobKey(key string) (*shardState, shard.JobKey, bool) {
	origin, rest, ok := strings.Cut(key, keySeparator)
	if !ok {
		return nil, shard.JobKey{}, false
	}
	number, id, ok := strings.Cut(rest, keySeparator)
	if !ok {
		return nil, shard.JobKey{}, false
	}
	all := r.allShards()
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= len(all) {
		return nil, shard.JobKey{}, false
	}
	return all[n], shard.JobKey{Origin: origin, ID: id}, true
}
