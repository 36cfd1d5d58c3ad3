package emulator

// task is an accepted job. It is in the heap of the waiting or of the running tasks.
type task struct {
	Job
	remaining float64 // seconds of work left on this worker
	resumedAt float64
	endsAt    float64 // unless it is preempted
	arrival   int
	started   bool // it has run, and holds its memory
	running   bool
	heapIndex int
}

// size returns the number of slots that a task takes.
func (t *task) size() float64 { return max(t.Slots, 1) }

// taskQueue is a heap of waiting tasks by priority, then by arrival.
type taskQueue []*task

// Len implements heap.Interface.
func (q taskQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q taskQueue) Less(i, k int) bool {
	if q[i].Priority != q[k].Priority {
		return q[i].Priority > q[k].Priority
	}
	return q[i].arrival < q[k].arrival
}

// Swap implements heap.Interface.
func (q taskQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].heapIndex = i
	q[k].heapIndex = k
}

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) {
	t := x.(*task)
	t.heapIndex = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	tasks := *q
	last := tasks[len(tasks)-1]
	*q = tasks[:len(tasks)-1]
	return last
}

// runningTasks is a heap of running tasks by end time, then by arrival.
type runningTasks struct{ taskQueue }

// Less implements heap.Interface.
func (q runningTasks) Less(i, k int) bool {
	a := q.taskQueue[i]
	b := q.taskQueue[k]
	if a.endsAt != b.endsAt {
		return a.endsAt < b.endsAt
	}
	return a.arrival < b.arrival
}
