package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// newAnsweringTarget returns a target that answers every job with the given result until the test ends.
func newAnsweringTarget(t *testing.T, result string) *wiretest.Target {
	target, over := wiretest.NewTarget(t), make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case c := <-target.Calls:
				c.WriteRaw(wiretest.Lines(true, fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, c.Req.Header.Get("Request-Id"), result)))
			case <-target.Ends:
			case <-over:
				return
			}
		}
	}()
	return target
}

// fakeDiscovery is a discovery service that answers each watch with the same list. While down it resets connections.
type fakeDiscovery struct {
	addr  string
	down  atomic.Bool
	calls chan struct{} // receives a value for each answered watch
}

func newFakeDiscovery(t *testing.T, list string) *fakeDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := &fakeDiscovery{addr: l.Addr().String(), calls: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if d.down.Load() {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, wiretest.Lines(false, list))
				d.calls <- struct{}{}
				c.Read(make([]byte, 1)) // returns when the peer closes the connection
			}()
		}
	}()
	return d
}

// While discovery is down, more idle clients connect than there are descriptors, and stay connected. Requests must
// still be answered, no client connection may be reset, and there must be descriptors for connections to targets and
// for the watch. When discovery is up again, the same process must use its new list.
func TestIdleClientsFillDescriptors(t *testing.T) {
	for _, c := range []struct {
		sockets int
		member  string
	}{{64, "pushed"}, {64, "on_request"}, {128, "on_request"}, {1024, "pushed"}} {
		t.Run(fmt.Sprintf("%d %s", c.sockets, c.member), func(t *testing.T) {
			t.Parallel()
			testDescriptorLimit(t, c.sockets, c.member)
		})
	}
}

func testDescriptorLimit(t *testing.T, sockets int, member string) {
	first, second := newAnsweringTarget(t, "first"), newAnsweringTarget(t, "second")
	discovery := newFakeDiscovery(t, fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"v","dial":%q,"site":"z","health":"active"}]}`, second.Addr))
	discovery.down.Store(true)
	conf := strings.NewReplacer(`"pushed"`, fmt.Sprintf("%q", member), `"sockets":128`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"unsafe"`, `"safe"`, `"max_attempts":1`, `"max_attempts":3`).Replace(fmt.Sprintf(sampleConfig, discovery.addr, first.Addr))
	p, addr, log, over := startWithDescriptorLimit(t, conf, sockets)
	maxOpen := 0
	countDescriptors := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		maxOpen = max(maxOpen, len(all))
		return len(all)
	}
	lastID := 0
	// sendUntilServed sends jobs until one is served. It uses the connection c, or a new one if c is nil or was closed
	// between two requests or after a 503, and returns the connection in use.
	sendUntilServed := func(c *wiretest.Client, want string) *wiretest.Client {
		t.Helper()
		used := c != nil
		for {
			if c == nil {
				c = dial(t, addr)
			}
			c.SetDeadline(time.Now().Add(10 * time.Second))
			lastID++
			io.WriteString(c, strings.Replace(job, "Request-Id: r", fmt.Sprintf("Request-Id: %d", lastID), 1))
			if _, err := c.Reader.Peek(1); err != nil && used {
				c.Close()
				c, used = nil, false // closed between two requests: retry on a new connection
				continue
			}
			got, body := c.Status(t)
			if got != 503 && (got != 200 || body != want) {
				t.Fatalf("job %d got %d %q, want 503 or %q", lastID, got, body, want)
			}
			if got == 200 {
				return c
			}
			c.Close()
			c, used = nil, false
		}
	}
	var idle, half []*wiretest.Client
	for n := range sockets + sockets/2 {
		c := dial(t, addr)
		defer c.Close()
		switch {
		case n%4 == 0:
			io.WriteString(c, job[:len(job)/2])
			half = append(half, c)
		case n < sockets/8:
			c = sendUntilServed(c, "first")
			fallthrough
		default:
			idle = append(idle, c)
		}
		if n%8 == 0 {
			countDescriptors()
		}
	}
	var burst []*wiretest.Client // send their jobs at the same time, while the others are idle
	for range 8 {
		c := dial(t, addr)
		defer c.Close()
		lastID++
		io.WriteString(c, strings.Replace(job, "Request-Id: r", fmt.Sprintf("Request-Id: %d", lastID), 1))
		burst = append(burst, c)
	}
	countDescriptors()
	for _, c := range burst {
		if got, body := c.Status(t); got != 503 && (got != 200 || body != "first") {
			t.Errorf("job sent while other clients are idle: got %d %q, want 503 or the result", got, body)
		}
	}
	discovery.down.Store(false)
	upAt := time.Now()
	wiretest.Get(t, discovery.calls, "a watch")
	if took := time.Since(upAt); took > 6*time.Second {
		t.Errorf("watch arrived %v after discovery was up, want at most 6 s", took)
	}
	for deadline := time.Now().Add(10 * time.Second); ; { // until the new list is used
		c := dial(t, addr)
		c.SetDeadline(deadline)
		lastID++
		io.WriteString(c, strings.Replace(job, "Request-Id: r", fmt.Sprintf("Request-Id: %d", lastID), 1))
		got, body := c.Status(t)
		c.Close()
		countDescriptors()
		if got == 200 && body == "second" {
			break
		}
	}
	for n, c := range idle {
		if n%8 == 0 {
			idle[n] = sendUntilServed(c, "second")
			defer idle[n].Close()
			countDescriptors()
		}
	}
	if maxOpen > sockets {
		t.Errorf("got %d open descriptors, want at most %d", maxOpen, sockets)
	}
	// The limit is lowered: connections must be closed until it is met, even though no new client connects.
	writeFile(t, strings.TrimPrefix(p.Env[len(p.Env)-1], "RELAY_CONFIG="), strings.Replace(conf, `"sockets":`, `"sockets":48,"old":`, 1))
	p.Process.Signal(syscall.SIGHUP)
	wiretest.Until(t, "the number of descriptors to meet the lower limit", func() bool { return countDescriptors() <= 48 })
	p.Process.Signal(syscall.SIGTERM)
	reset, timedOut := 0, 0
	for _, c := range append(idle, half...) {
		c.SetDeadline(time.Now().Add(10 * time.Second))
		all, err := io.ReadAll(c.Reader)
		if errors.Is(err, syscall.ECONNRESET) {
			reset++
		} else if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(string(all), "HTTP/1.1 408") {
			timedOut++
		}
		c.Close()
	}
	if reset > 0 || timedOut < len(half) {
		t.Errorf("%d connections were reset; %d of %d that sent half a request got a 408", reset, timedOut, len(half))
	}
	<-over
	if err := p.Wait(); err != nil || strings.Contains(log.String(), "too many open files") {
		t.Errorf("exit: got %v, want success without a lack of descriptors; log %s", err, log)
	}
	t.Logf("used at most %d of %d descriptors", maxOpen, sockets)
}

// startWithDescriptorLimit starts the program with a limit of sockets descriptors. When over is closed, log holds all
// that the process logged.
func startWithDescriptorLimit(t *testing.T, config string, sockets int) (cmd *exec.Cmd, addr string, log *bytes.Buffer, over chan struct{}) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, config)
	cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets), os.Args[0])
	cmd.Env = append(os.Environ(), "BELLSTREAM_MAIN=1", "RELAY_CONFIG="+path)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	r := bufio.NewReader(out)
	addr = waitForLog(t, r, "listens on ")
	log, over = &bytes.Buffer{}, make(chan struct{})
	go func() {
		defer close(over)
		io.Copy(log, r)
	}()
	return cmd, addr, log, over
}
