package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/lab/emulator"
	"example.org/bellstream/internal/lab/invariants"
)

// Faults configures the faults of a fleet. Times are in seconds. The zero value is a fleet without faults.
type Faults struct {
	FaultsFrom float64 // after the start
	FaultsSpan float64

	ReplacedFraction float64 // of the workers: they are drained one by one, evenly spread over FaultsSpan
	SuccessorDelay   float64 // from a worker's drain until its successor starts cold
	DrainSpan        float64 // from a worker's drain until its process ends
	MaxEndpointDelay float64 // a dispatcher receives all endpoint changes late by a constant of at most this

	RefusingWorkers  int     // this many workers refuse new connections during FaultsSpan
	SlowDialFraction float64 // fraction of all dials that are slow, at any time
	MaxDialDelay     float64 // of a slow dial, which is uniformly distributed

	FirstDispatcherLoad float64 // the first dispatcher receives this multiple of the mean traffic; 0: equal shares
}

// SlowStart configures workers that have just started. The zero value: full capacity at once.
type SlowStart struct {
	Floor            float64 // the fraction of its slots that a worker has at first
	WarmAfter        float64 // seconds until it has all its slots
	OverloadMultiple float64 // load above this multiple of the capacity
	OverloadSpan     float64 // for this many seconds makes the worker fail
}

// endpointChange is a change of the endpoint list.
type endpointChange struct {
	at   float64
	info balance.WorkerInfo
}

// delayedDial is a message that waits until a dial succeeds or fails.
type delayedDial struct {
	at      float64
	message outgoing
	failed  bool
}

// scheduleFaults draws which workers are replaced, when, and with which delay each dispatcher receives the changes.
func (f *Fleet) scheduleFaults() {
	replaced := int(f.ReplacedFraction * float64(f.Workers))
	f.drainAt = make([]float64, f.Workers)
	f.startAt = make([]float64, f.Workers)
	rng := rand.New(rand.NewPCG(f.Seed, 1<<40))
	for k, worker := range rng.Perm(f.Workers)[:replaced] {
		f.scheduleReplacement(worker, f.now+f.FaultsFrom+f.FaultsSpan*float64(k)/float64(replaced))
	}
	slices.SortStableFunc(f.endpointChanges, func(a, b endpointChange) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	f.processEnded = make([]bool, len(f.workers))
	for _, d := range f.dispatchers {
		d.faultRand = rand.New(rand.NewPCG(f.Seed, 1<<41+uint64(d.number)))
		d.endpointDelay = d.faultRand.Float64() * f.MaxEndpointDelay
	}
}

// scheduleReplacement drains a worker at a time and starts its successor.
func (f *Fleet) scheduleReplacement(worker int, drainAt float64) {
	f.drainAt[worker] = drainAt
	startAt := drainAt + f.SuccessorDelay
	successor := emulator.New(emulator.Settings{
		Slots:            f.Slots,
		MaxQueue:         int(2 * f.Slots),
		SlowStartFloor:   f.Cold.Floor,
		SlowStartSeconds: f.Cold.WarmAfter,
	}, nil)
	name := fmt.Sprintf("w-%04d", len(f.workers))
	f.index[name] = len(f.workers)
	f.names = append(f.names, name)
	f.workers = append(f.workers, successor)
	f.drainAt = append(f.drainAt, 0)
	f.startAt = append(f.startAt, startAt)

	old := balance.WorkerInfo{ID: f.names[worker], Kind: "k", Zone: fmt.Sprint("z", worker%4)}
	draining := old
	draining.State = balance.Draining
	removed := old
	removed.State = balance.Removed
	running := old
	running.ID = name
	running.State = balance.Running
	running.StartedAt = startAt
	f.endpointChanges = append(f.endpointChanges,
		endpointChange{drainAt, draining},
		endpointChange{drainAt + f.DrainSpan, removed},
		endpointChange{startAt, running})
}

// arrivalRate returns the mean number of jobs per second that arrive at a dispatcher.
func (f *Fleet) arrivalRate(d int) float64 {
	mean := f.Load * float64(f.Workers) * f.Slots / f.MeanWork / float64(f.Dispatchers) / (1 + 3*f.WideFraction)
	switch n := float64(f.Dispatchers); {
	case f.FirstDispatcherLoad == 0 || n < 2:
		return mean
	case d == 0:
		return mean * f.FirstDispatcherLoad
	default:
		return mean * (n - f.FirstDispatcherLoad) / (n - 1)
	}
}

// receiveEndpoints passes a dispatcher the endpoint changes that have reached it.
func (d *fleetDispatcher) receiveEndpoints(f *Fleet) {
	for d.appliedChanges < len(f.endpointChanges) {
		change := f.endpointChanges[d.appliedChanges]
		if change.at+d.endpointDelay > f.now {
			return
		}
		d.appliedChanges++
		info := change.info
		info.ID = f.workerID(d.number, f.index[change.info.ID])
		d.events = append(d.events, balance.EndpointUpdate{
			Kind:    balance.EndpointsDelta,
			Workers: []balance.WorkerInfo{info},
		})
		d.endpointHistory = append(d.endpointHistory, invariants.EndpointChange{
			Dispatcher: strconv.Itoa(d.number),
			Worker:     change.info.ID,
			State:      discoveryState(change.info.State),
			Started:    change.info.StartedAt,
			At:         f.now,
		})
	}
}

// discoveryState returns a state as discovery names it.
func discoveryState(state balance.WorkerState) string {
	switch state {
	case balance.Running:
		return "active"
	case balance.Draining:
		return "leaving"
	case balance.Removed:
		return "left"
	}
	return ""
}

// refusesConnections reports whether a worker refuses new connections.
func (f *Fleet) refusesConnections(w int) bool {
	from := f.began + f.FaultsFrom
	return f.processEnded[w] || w < f.RefusingWorkers && f.now >= from && f.now < from+f.FaultsSpan
}

// dispatch sends a message: at once on an open connection, else when the dial succeeds. If the dial fails
// the message is not sent.
func (d *fleetDispatcher) dispatch(f *Fleet, o outgoing) {
	if f.refusesConnections(o.worker) && d.connections[o.worker] != nil {
		d.connections[o.worker].idle = nil
	}
	dialled := d.acquire(o.worker, f.now, f.KeepAlive)
	if dialled && f.refusesConnections(o.worker) {
		d.delayed = append(d.delayed, delayedDial{f.now + f.Tick, o, true})
		return
	}
	if dialled && f.SlowDialFraction > 0 && d.faultRand.Float64() < f.SlowDialFraction {
		delay := d.faultRand.Float64() * f.MaxDialDelay
		d.delayed = append(d.delayed, delayedDial{f.now + min(delay, f.DialTimeout), o, delay > f.DialTimeout})
		return
	}
	d.outbox = append(d.outbox, o)
}

// completeDials sends the messages whose dials have succeeded by now, and reports failed dials.
func (d *fleetDispatcher) completeDials(f *Fleet) {
	kept := d.delayed[:0]
	for _, dial := range d.delayed {
		o := dial.message
		switch {
		case o.kind == sendJob && !o.job.inFlight[o.attempt]: // cancelled during the dial
		case dial.at > f.now:
			kept = append(kept, dial)
		case !dial.failed:
			d.outbox = append(d.outbox, o)
		case o.kind == checkHealth:
			d.release(o.worker, f.now, true)
			d.events = append(d.events, balance.HealthCheckDone{
				Worker:  f.workerID(d.number, o.worker),
				Outcome: balance.Unreachable,
			})
		default:
			d.Unreached++
			d.unreachableByWorker[o.worker]++
			d.release(o.worker, f.now, true)
			delete(o.job.inFlight, o.attempt)
			d.events = append(d.events, balance.AttemptDone{
				ID:      o.job.id,
				Attempt: o.attempt,
				Worker:  f.workerID(d.number, o.worker),
				Outcome: balance.Unreachable,
			})
		}
	}
	d.delayed = kept
}

// replaceWorker drains, ends or starts a worker if that is due in this tick. It returns the resulting events.
func (f *Fleet) replaceWorker(i int) []emulator.Event {
	w := f.workers[i]
	just := func(at float64) bool { return at > 0 && f.now >= at && f.now-f.Tick < at }
	switch {
	case just(f.drainAt[i]):
		return w.Drain(f.now)
	case f.drainAt[i] > 0 && just(f.drainAt[i]+f.DrainSpan):
		f.processEnded[i] = true
		lost := w.Restart(f.now)
		w.Drain(f.now)
		return lost
	case just(f.startAt[i]):
		return w.Restart(f.now)
	}
	return nil
}

// History returns the run's requests, attempts and endpoint changes. Without Record it has no requests and attempts.
func (f *Fleet) History() *invariants.History {
	h := &invariants.History{
		Limits: invariants.Limits{
			Grace:            f.Tick,
			DrainGrace:       f.DrainGrace,
			OverloadMultiple: f.Cold.OverloadMultiple,
			OverloadSpan:     f.Cold.OverloadSpan,
			SlowStartFloor:   f.Cold.Floor,
			SlowStartSeconds: f.Cold.WarmAfter,
			NetworkSlack:     2 * f.Tick,
		},
		Classes: []invariants.Class{
			{Name: "job", Repeat: "safe"},
			{Name: "wide", Repeat: "unsafe"},
		},
	}
	for i, name := range f.names {
		w := invariants.Worker{Name: name, Zone: fmt.Sprint("z", i%4), Slots: f.Slots}
		if f.startAt != nil {
			w.Started = f.startAt[i]
		}
		h.Workers = append(h.Workers, w)
	}
	for _, d := range f.dispatchers {
		h.EndpointChanges = append(h.EndpointChanges, d.endpointHistory...)
		for _, r := range d.requests {
			h.Requests = append(h.Requests, *r)
		}
	}
	for i := range f.shards {
		for _, a := range f.shards[i].attempts {
			h.Attempts = append(h.Attempts, *a)
		}
	}
	return h
}
