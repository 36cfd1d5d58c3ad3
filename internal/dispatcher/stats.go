package dispatcher

import "example.org/bellstream/internal/deferred"

// Stats holds statistics of queued and deferred jobs for operators.
type Stats struct {
	DeferredEnabled bool `json:"on"`
	deferred.Stats
	Depths        []deferred.Depth         `json:"depths"`
	FirstAttempts []deferred.FirstAttempts `json:"first_hops"`
}

// Stats returns the current statistics and true, or false once the loop has ended.
func (d *Dispatcher) Stats() (Stats, bool) {
	reply := make(chan Stats, 1)
	d.post(statsRequest{reply})
	select {
	case s := <-reply:
		return s, true
	case <-d.done:
		return Stats{}, false
	}
}

func (d *Dispatcher) stats() (s Stats) {
	if d.Deferred != nil {
		s.DeferredEnabled = true
		s.Stats = d.Deferred.Stats()
	}
	if d.Depths != nil {
		s.Depths, s.FirstAttempts = d.Depths.Read(d.clock())
	}
	return s
}
