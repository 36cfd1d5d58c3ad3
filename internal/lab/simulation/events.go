package simulation

import (
	"math"
	"math/rand/v2"
)

// event is an action at a time, in seconds. Events of the same time run in the order in which they were added.
type event struct {
	at     float64
	number int
	do     func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].number < q[k].number
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Poisson draws a number from the Poisson distribution with the given mean. Above 50 it uses the normal
// approximation.
func Poisson(r *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit := math.Exp(-mean)
	product := 1.0
	for n := 0; ; n++ {
		product *= r.Float64()
		if product < limit {
			return n
		}
	}
}
