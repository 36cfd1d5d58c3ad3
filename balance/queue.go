package balance

import (
	"cmp"
	"container/heap"
	"slices"
)

// compactAbove is the length above which a group is compacted when more than half of it is gaps.
const compactAbove = 32

// queue holds the queued jobs of a tenant in each of the orders that decisions need, so that no step has to
// scan all jobs. A job is in at most one queue.
type queue struct {
	count             int
	size              float64 // total size of all jobs
	sequence          uint64
	groups            []*group // in no significant order
	groupsByShape     map[jobShape]*group
	byDeadline        jobHeap
	newestFirst       jobHeap    // by enqueuedAt, newest first
	byFirstRequest    []*jobHeap // one heap for each class
	firstRequestHeaps map[*class]*jobHeap
}

// The heaps that a job is in, as indexes of queuePosition.heapIndex.
const (
	heapByDeadline = iota
	heapNewestFirst
	heapByFirstRequest
	heapPromised
	heapCount
)

// queuePosition is the position of a job in its queue.
type queuePosition struct {
	queue     *queue
	group     *group
	sequence  uint64 // order in which it was added
	index     int    // index in its group
	heapIndex [heapCount]int
}

// hasMaxWait reports whether the job is queued and has a promised wait.
func (p *queuePosition) hasMaxWait() bool { return p.queue != nil && p.heapIndex[heapPromised] >= 0 }

// compareArrival orders the jobs of a queue by arrival, then by when they were added to it.
func compareArrival(a, b *job) int {
	if c := cmp.Compare(a.arrivedAt, b.arrivedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// jobShape is what jobs that need the same capacity have in common.
type jobShape struct {
	class  *class
	slots  float64
	memory float64
	retry  bool // the job has been sent before
}

func (q *queue) init() {
	q.groupsByShape = map[jobShape]*group{}
	q.firstRequestHeaps = map[*class]*jobHeap{}
	q.byDeadline = jobHeap{
		position: heapByDeadline,
		less:     func(a, b *job) bool { return a.deadline < b.deadline },
	}
	q.newestFirst = jobHeap{
		position: heapNewestFirst,
		less:     func(a, b *job) bool { return a.enqueuedAt > b.enqueuedAt },
	}
}

func (q *queue) add(j *job) {
	if q.groupsByShape == nil {
		q.init()
	}
	q.sequence++
	q.count++
	q.size += j.size()
	j.queuePosition = queuePosition{queue: q, sequence: q.sequence}
	j.heapIndex[heapPromised] = -1
	q.groupFor(j).add(j)
	heap.Push(&q.byDeadline, j)
	heap.Push(&q.newestFirst, j)
	heap.Push(q.firstRequestHeap(j.class), j)
}

func (q *queue) groupFor(j *job) *group {
	shape := jobShape{j.class, j.slots, j.memory, len(j.attempts) > 0}
	g := q.groupsByShape[shape]
	if g == nil {
		g = &group{jobShape: shape}
		q.groupsByShape[shape] = g
		q.groups = append(q.groups, g)
	}
	return g
}

func (q *queue) firstRequestHeap(c *class) *jobHeap {
	h := q.firstRequestHeaps[c]
	if h == nil {
		h = &jobHeap{
			position: heapByFirstRequest,
			less:     func(a, b *job) bool { return a.firstRequestedAt < b.firstRequestedAt },
		}
		q.firstRequestHeaps[c] = h
		q.byFirstRequest = append(q.byFirstRequest, h)
	}
	return h
}

// forgetClasses drops the empty heaps of the classes that match.
func (q *queue) forgetClasses(unused func(*class) bool) {
	for c, h := range q.firstRequestHeaps {
		if len(h.jobs) > 0 || !unused(c) {
			continue
		}
		delete(q.firstRequestHeaps, c)
		q.byFirstRequest = slices.DeleteFunc(q.byFirstRequest, func(other *jobHeap) bool { return other == h })
	}
}

func (q *queue) remove(j *job) {
	q.count--
	q.size -= j.size()
	heap.Remove(&q.byDeadline, j.heapIndex[heapByDeadline])
	heap.Remove(&q.newestFirst, j.heapIndex[heapNewestFirst])
	heap.Remove(q.firstRequestHeaps[j.class], j.heapIndex[heapByFirstRequest])
	g := j.group
	g.jobs[j.index] = nil
	g.count--
	if g.count == 0 {
		delete(q.groupsByShape, g.jobShape)
		q.groups = slices.DeleteFunc(q.groups, func(o *group) bool { return o == g })
	} else if len(g.jobs) > compactAbove && g.count*2 < len(g.jobs) {
		g.compact()
	}
	j.queuePosition = queuePosition{}
	if q.count == 0 {
		q.size = 0 // drops accumulated rounding errors
	}
}

// visitRetries visits the jobs that have been sent before.
func (q *queue) visitRetries(visit func(*job)) {
	for _, g := range q.groups {
		if !g.retry {
			continue
		}
		for _, j := range g.jobs {
			if j != nil {
				visit(j)
			}
		}
	}
}

// group holds the jobs of one shape in the queue's order. Removed jobs leave gaps (nil).
type group struct {
	jobShape
	jobs          []*job
	count         int // number of jobs, without gaps
	firstOccupied int // index before which there are only gaps
}

// add inserts a job at its place, which is nearly always the end.
func (g *group) add(j *job) {
	j.group = g
	j.index = len(g.jobs)
	g.count++
	g.jobs = append(g.jobs, j)
	if last := g.lastAtOrBefore(len(g.jobs) - 2); last == nil || compareArrival(last, j) < 0 {
		return
	}
	g.compact()
	slices.SortFunc(g.jobs, compareArrival)
	g.reindex()
}

// moveTo moves a job to a higher index, if there are only gaps between, after extending the group to the
// given length. It restores the positions of an exported group.
func (g *group) moveTo(j *job, index, length int) {
	for len(g.jobs) < length {
		g.jobs = append(g.jobs, nil)
	}
	if last := g.lastAtOrBefore(index); last == j {
		g.jobs[j.index] = nil
		g.jobs[index] = j
		j.index = index
	}
}

// lastAtOrBefore returns the last job at or before an index, or nil.
func (g *group) lastAtOrBefore(i int) *job {
	for ; i >= 0; i-- {
		if g.jobs[i] != nil {
			return g.jobs[i]
		}
	}
	return nil
}

// compact removes the gaps.
func (g *group) compact() {
	g.jobs = slices.DeleteFunc(g.jobs, func(j *job) bool { return j == nil })
	g.firstOccupied = 0
	g.reindex()
}

func (g *group) reindex() {
	for i, j := range g.jobs {
		j.index = i
	}
}

// visitEnds visits the group's jobs in order: all of them if there are at most 2*most, else the first most
// jobs that skip does not match and up to most jobs at the end, none of them twice. If skip matches a job,
// it must match all jobs before it, too.
func (g *group) visitEnds(most int, skip func(*job) bool, visit func(*job)) {
	for g.firstOccupied < len(g.jobs) && g.jobs[g.firstOccupied] == nil {
		g.firstOccupied++
	}
	if g.count <= 2*most {
		for _, j := range g.jobs[g.firstOccupied:] {
			if j != nil {
				visit(j)
			}
		}
		return
	}
	end := g.visitFirst(g.firstNotSkipped(skip), most, visit)
	g.visitLast(end, most, visit)
}

// firstNotSkipped returns the index before which skip matches all jobs. It uses binary search.
func (g *group) firstNotSkipped(skip func(*job) bool) int {
	low := g.firstOccupied
	high := len(g.jobs)
	for low < high {
		middle := (low + high) / 2
		if j := g.lastAtOrBefore(middle); j != nil && skip(j) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// visitFirst visits up to most jobs, starting at an index, and returns the index after the last of them.
func (g *group) visitFirst(from, most int, visit func(*job)) (end int) {
	seen := 0
	for end = from; end < len(g.jobs) && seen < most; end++ {
		if j := g.jobs[end]; j != nil {
			seen++
			visit(j)
		}
	}
	return end
}

// visitLast visits up to most jobs at the end of the group, but none before index from.
func (g *group) visitLast(from, most int, visit func(*job)) {
	start := len(g.jobs)
	for left := most; start > from && left > 0; {
		start--
		if g.jobs[start] != nil {
			left--
		}
	}
	for _, j := range g.jobs[start:] {
		if j != nil {
			visit(j)
		}
	}
}
