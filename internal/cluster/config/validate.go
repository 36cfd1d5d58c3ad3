package config

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"example.org/bellstream/balance"
)

// validator collects the errors of the table newer as the successor of older. Both
// are sorted.
type validator struct {
	older, newer *Table
	errors       ValidationErrors
}

// Validate returns ValidationErrors with all reasons why newer must not follow
// older, or nil. Their order depends only on the two tables. If older is nil, newer
// is the first version. A table without errors has an encoding.
func Validate(older, newer *Table) error {
	if older == nil {
		older = &Table{}
	}
	v := &validator{older: older.Sorted(), newer: newer.Sorted()}
	v.checkVersions()
	v.checkLists()
	v.checkTenants()
	v.checkClasses()
	v.checkVoters()
	v.checkShardOwners()
	v.checkClusters()
	v.checkPlacements()
	v.checkLedger()
	v.checkCapacities()
	if v.errors != nil {
		return v.errors
	}
	if _, err := Encode(newer); err != nil {
		return ValidationErrors{{Message: err.Error()}}
	}
	return nil
}

func (v *validator) rejectIf(invalid bool, key, format string, args ...any) {
	if invalid {
		v.errors = append(v.errors, ValidationError{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) checkVersions() {
	older, newer := v.older, v.newer
	v.rejectIf(newer.BaseVersion != older.Version, "based_on",
		"%d is not the newest version, which is %d: check what that version changed, and base the rules on it",
		newer.BaseVersion, older.Version)
	v.rejectIf(newer.Version != older.Version+1, "based_on",
		"version %d can't follow version %d", newer.Version, older.Version)
	v.rejectIf(newer.Strict, "",
		"rules that deny everything are only for instances without a lease, and can't be proposed")
	v.rejectIf(newer.MaxAttempts < 0 || newer.MaxAttempts > MaxAttempts, "attempts",
		"%d is not from 1 to %d", newer.MaxAttempts, MaxAttempts)
	v.rejectIf(newer.EndpointListEpoch < older.EndpointListEpoch, "list_epoch",
		"%d is below %d, the value in force: lists of an earlier incarnation of discovery would become valid again",
		newer.EndpointListEpoch, older.EndpointListEpoch)
}

func (v *validator) checkLists() {
	t := v.newer
	v.checkList("out", stringList("workers", MaxCordonedWorkers, t.CordonedWorkers))
	v.checkList("instances", stringList("instances", MaxShardInstances, t.ShardInstances))
	v.checkList("tenant %q", keyList("tenants", MaxTenants, t.Tenants))
	v.checkList("class %q", keyList("classes", MaxClasses, t.Classes))
	v.checkList("voter %q", keyList("voters", MaxVoters, t.Voters))
	v.checkList("cluster %q", keyList("clusters", MaxClusters, t.Clusters))
	v.checkList("booked %q", keyList("services", MaxPlacements, t.LedgerEntries))
	v.checkList("placement %q", keyList("services", MaxPlacements, t.Placements))
}

func (v *validator) checkList(keyFormat string, list nameList) {
	v.rejectIf(list.length > list.limit, strings.TrimSuffix(keyFormat, " %q"),
		"%d %s, at most %d", list.length, list.what, list.limit)
	for i := range min(list.length, list.limit) {
		name := list.name(i)
		key := strings.ReplaceAll(keyFormat, "%q", fmt.Sprintf("%q", name))
		if err := checkName(name); err != nil {
			v.rejectIf(true, key, "%s", err)
		}
		duplicate := i > 0 && list.name(i-1) == name
		reported := i > 1 && list.name(i-2) == name
		v.rejectIf(duplicate && !reported, key, "%q is named twice: leave one out", name)
	}
}

// checkQuantity rejects a number that is below 0 or above limit.
func (v *validator) checkQuantity(key string, quantity *float64, limit float64) {
	v.checkRange(key, quantity, "from 0", limit, false)
}

// checkPositive rejects a number that is 0 or less, or above limit.
func (v *validator) checkPositive(key string, quantity *float64, limit float64) {
	v.checkRange(key, quantity, "above 0 and", limit, true)
}

func (v *validator) checkRange(key string, quantity *float64, lowerBound string, limit float64, positive bool) {
	if quantity == nil {
		return
	}
	q := *quantity
	valid := q >= 0 && q <= limit && !math.Signbit(q) // -0 would be a second encoding of 0
	if positive && q == 0 {
		valid = false
	}
	v.rejectIf(!valid, key, "%v is not %s up to %g", q, lowerBound, limit)
}

func (v *validator) checkTenants() {
	for _, tenant := range v.newer.Tenants {
		key := fmt.Sprintf("tenant %q", tenant.Name)
		v.checkQuantity(key+".reservation", tenant.Reservation, MaxQuantity)
		v.checkPositive(key+".weight", tenant.Weight, MaxQuantity)
	}
}

func (v *validator) checkClasses() {
	for _, class := range v.newer.Classes {
		key := fmt.Sprintf("class %q", class.Name)
		v.checkQuantity(key+".aim", class.LatencyObjective, MaxQuantity)
		v.checkQuantity(key+".stretch", class.ObjectiveStretch, MaxQuantity)
		v.checkPositive(key+".deadline", class.Deadline, MaxQuantity)
		v.checkPositive(key+".worth", class.PriorityWeight, MaxQuantity)
		v.checkQuantity(key+".late_worth", class.LateWeightFraction, 1)
		v.checkIdempotence(key, class)
	}
}

func (v *validator) checkIdempotence(key string, class Class) {
	const needsKey = "is only for effect = \"keyed\": leave it out, or set that"
	switch class.Idempotence {
	case balance.IdempotentWithKey:
		switch class.DedupScope {
		case balance.ScopeAll, balance.ScopeZone, balance.ScopeCell:
		default:
			v.rejectIf(true, key+".scope",
				"%q is none of all, zone, cell: a keyed class needs the scope in which workers recognize a retry",
				class.DedupScope)
		}
		v.rejectIf(class.DedupWindow == 0, key+".window",
			"a keyed class needs the time for which its workers recognize a retry")
		v.checkQuantity(key+".window", &class.DedupWindow, MaxQuantity)
	case balance.Idempotent, balance.NonIdempotent, "":
		v.rejectIf(class.DedupScope != "", key+".scope", needsKey)
		v.rejectIf(class.DedupWindow != 0, key+".window", needsKey)
	default:
		v.rejectIf(true, key+".effect", "%q is none of safe, keyed, unsafe", class.Idempotence)
	}
}

func (v *validator) checkVoters() {
	older, newer := v.older.Voters, v.newer.Voters
	if len(older) == 0 && len(newer) == 0 {
		return
	}
	v.checkVoterAddresses()
	v.rejectIf(len(newer) < MinVoters || len(newer) > MaxVoters, "voter",
		"%d voters, must be %d to %d", len(newer), MinVoters, MaxVoters)
	if len(older) == 0 {
		return
	}
	var changed []string
	for _, name := range unionKeys(newer, older) {
		a, _ := find(newer, name)
		b, _ := find(older, name)
		if a != b {
			changed = append(changed, fmt.Sprintf("%q", name))
		}
	}
	v.rejectIf(len(changed) > 1, "voter",
		"%s change at a time: add, remove or readdress one, wait until that is in force, then change the next",
		strings.Join(changed, ", "))
}

func (v *validator) checkVoterAddresses() {
	names := map[string]string{} // by address
	for _, voter := range v.newer.Voters {
		key := fmt.Sprintf("voter %q.address", voter.Name)
		parsed, err := netip.ParseAddrPort(voter.Address)
		v.rejectIf(err != nil || parsed.Port() == 0, key,
			"%q is not an IP address and a port; names are not looked up", voter.Address)
		other := names[voter.Address]
		v.rejectIf(other != "" && other != voter.Name, key, "%q is already the address of %q", voter.Address, other)
		names[voter.Address] = voter.Name
	}
}

func (v *validator) checkShardOwners() {
	older, newer := v.older, v.newer
	v.rejectIf(len(newer.ShardOwners) > MaxShards, "", "%d shards, at most %d", len(newer.ShardOwners), MaxShards)
	if len(older.ShardOwners) > 0 && len(newer.ShardOwners) != len(older.ShardOwners) {
		v.rejectIf(true, "", "%d shards after %d: tenants would change shards, so the number is fixed",
			len(newer.ShardOwners), len(older.ShardOwners))
		return
	}
	unlisted := map[string][]int{} // shards by owner, for owners that are not among the instances
	for shard, owner := range newer.ShardOwners {
		previous := older.ShardOwner(shard)
		key := fmt.Sprintf("seat %d", shard)
		v.rejectIf(owner.Epoch < previous.Epoch, key,
			"epoch %d is below %d: grants of a former owner would become valid again", owner.Epoch, previous.Epoch)
		v.rejectIf(owner.Name != previous.Name && owner.Epoch == previous.Epoch, key,
			"the owner changes to %q in the same epoch, %d", owner.Name, owner.Epoch)
		if owner.Name != "" && !containsName(newer.ShardInstances, owner.Name) {
			unlisted[owner.Name] = append(unlisted[owner.Name], shard)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(unlisted)) {
		shards := unlisted[name]
		v.rejectIf(true, "instances",
			"%q is not listed but owns %d shards, the first is %d: keep it until they have moved",
			name, len(shards), shards[0])
	}
}

func (v *validator) checkClusters() {
	for _, cluster := range v.newer.Clusters {
		v.checkQuantity(fmt.Sprintf("cluster %q.capacity", cluster.Name), &cluster.Capacity, MaxQuantity)
	}
}

func (v *validator) checkPlacements() {
	for _, placement := range v.newer.Placements {
		key := fmt.Sprintf("placement %q", placement.Service)
		v.checkPlacedIn(key+".cluster", placement.Cluster)
		v.checkPlacedIn(key+".origin", placement.Origin)
		previous, _ := v.older.Placement(placement.Service)
		entry, _ := find(v.newer.LedgerEntries, placement.Service)
		v.rejectIf(entry.Issued > 0 && previous.Origin != placement.Origin, key+".origin",
			"it was %q, which has issued %v, and can't change: the reservation would be issued twice",
			previous.Origin, entry.Issued)
		tenant, _ := v.newer.Tenant(placement.Service)
		v.rejectIf(tenant.Reservation == nil, key,
			"tenant %q has no reservation in the rules: set it, because it is what migrates", placement.Service)
	}
}

func (v *validator) checkPlacedIn(key, cluster string) {
	_, found := v.newer.Cluster(cluster)
	v.rejectIf(!found && cluster != "", key,
		"there is no cluster %q: add a block for it, or name an existing one", cluster)
}

func (v *validator) checkLedger() {
	for _, entry := range v.newer.LedgerEntries {
		key := fmt.Sprintf("booked %q", entry.Service)
		v.checkQuantity(key+".usable", &entry.Usable, MaxQuantity)
		v.checkQuantity(key+".entered", &entry.Issued, MaxQuantity)
		_, placed := v.newer.Placement(entry.Service)
		v.rejectIf(!placed, fmt.Sprintf("placement %q", entry.Service),
			"the service is in this cluster's capacity ledger: "+
				"keep the block until its reservation is 0 at its origin, or is completely in other clusters")
	}
}

// checkCapacities rejects a capacity that is below the reservations placed there.
func (v *validator) checkCapacities() {
	placed := map[string][]Tenant{} // by cluster
	for _, placement := range v.newer.Placements {
		tenant, _ := v.newer.Tenant(placement.Service)
		if tenant.Reservation != nil {
			placed[placement.Cluster] = append(placed[placement.Cluster], tenant)
		}
	}
	for _, cluster := range v.newer.Clusters {
		sum := 0.0
		var reservations []string
		for _, tenant := range placed[cluster.Name] {
			sum += *tenant.Reservation
			reservations = append(reservations, fmt.Sprintf("%s %v", tenant.Name, *tenant.Reservation))
		}
		v.rejectIf(len(reservations) > 0 && sum > cluster.Capacity, fmt.Sprintf("cluster %q.capacity", cluster.Name),
			"%v is %.4g less than the reservations placed there (%s): raise it, lower these, or place one elsewhere",
			cluster.Capacity, sum-cluster.Capacity, abbreviate(reservations))
	}
}
