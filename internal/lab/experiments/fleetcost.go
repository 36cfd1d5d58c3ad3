package experiments

import (
	"fmt"

	"example.org/bellstream/internal/lab/report"
	"example.org/bellstream/internal/lab/simulation"
)

var fleetCostExperiment = Experiment{
	Name:    "fleetcost",
	About:   "Virtual time: 60 workers before 4 to 300 dispatchers, a job in ten of four slots; probes, handshakes, CPU, wide jobs.",
	Without: []string{"order"},
	Run:     runFleetCost,
}

// Bounds of the claims: with any number of dispatchers, wide jobs find free slots at a bounded number of health
// checks a job. Handshakes are shown but not claimed: with few requests at each dispatcher, few connections are
// reused.
const (
	fleetCostMinWide80       = 0.77 // fraction of jobs of four slots in time at 80 dispatchers, load 75%
	fleetCostMinWide300      = 0.65 // the same at 300 dispatchers
	fleetCostMaxHealthChecks = 4.0  // health checks a job
)

func runFleetCost(p Params) (*Result, error) {
	sizes, span := []int{4, 20, 80, 300}, 30.0
	if p.Quick {
		sizes, span = []int{4, 80}, 12
	}
	r := &Result{Size: fmt.Sprintf("60 workers of 5 slots, load 75%%, %d to %d dispatchers, %.0f s", sizes[0], sizes[len(sizes)-1], span)}
	plots := []report.Plot{{Title: "Questions a job"}, {Title: "Handshakes a job"}, {Title: "CPU of the decisions, a job", YLabel: "us"}, {Title: "Wide jobs in time", YLabel: "part"}}
	for i := range plots {
		plots[i].XLabel, plots[i].LogX = "dispatchers", true
		plots[i].Lines = []report.Line{{Name: "60 workers"}}
	}
	for _, n := range sizes {
		f, err := simulation.NewFleet(simulation.FleetSettings{Seed: p.Seed, Workers: 60, Slots: 5, Dispatchers: n, MeanWork: 0.5, Load: 0.75,
			LatencyObjective: 1.6, Timeout: 6, Tick: 0.004, Span: span, WideFraction: 0.1, KeepAlive: 15, DistinctWorkerIDs: p.Without == "order"})
		if err != nil {
			return nil, err
		}
		x := f.Run()
		jobs := float64(x.Jobs)
		wide := float64(x.WideInTime) / float64(x.Wide)
		figures := []float64{float64(x.HealthChecks) / jobs, float64(x.Dials) / jobs, float64(x.CPU.Microseconds()) / jobs, wide}
		for i, y := range figures {
			plots[i].Lines[0].X, plots[i].Lines[0].Y = append(plots[i].Lines[0].X, float64(n)), append(plots[i].Lines[0].Y, y)
		}
		name := fmt.Sprintf("%d dispatchers", n)
		p.Log("%s: %d jobs, in time %.3f, wide %.3f of %d, %.2f questions and %.2f handshakes a job, %d connections at the fullest worker, %.0f us a job",
			name, x.Jobs, float64(x.InTime)/jobs, wide, x.Wide, figures[0], figures[1], x.Connections, figures[2])
		if bound, ok := map[int]float64{80: fleetCostMinWide80, 300: fleetCostMinWide300}[n]; ok {
			r.AtLeast(name+": wide jobs in time", bound, wide, "part")
		}
		r.AtMost(name+": questions a job", fleetCostMaxHealthChecks, figures[0], "questions")
		r.Note(name+": handshakes a job", figures[1], "handshakes")
		r.Note(name+": CPU of the decisions a job", figures[2], "us")
		r.Note(name+": connections at the fullest worker", float64(x.Connections), "connections")
	}
	r.Plots = append(r.Plots, plots...)
	return r, nil
}
