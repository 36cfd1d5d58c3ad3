package downstream

import (
	"time"

	"example.org/bellstream/internal/connstate"
)

// evictionRank is the harm that the eviction of a connection does. The lowest rank is evicted first.
type evictionRank int

const (
	rankUnused     evictionRank = iota // no request yet, and open for at least newConnGrace
	rankUsedOnce                       // idle after one request; the client may need no more
	rankUsed                           // idle after several requests
	rankSlowSender                     // has been sending a request for at least 2 * newConnGrace
	rankKeep                           // must not be evicted
)

// rank returns the connection's eviction rank. The caller holds mu.
func (s *Server) rank(c *conn, now time.Time) evictionRank {
	age := now.Sub(c.stateSince)
	switch {
	case c.state == stateIdle && c.answered == 0 && age >= s.newConnGrace:
		return rankUnused
	case c.state == stateIdle && c.answered == 1:
		return rankUsedOnce
	case c.state == stateIdle && c.answered > 1:
		return rankUsed
	case c.state == stateReading && age >= 2*s.newConnGrace:
		return rankSlowSender
	}
	return rankKeep
}

// evict starts to close a connection of the lowest rank, and reports whether there was one to evict. It prevents
// clients that stay idle or send slowly from blocking new clients. The caller holds mu.
func (s *Server) evict() bool {
	now := time.Now()
	for {
		victim := s.evictionCandidate(now)
		switch {
		case victim == nil:
			return false
		case victim.state == stateReading:
			s.requestClose(victim, stateEvicted) // its goroutine answers the client
			return true
		case s.closeIdle(victim):
			return true
		}
		victim.state = stateReading // it holds an unread request, so it is no longer idle
		victim.stateSince = now
	}
}

// evictionCandidate returns the connection of the lowest rank; of several, the one that has been in its state for
// the longest time. It returns nil if none may be evicted. The caller holds mu.
func (s *Server) evictionCandidate(now time.Time) *conn {
	var victim *conn
	lowest := rankKeep
	for c := range s.conns {
		rank := s.rank(c, now)
		if rank == rankKeep {
			continue
		}
		if rank < lowest || rank == lowest && c.stateSince.Before(victim.stateSince) {
			victim = c
			lowest = rank
		}
	}
	return victim
}

// closeIdle starts to close an idle connection unless the connection has unread bytes, and reports whether it has
// started. The caller holds mu.
func (s *Server) closeIdle(c *conn) bool {
	if !connstate.IsQuiet(c.Conn) {
		return false
	}
	s.requestClose(c, stateClosing)
	return true
}

// requestClose sets the connection's next state and interrupts its read, so that the connection's own goroutine
// closes it: only that goroutine knows whether it has read a request before the interruption. The caller holds mu.
func (s *Server) requestClose(c *conn, next state) {
	c.state = next
	s.closing++
	c.SetReadDeadline(expired)
}

// freeDescriptor frees a file descriptor: it closes a connection that has lingered for at least lingerMinimum. If
// there is none, it makes connections with unsound requests end. If there is none of these either, it evicts a
// connection, unless some connection is being closed already, which will free a descriptor soon. The caller holds mu.
func (s *Server) freeDescriptor() {
	for c := range s.conns {
		if c.state == stateLingering && time.Since(c.stateSince) >= lingerMinimum {
			s.remove(c)
			return
		}
	}
	if !s.releaseRejected() && s.closing == 0 {
		s.evict()
	}
}

// remove closes a connection and deletes it from conns. The caller holds mu.
func (s *Server) remove(c *conn) {
	if s.conns[c] && c.state.closing() {
		s.closing--
	}
	delete(s.conns, c)
	c.Close()
}

// CloseIdle starts to close all connections that have been idle for at least newConnGrace, whether before their
// first request or between two requests.
func (s *Server) CloseIdle(newConnGrace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == stateIdle && time.Since(c.stateSince) >= newConnGrace {
			s.closeIdle(c)
		}
	}
}
