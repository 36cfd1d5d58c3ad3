package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Validate reports errors that an operator's file can't have but a proposal to the leader may.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		change func(*Table)
		want   string
	}{
		{func(x *Table) {}, ""},
		{func(x *Table) { x.ShardOwners[1] = ShardOwner{"a", 5} }, ""},
		{func(x *Table) { x.ShardOwners[1] = ShardOwner{"", 5} }, ""},
		{func(x *Table) { x.Voters = append(x.Voters, Voter{"d", "127.0.0.1:4"}) }, ""},
		{func(x *Table) { x.Version = 9 }, "version 9 can't follow version 7"},
		{func(x *Table) { x.BaseVersion = 6 }, "6 is not the newest version, which is 7"},
		{func(x *Table) { x.Strict = true }, "deny everything"},
		{func(x *Table) { x.EndpointListEpoch = 0 }, "list_epoch: 0 is below 1"},
		{func(x *Table) { x.ShardOwners[1].Epoch = 3 }, "seat 1: epoch 3 is below 4"},
		{func(x *Table) { x.ShardOwners[1].Name = "a" }, `seat 1: the owner changes to "a" in the same epoch, 4`},
		{func(x *Table) { x.ShardOwners[1] = ShardOwner{"x", 5} }, `"x" is not listed but owns 1 shards, the first is 1`},
		{func(x *Table) { x.ShardOwners = x.ShardOwners[:1] }, "1 shards after 2"},
		{func(x *Table) { x.ShardOwners = nil }, "0 shards after 2"},
		{func(x *Table) { x.Voters = x.Voters[:2] }, "2 voters, must be 3"},
		{func(x *Table) { x.Voters[0], x.Voters[1].Address = Voter{"d", "127.0.0.1:4"}, "127.0.0.1:5" }, `"a", "b", "d" change at a time`},
		{func(x *Table) { x.Tenants[0].Weight = new(math.NaN()) }, "NaN is not above 0"},
		{func(x *Table) { x.Tenants[0].Weight = new(math.Inf(1)) }, "+Inf is not above 0"},
		{func(x *Table) { x.Tenants[0].Reservation = new(math.Copysign(0, -1)) }, "-0 is not from 0"},
		{func(x *Table) { x.CordonedWorkers = make([]string, MaxCordonedWorkers+1) }, "4097 workers, at most"},
		{func(x *Table) { x.ShardInstances = append(x.ShardInstances, strings.Repeat("n", MaxNameBytes+1)) }, "has 129 bytes"},
		{func(x *Table) { x.ShardInstances = append(x.ShardInstances, "n\x00") }, "is not plain text"},
		{func(x *Table) { x.ProposedBy = "\xff" }, "is not plain text"},
	} {
		next := sampleTable()
		next.Version, next.BaseVersion = 8, 7
		c.change(next)
		err := Validate(sampleTable(), next)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("got error %v, want %q in it (empty: no error)", err, c.want)
		}
	}
	if err := Validate(nil, &Table{Version: 1}); err != nil {
		t.Error(err)
	}
}

// The errors do not depend on the order of lists. A valid table has an encoding, and
// no shard has a lower epoch than before.
func TestValidateIsDeterministic(t *testing.T) {
	valid := 0
	rapid.Check(t, func(r *rapid.T) {
		a, b := tableGenerator().Draw(r, "a"), tableGenerator().Draw(r, "b")
		if rapid.Bool().Draw(r, "follows") {
			b.Version, b.BaseVersion, b.ShardOwners, b.Voters, b.Placements, b.MaxAttempts = a.Version+1, a.Version, nil, a.Voters, nil, 1
			b.ShardInstances, b.EndpointListEpoch, a.Voters, b.Voters = []string{"a", "b", "c"}, a.EndpointListEpoch, nil, nil
			for _, s := range a.ShardOwners {
				if rapid.Bool().Draw(r, "moves") {
					s = ShardOwner{"c", s.Epoch + 1}
				}
				b.ShardOwners = append(b.ShardOwners, s)
			}
		}
		first := Validate(a, b)
		c := *b
		c.Tenants, c.Classes, c.ShardInstances = slices.Clone(b.Tenants), slices.Clone(b.Classes), slices.Clone(b.ShardInstances)
		slices.Reverse(c.Tenants)
		slices.Reverse(c.Classes)
		slices.Reverse(c.ShardInstances)
		if again := Validate(a, &c); fmt.Sprint(first) != fmt.Sprint(again) {
			r.Fatalf("errors depend on the order of lists: %v\nand %v", first, again)
		}
		if first != nil {
			return
		}
		valid++
		if _, err := Encode(&c); err != nil {
			r.Fatal(err)
		}
		for i, s := range a.ShardOwners {
			if b.ShardOwners[i].Epoch < s.Epoch {
				r.Fatal("a valid table decreases the epoch of a shard")
			}
		}
	})
	if valid == 0 {
		t.Error("no valid table was drawn")
	}
}
