package lease

import (
	"reflect"
	"testing"
)

func FuzzDecode(f *testing.F) {
	s := newStateInForce(&testing.T{})
	e, _ := s.View().Proposal(tableWithReservation(20, 1), "n2", 1)
	s.Apply(1, e)
	raw, _ := e.Marshal()
	f.Add(raw)
	f.Add(s.Snapshot())
	f.Add(Request{"c", "n1", 7, 1, s.Revision(), 5}.Marshal())
	f.Add(Grant{"c", "n1", 7, 1, 3, s.Revision(), s.View()}.Marshal())
	f.Add(Release{"c", "n1", 7}.Marshal())
	f.Fuzz(func(t *testing.T, raw []byte) {
		// A message that can be decoded is valid: encoding, decoding and applying it succeeds.
		if e, err := UnmarshalEntry(raw); err == nil {
			again, err := e.Marshal()
			if x, err2 := UnmarshalEntry(again); err != nil || err2 != nil || !reflect.DeepEqual(x, e) {
				t.Errorf("entry %+v: encoding returned %v, decoding it again %v", e, err, err2)
			}
			newStateInForce(t).Apply(1, e)
		}
		var s State
		if s.Restore(raw) == nil {
			var restored State
			if err := restored.Restore(s.Snapshot()); err != nil || !reflect.DeepEqual(s, restored) {
				t.Errorf("restoring the snapshot of a state: error %v, or another state than %+v", err, s)
			}
		}
		if q, err := UnmarshalRequest(raw); err == nil {
			g := NewGrantor(DefaultSettings, newStateInForce(t))
			g.SetTerm(0, 1)
			g.Grant(0, 1, q)
		}
		if g, err := UnmarshalGrant(raw); err == nil {
			h := NewHolder(g.Instance, g.Incarnation, DefaultSettings)
			h.NextRequest(0)
			h.HandleGrant(0, g)
			h.EffectiveConfig(0)
		}
		UnmarshalRelease(raw)
	})
}
