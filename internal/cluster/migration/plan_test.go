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

func newLedger(cluster string, capacity Amount, lines ...Account) *CapacityLedger {
	return &CapacityLedger{Cluster: cluster, Capacity: capacity, Accounts: lines}
}

func reservedAccount(service string, a Amount) Account { return Account{Service: service, Reserved: a} }

// executePlan runs a plan in its worst order: every move of a round is escrowed before
// any ends, and they end in any order.
func executePlan(t interface{ Fatalf(string, ...any) }, books []*CapacityLedger, turns [][]PlannedMove, seed uint64) map[string]map[string]Amount {
	at, free := map[string]map[string]Amount{}, map[string]Amount{}
	for _, b := range books {
		at[b.Cluster], free[b.Cluster] = map[string]Amount{}, b.Free()
		for _, l := range b.Accounts {
			at[b.Cluster][l.Service] = l.Reserved
		}
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n, turn := range turns {
		if len(turn) == 0 {
			t.Fatalf("round %d is empty", n)
		}
		for _, p := range turn {
			if free[p.To] -= p.Amount; free[p.To] < 0 || p.Amount <= 0 || p.Amount > at[p.From][p.Service] {
				t.Fatalf("round %d: %+v with %d free, %v", n, p, free[p.To], turns)
			}
		}
		for _, i := range rnd.Perm(len(turn)) {
			p := turn[i]
			at[p.From][p.Service] -= p.Amount
			at[p.To][p.Service] += p.Amount
			free[p.From] += p.Amount
		}
	}
	return at
}

func TestPlans(t *testing.T) {
	two := []Placement{{"s", "b"}, {"t", "a"}}
	for name, c := range map[string]struct {
		books   []*CapacityLedger
		where   []Placement
		lim     Limits
		turns   int
		cluster string // that lacks room
		missing Amount
	}{
		"room enough":             {books: []*CapacityLedger{newLedger("a", 200, reservedAccount("s", 90)), newLedger("b", 200, reservedAccount("t", 90))}, where: two, turns: 1},
		"one after the other":     {books: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 90)), newLedger("b", 180, reservedAccount("t", 90))}, where: two, turns: 2},
		"in steps that fit":       {books: []*CapacityLedger{newLedger("a", 90, reservedAccount("s", 90)), newLedger("b", 100, reservedAccount("t", 90))}, where: two, turns: 18},
		"no room at all":          {books: []*CapacityLedger{newLedger("a", 90, reservedAccount("s", 90)), newLedger("b", 90, reservedAccount("t", 90))}, where: two, cluster: "b", missing: 3},
		"less than a piece":       {books: []*CapacityLedger{newLedger("a", 90, reservedAccount("s", 90)), newLedger("b", 92, reservedAccount("t", 90))}, where: two, cluster: "b", missing: 1},
		"no room at the end":      {books: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 90)), newLedger("b", 80, reservedAccount("t", 10))}, where: two, cluster: "b", missing: 10},
		"emptied":                 {books: []*CapacityLedger{newLedger("a", 0, reservedAccount("s", 60), reservedAccount("t", 50)), newLedger("b", 70), newLedger("c", 55)}, where: []Placement{{"s", ""}, {"t", ""}}, turns: 1},
		"emptied, in pieces":      {books: []*CapacityLedger{newLedger("a", 0, reservedAccount("s", 60)), newLedger("b", 40), newLedger("c", 55)}, where: []Placement{{"s", ""}}, turns: 1},
		"shrinks, and one leaves": {books: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 60), reservedAccount("t", 50)), newLedger("b", 70)}, where: []Placement{{"s", ""}, {"t", ""}}, turns: 1},
		"shrinks, nowhere to go":  {books: []*CapacityLedger{newLedger("a", 40, reservedAccount("s", 60)), newLedger("b", 10)}, where: []Placement{{"s", ""}}, cluster: "a", missing: 10},
		"a link for one":          {books: []*CapacityLedger{newLedger("a", 100, reservedAccount("s", 20), reservedAccount("t", 20), reservedAccount("u", 20)), newLedger("b", 100)}, where: []Placement{{"s", "b"}, {"t", "b"}, {"u", "b"}}, lim: Limits{Links: []Link{{[][2]string{{"b", "a"}}, 1}}}, turns: 3},
		"three in a ring":         {books: []*CapacityLedger{newLedger("a", 10, reservedAccount("s", 10)), newLedger("b", 10, reservedAccount("t", 10)), newLedger("c", 15, reservedAccount("u", 10))}, where: []Placement{{"s", "b"}, {"t", "c"}, {"u", "a"}}, turns: 6},
		"room that another wants": {books: []*CapacityLedger{newLedger("a", 10, reservedAccount("s", 10)), newLedger("b", 12, reservedAccount("t", 10)), newLedger("c", 10, reservedAccount("u", 2))}, where: append(two, Placement{"u", "b"}), turns: 11},
		"under way":               {books: []*CapacityLedger{newLedger("a", 100, Account{"s", 20, 70, 0}), newLedger("b", 100, Account{"s", 70, 20, 0})}, where: two, turns: 0},
	} {
		turns, err := Plan(c.books, c.where, c.lim)
		executePlan(t, c.books, turns, 1)
		var full *InsufficientCapacityError
		if errors.As(err, &full) != (c.cluster != "") || len(turns) != c.turns || full != nil && (full.Cluster != c.cluster || full.Missing != c.missing) {
			t.Errorf("%s: %d rounds %v, %v", name, len(turns), turns, err)
		}
	}
	if _, err := Plan(nil, two, Limits{}); !errors.As(err, new(*MoveRejectedError)) {
		t.Errorf("a cluster that is not there: %v", err)
	}
}

// reachableByUnits reports whether any order of moves of one unit each brings all to its placement.
func reachableByUnits(books []*CapacityLedger, where []Placement) bool {
	var todo []Key
	free := map[string]Amount{}
	for _, b := range books {
		free[b.Cluster] = b.Free()
		for _, l := range b.Accounts {
			i := slices.IndexFunc(where, func(p Placement) bool { return p.Service == l.Service })
			for range l.Reserved {
				if where[i].Cluster != b.Cluster {
					todo = append(todo, Key{b.Cluster, where[i].Cluster, l.Service})
				}
			}
		}
	}
	seen := map[string]bool{}
	var try func(done uint64, free map[string]Amount) bool
	try = func(done uint64, free map[string]Amount) bool {
		left := map[Key]int{}
		for i, k := range todo {
			if done&(1<<i) == 0 {
				left[k] = i
			}
		}
		if len(left) == 0 {
			return true
		}
		k := fmt.Sprint(done)
		if seen[k] {
			return false
		}
		seen[k] = true
		for k, i := range left {
			if free[k.To] > 0 {
				next := maps.Clone(free)
				next[k.To]--
				next[k.From]++
				if try(done|1<<i, next) {
					return true
				}
			}
		}
		return false
	}
	return try(0, free)
}

func TestPlansKeepLedgersValid(t *testing.T) {
	plans, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var books []*CapacityLedger
		var where []Placement
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "clusters")]
		for _, c := range names {
			books = append(books, &CapacityLedger{Cluster: c})
		}
		tight := rapid.Bool().Draw(t, "tight")
		scale := rapid.SampledFrom([]Amount{1, 1, 37}).Draw(t, "scale") // with 1 a piece may be as small as a unit
		for _, s := range []string{"s", "t", "u", "v", "w"}[:rapid.IntRange(1, 5).Draw(t, "services")] {
			where = append(where, Placement{s, names[rapid.IntRange(0, len(names)-1).Draw(t, "to")]})
			b := books[rapid.IntRange(0, len(names)-1).Draw(t, "at")]
			b.Accounts = append(b.Accounts, reservedAccount(s, scale*Amount(rapid.IntRange(1, 4).Draw(t, "amount"))))
		}
		for _, b := range books {
			b.Capacity = b.Promised() + scale*Amount(rapid.IntRange(0, 8).Draw(t, "slack"))
			if tight {
				b.Capacity = b.Promised() + Amount(rapid.IntRange(0, 3).Draw(t, "little"))
			}
		}
		turns, err := Plan(books, where, Limits{})
		at := executePlan(t, books, turns, 1)
		back, away := slices.Clone(books), slices.Clone(where)
		slices.Reverse(back)
		slices.Reverse(away)
		if again, _ := Plan(back, away, Limits{}); !reflect.DeepEqual(again, turns) {
			t.Fatalf("%v, then %v", turns, again)
		}
		plans++
		if err != nil {
			refused++
			var full *InsufficientCapacityError
			if !errors.As(err, &full) || full.Missing <= 0 || turns != nil {
				t.Fatalf("%v, %v", turns, err)
			}
			if scale == 1 && reachableByUnits(books, where) {
				t.Fatalf("%v, though there is a way for %v of %v", err, where, books)
			}
			return
		}
		for _, w := range where {
			for c, s := range at {
				if c != w.Cluster && s[w.Service] > 0 {
					t.Fatalf("%s is at %s after %v", w.Service, c, turns)
				}
			}
		}
	})
	t.Logf("%d plans, %d refused", plans, refused)
}

func BenchmarkPlan(b *testing.B) {
	var books []*CapacityLedger
	var where []Placement
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range 8 {
		books = append(books, newLedger(fmt.Sprint("c", i), 0))
	}
	for i := range 1000 {
		at := books[rnd.IntN(8)]
		at.Accounts = append(at.Accounts, reservedAccount(fmt.Sprintf("s%04d", i), Amount(rnd.IntN(1000)+1)*SlotStart))
		to := books[rnd.IntN(8)]
		to.Capacity += at.Accounts[len(at.Accounts)-1].Reserved
		where = append(where, Placement{fmt.Sprintf("s%04d", i), to.Cluster})
	}
	for _, x := range books {
		x.Capacity = max(x.Capacity, x.Promised()) * 21 / 20
	}
	n := 0
	for b.Loop() {
		turns, err := Plan(books, where, Limits{})
		if err != nil {
			b.Fatal(err)
		}
		n = len(turns)
	}
	b.ReportMetric(float64(n), "turns")
}
