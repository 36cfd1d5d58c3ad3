package service

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/lab/wiretest"
	"example.org/bellstream/internal/operatorconfig"
)

// fakeSubsystem is a subsystem whose Reload and Leave call functions of the test.
type fakeSubsystem struct {
	reload, leave func()
	closed        atomic.Bool
}

func (p *fakeSubsystem) Reload(*operatorconfig.File) error {
	p.reload()
	return nil
}
func (p *fakeSubsystem) Leave() { p.leave() }
func (p *fakeSubsystem) Close() { p.closed.Store(true) }

// The loop stops even while a subsystem's Leave blocks, and it stops once, however many signals arrive.
func TestStopDoesNotWaitForSubsystems(t *testing.T) {
	_, d, run := newTestProcess(t)
	go d.Run(run.server)
	leaveCalled, allowLeave := make(chan struct{}), make(chan struct{})
	p := &subsystems{running: []subsystem{&fakeSubsystem{leave: func() {
		close(leaveCalled)
		<-allowLeave
	}}}}
	stops, ended := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		defer close(ended)
		awaitStop(stops, d, p, run.logf)
	}()
	stops <- syscall.SIGTERM
	wiretest.Get(t, leaveCalled, "the call of Leave")
	stops <- syscall.SIGINT
	wiretest.Until(t, "the loop to stop", func() bool { return run.phases.Now() == dispatcher.Retiring })
	close(allowLeave)
	wiretest.Get(t, ended, "awaitStop to return")
}

// Closing the subsystems waits for a reload in progress. Guards against calls of a subsystem that is closed already.
func TestCloseWaitsForReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.hcl")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ended, calls := make(chan struct{}), 0
	p, fake := &subsystems{}, &fakeSubsystem{}
	fake.reload = func() {
		calls++
		go func() {
			defer close(ended)
			p.close()
		}()
		for range 10000 {
			if runtime.Gosched(); fake.closed.Load() {
				t.Error("subsystem closed during a reload")
				return
			}
		}
	}
	p.running = []subsystem{fake}
	p.reload(file, zerolog.Nop())
	wiretest.Get(t, ended, "close to return")
	p.reload(file, zerolog.Nop())
	if calls != 1 || !fake.closed.Load() {
		t.Errorf("got %d reloads, closed %v; want 1 reload, closed", calls, fake.closed.Load())
	}
}

// A stop signal during startup ends the program before it accepts clients: the time until SIGKILL runs from the signal,
// and startup may take long. Here the listen address is occupied, so that serve would fail if it went on to listen.
func TestStopDuringStartup(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"listen":%q,"discovery":"127.0.0.1:1","settings":{"lanes":[{"name":"c","semantics":"safe"}]}}`,
		occupied.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	stops := make(chan os.Signal, 1)
	if err := serve(config, "", stops, nil); err == nil {
		t.Error("serve succeeded with an occupied listen address")
	}
	stops <- syscall.SIGTERM
	if err := serve(config, "", stops, nil); err != nil {
		t.Errorf("stop during startup: %v", err)
	}
}
