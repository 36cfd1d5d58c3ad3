package dispatcher

import (
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/egress"
	"example.org/bellstream/internal/handover"
	"example.org/bellstream/internal/settings"
)

// rulesModel has one ruling before a moment and another from then on.
type rulesModel struct {
	until         time.Time
	before, after *Ruling
	took          []*Ruling
}

func (m *rulesModel) Ruling(at time.Time) *Ruling {
	if at.Before(m.until) {
		return m.before
	}
	return m.after
}
func (m *rulesModel) Took(r *Ruling) { m.took = append(m.took, r) }

func unsafeAll(p *settings.Settings) *settings.Settings {
	s := *p
	s.Lanes = append([]settings.Lane(nil), p.Lanes...)
	for i := range s.Lanes {
		s.Lanes[i].Semantics = string(balance.Unsafe)
	}
	return &s
}

// What a lapsed lease forbids is not done, though nothing was posted to the loop and the
// end of an attempt waits in its queue: a job that may have run does not go out again.
func TestRulingBindsByTheClock(t *testing.T) {
	for _, lapses := range []bool{false, true} {
		r := newRig(t)
		m := &rulesModel{until: r.now.Add(time.Hour), before: &Ruling{Over: func(s *settings.Settings) *settings.Settings { return s }},
			after: &Ruling{Over: unsafeAll}}
		r.Rules = m
		j := r.runs("1", "safe")
		if len(m.took) != 1 || m.took[0] != m.before {
			t.Fatalf("took %v", m.took)
		}
		if lapses { // as a process that is stopped finds it
			m.until = r.now
		}
		j.out.end(true)
		r.orders = nil
		r.take(hopNews{r.held["1"], 0, "a", egress.News{Outcome: balance.Broken}})
		r.now = r.now.Add(4 * time.Millisecond)
		r.turn(r.clock())
		r.pass(100 * time.Millisecond)
		for _, tell := range r.probes {
			tell(egress.News{Outcome: balance.Served, Report: []float64{3}})
		}
		r.pass(100 * time.Millisecond)
		if again := len(r.orders) > 0; again == lapses {
			t.Errorf("lapses %v: sent again %v, answers %v", lapses, again, j.answers)
		}
		if lapses && (len(m.took) != 2 || m.took[1] != m.after) {
			t.Errorf("took %v", m.took)
		}
	}
}

// A hop that is under way when the rules change stops before its first byte if its worker is
// left out by now, or if it is a repeat.
func TestRulesBarHopsUnderWay(t *testing.T) {
	r := newRig(t)
	plain := func(s *settings.Settings) *settings.Settings { return s }
	m := &rulesModel{until: r.now.Add(time.Hour), before: &Ruling{Over: plain}, after: &Ruling{Over: plain, Out: map[string]bool{"a": true}}}
	r.Rules = m
	r.runs("1", "safe")
	by := r.ruling
	bars := func(want ...balance.Outcome) {
		t.Helper()
		got := []balance.Outcome{r.barred("a", false, by), r.barred("b", false, by), r.barred("b", true, by)}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("barred: %v, want %v", got, want)
			}
		}
	}
	bars("", "", "")
	m.until = r.now
	bars(balance.Unreachable, "", balance.Barred) // what may not be repeated does not have b probed
	r.pass(20 * time.Millisecond)
	if !r.outs["a"] || r.outs["b"] {
		t.Errorf("the module was told that %v are left out", r.outs)
	}
}

// What waits to be told when the rules change was made by the former ones: it does not come into
// force behind them. A reload and a worker that operators take back come in the same turn here.
func TestRulesComeAfterWhatWasDecidedBefore(t *testing.T) {
	r := newRig(t)
	m := &rulesModel{until: r.now.Add(time.Hour), before: &Ruling{Over: func(s *settings.Settings) *settings.Settings { return s }},
		after: &Ruling{Over: unsafeAll, Out: map[string]bool{"a": true}}}
	r.Rules = m
	s, _ := (&handover.Shared{}).Suspend("a", 1)
	r.Adopt(s, true)
	r.pass(20 * time.Millisecond)
	r.Adopt(s.Restore("a"), true)
	r.operate()
	r.take(retuned{r.Settings})
	m.until = r.now
	r.rule()
	out := false
	for _, e := range r.events {
		switch e := e.(type) {
		case balance.Retune:
			for _, c := range e.Config.Classes {
				if c.Repeat != balance.Unsafe {
					t.Errorf("class %s is %s by the last settings that are told", c.Name, c.Repeat)
				}
			}
		case balance.Maintenance:
			out = e.Out
		}
	}
	if !out || !r.outs["a"] {
		t.Errorf("the last word to the module is that a is out: %v, events %v", out, r.events)
	}
}

// Rules that the module can't use with the settings are not said to be acted on, and are looked
// at again when the settings are others.
func TestRulesThatDoNotFitAreNotTaken(t *testing.T) {
	r := newRig(t)
	worth := -1.0
	m := &rulesModel{until: r.now.Add(time.Hour), before: &Ruling{Over: func(s *settings.Settings) *settings.Settings { return s }},
		after: &Ruling{Over: func(p *settings.Settings) *settings.Settings {
			s := unsafeAll(p)
			s.Lanes[0].Value = worth
			return s
		}}}
	r.Rules = m
	r.pass(8 * time.Millisecond)
	m.until = r.now
	r.pass(8 * time.Millisecond)
	if len(m.took) != 1 || r.ruling != m.before {
		t.Errorf("took %d rulings", len(m.took))
	}
	worth = 1
	r.Retune(r.Settings)
	r.pass(8 * time.Millisecond)
	if len(m.took) != 2 || r.ruling != m.after {
		t.Errorf("took %d rulings once they fit", len(m.took))
	}
}

// decider counts its steps and adds an action of its own to each.
type decider struct {
	*balance.Balancer
	steps int
}

func (x *decider) Step(now float64, events []balance.Event) []balance.Action {
	x.steps++
	return append(x.Balancer.Step(now, events), balance.Refuse{ID: "1", After: 1})
}

// Another decider stands between the loop and its Balancer, and takes a step when it is woken.
func TestDeciderIsWoken(t *testing.T) {
	r := newRig(t)
	x := &decider{Balancer: r.decide.(*balance.Balancer)}
	r.decide = x
	j := r.arrive("1", "safe", time.Second)
	r.events = nil // nothing of it comes to the Balancer
	r.Wake()
	r.pass(8 * time.Millisecond)
	if x.steps == 0 || len(j.answers) != 1 || j.answers[0] != 503 {
		t.Errorf("%d steps, answers %v", x.steps, j.answers)
	}
}
