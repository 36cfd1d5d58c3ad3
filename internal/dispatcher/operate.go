package dispatcher

import (
	"errors"
	"slices"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/handover"
	"example.org/bellstream/internal/settings"
)

// What operators command, and what an upgrade does. Times are in seconds.
const (
	pauseIdle   = 0.4  // after the call the front has stopped bringing connections: idle ones are closed from then on
	pauseRefuse = 1.8  // what comes later is refused, to hold no young job at 4 s
	yieldIdle   = 1.0  // until idle connections are closed: those in use go with their next answer
	coldOverlap = 0.25 // of its part of a cold worker's budget that a process uses first: an older one has sent too
	coldNone    = 1e-9 // the same of one that yields: nothing
)

// fresh is how long a connection has to bring its first byte while others are closed.
const fresh = 250 * time.Millisecond

// Status says why this process would not take a new client; nil where it would.
func (d *Dispatcher) Status() error {
	switch p := d.Phases.Now(); {
	case p != Serving:
		return errors.New(p.String())
	case d.Phases.Yields():
		return errors.New("another process of this dispatcher serves")
	}
	return nil
}

// Adopt takes in what holds from now on: what operators said, and whether this
// process leads or yields to a newer one. It binds when it returns, whatever
// the loop is at. Calls must not overlap.
func (d *Dispatcher) Adopt(s *handover.Shared, leads bool) {
	d.shared.Store(s)
	d.Phases.Yield(!leads)
	if s.Paused {
		d.Phases.Enter(Paused)
	} else {
		d.Phases.Enter(Starting) // from a pause only
	}
	d.Nudge()
}

// ShareIDs has the ids of all requests that were taken of late, and of those
// that come, handed to a function, which must not block; nil ends that. Another
// process of this dispatcher is to turn them away.
func (d *Dispatcher) ShareIDs(to func(ids []string)) {
	if to == nil {
		d.idsTo.Store(nil)
	} else {
		d.idsTo.Store(&to)
	}
	d.Nudge()
}

// Seen tells of ids that another process has taken.
func (d *Dispatcher) Seen(ids []string) {
	if len(ids) > 0 {
		d.post(seen{ids})
	}
}

// Knows says whether a worker is known here. Until discovery has told of any
// (listed is false) one that is not may be.
func (d *Dispatcher) Knows(worker string) (known, listed bool) {
	listed = d.listed.Load()
	names := d.names.Load()
	return names != nil && (*names)[worker], listed
}

// Out says that operators leave a worker out, as hops see it.
func (d *Dispatcher) Out(worker string) bool { return d.shared.Load().IsOut(worker) }

// name publishes which targets are known.
func (d *Dispatcher) name() {
	if d.Operated {
		names := d.table.Names()
		d.names.Store(&names)
	}
}

// maintain tells the module which workers are left out now. Idle connections to
// them go: the process behind them is about to.
func (d *Dispatcher) maintain() {
	out := d.leftOut()
	for w := range d.outs {
		if _, is := slices.BinarySearch(out, w); !is {
			delete(d.outs, w)
			d.Log("worker %s is back in: neither operators nor rules leave it out", w)
			d.events = append(d.events, balance.Maintenance{Worker: w})
		}
	}
	for _, w := range out {
		if d.outs[w] {
			continue
		}
		if d.outs == nil {
			d.outs = map[string]bool{}
		}
		d.outs[w] = true
		by := "the agreed rules"
		if d.Out(w) {
			by = "operators' word"
		}
		d.Log("worker %s is left out, by %s", w, by)
		d.events = append(d.events, balance.Maintenance{Worker: w, Out: true})
		if addr, ok := d.table.Dial(w); ok {
			d.Egress.Forget(addr)
		}
	}
}

// Nudge has the loop look at what operators commanded, and at the rules. It never
// waits: a command binds by itself, and one look sees all of them.
func (d *Dispatcher) Nudge() {
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
	d.maintain()
	if to := d.idsTo.Load(); to != d.noteIDs {
		if d.noteIDs = to; to != nil {
			(*to)(d.recent.all())
		}
	}
	switch yields := d.Phases.Yields(); {
	case yields && !d.yields:
		d.yields = true
		d.cold(coldNone)
		if d.Phases.Now() > Starting {
			d.Log("yielding to a newer process: %d requests held", len(d.held))
			d.lookAt(now + yieldIdle)
		}
	case !yields && d.yields:
		d.yields = false
		if d.Phases.Now() < Retiring {
			d.Log("leading: this process takes new clients")
		}
		d.cold(coldOverlap)
		d.wheel.Set(now+d.Settings.Rules.Fall, warmed{})
	}
}

// cold has the module use a part of what may go to cold workers. For the rules
// the processes of an upgrade are one dispatcher, and none knows what another sent.
func (d *Dispatcher) cold(part float64) {
	if d.coldPart != part {
		d.coldPart = part
		d.events = append(d.events, balance.Retune{Config: d.config()})
	}
}

// lookAt sets when the loop looks for idle connections to close.
func (d *Dispatcher) lookAt(at float64) {
	d.looker.Stop()
	d.looker = d.wheel.Set(at, looking{})
}

// look closes idle connections while the dispatcher is being emptied.
func (d *Dispatcher) look(now float64) {
	if p := d.Phases.Now(); p < Retiring && (p != Paused || d.paused == 0) && !d.yields {
		return // resumed, or leading again
	}
	if d.Phases.Enter(Draining) {
		d.Log("draining: %d requests held", len(d.held))
	}
	if d.Phases.Now() < Closing { // else each turn looks
		d.ingress.CloseIdle(fresh)
		d.lookAt(now + drainLook)
	}
}

// refuses says that nothing new is taken any more.
func (d *Dispatcher) refuses() bool {
	return d.Phases.Now() >= Closing || d.paused > 0 && d.Phases.Now() == Paused && d.clock() >= d.paused+pauseRefuse
}

// Retune puts other settings into force, as a whole. They have been judged.
func (d *Dispatcher) Retune(s *settings.Settings) { d.post(retuned{s}) }

func (d *Dispatcher) retune(s *settings.Settings) {
	d.Settings, d.round, d.unfit = s, s.Round, nil
	d.measure()
	d.events = append(d.events, balance.Retune{Config: d.config()})
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

// config is the module's part of the settings, with what operators promise and
// the part of the cold budgets that is this process's.
func (d *Dispatcher) config() balance.Config {
	c := d.ruled().Config()
	for i := range c.Classes {
		c.Classes[i].MaxWait = d.Ageing[c.Classes[i].Name]
	}
	c.FallMultiple *= d.coldPart
	return c
}
