package migration

import (
	"testing"
)

// The load at the destination never exceeds the slow start of workers, and no
// shift is smaller than the smallest step.
func TestPacer(t *testing.T) {
	p := Pacer{SlowStart: SlowStart{SlowStartFloor: 0.1, SlowStartSeconds: 60, OverloadMultiple: 3}, MaxSteps: 10, MinJobs: 64, MaxWaitSeconds: 5, Tolerance: 0.1}
	m, book, steps := &Move{Amount: 1000}, &CapacityLedger{Capacity: 5000}, 0
	for now := 0.0; m.Local < m.Amount; now += 0.5 {
		if now > 70 {
			t.Fatalf("%d after %v s", m.Local, now)
		}
		if step := p.CapacityStep(m, book, 0, now); step > 0 {
			if m.Local += step; float64(m.Local) > 1000*p.Fraction(now) || step < 100 && m.Local < m.Amount {
				t.Fatalf("%d, by %d, at %v", m.Local, step, now)
			}
			steps++
		}
	}
	if steps > 10 {
		t.Errorf("%d steps", steps)
	}
	home := &Move{Amount: 1000, Source: true, Local: 100}
	full := &CapacityLedger{Capacity: 1000, Accounts: []Account{reservedAccount("t", 950)}}
	if a, b := p.CapacityStep(home, book, 0, 0), p.CapacityStep(home, full, 0, 0); a != 900 || b != 0 {
		t.Errorf("%d, %d", a, b)
	}
	ready := &Move{ID: ID{testKey, 1}, Source: true, Amount: 1000, Local: 300, HasToken: true, DestinationReady: true, Number: 4, Request: DirectionRequest{1, Forward}}
	for number, want := range map[uint64]Amount{3: 0, 4: 200} {
		if a := p.NextShift(ready, Message{ID: ready.ID, Number: number, Advice: Advice{CapacityStep: 200}}); a != want {
			t.Errorf("number %d: %d", number, a)
		}
	}
	for _, c := range []struct {
		source, there Outcomes
		fresh         uint64
		waited        float64
		want          Verdict
	}{
		{Outcomes{1000, 950_000}, Outcomes{63, 0}, 63, 4, VerdictWait},
		{Outcomes{1000, 950_000}, Outcomes{64, 0}, 64, 4, VerdictRollBack},
		{Outcomes{1000, 950_000}, Outcomes{640, 608_000}, 64, 4, VerdictContinue},
		{Outcomes{1000, 950_000}, Outcomes{640, 560_000}, 64, 4, VerdictContinue}, // 0.075 worse: within the slack
		{Outcomes{1000, 950_000}, Outcomes{640, 400_000}, 64, 4, VerdictRollBack}, // 0.325 worse
		{Outcomes{1000, 950_000}, Outcomes{4, 0}, 4, 6, VerdictContinue},          // too few to tell
		{Outcomes{1000, 950_000}, Outcomes{}, 0, 6, VerdictContinue},
		{Outcomes{}, Outcomes{100, 0}, 100, 0, VerdictContinue},
	} {
		if v := p.Evaluate(c.source, c.there, c.fresh, c.waited); v != c.want {
			t.Errorf("%+v: %s", c, v)
		}
	}
}
