package downstream

import (
	"net/http"
	"sync"
	"time"
)

const (
	// pacedRate is the number of unsound requests, and of repeated health checks, that are answered in a second.
	// Clients that send them at full speed get their answers later, and leave the processor to the others.
	pacedRate  = 1000
	pacedBurst = 100
	// releasedAtOnce is the number of paced answers that are sent early when connections are short.
	releasedAtOnce = 16
)

// pacer spreads events so that there are at most pacedRate in a second, after a burst.
type pacer struct {
	mu   sync.Mutex
	next time.Time // when the next event is due, without the burst
}

// reserve returns how long the caller has to wait.
func (p *pacer) reserve(now time.Time) time.Duration {
	const interval = time.Second / pacedRate
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-pacedBurst * interval); p.next.Before(earliest) {
		p.next = earliest
	}
	p.next = p.next.Add(interval)
	return p.next.Sub(now)
}

// isPaced reports whether the answer to an unsound request is paced. Those that come after a timeout are not, nor are
// those by which the server asks the client to come back.
func (r *rejection) isPaced() bool {
	return r.status != http.StatusRequestTimeout && r.status != http.StatusServiceUnavailable
}

// paceRejection waits until an unsound request may be answered. Its connection is to end, so new clients do not wait
// for it.
func (s *Server) paceRejection(c *conn) {
	delay := s.rejections.reserve(time.Now())
	if delay <= 0 {
		return
	}
	released := make(chan struct{})
	s.setState(c, stateRejected)
	s.mu.Lock()
	c.released = released
	s.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-released:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.released = nil
}

// releaseRejected makes some of the connections that wait in paceRejection end, and reports whether there was any. The
// caller holds mu.
func (s *Server) releaseRejected() bool {
	released := 0
	for c := range s.conns {
		if c.released == nil {
			continue
		}
		close(c.released)
		c.released = nil
		if released++; released == releasedAtOnce {
			break
		}
	}
	return released > 0
}

// paceHealthCheck waits until another health check on the same connection may be answered.
func (s *Server) paceHealthCheck(c *conn) {
	if c.healthChecks++; c.healthChecks > 1 {
		time.Sleep(s.healthChecks.reserve(time.Now()))
	}
}
