package downstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"example.org/bellstream/internal/connstate"
)

// Serve accepts connections until the listener is closed, or StopAccepting is called and the backlog is empty.
func (s *Server) Serve(l net.Listener) error {
	s.beginServing(l)
	defer s.endServing()
	var lastLogged time.Time
	for {
		s.waitForCapacity()
		s.mu.Lock()
		paused := s.paused
		stopped := s.stopped
		s.mu.Unlock()
		if paused != nil {
			<-paused
			continue
		}
		if stopped && !s.prepareBacklogAccept(l) {
			l.Close()
			return nil
		}
		socket, err := l.Accept()
		switch {
		case err == nil:
			s.start(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTimeout(err):
			// Pause or StopAccepting interrupted Accept, or another process emptied the backlog.
		default:
			// Running out of descriptors must not end the server: open connections are still served, and
			// closing an idle connection frees a descriptor for the next Accept.
			if time.Since(lastLogged) > logInterval {
				s.log("accept: %v", err)
				lastLogged = time.Now()
			}
			s.mu.Lock()
			s.freeDescriptor()
			s.mu.Unlock()
			time.Sleep(capacityPoll)
		}
	}
}

// prepareBacklogAccept reports whether a connection waits in the listener's backlog that this process has to accept
// after StopAccepting. If so, it lets the next Accept take it. The deadline says nothing about the backlog, which
// the next call inspects again.
func (s *Server) prepareBacklogAccept(l net.Listener) bool {
	s.mu.Lock()
	yielded := s.yielded
	s.mu.Unlock()
	interruptible, ok := l.(deadlineSetter)
	if yielded || !ok || !connstate.HasBacklog(l) {
		return false
	}
	return interruptible.SetDeadline(time.Now().Add(backlogAccept)) == nil
}

func (s *Server) beginServing(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.serving = true
}

func (s *Server) endServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = false
}

// start serves a connection in a new goroutine.
func (s *Server) start(socket net.Conn) {
	now := time.Now()
	c := &conn{
		Conn:           socket,
		reader:         bufio.NewReaderSize(socket, maxHead),
		firstRequestBy: now.Add(s.requestReadTimeout),
		stateSince:     now,
	}
	s.mu.Lock()
	// Evict before adding c to conns, so that c itself is not evicted.
	c.overCapacity = len(s.conns)-s.closing >= s.maxConns && !s.evict()
	s.conns[c] = true
	s.mu.Unlock()
	go func() {
		s.serve(c)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(c)
	}()
}

// waitForCapacity blocks until one more connection can be accepted. While no connection can be evicted, new
// clients wait in the listener's backlog.
func (s *Server) waitForCapacity() {
	for !s.hasCapacity() {
		time.Sleep(capacityPoll)
	}
}

func (s *Server) hasCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full() {
		s.freeDescriptor()
	}
	return !s.full()
}

// full reports whether there are more connections than capacity, and the server is not stopped. The caller holds mu.
func (s *Server) full() bool { return len(s.conns) > s.capacity() && !s.stopped }

// isTimeout reports whether a call failed because its deadline expired.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
