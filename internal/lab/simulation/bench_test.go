package simulation

import (
	"fmt"
	"testing"
)

// BenchmarkFleet measures the processor time per job at several fleet sizes.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n, "workers"), func(b *testing.B) {
			for range b.N {
				f, err := NewFleet(FleetSettings{Seed: 1, Workers: n, Slots: 4, Dispatchers: 16, MeanWork: 0.3, Load: 0.75, LatencyObjective: 1.5, Timeout: 4, Tick: 0.004, Span: 2})
				if err != nil {
					b.Fatal(err)
				}
				r := f.Run()
				b.ReportMetric(float64(r.CPU.Microseconds())/float64(r.Jobs), "us/job")
			}
		})
	}
}
