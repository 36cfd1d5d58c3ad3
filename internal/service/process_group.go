package service

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/handoff/statedir"
	"example.org/bellstream/internal/settings"
)

// Intervals at which a process polls the shared state: pollFast while it starts or other processes exist, otherwise
// pollSlow.
const (
	pollFast = 5 * time.Millisecond
	pollSlow = 50 * time.Millisecond
)

// maxIDWait bounds the time for which a new process waits for the ids of earlier ones: pollSlow, and the time for which
// a process may be held up.
const maxIDWait = 500 * time.Millisecond

// processGroup applies operators' commands to the loop and shares them with the other processes of the same
// dispatcher. Without a state directory it consists of this process only.
type processGroup struct {
	loop     *dispatcher.Dispatcher
	instance *instance
	member   *statedir.Membership // nil without a state directory

	mu    sync.Mutex             // guards state
	state *handoff.OperatorState // used only without a state directory

	otherProcesses int
	joinedAt       time.Time
	knowsIDs       atomic.Bool // this process does not wait any more for the ids of earlier ones
	done           chan struct{}
	wg             sync.WaitGroup
}

// newProcessGroup joins the dispatcher's state directory below $TMPDIR. If that is not possible, commands apply to
// this process only, until it ends.
func newProcessGroup(
	conf *settings.Instance, loop *dispatcher.Dispatcher, inst *instance, logf func(string, ...any),
) *processGroup {
	g := &processGroup{
		loop:     loop,
		instance: inst,
		state:    &handoff.OperatorState{},
		joinedAt: time.Now(),
		done:     make(chan struct{}),
	}
	tmp := os.Getenv("TMPDIR")
	if tmp == "" {
		logf("handoff: TMPDIR is not set: operator commands are lost when this process ends")
		return g
	}
	member, err := statedir.Join(statedir.Path(tmp, conf.Name, conf.Listen), logf)
	if err != nil {
		logf("handoff: operator commands are lost when this process ends: %v", err)
		return g
	}
	g.member = member
	loop.ShareIDs(sharedIDs{member})
	member.Refresh(g.adopt) // cordons apply before the first request
	g.wg.Go(g.poll)
	return g
}

// poll exchanges state with the other processes until close is called.
func (g *processGroup) poll() {
	timer := time.NewTimer(pollFast)
	defer timer.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-timer.C:
			timer.Reset(g.exchange())
		}
	}
}

// exchange publishes the state of this process, applies the state of the other processes, and returns the time until
// the next exchange.
func (g *processGroup) exchange() time.Duration {
	phase := g.instance.phases.Now()
	g.publishPhase(phase)
	otherProcesses := 0
	g.member.Refresh(func(view statedir.View) {
		g.adopt(view)
		otherProcesses = view.OtherProcesses
	})
	if otherProcesses > 0 {
		g.loop.Notify() // it reads the ids of the others
	}
	if phase == dispatcher.Starting || otherProcesses > 0 {
		return pollFast
	}
	return pollSlow
}

func (g *processGroup) publishPhase(phase dispatcher.Phase) {
	switch {
	case phase >= dispatcher.Retiring:
		g.member.SetState(handoff.Draining)
	case phase > dispatcher.Starting && g.knowsIDs.Load():
		g.member.SetState(handoff.Ready)
	}
}

// adopt applies the shared state. Accepting is paused first: when the loop logs that another process leads, this
// process no longer accepts connections. Processes publish each id before they use it; only for builds that begin once
// they notice another process, and for processes without any ids, a new one waits before it accepts or leads.
func (g *processGroup) adopt(view statedir.View) {
	if !view.AwaitsJobIDs || time.Since(g.joinedAt) > maxIDWait {
		g.knowsIDs.Store(true)
	}
	g.instance.server.Pause(!view.IsLeader || !g.knowsIDs.Load())
	g.loop.ApplyOperatorState(view.OperatorState, view.IsLeader)
	if view.OtherProcesses == g.otherProcesses {
		return
	}
	if g.otherProcesses == 0 {
		g.member.AnnounceJobIDs()
	}
	g.otherProcesses = view.OtherProcesses
	g.instance.setProcesses(view.OtherProcesses + 1)
}

// stateChange computes the next operator state.
type stateChange func(*handoff.OperatorState) (*handoff.OperatorState, error)

// updateState changes the operator state here and in the other processes.
func (g *processGroup) updateState(change stateChange) error {
	if g.member != nil {
		return g.member.Update(change, g.adopt)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	next, err := change(g.state)
	if err != nil {
		return err
	}
	g.state = next
	g.loop.ApplyOperatorState(next, true)
	return nil
}

// close leaves the state directory.
func (g *processGroup) close() {
	close(g.done)
	g.wg.Wait()
	if g.member != nil {
		g.member.Leave()
	}
}

// Status implements the STATUS command.
func (g *processGroup) Status() error { return g.loop.Status() }

// Pause implements the PAUSE command: the dispatcher drains and reports that it is not ready.
func (g *processGroup) Pause() error { return g.setPaused(true) }

// Resume implements the RESUME command, which ends a pause.
func (g *processGroup) Resume() error { return g.setPaused(false) }

// Suspend implements the SUSPEND command, which cordons a worker. The command fails for an unknown worker, but
// before the first endpoint list arrives, the unknown worker is cordoned nevertheless.
func (g *processGroup) Suspend(worker string) error {
	known, listed := g.loop.KnowsWorker(worker)
	if !known && listed {
		return unknownWorkerError{worker: worker}
	}
	now := float64(time.Now().UnixMilli()) / 1000
	err := g.updateState(func(s *handoff.OperatorState) (*handoff.OperatorState, error) {
		return s.Cordon(worker, now)
	})
	if err == nil && !known {
		return unknownWorkerError{worker: worker, cordoned: true}
	}
	return err
}

// Restore implements the RESTORE command, which uncordons a worker. One call is enough, however often the worker was
// cordoned.
func (g *processGroup) Restore(worker string) error {
	known, _ := g.loop.KnowsWorker(worker)
	return g.updateState(func(s *handoff.OperatorState) (*handoff.OperatorState, error) {
		if !known && !s.IsCordoned(worker) {
			return nil, unknownWorkerError{worker: worker}
		}
		return s.Uncordon(worker), nil
	})
}

func (g *processGroup) setPaused(paused bool) error {
	if phase := g.instance.phases.Now(); phase >= dispatcher.Retiring {
		return errors.New(phase.String())
	}
	return g.updateState(func(s *handoff.OperatorState) (*handoff.OperatorState, error) {
		return s.SetPaused(paused), nil
	})
}

// unknownWorkerError is the answer to a command that names a worker which is not in the endpoint list.
type unknownWorkerError struct {
	worker   string
	cordoned bool // there is no endpoint list yet; the worker stays cordoned when it appears in one
}

func (e unknownWorkerError) Error() string {
	if e.cordoned {
		return fmt.Sprintf("unknown worker %q; discovery has not told of any yet, "+
			"and if it names this one it is left out", e.worker)
	}
	return fmt.Sprintf("unknown worker %q", e.worker)
}
