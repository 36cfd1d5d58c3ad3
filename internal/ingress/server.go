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
	slowest   = 2 * time.Second // from a connection's start, or a later request's first byte, to a request's last byte
	idleTime  = 2 * time.Minute // between requests
	sendTime  = 5 * time.Second // to write an answer
	fresh     = 250 * time.Millisecond
	vanish    = time.Second            // for which a class that the settings no longer name is taken
	fullWait  = 5 * time.Millisecond   // between looks for a seat when all are taken
	partTime  = 200 * time.Millisecond // for a client to end its side of a connection that ends
	partLeast = 20 * time.Millisecond  // the same, where its descriptor is wanted
	lastCall  = 20 * time.Millisecond  // for connections that wait to be accepted when the server is shut
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
	shuts   func(net.Conn) // a test's: called right before a connection's sending side is shut

	mu     sync.Mutex
	most   int // connections at one time
	conns  map[*conn]bool
	going  int           // of them, those that are to end or are ending
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

// Resize changes how many connections there may be. Too many of them make room at
// once, as far as they may, and not one by one as others come.
func (s *Server) Resize(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
	for len(s.conns)-s.going > most+most/16 && s.evict() {
	}
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
	if full() {
		s.makeRoom()
	}
	return !full()
}

// conn is one client connection. Its goroutine reads and writes; while a
// request is held a second one reads alone, and waits for the client's end.
type conn struct {
	net.Conn
	r     *bufio.Reader
	first time.Time // by when the first request must have come; zero once it has
	state state     // guarded by Server.mu, as are the next two
	since time.Time
	used  int  // requests answered on it
	shed  bool // came when all places were taken: its request is refused
	lost  bool // something that it sent was thrown away: its next request can't be told any more
}

// state is where a connection stands with its client.
type state int

const (
	idle    state = iota // between requests
	reading              // some of a request has come
	held                 // a whole one has: an answer is owed
	called               // it was idle and is to end, unless a request has come
	evicted              // it was reading and is to end, unless all of its request has come
	parted               // no answer can be written any more: what comes is thrown away
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
			s.makeRoom()
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
			s.mu.Lock()
			s.drop(c)
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

// evict has one connection end to make room, and says whether there was one.
// Many that stay idle or send slowly must not keep the others out. It wants mu.
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
			s.call(victim, evicted) // its goroutine says so to the client
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

// end has an idle connection end, unless a request stands unread on it, and
// says whether it did. It wants mu.
func (s *Server) end(c *conn) bool {
	if !sock.Quiet(c.Conn) {
		return false
	}
	s.call(c, called)
	return true
}

// call has a connection's own goroutine end it: that one alone knows what was
// read, and so whether a request came first. It wants mu.
func (s *Server) call(c *conn, to state) {
	c.state = to
	s.going++
	c.SetReadDeadline(time.Unix(1, 0))
}

// makeRoom has a descriptor become free. First to go is what was parted for
// long enough; what else is ending is soon gone by itself. It wants mu.
func (s *Server) makeRoom() {
	for c := range s.conns {
		if c.state == parted && time.Since(c.since) >= partLeast {
			s.drop(c)
			return
		}
	}
	if s.going == 0 {
		s.evict()
	}
}

// drop closes a connection and forgets it. It wants mu.
func (s *Server) drop(c *conn) {
	if s.conns[c] && c.state >= called {
		s.going--
	}
	delete(s.conns, c)
	c.Close()
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
func (s *Server) enter(c *conn, next state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == evicted && next < held || c.state == called && next == idle {
		return // its end stands, whatever came meanwhile short of a whole request, or while it had no turn
	}
	if c.state >= called {
		s.going--
	}
	if next >= called {
		s.going++
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
	case parted:
		c.SetReadDeadline(c.since.Add(partTime))
	}
}

// serve plays one connection: idle, reading, held, answering, and again.
func (s *Server) serve(c *conn) {
	for s.next(c) {
		again, err := s.one(c)
		if err != nil {
			return
		}
		if !again {
			s.part(c)
			return
		}
	}
}

// next waits for a request's first byte, and says whether it came. Otherwise
// the connection ends: its client has gone, its time is over, or its seat is wanted.
func (s *Server) next(c *conn) bool {
	s.enter(c, idle)
	_, err := c.r.Peek(1)
	if late(err) && !sock.Quiet(c.Conn) { // a byte came in the last moment
		c.first = time.Time{}
		s.enter(c, reading)
		_, err = c.r.Peek(1)
	}
	if late(err) {
		s.part(c)
	}
	if err == nil {
		s.enter(c, reading)
	}
	return err == nil
}

// late says that a read ended by its deadline.
func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// one reads a request and sees it answered.
func (s *Server) one(c *conn) (again bool, err error) {
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
		last := s.phase.Ending() || r.Close
		return !last, s.send(c, a, last, r.Method == http.MethodHead)
	}
	if r.ContentLength <= maxBody && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(sendTime)) // that of the answer before is long over
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
	s.enter(c, held)
	gone := make(chan error, 1)
	go func() {
		err := c.watch()
		if !late(err) {
			q.Leave() // at once: the desk may be busy for a while
		}
		gone <- err
	}()
	s.desk.Arrive(q)
	var a Answer
	select {
	case a = <-answer:
		c.SetReadDeadline(time.Unix(1, 0)) // the watcher comes back, and what it read stays
		if !late(<-gone) {
			return false, errLeft
		}
	case <-gone:
		s.desk.Leave(q)
		return false, errLeft
	}
	last := c.lost || s.phase.Ending() || r.Close
	return !last, s.send(c, a, last, false)
}

// watch reads on behind a held request until the read deadline or the client's
// end, which is the error, since that stands behind all that the client has
// sent on. What that is stays in the buffer: the client's next request, if it
// waits for its answer. More than the buffer holds is thrown away.
func (c *conn) watch() error {
	for {
		n := c.r.Buffered()
		if _, err := c.r.Peek(n + 1); errors.Is(err, bufio.ErrBufferFull) {
			c.r.Discard(n)
			c.lost = true
		} else if err != nil {
			return err
		}
	}
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

// part ends the sending side of a connection, and reads for a moment what the
// client still sends. Closed over unread bytes the connection would be reset,
// and the last answer might be lost with it. A request among them is the
// client's to send again: none can be answered here any more.
func (s *Server) part(c *conn) {
	s.enter(c, parted)
	if s.shuts != nil {
		s.shuts(c.Conn)
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil {
		io.CopyN(io.Discard, c.Conn, 2*maxBody)
	}
}
