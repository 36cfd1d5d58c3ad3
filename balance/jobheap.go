package balance

// jobHeap is a heap of jobs, each of which stores its index so that it can be removed.
type jobHeap struct {
	jobs     []*job
	position int // which element of queuePosition.heapIndex stores a job's index in this heap
	less     func(a, b *job) bool
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, k int) bool { return h.less(h.jobs[i], h.jobs[k]) }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, k int) {
	h.jobs[i], h.jobs[k] = h.jobs[k], h.jobs[i]
	h.jobs[i].heapIndex[h.position] = i
	h.jobs[k].heapIndex[h.position] = k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex[h.position] = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	return j
}

// visitWhile visits all jobs that match, in no particular order, and returns the least job that does not
// match, or nil. The matching jobs must come first in the heap's order: no job that is ordered after one
// that does not match may match. A nil visit is allowed.
func (h *jobHeap) visitWhile(matches func(*job) bool, visit func(*job)) (next *job) {
	if len(h.jobs) == 0 {
		return nil
	}
	for pending := []int{0}; len(pending) > 0; {
		i := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		j := h.jobs[i]
		if !matches(j) {
			if next == nil || h.less(j, next) {
				next = j
			}
			continue
		}
		if visit != nil {
			visit(j)
		}
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.jobs); child++ {
			pending = append(pending, child)
		}
	}
	return next
}
