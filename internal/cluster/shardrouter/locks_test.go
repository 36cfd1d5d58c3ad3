package shardrouter

import (
	"bytes"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// multipleGoroutines is set by tests in which more than one goroutine acquires locks. In other tests checkLockOrder
// does not look up the goroutine's id, as that is slow.
var multipleGoroutines atomic.Bool

// checkLockOrder installs a lockObserver that panics if a goroutine acquires a lock whose rank is not higher than the
// ranks of all locks that it holds.
func checkLockOrder() {
	var mu sync.Mutex
	held := map[string][]int{}
	lockObserver = func(rank int, acquired bool) {
		id := ""
		if multipleGoroutines.Load() {
			b := make([]byte, 32)
			b = b[:runtime.Stack(b, false)]
			id = string(bytes.Fields(b)[1])
		}
		mu.Lock()
		defer mu.Unlock()
		if !acquired {
			if held[id] = held[id][:len(held[id])-1]; len(held[id]) == 0 {
				delete(held, id)
			}
			return
		}
		if n := len(held[id]); n > 0 && held[id][n-1] >= rank {
			panic(fmt.Sprintf("lock of rank %d while one of rank %d is held", rank, held[id][n-1]))
		}
		held[id] = append(held[id], rank)
	}
}
