package faultproxy

import (
	"time"

	"example.org/bellstream/internal/lab/fault"
)

// maxTimerSeconds bounds a timer, as a rule may end never; the caller then checks
// again.
const maxTimerSeconds = 3600

// timerAfter returns a timer that fires 1 ms after the given number of seconds, or
// after maxTimerSeconds if that is earlier.
func timerAfter(seconds float64) *time.Timer {
	bounded := min(seconds, maxTimerSeconds)
	return time.NewTimer(time.Duration(bounded*float64(time.Second)) + time.Millisecond)
}

// watch refreshes the active rules each time one begins or ends.
func (p *Proxy) watch() {
	defer p.goroutines.Done()
	for {
		p.mu.Lock()
		now := p.clock()
		changed := p.changed
		next := p.plan.NextChange(now)
		p.mu.Unlock()
		timer := timerAfter(next - now)
		select {
		case <-p.done:
			timer.Stop()
			return
		case <-changed:
			timer.Stop()
		case <-timer.C:
			p.refresh()
		}
	}
}

// refresh updates the active rules, records the changes and applies them to the open
// connections and the listeners.
func (p *Proxy) refresh() {
	p.refreshMu.Lock()
	defer p.refreshMu.Unlock()
	p.mu.Lock()
	now := p.clock()
	entries := p.updateActive(now)
	for c := range p.conns {
		c.begin(now)
	}
	refused := p.refusedEndpoints(now)
	closed := p.closed
	p.mu.Unlock()
	for _, entry := range entries {
		p.record(entry)
	}
	if closed {
		return
	}
	for _, e := range p.endpoints {
		e.refuse(refused[e])
	}
}

// updateActive replaces the active rules and returns a log entry for each rule that
// has begun or ended. The caller holds mu.
func (p *Proxy) updateActive(now float64) (entries []Entry) {
	active := map[int]fault.Rule{}
	for _, r := range p.plan.Rules(now) {
		if !r.Active(now) {
			continue
		}
		active[r.ID] = r
		if _, known := p.active[r.ID]; !known {
			entries = append(entries, ruleEntry(eventRuleBegins, r))
		}
	}
	for id, r := range p.active {
		if _, remains := active[id]; !remains {
			entries = append(entries, ruleEntry(eventRuleEnds, r))
		}
	}
	p.active = active
	close(p.changed)
	p.changed = make(chan struct{})
	return entries
}

func ruleEntry(event string, r fault.Rule) Entry {
	return Entry{
		Event:     event,
		Rule:      r.ID,
		Kind:      r.Kind,
		Endpoints: r.Endpoints,
		Side:      r.Side,
	}
}

// refusedEndpoints returns the endpoints at which a Refuse rule is active. The caller
// holds mu.
func (p *Proxy) refusedEndpoints(now float64) map[*endpoint]bool {
	refused := map[*endpoint]bool{}
	for _, e := range p.endpoints {
		for _, r := range p.plan.ActiveAt(now, e.Name) {
			refused[e] = refused[e] || r.Kind == fault.Refuse
		}
	}
	return refused
}

// activeRule returns an active rule of a kind that applies to a connection, or nil if
// there is none.
func (p *Proxy) activeRule(kind fault.Kind, endpoint string, conn uint64) *fault.Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.plan.ActiveAt(p.clock(), endpoint) {
		if r.Kind == kind && p.plan.Selects(r, endpoint, conn) {
			return r
		}
	}
	return nil
}

// waitRuleEnd waits until a rule has ended or canceled is closed, and reports whether
// the rule has ended.
func (p *Proxy) waitRuleEnd(r *fault.Rule, canceled <-chan struct{}) bool {
	for {
		p.mu.Lock()
		now := p.clock()
		changed := p.changed
		active := r.Active(now)
		end := r.End()
		p.mu.Unlock()
		if !active {
			return true
		}
		timer := timerAfter(end - now)
		select {
		case <-canceled:
			timer.Stop()
			return false
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
