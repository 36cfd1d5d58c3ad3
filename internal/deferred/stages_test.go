package deferred

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Random calls of Enter and Leave are compared with a simple model.
func TestDepthsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type model struct {
			place QueuePlace
			key   string
			since float64
		}
		d := NewDepths()
		jobs := make([]model, 12)
		now := 100.0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 3).Draw(t, "pass"))
			j := &jobs[rapid.IntRange(0, 11).Draw(t, "job")]
			if rapid.Bool().Draw(t, "enters") {
				s := rapid.SampledFrom([]Stage{StageDeferred, StageQueued}).Draw(t, "stage")
				class, tenant := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant")
				d.Enter(now, &j.place, s, class, tenant)
				j.key, j.since = fmt.Sprint(s, class, tenant), now
			} else {
				d.Leave(&j.place)
				j.key = ""
			}
			want, oldest := map[string]int{}, map[string]float64{}
			for _, j := range jobs {
				if j.key != "" {
					want[j.key]++
					oldest[j.key] = max(oldest[j.key], now-j.since)
				}
			}
			got, _ := d.Read(now)
			if len(got) != len(want) {
				t.Fatalf("got depths %v, want %v", got, want)
			}
			for _, g := range got {
				if k := fmt.Sprint(g.Stage, g.Class, g.Tenant); g.Jobs != want[k] || g.Oldest != oldest[k] {
					t.Fatalf("got %+v, want %d jobs, oldest %v", g, want[k], oldest[k])
				}
			}
		}
	})
}

func TestFirstAttempts(t *testing.T) {
	d := NewDepths()
	for i, late := range []bool{false, false, true} {
		if got := d.FirstAttempts("c").Observe(float64(i+1), 2); got != late {
			t.Errorf("wait of %d s, 2 s promised: late %v", i+1, got)
		}
	}
	if d.FirstAttempts("free").Observe(1e6, 0) {
		t.Error("reported late although no maximum wait was promised")
	}
	_, attempts := d.Read(0)
	if want := (FirstAttempts{Class: "c", Sent: 3, Waited: 6, Longest: 3, Late: 1}); len(attempts) != 2 || attempts[0] != want {
		t.Errorf("got %+v, want %+v first", attempts, want)
	}
}
