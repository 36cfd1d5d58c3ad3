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
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// newTestProcess makes one process's parts; its loop does not run.
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

// An id that one process has taken, before the other came or beside it, is
// turned away by the other.
func TestIDsTakenByOtherProcessesAreRejected(t *testing.T) {
	path := statedir.Path(t.TempDir(), "n", "l")
	join := func() *processGroup {
		_, d, run := newTestProcess(t)
		m, err := statedir.Join(path, run.logf)
		if err != nil {
			t.Fatal(err)
		}
		o := &processGroup{loop: d, instance: run, member: m, state: &handoff.OperatorState{}}
		m.Refresh(o.adopt)
		go d.Run(run.server)
		t.Cleanup(func() { m.Leave(); d.Stop() })
		return o
	}
	// arrive returns the answer, or 0 where the request was taken.
	arrive := func(o *processGroup, id string) int {
		status := make(chan int, 1)
		o.loop.Arrive(&downstream.Request{ID: id, Class: "c", Slots: 1, Arrived: time.Now(), Timeout: time.Hour,
			Answer: func(a downstream.Answer) { status <- a.Status }})
		// The loop has seen to it when it sees to what comes behind it.
		o.loop.Stats()
		select {
		case s := <-status:
			return s
		default:
			return 0
		}
	}
	// told waits until the loop has streamed so many ids, and publishes them.
	told := func(o *processGroup, n int) {
		t.Helper()
		wiretest.Until(t, "ids to be told", func() bool {
			o.pendingIDsMu.Lock()
			defer o.pendingIDsMu.Unlock()
			return len(o.pendingIDs) >= n
		})
		o.exchange()
	}
	a := join()
	if got := arrive(a, "early"); got == 409 {
		t.Fatal("the first of its id was turned away")
	}
	b := join()
	a.exchange()
	told(a, 1)
	b.exchange()
	if got := arrive(b, "early"); got != 409 {
		t.Errorf("an id that was taken before the overlap got %d", got)
	}
	arrive(a, "late")
	told(a, 1)
	b.exchange()
	if got := arrive(b, "late"); got != 409 {
		t.Errorf("an id that was taken in the overlap got %d", got)
	}
	arrive(b, "back")
	told(b, 1)
	a.exchange()
	if got := arrive(a, "back"); got != 409 {
		t.Errorf("an id that the new process has taken got %d from the old one", got)
	}
}

// Operators' commands are answered and applied though the loop doesn't run.
func TestCommandsDoNotWaitForTheLoop(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	conf, d, run := newTestProcess(t)
	logf := run.logf
	over := newProcessGroup(conf, d, run, logf)
	defer over.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Open(l, over, logf).Close()
	phases := run.phases
	phases.Enter(dispatcher.Serving)
	for _, call := range []struct {
		line, want string
		binds      func() bool
	}{
		{"STATUS", "ok", phases.Ready},
		{"SUSPEND w", "ok", func() bool { return d.IsCordoned("w") }},
		{"SUSPEND v", "fail unknown worker", func() bool { return d.IsCordoned("v") }}, // no list has come yet
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
		if err != nil || !strings.HasPrefix(a, call.want) || !call.binds() {
			t.Errorf("%s: %q, %v; it binds: %v", call.line, a, err, call.binds())
		}
		c.Close()
	}
}

// All that may be open at once must fit, and with few descriptors the targets'
// side must not be starved: a fleet day with 128 ran short at 12 connections.
func TestSplitDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 128, 256, 1024, 4096} {
		split := splitDescriptors(sockets)
		in, out := split.downstream, split.upstream
		if all := in + in/16 + 1 + out + 24; all > sockets || all < sockets-4 {
			t.Errorf("%d descriptors: %d may be open", sockets, all)
		}
		if out*3 < in*2 || out > in {
			t.Errorf("%d descriptors: %d for clients, %d for targets", sockets, in, out)
		}
	}
}
