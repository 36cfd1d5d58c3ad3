package simulation

import (
	"reflect"
	"testing"
)

// Moves under faults never oversubscribe a service, count no step twice and lose none; all end, and the same seed
// gives the same run. Without reservations at the destination, or without sequence numbers, the same faults
// violate the invariants.
func TestServices(t *testing.T) {
	set := ServicesSettings{Seed: 5, Moves: 20, Faults: true}
	r := Services(set)
	if r.Oversubscribed != 0 || r.DoubleCounted != 0 || r.Lost != 0 || r.OverCapacity != 0 || r.Audit != nil || r.Unfinished != 0 {
		t.Errorf("invariants violated or moves unfinished: %+v", r)
	}
	if r.Partitions == 0 || r.Restarts == 0 || r.Reversals == 0 || r.Refused == 0 || r.Moved == 0 || r.RolledBack == 0 {
		t.Errorf("not every kind of fault and outcome occurred: %+v", r)
	}
	if again := Services(set); !reflect.DeepEqual(r, again) {
		t.Errorf("two runs of one seed differ: %+v, then %+v", r, again)
	}
	set.WithoutReservation = true
	if r := Services(set); r.OverCapacity == 0 || len(r.Audit) == 0 {
		t.Errorf("without reservation: no violation found: %+v", r)
	}
	set.WithoutReservation, set.WithoutSequenceNumbers = false, true
	if r := Services(set); r.Oversubscribed == 0 || r.DoubleCounted == 0 || len(r.Audit) == 0 {
		t.Errorf("without sequence numbers: a violation was not found: %+v", r)
	}
}
