package migration

import (
	"math"
	"testing"
)

// Capacity that falls during a move scales all promises in proportion and drops none. Shifts of the move are still
// credited, but no new reservation is allowed.
func TestServedFraction(t *testing.T) {
	b := applyAll(t, New("b"), Record{Step: StepSetCapacity, Amount: 100}, Record{Step: StepReserve, Service: "t", Amount: 40})
	offer := Message{Type: MessageOffer, ID: ID{testKey, 1}, Source: true, Amount: 60, Request: DirectionRequest{1, Forward}}
	b = applyAll(t, b, Record{Step: StepReceive, Message: offer}, Record{Step: StepSetCapacity, Amount: 50})
	shift := offer
	shift.Type, shift.Number, shift.Amount = MessageShift, 1, 30
	b = applyAll(t, b, Record{Step: StepReceive, Message: shift})
	ledger := b.Ledger()
	if at := ledger.Account("s"); at != (Account{"s", 30, 30, 0}) || ledger.Usable("s") != 15 || ledger.Usable("t") != 20 || ledger.ServedPPM() != 500_000 || ledger.Free() != -50 {
		t.Errorf("got ledger %+v with usable %d and %d, served ppm %d", ledger, ledger.Usable("s"), ledger.Usable("t"), ledger.ServedPPM())
	}
	if _, err := b.Apply(Record{Step: StepReserve, Service: "u", Amount: 1}); err == nil {
		t.Error("a ledger without capacity for its promises accepted another reservation")
	}
	if ledger = applyAll(t, b, Record{Step: StepSetCapacity, Amount: 100}).Ledger(); ledger.Usable("s") != 30 || ledger.ServedPPM() != 1_000_000 {
		t.Errorf("after the capacity is back: got ledger %+v", ledger)
	}
	big := &CapacityLedger{Capacity: MaxAmount - 1, Accounts: []Account{{"s", MaxAmount, 0, 0}, {"t", MaxAmount, 0, 0}}}
	if a := big.Usable("s"); a != (MaxAmount-1)/2 {
		t.Errorf("usable of the largest amounts: got %d", a)
	}
}

func TestCapacity(t *testing.T) {
	slowStart := SlowStart{SlowStartFloor: 0.2, SlowStartSeconds: 10}
	workers := []Worker{{Slots: 4, Rate: 2}, {Slots: 4, Rate: 2, Unavailable: true}, {Slots: 4, Rate: 2, Started: 95}, {Slots: math.NaN(), Rate: 1}}
	for now, want := range map[float64]Amount{95: 9_600_000, 100: 12_800_000, 105: 16_000_000} {
		if got := Capacity(workers, slowStart, now); got != want {
			t.Errorf("at %v: %d, want %d", now, got, want)
		}
	}
	if a := Capacity([]Worker{{Slots: math.Inf(1), Rate: 1}, {Slots: 1, Rate: 1}}, slowStart, 0); a != MaxAmount {
		t.Errorf("infinite slots: got %d, want MaxAmount", a)
	}
}
