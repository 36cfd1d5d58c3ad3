package dispatcher

import (
	"fmt"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

// What operators command. Times are in seconds from the call to pause.
const (
	pauseIdle   = 0.4 // the front has stopped bringing connections: idle ones are closed from then on
	pauseRefuse = 1.8 // what comes later is refused, to hold no young job at 4 s
)

// fresh is how long a connection has to bring its first byte while others are closed.
const fresh = 250 * time.Millisecond

// Status says why this process would not take a new client; nil where it would.
func (d *Dispatcher) Status() error {
	if p := d.Phases.Now(); p != Serving {
		return fmt.Errorf("%s", p)
	}
	return nil
}

// Pause empties the dispatcher: from now on /healthz says no, and each answer
// closes its connection.
func (d *Dispatcher) Pause() error {
	if !d.Phases.Enter(Paused) && d.Phases.Now() != Paused {
		return fmt.Errorf("%s", d.Phases.Now())
	}
	d.nudge()
	return nil
}

// Resume ends a pause. One that is not paused is as it is wanted.
func (d *Dispatcher) Resume() error {
	if !d.Phases.Enter(Starting) && d.Phases.Now() >= Retiring {
		return fmt.Errorf("%s", d.Phases.Now())
	}
	d.nudge()
	return nil
}

// nudge has the loop look at what operators commanded. It never waits: a
// command binds by itself, and one look sees all of them.
func (d *Dispatcher) nudge() {
	select {
	case d.nudges <- struct{}{}:
	default:
	}
}

// operate takes operators' commands into the loop's own state.
func (d *Dispatcher) operate() {
	now := d.clock()
	switch paused := d.Phases.Now() == Paused; {
	case paused && d.paused == 0:
		d.paused = now
		d.Log("paused: %d requests held", len(d.held))
		d.lookAt(now + pauseIdle)
	case !paused && d.paused > 0:
		d.paused = 0
		if d.Phases.Now() < Retiring {
			d.Log("resumed after a pause")
		}
	}
}

// lookAt sets when the loop looks for idle connections to close.
func (d *Dispatcher) lookAt(at float64) {
	d.looker.Stop()
	d.looker = d.wheel.Set(at, looking{})
}

// look closes idle connections while the dispatcher is being emptied.
func (d *Dispatcher) look(now float64) {
	if p := d.Phases.Now(); p < Retiring && (p != Paused || d.paused == 0) {
		return // resumed
	}
	if d.Phases.Enter(Draining) {
		d.Log("draining: %d requests held", len(d.held))
	}
	d.ingress.CloseIdle(fresh)
	d.lookAt(now + drainLook)
}

// refuses says that nothing new is taken any more.
func (d *Dispatcher) refuses() bool {
	return d.Phases.Now() >= Closing || d.paused > 0 && d.Phases.Now() == Paused && d.clock() >= d.paused+pauseRefuse
}

// Retune puts other settings into force, as a whole. They have been judged.
func (d *Dispatcher) Retune(s *settings.Settings) { d.post(retuned{s}) }

func (d *Dispatcher) retune(s *settings.Settings) {
	d.Settings, d.round = s, s.Round
	d.measure()
	d.events = append(d.events, balance.Retune{Config: config(s, d.Ageing)})
}

// measure takes from the settings what the loop itself goes by.
func (d *Dispatcher) measure() {
	longest := 0.0
	for _, l := range d.Settings.Lanes {
		longest = max(longest, l.HardLimit)
	}
	d.most = min(longest, drainMost) + drainPast
	d.recent.span = max(d.recent.span, longest) // ids of longer jobs may be under way
	d.tenants = map[string]bool{}
	for _, p := range d.Settings.Parties {
		d.tenants[p.Name] = true
	}
}

// config is the module's part of the settings, with what operators promise.
func config(s *settings.Settings, ageing map[string]float64) balance.Config {
	c := s.Config()
	for i := range c.Classes {
		c.Classes[i].MaxWait = ageing[c.Classes[i].Name]
	}
	return c
}
