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

// say calls the control address and returns the answer.
func say(t *testing.T, addr, line string) string {
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

// asked has a client ask for the health on its connection.
func asked(t *testing.T, c *wiretest.Client) int {
	t.Helper()
	io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _ := c.Status(t)
	return status
}

// A real process is emptied and filled again from its control address: it says
// no, ends the idle connection, finishes its job, and serves on after it.
func TestPauseAndResume(t *testing.T) {
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	cmd, log := program(t, strings.Replace(fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr), `"listen"`, `"control":"127.0.0.1:0","listen"`, 1))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "RELAY_CONFIG=")
	const broken = `{"listen":"127.0.0.1:0"`
	control := logged(t, log, "control listens on ")
	addr := logged(t, log, "dispatcher n listens on ")
	logged(t, log, "serving")
	if a := say(t, control, "STATUS"); a != "ok\n" {
		t.Errorf("STATUS: %q", a)
	}
	idle, busy := dial(t, addr), dial(t, addr)
	if s := asked(t, idle); s != 200 {
		t.Errorf("health %d", s)
	}
	io.WriteString(busy, job)
	call := wiretest.Get(t, target.Calls, "the job")
	if a := say(t, control, "PAUSE"); a != "ok\n" {
		t.Errorf("PAUSE: %q", a)
	}
	if s := asked(t, dial(t, addr)); s != 503 {
		t.Errorf("health %d right after PAUSE", s)
	}
	// Half a request that was read when the pause came is served, and closes.
	half := dial(t, addr)
	io.WriteString(half, strings.Replace(job, "Request-Id: r", "Request-Id: h", 1)[:40])
	write(t, path, broken)
	cmd.Process.Signal(syscall.SIGHUP) // in a pause a reload is as ever
	logged(t, log, "the old configuration stays in force")
	io.WriteString(half, strings.Replace(job, "Request-Id: r", "Request-Id: h", 1)[40:])
	wiretest.Get(t, target.Calls, "the job in two halves").WriteRaw(wiretest.Lines(true, `{"id":"h","state":"done","result":"two"}`))
	if got, body := half.Status(t); got != 200 || body != "two" {
		t.Errorf("got %d %q", got, body)
	}
	half.Ended(t)
	idle.Ended(t)
	if a := say(t, control, "STATUS"); a != "fail paused\n" {
		t.Errorf("STATUS while paused: %q", a)
	}
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	if got, body := busy.Status(t); got != 200 || body != "one" {
		t.Errorf("got %d %q", got, body)
	}
	busy.Ended(t)
	if a := say(t, control, "RESUME"); a != "ok\n" {
		t.Errorf("RESUME: %q", a)
	}
	wiretest.Until(t, "the end of the pause", func() bool { return say(t, control, "STATUS") == "ok\n" })
	if s := asked(t, dial(t, addr)); s != 200 {
		t.Errorf("health %d after RESUME", s)
	}
	// All at once, and twice: the last word counts.
	say(t, control, "PAUSE")
	cmd.Process.Signal(syscall.SIGHUP)
	say(t, control, "RESUME")
	say(t, control, "PAUSE")
	say(t, control, "RESUME")
	wiretest.Until(t, "the end of the second pause", func() bool { return say(t, control, "STATUS") == "ok\n" })
	cmd.Process.Signal(syscall.SIGTERM)
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// New settings by SIGHUP at a real process: a broken file changes nothing, a
// good one brings a class and takes one, and the job under way is answered.
func TestRetune(t *testing.T) {
	target, discovery := wiretest.NewTarget(t), wiretest.NewDiscovery(t)
	good := fmt.Sprintf(sampleConfig, discovery.Addr, target.Addr)
	cmd, log := program(t, good)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "RELAY_CONFIG=")
	addr := logged(t, log, "listens on ")
	logged(t, log, "serving")
	client := dial(t, addr)
	io.WriteString(client, job)
	call := wiretest.Get(t, target.Calls, "the job")
	next := strings.Replace(good, `"name":"c"`, `"name":"d"`, 1)
	for _, broken := range []string{"", next[:len(next)-9], strings.Replace(next, `"hard_limit":60`, `"hard_limit":-1`, 1),
		strings.Replace(next, `"max_attempts":1`, `"max_attempts":0`, 1), strings.Replace(next, `"zone":"z",`, "", 1)} {
		write(t, path, broken)
		cmd.Process.Signal(syscall.SIGHUP)
		logged(t, log, "the old configuration stays in force")
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
		for { // whether it is sent on is not known before it is answered
			select {
			case other := <-target.Calls:
				other.WriteRaw(wiretest.Lines(true, `{"id":"`+id+`","state":"done","result":"x"}`))
			case got := <-status:
				return got
			}
		}
	}
	if got := post("d", "early"); got != 404 {
		t.Errorf("a class of a broken file got %d", got)
	}
	write(t, path, next)
	cmd.Process.Signal(syscall.SIGHUP)
	if said := logged(t, log, "settings changed: "); said != "class d added (unsafe), class c removed" {
		t.Errorf("the log says %q", said)
	}
	wiretest.Until(t, "the new class", func() bool { return post("d", fmt.Sprint("d", time.Now().UnixNano())) == 200 })
	wiretest.Until(t, "the old class's end", func() bool { return post("c", fmt.Sprint("c", time.Now().UnixNano())) == 404 })
	// A broken file after a good one leaves the good one in force.
	write(t, path, strings.Replace(good, `"name":"c"`, `"name":"e"`, 1)[:300])
	cmd.Process.Signal(syscall.SIGHUP)
	logged(t, log, "the old configuration stays in force")
	if got := post("d", "late"); got != 200 {
		t.Errorf("the class of the good file got %d after a broken one", got)
	}
	call.WriteRaw(wiretest.Lines(true, `{"id":"r","state":"done","result":"one"}`))
	if got, body := client.Status(t); got != 200 || body != "one" {
		t.Errorf("the job of the class that vanished got %d %q", got, body)
	}
}
