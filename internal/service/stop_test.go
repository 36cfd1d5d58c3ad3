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

// fakeSubsystem is a subsystem that the test plays.
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

// The loop stops though a subsystem's Leave blocks, and it stops once, however many signals arrive.
func TestStopDoesNotWaitForSubsystems(t *testing.T) {
	_, d, run := newTestProcess(t)
	go d.Run(run.server)
	left, goes := make(chan struct{}), make(chan struct{})
	p := &subsystems{running: []subsystem{&fakeSubsystem{leave: func() {
		close(left)
		<-goes
	}}}}
	stops, ended := make(chan os.Signal, 1), make(chan struct{})
	go func() {
		defer close(ended)
		awaitStop(stops, d, p, run.logf)
	}()
	stops <- syscall.SIGTERM
	wiretest.Get(t, left, "the goodbye")
	stops <- syscall.SIGINT
	wiretest.Until(t, "the stop", func() bool { return run.phases.Now() == dispatcher.Retiring })
	close(goes)
	wiretest.Get(t, ended, "the end of the goodbye")
}

// A reload that is under way as the program ends is waited for: what is closed is not called any more.
func TestCloseWaitsForReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.hcl")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ended, calls := make(chan struct{}), 0
	p, x := &subsystems{}, &fakeSubsystem{}
	x.reload = func() {
		calls++
		go func() {
			defer close(ended)
			p.close()
		}()
		for range 10000 {
			if runtime.Gosched(); x.closed.Load() {
				t.Error("closed under a reload")
				return
			}
		}
	}
	p.running = []subsystem{x}
	p.reload(file, zerolog.Nop())
	wiretest.Get(t, ended, "the end")
	p.reload(file, zerolog.Nop())
	if calls != 1 || !x.closed.Load() {
		t.Errorf("%d reloads, closed %v", calls, x.closed.Load())
	}
}

// A stop that comes while the program starts ends it before anybody is let in: its time runs since the
// signal, and a start may take long. Here it would fail, as the address is taken.
func TestStopDuringStartup(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"listen":%q,"discovery":"127.0.0.1:1","settings":{"lanes":[{"name":"c","semantics":"safe"}]}}`,
		taken.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	stops := make(chan os.Signal, 1)
	if err := serve(config, "", stops, nil); err == nil {
		t.Error("listened at an address that is taken")
	}
	stops <- syscall.SIGTERM
	if err := serve(config, "", stops, nil); err != nil {
		t.Errorf("a stop while it starts: %v", err)
	}
}
