package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/timerwheel"
)

const (
	queuedCallSeconds       = 1.5  // a failed call that lasted this long was queued by discovery, which is thus up
	firstListTimeoutSeconds = 20.0 // the longest time that a start waits for a list if discovery is up
)

// watchState is the state of the watch of the endpoint list.
type watchState struct {
	cancelWatch     context.CancelFunc
	watchID         int
	watchPending    bool // the watch has neither delivered anything nor ended
	watchDown       bool // the watch has ended, or none was started yet
	watchStartedAt  float64
	watchEndKind    balance.EndpointUpdateKind
	watchFailures   int                    // in a row
	watchRetryTimer *timerwheel.Timer[any] // used if the loop itself keeps the watch open
	retryJitter     *rand.Rand             // spreads the retries, as watches of many dispatchers may end together
	// cachedUpdate is the list from the configuration, withheld while discovery may deliver a newer one; else nil.
	cachedUpdate *balance.EndpointUpdate
}

// loadCachedEndpoints loads the endpoint list that came with the configuration, if any.
func (d *Dispatcher) loadCachedEndpoints() error {
	if len(d.CachedEndpoints) == 0 {
		return nil
	}
	list, err := endpoints.Parse(d.CachedEndpoints)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	d.endpoints.Apply(list, d.clock())
	update := list.EndpointUpdate()
	update.Kind = balance.EndpointsCached
	d.cachedUpdate = &update
	d.timers.Set(d.clock()+firstListTimeoutSeconds, firstListTimeout{})
	return nil
}

// useCachedEndpoints passes the cached list to the scheduler. That list is as old as the configuration, but a
// worker that has left since then must not be sent anything: a new process, too, must comply with what discovery
// listed 6 s ago. So the cached list is not used while discovery may deliver a newer one. A discovery that refuses
// a call or ends it soon is down and has notified no dispatcher; one that keeps a caller waiting is up.
func (d *Dispatcher) useCachedEndpoints() {
	if d.cachedUpdate != nil {
		d.addEvent(*d.cachedUpdate)
		d.cachedUpdate = nil
	}
}

func (d *Dispatcher) firstListTimedOut() {
	if d.cachedUpdate != nil {
		d.Log("no list from discovery in %.0f s: using the cached one", firstListTimeoutSeconds)
		d.useCachedEndpoints()
	}
}

// schedulerPolls reports whether the scheduler itself requests the list. Otherwise the loop keeps a watch open.
func (d *Dispatcher) schedulerPolls() bool {
	return d.Settings.EndpointMode == settings.EndpointsOnRequest
}

// startWatch starts a watch and ends the previous one if it is still open.
func (d *Dispatcher) startWatch() {
	d.cancelWatch()
	d.watchRetryTimer.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancelWatch = cancel
	d.watchID++
	d.watchPending = true
	d.watchDown = false
	d.watchStartedAt = d.clock()
	id := d.watchID
	version := d.endpoints.Seq
	discovery := d.Discovery
	go func() {
		err := d.Watch(ctx, discovery, version, func(update *endpoints.Update) {
			d.post(endpointEvent{watchID: id, update: update})
		})
		d.post(endpointEvent{watchID: id, err: err})
	}()
}

// handleEndpointEvent handles a change of the endpoint list, or the end of the watch.
func (d *Dispatcher) handleEndpointEvent(m endpointEvent) {
	if m.watchID != d.watchID {
		return // from a replaced watch
	}
	wasPending := d.watchPending
	d.watchPending = false
	d.watchDown = m.update == nil
	if d.watchDown {
		d.watchEnded(m.err, wasPending)
		return
	}
	d.watchFailures = 0
	d.useCachedEndpoints()
	for _, addr := range d.endpoints.Apply(m.update, d.clock()) {
		d.Upstream.CloseIdleTo(addr)
	}
	d.addEvent(m.update.EndpointUpdate())
	d.endpointsListed.Store(true)
	d.publishWorkers()
}

func (d *Dispatcher) watchEnded(err error, wasPending bool) {
	if !errors.Is(err, context.Canceled) {
		d.Log("discovery watch ended: %v", err)
	}
	if d.cachedUpdate != nil && d.clock()-d.watchStartedAt < queuedCallSeconds {
		d.Log("discovery is unreachable: using the cached list")
		d.useCachedEndpoints()
	}
	if wasPending || errors.Is(err, os.ErrDeadlineExceeded) {
		d.watchLost(balance.EndpointsFailed)
	} else {
		d.watchLost(balance.EndpointsUnsubscribed)
	}
}

// watchLost records that no watch is open.
func (d *Dispatcher) watchLost(kind balance.EndpointUpdateKind) {
	d.watchEndKind = kind
	d.watchDown = true
	d.watchFailures++
	d.addEvent(balance.EndpointUpdate{Kind: kind})
	d.scheduleWatchRetry()
}

// scheduleWatchRetry sets a timer to restart a watch that is down, unless the scheduler restarts it.
func (d *Dispatcher) scheduleWatchRetry() {
	d.watchRetryTimer.Stop()
	if !d.watchDown || d.schedulerPolls() {
		return
	}
	now := d.clock()
	delay := balance.PollDelay(d.watchEndKind, now-d.watchStartedAt, d.watchFailures-1, d.Settings.Dispatchers,
		d.retryJitter.Float64())
	d.watchRetryTimer = d.timers.Set(now+delay, watchRetry{})
}
