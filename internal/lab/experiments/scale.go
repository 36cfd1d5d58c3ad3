package experiments

import (
	"fmt"
	"runtime"
	"slices"

	"example.org/bellstream/internal/lab/report"
	"example.org/bellstream/internal/lab/simulation"
)

var scaleExperiment = Experiment{
	Name:    "scale",
	About:   "Virtual time: 12 to 2,000 workers, 4 to 64 dispatchers that share nothing but the workers; worth, CPU, memory.",
	Without: []string{"reports"},
	Run:     runScale,
}

// Bounds of the claims at every size: the worth, as a fraction of that of one queue that sees all jobs, and the
// processor time of a job's decisions. That time grows with the number of jobs that one dispatcher has in flight,
// because it examines more workers then. It does not grow with the size of the fleet.
const (
	scaleMinWorth     = 0.9
	scaleBaseCPU      = 100.0 // µs per job
	scaleCPUPerWorker = 4.0   // additional µs per job for each worker per dispatcher
	scaleMaxCPURatio  = 2.0   // CPU per job, relative to a smaller fleet with as many workers per dispatcher
)

type scaleSize struct {
	workers, dispatchers int
	span                 float64
}

func runScale(p Params) (*Result, error) {
	sizes := []scaleSize{{12, 4, 20}, {100, 4, 20}, {100, 16, 20}, {400, 16, 20}, {1000, 16, 20}, {1000, 64, 20}, {1600, 64, 20}, {2000, 16, 10}, {2000, 64, 60}}
	if p.Quick {
		sizes = []scaleSize{{12, 4, 10}, {100, 4, 10}, {100, 16, 10}, {400, 16, 6}, {1000, 16, 4}}
	}
	settings := func(s scaleSize) simulation.FleetSettings {
		return simulation.FleetSettings{Seed: p.Seed, Workers: s.workers, Slots: 4, Dispatchers: s.dispatchers, MeanWork: 0.3, Load: 0.75,
			LatencyObjective: 1.5, Timeout: 4, Tick: 0.004, Span: s.span, WithoutLoadReports: p.Without == "reports"}
	}
	play := func(s scaleSize) (simulation.FleetResult, error) {
		f, err := simulation.NewFleet(settings(s))
		if err != nil {
			return simulation.FleetResult{}, err
		}
		return f.Run(), nil
	}
	r := &Result{Size: fmt.Sprintf("up to %d workers of 4 slots, load 75%%, %d cores", sizes[len(sizes)-1].workers, runtime.GOMAXPROCS(0))}
	cpuPlot := report.Plot{Title: "CPU of the decisions, a job", XLabel: "workers", YLabel: "us", LogX: true}
	memoryPlot := report.Plot{Title: "Memory of a dispatcher", XLabel: "workers", YLabel: "MB", LogX: true}
	addPoint := func(p *report.Plot, s scaleSize, y float64) {
		name := fmt.Sprintf("%d dispatchers", s.dispatchers)
		i := slices.IndexFunc(p.Lines, func(l report.Line) bool { return l.Name == name })
		if i < 0 {
			i = len(p.Lines)
			p.Lines = append(p.Lines, report.Line{Name: name})
		}
		p.Lines[i].X, p.Lines[i].Y = append(p.Lines[i].X, float64(s.workers)), append(p.Lines[i].Y, y)
	}
	var firstDigest uint64
	cost := map[scaleSize]float64{}
	for i, s := range sizes {
		x, err := play(s)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%d workers, %d dispatchers", s.workers, s.dispatchers)
		worth, cpu := float64(x.InTime)/float64(x.Ideal), float64(x.CPU.Microseconds())/float64(x.Jobs)
		cost[scaleSize{s.workers, s.dispatchers, 0}] = cpu
		p.Log("%s: %d jobs, worth %.3f, %.1f us a job, %.2f attempts a job, late %d, refused %d, failed %d, %.1f MB a dispatcher, %.0f s in %.1f s", name, x.Jobs, worth, cpu,
			float64(x.Attempts)/float64(x.Jobs), x.Late, x.Rejected, x.Failed, float64(x.Heap)/1e6/float64(s.dispatchers), s.span, x.Wall.Seconds())
		r.AtLeast(name+": worth against one queue that sees all", scaleMinWorth, worth, "part")
		r.AtMost(name+": CPU of the decisions a job", scaleBaseCPU+scaleCPUPerWorker*float64(s.workers)/float64(s.dispatchers), cpu, "us")
		addPoint(&cpuPlot, s, cpu)
		addPoint(&memoryPlot, s, float64(x.Heap)/1e6/float64(s.dispatchers))
		r.Note(name+": memory a dispatcher", float64(x.Heap)/1e6/float64(s.dispatchers), "MB")
		r.Note(name+": attempts a job", float64(x.Attempts)/float64(x.Jobs), "attempts")
		if i == 0 {
			firstDigest = x.Digest
		}
		if !p.Quick && i == len(sizes)-1 {
			r.AtMost("the largest minute against real time", 1, x.Wall.Seconds()/s.span, "part")
		}
	}
	r.Plots = append(r.Plots, cpuPlot, memoryPlot)
	again, err := play(sizes[0])
	if err != nil {
		return nil, err
	}
	same := 0.0
	if again.Digest == firstDigest {
		same = 1
	}
	r.AtLeast("the same seed gives the same run, byte for byte", 1, same, "runs")
	if small, large := cost[scaleSize{400, 16, 0}], cost[scaleSize{1600, 64, 0}]; large > 0 {
		r.AtMost("CPU a job at 1,600 workers and 64 dispatchers, against 400 and 16", scaleMaxCPURatio, large/small, "times")
	}
	return r, nil
}
