package experiments

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"

	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/report"
	"example.org/bellstream/internal/lab/simulation"
)

var tasksPart = CapacityPart{
	Name:  "tasks",
	About: "Tasks, gangs that are sent as jobs, urgent work in a full fleet: virtual time, by the product's decisions.",
	Run:   runCapacityTasks,
}

// Bounds of the rows and claims of this part.
const (
	tasksMaxWait       = 10.0   // s within which a task of the peak must start; the target gives no bound
	tasksSoonFraction  = 0.99   // fraction of the peak's tasks that must start within that time
	tasksMaxCPU        = 100.0  // % of a core; a dispatcher decides in one goroutine
	tasksMaxRequestCPU = 3000.0 // us of decisions per request at the peak, at 44 dispatchers
	tasksFullFactor    = 1.05   // demand as a multiple of the fleet's capacity where the fleet must be full
)

// gangParts are the fractions of all starts that belong to gangs of each size.
var gangParts = []struct {
	size int
	part float64
}{{2, 0.04}, {8, 0.04}, {32, 0.04}, {128, 0.15}}

// urgentPart is the fraction of all starts that are urgent; there is at least one urgent task in two seconds.
const urgentPart = 0.015

// taskRun is one run.
type taskRun struct {
	percent, n         int
	full               bool    // demand exceeds what the fleet can run
	maxWait            float64 // s, longest wait that urgent tasks are promised; 0: none
	ownTeam            bool    // urgent tasks belong to a team of their own, which has twice their rate reserved
	warm, window, tail float64
	measureMemory      bool // memory is measured, so nothing else may run meanwhile
	result             simulation.TaskResult
	settings           simulation.TaskSettings
	memory             float64 // MB per dispatcher
}

func (x *taskRun) name() string {
	what := "at the peak"
	if x.full {
		what = "in a full fleet"
	}
	if x.maxWait > 0 {
		what += fmt.Sprintf(", ageing of %g s", x.maxWait)
	}
	if x.ownTeam {
		what += ", urgent tasks as a team of their own"
	}
	return fmt.Sprintf("%d %%, %d dispatchers, %s", x.percent, x.n, what)
}

// setting returns what an operator sets for urgent tasks; empty: nothing.
func (x *taskRun) setting() string {
	switch {
	case x.maxWait > 0:
		return fmt.Sprintf("ageing max_wait = \"%gs\" for urgent classes", x.maxWait)
	case x.ownTeam:
		return "urgent tasks as a team of their own, twice their rate reserved"
	}
	return ""
}

// taskSettings returns the settings of a load with n dispatchers. Each team reserves its demand plus the usual
// margin; in a full fleet the demand of all teams grows by the same factor.
func taskSettings(load *capacity.Load, seed uint64, n int, full bool) simulation.TaskSettings {
	s := simulation.TaskSettings{Seed: seed, Dispatchers: load.Place(n), Work: capacity.TaskTime, MeanWork: capacity.MeanRun, UrgentObjective: capacity.Target.Urgent, CPUSeconds: threadTime}
	slots, accelerated := 0, 0
	for _, w := range load.Workers {
		s.Workers = append(s.Workers, simulation.TaskWorker{Zone: w.Zone, Slots: w.Slots, Accelerated: w.Accelerators > 0})
		if slots += w.Slots; w.Accelerators > 0 {
			accelerated += w.Slots
		}
	}
	s.AcceleratedFraction = float64(accelerated) / float64(slots)
	for _, zone := range load.Zones {
		s.Regions = append(s.Regions, zone.Region)
	}
	rate := load.Starts
	if full {
		rate = tasksFullFactor * float64(slots) / s.MeanWork
	}
	enters := load.Enters(s.Dispatchers)
	for i, t := range load.Teams {
		s.Teams = append(s.Teams, simulation.TaskTeam{Name: t.Name, Rate: t.Share * rate, Quota: t.Quota, Enters: enters[i]})
	}
	for _, g := range gangParts {
		s.Gangs = append(s.Gangs, simulation.Gangs{Size: g.size, Rate: g.part * rate / float64(g.size)})
	}
	s.UrgentRate, s.InitialTasks = max(0.5, urgentPart*rate), min(slots, int(rate*s.MeanWork))
	return s
}

func (x *taskRun) run(p CapacityParams) error {
	runtime.LockOSThread() // CPU time is measured per thread
	defer runtime.UnlockOSThread()
	x.settings = taskSettings(p.Load(x.percent), p.Seed, x.n, x.full)
	if x.ownTeam {
		x.settings.UrgentTeamReservation = 2 * x.settings.UrgentRate
	}
	x.settings.UrgentMaxWait, x.settings.WarmUp, x.settings.Window, x.settings.Tail = x.maxWait, x.warm, x.window, x.tail
	w, err := simulation.NewTasks(x.settings)
	if err != nil {
		return err
	}
	x.result = w.Run()
	if x.measureMemory {
		with := heapInUse()
		w.Release()
		if without := heapInUse(); with > without {
			x.memory = float64(with-without) / 1e6 / float64(x.n)
		}
		runtime.KeepAlive(w)
	}
	return nil
}

// taskRuns returns the runs of an experiment. The quick form runs the full fleet only at the smallest size, since
// that run takes the longest: tasks wait at every dispatcher, and each step looks at all workers.
func taskRuns(p CapacityParams) (runs []*taskRun) {
	for _, percent := range p.Percents {
		peak := &taskRun{percent: percent, n: 44, warm: 12, window: 40, tail: 60, measureMemory: true}
		full := &taskRun{percent: percent, n: 44, full: true, warm: 12, window: 20, tail: 60}
		switch {
		case percent > 100:
			peak.window, peak.tail, full.window, full.tail = 12, 12, 6, 10
		case p.Quick && percent > 10:
			peak.warm, peak.window, peak.tail, full = 8, 8, 10, nil
		}
		runs = append(runs, peak)
		if full != nil {
			runs = append(runs, full)
		}
		if percent == 100 && !p.Quick {
			runs = append(runs, &taskRun{percent: percent, n: 300, warm: 12, window: 20, tail: 15, measureMemory: true},
				&taskRun{percent: percent, n: 300, full: true, warm: 12, window: 15, tail: 15},
				&taskRun{percent: percent, n: 44, full: true, maxWait: capacity.Target.Urgent, warm: 12, window: 15, tail: 15},
				&taskRun{percent: percent, n: 44, full: true, ownTeam: true, warm: 12, window: 15, tail: 15})
		}
	}
	return runs
}

func runCapacityTasks(p CapacityParams) (*CapacityResult, error) {
	f, runs := &CapacityResult{}, taskRuns(p)
	repeated := &taskRun{percent: runs[0].percent, n: runs[0].n, warm: runs[0].warm, window: runs[0].window, tail: runs[0].tail}
	concurrent := []*taskRun{repeated} // these may run concurrently
	for _, run := range runs {
		if !run.measureMemory {
			concurrent = append(concurrent, run)
			continue
		}
		if err := run.run(p); err != nil {
			return nil, err
		}
	}
	errs := make([]error, len(concurrent))
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, min(3, runtime.GOMAXPROCS(0)/2)))
	for i, run := range slices.Backward(concurrent) { // the longest are last, and start first
		slots <- struct{}{}
		group.Go(func() {
			errs[i] = run.run(p)
			<-slots
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}

	identical, unanswered, excess, requestCPU := 0.0, 0, 0, 0.0
	if repeated.result.Digest == runs[0].result.Digest {
		identical = 1
	}
	for _, percent := range p.Percents {
		if !slices.ContainsFunc(runs, func(run *taskRun) bool { return run.percent == percent && run.full }) {
			f.AddRows(capacity.Row{Line: capacity.Gangs, Percent: percent, What: "gangs of 128 in a full fleet", Least: true, Bound: 1, Unit: "part", How: capacity.NotMeasured},
				capacity.Row{Line: capacity.Urgent, Percent: percent, What: "an urgent task's start in a full fleet", Bound: capacity.Target.Urgent, Unit: "s", How: capacity.NotMeasured})
		}
	}
	for _, run := range runs {
		unanswered, excess = unanswered+run.result.Unanswered, max(excess, run.result.MostRunning-run.result.Slots)
		if each := run.cpuPerRequest(); !run.full && run.n == 44 && run.percent <= 100 {
			requestCPU = max(requestCPU, each)
		}
		run.addResults(p, f)
	}
	f.AtLeast("the same seed gives the same run, byte for byte", 1, identical, "runs")
	f.AtMost("tasks that were taken and have no end", 0, float64(unanswered), "tasks")
	f.AtMost("tasks that ran beyond the slots", 0, float64(excess), "tasks")
	f.AtMost("CPU of the decisions a request, at the peak, up to 100 %, 44 dispatchers", tasksMaxRequestCPU, requestCPU, "us")
	if err := tasksSlopes(f, runs); err != nil {
		return nil, err
	}
	f.Plots = append(f.Plots, tasksPlots(runs)...)
	return f, nil
}

// cpuPerRequest returns the CPU time of the decisions in us per request.
func (x *taskRun) cpuPerRequest() float64 {
	cpu, jobs := 0.0, 0
	for i := range x.result.CPUPerSecond {
		cpu, jobs = cpu+x.result.CPUPerSecond[i], jobs+x.result.Jobs[i]
	}
	return 1e6 * cpu * x.window / float64(max(jobs, 1))
}

// addResults adds the rows of a run and the notes beside them.
func (x *taskRun) addResults(p CapacityParams, f *CapacityResult) {
	name, suffix := x.name(), fmt.Sprintf("at %d dispatchers", x.n)
	load := p.Load(x.percent)
	row := func(r capacity.Row) { f.AddRows(r) }
	shown := func(r capacity.Row) {
		r.Shown = true
		f.AddRows(r)
	}
	soonFraction := func(avoidable []float64) float64 {
		n := 0
		for _, w := range avoidable {
			if w <= tasksMaxWait {
				n++
			}
		}
		return float64(n) / float64(max(len(avoidable), 1))
	}
	mean := 0.0
	for _, b := range x.result.CPUPerSecond {
		mean += 100 * b / float64(x.n)
	}
	worst := 100 * slices.Max(x.result.CPUPerSecond)
	p.Log("tasks: %s: %d tasks, %d started, %d refused, %d failed; wait p50 %.2f p99 %.2f worst %.1f s; %.0f of %d slots ran, %.1f starts a second; %.0f us a request, a dispatcher %.2f %% of a core, the busiest %.2f; %.1f MB",
		name, x.result.Arrived, x.result.Started, x.result.Rejected, x.result.Failed, quantile(x.result.Waits, 0.5), quantile(x.result.Waits, 0.99), quantile(x.result.Waits, 1), x.result.Running, x.result.Slots, x.result.Starts, x.cpuPerRequest(), mean, worst, x.memory)
	f.Note(name+": tasks that were refused", 100*float64(x.result.Rejected)/float64(max(x.result.Arrived, 1)), "%")
	f.Note(name+": the part of a task's wait in which slots for all stood free, p99", quantile(x.result.Avoidable, 0.99), "s")
	f.Note(name+": a task's wait, p99", quantile(x.result.Waits, 0.99), "s")
	f.Note(name+": tasks running, mean", x.result.Running, "tasks")
	f.Note(name+": CPU of the decisions a request", x.cpuPerRequest(), "us")
	f.Note(name+": probes a second and dispatcher", float64(x.result.HealthChecks)/x.window/float64(x.n), "probes")
	if x.setting() == "" {
		if x.full {
			if x.n == 44 {
				row(capacity.AtLeast(capacity.Running, x.percent, "tasks running at one time in a full fleet", float64(load.Running), float64(x.result.MostRunning), "tasks", capacity.VirtualTime))
			}
		} else {
			row(capacity.AtLeast(capacity.Starts, x.percent, fmt.Sprintf("tasks of the peak that wait at most %g s while slots for all stand free, %s", tasksMaxWait, suffix), tasksSoonFraction, soonFraction(x.result.Avoidable), "part", capacity.VirtualTime))
			row(capacity.AtLeast(capacity.Accelerators, x.percent, fmt.Sprintf("tasks for accelerators that wait at most %g s while slots for all stand free, %s", tasksMaxWait, suffix), tasksSoonFraction, soonFraction(x.result.AvoidableAccelerated), "part", capacity.VirtualTime))
			row(capacity.AtMost(capacity.Memory, x.percent, "decisions: workers, teams and tasks in memory, "+suffix, capacity.Target.Memory, x.memory, "MB", capacity.VirtualTime))
		}
		what := "decisions of the busiest dispatcher, of a core, " + map[bool]string{true: "in a full fleet, ", false: "at the peak, "}[x.full] + suffix
		row(capacity.AtMost(capacity.Workers, x.percent, what, tasksMaxCPU, worst, "%", capacity.VirtualTime))
	}
	when := map[bool]string{true: "in a full fleet, ", false: "at the peak, "}[x.full] + suffix
	x.gangRows(f, when, row, shown)
	x.urgentRows(f, when, row, shown)
}

// gangRows adds the rows of gangs for runs without a setting for urgent tasks. Gangs of the target's size are judged,
// the others only shown.
func (x *taskRun) gangRows(f *CapacityResult, when string, row, shown func(capacity.Row)) {
	if x.setting() != "" {
		return
	}
	for _, g := range x.result.Gangs {
		if g.Arrived == 0 {
			continue
		}
		keep := shown
		if g.Size == capacity.Target.Gang {
			keep = row
		}
		arrived := float64(g.Arrived)
		keep(capacity.AtLeast(capacity.Gangs, x.percent, fmt.Sprintf("gangs of %d whose tasks have all started within 10 s, %s", g.Size, when), 1, float64(g.Within10)/arrived, "part", capacity.VirtualTime))
		if x.tail >= 60 {
			shown(capacity.AtLeast(capacity.Gangs, x.percent, fmt.Sprintf("gangs of %d whose tasks have all started within 60 s, %s", g.Size, when), 1, float64(g.Within60)/arrived, "part", capacity.VirtualTime))
		}
		shown(capacity.AtMost(capacity.Gangs, x.percent, fmt.Sprintf("slot-seconds held by tasks that wait for others, a gang of %d, %s", g.Size, when), 0, g.HeldSlotSeconds/arrived, "s", capacity.VirtualTime))
		name := fmt.Sprintf("%s: gangs of %d", x.name(), g.Size)
		f.Note(name+": came", arrived, "gangs")
		if len(g.Spread) > 0 {
			f.Note(name+": spread of the starts, p50 of those that became whole", quantile(g.Spread, 0.5), "s")
			f.Note(name+": the same, worst", quantile(g.Spread, 1), "s")
		}
		f.Note(name+": slot-seconds held in vain, a gang", g.WastedSlotSeconds/arrived, "s")
		f.Note(name+": 503s a gang, asked for again", float64(g.Rejected)/arrived, "answers")
	}
}

// urgentRows adds the rows of urgent tasks. A task that did not start counts with the time for which the run was
// observed.
func (x *taskRun) urgentRows(f *CapacityResult, when string, row, shown func(capacity.Row)) {
	if len(x.result.Urgent) == 0 {
		return
	}
	starts, never := slices.Clone(x.result.Urgent), 0
	for i, s := range starts {
		if math.IsInf(s, 1) {
			starts[i], never = x.tail, never+1
		}
	}
	slices.Sort(starts)
	late := 0
	for _, s := range starts {
		if s > capacity.Target.Urgent {
			late++
		}
	}
	quantileRow := func(what string, q float64) capacity.Row {
		r := capacity.AtMost(capacity.Urgent, x.percent, "an urgent task's start "+when+", "+what, capacity.Target.Urgent, quantile(starts, q), "s", capacity.VirtualTime)
		r.Setting = x.setting()
		return r
	}
	shown(quantileRow("p50", 0.5))
	shown(quantileRow("p99", 0.99))
	row(quantileRow("worst", 1))
	f.Note(x.name()+": urgent tasks", float64(len(starts)), "tasks")
	f.Note(x.name()+": urgent tasks that started later than wanted", 100*float64(late)/float64(len(starts)), "%")
	f.Note(x.name()+": urgent tasks that had not started at the end", float64(never), "tasks")
	f.Note(x.name()+": 503s to urgent tasks, asked for again", float64(x.result.UrgentRejected), "answers")
}

// tasksSlopes fits lines through the percentages, at which all figures of the target grow together.
func tasksSlopes(f *CapacityResult, runs []*taskRun) error {
	var cpu, memory []capacity.Point
	for _, run := range runs {
		if run.full || run.n != 44 {
			continue
		}
		mean := 0.0
		for _, b := range run.result.CPUPerSecond {
			mean += 1000 * b / float64(run.n)
		}
		starts, workers := capacity.Target.Scale(run.percent).Starts, float64(len(run.settings.Workers))
		cpu, memory = append(cpu, capacity.Point{X: starts, Y: mean}), append(memory, capacity.Point{X: workers, Y: run.memory})
	}
	if len(cpu) < 4 {
		return nil
	}
	if err := f.AddSlope("decisions of a dispatcher at the peak, workers and teams growing along, 44 dispatchers", capacity.ByStarts, "ms/s", capacity.VirtualTime, "", cpu); err != nil {
		return err
	}
	return f.AddSlope("memory of a dispatcher's decisions at the peak, teams and tasks growing along, 44 dispatchers", capacity.ByWorkers, "MB", capacity.VirtualTime, "", memory)
}

// tasksPlots returns plots of the fraction of urgent tasks and of gangs that have started, over time.
func tasksPlots(runs []*taskRun) []report.Plot {
	urgentPlot := report.Plot{Title: "Urgent tasks that have started", XLabel: "s", YLabel: "part"}
	gangPlot := report.Plot{Title: "Gangs of 128 whose tasks have all started", XLabel: "s", YLabel: "part"}
	for _, run := range runs {
		add := func(p *report.Plot, list []float64, total int) {
			line := report.Line{Name: run.name()}
			for i, v := range list {
				if !math.IsInf(v, 1) {
					line.X, line.Y = append(line.X, v), append(line.Y, float64(i+1)/float64(total))
				}
			}
			if len(line.X) > 1 {
				p.Lines = append(p.Lines, line)
			}
		}
		if run.percent != 100 {
			continue
		}
		add(&urgentPlot, run.result.Urgent, len(run.result.Urgent))
		for _, g := range run.result.Gangs {
			if g.Size == capacity.Target.Gang {
				list := slices.Clone(g.CompleteAfter)
				slices.Sort(list)
				add(&gangPlot, list, g.Arrived)
			}
		}
	}
	var out []report.Plot
	for _, p := range []report.Plot{urgentPlot, gangPlot} {
		if len(p.Lines) > 0 {
			out = append(out, p)
		}
	}
	return out
}
