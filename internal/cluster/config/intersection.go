package config

import "slices"

// Intersection returns the table for an instance that only knows that one of two
// sorted tables is in effect. It allows nothing exclusive that either of them
// denies. Tolerated values are those of older, except that the lower limit of
// attempts and the lower epoch of endpoint lists apply. The version is the higher
// one.
//
// The operation is idempotent. Apart from tolerated values the result does not
// depend on the order of the tables. It must not be proposed, as a shard may have
// no owner and a service no cluster. Neither table may be Strict.
func Intersection(older, newer *Table) *Table {
	t := *older
	t.Version = max(older.Version, newer.Version)
	t.EndpointListEpoch = min(older.EndpointListEpoch, newer.EndpointListEpoch)
	t.MaxAttempts = lowerLimit(older.MaxAttempts, newer.MaxAttempts)
	t.CordonedWorkers = unionNames(older.CordonedWorkers, newer.CordonedWorkers)
	t.ShardInstances = intersectNames(older.ShardInstances, newer.ShardInstances)
	t.Placements = intersectPlacements(older, newer)
	t.Tenants = intersectTenants(older, newer)
	t.LedgerEntries = intersectLedgerEntries(older, newer)
	t.Classes = intersectClasses(older, newer)
	t.ShardOwners = intersectShardOwners(older, newer)
	t.Clusters = intersectClusters(older, newer)
	return &t
}

// lowerLimit returns the lower of two limits, where 0 means no limit.
func lowerLimit(a, b int) int {
	if b > 0 && (a == 0 || b < a) {
		return b
	}
	return a
}

func intersectNames(a, b []string) []string {
	var names []string
	for _, name := range a {
		if containsName(b, name) {
			names = append(names, name)
		}
	}
	return names
}

func intersectPlacements(older, newer *Table) []Placement {
	var placements []Placement
	for _, service := range unionKeys(older.Placements, newer.Placements) {
		a, _ := older.Placement(service)
		b, _ := newer.Placement(service)
		p := Placement{Service: service}
		if a.Cluster == b.Cluster {
			p.Cluster = a.Cluster
			p.ForceRelease = a.ForceRelease && b.ForceRelease
		}
		if a.Origin == b.Origin {
			p.Origin = a.Origin
		}
		placements = append(placements, p)
	}
	return placements
}

// intersectLedgerEntries returns the lower usable amount of both ledgers for each
// service. For a service that only one ledger has, the amount is that ledger's; the
// reservation and the placement may allow less.
func intersectLedgerEntries(older, newer *Table) []LedgerEntry {
	var entries []LedgerEntry
	for _, service := range unionKeys(older.LedgerEntries, newer.LedgerEntries) {
		a, inOlder := find(older.LedgerEntries, service)
		b, inNewer := find(newer.LedgerEntries, service)
		entry := LedgerEntry{Service: service, Usable: a.Usable}
		switch {
		case !inOlder:
			entry.Usable = b.Usable
		case inNewer:
			entry.Usable = min(a.Usable, b.Usable)
		}
		// Issued stays 0: only the leader needs it, and the leader never acts on an intersection.
		entries = append(entries, entry)
	}
	return entries
}

// intersectTenants returns entries for the tenants of both tables. It includes
// tenants that are only placed, because a reservation whose placement differs must
// not be used in either cluster. intersectLedgerEntries covers the ledger.
func intersectTenants(older, newer *Table) []Tenant {
	var tenants []Tenant
	for _, name := range tenantNames(older, newer) {
		tenant, inOlder := older.Tenant(name)
		_, inNewer := newer.Tenant(name)
		allowed := intersectEntitlements(older.reservationEntitlement(name), newer.reservationEntitlement(name))
		if allowed.platformDefault && !inOlder && !inNewer {
			continue // placed in the same cluster, without an entry in either table
		}
		tenant.Name = name
		tenant.Reservation = nil
		if !allowed.platformDefault {
			tenant.Reservation = &allowed.amount
		}
		tenants = append(tenants, tenant)
	}
	return tenants
}

// tenantNames returns the tenants for which either table has an entry or a placement, in ascending order.
func tenantNames(a, b *Table) []string {
	names := append(unionKeys(a.Tenants, b.Tenants), unionKeys(a.Placements, b.Placements)...)
	slices.Sort(names)
	return slices.Compact(names)
}

func intersectClasses(older, newer *Table) []Class {
	var classes []Class
	for _, name := range unionKeys(older.Classes, newer.Classes) {
		class, _ := older.Class(name)
		other, _ := newer.Class(name)
		policy := intersectRetryPolicies(class.retryPolicy(), other.retryPolicy())
		class.Name = name
		class.Idempotence = policy.idempotence
		class.DedupScope = policy.dedupScope
		class.DedupWindow = policy.dedupWindow
		classes = append(classes, class)
	}
	return classes
}

func intersectShardOwners(older, newer *Table) []ShardOwner {
	var owners []ShardOwner
	sameCount := len(older.ShardOwners) == len(newer.ShardOwners)
	for shard := range max(len(older.ShardOwners), len(newer.ShardOwners)) {
		a := older.ShardOwner(shard)
		b := newer.ShardOwner(shard)
		if sameCount && a == b {
			owners = append(owners, a)
			continue
		}
		// Use the lower epoch: with the higher one, instances would reject the grants
		// of the old owner if the newer version is withdrawn.
		owners = append(owners, ShardOwner{Epoch: min(a.Epoch, b.Epoch)})
	}
	return owners
}

func intersectClusters(older, newer *Table) []Cluster {
	var clusters []Cluster
	for _, cluster := range older.Clusters {
		if other, found := newer.Cluster(cluster.Name); found {
			cluster.Capacity = min(cluster.Capacity, other.Capacity)
			clusters = append(clusters, cluster)
		}
	}
	return clusters
}

// Fallback returns the table for an instance without a lease, from all versions
// that the instance knows. It allows no reservation, shard ownership, retry or
// migration, and ledgers may reserve nothing. It cordons the workers of all known
// versions and has the lowest of their limits of attempts. The platform's settings
// apply to the rest. Voters and the epoch of endpoint lists, which the instance
// needs to get a lease again, are those of the first table. The tables must be
// sorted and not Strict.
//
// The result is compatible with every table that cordons no other workers.
func Fallback(known ...*Table) *Table {
	t := &Table{Strict: true}
	if len(known) == 0 {
		return t
	}
	common := known[0]
	for _, other := range known[1:] {
		common = Intersection(common, other)
	}
	t.CordonedWorkers = common.CordonedWorkers
	t.MaxAttempts = common.MaxAttempts
	t.Voters = known[0].Voters
	t.EndpointListEpoch = known[0].EndpointListEpoch
	for _, owner := range common.ShardOwners {
		t.ShardOwners = append(t.ShardOwners, ShardOwner{Epoch: owner.Epoch})
	}
	for _, placement := range common.Placements {
		t.Placements = append(t.Placements, Placement{Service: placement.Service})
	}
	return t
}
