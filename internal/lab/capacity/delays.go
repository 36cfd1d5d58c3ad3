package capacity

import (
	"fmt"

	"example.org/bellstream/internal/cluster/lease"
)

// Delays are the one-way delays between regions, in seconds, for which DelaysTable evaluates the settings.
var Delays = []float64{0.02, 0.08, 0.15}

// Exclusive returns the stated time in seconds until an exclusive change is in force while all instances are alive:
// the time to propagate the change plus that of two advances.
func Exclusive(s lease.Settings) float64 {
	b := s.Bounds()
	return b.PropagationSeconds + 2*b.AdvanceSeconds
}

// DelaysTable shows how a delay between regions affects the stated times of configuration changes, computed from the
// production code's bounds. Each delay is set as accord.delay, because leases lapse under load if accord.delay is
// smaller than the time that messages take.
func DelaysTable() Table {
	t := Table{Name: "delays", Head: []string{"delay, one way", "accord.period", "check", "T, cut off", "loose change", "exclusive change", "the same, an instance gone", "within 4 s"}}
	for _, delay := range Delays {
		for _, period := range []float64{lease.DefaultSettings.RenewIntervalSeconds, 0.25} {
			s := lease.DefaultSettings
			s.NetworkDelaySeconds, s.RenewIntervalSeconds = delay, period
			line := []string{fmt.Sprintf("%g ms", delay*1000), fmt.Sprintf("%g s", period)}
			if err := s.Validate(); err != nil {
				t.Rows = append(t.Rows, append(line, "refused: "+err.Error(), "-", "-", "-", "-", "-"))
				continue
			}
			b := s.Bounds()
			allAlive, oneLost := Exclusive(s), b.PropagationSeconds+b.AdvanceSeconds+b.AdvanceAfterLossSeconds
			within := "no"
			switch {
			case oneLost <= Target.InForce:
				within = "yes"
			case allAlive <= Target.InForce:
				within = "while all live"
			case b.PropagationSeconds <= Target.InForce:
				within = "loose ones alone"
			}
			line = append(line, "taken")
			for _, x := range []float64{b.ConflictSeconds, b.PropagationSeconds, allAlive, oneLost} {
				line = append(line, fmt.Sprintf("%.2f s", x))
			}
			t.Rows = append(t.Rows, append(line, within))
		}
	}
	return t
}

// DayTable shows the effects of an ordinary day's failures at the target, computed from the target's figures alone.
// It assumes that dispatchers run on machines of their own, which fail and are restarted as often as the others.
func DayTable() Table {
	t := Table{Name: "day", Head: []string{"an ordinary day", "44 dispatchers", "300 dispatchers"}}
	f := Target
	lost := f.Failures + f.Restarts
	line := func(what string, of func(n float64) float64) {
		t.Rows = append(t.Rows, []string{what, Figure(of(44)), Figure(of(300))})
	}
	all := func(n float64) float64 { return float64(f.Workers) + n }
	workers := func(n float64) float64 { return lost * float64(f.Workers) / all(n) }
	line("workers that go", workers)
	line("dispatchers that go", func(n float64) float64 { return lost * n / all(n) })
	line("changes of discovery's list (3 for a restart, 2 for a failure)", func(n float64) float64 {
		return (ListChangesOfRestart*f.Restarts + ListChangesOfFailure*f.Failures) * float64(f.Workers) / all(n)
	})
	line("tasks that ran on them, to be run again", func(n float64) float64 { return workers(n) * float64(f.Running) / float64(f.Workers) })
	line("the same, of a million starts", func(n float64) float64 {
		return 1e6 * workers(n) * float64(f.Running) / float64(f.Workers) / (f.Starts * (1 + Night) / 2 * Day)
	})
	line("requests in hand at the dispatchers that go", func(n float64) float64 { return lost * n / all(n) * float64(f.Running) / n })
	line("changes of the configuration", func(float64) float64 { return float64(f.Changes) })
	return t
}

// Changes of discovery's endpoint list that one restart or failure of a machine causes.
const (
	ListChangesOfRestart = 3 // leaving, gone, back
	ListChangesOfFailure = 2 // gone, replacement added
)
