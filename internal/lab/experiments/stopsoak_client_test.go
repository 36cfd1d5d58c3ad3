package experiments

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"example.org/bellstream/internal/lab/invariants"
)

// soakRequest is a client's record of one request of a soak.
type soakRequest struct {
	invariants.Request
	connection  int  // number of its connection
	first       bool // it is the first on its connection
	connectedAt float64
	err         error // why no answer came; nil if one came or the client left
}

// soakRecord collects what the clients of a soak observe.
type soakRecord struct {
	clock func(time.Time) float64

	mu          sync.Mutex
	requests    []*soakRequest
	connections int
	refused     int      // connects that were refused
	surplus     []string // bytes that no request asked for
}

// soakClient sends requests on one connection.
type soakClient struct {
	record      *soakRecord
	conn        *net.TCPConn
	reader      *bufio.Reader
	number      int
	connectedAt float64
	sent        int
}

// dial opens a connection. It returns nil if the dispatcher no longer listens.
func (s *soakRecord) dial(addr string) *soakClient {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.refused++
		return nil
	}
	s.connections++
	return &soakClient{
		record:      s,
		conn:        conn.(*net.TCPConn),
		reader:      bufio.NewReader(conn),
		number:      s.connections,
		connectedAt: s.clock(time.Now()),
	}
}

// send writes a request and records it.
func (c *soakClient) send(class string, timeout time.Duration) *soakRequest {
	c.record.mu.Lock()
	id := fmt.Sprintf("%04x%08x", c.number, len(c.record.requests))
	request := &soakRequest{
		Request:     invariants.Request{ID: id, Class: class, Dispatcher: "0", ClientTimeout: timeout.Seconds()},
		connection:  c.number,
		first:       c.sent == 0,
		connectedAt: c.connectedAt,
	}
	c.record.requests = append(c.record.requests, request)
	c.record.mu.Unlock()
	c.sent++
	body := "t 0 slots=1"
	_, err := fmt.Fprintf(c.conn, "POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: t\r\n"+
		"Request-Timeout: %.3f\r\nIdempotency-Key: %s%s\r\nContent-Length: %d\r\n\r\n%s",
		class, id, class, timeout.Seconds(), id, id, len(body), body)
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	request.SentAt = c.record.clock(time.Now())
	request.err = err
	return request
}

// receive reads the answer to a request and reports whether the connection may be used again.
func (c *soakClient) receive(request *soakRequest, patience time.Duration) (again bool) {
	c.conn.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	at := c.record.clock(time.Now())
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	request.err = err
	if err != nil {
		return false
	}
	request.Answers = append(request.Answers, invariants.Answer{At: at, Status: response.StatusCode, Body: string(body)})
	if n := c.reader.Buffered(); n > 0 {
		c.record.surplus = append(c.record.surplus, fmt.Sprintf("%d bytes behind the answer to %s", n, request.ID))
	}
	return !response.Close
}

// leave closes the connection before the answer to a request.
func (c *soakClient) leave(request *soakRequest) {
	c.record.mu.Lock()
	request.DisconnectedAt = c.record.clock(time.Now())
	c.record.mu.Unlock()
	c.conn.Close()
}

// isReset reports whether an error says that the dispatcher reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// soakStalls measures how long the machine keeps this process from running: each time that is measured here may be
// wrong by that.
type soakStalls struct {
	mu    sync.Mutex
	worst time.Duration
}

const (
	soakStallSample    = time.Millisecond
	soakStallThreshold = 5 * time.Millisecond // a shorter delay is no stall
	soakStallFactor    = 3                    // goroutines and processes that an answer passes through
)

// watch measures until done is closed.
func (s *soakStalls) watch(done <-chan struct{}) {
	for {
		began := time.Now()
		select {
		case <-done:
			return
		case <-time.After(soakStallSample):
		}
		if delay := time.Since(began) - soakStallSample; delay > soakStallThreshold {
			s.mu.Lock()
			s.worst = max(s.worst, delay)
			s.mu.Unlock()
		}
	}
}

// bound returns an upper bound of the error of a measured time.
func (s *soakStalls) bound() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return soakStallFactor * s.worst
}
