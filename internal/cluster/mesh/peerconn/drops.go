package peerconn

import (
	"maps"
	"sync"
)

// DropCounters count dropped frames by reason. The zero value is ready to use.
type DropCounters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

// Add counts one dropped frame.
func (d *DropCounters) Add(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[string]uint64{}
	}
	d.counts[reason]++
}

// Snapshot returns a copy of the counters, or nil if no frame was dropped.
func (d *DropCounters) Snapshot() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.counts)
}
