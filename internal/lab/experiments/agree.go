package experiments

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"example.org/bellstream/internal/lab/loadgen"
	"example.org/bellstream/internal/lab/simulation"
)

var agreeExperiment = Experiment{
	Name:    "agree",
	About:   "The same fleet and load on sockets and in virtual time: how far apart are worth and answers' times?",
	Without: []string{"reports"},
	Run:     runAgree,
}

// Allowed relative differences between the two.
const (
	agreeWorth  = 0.05 // of the value of answers in time (worth)
	agreeMedian = 0.15 // of the median latency
	agreeTail   = 0.25 // of the 99th percentile of the latency
)

func runAgree(p Params) (*Result, error) {
	const workers, slots, mean, aim, patience = 16, 4, 0.15, 0.6, 3.0
	span, loads := 60.0, []float64{0.5, 0.7, 0.9}
	if p.Quick {
		span, loads = 14, []float64{0.6, 0.9}
	}
	r := &Result{Size: fmt.Sprintf("%d workers of %d slots, one dispatcher, %v s at each of the loads %v", workers, slots, span, loads)}
	for _, part := range loads {
		rate := part * workers * slots / mean
		f, err := simulation.NewFleet(simulation.FleetSettings{Seed: p.Seed, Workers: workers, Slots: slots, Dispatchers: 1, MeanWork: mean, Load: part,
			LatencyObjective: aim, Timeout: patience, Tick: 0.004, Span: span, Quota: 100, WithoutLoadReports: p.Without == "reports"})
		if err != nil {
			return nil, err
		}
		v := f.Run()
		slices.Sort(v.Latencies)
		s, worth, err := agreeOnSockets(p, workers, slots, mean, aim, patience, rate, span)
		if err != nil {
			return nil, err
		}
		quantile := func(q float64) float64 {
			return 1000 * v.Latencies[min(int(q*float64(len(v.Latencies))), len(v.Latencies)-1)]
		}
		vWorth := float64(v.InTime) / float64(v.Jobs)
		name := fmt.Sprintf("load %.0f%%: ", 100*part)
		c := s.Classes["job"]
		p.Log("%sworth %.3f on sockets, %.3f in virtual time; median %.1f and %.1f ms, 99%% %.1f and %.1f ms; %v; refused %d, failed %d", name, worth, vWorth, c.P50, quantile(0.5), c.P99, quantile(0.99), s.Status, v.Rejected, v.Failed)
		r.AtMost(name+"worth, apart by", agreeWorth, math.Abs(worth-vWorth), "part")
		r.AtMost(name+"median answer, apart by", agreeMedian, math.Abs(c.P50/quantile(0.5)-1), "part")
		r.AtMost(name+"answer at the 99th percentile, apart by", agreeTail, math.Abs(c.P99/quantile(0.99)-1), "part")
		r.Note(name+"worth on sockets", worth, "part")
		r.Note(name+"median on sockets", c.P50, "ms")
		r.Note(name+"99th percentile on sockets", c.P99, "ms")
	}
	return r, nil
}

// agreeOnSockets runs the same load on a real process. It also returns the fraction of jobs answered in time.
func agreeOnSockets(p Params, workers, slots int, mean, aim, patience, rate, span float64) (*LoadReport, float64, error) {
	fleet, err := NewFleet(p.Seed, workers, slots, time.Duration(mean*float64(time.Second)))
	if err != nil {
		return nil, 0, err
	}
	defer fleet.Close()
	d, err := startSingleDispatcher(p, fleet, fmt.Sprintf("n%.0f", rate), fmt.Sprintf(`{"name":"job","aim":%v,"hard_limit":%v,"value":1,"semantics":"safe"}`, aim, patience), "")
	if err != nil {
		return nil, 0, err
	}
	defer d.Kill()
	s, err := RunLoad(context.Background(), LoadOptions{Targets: []string{d.Addr}, LatencyObjective: time.Duration(aim * float64(time.Second)),
		Settings: loadgen.Settings{Seed: p.Seed, Rate: rate, Shape: loadgen.Poisson, Span: span,
			Classes: []loadgen.Class{{WeightedName: loadgen.WeightedName{Name: "job", Weight: 1}, ClientTimeout: patience}}, Tenants: []loadgen.WeightedName{{Name: "t", Weight: 1}}}})
	if err != nil {
		return nil, 0, err
	}
	if s.Classes["job"] == nil || s.Jobs == 0 {
		return nil, 0, fmt.Errorf("no job arrived at a load of %v jobs/s", rate)
	}
	return s, float64(s.InTime) / float64(s.Jobs), nil
}
