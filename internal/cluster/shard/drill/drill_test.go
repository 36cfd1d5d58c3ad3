package drill

import (
	"syscall"
	"testing"
)

func check(t *testing.T, r Result, err error) {
	t.Helper()
	t.Logf("%+v", r)
	if err != nil || r.LostJobs != 0 {
		t.Fatalf("%d jobs lost, want 0; error %v", r.LostJobs, err)
	}
	if r.Assignments+r.Transfers != r.MinimumChanges {
		t.Errorf("%d assignments and %d transfers, want %d in total", r.Assignments, r.Transfers, r.MinimumChanges)
	}
}

func TestThirdOfInstancesLost(t *testing.T) {
	r, err := DefaultModel.Simulate(60, 1024, 20_000, 20)
	check(t, r, err)
	if r.Assignments == 0 || r.Records == 0 || r.OwnedAfter > 4.1 || r.KnownAfter > r.OwnedAfter+1 {
		t.Errorf("got %+v", r)
	}
}

func TestGrowth(t *testing.T) {
	r, err := DefaultModel.Grow(6, 40, 512, 10_000)
	check(t, r, err)
	if r.Assignments != 0 || r.Transfers == 0 || r.SealedFor[2] > 3 {
		t.Errorf("got %+v", r)
	}
}

// The benchmarks simulate fleets of the target size. Their time is that of all
// instances together, and includes building the fleet.

func BenchmarkThirdOf300Lost(b *testing.B) {
	for b.Loop() {
		r, err := measuredModel().Simulate(300, 4096, 1_000_000, 100)
		report(b, r, err)
	}
}

func BenchmarkGrowthFrom6To300(b *testing.B) {
	for b.Loop() {
		r, err := measuredModel().Grow(6, 300, 4096, 1_000_000)
		report(b, r, err)
	}
}

// measuredModel returns DefaultModel with the CPU time of this process measured.
func measuredModel() Model {
	m := DefaultModel
	m.CPU = func() float64 {
		var u syscall.Rusage
		if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
			return 0
		}
		return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
	}
	return m
}

func report(b *testing.B, r Result, err error) {
	if err != nil {
		b.Fatal(err)
	}
	b.Logf("%+v", r)
	b.ReportMetric(r.OwnedAfter, "s-owned")
	b.ReportMetric(r.KnownAfter, "s-known")
	b.ReportMetric(float64(r.Assignments+r.Transfers), "changes")
	b.ReportMetric(float64(r.MinimumChanges), "fewest")
	b.ReportMetric(r.MeanBytes/1e6, "MB/instance")
	b.ReportMetric(r.MeanCPU, "s-CPU/instance")
}
