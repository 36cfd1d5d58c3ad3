package ingress

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/sock"
)

// Limits of one connection.
const (
	slowest  = 2 * time.Second // from a connection's start, or a later request's first byte, to a request's last byte
	idleTime = 2 * time.Minute // between requests
	sendTime = 5 * time.Second // to write an answer
	fresh    = 250 * time.Millisecond
	vanish   = time.Second           // for which a class that the settings no longer name is taken
	fullWait = 5 * time.Millisecond  // between looks for a seat when all are taken
	lastCall = 20 * time.Millisecond // for connections that wait to be accepted when the server is shut
)

// Desk takes what the clients' side has to tell. Its calls return soon.
type Desk interface {
	Arrive(*Request) // the request is owed one Answer
	Leave(*Request)  // its client left: nothing is owed any more
}

// Phase is what a connection must know of the program's phase.
type Phase interface {
	Ready() bool  // the program serves
	Ending() bool // clients are to go elsewhere after their answer
}

// Server is the clients' side.
type Server struct {
	classes atomic.Pointer[map[string]Class]
	Waits   bool // requests may say what they wait for; set before Serve
	desk    Desk
	phase   Phase
	slowest time.Duration
	fresh   time.Duration // how long a connection has to bring a byte before it may make room; twice that for a request
	log     func(format string, args ...any)

	mu     sync.Mutex
	most   int // connections at one time
	conns  map[*conn]bool
	going  int           // of them, those that were evicted
	l      net.Listener  // that Serve accepts from
	parked chan struct{} // closed when new connections are taken again; nil: they are taken
	serves bool          // Serve has not returned
	shut   bool
	taken  atomic.Int64 // requests read and not yet answered on the wire
}

// NewServer makes a server for the given classes, by name, that holds most
// connections at one time, and a sixteenth more that are turned away in good form.
func NewServer(classes map[string]Class, desk Desk, phase Phase, most int, log func(string, ...any)) *Server {
	s := &Server{desk: desk, phase: phase, most: most, slowest: slowest, fresh: fresh, log: log,
		conns: map[*conn]bool{}}
	s.classes.Store(&classes)
	return s
}

// Retune puts other classes into force, as a whole. One that is not among them
// is known for a moment more: requests of it are on their way.
func (s *Server) Retune(classes map[string]Class) {
	next := maps.Clone(classes)
	for name, c := range *s.classes.Load() {
		if _, ok := next[name]; ok {
			continue
		}
		if c.until.IsZero() {
			c.until = time.Now().Add(vanish)
		}
		if time.Now().Before(c.until) {
			next[name] = c
		}
	}
	s.classes.Store(&next)
}

// Resize changes how many connections there may be. Those that are open stay.
func (s *Server) Resize(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// Hold has no new connections taken, or takes them again. The listener stays
// open: another process may accept from the same socket. One that was accepted
// before Hold returns is served.
func (s *Server) Hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.parked != nil) || s.shut {
		return
	}
	until := time.Time{}
	if on {
		s.parked, until = make(chan struct{}), time.Unix(1, 0)
	} else {
		close(s.parked)
		s.parked = nil
	}
	if l, ok := s.l.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(until)
	}
}

// Shut has Serve return: connections that wait to be accepted are taken still, unless another
// process takes them, and then the listener is closed. It does not wait; Ended says when that is over.
func (s *Server) Shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut {
		return
	}
	s.shut = true
	l, ok := s.l.(interface{ SetDeadline(time.Time) error })
	switch {
	case s.parked != nil:
		close(s.parked)
		s.parked = nil
	case ok:
		l.SetDeadline(time.Now().Add(lastCall))
		return
	}
	if s.l != nil {
		s.l.Close()
	}
}

// Ended says that the server was shut and that nothing is open, nor can be any more.
func (s *Server) Ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shut && !s.serves && len(s.conns) == 0 && s.Taken() == 0
}

// admit waits until there is a seat for one more connection. While all of them
// wait for an answer, the spare ones too, clients wait in the backlog.
func (s *Server) admit() {
	for !s.seat() {
		time.Sleep(fullWait)
	}
}

func (s *Server) seat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := func() bool { return len(s.conns) > s.most+s.most/16 && !s.shut }
	if full() && s.going == 0 {
		s.evict()
	}
	return !full()
}

// conn is one client connection. Its goroutine reads and writes; while a
// request is held a second one waits for the next byte or the client's end.
type conn struct {
	net.Conn
	r     *bufio.Reader
	first time.Time // by when the first request must have come; zero once it has
	state state     // guarded by Server.mu, as are the next two
	since time.Time
	used  int  // requests answered on it
	shed  bool // came when all places were taken: its request is refused
}

// state is where a connection stands with its client.
type state int

const (
	idle    state = iota // between requests
	reading              // some of a request has come
	held                 // a whole one has: an answer is owed
	evicted              // ended to make room
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	var said time.Time
	s.mu.Lock()
	s.l, s.serves = l, true
	if s.shut {
		l.Close()
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.serves = false
		s.mu.Unlock()
	}()
	for {
		s.admit()
		s.mu.Lock()
		parked, shut := s.parked, s.shut
		s.mu.Unlock()
		if parked != nil {
			<-parked
			continue
		}
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				if shut {
					l.Close()
					return nil
				}
				continue // parked
			}
			// Running out of descriptors is no crash: what is open goes on, and
			// the oldest idle connection makes room.
			if time.Since(said) > time.Second {
				s.log("accept: %v", err)
				said = time.Now()
			}
			s.mu.Lock()
			s.evict()
			s.mu.Unlock()
			time.Sleep(fullWait)
			continue
		}
		c := &conn{Conn: nc, since: time.Now(), r: bufio.NewReaderSize(nc, maxHead)}
		c.first = c.since.Add(s.slowest)
		s.mu.Lock()
		c.shed = len(s.conns)-s.going >= s.most && !s.evict() // before it is in: it must not make room for itself
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.serve(c)
			nc.Close()
			s.mu.Lock()
			if s.conns[c] && c.state == evicted {
				s.going--
			}
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// Open is how many connections there are.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Taken is how many requests were read and have no answer on the wire yet.
func (s *Server) Taken() int { return int(s.taken.Load()) }

// evict ends one connection to make room, and says whether there was one. Many
// that stay idle or send slowly must not keep the others out, nor wait for
// their own end: the seat of one that is idle is free at once. It wants mu.
func (s *Server) evict() bool {
	now := time.Now()
	for {
		var victim *conn
		least := kept
		for c := range s.conns {
			if r := s.claim(c, now); r < least || r == least && r < kept && c.since.Before(victim.since) {
				victim, least = c, r
			}
		}
		switch {
		case victim == nil:
			return false
		case victim.state == reading:
			victim.state = evicted // its goroutine says so to the client
			victim.SetReadDeadline(now)
			s.going++
			return true
		case s.end(victim):
			return true
		}
		victim.state, victim.since = reading, now // its request is about to be read
	}
}

// kept is the claim of connections that stay.
const kept = 4

// claim ranks connections by what is lost with them: nothing with one that
// has said nothing for long, little with one that was used once, which may be
// all it came for, a request with one that sends slowly.
func (s *Server) claim(c *conn, now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case c.state == idle && c.used == 0 && age >= s.fresh:
		return 0
	case c.state == idle && c.used == 1:
		return 1
	case c.state == idle && c.used > 1:
		return 2
	case c.state == reading && age >= 2*s.fresh:
		return 3
	}
	return kept
}

// end closes an idle connection at once, unless a request stands unread on
// it, and says whether it did. It wants mu.
func (s *Server) end(c *conn) bool {
	if !sock.Quiet(c.Conn) {
		return false
	}
	c.state = evicted
	delete(s.conns, c)
	c.Close()
	return true
}

// CloseIdle ends the connections that stand between two requests. One that
// has not brought its first request yet is left alone for the given time.
func (s *Server) CloseIdle(fresh time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == idle && time.Since(c.since) >= fresh {
			s.end(c)
		}
	}
}

// enter moves a connection to its next state, with the time that it may last.
// It is false where the connection was closed to make room: no request of it
// may be taken any more, as no answer could reach the client.
func (s *Server) enter(c *conn, next state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.conns[c]:
		return false
	case c.state == evicted && next != held:
		return true // its end stands, whatever came meanwhile short of a whole request
	case c.state == evicted:
		s.going--
	}
	if next == idle && c.state != idle {
		c.used++
	}
	c.state, c.since = next, time.Now()
	switch next {
	case idle:
		if !c.first.IsZero() {
			c.SetReadDeadline(c.first)
		} else {
			c.SetReadDeadline(c.since.Add(idleTime))
		}
	case reading:
		if !c.first.IsZero() {
			c.SetReadDeadline(c.first)
		} else {
			c.SetReadDeadline(c.since.Add(s.slowest))
		}
	case held: // the watcher waits for as long as the answer takes
		c.first = time.Time{}
		c.SetReadDeadline(time.Time{})
	}
	return true
}

// serve plays one connection: idle, reading, held, answering, and again.
func (s *Server) serve(c *conn) {
	next := make(chan error, 1)
	for {
		s.enter(c, idle)
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		for {
			s.enter(c, reading)
			again, err := s.one(c, next)
			if err != nil || !again {
				s.linger(c, err)
				return
			}
			// The watcher of this request is still out. It returns with the
			// next request's first byte, or with the connection's end.
			s.enter(c, idle)
			if err := <-next; err != nil {
				return
			}
		}
	}
}

// one reads a request and sees it answered.
func (s *Server) one(c *conn, next chan error) (again bool, err error) {
	if err := c.head(); err != nil {
		return false, s.complain(c, err)
	}
	r, err := http.ReadRequest(c.r)
	if err != nil {
		return false, s.complain(c, err)
	}
	class, of, err := s.check(r)
	if err != nil {
		return false, s.complain(c, err)
	}
	if class == "" {
		a := Answer{Status: http.StatusServiceUnavailable, Body: []byte("not ready\n")}
		if s.phase.Ready() {
			a = Answer{Status: http.StatusOK, Body: []byte("ok\n")}
		}
		c.first = time.Time{}
		go c.watch(next)
		last := s.phase.Ending() || r.Close
		return !last, s.send(c, a, last, r.Method == http.MethodHead)
	}
	if r.ContentLength <= maxBody && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false, err
		}
	}
	q, err := s.parse(r, class, of)
	if err != nil {
		return false, s.complain(c, err)
	}
	if c.shed {
		return false, s.send(c, Answer{Status: http.StatusServiceUnavailable, RetryAfter: 1}, true, false)
	}
	answer := make(chan Answer, 1)
	q.Answer = func(a Answer) { answer <- a }
	s.taken.Add(1)
	defer s.taken.Add(-1)
	if !s.enter(c, held) {
		return false, errLeft
	}
	go c.watch(next)
	s.desk.Arrive(q)
	var a Answer
	early := false
	select {
	case a = <-answer:
	case err := <-next:
		if err != nil {
			q.Leave() // at once: the desk may be busy for a while
			s.desk.Leave(q)
			return false, errLeft
		}
		early = true // it has sent on: its next request waits its turn
		a = <-answer
	}
	last := s.phase.Ending() || r.Close
	if early {
		next <- nil
	}
	return !last, s.send(c, a, last, false)
}

// watch waits for the next byte, which it leaves in place, or the end.
func (c *conn) watch(next chan<- error) {
	_, err := c.r.Peek(1)
	next <- err
}

func (s *Server) send(c *conn, a Answer, last, head bool) error {
	c.SetWriteDeadline(time.Now().Add(sendTime))
	return write(c, a, last, head)
}

// complain answers what is no proper request; the connection ends with it.
func (s *Server) complain(c *conn, err error) error {
	var r *reject
	var ne net.Error
	switch {
	case errors.As(err, &r):
	case errors.As(err, &ne) && ne.Timeout():
		r = &reject{status: http.StatusRequestTimeout, why: "the request took too long to arrive"}
	case errors.Is(err, io.EOF), errors.As(err, &ne):
		return err // nobody is there to be told
	default:
		r = bad("malformed request")
	}
	if err := s.send(c, Answer{Status: r.status, Body: []byte(r.why + "\n"), Allow: r.allow}, true, false); err != nil {
		return err
	}
	return nil
}

// linger ends a connection so that an answer just written is not lost: what
// the client still sends is read for a moment, as closing at once would reset
// the connection under the answer.
func (s *Server) linger(c *conn, err error) {
	s.mu.Lock()
	gone := c.state == evicted // its place is wanted, and all that came was read
	s.mu.Unlock()
	if err != nil || gone {
		return
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	io.CopyN(io.Discard, c.Conn, 2*maxBody)
}
