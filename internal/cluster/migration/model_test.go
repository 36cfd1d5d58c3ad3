package migration

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// searchModel visits all reachable worlds, and returns the first violation and how many worlds it has visited.
func searchModel(t *testing.T, b searchBounds, on enabledRules, most int) (string, int) {
	t.Helper()
	g := newModelChecker(on, b)
	room := 2 * Amount(b.steps)
	if b.secondKey == (Key{}) {
		room = Amount(b.steps)
	}
	start := systemState{budget: [6]int8{int8(b.moves), int8(b.directionChanges), int8(b.releases), int8(b.restarts), int8(b.otherReservations), int8(b.capacityDrops)}}
	for side, name := range clusterNames {
		s, err := New(name).Apply(Record{Step: StepSetCapacity, Amount: room})
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
	list, from := []systemState{start}, []int32{-1}
	seen := map[systemState]struct{}{start: {}}
	ended := map[[2]int32]bool{}
	story := func(at int32) (text string) {
		for ; at >= 0; at = from[at] {
			w := list[at]
			text = fmt.Sprintf("\n\t%+v | %+v | safe %v", *g.states[w.live[0]], *g.states[w.live[1]], [2]bool{w.live[0] == w.inForce[0], w.live[1] == w.inForce[1]}) + text
		}
		return text
	}
	for at := 0; at < len(list); at++ {
		if len(list) > most {
			t.Fatalf("%+v: more than %d worlds", b, most)
		}
		next, broken := g.next(list[at])
		if broken != "" {
			return broken + story(int32(at)), len(list)
		}
		for _, n := range next {
			if _, ok := seen[n]; ok {
				continue
			}
			seen[n] = struct{}{}
			list, from = append(list, n), append(from, int32(at))
			why := g.checkPair(n.live[0], n.live[1]) + g.checkPair(n.inForce[0], n.inForce[1])
			if pair := n.inForce; why == "" && on == allRules && !ended[pair] {
				ended[pair], why = true, g.checkCompletion(pair[0], pair[1])
			}
			if why != "" {
				return why + story(int32(len(list)-1)), len(list)
			}
		}
	}
	t.Logf("%d states, %d words", len(g.states), len(g.messages))
	return "", len(list)
}

// BELLSTREAM_MODEL=full searches larger sizes too: 20 s and 2 GB.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
	sizes := map[string]searchBounds{
		"crashes":  {steps: 3, moves: 1, directionChanges: 1, restarts: 2, stopRequests: true},
		"turns":    {steps: 2, moves: 1, directionChanges: 2},
		"two":      {steps: 2, moves: 2, directionChanges: 1, restarts: 1},
		"others":   {steps: 2, moves: 1, directionChanges: 1, otherReservations: 2, capacityDrops: 1, stopRequests: true},
		"releases": {steps: 2, moves: 1, directionChanges: 1, releases: 2, restarts: 1},
		"again":    {steps: 2, moves: 2, releases: 1, directionChanges: 1},
		"swap":     {steps: 2, moves: 2, releases: 1, secondKey: Key{"b", "a", "t"}},
		"return":   {steps: 2, moves: 3, releases: 1, secondKey: Key{"b", "a", "s"}},
	}
	if os.Getenv("BELLSTREAM_MODEL") == "full" {
		sizes["swap, turned"] = searchBounds{steps: 2, moves: 2, directionChanges: 1, secondKey: Key{"b", "a", "t"}}
		sizes["return, turned"] = searchBounds{steps: 2, moves: 2, releases: 1, directionChanges: 1, secondKey: Key{"b", "a", "s"}}
		sizes["turns, restarted"] = searchBounds{steps: 2, moves: 1, directionChanges: 2, restarts: 1}
	}
	for name, b := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			broken, n := searchModel(t, b, allRules, 6_000_000)
			t.Logf("%d worlds in %.1f s", n, time.Since(began).Seconds())
			if broken != "" {
				t.Error(broken)
			}
		})
	}
}

// Each rule is needed: with it disabled the same search finds what it prevents.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		off  func(*enabledRules)
		want string
		sums bool // look at sums alone
		key  Key  // of a second move
	}{
		"a hold without a look at the book":     {func(r *enabledRules) { r.capacityCheck = false }, "promises more", false, Key{}},
		"a shift before the hold is heard":      {func(r *enabledRules) { r.waitForHold = false }, "holds no capacity", false, Key{}},
		"a step said before it is written off":  {func(r *enabledRules) { r.debitBeforeSend = false }, "more is usable", true, Key{}},
		"a step said before it is in force":     {func(r *enabledRules) { r.sendInForce = false }, "more is usable", true, Key{}},
		"a credit said before it is in force":   {func(r *enabledRules) { r.acknowledgeInForce = false }, "lost", true, Key{}},
		"a number credited as often as it came": {func(r *enabledRules) { r.creditOnce = false }, "more is usable", true, Key{}},
		"a number said once":                    {func(r *enabledRules) { r.resend = false }, "lost", true, Key{}},
		"words without a move's id":             {func(r *enabledRules) { r.moveIDs = false }, "more is usable", true, Key{}},
		"a hold that ends in silence":           {func(r *enabledRules) { r.escrowKept = false }, "without complete knowledge", false, Key{}},
		"a step taken back in silence":          {func(r *enabledRules) { r.inTransitKept = false }, "more is usable", true, Key{}},
		"both sides write off":                  {func(r *enabledRules) { r.token = false }, "lost", true, Key{}},
		"a move before the last has ended":      {func(r *enabledRules) { r.waitForClose = false }, "s ", true, Key{}},
		"an ended move is forgotten":            {func(r *enabledRules) { r.endedMovesKept = false }, "counted twice", true, Key{}},
		"a part is offered twice":               {func(r *enabledRules) { r.claimsReserved = false }, "is below 0", false, Key{"b", "a", "s"}},
	} {
		on := allRules
		c.off(&on)
		broken, n := searchModel(t, searchBounds{steps: 2, moves: 2, directionChanges: 1, releases: 1, restarts: 1, otherReservations: 1, sumsOnly: c.sums, secondKey: c.key}, on, 6_000_000)
		t.Logf("%s: %.60q after %d worlds", name, broken, n)
		if broken == "" || !strings.Contains(broken, c.want) {
			t.Errorf("%s: found %.500q, want %q", name, broken, c.want)
		}
	}
}
