package agent

import (
	"maps"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/lease"
)

// rejectedByLeader is the drop reason of requests that the leader rejected.
const rejectedByLeader = "refused by the leader"

// Status is the agent's status as the admin listener shows it.
type Status struct {
	Name             string              `json:"name"`
	Cluster          string              `json:"cluster"`
	Version          uint64              `json:"version"` // in force, as far as this instance knows
	Stage            string              `json:"stage"`   // of the newest version
	Newest           uint64              `json:"newest"`
	Leased           bool                `json:"leased"`
	RemainingSeconds float64             `json:"lease_s"` // of the lease; negative after it has expired
	Fault            string              `json:"trouble,omitempty"`
	Rejection        string              `json:"refused,omitempty"` // why the operator's file is not in force
	Dropped          map[string]uint64   `json:"dropped,omitempty"` // grants, frames and connections, by reason
	Table            *config.Table       `json:"rules,omitempty"`   // in effect
	Voter            *consensus.Status   `json:"voter,omitempty"`
	ActiveLeases     []lease.ActiveLease `json:"book,omitempty"` // on the leader
	Bounds           lease.Bounds        `json:"bounds"`
	Revision         lease.Revision      `json:"position"`
}

// Status returns the latest status.
func (a *Agent) Status() *Status {
	s := *a.status.Load()
	s.RemainingSeconds = a.effective.Load().expiresAt.Sub(a.Now()).Seconds()
	s.Leased = s.Leased && s.RemainingSeconds > 0
	s.Dropped = maps.Clone(s.Dropped)
	s.addDrops(a.client.Drops())
	if a.voter != nil {
		voter := a.voter.node.Status()
		s.Voter = &voter
		s.ActiveLeases = *a.voter.activeLeases.Load()
		s.addDrops(voter.Drops)
	}
	return &s
}

func (s *Status) addDrops(counts map[string]uint64) {
	for reason, n := range counts {
		s.Dropped[reason] += n
	}
}

// publishStatus publishes the part of the status that the agent's goroutine owns.
func (a *Agent) publishStatus() {
	effective := a.holder.EffectiveConfig(a.elapsed())
	s := &Status{
		Name:      a.Name,
		Cluster:   a.Cluster,
		Stage:     effective.Revision.Stage.String(),
		Newest:    effective.Revision.Version,
		Leased:    effective.Leased,
		Fault:     a.fault,
		Rejection: a.proposal.rejection,
		Dropped:   map[string]uint64{},
		Table:     effective.Table,
		Bounds:    a.LeaseSettings.Bounds(),
		Revision:  effective.Revision,
	}
	if view := a.holder.View(); view != nil {
		s.Version = view.InForce.Number
	}
	for reason, n := range a.holder.DropCounts() {
		s.Dropped[string(reason)] = n
	}
	if a.rejectedRequests > 0 {
		s.Dropped[rejectedByLeader] = a.rejectedRequests
	}
	a.status.Store(s)
}
