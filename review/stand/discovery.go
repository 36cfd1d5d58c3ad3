package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is a stand-in for the service that names the workers. Each dispatcher calls it at an address of its
// own, so that the record shows what each was told.
type discovery struct {
	rig     *rig
	latency time.Duration // from a call to its answer

	mu      sync.Mutex
	seq     int64
	entries map[string]object
	dials   map[string]map[string]string // by host and dispatcher, where each dispatcher has an address of its own
	changed map[string]int64             // by host: the version of its last change
	views   map[string]*view
	wake    chan struct{} // closed at each change
}

// view is discovery as one dispatcher meets it.
type view struct {
	name    string
	address string
	watches map[*watch]bool
	told    map[string]time.Time // by host and health: when it was first written
}

// watch is one open watch.
type watch struct {
	ending bool // it falls silent after its next empty line
	silent bool
}

func newDiscovery(r *rig, latency time.Duration) *discovery {
	return &discovery{rig: r, latency: latency, seq: 1, entries: map[string]object{}, changed: map[string]int64{},
		dials: map[string]map[string]string{},
		views: map[string]*view{}, wake: make(chan struct{})}
}

// set changes a host's entry.
func (d *discovery) set(hosts ...object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		name := h["host"].(string)
		d.entries[name] = h
		d.changed[name] = d.seq
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

// entryFor returns a host's entry as a dispatcher gets it. The caller holds mu.
func (d *discovery) entryFor(v *view, host string) object {
	address, own := d.dials[host][v.name]
	if !own {
		return d.entries[host]
	}
	entry := maps.Clone(d.entries[host])
	entry["dial"] = address
	return entry
}

// entry returns a worker's entry.
func (w *worker) entry(health string) object {
	return object{"host": w.id, "dial": w.address, "site": w.zone, "class": w.kind, "block": w.block,
		"health": health, "share": 1.0, "born_ms": w.bornMS}
}

// open listens for a dispatcher and returns its view.
func (d *discovery) open(name string) (*view, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &view{name: name, address: l.Addr().String(), watches: map[*watch]bool{}, told: map[string]time.Time{}}
	d.mu.Lock()
	d.views[name] = v
	d.mu.Unlock()
	handler := http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { d.answer(v, out, in) })
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return v, nil
}

func (d *discovery) answer(v *view, out http.ResponseWriter, in *http.Request) {
	time.Sleep(d.latency)
	flusher := http.NewResponseController(out)
	if in.URL.Query().Get("stream") != "1" {
		d.write(v, out, flusher, 0, true)
		return
	}
	d.mu.Lock()
	w := &watch{}
	v.watches[w] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(v.watches, w)
		d.mu.Unlock()
	}()
	from, _ := strconv.ParseInt(in.URL.Query().Get("index"), 10, 64)
	d.rig.note("discovery: watch of %s from version %d", v.name, from)
	from = d.write(v, out, flusher, from, false)
	for {
		d.mu.Lock()
		wake := d.wake
		behind := d.seq > from
		d.mu.Unlock()
		if !behind {
			select {
			case <-wake:
			case <-in.Context().Done():
				return
			case <-time.After(2 * time.Second):
				if !d.isSilent(w) {
					fmt.Fprint(out, "\n")
					_ = flusher.Flush()
					d.endIfDue(w)
				}
				continue
			}
		}
		if d.isSilent(w) {
			<-in.Context().Done()
			return
		}
		from = d.write(v, out, flusher, from, false)
	}
}

func (d *discovery) isSilent(w *watch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return w.silent
}

// endIfDue makes a watch silent if it has written its last line.
func (d *discovery) endIfDue(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.silent = w.ending
}

// write writes what changed after a version, or the whole list, and returns the version written.
func (d *discovery) write(
	v *view, out http.ResponseWriter, flusher *http.ResponseController, from int64, whole bool,
) int64 {
	d.mu.Lock()
	seq := d.seq
	hosts := []object{}
	for _, name := range sorted(d.entries) {
		if whole || d.changed[name] > from {
			hosts = append(hosts, d.entryFor(v, name))
		}
	}
	d.mu.Unlock()
	_ = json.NewEncoder(out).Encode(object{"seq": seq, "whole": whole, "hosts": hosts})
	_ = flusher.Flush()
	now := time.Now()
	d.mu.Lock()
	for _, h := range hosts {
		key := h["host"].(string) + " " + h["health"].(string)
		if _, known := v.told[key]; !known {
			v.told[key] = now
		}
	}
	d.mu.Unlock()
	for _, h := range hosts {
		d.rig.note("discovery told %s: version %d, %s is %s", v.name, seq, h["host"], h["health"])
	}
	return seq
}

// silence makes the watches that some dispatchers have open silent, each after its next empty line, and returns when
// all are. They stay open; later calls are answered.
func (d *discovery) silence(views ...*view) error {
	d.mu.Lock()
	for _, v := range views {
		for w := range v.watches {
			w.ending = true
		}
	}
	d.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if d.allSilent(views) {
			d.rig.note("discovery: the open watches of %d dispatchers have fallen silent", len(views))
			return nil
		}
	}
	return errors.New("a watch did not fall silent")
}

func (d *discovery) allSilent(views []*view) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range views {
		for w := range v.watches {
			if !w.silent {
				return false
			}
		}
	}
	return true
}

// toldAt returns when a dispatcher was first told of a host's health.
func (d *discovery) toldAt(v *view, host, health string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := v.told[host+" "+health]
	return at, ok
}
