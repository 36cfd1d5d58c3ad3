// Package experiments holds the experiments of bellstream-lab. They run on real processes over loopback or in
// virtual time. The claims of each are stated in advance and measured from outside, by the records of workers
// and clients.
package experiments

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"example.org/bellstream/internal/lab/capacity"
	"example.org/bellstream/internal/lab/report"
)

// Claim is a bound that was stated in advance, and the value that was measured.
type Claim struct {
	Name     string  `json:"name"`
	Bound    float64 `json:"bound"`
	Measured float64 `json:"measured"`
	Unit     string  `json:"unit"`
	Held     bool    `json:"held"`
}

// ContextFigure is a figure that is reported beside the claims for comparison, such as the value without the
// mechanism or an ideal value.
type ContextFigure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Result is the result of an experiment.
type Result struct {
	Experiment string          `json:"experiment"`
	Seed       uint64          `json:"seed"`
	Size       string          `json:"size"`
	Claims     []Claim         `json:"claims"`
	Held       bool            `json:"held"`
	Void       string          `json:"void,omitempty"` // why the run is invalid; empty: it is valid
	Beside     []ContextFigure `json:"beside,omitempty"`
	// Rows and Slopes are set by the capacity experiment, which is compared with the target.
	Rows    []capacity.Row   `json:"rows,omitempty"`
	Slopes  []capacity.Slope `json:"slopes,omitempty"`
	Command string           `json:"command,omitempty"` // command line that repeats the run
	Build   string           `json:"build,omitempty"`   // revision of the executable
	Machine string           `json:"machine,omitempty"` // load of the machine during the run
	// Plots appear only in HTML reports.
	Plots []report.Plot `json:"-"`
}

// Page returns the result as a report page.
func (r *Result) Page() *report.Page {
	p := &report.Page{Title: "bellstream: " + r.Experiment, Subtitle: fmt.Sprintf("Seed %d. %s.", r.Seed, r.Size), InvalidReason: r.Void, Plots: r.Plots,
		Notes: []string{"Claims were stated in advance and are measured from outside, by the records of workers and clients."}}
	for _, c := range r.Claims {
		p.Claims = append(p.Claims, report.Row{Name: c.Name, Bound: fmt.Sprintf("%.4g", c.Bound), Measured: fmt.Sprintf("%.4g", c.Measured), Unit: c.Unit, Passed: c.Held})
	}
	for _, b := range r.Beside {
		p.Context = append(p.Context, report.Row{Name: b.Name, Measured: fmt.Sprintf("%.4g", b.Value), Unit: b.Unit})
	}
	for _, t := range r.tables() {
		p.Tables = append(p.Tables, report.Table{Header: t.Head, Rows: t.Rows})
	}
	return p
}

// tables returns the tables of rows, verdicts and slopes, without the empty ones.
func (r *Result) tables() (list []capacity.Table) {
	if len(r.Rows) > 0 {
		all := append(slices.Clone(r.Rows), capacity.Sums(r.Rows)...)
		list = append(list, capacity.SizesTable(all), capacity.VerdictTable(capacity.Judge(capacity.Target, all, 100)))
	}
	if len(r.Slopes) > 0 {
		list = append(list, capacity.SlopesTable(r.Slopes))
	}
	return list
}

// AtLeast adds a claim that holds if measured >= bound; NaN does not hold.
func (r *Result) AtLeast(name string, bound, measured float64, unit string) {
	r.Claims = append(r.Claims, Claim{name, bound, measured, unit, measured >= bound})
}

// AtMost adds a claim that holds if measured <= bound; NaN does not hold.
func (r *Result) AtMost(name string, bound, measured float64, unit string) {
	r.Claims = append(r.Claims, Claim{name, bound, measured, unit, measured <= bound})
}

// Note adds a figure without a bound, for comparison.
func (r *Result) Note(name string, value float64, unit string) {
	r.Beside = append(r.Beside, ContextFigure{name, value, unit})
}

// Params are the parameters of a run.
type Params struct {
	Seed         uint64
	Quick        bool           // shorter run, within 50 s
	Without      string         // the mechanism to switch off; empty: none
	Only         string         // the parts to run, separated by commas; empty: all
	Out          string         // folder for logs; empty: a temporary folder that is removed after the run
	Program      string         // path of bellstream; empty: beside the running executable
	earlierBuild string         // path of an earlier build, for every second instance of a cluster; empty: all run Program
	processes    *[]*Dispatcher // started processes; one that ends by itself makes the run void
	Log          func(format string, args ...any)
}

// selectedParts returns the names of the parts to run, nil for all.
func (p Params) selectedParts() []string {
	if p.Only == "" {
		return nil
	}
	return strings.Split(p.Only, ",")
}

// executableOf returns the path of the executable for an instance of a cluster, given its number.
func (p Params) executableOf(instance int) string {
	if p.earlierBuild != "" && instance%2 == 1 {
		return p.earlierBuild
	}
	return p.Program
}

// Experiment is an experiment that bellstream-lab can run.
type Experiment struct {
	Name, About string
	Without     []string // mechanisms that can be switched off
	Parts       []string // parts that can be run alone
	Run         func(p Params) (*Result, error)
}

// Experiments lists all experiments.
var Experiments = []Experiment{countsExperiment, countsLarge, waitingExperiment, ageingExperiment, silentExperiment, scaleExperiment, fleetCostExperiment, agreeExperiment, loadExperiment, agreedExperiment, rebalanceExperiment, clustersExperiment, clustersRealExperiment, capacityExperiment}

// Find returns the experiment of that name, or nil.
func Find(name string) *Experiment {
	for i := range Experiments {
		if Experiments[i].Name == name {
			return &Experiments[i]
		}
	}
	return nil
}

// Play runs the experiment and sets whether the result holds. It returns an error for an unknown mechanism or
// part, or if the run fails. A process that ended by itself makes the result void.
func (e *Experiment) Play(p Params) (*Result, error) {
	if p.Without != "" && !slices.Contains(e.Without, p.Without) {
		return nil, fmt.Errorf("%s can be run without %v, not without %q", e.Name, e.Without, p.Without)
	}
	for _, name := range p.selectedParts() {
		if !slices.Contains(e.Parts, name) {
			return nil, fmt.Errorf("%s has the parts %v, not %q", e.Name, e.Parts, name)
		}
	}
	if p.Log == nil {
		p.Log = func(string, ...any) {}
	}
	if p.Program == "" {
		if self, err := os.Executable(); err == nil {
			p.Program = filepath.Join(filepath.Dir(self), "bellstream")
		}
	}
	if p.Out == "" {
		dir, err := os.MkdirTemp("", "bellstream-lab-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		p.Out = dir
	} else if err := os.MkdirAll(p.Out, 0o755); err != nil {
		return nil, err
	}
	began := time.Now()
	p.processes = new([]*Dispatcher)
	r, err := e.Run(p)
	if err != nil {
		return nil, err
	}
	for _, d := range *p.processes {
		if d.died {
			r.Void = fmt.Sprintf("process %s ended before its time", d.Name)
		}
	}
	r.setVerdict(e.Name, p.Seed)
	p.Log("%s took %.1f s", e.Name, time.Since(began).Seconds())
	return r, nil
}

// setVerdict sets the name, the seed and whether the result holds: it is not void, has claims, and all of them
// hold.
func (r *Result) setVerdict(name string, seed uint64) {
	r.Experiment, r.Seed, r.Held = name, seed, len(r.Claims) > 0 && r.Void == ""
	for _, c := range r.Claims {
		r.Held = r.Held && c.Held
	}
}

// InterruptedResult returns the void result of a run that was interrupted.
func (e *Experiment) InterruptedResult(seed uint64) *Result {
	r := &Result{Void: "it was ended before its time"}
	r.setVerdict(e.Name, seed)
	return r
}

// Print writes the result as text tables, or as JSON.
func (r *Result) Print(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seed %d, %s\n\nCLAIM\tBOUND\tMEASURED\tUNIT\tHELD\n", r.Experiment, r.Seed, r.Size)
	for _, c := range r.Claims {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%s\t%v\n", c.Name, c.Bound, c.Measured, c.Unit, c.Held)
	}
	if r.Void != "" {
		fmt.Fprintf(t, "\nVOID: %s: it shows nothing\n", r.Void)
	}
	if len(r.Beside) > 0 {
		fmt.Fprintf(t, "\nBESIDE\tVALUE\tUNIT\n")
		for _, b := range r.Beside {
			fmt.Fprintf(t, "%s\t%.4g\t%s\n", b.Name, b.Value, b.Unit)
		}
	}
	for _, x := range r.tables() {
		fmt.Fprintf(t, "\n%s\n", strings.ToUpper(strings.Join(x.Head, "\t")))
		for _, row := range x.Rows {
			fmt.Fprintln(t, strings.Join(row, "\t"))
		}
	}
	return t.Flush()
}
