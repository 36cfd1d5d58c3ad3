package counts

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func column(t *rapid.T) Column {
	var rows []Row
	for range rapid.IntRange(0, 5).Draw(t, "rows") {
		starts := rapid.Uint64Range(0, 9).Draw(t, "starts")
		rows = append(rows, Row{rapid.Uint64Range(1, 4).Draw(t, "tenant"), Pair{starts, rapid.Uint64Range(0, starts).Draw(t, "backs")}})
	}
	return Normal(rows)
}

func states(t *rapid.T) State {
	s := Empty()
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		by := rapid.Uint64Range(0, 4).Draw(t, "by")
		through := uint64(0)
		if by > 0 {
			through = rapid.Uint64Range(0, by-1).Draw(t, "through")
		}
		// A fold is one thing: whoever names it by the same stamp means the same.
		f := Fold{By: by, Seq: through, Through: through, Rows: Column{{1, Pair{by*100 + through, 0}}}}
		if by == 0 {
			f = Fold{}
		}
		r := &Record{Name: rapid.SampledFrom([]string{"a", "b", "ab"}).Draw(t, "name"), Fold: f}
		for i := range uint64(5) {
			if rapid.Bool().Draw(t, "life") {
				r.Lives = append(r.Lives, Life{i, column(t)})
			}
		}
		s, _ = s.Merge(r)
	}
	return s
}

// plain is a state without its sharing, to be compared.
func plain(s State) string {
	out := ""
	s.Each(func(r *Record) bool {
		out += fmt.Sprint(r.Name, r.Fold, r.Lives, ";")
		return true
	})
	return out
}

func totals(s State) Column {
	var out Column
	s.Each(func(r *Record) bool { out = sum(out, r.total()); return true })
	return out
}

// compact drops rows that say nothing: tenants whose counts were all undone.
func compact(c Column) (out Column) {
	for _, r := range c {
		if r.Pair != (Pair{}) {
			out = append(out, r)
		}
	}
	return out
}

// Whatever is known where, joining is commutative, associative and idempotent,
// and the totals are those of the records.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := states(t), states(t), states(t)
		join := func(x, y State) State { z, _ := x.Join(y); return z }
		if x, y := plain(join(a, b)), plain(join(b, a)); x != y {
			t.Fatalf("not commutative:\n%s\n%s", x, y)
		}
		if x, y := plain(join(join(a, b), c)), plain(join(a, join(b, c))); x != y {
			t.Fatalf("not associative:\n%s\n%s", x, y)
		}
		ab := join(a, b)
		if z, changed := ab.Join(a); changed || plain(z) != plain(ab) {
			t.Fatalf("not idempotent:\n%s\n%s", plain(ab), plain(z))
		}
		if got, want := compact(ab.Totals()), compact(totals(ab)); !reflect.DeepEqual(got, want) {
			t.Fatalf("totals %v, records say %v", got, want)
		}
	})
}

// A random run of a cluster against the plainest model, a list of what was
// really started: instances count, restart without memory, hear each other in
// any order with losses and repeats. No view is ever above the truth or below
// what it was before, and when all have heard all, every view is the truth.
func TestAnyOrderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const names, tenants = 4, 3
		type instance struct {
			set  *Set
			rows Column
			seen map[uint64]uint64
		}
		var truth [tenants + 1]uint64
		lives := uint64(0)
		start := func(i int) *instance {
			lives++
			return &instance{set: NewSet(fmt.Sprint(i), lives), seen: map[uint64]uint64{}}
		}
		all := make([]*instance, names)
		for i := range all {
			all[i] = start(i)
		}
		var air []State // everything ever sent, to come again at any time
		send := func(i int) {
			in := all[i]
			in.set.Count(in.rows)
			air = append(air, in.set.Snapshot())
		}
		look := func(in *instance) {
			for tenant := range uint64(tenants) {
				got := in.set.Snapshot().Total(tenant + 1).Starts
				if got < in.seen[tenant] || got > truth[tenant+1] {
					t.Fatalf("tenant %d counts %d, was %d, truth %d", tenant, got, in.seen[tenant], truth[tenant+1])
				}
				in.seen[tenant] = got
			}
		}
		hear := func(i int, s State) {
			var news []*Record
			s.Each(func(r *Record) bool { news = append(news, r); return true })
			all[i].set.Merge(0, news...)
			look(all[i])
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, names-1).Draw(t, "who")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				tenant := rapid.Uint64Range(1, tenants).Draw(t, "tenant")
				all[i].rows = sum(all[i].rows, Column{{tenant, Pair{Starts: 1}}})
				truth[tenant]++
			case 1:
				send(i)
			case 2:
				if len(air) > 0 {
					hear(i, air[rapid.IntRange(0, len(air)-1).Draw(t, "news")])
				}
			case 3: // dies, after it had sent what it had counted or not
				if rapid.Bool().Draw(t, "sent") {
					send(i)
				} else {
					for _, r := range all[i].rows {
						mine, _ := all[i].set.Snapshot().Record(fmt.Sprint(i)).Life(all[i].set.Incarnation())
						truth[r.Tenant] -= r.Starts - mine.At(r.Tenant).Starts
					}
					air = append(air, all[i].set.Snapshot())
				}
				all[i] = start(i)
			}
		}
		for i := range all {
			send(i)
		}
		for i := range all {
			for _, s := range air {
				hear(i, s)
			}
			for tenant := range uint64(tenants) {
				if got := all[i].set.Snapshot().Total(tenant + 1).Starts; got != truth[tenant+1] {
					t.Fatalf("instance %d counts %d of tenant %d, truth %d", i, got, tenant, truth[tenant+1])
				}
			}
		}
	})
}

func record(s *Set, name string) *Record { return s.Snapshot().Record(name) }

// tell gives one instance all that another knows.
func tell(now float64, to *Set, from *Set) {
	var news []*Record
	from.Snapshot().Each(func(r *Record) bool { news = append(news, r); return true })
	to.Merge(now, news...)
}

// An instance that restarts for ever under one name costs bounded memory, its
// sum stays exact, and a message from before the folding changes nothing.
func TestRestartsFoldWithoutChargingTwice(t *testing.T) {
	other := NewSet("other", 1)
	var old State
	const restarts = 200
	var self *Set
	for i := range uint64(restarts) {
		self = NewSet("self", 10+i)
		tell(float64(i), self, other) // it learns its own past from the other
		self.Count(Column{{7, Pair{Starts: 3, Backs: 1}}})
		self.Folded(float64(i), 600, nil)
		tell(float64(i), other, self)
		if i == restarts/2 {
			old = other.Snapshot()
		}
	}
	for _, s := range []*Set{self, other} {
		r := record(s, "self")
		if len(r.Lives) > MaxLives+1 || len(r.Fold.Rows) != 1 {
			t.Errorf("%d lives are kept apart", len(r.Lives))
		}
		if got := s.Snapshot().Total(7); got != (Pair{3 * restarts, restarts}) {
			t.Errorf("total %v", got)
		}
	}
	var news []*Record
	old.Each(func(r *Record) bool { news = append(news, r); return true })
	if other.Merge(0, news...) || other.Snapshot().Total(7) != (Pair{3 * restarts, restarts}) {
		t.Errorf("old news changed the total to %v", other.Snapshot().Total(7))
	}
	// Quiet lives are folded after the settling time, all but the present one.
	if !self.Folded(10_000, 600, nil) || len(record(self, "self").Lives) != 1 {
		t.Errorf("lives left: %v", record(self, "self").Lives)
	}
}

// Two processes by mistake under one name: each counts in a life of its own,
// the sum holds both, and neither folds the other while it grows. One that was
// folded all the same, since it was quiet, goes on under a new number.
func TestTwoUnderOneName(t *testing.T) {
	a, b := NewSet("twin", 5), NewSet("twin", 9)
	var rowsA, rowsB Column
	for i := range 100 {
		now := float64(i)
		rowsA, rowsB = sum(rowsA, Column{{1, Pair{Starts: 1}}}), sum(rowsB, Column{{1, Pair{Starts: 2}}})
		a.Count(rowsA)
		b.Count(rowsB)
		tell(now, a, b)
		tell(now, b, a)
		if a.Folded(now, 10, rowsA) || b.Folded(now, 10, rowsB) {
			t.Fatalf("folded at %v while both live", now)
		}
	}
	for _, s := range []*Set{a, b} {
		if got := s.Snapshot().Total(1).Starts; got != 300 {
			t.Errorf("total %d, want 300", got)
		}
	}
	if !b.Folded(500, 10, rowsB) {
		t.Fatal("a quiet life was not folded")
	}
	tell(500, a, b)
	if !a.Folded(500, 10, rowsA) || a.Incarnation() <= 9 {
		t.Fatalf("goes on as %d", a.Incarnation())
	}
	a.Count(sum(rowsA, Column{{1, Pair{Starts: 1}}}))
	tell(501, b, a)
	if got := b.Snapshot().Total(1).Starts; got != 301 {
		t.Errorf("total %d, want 301", got)
	}
}

// News that claims to know more of this life than it does itself is not believed.
func TestNobodyElseWritesOurLife(t *testing.T) {
	s := NewSet("s", 3)
	s.Count(Column{{1, Pair{Starts: 1}}})
	s.Merge(0, &Record{Name: "s", Lives: []Life{{3, Column{{1, Pair{Starts: 50}}}}}})
	if got := s.Snapshot().Total(1).Starts; got != 1 {
		t.Errorf("total %d", got)
	}
}

func TestNamesAreBounded(t *testing.T) {
	s := NewSet("s", 1)
	for i := range MaxNames + 50 {
		s.Merge(0, &Record{Name: fmt.Sprint("n", i), Lives: []Life{{1, Column{{1, Pair{Starts: 1}}}}}})
	}
	if s.Snapshot().Len() > MaxNames || s.Refused() < 50 {
		t.Errorf("%d names, %d refused", s.Snapshot().Len(), s.Refused())
	}
}

func TestTenantsDifferByFigures(t *testing.T) {
	if ID("a", 1, 1) == ID("a", 2, 1) || ID("a", 1, 1) == ID("a", 1, 2) || ID("a", 1, 1) != ID("a", 1, 1) {
		t.Error("ids do not follow the figures")
	}
}

func TestMeter(t *testing.T) {
	m := NewMeter([]Tenant{{"b", 9}, {"a", 4}})
	m.Start("a", 2.5)
	m.Back("a", 1)
	m.Asked("b")
	m.Start("nobody", 1)
	if got := m.Rows(); !reflect.DeepEqual(got, Column{{4, Pair{2500, 1000}}}) {
		t.Errorf("rows %v", got)
	}
	if got := m.Demand(nil); !reflect.DeepEqual(got, []uint64{0, 1}) {
		t.Errorf("demand %v", got)
	}
	if n := testing.AllocsPerRun(100, func() { m.Start("a", 1) }); n > 0 {
		t.Errorf("counting allocates %v times", n)
	}
}

func many(n int, by uint64) Column {
	c := make(Column, n)
	for i := range c {
		c[i] = Row{uint64(i) * 7, Pair{by * uint64(i+1), 0}}
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
				m.Start(list[i%n].Name, 1)
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
				s := NewSet("self", 1)
				for i := range instances {
					s.Merge(0, &Record{Name: fmt.Sprint(i), Lives: []Life{{1, many(n, 1)}}})
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					s.Merge(0, &Record{Name: "0", Lives: []Life{{1, many(n, uint64(i+2))}}})
				}
			})
		}
	}
}

// Readers take snapshots while one goroutine writes.
func BenchmarkSnapshotWhileWritten(b *testing.B) {
	s := NewSet("self", 1)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := uint64(1); ; i++ {
			select {
			case <-stop:
				return
			default:
				s.Count(many(1000, i))
			}
		}
	}()
	b.ReportAllocs()
	for range b.N {
		if s.Snapshot().Total(7).Starts == 1 {
			b.Fatal("torn")
		}
	}
	close(stop)
	<-done
}
