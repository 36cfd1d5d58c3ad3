package balance

import (
	"cmp"
	"container/heap"
	"slices"
)

// What a tenant's queue keeps, without decisions: the waiting jobs in each of the
// orders in which the decisions ask for them, so that no step looks through all.

// queue holds a tenant's waiting jobs. A job is in one queue at most.
type queue struct {
	n      int
	size   float64 // of all
	seq    uint64
	groups []*group // by shape, in no order that matters
	shapes map[shape]*group
	end    jobHeap    // by deadline
	young  jobHeap    // by when it joined, the latest first
	born   []*jobHeap // a heap for each class: by when the client first asked
	byBorn map[*class]*jobHeap
}

// place is where a job stands in its queue.
type place struct {
	in    *queue
	group *group
	seq   uint64 // of its joining
	at    int    // in its group
	heaps [4]int // end, young, born, ageing; the last is -1 for jobs that do not age
}

// before is the order of a queue: by arrival, then by joining.
func before(a, b *job) int {
	if c := cmp.Compare(a.arrived, b.arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// group holds the jobs of one shape in the queue's order, with gaps.
type group struct {
	shape
	jobs []*job
	n    int // that are there
	from int // before it there are only gaps
}

func (q *queue) add(j *job) {
	if q.shapes == nil {
		q.shapes, q.byBorn = map[shape]*group{}, map[*class]*jobHeap{}
		q.end = jobHeap{slot: 0, less: func(a, b *job) bool { return a.deadline < b.deadline }}
		q.young = jobHeap{slot: 1, less: func(a, b *job) bool { return a.since > b.since }}
	}
	q.seq++
	q.n, q.size = q.n+1, q.size+j.size()
	j.place = place{in: q, seq: q.seq, heaps: [4]int{3: -1}}
	s := shape{j.class, j.slots, j.mem, len(j.tries) > 0}
	g := q.shapes[s]
	if g == nil {
		g = &group{shape: s}
		q.shapes[s], q.groups = g, append(q.groups, g)
	}
	g.add(j)
	b := q.byBorn[j.class]
	if b == nil {
		b = &jobHeap{slot: 2, less: func(a, b *job) bool { return a.born < b.born }}
		q.byBorn[j.class], q.born = b, append(q.born, b)
	}
	heap.Push(&q.end, j)
	heap.Push(&q.young, j)
	heap.Push(b, j)
}

func (q *queue) remove(j *job) {
	q.n, q.size = q.n-1, q.size-j.size()
	heap.Remove(&q.end, j.heaps[0])
	heap.Remove(&q.young, j.heaps[1])
	heap.Remove(q.byBorn[j.class], j.heaps[2])
	g := j.group
	g.jobs[j.at] = nil
	if g.n--; g.n == 0 {
		delete(q.shapes, g.shape)
		q.groups = slices.DeleteFunc(q.groups, func(o *group) bool { return o == g })
	} else if len(g.jobs) > 32 && g.n*2 < len(g.jobs) {
		g.close()
	}
	j.place = place{}
	if q.n == 0 {
		q.size = 0 // no rounding is carried on
	}
}

// add puts a job in its place: nearly always the last.
func (g *group) add(j *job) {
	j.group, j.at = g, len(g.jobs)
	g.n++
	g.jobs = append(g.jobs, j)
	if last := g.last(len(g.jobs) - 2); last == nil || before(last, j) < 0 {
		return
	}
	g.close()
	slices.SortFunc(g.jobs, before)
	g.number()
}

// spread moves a job on to a place, of so many, where only gaps follow up to there.
func (g *group) spread(j *job, to, of int) {
	for len(g.jobs) < of {
		g.jobs = append(g.jobs, nil)
	}
	if last := g.last(to); last == j {
		g.jobs[j.at], g.jobs[to], j.at = nil, j, to
	}
}

// last is the last job at or before an index.
func (g *group) last(i int) *job {
	for ; i >= 0; i-- {
		if g.jobs[i] != nil {
			return g.jobs[i]
		}
	}
	return nil
}

// close takes the gaps out.
func (g *group) close() {
	g.jobs, g.from = slices.DeleteFunc(g.jobs, func(j *job) bool { return j == nil }), 0
	g.number()
}

func (g *group) number() {
	for i, j := range g.jobs {
		j.at = i
	}
}

// ends calls f for the group's jobs in order: all of them if they are few, else
// the first ones that are passed by skip no more, and the last ones.
func (g *group) ends(most int, skip func(*job) bool, f func(*job)) {
	for g.from < len(g.jobs) && g.jobs[g.from] == nil {
		g.from++
	}
	first, seen := g.from, 0
	if g.n > 2*most {
		// Those to be skipped are the older ones; near enough to be searched for.
		lo, hi := g.from, len(g.jobs)
		for lo < hi {
			mid := (lo + hi) / 2
			j := g.last(mid)
			if j != nil && skip(j) {
				lo = mid + 1
			} else {
				hi = mid
			}
		}
		first = lo
	}
	i := first
	for ; i < len(g.jobs) && (g.n <= 2*most || seen < most); i++ {
		if j := g.jobs[i]; j != nil {
			seen++
			f(j)
		}
	}
	at := len(g.jobs)
	for left := most; at > i && left > 0; {
		if at--; g.jobs[at] != nil {
			left--
		}
	}
	for ; at < len(g.jobs); at++ {
		if j := g.jobs[at]; j != nil && at >= i {
			f(j)
		}
	}
}

// again are the jobs that have been sent before.
func (q *queue) again(f func(*job)) {
	for _, g := range q.groups {
		if g.shape.again {
			for _, j := range g.jobs {
				if j != nil {
					f(j)
				}
			}
		}
	}
}

// jobHeap is a heap that knows each job's place.
type jobHeap struct {
	list []*job
	slot int
	less func(a, b *job) bool
}

func (h *jobHeap) Len() int           { return len(h.list) }
func (h *jobHeap) Less(i, k int) bool { return h.less(h.list[i], h.list[k]) }
func (h *jobHeap) Swap(i, k int) {
	h.list[i], h.list[k] = h.list[k], h.list[i]
	h.list[i].heaps[h.slot], h.list[k].heaps[h.slot] = i, k
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heaps[h.slot] = len(h.list)
	h.list = append(h.list, j)
}
func (h *jobHeap) Pop() any {
	n := len(h.list) - 1
	j := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return j
}

// while visits the jobs at the top for which ok holds, in no order, and returns the
// first one in order for which it does not. Once it fails it must fail for all after.
func (h *jobHeap) while(ok func(*job) bool, visit func(*job)) (next *job) {
	if len(h.list) == 0 {
		return nil
	}
	for work := []int{0}; len(work) > 0; {
		i := work[len(work)-1]
		work = work[:len(work)-1]
		j := h.list[i]
		if !ok(j) {
			if next == nil || h.less(j, next) {
				next = j
			}
			continue
		}
		if visit != nil {
			visit(j)
		}
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.list); c++ {
			work = append(work, c)
		}
	}
	return next
}

// agingQueue holds the waiting jobs, of all tenants, that have a longest wait for their
// first hop, by when they go before the tags.
type agingQueue struct {
	jobHeap
	size float64
}

func (q *agingQueue) add(j *job) {
	if j.class.MaxWait > 0 && len(j.tries) == 0 {
		if q.less == nil {
			q.jobHeap = jobHeap{slot: 3, less: func(a, b *job) bool { return a.agedFrom < b.agedFrom }}
		}
		j.ageing = j.arrived + j.class.MaxWait
		j.agedFrom = j.ageing - (1-agedAt)*j.class.MaxWait
		q.size, j.class.ageing = q.size+j.size(), j.class.ageing+j.size()
		heap.Push(q, j)
	}
}

func (q *agingQueue) drop(j *job) {
	if j.heaps[3] >= 0 {
		q.size, j.class.ageing = q.size-j.size(), j.class.ageing-j.size()
		heap.Remove(q, j.heaps[3])
		if len(q.list) == 0 {
			q.size = 0 // no rounding is carried on
		}
	}
}

// sorted are the jobs for which ok holds, the one whose wait is over first at first.
func (q *agingQueue) sorted(ok func(*job) bool) (list []*job) {
	q.while(ok, func(j *job) { list = append(list, j) })
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(cmp.Compare(a.ageing, b.ageing), before(a, b)) })
	return list
}
