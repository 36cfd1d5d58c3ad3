package config

import (
	"fmt"
	"testing"

	"example.org/bellstream/balance"
)

// A change of each key is reported alone and with the kind of its conflict, whatever the order of the tables.
func TestConflicts(t *testing.T) {
	for _, c := range []struct {
		change func(*Table)
		want   string
	}{
		{func(x *Table) { x.Version, x.BaseVersion, x.ProposedBy = 8, 7, "b" }, `[]`},
		{func(x *Table) { x.MaxAttempts = 2 }, `[attempts (loose)]`},
		{func(x *Table) { x.EndpointListEpoch = 2 }, `[list_epoch (loose)]`},
		{func(x *Table) { x.CordonedWorkers = []string{"w2"} }, `[out "w1" (exclusive) out "w2" (exclusive)]`},
		{func(x *Table) { x.ShardInstances = x.ShardInstances[:1] }, `[instances "b" (exclusive)]`},
		{func(x *Table) { x.Tenants[0].Reservation = new(31.0) }, `[tenant "north".reservation (exclusive)]`},
		{func(x *Table) { x.Tenants[1].Reservation = nil }, `[tenant "south".reservation (exclusive)]`},
		{func(x *Table) { x.Tenants[1].Weight = new(2.0) }, `[tenant "south".weight (loose)]`},
		{func(x *Table) { x.Classes[0].LatencyObjective, x.Classes[0].ObjectiveStretch = nil, new(1.0) }, `[class "job".aim (loose) class "job".stretch (loose)]`},
		{func(x *Table) { x.Classes[0].Deadline = new(4.0) }, `[class "job".deadline (loose)]`},
		{func(x *Table) { x.Classes[0].PriorityWeight, x.Classes[0].LateWeightFraction = new(4.0), new(0.0) }, `[class "job".worth (loose) class "job".late_worth (loose)]`},
		{func(x *Table) { x.Classes[0].DedupScope = balance.ScopeCell }, `[class "job".scope (exclusive)]`},
		{func(x *Table) { x.Classes[0].DedupWindow = 9 }, `[class "job".window (exclusive)]`},
		{func(x *Table) { x.Classes = []Class{{Name: "new", Idempotence: balance.Idempotent}} }, `[class "job".effect (exclusive) class "job".scope (exclusive) ` +
			`class "job".window (exclusive) class "job".aim (loose) class "new".effect (exclusive)]`},
		{func(x *Table) { x.Voters[2].Address = "127.0.0.1:4" }, `[voter "c" (loose)]`},
		{func(x *Table) { x.ShardOwners[1].Epoch = 5 }, `[seat 1 (exclusive)]`},
		{func(x *Table) { x.ShardOwners = nil }, `[seats (exclusive)]`},
		{func(x *Table) { x.Clusters = x.Clusters[:1] }, `[cluster "west".capacity (exclusive)]`},
		{func(x *Table) { x.Placements[0].Cluster = "west" }, `[placement "north".cluster (exclusive)]`},
		{func(x *Table) { x.Placements[0].ForceRelease = true }, `[placement "north".release (exclusive)]`},
		{func(x *Table) { x.Placements[0].Origin = "west" }, `[placement "north".origin (exclusive)]`},
		{func(x *Table) { x.CapacityLedger = nil }, `[books (loose)]`},
		{func(x *Table) { x.LedgerEntries[0].Usable = 20 }, `[booked "north".usable (exclusive)]`},
		{func(x *Table) { x.LedgerEntries[0].Issued = 20 }, `[booked "north".entered (loose)]`},
		{func(x *Table) { x.LedgerEntries = nil }, `[booked "north".usable (exclusive) booked "north".entered (loose)]`},
		{func(x *Table) { x.Strict = true }, `[strict (exclusive)]`},
	} {
		a, b := sampleWithLedger(), sampleWithLedger()
		c.change(b)
		if got := fmt.Sprint(Conflicts(a, b)); got != c.want || got != fmt.Sprint(Conflicts(b, a)) || Equivalent(a, b) != (got == "[]") {
			t.Errorf("conflicts:\ngot  %s\nwant %s", got, c.want)
		}
	}
}
