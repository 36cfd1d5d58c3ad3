package agent

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/shard"
)

// ShardPlacement configures how the leader places shards.
type ShardPlacement struct {
	Shards int // number of shards; 0 if this instance places none
	Bounds shard.Bounds
}

const (
	// maxMoveSeconds is the time after which a move that has not ended is planned again.
	maxMoveSeconds = 30.0
	// maxShardReportBytes is the largest report that the leader reads.
	maxShardReportBytes = 1 << 16
	// electionGraceLeases is the time that a new leader waits before it places shards, in lease durations. By then
	// every live instance has requested a lease.
	electionGraceLeases = 2.0
)

// shardPlacer assigns and moves shards while this instance leads. The node's
// goroutine owns it.
type shardPlacer struct {
	voter           *voter
	leadingSince    float64
	absent          map[string]bool // instances without a lease at the last review
	moves           map[int]shardMove
	reportedChanges map[int]shard.OwnerChange // reports of completely received shards, by shard
}

type shardMove struct {
	shard.Transfer
	epoch     uint64
	startedAt float64
}

// reset clears the state at the beginning and at the end of a term as leader.
func (p *shardPlacer) reset(now float64) {
	*p = shardPlacer{
		voter:           p.voter,
		leadingSince:    now,
		absent:          map[string]bool{},
		moves:           map[int]shardMove{},
		reportedChanges: map[int]shard.OwnerChange{},
	}
}

// tick plans moves and proposes all changes of owners in one version.
func (p *shardPlacer) tick(now float64) {
	table := p.voter.tableInForce()
	if table == nil || len(table.ShardInstances) == 0 || !p.mayPlace(now) {
		return
	}
	owners := p.currentOwners(table)
	changed := p.applyReports(owners)
	members := p.eligibleMembers(now, table.ShardInstances)
	plan, err := shard.Place(owners, members, nil, p.activeMoves(now, owners), p.voter.agent.ShardPlacement.Bounds)
	if err != nil {
		return // there is no live instance that may own shards
	}
	for _, a := range plan.Assignments {
		change := shard.OwnerChange{Shard: a.Shard, Epoch: owners[a.Shard].Epoch, To: a.To}
		changed = owners.Apply(change) || changed
	}
	for _, t := range plan.Transfers {
		p.moves[t.Shard] = shardMove{Transfer: t, epoch: owners[t.Shard].Epoch, startedAt: now}
	}
	if changed {
		p.propose(table, owners, len(plan.Assignments))
	}
}

// mayPlace reports whether no version is being rolled out and the leader knows the live instances.
func (p *shardPlacer) mayPlace(now float64) bool {
	if p.voter.agent.ShardPlacement.Shards == 0 {
		return false
	}
	view := p.voter.state.View()
	if view.Revision.Stage != lease.StageInForce || view.Next.Number > 0 {
		return false
	}
	return now >= p.leadingSince+electionGraceLeases*p.voter.agent.LeaseSettings.LeaseSeconds
}

// currentOwners returns the shard map of a table. The first shard map of the cluster fixes the number of shards.
func (p *shardPlacer) currentOwners(table *config.Table) shard.Map {
	if len(table.ShardOwners) == 0 {
		return make(shard.Map, p.voter.agent.ShardPlacement.Shards)
	}
	owners := make(shard.Map, len(table.ShardOwners))
	for i, owner := range table.ShardOwners {
		owners[i] = shard.Ownership(owner)
	}
	return owners
}

func (p *shardPlacer) applyReports(owners shard.Map) (changed bool) {
	for i, change := range p.reportedChanges {
		changed = owners.Apply(change) || changed
		delete(p.reportedChanges, i)
	}
	return changed
}

func (p *shardPlacer) propose(table *config.Table, owners shard.Map, assigned int) {
	next := *table
	next.ShardOwners = make([]config.ShardOwner, len(owners))
	for i, owner := range owners {
		next.ShardOwners[i] = config.ShardOwner(owner)
	}
	view := p.voter.state.View()
	agent := p.voter.agent
	entry, err := view.Proposal(&next, agent.Name, view.NewestNumber())
	if err != nil {
		agent.logLimiter.Do("seats", func(int) {
			agent.Log.Warn().Msgf("accord: proposing shard owners failed: %v", err)
		})
		return
	}
	p.voter.submit(entry, func(err error) {
		if err == nil {
			agent.Log.Info().
				Uint64("version", entry.Base+1).
				Int("seats", assigned).
				Msg("accord: shard owners changed")
		}
	})
}

// eligibleMembers returns the instances that may own shards, without those that
// had no lease at this review and at the last one.
func (p *shardPlacer) eligibleMembers(now float64, instances []string) []shard.Member {
	leased := map[string]bool{}
	for _, l := range p.voter.grantor.ActiveLeases(now) {
		leased[l.Instance] = true
	}
	var members []shard.Member
	absent := map[string]bool{}
	for _, name := range instances {
		if !leased[name] {
			absent[name] = true
		}
		if leased[name] || !p.absent[name] {
			members = append(members, shard.Member{Name: name, Weight: 1})
		}
	}
	p.absent = absent
	return members
}

// activeMoves returns the moves in progress and removes those that have ended or exceeded maxMoveSeconds.
func (p *shardPlacer) activeMoves(now float64, owners shard.Map) []shard.Transfer {
	var active []shard.Transfer
	for i, move := range p.moves {
		if i >= len(owners) || owners[i].Epoch != move.epoch || now > move.startedAt+maxMoveSeconds {
			delete(p.moves, i)
			continue
		}
		active = append(active, move.Transfer)
	}
	sortByShard(active)
	return active
}

func sortByShard(transfers []shard.Transfer) {
	slices.SortFunc(transfers, func(a, b shard.Transfer) int { return cmp.Compare(a.Shard, b.Shard) })
}

// handleReport records the shards that an instance has received completely, and
// returns the transfers of the shards that it should give away, as JSON.
func (p *shardPlacer) handleReport(raw []byte) ([]byte, error) {
	var report shardReport
	if len(raw) > maxShardReportBytes || json.Unmarshal(raw, &report) != nil {
		return nil, &lease.CorruptMessageError{Subject: subjectShardReport, Reason: "too large or not valid JSON"}
	}
	for _, change := range report.Changes {
		if change.Shard < 0 || change.Shard >= shard.MaxShards || len(change.To) > lease.MaxNameBytes {
			return nil, &lease.CorruptMessageError{
				Subject: subjectShardReport,
				Reason:  fmt.Sprintf("shard %d", change.Shard),
			}
		}
		p.reportedChanges[change.Shard] = change
	}
	var outgoing []shard.Transfer
	for _, move := range p.moves {
		if move.From == report.From {
			outgoing = append(outgoing, move.Transfer)
		}
	}
	sortByShard(outgoing)
	return json.Marshal(outgoing)
}

// shardReport is an instance's report to the leader. The response is a list of transfers.
type shardReport struct {
	From    string              `json:"from"`
	Changes []shard.OwnerChange `json:"changes,omitempty"`
}

// ReportShards reports to the leader the shards that this instance has received
// completely, and returns the transfers of those that it should give away. It
// blocks until the response or an error. Repeat a report until the configuration
// shows the new owner, as a new leader does not have earlier reports.
func (a *Agent) ReportShards(changes []shard.OwnerChange) (outgoing []shard.Transfer, err error) {
	body, err := json.Marshal(shardReport{From: a.Name, Changes: changes})
	if err != nil {
		return nil, err
	}
	response, err := a.callLeader(payloadShardReport, body, a.LeaseSettings.RequestTimeoutSeconds())
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(response, &outgoing); err != nil {
		return nil, &lease.CorruptMessageError{Subject: subjectResponse, Reason: err.Error()}
	}
	return outgoing, nil
}
