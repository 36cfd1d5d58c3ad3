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

// desk is the other side of the Desk and Phase interfaces, played by the test.
type desk struct {
	arrivals, leaves chan *Request
	ending           atomic.Bool
}

func (d *desk) Arrive(r *Request) { d.arrivals <- r }
func (d *desk) ClientDisconnected(r *Request) {
	if !r.Disconnected() {
		panic("told of a client's leaving that the request does not know of")
	}
	d.leaves <- r
}
func (d *desk) Ready() bool  { return !d.Ending() }
func (d *desk) Ending() bool { return d.ending.Load() }

var classes = map[string]Class{"safe": {Deadline: 5 * time.Second}, "keyed": {Keyed: true, Deadline: 8 * time.Second}}

func start(t *testing.T, most int) (*Server, *desk, *wiretest.Listener) {
	d := &desk{arrivals: make(chan *Request, 64), leaves: make(chan *Request, 64)}
	s, l := NewServer(classes, d, d, most, t.Logf), wiretest.NewListener()
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
	atIdle    = iota // between requests
	atPartial        // half a request was sent
	atHeld           // the desk has the request
	atEnd            // no connection
)

// What a client has sent on behind a request that is held, in the model.
const (
	aheadNone  = iota
	aheadHalf  // half of its next request
	aheadWhole // its whole next request
	aheadMuch  // more than is kept
)

// FuzzConnection plays random steps of a client, the desk and the phase
// against the model above: what the desk is told, what the client reads and
// when the connection ends.
func FuzzConnection(f *testing.F) {
	f.Add([]byte{0, 3, 0, 4, 0, 3})
	f.Add([]byte{1, 2, 3, 1, 4, 5, 6, 0, 8, 3, 6})
	f.Add([]byte{1, 7, 2, 3, 7, 0, 7, 3})
	f.Add([]byte{0, 9, 3, 2, 10, 3, 3, 0, 10, 11, 3, 6})
	f.Add([]byte{0, 9, 4, 0, 9, 10, 4, 1, 2, 10, 4, 0, 11, 4, 0, 9, 11, 4})
	f.Add([]byte{0, 10, 8, 3, 0, 9, 3, 0, 11, 3})
	f.Add([]byte{12, 3, 12, 10, 3, 4, 13, 0, 3, 13, 8, 12, 13})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, d, l := start(t, 8)
		state, ahead, n := atEnd, aheadNone, 0
		var c *wiretest.Client
		var r *Request
		take := func() {
			r, state = wiretest.Get(t, d.arrivals, "an arrival"), atHeld
			if r.ID != fmt.Sprint(n) || string(r.Body) != "body" || r.Slots != 2 || r.URI != "/safe/a?b=1" {
				t.Fatalf("request %d arrived as %+v", n, r)
			}
		}
		answer := func() {
			ending := d.Ending() || ahead == aheadMuch
			r.Answer(Answer{Status: 200 + n%2*303, Body: []byte("result"), RetryAfter: 0.25})
			if got, body := c.Status(t); got != 200+n%2*303 || body != "result" {
				t.Fatalf("request %d: got %d %q", n, got, body)
			}
			if state = atIdle; ending {
				c.Ended(t)
				c.Close()
				state = atEnd
			} else if ahead == aheadHalf {
				n, state = n+1, atPartial
			} else if ahead == aheadWhole {
				n++
				take()
			}
			ahead = aheadNone
		}
		wiretest.Steps(data, 40, func(b byte) {
			if state == atEnd {
				c, state = l.Dial(), atIdle
			}
			step := int(b) % 14
			half := len(job(fmt.Sprint(n))) / 2
			next := job(fmt.Sprint(n + 1))
			switch {
			case step == 0 && state == atIdle:
				n++
				io.WriteString(c, job(fmt.Sprint(n)))
				take()
			case step == 1 && state == atIdle:
				n++
				io.WriteString(c, job(fmt.Sprint(n))[:half])
				state = atPartial
			case step == 2 && state == atPartial:
				io.WriteString(c, job(fmt.Sprint(n))[half:])
				take()
			case step == 3 && state == atHeld:
				answer()
			case step == 4:
				c.Close()
				if state == atHeld && wiretest.Get(t, d.leaves, "a client's leaving") != r {
					t.Fatal("another request's client left")
				}
				state, ahead = atEnd, aheadNone
			case step == 5 && state == atIdle:
				go io.WriteString(c, "nonsense\r\n\r\n")
				if got, _ := c.Status(t); got != 400 {
					t.Fatalf("nonsense got %d", got)
				}
				c.Ended(t)
				c.Close()
				state = atEnd
			case step == 6 && state == atIdle:
				io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
				if got, _ := c.Status(t); (got == 200) == d.Ending() {
					t.Fatalf("health check got %d", got)
				}
				if d.Ending() {
					c.Ended(t)
					c.Close()
					state = atEnd
				}
			case step == 7 && state == atIdle:
				ended := make(chan struct{})
				go func() { defer close(ended); c.Reader.ReadByte() }()
				wiretest.Until(t, "an idle connection to close", func() bool {
					s.CloseIdle(0) // as often as it takes: the server may not have taken the connection in yet
					select {
					case <-ended:
						return true
					default:
						return false
					}
				})
				c.Close()
				state = atEnd
			case step == 7:
				s.CloseIdle(0) // must not touch what is held; half a request may go either way
				if state == atPartial {
					c.Close()
					state = atEnd
				}
			case step == 8:
				d.ending.Store(true)
			case step == 9 && state == atHeld && ahead == aheadNone:
				io.WriteString(c, next[:len(next)/2])
				ahead = aheadHalf
			case step == 10 && state == atHeld && ahead == aheadNone:
				io.WriteString(c, next)
				ahead = aheadWhole
			case step == 10 && state == atHeld && ahead == aheadHalf:
				io.WriteString(c, next[len(next)/2:])
				ahead = aheadWhole
			case step == 12 && state == atIdle:
				n++
				go io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"+job(fmt.Sprint(n)))
				if got, _ := c.Status(t); (got == 200) == d.Ending() {
					t.Fatalf("health check got %d", got)
				}
				if !d.Ending() {
					take()
					break
				}
				c.Ended(t)
				c.Close()
				state = atEnd
			case step == 13 && state == atIdle:
				n++
				io.WriteString(c, job(fmt.Sprint(n)))
				c.Close()
				take()
				if wiretest.Get(t, d.leaves, "a client's leaving") != r {
					t.Fatal("another request's client left")
				}
				state = atEnd
			case step == 11 && state == atHeld:
				io.WriteString(c, strings.Repeat("x", maxHead+1))
				ahead = aheadMuch
			}
		})
		for state == atHeld {
			answer()
		}
		if c != nil {
			c.Close()
		}
		wiretest.Until(t, "the connections' end", func() bool { return s.Open() == 0 && s.InFlight() == 0 })
		if len(d.arrivals)+len(d.leaves) > 0 {
			t.Fatalf("%d arrivals and %d leavings too many", len(d.arrivals), len(d.leaves))
		}
	})
}

func TestTurnedAwayAtTheDoor(t *testing.T) {
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
		{"time-out", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout: NaN\r\n\r\n", 400},
		{"empty time-out", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout:\r\n\r\n", 400},
		{"infinite time-out", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout: Inf\r\n\r\n", 400},
		{"negative time-out", "POST /safe HTTP/1.1\r\n" + head + "Request-Timeout: -1\r\n\r\n", 400},
		{"figure", "POST /safe HTTP/1.1\r\n" + head + "Request-Info: slots=many\r\n\r\n", 400},
		{"long body", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: 65537\r\n\r\n", 413},
		{"long chunks", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
			strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413},
		{"endless head", "POST /safe HTTP/1.1\r\n" + strings.Repeat("X-Y: z\r\n", 8000), 431},
		{"slow head", "POST /safe HTTP/1.1\r\nHost:", 408},
		{"slow body", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nb", 408},
		{"length and coding", "POST /safe HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + job("hidden"), 400},
		{"length twice", "POST /safe HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n", 400},
		{"signed length", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: +0\r\n\r\n", 400},
		{"negative length", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: -4\r\n\r\n", 400},
		{"blank before colon", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length : 300\r\n\r\n" + job("hidden"), 400},
		{"folded line", "POST /safe HTTP/1.1\r\n" + head + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n", 400},
		{"no CR", "POST /safe HTTP/1.1\nHost: x\n", 400},
		{"coding in 1.0", "POST /safe HTTP/1.0\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		{"unknown coding", "POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"id twice", "POST /safe HTTP/1.1\r\n" + head + "Request-Id: b\r\n\r\n", 400},
		{"no host", "POST /safe HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", 400},
		{"no HTTP", "SSH-2.0-x\r\n", 400},
		{"other version", "POST /safe HTTP/2.0\r\n" + head + "\r\n", 400},
		{"bytes without a line end", "\x16\x03\x01\x02", 400},
		{"body of a health check", "GET /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n" + job("hidden"), 400},
		{"says nothing", "", 0},
	} {
		// In a bubble, so that a busy machine makes no client slow.
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, d, l := start(t, 8)
				client := l.Dial()
				defer client.Close()
				go io.WriteString(client, c.raw)
				if c.want > 0 {
					if got, _ := client.Status(t); got != c.want {
						t.Errorf("got %d, want %d", got, c.want)
					}
				}
				client.Ended(t) // what follows is not read as another request
				if len(d.arrivals) > 0 {
					t.Errorf("%d requests reached the desk", len(d.arrivals))
				}
			})
		})
	}
}

// When all places are busy a client still gets a whole answer.
func TestCrowdedServerSheds(t *testing.T) {
	_, d, l := start(t, 1)
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

// count is how many connections are in a state.
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

// Clients that open connections and send nothing, very slowly, or once and
// never again must not keep the others out. Who makes room first loses least:
// the silent one, the one used once, the one used more often, the slow one.
func TestWhoMakesRoom(t *testing.T) {
	s, d, l := start(t, 4)
	s.newConnGrace, s.requestReadTimeout = 0, time.Hour
	n := 0
	ask := func(c *wiretest.Client) *Request {
		n++
		io.WriteString(c, job(fmt.Sprint(n)))
		return wiretest.Get(t, d.arrivals, "an arrival")
	}
	use := func(c *wiretest.Client, times int) {
		for range times {
			ask(c).Answer(Answer{Status: 200})
			c.Status(t)
		}
	}
	often, slow, once, silent := l.Dial(), l.Dial(), l.Dial(), l.Dial()
	use(often, 2)
	use(once, 1)
	io.WriteString(slow, "POST /safe HTTP/1.1\r\nHost:")
	wiretest.Until(t, "all to be known", func() bool { return s.count(stateIdle) == 3 && s.count(stateReading) == 1 && s.Open() == 4 })
	var busy []*Request
	for _, old := range []*wiretest.Client{silent, once, often, slow} {
		c := l.Dial()
		defer c.Close()
		if old == slow {
			if got, _ := old.Status(t); got != 408 {
				t.Errorf("the slow client got %d, want 408", got)
			}
		}
		old.Ended(t) // though its goroutine had no turn yet, its seat is free
		old.Close()
		busy = append(busy, ask(c))
	}
	for _, r := range busy {
		r.Answer(Answer{Status: 200})
	}
}

// A lower limit takes effect at once, also where nobody connects any more: idle connections are
// closed, slow ones told so, and none that is owed an answer is touched.
func TestLowerLimit(t *testing.T) {
	s, d, l := start(t, 16)
	s.newConnGrace, s.requestReadTimeout = 0, time.Hour
	var held, idles, slow []*wiretest.Client
	for range 3 {
		c := l.Dial()
		defer c.Close()
		io.WriteString(c, job(fmt.Sprint(len(held))))
		held = append(held, c)
	}
	var asked []*Request
	for range held {
		asked = append(asked, wiretest.Get(t, d.arrivals, "an arrival"))
	}
	for range 5 {
		c := l.Dial()
		defer c.Close()
		io.WriteString(c, "POST /safe HTTP/1.1\r\nHost:")
		slow = append(slow, c)
		c = l.Dial()
		defer c.Close()
		idles = append(idles, c)
	}
	wiretest.Until(t, "all to be known", func() bool { return s.count(stateIdle) == 5 && s.count(stateReading) == 5 && s.Open() == 13 })
	s.Resize(4)
	wiretest.Until(t, "3 that are held and 5 that are slow to stay", func() bool { return s.Open() <= 8 })
	for _, c := range idles {
		c.Ended(t)
	}
	told := make(chan int, len(slow))
	for _, c := range slow {
		go func() {
			if resp, err := http.ReadResponse(c.Reader, nil); err == nil {
				resp.Body.Close()
				told <- resp.StatusCode
			}
		}()
	}
	for range 4 {
		if got := wiretest.Get(t, told, "a slow client to be told"); got != 408 {
			t.Errorf("a slow client got %d, want 408", got)
		}
	}
	wiretest.Until(t, "those that were told to be gone", func() bool { return s.Open() == 4 && s.count(stateReading) == 1 })
	for n, r := range asked {
		r.Answer(Answer{Status: 200 + n})
	}
	for _, c := range held {
		if got, _ := c.Status(t); got < 200 || got > 202 {
			t.Errorf("a held request got %d", got)
		}
	}
}

// A listener that runs out of descriptors must not end the program.
func TestAcceptErrorIsNoEnd(t *testing.T) {
	d := &desk{arrivals: make(chan *Request, 1)}
	l := &failing{Listener: wiretest.NewListener()}
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

type failing struct {
	*wiretest.Listener
	failed bool
}

func (f *failing) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, fmt.Errorf("too many open files")
	}
	return f.Listener.Accept()
}

func TestAnswerOnTheWire(t *testing.T) {
	for _, c := range []struct {
		a          Answer
		last, head bool
		want       string
	}{
		{Answer{Status: 200, Body: []byte("ok")}, false, false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{Answer{Status: 200, Body: []byte("ok")}, false, true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
		// Rounded up: a client that comes back too early is refused once more.
		{Answer{Status: 503, RetryAfter: 0.00001}, true, false,
			"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.001\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		{Answer{Status: 405, Allow: "POST"}, false, false,
			"HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nContent-Length: 0\r\n\r\n"},
	} {
		var b strings.Builder
		if err := writeAnswer(&b, c.a, c.last, c.head); err != nil || b.String() != c.want {
			t.Errorf("got %q (%v), want %q", b.String(), err, c.want)
		}
	}
}
