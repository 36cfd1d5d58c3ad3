package dispatcher

import (
	"testing"
	"time"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/handoff"
	"example.org/bellstream/internal/settings"
	"example.org/bellstream/internal/upstream"
)

// configModel is a ConfigSource with one configuration before changesAt and another from then on.
type configModel struct {
	changesAt     time.Time
	before, after *EffectiveConfig
	acknowledged  []*EffectiveConfig
}

func (m *configModel) Effective(at time.Time) *EffectiveConfig {
	if at.Before(m.changesAt) {
		return m.before
	}
	return m.after
}
func (m *configModel) Acknowledge(r *EffectiveConfig) { m.acknowledged = append(m.acknowledged, r) }

func allNonIdempotent(p *settings.Settings) *settings.Settings {
	s := *p
	s.Classes = append([]settings.Class(nil), p.Classes...)
	for i := range s.Classes {
		s.Classes[i].Idempotence = string(balance.NonIdempotent)
	}
	return &s
}

// A lease lapses without a message to the loop, while the end of an attempt is already queued. The loop must decide
// by the configuration without the lease: a job that may have run must not be sent again.
func TestEffectiveConfigFollowsTheClock(t *testing.T) {
	for _, lapses := range []bool{false, true} {
		r := newRig(t)
		m := &configModel{changesAt: r.now.Add(time.Hour), before: &EffectiveConfig{Override: func(s *settings.Settings) *settings.Settings { return s }},
			after: &EffectiveConfig{Override: allNonIdempotent}}
		r.ConfigSource = m
		j := r.startJob("1", "safe")
		if len(m.acknowledged) != 1 || m.acknowledged[0] != m.before {
			t.Fatalf("acknowledged %v, want the first configuration", m.acknowledged)
		}
		if lapses { // as after a suspension of the process
			m.changesAt = r.now
		}
		j.inFlight.end(true)
		r.attemptRequests = nil
		r.handle(attemptEvent{r.requests["1"], 0, "a", upstream.AttemptEvent{Outcome: balance.ConnectionLost}})
		r.now = r.now.Add(4 * time.Millisecond)
		r.runTurn(r.clock())
		r.advance(100 * time.Millisecond)
		for _, notify := range r.healthChecks {
			notify(upstream.AttemptEvent{Outcome: balance.Served, Report: []float64{3}})
		}
		r.advance(100 * time.Millisecond)
		if again := len(r.attemptRequests) > 0; again == lapses {
			t.Errorf("lease lapses %v: sent again %v, answers %v", lapses, again, j.answers)
		}
		if lapses && (len(m.acknowledged) != 2 || m.acknowledged[1] != m.after) {
			t.Errorf("acknowledged %v, want both configurations", m.acknowledged)
		}
	}
}

// An attempt that waits for its connection when the agreed configuration changes must be blocked before its first byte
// if its worker is now cordoned or if it is a retry.
func TestConfigBlocksAttemptsUnderWay(t *testing.T) {
	r := newRig(t)
	unchanged := func(s *settings.Settings) *settings.Settings { return s }
	m := &configModel{changesAt: r.now.Add(time.Hour), before: &EffectiveConfig{Override: unchanged}, after: &EffectiveConfig{Override: unchanged, Cordoned: map[string]bool{"a": true}}}
	r.ConfigSource = m
	r.startJob("1", "safe")
	decidedBy := r.effectiveConfig
	wantOutcomes := func(want ...balance.Outcome) {
		t.Helper()
		got := []balance.Outcome{r.checkSend("a", false, decidedBy), r.checkSend("b", false, decidedBy), r.checkSend("b", true, decidedBy)}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("checkSend returned %v, want %v", got, want)
			}
		}
	}
	wantOutcomes("", "", "")
	m.changesAt = r.now
	wantOutcomes(balance.Unreachable, "", balance.Blocked) // Blocked is no evidence against worker b
	r.advance(20 * time.Millisecond)
	if !r.cordoned["a"] || r.cordoned["b"] {
		t.Errorf("cordoned workers %v, want only a", r.cordoned)
	}
}

// Changes that are pending when the agreed configuration changes were derived from the former configuration, and must
// not come into force after the new one. Here a reload and an uncordon by operators are pending in the same turn.
func TestConfigAppliesAfterEarlierDecisions(t *testing.T) {
	r := newRig(t)
	m := &configModel{changesAt: r.now.Add(time.Hour), before: &EffectiveConfig{Override: func(s *settings.Settings) *settings.Settings { return s }},
		after: &EffectiveConfig{Override: allNonIdempotent, Cordoned: map[string]bool{"a": true}}}
	r.ConfigSource = m
	s, _ := (&handoff.OperatorState{}).Cordon("a", 1)
	r.ApplyOperatorState(s, true)
	r.advance(20 * time.Millisecond)
	r.ApplyOperatorState(s.Uncordon("a"), true)
	r.applyCommands()
	r.handle(settingsChanged{r.Settings})
	m.changesAt = r.now
	r.updateConfig()
	out := false
	for _, e := range r.pendingEvents {
		switch e := e.(type) {
		case balance.ConfigChanged:
			for _, c := range e.Config.Classes {
				if c.Idempotence != balance.NonIdempotent {
					t.Errorf("class %s is %s in a pending configuration, want the agreed one", c.Name, c.Idempotence)
				}
			}
		case balance.Cordon:
			out = e.Cordoned
		}
	}
	if !out || !r.cordoned["a"] {
		t.Errorf("last cordon event excludes a: %v, want true; events %v", out, r.pendingEvents)
	}
}

// An agreed configuration that cannot be used with the settings must not be acknowledged, and must be tried
// again when the settings change.
func TestUnusableConfigIsNotAcknowledged(t *testing.T) {
	r := newRig(t)
	worth := -1.0
	m := &configModel{changesAt: r.now.Add(time.Hour), before: &EffectiveConfig{Override: func(s *settings.Settings) *settings.Settings { return s }},
		after: &EffectiveConfig{Override: func(p *settings.Settings) *settings.Settings {
			s := allNonIdempotent(p)
			s.Classes[0].PriorityWeight = worth
			return s
		}}}
	r.ConfigSource = m
	r.advance(8 * time.Millisecond)
	m.changesAt = r.now
	r.advance(8 * time.Millisecond)
	if len(m.acknowledged) != 1 || r.effectiveConfig != m.before {
		t.Errorf("acknowledged %d configurations, want 1 and the first in force", len(m.acknowledged))
	}
	worth = 1
	r.ApplySettings(r.Settings)
	r.advance(8 * time.Millisecond)
	if len(m.acknowledged) != 2 || r.effectiveConfig != m.after {
		t.Errorf("acknowledged %d configurations after the reload, want 2 and the second in force", len(m.acknowledged))
	}
}

// stubScheduler counts its steps and adds a Reject action to the result of each.
type stubScheduler struct {
	*balance.Balancer
	steps int
}

func (x *stubScheduler) Step(now float64, events []balance.Event) []balance.Action {
	x.steps++
	return append(x.Balancer.Step(now, events), balance.Reject{ID: "1", RetryAfter: 1})
}

// A scheduler that wraps the Balancer must take a step after Wake.
func TestSchedulerIsWoken(t *testing.T) {
	r := newRig(t)
	x := &stubScheduler{Balancer: r.scheduler.(*balance.Balancer)}
	r.scheduler = x
	j := r.arrive("1", "safe", time.Second)
	r.pendingEvents = nil // the Balancer does not see the request
	r.Wake()
	r.advance(8 * time.Millisecond)
	if x.steps == 0 || len(j.answers) != 1 || j.answers[0] != 503 {
		t.Errorf("%d steps, answers %v; want at least 1 step and [503]", x.steps, j.answers)
	}
}
