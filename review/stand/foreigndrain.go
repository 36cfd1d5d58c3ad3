package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// drainLimit is rules.drain_grace of the settings and the 50 ms that the protocol page adds on sockets.
const drainLimit = 2050 * time.Millisecond

// foreignDrain has three instances share tenants' queues as shards. Each accepts clients' jobs, and the instance that
// owns a job's shard decides to which worker the accepting one sends it. The open watches of two instances fall
// silent, then five of twelve workers begin to drain, which the third instance is told at once.
func foreignDrain(r *rig) (int, error) {
	workers := newBook()
	watch := newDiscovery(r, time.Second)
	list, err := r.startFleet(12, workers, func(string, string, int) outcome {
		return outcome{time.Duration(200+rand.IntN(100)) * time.Millisecond, "done"}
	}, "n0", "n1", "n2")
	if err != nil {
		return 0, err
	}
	for _, w := range list {
		watch.dials[w.id] = w.dials
		watch.set(w.entry("active"))
	}
	c, err := r.startCluster(watch, 3)
	if err != nil {
		return 0, err
	}
	if err := c.waitSharded(30 * time.Second); err != nil {
		return 0, err
	}

	entry := c.instances[2]
	load := r.newClients(entry.name, entry.listen)
	tenants := []string{"fjordmat", "bryggekjokken", "nordpizza", "smaabiten"}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(40 * time.Millisecond) // 25 jobs a second
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				load.send(job{
					id:      newID("d"),
					class:   "sone-oppslag",
					tenant:  tenants[n%len(tenants)],
					timeout: 5 * time.Second,
				})
			}
		}
	}()
	time.Sleep(8 * time.Second)
	if r.trouble {
		if err := watch.silence(c.instances[0].view, c.instances[1].view); err != nil {
			return 0, err
		}
	}
	drained := map[string]bool{}
	var entries []object
	for _, w := range list {
		if w.zone != "fana" || len(drained) == 5 {
			continue
		}
		drained[w.id] = true
		entries = append(entries, w.entry("leaving"))
	}
	watch.set(entries...)
	time.Sleep(8 * time.Second)
	close(stop)
	<-ended
	for _, in := range c.instances {
		if !in.running() {
			return 0, fmt.Errorf("%s has ended", in.name)
		}
	}
	served := 0
	for _, a := range load.answers() {
		if a.status == 200 {
			served++
		}
	}
	if served == 0 {
		return 0, fmt.Errorf("no job was served")
	}
	for _, e := range workers.receipts() {
		// The address that a send came to says which instance sent it.
		if !drained[e.worker] || e.from != entry.name {
			continue
		}
		at, ok := watch.toldAt(entry.view, e.worker, "leaving")
		if late := e.at.Sub(at); ok && late > drainLimit {
			r.found("%s sent %s to %s %.3f s after discovery told it that %s drains",
				entry.name, e.id, e.worker, late.Seconds(), e.worker)
		}
	}
	r.say("%d jobs served of those sent to %s", served, entry.name)
	return r.verdict("drain"), nil
}
