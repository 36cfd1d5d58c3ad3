package mesh

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

const readBufferBytes = 64 << 10

// register records an open connection. accepted is 1 for an accepted connection and
// 0 for a dialled one. It returns false if there are too many accepted
// connections or the mesh is closed.
func (m *Mesh) register(conn net.Conn, accepted int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil || m.accepted+accepted > maxAcceptedConns {
		return false
	}
	m.accepted += accepted
	m.conns[conn] = true
	return true
}

// unregister closes a connection and removes its record.
func (m *Mesh) unregister(conn net.Conn, accepted int) {
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
	m.accepted -= accepted
}

func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if !sleep(m.ctx, minDialBackoff) { // for example, no file descriptor was free
				return
			}
			continue
		}
		if !m.register(conn, 1) {
			m.drops.Add(dropTooManyConns)
			conn.Close()
			continue
		}
		m.goroutines.Go(func() {
			defer m.unregister(conn, 1)
			m.serveAccepted(conn)
		})
	}
}

// sleep waits for d and returns true, or returns false as soon as the context is
// cancelled.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// maintain dials a peer whenever the connection with it has ended, with an
// exponential backoff, until the context is cancelled.
func (m *Mesh) maintain(ctx context.Context, p *peer) {
	backoff := minDialBackoff
	for {
		began := time.Now()
		m.dial(ctx, p)
		backoff = min(2*backoff, maxDialBackoff)
		if time.Since(began) > m.IdleTimeout {
			backoff = minDialBackoff // the connection lasted for some time
		}
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
	}
}

// dial connects to a peer and serves the connection until it ends.
func (m *Mesh) dial(ctx context.Context, p *peer) {
	conn, err := m.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	if !m.register(conn, 0) {
		conn.Close()
		return
	}
	defer m.unregister(conn, 0)
	m.serveDialled(conn, p)
}

// serveDialled sends a hello, waits for the peer's hello and serves the connection.
func (m *Mesh) serveDialled(conn net.Conn, p *peer) {
	if !m.sendHello(conn, p.name) {
		return
	}
	r := bufio.NewReaderSize(conn, readBufferBytes)
	from, ok := m.readHello(conn, r)
	if !ok {
		return
	}
	if from != p.name {
		m.drops.Add(dropUnexpectedTarget)
		return
	}
	m.serve(conn, r, p)
}

// serveAccepted waits for a hello, answers it if the sender is a peer with a lower
// name, and serves the connection. A sender with a higher name is rejected, because
// the instance with the higher name does not dial.
func (m *Mesh) serveAccepted(conn net.Conn) {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	from, ok := m.readHello(conn, r)
	if !ok {
		return
	}
	m.mu.Lock()
	p := m.peers[from]
	m.mu.Unlock()
	if p == nil || from > m.Name {
		m.drops.Add(dropUnknownSender)
		return
	}
	if m.sendHello(conn, from) {
		m.serve(conn, r, p)
	}
}

func (m *Mesh) sendHello(conn net.Conn, to string) bool {
	if conn.SetWriteDeadline(time.Now().Add(m.IdleTimeout)) != nil {
		return false
	}
	_, err := conn.Write(encode(m.clusterDigest, kindHello, appendHello(nil, m.Name, to)))
	return err == nil
}

// readHello reads the first frame of a connection, which must be a hello to this
// instance, and returns its sender.
func (m *Mesh) readHello(conn net.Conn, r io.Reader) (string, bool) {
	kind, body, err := m.readFrame(conn, r)
	if err != nil {
		return "", false
	}
	from, to, ok := parseHello(body)
	if kind != kindHello || !ok || to != m.Name {
		m.drops.Add(dropUnexpectedTarget)
		return "", false
	}
	return from, true
}

// serve exchanges frames with a peer until the connection ends.
func (m *Mesh) serve(conn net.Conn, r io.Reader, p *peer) {
	if !m.adopt(conn, p) {
		return
	}
	done := make(chan struct{})
	m.goroutines.Go(func() {
		defer conn.Close()
		peerconn.WriteLoop{
			Conn:        conn,
			IdleTimeout: m.IdleTimeout,
			Ping:        encode(m.clusterDigest, kindPing, nil),
			Done:        done,
		}.Run(p.outbox)
	})
	m.readLoop(conn, r, p.name)
	m.release(conn, p)
	close(done)
}

func (m *Mesh) readLoop(conn net.Conn, r io.Reader, from string) {
	for {
		kind, body, err := m.readFrame(conn, r)
		if err != nil {
			return
		}
		if kind == kindData {
			m.Receive(from, body)
		}
	}
}

// adopt makes a connection the one in use with its peer, and closes an older one: a
// new connection shows that the older one no longer works. It returns false if the
// peer has been removed or the mesh is closed.
func (m *Mesh) adopt(conn net.Conn, p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[p.name] != p || m.ctx.Err() != nil {
		return false
	}
	if p.conn != nil {
		p.conn.Close()
	}
	p.outbox.Clear() // frames that were queued for the older connection
	p.conn = conn
	return true
}

func (m *Mesh) release(conn net.Conn, p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
}

// readFrame reads the next frame. An invalid frame is counted, and the caller closes
// the connection on any error.
func (m *Mesh) readFrame(conn net.Conn, r io.Reader) (byte, []byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(m.IdleTimeout)); err != nil {
		return 0, nil, err
	}
	kind, frame, err := decode(r, m.clusterDigest)
	for _, reason := range countedErrors {
		if errors.Is(err, reason) {
			m.drops.Add(reason.Error())
		}
	}
	return kind, frame, err
}
