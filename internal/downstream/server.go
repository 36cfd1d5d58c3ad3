package downstream

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts and sizes of the clients' side.
const (
	requestReadTimeout = 2 * time.Second // from a connection's start, or a later request's first byte, to its last byte
	idleTimeout        = 2 * time.Minute // between requests
	writeTimeout       = 5 * time.Second
	newConnGrace       = 250 * time.Millisecond
	removedClassGrace  = time.Second            // for which a class that the settings no longer name is accepted
	capacityPoll       = 5 * time.Millisecond   // between checks for a free place when all are taken
	lingerTimeout      = 200 * time.Millisecond // for a client to end its side of a connection that ends
	lingerMinimum      = 20 * time.Millisecond  // the same, where its descriptor is needed
	acceptDrain        = 20 * time.Millisecond  // for connections that wait to be accepted when the server stops
	logInterval        = time.Second            // between log lines of failed accepts

	spareDivisor = 16 // one connection in so many more is accepted to be rejected properly
)

// expired is a deadline in the past, which ends a read at once.
var expired = time.Unix(1, 0)

// Handler receives requests. Its methods return soon.
type Handler interface {
	Arrive(*Request)             // the request is owed one Answer
	ClientDisconnected(*Request) // its client disconnected: no answer is owed any more
}

// Phase is what a connection needs to know of the program's phase.
type Phase interface {
	Ready() bool  // the program serves
	Ending() bool // clients are to go elsewhere after their answer
}

// Server accepts connections and serves requests on them.
type Server struct {
	AcceptDependencies bool // requests may name jobs and times that they wait for; set before Serve

	classes            atomic.Pointer[map[string]Class]
	handler            Handler
	phase              Phase
	requestReadTimeout time.Duration
	newConnGrace       time.Duration // until a connection without a byte may be evicted; twice that without a request
	log                func(format string, args ...any)
	onCloseWrite       func(net.Conn) // for tests: called right before a connection's sending side is closed

	mu       sync.Mutex
	maxConns int
	conns    map[*conn]bool
	closing  int           // of conns, those that are to end or are ending
	listener net.Listener  // that Serve accepts from
	paused   chan struct{} // closed when connections are accepted again; nil: they are accepted
	serving  bool          // Serve has not returned
	stopped  bool
	inFlight atomic.Int64 // requests read and not yet answered on the wire
}

// NewServer returns a server for the given classes, by name, that holds at most maxConns connections at one
// time, and a sixteenth more whose requests are rejected.
func NewServer(
	classes map[string]Class,
	handler Handler,
	phase Phase,
	maxConns int,
	log func(string, ...any),
) *Server {
	s := &Server{
		handler:            handler,
		phase:              phase,
		maxConns:           maxConns,
		requestReadTimeout: requestReadTimeout,
		newConnGrace:       newConnGrace,
		log:                log,
		conns:              map[*conn]bool{},
	}
	s.classes.Store(&classes)
	return s
}

// SetClasses replaces the classes as a whole. One that is not among them is accepted for a moment more:
// requests of it are on their way.
func (s *Server) SetClasses(classes map[string]Class) {
	next := maps.Clone(classes)
	for name, class := range *s.classes.Load() {
		if _, ok := next[name]; ok {
			continue
		}
		if class.removedAt.IsZero() {
			class.removedAt = time.Now().Add(removedClassGrace)
		}
		if time.Now().Before(class.removedAt) {
			next[name] = class
		}
	}
	s.classes.Store(&next)
}

// Resize changes how many connections there may be. Connections beyond that are evicted at once, as far as
// they may be.
func (s *Server) Resize(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
	for len(s.conns)-s.closing > s.capacity() && s.evict() {
	}
}

// capacity is the number of connections at one time, the spare ones included. The caller holds mu.
func (s *Server) capacity() int { return s.maxConns + s.maxConns/spareDivisor }

// deadlineSetter is a listener whose Accept can be ended by a deadline.
type deadlineSetter interface {
	SetDeadline(time.Time) error
}

// Pause stops accepting connections, or accepts them again. The listener stays open: another process may
// accept from the same socket. A connection that was accepted before Pause returns is served.
func (s *Server) Pause(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.paused != nil) || s.stopped {
		return
	}
	var deadline time.Time
	if on {
		s.paused = make(chan struct{})
		deadline = expired
	} else {
		close(s.paused)
		s.paused = nil
	}
	if l, ok := s.listener.(deadlineSetter); ok {
		l.SetDeadline(deadline) //nolint:errcheck // a closed listener ends Accept by itself
	}
}

// StopAccepting ends Serve: connections that wait to be accepted are still accepted, unless another process
// takes them, and then the listener is closed. It does not block; Drained reports when that is over.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	l, ok := s.listener.(deadlineSetter)
	switch {
	case s.paused != nil:
		close(s.paused)
		s.paused = nil
	case ok:
		l.SetDeadline(time.Now().Add(acceptDrain)) //nolint:errcheck // a closed listener ends Accept by itself
		return
	}
	if s.listener != nil {
		go s.listener.Close() // it waits for an Accept that waits in the system, as one on a shared socket may
	}
}

// Drained reports whether the server was stopped and nothing is open, nor can be any more.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped && !s.serving && len(s.conns) == 0 && s.InFlight() == 0
}

// Open is the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// InFlight is the number of requests that were read and have no answer on the wire yet.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
