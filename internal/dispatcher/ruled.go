package dispatcher

import (
	"slices"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

// Ruler says by which agreed rules the dispatcher may act. Its methods are called
// on the loop, Ruling by hops as well; none may block.
type Ruler interface {
	// Ruling is what holds at a moment of the steady clock, the same value as long as
	// that does not change. It has to be right in a process that was stopped, too.
	Ruling(at time.Time) *Ruling
	// Took says that nothing here acts on an earlier ruling any more.
	Took(*Ruling)
}

// Ruling is what agreed rules make of the platform's settings. It is immutable.
type Ruling struct {
	Over func(platform *settings.Settings) *settings.Settings
	Out  map[string]bool // workers left out
}

// rule takes in what holds now, before anything is decided. It stands before the events
// that wait: what they bring about is decided by what holds now. Danger: a loop that
// was stopped would go on by what held before, so it looks before each step.
func (d *Dispatcher) rule() {
	if d.Rules == nil {
		return
	}
	r := d.Rules.Ruling(d.Now())
	if r == d.ruling || r == d.unfit {
		return
	}
	was := d.ruling
	d.ruling = r
	c := d.config()
	// Danger: the module keeps what it has where it can't use what it is given. Who said
	// then that it took this would act on less than it told.
	if err := c.Check(); err != nil {
		d.ruling, d.unfit = was, r
		d.Log("rules: the agreed ones don't go with this dispatcher's settings and are not acted on here: propose others, "+
			"or correct the settings and send SIGHUP: %v", err)
		return
	}
	d.unfit = nil
	// Settings that wait to be told were made by the former ruling, and would put it into
	// force again behind this one; of these there is nothing that is not in c.
	waits := d.events
	d.events = []balance.Event{balance.Retune{Config: c, Strict: true}}
	var rest []balance.Event
	for _, e := range waits {
		switch e.(type) {
		case balance.Retune:
		case balance.Maintenance:
			d.events = append(d.events, e) // what maintain tells builds on it
		default:
			rest = append(rest, e)
		}
	}
	d.maintain()
	d.events = append(d.events, rest...)
	d.Rules.Took(r)
}

// ruled are the settings with what the rules say in place.
func (d *Dispatcher) ruled() *settings.Settings {
	if d.ruling == nil {
		return d.Settings
	}
	return d.ruling.Over(d.Settings)
}

// basis is what the settings that are acted on are made of.
type basis struct {
	platform *settings.Settings
	ruling   *Ruling
}

// lane is what they say of a class. They are looked through once for each basis: rules make them anew when asked.
func (d *Dispatcher) lane(class string) (l settings.Lane, ok bool) {
	if now := (basis{d.Settings, d.ruling}); now != d.basis {
		d.basis, d.lanes = now, map[string]settings.Lane{}
		for _, l := range d.ruled().Lanes {
			d.lanes[l.Name] = l
		}
	}
	l, ok = d.lanes[class]
	return l, ok
}

// barred is, right before a hop's first byte, how it ends if it may not go out; empty: it may.
// Its worker is left out by now, or it is a repeat and other rules hold than those it
// was decided by: nothing speaks against that worker then.
func (d *Dispatcher) barred(worker string, repeat bool, by *Ruling) balance.Outcome {
	var r *Ruling
	if d.Rules != nil {
		r = d.Rules.Ruling(d.Now())
	}
	switch {
	case d.Out(worker), r != nil && r.Out[worker]:
		return balance.Unreachable
	case repeat && r != by:
		return balance.Barred
	}
	return ""
}

// leftOut are the workers that are left out, by operators' word or by the rules.
func (d *Dispatcher) leftOut() []string {
	var list []string
	for w := range d.shared.Load().Out {
		list = append(list, w)
	}
	if d.ruling != nil {
		for w := range d.ruling.Out {
			list = append(list, w)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
