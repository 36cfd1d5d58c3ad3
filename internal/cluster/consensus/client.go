package consensus

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

const maxPendingRequests = 256 // on one connection

// ClientOptions configure a [Client].
type ClientOptions struct {
	Name    string // of the instance
	Cluster string
	Listen  string // host:port; connections are dialled from this host
	// Tick is the unit of timeouts, 100 ms by default. A connection is closed if no
	// complete frame is received within 30 ticks.
	Tick time.Duration
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Client sends requests to voters over one connection per address. Its methods
// are safe for concurrent use.
type Client struct {
	options   ClientOptions
	drops     peerconn.DropCounters
	sentBytes atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu          sync.Mutex
	identity    wire.Identity // of the first cluster that responded
	connections map[string]*clientConnection
}

// clientConnection is a connection that is open or being opened.
type clientConnection struct {
	address       string
	ready         chan struct{} // closed once conn or err is set
	conn          *connection
	err           error
	lastRequestID uint64
	pending       map[uint64]chan *wire.Response
}

// NewClient returns a client. It connects on the first request to an address.
func NewClient(o ClientOptions) *Client {
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.Dial == nil {
		o.Dial = newDialer(o.Listen)
	}
	c := &Client{options: o, connections: map[string]*clientConnection{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close closes all connections and waits for their goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
}

// Drops returns the number of dropped frames by reason.
func (c *Client) Drops() map[string]uint64 { return dropCounts(&c.drops) }

// Request sends a request to the voter at addr, which forwards it if another voter
// is the leader, and returns the response. If ctx ends first, it fails with
// UnreachableError. Other errors are NotLeaderError, NoQuorumError,
// OverloadedError, UnavailableError, WrongClusterError, TooLargeError and
// ErrClosed.
func (c *Client) Request(ctx context.Context, addr string, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayloadBytes {
		return nil, &TooLargeError{len(payload), MaxPayloadBytes}
	}
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	request, result, err := c.newRequest(conn, payload)
	if err != nil {
		return nil, err
	}
	defer c.takePending(conn, request.Request.Id)
	if !conn.conn.send(request) {
		return nil, &OverloadedError{"requests"}
	}
	select {
	case response := <-result:
		return responseResult(addr, response)
	case <-ctx.Done():
		return nil, &UnreachableError{addr, ctx.Err()}
	case <-conn.conn.closed:
		return nil, &UnreachableError{addr, errors.New("the connection was closed")}
	}
}

// connect returns an open connection to addr. It dials addr if there is none.
func (c *Client) connect(ctx context.Context, addr string) (*clientConnection, error) {
	conn, err := c.connection(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-conn.ready:
		return conn, conn.err
	case <-ctx.Done():
		return nil, &UnreachableError{addr, ctx.Err()}
	}
}

func (c *Client) connection(addr string) (*clientConnection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, ErrClosed
	}
	conn := c.connections[addr]
	if conn == nil {
		conn = &clientConnection{
			address: addr,
			ready:   make(chan struct{}),
			pending: map[uint64]chan *wire.Response{},
		}
		c.connections[addr] = conn
		c.wg.Go(func() { c.serve(conn) })
	}
	return conn, nil
}

// newRequest registers a pending request on conn. It returns the frame to send and
// the channel that receives the response.
func (c *Client) newRequest(conn *clientConnection, payload []byte) (wire.Frame, chan *wire.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(conn.pending) >= maxPendingRequests {
		return wire.Frame{}, nil, &OverloadedError{"requests"}
	}
	conn.lastRequestID++
	id := conn.lastRequestID
	result := make(chan *wire.Response, 1)
	conn.pending[id] = result
	request := &wire.Request{Id: id, From: c.options.Name, Payload: payload}
	return wire.Frame{Identity: c.identity, Request: request}, result, nil
}

// takePending removes a pending request and returns its channel, or nil if the
// request is no longer pending.
func (c *Client) takePending(conn *clientConnection, id uint64) chan *wire.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := conn.pending[id]
	delete(conn.pending, id)
	return result
}

// serve dials conn's address and reads frames until the connection is closed.
func (c *Client) serve(conn *clientConnection) {
	defer c.removeConnection(conn)
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeoutTicks*c.options.Tick)
	dialled, err := c.options.Dial(ctx, conn.address)
	cancel()
	if err != nil {
		c.resolve(conn, nil, &UnreachableError{conn.address, err})
		return
	}
	opened := newConnection(dialled, connectionOptions{
		clusterDigest: wire.ClusterDigest(c.options.Cluster),
		idleTimeout:   idleTimeoutTicks * c.options.Tick,
		drops:         &c.drops,
		sentBytes:     &c.sentBytes,
	}, true)
	stop := context.AfterFunc(c.ctx, opened.close)
	defer stop()
	opened.send(wire.Frame{Handshake: &wire.Handshake{Name: c.options.Name}})
	c.wg.Go(opened.writeLoop)
	opened.readLoop(func(frame wire.Frame, _ int) bool { return c.receive(conn, opened, frame) })
	c.resolve(conn, nil, &UnreachableError{conn.address, errors.New("the connection was closed before any message")})
}

func (c *Client) removeConnection(conn *clientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connections, conn.address)
}

// resolve marks a connection as ready or failed; only the first call has an effect.
// Only the connection's own goroutine calls it.
func (c *Client) resolve(conn *clientConnection, opened *connection, err error) {
	select {
	case <-conn.ready:
		return
	default:
	}
	c.mu.Lock()
	conn.conn = opened
	conn.err = err
	c.mu.Unlock()
	close(conn.ready)
}

// receive handles a frame and reports whether the connection may stay open.
func (c *Client) receive(conn *clientConnection, opened *connection, frame wire.Frame) bool {
	if !c.checkIdentity(frame.Identity) {
		c.drops.Add(dropWrongIdentity)
		c.resolve(conn, nil, &WrongClusterError{conn.address})
		return false
	}
	c.resolve(conn, opened, nil)
	if frame.Response == nil {
		return true
	}
	result := c.takePending(conn, frame.Response.Id)
	if result == nil {
		c.drops.Add(dropLateResponse)
		return true
	}
	result <- frame.Response
	return true
}

// checkIdentity reports whether a frame belongs to the first cluster that
// responded. A frame without an identity is accepted.
func (c *Client) checkIdentity(identity wire.Identity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.identity.IsZero() {
		c.identity = identity
	}
	return identity.IsZero() || identity == c.identity
}
