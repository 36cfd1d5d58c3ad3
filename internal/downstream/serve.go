package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"example.org/bellstream/internal/connstate"
)

const interimContinue = "HTTP/1.1 100 Continue\r\n\r\n"

// serve reads requests from a connection and answers them until it ends.
func (s *Server) serve(c *conn) {
	for s.awaitRequest(c) {
		again, err := s.serveRequest(c)
		if err != nil {
			return
		}
		if !again {
			s.linger(c)
			return
		}
	}
}

// awaitRequest waits for the first byte of a request, and reports whether one was received. Otherwise the
// connection ends: the client disconnected, the idle timeout expired, or the connection was evicted or closed.
func (s *Server) awaitRequest(c *conn) bool {
	s.setState(c, stateIdle)
	_, err := c.reader.Peek(1)
	if isTimeout(err) && !connstate.IsQuiet(c.Conn) { // a byte arrived just before the timeout
		c.firstRequestBy = time.Time{}
		s.setState(c, stateReading)
		_, err = c.reader.Peek(1)
	}
	if isTimeout(err) {
		s.linger(c)
	}
	if err == nil {
		s.setState(c, stateReading)
	}
	return err == nil
}

// serveRequest reads one request and writes its answer. again means that the connection may carry another request.
func (s *Server) serveRequest(c *conn) (again bool, err error) {
	if err := c.readHead(); err != nil {
		return false, s.sendRejection(c, err)
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return false, s.sendRejection(c, err)
	}
	name, class, err := s.route(r)
	if err != nil {
		return false, s.sendRejection(c, err)
	}
	if name == "" {
		return s.answerHealthCheck(c, r)
	}
	if err := c.sendContinue(r); err != nil {
		return false, err
	}
	defer s.releaseMemory(c)
	job, err := s.parse(c, r, name, class)
	if err != nil {
		return false, s.sendRejection(c, err)
	}
	if c.overCapacity {
		return false, s.send(c, Answer{Status: http.StatusServiceUnavailable, RetryAfter: 1}, true, false)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	answer, err := s.awaitAnswer(c, job)
	if err != nil {
		return false, err
	}
	closing := c.discarded || s.phase.Ending() || r.Close
	return !closing, s.send(c, answer, closing, false)
}

func (s *Server) answerHealthCheck(c *conn, r *http.Request) (again bool, err error) {
	answer := Answer{Status: http.StatusServiceUnavailable, Body: []byte("not ready\n")}
	if s.phase.Ready() {
		answer = Answer{Status: http.StatusOK, Body: []byte("ok\n")}
	}
	c.firstRequestBy = time.Time{}
	s.paceHealthCheck(c)
	closing := s.phase.Ending() || r.Close
	return !closing, s.send(c, answer, closing, r.Method == http.MethodHead)
}

// sendContinue sends 100 Continue if the client expects it before it sends the body.
func (c *conn) sendContinue(r *http.Request) error {
	if r.ContentLength > maxBody || !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return nil
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout)) // the previous answer's write deadline may have expired
	_, err := io.WriteString(c, interimContinue)
	return err
}

// awaitAnswer passes a job to the handler and waits for its answer. It returns errClientDisconnected if the
// client disconnects first.
func (s *Server) awaitAnswer(c *conn, job *Request) (Answer, error) {
	answers := make(chan Answer, 1)
	job.Answer = func(a Answer) { answers <- a }
	job.peerClosed = func() bool { return connstate.PeerClosed(c.Conn) }
	s.setState(c, stateAwaitingAnswer)
	clientGone := make(chan error, 1)
	go func() {
		err := c.watchClient()
		if !isTimeout(err) {
			job.MarkDisconnected() // here, because the handler may take a while to process ClientDisconnected
		}
		clientGone <- err
	}()
	s.handler.Arrive(job)
	select {
	case answer := <-answers:
		c.SetReadDeadline(expired) // ends watchClient; the bytes that it read stay buffered
		if !isTimeout(<-clientGone) {
			return Answer{}, errClientDisconnected
		}
		return answer, nil
	case <-clientGone: //nolint:errcheck // any error means that the client disconnected
		s.handler.ClientDisconnected(job)
		return Answer{}, errClientDisconnected
	}
}

func (s *Server) send(c *conn, a Answer, closing, headOnly bool) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeAnswer(c, a, closing, headOnly)
}

// sendRejection answers an invalid or late request with an error status that closes the connection. It writes
// nothing and returns err if the client has disconnected.
func (s *Server) sendRejection(c *conn, err error) error {
	var rejected *rejection
	var netErr net.Error
	switch {
	case errors.As(err, &rejected):
	case errors.As(err, &netErr) && netErr.Timeout():
		rejected = &rejection{
			status: http.StatusRequestTimeout,
			reason: "the request took too long to arrive",
		}
	case errors.Is(err, io.EOF), errors.As(err, &netErr):
		return err // the client disconnected
	default:
		rejected = badRequest("malformed request")
	}
	if rejected.isPaced() {
		s.paceRejection(c)
	}
	answer := Answer{
		Status:     rejected.status,
		Body:       []byte(rejected.reason + "\n"),
		RetryAfter: rejected.retryAfter,
		Allow:      rejected.allow,
	}
	return s.send(c, answer, true, false)
}
