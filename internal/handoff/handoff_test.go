package handoff

import (
	"fmt"
	"reflect"
	"testing"
)

func TestCordonAndUncordon(t *testing.T) {
	s := &OperatorState{}
	a, _ := s.Cordon("w", 5)
	b, _ := a.Cordon("w", 9)
	if s.IsCordoned("w") || !a.IsCordoned("w") || b.Cordoned["w"] != 5 {
		t.Errorf("cordoned twice: got %+v, want the first time and unchanged earlier states", b)
	}
	if c := b.Uncordon("w"); c.IsCordoned("w") || !b.IsCordoned("w") {
		t.Errorf("uncordoned after two cordons: got %+v", c)
	}
	for n := range MaxCordoned {
		b, _ = b.Cordon(fmt.Sprint(n), 1)
	}
	if _, err := b.Cordon("one more", 1); err == nil {
		t.Error("more than MaxCordoned workers were cordoned without an error")
	}
}

// Decode returns the state that was encoded, and an error for a truncated or invalid file.
func TestDecode(t *testing.T) {
	s, _ := (&OperatorState{}).SetPaused(true).Cordon("s-1", 1.5)
	raw := s.Encode()
	if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("got %+v, %v", got, err)
	}
	for n := range len(raw) - 1 {
		if got, err := Decode(raw[:n]); err == nil {
			t.Errorf("truncated to %d bytes: got %+v, want an error", n, got)
		}
	}
	for _, raw := range []string{`{"version":2,"out":{},"paused":false}`, `{"version":1,"out":[],"paused":false}`,
		`{"version":1,"out":{"w":"x"},"paused":false}`, `{"version":1,"out":{}}`} {
		if got, err := Decode([]byte(raw)); err == nil {
			t.Errorf("%s: got %+v, want an error", raw, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	s, _ := (&OperatorState{}).Cordon("s-1", 1.5)
	f.Add(s.Encode())
	f.Add([]byte(`{"version":1,"out":null,"paused":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Decode(raw)
		if err != nil {
			return
		}
		if again, err := Decode(s.Encode()); err != nil || !reflect.DeepEqual(again, s) {
			t.Fatalf("%+v was decoded as %+v, %v", s, again, err)
		}
	})
}

// Among the processes that can be ready (r), starting (s) or draining (d), at least one leads: the ready one with
// the highest ID, or all of them if none is ready.
func TestIsLeader(t *testing.T) {
	for _, c := range []struct {
		running string
		leads   string
	}{
		{"1s", "1"}, {"1r", "1"}, {"1r2s", "1"}, {"1r2r", "2"}, {"1d2r", "2"}, {"1r2d", "1"}, {"1s2s", "12"},
		{"1r2s3r", "3"}, {"3r2r1r", "3"}, {"1d2d", "12"}, {"1r2r3d", "2"},
	} {
		var running []Process
		for n := 0; n < len(c.running); n += 2 {
			running = append(running, Process{uint64(c.running[n] - '0'), map[byte]ProcessState{'s': Starting, 'r': Ready, 'd': Draining}[c.running[n+1]]})
		}
		leads := ""
		for id := uint64(1); id <= 3; id++ {
			for _, p := range running {
				if p.ID == id && IsLeader(id, running) {
					leads += fmt.Sprint(id)
				}
			}
		}
		if leads != c.leads {
			t.Errorf("%s: got leaders %s, want %s", c.running, leads, c.leads)
		}
	}
}
