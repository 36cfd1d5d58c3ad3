package config

import (
	"pgregory.net/rapid"

	"example.org/bellstream/balance"
)

// tableGenerator draws small tables from few names and numbers, so that two of
// them often have entries in common.
func tableGenerator() *rapid.Generator[*Table] {
	return rapid.Custom(func(r *rapid.T) *Table {
		subset := func(label string, names ...string) (drawn []string) {
			for _, n := range names {
				if rapid.Bool().Draw(r, label+" "+n) {
					drawn = append(drawn, n)
				}
			}
			return drawn
		}
		optional := func(label string, values ...float64) *float64 {
			if n := rapid.IntRange(-1, len(values)-1).Draw(r, label); n >= 0 {
				return new(values[n])
			}
			return nil
		}
		t := &Table{Version: rapid.Uint64Range(1, 3).Draw(r, "version"),
			MaxAttempts:       rapid.IntRange(0, 2).Draw(r, "attempts"),
			CordonedWorkers:   subset("cordoned worker", "w1", "w2"),
			ShardInstances:    subset("shard instance", "a", "b", "c"),
			EndpointListEpoch: rapid.Uint64Range(0, 1).Draw(r, "endpoint list epoch"),
			BaseVersion:       rapid.Uint64Range(0, 2).Draw(r, "base version"),
			ProposedBy:        rapid.SampledFrom([]string{"", "a", "b"}).Draw(r, "proposer")}
		for _, n := range subset("tenant", "north", "south") {
			t.Tenants = append(t.Tenants, Tenant{n, optional("reservation", 0, 10, 20), optional("weight", 1, 2)})
		}
		for _, n := range subset("class", "job", "read") {
			c := Class{Name: n,
				LatencyObjective: optional("latency objective", 1, 2),
				Deadline:         optional("deadline", 5, 9),
				PriorityWeight:   optional("priority weight", 1, 3)}
			switch c.Idempotence = rapid.SampledFrom([]balance.Idempotence{
				"", balance.Idempotent, balance.IdempotentWithKey, balance.NonIdempotent}).
				Draw(r, "idempotence"); c.Idempotence {
			case balance.IdempotentWithKey:
				c.DedupScope = rapid.SampledFrom([]balance.DedupScope{balance.ScopeAll, balance.ScopeZone, balance.ScopeCell}).
					Draw(r, "deduplication scope")
				c.DedupWindow = rapid.SampledFrom([]float64{3, 8}).Draw(r, "deduplication window")
			}
			t.Classes = append(t.Classes, c)
		}
		for range rapid.SampledFrom([]int{0, 2, 2, 2, 3}).Draw(r, "shards") {
			t.ShardOwners = append(t.ShardOwners, ShardOwner{
				rapid.SampledFrom([]string{"", "a", "b"}).Draw(r, "shard owner"),
				rapid.Uint64Range(0, 2).Draw(r, "shard epoch")})
		}
		for _, n := range subset("voter", "a", "b", "c") {
			t.Voters = append(t.Voters, Voter{n, "127.0.0.1:" + rapid.SampledFrom([]string{"1", "2"}).Draw(r, "port")})
		}
		for _, n := range subset("cluster", "east", "west") {
			t.Clusters = append(t.Clusters, Cluster{n, rapid.SampledFrom([]float64{20, 40}).Draw(r, "capacity")})
		}
		for _, n := range subset("placement", "north", "south") {
			t.Placements = append(t.Placements, Placement{
				n,
				rapid.SampledFrom([]string{"", "east", "west"}).Draw(r, "placed in cluster"),
				rapid.Bool().Draw(r, "force release"),
				rapid.SampledFrom([]string{"", "east"}).Draw(r, "origin")})
			if rapid.Bool().Draw(r, "has ledger entry") {
				t.LedgerEntries = append(t.LedgerEntries, LedgerEntry{
					n, rapid.SampledFrom([]float64{0, 10, 20}).Draw(r, "usable"), 0})
			}
		}
		return t
	})
}

// sampleTable returns the table that sampleFile describes, as version 7 with voters and shard owners.
func sampleTable() *Table {
	return &Table{
		Version:           7,
		BaseVersion:       6,
		ProposedBy:        "a",
		MaxAttempts:       3,
		CordonedWorkers:   []string{"w1"},
		ShardInstances:    []string{"a", "b"},
		EndpointListEpoch: 1,
		Tenants:           []Tenant{{"north", new(30.0), new(1.0)}, {"south", new(10.0), nil}},
		Classes: []Class{{
			Name:             "job",
			LatencyObjective: new(1.0),
			Idempotence:      balance.IdempotentWithKey,
			DedupScope:       balance.ScopeZone,
			DedupWindow:      8}},
		Voters:      []Voter{{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}, {"c", "127.0.0.1:3"}},
		ShardOwners: []ShardOwner{{"a", 1}, {"b", 4}},
		Clusters:    []Cluster{{"east", 50}, {"west", 40}},
		Placements:  []Placement{{"north", "east", false, ""}}}
}

// sampleWithLedger returns the sample table with its placed service in the capacity ledger.
func sampleWithLedger() *Table {
	t := sampleTable()
	t.Placements[0].Origin, t.CapacityLedger, t.LedgerEntries = "east", []byte{1}, []LedgerEntry{{"north", 30, 30}}
	return t
}
