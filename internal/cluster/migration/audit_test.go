package migration

import (
	"testing"
)

// TestAudit checks that Audit finds each kind of violation in journals that contain it, and none in a valid pair.
func TestAudit(t *testing.T) {
	id := ID{testKey, 1}
	receive := func(messageType MessageType, source bool, number uint64, a Amount) Record {
		return Record{Step: StepReceive, Message: Message{Type: messageType, ID: id, Source: source, Number: number, Amount: a, Request: DirectionRequest{1, Forward}}}
	}
	a := Journal{"a", []Entry{{1, Record{Step: StepSetCapacity, Amount: 10}}, {1, Record{Step: StepReserve, Service: "s", Amount: 10}}, {2, Record{Step: StepBeginMove, Move: testKey, Amount: 10}},
		{4, receive(MessageHold, false, 0, 0)}, {5, Record{Step: StepShift, Move: testKey, Seq: 1, Amount: 4}}}}
	b := Journal{"b", []Entry{{1, Record{Step: StepSetCapacity, Amount: 10}}, {3, receive(MessageOffer, true, 0, 10)}, {6, receive(MessageShift, true, 1, 4)}}}
	if v := Audit(a, b); v != nil {
		t.Fatal(v)
	}
	for problem, c := range map[string]struct {
		a, b []Entry
		by   Amount
	}{
		"more is usable than is reserved": {b: []Entry{{7, receive(MessageShift, true, 2, 1)}}, by: 1},
		"a step is lost":                  {a: []Entry{{5.5, receive(MessageAck, false, 1, 0)}, {5.6, Record{Step: StepShift, Move: testKey, Seq: 1, Amount: 6}}, {5.7, receive(MessageAck, false, 2, 0)}}, by: 10},
		"continues a move that the other side ended without complete knowledge":                 {b: []Entry{{7, receive(MessageDone, true, 1, 0)}}, by: 4},
		"shifts to a cluster that holds no capacity for the move":                               {a: []Entry{{2.5, receive(MessageHold, false, 0, 0)}}, by: 0},
		"applied a record that is not allowed: " + (&InsufficientCapacityError{"b", 1}).Error(): {b: []Entry{{7, Record{Step: StepReserve, Service: "t", Amount: 1}}}, by: 0},
	} {
		entries := append([]Entry(nil), a.Entries...)
		if problem == "shifts to a cluster that holds no capacity for the move" {
			entries = entries[:3]
		}
		found := false
		for _, v := range Audit(Journal{"a", append(entries, c.a...)}, Journal{"b", append(append([]Entry(nil), b.Entries...), c.b...)}) {
			found = found || v.Problem == problem && v.By == c.by && v.At > 0
		}
		if !found {
			t.Errorf("violation %q by %d: not found in %v", problem, c.by, Audit(Journal{"a", append(entries, c.a...)}, Journal{"b", append(append([]Entry(nil), b.Entries...), c.b...)}))
		}
	}
}
