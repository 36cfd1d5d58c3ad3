package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/bellstream/internal/lab/wiretest"
)

// sendCommand sends a line to the control address and returns the answer, which ends with a newline.
func sendCommand(t *testing.T, addr, line string) string {
	t.Helper()
	c := dial(t, addr)
	defer c.Close()
	io.WriteString(c, line+"\n")
	a, err := c.Reader.ReadString('\n')
	if err != nil {
		t.Fatalf("%s: no answer: %v", line, err)
	}
	return a
}

// checkHealth requests /healthz on the client's connection and returns the status.
func checkHealth(t *testing.T, c *wiretest.Client) int {
	t.Helper()
	io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _ := c.Status(t)
	return status
}

// A real process is paused and resumed through its control address. While paused it fails health checks, closes idle
// connections and finishes its running job; after RESUME it serves again.
func TestPauseAndResume(t *testing.T) {
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	cmd, log := startProgram(t, strings.Replace(fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr), `"listen"`, `"control":"127.0.0.1:0","listen"`, 1))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "RELAY_CONFIG=")
	const broken = `{"listen":"127.0.0.1:0"`
	control := waitForLog(t, log, "control listens on ")
	addr := waitForLog(t, log, "dispatcher n listens on ")
	waitForLog(t, log, "serving")
	if a := sendCommand(t, control, "STATUS"); a != "ok\n" {
		t.Errorf("STATUS: got %q, want ok", a)
	}
	idle, busy := dial(t, addr), dial(t, addr)
	if s := checkHealth(t, idle); s != 200 {
		t.Errorf("health check: got status %d, want 200", s)
	}
	io.WriteString(busy, job)
	call := wiretest.Get(t, target.Calls, "the job")
	if a := sendCommand(t, control, "PAUSE"); a != "ok\n" {
		t.Errorf("PAUSE: got %q, want ok", a)
	}
	if s := checkHealth(t, dial(t, addr)); s != 503 {
		t.Errorf("health check right after PAUSE: got status %d, want 503", s)
	}
	// A request of which half was read before the pause is served; then its connection is closed.
	half := dial(t, addr)
	io.WriteString(half, strings.Replace(job, "Request-Id: r", "Request-Id: h", 1)[:40])
	writeFile(t, path, broken)
	cmd.Process.Signal(syscall.SIGHUP) // a reload works during a pause too
	waitForLog(t, log, "the old configuration stays in force")
	io.WriteString(half, strings.Replace(job, "Request-Id: r", "Request-Id: h", 1)[40:])
	wiretest.Get(t, target.Calls, "the job in two halves").WriteRaw(wiretest.Lines(true, `{"id":"h","state":"done","result":"two"}`))
	if got, body := half.Status(t); got != 200 || body != "two" {
		t.Errorf("response to the request in two halves: got %d %q, want 200 and two", got, body)
	}
	half.Ended(t)
	idle.Ended(t)
	if a := sendCommand(t, control, "STATUS"); a != "fail paused\n" {
		t.Errorf("STATUS while paused: got %q, want fail paused", a)
	}
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	if got, body := busy.Status(t); got != 200 || body != "one" {
		t.Errorf("response to the job that ran during the pause: got %d %q, want 200 and one", got, body)
	}
	busy.Ended(t)
	if a := sendCommand(t, control, "RESUME"); a != "ok\n" {
		t.Errorf("RESUME: got %q, want ok", a)
	}
	wiretest.Until(t, "the end of the pause", func() bool { return sendCommand(t, control, "STATUS") == "ok\n" })
	if s := checkHealth(t, dial(t, addr)); s != 200 {
		t.Errorf("health check after RESUME: got status %d, want 200", s)
	}
	// Several commands and a reload in quick succession: the last command counts.
	sendCommand(t, control, "PAUSE")
	cmd.Process.Signal(syscall.SIGHUP)
	sendCommand(t, control, "RESUME")
	sendCommand(t, control, "PAUSE")
	sendCommand(t, control, "RESUME")
	wiretest.Until(t, "the end of the second pause", func() bool { return sendCommand(t, control, "STATUS") == "ok\n" })
	cmd.Process.Signal(syscall.SIGTERM)
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: got %v, want success", err)
	}
}

// A real process reloads its settings on SIGHUP: an invalid file changes nothing, a valid one adds one class and
// removes another, and a running job of the removed class is answered.
func TestReloadChangesClasses(t *testing.T) {
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	good := fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr)
	cmd, log := startProgram(t, good)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "RELAY_CONFIG=")
	addr := waitForLog(t, log, "listens on ")
	waitForLog(t, log, "serving")
	client := dial(t, addr)
	io.WriteString(client, job)
	call := wiretest.Get(t, target.Calls, "the job")
	next := strings.Replace(good, `"name":"c"`, `"name":"d"`, 1)
	for _, broken := range []string{"", next[:len(next)-9], strings.Replace(next, `"hard_limit":60`, `"hard_limit":-1`, 1),
		strings.Replace(next, `"max_attempts":1`, `"max_attempts":0`, 1), strings.Replace(next, `"zone":"z",`, "", 1)} {
		writeFile(t, path, broken)
		cmd.Process.Signal(syscall.SIGHUP)
		waitForLog(t, log, "the old configuration stays in force")
	}
	post := func(class, id string) int {
		c := dial(t, addr)
		defer c.Close()
		io.WriteString(c, strings.NewReplacer("/c", "/"+class, ": r", ": "+id).Replace(job))
		status := make(chan int, 1)
		go func() {
			resp, err := http.ReadResponse(c.Reader, nil)
			if err != nil {
				status <- 0
				return
			}
			resp.Body.Close()
			status <- resp.StatusCode
		}()
		for { // a target receives the job only if it is not rejected
			select {
			case other := <-target.Calls:
				other.WriteRaw(wiretest.Lines(true, `{"id":"`+id+`","state":"done","result":"x"}`))
			case got := <-status:
				return got
			}
		}
	}
	if got := post("d", "early"); got != 404 {
		t.Errorf("job of a class in an invalid file: got status %d, want 404", got)
	}
	writeFile(t, path, next)
	cmd.Process.Signal(syscall.SIGHUP)
	if logged := waitForLog(t, log, "settings changed: "); logged != "class d added (unsafe), class c removed" {
		t.Errorf("reload of a valid file: got log text %q", logged)
	}
	wiretest.Until(t, "the new class", func() bool { return post("d", fmt.Sprint("d", time.Now().UnixNano())) == 200 })
	wiretest.Until(t, "the old class to be removed", func() bool { return post("c", fmt.Sprint("c", time.Now().UnixNano())) == 404 })
	// An invalid file after a valid one leaves the settings of the valid one in force.
	writeFile(t, path, strings.Replace(good, `"name":"c"`, `"name":"e"`, 1)[:300])
	cmd.Process.Signal(syscall.SIGHUP)
	waitForLog(t, log, "the old configuration stays in force")
	if got := post("d", "late"); got != 200 {
		t.Errorf("job of the valid file's class after an invalid file: got status %d, want 200", got)
	}
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	if got, body := client.Status(t); got != 200 || body != "one" {
		t.Errorf("job of the removed class: got %d %q, want 200 and one", got, body)
	}
}
