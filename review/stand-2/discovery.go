package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	pollPeriod  = 5 * time.Millisecond
	blankPeriod = 2 * time.Second
)

// entry is a zone worker as discovery lists it. Dials has the address for each dispatcher.
type entry struct {
	Host   string
	Dials  []string
	Site   string
	Class  string
	Block  int
	Health string
	BornMS int64
}

// change is one version of the list.
type change struct {
	entry
	seq int
}

// discovery is the service that lists the zone workers. Each dispatcher has an address of its own, so that the record
// says what was written to whom.
type discovery struct {
	record *record
	addrs  []string

	mu      sync.Mutex
	changes []change
	told    []map[int]time.Time // by dispatcher and version: when it was written to it
	down    bool                // calls and watches end at once
}

func newDiscovery(rec *record, dispatchers int) (*discovery, error) {
	d := &discovery{record: rec}
	for i := range dispatchers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.addrs = append(d.addrs, l.Addr().String())
		d.told = append(d.told, map[int]time.Time{})
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(i, w, r) }))
		}()
	}
	return d, nil
}

// set makes a new version of the list.
func (d *discovery) set(e entry) (seq int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c := change{entry: e, seq: len(d.changes) + 1}
	d.changes = append(d.changes, c)
	d.record.addAt(now, "discovery: version %d: %s is %s", c.seq, e.Host, e.Health)
	return c.seq
}

// setDown takes discovery down, or brings it back.
func (d *discovery) setDown(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
	d.record.add("discovery: down: %v", on)
}

// seen returns the changes so far, and whether discovery is down.
func (d *discovery) seen() (list []change, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.changes), d.down
}

// toldAt returns when a version was written to a dispatcher.
func (d *discovery) toldAt(dispatcher, seq int) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.told[dispatcher][seq]
	return t, ok
}

func (d *discovery) noteTold(dispatcher, seq int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := seq; n > 0; n-- {
		if _, known := d.told[dispatcher][n]; known {
			break
		}
		d.told[dispatcher][n] = time.Now()
		d.record.add("discovery: version %d written to n%d", n, dispatcher)
	}
}

type hostJSON struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type listJSON struct {
	Seq   int        `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []hostJSON `json:"hosts"`
}

func (c *change) json(dispatcher int) hostJSON {
	return hostJSON{c.Host, c.Dials[dispatcher], c.Site, c.Class, c.Block, c.Health, 1, c.BornMS}
}

// whole returns the complete list after some changes.
func whole(dispatcher int, changes []change) listJSON {
	list := listJSON{Whole: true, Hosts: []hostJSON{}}
	last := map[string]*change{}
	var order []string
	for i := range changes {
		c := &changes[i]
		if last[c.Host] == nil {
			order = append(order, c.Host)
		}
		last[c.Host] = c
		list.Seq = c.seq
	}
	for _, host := range order {
		if last[host].Health != "left" {
			list.Hosts = append(list.Hosts, last[host].json(dispatcher))
		}
	}
	return list
}

func (d *discovery) serve(dispatcher int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	changes, down := d.seen()
	if down {
		reset(w)
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		_ = json.NewEncoder(w).Encode(whole(dispatcher, changes))
		return
	}
	at, _ := strconv.Atoi(r.URL.Query().Get("index"))
	first := whole(dispatcher, changes)
	if at > 0 && at <= len(changes) {
		first = delta(dispatcher, changes, at)
	}
	flusher := w.(http.Flusher)
	write := func(list listJSON) {
		_ = json.NewEncoder(w).Encode(list)
		flusher.Flush()
		d.noteTold(dispatcher, list.Seq)
	}
	write(first)
	sent := len(changes)
	lastWrite := time.Now()
	for r.Context().Err() == nil {
		time.Sleep(pollPeriod)
		changes, down = d.seen()
		switch {
		case down:
			reset(w)
			return
		case len(changes) > sent:
			write(delta(dispatcher, changes, sent))
			sent = len(changes)
			lastWrite = time.Now()
		case time.Since(lastWrite) >= blankPeriod:
			_, _ = w.Write([]byte("\n"))
			flusher.Flush()
			lastWrite = time.Now()
		}
	}
}

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the connection ends all the same
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// delta returns what changed after a version.
func delta(dispatcher int, changes []change, after int) listJSON {
	list := listJSON{Seq: len(changes), Hosts: []hostJSON{}}
	for i := after; i < len(changes); i++ {
		list.Hosts = append(list.Hosts, changes[i].json(dispatcher))
	}
	return list
}
