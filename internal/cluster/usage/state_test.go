package usage

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawCounts draws counts of tenants 1 to 4.
func drawCounts(t *rapid.T) Counts {
	var counts []TenantCount
	for range rapid.IntRange(0, 5).Draw(t, "counts") {
		started := rapid.Uint64Range(0, 9).Draw(t, "started")
		counts = append(counts, TenantCount{rapid.Uint64Range(1, 4).Draw(t, "tenant"), Count{started, rapid.Uint64Range(0, started).Draw(t, "refunded")}})
	}
	return Normalize(counts)
}

// drawState draws a state that results from merging up to 4 updates.
func drawState(t *rapid.T) State {
	s := EmptyState()
	for range rapid.IntRange(0, 4).Draw(t, "updates") {
		writer := rapid.Uint64Range(0, 4).Draw(t, "writer")
		through := uint64(0)
		if writer > 0 {
			through = rapid.Uint64Range(0, writer-1).Draw(t, "through")
		}
		// Rollups with the same writer and sequence must be equal, as a writer makes one rollup per sequence.
		rollup := Rollup{Writer: writer, Sequence: through, Through: through, Counts: Counts{{1, Count{writer*100 + through, 0}}}}
		if writer == 0 {
			rollup = Rollup{}
		}
		r := &InstanceUsage{Name: rapid.SampledFrom([]string{"a", "b", "ab"}).Draw(t, "name"), Rollup: rollup}
		for i := range uint64(5) {
			if rapid.Bool().Draw(t, "incarnation") {
				r.Incarnations = append(r.Incarnations, IncarnationUsage{i, drawCounts(t)})
			}
		}
		s, _ = s.Merge(r)
	}
	return s
}

// describe returns a state as text, so that states with different memory layouts can be compared.
func describe(s State) string {
	out := ""
	s.ForEach(func(r *InstanceUsage) bool {
		out += fmt.Sprint(r.Name, r.Rollup, r.Incarnations, ";")
		return true
	})
	return out
}

// sumOfInstances adds up the totals of all instances of a state.
func sumOfInstances(s State) Counts {
	var out Counts
	s.ForEach(func(r *InstanceUsage) bool { out = addCounts(out, r.total()); return true })
	return out
}

// withoutZeros drops zero counts. State.Totals may have them, because it adds and subtracts the counts of instances.
func withoutZeros(c Counts) (out Counts) {
	for _, r := range c {
		if r.Count != (Count{}) {
			out = append(out, r)
		}
	}
	return out
}

// Merging any states is commutative, associative and idempotent, and the totals of the result are the sums over its
// instances.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawState(t), drawState(t), drawState(t)
		merge := func(x, y State) State { z, _ := x.MergeState(y); return z }
		if x, y := describe(merge(a, b)), describe(merge(b, a)); x != y {
			t.Fatalf("not commutative:\n%s\n%s", x, y)
		}
		if x, y := describe(merge(merge(a, b), c)), describe(merge(a, merge(b, c))); x != y {
			t.Fatalf("not associative:\n%s\n%s", x, y)
		}
		ab := merge(a, b)
		if z, changed := ab.MergeState(a); changed || describe(z) != describe(ab) {
			t.Fatalf("not idempotent:\n%s\n%s", describe(ab), describe(z))
		}
		if got, want := withoutZeros(ab.Totals()), withoutZeros(sumOfInstances(ab)); !reflect.DeepEqual(got, want) {
			t.Fatalf("got totals %v, want the sum over the instances %v", got, want)
		}
	})
}

func instanceUsage(s *Replica, name string) *InstanceUsage { return s.Snapshot().Instance(name) }

// mergeReplica merges the state of one replica into another.
func mergeReplica(now float64, to *Replica, from *Replica) {
	mergeState(now, to, from.Snapshot())
}

// An instance that restarts 200 times under one name takes bounded memory, because past incarnations are compacted. Its
// total stays exact, and an update from before the compaction must not be counted a second time.
func TestCompactionKeepsTotals(t *testing.T) {
	other := NewReplica("other", 1)
	var old State
	const restarts = 200
	var self *Replica
	for i := range uint64(restarts) {
		self = NewReplica("self", 10+i)
		mergeReplica(float64(i), self, other) // self learns its past incarnations from other
		self.UpdateLocal(Counts{{7, Count{Started: 3, Refunded: 1}}})
		self.Compact(float64(i), 600, nil)
		mergeReplica(float64(i), other, self)
		if i == restarts/2 {
			old = other.Snapshot()
		}
	}
	for _, s := range []*Replica{self, other} {
		r := instanceUsage(s, "self")
		if len(r.Incarnations) > MaxIncarnations+1 || len(r.Rollup.Counts) != 1 {
			t.Errorf("got %d incarnations, want at most MaxIncarnations and the current one, and a rollup with one tenant",
				len(r.Incarnations))
		}
		if got := s.Snapshot().Total(7); got != (Count{3 * restarts, restarts}) {
			t.Errorf("total %v, want 3 started and 1 refunded for each restart", got)
		}
	}
	if other.Merge(0, instancesOf(old)...) || other.Snapshot().Total(7) != (Count{3 * restarts, restarts}) {
		t.Errorf("an update from before the compaction changed the total to %v", other.Snapshot().Total(7))
	}
	// Idle incarnations are compacted after the idle time, all but the current one.
	if !self.Compact(10_000, 600, nil) || len(instanceUsage(self, "self").Incarnations) != 1 {
		t.Errorf("got incarnations %v after compaction, want only the current one", instanceUsage(self, "self").Incarnations)
	}
}

// Two processes run under one name by mistake. Each counts under its own incarnation, and the total includes both.
// Neither process compacts the other's incarnation while its counts grow. A process whose idle incarnation was
// compacted continues under a new incarnation, so that its later counts are not lost.
func TestTwoProcessesWithOneName(t *testing.T) {
	a, b := NewReplica("twin", 5), NewReplica("twin", 9)
	var countsA, countsB Counts
	for i := range 100 {
		now := float64(i)
		countsA, countsB = addCounts(countsA, Counts{{1, Count{Started: 1}}}), addCounts(countsB, Counts{{1, Count{Started: 2}}})
		a.UpdateLocal(countsA)
		b.UpdateLocal(countsB)
		mergeReplica(now, a, b)
		mergeReplica(now, b, a)
		if a.Compact(now, 10, countsA) || b.Compact(now, 10, countsB) {
			t.Fatalf("compacted at %v s while the counts of both incarnations grow", now)
		}
	}
	for _, s := range []*Replica{a, b} {
		if got := s.Snapshot().Total(1).Started; got != 300 {
			t.Errorf("total %d, want 300", got)
		}
	}
	if !b.Compact(500, 10, countsB) {
		t.Fatal("an idle incarnation was not compacted")
	}
	mergeReplica(500, a, b)
	if !a.Compact(500, 10, countsA) || a.Incarnation() <= 9 {
		t.Fatalf("got incarnation %d after the idle one was compacted, want a new one above 9", a.Incarnation())
	}
	a.UpdateLocal(addCounts(countsA, Counts{{1, Count{Started: 1}}}))
	mergeReplica(501, b, a)
	if got := b.Snapshot().Total(1).Started; got != 301 {
		t.Errorf("total %d, want 301", got)
	}
}

// An update from elsewhere with a higher count for a replica's current incarnation is ignored, because only the replica
// itself counts under that incarnation.
func TestUpdateOfOwnIncarnationIsIgnored(t *testing.T) {
	s := NewReplica("s", 3)
	s.UpdateLocal(Counts{{1, Count{Started: 1}}})
	s.Merge(0, &InstanceUsage{Name: "s", Incarnations: []IncarnationUsage{{3, Counts{{1, Count{Started: 50}}}}}})
	if got := s.Snapshot().Total(1).Started; got != 1 {
		t.Errorf("total %d, want 1", got)
	}
}

func TestInstanceCountIsBounded(t *testing.T) {
	s := NewReplica("s", 1)
	for i := range MaxInstances + 50 {
		s.Merge(0, &InstanceUsage{Name: fmt.Sprint("n", i), Incarnations: []IncarnationUsage{{1, Counts{{1, Count{Started: 1}}}}}})
	}
	if s.Snapshot().Len() > MaxInstances || s.Rejected() < 50 {
		t.Errorf("%d instances known and %d updates rejected, want at most MaxInstances and at least 50",
			s.Snapshot().Len(), s.Rejected())
	}
}

func TestTenantIDDependsOnSettings(t *testing.T) {
	id := TenantID("a", 1, 1)
	if again := TenantID("a", 1, 1); id == TenantID("a", 2, 1) || id == TenantID("a", 1, 2) || id != again {
		t.Error("tenant ids should differ exactly if quota or weight differ")
	}
}

func TestMeter(t *testing.T) {
	m := NewMeter([]Tenant{{"b", 9}, {"a", 4}})
	m.RecordStart("a", 2.5)
	m.RecordRefund("a", 1)
	m.RecordArrival("b")
	m.RecordStart("unknown", 1)
	if got := m.Counts(); !reflect.DeepEqual(got, Counts{{4, Count{2500, 1000}}}) {
		t.Errorf("got counts %v, want 2500 started and 1000 refunded of tenant 4", got)
	}
	if got := m.Arrivals(nil); !reflect.DeepEqual(got, []uint64{0, 1}) {
		t.Errorf("got arrivals %v, want 0 of tenant 4 and 1 of tenant 9", got)
	}
	if n := testing.AllocsPerRun(100, func() { m.RecordStart("a", 1) }); n > 0 {
		t.Errorf("RecordStart allocates %v times, want 0", n)
	}
}

// distinctCounts returns counts of n tenants: factor, 2*factor and so on up to n*factor.
func distinctCounts(n int, factor uint64) Counts {
	c := make(Counts, n)
	for i := range c {
		c[i] = TenantCount{uint64(i) * 7, Count{factor * uint64(i+1), 0}}
	}
	return c
}

func BenchmarkStart(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n, "tenants"), func(b *testing.B) {
			var list []Tenant
			for i := range n {
				list = append(list, Tenant{fmt.Sprint("tenant-", i), rand.Uint64()})
			}
			m := NewMeter(list)
			b.ReportAllocs()
			for i := range b.N {
				m.RecordStart(list[i%n].Name, 1)
			}
		})
	}
}

// BenchmarkMerge merges an update in which every count has changed, for different numbers of tenants and of known
// instances.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		for _, instances := range []int{5, 200} {
			b.Run(fmt.Sprint(n, "tenants-", instances, "instances"), func(b *testing.B) {
				s := NewReplica("self", 1)
				for i := range instances {
					s.Merge(0, &InstanceUsage{Name: fmt.Sprint(i), Incarnations: []IncarnationUsage{{1, distinctCounts(n, 1)}}})
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					s.Merge(0, &InstanceUsage{Name: "0", Incarnations: []IncarnationUsage{{1, distinctCounts(n, uint64(i+2))}}})
				}
			})
		}
	}
}

// BenchmarkSnapshotWhileWritten takes snapshots while another goroutine writes.
func BenchmarkSnapshotWhileWritten(b *testing.B) {
	s := NewReplica("self", 1)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := uint64(1); ; i++ {
			select {
			case <-stop:
				return
			default:
				s.UpdateLocal(distinctCounts(1000, i))
			}
		}
	}()
	b.ReportAllocs()
	for range b.N {
		if s.Snapshot().Total(7).Started == 1 {
			b.Fatal("a snapshot has a count that was never written")
		}
	}
	close(stop)
	<-done
}
