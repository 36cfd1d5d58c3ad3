package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// deferredClass has jobs of a class that must never run twice wait for their start time at one dispatcher. Meanwhile
// a new configuration gives the class another effect, for the jobs that arrive from then on. The first worker that
// begins such a job loses the connection under it.
func deferredClass(r *rig) (int, error) {
	const class = "kurer-tildeling"
	workers := newBook()
	watch := newDiscovery(r, 100*time.Millisecond)
	view, err := watch.open("n0")
	if err != nil {
		return 0, err
	}
	var list []*worker
	for i, kind := range []string{"stor-5k", "stor-5k", "liten-4k", "liten-4k"} {
		w := &worker{id: fmt.Sprintf("s-%04d", i), zone: "fana", kind: kind, block: 1, slots: 5, book: workers,
			runs: func(_, class string, tries int) outcome {
				if class == "kurer-tildeling" && tries == 1 {
					return outcome{300 * time.Millisecond, "reset"}
				}
				return outcome{300 * time.Millisecond, "done"}
			}}
		if err := r.startWorker(w); err != nil {
			return 0, err
		}
		list = append(list, w)
	}
	for _, w := range list {
		watch.set(w.entry("active"))
	}
	listen := freeAddress()
	settings := siteSettings(0, 1, "fana")
	configPath := filepath.Join(r.dir, "config.json")
	if err := writeJSON(configPath, config("n0", listen, view.address, settings)); err != nil {
		return 0, err
	}
	filePath := filepath.Join(r.dir, "bellstream.hcl")
	if err := os.WriteFile(filePath, []byte("waiting {\n}\n"), 0o600); err != nil {
		return 0, err
	}
	n0, err := r.launch("n0", configPath, "BELLSTREAM_FILE="+filePath)
	if err != nil {
		return 0, err
	}
	if err := waitReady(listen, 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // SIGHUP is never sent in the first second

	c := r.newClients("n0", listen)
	const jobs = 8
	begin := time.Now().Add(5 * time.Second)
	for range jobs {
		c.send(job{id: newID("k"), class: class, tenant: "fjordmat", timeout: 25 * time.Second,
			headers: []string{fmt.Sprintf("Not-Before: %.3f", float64(begin.UnixMilli())/1000)}})
	}
	time.Sleep(time.Second)
	if r.trouble {
		changed := lane(settings, class)
		changed["semantics"], changed["dedup_scope"], changed["repeat_window"] = "keyed", "all", 12.0
		if err := writeJSON(configPath, config("n0", listen, view.address, settings)); err != nil {
			return 0, err
		}
		n0.signal(syscall.SIGHUP)
	}
	for _, a := range c.answers() {
		if a.status == 0 {
			r.note("job %s got no answer: %v", a.id, a.err)
		}
	}
	if !n0.running() {
		return 0, fmt.Errorf("n0 has ended")
	}
	received := map[string][]receipt{}
	for _, e := range workers.receipts() {
		if e.class == class {
			received[e.id] = append(received[e.id], e)
		}
	}
	if len(received) == 0 {
		return 0, fmt.Errorf("no job reached a worker")
	}
	for _, id := range sorted(received) {
		if tries := received[id]; len(tries) > 1 && tries[0].begun {
			r.found("job %s must never run twice; %s began it, and %s got it again %.3f s later", id,
				tries[0].worker, tries[1].worker, tries[1].at.Sub(tries[0].at).Seconds())
		}
	}
	r.say("%d jobs sent, %d reached a worker", jobs, len(received))
	return r.verdict("duplicate"), nil
}
