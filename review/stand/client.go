package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// job is a request of a client.
type job struct {
	id      string
	class   string
	tenant  string
	timeout time.Duration
	headers []string // further header lines
}

// answer is what a client got.
type answer struct {
	job
	sentAt time.Time // when its last byte was written; before that, when the client began
	taken  bool      // its last byte was written
	at     time.Time
	status int // 0: none
	body   string
	err    error
}

var jobCount atomic.Int64

// newID returns a fresh request id.
func newID(prefix string) string { return fmt.Sprintf("%s%06d", prefix, jobCount.Add(1)) }

// clients send requests to one dispatcher, one at a time on each connection.
type clients struct {
	rig     *rig
	name    string
	address string

	mu   sync.Mutex
	idle []*clientConn
	wg   sync.WaitGroup
	got  []answer
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

func (r *rig) newClients(name, address string) *clients {
	return &clients{rig: r, name: name, address: address}
}

func (c *clients) take(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	socket, err := net.DialTimeout("tcp", c.address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: socket, reader: bufio.NewReader(socket)}, nil
}

// send sends a job in the background and keeps the answer.
func (c *clients) send(j job) {
	c.wg.Go(func() { c.do(j) })
}

// do sends a job and waits for its answer, for half a second longer than its time-out.
func (c *clients) do(j job) answer {
	a := answer{job: j, sentAt: time.Now()}
	c.rig.note("client sends %s (%s, %s, %v) to %s %s",
		j.id, j.class, j.tenant, j.timeout, c.name, strings.Join(j.headers, "; "))
	conn, err := c.take(false)
	if err == nil {
		a.status, a.body, err = c.roundTrip(conn, &a)
		if err != nil && conn.used && a.status == 0 && crossedClose(err) {
			if conn, err = c.take(true); err == nil {
				a.status, a.body, err = c.roundTrip(conn, &a)
			}
		}
	}
	a.at = time.Now()
	a.err = err
	c.rig.note("client got for %s: %d %q %v after %.3f s", j.id, a.status, a.body, err, a.at.Sub(a.sentAt).Seconds())
	c.mu.Lock()
	c.got = append(c.got, a)
	c.mu.Unlock()
	return a
}

// crossedClose reports whether a request got no byte of an answer because the connection was closed.
func crossedClose(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (c *clients) roundTrip(conn *clientConn, a *answer) (status int, body string, err error) {
	j := a.job
	_ = conn.SetDeadline(time.Now().Add(j.timeout + 600*time.Millisecond))
	payload := "order of " + j.id
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\n", j.class, j.id)
	fmt.Fprintf(&b, "Request-Class: %s\r\nTenant: %s\r\n", j.class, j.tenant)
	fmt.Fprintf(&b, "Request-Timeout: %.3f\r\n", j.timeout.Seconds())
	for _, h := range j.headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(payload), payload)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		conn.Close()
		return 0, "", err
	}
	a.sentAt = time.Now()
	a.taken = true
	_ = conn.SetDeadline(a.sentAt.Add(j.timeout + 600*time.Millisecond))
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		conn.Close()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = io.EOF
		}
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		conn.Close()
		return 0, "", err
	}
	if resp.Close {
		conn.Close()
	} else {
		conn.used = true
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return resp.StatusCode, strings.TrimSpace(string(raw)), nil
}

// answers waits for all jobs that were sent, and returns their answers.
func (c *clients) answers() []answer {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got
}
