package shard

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"example.org/bellstream/internal/cluster/config"
)

func members(n int) (all []Member) {
	for i := range n {
		all = append(all, Member{fmt.Sprintf("i%03d", i), 1})
	}
	return all
}

// applyPlan applies a plan as a coordinator would, with all transfers completed.
func applyPlan(m Map, p Plan) Map {
	m = slices.Clone(m)
	for _, x := range p.Assignments {
		m.Apply(OwnerChange{x.Shard, m[x.Shard].Epoch, x.To})
	}
	for _, x := range p.Transfers {
		m.Apply(OwnerChange{x.Shard, m[x.Shard].Epoch, x.To})
	}
	return m
}

// expectedBounds returns the bounds of a member. Unlike Place it calculates in
// integers; hundredths is the tolerance in hundredths.
func expectedBounds(shards, weight, all, hundredths int) (low, high int) {
	low = shards * weight * (100 - hundredths) / (all * 100)
	high = (shards*weight*(100+hundredths) + all*100 - 1) / (all * 100)
	return low, high
}

func TestPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 200).Draw(t, "shards")
		weights := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 12).Draw(t, "weights")
		hundredths := rapid.IntRange(0, 50).Draw(t, "tolerance")
		sum := 0
		var who []Member
		for i, w := range weights {
			who = append(who, Member{fmt.Sprint("i", i), float64(w)})
			sum += w
		}
		m := make(Map, count)
		load := map[string]int{}
		unowned := 0
		var lost []int
		for s := range m {
			// -1: the shard has no owner; len(weights): its owner is not a member.
			at := rapid.IntRange(-1, len(weights)).Draw(t, "owner")
			if at >= 0 {
				m[s] = Ownership{fmt.Sprint("i", at), uint64(1 + s%3)}
			}
			switch {
			case at < 0 || at == len(weights):
				unowned++
			case s%17 == 5:
				lost = append(lost, s)
				unowned++
			default:
				load[m[s].Name]++
			}
		}
		b := Bounds{float64(hundredths) / 100, rapid.IntRange(1, 20).Draw(t, "at once")}
		p, err := Place(m, who, lost, nil, b)
		if sum == 0 {
			if !errors.Is(err, NoMembersError{}) {
				t.Fatalf("all weights are 0: got error %v, want NoMembersError", err)
			}
			return
		}
		over, under := 0, 0
		for i, w := range weights {
			low, high := expectedBounds(count, w, sum, hundredths)
			over += max(0, load[who[i].Name]-high)
			under += max(0, low-load[who[i].Name])
		}
		fewest := max(over, under-unowned)
		if err != nil || len(p.Assignments) != unowned || len(p.Transfers)+p.Deferred != max(0, fewest) {
			t.Fatalf("%d assignments for %d unowned shards; %d transfers and %d deferred, want %d in all: %v", len(p.Assignments), unowned, len(p.Transfers), p.Deferred, fewest, err)
		}
		if unowned > 0 && len(p.Transfers) > 0 || len(p.Transfers) > b.MaxTransfers {
			t.Fatalf("%d transfers with %d unowned shards, MaxTransfers %d", len(p.Transfers), unowned, b.MaxTransfers)
		}
		slices.Reverse(who)
		if q, _ := Place(m, who, lost, nil, b); !reflect.DeepEqual(p, q) {
			t.Fatal("the plan depends on the order of the members")
		}
		// Plans applied round by round end within the bounds, with an empty plan.
		for round := 0; len(p.Assignments)+len(p.Transfers) > 0; round++ {
			if round > 2+fewest {
				t.Fatal("the plans do not converge")
			}
			m = applyPlan(m, p)
			p, _ = Place(m, who, nil, nil, b)
		}
		clear(load)
		for _, a := range m {
			load[a.Name]++
		}
		for i, w := range weights {
			low, high := expectedBounds(count, w, sum, hundredths)
			if n := load[fmt.Sprint("i", i)]; n < low || n > high {
				t.Fatalf("i%d of weight %d owns %d shards, want %d to %d", i, w, n, low, high)
			}
		}
	})
}

// TestPlaceWhileMoving checks that running transfers count as completed and against MaxTransfers.
func TestPlaceWhileMoving(t *testing.T) {
	who := members(3)
	m := make(Map, 30)
	for s := range m {
		m[s] = Ownership{"i000", 1}
	}
	b := Bounds{0.1, 4}
	var running []Transfer
	seen := map[int]bool{}
	for round := 0; ; round++ {
		p, err := Place(m, who, nil, running, b)
		if err != nil || len(p.Transfers)+len(running) > 4 {
			t.Fatalf("plan %v with running transfers %v: error %v, want at most 4 transfers", p, running, err)
		}
		if len(p.Transfers) == 0 && len(running) == 0 {
			break
		}
		for _, x := range p.Transfers {
			if seen[x.Shard] {
				t.Fatalf("shard %d is transferred twice", x.Shard)
			}
			seen[x.Shard] = true
		}
		running = append(running, p.Transfers...)
		// The oldest transfer ends.
		m.Apply(OwnerChange{running[0].Shard, m[running[0].Shard].Epoch, running[0].To})
		running = running[1:]
	}
	if len(seen) != 19 { // i000 goes from 30 shards down to 11
		t.Errorf("got %d transfers, want 19", len(seen))
	}
	// A shard whose old owner fails during the transfer is unowned and assigned before transfers.
	p, _ := Place(m, who[1:], nil, []Transfer{{Shard: 0, From: "i000", To: "i001"}}, b)
	if len(p.Transfers) != 0 || len(p.Assignments) == 0 || p.Assignments[0].Shard != slices.IndexFunc(m, func(a Ownership) bool { return a.Name == "i000" }) {
		t.Errorf("got plan %+v, want assignments without transfers", p)
	}
}

func TestForTenant(t *testing.T) {
	load := make([]int, 64)
	for i := range 64_000 {
		load[ForTenant(fmt.Sprint("tenant", i), 64)]++
	}
	if slices.Min(load) < 850 || slices.Max(load) > 1150 {
		t.Errorf("shards have from %d to %d tenants, want 850 to 1150", slices.Min(load), slices.Max(load))
	}
	// Fixed values: every build must assign tenants to the same shards.
	if got := []int{ForTenant("bergvik", 4096), ForTenant("", 4096), ForTenant("a", 1), ForTenant("a", 0)}; !slices.Equal(got, []int{898, 3828, 0, 0}) {
		t.Errorf("got shards %v", got)
	}
}

// TestMapConvertsToConfig checks that Ownership and config.ShardOwner convert to each other without loss.
func TestMapConvertsToConfig(t *testing.T) {
	for _, x := range []config.ShardOwner{{Name: "a", Epoch: 3}, {}} {
		if got := config.ShardOwner(Ownership(x)); got != x {
			t.Errorf("%+v converted to %+v", x, got)
		}
	}
}

// mapAfterThirdLost returns a map over all instances, and the members that are left after a third of them failed.
func mapAfterThirdLost(instances, count int) (Map, []Member) {
	m := make(Map, count)
	for s := range m {
		m[s] = Ownership{fmt.Sprintf("i%03d", s%instances), 1}
	}
	return m, members(instances)[instances/3:]
}

func BenchmarkPlaceThirdLost(b *testing.B) {
	m, who := mapAfterThirdLost(300, 4096)
	for b.Loop() {
		Place(m, who, nil, nil, Bounds{0.1, 64})
	}
}

func BenchmarkPlaceGrowth(b *testing.B) {
	m, _ := mapAfterThirdLost(6, 4096)
	who := members(300)
	for b.Loop() {
		Place(m, who, nil, nil, Bounds{0.1, 64})
	}
}
