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
	queue          []*clientRequest // written whole and not answered
	partial        *clientRequest   // of which rest is not written yet
	unwritten      string
	disconnected   bool
	closeAnnounced bool // an answer said that it is the last
	closedByServer bool // by the other side
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
				err = fmt.Errorf("half an answer: %w", err)
			}
		}
		c.scenario.mu.Lock()
		switch {
		case c.disconnected && err != nil:
		case err != nil:
			c.closedByServer = true
			if strings.HasPrefix(err.Error(), "half") {
				c.scenario.fail("%v", err)
			}
			for _, a := range c.queue {
				a.Never = !a.received && (c.closeAnnounced || c.scenario.mayCloseConnections)
				if !a.Never {
					c.scenario.fail("request %s (taken: %v) saw its connection end unanswered: %v", a.ID, a.received, err)
				}
			}
		case len(c.queue) > 0:
			a := c.queue[0]
			if c.queue = c.queue[1:]; len(c.queue) > 0 {
				c.queue[0].SentAt = max(c.queue[0].SentAt, c.scenario.now()) // it is read now
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
				c.scenario.fail("request %s got %d", a.ID, resp.StatusCode)
			}
		case resp.StatusCode != 408 || c.unwritten == "":
			c.scenario.fail("%d, which nobody asked for", resp.StatusCode)
		}
		c.closeAnnounced = c.closeAnnounced || err == nil && resp.Close
		c.scenario.mu.Unlock()
		if err != nil {
			c.conn.Close()
			return
		}
	}
}

// startRequest starts a new request and writes a fraction of it, from 0 to 1.
func (c *scriptedClient) startRequest(class string, patience, part float64) {
	p := c.scenario
	p.mu.Lock()
	a := &clientRequest{Request: invariants.Request{ID: fmt.Sprintf("r%d", len(p.requests)), Class: class, Dispatcher: "d", ClientTimeout: patience}}
	p.requests, p.requestsByID[a.ID] = append(p.requests, a), a
	a.Never, a.firstByteAt = true, p.now() // until all of it is written
	p.mu.Unlock()
	raw := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nIdempotency-Key: k%s\r\nTenant: acme\r\nRequest-Timeout: %.3f\r\nContent-Length: 4\r\n\r\nbody",
		class, a.ID, a.ID, patience)
	n := int(part * float64(len(raw)))
	c.partial, c.unwritten = a, raw[n:]
	if n > 0 && n < len(raw) {
		c.conn.Write([]byte(raw[:n]))
	} else if n == len(raw) {
		c.unwritten = raw
		c.finishRequest()
	}
}

// finishRequest writes the rest of a request, which counts as sent from before its last byte on.
func (c *scriptedClient) finishRequest() {
	p := c.scenario
	p.mu.Lock()
	a, rest := c.partial, c.unwritten
	c.partial, c.unwritten = nil, ""
	a.SentAt, a.Never = p.now(), c.closedByServer || p.loopEnded
	if !a.Never {
		c.queue = append(c.queue, a)
	}
	p.mu.Unlock()
	c.conn.Write([]byte(rest))
}

// disconnect ends the connection from the client's side.
func (c *scriptedClient) disconnect(how int) {
	c.scenario.mu.Lock()
	c.disconnected = true
	c.scenario.mu.Unlock()
	switch how {
	case 0:
		c.conn.Close()
	case 1:
		c.conn.SetLinger(0)
		c.conn.Close()
	case 2:
		c.conn.CloseWrite() // what comes is still read
	}
	c.scenario.mu.Lock()
	for _, a := range c.queue {
		a.DisconnectedAt, a.disconnectKind = c.scenario.now(), []string{"with its connection closed", "with a reset", "with its sending ended"}[how]
		if c.unwritten != "" {
			a.disconnectKind += ", behind bytes it had sent on"
		}
	}
	c.scenario.mu.Unlock()
}
