package lease

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/config"
)

func TestVersionStages(t *testing.T) {
	s := newStateInForce(t)
	expectRevision(t, s, 1, StageInForce)
	propose(t, s, "n1", tableWithReservation(10, 2))
	expectRevision(t, s, 2, StageInForce) // a change of a weight is not an exclusive conflict
	propose(t, s, "n2", tableWithReservation(20, 2))
	expectRevision(t, s, 3, StageAnnounced)
	advance := Entry{Kind: EntryAdvance, Version: 3, TargetStage: StageIntersection, Term: 4}
	for _, e := range []Entry{{Kind: EntryAdvance, Version: 3, TargetStage: StageInForce, Term: 4}, {Kind: EntryAdvance, Version: 2, TargetStage: StageIntersection, Term: 4}, advance} {
		var stale *StaleEntryError
		if changed, err := s.Apply(5, e); changed || !errors.As(err, &stale) {
			t.Errorf("applying %v in term 5: got changed %v, error %v; want a *StaleEntryError", e, changed, err)
		}
	}
	mustApply(t, s, 4, advance)
	expectRevision(t, s, 3, StageIntersection)
	mustApply(t, s, 4, Entry{Kind: EntryAdvance, Version: 3, TargetStage: StageInForce, Term: 4})
	expectRevision(t, s, 3, StageInForce)
	if v := s.View(); v.Next.Number != 0 || v.InForce.Number != 3 || v.InForce.Proposer != "n2" {
		t.Errorf("got view %+v, want version 3 by n2 in force", v)
	}
}

func TestStaleProposals(t *testing.T) {
	s := newStateInForce(t)
	old := *s.View()
	outdated := must[Entry](t)(old.Proposal(tableWithReservation(30, 1), "n3", 1))
	propose(t, s, "n2", tableWithReservation(20, 1))
	var stale *StaleProposalError
	if changed, err := s.Apply(1, outdated); changed || !errors.As(err, &stale) || stale.Newest != 2 || len(stale.Changes) != 1 ||
		!strings.Contains(err.Error(), `2 by n2 changed tenant "north".reservation`) {
		t.Errorf("outdated proposal: got changed %v, error %v; want a *StaleProposalError", changed, err)
	}
	if _, err := s.View().Proposal(tableWithReservation(30, 1), "n3", 1); !errors.As(err, &stale) {
		t.Error(err)
	}
	// While version 2 is announced, other proposals are rejected, except one that restores the table in force.
	var inProgress *ProposalInProgressError
	if _, err := s.View().Proposal(tableWithReservation(30, 1), "n3", 2); !errors.As(err, &inProgress) || inProgress.Proposer != "n2" {
		t.Error(err)
	}
	if changed, err := s.Apply(1, Entry{Kind: EntryPropose, Base: 2, Proposer: "n3", Table: []byte("x"), Exclusive: true}); changed || !errors.As(err, &inProgress) {
		t.Errorf("second proposal: got changed %v, error %v; want a *ProposalInProgressError", changed, err)
	}
	mustApply(t, s, 1, Entry{Kind: EntryAdvance, Version: 2, TargetStage: StageIntersection, Term: 1})
	withdrawal := must[Entry](t)(s.View().Proposal(tableWithReservation(10, 1), "n1", 2))
	mustApply(t, s, 1, withdrawal)
	expectRevision(t, s, 3, StageInForce)
	if changed, err := s.Apply(1, withdrawal); changed || err != nil {
		t.Errorf("applying a proposal a second time: got changed %v, error %v; want neither", changed, err)
	}
	if changed, _ := s.Apply(1, Entry{Kind: EntryAdvance, Version: 2, TargetStage: StageInForce, Term: 1}); changed {
		t.Error("a version that was withdrawn came into force")
	}
	// A withdrawal of version 2 that is applied when version 2 is already in force is a new version with an exclusive
	// conflict, so it is rolled out in stages.
	s = newStateInForce(t)
	propose(t, s, "n2", tableWithReservation(20, 1))
	withdrawal = must[Entry](t)(s.View().Proposal(tableWithReservation(10, 1), "n1", 2))
	mustApply(t, s, 1, Entry{Kind: EntryAdvance, Version: 2, TargetStage: StageIntersection, Term: 1})
	mustApply(t, s, 1, Entry{Kind: EntryAdvance, Version: 2, TargetStage: StageInForce, Term: 1})
	mustApply(t, s, 1, withdrawal)
	expectRevision(t, s, 3, StageAnnounced)
}

func TestClusterMismatchIsRejected(t *testing.T) {
	s := &State{}
	var mismatch *ClusterMismatchError
	if _, err := s.Apply(1, Entry{Kind: EntryPropose, Proposer: "n", Table: []byte("x")}); !errors.As(err, &mismatch) {
		t.Error(err)
	}
	s = newStateInForce(t)
	if changed, err := s.Apply(1, Entry{Kind: EntryIdentify, Cluster: "c"}); changed || err != nil {
		t.Error(changed, err)
	}
	if _, err := s.Apply(1, Entry{Kind: EntryIdentify, Cluster: "d"}); !errors.As(err, &mismatch) || mismatch.Local != "c" || mismatch.Remote != "d" {
		t.Error(err)
	}
	g := NewGrantor(DefaultSettings, s)
	g.SetTerm(0, 1)
	if err := g.ReceiveRequest(0, Request{Cluster: "d", Instance: "n", Incarnation: 1}); !errors.As(err, &mismatch) {
		t.Error(err)
	}
	h := NewHolder("n", 1, DefaultSettings)
	h.Restore("d", Revision{})
	h.NextRequest(0)
	if err := h.HandleGrant(0, Grant{Cluster: "c", Instance: "n", Incarnation: 1, Nonce: 1, LeaseSeconds: 3, Revision: Revision{1, StageInForce}, View: s.View()}); !errors.As(err, &mismatch) {
		t.Error(err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s := newStateInForce(t)
	for i := range 3 * MaxHistoryLength {
		propose(t, s, "n1", tableWithReservation(10, 2+float64(i%2)))
	}
	if h := s.History(); len(h) != MaxHistoryLength || h[len(h)-1].Version != s.View().NewestNumber() {
		t.Errorf("got a history of %d changes, or a last one that is not the newest version", len(h))
	}
	many := &config.Table{}
	for i := range 3 * MaxChangeKeys {
		many.CordonedWorkers = append(many.CordonedWorkers, fmt.Sprintf("worker-%02d", i))
	}
	propose(t, s, "n1", many)
	if c := s.History()[MaxHistoryLength-1]; len(c.Keys) != MaxChangeKeys || c.OmittedKeys != 2*MaxChangeKeys+2 {
		t.Errorf("got %d keys and %d omitted ones", len(c.Keys), c.OmittedKeys)
	}
}

func TestSnapshot(t *testing.T) {
	s := newStateInForce(t)
	propose(t, s, "n2", tableWithReservation(20, 1))
	mustApply(t, s, 1, Entry{Kind: EntryAdvance, Version: 2, TargetStage: StageIntersection, Term: 1})
	raw := s.Snapshot()
	var restored State
	if err := restored.Restore(raw); err != nil || !reflect.DeepEqual(&restored, s) {
		t.Fatalf("restoring a snapshot: error %v, got %+v, want %+v", err, restored, s)
	}
	var corrupt *CorruptMessageError
	for _, bad := range [][]byte{nil, []byte("x"), raw[:len(raw)/2], make([]byte, MaxSnapshotBytes+1)} {
		if err := restored.Restore(bad); !errors.As(err, &corrupt) || !bytes.Equal(restored.Snapshot(), raw) {
			t.Errorf("restoring %.20q: got error %v, want a *CorruptMessageError and an unchanged state", bad, err)
		}
	}
}
