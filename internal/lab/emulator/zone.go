package emulator

import "sync"

// Zone is the state that the workers of one zone share: the idempotency keys of
// completed jobs. It is safe for concurrent use.
type Zone struct {
	Window float64 // seconds for which a key is remembered

	mu      sync.Mutex
	expires map[string]float64 // time by key
	order   []string           // keys by expiry
}

// completed reports whether a job with this key was completed within the window.
func (z *Zone) completed(now float64, key string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	for len(z.order) > 0 && z.expires[z.order[0]] <= now {
		delete(z.expires, z.order[0])
		z.order = z.order[1:]
	}
	return key != "" && z.expires[key] > now
}

// record remembers the key of a completed job.
func (z *Zone) record(now float64, key string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if key == "" || z.expires[key] > 0 {
		return
	}
	if z.expires == nil {
		z.expires = map[string]float64{}
	}
	z.expires[key] = now + z.Window
	z.order = append(z.order, key)
}
