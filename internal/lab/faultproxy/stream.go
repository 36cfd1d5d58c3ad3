package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"example.org/bellstream/internal/lab/fault"
)

const (
	readChunkBytes   = 16 << 10
	maxBufferedBytes = 1 << 20 // of one stream; above it the stream is not read
)

// stream is one direction of a connection.
type stream struct {
	conn *conn
	side fault.Side
	from *net.TCPConn
	to   *net.TCPConn
	plan *fault.Stream // guarded by the proxy's mu

	mu       sync.Mutex
	ops      []fault.Op
	buffered int
	queued   chan struct{} // an operation was added
	drained  chan struct{} // data were written
	ended    chan struct{} // closed when write has returned
}

func newStream(c *conn, side fault.Side, from, to *net.TCPConn) *stream {
	return &stream{
		conn:    c,
		side:    side,
		from:    from,
		to:      to,
		plan:    fault.NewStream(c.proxy.plan, c.endpoint.Name, side, c.number),
		queued:  make(chan struct{}, 1),
		drained: make(chan struct{}, 1),
		ended:   make(chan struct{}),
	}
}

// enqueue adds operations to the queue. It never blocks.
func (s *stream) enqueue(ops []fault.Op) {
	if len(ops) == 0 {
		return
	}
	s.mu.Lock()
	for _, op := range ops {
		s.ops = append(s.ops, op)
		s.buffered += len(op.Data)
	}
	s.mu.Unlock()
	signal(s.queued)
}

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// read converts the received data into operations until the connection ends.
func (s *stream) read() {
	for s.waitCapacity() {
		data := make([]byte, readChunkBytes)
		n, err := s.from.Read(data)
		s.process(data[:n], err)
		if err != nil {
			return
		}
	}
}

// waitCapacity waits until no more than maxBufferedBytes are buffered. It returns
// false if the connection was closed meanwhile.
func (s *stream) waitCapacity() bool {
	for {
		s.mu.Lock()
		full := s.buffered > maxBufferedBytes
		s.mu.Unlock()
		if !full {
			return true
		}
		select {
		case <-s.drained:
		case <-s.conn.done:
			return false
		}
	}
}

// process enqueues the operations for the result of one read.
func (s *stream) process(data []byte, err error) {
	p := s.conn.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if len(data) > 0 {
		s.enqueue(s.plan.Process(now, data))
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		s.enqueue(s.plan.End(now))
	default: // a reset is forwarded as a reset
		s.enqueue([]fault.Op{{Kind: fault.Abort}})
	}
}

// write applies the operations in order, each when it is due.
func (s *stream) write() {
	defer close(s.ended)
	for {
		op, ok := s.next()
		if !ok || !s.waitDue(op) {
			return
		}
		if op.Rule > 0 {
			s.conn.proxy.record(Entry{
				Event:    eventRuleApplied,
				Rule:     op.Rule,
				Endpoint: s.conn.endpoint.Name,
				Conn:     s.conn.number,
				Side:     s.side,
			})
		}
		if !s.apply(op) {
			return
		}
	}
}

// next waits for an operation and removes it from the queue; ok is false if the
// connection was closed.
func (s *stream) next() (op fault.Op, ok bool) {
	for {
		if op, ok = s.dequeue(); ok {
			return op, true
		}
		select {
		case <-s.queued:
		case <-s.conn.done:
			return op, false
		}
	}
}

func (s *stream) dequeue() (op fault.Op, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) == 0 {
		return op, false
	}
	op = s.ops[0]
	s.ops = s.ops[1:]
	return op, true
}

// apply executes an operation and reports whether further operations may follow.
func (s *stream) apply(op fault.Op) bool {
	switch op.Kind {
	case fault.Write:
		return s.writeData(op.Data)
	case fault.CloseWrite:
		_ = s.to.CloseWrite() // an error means that the connection has ended
		return false
	case fault.Close:
		s.conn.close(false)
		return false
	case fault.Abort:
		s.conn.close(true)
		return false
	}
	return true
}

// writeData writes data. It resets the connection and returns false if that fails.
func (s *stream) writeData(data []byte) bool {
	_, err := s.to.Write(data)
	s.mu.Lock()
	s.buffered -= len(data)
	s.mu.Unlock()
	signal(s.drained)
	if err != nil {
		s.conn.close(true)
		return false
	}
	return true
}

// waitDue waits until an operation is due. It returns false if the connection was
// closed meanwhile.
func (s *stream) waitDue(op fault.Op) bool {
	p := s.conn.proxy
	if op.Hold != nil && !p.waitRuleEnd(op.Hold, s.conn.done) {
		return false
	}
	delay := time.Duration((op.At - p.clock()) * float64(time.Second))
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.conn.done:
		return false
	}
}
