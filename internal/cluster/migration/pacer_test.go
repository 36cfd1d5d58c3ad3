package migration

import (
	"testing"
)

// TestPacer checks that the amount at the destination never exceeds the slow-start fraction, that no shift is below the
// smallest step, and the verdicts for given outcomes of both sides.
func TestPacer(t *testing.T) {
	p := Pacer{SlowStart: SlowStart{SlowStartFloor: 0.1, SlowStartSeconds: 60, OverloadMultiple: 3}, MaxSteps: 10, MinJobs: 64, MaxWaitSeconds: 5, Tolerance: 0.1}
	m, ledger, steps := &Move{Amount: 1000}, &CapacityLedger{Capacity: 5000}, 0
	for now := 0.0; m.Local < m.Amount; now += 0.5 {
		if now > 70 {
			t.Fatalf("only %d shifted after %v s, want all", m.Local, now)
		}
		if step := p.CapacityStep(m, ledger, 0, now); step > 0 {
			if m.Local += step; float64(m.Local) > 1000*p.Fraction(now) || step < 100 && m.Local < m.Amount {
				t.Fatalf("%d shifted, the last step %d, at %v s: above slow start, or step too small", m.Local, step, now)
			}
			steps++
		}
	}
	if steps > 10 {
		t.Errorf("got %d steps, want at most 10", steps)
	}
	sourceMove := &Move{Amount: 1000, Source: true, Local: 100}
	fullLedger := &CapacityLedger{Capacity: 1000, Accounts: []Account{reservedAccount("t", 950)}}
	if a, b := p.CapacityStep(sourceMove, ledger, 0, 0), p.CapacityStep(sourceMove, fullLedger, 0, 0); a != 900 || b != 0 {
		t.Errorf("got steps %d and %d, want 900 and 0", a, b)
	}
	ready := &Move{ID: ID{testKey, 1}, Source: true, Amount: 1000, Local: 300, HasToken: true, DestinationReady: true, Number: 4, Request: DirectionRequest{1, Forward}}
	for number, want := range map[uint64]Amount{3: 0, 4: 200} {
		if a := p.NextShift(ready, Message{ID: ready.ID, Number: number, Advice: Advice{CapacityStep: 200}}); a != want {
			t.Errorf("message with number %d: got shift %d", number, a)
		}
	}
	for _, c := range []struct {
		source, destination Outcomes
		newJobs             uint64
		waitedSeconds       float64
		want                Verdict
	}{
		{Outcomes{1000, 950_000}, Outcomes{63, 0}, 63, 4, VerdictWait},
		{Outcomes{1000, 950_000}, Outcomes{64, 0}, 64, 4, VerdictRollBack},
		{Outcomes{1000, 950_000}, Outcomes{640, 608_000}, 64, 4, VerdictContinue},
		{Outcomes{1000, 950_000}, Outcomes{640, 560_000}, 64, 4, VerdictContinue}, // 0.075 worse: within the tolerance
		{Outcomes{1000, 950_000}, Outcomes{640, 400_000}, 64, 4, VerdictRollBack}, // 0.325 worse
		{Outcomes{1000, 950_000}, Outcomes{4, 0}, 4, 6, VerdictContinue},          // too few jobs for a verdict
		{Outcomes{1000, 950_000}, Outcomes{}, 0, 6, VerdictContinue},
		{Outcomes{}, Outcomes{100, 0}, 100, 0, VerdictContinue},
	} {
		if v := p.Evaluate(c.source, c.destination, c.newJobs, c.waitedSeconds); v != c.want {
			t.Errorf("%+v: got verdict %s", c, v)
		}
	}
}
