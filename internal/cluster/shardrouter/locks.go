package shardrouter

import "sync"

// The lock order: a shard, then the table of peers, then a peer's outbox, then a
// list. A goroutine that holds a lock may acquire only locks of a higher rank, so
// it never holds the locks of two shards. Options.Wake is called with no lock
// held.
const (
	rankShard = 1 + iota
	rankPeers
	rankOutbox
	rankLists
)

// rankedMutex is a mutex with a rank in the lock order.
type rankedMutex struct {
	sync.Mutex
	rank int
}

// lockObserver is called before a lock is acquired and after it is released. Only
// tests set it.
var lockObserver func(rank int, acquired bool)

// Lock acquires the mutex.
func (m *rankedMutex) Lock() {
	if lockObserver != nil {
		lockObserver(m.rank, true)
	}
	m.Mutex.Lock()
}

// Unlock releases the mutex.
func (m *rankedMutex) Unlock() {
	m.Mutex.Unlock()
	if lockObserver != nil {
		lockObserver(m.rank, false)
	}
}
