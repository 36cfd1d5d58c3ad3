package downstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"
)

// state is the state of a client connection. In stateClosing and the states after it the connection is to end.
type state int

const (
	stateIdle           state = iota // between requests
	stateReading                     // part of a request was received
	stateAwaitingAnswer              // a complete request was read and is not answered yet
	stateClosing                     // was idle and is to end, unless a request was received first
	stateEvicted                     // was reading and is to end, unless its request is complete
	stateLingering                   // the sending side is closed: received bytes are discarded
	stateRejected                    // its request is unsound, and the answer, which ends it, is paced
)

// closing reports whether a connection in this state is to end.
func (s state) closing() bool { return s >= stateClosing }

// conn is one client connection. Its goroutine reads and writes. While a request awaits its answer, only a
// second goroutine reads (see watchClient), to detect that the client disconnects.
type conn struct {
	net.Conn
	reader         *bufio.Reader
	firstRequestBy time.Time // deadline for the first request; zero once it has been received
	overCapacity   bool      // accepted beyond maxConns: its request is rejected
	discarded      bool      // received bytes were discarded: no further request can be read
	healthChecks   int       // number of health checks on this connection

	// Guarded by Server.mu.
	state      state
	stateSince time.Time
	answered   int // number of requests answered on this connection

	released       chan struct{} // closed when its paced answer is to be sent early; nil unless it waits for that
	reservedMemory int64         // request memory that its request holds, in bytes
}

// setState moves a connection to its next state and sets that state's read deadline.
func (s *Server) setState(c *conn, next state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stillReading := c.state == stateEvicted && next < stateAwaitingAnswer
	stillIdle := c.state == stateClosing && next == stateIdle
	if stillReading || stillIdle {
		return // still to end: what was received since does not prevent that (see the states above)
	}
	if c.state.closing() {
		s.closing--
	}
	if next.closing() {
		s.closing++
	}
	if next == stateIdle && c.state != stateIdle {
		c.answered++
	}
	c.state = next
	c.stateSince = time.Now()
	s.setReadDeadline(c)
}

// setReadDeadline limits how long a connection stays in its state. The caller holds mu.
func (s *Server) setReadDeadline(c *conn) {
	switch c.state {
	case stateIdle:
		c.SetReadDeadline(c.firstRequestOr(idleTimeout))
	case stateReading:
		c.SetReadDeadline(c.firstRequestOr(s.requestReadTimeout))
	case stateAwaitingAnswer: // watchClient has no deadline
		c.firstRequestBy = time.Time{}
		c.SetReadDeadline(time.Time{})
	case stateLingering:
		c.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	case stateClosing, stateEvicted:
		// requestClose has set the deadline.
	case stateRejected: // nothing is read any more
	}
}

// firstRequestOr returns the deadline of the first request, and for later requests the start of the state plus timeout.
func (c *conn) firstRequestOr(timeout time.Duration) time.Time {
	if !c.firstRequestBy.IsZero() {
		return c.firstRequestBy
	}
	return c.stateSince.Add(timeout)
}

// watchClient reads while a request awaits its answer, until the read deadline expires or the client
// disconnects, and returns that error. A disconnect is seen only after all bytes sent before it were read.
// The bytes stay in the buffer, as they may be the client's next request. If they exceed the buffer, they are
// discarded, and discarded is set.
func (c *conn) watchClient() error {
	for {
		buffered := c.reader.Buffered()
		_, err := c.reader.Peek(buffered + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			c.reader.Discard(buffered) //nolint:errcheck // buffered bytes can always be discarded
			c.discarded = true
		case err != nil:
			return err
		}
	}
}

// linger closes the sending side of a connection, then reads and discards what the client still sends, for at
// most lingerTimeout. Closing a connection with unread bytes would reset it, and the client might lose the
// last answer. The client has to send a discarded request again on another connection.
func (s *Server) linger(c *conn) {
	s.setState(c, stateLingering)
	if s.onCloseWrite != nil {
		s.onCloseWrite(c.Conn)
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && halfCloser.CloseWrite() == nil {
		io.CopyN(io.Discard, c.Conn, 2*maxBody) //nolint:errcheck // the connection is closed next in any case
	}
}
