package coordinator

import (
	"fmt"
	"testing"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/migration/wire"
)

// BenchmarkNext measures a leader's review of a ledger with 1,000 services, 900 ended and 100 open moves.
func BenchmarkNext(b *testing.B) {
	services := map[string]float64{}
	s := migration.New("east")
	s.Capacity = 100000 * migration.SlotStart
	for i := range 1000 {
		name := fmt.Sprintf("service-%04d", i)
		services[name] = 8
		s.Reserved = append(s.Reserved, migration.Reservation{Service: name, Amount: 8 * migration.SlotStart})
		m := migration.Move{ID: migration.ID{Key: migration.Key{From: "east", To: "west", Service: name}, Seq: 1}, Source: true, Amount: 8 * migration.SlotStart, Local: 8 * migration.SlotStart,
			HasToken: true, DestinationReady: true, Request: migration.DirectionRequest{Number: 1, Direction: migration.Forward}, End: migration.Completed, Closed: true}
		if i < 100 {
			m.End, m.Closed = migration.Open, false
		}
		s.Moves = append(s.Moves, m)
	}
	t := newTable(services, 100000, 100000, config.Placement{Cluster: "west"})
	t.CapacityLedger = wire.MarshalState(s)
	for name := range services {
		t.LedgerEntries = append(t.LedgerEntries, config.LedgerEntry{Service: name, Usable: 8, Issued: 8})
	}
	c := New(Options{Self: "east", Peers: []string{"west"}})
	c.SetLeader(true)
	c.Adopt(t.Sorted())
	now := 0.0
	for b.Loop() {
		now++
		c.Next(now)
	}
}
