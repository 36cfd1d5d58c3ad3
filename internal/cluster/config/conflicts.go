package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// ConflictKind is the severity of a conflict.
type ConflictKind int

// Kinds of conflicts.
const (
	Tolerated ConflictKind = iota // both values may be in effect at the same time, for a bounded time (T)
	Exclusive                     // both values must never be in effect at the same time
)

func (k ConflictKind) String() string {
	if k == Tolerated {
		return "loose"
	}
	return "exclusive"
}

// Conflict is a key in which two tables differ.
type Conflict struct {
	Key  string // as in an operator's file, such as tenant "north".reservation
	Kind ConflictKind
}

func (c Conflict) String() string { return fmt.Sprintf("%s (%s)", c.Key, c.Kind) }

// unionKeys returns the keys of both lists in ascending order, or nil.
func unionKeys[T keyed](a, b []T) []string {
	keys := map[string]bool{}
	for _, entry := range a {
		keys[entry.key()] = true
	}
	for _, entry := range b {
		keys[entry.key()] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// nameKey adapts a name to the interface keyed.
type nameKey string

func (k nameKey) key() string { return string(k) }

func nameKeys(list []string) []nameKey {
	keys := make([]nameKey, len(list))
	for i, name := range list {
		keys[i] = nameKey(name)
	}
	return keys
}

// unionNames returns the names of both lists in ascending order, or nil.
func unionNames(a, b []string) []string { return unionKeys(nameKeys(a), nameKeys(b)) }

// containsName reports whether a sorted list contains a name.
func containsName(list []string, name string) bool {
	_, found := slices.BinarySearch(list, name)
	return found
}

func equalOptional(a, b *float64) bool { return a == b || a != nil && b != nil && *a == *b }

// Conflicts returns the keys in which two sorted tables differ, and the kind of
// each conflict. It ignores versions and proposers. These keys are exclusive:
//
//   - a reservation: one instance could serve its tenant by the old value while
//     another gives the same slots to another tenant by the new one;
//   - a placement: the reservation would be used in both clusters;
//   - a forced release: one instance would release capacity that another still
//     counts as reserved;
//   - the usable amount of a service in the ledger: the amount that it loses here
//     is used in another cluster next;
//   - a capacity: ledgers reserve up to it;
//   - the owner of a shard: two owners would use one reservation;
//   - an instance that may own shards;
//   - a cordoned worker: new jobs must not disturb the work in flight on it, or be
//     disturbed by it;
//   - the idempotence of a class, with its scope and window: a job could be retried
//     that must not be.
//
// All others are tolerated. Weights and latency objectives change the order in
// which jobs are served, within what the reservations allow. A deadline and the
// limit of attempts concern only the one instance that holds the job. The
// voters are changed by consensus itself; the table only requests the change. The
// epoch of endpoint lists decides which list is the newest, and acting on an old
// list has the same effect as receiving the new one late.
func Conflicts(a, b *Table) []Conflict {
	c := &comparison{a: a, b: b}
	c.compare(Exclusive, a.Strict != b.Strict, "strict")
	c.compare(Tolerated, a.MaxAttempts != b.MaxAttempts, "attempts")
	c.compare(Tolerated, a.EndpointListEpoch != b.EndpointListEpoch, "list_epoch")
	c.compareNames("out %q", a.CordonedWorkers, b.CordonedWorkers)
	c.compareNames("instances %q", a.ShardInstances, b.ShardInstances)
	c.compareTenants()
	c.compareClasses()
	c.compareVoters()
	c.compareShardOwners()
	c.compareClusters()
	c.comparePlacements()
	c.compareLedger()
	return c.conflicts
}

// comparison collects the conflicts of two tables.
type comparison struct {
	a, b      *Table
	conflicts []Conflict
}

func (c *comparison) compare(kind ConflictKind, differs bool, keyFormat string, args ...any) {
	if differs {
		c.conflicts = append(c.conflicts, Conflict{fmt.Sprintf(keyFormat, args...), kind})
	}
}

func (c *comparison) compareNames(keyFormat string, a, b []string) {
	for _, name := range unionNames(a, b) {
		c.compare(Exclusive, containsName(a, name) != containsName(b, name), keyFormat, name)
	}
}

func (c *comparison) compareTenants() {
	for _, name := range unionKeys(c.a.Tenants, c.b.Tenants) {
		a, _ := c.a.Tenant(name)
		b, _ := c.b.Tenant(name)
		c.compare(Exclusive, !equalOptional(a.Reservation, b.Reservation), "tenant %q.reservation", name)
		c.compare(Tolerated, !equalOptional(a.Weight, b.Weight), "tenant %q.weight", name)
	}
}

func (c *comparison) compareClasses() {
	for _, name := range unionKeys(c.a.Classes, c.b.Classes) {
		a, _ := c.a.Class(name)
		b, _ := c.b.Class(name)
		c.compare(Exclusive, a.Idempotence != b.Idempotence, "class %q.effect", name)
		c.compare(Exclusive, a.DedupScope != b.DedupScope, "class %q.scope", name)
		c.compare(Exclusive, a.DedupWindow != b.DedupWindow, "class %q.window", name)
		c.compare(Tolerated, !equalOptional(a.LatencyObjective, b.LatencyObjective), "class %q.aim", name)
		c.compare(Tolerated, !equalOptional(a.ObjectiveStretch, b.ObjectiveStretch), "class %q.stretch", name)
		c.compare(Tolerated, !equalOptional(a.Deadline, b.Deadline), "class %q.deadline", name)
		c.compare(Tolerated, !equalOptional(a.PriorityWeight, b.PriorityWeight), "class %q.worth", name)
		c.compare(Tolerated, !equalOptional(a.LateWeightFraction, b.LateWeightFraction), "class %q.late_worth", name)
	}
}

func (c *comparison) compareVoters() {
	for _, name := range unionKeys(c.a.Voters, c.b.Voters) {
		a, _ := find(c.a.Voters, name)
		b, _ := find(c.b.Voters, name)
		c.compare(Tolerated, a != b, "voter %q", name)
	}
}

func (c *comparison) compareShardOwners() {
	if len(c.a.ShardOwners) != len(c.b.ShardOwners) {
		c.compare(Exclusive, true, "seats")
		return
	}
	for shard := range c.a.ShardOwners {
		c.compare(Exclusive, c.a.ShardOwners[shard] != c.b.ShardOwners[shard], "seat %d", shard)
	}
}

func (c *comparison) compareClusters() {
	for _, name := range unionKeys(c.a.Clusters, c.b.Clusters) {
		a, inA := c.a.Cluster(name)
		b, inB := c.b.Cluster(name)
		c.compare(Exclusive, inA != inB || a != b, "cluster %q.capacity", name)
	}
}

func (c *comparison) comparePlacements() {
	for _, service := range unionKeys(c.a.Placements, c.b.Placements) {
		a, _ := c.a.Placement(service)
		b, _ := c.b.Placement(service)
		c.compare(Exclusive, a.Cluster != b.Cluster, "placement %q.cluster", service)
		c.compare(Exclusive, a.ForceRelease != b.ForceRelease, "placement %q.release", service)
		c.compare(Exclusive, a.Origin != b.Origin, "placement %q.origin", service)
	}
}

func (c *comparison) compareLedger() {
	c.compare(Tolerated, !bytes.Equal(c.a.CapacityLedger, c.b.CapacityLedger), "books")
	for _, service := range unionKeys(c.a.LedgerEntries, c.b.LedgerEntries) {
		a, inA := find(c.a.LedgerEntries, service)
		b, inB := find(c.b.LedgerEntries, service)
		c.compare(Exclusive, inA != inB || a.Usable != b.Usable, "booked %q.usable", service)
		c.compare(Tolerated, a.Issued != b.Issued, "booked %q.entered", service)
	}
}

// Equivalent reports whether two tables have the same effect. It ignores their
// versions and proposers.
func Equivalent(a, b *Table) bool {
	return len(Conflicts(a.Sorted(), b.Sorted())) == 0
}
