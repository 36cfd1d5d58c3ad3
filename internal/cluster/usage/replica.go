package usage

import (
	"slices"
	"sync/atomic"
)

// Limits of what a [Replica] keeps.
const (
	MaxIncarnations = 8    // past incarnations of one instance whose counts are kept separately
	MaxInstances    = 1024 // instances, by name
)

// Replica is one instance's copy of the state, to which the instance adds its own counts. All methods but
// Snapshot must be called by one goroutine at a time. Times are in seconds on the caller's clock.
type Replica struct {
	name        string
	incarnation uint64 // the current one
	state       State
	snapshot    atomic.Pointer[State]

	lastGrowth map[uint64]float64 // by incarnation of this name, except the current one: time of the last growth
	lastTotal  map[uint64]uint64  // by the same: sum of all counts at that time
	rejected   uint64             // updates that would have exceeded MaxInstances
	baseline   Counts             // what this process's meter had counted when the current incarnation began
}

// NewReplica makes the replica of a new incarnation. No two incarnations of a name may have the same
// number, and a later one should have a higher number: start time in milliseconds, then random bits.
// If it is not higher, the only effect is that past incarnations are compacted later.
func NewReplica(name string, incarnation uint64) *Replica {
	r := &Replica{
		name:        name,
		incarnation: incarnation,
		lastGrowth:  map[uint64]float64{},
		lastTotal:   map[uint64]uint64{},
	}
	r.publish(EmptyState())
	return r
}

// Incarnation returns the current incarnation. It changes only in Compact, after another process
// of the same name has compacted it.
func (r *Replica) Incarnation() uint64 { return r.incarnation }

// Snapshot returns the current state. Any goroutine may call it.
func (r *Replica) Snapshot() State { return *r.snapshot.Load() }

// Rejected returns the number of updates that were dropped because MaxInstances instances are known already.
func (r *Replica) Rejected() uint64 { return r.rejected }

func (r *Replica) publish(s State) {
	r.state = s
	r.snapshot.Store(&s)
}

// UpdateLocal sets what this process's meter has counted so far, and reports whether that changed the state.
func (r *Replica) UpdateLocal(counts Counts) bool {
	own := IncarnationUsage{Incarnation: r.incarnation, Counts: r.sinceBaseline(counts)}
	next, changed := r.state.Merge(&InstanceUsage{Name: r.name, Incarnations: []IncarnationUsage{own}})
	if changed {
		r.publish(next)
	}
	return changed
}

// sinceBaseline subtracts what this process has counted under its earlier incarnations.
func (r *Replica) sinceBaseline(counts Counts) Counts {
	if len(r.baseline) == 0 {
		return counts
	}
	since := make(Counts, 0, len(counts))
	for _, c := range counts {
		before := r.baseline.At(c.Tenant)
		c.Started -= min(before.Started, c.Started)
		c.Refunded -= min(before.Refunded, c.Refunded)
		since = append(since, c)
	}
	return since
}

// Merge merges updates from other instances at time now, and reports whether they changed the state.
func (r *Replica) Merge(now float64, updates ...*InstanceUsage) bool {
	accepted := make([]*InstanceUsage, 0, len(updates))
	for _, u := range updates {
		if u.Name != r.name && r.state.Len() >= MaxInstances && r.state.Instance(u.Name) == nil {
			r.rejected++
			continue
		}
		accepted = append(accepted, r.withoutLocalIncarnation(u))
	}
	next, changed := r.state.Merge(accepted...)
	if !changed {
		return false
	}
	r.publish(next)
	r.trackSiblings(now)
	return true
}

// withoutLocalIncarnation removes the current incarnation from an update. No other process
// writes it: a higher count is forged, or of another process that drew the same number, and
// must not replace what this process has counted.
func (r *Replica) withoutLocalIncarnation(u *InstanceUsage) *InstanceUsage {
	isOwn := func(i IncarnationUsage) bool { return i.Incarnation == r.incarnation }
	if u.Name != r.name || !slices.ContainsFunc(u.Incarnations, isOwn) {
		return u
	}
	out := *u
	out.Incarnations = slices.DeleteFunc(slices.Clone(u.Incarnations), isOwn)
	return &out
}

// trackSiblings records which other incarnations of this name have grown by time now. Such an
// incarnation is another running process with the same name, or a past one of which a report
// was delayed.
func (r *Replica) trackSiblings(now float64) {
	own := r.state.Instance(r.name)
	if own == nil {
		return
	}
	for _, i := range own.Incarnations {
		if i.Incarnation == r.incarnation {
			continue
		}
		total := uint64(0)
		for _, c := range i.Counts {
			total += c.Started + c.Refunded
		}
		before, known := r.lastTotal[i.Incarnation]
		if !known || total > before {
			r.lastTotal[i.Incarnation] = total
			r.lastGrowth[i.Incarnation] = now
		}
	}
}

// Compact adds past incarnations of this instance to its rollup: those that have not grown for
// idle seconds, and the oldest ones if there are more than MaxIncarnations. An incarnation that
// still grows is that of another process, and stays. Counts of a compacted incarnation that
// arrive from other instances later are dropped, so that tenants may be charged too little, but
// never twice. If another process has compacted the current incarnation, Compact begins a new
// one instead, for which counts is what the meter has counted so far. It reports whether there
// was anything to do.
func (r *Replica) Compact(now, idle float64, counts Counts) bool {
	own := r.state.Instance(r.name)
	if own == nil {
		return false
	}
	if r.incarnation <= own.Rollup.Through { // another process of this name has compacted it
		r.beginIncarnation(max(own.LatestIncarnation(), own.Rollup.Through)+1, counts)
		return true
	}
	ended := r.endedIncarnations(now, idle, own)
	if len(ended) == 0 {
		return false
	}
	next, _ := r.state.Merge(&InstanceUsage{Name: r.name, Rollup: r.rollUp(own.Rollup, ended)})
	r.publish(next)
	return true
}

// beginIncarnation continues under a new incarnation, which counts what the meter adds to counts.
func (r *Replica) beginIncarnation(incarnation uint64, counts Counts) {
	r.baseline = slices.Clone(counts)
	r.incarnation = incarnation
}

// endedIncarnations returns the incarnations that can be compacted, the oldest first.
func (r *Replica) endedIncarnations(now, idle float64, own *InstanceUsage) []IncarnationUsage {
	n := 0
	for n < len(own.Incarnations) && own.Incarnations[n].Incarnation < r.incarnation {
		growing := now-r.lastGrowth[own.Incarnations[n].Incarnation] < idle
		if growing && len(own.Incarnations)-n <= MaxIncarnations {
			break
		}
		n++
	}
	return own.Incarnations[:n]
}

// rollUp returns a rollup with the ended incarnations added, and stops tracking their growth.
func (r *Replica) rollUp(before Rollup, ended []IncarnationUsage) Rollup {
	rollup := Rollup{
		Writer:   r.incarnation,
		Sequence: before.Sequence + 1,
		Through:  ended[len(ended)-1].Incarnation,
		Counts:   before.Counts,
	}
	for _, i := range ended {
		rollup.Counts = addCounts(rollup.Counts, i.Counts)
		delete(r.lastGrowth, i.Incarnation)
		delete(r.lastTotal, i.Incarnation)
	}
	return rollup
}
