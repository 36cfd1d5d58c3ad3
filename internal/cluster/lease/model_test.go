package lease

import (
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

// The model checker runs the package's own code and visits every state that can
// be reached within small bounds. Messages are lost, duplicated, delayed and
// reordered, leaders are deposed without noticing, and instances are suspended,
// resumed and restarted, in every order. A suspended instance is one that makes
// no transition while the clock advances. The consensus protocol is simplified to
// elections and committed entries. Of the two nodes, one leads the current term. The
// other one may be behind: it keeps the state and term that it had when it last led,
// or last caught up with the leader.

// protocolRules are the rules of the protocol. Each can be switched off, to show that it is necessary.
type protocolRules struct {
	leaseFromSending bool // a lease starts when its request is sent, not when the grant arrives
	confirmedGrants  bool // before a grant, the voters confirm the leader after the request has arrived
	inheritedLeases  bool // a new leader waits until leases granted by former leaders have expired
	waitForLeases    bool // the next stage waits for the holders of active leases
	announced        bool // all instances act only on the version in force before any instance acts on an intersection
	intersection     bool // instances act on the intersection of two versions before they act only on the next version
	termCheck        bool // an advance to a stage has no effect in a term other than the one in which it was proposed
	monotonic        bool // a holder accepts no revision below the highest that it knows, not even after a restart
	nonceCheck       bool // a grant is valid only for the pending request
	incarnationCheck bool // a grant is valid only for the process that sent the request
	driftAllowance   bool // the leader allows for holders with a slower clock
	acknowledgement  bool // a holder reports the revision that it acts on, not the one that it has received
	longestLease     bool // a new leader waits for the longest lease that any leader may have granted
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
	debug.SetGCPercent(400) // fewer collections, as the search retains nearly all that it allocates
	m.Run()
}

// maxWorlds is the number of worlds after which a search fails. No search within searchBounds visits that many.
const maxWorlds = 20_000_000

// search visits all reachable worlds (states of the model), breadth first. It returns the
// first violation of an invariant, empty if there is none, and the number of worlds visited.
func search(t *testing.T, b bounds, rules protocolRules) (violation string, worlds int) {
	start := firstWorld(b, rules)
	visited := map[[2]uint64]bool{start.key(): true}
	for queue := []*world{start}; len(queue) > 0; queue = queue[1:] {
		if len(visited) > maxWorlds {
			t.Fatalf("the search visits more than %d worlds", maxWorlds)
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

// firstWorld returns the initial world: the first node is the leader, and no instance has a lease.
func firstWorld(b bounds, rules protocolRules) *world {
	w := &world{term: 1, remaining: b, event: "initial state (%d)"}
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

// searchBounds are the bounds of the searches by name: the smallest ones that show
// each rule to be necessary, and larger ones, named "large ...", which run only with
// BELLSTREAM_MODEL=full. The full search visits 6.3 million worlds.
var searchBounds = map[string]bounds{
	"stages":           {lease: 1, ticks: 1, requests: 3, versions: 1},
	"acknowledgements": {lease: 2, ticks: 1, requests: 4, versions: 1},
	"clocks":           {lease: 2, ticks: 2, requests: 3, versions: 1},
	"elections":        {lease: 1, ticks: 1, requests: 2, versions: 1, elections: 1},
	"withdrawals":      {lease: 1, ticks: 0, requests: 4, versions: 2, withdrawals: 1},
	"restarts":         {lease: 1, ticks: 1, requests: 3, versions: 1, restarts: 1},
	"releases":         {lease: 1, ticks: 1, requests: 2, versions: 1, releases: 1, duplicates: 1},
	"duplicates":       {lease: 1, ticks: 1, requests: 3, versions: 1, duplicates: 1},
	"file losses":      {lease: 1, ticks: 1, requests: 2, versions: 1, fileLosses: 1},
	"shorter leases":   {lease: 2, ticks: 1, requests: 2, versions: 1, elections: 1, shorterLeases: 1},

	"large stages":      {lease: 2, ticks: 2, requests: 4, versions: 1},
	"large elections":   {lease: 2, ticks: 2, requests: 3, versions: 1, elections: 1, duplicates: 1},
	"large withdrawals": {lease: 1, ticks: 1, requests: 4, versions: 2, withdrawals: 1},
	"large restarts":    {lease: 2, ticks: 2, requests: 3, versions: 1, restarts: 1, fileLosses: 1},
	"large releases":    {lease: 2, ticks: 2, requests: 3, versions: 1, releases: 1, duplicates: 1},
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
			t.Logf("visited %d worlds in %.1f s", worlds, time.Since(began).Seconds())
			if violation != "" {
				t.Error(violation)
			}
		})
	}
}

// Every rule is necessary: the search finds a violation if any single rule is switched off.
func TestEachModelRuleIsNecessary(t *testing.T) {
	const conflict, decrease = "two instances act on conflicting tables", "goes back from"
	for _, c := range []struct {
		name   string
		off    func(*protocolRules)
		bounds string // name of the bounds in searchBounds
		want   string // part of the violation
	}{
		{"lease starts when the grant arrives",
			func(rules *protocolRules) { rules.leaseFromSending = false }, "clocks", conflict},
		{"grant without confirmation", func(rules *protocolRules) { rules.confirmedGrants = false }, "elections", conflict},
		{"leader ignores inherited leases",
			func(rules *protocolRules) { rules.inheritedLeases = false }, "elections", conflict},
		{"stage ignores leases", func(rules *protocolRules) { rules.waitForLeases = false }, "stages", conflict},
		{"no announcement", func(rules *protocolRules) { rules.announced = false }, "withdrawals", conflict},
		{"no intersection", func(rules *protocolRules) { rules.intersection = false }, "stages", conflict},
		{"advance takes effect in a later term",
			func(rules *protocolRules) { rules.termCheck = false }, "elections", conflict},
		{"holder accepts a lower revision", func(rules *protocolRules) { rules.monotonic = false }, "file losses", decrease},
		{"grant accepted without its request", func(rules *protocolRules) { rules.nonceCheck = false }, "stages", conflict},
		{"grant accepted by another process",
			func(rules *protocolRules) { rules.incarnationCheck = false }, "restarts", conflict},
		{"no allowance for drift", func(rules *protocolRules) { rules.driftAllowance = false }, "clocks", conflict},
		{"received counts as applied",
			func(rules *protocolRules) { rules.acknowledgement = false }, "acknowledgements", conflict},
		{"longer leases ignored", func(rules *protocolRules) { rules.longestLease = false }, "shorter leases", conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rules := allRules
			c.off(&rules)
			violation, worlds := search(t, searchBounds[c.bounds], rules)
			t.Logf("visited %d worlds, violation: %s", worlds, violation)
			if !strings.Contains(violation, c.want) {
				t.Errorf("got violation %q, want one that contains %q", violation, c.want)
			}
		})
	}
}
