package virtual

import "testing"

func TestFleetIsTheSameAgain(t *testing.T) {
	s := FleetSettings{Seed: 4, Workers: 20, Slots: 4, Dispatchers: 3, Mean: 0.2, Load: 0.7, Aim: 1, Patience: 3, Tick: 0.004, Span: 4}
	var digests []uint64
	for _, seed := range []uint64{4, 4, 5} {
		s.Seed = seed
		f, err := NewFleet(s)
		if err != nil {
			t.Fatal(err)
		}
		r := f.Run()
		if r.Jobs != r.InTime+r.Late+r.Refused+r.Failed || r.Jobs < 900 || r.InTime < r.Jobs*9/10 || r.Ideal < r.InTime {
			t.Errorf("%+v", r)
		}
		digests = append(digests, r.Digest)
	}
	if digests[0] != digests[1] || digests[0] == digests[2] {
		t.Errorf("digests %x", digests)
	}
}
