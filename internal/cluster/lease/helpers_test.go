package lease

import (
	"testing"

	"example.org/bellstream/internal/cluster/config"
)

// tableWithReservation returns a table with one tenant, which has the given reservation and weight.
func tableWithReservation(reservation, weight float64) *config.Table {
	return &config.Table{Tenants: []config.Tenant{{
		Name:        "north",
		Reservation: new(reservation),
		Weight:      new(weight),
	}}}
}

// must returns a function that returns its first argument, and fails the test if the second one is an error.
func must[T any](t *testing.T) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// mustApply encodes, decodes and applies an entry, and fails the test if that does not change the state.
func mustApply(t *testing.T, s *State, term uint64, e Entry) {
	t.Helper()
	raw := must[[]byte](t)(e.Marshal())
	if changed, err := s.Apply(term, must[Entry](t)(UnmarshalEntry(raw))); !changed || err != nil {
		t.Fatalf("applying %v: got changed %v, error %v; want a change", e, changed, err)
	}
}

// propose proposes a table on the newest version and applies the entry.
func propose(t *testing.T, s *State, by string, table *config.Table) {
	t.Helper()
	mustApply(t, s, 1, must[Entry](t)(s.View().Proposal(table, by, s.View().NewestNumber())))
}

// newStateInForce returns a state with version 1 in force.
func newStateInForce(t *testing.T) *State {
	s := &State{}
	mustApply(t, s, 1, Entry{Kind: EntryIdentify, Cluster: "c"})
	mustApply(t, s, 1, Entry{Kind: EntryExtendLease, LeaseSeconds: DefaultSettings.grantorLeaseSeconds()})
	propose(t, s, "n1", tableWithReservation(10, 1))
	return s
}

func expectRevision(t *testing.T, s *State, version uint64, stage Stage) {
	t.Helper()
	if want := (Revision{version, stage}); s.Revision() != want {
		t.Fatalf("got revision %v, want %v", s.Revision(), want)
	}
}

// pair is a leader and one instance that exchanges messages with it.
type pair struct {
	t       *testing.T
	state   *State
	grantor *Grantor
	holder  *Holder
}

func newPair(t *testing.T) *pair {
	state := newStateInForce(t)
	p := &pair{
		t:       t,
		state:   state,
		grantor: NewGrantor(DefaultSettings, state),
		holder:  NewHolder("n1", 7, DefaultSettings),
	}
	p.grantor.SetTerm(0, 1)
	return p
}

// request returns the holder's request after encoding and decoding it. It fails the test if no request is due.
func (p *pair) request(now float64) Request {
	p.t.Helper()
	request, due, at := p.holder.NextRequest(now)
	if !due {
		p.t.Fatalf("no request is due at %g s, the next one is due at %g s", now, at)
	}
	return must[Request](p.t)(UnmarshalRequest(request.Marshal()))
}

// grant returns the leader's answer to a request, after encoding and decoding it.
func (p *pair) grant(now float64, request Request) Grant {
	p.t.Helper()
	if err := p.grantor.ReceiveRequest(now, request); err != nil {
		p.t.Fatal(err)
	}
	grant := must[Grant](p.t)(p.grantor.Grant(now, 1, request))
	return must[Grant](p.t)(UnmarshalGrant(grant.Marshal()))
}
