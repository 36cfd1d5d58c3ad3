package wiretest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// targetQueueLength bounds the requests, and the ends of connections, that a test has
// not received yet.
const targetQueueLength = 64

// watchHeartbeat is the interval of the empty lines of a discovery watch.
const watchHeartbeat = time.Second

// Call is a request that a Target has read completely.
type Call struct {
	net.Conn
	Req        *http.Request
	Body       string
	ConnNumber int // from 1, in order of acceptance
}

// WriteRaw writes raw bytes to the connection. It ignores write errors, which the
// receiver notices.
func (c *Call) WriteRaw(raw string) { _, _ = io.WriteString(c, raw) }

// Target is a server that passes its requests to the test, which writes the answers.
type Target struct {
	Addr  string
	Calls chan *Call
	Ends  chan int // ConnNumber of each connection that the other side has closed

	onRequest func(*Call)
}

// NewTarget listens on a free loopback port until the end of the test.
func NewTarget(t *testing.T) *Target {
	t.Helper()
	return newTarget(t, func(*Call) {})
}

// NewDiscovery returns a Target that answers each watch as discovery does when
// the endpoint list has not changed since the requested version: an update
// without hosts, then an empty line at each heartbeat.
func NewDiscovery(t *testing.T) *Target {
	t.Helper()
	return newTarget(t, func(call *Call) {
		version := call.Req.URL.Query().Get("index")
		call.WriteRaw(Lines(false, fmt.Sprintf(`{"seq":%s,"whole":false,"hosts":[]}`, version)))
		go sendHeartbeats(call)
	})
}

// sendHeartbeats writes an empty line at each heartbeat until the connection
// is closed.
func sendHeartbeats(w io.Writer) {
	for heartbeat := time.Tick(watchHeartbeat); ; <-heartbeat {
		if _, err := io.WriteString(w, "1\r\n\n\r\n"); err != nil {
			return
		}
	}
}

func newTarget(t *testing.T, onRequest func(*Call)) *Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &Target{
		Addr:      listener.Addr().String(),
		Calls:     make(chan *Call, targetQueueLength),
		Ends:      make(chan int, targetQueueLength),
		onRequest: onRequest,
	}
	go target.acceptAll(listener)
	return target
}

// acceptAll serves connections until the listener is closed.
func (s *Target) acceptAll(listener net.Listener) {
	for number := 1; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn, number)
	}
}

// serve reads the requests of one connection until the connection ends.
func (s *Target) serve(conn net.Conn, number int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			s.Ends <- number
			return
		}
		body, _ := io.ReadAll(request.Body)
		call := &Call{
			Conn:       conn,
			Req:        request,
			Body:       string(body),
			ConnNumber: number,
		}
		s.onRequest(call)
		s.Calls <- call
	}
}

// Lines returns a chunked 200 response with one chunk per line. If complete is set, it
// ends with the last chunk.
func Lines(complete bool, lines ...string) string {
	response := &strings.Builder{}
	response.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, line := range lines {
		fmt.Fprintf(response, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	if complete {
		response.WriteString("0\r\n\r\n")
	}
	return response.String()
}

// StalledAddr returns the address of a server whose accept queue is full until
// the end of the test, so that further connections are not established.
func StalledAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	conn, err := net.Dial("tcp", addr) // fills the accept queue, which holds one connection at a backlog of 0
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return addr
}
