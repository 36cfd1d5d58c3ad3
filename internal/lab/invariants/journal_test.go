package invariants

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const ms = int64(1e6)

// entry is what name acts on from at on, with a lease of 1 s; times in ms.
func entry(at int64, name string, version uint64, stage string) JournalEntry {
	return JournalEntry{At: at * ms, Name: name, Incarnation: 1, Version: version, Stage: stage, Leased: true, Until: (at + 1000) * ms, Table: fmt.Sprint(version, stage)}
}

// Each violation that a journal can show is found, and nothing else is, in
// histories by hand: version 3 is exclusive, the others are loose.
func TestEvaluate(t *testing.T) {
	lapsed := func(l JournalEntry) JournalEntry { l.Leased = false; return l }
	seats := func(l JournalEntry, list ...int) JournalEntry { l.Shards = list; return l }
	other := func(l JournalEntry) JournalEntry { l.Table = "another"; return l }
	stood := func(name string, from, to int64, killed bool) Pause {
		return Pause{Name: name, From: from * ms, To: to, Killed: killed}
	}
	late := func(l JournalEntry) JournalEntry { l.Until = l.At; return l }
	for name, c := range map[string]struct {
		lines []JournalEntry
		halts []Pause
		want  string  // exclusive, seats, forks, back, late
		loose float64 // s
		worst uint64
	}{
		"all steps of 3, one after the other": {[]JournalEntry{
			entry(100, "a", 2, InForce), entry(100, "b", 2, InForce), entry(200, "a", 2, Announced), entry(250, "b", 2, Announced),
			entry(300, "a", 2, Intersecting), entry(350, "b", 2, Intersecting), entry(400, "b", 3, InForce), entry(450, "a", 3, InForce)}, nil, "0 0 0 0 0", 0.05, 3},
		"old beside new":                 {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, nil, "1 0 0 0 0", 0.9, 3},
		"announced beside new":           {[]JournalEntry{entry(100, "a", 2, Announced), entry(200, "b", 3, InForce)}, nil, "1 0 0 0 0", 0.9, 3},
		"old beside narrow":              {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 2, Intersecting)}, nil, "0 0 0 0 0", 0, 0},
		"narrow beside new":              {[]JournalEntry{entry(100, "a", 2, Intersecting), entry(200, "b", 3, InForce)}, nil, "0 0 0 0 0", 0.9, 3},
		"an exclusive one in between":    {[]JournalEntry{entry(100, "a", 1, Intersecting), entry(200, "b", 5, InForce)}, nil, "1 0 0 0 0", 0.9, 2},
		"loose ones alone":               {[]JournalEntry{entry(100, "a", 3, InForce), entry(400, "b", 5, InForce)}, nil, "0 0 0 0 0", 0.7, 4},
		"loose, seen by a third as well": {[]JournalEntry{entry(100, "a", 4, InForce), entry(150, "c", 4, InForce), entry(400, "b", 5, InForce)}, nil, "0 0 0 0 0", 0.75, 5},
		"the lease ends first":           {[]JournalEntry{entry(100, "a", 2, InForce), entry(1100, "b", 3, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"no lease":                       {[]JournalEntry{entry(100, "a", 2, InForce), lapsed(entry(150, "a", 2, InForce)), entry(200, "b", 3, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"none":                           {[]JournalEntry{entry(100, "a", 2, InForce), entry(150, "a", 2, None), entry(200, "b", 3, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"stands still": {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce), entry(300, "b", 3, None)},
			[]Pause{stood("a", 150, 400*ms, false)}, "0 0 0 0 0", 0, 0},
		"wakes too early": {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, []Pause{stood("a", 150, 400*ms, false)}, "1 0 0 0 0", 0.7, 3},
		"another stands still": {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, []Pause{stood("c", 150, 1400*ms, false)},
			"1 0 0 0 0", 0.9, 3},
		"killed":             {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, []Pause{stood("a", 150, Forever, true)}, "0 0 0 0 0", 0, 0},
		"killed, and back":   {[]JournalEntry{entry(100, "a", 2, InForce), entry(500, "a", 3, InForce), entry(200, "b", 3, InForce)}, []Pause{stood("a", 150, 450*ms, true)}, "0 0 0 0 0", 0, 0},
		"back in a life":     {[]JournalEntry{entry(100, "a", 4, InForce), entry(200, "a", 3, InForce)}, nil, "0 0 0 1 0", 0, 0},
		"back over a start":  {[]JournalEntry{entry(100, "a", 4, Intersecting), entry(500, "a", 4, Announced)}, []Pause{stood("a", 150, 450*ms, true)}, "0 0 0 1 0", 0, 0},
		"withdrawn":          {[]JournalEntry{entry(100, "a", 3, Intersecting), entry(200, "a", 5, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"late":               {[]JournalEntry{late(entry(100, "a", 4, InForce))}, nil, "0 0 0 0 1", 0, 0},
		"two seats":          {[]JournalEntry{seats(entry(100, "a", 4, InForce), 1, 2), seats(entry(200, "b", 4, InForce), 2, 3)}, nil, "0 1 0 0 0", 0, 0},
		"two seats in turn":  {[]JournalEntry{seats(entry(100, "a", 4, InForce), 1, 2), seats(entry(150, "a", 4, InForce), 1), seats(entry(200, "b", 4, InForce), 2, 3)}, nil, "0 0 0 0 0", 0, 0},
		"two tables":         {[]JournalEntry{entry(100, "a", 4, InForce), other(entry(200, "b", 4, InForce))}, nil, "0 0 1 0 0", 0, 0},
		"out of order lines": {[]JournalEntry{entry(200, "a", 5, InForce), entry(100, "a", 4, InForce)}, nil, "0 0 0 0 0", 0, 0},
	} {
		a := Journals{Lines: c.lines, Pauses: c.halts}
		v := a.Evaluate(func(version uint64) bool { return version == 3 })
		got := fmt.Sprint(len(v.Exclusive), len(v.ShardConflicts), len(v.Forks), len(v.Regressions), len(v.Late))
		if got != c.want || v.Loose < c.loose-1e-6 || v.Loose > c.loose+1e-6 || v.Worst != c.worst {
			t.Errorf("%s: exclusive, seats, forks, back, late %s, want %s; loose %v of %d, want %v of %d", name, got, c.want, v.Loose, v.Worst, c.loose, c.worst)
		}
	}
}

// What groups of instances use together is the sum of the most that any of a group acts on, for as long
// as it may: leases, lines and halts end it, and one moment's end is no neighbour of its begin.
func TestLevels(t *testing.T) {
	uses := func(l JournalEntry, v float64) JournalEntry {
		l.Uses = map[string]float64{"s": v, "other": 99}
		return l
	}
	a := Journals{Lines: []JournalEntry{
		uses(entry(100, "e1", 2, InForce), 40), uses(entry(150, "e2", 2, InForce), 40),
		uses(entry(300, "e1", 3, InForce), 30), // e2 is cut off and acts on the old version until its lease ends
		uses(entry(1150, "w1", 7, InForce), 10), uses(entry(1250, "e1", 3, InForce), 30),
		uses(entry(1600, "w1", 8, None), 50), // no lease
	}, Pauses: []Pause{{Name: "e1", Sent: 1390 * ms, From: 1400 * ms, To: 1500 * ms}, {Name: "e1", Sent: 1600 * ms, From: 1700 * ms, To: Forever, Killed: true}}}
	var got []string
	for _, l := range a.Levels("s", func(name string) string { return name[:1] }) {
		got = append(got, fmt.Sprintf("%d: e %g w %g, %g", l.At/ms, l.By["e"], l.By["w"], l.Sum()))
	}
	// From 1150 on e2 acts no more.
	want := "100: e 40 w 0, 40; 1150: e 30 w 10, 40; 1400: e 0 w 10, 10; 1500: e 30 w 10, 40; 1600: e 30 w 0, 30; 1700: e 0 w 0, 0"
	if text := strings.Join(got, "; "); text != want {
		t.Errorf("%s\nwant %s", text, want)
	}
	a.Lines[3].At = 1149 * ms // a moment too early
	most := 0.0
	for _, l := range a.Levels("s", func(name string) string { return name[:1] }) {
		most = max(most, l.Sum())
	}
	if most != 50 {
		t.Errorf("at most %g together, want 50", most)
	}
}

// Journals are read line by line; what is torn or says what can't be is counted.
func TestReadJournal(t *testing.T) {
	good, _ := json.Marshal(entry(1, "a", 2, Intersecting))
	none := `{"at":5,"name":"a","stage":"none","leased":false}`
	lines, damaged := ReadJournal([]byte(string(good) + "\n\n" + none + "\nxx\n{\"at\":5,\"name\":\"a\",\"stage\":\"odd\"}\n{\"at\":0,\"name\":\"a\",\"stage\":\"none\"}\n{\"at\":5,\"name\":\"a\",\"version\":99999,\"stage\":\"none\"}\n" + string(good)))
	if len(lines) != 2 || damaged != 5 || lines[0].Until != 1001*ms || lines[0].through() != 3 || lines[1].effective() {
		t.Errorf("%+v, %d", lines, damaged)
	}
	if v := (&Journals{Damaged: damaged}).Evaluate(nil); v.Damaged != 5 {
		t.Errorf("%+v", v)
	}
	c := Conflict{A: entry(1, "a", 2, InForce), B: entry(1, "b", 3, InForce), From: 5 * ms, To: 7 * ms}
	if text := c.String(); !strings.Contains(text, "2.000 ms") || !strings.Contains(text, "a on 2") || !strings.Contains(text, "b on 3") {
		t.Error(text)
	}
}

func FuzzReadJournal(f *testing.F) {
	f.Add([]byte("{\"at\":5,\"name\":\"a\",\"version\":3,\"stage\":\"in force\",\"leased\":true,\"until\":9}\nx"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		lines, damaged := ReadJournal(raw)
		if all := strings.Count(string(raw), "\n") + 1; len(lines)+damaged > all {
			t.Errorf("%d lines and %d damaged of %d", len(lines), damaged, all)
		}
		(&Journals{Lines: lines, Damaged: damaged}).Evaluate(func(v uint64) bool { return v%2 == 0 })
	})
}
