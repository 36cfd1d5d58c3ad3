package downstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/connstate"
	"example.org/bellstream/internal/lab/wiretest"
)

// arrivalHandler records whether the client of each request counts as disconnected as the request arrives.
type arrivalHandler struct{ disconnected chan bool }

func (h *arrivalHandler) Arrive(r *Request)           { h.disconnected <- r.Disconnected() }
func (h *arrivalHandler) ClientDisconnected(*Request) {}
func (h *arrivalHandler) Ready() bool                 { return true }
func (h *arrivalHandler) Ending() bool                { return false }

// A client that has closed its connection, orderly or by a reset, counts as disconnected although much of what it
// sent is unread: none of its requests may be sent on.
func TestCloseIsNoticedBehindUnreadBytes(t *testing.T) {
	for _, reset := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h := &arrivalHandler{disconnected: make(chan bool, 64)}
		s := NewServer(classes, h, h, 8, t.Logf)
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		request := strings.Replace(job("1"), "Content-Length: 4\r\n\r\nbody", "Content-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000), 1)
		socket, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		client.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := client.Write([]byte(strings.Repeat(request, 8))); err != nil {
			t.Fatal(err)
		}
		if reset {
			client.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
		l.Close()
		wiretest.Until(t, "the end to arrive", func() bool { return connstate.PeerClosed(socket) })
		s.start(socket)
		if reset { // unread bytes are lost with a reset, so there may be no request
			wiretest.Until(t, "the connection to end", func() bool { return s.Open() == 0 })
			for len(h.disconnected) > 0 {
				if !<-h.disconnected {
					t.Error("a client that has reset its connection counts as connected")
				}
			}
			continue
		}
		if !wiretest.Get(t, h.disconnected, "a request") {
			t.Error("a client that has closed its connection counts as connected")
		}
	}
}
