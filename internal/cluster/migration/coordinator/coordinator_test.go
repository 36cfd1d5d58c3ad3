package coordinator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
)

// cluster is a cluster's leader, whose proposed tables are in force immediately.
type cluster struct {
	*Coordinator
	table *config.Table
}

func newTable(reservations map[string]float64, east, west float64, placement config.Placement) *config.Table {
	t := &config.Table{Clusters: []config.Cluster{{Name: "east", Capacity: east}, {Name: "west", Capacity: west}}}
	for name, m := range reservations {
		p := placement
		p.Service, p.Origin = name, "east"
		t.Tenants = append(t.Tenants, config.Tenant{Name: name, Reservation: &m})
		t.Placements = append(t.Placements, p)
	}
	return t.Sorted()
}

// clusterPair holds two clusters that exchange messages unless the link is down.
type clusterPair struct {
	t        *testing.T
	now      float64
	clusters map[string]*cluster
	linkDown bool
}

func newClusterPair(t *testing.T, east, west *config.Table) *clusterPair {
	w := &clusterPair{t: t, now: 1000, clusters: map[string]*cluster{}}
	for self, table := range map[string]*config.Table{"east": east, "west": west} {
		peer := map[string]string{"east": "west", "west": "east"}[self]
		w.clusters[self] = &cluster{New(Options{Self: self, Peers: []string{peer}, Pacer: migration.Pacer{SlowStart: migration.SlowStart{SlowStartFloor: 0.1, SlowStartSeconds: 20}}, SettledSeconds: 2}), nil}
		w.clusters[self].SetLeader(true)
		w.setInForce(self, table)
	}
	return w
}

// setInForce puts a table in force at a cluster. It fails the test if the table is no valid successor.
func (w *clusterPair) setInForce(self string, t *config.Table) {
	w.t.Helper()
	s, next := w.clusters[self], *t
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

// applyFile applies an operator's file, which leaves the ledger unchanged.
func (w *clusterPair) applyFile(self string, t *config.Table) {
	next := *t
	next.CapacityLedger, next.LedgerEntries = w.clusters[self].table.CapacityLedger, w.clusters[self].table.LedgerEntries
	w.setInForce(self, &next)
}

// run advances the clock in steps of 0.1 s and checks the invariants of both ledgers after each step.
func (w *clusterPair) run(seconds float64) {
	w.t.Helper()
	for end := w.now + seconds; w.now < end; w.now += 0.1 {
		for _, self := range []string{"east", "west"} {
			s, o := w.clusters[self], w.clusters[map[string]string{"east": "west", "west": "east"}[self]]
			if t := s.Next(w.now); t != nil {
				w.setInForce(self, t)
			}
			for _, messages := range s.Outbox(w.now) {
				if !w.linkDown {
					s.Receive(w.now, o.Receive(w.now, messages))
				}
			}
			want := map[string]migration.Amount{}
			for _, entry := range w.clusters["east"].table.LedgerEntries {
				want[entry.Service] = amountOf(entry.Issued)
			}
			if v := migration.CheckInvariants(want, w.clusters["east"].inForce.state, w.clusters["west"].inForce.state); len(v) > 0 {
				w.t.Fatalf("at %.1f s: invariants violated: %v", w.now, v)
			}
		}
	}
}

func (w *clusterPair) expectUsable(what string, east, west float64) {
	w.t.Helper()
	if e, x := w.clusters["east"].table.UsableReservations()["a"], w.clusters["west"].table.UsableReservations()["a"]; e != east || x != west {
		w.t.Fatalf("%s: %v usable in the east and %v in the west, want %v and %v: %+v", what, e, x, east, west, StatusOf(w.clusters["east"].options, w.clusters["east"].table))
	}
}

func tableWithServiceA(m float64, in string) *config.Table {
	return newTable(map[string]float64{"a": m}, 40, 40, config.Placement{Cluster: in})
}

// A service does not migrate until the config of both clusters places it at the destination. It then migrates within
// slow start, continues after a broken link and a change of leader, and returns when the config changes.
func TestMoves(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "east"), tableWithServiceA(32, "east"))
	w.run(5)
	w.expectUsable("entered only at its origin", 32, 0)
	w.applyFile("east", tableWithServiceA(32, "west"))
	w.run(5)
	w.expectUsable("the west's config still places it in the east", 32, 0)
	w.applyFile("west", tableWithServiceA(32, "west"))
	w.run(10)
	if x := w.clusters["west"].table.UsableReservations()["a"]; x < 3 || x > 32*0.6 {
		t.Errorf("got %v usable after 10 s, want 3 to 19.2 with a slow start of 20 s", x)
	}
	w.linkDown = true
	w.run(30)
	w.clusters["west"].SetLeader(false) // a new leader knows only the agreed state
	w.clusters["west"].SetLeader(true)
	w.linkDown = false
	w.run(40)
	w.expectUsable("move ended", 0, 32)
	// The reservation is raised, then lowered at its origin.
	w.applyFile("east", tableWithServiceA(40, "west"))
	w.applyFile("west", tableWithServiceA(40, "west"))
	w.run(60)
	w.expectUsable("added reservation also moved", 0, 40)
	w.applyFile("east", tableWithServiceA(10, "west"))
	w.run(5)
	w.expectUsable("reservation at another cluster can't be removed", 0, 40)
	if x := strings.Join(StatusOf(w.clusters["east"].options, w.clusters["east"].table).Faults, "; "); !strings.Contains(x, "the config reserves 10, but 40 is entered in this cluster's ledger") {
		t.Errorf("got faults: %s", x)
	}
	w.applyFile("east", tableWithServiceA(10, "east"))
	w.applyFile("west", tableWithServiceA(10, "east"))
	w.run(60)
	w.expectUsable("returned and lowered", 10, 0)
}

// If a cluster lacks capacity for the full service, a part is moved. If its capacity falls, all promises are scaled.
func TestInsufficientCapacity(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "west"), tableWithServiceA(32, "west"))
	other := 20.0
	westTable := tableWithServiceA(32, "west")
	westTable.Tenants = append(westTable.Tenants, config.Tenant{Name: "b", Reservation: &other})
	westTable.Placements = append(westTable.Placements, config.Placement{Service: "b", Origin: "west"})
	w.applyFile("west", westTable)
	w.run(110)
	w.expectUsable("as much as the west has capacity for", 12, 20)
	if m := w.clusters["east"].inForce.state.Moves[0]; m.End != migration.Rejected || !strings.Contains(m.Err().Error(), "lacks capacity for 12") {
		t.Errorf("got move %+v with error %v", m, m.Err())
	}
	next := *w.clusters["west"].table
	next.Clusters = []config.Cluster{{Name: "east", Capacity: 40}, {Name: "west", Capacity: 40}}
	next.Tenants = []config.Tenant{next.Tenants[0], {Name: "b", Reservation: new(float64)}}
	w.setInForce("west", &next)
	w.run(60)
	w.expectUsable("b is removed", 0, 32)
	reduced := *w.clusters["west"].table
	reduced.Tenants = []config.Tenant{{Name: "a", Reservation: &other}, reduced.Tenants[1]} // only the config's reservation changes, not the ledger's
	reduced.Clusters = []config.Cluster{{Name: "east", Capacity: 40}, {Name: "west", Capacity: 24}}
	w.setInForce("west", &reduced)
	w.run(1)
	w.expectUsable("scaled to the capacity", 0, 24)
}

// A forced release ends the move and frees its escrow. No new move begins while it is set.
func TestForceRelease(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "west"), tableWithServiceA(32, "west"))
	w.run(8)
	w.linkDown = true
	w.run(2)
	released := tableWithServiceA(32, "west")
	released.Placements[0].ForceRelease = true
	w.applyFile("west", released)
	w.run(1)
	if m := w.clusters["west"].inForce.state.Moves[0]; m.End != migration.ForceReleased || m.Escrow() != 0 {
		t.Fatalf("got west's move %+v, want it force-released without escrow", m)
	}
	w.applyFile("east", released)
	w.linkDown = false
	w.run(20)
	s := w.clusters["east"].inForce.state
	if m := s.Moves[0]; m.ID.Seq != 1 || !m.Closed || s.Ledger().Account("a").InTransit != 0 {
		t.Errorf("got east's move %+v, want number 1, closed, nothing in transit", m)
	}
}

// The coordinator pauses after a conflict with another proposal. Messages of unknown clusters and invalid ledgers have no
// effect, and a placement can't be removed while the ledger has its service.
func TestRejectsForeignInput(t *testing.T) {
	w := newClusterPair(t, tableWithServiceA(32, "east"), tableWithServiceA(32, "east"))
	east := w.clusters["east"]
	east.Backoff(w.now)
	if east.Next(w.now+1) != nil || east.Next(w.now+backoffSeconds) == nil {
		t.Error("no pause after a conflict, or it does not end")
	}
	w.run(5)
	id := migration.ID{Key: migration.Key{From: "north", To: "east", Service: "a"}, Seq: 1}
	if a := east.Receive(w.now, []migration.Message{{Type: migration.MessageOffer, ID: id, Source: true, Amount: 1, Request: migration.DirectionRequest{Number: 1, Direction: migration.Forward}},
		{Type: migration.MessageHold, ID: migration.ID{Key: migration.Key{From: "east", To: "north", Service: "a"}, Seq: 1}}}); a != nil || east.dropped["of no peer"] != 2 || len(east.progress.lastMessages) != 0 {
		t.Errorf("got answers %v, dropped %v", a, east.dropped)
	}
	for i := range MaxTrackedMoves + 5 {
		id := migration.ID{Key: migration.Key{From: "west", To: "east", Service: fmt.Sprint(i)}, Seq: 1}
		east.Receive(w.now, []migration.Message{{Type: migration.MessageOffer, ID: id, Source: true, Amount: 1, Request: migration.DirectionRequest{Number: 1, Direction: migration.Forward}}})
	}
	if len(east.progress.lastMessages) != MaxTrackedMoves || east.dropped["too many moves"] != 5 {
		t.Errorf("got %d tracked moves, dropped %v", len(east.progress.lastMessages), east.dropped)
	}
	for _, bad := range [][]byte{w.clusters["west"].table.CapacityLedger, {1, 2, 3}} {
		next := *east.table
		next.CapacityLedger = bad
		var invalidLedger *InvalidLedgerError
		if _, err := State("east", &next); !errors.As(err, &invalidLedger) {
			t.Errorf("got %v, want *InvalidLedgerError", err)
		}
		east.Adopt(&next)
		if east.Next(w.now+9) != nil || east.Outbox(w.now+9) != nil || east.Receive(w.now+9, nil) != nil {
			t.Error("the coordinator continues with an invalid ledger")
		}
	}
	var validationErrors config.ValidationErrors
	withoutPlacements := *east.table
	withoutPlacements.Placements, withoutPlacements.Version, withoutPlacements.BaseVersion = nil, withoutPlacements.Version+1, withoutPlacements.Version
	if err := config.Validate(east.table, &withoutPlacements); !errors.As(err, &validationErrors) || !strings.Contains(err.Error(), "keep the block") {
		t.Errorf("placement of a service in the ledger is removed: got %v", err)
	}
}
