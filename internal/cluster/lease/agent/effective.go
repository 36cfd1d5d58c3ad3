package agent

import (
	"time"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
)

// effectiveState holds the tables that the event loop acts on. It is immutable
// once it is published. Its predecessor is a copy that has no predecessor itself,
// so that older states are not kept.
type effectiveState struct {
	leasedTable    *config.Table // in effect until expiresAt; nil before the first lease
	fallbackTable  *config.Table // in effect from expiresAt on
	expiresAt      time.Time
	revision       lease.Revision
	inForceVersion uint64
	previous       *effectiveState
}

// has reports whether a table is the leased or the fallback table of the state.
func (s *effectiveState) has(t *config.Table) bool {
	return t == s.leasedTable || t == s.fallbackTable
}

// publishedWith returns the state that a table was published with: s or its
// predecessor, which the event loop may have read right before s was published.
func (s *effectiveState) publishedWith(t *config.Table) *effectiveState {
	if s.previous != nil && !s.has(t) && s.previous.has(t) {
		return s.previous
	}
	return s
}

// EffectiveConfig returns the configuration in effect at a time: the leased one
// until the lease expires, and the fallback from then on. Any goroutine may call
// it. It compares times, so its result is also right after the process was
// suspended.
func (a *Agent) EffectiveConfig(at time.Time) *config.Table {
	s := a.effective.Load()
	if at.Before(s.expiresAt) {
		return s.leasedTable
	}
	return s.fallbackTable
}

// Acknowledge records that no part of this instance acts on a configuration
// before t any more. It never waits for the agent's goroutine, as the event loop
// calls it.
func (a *Agent) Acknowledge(t *config.Table) {
	a.journal.recordApplied(a.Now(), &a.effective, t)
	a.appliedTable.Store(t)
	select {
	case a.wakeup <- struct{}{}:
	default: // a signal is pending, which covers this table
	}
}

// acknowledgeApplied acknowledges the current revision to the holder if the event
// loop has applied its table. While a version is only announced, the previous
// table stays in effect, so the table may be applied already.
func (a *Agent) acknowledgeApplied() {
	s := a.effective.Load()
	if s.leasedTable != nil && a.appliedTable.Load() == s.leasedTable {
		a.holder.Acknowledge(a.elapsed(), s.revision)
	}
}

// persistAndPublish writes the newest revision to the lease file, then publishes
// its configuration to the event loop.
func (a *Agent) persistAndPublish() {
	cluster, revision := a.holder.DurableState()
	if err := a.leaseFile.save(cluster, revision); err != nil {
		// Without publication nothing acts on the revision, and the published lease expires.
		a.reportFault(err)
		return
	}
	effective := a.holder.EffectiveConfig(a.elapsed())
	if !effective.Leased || a.release.requested {
		return
	}
	previous := *a.effective.Load()
	previous.previous = nil
	next := a.newEffectiveState(effective, &previous)
	a.effective.Store(next)
	if next.revision != previous.revision {
		a.recordRevision(effective)
	}
	if next.leasedTable != previous.leasedTable {
		a.OnChange()
		return
	}
	a.acknowledgeApplied()
	a.journal.recordRenewal(a.Now(), &a.effective)
}

func (a *Agent) newEffectiveState(effective lease.EffectiveConfig, previous *effectiveState) *effectiveState {
	s := &effectiveState{
		leasedTable:    effective.Table,
		fallbackTable:  a.holder.EffectiveConfig(effective.ExpiresAt).Table,
		expiresAt:      a.startTime.Add(secondsToDuration(effective.ExpiresAt)),
		revision:       effective.Revision,
		inForceVersion: a.holder.View().InForce.Number,
		previous:       previous,
	}
	if a.IgnoreLeases {
		s.expiresAt = a.startTime.Add(unlimitedLease)
	}
	return s
}

// recordRevision stores the voters and versions of a new revision.
func (a *Agent) recordRevision(effective lease.EffectiveConfig) {
	a.recordVersions()
	if len(effective.Table.Voters) > 0 {
		a.voters.Store(&effective.Table.Voters)
	}
	a.Log.Info().
		Uint64("version", effective.Revision.Version).
		Stringer("stage", effective.Revision.Stage).
		Msg("accord: rules advanced to a new stage")
}

// recordVersions appends the versions of a new view to the history.
func (a *Agent) recordVersions() {
	view := a.holder.View()
	a.recordVersion(view.InForce)
	a.recordVersion(view.Next)
	a.history = a.history[max(0, len(a.history)-lease.MaxHistoryLength):]
}

func (a *Agent) recordVersion(v lease.Version) {
	if v.Number == 0 || v.Number <= a.newestKnown() {
		return
	}
	table, err := config.Decode(v.Table)
	if err != nil {
		return
	}
	if v.Number > a.newestKnown()+1 {
		a.history = nil // the versions in between are unknown
	}
	a.history = append(a.history, table)
}

// newestKnown returns the newest version of the history, or 0.
func (a *Agent) newestKnown() uint64 {
	if len(a.history) == 0 {
		return 0
	}
	return a.history[len(a.history)-1].Version
}
