// Package waiting keeps jobs that are not eligible yet: they wait for other
// jobs to be served, for a time, or both. It decides when such a job may go to
// the scheduler, and which ones will never go there.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in
// seconds on the owner's monotonic clock. A [Store] belongs to one goroutine.
// Release and cancel cost O(log n), the end of a parent O(its children), and a
// cascade O(the jobs that it ends); nothing recurses, however long a chain is.
package waiting

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
)

// Outcome is how a job ended, as far as jobs that wait for it care.
type Outcome int

// The outcomes. Only Served makes a job eligible that waits for it.
const (
	Served  Outcome = iota + 1
	Failed          // it may have run, or it can't be
	Refused         // it never ran, and another try may help
	Left            // its client gave up on it
	Unknown         // nobody has heard of it
)

func (o Outcome) String() string {
	return [...]string{"", "served", "failed", "refused", "left by its client", "unknown here"}[o]
}

// Limits bound what waits. None may be 0 but Remember.
type Limits struct {
	Jobs      int     // that wait at once
	Bytes     int64   // of their bodies and heads
	Parents   int     // of one job
	Depth     int     // of a chain of waiting jobs
	Strangers int     // ids that are waited for and have not come
	Grace     float64 // s for which a parent that has not come may still come
	Remember  float64 // s for which a parent's end is remembered
	Ended     int     // ends that are remembered at most; the oldest go first
}

// Defaults are limits for some 30 MB of waiting jobs.
func Defaults() Limits {
	return Limits{Jobs: 20_000, Bytes: 32 << 20, Parents: 32, Depth: 16_384, Strangers: 5_000, Grace: 2, Remember: 60, Ended: 100_000}
}

// Check finds limits that can't be used and names the key.
func (l Limits) Check() (key string, err error) {
	for _, x := range []struct {
		key   string
		value float64
		most  float64
	}{{"jobs", float64(l.Jobs), 1e6}, {"bytes", float64(l.Bytes), 1 << 40}, {"parents", float64(l.Parents), 1024},
		{"depth", float64(l.Depth), 1e6}, {"strangers", float64(l.Strangers), 1e6}, {"grace", l.Grace, 3600}, {"ended", float64(l.Ended), 1e7}} {
		if !(x.value > 0 && x.value <= x.most) {
			return x.key, fmt.Errorf("%v is not above 0 and at most %v", x.value, x.most)
		}
	}
	if !(l.Remember >= 0 && l.Remember <= 86400) {
		return "remember", fmt.Errorf("%v s is not from 0 to 86400", l.Remember)
	}
	return "", nil
}

// Job is one that is to wait.
type Job struct {
	ID        string
	After     []string // ids of jobs that must be served first
	NotBefore float64  // 0: at once
	GiveUp    float64  // when it must be handed over whatever it waits for
	Size      int64    // bytes
}

// Cause says why a job will never go.
type Cause struct {
	Parent  string // the job whose end began it
	Outcome Outcome
}

// Retry says that another try may help. Where it can't, the parent is gone for
// good and so is every job that names it.
func (c Cause) Retry() bool { return c.Outcome == Refused || c.Outcome == Unknown }

func (c Cause) String() string {
	return fmt.Sprintf("job %s, which this one waits for, is %s", c.Parent, c.Outcome)
}

// Bad is a wish that can't be granted: the client's mistake.
type Bad struct {
	Field string // Wait-For or Not-Before
	Why   string
}

func (b *Bad) Error() string { return b.Field + ": " + b.Why }

// Full says that no more can wait here now.
type Full struct{ What string }

func (f *Full) Error() string { return "too many " + f.What + " wait here" }

// Doomed says that a job that it waits for has ended badly before.
type Doomed struct{ Cause }

func (d *Doomed) Error() string { return d.Cause.String() }

// Due is a job that leaves the store.
type Due struct {
	ID string
	// Cause is nil for a job that goes to the scheduler: it is eligible, or its
	// time to wait is over and the scheduler has to answer it. Else the job ends.
	Cause *Cause
	Over  bool // its time to wait is over
}

type state int

const (
	stranger state = iota // named by others, has not come
	waits
	due // handed out by Next soon
	active
	ended
)

// entry is a job that waits or that others wait for.
type entry struct {
	id       string
	state    state
	outcome  Outcome
	at       float64 // when it ended, or when a stranger was first named
	job      Job
	pending  int // parents that have not been served
	early    bool
	depth    int
	parents  []*entry
	children []*entry
	dead     int // children that have ended
	cause    *Cause
	over     bool
	slots    [2]int // places among the timers, -1: none
	mark     uint64
}

// Kinds of timers of an entry.
const (
	ripe = iota // its time has come; of a stranger: its grace is over
	over        // it has to be handed over
)

type timer struct {
	at   float64
	kind int
	e    *entry
}

// timers is a heap by time that knows where each entry's timers are.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, k int) bool { return t[i].at < t[k].at }
func (t timers) Swap(i, k int) {
	t[i], t[k] = t[k], t[i]
	t[i].e.slots[t[i].kind], t[k].e.slots[t[k].kind] = i, k
}
func (t *timers) Push(x any) {
	x.(timer).e.slots[x.(timer).kind] = len(*t)
	*t = append(*t, x.(timer))
}
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	last.e.slots[last.kind] = -1
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// Stats are figures for operators.
type Stats struct {
	Waiting   int    `json:"waiting"`
	Bytes     int64  `json:"bytes"`
	Strangers int    `json:"strangers"` // ids that have not come
	Ended     int    `json:"ended"`     // ends remembered
	Released  uint64 `json:"released_total"`
	Cascaded  uint64 `json:"cascaded_total"` // ended with a parent
	Over      uint64 `json:"over_total"`     // handed over unripe
	Refused   uint64 `json:"refused_total"`  // at the door, for want of room
	Bad       uint64 `json:"bad_total"`
}

// Store keeps what waits.
type Store struct {
	Limits
	byID  map[string]*entry
	times timers
	queue []*entry // due, oldest first
	head  int
	past  []*entry // ended, oldest first
	first int
	marks uint64
	stats Stats
	kept  int // ended entries that are still in byID
}

// New makes a store.
func New(l Limits) *Store { return &Store{Limits: l, byID: map[string]*entry{}} }

// Stats are the present figures.
func (s *Store) Stats() Stats {
	s.stats.Ended = s.kept
	return s.stats
}

// Waits says whether a job is in the store and not handed out yet.
func (s *Store) Waits(id string) bool {
	e := s.byID[id]
	return e != nil && (e.state == waits || e.state == due)
}

// Track says that a job has come that waits for nothing: others may wait for it.
func (s *Store) Track(now float64, id string) {
	s.forget(now)
	e := s.byID[id]
	switch {
	case e == nil:
		e = s.put(id)
	case e.state == stranger:
		s.stop(e, ripe)
		s.stats.Strangers--
	case e.state == ended: // the id comes again, long after
		e = s.put(id)
	default:
		return // ids are fresh: a repeat was turned away before
	}
	e.state = active
}

func (s *Store) put(id string) *entry {
	e := &entry{id: id, slots: [2]int{-1, -1}}
	s.byID[id] = e
	return e
}

// Add takes in a job that is to wait. If it need not, it is tracked and now is
// true. An error is Bad, Full or Doomed; the job is not taken then.
func (s *Store) Add(now float64, j Job) (goes bool, err error) {
	s.forget(now)
	if err := s.check(now, &j); err != nil {
		switch err.(type) {
		case *Bad:
			s.stats.Bad++
		case *Full:
			s.stats.Refused++
		}
		return false, err
	}
	pending := 0
	for _, id := range j.After {
		if p := s.byID[id]; p == nil || p.state != ended {
			pending++
		}
	}
	early := j.NotBefore > now
	if pending == 0 && !early {
		s.Track(now, j.ID)
		return true, nil
	}
	e := s.byID[j.ID]
	if e == nil || e.state != stranger {
		e = s.put(j.ID)
	} else {
		s.stop(e, ripe)
		s.stats.Strangers--
	}
	e.state, e.job, e.pending, e.early = waits, j, pending, early
	for _, id := range j.After {
		p := s.byID[id]
		if p != nil && p.state == ended {
			continue
		}
		if p == nil {
			p = s.put(id)
			p.state, p.at = stranger, now
			s.start(p, ripe, now+s.Grace)
			s.stats.Strangers++
		}
		p.children = append(p.children, e)
		e.parents = append(e.parents, p)
	}
	s.deepen(e)
	if early {
		s.start(e, ripe, j.NotBefore)
	}
	s.start(e, over, j.GiveUp)
	s.stats.Waiting++
	s.stats.Bytes += j.Size
	return false, nil
}

// check finds what is wrong with a job's wish before anything is changed.
func (s *Store) check(now float64, j *Job) error {
	if math.IsNaN(j.NotBefore) || math.IsInf(j.NotBefore, 0) || j.NotBefore < 0 {
		return &Bad{"Not-Before", "not a time"}
	}
	if j.NotBefore >= j.GiveUp && j.NotBefore > now {
		return &Bad{"Not-Before", "after the job's own deadline"}
	}
	j.After = slices.Clone(j.After)
	slices.Sort(j.After)
	j.After = slices.Compact(j.After)
	if len(j.After) > s.Parents {
		return &Bad{"Wait-For", fmt.Sprintf("names %d jobs, at most %d", len(j.After), s.Parents)}
	}
	depth, strangers := 0, 0
	for _, id := range j.After {
		if id == j.ID {
			return &Bad{"Wait-For", "names the job itself"}
		}
		p := s.byID[id]
		if p == nil {
			strangers++
			continue
		}
		if p.state == ended && p.outcome != Served {
			return &Doomed{Cause{id, p.outcome}}
		}
		if p.state == waits {
			depth = max(depth, p.depth)
		}
	}
	if depth+1 > s.Depth {
		return &Bad{"Wait-For", fmt.Sprintf("a chain of more than %d waiting jobs", s.Depth)}
	}
	if err := s.walk(j, depth+1); err != nil {
		return err
	}
	switch {
	case s.stats.Waiting >= s.Jobs:
		return &Full{"jobs"}
	case s.stats.Bytes+j.Size > s.Bytes:
		return &Full{"bytes of jobs"}
	case s.stats.Strangers+strangers > s.Strangers:
		return &Full{"jobs for ids that have not come"}
	}
	return nil
}

// walkMost is how many jobs that wait for a newcomer are looked through.
const walkMost = 4096

// walk looks through the jobs that wait for one that comes only now: none of
// them may be among its parents, and their chains must not become too deep.
func (s *Store) walk(j *Job, depth int) error {
	root := s.byID[j.ID]
	if root == nil || len(root.children) == 0 {
		return nil
	}
	s.marks++
	level, next, seen := root.children, []*entry(nil), 0
	for d := depth + 1; len(level) > 0; d++ {
		for _, e := range level {
			if e.state != waits || e.mark == s.marks {
				continue
			}
			e.mark = s.marks
			if seen++; seen > walkMost {
				return &Bad{"Wait-For", fmt.Sprintf("more than %d jobs wait for this one already", walkMost)}
			}
			if slices.Contains(j.After, e.id) {
				return &Bad{"Wait-For", fmt.Sprintf("a circle: job %s waits for this one", e.id)}
			}
			next = append(next, e.children...)
		}
		if d > s.Depth {
			return &Bad{"Wait-For", fmt.Sprintf("a chain of more than %d waiting jobs", s.Depth)}
		}
		level, next = next, nil
	}
	return nil
}

// deepen sets the depth of a newcomer and of those that waited for it already.
func (s *Store) deepen(e *entry) {
	work := []*entry{e}
	for len(work) > 0 {
		e := work[len(work)-1]
		work = work[:len(work)-1]
		depth := 1
		for _, p := range e.parents {
			if p.state == waits {
				depth = max(depth, p.depth+1)
			}
		}
		if depth <= e.depth {
			continue
		}
		e.depth = depth
		for _, c := range e.children {
			if c.state == waits {
				work = append(work, c)
			}
		}
	}
}

func (s *Store) start(e *entry, kind int, at float64) { heap.Push(&s.times, timer{at, kind, e}) }

func (s *Store) stop(e *entry, kind int) {
	if e.slots[kind] >= 0 {
		heap.Remove(&s.times, e.slots[kind])
	}
}

// Tick plays the times up to now.
func (s *Store) Tick(now float64) {
	for len(s.times) > 0 && s.times[0].at <= now {
		t := heap.Pop(&s.times).(timer)
		switch {
		case t.e.state == stranger:
			s.stats.Strangers--
			s.end(now, t.e, Unknown)
		case t.kind == over:
			t.e.over = true
			s.stats.Over++
			s.hand(t.e)
		default:
			t.e.early = false
			s.ripen(t.e)
		}
	}
	s.forget(now)
}

// Next is when Tick is wanted next; false if nothing waits for a time.
func (s *Store) Next() (at float64, ok bool) {
	if len(s.times) == 0 {
		return 0, false
	}
	return s.times[0].at, true
}

func (s *Store) ripen(e *entry) {
	if e.state == waits && e.pending == 0 && !e.early {
		s.stats.Released++
		s.hand(e)
	}
}

// hand puts a job in line to leave the store.
func (s *Store) hand(e *entry) {
	s.stop(e, ripe)
	s.stop(e, over)
	e.state = due
	s.queue = append(s.queue, e)
	s.drop(e)
}

// drop gives up the room that a waiting job takes, and lets go of its parents.
func (s *Store) drop(e *entry) {
	s.stats.Waiting--
	s.stats.Bytes -= e.job.Size
	for _, p := range e.parents {
		if p.state == ended {
			continue
		}
		p.dead++
		if p.dead > 16 && p.dead*2 > len(p.children) {
			p.children = slices.DeleteFunc(p.children, func(c *entry) bool { return c.state != waits })
			p.dead = 0 // those that are being dropped are off the list as well
		}
		if p.state == stranger && p.dead == len(p.children) {
			s.stop(p, ripe) // nobody waits for it any more
			s.stats.Strangers--
			delete(s.byID, p.id)
		}
	}
	e.parents, e.job = nil, Job{}
}

// Take returns at most so many jobs that leave the store, in the order in which
// they became due. The rest stays for the next call, so that one parent with
// thousands of children doesn't hold up everything else.
func (s *Store) Take(now float64, most int) (list []Due) {
	for s.head < len(s.queue) && len(list) < most {
		e := s.queue[s.head]
		s.queue[s.head] = nil
		s.head++
		if e.state != due && e.cause == nil { // its client left meanwhile
			continue
		}
		list = append(list, Due{ID: e.id, Cause: e.cause, Over: e.over})
		if e.cause == nil {
			e.state = active
		}
		e.cause = nil
	}
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
	} else if s.head > 1024 && s.head*2 > len(s.queue) {
		s.queue = append(s.queue[:0], s.queue[s.head:]...)
		s.head = 0
	}
	return list
}

// Pending is how many jobs Take has to return.
func (s *Store) Pending() int { return len(s.queue) - s.head }

// End says how a job ended that was tracked, handed out or waits. Jobs that
// wait for it become eligible, or end with it.
func (s *Store) End(now float64, id string, o Outcome) {
	e := s.byID[id]
	if e == nil || e.state == ended || e.state == stranger {
		return
	}
	if e.state == waits {
		s.stop(e, ripe)
		s.stop(e, over)
		e.state = ended // before its parents are looked at
		s.drop(e)
	}
	s.end(now, e, o)
}

// end plays a job's end down to all that wait for it, level by level.
func (s *Store) end(now float64, e *entry, o Outcome) {
	s.close(now, e, o)
	if o == Served {
		for _, c := range e.children {
			if c.state == waits {
				c.pending--
				s.ripen(c)
			}
		}
		e.children = nil
		return
	}
	cause := &Cause{e.id, o}
	work := []*entry{e}
	for len(work) > 0 {
		p := work[len(work)-1]
		work = work[:len(work)-1]
		for _, c := range p.children {
			if c.state != waits {
				continue
			}
			s.stop(c, ripe)
			s.stop(c, over)
			c.state = ended // before its parents are looked at
			s.drop(c)
			c.cause = cause
			s.stats.Cascaded++
			s.queue = append(s.queue, c)
			as := Failed
			if cause.Retry() {
				as = Refused
			}
			s.close(now, c, as)
			work = append(work, c)
		}
		p.children = nil
	}
}

// close remembers an end.
func (s *Store) close(now float64, e *entry, o Outcome) {
	e.state, e.outcome, e.at = ended, o, now
	s.past = append(s.past, e)
	s.kept++
	s.forget(now)
}

// forget drops ends that are older than Remember, and the oldest over Ended.
func (s *Store) forget(now float64) {
	for s.first < len(s.past) && (s.kept > s.Ended || s.past[s.first].at < now-s.Remember) {
		e := s.past[s.first]
		s.past[s.first] = nil
		s.first++
		s.kept--
		if s.byID[e.id] == e {
			delete(s.byID, e.id)
		}
	}
	if s.first > 1024 && s.first*2 > len(s.past) {
		s.past = append(s.past[:0], s.past[s.first:]...)
		s.first = 0
	}
}

// Flush hands out all that waits, at most the given number at a time, as if its
// time were over: the program ends, and the scheduler answers what it has.
func (s *Store) Flush(now float64) {
	for _, e := range s.byID {
		if e.state == waits {
			e.over = true
		}
	}
	for len(s.times) > 0 {
		t := heap.Pop(&s.times).(timer)
		if t.e.state == waits {
			s.stats.Over++
			s.hand(t.e)
		}
	}
}
