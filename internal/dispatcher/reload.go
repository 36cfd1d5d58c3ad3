package dispatcher

import (
	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

// configState holds the settings in force and values that the loop derives from them.
type configState struct {
	batchInterval   float64
	effectiveConfig *EffectiveConfig // in force in the scheduler; nil: the platform's settings alone
	rejectedConfig  *EffectiveConfig // cannot be used with these settings
	cordoned        map[string]bool  // workers that the scheduler has been notified of as cordoned
	slowStartShare  float64          // fraction of the slow-start budgets that this process uses
	knownTenants    map[string]bool
	reportFields    []string // meaning of the values of load reports
	// classes has the definition of each class with which jobs are accepted now, by name. A definition is replaced,
	// never modified. That of a class that is no longer configured is kept: clients may send jobs for some time.
	classes map[string]*balance.Class
	// platformClasses are those of the platform's settings, without what instances have agreed on.
	platformClasses map[string]*balance.Class
}

func (d *Dispatcher) applySettings(s *settings.Settings) {
	d.Settings = s
	d.batchInterval = s.BatchInterval
	d.rejectedConfig = nil
	d.deriveLimits()
	d.timers.SetTick(timerTick(s.FleetRules.AnswerGrace), d.clock())
	if d.Phases.Now() >= Retiring { // the time of SIGKILL is fixed: a reload can only shorten the drain
		d.drainDeadline = min(d.drainDeadline, d.stopRequestedAt+d.maxDrain)
	}
	d.changeSchedulerConfig()
	d.scheduleWatchRetry() // the settings decide whether the loop or the scheduler restarts a watch
}

// deriveLimits derives from the settings the values that the loop itself uses.
func (d *Dispatcher) deriveLimits() {
	longest := 0.0
	for _, class := range d.Settings.Classes {
		longest = max(longest, class.Deadline())
	}
	defineClasses(d.platformClasses, d.Settings.Config().Classes)
	d.maxDrain = min(longest, maxDrainSeconds) + drainGraceSeconds
	d.recentIDs.retention = max(d.recentIDs.retention, longest) // never shorter: earlier requests may be in flight
	d.retainIDs()
	d.reportFields = d.Settings.Config().ReportFields
	d.knownTenants = map[string]bool{}
	for _, tenant := range d.Settings.Tenants {
		d.knownTenants[tenant.Name] = true
	}
}

// schedulerConfig returns the scheduler's configuration, with the promised waits and with the slow-start budgets
// reduced to this process's share.
func (d *Dispatcher) schedulerConfig() balance.Config {
	c := d.effectiveSettings().Config()
	for i := range c.Classes {
		c.Classes[i].MaxWait = d.MaxWaits[c.Classes[i].Name]
	}
	c.OverloadMultiple *= d.slowStartShare
	return c
}

// changeSchedulerConfig passes the present configuration to the scheduler. Jobs that arrive from now on are accepted
// with its classes.
func (d *Dispatcher) changeSchedulerConfig() {
	config := d.schedulerConfig()
	d.addEvent(balance.ConfigChanged{Config: config})
	if config.Check() == nil { // the scheduler keeps its configuration if it cannot use this one
		defineClasses(d.classes, config.Classes)
	}
}

// defineClasses replaces the definitions of classes by name. Those of classes that are not in the list stay.
func defineClasses(byName map[string]*balance.Class, classes []balance.Class) {
	for _, class := range classes {
		byName[class.Name] = &class
	}
}

// setSlowStartShare makes the scheduler use a fraction of its slow-start budgets. To workers the processes of an
// upgrade are one dispatcher, and no process knows what another has sent.
func (d *Dispatcher) setSlowStartShare(share float64) {
	if d.slowStartShare != share {
		d.slowStartShare = share
		d.changeSchedulerConfig()
	}
}

// setMaxWaits changes the promised waits of jobs that arrive from now on. Classes that are
// not in waits have no promised wait.
func (d *Dispatcher) setMaxWaits(waits map[string]float64) {
	for _, class := range d.Settings.Classes {
		wait := waits[class.Name]
		switch {
		case wait == d.MaxWaits[class.Name]:
		case wait > 0:
			d.Log("reload: class %s: sent within %v s or rejected on arrival", class.Name, wait)
		default:
			d.Log("reload: class %s: no wait is promised any more", class.Name)
		}
	}
	d.MaxWaits = waits
	d.changeSchedulerConfig()
}
