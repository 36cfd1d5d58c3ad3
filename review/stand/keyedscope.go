package main

import (
	"fmt"
	"syscall"
	"time"
)

// keyedScope has three instances share tenants' queues as shards. A new configuration narrows the workers that drop a
// repeat of a keyed class from all to those of one zone. The instance that accepts the jobs gets it 6 s before those
// that own the shards. The first worker that begins such a job loses the connection under it.
func keyedScope(r *rig) (int, error) {
	const class = "sone-endring"
	workers := newBook()
	watch := newDiscovery(r, 200*time.Millisecond)
	list, err := r.startFleet(12, workers, func(_, class string, tries int) outcome {
		if class == "sone-endring" && tries == 1 {
			return outcome{200 * time.Millisecond, "reset"}
		}
		return outcome{200 * time.Millisecond, "done"}
	})
	if err != nil {
		return 0, err
	}
	for _, w := range list {
		watch.set(w.entry("active"))
	}
	c, err := r.newCluster(watch, 3)
	if err != nil {
		return 0, err
	}
	for _, in := range c.instances {
		if r.trouble { // else the narrower scope is in force from the start
			lane(in.settings, class)["dedup_scope"] = "all"
		}
	}
	if err := c.startAll(); err != nil {
		return 0, err
	}
	if err := c.waitSharded(30 * time.Second); err != nil {
		return 0, err
	}
	entry, owners := c.instances[2], c.instances[:2]
	if r.trouble {
		if err := c.reload(entry, class, "zone"); err != nil {
			return 0, err
		}
	}
	time.Sleep(1500 * time.Millisecond) // a class is in use 1.2 s after SIGHUP
	load := r.newClients(entry.name, entry.listen)
	tenants := []string{"fjordmat", "bryggekjokken", "nordpizza", "smaabiten"}
	for n := range 40 {
		id := newID("e")
		load.send(job{id: id, class: class, tenant: tenants[n%len(tenants)], timeout: 8 * time.Second,
			headers: []string{"Idempotency-Key: key-" + id}})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		for _, in := range owners {
			if err := c.reload(in, class, "zone"); err != nil {
				return 0, err
			}
		}
	}
	load.answers()
	zones := map[string]string{}
	for _, w := range list {
		zones[w.id] = w.zone
	}
	first := map[string]receipt{}
	repeats := 0
	for _, e := range workers.receipts() {
		f, known := first[e.id]
		switch {
		case !known:
			first[e.id] = e
		case zones[f.worker] != zones[e.worker]:
			r.found("job %s was begun by %s in %s, and sent again to %s in %s %.3f s later", e.id,
				f.worker, zones[f.worker], e.worker, zones[e.worker], e.at.Sub(f.at).Seconds())
		default:
			repeats++
		}
	}
	if len(first) == 0 {
		return 0, fmt.Errorf("no job reached a worker")
	}
	r.say("%d jobs reached a worker, %d were sent again within the zone", len(first), repeats)
	return r.verdict("duplicate"), nil
}

// reload gives an instance a configuration with another scope for a class.
func (c *cluster) reload(in *instance, class, scope string) error {
	lane(in.settings, class)["dedup_scope"] = scope
	if err := c.configure(in); err != nil {
		return err
	}
	in.signal(syscall.SIGHUP)
	return nil
}
