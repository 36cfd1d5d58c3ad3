package usage

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawCounts(t *rapid.T) Counts {
	var rows []TenantCount
	for range rapid.IntRange(0, 5).Draw(t, "rows") {
		starts := rapid.Uint64Range(0, 9).Draw(t, "starts")
		rows = append(rows, TenantCount{rapid.Uint64Range(1, 4).Draw(t, "tenant"), Count{starts, rapid.Uint64Range(0, starts).Draw(t, "backs")}})
	}
	return Normalize(rows)
}

func drawState(t *rapid.T) State {
	s := EmptyState()
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		by := rapid.Uint64Range(0, 4).Draw(t, "by")
		through := uint64(0)
		if by > 0 {
			through = rapid.Uint64Range(0, by-1).Draw(t, "through")
		}
		// A fold is one thing: whoever names it by the same stamp means the same.
		f := Rollup{Writer: by, Sequence: through, Through: through, Counts: Counts{{1, Count{by*100 + through, 0}}}}
		if by == 0 {
			f = Rollup{}
		}
		r := &InstanceUsage{Name: rapid.SampledFrom([]string{"a", "b", "ab"}).Draw(t, "name"), Rollup: f}
		for i := range uint64(5) {
			if rapid.Bool().Draw(t, "life") {
				r.Incarnations = append(r.Incarnations, IncarnationUsage{i, drawCounts(t)})
			}
		}
		s, _ = s.Merge(r)
	}
	return s
}

// describe is a state without its sharing, to be compared.
func describe(s State) string {
	out := ""
	s.ForEach(func(r *InstanceUsage) bool {
		out += fmt.Sprint(r.Name, r.Rollup, r.Incarnations, ";")
		return true
	})
	return out
}

func sumOfInstances(s State) Counts {
	var out Counts
	s.ForEach(func(r *InstanceUsage) bool { out = addCounts(out, r.total()); return true })
	return out
}

// withoutZeros drops rows that say nothing: tenants whose counts were all undone.
func withoutZeros(c Counts) (out Counts) {
	for _, r := range c {
		if r.Count != (Count{}) {
			out = append(out, r)
		}
	}
	return out
}

// Whatever is known where, joining is commutative, associative and idempotent,
// and the totals are those of the records.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawState(t), drawState(t), drawState(t)
		join := func(x, y State) State { z, _ := x.MergeState(y); return z }
		if x, y := describe(join(a, b)), describe(join(b, a)); x != y {
			t.Fatalf("not commutative:\n%s\n%s", x, y)
		}
		if x, y := describe(join(join(a, b), c)), describe(join(a, join(b, c))); x != y {
			t.Fatalf("not associative:\n%s\n%s", x, y)
		}
		ab := join(a, b)
		if z, changed := ab.MergeState(a); changed || describe(z) != describe(ab) {
			t.Fatalf("not idempotent:\n%s\n%s", describe(ab), describe(z))
		}
		if got, want := withoutZeros(ab.Totals()), withoutZeros(sumOfInstances(ab)); !reflect.DeepEqual(got, want) {
			t.Fatalf("totals %v, records say %v", got, want)
		}
	})
}

func instanceUsage(s *Replica, name string) *InstanceUsage { return s.Snapshot().Instance(name) }

// mergeReplica gives one instance all that another knows.
func mergeReplica(now float64, to *Replica, from *Replica) {
	mergeState(now, to, from.Snapshot())
}

// An instance that restarts for ever under one name costs bounded memory, its
// sum stays exact, and a message from before the folding changes nothing.
func TestCompactionKeepsTotals(t *testing.T) {
	other := NewReplica("other", 1)
	var old State
	const restarts = 200
	var self *Replica
	for i := range uint64(restarts) {
		self = NewReplica("self", 10+i)
		mergeReplica(float64(i), self, other) // it learns its own past from the other
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
			t.Errorf("%d incarnations are kept apart", len(r.Incarnations))
		}
		if got := s.Snapshot().Total(7); got != (Count{3 * restarts, restarts}) {
			t.Errorf("total %v", got)
		}
	}
	if other.Merge(0, instancesOf(old)...) || other.Snapshot().Total(7) != (Count{3 * restarts, restarts}) {
		t.Errorf("an old message changed the total to %v", other.Snapshot().Total(7))
	}
	// Idle incarnations are compacted after the idle time, all but the current one.
	if !self.Compact(10_000, 600, nil) || len(instanceUsage(self, "self").Incarnations) != 1 {
		t.Errorf("incarnations left: %v", instanceUsage(self, "self").Incarnations)
	}
}

// Two processes by mistake under one name: each counts in its own incarnation, the sum
// holds both, and neither compacts the other while it grows. One that was compacted all the
// same, since it was idle, goes on under a new incarnation.
func TestTwoProcessesWithOneName(t *testing.T) {
	a, b := NewReplica("twin", 5), NewReplica("twin", 9)
	var rowsA, rowsB Counts
	for i := range 100 {
		now := float64(i)
		rowsA, rowsB = addCounts(rowsA, Counts{{1, Count{Started: 1}}}), addCounts(rowsB, Counts{{1, Count{Started: 2}}})
		a.UpdateLocal(rowsA)
		b.UpdateLocal(rowsB)
		mergeReplica(now, a, b)
		mergeReplica(now, b, a)
		if a.Compact(now, 10, rowsA) || b.Compact(now, 10, rowsB) {
			t.Fatalf("compacted at %v while both grow", now)
		}
	}
	for _, s := range []*Replica{a, b} {
		if got := s.Snapshot().Total(1).Started; got != 300 {
			t.Errorf("total %d, want 300", got)
		}
	}
	if !b.Compact(500, 10, rowsB) {
		t.Fatal("an idle incarnation was not compacted")
	}
	mergeReplica(500, a, b)
	if !a.Compact(500, 10, rowsA) || a.Incarnation() <= 9 {
		t.Fatalf("goes on as %d", a.Incarnation())
	}
	a.UpdateLocal(addCounts(rowsA, Counts{{1, Count{Started: 1}}}))
	mergeReplica(501, b, a)
	if got := b.Snapshot().Total(1).Started; got != 301 {
		t.Errorf("total %d, want 301", got)
	}
}

// An update that claims more of this incarnation than it counted itself is ignored.
func TestUpdateOfOwnIncarnationIsIgnored(t *testing.T) {
	s := NewReplica("s", 3)
	s.UpdateLocal(Counts{{1, Count{Started: 1}}})
	s.Merge(0, &InstanceUsage{Name: "s", Incarnations: []IncarnationUsage{{3, Counts{{1, Count{Started: 50}}}}}})
	if got := s.Snapshot().Total(1).Started; got != 1 {
		t.Errorf("total %d", got)
	}
}

func TestInstanceCountIsBounded(t *testing.T) {
	s := NewReplica("s", 1)
	for i := range MaxInstances + 50 {
		s.Merge(0, &InstanceUsage{Name: fmt.Sprint("n", i), Incarnations: []IncarnationUsage{{1, Counts{{1, Count{Started: 1}}}}}})
	}
	if s.Snapshot().Len() > MaxInstances || s.Rejected() < 50 {
		t.Errorf("%d names, %d refused", s.Snapshot().Len(), s.Rejected())
	}
}

func TestTenantIDDependsOnSettings(t *testing.T) {
	id := TenantID("a", 1, 1)
	if again := TenantID("a", 1, 1); id == TenantID("a", 2, 1) || id == TenantID("a", 1, 2) || id != again {
		t.Error("ids do not follow the figures")
	}
}

func TestMeter(t *testing.T) {
	m := NewMeter([]Tenant{{"b", 9}, {"a", 4}})
	m.RecordStart("a", 2.5)
	m.RecordRefund("a", 1)
	m.RecordArrival("b")
	m.RecordStart("nobody", 1)
	if got := m.Counts(); !reflect.DeepEqual(got, Counts{{4, Count{2500, 1000}}}) {
		t.Errorf("rows %v", got)
	}
	if got := m.Arrivals(nil); !reflect.DeepEqual(got, []uint64{0, 1}) {
		t.Errorf("demand %v", got)
	}
	if n := testing.AllocsPerRun(100, func() { m.RecordStart("a", 1) }); n > 0 {
		t.Errorf("counting allocates %v times", n)
	}
}

func distinctCounts(n int, by uint64) Counts {
	c := make(Counts, n)
	for i := range c {
		c[i] = TenantCount{uint64(i) * 7, Count{by * uint64(i+1), 0}}
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

// A message in which every row is new, at 10 and 100 times the size too, with
// so many other instances known.
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

// Readers take snapshots while one goroutine writes.
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
			b.Fatal("torn")
		}
	}
	close(stop)
	<-done
}
