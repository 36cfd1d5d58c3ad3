package service

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/control/server"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/handoff/statedir"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// newTestProcess returns the parts of one process of a dispatcher. The loop is not running.
func newTestProcess(t *testing.T) (*settings.Instance, *dispatcher.Dispatcher, *instance) {
	t.Helper()
	conf, err := settings.ParseInstance([]byte(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	 "known":{"seq":1,"whole":true,"hosts":[{"host":"w","dial":"127.0.0.1:1","health":"active"}]},
	 "settings":{"lanes":[{"name":"c","hard_limit":60,"semantics":"safe"}],"membership_mode":"on_request","round":0.004}}`))
	if err != nil {
		t.Fatal(err)
	}
	logf := func(string, ...any) {}
	pool := &upstream.Pool{MaxConns: 4, DialTimeout: time.Second, IdleTimeout: time.Second, Now: time.Now}
	phases := &dispatcher.Phases{}
	d, err := dispatcher.New(dispatcher.Options{Settings: conf.Settings, CachedEndpoints: conf.CachedEndpoints, Upstream: pool, Phases: phases, AcceptsCommands: true,
		Watch: func(ctx context.Context, _ string, _ int64, _ func(*endpoints.Update)) error {
			<-ctx.Done()
			return ctx.Err()
		},
		Log: logf, Now: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	return conf, d, &instance{conf: conf, server: downstream.NewServer(classes(conf.Settings), d, phases, 8, logf), pool: pool, loop: d,
		phases: phases, logf: logf, processes: 1}
}

// Guards against a request id that is accepted by two processes of a dispatcher, whether the first process accepted it
// before the second one started or while both run.
func TestIDsTakenByOtherProcessesAreRejected(t *testing.T) {
	path := statedir.Path(t.TempDir(), "n", "l")
	join := func() *processGroup {
		_, d, run := newTestProcess(t)
		m, err := statedir.Join(path, run.logf)
		if err != nil {
			t.Fatal(err)
		}
		o := &processGroup{loop: d, instance: run, member: m, state: &handoff.OperatorState{}}
		d.ShareIDs(sharedIDs{m})
		m.Refresh(o.adopt)
		go d.Run(run.server)
		t.Cleanup(func() { m.Leave(); d.Stop() })
		return o
	}
	// arrive sends a request and returns the answer's status, or 0 if the request was accepted.
	arrive := func(o *processGroup, id string) int {
		status := make(chan int, 1)
		o.loop.Arrive(&downstream.Request{ID: id, Class: "c", Slots: 1, Arrived: time.Now(), Timeout: time.Hour,
			Answer: func(a downstream.Answer) { status <- a.Status }})
		// The loop handles calls in order, so it has handled the request when Stats returns.
		o.loop.Stats()
		select {
		case s := <-status:
			return s
		default:
			return 0
		}
	}
	a := join()
	if got := arrive(a, "early"); got == 409 {
		t.Fatal("the first request with an id was rejected")
	}
	b := join()
	if got := arrive(b, "early"); got != 409 {
		t.Errorf("an id accepted before the second process started got status %d, want 409", got)
	}
	arrive(a, "late")
	if got := arrive(b, "late"); got != 409 {
		t.Errorf("an id accepted while both processes run got status %d, want 409", got)
	}
	arrive(b, "back")
	if got := arrive(a, "back"); got != 409 {
		t.Errorf("an id accepted by the new process got status %d from the old one, want 409", got)
	}
}

// Operators' commands are answered and applied even while the loop doesn't run.
func TestCommandsDoNotWaitForTheLoop(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	conf, d, run := newTestProcess(t)
	logf := run.logf
	group := newProcessGroup(conf, d, run, logf)
	defer group.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Open(l, group, logf).Close()
	phases := run.phases
	phases.Enter(dispatcher.Serving)
	for _, call := range []struct {
		line, want string
		applied    func() bool
	}{
		{"STATUS", "ok", phases.Ready},
		{"SUSPEND w", "ok", func() bool { return d.IsCordoned("w") }},
		{"SUSPEND v", "fail unknown worker", func() bool { return d.IsCordoned("v") }}, // no endpoint list has arrived yet
		{"RESTORE v", "ok", func() bool { return !d.IsCordoned("v") }},
		{"RESTORE v", "fail unknown worker", func() bool { return !d.IsCordoned("v") }},
		{"SUSPEND w", "ok", func() bool { return d.IsCordoned("w") }},
		{"PAUSE", "ok", func() bool { return !phases.Ready() && phases.Ending() }},
		{"STATUS", "fail paused", phases.Ending},
		{"RESTORE w", "ok", func() bool { return !d.IsCordoned("w") }},
		{"RESUME", "ok", func() bool { return !phases.Ending() }},
		{"RESUME", "ok", func() bool { return !phases.Ending() }},
	} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "%s\n", call.line)
		a, err := bufio.NewReader(c).ReadString('\n')
		if err != nil || !strings.HasPrefix(a, call.want) || !call.applied() {
			t.Errorf("%s: got answer %q, error %v; command applied: %v", call.line, a, err, call.applied())
		}
		c.Close()
	}
}

// All connections that may be open at once must fit into the descriptors, and with few descriptors the workers' side
// must get enough of them: with 128 descriptors, a recorded day ran short at 12 connections.
func TestSplitDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 128, 256, 1024, 4096} {
		split := splitDescriptors(sockets)
		in, out := split.downstream, split.upstream
		if all := in + in/16 + 1 + out + 24; all > sockets || all < sockets-4 {
			t.Errorf("%d descriptors: up to %d may be open", sockets, all)
		}
		if out*3 < in*2 || out > in {
			t.Errorf("%d descriptors: %d for clients, %d for workers", sockets, in, out)
		}
	}
}
