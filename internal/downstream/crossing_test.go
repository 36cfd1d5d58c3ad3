package downstream

import (
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"example.org/bellstream/internal/connstate"
	"example.org/bellstream/internal/lab/wiretest"
)

// startTCP starts a server on a loopback listener, like startServer, after calling the prepare functions on it.
func startTCP(t *testing.T, maxConns int, prepare ...func(*Server)) (*Server, *fakeHandler, net.Addr) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeHandler{arrivals: make(chan *Request, 64), disconnects: make(chan *Request, 64)}
	s := NewServer(classes, d, d, maxConns, t.Logf)
	s.requestReadTimeout = time.Hour // a slow test machine must not cause timeouts
	for _, f := range prepare {
		f(s)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close() })
	return s, d, l.Addr()
}

// noNewConnGrace allows new connections to be evicted immediately.
func noNewConnGrace(s *Server) { s.newConnGrace = 0 }

// A client that disconnects while its request is pending is detected, however
// many bytes it sent after the request, whenever it sent them, and whether the
// connection is closed or reset. No request among these bytes is served.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	for name, pipelined := range map[string]string{
		"nothing":         "",
		"a byte":          "P",
		"half a request":  job("2")[:20],
		"a whole request": job("2"),
		"two requests":    job("2") + job("3"),
		"a lot":           strings.Repeat(job("2"), 4000),
	} {
		for _, way := range []string{"in one piece", "later", "later, reset"} {
			t.Run(name+" "+way, func(t *testing.T) {
				s, d, addr := startTCP(t, 8)
				c := wiretest.DialTCP(t, addr)
				var r *Request
				if way == "in one piece" {
					io.WriteString(c, job("1")+pipelined)
					r = wiretest.Get(t, d.arrivals, "an arrival")
				} else {
					io.WriteString(c, job("1"))
					r = wiretest.Get(t, d.arrivals, "an arrival")
					io.WriteString(c, pipelined)
				}
				if way == "later, reset" {
					c.Conn.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
				if wiretest.Get(t, d.disconnects, "the client's disconnect") != r || !r.Disconnected() {
					t.Error("got the disconnect of another request, or the request is not marked as disconnected")
				}
				wiretest.Until(t, "the connection to close", func() bool { return s.Open() == 0 && s.InFlight() == 0 })
				if len(d.arrivals) > 0 {
					t.Errorf("request %s was passed to the handler after its client had disconnected", (<-d.arrivals).ID)
				}
			})
		}
	}
}

// Requests that a client pipelines are served in order, each only after the
// answer to the one before, whether they were received in full or in part when
// that answer was written.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	all := job("1") + job("2") + job("3")
	for cut := len(job("1")); cut <= len(all); cut += 7 {
		s, d, addr := startTCP(t, 8)
		c := wiretest.DialTCP(t, addr)
		io.WriteString(c, all[:cut])
		for _, id := range []string{"1", "2", "3"} {
			r := wiretest.Get(t, d.arrivals, "an arrival")
			if r.ID != id || s.InFlight() != 1 || len(d.arrivals) > 0 {
				t.Fatalf("cut at %d: got request %s, %d in flight, %d more arrivals, want only request %s",
					cut, r.ID, s.InFlight(), len(d.arrivals), id)
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

// Pipelined bytes that exceed the buffer are read and discarded, so that a
// disconnect after them is detected, and the connection closes after the answer.
func TestTooManyPipelinedBytes(t *testing.T) {
	s, d, l := startServer(t, 8)
	c := l.Dial()
	io.WriteString(c, job("1"))
	r := wiretest.Get(t, d.arrivals, "an arrival")
	if n, err := io.WriteString(c, strings.Repeat("x", 64*maxHead)); err != nil {
		t.Fatalf("got error %v after writing %d bytes", err, n) // a pipe has no buffer, so the server read all
	}
	r.Answer(Answer{Status: 200, Body: []byte("ok")})
	if got, body := c.Status(t); got != 200 || body != "ok" {
		t.Errorf("got %d %q", got, body)
	}
	c.Ended(t)
	c.Close()
	wiretest.Until(t, "the connection to close", func() bool { return s.Open() == 0 })
	if len(d.arrivals)+len(d.disconnects) > 0 {
		t.Errorf("got %d more arrivals and %d more disconnects, want none", len(d.arrivals), len(d.disconnects))
	}
}

// readStatuses reads answers until the connection is closed without a reset, and returns their statuses.
func readStatuses(t *testing.T, c *wiretest.Client) (statuses []int) {
	t.Helper()
	for {
		if _, err := c.Reader.Peek(1); errors.Is(err, io.EOF) {
			return statuses
		} else if err != nil {
			t.Fatalf("after statuses %v: got error %v, want EOF", statuses, err)
		}
		got, _ := c.Status(t)
		statuses = append(statuses, got)
	}
}

// A request may arrive between the server's last check of a connection and its
// close, whatever the reason for the close. That request is not served, the
// client sees a close and not a reset, and it receives each answer written before.
func TestRequestCrossesClose(t *testing.T) {
	serveOne := func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client) {
		io.WriteString(c, job("1"))
		wiretest.Get(t, d.arrivals, "an arrival").Answer(Answer{Status: 200})
		wiretest.Until(t, "the connection to become idle", func() bool { return s.count(stateIdle) == 1 })
	}
	for _, way := range []struct {
		name string
		end  func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, addr net.Addr)
		want []int
	}{
		{"CloseIdle", func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, _ net.Addr) {
			serveOne(t, s, d, c)
			s.CloseIdle(0)
		}, []int{200}},
		{"idle timeout", func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, _ net.Addr) {
			serveOne(t, s, d, c)
			s.mu.Lock()
			for c := range s.conns {
				if c.state == stateIdle {
					c.SetReadDeadline(time.Unix(1, 0))
				}
			}
			s.mu.Unlock()
		}, []int{200}},
		{"evicted while idle", func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, addr net.Addr) {
			serveOne(t, s, d, c)
			wiretest.DialTCP(t, addr)
		}, []int{200}},
		{"evicted while reading", func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, addr net.Addr) {
			serveOne(t, s, d, c)
			io.WriteString(c, job("2")[:9])
			wiretest.Until(t, "the start of the second request", func() bool { return s.count(stateReading) == 1 })
			wiretest.DialTCP(t, addr)
		}, []int{200, 408}},
		{"last answer while shutting down", func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, _ net.Addr) {
			d.ending.Store(true)
			io.WriteString(c, job("1"))
			wiretest.Get(t, d.arrivals, "an arrival").Answer(Answer{Status: 200})
		}, []int{200}},
		{"malformed request", func(t *testing.T, s *Server, d *fakeHandler, c *wiretest.Client, _ net.Addr) {
			serveOne(t, s, d, c)
			io.WriteString(c, "nonsense\r\n\r\n")
		}, []int{200, 400}},
	} {
		t.Run(way.name, func(t *testing.T) {
			s, d, addr := startTCP(t, 16, noNewConnGrace) // plus one spare connection, whose request is rejected
			for range 15 {
				io.WriteString(wiretest.DialTCP(t, addr), job("held"))
				wiretest.Get(t, d.arrivals, "an arrival")
			}
			var c *wiretest.Client
			crossed := false
			s.onCloseWrite = func(serverSide net.Conn) {
				if serverSide.RemoteAddr().String() == c.LocalAddr().String() && !crossed {
					crossed = true
					io.WriteString(c, job("crossing"))
					wiretest.Until(t, "the request", func() bool { return !connstate.IsQuiet(serverSide) })
				}
			}
			c = wiretest.DialTCP(t, addr)
			way.end(t, s, d, c, addr)
			got := readStatuses(t, c)
			if !slices.Equal(got, way.want) || !crossed {
				t.Errorf("got statuses %v, want %v; request sent just before the close: %v", got, way.want, crossed)
			}
			c.Close()
			wiretest.Until(t, "the connection to stop lingering", func() bool { return s.count(stateLingering) == 0 })
			if len(d.arrivals) > 0 {
				t.Errorf("request %s was passed to the handler", (<-d.arrivals).ID)
			}
		})
	}
}

// Clients that keep their side open after the server has closed its side do not
// hold descriptors for long: each of many new clients is served.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	s, d, addr := startTCP(t, 2, noNewConnGrace)
	for range 20 {
		c := wiretest.DialTCP(t, addr) // stays open until the test ends
		io.WriteString(c, job("1"))
		wiretest.Get(t, d.arrivals, "an arrival").Answer(Answer{Status: 200})
		c.Status(t)
		wiretest.Until(t, "the connection to become idle", func() bool { return s.count(stateAwaitingAnswer) == 0 })
		if open := s.Open(); open > 3 {
			t.Errorf("got %d open connections, want 2 and one that is closing", open)
		}
	}
	s.CloseIdle(0)
	wiretest.Until(t, "the end of all connections", func() bool { return s.Open() == 0 })
}

// A client whose request was rejected may keep sending, fast or slowly, and read
// its answer only when a write fails. The answer must still reach it.
func TestRejectionReachesClientThatKeepsSending(t *testing.T) {
	for _, way := range []struct {
		raw  string
		more string
		want int
	}{
		{"nonsense\r\n\r\n", "x", 400},
		{"POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nContent-Length: 100000000\r\n\r\n", strings.Repeat("x", maxBody), 413},
	} {
		s, _, addr := startTCP(t, 8)
		c := wiretest.DialTCP(t, addr)
		io.WriteString(c, way.raw)
		for {
			if _, err := io.WriteString(c, way.more); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if got, _ := c.Status(t); got != way.want {
			t.Errorf("got %d, want %d", got, way.want)
		}
		wiretest.Until(t, "the connection to close", func() bool { return s.Open() == 0 })
	}
}

// writeCounter counts Write calls.
type writeCounter struct{ n int }

func (w *writeCounter) Write(b []byte) (int, error) { w.n++; return len(b), nil }

// An answer is one write on a connection with TCP_NODELAY. Otherwise the system
// might delay a part of it, which a reset of the connection would discard.
func TestAnswerIsOneUndelayedWrite(t *testing.T) {
	var w writeCounter
	if writeAnswer(&w, Answer{Status: 200, Body: make([]byte, maxBody)}, true, false); w.n != 1 {
		t.Errorf("got %d writes, want 1", w.n)
	}
	s, d, addr := startTCP(t, 8)
	io.WriteString(wiretest.DialTCP(t, addr), job("1"))
	wiretest.Get(t, d.arrivals, "an arrival")
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); on == 0 || err != nil {
				t.Errorf("got TCP_NODELAY %d (error %v), want it set", on, err)
			}
		})
	}
}

// hookedListener is a listener whose connections call the test's hooks.
type hookedListener struct {
	net.Listener
	afterRead   func()                             // called after a read that returned bytes
	mapDeadline func(time.Time) (mapped time.Time) // replaces each read deadline that is set
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{c.(*net.TCPConn), l}, nil
}

type hookedConn struct {
	*net.TCPConn
	hooks *hookedListener
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.hooks.afterRead != nil {
		c.hooks.afterRead()
	}
	return n, err
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	if c.hooks.mapDeadline != nil {
		at = c.hooks.mapDeadline(at)
	}
	return c.TCPConn.SetReadDeadline(at)
}

// A request that was read before its connection was to be closed, or that is
// unread when the idle timeout expires, is served.
func TestRequestBeforeCloseIsServed(t *testing.T) {
	for _, way := range []string{"read", "unread"} {
		t.Run(way, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			d := &fakeHandler{arrivals: make(chan *Request, 1), disconnects: make(chan *Request, 1)}
			hooked := &hookedListener{Listener: l}
			s := NewServer(classes, d, d, 8, t.Logf)
			s.requestReadTimeout = time.Hour
			c := wiretest.DialTCP(t, l.Addr())
			switch calls := 0; way {
			case "read":
				hooked.afterRead = func() {
					if calls++; calls == 1 {
						s.CloseIdle(0)
					}
				}
			case "unread":
				hooked.mapDeadline = func(at time.Time) time.Time {
					if calls++; calls > 1 {
						return at
					}
					io.WriteString(c, job("1"))
					wiretest.Until(t, "the request", func() bool {
						for c := range s.conns { // the caller holds s.mu
							return !connstate.IsQuiet(c.Conn)
						}
						return false
					})
					return time.Unix(1, 0)
				}
			}
			go s.Serve(hooked)
			if way == "read" {
				io.WriteString(c, job("1"))
			}
			wiretest.Get(t, d.arrivals, "the request").Answer(Answer{Status: 200})
			if got, _ := c.Status(t); got != 200 {
				t.Errorf("got %d, want 200", got)
			}
		})
	}
}

// A connection in stateClosing leaves that state only once a request was received,
// and one in stateEvicted only once its request is complete. The count of closing
// connections is correct after each transition.
func TestSetState(t *testing.T) {
	for from := range stateLingering {
		for next := stateIdle; next <= stateLingering; next++ {
			if next == stateClosing || next == stateEvicted {
				continue // set by requestClose, not by setState
			}
			want := next
			if from == stateClosing && next == stateIdle || from == stateEvicted && next < stateAwaitingAnswer {
				want = from
			}
			s := NewServer(classes, nil, nil, 8, t.Logf)
			socket, _ := net.Pipe()
			c := &conn{Conn: socket, state: from}
			s.conns[c] = true
			if from >= stateClosing {
				s.closing = 1
			}
			s.setState(c, next)
			if c.state != want ||
				s.closing != s.count(stateClosing)+s.count(stateEvicted)+s.count(stateLingering) {
				t.Errorf("from state %d to %d: got state %d and %d closing connections", from, next, c.state, s.closing)
			}
			if s.remove(c); s.closing != 0 {
				t.Errorf("from state %d to %d: got %d closing connections after remove, want 0", from, next, s.closing)
			}
		}
	}
}

// The write deadline of an answer may expire before the client's next request
// arrives. It must not make the 100 Continue for that request fail.
func TestContinueAfterIdlePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, d, l := startServer(t, 8)
		c := l.Dial()
		defer c.Close()
		io.WriteString(c, job("1"))
		wiretest.Get(t, d.arrivals, "an arrival").Answer(Answer{Status: 200})
		c.Status(t)
		time.Sleep(writeTimeout + time.Second) // on the fake clock of synctest
		head, body, _ := strings.Cut(job("2"), "\r\n\r\n")
		io.WriteString(c, head+"\r\nExpect: 100-continue\r\n\r\n")
		if got, _ := c.Status(t); got != 100 {
			t.Fatalf("got %d, want 100", got)
		}
		io.WriteString(c, body)
		wiretest.Get(t, d.arrivals, "an arrival").Answer(Answer{Status: 200})
		if got, _ := c.Status(t); got != 200 {
			t.Errorf("got %d, want 200", got)
		}
	})
}

// busyHandler is a handler whose Arrive blocks until the client has disconnected.
type busyHandler struct{ *fakeHandler }

func (h busyHandler) Arrive(r *Request) {
	for !r.Disconnected() {
		time.Sleep(time.Millisecond)
	}
	h.fakeHandler.Arrive(r)
}

// A client may disconnect while Handler.Arrive has not returned, right after the
// last byte of its request or later. The request is marked as disconnected even so.
func TestDisconnectWhileHandlerIsBusy(t *testing.T) {
	_, d, addr := startTCP(t, 8, func(s *Server) { s.handler = busyHandler{s.handler.(*fakeHandler)} })
	c := wiretest.DialTCP(t, addr)
	io.WriteString(c, job("1"))
	c.Close()
	r := wiretest.Get(t, d.arrivals, "the request of a disconnected client")
	if wiretest.Get(t, d.disconnects, "the client's disconnect") != r {
		t.Error("got the disconnect of another request")
	}
}
