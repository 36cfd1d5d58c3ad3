package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// badClients are clients that send the same requests again and again, each on new connections.
type badClients struct {
	addr    string
	request func(n int64) string // the n-th request of all
	stop    atomic.Bool
	next    atomic.Int64
	wg      sync.WaitGroup
}

func (b *badClients) start(clients int) {
	for range clients {
		b.wg.Go(func() {
			for !b.stop.Load() {
				b.connect()
			}
		})
	}
}

// connect sends requests on one connection until it is closed or an answer does not come.
func (b *badClients) connect() {
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for !b.stop.Load() {
		c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := io.WriteString(c, b.request(b.next.Add(1))); err != nil {
			return
		}
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.Close {
			return
		}
	}
}

func (b *badClients) end() {
	b.stop.Store(true)
	b.wg.Wait()
}

// memoryKB returns a size in the status of a process, VmRSS or VmHWM (the largest VmRSS so far), in kB.
func memoryKB(t *testing.T, pid int, key string) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(key + `:\s*(\d+) kB`).FindSubmatch(status)
	if m == nil {
		t.Fatalf("no %s in %s", key, status)
	}
	size, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// serveJobs answers the jobs that come to a target.
func serveJobs(t *testing.T, target *wiretest.Target) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case c := <-target.Calls:
				c.WriteRaw(wiretest.Lines(true, `{"id":"`+c.Req.Header.Get("Request-Id")+`","state":"done","result":"x"}`))
			case <-target.Ends:
			case <-over:
				return
			}
		}
	}()
}

// buildProgram builds the program as the platform does and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bellstream")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	return path
}

// Hundreds of clients that send very many fields, stop half way through a large request, fill the queue with large
// requests or invent tenants must not bring the process over its memory limit, where the platform kills it. Usual
// clients get an answer meanwhile.
func TestMemoryLimitHoldsWithBadClients(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program")
	}
	const span = 2500 * time.Millisecond
	program := buildProgram(t)
	head := func(extra string, length int) func(n int64) string {
		return func(n int64) string {
			return fmt.Sprintf("POST /c HTTP/1.1\r\nHost: x\r\nRequest-Id: bad-%d\r\nRequest-Timeout: 4\r\n%sContent-Length: %d\r\n\r\n", n, extra, length)
		}
	}
	withBody := func(request func(int64) string, body int) func(int64) string {
		return func(n int64) string { return request(n) + strings.Repeat("x", body) }
	}
	manyFields := strings.Repeat("a:\r\n", 1800)
	longTenant := func(n int64) string {
		return strings.Replace(head("", 0)(n), "Request-Timeout: 4", fmt.Sprintf("Request-Timeout: 0.001\r\nTenant: %d%06000d", n, 0), 1)
	}
	for _, c := range []struct {
		name     string
		clients  int
		memoryMB int
		request  func(n int64) string
	}{
		{"many fields, half a body", 400, 32, withBody(head(manyFields, 65536), 60000)},
		{"half a body", 400, 32, withBody(head("", 65536), 60000)},
		{"half a body", 400, 64, withBody(head("", 65536), 60000)},
		{"whole large requests", 400, 32, withBody(head("", 65536), 65536)},
		{"heads of 7 kB", 400, 32, head("Tenant: "+strings.Repeat("t", 7000)+"\r\n", 0)},
		{"new tenants", 8, 32, longTenant},
	} {
		t.Run(fmt.Sprintf("%s, %d MB", c.name, c.memoryMB), func(t *testing.T) {
			target := wiretest.NewTarget(t)
			serveJobs(t, target)
			discovery := newFakeDiscovery(t, fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"z","health":"active"}]}`, target.Addr))
			conf := filepath.Join(t.TempDir(), "config.json")
			limits := fmt.Sprintf(`"memory_mb":%d,"sockets":1024`, c.memoryMB)
			writeFile(t, conf, strings.Replace(fmt.Sprintf(sampleConfig, discovery.addr, target.Addr), `"memory_mb":64,"sockets":128`, limits, 1))
			cmd := exec.Command(program)
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+conf, "BELLSTREAM_FILE=", "RELAY_CONTROL=")
			log, err := cmd.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { cmd.Process.Kill(); cmd.Wait() }()
			reader := bufio.NewReader(log)
			addr := waitForLog(t, reader, "listens on ")
			go io.Copy(io.Discard, reader)
			waitUntilReady(t, addr)
			bad := &badClients{addr: addr, request: c.request}
			bad.start(c.clients)
			defer bad.end()
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				usual := dial(t, addr)
				io.WriteString(usual, strings.Replace(job, "Request-Id: r", fmt.Sprintf("Request-Id: usual-%d", time.Now().UnixNano()), 1))
				if got, _ := usual.Status(t); got != 200 && got != 503 {
					t.Errorf("a usual client got status %d, want 200 or 503", got)
				}
				usual.Close()
			}
			if peak := memoryKB(t, cmd.Process.Pid, "VmHWM"); peak > c.memoryMB<<10 {
				t.Errorf("peak of %d kB resident, want at most %d", peak, c.memoryMB<<10)
			} else {
				t.Logf("peak of %d kB resident", peak)
			}
		})
	}
}
