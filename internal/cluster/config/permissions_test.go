package config

import (
	"fmt"
	"slices"

	"example.org/bellstream/balance"
)

// platform has the settings that apply if a table sets none.
type platform struct {
	reservation float64
	retryPolicy retryPolicy
}

var platforms = []platform{{5, retryPolicy{idempotence: balance.Idempotent}}, {15, neverRetry}, {1000, retryPolicy{balance.IdempotentWithKey, balance.ScopeZone, 5}}}

// permissions returns for each exclusive action whether a table allows it. This
// definition is independent of the comparisons under test.
func permissions(t *Table, p platform) map[string]bool {
	allowed := map[string]bool{}
	for _, w := range []string{"w1", "w2", "w3"} {
		allowed["send to "+w] = !slices.Contains(t.CordonedWorkers, w)
	}
	for _, i := range []string{"a", "b", "c"} {
		allowed["own shards as "+i] = slices.Contains(t.ShardInstances, i)
	}
	for i, s := range t.ShardOwners {
		allowed[fmt.Sprintf("own shard %d of %d as %v", i, len(t.ShardOwners), s)] = s.Name != ""
	}
	allowed["use parts of reservations without shards"] = len(t.ShardOwners) == 0 && !t.Strict
	for _, n := range []string{"north", "south", "other"} {
		amount, cluster, inTable := p.reservation, "", false
		for _, x := range t.Tenants {
			if x.Name == n && x.Reservation != nil {
				amount, inTable = *x.Reservation, true
			}
		}
		for _, x := range t.Placements {
			if x.Service == n {
				cluster = x.Cluster
				allowed[fmt.Sprintf("migrate %s to %s", n, cluster)] = cluster != ""
				allowed[fmt.Sprintf("release %s in %q", n, cluster)] = x.ForceRelease
			}
		}
		for _, x := range t.LedgerEntries {
			if x.Service == n && inTable {
				amount, cluster = min(amount, x.Usable), ""
			}
		}
		for v := 5.0; v <= amount && !t.Strict; v *= 2 {
			allowed[fmt.Sprintf("start %v of %s in %q", v, n, cluster)] = true
		}
		allowed[fmt.Sprintf("start the last of %v of %s in %q", amount, n, cluster)] = amount == p.reservation && !t.Strict
	}
	for _, n := range []string{"job", "read", "other"} {
		policy := p.retryPolicy
		for _, x := range t.Classes {
			if x.Name == n && x.Idempotence != "" {
				policy = x.retryPolicy()
			}
		}
		for _, after := range []float64{1, 4, 7, 100} {
			for _, at := range []string{"zone and cell", "zone", "cell", "elsewhere"} {
				ok := policy.idempotence == balance.Idempotent || policy.idempotence == balance.IdempotentWithKey && after < policy.dedupWindow && (policy.dedupScope == balance.ScopeAll ||
					policy.dedupScope == balance.ScopeZone && (at == "zone" || at == "zone and cell") || policy.dedupScope == balance.ScopeCell && (at == "cell" || at == "zone and cell"))
				allowed[fmt.Sprintf("retry %s after %v in its %s", n, after, at)] = ok && !t.Strict
			}
		}
	}
	for _, c := range t.Clusters {
		for v := 20.0; v <= c.Capacity; v += 20 {
			allowed[fmt.Sprintf("reserve %v of %s", v, c.Name)] = true
		}
	}
	return allowed
}

// isAllowedBy reports whether y allows everything that x allows, on any platform.
func isAllowedBy(y, x *Table) bool {
	return !slices.ContainsFunc(platforms, func(p platform) bool {
		byY := permissions(y, p)
		for action, ok := range permissions(x, p) {
			if ok && !byY[action] {
				return true
			}
		}
		return false
	})
}
