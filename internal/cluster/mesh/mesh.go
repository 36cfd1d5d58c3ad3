// Package mesh sends frames between instances over one TCP connection for each
// pair. The instance with the lower name dials, from the address that it listens
// on. Frames may be lost: Send does not block, and drops and counts a frame that
// does not fit the outbox. Frames that are queued or in transit when a connection
// breaks are lost without being counted.
package mesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// Limits of frames, queues and connections.
const (
	MaxFrame         = 16 << 20 // bytes of content in one frame
	maxQueuedFrames  = 512      // for each peer
	maxQueuedBytes   = 2 * MaxFrame
	maxPeers         = 4096
	maxAcceptedConns = 1024 // accepted connections that are open, before and after their hello
)

const (
	defaultIdleTimeout = 3 * time.Second
	minDialBackoff     = 50 * time.Millisecond // doubled with each failure
	maxDialBackoff     = 2 * time.Second
)

// Names of drop counters in the admin status.
const (
	dropUnknownPeer      = "to nobody"
	dropNotConnected     = "not connected"
	dropOutboxFull       = "outbox full"
	dropTooManyConns     = "too many connections"
	dropUnknownSender    = "of unknown senders"
	dropUnexpectedTarget = "not who was meant"
)

// ListenError is the error that New returns if it can't listen on the address.
type ListenError struct {
	Address string
	Err     error
}

func (e ListenError) Error() string {
	return fmt.Sprintf("shards: can't listen on %q: %v: give this instance an address of its own in the operator's "+
		"file (docs/operators/shards.md, \"Switch on\")", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e ListenError) Unwrap() error { return e.Err }

// Is reports whether err is a ListenError, whatever its fields.
func (ListenError) Is(err error) bool { _, ok := err.(ListenError); return ok }

// Options configure a Mesh.
type Options struct {
	Name        string // of this instance
	Cluster     string
	Listen      string        // host:port
	IdleTimeout time.Duration // after which a connection without data is closed; 0: 3 s
	// Receive is called with each frame from a peer, in the order in which the peer
	// sent them. It may retain the frame. No further frame of that peer is read
	// before it returns.
	Receive func(from string, frame []byte)
}

// Mesh holds the connections of an instance with its peers. Make one with New.
type Mesh struct {
	Options
	clusterDigest uint64
	listener      net.Listener
	dialer        net.Dialer
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	drops         peerconn.DropCounters

	mu       sync.Mutex
	peers    map[string]*peer
	conns    map[net.Conn]bool // all connections
	accepted int               // number of accepted connections that are open
}

type peer struct {
	name    string
	address string
	cancel  context.CancelFunc // stops dialling
	outbox  *peerconn.Outbox
	conn    net.Conn // the connection in use; nil: none
}

// New listens on the configured address. It returns a ListenError if it can't. It
// has no peers before SetPeers: until then it dials nobody and rejects every hello.
func New(o Options) (*Mesh, error) {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, ListenError{o.Listen, err}
	}
	m := &Mesh{
		Options:       o,
		clusterDigest: xxhash.Sum64String(o.Cluster),
		listener:      listener,
		peers:         map[string]*peer{},
		conns:         map[net.Conn]bool{},
	}
	if address, ok := listener.Addr().(*net.TCPAddr); ok {
		m.dialer = peerconn.Dialer(address.IP)
	}
	m.dialer.Timeout = o.IdleTimeout
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.goroutines.Go(m.accept)
	return m, nil
}

// Addr returns the address, as host:port, that the mesh listens on.
func (m *Mesh) Addr() string { return m.listener.Addr().String() }

// SetPeers sets the peers and their addresses, by name. It closes connections with
// instances that are not among them or have another address. The entry of this
// instance itself is ignored, as are peers beyond maxPeers.
func (m *Mesh) SetPeers(addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if addresses[name] != p.address {
			m.removePeer(p)
		}
	}
	for name, address := range addresses {
		if name == m.Name || m.peers[name] != nil || len(m.peers) >= maxPeers || m.ctx.Err() != nil {
			continue
		}
		m.addPeer(name, address)
	}
}

// removePeer closes the connection with a peer and removes it. The caller holds m.mu.
func (m *Mesh) removePeer(p *peer) {
	p.cancel()
	if p.conn != nil {
		p.conn.Close()
	}
	delete(m.peers, p.name)
}

// addPeer adds a peer and starts to dial it if this instance has the lower name.
// The caller holds m.mu.
func (m *Mesh) addPeer(name, address string) {
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{
		name:    name,
		address: address,
		cancel:  cancel,
		outbox:  peerconn.NewOutbox(maxQueuedFrames, maxQueuedBytes),
	}
	m.peers[name] = p
	if m.Name < name {
		m.goroutines.Go(func() { m.maintain(ctx, p) })
	}
}

// Send queues a frame for a peer and reports whether it was queued. It never
// blocks. A frame that is not queued is counted as dropped.
func (m *Mesh) Send(to string, frame []byte) bool {
	m.mu.Lock()
	p := m.peers[to]
	connected := p != nil && p.conn != nil
	m.mu.Unlock()
	switch {
	case p == nil:
		m.drops.Add(dropUnknownPeer)
		return false
	case len(frame) > MaxFrame:
		m.drops.Add(errTooLarge.Error())
		return false
	case !connected: // not queued for later: the frame would be outdated by then
		m.drops.Add(dropNotConnected)
		return false
	}
	if !p.outbox.Push(encode(m.clusterDigest, kindData, frame)) {
		m.drops.Add(dropOutboxFull)
		return false
	}
	return true
}

// Status is the state of the mesh as the admin interface shows it.
type Status struct {
	Connected int               `json:"connected"`
	Peers     int               `json:"wanted"`
	Dropped   map[string]uint64 `json:"dropped"`
}

// Status returns the current status.
func (m *Mesh) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{
		Peers:   len(m.peers),
		Dropped: m.drops.Snapshot(),
	}
	for _, p := range m.peers {
		if p.conn != nil {
			s.Connected++
		}
	}
	return s
}

// Close closes the listener and all connections, and waits for all goroutines.
func (m *Mesh) Close() {
	m.cancel()
	m.listener.Close()
	m.mu.Lock()
	for conn := range m.conns {
		conn.Close()
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}
