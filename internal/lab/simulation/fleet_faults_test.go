package simulation

import (
	"math"
	"testing"

	"example.org/bellstream/internal/lab/invariants"
)

// faultySettings is a fleet of 40 workers before 40 dispatchers, six in ten slots in use, of which
// a job in twenty takes four and must not run twice. A cold worker bears half of what the site's do, without
// slack for chance: so its budget alone keeps it up.
func faultySettings(seed uint64, tr Faults) FleetSettings {
	return FleetSettings{Seed: seed, Workers: 40, Slots: 5, Dispatchers: 40, MeanWork: 0.5, Load: 0.6, LatencyObjective: 1.6, Timeout: 6,
		Tick: 0.004, Span: 20, WideFraction: 0.05, KeepAlive: 15, DialTimeout: 0.25, DrainGrace: 2, Record: true, Faults: tr,
		Cold: SlowStart{Floor: 0.3, WarmAfter: 8, OverloadMultiple: 1.5, OverloadSpan: 3}}
}

// runChecked plays a fleet and holds it to the four rules and to one answer a job.
func runChecked(t *testing.T, s FleetSettings) (FleetResult, *Fleet, *invariants.History) {
	t.Helper()
	f, err := NewFleet(s)
	if err != nil {
		t.Fatal(err)
	}
	r, h := f.Run(), f.History()
	found := h.Check()
	for _, x := range found[:min(len(found), 3)] {
		t.Errorf("seed %d: %v", s.Seed, x)
	}
	if ends := r.InTime + r.Late + r.Rejected + r.Failed; len(found) > 3 || ends != r.Jobs || r.Retries > 0 {
		t.Errorf("seed %d: %d findings; %d jobs, %d answers, %d second ones", s.Seed, len(found), r.Jobs, ends, r.Retries)
	}
	return r, f, h
}

func (r FleetResult) served() float64 { return float64(r.InTime+r.Late) / float64(r.Jobs) }

// attemptsByWorker counts by worker what reached it from a time on, counted from the start.
func attemptsByWorker(f *Fleet, h *invariants.History, from float64) []int {
	n := make([]int, len(f.workers))
	for _, a := range h.Attempts {
		if a.First >= f.began+from {
			n[f.index[a.Worker]]++
		}
	}
	return n
}

// activePairs counts the dispatchers and workers between which jobs went from a time on.
func activePairs(f *Fleet, h *invariants.History, from float64) int {
	seen := map[[2]string]bool{}
	for _, a := range h.Attempts {
		if a.First >= f.began+from {
			seen[[2]string{a.Dispatcher, a.Worker}] = true
		}
	}
	return len(seen)
}

// shortage is the part of all work for which there are no slots while workers are replaced:
// one that has left gives none, its successor those that it has by its age, for the part
// of the dispatchers that can have heard of it.
func shortage(f *Fleet) float64 {
	load, lost, span := f.Load*float64(f.Workers)*f.Slots, 0.0, 0.0
	for at := f.began; at < f.began+f.Span; at += f.Tick {
		slots := 0.0
		for i := range f.workers {
			if age := at - f.startAt[i]; f.startAt[i] == 0 && (f.drainAt[i] == 0 || at < f.drainAt[i]) {
				slots += f.Slots
			} else if f.startAt[i] > 0 && age > 0 {
				slots += f.Slots * min(1, f.Cold.Floor+(1-f.Cold.Floor)*age/f.Cold.WarmAfter) * min(1, age/f.MaxEndpointDelay)
			}
		}
		lost, span = lost+max(0, load-slots)*f.Tick, span+f.Tick
	}
	return lost / (load * span)
}

// Six in ten workers leave within 7 s, their successors start cold, and lists come up to 3 s late.
// Lost may be: what there are no slots for; wide jobs while the successors have less than four
// slots; and jobs that meet three workers in a row that have left, of which nothing was heard yet.
func TestSixInTenAreReplacedWhileListsComeLate(t *testing.T) {
	for seed := range uint64(3) {
		s := faultySettings(seed, Faults{FaultsFrom: 4, FaultsSpan: 7, ReplacedFraction: 0.6, SuccessorDelay: 1, DrainSpan: 6, MaxEndpointDelay: 3})
		r, f, h := runChecked(t, s)
		narrow := (4/s.Slots - s.Cold.Floor) / (1 - s.Cold.Floor) * s.Cold.WarmAfter // for so long after a start
		gone := s.ReplacedFraction * s.MaxEndpointDelay / s.FaultsSpan               // of all listed workers at most
		least := 1 - shortage(f) - s.WideFraction*(s.FaultsSpan+s.SuccessorDelay+narrow)/s.Span - gone*gone*gone*(s.FaultsSpan+s.MaxEndpointDelay)/s.Span
		left, cold := 0, 0
		for _, a := range h.Attempts {
			if i := f.index[a.Worker]; f.drainAt[i] > 0 && a.First > f.drainAt[i] {
				left++
			} else if f.startAt[i] > 0 && a.First < f.startAt[i]+s.Cold.OverloadSpan {
				cold++
			}
		}
		t.Logf("seed %d: %.3f served, at least %.3f wanted; %d sends to those that had left, %d to cold ones", seed, r.served(), least, left, cold)
		if r.served() < least || r.Failed > 0 {
			t.Errorf("seed %d: %.3f served and %d failed, want %.3f and none", seed, r.served(), r.Failed, least)
		}
		if left < 100 || cold < 100 {
			t.Errorf("seed %d: the trouble did not come: %d sends to workers that had left, %d to cold ones", seed, left, cold)
		}
	}
}

// Workers that are well refuse new connections for 7 s, one in ten. Their jobs go elsewhere, none is lost
// for it or runs twice; each dispatcher finds out once, and they get back to work.
func TestRefusingWorkersGetBackToWork(t *testing.T) {
	for n := range uint64(4) {
		seed, blind := n/2, n%2 == 1 // with probes, and where only jobs can find out
		calm, tr := faultySettings(seed, Faults{}), faultySettings(seed, Faults{FaultsFrom: 4, FaultsSpan: 7, RefusingWorkers: 4})
		calm.WithoutLoadReports, tr.WithoutLoadReports, calm.KeepAlive, tr.KeepAlive = blind, blind, 1, 1
		want, f, h := runChecked(t, calm)
		usual := attemptsByWorker(f, h, 15)
		got, f, h := runChecked(t, tr)
		again := attemptsByWorker(f, h, 15)
		back, ever := 0, 0
		for i := range tr.RefusingWorkers {
			back, ever = back+again[i], ever+usual[i]
		}
		t.Logf("seed %d, blind %v: %.4f served, %.4f in calm; %d met a refusal; %d jobs there in the last 5 s, %d in calm", seed, blind,
			got.served(), want.served(), got.Unreached, back, ever)
		least := want.served() - 0.01
		if blind { // a wide job finds its room by being turned away, and has three attempts: those that come meanwhile may be lost
			least = max(least-tr.WideFraction*tr.FaultsSpan/tr.Span, 0.97)
		}
		if got.served() < least || got.Failed > want.Failed {
			t.Errorf("seed %d, blind %v: %.4f served and %d failed, %.4f and %d in calm", seed, blind, got.served(), got.Failed, want.served(), want.Failed)
		}
		most := 0
		for _, d := range f.dispatchers {
			for _, n := range d.unreachableByWorker {
				most = max(most, n)
			}
		}
		if most == 0 || most > map[bool]int{false: 2, true: 4}[blind] { // two may be under way; by jobs alone it is tried after 1, 2 and 4 s
			t.Errorf("seed %d, blind %v: a dispatcher met up to %d refusals at one worker", seed, blind, most)
		}
		if back < ever/2 {
			t.Errorf("seed %d, blind %v: %d jobs reach them in the last 5 s, %d in calm", seed, blind, back, ever)
		}
	}
}

// Workers that tell of nothing, not even when asked: each counts for one slot. Six in ten slots are in use, so nothing
// need be refused. One that had been full some times was never tried again, and over a minute two jobs in three
// were refused, while most workers stood idle.
func TestFullWorkersAreTriedAgainWithoutReports(t *testing.T) {
	s := faultySettings(1, Faults{})
	s.WithoutLoadReports, s.WideFraction, s.Workers, s.Dispatchers, s.Span = true, 0, 20, 10, 60
	r, f, h := runChecked(t, s)
	least := math.MaxInt
	for _, n := range attemptsByWorker(f, h, 50) {
		least = min(least, n)
	}
	t.Logf("%.4f served; %d jobs at least at a worker in the last 10 s", r.served(), least)
	if mean := r.Jobs / s.Workers / 6; r.served() < 0.99 || least < mean/2 {
		t.Errorf("%.3f served; one worker got %d jobs in the last 10 s, the mean is %d", r.served(), least, mean)
	}
}

// Half of all new connections come up late, by up to 1 s, a quarter of which is waited for. No worker is
// left for it: as many dispatchers as ever send to as many workers, and none of them goes short.
func TestLateConnectionsDoNotCostAWorkerItsWork(t *testing.T) {
	for seed := range uint64(2) {
		calm, tr := faultySettings(seed, Faults{}), faultySettings(seed, Faults{SlowDialFraction: 0.5, MaxDialDelay: 1})
		calm.KeepAlive, tr.KeepAlive = 1, 1
		want, f, h := runChecked(t, calm)
		usual, all := attemptsByWorker(f, h, 10), activePairs(f, h, 10)
		got, f, h := runChecked(t, tr)
		now := activePairs(f, h, 10)
		t.Logf("seed %d: %.4f served, %.4f in calm; %d never came up; %d pairs in the last 10 s, %d in calm", seed, got.served(), want.served(), got.Unreached, now, all)
		for i, n := range attemptsByWorker(f, h, 10) {
			if n < usual[i]/4 {
				t.Errorf("seed %d: %s gets %d jobs in the last 10 s, %d in calm", seed, f.names[i], n, usual[i])
			}
		}
		if now < all*17/20 {
			t.Errorf("seed %d: jobs go between %d pairs in the last 10 s, %d in calm", seed, now, all)
		}
		if got.Unreached < 50 || got.Failed > 0 {
			t.Errorf("seed %d: %d connections never came up, %d jobs failed", seed, got.Unreached, got.Failed)
		}
	}
}

// One dispatcher has four times the mean traffic, while a quarter of the workers are replaced. Its slice of the reservation, and what
// chance explains, are 1.5 of the 4: the rest is surplus, which may leave while workers show room. With
// two of five slots free in the mean they do, so it has to serve as much of its jobs as its
// fellows do of theirs, and these as much as without it, but for chance: three sigma.
func TestBusyDispatcherServesItsShare(t *testing.T) {
	for seed := range uint64(3) {
		tr := Faults{FaultsFrom: 4, FaultsSpan: 7, ReplacedFraction: 0.25, SuccessorDelay: 1, DrainSpan: 6, MaxEndpointDelay: 1}
		even, _, _ := runChecked(t, faultySettings(seed, tr))
		tr.FirstDispatcherLoad = 4
		r, _, _ := runChecked(t, faultySettings(seed, tr))
		part := func(r FleetResult, from, to int) (p, n float64) {
			for _, x := range r.ByDispatcher[from:to] {
				p, n = p+float64(x.InTime), n+float64(x.Jobs)
			}
			return p / n, n
		}
		busy, n := part(r, 0, 1)
		fellows, m := part(r, 1, 40)
		before, _ := part(even, 1, 40)
		sigma := func(p, n float64) float64 { return math.Sqrt(p * (1 - p) / n) }
		t.Logf("seed %d: %.0f jobs, %.3f in time; its fellows %.3f, without it %.3f", seed, n, busy, fellows, before)
		if n < 300 {
			t.Errorf("seed %d: only %.0f jobs came to the busy one", seed, n)
		}
		if least := fellows - 3*sigma(fellows, n); busy < least {
			t.Errorf("seed %d: %.3f of its jobs in time, want %.3f", seed, busy, least)
		}
		if least := before - 3*sigma(before, m)*math.Sqrt2; fellows < least {
			t.Errorf("seed %d: its fellows have %.3f in time, want %.3f", seed, fellows, least)
		}
	}
}
