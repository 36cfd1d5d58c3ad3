package shardrouter

import (
	"sync/atomic"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/shard"
)

// shardState is this instance's state of one shard, both as an origin and as an
// owner.
type shardState struct {
	rankedMutex
	router    *Router
	number    int
	scheduled atomic.Bool // the shard is in Router.runQueue
	active    atomic.Bool // the shard has work pending, and each tick schedules it

	// Accessed by the loop only.
	changed       bool // the shard is in Router.changedShards of this step
	ownerIsRemote bool // a worker has to send the updates of this step

	// The fields below are guarded by the lock.
	ready     bool // the shard is in Router.ready
	inbox     []envelope
	jobLog    *shard.JobLog
	owner     *shard.Owner
	table     tableState
	origin    originState
	owned     ownedState
	outgoing  exportState
	incoming  importState
	proposeAt float64 // the earliest time of the next proposal
}

// tableState is what the active table says about a shard.
type tableState struct {
	namesSelf    bool   // the table names this instance as the owner
	mayOpen      bool   // namesSelf, at an epoch after initialEpoch
	initialEpoch uint64 // the shard's epoch in the map when this incarnation started
	epoch        uint64 // the shard's highest epoch in the maps applied so far
}

// originState is an origin's view of the shard's owner. A time of 0 is not set.
type originState struct {
	ownerName         string          // the last known owner; empty: unknown
	grants            []receivedGrant // grants that are not executed yet
	localJobs         int             // jobs that were accepted here and not answered
	resendAt          float64         // when unacknowledged updates are sent again
	resendDelay       float64         // delay before the next resend; doubled by each resend
	lastAcked         uint64          // the highest Next of an acknowledgement in this epoch
	resending         bool            // updates were sent again, and more may follow
	gapResendAt       float64         // the earliest time of the next resend that fills a gap
	unansweredSince   float64         // when this origin began to wait for a response of the owner
	compareAt         float64         // the earliest time of the next comparison
	ownerUnresponsive bool            // the owner has not responded for OwnerTimeout
}

// ownedState is the state of a shard that this instance owns.
type ownedState struct {
	balancing       bool                 // the balancer schedules the shard's jobs
	tenantsToExport int                  // tenants that the balancer still has to export
	tags            map[string]savedTags // by tenant: the tags that startBalancing restores
	tagsEpoch       uint64               // the epoch in which exported tags are valid
	tenants         map[string]bool      // the shard's tenants

	tenantsAfterSweep int // number of tenants after the last call of forgetIdleTenants

	jobViews     map[shard.JobKey]*jobView // the balancer's view of the shard's jobs
	updates      []ownerEvent              // queued for the balancer
	resendAt     float64                   // when pending grants are sent again
	resendDelay  float64                   // delay before the next resend of pending grants
	oldestGrant  uint64                    // number of the oldest pending grant at the last check; 0: none
	nextExpiryAt float64                   // the next search for jobs whose origin does not respond
}

// exportState is a transfer to another instance.
type exportState struct {
	transfer   *shard.ExportTransfer // nil: none
	to         string
	activeAt   float64 // time of the new owner's last response, or of the transfer's beginning
	sealedAt   float64
	resendAt   float64 // when messages are sent again
	nextChunk  int     // index of the next chunk to send
	ackedChunk int     // index of the next chunk that the new owner expects
	sentAt     float64 // when chunks were last sent
}

// importState is a transfer to this instance.
type importState struct {
	transfer *shard.ImportTransfer // nil: none
	ack      shard.ChunkAck
	from     string
	activeAt float64 // time of the old owner's last message
	resendAt float64 // when the ack is sent again
}

// envelope is a message and its sender. If newIncarnation is set, there is no
// message: the envelope announces a new incarnation of the sender.
type envelope struct {
	sender         string // name of an instance
	message        shard.Message
	newIncarnation string
}

// receivedGrant is a grant of an owner on another instance.
type receivedGrant struct {
	shard.Grant
	sender string
}

// jobView is the balancer's view of a job in a shard that this instance owns.
type jobView struct {
	tenant   string
	attempts int            // number of attempts, including granted ones that may not have begun
	started  int            // the starts of the attempts below this index were passed to the balancer
	finished int            // the ends of the attempts below this index were passed to the balancer
	answered bool           // the balancer has decided the job's answer, or the job has expired
	deadline float64        // when the job's client gives up
	class    *balance.Class // the definition that the balancer has of its class; nil: the present one
}

func newShardState(r *Router, number int) *shardState {
	sh := &shardState{
		router: r,
		number: number,
		jobLog: shard.NewJobLog(number, r.incarnation),
		owner:  shard.NewOwner(number, r.Limits),
		origin: originState{resendDelay: r.Timing.RetryInterval},
		owned: ownedState{
			tags:     map[string]savedTags{},
			tenants:  map[string]bool{},
			jobViews: map[shard.JobKey]*jobView{},
		},
	}
	sh.jobLog.FindWorker = r.balancer.Worker // only the loop accepts grants
	sh.rank = rankShard
	return sh
}

// runShard handles some of a shard's messages and sends those that are due. A
// worker calls it.
func (r *Router) runShard(sh *shardState) {
	sh.scheduled.Store(false)
	sh.Lock()
	now := r.Now()
	sh.drainInbox(now)
	sh.advance(now)
	wake := sh.ready
	sh.Unlock()
	r.flushPeers()
	if wake {
		r.requestWake()
	}
}

// drainInbox handles at most maxMessagesPerRun messages, as the loop may be waiting
// for the lock.
func (sh *shardState) drainInbox(now float64) {
	n := min(len(sh.inbox), maxMessagesPerRun)
	for _, e := range sh.inbox[:n] {
		sh.receive(now, e)
	}
	sh.inbox = sh.inbox[n:]
	if len(sh.inbox) == 0 {
		sh.inbox = nil
	} else {
		sh.router.schedule(sh)
	}
}

// advance sends the messages that are due, including those to be sent again.
func (sh *shardState) advance(now float64) {
	sh.advanceOrigin(now)
	sh.advanceOwner(now)
	sh.advanceExport(now)
	sh.advanceImport(now)
	if sh.needsNewEpoch() {
		sh.propose(now, shard.OwnerChange{
			Shard: sh.number,
			Epoch: sh.table.epoch,
			To:    sh.router.Name,
		})
	}
	sh.active.Store(sh.needsTick())
}

// needsNewEpoch reports whether the map names this instance at an epoch in which
// a former incarnation of it may have been the owner. The grants of that
// incarnation are not known here, so the owner can only open at a new epoch.
func (sh *shardState) needsNewEpoch() bool {
	return sh.table.namesSelf && sh.table.epoch <= sh.table.initialEpoch
}

// needsTick reports whether each tick has to schedule the shard.
func (sh *shardState) needsTick() bool {
	switch {
	case !sh.jobLog.Synced() && sh.jobLog.Epoch() > 0:
		return true
	case sh.origin.localJobs > 0, sh.origin.unansweredSince > 0:
		return true
	case sh.outgoing.transfer != nil, sh.incoming.transfer != nil:
		return true
	case sh.table.mayOpen && !sh.owned.balancing:
		return true
	case sh.owner.State() == shard.StateOpen && sh.owner.JobCount()+sh.owner.PendingCount() > 0:
		return true
	}
	return sh.needsNewEpoch()
}

// propose queues a change of the agreed map. Callers repeat the call while the
// change is needed; calls within two retry intervals of the last one queued have
// no effect.
func (sh *shardState) propose(now float64, change shard.OwnerChange) {
	if now < sh.proposeAt {
		return
	}
	sh.proposeAt = now + 2*sh.router.Timing.RetryInterval
	proposals := &sh.router.proposals
	proposals.Lock()
	proposals.list = append(proposals.list, change)
	proposals.Unlock()
}
