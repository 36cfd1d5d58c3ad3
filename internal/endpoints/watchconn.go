package endpoints

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// watchConn is a connection to discovery that reads once more after its deadline.
type watchConn struct {
	net.Conn
	graceUsed bool
}

// extendDeadline sets the read deadline to timeout from now.
func (c *watchConn) extendDeadline(timeout time.Duration) {
	c.graceUsed = false
	c.SetReadDeadline(time.Now().Add(timeout))
}

// Read reads once more, for readGrace, after the deadline has passed. A process that was suspended thus
// receives the data that discovery wrote meanwhile.
func (c *watchConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.graceUsed {
		c.graceUsed = true
		c.SetReadDeadline(time.Now().Add(readGrace))
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// bodyReader reads a watch's body. Every byte between two updates, including a blank line, extends the
// deadline, since it shows that discovery is alive. Bytes within an update don't, since the update may never
// end: it has to be complete by the deadline that was set when it began. An update ends with its closing
// brace, not with a line, as a list may be indented.
type bodyReader struct {
	body         io.Reader
	conn         *watchConn
	complete     bool // the first update is complete
	pendingBytes int  // bytes of an incomplete update
}

// Read implements io.Reader. It skips whitespace between updates.
func (r *bodyReader) Read(p []byte) (n int, err error) {
	for err == nil {
		n, err = r.body.Read(p)
		if n > 0 && r.complete && r.pendingBytes == 0 {
			r.conn.extendDeadline(watchIdleTimeout)
		}
		if r.pendingBytes > 0 || len(bytes.TrimSpace(p[:n])) > 0 {
			r.pendingBytes += n
			break
		}
	}
	if r.pendingBytes > maxUpdate {
		return n, errUpdateTooLong // an endless update must not exhaust memory
	}
	return n, err
}
