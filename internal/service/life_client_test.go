package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"example.org/bellstream/internal/lab/invariants"
)

// scriptedClient is a scripted client on one connection.
type scriptedClient struct {
	scenario       *scenario
	conn           *net.TCPConn
	queue          []*clientRequest // written completely and not yet answered
	partial        *clientRequest   // request whose remaining bytes, unwritten, are not sent yet
	unwritten      string
	disconnected   bool
	closeAnnounced bool // an answer announced that the connection closes
	closedByServer bool // the dispatcher has ended the connection
}

func (p *scenario) connect() *scriptedClient {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.fail("dial: %v", err)
		return nil
	}
	c := &scriptedClient{scenario: p, conn: conn.(*net.TCPConn)}
	p.wg.Add(1)
	go c.read()
	return c
}

func (c *scriptedClient) read() {
	defer c.scenario.wg.Done()
	r := bufio.NewReader(c.conn)
	for {
		_, err := r.Peek(1)
		var resp *http.Response
		var body []byte
		if err == nil {
			if resp, err = http.ReadResponse(r, nil); err == nil {
				body, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if err != nil {
				err = fmt.Errorf("incomplete answer: %w", err)
			}
		}
		c.scenario.mu.Lock()
		switch {
		case c.disconnected && err != nil:
		case err != nil:
			c.closedByServer = true
			if strings.HasPrefix(err.Error(), "incomplete answer") {
				c.scenario.fail("%v", err)
			}
			for _, a := range c.queue {
				a.NeverAccepted = !a.received && (c.closeAnnounced || c.scenario.mayCloseConnections)
				if !a.NeverAccepted {
					c.scenario.fail("connection of request %s (received: %v) ended without an answer: %v", a.ID, a.received, err)
				}
			}
		case len(c.queue) > 0:
			a := c.queue[0]
			if c.queue = c.queue[1:]; len(c.queue) > 0 {
				c.queue[0].SentAt = max(c.queue[0].SentAt, c.scenario.now()) // the dispatcher reads the next request only now
			}
			a.Answers = append(a.Answers, invariants.Answer{At: c.scenario.now(), Status: resp.StatusCode, Body: string(body)})
			switch resp.StatusCode {
			case 200:
				c.scenario.served++
			case 502, 503, 504:
			case 408:
				if a.SentAt-a.firstByteAt < 1.5 {
					c.scenario.timingViolations = append(c.scenario.timingViolations, fmt.Sprintf("request %s got 408 %.3f s after its first byte", a.ID, a.SentAt-a.firstByteAt))
				}
			default:
				c.scenario.fail("request %s got unexpected status %d", a.ID, resp.StatusCode)
			}
		case resp.StatusCode != 408 || c.unwritten == "":
			c.scenario.fail("got status %d without a request", resp.StatusCode)
		}
		c.closeAnnounced = c.closeAnnounced || err == nil && resp.Close
		c.scenario.mu.Unlock()
		if err != nil {
			c.conn.Close()
			return
		}
	}
}

// startRequest creates a request and writes a fraction of it, from 0 to 1. Unless the fraction is 1, finishRequest
// has to write the rest. clientTimeout is in seconds.
func (c *scriptedClient) startRequest(class string, clientTimeout, fraction float64) {
	p := c.scenario
	p.mu.Lock()
	a := &clientRequest{Request: invariants.Request{ID: fmt.Sprintf("r%d", len(p.requests)), Class: class, Dispatcher: "d", ClientTimeout: clientTimeout}}
	p.requests, p.requestsByID[a.ID] = append(p.requests, a), a
	a.NeverAccepted, a.firstByteAt = true, p.now() // NeverAccepted holds until all of it is written
	p.mu.Unlock()
	raw := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nIdempotency-Key: k%s\r\nTenant: acme\r\nRequest-Timeout: %.3f\r\nContent-Length: 4\r\n\r\nbody",
		class, a.ID, a.ID, clientTimeout)
	n := int(fraction * float64(len(raw)))
	c.partial, c.unwritten = a, raw[n:]
	if n > 0 && n < len(raw) {
		c.conn.Write([]byte(raw[:n]))
	} else if n == len(raw) {
		c.unwritten = raw
		c.finishRequest()
	}
}

// finishRequest writes the rest of a request. SentAt is taken before the last byte is written.
func (c *scriptedClient) finishRequest() {
	p := c.scenario
	p.mu.Lock()
	a, rest := c.partial, c.unwritten
	c.partial, c.unwritten = nil, ""
	a.SentAt, a.NeverAccepted = p.now(), c.closedByServer || p.loopEnded
	if !a.NeverAccepted {
		c.queue = append(c.queue, a)
	}
	p.mu.Unlock()
	c.conn.Write([]byte(rest))
}

// disconnect ends the connection from the client's side. Mode 0 closes it, 1 resets it, and 2 closes the sending side
// only.
func (c *scriptedClient) disconnect(mode int) {
	c.scenario.mu.Lock()
	c.disconnected = true
	c.scenario.mu.Unlock()
	switch mode {
	case 0:
		c.conn.Close()
	case 1:
		c.conn.SetLinger(0)
		c.conn.Close()
	case 2:
		c.conn.CloseWrite() // answers are still read
	}
	c.scenario.mu.Lock()
	for _, a := range c.queue {
		a.DisconnectedAt, a.disconnectKind = c.scenario.now(), []string{"with its connection closed", "with a reset", "with its sending side closed"}[mode]
		if c.unwritten != "" {
			a.disconnectKind += ", after part of another request"
		}
	}
	c.scenario.mu.Unlock()
}
