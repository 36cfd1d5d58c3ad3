package lease

import (
	"errors"
	"reflect"
	"testing"
)

func TestAdvanceWaitsForLaggingHolders(t *testing.T) {
	p := newPair(t)
	renew := func(now float64) {
		t.Helper()
		if err := p.holder.HandleGrant(now, p.grant(now, p.request(now))); err != nil {
			t.Fatal(err)
		}
	}
	expectNone := func(now float64) {
		t.Helper()
		if e, ok := p.grantor.NextEntry(now); ok {
			t.Fatalf("got entry %v at %g s, want none", e, now)
		}
	}
	renew(0)
	p.holder.Acknowledge(0, p.holder.EffectiveConfig(0).Revision)
	propose(t, p.state, "n2", tableWithReservation(20, 1))
	expectNone(2) // leases granted by a former leader may be in use
	now := DefaultSettings.grantorLeaseSeconds()
	renew(now)
	expectNone(now) // the holder has received the version but not acknowledged it
	p.holder.Acknowledge(now, Revision{2, StageInForce})
	p.holder.Acknowledge(now, Revision{2, StageAnnounced})
	renew(now) // an acknowledgement makes the next request due immediately
	e, ok := p.grantor.NextEntry(now)
	if want := (Entry{Kind: EntryAdvance, Version: 2, TargetStage: StageIntersection, Term: 1}); !ok || !reflect.DeepEqual(e, want) {
		t.Fatal(e, ok)
	}
	expectNone(now) // the entry has been proposed already
	if again, ok := p.grantor.NextEntry(now + DefaultSettings.responseSeconds()); !ok || again.Version != 2 {
		t.Error("a lost entry was not proposed again after the response time")
	}
	mustApply(t, p.state, 1, e)
	expectNone(now + 2.9)
	// The lease of the holder, which sends no further requests, expires.
	if e, ok := p.grantor.NextEntry(now + DefaultSettings.grantorLeaseSeconds() + 1); !ok || e.TargetStage != StageInForce {
		t.Fatal(e, ok)
	}
	renew(now + 4)
	if a := p.holder.EffectiveConfig(now + 4); !a.Intersection || *a.Table.Tenants[0].Reservation != 10 {
		t.Errorf("got %+v, want the intersection, with a reservation of 10", a)
	}
	expectNone(now + 5)
	p.grantor.Release(p.holder.Release())
	if e, ok := p.grantor.NextEntry(now + 5); !ok || e.TargetStage != StageInForce || p.holder.EffectiveConfig(now+5).Leased {
		t.Fatal(e, ok)
	}
	p.grantor.SetTerm(now+6, 0)
	expectNone(now + 60)
	var notLeader *NotLeaderError
	if err := p.grantor.ReceiveRequest(now+60, Request{Instance: "n1"}); !errors.As(err, &notLeader) {
		t.Error(err)
	}
	p.grantor.SetTerm(now+60, 3)
	if _, err := p.grantor.Grant(now+60, 2, Request{Instance: "n1"}); !errors.As(err, &notLeader) {
		t.Error(err)
	}
}

// A leader that grants short leases has to wait for longer ones granted by former leaders. A leader that grants leases
// longer than the longest one agreed on has to raise that first.
func TestLeaseDurationChange(t *testing.T) {
	s := newStateInForce(t)
	short, long := DefaultSettings, DefaultSettings
	short.LeaseSeconds, long.LeaseSeconds = 1, 30
	g := NewGrantor(short, s)
	g.SetTerm(0, 2)
	propose(t, s, "n2", tableWithReservation(20, 1))
	q := Request{Instance: "n1", Incarnation: 1, AppliedRevision: Revision{2, StageAnnounced}}
	must[Grant](t)(g.Grant(0, 2, q))
	if e, ok := g.NextEntry(short.grantorLeaseSeconds() + 0.1); ok {
		t.Error(e)
	}
	if e, ok := g.NextEntry(DefaultSettings.grantorLeaseSeconds() + 0.1); !ok || e.TargetStage != StageIntersection {
		t.Error(e, ok)
	}
	g = NewGrantor(long, s)
	g.SetTerm(10, 3)
	var notReady *NotReadyError
	if _, err := g.Grant(10, 3, q); !errors.As(err, &notReady) {
		t.Errorf("granting a lease longer than the longest one: got %v, want a *NotReadyError", err)
	}
	e, ok := g.NextEntry(10)
	if !ok || e.Kind != EntryExtendLease {
		t.Fatal(e, ok)
	}
	mustApply(t, s, 3, e)
	must[Grant](t)(g.Grant(10, 3, q))
	if changed, _ := s.Apply(3, Entry{Kind: EntryExtendLease, LeaseSeconds: 1}); changed || s.LongestLeaseSeconds() != long.grantorLeaseSeconds() {
		t.Error("the longest lease was lowered")
	}
}

func TestActiveLeasesAreBounded(t *testing.T) {
	s := newStateInForce(t)
	g := NewGrantor(DefaultSettings, s)
	g.SetTerm(0, 1)
	for i := range uint64(MaxHolders) {
		must[Grant](t)(g.Grant(0, 1, Request{Instance: "n", Incarnation: i + 1}))
	}
	var tooMany *TooManyHoldersError
	more := Request{Instance: "n", Incarnation: MaxHolders + 1}
	if err := g.ReceiveRequest(1, more); !errors.As(err, &tooMany) {
		t.Error(err)
	}
	if err := g.ReceiveRequest(1, Request{Instance: "n", Incarnation: 1}); err != nil {
		t.Error(err)
	}
	if err := g.ReceiveRequest(DefaultSettings.grantorLeaseSeconds(), more); err != nil || len(g.ActiveLeases(DefaultSettings.grantorLeaseSeconds())) != 0 {
		t.Errorf("got error %v, or expired leases still count", err)
	}
}
