// Package counts keeps how much of each tenant's work every instance of a
// cluster has started: a state-based counter that needs no leader.
//
// A [State] is immutable. Merging two is commutative, associative and
// idempotent, so that lost, late, repeated and reordered news all lead to the
// same figures. The package does no I/O, reads no clock and starts no
// goroutine; a [Set] belongs to one goroutine, its snapshots to anybody. The
// one exception is the [Meter], whose cells may be read while they are written.
//
// Amounts are in thousandths of a slot, so that sums are exact.
package counts

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Unit is how many of the counted amounts make one slot.
const Unit = 1000

// Milli is a size in slots as a counted amount. What is no size counts for nothing.
func Milli(slots float64) uint64 {
	if !(slots > 0) || slots > math.MaxUint32 {
		return 0
	}
	return uint64(math.Round(slots * Unit))
}

// ID names a tenant between instances. Quota (jobs a second) and weight belong
// to it: two instances that were told different figures mean different things
// by a part of the reservation, so they must not lend each other any.
func ID(name string, quota, weight float64) uint64 {
	var raw [16]byte
	put := func(at int, v float64) {
		for i, bits := 0, math.Float64bits(v); i < 8; i++ {
			raw[at+i] = byte(bits >> (8 * i))
		}
	}
	put(0, quota)
	put(8, weight)
	d := xxhash.New()
	d.WriteString(name)
	d.Write([]byte{0})
	d.Write(raw[:])
	return d.Sum64()
}

// Pair is what one tenant's jobs came to. Both figures only ever grow.
type Pair struct {
	Starts uint64 // sent to a worker
	Backs  uint64 // of those, proved never to have run
}

// Net is what remains charged.
func (p Pair) Net() int64 { return int64(p.Starts) - int64(p.Backs) }

// Row is one tenant's part of a column.
type Row struct {
	Tenant uint64
	Pair
}

// Column holds rows in the order of their tenants, each tenant once.
type Column []Row

// At returns a tenant's pair, zero if there is none.
func (c Column) At(tenant uint64) Pair {
	i, ok := slices.BinarySearchFunc(c, tenant, func(r Row, t uint64) int { return cmp.Compare(r.Tenant, t) })
	if !ok {
		return Pair{}
	}
	return c[i].Pair
}

// Normal sorts rows of any order, joins repeated tenants by their maximum and
// leaves out those that say nothing. Rows from outside must pass through it.
func Normal(rows []Row) Column {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Pair == Pair{} })
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Tenant, b.Tenant) })
	out := rows[:0]
	for _, r := range rows {
		if n := len(out); n > 0 && out[n-1].Tenant == r.Tenant {
			out[n-1].Pair = most(out[n-1].Pair, r.Pair)
			continue
		}
		out = append(out, r)
	}
	return out
}

func most(a, b Pair) Pair { return Pair{max(a.Starts, b.Starts), max(a.Backs, b.Backs)} }

// join is a walk over two columns side by side. It returns a itself where b
// brings nothing, so that unchanged columns stay shared.
func join(a, b Column, by func(x, y Pair) Pair) (Column, bool) {
	fresh := func() bool {
		for i, k := 0, 0; k < len(b); k++ {
			for i < len(a) && a[i].Tenant < b[k].Tenant {
				i++
			}
			var had Pair
			if i < len(a) && a[i].Tenant == b[k].Tenant {
				had = a[i].Pair
			}
			if by(had, b[k].Pair) != had {
				return true
			}
		}
		return false
	}
	if !fresh() {
		return a, false
	}
	out := make(Column, 0, max(len(a), len(b)))
	i, k := 0, 0
	for i < len(a) || k < len(b) {
		switch {
		case k == len(b) || i < len(a) && a[i].Tenant < b[k].Tenant:
			out = append(out, a[i])
			i++
		case i == len(a) || b[k].Tenant < a[i].Tenant:
			out = append(out, Row{b[k].Tenant, by(Pair{}, b[k].Pair)})
			k++
		default:
			out = append(out, Row{a[i].Tenant, by(a[i].Pair, b[k].Pair)})
			i, k = i+1, k+1
		}
	}
	return out, true
}

func sum(a, b Column) Column {
	out, _ := join(a, b, func(x, y Pair) Pair { return Pair{x.Starts + y.Starts, x.Backs + y.Backs} })
	return out
}

// Life is what one incarnation of an instance has counted.
type Life struct {
	Incarnation uint64
	Rows        Column
}

// Fold is the sum of an instance's past lives. Only the latest incarnation of
// the instance writes it, and a later one replaces an earlier one whole: two
// folds made apart could never be joined without losing or doubling something.
type Fold struct {
	By, Seq uint64 // the incarnation that wrote it, and which of its folds this is
	Through uint64 // lives up to this incarnation are in it
	Rows    Column
}

func (f Fold) less(o Fold) bool {
	if f.By != o.By {
		return f.By < o.By
	}
	return f.Seq < o.Seq
}

// Record is all that is known of one instance.
type Record struct {
	Name  string
	Fold  Fold
	Lives []Life // by incarnation, each above Fold.Through
}

// Life returns an incarnation's column.
func (r *Record) Life(incarnation uint64) (Column, bool) {
	if r == nil {
		return nil, false
	}
	for _, l := range r.Lives {
		if l.Incarnation == incarnation {
			return l.Rows, true
		}
	}
	return nil, false
}

// Latest is the highest incarnation heard of.
func (r *Record) Latest() uint64 {
	if r == nil {
		return 0
	}
	if n := len(r.Lives); n > 0 {
		return r.Lives[n-1].Incarnation
	}
	return r.Fold.Through
}

func (r *Record) total() (t Column) {
	if r == nil {
		return nil
	}
	t = r.Fold.Rows
	for _, l := range r.Lives {
		t = sum(t, l.Rows)
	}
	return t
}

// merge joins two records of one instance.
func (r *Record) merge(o *Record) (*Record, bool) {
	if r == nil {
		// What it says must hold for itself: no life that its own fold covers.
		out := &Record{Name: o.Name, Fold: o.Fold}
		for _, l := range o.Lives {
			if l.Incarnation > o.Fold.Through {
				out.Lives = append(out.Lives, l)
			}
		}
		return out, true
	}
	out, changed := &Record{Name: r.Name, Fold: r.Fold}, false
	if r.Fold.less(o.Fold) {
		out.Fold, changed = o.Fold, true
		// A later fold covers no less than an earlier one.
		out.Fold.Through = max(r.Fold.Through, o.Fold.Through)
	} else if o.Fold.Through > r.Fold.Through {
		out.Fold.Through, changed = o.Fold.Through, true
	}
	i, k := 0, 0
	for i < len(r.Lives) || k < len(o.Lives) {
		var l Life
		switch {
		case k == len(o.Lives) || i < len(r.Lives) && r.Lives[i].Incarnation < o.Lives[k].Incarnation:
			l = r.Lives[i]
			i++
		case i == len(r.Lives) || o.Lives[k].Incarnation < r.Lives[i].Incarnation:
			l = o.Lives[k]
			k++
			changed = changed || l.Incarnation > out.Fold.Through
		default:
			var more bool
			l = r.Lives[i]
			l.Rows, more = join(l.Rows, o.Lives[k].Rows, most)
			i, k = i+1, k+1
			changed = changed || more
		}
		if l.Incarnation > out.Fold.Through {
			out.Lives = append(out.Lives, l)
		}
	}
	if !changed {
		return r, false
	}
	return out, true
}

// State is what one instance knows of all. It is never changed; merging
// returns a new one that shares what stayed the same.
type State struct {
	records *iradix.Tree[*Record]
	totals  Column
}

// Empty is the state of an instance that has heard nothing yet.
func Empty() State { return State{records: iradix.New[*Record]()} }

// Total is a tenant's count over all instances.
func (s State) Total(tenant uint64) Pair { return s.totals.At(tenant) }

// Totals are all tenants' counts. The caller must not change them.
func (s State) Totals() Column { return s.totals }

// Len is how many instances were ever heard of.
func (s State) Len() int { return s.records.Len() }

// Record returns what is known of one instance, nil if nothing is.
func (s State) Record(name string) *Record {
	r, _ := s.records.Get([]byte(name))
	return r
}

// Each calls f for every instance by name until it returns false.
func (s State) Each(f func(*Record) bool) {
	s.records.Root().Walk(func(_ []byte, r *Record) bool { return !f(r) })
}

// Merge joins what another instance knows into the state and says whether that
// brought anything new.
func (s State) Merge(news ...*Record) (State, bool) {
	var txn *iradix.Txn[*Record]
	totals := s.totals
	for _, o := range news {
		var old *Record
		if txn != nil {
			old, _ = txn.Get([]byte(o.Name))
		} else {
			old = s.Record(o.Name)
		}
		next, changed := old.merge(o)
		if !changed {
			continue
		}
		if txn == nil {
			txn = s.records.Txn()
		}
		txn.Insert([]byte(o.Name), next)
		totals = shift(totals, old, next)
	}
	if txn == nil {
		return s, false
	}
	return State{records: txn.Commit(), totals: totals}, true
}

// Join is Merge with all of another state.
func (s State) Join(o State) (State, bool) {
	var news []*Record
	o.Each(func(r *Record) bool { news = append(news, r); return true })
	return s.Merge(news...)
}

// shift moves the totals from a record's old sum to its new one. Where only
// lives grew, as nearly always, the rows that did not change cost a comparison.
func shift(totals Column, old, next *Record) Column {
	was, is := old.total(), next.total()
	diff := make(Column, 0, 8)
	add := func(t uint64, a, b Pair) {
		if a != b { // differences wrap round and so do the sums: negative ones come out right
			diff = append(diff, Row{t, Pair{b.Starts - a.Starts, b.Backs - a.Backs}})
		}
	}
	i, k := 0, 0
	for i < len(was) || k < len(is) {
		switch {
		case k == len(is) || i < len(was) && was[i].Tenant < is[k].Tenant:
			add(was[i].Tenant, was[i].Pair, Pair{})
			i++
		case i == len(was) || is[k].Tenant < was[i].Tenant:
			add(is[k].Tenant, Pair{}, is[k].Pair)
			k++
		default:
			add(is[k].Tenant, was[i].Pair, is[k].Pair)
			i, k = i+1, k+1
		}
	}
	return sum(totals, diff)
}
