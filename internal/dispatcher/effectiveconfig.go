package dispatcher

import (
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

// ConfigSource provides the configuration that instances have agreed on. Its methods are called on the loop,
// and Effective by attempts as well; they must not block.
type ConfigSource interface {
	// Effective returns the configuration in force at a moment of the monotonic clock: the same pointer until
	// the configuration changes. It must be correct even in a process that was suspended.
	Effective(at time.Time) *EffectiveConfig
	// Acknowledge confirms that nothing in this process acts on an earlier configuration any more.
	Acknowledge(*EffectiveConfig)
}

// EffectiveConfig is the agreed configuration as applied to the platform's settings. It is immutable.
type EffectiveConfig struct {
	Override func(platform *settings.Settings) *settings.Settings
	Cordoned map[string]bool // workers
}

// updateConfig puts the current agreed configuration into force before anything is decided; otherwise a loop that
// was suspended would act on an earlier one. The change is placed before the events that wait for the next step,
// so that the scheduler handles them under the current configuration.
func (d *Dispatcher) updateConfig() {
	if d.ConfigSource == nil {
		return
	}
	next := d.ConfigSource.Effective(d.Now())
	if next == d.effectiveConfig || next == d.rejectedConfig {
		return
	}
	former := d.effectiveConfig
	d.effectiveConfig = next
	config := d.schedulerConfig()
	// The scheduler keeps its present configuration if it cannot use the new one. An acknowledgement would then
	// be false.
	if err := config.Check(); err != nil {
		d.effectiveConfig = former
		d.rejectedConfig = next
		d.Log("config: the agreed configuration cannot be used with this dispatcher's settings and is not in force "+
			"here: propose another one, or correct the settings and send SIGHUP: %v", err)
		return
	}
	d.rejectedConfig = nil
	defineClasses(d.classes, config.Classes)
	d.tightenRequests()
	d.prependConfigChange(balance.ConfigChanged{Config: config, TightenExisting: true})
	d.ConfigSource.Acknowledge(next)
}

// tightenRequests restricts the retries of all requests, those that the scheduler has not got yet too, to those that
// the present definitions of their classes allow as well. The scheduler does the same for the jobs that it holds.
func (d *Dispatcher) tightenRequests() {
	tightening := balance.NewTightening(func(name string) *balance.Class { return d.classes[name] })
	for _, r := range d.requests {
		r.class = tightening.Apply(r.class)
	}
}

// prependConfigChange places a change of the configuration before the pending events. Pending changes were derived
// from the former configuration and would put it into force again. They are dropped, as the new change contains
// all that they hold. Pending cordons are placed before the other events.
func (d *Dispatcher) prependConfigChange(change balance.ConfigChanged) {
	waiting := d.pendingEvents
	d.pendingEvents = []balance.Event{change}
	var others []balance.Event
	for _, e := range waiting {
		switch e := e.(type) {
		case balance.ConfigChanged:
		case balance.Cordon:
			d.addEvent(e) // updateCordons adds to these
		case balance.JobArrived:
			others = append(others, d.withPresentClass(e))
		default:
			others = append(others, e)
		}
	}
	d.updateCordons()
	d.pendingEvents = append(d.pendingEvents, others...)
}

// withPresentClass returns a pending arrival with the definition that its request has now.
func (d *Dispatcher) withPresentClass(e balance.JobArrived) balance.JobArrived {
	if r := d.requests[e.ID]; r != nil {
		e.Accepted = r.class
	}
	return e
}

// effectiveSettings returns the settings with the agreed configuration applied.
func (d *Dispatcher) effectiveSettings() *settings.Settings {
	if d.effectiveConfig == nil {
		return d.Settings
	}
	return d.effectiveConfig.Override(d.Settings)
}

// checkSend is called right before the first byte of an attempt is written. It returns "" if the attempt may be
// sent. Otherwise it returns the attempt's outcome: Unreachable if its worker has been cordoned, or Blocked, which
// is no evidence against the worker, if it is a retry that was decided under another configuration.
func (d *Dispatcher) checkSend(worker string, isRetry bool, decidedBy *EffectiveConfig) balance.Outcome {
	var config *EffectiveConfig
	if d.ConfigSource != nil {
		config = d.ConfigSource.Effective(d.Now())
	}
	switch {
	case d.IsCordoned(worker), config != nil && config.Cordoned[worker]:
		return balance.Unreachable
	case isRetry && config != decidedBy:
		return balance.Blocked
	}
	return ""
}
