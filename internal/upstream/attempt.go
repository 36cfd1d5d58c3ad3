package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"syscall"
	"time"

	"example.org/bellstream/balance"
)

// AttemptRequest describes the request that an attempt sends to its worker.
type AttemptRequest struct {
	ID             string
	Method         string
	URI            string
	IdempotencyKey string
	Body           []byte
	Deadline       time.Time // when the client stops waiting
	SendBy         time.Time // no byte is sent after this time; not later than Deadline
	Fields         []string  // names of the values to read from a load report, in order
	AtMostOnce     bool      // the job must not run twice: an answer to another request must not be taken for its own

	// Blocked returns the outcome of the attempt if it must not be sent although SendBy is in the future,
	// and "" if it may be sent. It is called on the attempt's goroutine, right before the first byte is
	// written. If it is nil the attempt may always be sent.
	Blocked func() balance.Outcome
}

// encode returns the bytes of the request to the worker at addr. Request-Timeout is the time left until Deadline.
func (r *AttemptRequest) encode(addr string) []byte {
	var b bytes.Buffer
	remaining := max(0, time.Until(r.Deadline)).Seconds()
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", r.Method, r.URI)
	fmt.Fprintf(&b, "Host: %s\r\n", addr)
	fmt.Fprintf(&b, "Request-Id: %s\r\n", r.ID)
	fmt.Fprintf(&b, "Request-Timeout: %s\r\n", strconv.FormatFloat(remaining, 'f', 3, 64))
	if r.IdempotencyKey != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.IdempotencyKey)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(r.Body))
	b.Write(r.Body)
	return b.Bytes()
}

// AttemptEvent reports that the job has started (Outcome is empty) or how the attempt or health check ended.
// The end is reported once.
type AttemptEvent struct {
	Outcome   balance.Outcome
	Result    []byte
	Report    []float64
	Reason    string // for the log
	retryable bool   // the request was not sent completely; a new connection may succeed
	staleConn bool   // the reused connection was dead
}

// connectFailure returns the event of an attempt that got no connection. If this process has no descriptor
// left, that is not the worker's fault: the outcome is Overloaded, not Unreachable.
func connectFailure(err error) AttemptEvent {
	if errors.Is(err, errNoDescriptor) {
		return AttemptEvent{Outcome: balance.Overloaded, Reason: err.Error()}
	}
	return AttemptEvent{
		Outcome:   balance.Unreachable,
		Reason:    err.Error(),
		retryable: errors.Is(err, syscall.ECONNRESET),
	}
}

// connectionLost returns the event of an attempt whose connection broke or whose answer could not be read. A
// nil err means that the answer ended too early.
func connectionLost(err error) AttemptEvent {
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return AttemptEvent{Outcome: balance.ConnectionLost, Reason: err.Error()}
}

// protocolError returns the event of an attempt whose answer violates the protocol. Its outcome is
// ConnectionLost, too.
func protocolError(reason string) AttemptEvent {
	return AttemptEvent{Outcome: balance.ConnectionLost, Reason: reason}
}

// Attempt is one attempt in flight.
type Attempt interface {
	// Abandon ends the attempt. When it returns, the attempt's connection is closed or will not be used, so
	// no further byte of the attempt is sent and another attempt may start.
	Abandon()
}

// attempt implements Attempt on a connection of a pool. Only its own goroutine reads and writes the connection.
type attempt struct {
	pool    *Pool
	request *AttemptRequest
	addr    string
	dialBy  time.Time
	notify  func(AttemptEvent)

	mu     sync.Mutex
	conn   *conn
	done   bool
	cancel context.CancelFunc
}

// Start sends a request to the worker at addr and does not block. All events are passed to notify on the
// attempt's goroutine. notify may still be called after Abandon.
func (p *Pool) Start(request *AttemptRequest, addr string, notify func(AttemptEvent)) Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		pool:    p,
		request: request,
		addr:    addr,
		dialBy:  p.dialDeadline(time.Now()),
		notify:  notify,
		cancel:  cancel,
	}
	go a.run(ctx)
	return a
}

// run makes the attempt and reports its end. If the request could not be sent completely, it tries once more on
// a new connection.
func (a *attempt) run(ctx context.Context) {
	defer a.cancel()
	policy := anyConn
	if a.request.AtMostOnce {
		policy = settledConn
	}
	c, end, clean := a.try(ctx, policy)
	if end.retryable && !a.abandoned() {
		// The connection broke before the last byte was written, so the job never ran, and one broken
		// connection does not prove that the worker is lost.
		if c != nil {
			a.pool.close(c)
		}
		c, end, clean = a.try(ctx, newConn)
	}
	if c == nil {
		a.notify(end)
		return
	}
	// A result is reported without waiting for the end of the chunked body. Any other outcome may let
	// another attempt start, so it is reported after the answer was read to its end or the connection closed.
	served := end.Outcome == balance.Served
	if served {
		a.notify(end)
	}
	clean = clean && c.drain()
	if a.detach() && clean {
		a.pool.put(c)
	} else {
		a.pool.close(c)
	}
	if !served {
		a.notify(end)
	}
}

// try makes the attempt on one connection. The returned connection is nil if none could be used; clean means
// that the last line of the answer was read, so that the connection may be reused after draining.
func (a *attempt) try(ctx context.Context, policy reusePolicy) (c *conn, end AttemptEvent, clean bool) {
	c, err := a.pool.get(ctx, a.addr, a.dialBy, policy)
	if err != nil {
		return nil, connectFailure(err), false
	}
	if !a.attach(c) {
		a.pool.close(c)
		return nil, AttemptEvent{Outcome: balance.Cancelled}, false
	}
	end, clean = a.roundTrip(c)
	c.lastOutcome = end.Outcome
	if c.idleFor > 0 && !a.abandoned() {
		a.pool.recordReuse(c, end.retryable || end.staleConn)
	}
	return c, end, clean
}

// Abandon implements Attempt.
func (a *attempt) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.cancel()
	if a.conn != nil {
		a.conn.Close()
	}
}

// attach sets the attempt's connection, and returns false if the attempt was abandoned and must not use it.
func (a *attempt) attach(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.done
}

// abandoned reports whether Abandon was called or the attempt has ended.
func (a *attempt) abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// detach marks the attempt as ended and clears its connection. It returns false if the attempt was abandoned.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	ok := !a.done
	a.done = true
	a.cancel()
	return ok
}
