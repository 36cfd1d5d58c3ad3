package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// quickly is the time after which a request fails at a zone worker that fails quickly.
const quickly = 20 * time.Millisecond

// keepAlive is how long a connection may stand idle, and progressPeriod is how often a job tells its progress, both as
// the settings say.
const (
	keepAlive      = 15 * time.Second
	progressPeriod = time.Second
)

// workerSlots is the number of slots of each zone worker.
const workerSlots = 5

// run is one request that came to a zone worker.
type run struct {
	worker  string
	from    int // dispatcher
	id      string
	key     string
	path    string
	first   time.Time // its head was read
	last    time.Time // its last byte had arrived
	started time.Time // a slot was free; zero: never
	ended   time.Time
	served  bool
}

// worker is a zone worker with some slots and a queue in order of arrival. It has an address for each dispatcher, so
// that the record says who sent what.
type worker struct {
	fleet *fleet
	name  string
	zone  string
	slots int
	dials []string

	mu       sync.Mutex
	running  int
	queue    []chan struct{}
	lastSpan time.Duration // of the last job that ended
	failing  float64       // share of the requests that fail quickly, after they have started
}

// fleet is all zone workers.
type fleet struct {
	record *record
	work   func(path string, r *rand.Rand) time.Duration // how long a job runs

	mu      sync.Mutex
	rng     *rand.Rand
	workers []*worker
	runs    []*run
}

func newFleet(rec *record, work func(path string, r *rand.Rand) time.Duration) *fleet {
	return &fleet{record: rec, work: work, rng: rand.New(rand.NewPCG(1, 1))}
}

func (f *fleet) add(name, zone string, dispatchers int) (*worker, error) {
	w := &worker{fleet: f, name: name, zone: zone, slots: workerSlots}
	for i := range dispatchers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.dials = append(w.dials, l.Addr().String())
		serve := func(rw http.ResponseWriter, r *http.Request) { w.serve(i, rw, r) }
		server := &http.Server{Handler: http.HandlerFunc(serve), IdleTimeout: keepAlive}
		go func() { _ = server.Serve(l) }()
	}
	f.workers = append(f.workers, w)
	return w, nil
}

// entry returns what discovery lists of the worker.
func (w *worker) entry(health string) entry {
	return entry{Host: w.name, Dials: w.dials, Site: w.zone, Class: "stor-5k", Health: health}
}

func (w *worker) serve(from int, rw http.ResponseWriter, r *http.Request) {
	first := time.Now()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		return
	case r.Method == http.MethodGet && r.URL.Path == "/load":
		w.mu.Lock()
		free := max(0, w.slots-w.running)
		recent := int(w.lastSpan.Milliseconds())
		report := map[string]int{"avg_ms": recent, "waiting": len(w.queue), "x0": free, "x1": free}
		w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(report)
		return
	}
	_, err := io.ReadAll(r.Body)
	if err != nil {
		return // it never came whole
	}
	x := &run{worker: w.name, from: from, id: r.Header.Get("Request-Id"), key: r.Header.Get("Idempotency-Key"),
		path: r.URL.Path, first: first, last: time.Now()}
	if x.id == "" {
		http.NotFound(rw, r)
		return
	}
	w.fleet.mu.Lock()
	w.fleet.runs = append(w.fleet.runs, x)
	span := w.fleet.work(x.path, w.fleet.rng)
	w.fleet.mu.Unlock()
	w.fleet.record.addAt(first, "%s: request %s from n%d", w.name, x.id, from)
	if !w.take(r) {
		return
	}
	defer w.free()
	w.note(x, func() { x.started = time.Now() })
	line(rw, x, `"state":"started"`)
	if w.fails() {
		time.Sleep(quickly)
		w.note(x, func() { x.ended = time.Now() })
		w.fleet.record.add("%s: request %s failed", w.name, x.id)
		line(rw, x, `"state":"failed"`)
		return
	}
	for begun := time.Now(); ; {
		left := span - time.Since(begun)
		if left <= progressPeriod {
			time.Sleep(left)
			break
		}
		time.Sleep(progressPeriod)
		line(rw, x, fmt.Sprintf(`"state":"running","share":%.2f`, time.Since(begun).Seconds()/span.Seconds()))
	}
	w.mu.Lock()
	w.lastSpan = span
	w.mu.Unlock()
	w.note(x, func() { x.ended, x.served = time.Now(), true })
	line(rw, x, `"state":"done","result":"`+x.id+` by `+w.name+`"`)
}

func (w *worker) note(_ *run, change func()) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	change()
}

func line(rw http.ResponseWriter, x *run, state string) {
	_, _ = fmt.Fprintf(rw, `{"id":"%s","from":"%s",%s}`+"\n", x.id, x.worker, state)
	rw.(http.Flusher).Flush()
}

// fails draws whether the next request fails.
func (w *worker) fails() bool {
	w.mu.Lock()
	share := w.failing
	w.mu.Unlock()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fleet.rng.Float64() < share
}

func (w *worker) setFailing(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = share
	w.fleet.record.add("%s: %.0f %% of its requests fail", w.name, share*100)
}

// take waits for a free slot, and returns false if the request was given up before.
func (w *worker) take(r *http.Request) bool {
	w.mu.Lock()
	if w.running < w.slots {
		w.running++
		w.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	w.queue = append(w.queue, turn)
	w.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-r.Context().Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.queue {
		if other == turn {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			return false
		}
	}
	return true // its turn came at the same moment: the slot is freed by the caller
}

func (w *worker) free() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		close(w.queue[0])
		w.queue = w.queue[1:]
		return
	}
	w.running--
}

// all returns copies of all requests that came.
func (f *fleet) all() (list []run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.runs {
		list = append(list, *x)
	}
	return list
}
