package lease

import (
	"cmp"
	"slices"
)

// MaxHolders is the maximum number of leases that a leader keeps. Processes that
// ended without a release count until their lease has expired.
const MaxHolders = 1024

// ActiveLease is a lease that may be in use.
type ActiveLease struct {
	Instance        string   `json:"Instance"`
	Incarnation     uint64   `json:"Incarnation"`
	AppliedRevision Revision `json:"Acting"` // the holder acts on no lower revision
	ExpiresAt       float64  `json:"Until"`  // seconds on the leader's clock, clock drift included
}

type holderKey struct {
	instance    string
	incarnation uint64
}

type leaseRecord struct {
	appliedRevision Revision
	expiresAt       float64
}

// Grantor is the leader's side of the leases: it grants them and decides when a
// version may advance to its next stage. It reads the state, so both have to be
// used by the same goroutine or under the same lock.
type Grantor struct {
	settings Settings
	state    *State

	term      uint64 // 0 while the instance is not the leader
	termStart float64
	caughtUp  bool // the state has every entry that was committed before the term
	leases    map[holderKey]leaseRecord
	lastEntry Entry   // the latest one returned by NextEntry
	repeatAt  float64 // when lastEntry may be returned again
}

// NewGrantor returns the grantor of an instance that is not the leader.
func NewGrantor(s Settings, state *State) *Grantor {
	return &Grantor{settings: s, state: state}
}

// SetTerm begins a term as leader; 0 ends the term. Leases granted by former
// leaders may be in use until the longest of them has expired, so no version
// advances before that.
func (g *Grantor) SetTerm(now float64, term uint64) {
	*g = Grantor{
		settings:  g.settings,
		state:     g.state,
		term:      term,
		termStart: now,
		leases:    map[holderKey]leaseRecord{},
	}
}

// inheritedExpiry returns the time by which all leases granted by former leaders
// have expired. It may grow while the state catches up, as entries may raise the
// longest lease.
func (g *Grantor) inheritedExpiry() float64 {
	return g.termStart + max(g.state.longestLeaseSeconds, g.settings.grantorLeaseSeconds())
}

// ReceiveRequest checks a request and records its applied revision. If there is
// no error, the caller has the voters confirm that this instance is still the
// leader in the current term, then calls Grant. The error is a *NotLeaderError, a
// *ClusterMismatchError, a *StateLostError, a *NotReadyError or a
// *TooManyHoldersError.
func (g *Grantor) ReceiveRequest(now float64, r Request) error {
	if err := g.checkRequest(now, r); err != nil {
		return err
	}
	g.recordApplied(r)
	return nil
}

func (g *Grantor) checkRequest(now float64, r Request) error {
	v := g.state.View()
	switch {
	case g.term == 0:
		return &NotLeaderError{}
	case r.Cluster != "" && r.Cluster != v.Cluster:
		return &ClusterMismatchError{Local: v.Cluster, Remote: r.Cluster}
	case r.AppliedRevision.Compare(v.Revision) > 0:
		return &StateLostError{Known: r.AppliedRevision, Reported: v.Revision}
	case v.Revision == Revision{}:
		return &NotReadyError{
			Reason: "no rules have been proposed: add them to an operator's file and send SIGHUP",
		}
	case g.state.longestLeaseSeconds < g.settings.grantorLeaseSeconds():
		return &NotReadyError{
			Reason: "the voters have not agreed on the longest lease yet: start most of them",
		}
	}
	return g.checkCapacity(now, r)
}

// checkCapacity returns a *TooManyHoldersError for a new holder if MaxHolders
// leases are active.
func (g *Grantor) checkCapacity(now float64, r Request) error {
	_, known := g.leases[r.holder()]
	if known || len(g.leases) < MaxHolders {
		return nil
	}
	g.removeExpired(now)
	if len(g.leases) >= MaxHolders {
		return &TooManyHoldersError{}
	}
	return nil
}

func (r Request) holder() holderKey {
	return holderKey{instance: r.Instance, incarnation: r.Incarnation}
}

// recordApplied records the applied revision of a holder that has a lease. It
// keeps the highest one, as requests may arrive out of order.
func (g *Grantor) recordApplied(r Request) {
	record, ok := g.leases[r.holder()]
	if ok && r.AppliedRevision.Compare(record.appliedRevision) > 0 {
		record.appliedRevision = r.AppliedRevision
		g.leases[r.holder()] = record
	}
}

// Grant returns the answer to a request. The caller has to ensure two things
// first: after the request arrived, the voters have confirmed that this instance
// is the leader in the term, and the state has every entry that was committed by
// the time of the confirmation. The lease counts as active from now on, even if
// the response is lost. The errors are those of ReceiveRequest.
func (g *Grantor) Grant(now float64, term uint64, r Request) (Grant, error) {
	if term != g.term {
		return Grant{}, &NotLeaderError{}
	}
	if err := g.checkRequest(now, r); err != nil {
		return Grant{}, err
	}
	g.caughtUp = true
	g.recordApplied(r)
	g.extendLease(now, r)
	view := g.state.View()
	grant := Grant{
		Cluster:      view.Cluster,
		Instance:     r.Instance,
		Incarnation:  r.Incarnation,
		Nonce:        r.Nonce,
		LeaseSeconds: g.settings.LeaseSeconds,
		Revision:     view.Revision,
	}
	if r.ViewDigest != g.state.digest {
		grant.View = view
	}
	return grant, nil
}

func (g *Grantor) extendLease(now float64, r Request) {
	record, ok := g.leases[r.holder()]
	if !ok {
		record.appliedRevision = r.AppliedRevision
	}
	record.expiresAt = max(record.expiresAt, now+g.settings.grantorLeaseSeconds())
	g.leases[r.holder()] = record
}

// Release ends the lease of a holder that no longer acts on any version.
func (g *Grantor) Release(r Release) {
	if r.Cluster == g.state.View().Cluster {
		delete(g.leases, holderKey{instance: r.Instance, incarnation: r.Incarnation})
	}
}

func (g *Grantor) removeExpired(now float64) {
	for key, record := range g.leases {
		if now >= record.expiresAt {
			delete(g.leases, key)
		}
	}
}

// ActiveLeases returns the leases of this term that may be in use, ordered by
// instance and incarnation. A holder whose applied revision is lower than the
// state's delays the next stage.
func (g *Grantor) ActiveLeases(now float64) []ActiveLease {
	g.removeExpired(now)
	var active []ActiveLease
	for key, record := range g.leases {
		active = append(active, ActiveLease{
			Instance:        key.instance,
			Incarnation:     key.incarnation,
			AppliedRevision: record.appliedRevision,
			ExpiresAt:       record.expiresAt,
		})
	}
	slices.SortFunc(active, func(a, b ActiveLease) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return active
}

// NextEntry returns the entry to propose now, if there is one. It has to be
// called after each request and periodically. An entry that has not been applied
// within the response time is returned again, as it may have been lost.
func (g *Grantor) NextEntry(now float64) (Entry, bool) {
	e, ok := g.nextEntry(now)
	if !ok || now < g.repeatAt && e.sameTransition(g.lastEntry) {
		return Entry{}, false
	}
	g.lastEntry = e
	g.repeatAt = now + g.settings.responseSeconds()
	return e, true
}

func (e Entry) sameTransition(other Entry) bool {
	return e.Kind == other.Kind && e.Version == other.Version && e.TargetStage == other.TargetStage
}

func (g *Grantor) nextEntry(now float64) (Entry, bool) {
	v := g.state.View()
	switch {
	case g.term == 0 || v.Cluster == "":
		return Entry{}, false
	case g.state.longestLeaseSeconds < g.settings.grantorLeaseSeconds():
		return Entry{Kind: EntryExtendLease, LeaseSeconds: g.settings.grantorLeaseSeconds()}, true
	case v.Next.Number == 0 || !g.mayAdvance(now, v.Revision):
		return Entry{}, false
	}
	return Entry{
		Kind:        EntryAdvance,
		Version:     v.Next.Number,
		TargetStage: v.Revision.Stage + 1,
		Term:        g.term,
	}, true
}

// mayAdvance reports whether all leases granted by former leaders have expired
// and every holder of an active lease acts on revision r or a higher one.
func (g *Grantor) mayAdvance(now float64, r Revision) bool {
	if !g.caughtUp || now < g.inheritedExpiry() {
		return false
	}
	g.removeExpired(now)
	for _, record := range g.leases {
		if record.appliedRevision.Compare(r) < 0 {
			return false
		}
	}
	return true
}
