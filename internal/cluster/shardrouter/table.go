package shardrouter

import (
	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/shard"
)

// tableIsCurrent reports whether the table that the loop acts on is still valid.
// Owners check it immediately before they grant, as the process may have been
// paused at any point and the lease may have ended meanwhile.
func (r *Router) tableIsCurrent() bool { return r.loopTable.Load() == r.Table() }

// withoutLease reports whether the instance has no lease, so that its owners may
// not grant and it accepts no sharded jobs.
func (r *Router) withoutLease() bool { return r.activeTable == nil || r.activeTable.Strict }

// adoptTable applies the current table if it has changed.
func (r *Router) adoptTable(now float64) {
	table := r.Table()
	if table == r.activeTable {
		return
	}
	r.activeTable = table
	r.loopTable.Store(table)
	if table == nil {
		table = &config.Table{Strict: true}
	}
	if r.allShards() == nil && len(table.ShardOwners) > 0 {
		r.enableSharding(len(table.ShardOwners))
	}
	for _, sh := range r.allShards() {
		sh.Lock()
		if len(table.ShardOwners) == len(r.allShards()) {
			sh.applyTable(now, table.ShardOwners[sh.number], table.Strict)
		} else {
			sh.clearOwner(now)
		}
		sh.Unlock()
	}
	r.everLeased = r.everLeased || !table.Strict
}

// enableSharding starts the shards and sets the allotments of their tenants in the
// balancer here to 0.
func (r *Router) enableSharding(count int) {
	r.startShards(count)
	for _, tenant := range r.settings.tenants {
		r.batch.tenantEvents = append(r.batch.tenantEvents, balance.QuotaUpdate{Tenant: tenant})
	}
}

// clearOwner stops balancing for a shard, and unsets its owner, if the table no longer
// has shards or has a different number of them. The shard's lock is held.
func (sh *shardState) clearOwner(now float64) {
	sh.table.namesSelf = false
	sh.table.mayOpen = false
	sh.origin.ownerName = ""
	sh.updateBalancing(now)
	sh.router.schedule(sh)
}

// applyTable applies the table's entry for the shard. The loop calls it with the
// shard's lock held.
func (sh *shardState) applyTable(now float64, named config.ShardOwner, strict bool) {
	r := sh.router
	sh.observeTable(named, strict)
	sh.owner.ObserveEpoch(named.Epoch)
	sh.table.namesSelf = named.Name == r.Name && !strict && !r.shuttingDown
	sh.table.mayOpen = sh.table.namesSelf && named.Epoch > sh.table.initialEpoch && named.Epoch >= sh.owner.Epoch()
	if sh.table.mayOpen && named.Epoch > sh.owner.Epoch() {
		sh.openOwner(named.Epoch)
	}
	if sh.incoming.transfer != nil && sh.incoming.ack.Epoch < sh.table.epoch {
		sh.incoming.transfer = nil
	}
	sh.updateBalancing(now)
	r.schedule(sh)
}

// observeTable records the epoch and the owner in the table's entry.
func (sh *shardState) observeTable(named config.ShardOwner, strict bool) {
	if !sh.router.everLeased { // a former incarnation of this instance may have granted in these epochs
		sh.table.initialEpoch = max(sh.table.initialEpoch, named.Epoch)
	}
	sh.table.epoch = max(sh.table.epoch, named.Epoch)
	switch {
	case sh.jobLog.ObserveEpoch(named.Epoch):
		sh.startEpoch(named.Name)
	case named.Epoch == sh.jobLog.Epoch() && !strict:
		sh.origin.ownerName = named.Name
	}
}

// openOwner opens the owner at an epoch for which the table names this instance.
func (sh *shardState) openOwner(epoch uint64) {
	if sh.owned.balancing {
		sh.stopBalancing()
	}
	var snapshot *shard.Snapshot
	if sh.incoming.transfer != nil {
		snapshot = sh.incoming.transfer.TakeSnapshot(epoch)
	}
	sh.outgoing.transfer = nil
	if snapshot == nil && sh.owner.Renew(epoch) == nil {
		sh.owned.tagsEpoch = epoch // there was no other owner in between, so the tags are still valid
		sh.router.counters.add(countRenewed, 1)
	} else if err := sh.owner.Open(epoch, snapshot); err == nil {
		sh.restoreTags(snapshot)
	}
	sh.dropFormerOrigins()
	sh.owned.oldestGrant = 0
	sh.owned.resendAt = 0
}

// restoreTags replaces the saved tags by those of a snapshot. Without a snapshot
// (nil) there are none.
func (sh *shardState) restoreTags(snapshot *shard.Snapshot) {
	clear(sh.owned.tags)
	clear(sh.owned.tenants)
	sh.owned.tagsEpoch = 0 // tags that the balancer still has to export belong to a former epoch and are dropped
	if snapshot == nil {
		sh.router.counters.add(countOpened, 1)
		return
	}
	for _, t := range snapshot.Tags {
		sh.owned.tags[t.Tenant] = savedTags{
			asOf:   snapshot.AsOf,
			local:  t.Local,
			global: t.Global,
		}
	}
	sh.router.counters.add(countOpenedWithSnapshot, 1)
}

// dropFormerOrigins drops the jobs of former incarnations of other instances.
func (sh *shardState) dropFormerOrigins() {
	r := sh.router
	for _, origin := range sh.owner.Origins() {
		current := r.incarnationOf(instanceOf(origin))
		ended := current != "" && incarnationNumber(current) > incarnationNumber(origin)
		if origin != r.incarnation && ended {
			sh.owner.OriginLost(origin)
		}
	}
}
