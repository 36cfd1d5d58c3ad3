package capacity

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
)

func withKind(r Row, k Kind, w When) Row {
	r.Kind, r.When, r.Shown = k, w, w == Second
	return r
}

// rowPerKind returns a row for each kind of control, each with the same measured value.
func rowPerKind(line string, percent int, each float64, unit string, w When) (rows []Row) {
	for _, e := range Budget {
		rows = append(rows, withKind(AtMost(line, percent, string(e.Kind), 5000, each, unit, OnSockets), e.Kind, w))
	}
	return rows
}

// Sums adds up the kinds of control and uses only the most reliable method of each kind. A sum that lacks a kind can
// break its bound, but within the bound it counts as not measured.
func TestSums(t *testing.T) {
	rows := rowPerKind(Bytes, 100, 100, "B/s", Mean)
	rows = append(rows, withKind(AtMost(Bytes, 100, "counts, played", 5000, 9000, "B/s", VirtualTime), Counts, Mean)) // not used: the figure on sockets, 100, takes precedence
	rows = append(rows, withKind(AtMost(Bytes, 100, "lists, more of them", 5000, 50, "B/s", OnSockets), Lists, Mean))
	rows = append(rows, rowPerKind(Bytes, 100, 2000, "B/s", Second)...)
	rows = append(rows, withKind(AtMost(Core, 100, "counts", 1.8, 2, "%", VirtualTime), Counts, Mean))
	rows = append(rows, withKind(AtMost(Memory, 100, "counts", 256, 2, "MB", VirtualTime), Counts, Mean))
	seatsWithSetting := withKind(AtMost(Bytes, 100, "seats", 5000, 7000, "B/s", OnSockets), Seats, Mean)
	seatsWithSetting.Setting = "other"
	rows = append(rows, seatsWithSetting)
	sums := Sums(rows)
	got := map[string]Row{}
	for _, r := range sums {
		if r.Setting != "" { // 7000 for seats with the setting, the default figures for the other kinds
			if r.Line == Bytes && r.What == "all control together" && r.Measured != 7650 {
				t.Errorf("sum with a setting: got %+v, want 7650", r)
			}
			continue
		}
		got[r.Line+" "+strings.Split(r.What, ", without")[0]] = r
	}
	mean, second := got["bytes all control together"], got["bytes all control together, the worst second"]
	if want := 100.0*float64(len(Budget)) + 50; len(got) != 4 || mean.Measured != want || mean.How != Computed || !mean.Held {
		t.Errorf("mean: got %+v, want %v", mean, want)
	}
	if second.Measured != 2000*float64(len(Budget)) || second.Held || !second.Shown {
		t.Errorf("worst second: got %+v", second)
	}
	core, memory := got["core all control together"], got["memory all control together"]
	if core.Held || core.How != Computed || memory.How != NotMeasured {
		t.Errorf("sums that lack kinds: got core %+v, memory %+v", core, memory)
	}
	verdicts := map[string]Verdict{}
	for _, v := range Judge(Target, append(rows, sums...), 100) {
		verdicts[v.Key] = v
	}
	if verdicts[Core].State != NotCarried || verdicts[Memory].State != Unknown || verdicts[Core].Binds.What != core.What || verdicts[Bytes].State != Carried || math.Abs(verdicts[Bytes].Margin-5000.0/750) > 1e-9 {
		t.Errorf("verdicts: got core %+v, bytes %+v", verdicts[Core], verdicts[Bytes])
	}
	table := BudgetTable(rows, 100)
	sum := table.Rows[len(table.Rows)-2]
	if len(table.Rows) != len(Budget)+2 || sum[2] != "750" || sum[3] != "14,000" || sum[4] != "at least 0" || sum[5] != "at least 2" {
		t.Errorf("sum row of the budget table: got %v", sum)
	}
}

const blankPage = `# Page
<!-- table target -->
<!-- end -->
text
<!-- table verdict -->
before it was written
<!-- end -->
<!-- table budget -->
<!-- end -->
<!-- table sizes bytes,core -->
<!-- end -->
<!-- table change -->
<!-- end -->
<!-- table runs -->
<!-- end -->
last
`

// The tables of delays and of an ordinary day, and the rows on the placement of voters, are computed from the target
// and from the production code's bounds.
func TestComputedTables(t *testing.T) {
	delays := DelaysTable()
	if len(delays.Rows) != 2*len(Delays) {
		t.Fatalf("delays table: got rows %v", delays.Rows)
	}
	// At 150 ms and a period of 0.75 s, two answers of eight delays each do not fit into a lease of 3 s.
	for i, want := range []string{"while all live", "while all live", "loose ones alone", "while all live", "-", "loose ones alone"} {
		if r := delays.Rows[i]; (r[2] == "taken") != (want != "-") || want == "-" && !strings.HasPrefix(r[2], "refused: accord.delay") || r[7] != want {
			t.Errorf("delays table: got row %v, want %q", r, want)
		}
	}
	day := DayTable()
	for i, want := range []string{"133", "5.86", "391", "692", "69.4", "692", "1,700"} {
		if day.Rows[i][1] != want {
			t.Errorf("day table: got row %v, want %s", day.Rows[i], want)
		}
	}
	for _, r := range VoterPlacementRows() {
		if !r.Held || r.How != Computed {
			t.Errorf("placement of voters: got row %+v", r)
		}
	}
	was := Voters
	defer func() { Voters = was }()
	Voters = []int{0, 0, 0, 1, 2}
	if VoterPlacementRows()[0].Held {
		t.Error("a placement with three of five voters in one region holds")
	}
}

// Fill puts the tables of the runs into a page and keeps the text between them; a second Fill changes nothing. A page
// with an unknown table or without a required one is an error, and so is a run that is not a valid capacity run.
func TestFill(t *testing.T) {
	raw, _ := json.Marshal(Run{Experiment: "capacity", Command: "bellstream-lab run capacity --seed 5", Build: "abc", Machine: "8 processors",
		Rows:   append(rowPerKind(Bytes, 100, 100, "B/s", Mean), AtMost(InForce, 100, "ten | at once", 4, 22, "s", OnSockets)),
		Slopes: []Slope{{What: "bytes", By: ByDispatchers, Unit: "B/s", Points: []Point{{5, 1}, {300, 2}}}},
		Claims: []Claim{{Name: "fine", Held: true}, {Name: "bad", Bound: 1, Measured: 2, Unit: "s"}}})
	run, err := ReadRun(raw)
	if err != nil {
		t.Fatal(err)
	}
	tables := Tables([]Run{run}, []Run{{Command: "earlier", Slopes: []Slope{{What: "bytes", By: ByDispatchers, Unit: "B/s", Points: []Point{{5, 10}, {5, 30}, {44, 7}}}}}})
	page, err := Fill(blankPage, tables)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"# Page\n", "\ntext\n", "\nlast\n", "| workers | 1,000 |", "not carried | ten \\| at once | 4 s | 22 (on sockets [1])",
		"`bellstream-lab run capacity --seed 5` | abc | 8 processors | 1 hold; 1 broken: bad: 2 s, stated 1", "| bytes | membership |", "| dispatchers | bytes, B/s |\n| --- | --- |\n| 5 | 20 → 1 |\n<!-- end -->", "| before, 1 | `earlier` |", "| may be spent |"} {
		if !strings.Contains(page, want) {
			t.Errorf("%q is missing in the page\n%s", want, page)
		}
	}
	if strings.Contains(page, "| in-force |") || strings.Contains(page, "before it") {
		t.Errorf("the page has unselected rows or old text:\n%s", page)
	}
	if again, err := Fill(page, tables); err != nil || again != page {
		t.Errorf("filling the page again: got error %v and\n%s", err, again)
	}
	for _, bad := range []string{strings.Replace(blankPage, "table sizes", "table nosuch", 1), strings.Replace(blankPage, "table budget", "xx", 1)} {
		if _, err := Fill(bad, tables); !errors.Is(err, ErrTable) {
			t.Errorf("page with a wrong table: got error %v, want ErrTable", err)
		}
	}
	for _, bad := range []string{"{", `{"experiment":"counts"}`, `{"experiment":"capacity","void":"it was ended"}`} {
		if _, err := ReadRun([]byte(bad)); err == nil {
			t.Errorf("ReadRun accepts %s", bad)
		}
	}
}
