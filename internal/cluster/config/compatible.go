package config

// Compatible reports whether one instance may act on a while another acts on b.
// This is the case if one of the tables allows nothing exclusive that the other
// does not allow. Both must be sorted.
func Compatible(a, b *Table) bool { return a.isWithin(b) || b.isWithin(a) }

// isWithin reports whether t allows nothing exclusive that other does not.
func (t *Table) isWithin(other *Table) bool {
	if other.Strict && !t.Strict {
		return false
	}
	return containsNames(t.CordonedWorkers, other.CordonedWorkers) &&
		containsNames(other.ShardInstances, t.ShardInstances) &&
		t.entitlementsWithin(other) &&
		t.retriesWithin(other) &&
		t.capacitiesWithin(other) &&
		t.placementsWithin(other) &&
		t.shardOwnersWithin(other)
}

// containsNames reports whether a sorted list contains all the names.
func containsNames(list, names []string) bool {
	for _, name := range names {
		if !containsName(list, name) {
			return false
		}
	}
	return true
}

func (t *Table) entitlementsWithin(other *Table) bool {
	for _, tenant := range tenantNames(t, other) {
		if !t.entitlement(tenant).isWithin(other.entitlement(tenant)) {
			return false
		}
	}
	return true
}

func (t *Table) retriesWithin(other *Table) bool {
	for _, class := range unionKeys(t.Classes, other.Classes) {
		if !t.retryPolicy(class).isWithin(other.retryPolicy(class)) {
			return false
		}
	}
	return true
}

func (t *Table) capacitiesWithin(other *Table) bool {
	for _, cluster := range t.Clusters {
		limit, found := other.Cluster(cluster.Name)
		if !found || cluster.Capacity > limit.Capacity {
			return false
		}
	}
	return true
}

func (t *Table) placementsWithin(other *Table) bool {
	for _, placement := range t.Placements {
		limit, _ := other.Placement(placement.Service)
		if placement.ForceRelease && !limit.ForceRelease {
			return false
		}
		if placement.Cluster != limit.Cluster && (placement.Cluster != "" || placement.ForceRelease) {
			return false
		}
	}
	return true
}

func (t *Table) shardOwnersWithin(other *Table) bool {
	// Without shards every instance uses a part of each reservation, which is not
	// compatible with a shard owner that uses the same reservation.
	if len(t.ShardOwners) == 0 && len(other.ShardOwners) > 0 && !t.Strict {
		return false
	}
	sameCount := len(t.ShardOwners) == len(other.ShardOwners)
	for shard, owner := range t.ShardOwners {
		if owner.Name != "" && (!sameCount || owner != other.ShardOwners[shard]) {
			return false
		}
	}
	return true
}
