package lease

import (
	"bytes"
	"slices"
)

// State is the state machine that the voters replicate. The zero value is the
// state before the first entry.
type State struct {
	view                *View // nil before the first entry
	digest              uint64
	longestLeaseSeconds float64
	history             []Change
}

// View returns the current view, which is never nil.
func (s *State) View() *View {
	if s.view == nil {
		return &View{}
	}
	return s.view
}

// Revision returns the revision of the newest version.
func (s *State) Revision() Revision {
	return s.View().Revision
}

// LongestLeaseSeconds returns the longest time for which any leader may have
// granted a lease, clock drift included, or 0 if no lease may have been granted.
func (s *State) LongestLeaseSeconds() float64 {
	return s.longestLeaseSeconds
}

// History returns the latest changes, oldest first, at most MaxHistoryLength of
// them. The caller must not modify the result.
func (s *State) History() []Change {
	return s.history
}

// Apply applies a committed entry of the given term and reports whether it
// changed the state. Applying is deterministic: the same entries result in the
// same state on every instance. On an error the state is unchanged. A
// *StaleProposalError, *ProposalInProgressError, *ClusterMismatchError or
// *StaleEntryError is for the proposer of the entry. After an
// *UnsupportedFormatError or a *CorruptMessageError the instance has to stop
// applying entries until it is upgraded, since newer builds have applied this
// entry.
func (s *State) Apply(term uint64, e Entry) (changed bool, err error) {
	if err := e.validate(); err != nil {
		return false, err
	}
	if e.Kind == EntryIdentify {
		return s.applyIdentify(e)
	}
	if s.View().Cluster == "" {
		return false, &ClusterMismatchError{Remote: "unknown"}
	}
	switch e.Kind {
	case EntryPropose:
		return s.applyPropose(e)
	case EntryAdvance:
		return s.applyAdvance(term, e)
	default:
		return s.applyExtendLease(e), nil
	}
}

func (s *State) applyIdentify(e Entry) (changed bool, err error) {
	v := *s.View()
	switch v.Cluster {
	case e.Cluster:
		return false, nil
	case "":
		v.Cluster = e.Cluster
		s.setView(&v)
		return true, nil
	}
	return false, &ClusterMismatchError{Local: v.Cluster, Remote: e.Cluster}
}

func (s *State) applyPropose(e Entry) (changed bool, err error) {
	v := *s.View()
	newest := v.NewestNumber()
	if e.Base != newest {
		if s.isLatestProposal(e) {
			return false, nil
		}
		return false, &StaleProposalError{Base: e.Base, Newest: newest, Changes: s.ChangesSince(e.Base)}
	}
	inProgress := v.Next.Number != 0
	if inProgress && !e.Withdraws {
		return false, &ProposalInProgressError{Revision: v.Revision, Proposer: v.Next.Proposer}
	}
	version := Version{
		Number:   newest + 1,
		Proposer: e.Proposer,
		Table:    e.Table,
	}
	if !inProgress && e.Exclusive && v.InForce.Number != 0 {
		v.announce(version)
	} else {
		// The version has no exclusive conflict with its base, withdraws the next version, or is the first version.
		// Before the first version, no instance acts on any configuration.
		v.putInForce(version)
	}
	s.appendChange(Change{
		Version:     version.Number,
		Base:        e.Base,
		Proposer:    e.Proposer,
		Keys:        e.Keys,
		OmittedKeys: e.OmittedKeys,
	})
	s.setView(&v)
	return true, nil
}

// isLatestProposal reports whether the proposal has already been applied and is
// the latest one, so that e is a duplicate.
func (s *State) isLatestProposal(e Entry) bool {
	if len(s.history) == 0 {
		return false
	}
	latest := s.history[len(s.history)-1]
	return latest.Base == e.Base && latest.Proposer == e.Proposer &&
		bytes.Equal(s.View().newestVersion().Table, e.Table)
}

func (s *State) applyAdvance(term uint64, e Entry) (changed bool, err error) {
	v := *s.View()
	if v.Next.Number != e.Version || v.Revision.Stage+1 != e.TargetStage || e.Term != term {
		return false, &StaleEntryError{Entry: e.String()}
	}
	if e.TargetStage == StageInForce {
		v.putInForce(v.Next)
	} else {
		v.Revision.Stage = e.TargetStage
	}
	s.setView(&v)
	return true, nil
}

// applyExtendLease raises the longest lease. It never lowers it, since longer
// leases may still be in use.
func (s *State) applyExtendLease(e Entry) (changed bool) {
	if e.LeaseSeconds <= s.longestLeaseSeconds {
		return false
	}
	s.longestLeaseSeconds = e.LeaseSeconds
	return true
}

func (v *View) announce(next Version) {
	v.Next = next
	v.Revision = Revision{Version: next.Number, Stage: StageAnnounced}
}

func (v *View) putInForce(version Version) {
	v.InForce = version
	v.Next = Version{}
	v.Revision = Revision{Version: version.Number, Stage: StageInForce}
}

// appendChange adds a change and drops the oldest ones beyond MaxHistoryLength.
// It copies the history, as callers may keep slices of it.
func (s *State) appendChange(c Change) {
	first := max(0, len(s.history)-MaxHistoryLength+1)
	s.history = append(slices.Clone(s.history[first:]), c)
}

// ChangesSince returns the changes after version base, oldest first. Changes that
// the history no longer has are missing.
func (s *State) ChangesSince(base uint64) []Change {
	first := slices.IndexFunc(s.history, func(c Change) bool { return c.Version > base })
	if first < 0 {
		return nil
	}
	return slices.Clone(s.history[first:])
}

func (s *State) setView(v *View) {
	s.view = v
	s.digest = v.Digest()
}
