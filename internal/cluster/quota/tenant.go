package quota

import (
	"cmp"
	"math"
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// tenantState is the allocator's state of one tenant.
type tenantState struct {
	Tenant
	index   int // in the tenant table
	demand  demandEstimate
	request demandRequest
	ledger  ledger
	usage   usageView
}

// demandEstimate estimates the demand of a tenant's jobs that arrive at this instance.
type demandEstimate struct {
	arrivals    uint64  // total as of the last round
	fastRate    float64 // jobs per second
	slowRate    float64
	longRate    float64
	since       float64 // when the demand was last reset
	lastArrival float64
	arrivalRate float64 // longRate as of the last arrival
	millionths  uint32  // demand as a fraction of the reservation
}

// demandRequest is the demand that is advertised to the owners. It follows the measured
// demand in steps: it is raised at once and lowered after a delay.
type demandRequest struct {
	millionths uint32
	changedAt  float64
	owners     int     // number of owners to which the demand is sent
	lowSince   float64 // when the measured demand was last close to the advertised one
}

// ledger records what this instance owns of a reservation and has lent of it, in millionths.
type ledger struct {
	owners       []*peer // by rank; nil is this instance; empty with flat ownership
	owned        uint32
	lent         uint32  // total to all peers
	unmetDemand  uint64  // sum of the peers' demands beyond what each owns; flat ownership only
	rebalancedAt float64 // when loans were last revoked for small differences
}

// remoteTotal is an owner's report of what all other instances have counted.
type remoteTotal struct {
	owner       string
	incarnation uint64
	usage.Count
}

// usageView tracks what other instances have counted.
type usageView struct {
	total         remoteTotal // latest report of an owner
	baseline      int64       // net remote count at the last call of RemoteUsage
	source        remoteTotal // reporter of the baseline, without the counts
	followedSince float64     // since when the current source is followed; +Inf: none is followed
	lastCounted   float64     // when this instance last reported a change of its own count; -Inf: never
}

// tenantTable holds all tenants in ascending order of their ids.
type tenantTable struct {
	list   []tenantState
	byID   map[uint64]*tenantState
	digest uint64 // of all tenant ids
}

func newTenantTable(tenants []Tenant) tenantTable {
	sorted := slices.Clone(tenants)
	slices.SortFunc(sorted, func(x, y Tenant) int { return cmp.Compare(x.ID, y.ID) })
	t := tenantTable{
		list: make([]tenantState, len(sorted)),
		byID: make(map[uint64]*tenantState, len(sorted)),
	}
	for i, tenant := range sorted {
		state := &t.list[i]
		state.Tenant = tenant
		state.index = i
		state.usage.followedSince = math.Inf(1)
		state.usage.lastCounted = math.Inf(-1)
		t.byID[tenant.ID] = state
		t.digest ^= mixBits(tenant.ID)
	}
	return t
}

// mixBits spreads an id over all bits, so that the digest of a table is not a plain XOR of ids.
func mixBits(id uint64) uint64 {
	id ^= id >> 31
	id *= 0x9e3779b97f4a7c15
	return id ^ id>>29
}

// stopFollowing stops following remote counts, so that jobs counted in the meantime are not charged.
func (t tenantTable) stopFollowing() {
	for i := range t.list {
		t.list[i].usage.followedSince = math.Inf(1)
	}
}

// jobsPerSecond converts a fraction of the reservation to jobs per second.
func (t *tenantState) jobsPerSecond(millionths uint32) float64 {
	return float64(millionths) / FullReservation * t.Quota
}

// ownedHere reports whether this instance is an owner of the tenant, whether or not it has joined.
func (t *tenantState) ownedHere() bool { return slices.Contains(t.ledger.owners, nil) }

// ownedBy reports whether a peer is an owner of the tenant.
func (t *tenantState) ownedBy(p *peer) bool { return slices.Contains(t.ledger.owners, p) }
