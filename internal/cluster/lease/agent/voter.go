package agent

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/lease"
)

const (
	// voterChangeTimeout is the timeout of one change of the voters.
	voterChangeTimeout = 10 * time.Second
	// reviewIntervalSeconds is the interval at which the leader reviews voters and shards.
	reviewIntervalSeconds = 1
)

// voter is the part of an agent that only voters have: the consensus node and the
// leader's work. The node's goroutine owns all fields except agent, node,
// activeLeases, changingVoters, retired and ready.
type voter struct {
	agent          *Agent
	node           *consensus.Node
	activeLeases   atomic.Pointer[[]lease.ActiveLease]
	changingVoters atomic.Bool
	retired        atomic.Bool   // this voter could not apply an entry and has stopped for good
	ready          chan struct{} // closed when node is set; the node's goroutine may run before

	state      *lease.State
	grantor    *lease.Grantor
	applyError error  // of an entry that this build can't apply; rejects all requests
	term       uint64 // 0 while this instance does not lead
	outcomes   map[uint64]*proposalOutcome
	lastReview float64
	inForce    tableCache
	placer     shardPlacer
	migration  *migrationRunner // nil if services do not migrate between clusters
}

// proposalOutcome is the outcome of an entry that this voter proposed. Equal
// entries share one, which has the outcome of the entry that was applied last.
type proposalOutcome struct {
	waiters int   // proposals of the entry that are in flight
	err     error // of applying the entry
}

// tableCache keeps the last decoded table, because decoding it for each use would delay the heartbeats.
type tableCache struct {
	encoded []byte
	table   *config.Table // nil if it can't be decoded
}

func (c *tableCache) decode(encoded []byte) *config.Table {
	if bytes.Equal(encoded, c.encoded) {
		return c.table
	}
	c.encoded = encoded
	c.table = nil
	if table, err := config.Decode(encoded); err == nil {
		c.table = table
	}
	return c.table
}

func newVoter(a *Agent) (*voter, error) {
	v := &voter{
		agent:    a,
		state:    &lease.State{},
		outcomes: map[uint64]*proposalOutcome{},
		ready:    make(chan struct{}),
	}
	v.grantor = lease.NewGrantor(a.LeaseSettings, v.state)
	v.placer.voter = v
	v.placer.reset(0)
	if a.Migration != nil {
		v.migration = newMigrationRunner(v)
	}
	v.activeLeases.Store(&[]lease.ActiveLease{})
	node, err := v.startNode()
	if err != nil {
		return nil, err
	}
	v.node = node
	close(v.ready)
	v.migration.start()
	a.goroutines.Go(v.runTicker)
	return v, nil
}

func (v *voter) startNode() (*consensus.Node, error) {
	return consensus.New(consensus.Options{
		Name:              v.agent.Name,
		Cluster:           v.agent.Cluster,
		Dir:               v.agent.StateDir,
		Listen:            v.agent.ListenAddress,
		Voters:            v.agent.Voters,
		Tick:              TickInterval,
		Apply:             v.apply,
		Snapshot:          v.snapshot,
		Restore:           v.restore,
		LeadershipChanged: v.leadershipChanged,
		HandleRequest:     v.handleRequest,
		Log:               v.agent.Log,
	})
}

func (v *voter) close() {
	// The error is ignored: what the node could not write is in the other voters' files.
	_ = v.node.Close()
	v.migration.close()
}

// runTicker runs tick periodically, because leases expire without any message.
func (v *voter) runTicker() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.agent.ctx.Done():
			return
		case <-ticker.C:
			v.runOnNode(v.tick)
		}
	}
}

// runOnNode runs f on the node's goroutine. It drops f if the node is overloaded or closed.
func (v *voter) runOnNode(f func()) {
	_ = v.node.TryRun(f)
}

// apply is the node's callback for a committed entry.
func (v *voter) apply(term, _ uint64, data []byte) {
	if v.applyError != nil {
		return
	}
	entry, err := lease.UnmarshalEntry(data)
	if err == nil {
		_, err = v.state.Apply(term, entry)
	}
	if isInapplicable(err) {
		v.retire(err)
		return
	}
	v.migration.applyInForce()
	if outcome := v.outcomes[xxhash.Sum64(data)]; outcome != nil {
		outcome.err = err
	}
}

// isInapplicable reports whether err shows that this build can't apply an entry, which other builds may have applied.
func isInapplicable(err error) bool {
	if _, unsupported := errors.AsType[*lease.UnsupportedFormatError](err); unsupported {
		return true
	}
	_, corrupt := errors.AsType[*lease.CorruptMessageError](err)
	return corrupt
}

// retire stops the node for good, so that the others elect another leader. If this
// voter kept leading, no instance would get a lease.
func (v *voter) retire(err error) {
	v.applyError = err
	v.grantor.SetTerm(v.agent.elapsed(), 0)
	v.agent.Log.Error().Msgf("accord: this voter can't apply an entry and stops voting permanently: %v", err)
	v.agent.goroutines.Go(func() {
		<-v.ready
		v.retired.Store(true)
		_ = v.node.Close()
	})
}

// snapshot is the node's callback for a snapshot. After an entry that was not
// applied it returns nil: the snapshot would be taken for one with that entry.
func (v *voter) snapshot() []byte {
	if v.applyError != nil {
		return nil
	}
	return v.state.Snapshot()
}

// restore is the node's callback to load a snapshot, of this voter or of another one.
func (v *voter) restore(raw []byte) error {
	err := v.state.Restore(raw)
	v.migration.applyInForce()
	return err
}

// leadershipChanged is the node's callback for the beginning and the end of a term as leader.
func (v *voter) leadershipChanged(term uint64, leads bool) {
	v.term = 0
	if leads && v.applyError == nil {
		v.term = term
	}
	now := v.agent.elapsed()
	v.grantor.SetTerm(now, v.term)
	v.placer.reset(now)
	v.migration.leadershipChanged(v.term != 0)
}

// tick does the leader's periodic work.
func (v *voter) tick() {
	if v.term == 0 || v.applyError != nil {
		if len(*v.activeLeases.Load()) > 0 {
			v.activeLeases.Store(&[]lease.ActiveLease{})
		}
		return
	}
	now := v.agent.elapsed()
	if entry, ok := v.nextEntry(now); ok {
		v.submit(entry, func(error) {})
	}
	v.migration.tick(now)
	if now >= v.lastReview+reviewIntervalSeconds {
		v.lastReview = now
		v.review(now)
	}
}

func (v *voter) nextEntry(now float64) (lease.Entry, bool) {
	entry, ok := v.grantor.NextEntry(now)
	revision := v.state.Revision()
	if v.agent.IgnoreLeases && revision.Version > 0 && revision.Stage < lease.StageInForce {
		return lease.Entry{
			Kind:        lease.EntryAdvance,
			Version:     revision.Version,
			TargetStage: revision.Stage + 1,
			Term:        v.term,
		}, true
	}
	return entry, ok
}

// review sets the cluster's identity if it is missing, refreshes the list of active leases, and reconciles voters and
// shard owners with the table in force.
func (v *voter) review(now float64) {
	identity := v.node.Status().Identity
	if v.state.View().Cluster == "" && identity != "" {
		v.submit(lease.Entry{Kind: lease.EntryIdentify, Cluster: identity}, func(error) {})
	}
	active := v.grantor.ActiveLeases(now)
	v.activeLeases.Store(&active)
	v.reconcileVoters()
	v.placer.tick(now)
}

// tableInForce returns the table in force, or nil if none can be decoded.
func (v *voter) tableInForce() *config.Table {
	return v.inForce.decode(v.state.View().InForce.Table)
}

// validateProposal returns why a table must not follow the newest version, or nil.
func (v *voter) validateProposal(t *config.Table) error {
	newest := v.tableInForce()
	if next := v.state.View().Next; next.Number > 0 {
		table, err := config.Decode(next.Table)
		if err != nil {
			return err
		}
		newest = table
	}
	return config.Validate(newest, t)
}

// reconcileVoters makes the node's voters those of the table in force, one change at a time.
func (v *voter) reconcileVoters() {
	table := v.tableInForce()
	if table == nil || len(table.Voters) == 0 {
		return
	}
	current := v.node.Status().Voters
	wanted := map[string]string{}
	same := len(table.Voters) == len(current)
	for _, voter := range table.Voters {
		wanted[voter.Name] = voter.Address
		same = same && current[voter.Name] == voter.Address
	}
	if same || !v.changingVoters.CompareAndSwap(false, true) {
		return
	}
	v.agent.goroutines.Go(func() {
		defer v.changingVoters.Store(false)
		v.changeVoters(wanted)
	})
}

func (v *voter) changeVoters(wanted map[string]string) {
	ctx, cancel := context.WithTimeout(v.agent.ctx, voterChangeTimeout)
	defer cancel()
	if err := v.node.ChangeVoters(ctx, wanted); err != nil {
		v.agent.logLimiter.Do("voters", func(int) {
			v.agent.Log.Warn().Msgf("accord: changing the voters failed: %v", err)
		})
		return
	}
	v.agent.Log.Info().Int("voters", len(wanted)).Msg("accord: voters changed to those of the rules")
}

// submit proposes an entry and calls done once with the outcome.
func (v *voter) submit(entry lease.Entry, done func(error)) {
	encoded, err := entry.Marshal()
	if err != nil {
		done(err)
		return
	}
	digest := xxhash.Sum64(encoded)
	outcome := v.outcomes[digest]
	if outcome == nil {
		outcome = &proposalOutcome{}
		v.outcomes[digest] = outcome
	}
	outcome.waiters++
	notify := func(err error) {
		outcome.waiters--
		if outcome.waiters == 0 {
			delete(v.outcomes, digest)
		}
		done(err)
	}
	err = v.node.ProposeAsync(encoded, func(err error) {
		if err == nil {
			err = outcome.err
		}
		notify(err)
	})
	if err != nil {
		notify(err)
	}
}
