package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// dispatcher is one process of the program, started with the command of the deploy file.
type dispatcher struct {
	record  *record
	index   int
	name    string
	listen  string
	control string
	dir     string // temporary folder: configuration, operator's file, log
	env     []string
	socket  *os.File // the clients' listening socket, if the platform holds it
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended

	mu        sync.Mutex
	wanted    bool // the case has ended the process, or told it to end
	abandoned bool // the case is over: no process is started any more
}

// starter starts all processes on one thread that lives as long as the program: the system ends a process with
// Pdeathsig together with the thread that started it.
var starter = func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}()

// startOnThread starts a command on the starter's thread.
func startOnThread(cmd *exec.Cmd) error {
	result := make(chan error)
	starter <- func() { result <- cmd.Start() }
	return <-result
}

// environment is that of this program without what would reach a dispatcher as its configuration.
func environment() (list []string) {
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "RELAY_") && !strings.HasPrefix(e, "BELLSTREAM_") && !strings.HasPrefix(e, "TMPDIR=") {
			list = append(list, e)
		}
	}
	return list
}

// runCommand reads the command that starts a dispatcher from the deploy file.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if m == nil {
		return "", fmt.Errorf("the deploy file has no run command")
	}
	return string(m[1]), nil
}

// nextPort is the next port to try. Ports below the range from which the system gives outgoing connections theirs are
// not taken by these meanwhile.
var nextPort = 15000 + rand.IntN(12000)

// freePorts returns addresses that were free a moment ago.
func freePorts(n int) (addrs []string, err error) {
	for tries := 0; len(addrs) < n; tries++ {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			if tries > 1000 {
				return nil, err
			}
			continue
		}
		addrs = append(addrs, l.Addr().String())
		_ = l.Close()
	}
	return addrs, nil
}

// start starts the process; its log is appended to a file in its folder.
func (d *dispatcher) start(root string) error {
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(environment(), d.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if d.socket != nil {
		cmd.ExtraFiles = []*os.File{d.socket}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.abandoned {
		return fmt.Errorf("%s: the case is over", d.name)
	}
	if err := startOnThread(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		d.record.add("%s: process %d ended: %v", d.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	d.cmd, d.ended = cmd, ended
	d.record.add("%s: process %d started", d.name, cmd.Process.Pid)
	return nil
}

// stop tells the process to end, as at a planned restart, and kills it if it has not ended after some time.
func (d *dispatcher) stop(kill time.Duration) {
	d.mu.Lock()
	d.wanted = true
	d.mu.Unlock()
	d.signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(kill):
		d.signal(syscall.SIGKILL)
		<-d.ended
	}
}

func (d *dispatcher) signal(s syscall.Signal) {
	d.record.add("%s: process %d: %v", d.name, d.cmd.Process.Pid, s)
	_ = d.cmd.Process.Signal(s)
}

// alive returns an error if the process has ended although the case has not ended it.
func (d *dispatcher) alive() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.wanted {
		return nil
	}
	select {
	case <-d.ended:
		return fmt.Errorf("process %d of %s ended by itself (%v); its log ends:\n%s", d.cmd.Process.Pid, d.name,
			d.cmd.ProcessState, d.logOf(5))
	default:
		return nil
	}
}

// saysYes asks for the status at the process's second address.
func (d *dispatcher) saysYes() bool {
	c, err := net.DialTimeout("tcp", d.control, time.Second)
	if err != nil {
		return false
	}
	defer c.Close() //nolint:errcheck // read only
	c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "STATUS\n")
	answer, _ := io.ReadAll(c)
	return strings.HasPrefix(string(answer), "ok")
}

// end kills the process, if it still runs, and waits for it. It can't be started again.
func (d *dispatcher) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abandoned = true
	if d.cmd == nil {
		return
	}
	d.wanted = true
	_ = syscall.Kill(-d.cmd.Process.Pid, syscall.SIGKILL)
	<-d.ended
}

// ready waits until /healthz answers 200 while the process lives: another one's answer must not count.
func (d *dispatcher) ready(within time.Duration) error {
	return until(within, d.name+" to be ready", d.alive, func() bool {
		code, _ := get("http://" + d.listen + "/healthz")
		return code == http.StatusOK
	})
}

var getter = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) (code int, body []byte) {
	answer, err := getter.Get(url)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close() //nolint:errcheck // read only
	body, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, body
}

// until waits for a condition while check returns no error.
func until(within time.Duration, what string, check func() error, done func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err := check(); err != nil {
			return err
		}
		if done() {
			return check()
		}
	}
	return fmt.Errorf("waited %v in vain for %s", within, what)
}

// logOf returns the end of a process's log.
func (d *dispatcher) logOf(most int) string {
	raw, _ := os.ReadFile(filepath.Join(d.dir, "log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}
