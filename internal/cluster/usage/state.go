package usage

import iradix "github.com/hashicorp/go-immutable-radix/v2"

// IncarnationUsage is what one incarnation of an instance has counted.
type IncarnationUsage struct {
	Incarnation uint64
	Counts      Counts
}

// Rollup is the sum of an instance's past incarnations. Only the latest incarnation of the
// instance writes it, and a later rollup replaces an earlier one completely: two rollups
// made independently could not be merged without losing counts or counting them twice.
type Rollup struct {
	Writer   uint64 // the incarnation that wrote it
	Sequence uint64 // number of this rollup among the writer's
	Through  uint64 // incarnations up to this one are included
	Counts   Counts
}

// olderThan orders rollups by their writer, then by its sequence.
func (r Rollup) olderThan(other Rollup) bool {
	if r.Writer != other.Writer {
		return r.Writer < other.Writer
	}
	return r.Sequence < other.Sequence
}

// InstanceUsage is what one instance has counted, as far as it is known.
type InstanceUsage struct {
	Name         string
	Rollup       Rollup
	Incarnations []IncarnationUsage // sorted, each above Rollup.Through
}

// Incarnation returns the counts of one incarnation, and whether it is known. The receiver may be nil.
func (u *InstanceUsage) Incarnation(incarnation uint64) (Counts, bool) {
	if u == nil {
		return nil, false
	}
	for _, i := range u.Incarnations {
		if i.Incarnation == incarnation {
			return i.Counts, true
		}
	}
	return nil, false
}

// LatestIncarnation returns the highest known incarnation, 0 if none is known. The receiver may be nil.
func (u *InstanceUsage) LatestIncarnation() uint64 {
	if u == nil {
		return 0
	}
	if n := len(u.Incarnations); n > 0 {
		return u.Incarnations[n-1].Incarnation
	}
	return u.Rollup.Through
}

// total returns the sum over all incarnations. The receiver may be nil.
func (u *InstanceUsage) total() Counts {
	if u == nil {
		return nil
	}
	total := u.Rollup.Counts
	for _, i := range u.Incarnations {
		total = addCounts(total, i.Counts)
	}
	return total
}

// normalized returns a copy without the incarnations that are in the rollup.
func (u *InstanceUsage) normalized() *InstanceUsage {
	out := &InstanceUsage{Name: u.Name, Rollup: u.Rollup}
	out.keepAbove(u.Incarnations)
	return out
}

// keepAbove appends the incarnations that are not in the rollup.
func (u *InstanceUsage) keepAbove(incarnations []IncarnationUsage) {
	for _, i := range incarnations {
		if i.Incarnation > u.Rollup.Through {
			u.Incarnations = append(u.Incarnations, i)
		}
	}
}

// merge returns u merged with other, and whether that differs from u. The receiver may be nil, if nothing is known.
func (u *InstanceUsage) merge(other *InstanceUsage) (*InstanceUsage, bool) {
	if u == nil {
		return other.normalized(), true
	}
	rollup, changed := u.Rollup.merge(other.Rollup)
	out := &InstanceUsage{Name: u.Name, Rollup: rollup}
	if out.mergeIncarnations(u.Incarnations, other.Incarnations) {
		changed = true
	}
	if !changed {
		return u, false
	}
	return out, true
}

// merge returns the later rollup, and whether that differs from r. Through never decreases: a later
// rollup covers at least the incarnations of an earlier one.
func (r Rollup) merge(other Rollup) (Rollup, bool) {
	out := r
	if r.olderThan(other) {
		out = other
	}
	out.Through = max(r.Through, other.Through)
	return out, r.olderThan(other) || other.Through > r.Through
}

// mergeIncarnations appends the incarnations of a and b that are not in the rollup, and
// reports whether b adds anything to a.
func (u *InstanceUsage) mergeIncarnations(a, b []IncarnationUsage) (changed bool) {
	for len(a) > 0 || len(b) > 0 {
		var next IncarnationUsage
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Incarnation < b[0].Incarnation:
			next = a[0]
			a = a[1:]
		case len(a) == 0 || b[0].Incarnation < a[0].Incarnation:
			next = b[0]
			b = b[1:]
			changed = changed || next.Incarnation > u.Rollup.Through
		default:
			counts, grown := combine(a[0].Counts, b[0].Counts, maxCount)
			next = IncarnationUsage{Incarnation: a[0].Incarnation, Counts: counts}
			a = a[1:]
			b = b[1:]
			changed = changed || grown
		}
		if next.Incarnation > u.Rollup.Through {
			u.Incarnations = append(u.Incarnations, next)
		}
	}
	return changed
}

// State is the usage of all instances, as far as one instance knows it. A State is immutable;
// merging returns a new one that shares the unchanged parts.
type State struct {
	instances *iradix.Tree[*InstanceUsage]
	totals    Counts // sum over all instances
}

// EmptyState returns a state without instances.
func EmptyState() State { return State{instances: iradix.New[*InstanceUsage]()} }

// Total returns a tenant's count, summed over all instances.
func (s State) Total(tenant uint64) Count { return s.totals.At(tenant) }

// Totals returns all tenants' counts, summed over all instances. The caller must not change them.
func (s State) Totals() Counts { return s.totals }

// Len returns the number of known instances.
func (s State) Len() int { return s.instances.Len() }

// Instance returns the usage of one instance, nil if the instance is not known.
func (s State) Instance(name string) *InstanceUsage {
	u, _ := s.instances.Get([]byte(name))
	return u
}

// ForEach calls f for every instance, sorted by name, until f returns false.
func (s State) ForEach(f func(*InstanceUsage) bool) {
	s.instances.Root().Walk(func(_ []byte, u *InstanceUsage) bool { return !f(u) })
}

// Merge returns the state merged with updates, and whether that differs from s.
func (s State) Merge(updates ...*InstanceUsage) (State, bool) {
	var txn *iradix.Txn[*InstanceUsage]
	totals := s.totals
	for _, update := range updates {
		var before *InstanceUsage
		if txn != nil {
			before, _ = txn.Get([]byte(update.Name))
		} else {
			before = s.Instance(update.Name)
		}
		after, changed := before.merge(update)
		if !changed {
			continue
		}
		if txn == nil {
			txn = s.instances.Txn()
		}
		txn.Insert([]byte(update.Name), after)
		totals = updateTotals(totals, before, after)
	}
	if txn == nil {
		return s, false
	}
	return State{instances: txn.Commit(), totals: totals}, true
}

// MergeState merges all instances of another state, as Merge does.
func (s State) MergeState(other State) (State, bool) {
	var updates []*InstanceUsage
	other.ForEach(func(u *InstanceUsage) bool {
		updates = append(updates, u)
		return true
	})
	return s.Merge(updates...)
}

// expectedDifferences is the typical maximum of tenants that one update changes; more than these need an allocation.
const expectedDifferences = 8

// updateTotals returns the totals after an instance's usage has changed from before to after. Before may be nil.
func updateTotals(totals Counts, before, after *InstanceUsage) Counts {
	var buf [expectedDifferences]TenantCount
	return addCounts(totals, appendDifference(buf[:0], before.total(), after.total()))
}

// appendDifference appends the counts that have to be added to a to get b. Negative differences
// wrap around, and so does the addition, so that sums are correct.
func appendDifference(diff, a, b Counts) Counts {
	add := func(tenant uint64, x, y Count) {
		if x != y {
			diff = append(diff, TenantCount{
				Tenant: tenant,
				Count:  Count{Started: y.Started - x.Started, Refunded: y.Refunded - x.Refunded},
			})
		}
	}
	i, k := 0, 0
	for i < len(a) || k < len(b) {
		switch {
		case k == len(b) || i < len(a) && a[i].Tenant < b[k].Tenant:
			add(a[i].Tenant, a[i].Count, Count{})
			i++
		case i == len(a) || b[k].Tenant < a[i].Tenant:
			add(b[k].Tenant, Count{}, b[k].Count)
			k++
		default:
			add(b[k].Tenant, a[i].Count, b[k].Count)
			i++
			k++
		}
	}
	return diff
}
