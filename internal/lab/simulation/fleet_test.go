package simulation

import "testing"

func TestFleetIsDeterministic(t *testing.T) {
	s := FleetSettings{Seed: 4, Workers: 20, Slots: 4, Dispatchers: 3, MeanWork: 0.2, Load: 0.7, LatencyObjective: 1, Timeout: 3, Tick: 0.004, Span: 4}
	var digests []uint64
	for _, seed := range []uint64{4, 4, 5} {
		s.Seed = seed
		f, err := NewFleet(s)
		if err != nil {
			t.Fatal(err)
		}
		r := f.Run()
		if r.Jobs != r.InTime+r.Late+r.Rejected+r.Failed || r.Jobs < 900 || r.InTime < r.Jobs*9/10 || r.Ideal < r.InTime {
			t.Errorf("unexpected result: %+v", r)
		}
		digests = append(digests, r.Digest)
	}
	if digests[0] != digests[1] || digests[0] == digests[2] {
		t.Errorf("got digests %x, want the first two equal and the third different", digests)
	}
}

// Guards against jobs that wait for health checks in a large fleet. At 1,250 jobs per second and dispatcher some health
// check is always unanswered: a job that waited for it, as in a small fleet, delayed all others, and two of
// sixteen dispatchers rejected a quarter of their jobs.
func TestLargeFleetDoesNotWaitForHealthChecks(t *testing.T) {
	f, err := NewFleet(FleetSettings{Seed: 21, Workers: 2000, Slots: 4, Dispatchers: 16, MeanWork: 0.3, Load: 0.75, LatencyObjective: 1.5, Timeout: 4, Tick: 0.004, Span: 3})
	if err != nil {
		t.Fatal(err)
	}
	if r := f.Run(); r.Rejected > r.Jobs/1000 || r.InTime < r.Ideal*99/100 {
		t.Errorf("unexpected result: %+v", r)
	}
}

// Guards against jobs of one slot that are spread so evenly that no worker has room for a wide one. Dispatchers keep
// the same workers free for wide jobs by a shared order of worker IDs. With distinct IDs there is no shared order.
func TestWideJobsFindRoom(t *testing.T) {
	part := func(own bool) float64 {
		f, err := NewFleet(FleetSettings{Seed: 9, Workers: 60, Slots: 5, Dispatchers: 80, MeanWork: 0.5, Load: 0.75,
			LatencyObjective: 1.6, Timeout: 6, Tick: 0.004, Span: 12, WideFraction: 0.1, KeepAlive: 15, DistinctWorkerIDs: own})
		if err != nil {
			t.Fatal(err)
		}
		r := f.Run()
		return float64(r.WideInTime) / float64(r.Wide)
	}
	if shared, none := part(false), part(true); shared < none+0.02 {
		t.Errorf("%.3f of the wide jobs in time with a shared order, %.3f without; want at least 0.02 more", shared, none)
	}
}
