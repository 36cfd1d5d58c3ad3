package lease

import (
	"testing"
)

// BenchmarkLeader measures the leader answering a request of one of 300 instances
// while a version is being rolled out.
func BenchmarkLeader(b *testing.B) {
	s := newStateInForce(&testing.T{})
	g := NewGrantor(DefaultSettings, s)
	g.SetTerm(0, 1)
	e, err := s.View().Proposal(tableWithReservation(20, 1), "n2", 1)
	if err != nil {
		b.Fatal(err)
	}
	s.Apply(1, e)
	q := Request{Cluster: "c", Instance: "n", AppliedRevision: s.Revision(), ViewDigest: s.digest}
	for i := range b.N {
		q.Incarnation = uint64(i%300) + 1
		if err := g.ReceiveRequest(1, q); err != nil {
			b.Fatal(err)
		}
		if _, err := g.Grant(1, 1, q); err != nil {
			b.Fatal(err)
		}
		g.NextEntry(1)
	}
}

// BenchmarkHolder measures a holder sending a request and applying its grant.
func BenchmarkHolder(b *testing.B) {
	s := newStateInForce(&testing.T{})
	h := NewHolder("n1", 1, DefaultSettings)
	g := Grant{Cluster: "c", Instance: "n1", Incarnation: 1, LeaseSeconds: DefaultSettings.LeaseSeconds, Revision: s.Revision(), View: s.View()}
	for i := range b.N {
		now := float64(i)
		q, _, _ := h.NextRequest(now)
		if g.Nonce = q.Nonce; h.HandleGrant(now, g) != nil || !h.EffectiveConfig(now).Leased {
			b.Fatal("the holder has no lease after applying a grant")
		}
	}
}
