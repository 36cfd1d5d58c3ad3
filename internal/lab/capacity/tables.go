package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Table is a table for a page, a report or a terminal.
type Table struct {
	Name string // name by which a page refers to it
	Head []string
	Rows [][]string
}

// TargetTable shows the lines of the target.
func TargetTable() Table {
	t := Table{Name: "target", Head: []string{"target", "figure", "unit", "scaled"}}
	for _, l := range Target.Lines() {
		scaled := "no"
		if l.Scale {
			scaled = "yes"
		}
		t.Rows = append(t.Rows, []string{l.Name, Figure(l.Value), l.Unit, scaled})
	}
	return t
}

// Figure formats a number with three significant digits, or from 100 on as an integer with thousands separators.
func Figure(x float64) string {
	switch a := math.Abs(x); {
	case math.IsInf(x, 1):
		return "no limit"
	case x == 0:
		return "0"
	case a >= 100:
		return groupThousands(strconv.FormatFloat(math.Round(x), 'f', 0, 64))
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// groupThousands inserts commas as thousands separators.
func groupThousands(digits string) string {
	sign := ""
	if digits[0] == '-' {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// SizesTable has a line for each figure that was compared with the target, and a column for each percentage. A figure
// that breaks its bound is marked with an exclamation mark.
func SizesTable(rows []Row) Table {
	t := Table{Name: "sizes", Head: []string{"line", "figure", "bound"}}
	var percents []int
	for _, r := range rows {
		percents = append(percents, r.Percent)
	}
	slices.Sort(percents)
	percents = slices.Compact(percents)
	for _, p := range percents {
		t.Head = append(t.Head, fmt.Sprintf("%d %%", p))
	}
	t.Head = append(t.Head, "how")
	type key struct {
		line, what, setting string
		how                 How
	}
	at, keys := map[key][]Row{}, []key{}
	for _, r := range worstByLine(rows) {
		k := key{r.Line, r.What, r.Setting, r.How}
		if at[k] == nil {
			keys = append(keys, k)
		}
		at[k] = append(at[k], r)
	}
	for _, k := range keys {
		list := at[k]
		first := list[0]
		word := "at most "
		if first.Least {
			word = "at least "
		}
		what := k.what
		if k.setting != "" {
			what += ", with " + k.setting
		}
		bound := word + Figure(first.Bound) + " " + first.Unit
		if slices.ContainsFunc(list, func(r Row) bool { return r.Bound != first.Bound }) {
			bound = word + "its part of " + Figure(list[len(list)-1].Bound) + " " + first.Unit
		}
		if first.Shown {
			bound = "not judged"
		}
		line := []string{k.line, what, bound}
		for _, p := range percents {
			cell := ""
			for _, r := range list { // one row: of several seeds, worstByLine keeps only the worst
				if r.Percent != p {
					continue
				}
				if r.How == NotMeasured || r.How == NoMechanism || r.How == NotYetJoined {
					cell = "-"
					continue
				}
				cell = Figure(r.Measured)
				if !r.Held && !r.Shown {
					cell += " !"
				}
			}
			line = append(line, cell)
		}
		t.Rows = append(t.Rows, append(line, source(k.how, first.Run)))
	}
	return t
}

// source formats how a figure was obtained and by which run; run 0 is none.
func source(how How, run int) string {
	if run == 0 {
		return string(how)
	}
	return fmt.Sprintf("%s [%d]", how, run)
}

// worstByLine returns the rows in the order of the target's lines; rows of the same line keep their order. Of several
// rows for the same figure and size it keeps only the one with the smallest margin.
func worstByLine(rows []Row) []Row {
	order := map[string]int{}
	for i, l := range Target.Lines() {
		order[l.Key] = i
	}
	type key struct {
		line, what, setting string
		how                 How
		kind                Kind
		when                When
		percent             int
	}
	worst, out := map[key]int{}, []Row(nil)
	for _, r := range rows {
		k := key{r.Line, r.What, r.Setting, r.How, r.Kind, r.When, r.Percent}
		i, ok := worst[k]
		if !ok {
			worst[k] = len(out)
			out = append(out, r)
			continue
		}
		if r.Margin() < out[i].Margin() {
			out[i] = r
		}
	}
	slices.SortStableFunc(out, func(a, b Row) int { return cmp.Compare(order[a.Line], order[b.Line]) })
	return out
}

// VerdictTable shows for each line of the target whether it is carried, which row binds, and the smallest percentage
// at which it breaks.
func VerdictTable(list []Verdict) Table {
	t := Table{Name: "verdict", Head: []string{"target", "figure", "verdict", "binds", "bound", "measured", "margin", "breaks from"}}
	for _, v := range list {
		state := string(v.State)
		if v.Setting != "" {
			state += ": " + v.Setting
		}
		line := []string{v.Name, Figure(v.Value) + " " + v.Unit, state, "-", "-", "-", "-", "-"}
		if b := v.Binds; b.Line != "" {
			line[3], line[4], line[5] = b.What, Figure(b.Bound)+" "+b.Unit, Figure(b.Measured)+" ("+source(b.How, b.Run)+")"
			line[6] = fmt.Sprintf("%.2g", v.Margin)
			if math.IsInf(v.Margin, 1) {
				line[6] = "no limit"
			}
		}
		if v.First > 0 {
			line[7] = fmt.Sprintf("%d %%", v.First)
		}
		t.Rows = append(t.Rows, line)
	}
	return t
}

// Values of [Slope].By: what a cost grows with.
const (
	ByDispatchers = "dispatchers"
	ByTeams       = "teams"
	ByWorkers     = "workers"
	ByStarts      = "starts a second"
	ByRunning     = "running tasks"
	ByTable       = "entries of the rules"
	ByChanges     = "changes a minute"
	ByRegions     = "regions"
)

// slopeSizes are the sizes at which a slope is evaluated: those of the target, and two numbers of dispatchers.
var slopeSizes = map[string][]float64{
	ByDispatchers: {44, 300}, ByTeams: {float64(Target.Teams)}, ByWorkers: {float64(Target.Workers)}, ByStarts: {Target.Starts},
	ByRunning: {float64(Target.Running)}, ByTable: {float64(Target.Teams)}, ByChanges: {float64(Target.Changes) / 1440}, ByRegions: {float64(Target.Regions)},
}

// SlopesTable has a line for each cost a + b x, with its value at the target's size and whether that size is within the
// sizes that were run or the value is extrapolated.
func SlopesTable(slopes []Slope) Table {
	t := Table{Name: "slopes", Head: []string{"cost", "unit", "a", "b", "x", "sizes played", "spread", "bend", "at the target", "how"}}
	for _, s := range slopes {
		var xs []float64
		for _, p := range s.Points {
			xs = append(xs, p.X)
		}
		slices.Sort(xs)
		played := ""
		for i, x := range slices.Compact(xs) {
			if i > 0 {
				played += " "
			}
			played += Figure(x)
		}
		line := []string{s.What, s.Unit, Figure(s.A), Figure(s.B), s.By, played, fmt.Sprintf("%.0f %%", 100*s.Spread), fmt.Sprintf("%.0f %%", 100*s.Bend), "-", source(s.How, s.Run)}
		for i, x := range slopeSizes[s.By] {
			cell := Figure(s.At(x)) + " at " + Figure(x)
			if s.Played(x) {
				cell += " (within what was played)"
			} else {
				cell += " (" + string(Extrapolated) + ")"
			}
			if i == 0 {
				line[8] = cell
			} else {
				line[8] += "; " + cell
			}
		}
		t.Rows = append(t.Rows, line)
	}
	return t
}
