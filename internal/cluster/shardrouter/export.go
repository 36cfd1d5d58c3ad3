package shardrouter

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"example.org/bellstream/internal/cluster/shard"
)

// UnknownPeerError is returned for a transfer to an instance from which no frame
// was received yet.
type UnknownPeerError struct {
	Shard int
	Name  string
}

func (e UnknownPeerError) Error() string {
	return fmt.Sprintf("shard %d: can't be transferred to %q: no frame was received from that instance yet; "+
		"one is requested now, try again; if the error persists, check that the instance runs and is reachable "+
		"(docs/operators/shards.md, \"Mend\")", e.Shard, e.Name)
}

// Is matches any error of the type.
func (UnknownPeerError) Is(err error) bool { _, ok := err.(UnknownPeerError); return ok }

// Transfer begins to transfer a shard from this instance to another. The transfer
// continues in the background until the agreed map names the new owner or the
// transfer is aborted. Errors are shard.NotOwnerError, shard.TransferRejectedError
// and UnknownPeerError.
func (r *Router) Transfer(number int, to string) error {
	all := r.allShards()
	if number < 0 || number >= len(all) {
		return shard.NotOwnerError{Shard: number, State: shard.StateClosed}
	}
	sh := all[number]
	err := sh.beginTransfer(r.Now(), to)
	if errors.Is(err, UnknownPeerError{}) {
		r.requestHello(to)
	}
	if err != nil {
		return err
	}
	r.schedule(sh)
	r.requestWake()
	return nil
}

func (sh *shardState) beginTransfer(now float64, to string) error {
	sh.Lock()
	defer sh.Unlock()
	r := sh.router
	if to == r.Name {
		return shard.TransferRejectedError{Shard: sh.number, Epoch: sh.owner.Epoch(), Reason: "already owned here"}
	}
	if !sh.owned.balancing || sh.owner.State() != shard.StateOpen || !r.tableIsCurrent() {
		return shard.NotOwnerError{Shard: sh.number, State: sh.owner.State()}
	}
	target := r.incarnationOf(to)
	if target == "" {
		return UnknownPeerError{Shard: sh.number, Name: to}
	}
	transfer, err := sh.owner.BeginTransfer(target)
	if err != nil {
		return err
	}
	sh.outgoing = exportState{
		transfer: transfer,
		to:       to,
		activeAt: now,
		sealedAt: now,
	}
	r.counters.add(countTransfersBegun, 1)
	r.markReady(sh)
	return nil
}

// advanceExport advances a transfer from this instance to another.
func (sh *shardState) advanceExport(now float64) {
	transfer := sh.outgoing.transfer
	if transfer == nil {
		return
	}
	sh.checkExportTimeout(now)
	if transfer.Stage() == shard.StageRevoking && !sh.owned.balancing && sh.owned.tenantsToExport == 0 {
		sh.revokeGrants(now)
	}
	switch transfer.Stage() {
	case shard.StageCopying:
		sh.sendChunks(now)
	case shard.StageAborting:
		sh.sendAbort(now)
	case shard.StageDone:
		sh.outgoing.transfer = nil
		sh.router.markReady(sh) // the loop starts balancing again if the shard has been reopened here
	}
}

// checkExportTimeout aborts a transfer whose new owner does not respond.
func (sh *shardState) checkExportTimeout(now float64) {
	r := sh.router
	out := &sh.outgoing
	stage := out.transfer.Stage()
	if stage == shard.StageDone || stage == shard.StageAborting || now <= out.activeAt+r.Timing.TransferTimeout {
		return
	}
	r.Log("shard %d: no response from %s for %.1f s: the transfer is aborted", sh.number, out.to, now-out.activeAt)
	r.counters.add(countTransfersTimedOut, 1)
	out.transfer.Abort()
	out.resendAt = 0
}

// revokeGrants revokes the pending grants. It freezes the snapshot when all are
// settled, or after RevokeTimeout without those that are not.
func (sh *shardState) revokeGrants(now float64) {
	r := sh.router
	out := &sh.outgoing
	if sh.owner.PendingCount() > 0 && now < out.sealedAt+r.Timing.RevokeTimeout {
		if now < out.resendAt {
			return
		}
		out.resendAt = now + r.Timing.RetryInterval
		sh.sendRevokes(now)
		if sh.owner.PendingCount() > 0 {
			return
		}
	}
	r.counters.add(countGrantsWaived, sh.owner.PendingCount())
	if err := out.transfer.Freeze(now, sh.exportTags(now), true); err == nil {
		out.resendAt = 0
		out.nextChunk = 0
	}
}

func (sh *shardState) sendRevokes(now float64) {
	r := sh.router
	for _, revoke := range sh.owner.Revokes() {
		if revoke.Origin != r.incarnation {
			r.send(instanceOf(revoke.Origin), revoke)
			continue
		}
		if decline, err := sh.jobLog.Revoke(revoke); err == nil {
			sh.updateLocalOwner(now, allUpdates)
			sh.owner.ApplyDecline(decline)
		}
	}
}

func (sh *shardState) sendChunks(now float64) {
	out := &sh.outgoing
	sent := now >= out.resendAt
	if sent {
		out.nextChunk = 0
	}
	if out.nextChunk <= out.ackedChunk+chunkWindow/2 { // limits how often chunks are made, which takes time
		for _, chunk := range out.transfer.Chunks(now, chunkWindow) {
			if chunk.Index >= out.nextChunk {
				sh.router.send(out.to, chunk)
				out.nextChunk = chunk.Index + 1
				sent = true
			}
		}
	}
	if sent {
		out.resendAt = now + 2*sh.router.Timing.RetryInterval
		out.sentAt = now
	}
}

// sendAbort sends the abort again until it is confirmed. If that takes longer than
// twice TransferTimeout, it proposes to reclaim the shard in the agreed map.
func (sh *shardState) sendAbort(now float64) {
	r := sh.router
	out := &sh.outgoing
	if abort, _ := out.transfer.AbortMessage(); now >= out.resendAt {
		out.resendAt = now + r.Timing.RetryInterval
		r.send(out.to, abort)
	}
	change, possible := out.transfer.Reclaim(r.Name)
	if possible && now > out.activeAt+2*r.Timing.TransferTimeout {
		sh.propose(now, change)
	}
}

func (sh *shardState) receiveChunkAck(now float64, sender string, ack shard.ChunkAck) {
	out := &sh.outgoing
	if out.transfer == nil || sender != out.to {
		return
	}
	out.activeAt = now
	if ack.Next == out.ackedChunk && ack.Next < out.nextChunk { // a chunk was lost or arrived out of order
		out.resendAt = min(out.resendAt, out.sentAt+minResendSeconds)
	}
	out.ackedChunk = max(out.ackedChunk, ack.Next)
	out.transfer.Acknowledge(ack)
}

func (sh *shardState) receiveAborted(aborted shard.Aborted) {
	out := &sh.outgoing
	if out.transfer == nil || !out.transfer.HandleAborted(aborted) {
		return
	}
	sh.router.Log("shard %d: the transfer to %s was aborted: %s", sh.number, out.to, aborted.Reason)
	sh.router.counters.add(countTransfersAborted, 1)
}

// exportTags returns the tags for the new owner, relative to now. It omits tenants
// that have no job and whose tags lie in the past, as those have no effect.
func (sh *shardState) exportTags(now float64) []shard.TenantTags {
	busy := map[string]bool{}
	for _, record := range sh.owner.Jobs(now) {
		busy[record.Tenant] = true
	}
	var list []shard.TenantTags
	for tenant, tags := range sh.owned.tags {
		elapsed := now - tags.asOf
		local := tags.local - elapsed
		global := tags.global - elapsed
		if busy[tenant] || local > 0 || global > 0 {
			list = append(list, shard.TenantTags{
				Tenant: tenant,
				Local:  max(local, -unsetTagSeconds),
				Global: max(global, -unsetTagSeconds),
			})
		}
	}
	slices.SortFunc(list, func(a, b shard.TenantTags) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}
