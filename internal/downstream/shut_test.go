package downstream

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// startWithPhase starts a server on a loopback listener with the given phase, and returns it with a function
// that connects a client to it.
func startWithPhase(t *testing.T, d *fakeHandler, p Phase, maxConns int) (*Server, func() *wiretest.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := NewServer(classes, d, p, maxConns, t.Logf)
	go s.Serve(l)
	return s, func() *wiretest.Client { return wiretest.DialTCP(t, l.Addr()) }
}

// A client in the listener's backlog when StopAccepting is called is accepted and gets an answer. A
// client that connects after the listener is closed is refused.
func TestStopAcceptingServesBacklog(t *testing.T) {
	d := &fakeHandler{arrivals: make(chan *Request, 64), disconnects: make(chan *Request, 64)}
	d.ending.Store(true)
	s, dial := startWithPhase(t, d, d, 1)
	submit := func(id string) *wiretest.Client {
		c := dial()
		io.WriteString(c, job(id))
		return c
	}
	one := submit("1")
	r := wiretest.Get(t, d.arrivals, "the first request")
	two := submit("2") // maxConns is reached: rejected, but counted until it is closed
	if got, _ := two.Status(t); got != 503 {
		t.Errorf("got status %d at the connection limit, want 503", got)
	}
	s.mu.Lock() // Accept may return one more connection, which then waits for s.mu
	three, four := submit("3"), submit("4")
	s.maxConns = 0
	s.mu.Unlock()
	s.StopAccepting()
	s.StopAccepting()
	for _, c := range []*wiretest.Client{three, four} {
		if got, _ := c.Status(t); got != 503 {
			t.Errorf("got status %d for a client in the backlog, want 503", got)
		}
		c.Close()
	}
	two.Close()
	if s.Drained() {
		t.Error("Drained returned true while a request awaits its answer")
	}
	r.Answer(Answer{Status: 200})
	if got, _ := one.Status(t); got != 200 {
		t.Errorf("got status %d, want 200", got)
	}
	one.Close()
	wiretest.Until(t, "the server to drain", s.Drained)
	if c, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("a client could connect after the server had drained")
	}
}

// suspendedListener is a listener of a process that does not run until the first deadlines it sets are over.
type suspendedListener struct {
	*net.TCPListener
	suspensions atomic.Int32
}

func (l *suspendedListener) SetDeadline(deadline time.Time) error {
	if l.suspensions.Add(-1) >= 0 {
		deadline = expired
	}
	return l.TCPListener.SetDeadline(deadline)
}

// A client in the backlog is served, not reset, even if the process is suspended while it stops accepting.
func TestBacklogIsServedAfterSuspension(t *testing.T) {
	d := &fakeHandler{arrivals: make(chan *Request, 64), disconnects: make(chan *Request, 64)}
	d.ending.Store(true)
	s := NewServer(classes, d, d, 16, t.Logf)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &suspendedListener{TCPListener: tcp.(*net.TCPListener)}
	l.suspensions.Store(3)
	clients := []*wiretest.Client{wiretest.DialTCP(t, l.Addr()), wiretest.DialTCP(t, l.Addr())}
	s.listener = l
	s.StopAccepting() // before Serve accepts the first
	go s.Serve(l)
	for n, c := range clients {
		io.WriteString(c, job(fmt.Sprint(n)))
		wiretest.Get(t, d.arrivals, "the request of a client in the backlog").Answer(Answer{Status: 503})
		if got, _ := c.Status(t); got != 503 {
			t.Errorf("client %d in the backlog: got status %d, want 503", n, got)
		}
		c.Close()
	}
	wiretest.Until(t, "the server to drain", s.Drained)
}

// slowAcceptListener is a listener whose Accept has a connection but does not return until release is closed.
type slowAcceptListener struct {
	net.Listener
	accepted, release chan struct{}
}

func (l *slowAcceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.release
	}
	return c, err
}

// While Accept holds a connection that it has not returned, Open is 0, but Drained must return false:
// that connection is still to be served.
func TestDrainedWaitsForAccept(t *testing.T) {
	pipes := wiretest.NewListener()
	l := &slowAcceptListener{pipes, make(chan struct{}), make(chan struct{})}
	d := &fakeHandler{arrivals: make(chan *Request, 1), disconnects: make(chan *Request, 1)}
	s := NewServer(classes, d, d, 8, t.Logf)
	go s.Serve(l)
	c := pipes.Dial()
	<-l.accepted
	s.StopAccepting()
	if s.Open() != 0 || s.Drained() {
		t.Fatalf("got %d open connections and drained %v while Accept holds one, want 0 and false", s.Open(), s.Drained())
	}
	close(l.release)
	io.WriteString(c, job("1"))
	wiretest.Get(t, d.arrivals, "the request").Answer(Answer{Status: 503})
	if got, _ := c.Status(t); got != 503 {
		t.Errorf("got status %d, want 503", got)
	}
	c.Close()
	wiretest.Until(t, "the server to drain", s.Drained)
}

// StopAccepting on a paused server closes the listener without accepting the backlog, which another process
// accepts.
func TestStopAcceptingWhilePaused(t *testing.T) {
	d := &fakeHandler{}
	s, dial := startWithPhase(t, d, d, 8)
	wiretest.Until(t, "Serve to start", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.serving })
	s.Pause(true)
	c := dial() // may be accepted by an Accept call that was running when Pause was called
	defer c.Close()
	s.StopAccepting()
	s.Pause(false)
	s.Pause(true)
	c.Close()
	wiretest.Until(t, "the server to drain", s.Drained)
}

// endingPhase is a phase that starts to end right after the first Ending call.
type endingPhase struct {
	*fakeHandler
	calls atomic.Int32
}

func (p *endingPhase) Ending() bool { return p.calls.Add(1) > 1 }

// The phase may start to end after the server checked it for an answer and before it writes the answer.
// That answer keeps the connection open, and the next one closes it.
func TestPhaseEndsAfterCheck(t *testing.T) {
	d := &fakeHandler{arrivals: make(chan *Request, 1), disconnects: make(chan *Request, 1)}
	s, dial := startWithPhase(t, d, &endingPhase{fakeHandler: d}, 8)
	c := dial()
	for n, closes := range []bool{false, true} {
		io.WriteString(c, job(fmt.Sprint(n)))
		wiretest.Get(t, d.arrivals, "a request").Answer(Answer{Status: 200})
		if n == 0 {
			if got, _ := c.Status(t); got != 200 {
				t.Fatalf("first answer: got status %d, want 200", got)
			}
			// Wait until it is idle; CloseIdle, which runs while draining, skips connections that are not.
			wiretest.Until(t, "the connection to be idle", func() bool { return s.count(stateIdle) == 1 })
		} else if got, _ := c.Status(t); got != 200 {
			t.Fatalf("second answer: got status %d, want 200", got)
		}
		if closes {
			c.Ended(t)
		}
	}
	other := dial()
	wiretest.Until(t, "the other connection", func() bool { return s.count(stateIdle) == 1 })
	s.CloseIdle(0)
	other.Ended(t)
}

// slowCloseListener is a listener whose Close blocks, as it does while an Accept system call blocks.
type slowCloseListener struct {
	net.Listener
	closeCalled, release chan struct{}
}

func (l *slowCloseListener) Close() error {
	close(l.closeCalled)
	<-l.release
	return l.Listener.Close()
}

// StopAccepting on a paused server must not wait for the listener's Close, since it is called by the event loop.
func TestStopAcceptingDoesNotWaitForClose(t *testing.T) {
	l := &slowCloseListener{wiretest.NewListener(), make(chan struct{}), make(chan struct{})}
	d := &fakeHandler{}
	s := NewServer(classes, d, d, 8, t.Logf)
	go s.Serve(l)
	wiretest.Until(t, "Serve to start", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.serving })
	s.Pause(true)
	done := make(chan struct{})
	go func() { s.StopAccepting(); close(done) }()
	wiretest.Get(t, l.closeCalled, "the listener to be closed")
	wiretest.Get(t, done, "StopAccepting to return while Close blocks")
	if s.Drained() {
		t.Error("Drained returned true while Accept blocks")
	}
	close(l.release)
	wiretest.Until(t, "the server to drain", s.Drained)
}
