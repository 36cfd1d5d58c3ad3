package downstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// fakeHandler implements Handler and Phase. It passes each call on to the test.
type fakeHandler struct {
	arrivals, disconnects chan *Request
	ending                atomic.Bool
}

func (d *fakeHandler) Arrive(r *Request) { d.arrivals <- r }
func (d *fakeHandler) ClientDisconnected(r *Request) {
	if !r.Disconnected() {
		panic("ClientDisconnected was called for a request that is not marked as disconnected")
	}
	d.disconnects <- r
}
func (d *fakeHandler) Ready() bool  { return !d.Ending() }
func (d *fakeHandler) Ending() bool { return d.ending.Load() }

var classes = map[string]Class{"safe": {Deadline: 5 * time.Second}, "keyed": {Keyed: true, Deadline: 8 * time.Second}}

func startServer(t *testing.T, maxConns int) (*Server, *fakeHandler, *wiretest.Listener) {
	d := &fakeHandler{arrivals: make(chan *Request, 64), disconnects: make(chan *Request, 64)}
	s, l := NewServer(classes, d, d, maxConns, t.Logf), wiretest.NewListener()
	go s.Serve(l)
	t.Cleanup(func() { l.Close() })
	return s, d, l
}

func job(id string) string {
	return "POST /safe/a?b=1 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: safe\r\nTenant: acme\r\n" +
		"Request-Timeout: 0.480\r\nRequest-Info: slots=2,memory=1.5,novel=x\r\nContent-Length: 4\r\n\r\nbody"
}

// The states of a client connection in the model.
const (
	clientIdle    = iota // between requests
	clientSending        // has sent half a request
	clientWaiting        // the handler has its request
	clientClosed         // no connection
)

// The bytes that a client has sent beyond the request that the handler is working on, in the model.
const (
	pipelinedNone     = iota
	pipelinedHalf     // half of its next request
	pipelinedComplete // its complete next request
	pipelinedTooMuch  // more than the buffer holds
)

// FuzzConnection runs random steps of a client, the handler and the phase. It
// checks the calls of the handler, the answers that the client receives and the
// closing of the connection against a model, whose states are listed above.
func FuzzConnection(f *testing.F) {
	f.Add([]byte{0, 3, 0, 4, 0, 3})
	f.Add([]byte{1, 2, 3, 1, 4, 5, 6, 0, 8, 3, 6})
	f.Add([]byte{1, 7, 2, 3, 7, 0, 7, 3})
	f.Add([]byte{0, 9, 3, 2, 10, 3, 3, 0, 10, 11, 3, 6})
	f.Add([]byte{0, 9, 4, 0, 9, 10, 4, 1, 2, 10, 4, 0, 11, 4, 0, 9, 11, 4})
	f.Add([]byte{0, 10, 8, 3, 0, 9, 3, 0, 11, 3})
	f.Add([]byte{12, 3, 12, 10, 3, 4, 13, 0, 3, 13, 8, 12, 13})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, d, l := startServer(t, 8)
		state, pipelined, n := clientClosed, pipelinedNone, 0
		var c *wiretest.Client
		var r *Request
		expectArrival := func() {
			r, state = wiretest.Get(t, d.arrivals, "an arrival"), clientWaiting
			if r.ID != fmt.Sprint(n) || string(r.Body) != "body" || r.Slots != 2 || r.URI != "/safe/a?b=1" {
				t.Fatalf("request %d: the handler got %+v", n, r)
			}
		}
		answer := func() {
			ending := d.Ending() || pipelined == pipelinedTooMuch
			r.Answer(Answer{Status: 200 + n%2*303, Body: []byte("result"), RetryAfter: 0.25})
			if got, body := c.Status(t); got != 200+n%2*303 || body != "result" {
				t.Fatalf("request %d: got status %d and body %q", n, got, body)
			}
			if state = clientIdle; ending {
				c.Ended(t)
				c.Close()
				state = clientClosed
			} else if pipelined == pipelinedHalf {
				n, state = n+1, clientSending
			} else if pipelined == pipelinedComplete {
				n++
				expectArrival()
			}
			pipelined = pipelinedNone
		}
		wiretest.Steps(data, 40, func(b byte) {
			if state == clientClosed {
				c, state = l.Dial(), clientIdle
			}
			step := int(b) % 14
			half := len(job(fmt.Sprint(n))) / 2
			next := job(fmt.Sprint(n + 1))
			switch {
			case step == 0 && state == clientIdle:
				n++
				io.WriteString(c, job(fmt.Sprint(n)))
				expectArrival()
			case step == 1 && state == clientIdle:
				n++
				io.WriteString(c, job(fmt.Sprint(n))[:half])
				state = clientSending
			case step == 2 && state == clientSending:
				io.WriteString(c, job(fmt.Sprint(n))[half:])
				expectArrival()
			case step == 3 && state == clientWaiting:
				answer()
			case step == 4:
				c.Close()
				if state == clientWaiting && wiretest.Get(t, d.disconnects, "a client's disconnect") != r {
					t.Fatal("got the disconnect of another request")
				}
				state, pipelined = clientClosed, pipelinedNone
			case step == 5 && state == clientIdle:
				go io.WriteString(c, "nonsense\r\n\r\n")
				if got, _ := c.Status(t); got != 400 {
					t.Fatalf("malformed request: got status %d, want 400", got)
				}
				c.Ended(t)
				c.Close()
				state = clientClosed
			case step == 6 && state == clientIdle:
				io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
				if got, _ := c.Status(t); (got == 200) == d.Ending() {
					t.Fatalf("health check got %d", got)
				}
				if d.Ending() {
					c.Ended(t)
					c.Close()
					state = clientClosed
				}
			case step == 7 && state == clientIdle:
				closed := make(chan struct{})
				go func() { defer close(closed); c.Reader.ReadByte() }()
				wiretest.Until(t, "an idle connection to close", func() bool {
					s.CloseIdle(0) // repeated, as the server may not have accepted the connection yet
					select {
					case <-closed:
						return true
					default:
						return false
					}
				})
				c.Close()
				state = clientClosed
			case step == 7:
				s.CloseIdle(0) // a pending request is still answered; half a request may be closed or not
				if state == clientSending {
					c.Close()
					state = clientClosed
				}
			case step == 8:
				d.ending.Store(true)
			case step == 9 && state == clientWaiting && pipelined == pipelinedNone:
				io.WriteString(c, next[:len(next)/2])
				pipelined = pipelinedHalf
			case step == 10 && state == clientWaiting && pipelined == pipelinedNone:
				io.WriteString(c, next)
				pipelined = pipelinedComplete
			case step == 10 && state == clientWaiting && pipelined == pipelinedHalf:
				io.WriteString(c, next[len(next)/2:])
				pipelined = pipelinedComplete
			case step == 12 && state == clientIdle:
				n++
				go io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"+job(fmt.Sprint(n)))
				if got, _ := c.Status(t); (got == 200) == d.Ending() {
					t.Fatalf("health check got %d", got)
				}
				if !d.Ending() {
					expectArrival()
					break
				}
				c.Ended(t)
				c.Close()
				state = clientClosed
			case step == 13 && state == clientIdle:
				n++
				io.WriteString(c, job(fmt.Sprint(n)))
				c.Close()
				expectArrival()
				if wiretest.Get(t, d.disconnects, "a client's disconnect") != r {
					t.Fatal("got the disconnect of another request")
				}
				state = clientClosed
			case step == 11 && state == clientWaiting:
				io.WriteString(c, strings.Repeat("x", maxHead+1))
				pipelined = pipelinedTooMuch
			}
		})
		for state == clientWaiting {
			answer()
		}
		if c != nil {
			c.Close()
		}
		wiretest.Until(t, "the connections to close", func() bool { return s.Open() == 0 && s.InFlight() == 0 })
		if len(d.arrivals)+len(d.disconnects) > 0 {
			t.Fatalf("got %d more arrivals and %d more disconnects, want none", len(d.arrivals), len(d.disconnects))
		}
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	head := "Host: x\r\nRequest-Id: a\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name, raw string
		want      int
	}{
		{"path", "POST /other HTTP/1.1\r\n" + head + "\r\n", 404},
		{"method", "GET /safe HTTP/1.1\r\n" + head + "\r\n", 405},
		{"health method", "POST /healthz HTTP/1.1\r\n" + head + "\r\n", 405},
		{"no id", "POST /safe HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"class", "POST /safe HTTP/1.1\r\n" + head + "Request-Class: keyed\r\n\r\n", 400},
		{"no key", "POST /keyed HTTP/1.1\r\n" + head + "\r\n", 400},
		{"timeout", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout: NaN\r\n\r\n", 400},
		{"empty timeout", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout:\r\n\r\n", 400},
		{"infinite timeout", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout: Inf\r\n\r\n", 400},
		{"negative timeout", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout: -1\r\n\r\n", 400},
		{"malformed slots", "POST /safe HTTP/1.1\r\n" + head + "Request-Info: slots=many\r\n\r\n", 400},
		{"long body", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: 65537\r\n\r\n", 413},
		{"long chunks", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
			strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413},
		{"endless head", "POST /safe HTTP/1.1\r\n" + strings.Repeat("X-Y: z\r\n", 8000), 431},
		{"slow head", "POST /safe HTTP/1.1\r\nHost:", 408},
		{"slow body", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nb", 408},
		{"length and transfer coding", "POST /safe HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + job("hidden"), 400},
		{"length twice", "POST /safe HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n", 400},
		{"signed length", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: +0\r\n\r\n", 400},
		{"negative length", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: -4\r\n\r\n", 400},
		{"blank before colon", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length : 300\r\n\r\n" + job("hidden"), 400},
		{"folded line", "POST /safe HTTP/1.1\r\n" + head + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n", 400},
		{"no CR", "POST /safe HTTP/1.1\nHost: x\n", 400},
		{"transfer coding in HTTP/1.0", "POST /safe HTTP/1.0\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		{"unknown transfer coding", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"id twice", "POST /safe HTTP/1.1\r\n" + head + "Request-Id: b\r\n\r\n", 400},
		{"no host", "POST /safe HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", 400},
		{"no HTTP", "SSH-2.0-x\r\n", 400},
		{"other version", "POST /safe HTTP/2.0\r\n" + head + "\r\n", 400},
		{"bytes without a line end", "\x16\x03\x01\x02", 400},
		{"body of a health check", "GET /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n" + job("hidden"), 400},
		{"no bytes", "", 0},
	} {
		// With the fake clock of synctest, a slow test machine does not cause timeouts.
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, d, l := startServer(t, 8)
				client := l.Dial()
				defer client.Close()
				go io.WriteString(client, c.raw)
				if c.want > 0 {
					if got, _ := client.Status(t); got != c.want {
						t.Errorf("got %d, want %d", got, c.want)
					}
				}
				client.Ended(t) // bytes after the rejected request are not read as another request
				if len(d.arrivals) > 0 {
					t.Errorf("got %d requests at the handler, want none", len(d.arrivals))
				}
			})
		})
	}
}

// A client that connects when maxConns connections are busy gets a complete answer, status 503.
func TestRejectionAtCapacity(t *testing.T) {
	_, d, l := startServer(t, 1)
	first := l.Dial()
	defer first.Close()
	io.WriteString(first, job("1"))
	r := wiretest.Get(t, d.arrivals, "an arrival")
	second := l.Dial()
	defer second.Close()
	io.WriteString(second, job("2"))
	if got, _ := second.Status(t); got != 503 {
		t.Errorf("got %d, want 503", got)
	}
	r.Answer(Answer{Status: 200})
	if got, _ := first.Status(t); got != 200 {
		t.Errorf("got %d, want 200", got)
	}
}

// count returns the number of connections in a state.
func (s *Server) count(in state) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == in {
			n++
		}
	}
	return n
}

// Clients that send nothing, send slowly, or stay idle after a request must not
// block new clients. Their connections are evicted in this order: unused, used
// once, used more often, slow.
func TestEvictionOrder(t *testing.T) {
	s, d, l := startServer(t, 4)
	s.newConnGrace, s.requestReadTimeout = 0, time.Hour
	n := 0
	submit := func(c *wiretest.Client) *Request {
		n++
		io.WriteString(c, job(fmt.Sprint(n)))
		return wiretest.Get(t, d.arrivals, "an arrival")
	}
	use := func(c *wiretest.Client, times int) {
		for range times {
			submit(c).Answer(Answer{Status: 200})
			c.Status(t)
		}
	}
	often, slow, once, unused := l.Dial(), l.Dial(), l.Dial(), l.Dial()
	use(often, 2)
	use(once, 1)
	io.WriteString(slow, "POST /safe HTTP/1.1\r\nHost:")
	wiretest.Until(t, "the connections to reach their states",
		func() bool { return s.count(stateIdle) == 3 && s.count(stateReading) == 1 && s.Open() == 4 })
	var pending []*Request
	for _, old := range []*wiretest.Client{unused, once, often, slow} {
		c := l.Dial()
		defer c.Close()
		if old == slow {
			if got, _ := old.Status(t); got != 408 {
				t.Errorf("slow client: got status %d, want 408", got)
			}
		}
		old.Ended(t) // evicted for the new connection, even if the new connection's goroutine has not run yet
		old.Close()
		pending = append(pending, submit(c))
	}
	for _, r := range pending {
		r.Answer(Answer{Status: 200})
	}
}

// A lower limit takes effect immediately, even if no client connects: idle connections are closed,
// slow requests are answered with 408, and connections that await an answer are kept.
func TestResizeToLowerLimit(t *testing.T) {
	s, d, l := startServer(t, 16)
	s.newConnGrace, s.requestReadTimeout = 0, time.Hour
	var waiting, idle, slow []*wiretest.Client
	for range 3 {
		c := l.Dial()
		defer c.Close()
		io.WriteString(c, job(fmt.Sprint(len(waiting))))
		waiting = append(waiting, c)
	}
	var pending []*Request
	for range waiting {
		pending = append(pending, wiretest.Get(t, d.arrivals, "an arrival"))
	}
	for range 5 {
		c := l.Dial()
		defer c.Close()
		io.WriteString(c, "POST /safe HTTP/1.1\r\nHost:")
		slow = append(slow, c)
		c = l.Dial()
		defer c.Close()
		idle = append(idle, c)
	}
	wiretest.Until(t, "the connections to reach their states",
		func() bool { return s.count(stateIdle) == 5 && s.count(stateReading) == 5 && s.Open() == 13 })
	s.Resize(4)
	wiretest.Until(t, "only 3 waiting and 5 slow connections to be left", func() bool { return s.Open() <= 8 })
	for _, c := range idle {
		c.Ended(t)
	}
	statuses := make(chan int, len(slow))
	for _, c := range slow {
		go func() {
			if resp, err := http.ReadResponse(c.Reader, nil); err == nil {
				resp.Body.Close()
				statuses <- resp.StatusCode
			}
		}()
	}
	for range 4 {
		if got := wiretest.Get(t, statuses, "the answer to a slow client"); got != 408 {
			t.Errorf("slow client: got status %d, want 408", got)
		}
	}
	wiretest.Until(t, "the evicted connections to close",
		func() bool { return s.Open() == 4 && s.count(stateReading) == 1 })
	for n, r := range pending {
		r.Answer(Answer{Status: 200 + n})
	}
	for _, c := range waiting {
		if got, _ := c.Status(t); got < 200 || got > 202 {
			t.Errorf("waiting request: got status %d, want 200 to 202", got)
		}
	}
}

// Serve must not return when Accept fails, as it does when the process has no descriptor left.
func TestServeContinuesAfterAcceptError(t *testing.T) {
	d := &fakeHandler{arrivals: make(chan *Request, 1)}
	l := &failOnceListener{Listener: wiretest.NewListener()}
	s := NewServer(classes, d, d, 8, t.Logf)
	go s.Serve(l)
	c := l.Dial()
	defer c.Close()
	io.WriteString(c, job("1"))
	wiretest.Get(t, d.arrivals, "an arrival").Answer(Answer{Status: 200})
	if got, _ := c.Status(t); got != 200 {
		t.Errorf("got %d, want 200", got)
	}
	l.Close()
}

type failOnceListener struct {
	*wiretest.Listener
	failed bool
}

func (f *failOnceListener) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, fmt.Errorf("too many open files")
	}
	return f.Listener.Accept()
}

func TestWriteAnswer(t *testing.T) {
	for _, c := range []struct {
		a                 Answer
		closing, headOnly bool
		want              string
	}{
		{Answer{Status: 200, Body: []byte("ok")}, false, false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{Answer{Status: 200, Body: []byte("ok")}, false, true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
		// RetryAfter is rounded up, since a client that retries too early would be rejected again.
		{Answer{Status: 503, RetryAfter: 0.00001}, true, false,
			"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.001\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		{Answer{Status: 405, Allow: "POST"}, false, false,
			"HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nContent-Length: 0\r\n\r\n"},
	} {
		var b strings.Builder
		if err := writeAnswer(&b, c.a, c.closing, c.headOnly); err != nil || b.String() != c.want {
			t.Errorf("got %q (error %v), want %q", b.String(), err, c.want)
		}
	}
}
