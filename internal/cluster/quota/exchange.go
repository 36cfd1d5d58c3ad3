package quota

import (
	"slices"

	"example.org/bellstream/internal/cluster/usage"
)

// Exchange connects an instance's usage counters with its allocator. It does everything that the
// exchange of counts and loans needs except sending messages. It must be used by one goroutine at
// a time.
type Exchange struct {
	Usage     *usage.Replica
	Allocator *Allocator
	Meter     *usage.Meter

	lastCounts usage.Counts // as of the last round
	arrivals   []uint64
}

// NewExchange returns the exchange of one instance, starting at time now. Its meter counts the
// given tenants, which have a reservation.
func NewExchange(s Settings, name string, incarnation uint64, tenants []Tenant, now float64) *Exchange {
	var metered []usage.Tenant
	for _, t := range tenants {
		metered = append(metered, usage.Tenant{Name: t.Name, ID: t.ID})
	}
	return &Exchange{
		Usage:     usage.NewReplica(name, incarnation),
		Allocator: New(s, name, incarnation, tenants, now),
		Meter:     usage.NewMeter(metered),
	}
}

// Round processes the counts since the last round and returns the messages to send.
func (x *Exchange) Round(now float64) []*Message {
	counts := x.Meter.Counts()
	changed := x.changedCounts(counts)
	x.lastCounts = counts
	if len(changed) > 0 || x.Allocator.flat {
		x.Usage.UpdateLocal(counts)
	}
	x.compact(now, counts)
	x.arrivals = x.Meter.Arrivals(x.arrivals)
	receivers := x.Allocator.Round(now, x.arrivals)
	x.Allocator.CountsChanged(now, changed)
	st := x.Usage.Snapshot()
	var messages []*Message
	for _, name := range receivers {
		messages = append(messages, x.Allocator.Messages(now, name, st)...)
	}
	return messages
}

// changedCounts returns the counts that differ from those of the last round.
func (x *Exchange) changedCounts(counts usage.Counts) usage.Counts {
	var changed usage.Counts
	for _, c := range counts {
		if x.lastCounts.At(c.Tenant) != c.Count {
			changed = append(changed, c)
		}
	}
	return changed
}

// compact folds the counts of ended incarnations into the rollup. It does so only with flat
// ownership, where all instances receive all counts. Otherwise no instance is certain to know all
// counts of its past incarnations.
func (x *Exchange) compact(now float64, counts usage.Counts) {
	if !x.Allocator.flat || !x.Usage.Compact(now, compactAfterSeconds, counts) {
		return
	}
	if incarnation := x.Usage.Incarnation(); incarnation != x.Allocator.self.incarnation {
		// Another process of the same name has folded this incarnation, so this process continues as a new one.
		x.Allocator.restartAs(incarnation)
	}
}

// Receive processes a message. It returns an error if the message was dropped. The counts in a
// dropped message are merged nevertheless, unless its sender's name or incarnation is invalid or
// its tenant indexes can't be resolved: counts may be merged repeatedly, late or not at all.
func (x *Exchange) Receive(now float64, m *Message) error {
	m = x.Allocator.resolveLink(m)
	if m.TenantsByIndex && m.AckIncarnation == x.Allocator.self.incarnation {
		m = x.Allocator.toIDs(m)
	}
	err := x.Allocator.Receive(now, m)
	if m.From == x.Allocator.self.name || m.Incarnation == 0 || m.TenantsByIndex {
		return err
	}
	if len(m.Counts) > 0 {
		x.merge(now, m.From, &usage.InstanceUsage{
			Name:         m.From,
			Incarnations: []usage.IncarnationUsage{{Incarnation: m.Incarnation, Counts: x.knownTenants(m.Counts)}},
		})
	}
	for _, instance := range m.RelayedUsage {
		x.merge(now, m.From, &usage.InstanceUsage{
			Name:         instance.Name,
			Incarnations: x.knownIncarnations(instance.Incarnations),
		})
	}
	return err
}

// merge merges the counts that a peer reported, and schedules relaying those that changed a total.
func (x *Exchange) merge(now float64, reporter string, instance *usage.InstanceUsage) {
	before := x.Usage.Snapshot()
	if !x.Usage.Merge(now, instance) {
		return
	}
	after := x.Usage.Snapshot()
	for _, incarnation := range instance.Incarnations {
		for _, c := range incarnation.Counts {
			if before.Total(c.Tenant) != after.Total(c.Tenant) {
				x.Allocator.RemoteCountsChanged(now, c.Tenant, reporter)
			}
		}
	}
}

// MergeAll merges all counts that another instance knows.
func (x *Exchange) MergeAll(now float64, instances []*usage.InstanceUsage) {
	known := make([]*usage.InstanceUsage, 0, len(instances))
	for _, instance := range instances {
		filtered := &usage.InstanceUsage{
			Name:         instance.Name,
			Rollup:       instance.Rollup,
			Incarnations: x.knownIncarnations(instance.Incarnations),
		}
		filtered.Rollup.Counts = x.knownTenants(instance.Rollup.Counts)
		known = append(known, filtered)
	}
	x.Usage.Merge(now, known...)
}

// KnownUsage returns what all instances have counted of a tenant, as far as this instance knows. It
// returns false if the tenant is not configured or this instance has no information on it.
func (x *Exchange) KnownUsage(tenant uint64) (usage.Count, bool) {
	t, known := x.Allocator.tenants.byID[tenant]
	if !known {
		return usage.Count{}, false
	}
	return x.Allocator.KnownUsage(t.index, x.Usage.Snapshot())
}

// knownIncarnations returns incarnations with only the counts of tenants that this instance has.
func (x *Exchange) knownIncarnations(list []usage.IncarnationUsage) []usage.IncarnationUsage {
	var known []usage.IncarnationUsage
	for _, incarnation := range list {
		known = append(known, usage.IncarnationUsage{
			Incarnation: incarnation.Incarnation,
			Counts:      x.knownTenants(incarnation.Counts),
		})
	}
	return known
}

// knownTenants returns only the counts of tenants that this instance has, so that a peer can't
// grow the state beyond the configured tenants.
func (x *Exchange) knownTenants(counts usage.Counts) usage.Counts {
	ids := x.Meter.TenantIDs()
	known := slices.DeleteFunc(slices.Clone(counts), func(c usage.TenantCount) bool {
		_, found := slices.BinarySearch(ids, c.Tenant)
		return !found
	})
	return usage.Normalize(known)
}

// Instances returns the counts of all instances in a state, for other instances to merge with
// [Exchange.MergeAll].
func Instances(s usage.State) []*usage.InstanceUsage {
	var list []*usage.InstanceUsage
	s.ForEach(func(instance *usage.InstanceUsage) bool {
		list = append(list, instance)
		return true
	})
	return list
}
