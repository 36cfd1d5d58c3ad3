package capacity

import (
	"cmp"
	"slices"
	"strings"
)

// summedLines lists the target lines, and the periods, for which the kinds of control are summed.
var summedLines = []struct {
	line string
	when When
}{{Bytes, Mean}, {Bytes, Second}, {Bytes, Minute}, {Core, Mean}, {Memory, Mean}}

// mostReliableFirst lists the methods from the most to the least reliable.
var mostReliableFirst = []How{OnSockets, VirtualTime, Computed, Extrapolated}

// kindFigure returns the cost of one kind of control: the sum of the rows with the most reliable method that has any.
// If no run with the setting measured the kind, it returns the figure of the default settings. The result ok is false
// if there is no figure at all.
func kindFigure(rows []Row, kind Kind, line string, when When, percent int, setting string) (sum float64, how How, ok bool) {
	for _, with := range slices.Compact([]string{setting, ""}) {
		for _, how := range mostReliableFirst {
			for _, r := range rows {
				if r.Kind == kind && r.Line == line && r.When == when && r.Percent == percent && r.Setting == with && r.How == how {
					sum, ok = sum+r.Measured, true
				}
			}
			if ok {
				return sum, how, true
			}
		}
	}
	return 0, NotMeasured, false
}

// Sums adds up the kinds of control at each percentage, with the default settings and with each other setting. The
// text of a row names the kinds that were not measured. They count as 0: such a sum can break its bound, but if it is
// within the bound, it proves nothing and is marked as not measured.
func Sums(rows []Row) (out []Row) {
	rows = worstByLine(rows)
	type key struct {
		percent int
		setting string
	}
	var keys []key
	for _, r := range rows {
		if k := (key{r.Percent, r.Setting}); r.Kind != "" && !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.setting, b.setting), cmp.Compare(a.percent, b.percent))
	})
	for _, k := range keys {
		percent := k.percent
		for _, s := range summedLines {
			total, any, unmeasured := 0.0, false, []string(nil)
			for _, e := range Budget {
				if x, _, ok := kindFigure(rows, e.Kind, s.line, s.when, percent, k.setting); ok {
					total, any = total+x, true
				} else {
					unmeasured = append(unmeasured, string(e.Kind))
				}
			}
			if !any {
				continue
			}
			bound, unit := Target.Bytes, "B/s"
			switch s.line {
			case Core:
				bound, unit = Target.Core, "%"
			case Memory:
				bound, unit = Target.Memory, "MB"
			}
			what := "all control together"
			if s.when != Mean {
				what += ", " + string(s.when)
			}
			how := Computed
			if len(unmeasured) > 0 {
				what += ", without " + strings.Join(unmeasured, ", ")
				if total <= bound {
					how = NotMeasured
				}
			}
			r := AtMost(s.line, percent, what, bound, total, unit, how)
			r.Shown, r.Setting = s.when == Second, k.setting
			out = append(out, r)
		}
	}
	return out
}

// BudgetTable compares the sum over the kinds of control with what a dispatcher may spend. A kind without a figure is
// shown as not measured, and the sum as "at least" the sum of the other kinds.
func BudgetTable(rows []Row, percent int) Table {
	t := Table{Name: "budget", Head: []string{"kind", "grows with", "B/s, mean", "B/s, worst second", "B/s, minute after a zone went", "% of a core", "MB"}}
	rows = worstByLine(rows)
	total, unmeasured := make([]float64, len(summedLines)), make([]bool, len(summedLines))
	for _, e := range Budget {
		line := []string{string(e.Kind), e.By}
		for i, s := range summedLines {
			x, how, ok := kindFigure(rows, e.Kind, s.line, s.when, percent, "")
			if !ok {
				unmeasured[i] = true
				line = append(line, string(NotMeasured))
				continue
			}
			total[i] += x
			line = append(line, Figure(x)+" ("+string(how)+")")
		}
		t.Rows = append(t.Rows, line)
	}
	sum, bound := []string{"sum", ""}, []string{"may be spent", ""}
	for i, s := range summedLines {
		cell := Figure(total[i])
		if unmeasured[i] {
			cell = "at least " + cell
		}
		limit := Target.Bytes
		switch {
		case s.line == Core:
			limit = Target.Core
		case s.line == Memory:
			limit = Target.Memory
		}
		sum = append(sum, cell)
		if s.when == Second {
			bound = append(bound, "not judged")
		} else {
			bound = append(bound, Figure(limit))
		}
	}
	t.Rows = append(t.Rows, sum, bound)
	return t
}

// CountsTable shows why each kind counts as control.
func CountsTable() Table {
	t := Table{Name: "kinds", Head: []string{"kind", "counts, since"}}
	for _, e := range Budget {
		t.Rows = append(t.Rows, []string{string(e.Kind), e.Why})
	}
	return t
}
