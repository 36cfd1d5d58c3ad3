package experiments

import (
	"math"
	"slices"
	"testing"

	"example.org/bellstream/internal/lab/capacity"
)

// The settings match the load: teams ask for the load's rate, and in a full fleet for more than the fleet can run.
func TestCapacityTasksLoad(t *testing.T) {
	l := capacity.NewLoad(100, 3)
	for _, full := range []bool{false, true} {
		s := taskSettings(l, 3, 44, full)
		rate, slots, quota := 0.0, 0, 0.0
		for _, x := range s.Teams {
			rate, quota = rate+x.Rate, quota+x.Quota
			if len(x.Enters) == 0 || slices.Max(x.Enters) >= 44 {
				t.Errorf("team has no entry, or an entry that is no dispatcher: %+v", x)
			}
		}
		for _, w := range s.Workers {
			slots += w.Slots
		}
		want := capacity.Target.Starts
		if full {
			want = tasksFullFactor * float64(slots) / capacity.MeanRun
		}
		gangs := 0.0
		for _, g := range s.Gangs {
			gangs += g.Rate * float64(g.Size)
		}
		if math.Abs(rate/want-1) > 1e-6 || quota < capacity.Target.Starts || slots < capacity.Target.Running || gangs+s.UrgentRate > rate/2 || s.InitialTasks > slots {
			t.Errorf("full fleet %v: got %.1f starts a second, %.1f reserved, %d slots, %.1f starts a second in gangs, %d initial tasks", full, rate, quota, slots, gangs, s.InitialTasks)
		}
	}
}

// The part's claims hold at any load, and it has a row for each line of the target that it covers. What was not
// played is reported as not measured.
func TestCapacityTasks(t *testing.T) {
	p := CapacityParams{Params: Params{Seed: 3, Quick: true, Log: t.Logf}, Percents: []int{10}}
	f, err := runCapacityTasks(p)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range f.Claims {
		if !c.Held {
			t.Errorf("claim is broken: %+v", c)
		}
	}
	for _, line := range []string{capacity.Workers, capacity.Accelerators, capacity.Starts, capacity.Running, capacity.Gangs, capacity.Urgent, capacity.Memory} {
		if !slices.ContainsFunc(f.Rows, func(r capacity.Row) bool {
			return r.Line == line && r.Percent == 10 && !r.Shown && r.How == capacity.VirtualTime
		}) {
			t.Errorf("no row in virtual time for %s", line)
		}
	}
	// An urgent task that did not start counts with the whole observed time, never as zero.
	x := &taskRun{percent: 10, n: 44, full: true, tail: 60}
	x.result.Urgent = []float64{1, math.Inf(1)}
	var rows []capacity.Row
	keep := func(r capacity.Row) { rows = append(rows, r) }
	x.urgentRows(&CapacityResult{}, "", keep, keep)
	if last := rows[len(rows)-1]; last.Measured != 60 || last.Held {
		t.Errorf("got rows %+v, want the last one broken with 60 s", rows)
	}
	p.Percents = []int{100}
	if runs := taskRuns(p); len(runs) != 1 || runs[0].full {
		t.Errorf("the quick form has %d runs at 100 %%, want one at the peak", len(runs))
	}
}
