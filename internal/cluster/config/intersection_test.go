package config

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"example.org/bellstream/balance"
)

func hasExclusiveConflict(a, b *Table) bool {
	return slices.ContainsFunc(Conflicts(a, b), func(c Conflict) bool { return c.Kind == Exclusive })
}

// withToleratedFrom returns a copy of a with the attempts, epoch of endpoint lists and voters of b, and other weights.
func withToleratedFrom(a, b *Table) *Table {
	t := Intersection(a, a)
	t.MaxAttempts, t.EndpointListEpoch, t.Voters = b.MaxAttempts, b.EndpointListEpoch, b.Voters
	for i := range t.Tenants {
		t.Tenants[i].Weight = new(3.0)
	}
	return t
}

// isWithin agrees with the permissions of the tables. Tables that only have
// tolerated conflicts are compatible. An intersection is compatible with both
// tables, allows what both allow, and is idempotent.
func TestIntersection(t *testing.T) {
	drawn := map[string]int{}
	rapid.Check(t, func(r *rapid.T) {
		a, b := tableGenerator().Draw(r, "a"), tableGenerator().Draw(r, "b")
		switch rapid.IntRange(0, 3).Draw(r, "close") {
		case 0:
			b = withToleratedFrom(a, b)
		case 1:
			b = Intersection(a, b)
		}
		if got, want := a.isWithin(b), isAllowedBy(b, a); got != want {
			r.Fatalf("isWithin is %v, by the permissions it is %v", got, want)
		}
		differs := hasExclusiveConflict(a, b)
		if !differs && !Compatible(a, b) {
			r.Fatal("the tables have only tolerated conflicts but are not compatible")
		}
		drawn[fmt.Sprint(differs, Compatible(a, b))]++
		ab, ba := Intersection(a, b), Intersection(b, a)
		if !ab.isWithin(a) || !ab.isWithin(b) || !isAllowedBy(a, ab) || !isAllowedBy(b, ab) || !Compatible(ab, a) || !Compatible(b, ab) {
			r.Fatalf("the intersection %+v is not compatible with both tables", ab)
		}
		if hasExclusiveConflict(ab, ba) || ab.MaxAttempts != min(a.MaxAttempts, b.MaxAttempts) && a.MaxAttempts > 0 && b.MaxAttempts > 0 || ab.MaxAttempts != ba.MaxAttempts && a.MaxAttempts*b.MaxAttempts > 0 {
			r.Fatalf("the intersection depends on the order of the tables: conflicts %v", Conflicts(ab, ba))
		}
		if again := Intersection(a, a); !Equivalent(again, a) || len(Conflicts(a, a)) > 0 || hasExclusiveConflict(Intersection(ab, ab), ab) {
			r.Fatalf("the intersection is not idempotent: conflicts %v", Conflicts(again, a))
		}
		// The intersection allows what both tables allow.
		for _, p := range platforms[2:] {
			byA, byB, byBoth := permissions(a, p), permissions(b, p), permissions(ab, p)
			for action, ok := range byA {
				if ok && byB[action] && !byBoth[action] && !meetsPlatform(a, b) {
					r.Fatalf("%s is allowed by both tables and denied by the intersection", action)
				}
			}
		}
		if raw, err := Encode(ab); err != nil {
			r.Fatalf("encoding the intersection: got %s with error %v", raw, err)
		} else if decoded, _ := Decode(raw); !reflect.DeepEqual(decoded, ab.Sorted()) {
			r.Fatalf("the intersection is decoded as %+v", decoded)
		}
	})
	for _, k := range []string{"false true", "true true", "true false"} {
		if drawn[k] == 0 {
			t.Errorf("no tables were drawn with (exclusive conflict, compatible) = %s, only %v", k, drawn)
		}
	}
}

// meetsPlatform reports whether one table sets a value that the other leaves to the
// platform, or whether the tables differ in clusters, scopes or the number of
// shards. The intersection of such values allows nothing.
func meetsPlatform(a, b *Table) bool {
	for _, n := range tenantNames(a, b) {
		if x, y := a.entitlement(n), b.entitlement(n); x.platformDefault != y.platformDefault || x.cluster != y.cluster {
			return true
		}
	}
	for _, n := range unionKeys(a.Classes, b.Classes) {
		if x, y := a.retryPolicy(n), b.retryPolicy(n); (x.idempotence == "") != (y.idempotence == "") || x.dedupScope != y.dedupScope {
			return true
		}
	}
	return len(a.ShardOwners) != len(b.ShardOwners)
}

// The fallback is compatible with every version, known or unknown, except that an
// unknown version may cordon other workers.
func TestFallback(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		known, other := rapid.SliceOfN(tableGenerator(), 0, 3).Draw(r, "known"), tableGenerator().Draw(r, "unknown")
		fallback := Fallback(known...)
		for _, k := range known {
			if !Compatible(fallback, k) || !fallback.isWithin(k) || !isAllowedBy(k, fallback) || fallback.MaxAttempts > k.MaxAttempts && k.MaxAttempts > 0 {
				r.Fatalf("the fallback %+v is not compatible with the known version %+v", fallback, k)
			}
		}
		other.CordonedWorkers = nil
		if !Compatible(fallback, other) || !isAllowedBy(other, fallback) || other.isWithin(fallback) {
			r.Fatalf("the fallback %+v is not compatible with the unknown version %+v, or allows as much", fallback, other)
		}
	})
}

// The intersection of two versions in which a service is placed in another cluster
// and loses a part of its usable amount, another tenant gets 10 more, a shard gets a
// new owner, and the scope of a class changes.
func TestIntersectionByExample(t *testing.T) {
	a, b := sampleWithLedger(), sampleWithLedger()
	b.Version, b.Placements[0].Cluster, b.ShardOwners[1] = 8, "west", ShardOwner{"a", 5}
	b.LedgerEntries[0].Usable = 20
	b.Tenants[1].Reservation, b.Classes[0].DedupScope, b.MaxAttempts = new(20.0), balance.ScopeCell, 2
	want := sampleWithLedger()
	want.Version, want.Placements[0].Cluster, want.ShardOwners[1] = 8, "", ShardOwner{"", 4}
	want.LedgerEntries[0], want.MaxAttempts = LedgerEntry{"north", 20, 0}, 2
	want.Classes[0].Idempotence, want.Classes[0].DedupScope, want.Classes[0].DedupWindow = balance.NonIdempotent, "", 0
	a.Classes = append(a.Classes, Class{Name: "read", Idempotence: balance.IdempotentWithKey, DedupScope: balance.ScopeAll, DedupWindow: 5})
	b.Classes = append(b.Classes, Class{Name: "read", Idempotence: balance.IdempotentWithKey, DedupScope: balance.ScopeZone, DedupWindow: 8})
	want.Classes = append(want.Classes, Class{Name: "read", Idempotence: balance.IdempotentWithKey, DedupScope: balance.ScopeZone, DedupWindow: 5})
	if got := Intersection(a, b); !reflect.DeepEqual(got, want) {
		t.Errorf("intersection:\ngot  %+v\nwant %+v", got, want)
	}
	if Compatible(a, b) {
		t.Error("the two versions are compatible, want a conflict")
	}
	reduced := sampleWithLedger()
	reduced.LedgerEntries[0].Usable = 20
	if !reduced.isWithin(sampleWithLedger()) || sampleWithLedger().isWithin(reduced) {
		t.Error("a lower usable reservation is not within the higher one")
	}
}
