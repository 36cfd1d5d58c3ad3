package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Verdict is the result for one line of the target, derived from its rows.
type Verdict struct {
	Line
	State   State
	Setting string  // setting that carries the line, if the default does not
	Binds   Row     // row with the smallest margin at the judged size, with the default settings; zero if there is none
	Margin  float64 // [Row.Margin] of that row: at 2 half of the bound is used, at 0.5 twice the bound
	First   int     // smallest percentage at which a row breaks with the default settings; 0: none of those measured
}

// State is the outcome of a verdict.
type State string

// Outcomes of a verdict.
const (
	Carried     State = "carried"
	WithSetting State = "carried with settings"
	NotCarried  State = "not carried"
	Unknown     State = "not measured"
)

// Margin returns the bound divided by the figure or, for a row with Least, the figure divided by the bound: below 1
// the row is broken. If the divisor is not positive, it returns +Inf for a row that holds and 0 for one that does not;
// for a NaN it returns 0.
func (r Row) Margin() float64 {
	over, under := r.Bound, r.Measured
	if r.Least {
		over, under = under, over
	}
	switch {
	case math.IsNaN(r.Measured):
		return 0
	case under > 0:
		return over / under
	case r.Held:
		return math.Inf(1)
	}
	return 0
}

// Judge returns the verdict on each line at a percentage. A line is carried if all its rows hold. It is carried with a
// setting if every row that breaks by default was also measured with that setting and holds, and the setting breaks no
// row of any line. Parts of the budget's sum are not judged one by one: rows must include the result of [Sums].
func Judge(f Figures, rows []Row, percent int) (list []Verdict) {
	for _, l := range f.Lines() {
		list = append(list, judgeLine(l, rows, percent))
	}
	return list
}

func judgeLine(l Line, rows []Row, percent int) Verdict {
	v := Verdict{Line: l, State: Unknown}
	settings, unmeasured := []string{}, false
	for _, r := range rows {
		if r.Line != l.Key || r.Shown || r.Kind != "" {
			continue
		}
		if r.How == NotMeasured || r.How == NotYetJoined {
			unmeasured = unmeasured || r.Percent == percent && r.Setting == ""
			continue
		}
		if r.Setting == "" && !r.Held && (v.First == 0 || r.Percent < v.First) {
			v.First = r.Percent
		}
		if r.Percent != percent {
			continue
		}
		if r.Setting != "" {
			settings = append(settings, r.Setting)
			continue
		}
		if v.State == Unknown {
			v.State = Carried
		}
		if !r.Held {
			v.State = NotCarried
		}
		if v.Binds.Line == "" || r.Margin() <= v.Margin { // of equal margins the last row binds: sums are last
			v.Binds, v.Margin = r, r.Margin()
		}
	}
	if unmeasured && v.State == Carried { // the missing figure could break the bound
		v.State = Unknown
	}
	if v.State != NotCarried {
		return v
	}
	slices.Sort(settings)
	for _, s := range slices.Compact(settings) {
		breaks := func(r Row) bool { return r.Setting == s && r.Percent == percent && !r.Held && !r.Shown && r.Kind == "" }
		if !slices.ContainsFunc(rows, breaks) && settingFixes(l.Key, s, rows, percent) {
			v.State, v.Setting = WithSetting, s
			break
		}
	}
	return v
}

// settingFixes reports whether every row of the line that breaks by default was measured with the setting and held.
func settingFixes(line, setting string, rows []Row, percent int) bool {
	for _, r := range rows {
		if r.Line != line || r.Percent != percent || r.Setting != "" || r.Held || r.Shown || r.Kind != "" {
			continue
		}
		if !slices.ContainsFunc(rows, func(o Row) bool {
			return o.Line == line && o.Percent == percent && o.What == r.What && o.Setting == setting && o.Held
		}) {
			return false
		}
	}
	return true
}

// NotCarriedVerdicts returns the verdicts on lines that no setting carries, in the order in which they bind: by the
// smallest percentage at which a line breaks, then by margin.
func NotCarriedVerdicts(list []Verdict) []Verdict {
	list = slices.DeleteFunc(slices.Clone(list), func(v Verdict) bool { return v.State != NotCarried })
	slices.SortStableFunc(list, func(a, b Verdict) int { return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Margin, b.Margin)) })
	return list
}
