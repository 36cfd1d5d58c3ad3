package downstream

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	smallRequest = 2 << 10     // bytes of a request that don't count
	memoryWait   = time.Second // for request memory, before the request is rejected
)

// requestMemory limits the memory of requests, from before their bodies are read until they are answered.
// Reservations are granted in the order in which they were asked for.
type requestMemory struct {
	mu      sync.Mutex
	limit   int64 // bytes; 0: no limit
	used    int64 // bytes
	waiting []*memoryWaiter
}

type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed when the memory is reserved
}

// setLimit changes the limit in bytes; 0 means none.
func (m *requestMemory) setLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
	m.grant()
}

// tryReserve reserves memory if it is free and nobody waits.
func (m *requestMemory) tryReserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) > 0 || !m.fits(n) {
		return false
	}
	m.used += n
	return true
}

// reserve waits until memory is free, and reports whether it was reserved within the timeout.
func (m *requestMemory) reserve(n int64, timeout time.Duration) bool {
	w := &memoryWaiter{bytes: n, granted: make(chan struct{})}
	m.mu.Lock()
	m.waiting = append(m.waiting, w)
	m.grant()
	m.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
		return !m.withdraw(w)
	}
}

// withdraw removes a waiter, and reports whether it had not been granted its memory.
func (m *requestMemory) withdraw(w *memoryWaiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiting, w)
	if i < 0 {
		return false
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.grant() // those behind it may need less
	return true
}

func (m *requestMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.grant()
}

// fits reports whether memory is free. A single reservation always fits. The caller holds mu.
func (m *requestMemory) fits(n int64) bool {
	return m.limit <= 0 || m.used == 0 || m.used+n <= m.limit
}

// grant reserves memory for those that wait, as far as it is free. The caller holds mu.
func (m *requestMemory) grant() {
	for len(m.waiting) > 0 && m.fits(m.waiting[0].bytes) {
		m.used += m.waiting[0].bytes
		close(m.waiting[0].granted)
		m.waiting = m.waiting[1:]
	}
}

// SetRequestMemory limits the memory of requests in bytes; 0 means no limit. Requests of up to 2 KiB do not count. One
// that waits for memory too long is rejected with 503.
func (s *Server) SetRequestMemory(limit int64) { s.memory.setLimit(limit) }

// readBody reads the body of a request whose head takes up headBytes. It reserves the memory before it reads a large
// one; releaseMemory has to be called once the request is answered.
func (s *Server) readBody(c *conn, r *http.Request, headBytes int64) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, bodyTooLarge()
	}
	if r.ContentLength < 0 {
		return s.readChunkedBody(c, r.Body, headBytes)
	}
	if err := s.reserveMemory(c, headBytes+r.ContentLength); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readChunkedBody reads a body of unknown length. It reserves the memory of the largest one if it is not small.
func (s *Server) readChunkedBody(c *conn, body io.Reader, headBytes int64) ([]byte, error) {
	small := max(smallRequest-headBytes, 0)
	start, err := io.ReadAll(io.LimitReader(body, small+1))
	if err != nil || int64(len(start)) <= small {
		return start, err
	}
	if err := s.reserveMemory(c, headBytes+maxBody); err != nil {
		return nil, err
	}
	whole := bytes.NewBuffer(make([]byte, 0, maxBody+bytes.MinRead))
	whole.Write(start)
	if _, err := io.Copy(whole, io.LimitReader(body, maxBody-small)); err != nil {
		return nil, err
	}
	if whole.Len() > maxBody {
		return nil, bodyTooLarge()
	}
	return whole.Bytes(), nil
}

// reserveMemory reserves memory for a connection's request unless that is small. If there is none, requests that are
// being sent slowly lose theirs.
func (s *Server) reserveMemory(c *conn, n int64) error {
	if n <= smallRequest {
		return nil
	}
	if !s.memory.tryReserve(n) {
		s.evictSlowRequests(n)
		if !s.memory.reserve(n, memoryWait) {
			s.logRequestMemory()
			return errNoRequestMemory
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.reservedMemory = n
	return nil
}

// releaseMemory releases the memory of a connection's request.
func (s *Server) releaseMemory(c *conn) {
	s.mu.Lock()
	n := c.reservedMemory
	c.reservedMemory = 0
	s.mu.Unlock()
	if n > 0 {
		s.memory.release(n)
	}
}

// evictSlowRequests starts to close connections that have been sending a request for long, until they hold as much
// memory as is needed.
func (s *Server) evictSlowRequests(needed int64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if needed <= 0 {
			return
		}
		if c.reservedMemory > 0 && s.rank(c, now) == rankSlowSender {
			needed -= c.reservedMemory
			s.requestClose(c, stateEvicted)
		}
	}
}

func (s *Server) logRequestMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.memoryLogged) > memoryLogInterval {
		s.memoryLogged = time.Now()
		s.log("rejecting large requests: those that are open take up all of the memory for requests")
	}
}
