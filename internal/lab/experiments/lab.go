// Package experiments is the project's laboratory: experiments on real processes over
// loopback or in virtual time, each with claims that were stated in advance and
// are measured from outside, by the workers' and the clients' own records.
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

// Claim is one promise and what was measured.
type Claim struct {
	Name     string  `json:"name"`
	Bound    float64 `json:"bound"`
	Measured float64 `json:"measured"`
	Unit     string  `json:"unit"`
	Held     bool    `json:"held"`
}

// ContextFigure is a figure that stands beside a claim: today's way, or an ideal.
type ContextFigure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Result is what an experiment found.
type Result struct {
	Experiment string          `json:"experiment"`
	Seed       uint64          `json:"seed"`
	Size       string          `json:"size"`
	Claims     []Claim         `json:"claims"`
	Held       bool            `json:"held"`
	Void       string          `json:"void,omitempty"` // why it shows nothing
	Beside     []ContextFigure `json:"beside,omitempty"`
	// Rows and Slopes are of the experiment that is held against the target.
	Rows    []capacity.Row   `json:"rows,omitempty"`
	Slopes  []capacity.Slope `json:"slopes,omitempty"`
	Command string           `json:"command,omitempty"` // by which it is played again
	Build   string           `json:"build,omitempty"`   // what was played
	Machine string           `json:"machine,omitempty"` // how busy it was
	// Plots are for reports.
	Plots []report.Plot `json:"-"`
}

// Page is the result as a report.
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

// tables hold the rows and slopes, where there are any.
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

// AtLeast claims that a figure is no smaller than its bound.
func (r *Result) AtLeast(name string, bound, measured float64, unit string) {
	r.Claims = append(r.Claims, Claim{name, bound, measured, unit, measured >= bound})
}

// AtMost claims that a figure is no larger than its bound. What is no figure holds nothing.
func (r *Result) AtMost(name string, bound, measured float64, unit string) {
	r.Claims = append(r.Claims, Claim{name, bound, measured, unit, measured <= bound})
}

// Note puts a figure beside the claims.
func (r *Result) Note(name string, value float64, unit string) {
	r.Beside = append(r.Beside, ContextFigure{name, value, unit})
}

// Params are what an experiment is run with.
type Params struct {
	Seed      uint64
	Quick     bool           // ends within 50 s
	Without   string         // the mechanism to switch off
	Only      string         // the parts to play, with commas between them; empty: all
	Out       string         // folder for logs; empty: a temporary one, removed
	Program   string         // bin/bellstream
	earlier   string         // the same of an earlier build, for every second instance of a cluster; empty: all are of one build
	processes *[]*Dispatcher // that were started and have to live until they are ended
	Log       func(format string, args ...any)
}

// only are the parts to play; none: all.
func (p Params) only() []string {
	if p.Only == "" {
		return nil
	}
	return strings.Split(p.Only, ",")
}

// programOf is the executable of an instance of a cluster, by its number.
func (p Params) programOf(instance int) string {
	if p.earlier != "" && instance%2 == 1 {
		return p.earlier
	}
	return p.Program
}

// Experiment is one of the laboratory's.
type Experiment struct {
	Name, About string
	Without     []string // what can be switched off
	Parts       []string // what can be played alone
	Run         func(p Params) (*Result, error)
}

// Experiments are all there are.
var Experiments = []Experiment{countsExperiment, countsLarge, waitingExperiment, ageingExperiment, silentExperiment, scaleExperiment, fleetCostExperiment, agreeExperiment, loadExperiment, agreedExperiment, rebalanceExperiment, clustersExperiment, clustersRealExperiment, capacityExperiment}

// Find returns an experiment by name.
func Find(name string) *Experiment {
	for i := range Experiments {
		if Experiments[i].Name == name {
			return &Experiments[i]
		}
	}
	return nil
}

// Play runs an experiment and judges its claims.
func (e *Experiment) Play(p Params) (*Result, error) {
	if p.Without != "" && !slices.Contains(e.Without, p.Without) {
		return nil, fmt.Errorf("%s can be run without %v, not without %q", e.Name, e.Without, p.Without)
	}
	for _, name := range p.only() {
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
	r.judge(e.Name, p.Seed)
	p.Log("%s took %.1f s", e.Name, time.Since(began).Seconds())
	return r, nil
}

// judge says whether all claims hold. What is void holds nothing.
func (r *Result) judge(name string, seed uint64) {
	r.Experiment, r.Seed, r.Held = name, seed, len(r.Claims) > 0 && r.Void == ""
	for _, c := range r.Claims {
		r.Held = r.Held && c.Held
	}
}

// InterruptedResult is the result of an experiment that was ended by hand.
func (e *Experiment) InterruptedResult(seed uint64) *Result {
	r := &Result{Void: "it was ended before its time"}
	r.judge(e.Name, seed)
	return r
}

// Print writes a result for people, or as JSON.
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
