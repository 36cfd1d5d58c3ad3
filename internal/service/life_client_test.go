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
	p         *scenario
	conn      *net.TCPConn
	queue     []*clientRequest // written whole and not answered
	partial   *clientRequest   // of which rest is not written yet
	unwritten string
	left      bool
	closing   bool // an answer said that it is the last
	ended     bool // by the other side
}

func (p *scenario) connect() *scriptedClient {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.fail("dial: %v", err)
		return nil
	}
	c := &scriptedClient{p: p, conn: conn.(*net.TCPConn)}
	p.wg.Add(1)
	go c.read()
	return c
}

func (c *scriptedClient) read() {
	defer c.p.wg.Done()
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
		c.p.mu.Lock()
		switch {
		case c.left && err != nil:
		case err != nil:
			c.ended = true
			if strings.HasPrefix(err.Error(), "half") {
				c.p.fail("%v", err)
			}
			for _, a := range c.queue {
				a.NeverAccepted = !a.received && (c.closing || c.p.mayCloseConnections)
				if !a.NeverAccepted {
					c.p.fail("request %s (taken: %v) saw its connection end unanswered: %v", a.ID, a.received, err)
				}
			}
		case len(c.queue) > 0:
			a := c.queue[0]
			if c.queue = c.queue[1:]; len(c.queue) > 0 {
				c.queue[0].SentAt = max(c.queue[0].SentAt, c.p.now()) // it is read now
			}
			a.Answers = append(a.Answers, invariants.Answer{At: c.p.now(), Status: resp.StatusCode, Body: string(body)})
			switch resp.StatusCode {
			case 200:
				c.p.served++
			case 502, 503, 504:
			case 408:
				if a.SentAt-a.firstByteAt < 1.5 {
					c.p.timingViolations = append(c.p.timingViolations, fmt.Sprintf("request %s got 408 %.3f s after its first byte", a.ID, a.SentAt-a.firstByteAt))
				}
			default:
				c.p.fail("request %s got %d", a.ID, resp.StatusCode)
			}
		case resp.StatusCode != 408 || c.unwritten == "":
			c.p.fail("%d, which nobody asked for", resp.StatusCode)
		}
		c.closing = c.closing || err == nil && resp.Close
		c.p.mu.Unlock()
		if err != nil {
			c.conn.Close()
			return
		}
	}
}

// begin starts a new request and writes a fraction of it, from 0 to 1.
func (c *scriptedClient) begin(class string, patience, part float64) {
	p := c.p
	p.mu.Lock()
	a := &clientRequest{Request: invariants.Request{ID: fmt.Sprintf("r%d", len(p.requests)), Class: class, Dispatcher: "d", ClientTimeout: patience}}
	p.requests, p.requestsByID[a.ID] = append(p.requests, a), a
	a.NeverAccepted, a.firstByteAt = true, p.now() // until all of it is written
	p.mu.Unlock()
	raw := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nIdempotency-Key: k%s\r\nTenant: acme\r\nRequest-Timeout: %.3f\r\nContent-Length: 4\r\n\r\nbody",
		class, a.ID, a.ID, patience)
	n := int(part * float64(len(raw)))
	c.partial, c.unwritten = a, raw[n:]
	if n > 0 && n < len(raw) {
		c.conn.Write([]byte(raw[:n]))
	} else if n == len(raw) {
		c.unwritten = raw
		c.finish()
	}
}

// finish writes the rest of a request, which counts as sent from before its last byte on.
func (c *scriptedClient) finish() {
	p := c.p
	p.mu.Lock()
	a, rest := c.partial, c.unwritten
	c.partial, c.unwritten = nil, ""
	a.SentAt, a.NeverAccepted = p.now(), c.ended || p.loopEnded
	if !a.NeverAccepted {
		c.queue = append(c.queue, a)
	}
	p.mu.Unlock()
	c.conn.Write([]byte(rest))
}

// leave ends the connection from the client's side.
func (c *scriptedClient) leave(how int) {
	c.p.mu.Lock()
	c.left = true
	c.p.mu.Unlock()
	switch how {
	case 0:
		c.conn.Close()
	case 1:
		c.conn.SetLinger(0)
		c.conn.Close()
	case 2:
		c.conn.CloseWrite() // what comes is still read
	}
	c.p.mu.Lock()
	for _, a := range c.queue {
		a.DisconnectedAt, a.leftHow = c.p.now(), []string{"with its connection closed", "with a reset", "with its sending ended"}[how]
		if c.unwritten != "" {
			a.leftHow += ", behind bytes it had sent on"
		}
	}
	c.p.mu.Unlock()
}
