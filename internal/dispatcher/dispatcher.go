// Package dispatcher contains the event loop that owns the decision module and the state of every request.
// Connections post events to the loop, which passes them to the scheduler in batches and carries out the
// scheduler's actions on the sockets.
//
// The files of the loop, by concern:
//
//	dispatcher.go       the loop and its turns
//	messages.go         messages that are posted to the loop
//	requests.go         requests from arrival to answer
//	attempts.go         attempts at workers
//	recentids.go        ids of earlier requests
//	sharedids.go        ids shared with the other processes of the dispatcher
//	watch.go            the watch of the endpoint list
//	deferred.go         jobs with dependencies or a start time
//	shutdown.go         stop, drain and exit
//	commands.go         operators' commands and the handoff between processes
//	reload.go           new settings
//	effectiveconfig.go  the configuration that instances agree on
package dispatcher

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/logging"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/timerwheel"
	"example.org/bellstream/internal/upstream"
)

const (
	maxTimerTick       = 0.004 // seconds
	minTimerTick       = 0.001 // seconds
	sweepSeconds       = 0.5   // between sweeps of idle connections to workers
	maxBatchInterval   = 1.0   // seconds
	inboxLen           = 1024
	limitedLogInterval = time.Minute
)

// Upstream is the connection layer to the workers, as the loop uses it.
type Upstream interface {
	Start(o *upstream.AttemptRequest, addr string, notify func(upstream.AttemptEvent)) upstream.Attempt
	HealthCheck(addr string, fields []string, notify func(upstream.AttemptEvent))
	CloseIdleTo(addr string)
	CloseExpired()
}

// Downstream is the connection layer to the clients, as the loop uses it.
type Downstream interface {
	InFlight() int
	Open() int
	CloseIdle(fresh time.Duration)
	StopAccepting() // connections in the backlog are still accepted
	Drained() bool  // after StopAccepting: none is open, and no more can arrive
}

// UsageRecorder records the demand and the usage of each tenant, if instances exchange these. Its methods are
// called on the loop and must not block.
type UsageRecorder interface {
	RecordArrival(tenant string)
	RecordStart(tenant string, slots float64)  // sent to a worker
	RecordRefund(tenant string, slots float64) // sent, but proved never to have run
}

// Scheduler decides what happens to requests. It is a Balancer, or it forwards events and actions between the
// loop and Balancers elsewhere. Step has the contract of the one of [balance.Balancer].
type Scheduler interface {
	Step(now float64, events []balance.Event) []balance.Action
}

// Options configure a Dispatcher.
type Options struct {
	Settings        *settings.Settings
	Seed            uint64
	CachedEndpoints []byte
	MaxWaits        map[string]float64 // promised waits for the first attempt, by class, in seconds
	Discovery       string             // the address for Watch; Redirect changes it
	Watch           func(ctx context.Context, discovery string, seq int64, each func(*endpoints.Update)) error
	Upstream        Upstream
	Phases          *Phases
	AcceptsCommands bool          // operators may name workers
	MaxSentIDs      int           // remembered of requests that were sent within the longest deadline; 0: 1,048,576
	Usage           UsageRecorder // nil: not recorded
	// NewScheduler wraps this dispatcher's Balancer in another scheduler. It is given the clock of the steps,
	// which any goroutine may call. If NewScheduler is nil, the Balancer decides.
	NewScheduler func(b *balance.Balancer, clock func() float64) Scheduler
	ConfigSource ConfigSource     // configuration that instances agree on; nil: none
	Deferred     *deferred.Store  // jobs with dependencies or a start time; nil: not accepted
	Depths       *deferred.Depths // queue depths by class and tenant; nil: not recorded
	Log          func(format string, args ...any)
	Now          func() time.Time // monotonic
}

// Dispatcher connects the decision module to the sockets.
type Dispatcher struct {
	Options
	startTime time.Time
	scheduler Scheduler

	// Shared with other goroutines.
	inbox           chan any
	wakeups         chan struct{} // commands or a configuration have changed
	done            chan struct{} // closed at the end of the loop
	operatorState   atomic.Pointer[handoff.OperatorState]
	knownWorkers    atomic.Pointer[map[string]bool] // nil unless operators may name workers
	endpointsListed atomic.Bool                     // discovery has delivered a list

	// Used by the loop only.
	downstream    Downstream
	timers        *timerwheel.Wheel[any]
	endpoints     *endpoints.Table
	requests      map[string]*request
	recentIDs     *recentIDs
	sharedIDs     SharedIDs // nil: no other process is possible
	pendingEvents []balance.Event
	lastStepAt    float64
	stepCount     uint64
	limitedLog    *logging.Limited
	watchState
	drainState
	configState
}

// New creates a dispatcher. It returns an error if the batch interval, the scheduler's configuration or the cached
// endpoint list is invalid. Nothing runs before Run is called.
func New(o Options) (*Dispatcher, error) {
	if o.Settings.BatchInterval < 0 || o.Settings.BatchInterval > maxBatchInterval {
		return nil, fmt.Errorf("round: %v is not a time from 0 to 1 s", o.Settings.BatchInterval)
	}
	d := &Dispatcher{
		Options:    o,
		startTime:  o.Now(),
		inbox:      make(chan any, inboxLen),
		wakeups:    make(chan struct{}, 1),
		done:       make(chan struct{}),
		endpoints:  endpoints.NewTable(),
		requests:   map[string]*request{},
		lastStepAt: math.Inf(-1),
		limitedLog: logging.NewLimited(limitedLogInterval, o.Now),
		watchState: watchState{cancelWatch: func() {}, retryJitter: rand.New(rand.NewPCG(o.Seed, 0))},
		configState: configState{
			slowStartShare:  1,
			batchInterval:   o.Settings.BatchInterval,
			classes:         map[string]*balance.Class{},
			platformClasses: map[string]*balance.Class{},
		},
	}
	if err := d.newScheduler(); err != nil {
		return nil, err
	}
	d.timers = timerwheel.New[any](timerTick(o.Settings.FleetRules.AnswerGrace), d.clock())
	d.operatorState.Store(&handoff.OperatorState{})
	d.recentIDs = newRecentIDs(0, d.clock())
	if o.MaxSentIDs > 0 {
		d.recentIDs.sent.limit = o.MaxSentIDs
	}
	d.deriveLimits()
	if err := d.loadCachedEndpoints(); err != nil {
		return nil, err
	}
	d.watchLost(balance.EndpointsUnsubscribed) // makes the scheduler poll from its first step on
	d.publishWorkers()
	return d, nil
}

func (d *Dispatcher) newScheduler() error {
	config := d.schedulerConfig()
	b, err := balance.New(config, d.Seed)
	if err != nil {
		return err
	}
	defineClasses(d.classes, config.Classes)
	d.scheduler = b
	if d.NewScheduler != nil {
		d.scheduler = d.NewScheduler(b, d.clock)
	}
	return nil
}

// timerTick returns the tick of the timers in seconds: short enough that most of the grace remains for the answer.
func timerTick(answerGrace float64) float64 {
	if answerGrace <= 0 {
		return maxTimerTick
	}
	return max(minTimerTick, min(maxTimerTick, answerGrace/4))
}

// clock returns the time as Unix time in seconds, like the start times of workers. It advances with the
// monotonic clock from the start of the program on.
func (d *Dispatcher) clock() float64 { return d.unixSeconds(d.Now()) }

func (d *Dispatcher) unixSeconds(t time.Time) float64 {
	return float64(d.startTime.UnixNano())/1e9 + t.Sub(d.startTime).Seconds()
}

func (d *Dispatcher) wallTime(at float64) time.Time {
	return d.startTime.Add(time.Duration((at - d.unixSeconds(d.startTime)) * float64(time.Second)))
}

// Run runs the loop until the dispatcher has drained after Stop.
func (d *Dispatcher) Run(clients Downstream) {
	d.downstream = clients
	defer func() { d.cancelWatch() }()
	d.timers.Set(d.clock()+sweepSeconds, sweepTimer{})
	timer := time.NewTimer(0)
	for {
		now := d.clock()
		d.runTurn(now)
		if d.advancePhase(now) {
			d.finish()
			return
		}
		timer.Reset(time.Duration((d.nextWakeAt() - d.clock()) * float64(time.Second)))
		select {
		case <-d.wakeups:
			d.applyCommands()
		case m := <-d.inbox:
			d.handle(m)
		case <-timer.C:
		}
		d.drainInbox()
	}
}

// drainInbox handles all messages and wakeups that are queued, without blocking.
func (d *Dispatcher) drainInbox() {
	for {
		select {
		case <-d.wakeups:
			d.applyCommands()
		case m := <-d.inbox:
			d.handle(m)
		default:
			return
		}
	}
}

// nextWakeAt returns when the next turn is due if nothing is posted earlier.
func (d *Dispatcher) nextWakeAt() float64 {
	at, ok := d.timers.Next()
	if !ok {
		at = d.clock() + sweepSeconds
	}
	if len(d.pendingEvents) > 0 {
		at = min(at, d.lastStepAt+d.batchInterval)
	}
	if due, ok := d.nextDeferred(); ok {
		at = min(at, max(due, d.lastStepAt+d.batchInterval))
	}
	return at
}

// runTurn fires the timers that are due and lets the scheduler decide, at most once per batch interval, or earlier
// if a request is overdue.
func (d *Dispatcher) runTurn(now float64) {
	overdue := d.fireTimers(now)
	d.updateConfig()
	intervalOver := now >= d.lastStepAt+d.batchInterval
	if intervalOver { // the scheduler decides on released jobs before more are released
		d.releaseDeferred(now, deferredBatch)
	}
	if len(d.pendingEvents) > 0 && (intervalOver || len(overdue) > 0) {
		d.stepScheduler(now)
	}
	for _, r := range overdue {
		d.answerOverdue(r)
	}
}

// fireTimers handles the timers that are due and returns the requests whose deadline has passed.
func (d *Dispatcher) fireTimers(now float64) (overdue []*request) {
	for _, due := range d.timers.Advance(now) {
		if deadline, ok := due.(requestDeadline); ok {
			overdue = append(overdue, deadline.request)
		}
		d.fire(now, due)
	}
	return overdue
}

func (d *Dispatcher) fire(now float64, due any) {
	switch due := due.(type) {
	case schedulerTimer:
		d.addEvent(balance.TimerFired{})
	case requestDeadline:
		d.expireAttempts(due.request)
	case sweepTimer:
		d.Upstream.CloseExpired()
		d.timers.Set(now+sweepSeconds, sweepTimer{})
	case watchRetry:
		d.startWatch()
	case firstListTimeout:
		d.firstListTimedOut()
	case overlapEnded:
		if !d.yielding {
			d.setSlowStartShare(1)
		}
	case idlePoll:
		d.closeIdleConns(now)
	}
}

// addEvent queues an event for the scheduler's next step.
func (d *Dispatcher) addEvent(e balance.Event) { d.pendingEvents = append(d.pendingEvents, e) }

// stepScheduler passes the pending events to the scheduler and carries out its actions.
func (d *Dispatcher) stepScheduler(now float64) {
	events := d.pendingEvents
	d.pendingEvents = nil
	d.lastStepAt = now
	d.stepCount++
	for _, a := range d.scheduler.Step(now, events) {
		d.execute(now, a)
	}
}

// execute carries out one action.
func (d *Dispatcher) execute(now float64, a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		d.startAttempt(a)
	case balance.Reject:
		d.answerRejected(a)
	case balance.Fail:
		d.answerFailed(now, a)
	case balance.Cancel:
		d.cancelAttempt(a)
	case balance.HealthCheck:
		d.startHealthCheck(a.Worker)
	case balance.SetTimer:
		d.timers.Set(now+a.After, schedulerTimer{})
	case balance.Subscribe:
		if !d.watchPending { // a pending watch will deliver the list without a second call
			d.startWatch()
		}
	case balance.Log:
		d.Log("%s", a.Text)
	}
}

// logLimited logs at most one line per minute of each kind. Kinds must be few, so clients must not choose them.
func (d *Dispatcher) logLimited(kind, format string, args ...any) {
	d.limitedLog.Do(kind, func(suppressed int) {
		if suppressed > 0 {
			format += " (%d similar lines suppressed)"
			args = append(args, suppressed)
		}
		d.Log(format, args...)
	})
}
