package consensus

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// Limits of the send queue of one connection. Frames beyond them are dropped and
// counted.
const (
	outboxFrames = 512
	outboxBytes  = 2 * wire.MaxFrameBytes
)

const readBufferBytes = 64 << 10

// connectionOptions are shared by all connections of a node or client.
type connectionOptions struct {
	clusterDigest uint64
	idleTimeout   time.Duration
	drops         *peerconn.DropCounters
	sentBytes     *atomic.Uint64 // of all connections
}

// connection sends and receives frames. It is closed if no complete frame is
// received within idleTimeout, so both ends send pings.
type connection struct {
	connectionOptions
	conn     net.Conn
	outbound bool // dialled by this end

	outbox    *peerconn.Outbox
	closed    chan struct{}
	closeOnce sync.Once

	remote *wire.Handshake // the peer's first handshake; set before connectionTo can return the connection
}

func newConnection(conn net.Conn, options connectionOptions, outbound bool) *connection {
	return &connection{
		connectionOptions: options,
		conn:              conn,
		outbound:          outbound,
		outbox:            peerconn.NewOutbox(outboxFrames, outboxBytes),
		closed:            make(chan struct{}),
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.conn.Close()
	})
}

// send queues a frame, and reports whether it was queued rather than dropped.
func (c *connection) send(f wire.Frame) bool {
	encoded := wire.Encode(c.clusterDigest, f)
	if encoded == nil {
		c.drops.Add(wire.ErrTooLarge.Error())
		return false
	}
	if !c.outbox.Push(encoded) {
		c.drops.Add(dropOutboxFull)
		return false
	}
	return true
}

// writeLoop sends queued frames, and pings, until the connection is closed.
func (c *connection) writeLoop() {
	defer c.close()
	peerconn.WriteLoop{
		Conn:        c.conn,
		IdleTimeout: c.idleTimeout,
		Ping:        wire.Encode(c.clusterDigest, wire.Frame{Ping: &wire.Ping{}}),
		Done:        c.closed,
		Sent:        func(bytes int) { c.sentBytes.Add(uint64(bytes)) },
	}.Run(c.outbox)
}

// readLoop passes frames other than pings to handle until reading or decoding
// fails, or handle returns false.
func (c *connection) readLoop(handle func(f wire.Frame, size int) bool) {
	defer c.close()
	reader := bufio.NewReaderSize(c.conn, readBufferBytes)
	for {
		if c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)) != nil {
			return
		}
		frame, size, err := wire.ReadFrame(reader, c.clusterDigest)
		if err != nil {
			countDecodeError(c.drops, err)
			return
		}
		if frame.Ping == nil && !handle(frame, size) {
			return
		}
	}
}

// newDialer returns a function that dials TCP addresses. If the host of listen, a
// host:port address, is an IP address, connections originate from it.
func newDialer(listen string) func(context.Context, string) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(listen) // host is empty if listen has none
	dialer := peerconn.Dialer(net.ParseIP(host))
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}
}
