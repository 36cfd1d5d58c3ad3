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

// CapacityPart measures one mechanism, or several that cannot be measured separately, at each percentage of the
// target.
type CapacityPart struct {
	Name, About string
	Without     []string // mechanisms that can be switched off
	Run         func(p CapacityParams) (*CapacityResult, error)
}

// CapacityParams are the parameters of a part's run.
type CapacityParams struct {
	Params
	Percents []int // percentages of the target to measure at, ascending; 100 is always included
}

// Load returns the workload at a percentage of the target. It is the same for all parts of one run.
func (p CapacityParams) Load(percent int) *capacity.Load { return capacity.NewLoad(percent, p.Seed) }

// CapacityResult is what a part measured. Claims are the product's stated bounds; one broken claim fails the run.
// Rows are compared with the target: if a row breaks its bound, the target is not reached, but the run does not fail.
type CapacityResult struct {
	Result
	Rows   []capacity.Row
	Slopes []capacity.Slope
}

// AddRows appends rows to the table.
func (f *CapacityResult) AddRows(rows ...capacity.Row) { f.Rows = append(f.Rows, rows...) }

// AddSlope fits a line through points and keeps it. It returns an error if the line cannot be fitted.
func (f *CapacityResult) AddSlope(what, by, unit string, how capacity.How, kind capacity.Kind, points []capacity.Point) error {
	s, err := capacity.Fit(what, by, unit, how, points)
	if err != nil {
		return fmt.Errorf("slope of %s: %w", what, err)
	}
	s.Kind = kind
	f.Slopes = append(f.Slopes, s)
	return nil
}

// capacityParts run in this order. Each is declared in a file of its own.
var capacityParts = []CapacityPart{
	exchangePart,

	growthPart,

	listsPart,

	hollowPart,

	versionsPart,

	tasksPart,
}

func capacityNames() (names []string) {
	for _, part := range capacityParts {
		names = append(names, part.Name)
	}
	return names
}

func capacityWithout() (list []string) {
	for _, part := range capacityParts {
		list = append(list, part.Without...)
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
	for _, part := range capacityParts {
		if only := p.selectedParts(); only != nil && !slices.Contains(only, part.Name) || p.Without != "" && !slices.Contains(part.Without, p.Without) {
			continue
		}
		partParams := CapacityParams{Params: p, Percents: percents}
		partParams.Out = fmt.Sprintf("%s/%s", p.Out, part.Name)
		if err := os.MkdirAll(partParams.Out, 0o755); err != nil {
			return nil, err
		}
		began := time.Now()
		found, err := part.Run(partParams)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", part.Name, err)
		}
		p.Log("part %s took %.1f s", part.Name, time.Since(began).Seconds())
		if r.Void == "" && found.Void != "" {
			r.Void = part.Name + ": " + found.Void
		}
		for _, c := range found.Claims {
			c.Name = part.Name + ": " + c.Name
			r.Claims = append(r.Claims, c)
		}
		for _, b := range found.Beside {
			b.Name = part.Name + ": " + b.Name
			r.Beside = append(r.Beside, b)
		}
		for _, row := range found.Rows {
			if math.IsNaN(row.Measured) || math.IsInf(row.Measured, 0) || !slices.ContainsFunc(capacity.Target.Lines(), func(l capacity.Line) bool { return l.Key == row.Line }) {
				return nil, fmt.Errorf("%s: row %+v: the value is not finite or the target has no such line", part.Name, row)
			}
		}
		r.Rows, r.Slopes, r.Plots = append(r.Rows, found.Rows...), append(r.Slopes, found.Slopes...), append(r.Plots, found.Plots...)
	}
	r.Command = fmt.Sprintf("bellstream-lab run capacity --seed %d", p.Seed)
	for _, option := range []struct{ flag, value string }{{"--only", p.Only}, {"--without", p.Without}} {
		if option.value != "" {
			r.Command += " " + option.flag + " " + option.value
		}
	}
	if p.Quick {
		r.Command += " --quick"
	}
	r.Build = build()
	r.Machine = fmt.Sprintf("%d processors, load %s at the start, %s at the end", runtime.NumCPU(), load, machineLoad())
	return r, nil
}

// build returns the commit that the program was built from, and whether files differed from it; "unknown" if the
// build information is missing.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, suffix := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= 7:
			commit = s.Value[:7]
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = " and changes"
		}
	}
	return commit + suffix
}

// machineLoad returns the machine's load average over the last minute, or "unknown".
func machineLoad() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}
