package migration

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func newLedger(cluster string, capacity Amount, accounts ...Account) *CapacityLedger {
	return &CapacityLedger{Cluster: cluster, Capacity: capacity, Accounts: accounts}
}

func reservedAccount(service string, a Amount) Account { return Account{Service: service, Reserved: a} }

// executePlan executes a plan and returns the amounts by cluster and service. Every move of a round is escrowed before
// any move of the round ends, which needs the most capacity. The moves of a round end in random order.
func executePlan(t interface{ Fatalf(string, ...any) }, ledgers []*CapacityLedger, rounds [][]PlannedMove, seed uint64) map[string]map[string]Amount {
	amounts, free := map[string]map[string]Amount{}, map[string]Amount{}
	for _, ledger := range ledgers {
		amounts[ledger.Cluster], free[ledger.Cluster] = map[string]Amount{}, ledger.Free()
		for _, account := range ledger.Accounts {
			amounts[ledger.Cluster][account.Service] = account.Reserved
		}
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n, round := range rounds {
		if len(round) == 0 {
			t.Fatalf("round %d is empty", n)
		}
		for _, p := range round {
			if free[p.To] -= p.Amount; free[p.To] < 0 || p.Amount <= 0 || p.Amount > amounts[p.From][p.Service] {
				t.Fatalf("round %d: move %+v is impossible, its destination would have %d free: plan %v", n, p, free[p.To], rounds)
			}
		}
		for _, i := range rnd.Perm(len(round)) {
			p := round[i]
			amounts[p.From][p.Service] -= p.Amount
			amounts[p.To][p.Service] += p.Amount
			free[p.From] += p.Amount
		}
	}
	return amounts
}

func TestPlans(t *testing.T) {
	swap := []Placement{{"s", "b"}, {"t", "a"}}
	for name, c := range map[string]struct {
		ledgers    []*CapacityLedger
		placements []Placement
		limits     Limits
		rounds     int
		cluster    string // expected cluster that lacks capacity
		missing    Amount // expected missing amount
	}{
		"enough capacity":                              {ledgers: []*CapacityLedger{newLedger("a", 200, reservedAccount("s", 90)), newLedger("b", 200, reservedAccount("t", 90))}, placements: swap, rounds: 1},
		"one move after the other":                     {ledgers: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 90)), newLedger("b", 180, reservedAccount("t", 90))}, placements: swap, rounds: 2},
		"moves in pieces":                              {ledgers: []*CapacityLedger{newLedger("a", 90, reservedAccount("s", 90)), newLedger("b", 100, reservedAccount("t", 90))}, placements: swap, rounds: 18},
		"no free capacity":                             {ledgers: []*CapacityLedger{newLedger("a", 90, reservedAccount("s", 90)), newLedger("b", 90, reservedAccount("t", 90))}, placements: swap, cluster: "b", missing: 3},
		"less free than a piece":                       {ledgers: []*CapacityLedger{newLedger("a", 90, reservedAccount("s", 90)), newLedger("b", 92, reservedAccount("t", 90))}, placements: swap, cluster: "b", missing: 1},
		"too little capacity for the final placement":  {ledgers: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 90)), newLedger("b", 80, reservedAccount("t", 10))}, placements: swap, cluster: "b", missing: 10},
		"cluster without capacity":                     {ledgers: []*CapacityLedger{newLedger("a", 0, reservedAccount("s", 60), reservedAccount("t", 50)), newLedger("b", 70), newLedger("c", 55)}, placements: []Placement{{"s", ""}, {"t", ""}}, rounds: 1},
		"cluster without capacity, service divided":    {ledgers: []*CapacityLedger{newLedger("a", 0, reservedAccount("s", 60)), newLedger("b", 40), newLedger("c", 55)}, placements: []Placement{{"s", ""}}, rounds: 1},
		"capacity fell, one service moves":             {ledgers: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 60), reservedAccount("t", 50)), newLedger("b", 70)}, placements: []Placement{{"s", ""}, {"t", ""}}, rounds: 1},
		"capacity fell, no cluster has capacity":       {ledgers: []*CapacityLedger{newLedger("a", 40, reservedAccount("s", 60)), newLedger("b", 10)}, placements: []Placement{{"s", ""}}, cluster: "a", missing: 10},
		"link limited to one move":                     {ledgers: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 20), reservedAccount("t", 20), reservedAccount("u", 20)), newLedger("b", 100)}, placements: []Placement{{"s", "b"}, {"t", "b"}, {"u", "b"}}, limits: Limits{Links: []Link{{[][2]string{{"b", "a"}}, 1}}}, rounds: 3},
		"cycle of three":                               {ledgers: []*CapacityLedger{newLedger("a", 10, reservedAccount("s", 10)), newLedger("b", 10, reservedAccount("t", 10)), newLedger("c", 15, reservedAccount("u", 10))}, placements: []Placement{{"s", "b"}, {"t", "c"}, {"u", "a"}}, rounds: 6},
		"cycle uses free capacity before another move": {ledgers: []*CapacityLedger{newLedger("a", 10, reservedAccount("s", 10)), newLedger("b", 12, reservedAccount("t", 10)), newLedger("c", 10, reservedAccount("u", 2))}, placements: append(swap, Placement{"u", "b"}), rounds: 11},
		"open move":                                    {ledgers: []*CapacityLedger{newLedger("a", 100, Account{"s", 20, 70, 0}), newLedger("b", 100, Account{"s", 70, 20, 0})}, placements: swap, rounds: 0},
	} {
		rounds, err := Plan(c.ledgers, c.placements, c.limits)
		executePlan(t, c.ledgers, rounds, 1)
		var insufficient *InsufficientCapacityError
		if errors.As(err, &insufficient) != (c.cluster != "") || len(rounds) != c.rounds || insufficient != nil && (insufficient.Cluster != c.cluster || insufficient.Missing != c.missing) {
			t.Errorf("%s: got %d rounds %v, error %v", name, len(rounds), rounds, err)
		}
	}
	if _, err := Plan(nil, swap, Limits{}); !errors.As(err, new(*MoveRejectedError)) {
		t.Errorf("unknown cluster: got %v, want *MoveRejectedError", err)
	}
}

// reachableByUnits reports whether moves of one unit each, in some order, can bring every service to its placement.
func reachableByUnits(ledgers []*CapacityLedger, placements []Placement) bool {
	var todo []Key
	free := map[string]Amount{}
	for _, ledger := range ledgers {
		free[ledger.Cluster] = ledger.Free()
		for _, account := range ledger.Accounts {
			i := slices.IndexFunc(placements, func(p Placement) bool { return p.Service == account.Service })
			for range account.Reserved {
				if placements[i].Cluster != ledger.Cluster {
					todo = append(todo, Key{ledger.Cluster, placements[i].Cluster, account.Service})
				}
			}
		}
	}
	seen := map[string]bool{}
	var search func(done uint64, free map[string]Amount) bool
	search = func(done uint64, free map[string]Amount) bool {
		remaining := map[Key]int{}
		for i, k := range todo {
			if done&(1<<i) == 0 {
				remaining[k] = i
			}
		}
		if len(remaining) == 0 {
			return true
		}
		k := fmt.Sprint(done)
		if seen[k] {
			return false
		}
		seen[k] = true
		for k, i := range remaining {
			if free[k.To] > 0 {
				next := maps.Clone(free)
				next[k.To]--
				next[k.From]++
				if search(done|1<<i, next) {
					return true
				}
			}
		}
		return false
	}
	return search(0, free)
}

// Plans for random ledgers and placements never exceed a capacity, don't depend on the order of the input, and reach the
// placements. If pieces may be as small as one unit and Plan returns an error, then moves of one unit each can't reach
// the placements in any order.
func TestPlansKeepLedgersValid(t *testing.T) {
	plans, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var ledgers []*CapacityLedger
		var placements []Placement
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "clusters")]
		for _, c := range names {
			ledgers = append(ledgers, &CapacityLedger{Cluster: c})
		}
		tight := rapid.Bool().Draw(t, "tight")
		scale := rapid.SampledFrom([]Amount{1, 1, 37}).Draw(t, "scale") // with scale 1, a piece may be as small as one unit
		for _, s := range []string{"s", "t", "u", "v", "w"}[:rapid.IntRange(1, 5).Draw(t, "services")] {
			placements = append(placements, Placement{s, names[rapid.IntRange(0, len(names)-1).Draw(t, "to")]})
			b := ledgers[rapid.IntRange(0, len(names)-1).Draw(t, "at")]
			b.Accounts = append(b.Accounts, reservedAccount(s, scale*Amount(rapid.IntRange(1, 4).Draw(t, "amount"))))
		}
		for _, b := range ledgers {
			b.Capacity = b.Promised() + scale*Amount(rapid.IntRange(0, 8).Draw(t, "slack"))
			if tight {
				b.Capacity = b.Promised() + Amount(rapid.IntRange(0, 3).Draw(t, "little"))
			}
		}
		rounds, err := Plan(ledgers, placements, Limits{})
		amounts := executePlan(t, ledgers, rounds, 1)
		reversedLedgers, reversedPlacements := slices.Clone(ledgers), slices.Clone(placements)
		slices.Reverse(reversedLedgers)
		slices.Reverse(reversedPlacements)
		if again, _ := Plan(reversedLedgers, reversedPlacements, Limits{}); !reflect.DeepEqual(again, rounds) {
			t.Fatalf("got plan %v, then %v for the reversed input", rounds, again)
		}
		plans++
		if err != nil {
			rejected++
			var insufficient *InsufficientCapacityError
			if !errors.As(err, &insufficient) || insufficient.Missing <= 0 || rounds != nil {
				t.Fatalf("got plan %v with error %v, want no plan and the missing capacity", rounds, err)
			}
			if scale == 1 && reachableByUnits(ledgers, placements) {
				t.Fatalf("got %v, but unit moves can reach placements %v of ledgers %v", err, placements, ledgers)
			}
			return
		}
		for _, w := range placements {
			for cluster, byService := range amounts {
				if cluster != w.Cluster && byService[w.Service] > 0 {
					t.Fatalf("a part of %s is still at %s after plan %v", w.Service, cluster, rounds)
				}
			}
		}
	})
	t.Logf("%d placements, %d without a plan", plans, rejected)
}

func BenchmarkPlan(b *testing.B) {
	var ledgers []*CapacityLedger
	var placements []Placement
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range 8 {
		ledgers = append(ledgers, newLedger(fmt.Sprint("c", i), 0))
	}
	for i := range 1000 {
		at := ledgers[rnd.IntN(8)]
		at.Accounts = append(at.Accounts, reservedAccount(fmt.Sprintf("s%04d", i), Amount(rnd.IntN(1000)+1)*SlotStart))
		to := ledgers[rnd.IntN(8)]
		to.Capacity += at.Accounts[len(at.Accounts)-1].Reserved
		placements = append(placements, Placement{fmt.Sprintf("s%04d", i), to.Cluster})
	}
	for _, x := range ledgers {
		x.Capacity = max(x.Capacity, x.Promised()) * 21 / 20
	}
	n := 0
	for b.Loop() {
		rounds, err := Plan(ledgers, placements, Limits{})
		if err != nil {
			b.Fatal(err)
		}
		n = len(rounds)
	}
	b.ReportMetric(float64(n), "turns")
}
