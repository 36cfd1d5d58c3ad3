package wiretest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// Listener is a net.Listener whose connections are in-memory pipes that Dial opens.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
}

// Accept returns the server's end of the next Dial.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an empty address, because pipes have no addresses.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection to the listener and blocks until Accept returns it. Its
// operations time out after stepTimeout.
func (l *Listener) Dial() *Client {
	clientEnd, serverEnd := net.Pipe()
	clientEnd.SetDeadline(time.Now().Add(stepTimeout))
	l.conns <- serverEnd
	return newClient(clientEnd)
}

// Client is the client's end of a connection. Read from Reader, which buffers.
type Client struct {
	net.Conn
	Reader *bufio.Reader
}

func newClient(conn net.Conn) *Client {
	return &Client{Conn: conn, Reader: bufio.NewReader(conn)}
}

// DialTCP opens a TCP connection whose operations time out after stepTimeout. It is
// closed at the end of the test.
func DialTCP(t *testing.T, addr net.Addr) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	conn.SetDeadline(time.Now().Add(stepTimeout))
	return newClient(conn)
}

// Status reads one response and returns its status and body.
func (c *Client) Status(t *testing.T) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		t.Fatalf("reading a response: %v", err)
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("reading a response body: %v", err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatalf("closing a response body: %v", err)
	}
	return response.StatusCode, string(raw)
}

// Ended fails the test unless the other side has closed the connection.
func (c *Client) Ended(t *testing.T) {
	t.Helper()
	next, err := c.Reader.ReadByte()
	if err == nil {
		t.Fatalf("got byte %q, want the end of the connection", next)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("timed out waiting for the end of the connection")
	}
}
