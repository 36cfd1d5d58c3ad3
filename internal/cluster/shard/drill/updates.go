package drill

import (
	"container/heap"
	"slices"

	"example.org/bellstream/internal/cluster/shard"
)

// updateTurn is the time at which an origin sends its next update to the owner of a shard.
type updateTurn struct {
	at     float64
	origin *instance
	shard  int
}

// turnQueue is a heap of turns, ordered by time.
type turnQueue []updateTurn

func (t turnQueue) Len() int           { return len(t) }
func (t turnQueue) Less(a, b int) bool { return t[a].at < t[b].at }
func (t turnQueue) Swap(a, b int)      { t[a], t[b] = t[b], t[a] }
func (t *turnQueue) Push(x any)        { *t = append(*t, x.(updateTurn)) }
func (t *turnQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// sendUpdates simulates the updates of the origins to the owners of moved shards,
// beginning at a given time. Each origin updates one shard after the other.
// sendUpdates returns the time at which the last update has been acknowledged.
func (f *fleet) sendUpdates(at float64, moved map[int]bool) (float64, error) {
	var queue turnQueue
	waiting := map[*instance][]int{}
	for _, origin := range f.instances {
		outdated := f.observeEpochs(origin, moved)
		if len(outdated) > 0 {
			queue = append(queue, updateTurn{at: at, origin: origin, shard: outdated[0]})
			waiting[origin] = outdated[1:]
		}
	}
	heap.Init(&queue)
	end := at
	for queue.Len() > 0 {
		turn := heap.Pop(&queue).(updateTurn)
		update, ok := turn.origin.jobLogs[turn.shard].NextUpdate(turn.at)
		if !ok {
			if remaining := waiting[turn.origin]; len(remaining) > 0 {
				waiting[turn.origin] = remaining[1:]
				next := max(turn.at, turn.origin.writesUntil)
				heap.Push(&queue, updateTurn{at: next, origin: turn.origin, shard: remaining[0]})
			}
			continue
		}
		received, err := f.sendUpdate(turn, update)
		if err != nil {
			return 0, err
		}
		end = max(end, received+f.Delay)
		heap.Push(&queue, updateTurn{at: turn.origin.writesUntil, origin: turn.origin, shard: turn.shard})
	}
	return end, nil
}

// observeEpochs records the new epochs of moved shards in an origin's job logs. It
// returns the shards whose owner the origin has to update, in ascending order.
func (f *fleet) observeEpochs(origin *instance, moved map[int]bool) []int {
	var outdated []int
	for s, log := range origin.jobLogs {
		if moved[s] && log.ObserveEpoch(f.owners[s].Epoch) {
			outdated = append(outdated, s)
		}
	}
	slices.Sort(outdated)
	return outdated
}

// sendUpdate simulates an update and its acknowledgement, and returns the time at
// which the update has been received.
func (f *fleet) sendUpdate(turn updateTurn, update shard.JobUpdate) (float64, error) {
	message, err := f.roundTrip(turn.origin, update)
	if err != nil {
		return 0, err
	}
	owner := f.byName[f.owners[turn.shard].Name]
	received := f.readAt(turn.at, turn.origin, owner, len(update.Records))
	_, ack, err := f.shards[turn.shard].ApplyUpdate(received, message.(shard.JobUpdate))
	if err != nil {
		return 0, err
	}
	if _, err := f.roundTrip(owner, ack); err != nil {
		return 0, err
	}
	turn.origin.jobLogs[turn.shard].Acknowledge(ack)
	f.Records += len(update.Records)
	return received, nil
}
