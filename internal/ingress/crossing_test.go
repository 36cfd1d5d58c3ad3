package ingress

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/wiretest"
)

// listen is start over the loopback.
func listen(t *testing.T, most int) (*Server, *desk, net.Addr) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &desk{arrivals: make(chan *Request, 64), leaves: make(chan *Request, 64)}
	s := NewServer(classes, d, d, most, t.Logf)
	s.slowest = time.Hour // a test on a busy machine is no slow client
	go s.Serve(l)
	t.Cleanup(func() { l.Close() })
	return s, d, l.Addr()
}

// A client that has sent on behind its request and goes has left all the same,
// however much it sent, whenever that came, and whichever way it goes. Nothing
// of what stands behind is taken.
func TestLeavesBehindSentBytes(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing":         "",
		"a byte":          "P",
		"half a request":  job("2")[:20],
		"a whole request": job("2"),
		"two requests":    job("2") + job("3"),
		"a lot":           strings.Repeat(job("2"), 4000),
	} {
		for _, way := range []string{"in one piece", "later", "later, reset"} {
			t.Run(name+" "+way, func(t *testing.T) {
				s, d, addr := listen(t, 8)
				c := wiretest.DialTCP(t, addr)
				var r *Request
				if way == "in one piece" {
					io.WriteString(c, job("1")+behind)
					r = wiretest.Get(t, d.arrivals, "an arrival")
				} else {
					io.WriteString(c, job("1"))
					r = wiretest.Get(t, d.arrivals, "an arrival")
					io.WriteString(c, behind)
				}
				if way == "later, reset" {
					c.Conn.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
				if wiretest.Get(t, d.leaves, "the client's leaving") != r || !r.Left() {
					t.Error("another request's client left")
				}
				wiretest.Until(t, "the connection's end", func() bool { return s.Open() == 0 && s.Taken() == 0 })
				if len(d.arrivals) > 0 {
					t.Errorf("request %s was taken though its client had gone", (<-d.arrivals).ID)
				}
			})
		}
	}
}

// What a client sent on while its request was held is its next request if it
// stays, in order, and not before the answer. It may have come whole or in part.
func TestNextRequestWaitsItsTurn(t *testing.T) {
	all := job("1") + job("2") + job("3")
	for cut := len(job("1")); cut <= len(all); cut += 7 {
		s, d, addr := listen(t, 8)
		c := wiretest.DialTCP(t, addr)
		io.WriteString(c, all[:cut])
		for _, id := range []string{"1", "2", "3"} {
			r := wiretest.Get(t, d.arrivals, "an arrival")
			if r.ID != id || s.Taken() != 1 || len(d.arrivals) > 0 {
				t.Fatalf("cut at %d: got %s, %d taken, %d more, want %s alone", cut, r.ID, s.Taken(), len(d.arrivals), id)
			}
			r.Answer(Answer{Status: 200, Body: []byte(id)})
			if got, body := c.Status(t); got != 200 || body != id {
				t.Fatalf("cut at %d: request %s got %d %q", cut, id, got, body)
			}
			if id == "1" {
				io.WriteString(c, all[cut:])
			}
		}
	}
}

// More than the buffer holds is nobody's next request: it is read, so that the
// client's end is seen behind it, and the connection ends with the answer.
func TestTooMuchBehindARequest(t *testing.T) {
	s, d, l := start(t, 8)
	c := l.Dial()
	io.WriteString(c, job("1"))
	r := wiretest.Get(t, d.arrivals, "an arrival")
	if n, err := io.WriteString(c, strings.Repeat("x", 64*maxHead)); err != nil {
		t.Fatalf("%v after %d bytes", err, n) // all was read: a pipe holds nothing
	}
	r.Answer(Answer{Status: 200, Body: []byte("ok")})
	if got, body := c.Status(t); got != 200 || body != "ok" {
		t.Errorf("got %d %q", got, body)
	}
	c.Ended(t)
	c.Close()
	wiretest.Until(t, "the connection's end", func() bool { return s.Open() == 0 })
	if len(d.arrivals)+len(d.leaves) > 0 {
		t.Errorf("%d arrivals and %d leavings too many", len(d.arrivals), len(d.leaves))
	}
}
