package simulation

import (
	"math"
	"math/rand/v2"
	"testing"
)

// smallTasks returns the settings of a fleet of 80 slots in two regions with the given load.
func smallTasks(seed uint64, part float64) TaskSettings {
	s := TaskSettings{Seed: seed, Regions: []int{0, 0, 1}, Dispatchers: []int{0, 1, 2}, MeanWork: 2, AcceleratedFraction: 0.2,
		Work: func(r *rand.Rand) float64 { return 2 * math.Exp(r.NormFloat64()-0.5) }, UrgentObjective: 2, WarmUp: 4, Window: 20, Tail: 65}
	for i := range 20 {
		s.Workers = append(s.Workers, TaskWorker{Zone: i % 3, Slots: 4, Accelerated: i%5 == 0})
	}
	rate := part * 80 / s.MeanWork
	for i, name := range []string{"a", "b", "c", "d"} {
		s.Teams = append(s.Teams, TaskTeam{Name: name, Rate: rate / 4, Quota: rate / 4, Enters: [][]int{{0}, {1, 2}, {0, 1, 2}, {2}}[i]})
	}
	s.Gangs = []Gangs{{Size: 2, Rate: rate / 20}, {Size: 8, Rate: rate / 80}}
	s.UrgentRate, s.InitialTasks = rate/20, int(part*80)
	return s
}

func runTasks(t *testing.T, s TaskSettings) TaskResult {
	t.Helper()
	w, err := NewTasks(s)
	if err != nil {
		t.Fatal(err)
	}
	r := w.Run()
	for _, g := range r.Gangs {
		if len(g.Spread) != g.Within60 || g.Within10 > g.Within60 || g.Within60 > g.Arrived || g.WastedSlotSeconds > g.HeldSlotSeconds {
			t.Errorf("inconsistent gang result: %+v", g)
		}
	}
	for _, part := range r.Avoidable {
		if part < 0 || part > s.Window+s.Tail {
			t.Errorf("avoidable wait of %v s, want between 0 and the time until the end of the run", part)
		}
	}
	if len(r.Avoidable) != r.Arrived || len(r.AvoidableAccelerated) != len(r.Accelerated) {
		t.Errorf("%d tasks, but %d avoidable waits", r.Arrived, len(r.Avoidable))
	}
	if ended := r.Started + r.Rejected + r.Failed; r.Unanswered > 0 || r.MostRunning > 80 || r.Running > 80 || ended > r.Arrived || len(r.Waits) != r.Started {
		t.Errorf("inconsistent result: %+v", r)
	}
	return r
}

func TestTasksAreDeterministic(t *testing.T) {
	a, b, c := runTasks(t, smallTasks(3, 0.7)), runTasks(t, smallTasks(3, 0.7)), runTasks(t, smallTasks(4, 0.7))
	if a.Digest != b.Digest || a.Digest == c.Digest {
		t.Errorf("digests %x and %x of one seed, %x of another; want only the first two equal", a.Digest, b.Digest, c.Digest)
	}
}

// The results for tasks, gangs and urgent tasks differ as expected between a fleet with free slots and a full one.
func TestTasksWithAndWithoutFreeSlots(t *testing.T) {
	some, full := smallTasks(5, 0.4), smallTasks(5, 1.3)
	some.Window, full.Window = 60, 60
	room, none := runTasks(t, some), runTasks(t, full)
	if room.Arrived < 600 || room.Started < room.Arrived || room.Rejected > 0 || math.Abs(room.Running/32-1) > 0.3 {
		t.Errorf("with free slots: %d arrived, %d started, %d rejected, %.1f running on average; want all started and 32 running", room.Arrived, room.Started, room.Rejected, room.Running)
	}
	if none.Running < 70 || quantile(none.Waits, 0.5) < 10*quantile(room.Waits, 0.5) {
		t.Errorf("full fleet: %.1f of 80 slots used; median wait %v s, with free slots %v s; want 70 and a tenfold wait", none.Running, quantile(none.Waits, 0.5), quantile(room.Waits, 0.5))
	}
	// With free slots nearly all of the wait is avoidable, in a full fleet almost none.
	if sum(room.Avoidable) < 0.9*sum(room.Waits) || sum(none.Avoidable) > 0.1*sum(none.Waits) {
		t.Errorf("avoidable wait: %.1f of %.1f s with free slots, %.1f of %.1f s in a full fleet", sum(room.Avoidable), sum(room.Waits), sum(none.Avoidable), sum(none.Waits))
	}
	for i, g := range room.Gangs {
		h := none.Gangs[i]
		if g.Arrived < 5 || g.Within10 < g.Arrived || g.WastedSlotSeconds > 0 || h.Arrived < 5 || h.HeldSlotSeconds/float64(h.Arrived) < 3*g.HeldSlotSeconds/float64(g.Arrived) {
			t.Errorf("gangs of %d: with free slots %+v, in a full fleet %+v", g.Size, g, h)
		}
	}
	if len(room.Urgent) < 5 || quantile(room.Urgent, 1) > 1 || quantile(none.Urgent, 1) < quantile(room.Urgent, 1) {
		t.Errorf("waits of urgent tasks: with free slots %v, in a full fleet %v", room.Urgent, none.Urgent)
	}
}

// With UrgentTeamReservation all urgent tasks, and no others, belong to the separate team.
func TestUrgentTasksOfSeparateTeam(t *testing.T) {
	s := smallTasks(8, 0.4)
	s.UrgentTeamReservation = 2 * s.UrgentRate
	w, err := NewTasks(s)
	if err != nil {
		t.Fatal(err)
	}
	r := w.Run()
	for _, x := range w.tasks {
		if (x.kind == urgentTask) != (x.team == len(s.Teams)) {
			t.Fatalf("task of kind %d belongs to team %d", x.kind, x.team)
		}
	}
	if len(r.Urgent) < 5 || quantile(r.Urgent, 1) > 2 || len(s.Teams) != 4 {
		t.Errorf("waits of urgent tasks %v, want at least 5 of at most 2 s; %d teams in the settings, want 4", r.Urgent, len(s.Teams))
	}
}

// A gang larger than the fleet never starts completely: its tasks hold their slots until it is abandoned, not longer.
func TestGangLargerThanFleetIsAbandoned(t *testing.T) {
	s := smallTasks(6, 0.01)
	s.Gangs, s.UrgentRate, s.InitialTasks, s.AcceleratedFraction, s.Window = []Gangs{{Size: 100, Rate: 0.1}}, 0, 0, 0, 20
	r := runTasks(t, s)
	g := r.Gangs[0]
	if g.Arrived == 0 || g.Within60 > 0 || g.HeldSlotSeconds != g.WastedSlotSeconds || g.WastedSlotSeconds < 40*gangTimeoutSeconds || g.WastedSlotSeconds > 64*gangTimeoutSeconds*float64(g.Arrived) {
		t.Errorf("unexpected gang result: %+v", g)
	}
}

// quantile returns the p-quantile of a sorted list.
func quantile(list []float64, p float64) float64 { return list[int(p*float64(len(list)-1))] }

func sum(list []float64) (s float64) {
	for _, x := range list {
		s += x
	}
	return s
}
