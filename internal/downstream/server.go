package downstream

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts and limits of client connections.
const (
	requestReadTimeout = 2 * time.Second // from the connection's start, or a later request's first byte, to its end
	idleTimeout        = 2 * time.Minute // between requests
	writeTimeout       = 5 * time.Second
	newConnGrace       = 250 * time.Millisecond // default of Server.newConnGrace
	removedClassGrace  = time.Second            // for which a class deleted from the settings is still accepted
	capacityPoll       = 5 * time.Millisecond   // between checks whether a connection can be accepted
	lingerTimeout      = 200 * time.Millisecond // for the client to close its side of a connection that we close
	lingerMinimum      = 20 * time.Millisecond  // before a lingering connection may be closed to free its descriptor
	backlogAccept      = 5 * time.Millisecond   // for one Accept from the backlog, which another process may empty
	logInterval        = time.Second            // minimum time between log lines about failed accepts

	memoryLogInterval = time.Minute // minimum time between log lines about the memory for requests

	spareDivisor = 16 // maxConns/spareDivisor more connections are accepted, to answer them with 503
)

// expired is a deadline in the past, which interrupts a blocked read or Accept.
var expired = time.Unix(1, 0)

// Handler receives requests. Its methods must return quickly.
type Handler interface {
	Arrive(*Request)             // the handler must call Answer on the request once
	ClientDisconnected(*Request) // the request's client disconnected, so Answer need not be called
}

// Phase reports the program's phase as far as connections need it.
type Phase interface {
	Ready() bool  // the program serves requests
	Ending() bool // connections are to be closed after the next answer
}

// Server accepts connections and serves requests on them.
type Server struct {
	AcceptDependencies bool // requests may use Wait-For and Not-Before; set before Serve

	classes            atomic.Pointer[map[string]Class]
	handler            Handler
	phase              Phase
	requestReadTimeout time.Duration
	newConnGrace       time.Duration // until an unused connection may be evicted; twice that for an incomplete request
	log                func(format string, args ...any)
	onCloseWrite       func(net.Conn) // for tests: called just before the sending side of a connection is closed
	memory             requestMemory
	rejections         pacer
	healthChecks       pacer // those on connections that had one before

	mu           sync.Mutex
	maxConns     int
	conns        map[*conn]bool
	closing      int           // number of conns in stateClosing or a later state
	listener     net.Listener  // on which Serve accepts
	paused       chan struct{} // closed when accepting resumes; nil while not paused
	serving      bool          // Serve is running
	stopped      bool
	yielded      bool      // stopped while paused: another process accepts the backlog
	memoryLogged time.Time // when it was last logged that requests are rejected for lack of memory

	inFlight atomic.Int64 // requests read whose answer is not written yet
}

// NewServer returns a server for the given classes, keyed by name. It serves at most maxConns connections at
// a time; a sixteenth more are accepted, whose requests are rejected.
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

// SetClasses replaces all classes. A class that is no longer among them is still accepted for
// removedClassGrace, since clients may already have sent requests for it.
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

// Resize changes the maximum number of connections. If there are more, those that may be evicted are evicted
// immediately.
func (s *Server) Resize(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
	for len(s.conns)-s.closing > s.capacity() && s.evict() {
	}
}

// capacity returns the maximum number of connections, including the spare ones. The caller holds mu.
func (s *Server) capacity() int { return s.maxConns + s.maxConns/spareDivisor }

// deadlineSetter is implemented by listeners whose Accept can be interrupted by a deadline.
type deadlineSetter interface {
	SetDeadline(time.Time) error
}

// Pause stops accepting connections if on is true, and resumes it otherwise. The listener stays open, as
// another process may accept from the same socket. A connection accepted before Pause returns is served.
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
		l.SetDeadline(deadline) //nolint:errcheck // if the listener is closed, Accept returns anyway
	}
}

// StopAccepting makes Serve accept connections until the backlog is empty, then close the listener and return.
// While paused it closes the listener without accepting, as another process accepts the backlog. It does not
// block; Drained reports when the server has finished.
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
		s.yielded = true
		close(s.paused)
		s.paused = nil
	case ok:
		l.SetDeadline(expired) //nolint:errcheck // if the listener is closed, Accept returns anyway
		return
	}
	if s.listener != nil {
		go s.listener.Close() // blocks until Accept returns, which may take long on a shared socket
	}
}

// Drained reports whether the server was stopped, Serve has returned and no connection or request is left.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped && !s.serving && len(s.conns) == 0 && s.InFlight() == 0
}

// Open returns the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// InFlight returns the number of requests that were read and whose answer is not written yet.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
