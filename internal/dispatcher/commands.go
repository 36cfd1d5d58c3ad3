package dispatcher

import (
	"errors"
	"slices"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/handoff"
)

const (
	// Seconds from the start of a pause until idle connections are closed. By then the front has stopped
	// sending new ones.
	pauseIdleSeconds = 0.4
	// Seconds from the start of a pause until new requests are rejected, so that no recent job is left at 4 s.
	pauseRejectSeconds = 1.8
	// Seconds from the start of yielding until idle connections are closed. Those in use close after their
	// next answer.
	yieldIdleSeconds = 1.0
	// overlapSlowStartShare is the fraction of the slow-start budgets that a process uses when it starts to lead,
	// as the former process has sent to warming workers too. yieldingSlowStartShare is that of a yielding process.
	overlapSlowStartShare  = 0.25
	yieldingSlowStartShare = 1e-9
)

// ErrYielding is the status of a process that has yielded to a newer one.
var ErrYielding = errors.New("another process of this dispatcher serves")

// PhaseError is the status of a process that does not serve.
type PhaseError struct{ Phase Phase }

func (e *PhaseError) Error() string { return e.Phase.String() }

// Status returns why this process does not accept new clients, a *PhaseError or ErrYielding, or nil if it does.
func (d *Dispatcher) Status() error {
	phase := d.Phases.Now()
	switch {
	case phase != Serving:
		return &PhaseError{phase}
	case d.Phases.Yielding():
		return ErrYielding
	}
	return nil
}

// ApplyOperatorState puts the operators' commands into force and sets whether this process leads or yields to
// a newer one. Both are in force when it returns, even if the loop has not processed them yet. Calls must not
// overlap.
func (d *Dispatcher) ApplyOperatorState(s *handoff.OperatorState, leads bool) {
	d.operatorState.Store(s)
	d.Phases.SetYielding(!leads)
	if s.Paused {
		d.Phases.Enter(Paused)
	} else {
		d.Phases.Enter(Starting) // does nothing unless paused
	}
	d.Notify()
}

// KnowsWorker reports whether a worker is known here, and whether discovery has delivered an endpoint list yet.
// While listed is false, a worker that is not known may still exist.
func (d *Dispatcher) KnowsWorker(worker string) (known, listed bool) {
	listed = d.endpointsListed.Load()
	workers := d.knownWorkers.Load()
	return workers != nil && (*workers)[worker], listed
}

// IsCordoned reports whether operators have cordoned a worker.
func (d *Dispatcher) IsCordoned(worker string) bool { return d.operatorState.Load().IsCordoned(worker) }

// publishWorkers publishes the known workers for KnowsWorker, if operators may name workers.
func (d *Dispatcher) publishWorkers() {
	if d.AcceptsCommands {
		workers := d.endpoints.Hosts()
		d.knownWorkers.Store(&workers)
	}
}

// Notify makes the loop read the operators' commands, the ids of other processes and the agreed configuration. It
// never blocks: commands are in force before the loop reads them, and one wakeup covers all of them.
func (d *Dispatcher) Notify() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}

// applyCommands brings the loop's state in line with the operators' commands.
func (d *Dispatcher) applyCommands() {
	now := d.clock()
	d.updatePause(now)
	d.updateCordons()
	d.readSharedIDs("")
	d.updateYield(now)
}

func (d *Dispatcher) updatePause(now float64) {
	switch paused := d.Phases.Now() == Paused; {
	case paused && d.pausedSince == 0:
		d.pausedSince = now
		d.Log("paused: %d requests in flight", len(d.requests))
		d.pollIdleAt(now + pauseIdleSeconds)
	case !paused && d.pausedSince > 0:
		d.pausedSince = 0
		if d.Phases.Now() < Retiring {
			d.Log("resumed after a pause")
		}
	}
}

func (d *Dispatcher) updateYield(now float64) {
	switch yielding := d.Phases.Yielding(); {
	case yielding && !d.yielding:
		d.startYielding(now)
	case !yielding && d.yielding:
		d.startLeading(now)
	}
}

func (d *Dispatcher) startYielding(now float64) {
	d.yielding = true
	d.setSlowStartShare(yieldingSlowStartShare)
	if d.Phases.Now() <= Starting {
		return
	}
	d.Log("yielding to a newer process: %d requests in flight", len(d.requests))
	closeIdleAt := now + yieldIdleSeconds
	if d.Phases.Now() >= Retiring { // a stop may close them earlier
		closeIdleAt = min(closeIdleAt, d.retiringUntil)
	}
	d.pollIdleAt(closeIdleAt)
}

func (d *Dispatcher) startLeading(now float64) {
	d.yielding = false
	if d.Phases.Now() < Retiring {
		d.Log("leading: this process takes new clients")
	}
	d.setSlowStartShare(overlapSlowStartShare)
	d.timers.Set(now+d.Settings.FleetRules.OverloadSeconds, overlapEnded{})
}

// updateCordons notifies the scheduler of workers that have been cordoned or uncordoned since the last call. Idle
// connections to newly cordoned workers are closed, as the processes of these workers are about to end.
func (d *Dispatcher) updateCordons() {
	now := d.cordonedWorkers()
	for w := range d.cordoned {
		if _, still := slices.BinarySearch(now, w); !still {
			delete(d.cordoned, w)
			d.Log("worker %s uncordoned: neither operators nor the agreed configuration exclude it", w)
			d.addEvent(balance.Cordon{Worker: w})
		}
	}
	for _, w := range now {
		if !d.cordoned[w] {
			d.cordon(w)
		}
	}
}

func (d *Dispatcher) cordon(worker string) {
	if d.cordoned == nil {
		d.cordoned = map[string]bool{}
	}
	d.cordoned[worker] = true
	by := "the agreed configuration"
	if d.IsCordoned(worker) {
		by = "operators"
	}
	d.Log("worker %s cordoned by %s", worker, by)
	d.addEvent(balance.Cordon{Worker: worker, Cordoned: true})
	if addr, ok := d.endpoints.Address(worker); ok {
		d.Upstream.CloseIdleTo(addr)
	}
}

// cordonedWorkers returns the workers that are cordoned by operators or by the agreed configuration, sorted.
func (d *Dispatcher) cordonedWorkers() (workers []string) {
	for w := range d.operatorState.Load().Cordoned {
		workers = append(workers, w)
	}
	if d.effectiveConfig != nil {
		for w := range d.effectiveConfig.Cordoned {
			workers = append(workers, w)
		}
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}
