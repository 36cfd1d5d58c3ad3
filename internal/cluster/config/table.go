// Package config holds the versioned configuration table that the instances of a
// cluster agree on: what a version contains, whether it may follow another one,
// which entries of two versions must not be in effect at the same time, and which
// table an instance uses that only knows that one of the two is in effect. The
// package does no I/O, reads no clock and starts no goroutine. docs/design/accord.md
// describes when an instance may act on a version.
//
// A [Table] is immutable once it is encoded or passed on. Times are in seconds.
package config

import (
	"cmp"
	"slices"

	"example.org/bellstream/balance"
)

// Table is one version of the configuration. The platform's settings apply to all
// that is not set: nil, 0 or empty, as stated for each field. Lists are in ascending
// order of names and without duplicates; [Table.Sorted] sorts them.
type Table struct {
	Version     uint64 `json:"version"`        // from 1; 0 is the empty table before the first version
	BaseVersion uint64 `json:"base,omitempty"` // version that the proposal was based on
	ProposedBy  string `json:"by,omitempty"`   // name of an instance

	Tenants         []Tenant     `json:"tenants,omitempty"`
	Classes         []Class      `json:"classes,omitempty"`
	MaxAttempts     int          `json:"attempts,omitempty"`   // maximum for one job; 0 if not set
	CordonedWorkers []string     `json:"out,omitempty"`        // that get no new jobs
	ShardInstances  []string     `json:"instances,omitempty"`  // that may own shards; none if empty
	Voters          []Voter      `json:"voters,omitempty"`     // empty if not set
	ShardOwners     []ShardOwner `json:"seats,omitempty"`      // by shard; empty if there are no shards
	Clusters        []Cluster    `json:"clusters,omitempty"`   // that have a capacity ledger
	Placements      []Placement  `json:"placements,omitempty"` // of services

	// CapacityLedger has this cluster's records of services that migrate between
	// clusters, in an encoding that is opaque to this package. LedgerEntries are
	// derived from it. The leader writes both.
	CapacityLedger []byte        `json:"books,omitempty"`
	LedgerEntries  []LedgerEntry `json:"booked,omitempty"`

	// EndpointListEpoch is the incarnation of discovery whose endpoint lists are
	// valid. It never decreases.
	EndpointListEpoch uint64 `json:"list_epoch,omitempty"`

	// Strict denies every reservation and every retry, also those of tenants and
	// classes without an entry. Only the result of [Fallback] has it set, never a
	// version that was agreed on.
	Strict bool `json:"strict,omitempty"`
}

// Tenant overrides the platform's settings of a tenant by the fields that are not nil.
type Tenant struct {
	Name string `json:"name"`
	// Reservation is in the unit of the platform's quota_per_s: jobs of the mean
	// size per second, in total for the cluster. 0 means no reservation.
	Reservation *float64 `json:"reservation,omitempty"`
	Weight      *float64 `json:"weight,omitempty"` // above 0
}

// Class overrides the platform's settings of a class by the fields that are not nil.
// Idempotence, DedupScope and DedupWindow override the settings together, and only
// if Idempotence is not empty.
type Class struct {
	Name               string              `json:"name"`
	LatencyObjective   *float64            `json:"aim,omitempty"`
	ObjectiveStretch   *float64            `json:"stretch,omitempty"`
	Deadline           *float64            `json:"deadline,omitempty"`   // above 0
	PriorityWeight     *float64            `json:"worth,omitempty"`      // above 0
	LateWeightFraction *float64            `json:"late_worth,omitempty"` // 0 to 1
	Idempotence        balance.Idempotence `json:"effect,omitempty"`
	DedupScope         balance.DedupScope  `json:"scope,omitempty"`  // if idempotent with a key
	DedupWindow        float64             `json:"window,omitempty"` // above 0 if idempotent with a key
}

// Voter is an instance that votes in the cluster's consensus.
type Voter struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
}

// ShardOwner is the instance that owns a shard's queues.
type ShardOwner struct {
	Name  string `json:"name,omitempty"` // empty if the shard has no owner and is sealed
	Epoch uint64 `json:"epoch"`          // increases with each change of Name
}

// Cluster is a cluster that services may be placed in.
type Cluster struct {
	Name     string  `json:"name"`
	Capacity float64 `json:"capacity"` // most that its ledger may reserve, in the unit of reservations
}

// Placement is the cluster that a service is to run in.
type Placement struct {
	Service string `json:"service"`           // a tenant
	Cluster string `json:"cluster,omitempty"` // empty: no further migration; reserved capacity stays reserved
	// ForceRelease lets a destination release the capacity that it has reserved for
	// the service. With it the operator states that the source has sent nothing to
	// that destination.
	ForceRelease bool `json:"release,omitempty"`
	// Origin is the cluster whose ledger issues the reservation, once. Other
	// clusters receive it only by migration.
	Origin string `json:"origin,omitempty"`
}

// LedgerEntry is this cluster's share of a placed service's reservation.
type LedgerEntry struct {
	Service string  `json:"service"`
	Usable  float64 `json:"usable"`            // amount that may be used in this cluster now
	Issued  float64 `json:"entered,omitempty"` // total amount issued here, if this cluster is the origin
}

// Limits of a table. A name has 1 to MaxNameBytes bytes.
const (
	MaxNameBytes           = 128
	MaxTableBytes          = 1 << 20 // of an encoded table
	MaxTenants             = 4096
	MaxClasses             = 256
	MaxCordonedWorkers     = 4096
	MaxShardInstances      = 1024
	MaxVoters              = 7
	MinVoters              = 3
	MaxShards              = 1 << 14
	MaxClusters            = 64
	MaxPlacements          = MaxTenants
	MaxCapacityLedgerBytes = 512 << 10
	MaxAttempts            = 100
	MaxQuantity            = 1e9 // of a reservation, weight, time or capacity
)

// keyed is an entry of a list that is sorted by the entries' keys.
type keyed interface{ key() string }

func (t Tenant) key() string      { return t.Name }
func (c Class) key() string       { return c.Name }
func (v Voter) key() string       { return v.Name }
func (c Cluster) key() string     { return c.Name }
func (p Placement) key() string   { return p.Service }
func (e LedgerEntry) key() string { return e.Service }

// find returns the entry of a sorted list that has the key.
func find[T keyed](list []T, key string) (T, bool) {
	i, found := slices.BinarySearchFunc(list, key, func(entry T, key string) int {
		return cmp.Compare(entry.key(), key)
	})
	if !found {
		var none T
		return none, false
	}
	return list[i], true
}

func sorted[T keyed](list []T) []T {
	return slices.SortedStableFunc(slices.Values(list), func(a, b T) int {
		return cmp.Compare(a.key(), b.key())
	})
}

func sortedNames(list []string) []string { return slices.Sorted(slices.Values(list)) }

// Sorted returns a copy with sorted lists, which all comparisons of tables need. It
// keeps duplicate names, so that [Validate] can report them.
func (t *Table) Sorted() *Table {
	s := *t
	s.Tenants = sorted(t.Tenants)
	s.Classes = sorted(t.Classes)
	s.Voters = sorted(t.Voters)
	s.Clusters = sorted(t.Clusters)
	s.Placements = sorted(t.Placements)
	s.LedgerEntries = sorted(t.LedgerEntries)
	s.CordonedWorkers = sortedNames(t.CordonedWorkers)
	s.ShardInstances = sortedNames(t.ShardInstances)
	return &s
}

// Tenant returns the entry of a tenant.
func (t *Table) Tenant(name string) (Tenant, bool) { return find(t.Tenants, name) }

// Class returns the entry of a class.
func (t *Table) Class(name string) (Class, bool) { return find(t.Classes, name) }

// Cluster returns the entry of a cluster.
func (t *Table) Cluster(name string) (Cluster, bool) { return find(t.Clusters, name) }

// Placement returns the placement of a service.
func (t *Table) Placement(service string) (Placement, bool) { return find(t.Placements, service) }

// UsableReservations returns the amount that the capacity ledger lets each placed
// service use in this cluster, by service; see [Table.Override].
func (t *Table) UsableReservations() map[string]float64 {
	usable := make(map[string]float64, len(t.LedgerEntries))
	for _, entry := range t.LedgerEntries {
		usable[entry.Service] = entry.Usable
	}
	return usable
}

// ShardOwner returns the owner of a shard, or the zero value if there is no such shard.
func (t *Table) ShardOwner(shard int) ShardOwner {
	if shard < 0 || shard >= len(t.ShardOwners) {
		return ShardOwner{}
	}
	return t.ShardOwners[shard]
}
