package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Run is the JSON output of a run of the experiment, with the fields that the page uses.
type Run struct {
	Experiment string  `json:"experiment"`
	Command    string  `json:"command"`
	Build      string  `json:"build"`
	Seed       uint64  `json:"seed"`
	Machine    string  `json:"machine"`
	Void       string  `json:"void"`
	Claims     []Claim `json:"claims"`
	Rows       []Row   `json:"rows"`
	Slopes     []Slope `json:"slopes"`
}

// Claim is a claim of a run, with its result.
type Claim struct {
	Name     string  `json:"name"`
	Bound    float64 `json:"bound"`
	Measured float64 `json:"measured"`
	Unit     string  `json:"unit"`
	Held     bool    `json:"held"`
}

// ReadRun parses the output of a run. It returns an error for another experiment's run and for a void run.
func ReadRun(raw []byte) (r Run, err error) {
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, err
	}
	switch {
	case r.Experiment != "capacity":
		return r, fmt.Errorf("it is a run of %q", r.Experiment)
	case r.Void != "":
		return r, fmt.Errorf("it is void: %s", r.Void)
	}
	return r, nil
}

// Tables returns all tables that a page may show, made from the runs, which are numbered in the given order. The
// measurements of the runs in before, made before a mechanism was changed, appear only in the table of changes.
func Tables(runs, before []Run) []Table {
	var rows []Row
	var slopes []Slope
	played := Table{Name: "runs", Head: []string{"run", "command", "build", "machine", "claims"}}
	for i, run := range slices.Concat(runs, before) {
		number := fmt.Sprint(i + 1)
		if i >= len(runs) {
			number = fmt.Sprintf("before, %d", i+1-len(runs))
			run.Rows, run.Slopes = nil, nil
		}
		for _, r := range run.Rows {
			r.Run = i + 1
			rows = append(rows, r)
		}
		for _, s := range run.Slopes {
			s.Run = i + 1
			slopes = append(slopes, s)
		}
		broken := []string{}
		for _, c := range run.Claims {
			if !c.Held {
				broken = append(broken, fmt.Sprintf("%s: %s %s, stated %s", c.Name, Figure(c.Measured), c.Unit, Figure(c.Bound)))
			}
		}
		claims := fmt.Sprintf("%d hold", len(run.Claims)-len(broken))
		if len(broken) > 0 {
			claims += fmt.Sprintf("; %d broken: %s", len(broken), strings.Join(broken, "; "))
		}
		played.Rows = append(played.Rows, []string{number, "`" + run.Command + "`", run.Build, run.Machine, claims})
	}
	all := append(slices.Concat(rows, VoterPlacementRows()), Sums(rows)...)
	verdicts := Judge(Target, all, 100)
	return []Table{TargetTable(), VerdictTable(verdicts), OrderTable(NotCarriedVerdicts(verdicts)), BudgetTable(rows, 100), CountsTable(), SizesTable(all), SlopesTable(slopes), DelaysTable(), DayTable(), ChangeTable(before, runs), played}
}

// ChangeTable shows the effect of changing a mechanism, at each number of dispatchers that was run before and after the
// change: the mean over seeds of each cost that has a slope in both.
func ChangeTable(before, after []Run) Table {
	t := Table{Name: "change", Head: []string{"dispatchers"}}
	was, is := costsByDispatchers(before), costsByDispatchers(after)
	var xs []float64
	for _, a := range after {
		for _, s := range a.Slopes {
			if s.By != ByDispatchers || was[s.What] == nil {
				continue
			}
			if head := s.What + ", " + s.Unit; !slices.Contains(t.Head, head) {
				t.Head = append(t.Head, head)
			}
			for _, p := range s.Points {
				if _, ok := was[s.What][p.X]; ok {
					xs = append(xs, p.X)
				}
			}
		}
	}
	slices.Sort(xs)
	for _, x := range slices.Compact(xs) {
		line := []string{Figure(x)}
		for _, head := range t.Head[1:] {
			what := head[:strings.LastIndex(head, ", ")]
			line = append(line, Figure(stat.Mean(was[what][x], nil))+" → "+Figure(stat.Mean(is[what][x], nil)))
		}
		t.Rows = append(t.Rows, line)
	}
	return t
}

// costsByDispatchers returns the measurements of the slopes over dispatchers, by cost and then by number of dispatchers.
func costsByDispatchers(runs []Run) map[string]map[float64][]float64 {
	out := map[string]map[float64][]float64{}
	for _, r := range runs {
		for _, s := range r.Slopes {
			if s.By != ByDispatchers {
				continue
			}
			if out[s.What] == nil {
				out[s.What] = map[float64][]float64{}
			}
			for _, p := range s.Points {
				out[s.What][p.X] = append(out[s.What][p.X], p.Y)
			}
		}
	}
	return out
}

// OrderTable lists the given verdicts, which no setting carries, in the order of the list.
func OrderTable(list []Verdict) Table {
	t := Table{Name: "order", Head: []string{"", "target", "breaks from", "at 100 %", "bound"}}
	for i, v := range list {
		measured := Figure(v.Binds.Measured) + " " + v.Binds.Unit
		if v.Binds.How == NoMechanism {
			measured = string(NoMechanism)
		}
		t.Rows = append(t.Rows, []string{fmt.Sprint(i + 1), v.Name + ": " + v.Binds.What, fmt.Sprintf("%d %%", v.First), measured, Figure(v.Binds.Bound) + " " + v.Binds.Unit})
	}
	return t
}

// ErrTable is returned by Fill if the tables that the page names and the available or required ones do not match.
var ErrTable = errors.New("page: table")

var tablePlaceholder = regexp.MustCompile(`(?s)<!-- table ([a-z]+)( [a-z,-]+)? -->\n.*?<!-- end -->`)

// Fill puts each table where the page names it: between `<!-- table NAME -->` and `<!-- end -->`. Words after the name
// select the rows whose first cell is one of these words: `<!-- table sizes bytes,core -->`. Fill returns an
// [ErrTable] for an unknown table and for a page without one of the tables target, verdict, budget and runs.
func Fill(page string, tables []Table) (string, error) {
	var errs []error
	named := map[string]bool{}
	out := tablePlaceholder.ReplaceAllStringFunc(page, func(found string) string {
		m := tablePlaceholder.FindStringSubmatch(found)
		i := slices.IndexFunc(tables, func(t Table) bool { return t.Name == m[1] })
		if i < 0 {
			errs = append(errs, fmt.Errorf("%w: there is none named %q", ErrTable, m[1]))
			return found
		}
		named[m[1]] = true
		t := tables[i]
		if words := strings.TrimSpace(m[2]); words != "" {
			keep := strings.Split(words, ",")
			t.Rows = slices.DeleteFunc(slices.Clone(t.Rows), func(r []string) bool { return !slices.Contains(keep, r[0]) })
		}
		return "<!-- table " + m[1] + m[2] + " -->\n" + t.Markdown() + "<!-- end -->"
	})
	for _, name := range []string{"target", "verdict", "budget", "runs"} {
		if !named[name] {
			errs = append(errs, fmt.Errorf("%w: the page has no place for %q", ErrTable, name))
		}
	}
	return out, errors.Join(errs...)
}

// Markdown returns the table in Markdown.
func (t Table) Markdown() string {
	var b strings.Builder
	line := func(cells []string) {
		b.WriteString("|")
		for _, c := range cells {
			b.WriteString(" " + strings.ReplaceAll(cmp.Or(c, " "), "|", "\\|") + " |")
		}
		b.WriteString("\n")
	}
	line(t.Head)
	b.WriteString("|" + strings.Repeat(" --- |", len(t.Head)) + "\n")
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}
