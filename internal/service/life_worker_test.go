package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/connstate"
	"example.org/bellstream/internal/lab/invariants"
	"example.org/bellstream/internal/lab/wiretest"
)

// worker is a simulated worker that answers each request in a randomly chosen way.
type worker struct {
	scenario *scenario
	index    int
	name     string
	l        net.Listener
	mu       sync.Mutex
	rng      *rand.Rand
	open     map[net.Conn]bool
	slow     atomic.Bool // accepts connections with a delay
}

func (w *worker) randInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *worker) accept() {
	defer w.scenario.wg.Done()
	for {
		slow := w.slow.Load()
		if slow {
			time.Sleep(5 * time.Millisecond) // requests on connections in the backlog are sent well before they are read
		}
		c, err := w.l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.open[c] = true
		w.mu.Unlock()
		w.scenario.wg.Add(1)
		go w.serve(c, slow)
	}
}

func (w *worker) serve(c net.Conn, slow bool) {
	defer func() {
		w.mu.Lock()
		delete(w.open, c)
		w.mu.Unlock()
		c.Close()
		w.scenario.wg.Done()
	}()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := w.scenario.now()
		if w.randInt(40) == 0 { // reset before the request is read completely
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if req.Method == http.MethodGet {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":4}")
			continue
		}
		t := w.scenario.recordAttempt(w, c, slow, req.Header.Get("Request-Id"), first)
		if !w.respond(c, r, t) {
			return
		}
		slow = false
	}
}

// recordAttempt records an attempt whose request was read completely. If another attempt of the same request is in
// flight, the dispatcher must have ended the connection of one of the two before it sent the other. The one whose
// connection has ended was sent first, in whatever order the workers read them.
func (p *scenario) recordAttempt(w *worker, c net.Conn, slow bool, id string, first float64) *workerAttempt {
	t := &workerAttempt{Attempt: invariants.Attempt{ID: id, Worker: w.name, Dispatcher: "d", First: first, Last: p.now()}, conn: c, mayHaveQueued: slow}
	p.mu.Lock()
	var overlapping []*workerAttempt
	for _, o := range p.attempts {
		if o.ID == id && (!o.ended || o.closedByDispatcher || o.End > first) {
			overlapping = append(overlapping, o)
		}
	}
	p.attempts = append(p.attempts, t)
	p.mu.Unlock()
	for _, o := range overlapping {
		var closed *workerAttempt
		p.mu.Lock()
		done := o.ended && !o.closedByDispatcher // ended by its worker, which may have closed the connection
		p.mu.Unlock()
		for end := time.Now().Add(closeVisibleWithin); closed == nil && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
			if !done && !connstate.IsQuiet(o.conn) {
				closed = o
			} else if !connstate.IsQuiet(c) {
				closed = t
			} // else the system may not have reported the end yet
		}
		p.mu.Lock()
		if closed == nil {
			p.fail("request %s was sent to %s while an attempt was in flight at %s", id, w.name, o.Worker)
		} else {
			next := t.First
			if closed == t {
				next = o.First
			}
			next -= 1e-6
			if closed.End == 0 || closed.End > next {
				closed.End = next
			}
			closed.ended, closed.closedByDispatcher, closed.First = true, true, min(closed.First, closed.End)
		}
		p.mu.Unlock()
	}
	return t
}

// closeVisibleWithin is the time within which the end of a connection must be visible at its other side.
const closeVisibleWithin = 250 * time.Millisecond

// endAttempt records the end of an attempt. Later calls for the same attempt have no effect.
func (p *scenario) endAttempt(t *workerAttempt, result string, unstarted, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended, t.Result, t.Unstarted, t.closedByDispatcher = true, result, unstarted, cut
	if t.End == 0 {
		t.End = p.now()
	}
}

// respond answers one request, and reports whether the connection stays open.
func (w *worker) respond(c net.Conn, r *bufio.Reader, t *workerAttempt) bool {
	p := w.scenario
	line := func(rest string) string { return fmt.Sprintf(`{"id":%q,"from":%q,"state":%s}`, t.ID, w.name, rest) }
	// wait pauses for a duration. It returns false if the other side ends the connection or sends bytes meanwhile.
	wait := func(d time.Duration) bool {
		c.SetReadDeadline(time.Now().Add(d))
		defer c.SetReadDeadline(time.Time{})
		_, err := r.Peek(1)
		if err == nil {
			p.mu.Lock()
			p.fail("%s: received bytes after request %s, which is not answered yet", w.name, t.ID)
			p.mu.Unlock()
			return false
		}
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return true
		}
		p.endAttempt(t, "", false, true)
		return false
	}
	kind := w.randInt(24)
	if kind < 12 && !wait(time.Duration(w.randInt(40))*time.Millisecond) {
		return false
	}
	result := "from " + w.name
	done := wiretest.Lines(true, line(`"started"`), line(`"running","share":0.4`), line(fmt.Sprintf(`"done","result":%q`, result)))
	rejected := "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	switch kind {
	default:
		p.endAttempt(t, result, false, false)
		io.WriteString(c, done)
	case 10, 11: // the answer is sent in pieces
		io.WriteString(c, wiretest.Lines(false, line(`"started"`)))
		if !wait(time.Duration(w.randInt(60)) * time.Millisecond) {
			return false
		}
		p.endAttempt(t, result, false, false)
		last := line(fmt.Sprintf(`"done","result":%q`, result))
		fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(last)+1, last)
		wait(time.Duration(w.randInt(5)) * time.Millisecond)
		io.WriteString(c, "0\r\n\r\n")
	case 12: // a second answer follows some milliseconds later
		p.endAttempt(t, result, false, false)
		io.WriteString(c, done)
		time.Sleep(time.Duration(w.randInt(8)) * time.Millisecond)
		io.WriteString(c, done)
	case 13:
		p.endAttempt(t, "", false, false)
		io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	case 14:
		p.endAttempt(t, "", true, false)
		io.WriteString(c, rejected)
	case 15:
		p.endAttempt(t, "", true, false)
		io.WriteString(c, wiretest.Lines(true, line(`"returned"`)))
	case 16:
		p.endAttempt(t, "", false, false)
		io.WriteString(c, wiretest.Lines(true, line(`"started"`), line(`"lost"`)))
	case 17: // half a line, then nothing
		io.WriteString(c, wiretest.Lines(false, line(`"started"`))+"40\r\n{\"id")
		for wait(time.Hour) {
		}
		return false
	case 18: // half a line, then the connection is closed
		p.endAttempt(t, "", false, false)
		io.WriteString(c, wiretest.Lines(false, line(`"started"`))+"40\r\n{\"id")
		return false
	case 19: // a reset, immediately or after a delay
		if w.randInt(2) == 0 && !wait(time.Duration(w.randInt(150))*time.Millisecond) {
			return false
		}
		p.endAttempt(t, "", false, false)
		c.(*net.TCPConn).SetLinger(0)
		return false
	case 20: // no answer
		for wait(time.Hour) {
		}
		return false
	case 21: // the connection is closed without an answer
		p.endAttempt(t, "", false, false)
		return false
	case 22: // an answer with the id of another request
		p.endAttempt(t, "", false, false)
		io.WriteString(c, strings.ReplaceAll(done, t.ID, "r-other"))
	case 23: // the job fails
		p.endAttempt(t, "", false, false)
		io.WriteString(c, wiretest.Lines(true, line(`"failed"`)))
	}
	return true
}
