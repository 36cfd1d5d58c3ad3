package counts

import (
	"slices"
	"sync/atomic"
)

// Limits of what is kept of one instance.
const (
	MaxLives = 8 // past lives kept apart at most; more are folded at once
	MaxNames = 1024
)

// Set is one instance's state with its own place in it. All methods but
// Snapshot belong to one goroutine. Times are in seconds on its owner's clock.
type Set struct {
	name  string
	self  uint64 // the present incarnation
	state State
	snap  atomic.Pointer[State]

	heard  map[uint64]float64 // own name's other lives: when each last grew
	sizes  map[uint64]uint64  // and how much they had counted then
	twin   uint64             // a life of this name that grew while this one lived
	refuse uint64             // records beyond MaxNames
	base   Column             // what this life had counted when its present number began
}

// NewSet begins a life. Incarnations of one name should grow from start to
// start, and no two may ever be the same: start time in milliseconds, then
// random bits. One that does not grow costs nothing but later folding.
func NewSet(name string, incarnation uint64) *Set {
	s := &Set{name: name, self: incarnation, state: Empty(), heard: map[uint64]float64{}, sizes: map[uint64]uint64{}}
	s.publish(s.state)
	return s
}

// Incarnation is the present life's number. It changes only if another life of
// the same name folded this one away.
func (s *Set) Incarnation() uint64 { return s.self }

// Snapshot is the state as of now, for any goroutine.
func (s *Set) Snapshot() State { return *s.snap.Load() }

// Refused counts records that were dropped since MaxNames instances are known.
func (s *Set) Refused() uint64 { return s.refuse }

func (s *Set) publish(st State) {
	s.state = st
	s.snap.Store(&st)
}

// Count takes in what this life has counted so far, by its meter.
func (s *Set) Count(rows Column) bool {
	mine := s.since(rows)
	next, changed := s.state.Merge(&Record{Name: s.name, Lives: []Life{{s.self, mine}}})
	if changed {
		s.publish(next)
	}
	return changed
}

// since takes off what was counted under an earlier number of this life.
func (s *Set) since(rows Column) Column {
	if len(s.base) == 0 {
		return rows
	}
	out := make(Column, 0, len(rows))
	for _, r := range rows {
		had := s.base.At(r.Tenant)
		r.Starts, r.Backs = r.Starts-min(had.Starts, r.Starts), r.Backs-min(had.Backs, r.Backs)
		out = append(out, r)
	}
	return out
}

// Merge takes in news of others at time now. What they say of this life itself
// can be no more than it told them, so it changes nothing.
func (s *Set) Merge(now float64, news ...*Record) bool {
	kept := make([]*Record, 0, len(news))
	for _, r := range news {
		if r.Name != s.name && s.state.Len() >= MaxNames && s.state.Record(r.Name) == nil {
			s.refuse++
			continue
		}
		kept = append(kept, s.guard(r))
	}
	next, changed := s.state.Merge(kept...)
	if !changed {
		return false
	}
	s.publish(next)
	s.watch(now)
	return true
}

// guard drops the present life from others' news of this instance. Nobody else
// writes it: a figure above ours is a forgery, or another process that drew
// the same number, and must not be taken for what this one has counted.
func (s *Set) guard(r *Record) *Record {
	if r.Name != s.name || !slices.ContainsFunc(r.Lives, func(l Life) bool { return l.Incarnation == s.self }) {
		return r
	}
	out := *r
	out.Lives = slices.DeleteFunc(slices.Clone(r.Lives), func(l Life) bool { return l.Incarnation == s.self })
	return &out
}

// watch looks at the other lives of this name: one that grows is another
// process under the same name, or news of the past that comes late.
func (s *Set) watch(now float64) {
	mine := s.state.Record(s.name)
	if mine == nil {
		return
	}
	for _, l := range mine.Lives {
		if l.Incarnation == s.self {
			continue
		}
		size := uint64(0)
		for _, r := range l.Rows {
			size += r.Starts + r.Backs
		}
		if had, known := s.sizes[l.Incarnation]; !known || size > had {
			s.sizes[l.Incarnation], s.heard[l.Incarnation] = size, now
		}
	}
}

// Folded moves past lives of this instance into one sum and says whether there
// was anything to do: those that have not grown for settle seconds, and the
// oldest if there are more than MaxLives. A life that another process still
// lives is not folded while it grows. What others alone know of a life after
// it was folded is dropped: too little is charged then, never twice.
func (s *Set) Folded(now, settle float64, rows Column) bool {
	mine := s.state.Record(s.name)
	if mine == nil {
		return false
	}
	if s.self <= mine.Fold.Through { // folded by another process of this name
		s.base = slices.Clone(rows)
		s.self = max(mine.Latest(), mine.Fold.Through) + 1
		return true
	}
	past := 0
	for past < len(mine.Lives) && mine.Lives[past].Incarnation < s.self {
		l := mine.Lives[past]
		if now-s.heard[l.Incarnation] < settle && len(mine.Lives)-past <= MaxLives {
			break
		}
		past++
	}
	if past == 0 {
		return false
	}
	f := Fold{By: s.self, Seq: mine.Fold.Seq + 1, Through: mine.Lives[past-1].Incarnation, Rows: mine.Fold.Rows}
	for _, l := range mine.Lives[:past] {
		f.Rows = sum(f.Rows, l.Rows)
		delete(s.heard, l.Incarnation)
		delete(s.sizes, l.Incarnation)
	}
	next, _ := s.state.Merge(&Record{Name: s.name, Fold: f})
	s.publish(next)
	return true
}

// Meter counts what the present life starts. One goroutine counts; any may read.
type Meter struct {
	index map[string]int
	ids   []uint64 // rising
	cells []cell
}

type cell struct{ starts, backs, asked atomic.Uint64 }

// Tenant is what the meter needs to know of one.
type Tenant struct {
	Name string
	ID   uint64
}

// NewMeter makes a meter for a table of tenants. Others are not counted.
func NewMeter(tenants []Tenant) *Meter {
	order := slices.Clone(tenants)
	slices.SortFunc(order, func(a, b Tenant) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	m := &Meter{index: map[string]int{}, cells: make([]cell, len(order))}
	for i, t := range order {
		m.index[t.Name] = i
		m.ids = append(m.ids, t.ID)
	}
	return m
}

// Asked counts a job that came, whatever becomes of it.
func (m *Meter) Asked(tenant string) {
	if i, ok := m.index[tenant]; ok {
		m.cells[i].asked.Add(1)
	}
}

// Start counts a job of so many slots that was sent to a worker.
func (m *Meter) Start(tenant string, slots float64) {
	if i, ok := m.index[tenant]; ok {
		m.cells[i].starts.Add(Milli(slots))
	}
}

// Back counts that such a job proved never to have run.
func (m *Meter) Back(tenant string, slots float64) {
	if i, ok := m.index[tenant]; ok {
		m.cells[i].backs.Add(Milli(slots))
	}
}

// Rows are the counts so far. Backs are read first, so that no row ever shows
// more taken back than started.
func (m *Meter) Rows() Column {
	out := make(Column, 0, len(m.cells))
	for i := range m.cells {
		backs := m.cells[i].backs.Load()
		if starts := m.cells[i].starts.Load(); starts > 0 {
			out = append(out, Row{m.ids[i], Pair{starts, backs}})
		}
	}
	return out
}

// Demand is how many jobs of each tenant came so far, by rising id, into buf.
func (m *Meter) Demand(buf []uint64) []uint64 {
	buf = buf[:0]
	for i := range m.cells {
		buf = append(buf, m.cells[i].asked.Load())
	}
	return buf
}

// IDs are the tenants of the table, rising. The caller must not change them.
func (m *Meter) IDs() []uint64 { return m.ids }
