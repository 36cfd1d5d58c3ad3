package lease

import (
	"errors"
	"testing"
)

func TestLeaseStartsWhenRequestIsSent(t *testing.T) {
	p := newPair(t)
	var expired *ExpiredError
	if err := p.holder.Err(9); !errors.As(err, &expired) || expired.ExpiredSeconds != 0 {
		t.Error(err)
	}
	q := p.request(10)
	g := p.grant(11, q)
	if err := p.holder.HandleGrant(12, g); err != nil {
		t.Fatal(err)
	}
	a := p.holder.EffectiveConfig(12.9)
	if !a.Leased || a.ExpiresAt != 13 || a.Revision != (Revision{1, StageInForce}) || *a.Table.Tenants[0].Reservation != 10 {
		t.Errorf("before the lease expires: got %+v", a)
	}
	// The lease expires by the clock alone, since no timer runs while a process is suspended.
	if a := p.holder.EffectiveConfig(13); a.Leased || !a.Table.Strict {
		t.Errorf("when the lease has expired: got %+v, want a strict table without a lease", a)
	}
	if err := p.holder.Err(15); !errors.As(err, &expired) || expired.ExpiredSeconds != 2 || p.holder.Err(12) != nil {
		t.Error(err)
	}
	if b := p.grantor.ActiveLeases(12); len(b) != 1 || b[0].ExpiresAt != 11+DefaultSettings.grantorLeaseSeconds() {
		t.Errorf("active leases: got %+v, want one that starts when it was granted", b)
	}
	// A grant contains no view if the holder already has the current one.
	if g := p.grant(13, p.request(13)); g.View != nil {
		t.Error("the view was sent again")
	} else if err := p.holder.HandleGrant(13, g); err != nil || !p.holder.EffectiveConfig(15).Leased {
		t.Error(err)
	}
}

// If a response takes longer than the renew interval, the next request is due as soon as the response arrives. After a
// grant of a new revision, that request is delayed by up to a poll interval, so that the event loop can acknowledge the
// revision first. Without the delay the next stage would have to wait for one more response.
func TestRequestWaitsForEventLoop(t *testing.T) {
	p := newPair(t)
	q := p.request(10)
	if err := p.holder.HandleGrant(12, p.grant(11, q)); err != nil {
		t.Fatal(err)
	}
	if _, due, at := p.holder.NextRequest(12); due || at != 12+p.holder.settings.PollIntervalSeconds {
		t.Errorf("after a new revision: got due %v, next request at %v s; want a delay of a poll interval", due, at)
	}
	revision := p.holder.EffectiveConfig(12).Revision
	p.holder.Acknowledge(12.01, revision)
	q, due, _ := p.holder.NextRequest(12.01)
	if !due || q.AppliedRevision != revision {
		t.Errorf("after the acknowledgement: got due %v, applied revision %v", due, q.AppliedRevision)
	}
	if err := p.holder.HandleGrant(14, p.grant(13, q)); err != nil { // of the same revision
		t.Fatal(err)
	}
	if _, due, _ := p.holder.NextRequest(14); !due {
		t.Error("the request after a grant of the same revision is delayed")
	}
}

func TestDroppedGrants(t *testing.T) {
	p := newPair(t)
	g := p.grant(0, p.request(0))
	change := func(f func(g *Grant)) Grant {
		x := g
		f(&x)
		return x
	}
	v := *p.state.View()
	v.InForce.Table = []byte("{}")
	for _, c := range []struct {
		g    Grant
		now  float64
		want DropReason
	}{
		{change(func(g *Grant) { g.Instance = "n2" }), 0, Unsolicited},
		{change(func(g *Grant) { g.Incarnation = 6 }), 0, Unsolicited},
		{change(func(g *Grant) { g.Nonce++ }), 0, NotOutstanding},
		{g, 3, ExpiredOnArrival},
		{change(func(g *Grant) { g.View = nil }), 0, Undecodable},
		{change(func(g *Grant) { g.Revision.Version++ }), 0, Undecodable},
		{change(func(g *Grant) { g.View = &v }), 0, Undecodable},
	} {
		before := p.holder.DropCounts()[c.want]
		var d *DroppedGrantError
		if err := p.holder.HandleGrant(c.now, c.g); !errors.As(err, &d) || d.Reason != c.want || p.holder.DropCounts()[c.want] != before+1 {
			t.Errorf("got %v, want a dropped grant with the reason %q", err, c.want)
		}
		if p.holder.EffectiveConfig(0).Leased {
			t.Error("a dropped grant resulted in a lease")
		}
	}
	if err := p.holder.HandleGrant(0, g); err != nil {
		t.Error(err)
	}
	if err := p.holder.HandleGrant(0, g); err == nil {
		t.Error("a grant was applied a second time")
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	p := newPair(t)
	p.holder.Restore("c", Revision{5, StageIntersection})
	q := p.request(0)
	var lost *StateLostError
	if err := p.grantor.ReceiveRequest(0, q); !errors.As(err, &lost) || lost.Known.Version != 5 {
		t.Error(err)
	}
	old := Grant{Cluster: "c", Instance: "n1", Incarnation: 7, Nonce: 1, LeaseSeconds: 3, Revision: p.state.Revision(), View: p.state.View()}
	if err := p.holder.HandleGrant(0, old); !errors.As(err, &lost) || p.holder.EffectiveConfig(0).Leased {
		t.Error(err)
	}
	// Voters that lost their files may reach the same version number again, with another table.
	p = newPair(t)
	if err := p.holder.HandleGrant(0, p.grant(0, p.request(0))); err != nil {
		t.Fatal(err)
	}
	p.state = &State{}
	mustApply(t, p.state, 1, Entry{Kind: EntryIdentify, Cluster: "c"})
	propose(t, p.state, "n1", tableWithReservation(99, 1))
	q = p.request(1)
	if err := p.holder.HandleGrant(1, Grant{Cluster: "c", Instance: "n1", Incarnation: 7, Nonce: q.Nonce, LeaseSeconds: 3, Revision: p.state.Revision(), View: p.state.View()}); !errors.As(err, &lost) {
		t.Error(err)
	}
}

// While responses arrive, requests are at most RenewIntervalSeconds and at least RenewIntervalSeconds*(1-RenewJitter)
// apart, at varying intervals. Otherwise the interval doubles, to half a lease at most plus jitter.
func TestRequestJitter(t *testing.T) {
	p := newPair(t)
	seen := map[float64]bool{}
	now := 0.0
	for range 200 {
		if err := p.holder.HandleGrant(now, p.grant(now, p.request(now))); err != nil {
			t.Fatal(err)
		}
		_, _, at := p.holder.NextRequest(now)
		if d := at - now; d > DefaultSettings.RenewIntervalSeconds || d < DefaultSettings.RenewIntervalSeconds*(1-RenewJitter)-1e-9 {
			t.Fatalf("the next request is due after %g s, outside the range of the jitter", d)
		}
		seen[at-now] = true
		now = at
	}
	if len(seen) < 100 {
		t.Errorf("got %d different intervals of 200, want at least 100", len(seen))
	}
	// Without responses the backoff grows, to half a lease plus jitter at most.
	last := now
	for i := range 20 {
		p.request(now)
		_, _, now = p.holder.NextRequest(now)
		if d := now - last; d > DefaultSettings.LeaseSeconds/2*(1+RenewJitter) || i == 0 && d > 2*DefaultSettings.responseSeconds() || i > 10 && d < DefaultSettings.LeaseSeconds/2 {
			t.Fatalf("retry %d: got a backoff of %g s, which is out of range", i, d)
		}
		last = now
	}
}
