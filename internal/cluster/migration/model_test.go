package migration

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// searchModel visits all reachable system states. It returns the first violation with the path to it, and the number of
// system states. It fails the test if these are more than maxStates.
func searchModel(t *testing.T, b searchBounds, rules enabledRules, maxStates int) (string, int) {
	t.Helper()
	g := newModelChecker(rules, b)
	capacity := 2 * Amount(b.steps)
	if b.secondKey == (Key{}) {
		capacity = Amount(b.steps)
	}
	start := systemState{budget: [6]int8{int8(b.moves), int8(b.directionChanges), int8(b.releases), int8(b.restarts), int8(b.otherReservations), int8(b.capacityDrops)}}
	for side, name := range clusterNames {
		s, err := New(name).Apply(Record{Step: StepSetCapacity, Amount: capacity})
		if err == nil && side == 0 {
			s, err = s.Apply(Record{Step: StepReserve, Service: "s", Amount: Amount(b.steps)})
		}
		if err == nil && side == 1 && b.secondKey.Service == "t" {
			s, err = s.Apply(Record{Step: StepReserve, Service: "t", Amount: Amount(b.steps)})
		}
		if err != nil {
			t.Fatal(err)
		}
		start.live[side] = g.intern(s)
		start.inForce[side] = start.live[side]
	}
	list, previous := []systemState{start}, []int32{-1}
	seen := map[systemState]struct{}{start: {}}
	ended := map[[2]int32]bool{}
	trace := func(at int32) (text string) {
		for ; at >= 0; at = previous[at] {
			w := list[at]
			text = fmt.Sprintf("\n\t%+v | %+v | in force %v", *g.states[w.live[0]], *g.states[w.live[1]], [2]bool{w.live[0] == w.inForce[0], w.live[1] == w.inForce[1]}) + text
		}
		return text
	}
	for at := 0; at < len(list); at++ {
		if len(list) > maxStates {
			t.Fatalf("%+v: more than %d system states", b, maxStates)
		}
		next, violation := g.next(list[at])
		if violation != "" {
			return violation + trace(int32(at)), len(list)
		}
		for _, n := range next {
			if _, ok := seen[n]; ok {
				continue
			}
			seen[n] = struct{}{}
			list, previous = append(list, n), append(previous, int32(at))
			problem := g.checkPair(n.live[0], n.live[1]) + g.checkPair(n.inForce[0], n.inForce[1])
			if pair := n.inForce; problem == "" && rules == allRules && !ended[pair] {
				ended[pair], problem = true, g.checkCompletion(pair[0], pair[1])
			}
			if problem != "" {
				return problem + trace(int32(len(list)-1)), len(list)
			}
		}
	}
	t.Logf("%d cluster states, %d messages", len(g.states), len(g.messages))
	return "", len(list)
}

// The invariants hold in every reachable system state, whatever messages are lost, repeated or reordered. With
// BELLSTREAM_MODEL=full larger sizes are searched too, which takes 20 s and 2 GB.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
	sizes := map[string]searchBounds{
		"restarts":           {steps: 3, moves: 1, directionChanges: 1, restarts: 2, stopRequests: true},
		"direction changes":  {steps: 2, moves: 1, directionChanges: 2},
		"two moves":          {steps: 2, moves: 2, directionChanges: 1, restarts: 1},
		"other reservations": {steps: 2, moves: 1, directionChanges: 1, otherReservations: 2, capacityDrops: 1, stopRequests: true},
		"forced releases":    {steps: 2, moves: 1, directionChanges: 1, releases: 2, restarts: 1},
		"second move":        {steps: 2, moves: 2, releases: 1, directionChanges: 1},
		"exchange":           {steps: 2, moves: 2, releases: 1, secondKey: Key{"b", "a", "t"}},
		"return":             {steps: 2, moves: 3, releases: 1, secondKey: Key{"b", "a", "s"}},
	}
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		sizes["exchange, direction changes"] = searchBounds{steps: 2, moves: 2, directionChanges: 1, secondKey: Key{"b", "a", "t"}}
		sizes["return, direction changes"] = searchBounds{steps: 2, moves: 2, releases: 1, directionChanges: 1, secondKey: Key{"b", "a", "s"}}
		sizes["direction changes, restarts"] = searchBounds{steps: 2, moves: 1, directionChanges: 2, restarts: 1}
	}
	for name, b := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			violation, n := searchModel(t, b, allRules, 6_000_000)
			t.Logf("%d system states in %.1f s", n, time.Since(started).Seconds())
			if violation != "" {
				t.Error(violation)
			}
		})
	}
}

// Each rule of the protocol is needed: with one rule disabled the search finds a violation that the rule prevents.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		disable func(*enabledRules)
		want    string
		sums    bool // check only the totals of services
		key     Key  // of the second move
	}{
		"a hold without a capacity check":                      {func(r *enabledRules) { r.capacityCheck = false }, "promises more", false, Key{}},
		"a shift before the hold is received":                  {func(r *enabledRules) { r.waitForHold = false }, "holds no capacity", false, Key{}},
		"a shift sent before it is debited":                    {func(r *enabledRules) { r.debitBeforeSend = false }, "more is usable", true, Key{}},
		"a shift sent before it is in force":                   {func(r *enabledRules) { r.sendInForce = false }, "more is usable", true, Key{}},
		"a credit acknowledged before it is in force":          {func(r *enabledRules) { r.acknowledgeInForce = false }, "lost", true, Key{}},
		"a number credited each time it is received":           {func(r *enabledRules) { r.creditOnce = false }, "more is usable", true, Key{}},
		"a number sent only once":                              {func(r *enabledRules) { r.resend = false }, "lost", true, Key{}},
		"messages without a move's ID":                         {func(r *enabledRules) { r.moveIDs = false }, "more is usable", true, Key{}},
		"an escrow released without a message":                 {func(r *enabledRules) { r.escrowKept = false }, "without complete knowledge", false, Key{}},
		"a shift in transit taken back without a message":      {func(r *enabledRules) { r.inTransitKept = false }, "more is usable", true, Key{}},
		"both sides debit":                                     {func(r *enabledRules) { r.token = false }, "lost", true, Key{}},
		"a move that begins before the previous one has ended": {func(r *enabledRules) { r.waitForClose = false }, "s ", true, Key{}},
		"an ended move's record is deleted":                    {func(r *enabledRules) { r.endedMovesKept = false }, "counted twice", true, Key{}},
		"a part is offered twice":                              {func(r *enabledRules) { r.claimsReserved = false }, "is below 0", false, Key{"b", "a", "s"}},
	} {
		rules := allRules
		c.disable(&rules)
		violation, n := searchModel(t, searchBounds{steps: 2, moves: 2, directionChanges: 1, releases: 1, restarts: 1, otherReservations: 1, sumsOnly: c.sums, secondKey: c.key}, rules, 6_000_000)
		t.Logf("%s: found %.60q after %d system states", name, violation, n)
		if violation == "" || !strings.Contains(violation, c.want) {
			t.Errorf("%s: found %.500q, want %q", name, violation, c.want)
		}
	}
}
