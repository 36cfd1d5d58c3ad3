package faultproxy

import (
	"net"
	"sync"
	"time"

	"example.org/bellstream/internal/lab/fault"
)

const dialTimeout = 5 * time.Second

// conn is a client's connection through an endpoint to the target.
type conn struct {
	proxy    *Proxy
	endpoint *endpoint
	number   uint64
	ends     [2]*net.TCPConn // the client, the target
	streams  [2]*stream
	done     chan struct{}
	once     sync.Once
}

func newConn(e *endpoint, number uint64, client, target *net.TCPConn) *conn {
	c := &conn{
		proxy:    e.proxy,
		endpoint: e,
		number:   number,
		ends:     [2]*net.TCPConn{client, target},
		done:     make(chan struct{}),
	}
	for i, side := range []fault.Side{fault.Request, fault.Answer} {
		c.streams[i] = newStream(c, side, c.ends[i], c.ends[1-i])
	}
	return c
}

// close closes both ends, by a TCP reset if abort is set. Only the first call has
// an effect.
func (c *conn) close(abort bool) {
	c.once.Do(func() {
		close(c.done)
		for _, end := range c.ends {
			if abort {
				reset(end)
			} else {
				_ = end.Close()
			}
		}
	})
}

// reset closes a connection by a TCP reset. Errors are ignored, as they mean that
// the connection is already closed.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// begin applies the active rules that are due at once. The caller holds the proxy's
// mu.
func (c *conn) begin(now float64) {
	for _, s := range c.streams {
		s.enqueue(s.plan.Begin(now))
	}
}

// serve forwards a client's connection until it ends.
func (e *endpoint) serve(client *net.TCPConn, number uint64) {
	p := e.proxy
	defer p.goroutines.Done()
	if r := p.activeRule(fault.Mute, e.Name, number); r != nil {
		e.holdUnserved(client, number, r)
		return
	}
	target, err := net.DialTimeout("tcp", e.Target, dialTimeout)
	if err != nil {
		p.record(Entry{Event: eventFailed, Endpoint: e.Name, Conn: number, Reason: err.Error()})
		reset(client)
		return
	}
	c := newConn(e, number, client, target.(*net.TCPConn))
	p.record(Entry{Event: eventConnOpened, Endpoint: e.Name, Conn: number})
	if !p.register(c) {
		c.close(false)
		return
	}
	c.forward()
	p.unregister(c)
	p.record(Entry{Event: eventConnClosed, Endpoint: e.Name, Conn: number})
}

// holdUnserved keeps a connection open without serving it until the rule ends, then
// resets it.
func (e *endpoint) holdUnserved(client *net.TCPConn, number uint64, r *fault.Rule) {
	e.proxy.record(Entry{
		Event:    eventRuleApplied,
		Rule:     r.ID,
		Kind:     r.Kind,
		Endpoint: e.Name,
		Conn:     number,
	})
	e.proxy.waitRuleEnd(r, e.proxy.done)
	reset(client)
}

// register adds a connection and reports whether the proxy is still open.
func (p *Proxy) register(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	c.begin(p.clock())
	return true
}

func (p *Proxy) unregister(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward runs both streams to their end.
func (c *conn) forward() {
	var readers sync.WaitGroup
	for _, s := range c.streams {
		readers.Go(s.read)
		go s.write()
	}
	for _, s := range c.streams {
		<-s.ended
	}
	c.close(false)
	readers.Wait()
}
