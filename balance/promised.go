package balance

import (
	"cmp"
	"container/heap"
	"slices"
)

// priorityWaitShare is the fraction of its promised wait after which a job is sent ahead of the order of the
// tags.
const priorityWaitShare = 0.5

// promisedQueue holds the queued jobs of all tenants whose first attempt has a promised wait, ordered by the
// time from which they are sent ahead of the order of the tags.
type promisedQueue struct {
	jobHeap
	size float64
}

func (q *promisedQueue) add(j *job) {
	if j.maxWait <= 0 || len(j.attempts) > 0 {
		return
	}
	if q.less == nil {
		q.jobHeap = jobHeap{
			position: heapPromised,
			less:     func(a, b *job) bool { return a.priorityFrom < b.priorityFrom },
		}
	}
	j.promisedBy = j.arrivedAt + j.maxWait
	j.priorityFrom = j.promisedBy - (1-priorityWaitShare)*j.maxWait
	q.size += j.size()
	j.class.promisedSize += j.size()
	heap.Push(q, j)
}

func (q *promisedQueue) remove(j *job) {
	if !j.hasMaxWait() {
		return
	}
	q.size -= j.size()
	j.class.promisedSize -= j.size()
	heap.Remove(q, j.heapIndex[heapPromised])
	if len(q.jobs) == 0 {
		q.size = 0 // drops accumulated rounding errors
	}
}

// sortedDue returns the jobs that match, ordered by the end of their promised wait.
func (q *promisedQueue) sortedDue(matches func(*job) bool) (due []*job) {
	q.visitWhile(matches, func(j *job) { due = append(due, j) })
	slices.SortFunc(due, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.promisedBy, b.promisedBy), compareArrival(a, b))
	})
	return due
}
