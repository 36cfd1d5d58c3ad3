package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// receipt is one request that arrived at a worker whole.
type receipt struct {
	at     time.Time // of its head
	id     string
	worker string
	from   string // the dispatcher to which discovery names the address that it came to; empty: the only one
	class  string
	begun  bool // the worker began to run it
}

// worker is a stand-in for a zone worker. It runs jobs in its slots, in order of arrival.
type worker struct {
	rig     *rig
	id      string
	zone    string
	kind    string
	block   int
	slots   int
	address string
	dials   map[string]string // by dispatcher: the address at which it reaches the worker, if each has its own
	bornMS  int64

	// runs says what becomes of a request that a slot is free for.
	runs func(id, class string, tries int) outcome

	free chan struct{}
	book *book
}

// outcome is what a worker makes of a job that it began.
type outcome struct {
	after time.Duration // from the start of the job
	state string        // done, failed, reset
}

// book is what all workers received.
type book struct {
	mu   sync.Mutex
	list []*receipt
	seen map[string][]*receipt
}

func newBook() *book { return &book{seen: map[string][]*receipt{}} }

func (b *book) add(r *receipt) (tries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, r)
	b.seen[r.id] = append(b.seen[r.id], r)
	return len(b.seen[r.id])
}

func (b *book) begin(r *receipt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.begun = true
}

// receipts returns copies of what arrived.
func (b *book) receipts() []receipt {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]receipt, len(b.list))
	for i, r := range b.list {
		list[i] = *r
	}
	return list
}

// startWorker starts a worker on a loopback address, and on one more for each dispatcher that is named.
func (r *rig) startWorker(w *worker, dispatchers ...string) error {
	w.rig = r
	w.free = make(chan struct{}, w.slots)
	for range w.slots {
		w.free <- struct{}{}
	}
	w.dials = map[string]string{}
	for _, name := range append([]string{""}, dispatchers...) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		w.dials[name] = l.Addr().String()
		handler := http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(name, out, in) })
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second}
		go func() { _ = server.Serve(l) }()
	}
	w.address = w.dials[""]
	return nil
}

// serve answers load reports and runs jobs.
func (w *worker) serve(from string, out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		w.report(out)
		return
	}
	arrived := time.Now() // a send's time counts from its first byte
	body, err := io.ReadAll(in.Body)
	id := in.Header.Get("Request-Id")
	if err != nil || id == "" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/"), "/")
	r := &receipt{at: arrived, id: id, worker: w.id, from: from, class: class}
	tries := w.book.add(r)
	w.rig.note("worker %s received %s (%s) from %q, receipt %d, timeout %s, %d bytes",
		w.id, id, class, from, tries, in.Header.Get("Request-Timeout"), len(body))
	select {
	case <-w.free:
	case <-in.Context().Done():
		w.rig.note("worker %s dropped %s unstarted", w.id, id)
		return
	}
	defer func() { w.free <- struct{}{} }()
	w.book.begin(r)
	w.run(out, id, w.runs(id, class, tries))
}

func (w *worker) report(out http.ResponseWriter) {
	free := len(w.free)
	_ = json.NewEncoder(out).Encode(object{"avg_ms": 300, "waiting": 0, "x0": free, "x1": free})
}

// run plays a job. Work that has begun goes on when its connection ends.
func (w *worker) run(out http.ResponseWriter, id string, o outcome) {
	flusher := http.NewResponseController(out)
	line := func(state, more string) {
		fmt.Fprintf(out, "{\"id\":%q,\"from\":%q,\"state\":%q%s}\n", id, w.id, state, more)
		_ = flusher.Flush()
	}
	line("started", "")
	w.rig.note("worker %s began %s", w.id, id)
	time.Sleep(o.after)
	switch o.state {
	case "reset":
		w.rig.note("worker %s resets the connection under %s, which it has begun", w.id, id)
		if c, _, err := flusher.Hijack(); err == nil {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	case "failed":
		line("failed", "")
	default:
		line("done", fmt.Sprintf(",\"result\":%q", "result of "+id))
		w.rig.note("worker %s ended %s", w.id, id)
	}
}
