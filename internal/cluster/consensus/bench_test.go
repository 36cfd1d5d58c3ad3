package consensus

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkPropose measures concurrent proposals of 300 bytes over TCP on the
// loopback interface. All voters' files are on one disk.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{3, 7} {
		for _, callers := range []int{1, 32, 256} {
			b.Run(fmt.Sprintf("voters=%d/callers=%d", voters, callers), func(b *testing.B) {
				n := startBenchVoters(b, voters)
				data := make([]byte, 300)
				runCallers(b, callers, func() error { return n.Propose(b.Context(), data) })
				b.ReportMetric(float64(n.Status().SentBytes)/float64(b.N), "sent-B/op")
			})
		}
	}
}

// BenchmarkRead measures concurrent calls of ReadIndex.
func BenchmarkRead(b *testing.B) {
	for _, voters := range []int{3, 7} {
		for _, callers := range []int{1, 256} {
			b.Run(fmt.Sprintf("voters=%d/callers=%d", voters, callers), func(b *testing.B) {
				n := startBenchVoters(b, voters)
				runCallers(b, callers, func() error { _, _, err := n.ReadIndex(b.Context()); return err })
			})
		}
	}
}

// startBenchVoters starts voters and returns their leader.
func startBenchVoters(b *testing.B, count int) *Node {
	b.Helper()
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("v", i))
	}
	return startTCPVoters(b, names, Options{Cluster: "bench"}).propose(b.Context(), b, "first")
}

// runCallers runs b.N operations on the given number of concurrent callers, and
// reports their rate and latency.
func runCallers(b *testing.B, callers int, op func() error) {
	latencies := make([]time.Duration, b.N)
	var wg sync.WaitGroup
	indexes := make(chan int)
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			for i := range indexes {
				began := time.Now()
				if err := op(); err != nil {
					b.Error(err)
				}
				latencies[i] = time.Since(began)
			}
		})
	}
	for i := range b.N {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "op/s")
	b.ReportMetric(float64(latencies[b.N/2])/1e6, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*99/100])/1e6, "p99-ms")
}
