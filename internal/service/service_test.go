package service

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/bellstream/internal/control/door"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/egress"
	"example.org/bellstream/internal/ingress"
	"example.org/bellstream/internal/settings"
)

// Staff are answered, and what they say binds, while the loop stands still: here
// it is never run at all.
func TestCommandsDoNotWaitForTheLoop(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	conf, err := settings.ParseInstance([]byte(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
	 "known":{"seq":1,"whole":true,"hosts":[{"host":"w","dial":"127.0.0.1:1","health":"active"}]},
	 "settings":{"lanes":[{"name":"c","semantics":"safe"}],"round":0.004}}`))
	if err != nil {
		t.Fatal(err)
	}
	logf := func(string, ...any) {}
	pool := &egress.Pool{Max: 4, Dial: time.Second, Keep: time.Second, Now: time.Now}
	phases := &dispatcher.Phases{}
	d, err := dispatcher.New(dispatcher.Options{Settings: conf.Settings, Known: conf.Known, Egress: pool, Phases: phases, Operated: true, Log: logf, Now: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	run := &running{conf: conf, server: ingress.NewServer(classes(conf.Settings), d, phases, 8, logf), pool: pool, loop: d, phases: phases, logf: logf, sharers: 1}
	over := newOverlap(conf, d, run, logf)
	defer over.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer door.Open(l, over, logf).Close()
	phases.Enter(dispatcher.Serving)
	for _, call := range []struct {
		line, want string
		binds      func() bool
	}{
		{"STATUS", "ok", phases.Ready},
		{"SUSPEND w", "ok", func() bool { return d.Out("w") }},
		{"SUSPEND v", "fail unknown worker", func() bool { return d.Out("v") }}, // no list has come yet
		{"RESTORE v", "ok", func() bool { return !d.Out("v") }},
		{"RESTORE v", "fail unknown worker", func() bool { return !d.Out("v") }},
		{"SUSPEND w", "ok", func() bool { return d.Out("w") }},
		{"PAUSE", "ok", func() bool { return !phases.Ready() && phases.Ending() }},
		{"STATUS", "fail paused", phases.Ending},
		{"RESTORE w", "ok", func() bool { return !d.Out("w") }},
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
func TestPlaces(t *testing.T) {
	for _, sockets := range []int{64, 128, 256, 1024, 4096} {
		in, out := places(sockets)
		if all := in + in/16 + 1 + out + 24; all > sockets || all < sockets-4 {
			t.Errorf("%d descriptors: %d may be open", sockets, all)
		}
		if out*3 < in*2 || out > in {
			t.Errorf("%d descriptors: %d for clients, %d for targets", sockets, in, out)
		}
	}
}
