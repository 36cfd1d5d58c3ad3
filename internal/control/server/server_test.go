package server

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"example.org/bellstream/internal/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// acceptingHandler accepts every command.
type acceptingHandler struct{}

func (acceptingHandler) Status() error { return nil }
func (acceptingHandler) Pause() error  { return nil }
func (acceptingHandler) Resume() error { return nil }

func (acceptingHandler) Suspend(string) error { return nil }
func (acceptingHandler) Restore(string) error { return nil }

func open(t *testing.T) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Open(l, acceptingHandler{}, func(string, ...any) {})
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

func answer(t *testing.T, c net.Conn) string {
	t.Helper()
	a, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return a
}

// Clients that never send a complete line don't keep other clients out, and don't
// use more file descriptors than MaxConnections.
func TestIdleClients(t *testing.T) {
	s := open(t)
	var idle []net.Conn
	for range 100 {
		c := dial(t, s)
		io.WriteString(c, "STAT")
		idle = append(idle, c)
	}
	c := dial(t, s)
	io.WriteString(c, "STATUS\n")
	if a := answer(t, c); a != "ok\n" {
		t.Errorf("got answer %q", a)
	}
	for _, c := range idle[:100-MaxConnections] { // all but the latest were closed
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a client whose connection was closed got an answer")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) > MaxConnections {
		t.Errorf("got %d connections at the same time, want at most MaxConnections", len(s.connections))
	}
}

// A line that arrives in two parts, without a newline, or followed by data that is not read, is answered.
func TestSplitLines(t *testing.T) {
	s := open(t)
	for _, line := range []string{"STATUS\n", "status\r\n", "STATUS\nSTATUS\n", "PAUSE", "HALT\n", strings.Repeat("x", 2*control.MaxLine)} {
		want := "ok\n"
		if !strings.HasPrefix(strings.ToUpper(line), "STATUS") && line != "PAUSE" {
			want = "fail "
		}
		for cut := range min(len(line), 9) {
			c := dial(t, s)
			io.WriteString(c, line[:cut])
			io.WriteString(c, line[cut:])
			if !strings.HasSuffix(line, "\n") {
				c.(*net.TCPConn).CloseWrite()
			}
			if a := answer(t, c); !strings.HasPrefix(a, want) {
				t.Errorf("%.20q split at byte %d: got answer %q", line, cut, a)
			}
			c.Close()
		}
	}
}
