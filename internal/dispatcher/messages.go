package dispatcher

import (
	"example.org/bellstream/balance"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/downstream"
	"example.org/bellstream/internal/endpoints"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// Messages to the loop.
type (
	requestArrived     struct{ req *downstream.Request }
	clientDisconnected struct{ req *downstream.Request }

	attemptEvent struct {
		request *request
		attempt int
		worker  string
		event   upstream.AttemptEvent
	}

	healthCheckEvent struct {
		worker string
		event  upstream.AttemptEvent
	}

	// reportingEvent is an attemptEvent or a healthCheckEvent with a load report of these fields.
	reportingEvent struct {
		fields []string
		event  any
	}

	endpointEvent struct {
		watchID int
		update  *endpoints.Update // nil: the watch ended
		err     error
	}

	quotaUpdates     struct{ updates []balance.QuotaUpdate }
	deferredLimits   struct{ limits deferred.Limits }
	maxWaitsChanged  struct{ maxWaits map[string]float64 }
	statsRequest     struct{ reply chan Stats }
	settingsChanged  struct{ settings *settings.Settings }
	stopRequested    struct{ at float64 }
	discoveryChanged struct{ discovery string }
)

// Timers of the loop.
type (
	schedulerTimer   struct{} // also posted by Wake
	requestDeadline  struct{ request *request }
	sweepTimer       struct{} // closes expired idle connections to workers
	watchRetry       struct{}
	overlapEnded     struct{} // another process's sends to warming workers no longer count
	firstListTimeout struct{}
	idlePoll         struct{} // closes idle client connections while pausing, yielding or draining
)

// post hands a message to the loop, or drops it once the loop has ended.
func (d *Dispatcher) post(message any) {
	select {
	case d.inbox <- message:
	case <-d.done:
	}
}

// ClientDisconnected reports that a request's client has disconnected.
func (d *Dispatcher) ClientDisconnected(r *downstream.Request) { d.post(clientDisconnected{r}) }

// Stop begins draining. The drain time is counted from the call, even if the loop handles it late, as SIGKILL
// does not wait for the loop.
func (d *Dispatcher) Stop() { d.post(stopRequested{d.clock()}) }

// Wake makes the scheduler take a step soon, even if no event has occurred here.
func (d *Dispatcher) Wake() { d.post(schedulerTimer{}) }

// Redirect makes the loop watch the endpoint list at another address from now on, and keeps the present list.
func (d *Dispatcher) Redirect(discovery string) { d.post(discoveryChanged{discovery}) }

// UpdateQuotas passes reports of other instances about tenants to the scheduler.
func (d *Dispatcher) UpdateQuotas(updates []balance.QuotaUpdate) { d.post(quotaUpdates{updates}) }

// ApplySettings replaces all settings. The caller must have checked the new ones.
func (d *Dispatcher) ApplySettings(s *settings.Settings) { d.post(settingsChanged{s}) }

// SetDeferredLimits changes the limits for jobs that are deferred from now on.
func (d *Dispatcher) SetDeferredLimits(l deferred.Limits) { d.post(deferredLimits{l}) }

// SetMaxWaits changes the promised waits, by class and in seconds, of jobs that arrive from now on.
func (d *Dispatcher) SetMaxWaits(waits map[string]float64) { d.post(maxWaitsChanged{waits}) }

// handle handles one message.
func (d *Dispatcher) handle(message any) {
	switch m := message.(type) {
	case requestArrived:
		d.handleArrival(m.req)
	case clientDisconnected:
		if r := d.requests[m.req.ID]; r != nil && r.inbound == m.req {
			d.handleDisconnect(r)
		}
	case attemptEvent:
		d.handleAttemptEvent(m)
	case healthCheckEvent:
		d.addEvent(balance.HealthCheckDone{Worker: m.worker, Outcome: m.event.Outcome, Report: m.event.Report})
	case reportingEvent:
		d.handleReporting(m)
	case endpointEvent:
		d.handleEndpointEvent(m)
	case stopRequested:
		d.startRetiring(m.at)
	default:
		d.handleChange(message)
	}
}

// handleChange handles messages about settings and other state of the loop.
func (d *Dispatcher) handleChange(message any) {
	switch m := message.(type) {
	case schedulerTimer:
		d.addEvent(balance.TimerFired{})
	case quotaUpdates:
		for _, update := range m.updates {
			d.addEvent(update)
		}
	case statsRequest:
		m.reply <- d.stats()
	case deferredLimits:
		if d.Deferred != nil {
			d.Deferred.Limits = m.limits
		}
	case maxWaitsChanged:
		d.setMaxWaits(m.maxWaits)
	case settingsChanged:
		d.applySettings(m.settings)
	case discoveryChanged:
		if d.Discovery != m.discovery {
			d.Discovery = m.discovery
			d.startWatch() // replaces the old watch at once: its address must not be used again
		}
	}
}
