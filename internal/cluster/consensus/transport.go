package consensus

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/cluster/consensus/wire"
	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

const (
	maxInboundConnections = 1024
	inboxBytes            = 8 * wire.MaxFrameBytes // of frames waiting for the loop
)

// Timeouts of connections, in ticks.
const (
	idleTimeoutTicks     = 30 // without a complete frame
	dialTimeoutTicks     = 10
	maxBackoffTicks      = 10 // between two dials
	higherNameDelayTicks = 2  // by which the voter with the higher name delays its dials, so that the other dials first
)

// receivedFrame is a frame and the connection on which it was received.
type receivedFrame struct {
	from  *connection
	frame wire.Frame
	bytes int // of the frame's body
}

// transport keeps one connection with each other voter, and accepts connections
// from clients. It dials each target with which there is no connection. If two
// voters dial each other at the same time, the connection that was dialled by the
// voter with the lower name is kept.
type transport struct {
	name          string
	clusterDigest uint64
	tick          time.Duration
	dial          func(context.Context, string) (net.Conn, error)
	listener      net.Listener
	advertised    *atomic.Pointer[advertisement]
	inbox         chan receivedFrame
	drops         *peerconn.DropCounters
	sentBytes     atomic.Uint64
	queuedBytes   atomic.Int64 // in the inbox

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	voterConnections map[string]*connection // by name
	openConnections  map[*connection]bool
	dialTargets      map[string]*dialTarget // by name
}

type dialTarget struct {
	address string
	cancel  context.CancelFunc
}

// advertisement is the identity and the handshake that a voter sends to its peers.
type advertisement struct {
	identity  wire.Identity
	handshake *wire.Handshake
}

func (t *transport) idleTimeout() time.Duration { return idleTimeoutTicks * t.tick }

func (t *transport) start() {
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.voterConnections = map[string]*connection{}
	t.openConnections = map[*connection]bool{}
	t.dialTargets = map[string]*dialTarget{}
	t.wg.Add(1)
	go t.acceptLoop()
}

// close stops all goroutines and waits for them.
func (t *transport) close() {
	t.cancel()
	t.listener.Close()
	t.mu.Lock()
	for conn := range t.openConnections {
		conn.close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

func (t *transport) newConnection(conn net.Conn, outbound bool) *connection {
	options := connectionOptions{
		clusterDigest: t.clusterDigest,
		idleTimeout:   t.idleTimeout(),
		drops:         t.drops,
		sentBytes:     &t.sentBytes,
	}
	return newConnection(conn, options, outbound)
}

func (t *transport) acceptLoop() {
	defer t.wg.Done()
	for {
		accepted, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			// Possibly there are no file descriptors left.
			if !sleep(t.ctx, t.tick) {
				return
			}
			continue
		}
		conn := t.newConnection(accepted, false)
		if !t.register(conn) {
			conn.close()
			continue
		}
		t.wg.Go(func() { t.serve(conn, "") })
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// register records an open connection. It returns false if the connection has to be
// closed because the transport is closed or has too many connections.
func (t *transport) register(conn *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	if !conn.outbound && len(t.openConnections) >= maxInboundConnections {
		t.drops.Add(dropTooManyConnections)
		return false
	}
	t.openConnections[conn] = true
	return true
}

// setTargets sets the voters to keep connections with. addresses maps names to
// addresses.
func (t *transport) setTargets(addresses map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, target := range t.dialTargets {
		if addresses[name] != target.address {
			target.cancel()
			delete(t.dialTargets, name)
		}
	}
	for name, address := range addresses {
		if t.dialTargets[name] != nil || name == t.name || t.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.ctx)
		t.dialTargets[name] = &dialTarget{address, cancel}
		t.wg.Go(func() { t.keepConnected(ctx, name, address) })
	}
}

// keepConnected dials a voter whenever there is no connection with it, until ctx
// ends.
func (t *transport) keepConnected(ctx context.Context, name, address string) {
	delay := t.initialDelay(name)
	if t.name > name && !sleepWithJitter(ctx, delay) {
		return
	}
	for {
		if existing := t.connectionTo(name); existing != nil {
			select {
			case <-ctx.Done():
				return
			case <-existing.closed:
			}
			delay = t.initialDelay(name)
		} else {
			began := time.Now()
			t.dialAndServe(ctx, name, address)
			delay = min(2*delay, maxBackoffTicks*t.tick)
			if time.Since(began) > t.idleTimeout() {
				delay = t.tick // the connection has worked, so the backoff starts again
			}
		}
		if ctx.Err() != nil || !sleepWithJitter(ctx, delay) {
			return
		}
	}
}

func (t *transport) initialDelay(name string) time.Duration {
	if t.name > name {
		return higherNameDelayTicks * t.tick
	}
	return t.tick
}

func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	return sleep(ctx, d+rand.N(d/2+1))
}

// dialAndServe dials a voter and serves the connection until it is closed.
func (t *transport) dialAndServe(ctx context.Context, name, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeoutTicks*t.tick)
	dialled, err := t.dial(dialCtx, address)
	cancel()
	if err != nil {
		return
	}
	conn := t.newConnection(dialled, true)
	if !t.register(conn) {
		conn.close()
		return
	}
	t.serve(conn, name)
}

// serve sends the opening handshake, then reads frames until the connection is
// closed. recipient is the name of the dialled voter, empty if the connection was
// accepted.
func (t *transport) serve(conn *connection, recipient string) {
	defer t.unregister(conn)
	own := t.advertised.Load()
	conn.send(wire.Frame{Identity: own.identity, Handshake: openingHandshake(own.handshake, recipient)})
	t.wg.Go(conn.writeLoop)
	conn.readLoop(func(frame wire.Frame, size int) bool {
		return t.receive(conn, recipient, receivedFrame{conn, frame, size})
	})
}

func openingHandshake(own *wire.Handshake, recipient string) *wire.Handshake {
	return &wire.Handshake{
		Name:           own.Name,
		Recipient:      recipient,
		Address:        own.Address,
		Voter:          own.Voter,
		Seed:           own.Seed,
		VoterSetDigest: own.VoterSetDigest,
		Leader:         own.Leader,
		LeaderAddress:  own.LeaderAddress,
		Term:           own.Term,
		AppliedIndex:   own.AppliedIndex,
		Members:        own.Members,
	}
}

func (t *transport) unregister(conn *connection) {
	conn.close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openConnections, conn)
	if conn.remote != nil && t.voterConnections[conn.remote.Name] == conn {
		delete(t.voterConnections, conn.remote.Name)
	}
}

// receive checks that the sender may send a frame, and queues the frame for the
// loop. It reports whether the connection may stay open.
func (t *transport) receive(conn *connection, recipient string, received receivedFrame) bool {
	frame := received.frame
	identity := t.advertised.Load().identity
	if !identity.IsZero() && !frame.Identity.IsZero() && frame.Identity != identity {
		t.drops.Add(dropWrongIdentity)
		return false
	}
	if conn.remote == nil && !t.acceptHandshake(conn, recipient, frame.Handshake) {
		return false
	}
	if frame.Handshake != nil && !conn.remote.Voter {
		return true // only the name is used of a client's handshake
	}
	if reason := t.checkSender(conn, frame, identity); reason != "" {
		t.drops.Add(reason)
		return true
	}
	if !t.enqueue(received) {
		t.drops.Add(dropInboxFull)
		if frame.Request != nil {
			response := &wire.Response{Id: frame.Request.Id, Result: wire.Response_OVERLOADED}
			conn.send(wire.Frame{Identity: identity, Response: response})
		}
	}
	return true
}

// acceptHandshake checks the first frame of a connection, which has to be a
// handshake. It reports whether the connection may stay open.
func (t *transport) acceptHandshake(conn *connection, recipient string, handshake *wire.Handshake) bool {
	switch {
	case handshake == nil || handshake.Name == t.name:
		t.drops.Add(dropUnknownSender)
		return false
	case handshake.Recipient != "" && handshake.Recipient != t.name,
		recipient != "" && handshake.Name != recipient:
		t.drops.Add(dropWrongRecipient)
		return false
	}
	conn.remote = handshake
	return !handshake.Voter || t.registerVoter(conn)
}

// checkSender returns the reason for dropping a frame, or "" if the sender may send
// it.
func (t *transport) checkSender(conn *connection, frame wire.Frame, identity wire.Identity) string {
	remote := conn.remote
	switch {
	case frame.Handshake != nil && frame.Handshake.Name == remote.Name:
		return ""
	case frame.Raft != nil:
		// A voter that was down may not know members that were added meanwhile, so the
		// sender needs the cluster's identity but need not be a known member.
		if frame.Identity.IsZero() || !remote.Voter || frame.Raft.GetFrom() != wire.NodeID(remote.Name) ||
			frame.Raft.GetTo() != wire.NodeID(t.name) {
			return dropUnknownSender
		}
		if identity.IsZero() {
			return dropNotVoting
		}
		return ""
	case frame.Request != nil, frame.Response != nil && remote.Voter:
		return ""
	}
	return dropUnknownSender
}

// enqueue adds a frame to the inbox. It returns false if the inbox is full.
func (t *transport) enqueue(received receivedFrame) bool {
	size := int64(received.bytes)
	if t.queuedBytes.Add(size) <= inboxBytes {
		select {
		case t.inbox <- received:
			return true
		default:
		}
	}
	t.queuedBytes.Add(-size)
	return false
}

// registerVoter makes conn the only connection with its voter. It returns false if
// the existing connection takes precedence.
func (t *transport) registerVoter(conn *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := conn.remote.Name
	if existing := t.voterConnections[name]; existing != nil {
		isLowerName := t.name < name
		if existing.outbound == isLowerName && conn.outbound != isLowerName {
			return false // existing was dialled by the lower name, conn by the higher
		}
		existing.close() // conn takes precedence, or the same voter has dialled again because existing failed
	}
	t.voterConnections[name] = conn
	return true
}

// connectionTo returns the connection with a voter, or nil.
func (t *transport) connectionTo(name string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.voterConnections[name]
}

// connectedVoters returns the connections with voters.
func (t *transport) connectedVoters() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*connection, 0, len(t.voterConnections))
	for _, conn := range t.voterConnections {
		conns = append(conns, conn)
	}
	return conns
}
