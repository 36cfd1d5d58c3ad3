package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"example.org/bellstream/balance"
)

// healthCheckTimeout is the time from the start of a health check within which its answer must be read. A dial
// is bounded by Pool.DialTimeout.
const healthCheckTimeout = 500 * time.Millisecond

// Paths that health checks request.
const (
	healthPath = "/healthz"
	loadPath   = "/load"
)

// HealthCheck requests a worker's load report or, if fields is empty because the deployment uses no load
// reports, its health status. It does not block, and calls notify once with the outcome.
func (p *Pool) HealthCheck(addr string, fields []string, notify func(AttemptEvent)) {
	go func() {
		start := time.Now()
		end := p.healthCheck(addr, fields, start, anyConn)
		if end.retryable { // one broken connection does not prove that the worker is lost
			end = p.healthCheck(addr, fields, start, newConn)
		}
		notify(end)
	}()
}

func (p *Pool) healthCheck(addr string, fields []string, start time.Time, policy reusePolicy) AttemptEvent {
	c, err := p.get(context.Background(), addr, p.dialDeadline(start), policy)
	if err != nil {
		return connectFailure(err)
	}
	c.SetDeadline(start.Add(healthCheckTimeout))
	path := healthPath
	if len(fields) > 0 {
		path = loadPath
	}
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr)
	unwritten := err != nil
	var resp *http.Response
	if err == nil {
		resp, err = c.response(http.MethodGet) //nolint:bodyclose // the pool closes the connection
	}
	timedOut := time.Since(start) >= healthCheckTimeout
	if c.idleFor > 0 && !timedOut {
		p.recordReuse(c, err != nil)
	}
	if err != nil {
		p.close(c)
		return healthCheckFailure(err, c.idleFor > 0, unwritten, timedOut)
	}
	return p.readHealth(c, resp, fields)
}

// healthCheckFailure returns the event of a health check whose connection broke or timed out.
func healthCheckFailure(err error, reused, unwritten, timedOut bool) AttemptEvent {
	end := connectionLost(err)
	end.retryable = !timedOut && (unwritten || reused)
	switch {
	case timedOut:
		end.Outcome = balance.TimedOut
	case unwritten:
		end.Outcome = balance.Unreachable
	}
	return end
}

// readHealth reads the body of the answer, and returns the connection to the pool if it can be reused.
func (p *Pool) readHealth(c *conn, resp *http.Response, fields []string) AttemptEvent {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	if err != nil || len(body) == maxLine || resp.Close || c.reader.Buffered() > 0 {
		p.close(c)
	} else {
		p.put(c)
	}
	switch {
	case err != nil:
		return connectionLost(err)
	case resp.StatusCode == http.StatusOK:
		return AttemptEvent{Outcome: balance.Served, Report: parseLoadReport(body, fields)}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return AttemptEvent{Outcome: balance.Overloaded, Reason: resp.Status}
	}
	return AttemptEvent{Outcome: balance.Failed, Reason: resp.Status}
}
