package migration

import (
	"fmt"
	"testing"
)

// applyAll applies records and fails the test if one is not allowed.
func applyAll(t *testing.T, s *State, records ...Record) *State {
	t.Helper()
	for _, r := range records {
		n, err := s.Apply(r)
		if err != nil {
			t.Fatalf("record %+v is not allowed: %v", r, err)
		}
		s = n
	}
	return s
}

// An older request never replaces a newer one, and an amount that one open move may still debit can't be offered by
// another move or removed from the reservation.
func TestRequestsAndClaims(t *testing.T) {
	a := applyAll(t, New("a"), Record{Step: StepSetCapacity, Amount: 20}, Record{Step: StepReserve, Service: "s", Amount: 10}, Record{Step: StepBeginMove, Move: testKey, Amount: 7})
	b := applyAll(t, New("b"), Record{Step: StepSetCapacity, Amount: 20}, Record{Step: StepReceive, Message: a.Outbox()[0]})
	oldMessage := a.Outbox()[0]
	a = applyAll(t, a, Record{Step: StepReceive, Message: b.Outbox()[0]}, Record{Step: StepSetDirection, Move: testKey, Seq: 1, Direction: Stop})
	b = applyAll(t, b, Record{Step: StepReceive, Message: a.Outbox()[0]}, Record{Step: StepReceive, Message: oldMessage})
	if w := b.Move(testKey).Request; w != (DirectionRequest{2, Stop}) {
		t.Errorf("got request %+v, want number 2, stop", w)
	}
	for _, r := range []Record{{Step: StepBeginMove, Move: Key{"a", "c", "s"}, Amount: 4}, {Step: StepReserve, Service: "s", Amount: -4}, {Step: StepBeginMove, Move: testKey, Amount: 1},
		{Step: StepShift, Move: testKey, Seq: 1, Amount: 1}, {Step: StepPassToken, Move: testKey, Seq: 1}, {Step: StepFinish, Move: testKey, Seq: 2}} {
		if n, err := a.Apply(r); err == nil || n != a {
			t.Errorf("%+v: got error %v, want an error and the same state", r, err)
		}
	}
	applyAll(t, a, Record{Step: StepBeginMove, Move: Key{"a", "c", "s"}, Amount: 3}, Record{Step: StepSetDirection, Move: testKey, Seq: 1, Direction: Forward}, Record{Step: StepShift, Move: testKey, Seq: 1, Amount: 7})
}

// BenchmarkShift measures a shift and its messages in a cluster of 1,000 services that stores 4,000 moves, 20 of them open.
func BenchmarkShift(b *testing.B) {
	a := New("a")
	a.Capacity = MaxAmount
	for i := range 1000 {
		s := fmt.Sprintf("s%04d", i)
		a.addReservation(s, 1000)
		for k := range 4 {
			m := Move{ID: ID{Key{"a", string(rune('b' + k)), s}, 1}, Source: true, Amount: 10, Local: 10, HasToken: true, DestinationReady: true, Request: DirectionRequest{1, Forward}, End: Completed, Closed: true}
			if i < 20 && k == 0 {
				m.End, m.Closed, m.Amount, m.Local = Open, false, 1000, 1000
			}
			at, _ := a.findMove(m.ID.Key)
			a.insertMove(at, false, m)
		}
	}
	moveKey := Key{"a", "b", "s0007"}
	b.ReportAllocs()
	for b.Loop() {
		n, err := a.Apply(Record{Step: StepShift, Move: moveKey, Seq: 1, Amount: 10})
		if err != nil || len(n.Outbox()) != 20 {
			b.Fatal(err)
		}
	}
}
