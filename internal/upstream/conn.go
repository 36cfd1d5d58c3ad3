package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/connstate"
)

// readBufferBytes is the size of a connection's read buffer in bytes.
const readBufferBytes = 2048

// conn is one connection to a worker. It is used by one attempt or health check at a time, or is idle in the pool.
type conn struct {
	net.Conn
	addr        string
	limit       io.LimitedReader // limits the bytes still accepted for the current answer
	reader      *bufio.Reader
	idleSince   time.Time
	idleFor     time.Duration   // how long it was idle before it was reused; 0 for a new connection
	body        io.Reader       // body of the answer being read
	lastOutcome balance.Outcome // outcome of the last attempt; empty after a health check
	reusableAt  time.Time       // earliest time at which it may be reused
	settledAt   time.Time       // until this time, a second answer to an earlier job may arrive
	unsettled   bool            // it was reused before settledAt
}

// dial opens a connection to addr. It fails if the connection is not established by dialBy.
func dial(ctx context.Context, addr string, dialBy time.Time) (*conn, error) {
	dialer := net.Dialer{Deadline: dialBy, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:  socket,
		addr:  addr,
		limit: io.LimitedReader{R: socket},
	}
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c, nil
}

// alive reports, without blocking, whether an idle connection is open and has no unread bytes.
func (c *conn) alive() bool { return c.reader.Buffered() == 0 && connstate.IsQuiet(c.Conn) }

// response reads the head of the final answer, skipping interim answers (1xx), and keeps its body for drain.
// All heads together may have maxHead bytes and the body may have maxAnswer bytes, so that an endless answer
// cannot exhaust the memory.
func (c *conn) response(method string) (*http.Response, error) {
	c.limit.N = maxHead
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 {
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("worker switched to another protocol: " + resp.Status)
		}
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err == nil {
		c.limit.N = maxAnswer
		c.body = resp.Body
	}
	return resp, err
}

// drain reads up to maxLine bytes of the rest of the answer, for at most drainTimeout. It reports whether the
// connection can be reused, because less than maxLine bytes were left and nothing follows the answer.
func (c *conn) drain() bool {
	c.SetReadDeadline(time.Now().Add(drainTimeout))
	n, err := io.CopyN(io.Discard, c.body, maxLine)
	return errors.Is(err, io.EOF) && n < maxLine && c.reader.Buffered() == 0
}

// closedWithoutAnswer reports whether a reused connection ended, other than by a timeout, before any byte of an
// answer was read.
func (c *conn) closedWithoutAnswer(err error) bool {
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	return c.idleFor > 0 && c.limit.N == maxHead && !timeout
}
