package simulation

import (
	"math"
	"math/rand/v2"
	"testing"
)

// smallTasks is a world of 80 slots in two regions, of which a part is asked for.
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
			t.Errorf("%+v", g)
		}
	}
	for _, part := range r.Avoidable {
		if part < 0 || part > s.Window+s.Tail {
			t.Errorf("of a wait %v were avoidable", part)
		}
	}
	if len(r.Avoidable) != r.Arrived || len(r.AvoidableAccelerated) != len(r.Accelerated) {
		t.Errorf("%d tasks, %d avoidable parts", r.Arrived, len(r.Avoidable))
	}
	if ended := r.Started + r.Rejected + r.Failed; r.Unanswered > 0 || r.MostRunning > 80 || r.Running > 80 || ended > r.Arrived || len(r.Waits) != r.Started {
		t.Errorf("%+v", r)
	}
	return r
}

func TestTasksAreTheSameAgain(t *testing.T) {
	a, b, c := runTasks(t, smallTasks(3, 0.7)), runTasks(t, smallTasks(3, 0.7)), runTasks(t, smallTasks(4, 0.7))
	if a.Digest != b.Digest || a.Digest == c.Digest {
		t.Errorf("digests %x, %x, other seed %x", a.Digest, b.Digest, c.Digest)
	}
}

// What a fleet with room does with tasks, gangs and urgent ones, and a full one: the world can tell them apart.
func TestTasksInRoomAndInNone(t *testing.T) {
	some, full := smallTasks(5, 0.4), smallTasks(5, 1.3)
	some.Window, full.Window = 60, 60
	room, none := runTasks(t, some), runTasks(t, full)
	if room.Arrived < 600 || room.Started < room.Arrived || room.Rejected > 0 || math.Abs(room.Running/32-1) > 0.3 {
		t.Errorf("with room %d came, %d started, %d were refused, %.1f ran", room.Arrived, room.Started, room.Rejected, room.Running)
	}
	if none.Running < 70 || quantile(none.Waits, 0.5) < 10*quantile(room.Waits, 0.5) {
		t.Errorf("in a full fleet %.1f of 80 ran, waits %v and %v", none.Running, quantile(none.Waits, 0.5), quantile(room.Waits, 0.5))
	}
	// With room nearly all of a wait is avoidable, in a full fleet next to nothing.
	if sum(room.Avoidable) < 0.9*sum(room.Waits) || sum(none.Avoidable) > 0.1*sum(none.Waits) {
		t.Errorf("avoidable %.1f of %.1f s with room, %.1f of %.1f with none", sum(room.Avoidable), sum(room.Waits), sum(none.Avoidable), sum(none.Waits))
	}
	for i, g := range room.Gangs {
		h := none.Gangs[i]
		if g.Arrived < 5 || g.Within10 < g.Arrived || g.WastedSlotSeconds > 0 || h.Arrived < 5 || h.HeldSlotSeconds/float64(h.Arrived) < 3*g.HeldSlotSeconds/float64(g.Arrived) {
			t.Errorf("gangs of %d: with room %+v, with none %+v", g.Size, g, h)
		}
	}
	if len(room.Urgent) < 5 || quantile(room.Urgent, 1) > 1 || quantile(none.Urgent, 1) < quantile(room.Urgent, 1) {
		t.Errorf("urgent with room %v, with none %v", room.Urgent, none.Urgent)
	}
}

// Urgent tasks of a team of their own are no other team's, and they alone are its.
func TestUrgentAsATeam(t *testing.T) {
	s := smallTasks(8, 0.4)
	s.UrgentTeamReservation = 2 * s.UrgentRate
	w, err := NewTasks(s)
	if err != nil {
		t.Fatal(err)
	}
	r := w.Run()
	for _, x := range w.tasks {
		if (x.kind == urgentTask) != (x.team == len(s.Teams)) {
			t.Fatalf("a task of kind %d is of team %d", x.kind, x.team)
		}
	}
	if len(r.Urgent) < 5 || quantile(r.Urgent, 1) > 2 || len(s.Teams) != 4 {
		t.Errorf("%v, %d teams", r.Urgent, len(s.Teams))
	}
}

// A gang larger than the fleet is never whole: its tasks hold their slots until it gives up, and no longer.
func TestGangThatCantBeWhole(t *testing.T) {
	s := smallTasks(6, 0.01)
	s.Gangs, s.UrgentRate, s.InitialTasks, s.AcceleratedFraction, s.Window = []Gangs{{Size: 100, Rate: 0.1}}, 0, 0, 0, 20
	r := runTasks(t, s)
	g := r.Gangs[0]
	if g.Arrived == 0 || g.Within60 > 0 || g.HeldSlotSeconds != g.WastedSlotSeconds || g.WastedSlotSeconds < 40*gangTimeoutSeconds || g.WastedSlotSeconds > 64*gangTimeoutSeconds*float64(g.Arrived) {
		t.Errorf("%+v", g)
	}
}

// quantile is that of sorted figures.
func quantile(list []float64, p float64) float64 { return list[int(p*float64(len(list)-1))] }

func sum(list []float64) (s float64) {
	for _, x := range list {
		s += x
	}
	return s
}
