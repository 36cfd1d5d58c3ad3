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

// applyPlan applies a plan as a coordinator would, with all transfers done.
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

// bounds of each member, worked out apart from Place by whole numbers: weights
// and the tolerance, in hundredths, are whole.
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
			// One in len+1 has no owner, one in len+1 an owner that is no member.
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
				t.Fatalf("no weight: %v", err)
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
			t.Fatalf("%d owned of %d, %d transfers and %d more, fewest %d: %v", len(p.Assignments), unowned, len(p.Transfers), p.Deferred, fewest, err)
		}
		if unowned > 0 && len(p.Transfers) > 0 || len(p.Transfers) > b.MaxTransfers {
			t.Fatalf("%d transfers beside %d unowned, at once %d", len(p.Transfers), unowned, b.MaxTransfers)
		}
		slices.Reverse(who)
		if q, _ := Place(m, who, lost, nil, b); !reflect.DeepEqual(p, q) {
			t.Fatal("the order of members matters")
		}
		// Carried out, round after round, it ends within the bounds and stays.
		for round := 0; len(p.Assignments)+len(p.Transfers) > 0; round++ {
			if round > 2+fewest {
				t.Fatal("it never comes to rest")
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
				t.Fatalf("i%d of weight %d owners %d, bounds %d and %d", i, w, n, low, high)
			}
		}
	})
}

// Transfers that are under way count as done and against the bound.
func TestPlaceWhileMoving(t *testing.T) {
	who := members(3)
	m := make(Map, 30)
	for s := range m {
		m[s] = Ownership{"i000", 1}
	}
	b := Bounds{0.1, 4}
	var moving []Transfer
	seen := map[int]bool{}
	for round := 0; ; round++ {
		p, err := Place(m, who, nil, moving, b)
		if err != nil || len(p.Transfers)+len(moving) > 4 {
			t.Fatalf("%v with %v: %v", p, moving, err)
		}
		if len(p.Transfers) == 0 && len(moving) == 0 {
			break
		}
		for _, x := range p.Transfers {
			if seen[x.Shard] {
				t.Fatalf("shard %d transfers twice", x.Shard)
			}
			seen[x.Shard] = true
		}
		moving = append(moving, p.Transfers...)
		// The oldest ends.
		m.Apply(OwnerChange{moving[0].Shard, m[moving[0].Shard].Epoch, moving[0].To})
		moving = moving[1:]
	}
	if len(seen) != 19 { // from 30 down to 11
		t.Errorf("%d transfers", len(seen))
	}
	// A shard whose old owner dies on the way is unowned: it comes before the others.
	p, _ := Place(m, who[1:], nil, []Transfer{{Shard: 0, From: "i000", To: "i001"}}, b)
	if len(p.Transfers) != 0 || len(p.Assignments) == 0 || p.Assignments[0].Shard != slices.IndexFunc(m, func(a Ownership) bool { return a.Name == "i000" }) {
		t.Errorf("got %+v", p)
	}
}

func TestOf(t *testing.T) {
	load := make([]int, 64)
	for i := range 64_000 {
		load[ForTenant(fmt.Sprint("tenant", i), 64)]++
	}
	if slices.Min(load) < 850 || slices.Max(load) > 1150 {
		t.Errorf("from %d to %d of 1000", slices.Min(load), slices.Max(load))
	}
	// Written down: another build must not place tenants elsewhere.
	if got := []int{ForTenant("bergvik", 4096), ForTenant("", 4096), ForTenant("a", 1), ForTenant("a", 0)}; !slices.Equal(got, []int{898, 3828, 0, 0}) {
		t.Errorf("got %v", got)
	}
}

// A table's owners are a map, field by field.
func TestMapConvertsToConfig(t *testing.T) {
	for _, x := range []config.ShardOwner{{Name: "a", Epoch: 3}, {}} {
		if got := config.ShardOwner(Ownership(x)); got != x {
			t.Errorf("%+v became %+v", x, got)
		}
	}
}

// mapAfterThirdLost is the map of 300 instances after a third of them died.
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
