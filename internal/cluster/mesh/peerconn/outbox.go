package peerconn

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

const (
	writeBufferBytes = 64 << 10
	// pingsPerTimeout is the number of pings within the idle timeout of a
	// connection.
	pingsPerTimeout = 3
)

// Outbox queues encoded frames for one connection. It limits both their number and
// their total size.
type Outbox struct {
	frames   chan []byte
	maxBytes int64
	queued   atomic.Int64 // total size of the queued frames in bytes
}

// NewOutbox returns an empty outbox for at most maxFrames frames of maxBytes in total.
func NewOutbox(maxFrames int, maxBytes int64) *Outbox {
	return &Outbox{
		frames:   make(chan []byte, maxFrames),
		maxBytes: maxBytes,
	}
}

// Push queues a frame and reports whether it fits. It never blocks.
func (o *Outbox) Push(frame []byte) bool {
	size := int64(len(frame))
	if o.queued.Add(size) <= o.maxBytes {
		select {
		case o.frames <- frame:
			return true
		default:
		}
	}
	o.queued.Add(-size)
	return false
}

// Clear drops all queued frames.
func (o *Outbox) Clear() {
	for len(o.frames) > 0 {
		o.queued.Add(-int64(len(<-o.frames)))
	}
}

// WriteLoop writes the frames of an outbox to a connection.
type WriteLoop struct {
	Conn        net.Conn
	IdleTimeout time.Duration   // limit for each write; three pings are sent within it
	Ping        []byte          // an encoded frame that is sent at regular intervals
	Done        <-chan struct{} // ends the loop when closed
	Sent        func(bytes int) // called after each frame with its size; may be nil
}

// Run writes queued frames and pings until the connection fails or Done is closed.
func (w WriteLoop) Run(outbox *Outbox) {
	buffered := bufio.NewWriterSize(w.Conn, writeBufferBytes)
	ping := time.NewTicker(w.IdleTimeout / pingsPerTimeout)
	defer ping.Stop()
	for {
		var frame []byte
		select {
		case <-w.Done:
			return
		case frame = <-outbox.frames:
			outbox.queued.Add(-int64(len(frame)))
		case <-ping.C:
			frame = w.Ping
		}
		if w.Conn.SetWriteDeadline(time.Now().Add(w.IdleTimeout)) != nil {
			return
		}
		if _, err := buffered.Write(frame); err != nil {
			return
		}
		if w.Sent != nil {
			w.Sent(len(frame))
		}
		if len(outbox.frames) == 0 && buffered.Flush() != nil {
			return
		}
	}
}
