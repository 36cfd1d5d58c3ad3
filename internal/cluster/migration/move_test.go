package migration

import (
	"fmt"
	"testing"
)

// applyAll applies records that have to be allowed.
func applyAll(t *testing.T, s *State, records ...Record) *State {
	t.Helper()
	for _, r := range records {
		n, err := s.Apply(r)
		if err != nil {
			t.Fatalf("%+v: %v", r, err)
		}
		s = n
	}
	return s
}

// An older request never replaces a newer one, and what one open move may still
// take away can't be offered by another.
func TestRequestsAndClaims(t *testing.T) {
	a := applyAll(t, New("a"), Record{Step: StepSetCapacity, Amount: 20}, Record{Step: StepReserve, Service: "s", Amount: 10}, Record{Step: StepBeginMove, Move: testKey, Amount: 7})
	b := applyAll(t, New("b"), Record{Step: StepSetCapacity, Amount: 20}, Record{Step: StepReceive, Message: a.Outbox()[0]})
	old := a.Outbox()[0]
	a = applyAll(t, a, Record{Step: StepReceive, Message: b.Outbox()[0]}, Record{Step: StepSetDirection, Move: testKey, Seq: 1, Direction: Stop})
	b = applyAll(t, b, Record{Step: StepReceive, Message: a.Outbox()[0]}, Record{Step: StepReceive, Message: old})
	if w := b.Move(testKey).Request; w != (DirectionRequest{2, Stop}) {
		t.Errorf("%+v", w)
	}
	for _, r := range []Record{{Step: StepBeginMove, Move: Key{"a", "c", "s"}, Amount: 4}, {Step: StepReserve, Service: "s", Amount: -4}, {Step: StepBeginMove, Move: testKey, Amount: 1},
		{Step: StepShift, Move: testKey, Seq: 1, Amount: 1}, {Step: StepPassToken, Move: testKey, Seq: 1}, {Step: StepFinish, Move: testKey, Seq: 2}} {
		if n, err := a.Apply(r); err == nil || n != a {
			t.Errorf("%+v: %v", r, err)
		}
	}
	applyAll(t, a, Record{Step: StepBeginMove, Move: Key{"a", "c", "s"}, Amount: 3}, Record{Step: StepSetDirection, Move: testKey, Seq: 1, Direction: Forward}, Record{Step: StepShift, Move: testKey, Seq: 1, Amount: 7})
}

// A shift and its messages in a cluster of 1,000 services that stores 4,000 moves.
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
	at := Key{"a", "b", "s0007"}
	b.ReportAllocs()
	for b.Loop() {
		n, err := a.Apply(Record{Step: StepShift, Move: at, Seq: 1, Amount: 10})
		if err != nil || len(n.Outbox()) != 20 {
			b.Fatal(err)
		}
	}
}
