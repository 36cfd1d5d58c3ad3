package experiments

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"example.org/bellstream/internal/lab/capacity"
)

var capacityExperiment = Experiment{
	Name:    "capacity",
	About:   "The size that is to be carried, at 10 to 200 %: what each mechanism costs, part by part, and what breaks first.",
	Without: capacityWithout(),
	Parts:   capacityNames(),
	Run:     runCapacity,
}

// CapacityPart measures one mechanism, or several that can't be told apart, at each percentage of the target.
type CapacityPart struct {
	Name, About string
	Without     []string // what it can have switched off
	Run         func(p CapacityParams) (*CapacityFound, error)
}

// CapacityParams are what a part is run with.
type CapacityParams struct {
	Params
	Percents []int // of the target, at which it is to measure, ascending; 100 is always among them
}

// Load is the work of a percentage: the same for all parts of one run.
func (p CapacityParams) Load(percent int) *capacity.Load { return capacity.NewLoad(percent, p.Seed) }

// CapacityFound is what a part measured. Claims are what the product states, and hold or break the run. Rows
// are held against the target: one that breaks says what is not carried, and breaks nothing.
type CapacityFound struct {
	Result
	Rows   []capacity.Row
	Slopes []capacity.Slope
}

// Row keeps rows for the table.
func (f *CapacityFound) Row(rows ...capacity.Row) { f.Rows = append(f.Rows, rows...) }

// Slope lays a line through points and keeps it.
func (f *CapacityFound) Slope(what, by, unit string, how capacity.How, kind capacity.Kind, points []capacity.Point) error {
	s, err := capacity.Fit(what, by, unit, how, points)
	if err != nil {
		return fmt.Errorf("slope of %s: %w", what, err)
	}
	s.Kind = kind
	f.Slopes = append(f.Slopes, s)
	return nil
}

// capacityParts are played in this order. Each stands in a file of its own.
var capacityParts = []CapacityPart{
	exchangePart,

	growthPart,

	listsPart,

	hollowPart,

	versionsPart,

	tasksPart,
}

func capacityNames() (names []string) {
	for _, x := range capacityParts {
		names = append(names, x.Name)
	}
	return names
}

func capacityWithout() (list []string) {
	for _, x := range capacityParts {
		list = append(list, x.Without...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func runCapacity(p Params) (*Result, error) {
	percents := capacity.Percents
	if p.Quick {
		percents = []int{10, 100}
	}
	r := &Result{Size: fmt.Sprintf("%v %% of the target (%d workers, %d teams, %g starts a second)", percents,
		capacity.Target.Workers, capacity.Target.Teams, capacity.Target.Starts)}
	load := machineLoad()
	for _, x := range capacityParts {
		if only := p.selectedParts(); only != nil && !slices.Contains(only, x.Name) || p.Without != "" && !slices.Contains(x.Without, p.Without) {
			continue
		}
		q := CapacityParams{Params: p, Percents: percents}
		q.Out = fmt.Sprintf("%s/%s", p.Out, x.Name)
		if err := os.MkdirAll(q.Out, 0o755); err != nil {
			return nil, err
		}
		began := time.Now()
		found, err := x.Run(q)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.Name, err)
		}
		p.Log("part %s took %.1f s", x.Name, time.Since(began).Seconds())
		if r.Void == "" && found.Void != "" {
			r.Void = x.Name + ": " + found.Void
		}
		for _, c := range found.Claims {
			c.Name = x.Name + ": " + c.Name
			r.Claims = append(r.Claims, c)
		}
		for _, b := range found.Beside {
			b.Name = x.Name + ": " + b.Name
			r.Beside = append(r.Beside, b)
		}
		for _, w := range found.Rows {
			if math.IsNaN(w.Measured) || math.IsInf(w.Measured, 0) || !slices.ContainsFunc(capacity.Target.Lines(), func(l capacity.Line) bool { return l.Key == w.Line }) {
				return nil, fmt.Errorf("%s: %+v is no row of the target's", x.Name, w)
			}
		}
		r.Rows, r.Slopes, r.Plots = append(r.Rows, found.Rows...), append(r.Slopes, found.Slopes...), append(r.Plots, found.Plots...)
	}
	r.Command = fmt.Sprintf("bellstream-lab run capacity --seed %d", p.Seed)
	for _, x := range []struct{ flag, value string }{{"--only", p.Only}, {"--without", p.Without}} {
		if x.value != "" {
			r.Command += " " + x.flag + " " + x.value
		}
	}
	if p.Quick {
		r.Command += " --quick"
	}
	r.Build = build()
	r.Machine = fmt.Sprintf("%d processors, load %s at the start, %s at the end", runtime.NumCPU(), load, machineLoad())
	return r, nil
}

// build names what was built, as far as the program knows: the commit, and whether files differed from it.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, more := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= 7:
			commit = s.Value[:7]
		case s.Key == "vcs.modified" && s.Value == "true":
			more = " and changes"
		}
	}
	return commit + more
}

// machineLoad is how many threads wanted to run, over the last minute.
func machineLoad() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}
