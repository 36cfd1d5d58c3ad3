package simulation

import (
	"math"
	"testing"

	"example.org/bellstream/internal/lab/invariants"
)

// faultySettings returns the settings of a fleet of 40 workers and 40 dispatchers at a load of 0.6. One job in twenty
// takes four slots and is not idempotent. A cold worker tolerates half the load of the site's workers, without
// slack for random peaks: only its slow-start budget prevents its overload.
func faultySettings(seed uint64, tr Faults) FleetSettings {
	return FleetSettings{Seed: seed, Workers: 40, Slots: 5, Dispatchers: 40, MeanWork: 0.5, Load: 0.6, LatencyObjective: 1.6, Timeout: 6,
		Tick: 0.004, Span: 20, WideFraction: 0.05, KeepAlive: 15, DialTimeout: 0.25, DrainGrace: 2, Record: true, Faults: tr,
		Cold: SlowStart{Floor: 0.3, WarmAfter: 8, OverloadMultiple: 1.5, OverloadSpan: 3}}
}

// runChecked runs a fleet and checks the four invariants, and that each job has exactly one answer.
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
		t.Errorf("seed %d: %d violations; %d jobs, %d answers, %d duplicate answers", s.Seed, len(found), r.Jobs, ends, r.Retries)
	}
	return r, f, h
}

func (r FleetResult) served() float64 { return float64(r.InTime+r.Late) / float64(r.Jobs) }

// attemptsByWorker counts the attempts that reached each worker from a time on, in seconds after the start.
func attemptsByWorker(f *Fleet, h *invariants.History, from float64) []int {
	n := make([]int, len(f.workers))
	for _, a := range h.Attempts {
		if a.First >= f.began+from {
			n[f.index[a.Worker]]++
		}
	}
	return n
}

// activePairs counts the pairs of a dispatcher and a worker with attempts from a time on, in seconds after the start.
func activePairs(f *Fleet, h *invariants.History, from float64) int {
	seen := map[[2]string]bool{}
	for _, a := range h.Attempts {
		if a.First >= f.began+from {
			seen[[2]string{a.Dispatcher, a.Worker}] = true
		}
	}
	return len(seen)
}

// shortage returns the fraction of all work for which there are no slots while workers are replaced. A drained
// worker has no slots. Its successor has the slots of its age, in proportion to the dispatchers that can have
// received it in an endpoint list by then.
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

// Six in ten workers are replaced within 7 s, their successors start cold, and endpoint lists are up to 3 s late.
// Only these jobs may be lost: those for which there are no slots; wide jobs while the successors have fewer than four
// slots; and jobs whose three attempts all go to drained workers, of which the dispatcher has not received the drain.
func TestReplacedWorkersWithLateEndpointLists(t *testing.T) {
	for seed := range uint64(3) {
		s := faultySettings(seed, Faults{FaultsFrom: 4, FaultsSpan: 7, ReplacedFraction: 0.6, SuccessorDelay: 1, DrainSpan: 6, MaxEndpointDelay: 3})
		r, f, h := runChecked(t, s)
		narrow := (4/s.Slots - s.Cold.Floor) / (1 - s.Cold.Floor) * s.Cold.WarmAfter // seconds after a start
		gone := s.ReplacedFraction * s.MaxEndpointDelay / s.FaultsSpan               // greatest fraction of the listed workers that are drained
		least := 1 - shortage(f) - s.WideFraction*(s.FaultsSpan+s.SuccessorDelay+narrow)/s.Span - gone*gone*gone*(s.FaultsSpan+s.MaxEndpointDelay)/s.Span
		left, cold := 0, 0
		for _, a := range h.Attempts {
			if i := f.index[a.Worker]; f.drainAt[i] > 0 && a.First > f.drainAt[i] {
				left++
			} else if f.startAt[i] > 0 && a.First < f.startAt[i]+s.Cold.OverloadSpan {
				cold++
			}
		}
		t.Logf("seed %d: %.3f served, want at least %.3f; %d attempts at drained workers, %d at cold ones", seed, r.served(), least, left, cold)
		if r.served() < least || r.Failed > 0 {
			t.Errorf("seed %d: %.3f served and %d failed, want at least %.3f and none", seed, r.served(), r.Failed, least)
		}
		if left < 100 || cold < 100 {
			t.Errorf("seed %d: too few faults: %d attempts at drained workers, %d at cold ones, want 100 each", seed, left, cold)
		}
	}
}

// One in ten workers, otherwise healthy, refuses new connections for 7 s. Their jobs go to other workers: none is lost
// or runs twice because of it. Each dispatcher makes only a few attempts at a refusing worker, and the workers
// receive jobs again afterwards.
func TestRefusingWorkersAreUsedAgain(t *testing.T) {
	for n := range uint64(4) {
		seed, withoutReports := n/2, n%2 == 1 // with health checks, and without: only attempts detect refusals
		baseline, tr := faultySettings(seed, Faults{}), faultySettings(seed, Faults{FaultsFrom: 4, FaultsSpan: 7, RefusingWorkers: 4})
		baseline.WithoutLoadReports, tr.WithoutLoadReports, baseline.KeepAlive, tr.KeepAlive = withoutReports, withoutReports, 1, 1
		want, f, h := runChecked(t, baseline)
		usual := attemptsByWorker(f, h, 15)
		got, f, h := runChecked(t, tr)
		again := attemptsByWorker(f, h, 15)
		back, ever := 0, 0
		for i := range tr.RefusingWorkers {
			back, ever = back+again[i], ever+usual[i]
		}
		t.Logf("seed %d, without reports %v: %.4f served, %.4f without faults; %d attempts refused; %d at these workers in the last 5 s, %d without faults", seed, withoutReports,
			got.served(), want.served(), got.Unreached, back, ever)
		least := want.served() - 0.01
		if withoutReports { // a wide job finds free slots only by trial, in three attempts: those that arrive during the fault may be lost
			least = max(least-tr.WideFraction*tr.FaultsSpan/tr.Span, 0.97)
		}
		if got.served() < least || got.Failed > want.Failed {
			t.Errorf("seed %d, without reports %v: %.4f served and %d failed, without faults %.4f and %d", seed, withoutReports, got.served(), got.Failed, want.served(), want.Failed)
		}
		most := 0
		for _, d := range f.dispatchers {
			for _, n := range d.unreachableByWorker {
				most = max(most, n)
			}
		}
		if most == 0 || most > map[bool]int{false: 2, true: 4}[withoutReports] { // two attempts may be in flight; without reports the worker is tried again after 1, 2 and 4 s
			t.Errorf("seed %d, without reports %v: up to %d refusals of one dispatcher by one worker, want 1 to 2 (1 to 4 without reports)", seed, withoutReports, most)
		}
		if back < ever/2 {
			t.Errorf("seed %d, without reports %v: %d attempts at these workers in the last 5 s, want at least half of %d, the number without faults", seed, withoutReports, back, ever)
		}
	}
}

// Workers send no reports and answer no health checks, so each counts for one slot. At a load of 0.6 no job has to be
// rejected. Guards against a worker that is never tried again after it was full a few times: within a minute two jobs
// in three were rejected while most workers were idle.
func TestFullWorkersAreTriedAgainWithoutReports(t *testing.T) {
	s := faultySettings(1, Faults{})
	s.WithoutLoadReports, s.WideFraction, s.Workers, s.Dispatchers, s.Span = true, 0, 20, 10, 60
	r, f, h := runChecked(t, s)
	least := math.MaxInt
	for _, n := range attemptsByWorker(f, h, 50) {
		least = min(least, n)
	}
	t.Logf("%.4f served; at least %d attempts at each worker in the last 10 s", r.served(), least)
	if mean := r.Jobs / s.Workers / 6; r.served() < 0.99 || least < mean/2 {
		t.Errorf("%.3f served; one worker had %d attempts in the last 10 s, want at least half the mean of %d", r.served(), least, mean)
	}
}

// Half of all dials are slow, by up to 1 s, with a dial timeout of 0.25 s: a quarter of them succeeds. No worker is
// excluded for it: nearly as many pairs of a dispatcher and a worker are active as without faults, and every worker
// keeps receiving jobs.
func TestSlowDialsDoNotExcludeWorkers(t *testing.T) {
	for seed := range uint64(2) {
		baseline, tr := faultySettings(seed, Faults{}), faultySettings(seed, Faults{SlowDialFraction: 0.5, MaxDialDelay: 1})
		baseline.KeepAlive, tr.KeepAlive = 1, 1
		want, f, h := runChecked(t, baseline)
		usual, all := attemptsByWorker(f, h, 10), activePairs(f, h, 10)
		got, f, h := runChecked(t, tr)
		now := activePairs(f, h, 10)
		t.Logf("seed %d: %.4f served, %.4f without faults; %d dials timed out; %d active pairs in the last 10 s, %d without faults", seed, got.served(), want.served(), got.Unreached, now, all)
		for i, n := range attemptsByWorker(f, h, 10) {
			if n < usual[i]/4 {
				t.Errorf("seed %d: %s has %d attempts in the last 10 s, want at least a quarter of %d, the number without faults", seed, f.names[i], n, usual[i])
			}
		}
		if now < all*17/20 {
			t.Errorf("seed %d: %d active pairs in the last 10 s, want at least 17/20 of %d, the number without faults", seed, now, all)
		}
		if got.Unreached < 50 || got.Failed > 0 {
			t.Errorf("seed %d: %d dials timed out, want at least 50; %d jobs failed, want none", seed, got.Unreached, got.Failed)
		}
	}
}

// One dispatcher receives four times the mean traffic while a quarter of the workers are replaced. Its share of the
// reservation, with random variation, covers 1.5 of the 4. The rest is surplus, which is sent only while workers
// report free slots. On average two of five slots are free, so it has to serve the same fraction of its jobs in time as
// the other dispatchers, and these the same as without the extra traffic, within three standard deviations.
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
		others, m := part(r, 1, 40)
		before, _ := part(even, 1, 40)
		sigma := func(p, n float64) float64 { return math.Sqrt(p * (1 - p) / n) }
		t.Logf("seed %d: busy dispatcher: %.0f jobs, %.3f in time; others %.3f, with even traffic %.3f", seed, n, busy, others, before)
		if n < 300 {
			t.Errorf("seed %d: %.0f jobs at the busy dispatcher, want at least 300", seed, n)
		}
		if least := others - 3*sigma(others, n); busy < least {
			t.Errorf("seed %d: busy dispatcher: %.3f of the jobs in time, want at least %.3f", seed, busy, least)
		}
		if least := before - 3*sigma(before, m)*math.Sqrt2; others < least {
			t.Errorf("seed %d: other dispatchers: %.3f of the jobs in time, want at least %.3f", seed, others, least)
		}
	}
}
