package coordinator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
)

// cluster is a cluster whose versions are in force as soon as they are proposed.
type cluster struct {
	*Coordinator
	table *config.Table
}

func newTable(service map[string]float64, east, west float64, place config.Placement) *config.Table {
	t := &config.Table{Clusters: []config.Cluster{{Name: "east", Capacity: east}, {Name: "west", Capacity: west}}}
	for name, m := range service {
		p := place
		p.Service, p.Origin = name, "east"
		t.Tenants = append(t.Tenants, config.Tenant{Name: name, Reservation: &m})
		t.Placements = append(t.Placements, p)
	}
	return t.Sorted()
}

// clusterPair is two clusters that exchange messages unless the link is down.
type clusterPair struct {
	t    *testing.T
	now  float64
	side map[string]*cluster
	down bool
}

func newClusterPair(t *testing.T, east, west *config.Table) *clusterPair {
	w := &clusterPair{t: t, now: 1000, side: map[string]*cluster{}}
	for self, table := range map[string]*config.Table{"east": east, "west": west} {
		peer := map[string]string{"east": "west", "west": "east"}[self]
		w.side[self] = &cluster{New(Options{Self: self, Peers: []string{peer}, Pacer: migration.Pacer{SlowStart: migration.SlowStart{SlowStartFloor: 0.1, SlowStartSeconds: 20}}, SettledSeconds: 2}), nil}
		w.side[self].SetLeader(true)
		w.put(self, table)
	}
	return w
}

// put sets the table in force, which must be a valid successor.
func (w *clusterPair) put(self string, t *config.Table) {
	w.t.Helper()
	s, next := w.side[self], *t
	if s.table != nil {
		next.Version, next.BaseVersion = s.table.Version+1, s.table.Version
	} else {
		next.Version = 1
	}
	if err := config.Validate(s.table, &next); err != nil {
		w.t.Fatal(err)
	}
	s.table = &next
	s.Adopt(s.table)
}

// file applies an operator's file, which keeps the ledger.
func (w *clusterPair) file(self string, t *config.Table) {
	next := *t
	next.CapacityLedger, next.LedgerEntries = w.side[self].table.CapacityLedger, w.side[self].table.LedgerEntries
	w.put(self, &next)
}

// run advances the clock and checks both ledgers after each step.
func (w *clusterPair) run(seconds float64) {
	w.t.Helper()
	for end := w.now + seconds; w.now < end; w.now += 0.1 {
		for _, self := range []string{"east", "west"} {
			s, o := w.side[self], w.side[map[string]string{"east": "west", "west": "east"}[self]]
			if t := s.Next(w.now); t != nil {
				w.put(self, t)
			}
			for _, messages := range s.Outbox(w.now) {
				if !w.down {
					s.Receive(w.now, o.Receive(w.now, messages))
				}
			}
			want := map[string]migration.Amount{}
			for _, b := range w.side["east"].table.LedgerEntries {
				want[b.Service] = amountOf(b.Issued)
			}
			if v := migration.CheckInvariants(want, w.side["east"].inForce.state, w.side["west"].inForce.state); len(v) > 0 {
				w.t.Fatalf("%.1f s: %v", w.now, v)
			}
		}
	}
}

func (w *clusterPair) expect(what string, east, west float64) {
	w.t.Helper()
	if e, x := w.side["east"].table.UsableReservations()["a"], w.side["west"].table.UsableReservations()["a"]; e != east || x != west {
		w.t.Fatalf("%s: %v usable in the east and %v in the west, want %v and %v: %+v", what, e, x, east, west, StatusOf(w.side["east"].options, w.side["east"].table))
	}
}

func tableWithServiceA(m float64, in string) *config.Table {
	return newTable(map[string]float64{"a": m}, 40, 40, config.Placement{Cluster: in})
}

// Nothing is escrowed where the config doesn't place it; once both sides' config does it migrates, within slow start.
func TestMoves(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "east"), tableWithServiceA(32, "east"))
	w.run(5)
	w.expect("entered at its origin alone", 32, 0)
	w.file("east", tableWithServiceA(32, "west"))
	w.run(5)
	w.expect("the west's rules still have it in the east", 32, 0)
	w.file("west", tableWithServiceA(32, "west"))
	w.run(10)
	if x := w.side["west"].table.UsableReservations()["a"]; x < 3 || x > 32*0.6 {
		t.Errorf("%v usable after 10 s, where workers warm up in 20", x)
	}
	w.down = true
	w.run(30)
	w.side["west"].SetLeader(false) // a new leader knows the agreed state only
	w.side["west"].SetLeader(true)
	w.down = false
	w.run(40)
	w.expect("over", 0, 32)
	// Raised, then lowered where it was entered.
	w.file("east", tableWithServiceA(40, "west"))
	w.file("west", tableWithServiceA(40, "west"))
	w.run(60)
	w.expect("what was added follows", 0, 40)
	w.file("east", tableWithServiceA(10, "west"))
	w.run(5)
	w.expect("what is elsewhere can't be taken off", 0, 40)
	if x := strings.Join(StatusOf(w.side["east"].options, w.side["east"].table).Faults, "; "); !strings.Contains(x, "the config reserves 10, but 40 is entered in this cluster's ledger") {
		t.Errorf("trouble: %s", x)
	}
	w.file("east", tableWithServiceA(10, "east"))
	w.file("west", tableWithServiceA(10, "east"))
	w.run(60)
	w.expect("home and lowered", 10, 0)
}

// A cluster without capacity for all gets pieces; one whose capacity falls serves all in proportion.
func TestInsufficientCapacity(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "west"), tableWithServiceA(32, "west"))
	other := 20.0
	t2 := tableWithServiceA(32, "west")
	t2.Tenants = append(t2.Tenants, config.Tenant{Name: "b", Reservation: &other})
	t2.Placements = append(t2.Placements, config.Placement{Service: "b", Origin: "west"})
	w.file("west", t2)
	w.run(110)
	w.expect("as much as there is room for", 12, 20)
	if m := w.side["east"].inForce.state.Moves[0]; m.End != migration.Rejected || !strings.Contains(m.Err().Error(), "lacks capacity for 12") {
		t.Errorf("%+v: %v", m, m.Err())
	}
	next := *w.side["west"].table
	next.Clusters = []config.Cluster{{Name: "east", Capacity: 40}, {Name: "west", Capacity: 40}}
	next.Tenants = []config.Tenant{next.Tenants[0], {Name: "b", Reservation: new(float64)}}
	w.put("west", &next)
	w.run(60)
	w.expect("b has gone", 0, 32)
	half := *w.side["west"].table
	half.Tenants = []config.Tenant{{Name: "a", Reservation: &other}, half.Tenants[1]} // the file's figure; the book's stays
	half.Clusters = []config.Cluster{{Name: "east", Capacity: 40}, {Name: "west", Capacity: 24}}
	w.put("west", &half)
	w.run(1)
	w.expect("cut", 0, 24)
}

// A forced release frees what is escrowed here; nothing is offered while it is set.
func TestForceRelease(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "west"), tableWithServiceA(32, "west"))
	w.run(8)
	w.down = true
	w.run(2)
	released := tableWithServiceA(32, "west")
	released.Placements[0].ForceRelease = true
	w.file("west", released)
	w.run(1)
	if m := w.side["west"].inForce.state.Moves[0]; m.End != migration.ForceReleased || m.Escrow() != 0 {
		t.Fatalf("%+v", m)
	}
	w.file("east", released)
	w.down = false
	w.run(20)
	s := w.side["east"].inForce.state
	if m := s.Moves[0]; m.ID.Seq != 1 || !m.Closed || s.Ledger().Account("a").InTransit != 0 {
		t.Errorf("%+v", m)
	}
}

// An operator's proposal comes first; messages of unknown clusters and invalid ledgers change nothing.
func TestRejectsForeignInput(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "east"), tableWithServiceA(32, "east"))
	east := w.side["east"]
	east.Backoff(w.now)
	if east.Next(w.now+1) != nil || east.Next(w.now+backoffSeconds) == nil {
		t.Error("it does not yield, or for ever")
	}
	w.run(5)
	id := migration.ID{Key: migration.Key{From: "north", To: "east", Service: "a"}, Seq: 1}
	if a := east.Receive(w.now, []migration.Message{{Type: migration.MessageOffer, ID: id, Source: true, Amount: 1, Request: migration.DirectionRequest{Number: 1, Direction: migration.Forward}},
		{Type: migration.MessageHold, ID: migration.ID{Key: migration.Key{From: "east", To: "north", Service: "a"}, Seq: 1}}}); a != nil || east.dropped["of no peer"] != 2 || len(east.progress.lastMessages) != 0 {
		t.Errorf("answers %v, dropped %v", a, east.dropped)
	}
	for i := range MaxTrackedMoves + 5 {
		id := migration.ID{Key: migration.Key{From: "west", To: "east", Service: fmt.Sprint(i)}, Seq: 1}
		east.Receive(w.now, []migration.Message{{Type: migration.MessageOffer, ID: id, Source: true, Amount: 1, Request: migration.DirectionRequest{Number: 1, Direction: migration.Forward}}})
	}
	if len(east.progress.lastMessages) != MaxTrackedMoves || east.dropped["too many moves"] != 5 {
		t.Errorf("%d heard, dropped %v", len(east.progress.lastMessages), east.dropped)
	}
	for _, bad := range [][]byte{w.side["west"].table.CapacityLedger, {1, 2, 3}} {
		next := *east.table
		next.CapacityLedger = bad
		var books *InvalidLedgerError
		if _, err := State("east", &next); !errors.As(err, &books) {
			t.Errorf("%v", err)
		}
		east.Adopt(&next)
		if east.Next(w.now+9) != nil || east.Outbox(w.now+9) != nil || east.Receive(w.now+9, nil) != nil {
			t.Error("it goes on with bad books")
		}
	}
	var mistakes config.ValidationErrors
	gone := *east.table
	gone.Placements, gone.Version, gone.BaseVersion = nil, gone.Version+1, gone.Version
	if err := config.Validate(east.table, &gone); !errors.As(err, &mistakes) || !strings.Contains(err.Error(), "keep the block") {
		t.Errorf("what is in the book is not placed any more: %v", err)
	}
}
