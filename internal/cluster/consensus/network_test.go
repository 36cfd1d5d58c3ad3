package consensus

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// route is a direction between two hosts.
type route struct{ from, to string }

// memoryNetwork is a network in memory. The host of an address is the part before
// the colon.
type memoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memoryListener
	cut         map[route]bool // data on a cut route is held back, as TCP would do
	delay       time.Duration
	corruptions int // number of large chunks that are still to be corrupted
	connections map[route][]net.Conn
	dialed      int
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners:   map[string]*memoryListener{},
		cut:         map[route]bool{},
		connections: map[route][]net.Conn{},
	}
}

func host(addr string) string {
	name, _, _ := strings.Cut(addr, ":")
	return name
}

// partition cuts, or restores if cut is false, the routes between two groups in both
// directions.
func (n *memoryNetwork) partition(cut bool, one, other []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range one {
		for _, b := range other {
			n.cut[route{a, b}] = cut
			n.cut[route{b, a}] = cut
		}
	}
}

// partitionOneWay cuts, or restores if cut is false, a route in one direction.
func (n *memoryNetwork) partitionOneWay(cut bool, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[route{from, to}] = cut
}

func (n *memoryNetwork) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[route{from, to}]
}

func (n *memoryNetwork) setDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// disconnect closes the connections between two hosts.
func (n *memoryNetwork) disconnect(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range []route{{a, b}, {b, a}} {
		for _, conn := range n.connections[r] {
			conn.Close()
		}
		delete(n.connections, r)
	}
}

func (n *memoryNetwork) dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		to := host(addr)
		for n.isCut(from, to) || n.isCut(to, from) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(tick / 4):
			}
		}
		n.mu.Lock()
		listener := n.listeners[addr]
		n.mu.Unlock()
		if listener == nil {
			return nil, errors.New("refused")
		}
		near, nearInner := net.Pipe()
		farInner, far := net.Pipe()
		select {
		case listener.accepted <- far:
		case <-listener.closed:
			return nil, errors.New("refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.dialed++
		r := route{from, to}
		n.connections[r] = append(n.connections[r], nearInner, farInner)
		n.mu.Unlock()
		go n.forward(nearInner, farInner, from, to)
		go n.forward(farInner, nearInner, to, from)
		return near, nil
	}
}

func (n *memoryNetwork) forward(src, dst net.Conn, from, to string) {
	defer src.Close()
	defer dst.Close()
	buffer := make([]byte, 64<<10)
	for {
		size, err := src.Read(buffer)
		if err != nil {
			return
		}
		for n.isCut(from, to) {
			time.Sleep(tick / 4)
			if isClosed(src) {
				return
			}
		}
		if delay := n.impair(buffer[:size]); delay > 0 {
			time.Sleep(delay)
		}
		if _, err := dst.Write(buffer[:size]); err != nil {
			return
		}
	}
}

// isClosed reports whether the other end of a pipe has been closed.
func isClosed(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now())
	defer conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(nil)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe)
}

// impair corrupts chunk if it is large and corruptions are left, and returns the
// network's delay.
func (n *memoryNetwork) impair(chunk []byte) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.corruptions > 0 && len(chunk) > 2000 {
		n.corruptions--
		chunk[len(chunk)/2] ^= 1
	}
	return n.delay
}

type memoryListener struct {
	network   *memoryNetwork
	address   string
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (n *memoryNetwork) listen(addr string) *memoryListener {
	l := &memoryListener{network: n, address: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
