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
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// site is a dispatcher as the platform runs it: a clients' listening socket, a state directory, and one or more
// processes that share both.
type site struct {
	t        *testing.T
	listener *net.TCPListener
	stateDir string
	config   string
}

func newSite(t *testing.T, config string) *site {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &site{t, l.(*net.TCPListener), t.TempDir(), filepath.Join(t.TempDir(), "config.json")}
	writeFile(t, s.config, strings.NewReplacer(`"127.0.0.1:0"`, strconv.Quote(l.Addr().String()), `"listen"`, `"control":"127.0.0.1:0","listen"`).Replace(config))
	return s
}

// process is a running process of a site.
type process struct {
	*exec.Cmd
	control string
	log     chan string // log lines after the one with the control address
}

// start starts a process of this build and returns when its control address is open.
func (s *site) start() *process {
	s.t.Helper()
	return s.startProgram(os.Args[0])
}

// startProgram starts a process of the given executable, which may be another build, and returns when its control
// address is open.
func (s *site) startProgram(program string) *process {
	s.t.Helper()
	f, err := s.listener.File()
	if err != nil {
		s.t.Fatal(err)
	}
	defer f.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "BELLSTREAM_MAIN=1", "RELAY_CONFIG="+s.config, "RELAY_INHERITED_FD=3", "TMPDIR="+s.stateDir)
	cmd.ExtraFiles = []*os.File{f}
	log, err := cmd.StderrPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { cmd.Process.Kill() })
	r := bufio.NewReader(log)
	p := &process{Cmd: cmd, control: waitForLog(s.t, r, "control listens on "), log: make(chan string, 10000)}
	go func() {
		defer close(p.log)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			select {
			case p.log <- line:
			default:
			}
		}
	}()
	return p
}

// waitUntilReady waits until STATUS is answered with ok.
func (p *process) waitUntilReady(t *testing.T) {
	t.Helper()
	wiretest.Until(t, "STATUS ok", func() bool { return sendCommand(t, p.control, "STATUS") == "ok\n" })
}

// waitForLog waits for a log line that contains words.
func (p *process) waitForLog(t *testing.T, words string) {
	t.Helper()
	for !strings.Contains(wiretest.Get(t, p.log, "a log line with "+words), words) {
	}
}

// stop ends the process with SIGTERM, as the platform does, and waits for its exit.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	for range p.log {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("exit: got %v, want success", err)
	}
}

// caller sends jobs one after the other on a connection. Like the protocol's clients, it sends a job again on a new
// connection if a reused connection closes without a response.
type caller struct {
	addr            string
	served, retried int
	failures        []string
}

func (c *caller) run(no int, stop *atomic.Bool) {
	var conn net.Conn
	var r *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 0; !stop.Load(); n++ {
		id := fmt.Sprintf("c%d-%d", no, n)
		for try := 0; ; try++ {
			used := conn != nil
			if !used {
				var err error
				if conn, err = net.Dial("tcp", c.addr); err != nil {
					c.failures = append(c.failures, err.Error())
					return
				}
				r = bufio.NewReader(conn)
			}
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(conn, strings.Replace(job, "Request-Id: r", "Request-Id: "+id, 1))
			resp, err := http.ReadResponse(r, nil)
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if c.served++; resp.StatusCode != 200 {
					c.failures = append(c.failures, fmt.Sprintf("%s: %d", id, resp.StatusCode))
				}
				if resp.Close {
					conn.Close()
					conn = nil
				}
				break
			}
			conn.Close()
			conn = nil
			if c.retried++; try > 0 || !used {
				c.failures = append(c.failures, fmt.Sprintf("%s: %v; connection was reused: %v", id, err, used))
				break
			}
		}
		time.Sleep(time.Duration(n%20) * time.Millisecond) // so that some connections become idle
	}
}

// descriptors returns the number of the process's open file descriptors.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}
