package lease

import (
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

// The model runs the package's own code in a world where messages are lost,
// duplicated, delayed and reordered, leaders are deposed without noticing, and
// instances stop, resume and restart, in every order, for small bounds. An
// instance that is stopped makes no transition while the clock advances. The
// consensus protocol is reduced to elections and to what is committed: one node
// leads the term, the others keep the state and term of the last time that they
// took part.

// protocolRules is the set of rules that hold in the world. Each can be switched off.
type protocolRules struct {
	leaseFromSending bool // a lease begins when its request is sent
	confirmedGrants  bool // the voters confirm the leader after a request has arrived
	inheritedLeases  bool // a new leader waits for leases of former leaders
	waitForLeases    bool // the next stage waits for leases
	announced        bool // all act on one table before any acts on an intersection
	intersection     bool // the intersection is in effect between two versions
	termCheck        bool // an entry is valid in the term in which it was proposed
	monotonic        bool // no revision lower than a known one is accepted, after a restart neither
	nonceCheck       bool // a grant is valid for the pending request
	incarnationCheck bool // a grant is valid for the process that sent the request
	driftAllowance   bool // the leader allows for a faster clock
	acknowledgement  bool // a holder reports the revision that it acts on, not the one that it has received
	longestLease     bool // the longest lease that any leader granted is waited for
}

var allRules = protocolRules{
	leaseFromSending: true,
	confirmedGrants:  true,
	inheritedLeases:  true,
	waitForLeases:    true,
	announced:        true,
	intersection:     true,
	termCheck:        true,
	monotonic:        true,
	nonceCheck:       true,
	incarnationCheck: true,
	driftAllowance:   true,
	acknowledgement:  true,
	longestLease:     true,
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // the search keeps what it allocates
	m.Run()
}

// maxWorlds ends a search that is larger than any of searchBounds.
const maxWorlds = 20_000_000

// search visits all worlds that can follow, breadth first. It returns the first
// violation and the number of worlds visited.
func search(t *testing.T, b bounds, rules protocolRules) (violation string, worlds int) {
	start := firstWorld(b, rules)
	visited := map[[2]uint64]bool{start.key(): true}
	for queue := []*world{start}; len(queue) > 0; queue = queue[1:] {
		if len(visited) > maxWorlds {
			t.Fatalf("more than %d worlds", maxWorlds)
		}
		successors, violation := queue[0].successors(rules)
		if violation != "" {
			return violation, len(visited)
		}
		for _, next := range successors {
			next.prune(rules)
			key := next.key()
			if visited[key] {
				continue
			}
			if violation := next.violation(); violation != "" {
				return violation + next.trace(), len(visited)
			}
			visited[key] = true
			queue = append(queue, next)
		}
	}
	return "", len(visited)
}

func firstWorld(b bounds, rules protocolRules) *world {
	w := &world{term: 1, remaining: b, event: "it begins (%d)"}
	settings := modelSettings(b, rules)
	for i := range w.nodes {
		state := initialState(2 * settings.LeaseSeconds)
		w.nodes[i] = &node{grantor: NewGrantor(settings, &state), state: &state}
		name := string(rune('a' + i))
		w.holders[i] = &instance{holder: NewHolder(name, 1, settings)}
	}
	w.nodes[0].grantor.SetTerm(longAgo, 1)
	w.nodes[0].grantor.caughtUp = true
	return w
}

// searchBounds are the smallest bounds that show a rule to be necessary, and
// larger ones for BELLSTREAM_MODEL=full, which visits 6.3 million worlds.
var searchBounds = map[string]bounds{
	"steps":       {lease: 1, ticks: 1, requests: 3, versions: 1},
	"looks":       {lease: 2, ticks: 1, requests: 4, versions: 1},
	"clocks":      {lease: 2, ticks: 2, requests: 3, versions: 1},
	"elections":   {lease: 1, ticks: 1, requests: 2, versions: 1, elections: 1},
	"withdrawals": {lease: 1, ticks: 0, requests: 4, versions: 2, withdrawals: 1},
	"restarts":    {lease: 1, ticks: 1, requests: 3, versions: 1, restarts: 1},
	"ends":        {lease: 1, ticks: 1, requests: 2, versions: 1, releases: 1, duplicates: 1},
	"doubles":     {lease: 1, ticks: 1, requests: 3, versions: 1, duplicates: 1},
	"losses":      {lease: 1, ticks: 1, requests: 2, versions: 1, fileLosses: 1},
	"shorter":     {lease: 2, ticks: 1, requests: 2, versions: 1, elections: 1, shorterLeases: 1},

	"large steps":       {lease: 2, ticks: 2, requests: 4, versions: 1},
	"large elections":   {lease: 2, ticks: 2, requests: 3, versions: 1, elections: 1, duplicates: 1},
	"large withdrawals": {lease: 1, ticks: 1, requests: 4, versions: 2, withdrawals: 1},
	"large restarts":    {lease: 2, ticks: 2, requests: 3, versions: 1, restarts: 1, fileLosses: 1},
	"large ends":        {lease: 2, ticks: 2, requests: 3, versions: 1, releases: 1, duplicates: 1},
	"large leaders":     {lease: 1, ticks: 2, requests: 2, versions: 1, elections: 2, restarts: 1},
}

func TestModelKeepsInvariants(t *testing.T) {
	full := os.Getenv("BELLSTREAM_MODEL") == "full"
	for name, b := range searchBounds {
		if strings.HasPrefix(name, "large") && !full {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			violation, worlds := search(t, b, allRules)
			t.Logf("%d worlds in %.1f s", worlds, time.Since(began).Seconds())
			if violation != "" {
				t.Error(violation)
			}
		})
	}
}

// Without any one of the rules, the same search finds a violation.
func TestEachModelRuleIsNecessary(t *testing.T) {
	const exclude, fall = "two act on rules that exclude each other", "falls from"
	for _, c := range []struct {
		name string
		off  func(*protocolRules)
		size string
		want string
	}{
		{"lease from receiving the grant", func(rules *protocolRules) { rules.leaseFromSending = false }, "clocks", exclude},
		{"grant without confirmation", func(rules *protocolRules) { rules.confirmedGrants = false }, "elections", exclude},
		{"leader ignores inherited leases", func(rules *protocolRules) { rules.inheritedLeases = false }, "elections", exclude},
		{"stage ignores leases", func(rules *protocolRules) { rules.waitForLeases = false }, "steps", exclude},
		{"no announcement", func(rules *protocolRules) { rules.announced = false }, "withdrawals", exclude},
		{"no intersection", func(rules *protocolRules) { rules.intersection = false }, "steps", exclude},
		{"entry of any term", func(rules *protocolRules) { rules.termCheck = false }, "elections", exclude},
		{"any revision", func(rules *protocolRules) { rules.monotonic = false }, "losses", fall},
		{"grant for any request", func(rules *protocolRules) { rules.nonceCheck = false }, "steps", exclude},
		{"grant for any process", func(rules *protocolRules) { rules.incarnationCheck = false }, "restarts", exclude},
		{"no allowance for drift", func(rules *protocolRules) { rules.driftAllowance = false }, "clocks", exclude},
		{"received counts as applied", func(rules *protocolRules) { rules.acknowledgement = false }, "looks", exclude},
		{"longer leases ignored", func(rules *protocolRules) { rules.longestLease = false }, "shorter", exclude},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rules := allRules
			c.off(&rules)
			violation, worlds := search(t, searchBounds[c.size], rules)
			t.Logf("after %d worlds: %s", worlds, violation)
			if !strings.Contains(violation, c.want) {
				t.Errorf("found %q, want %q", violation, c.want)
			}
		})
	}
}
