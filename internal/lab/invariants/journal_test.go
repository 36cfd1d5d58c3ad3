package invariants

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const ms = int64(1e6)

// entry returns the entry of an instance at a time in ms, with a lease of 1 s.
func entry(at int64, name string, version uint64, stage string) JournalEntry {
	return JournalEntry{At: at * ms, Name: name, Incarnation: 1, Version: version, Stage: stage, Leased: true, Until: (at + 1000) * ms, Table: fmt.Sprint(version, stage)}
}

// Evaluate finds each kind of violation in handwritten journals, and nothing else.
// Version 3 conflicts exclusively with version 2, the other versions do not conflict
// exclusively.
func TestEvaluate(t *testing.T) {
	withoutLease := func(e JournalEntry) JournalEntry { e.Leased = false; return e }
	withShards := func(e JournalEntry, shards ...int) JournalEntry { e.Shards = shards; return e }
	withOtherTable := func(e JournalEntry) JournalEntry { e.Table = "another"; return e }
	pause := func(name string, from, to int64, killed bool) Pause {
		return Pause{Name: name, From: from * ms, To: to, Killed: killed}
	}
	expired := func(e JournalEntry) JournalEntry { e.Until = e.At; return e }
	for name, c := range map[string]struct {
		lines  []JournalEntry
		pauses []Pause
		want   string  // numbers of exclusive conflicts, shard conflicts, forks, regressions, late entries
		loose  float64 // s
		worst  uint64
	}{
		"all stages of version 3 in order": {[]JournalEntry{
			entry(100, "a", 2, InForce), entry(100, "b", 2, InForce), entry(200, "a", 2, Announced), entry(250, "b", 2, Announced),
			entry(300, "a", 2, Intersecting), entry(350, "b", 2, Intersecting), entry(400, "b", 3, InForce), entry(450, "a", 3, InForce)}, nil, "0 0 0 0 0", 0.05, 3},
		"old version beside new":                {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, nil, "1 0 0 0 0", 0.9, 3},
		"announced version beside new":          {[]JournalEntry{entry(100, "a", 2, Announced), entry(200, "b", 3, InForce)}, nil, "1 0 0 0 0", 0.9, 3},
		"old version beside intersection":       {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 2, Intersecting)}, nil, "0 0 0 0 0", 0, 0},
		"intersection beside new version":       {[]JournalEntry{entry(100, "a", 2, Intersecting), entry(200, "b", 3, InForce)}, nil, "0 0 0 0 0", 0.9, 3},
		"exclusive version in between":          {[]JournalEntry{entry(100, "a", 1, Intersecting), entry(200, "b", 5, InForce)}, nil, "1 0 0 0 0", 0.9, 2},
		"no exclusive version":                  {[]JournalEntry{entry(100, "a", 3, InForce), entry(400, "b", 5, InForce)}, nil, "0 0 0 0 0", 0.7, 4},
		"no exclusive version, three instances": {[]JournalEntry{entry(100, "a", 4, InForce), entry(150, "c", 4, InForce), entry(400, "b", 5, InForce)}, nil, "0 0 0 0 0", 0.75, 5},
		"lease ends first":                      {[]JournalEntry{entry(100, "a", 2, InForce), entry(1100, "b", 3, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"no lease":                              {[]JournalEntry{entry(100, "a", 2, InForce), withoutLease(entry(150, "a", 2, InForce)), entry(200, "b", 3, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"stage none":                            {[]JournalEntry{entry(100, "a", 2, InForce), entry(150, "a", 2, None), entry(200, "b", 3, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"paused": {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce), entry(300, "b", 3, None)},
			[]Pause{pause("a", 150, 400*ms, false)}, "0 0 0 0 0", 0, 0},
		"resumes before its lease ends": {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, []Pause{pause("a", 150, 400*ms, false)}, "1 0 0 0 0", 0.7, 3},
		"another instance is paused": {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, []Pause{pause("c", 150, 1400*ms, false)},
			"1 0 0 0 0", 0.9, 3},
		"killed":                    {[]JournalEntry{entry(100, "a", 2, InForce), entry(200, "b", 3, InForce)}, []Pause{pause("a", 150, Forever, true)}, "0 0 0 0 0", 0, 0},
		"killed and restarted":      {[]JournalEntry{entry(100, "a", 2, InForce), entry(500, "a", 3, InForce), entry(200, "b", 3, InForce)}, []Pause{pause("a", 150, 450*ms, true)}, "0 0 0 0 0", 0, 0},
		"regression":                {[]JournalEntry{entry(100, "a", 4, InForce), entry(200, "a", 3, InForce)}, nil, "0 0 0 1 0", 0, 0},
		"regression over a restart": {[]JournalEntry{entry(100, "a", 4, Intersecting), entry(500, "a", 4, Announced)}, []Pause{pause("a", 150, 450*ms, true)}, "0 0 0 1 0", 0, 0},
		"withdrawn version":         {[]JournalEntry{entry(100, "a", 3, Intersecting), entry(200, "a", 5, InForce)}, nil, "0 0 0 0 0", 0, 0},
		"late entry":                {[]JournalEntry{expired(entry(100, "a", 4, InForce))}, nil, "0 0 0 0 1", 0, 0},
		"shard with two owners":     {[]JournalEntry{withShards(entry(100, "a", 4, InForce), 1, 2), withShards(entry(200, "b", 4, InForce), 2, 3)}, nil, "0 1 0 0 0", 0, 0},
		"shard changes its owner":   {[]JournalEntry{withShards(entry(100, "a", 4, InForce), 1, 2), withShards(entry(150, "a", 4, InForce), 1), withShards(entry(200, "b", 4, InForce), 2, 3)}, nil, "0 0 0 0 0", 0, 0},
		"two tables of one version": {[]JournalEntry{entry(100, "a", 4, InForce), withOtherTable(entry(200, "b", 4, InForce))}, nil, "0 0 1 0 0", 0, 0},
		"entries out of order":      {[]JournalEntry{entry(200, "a", 5, InForce), entry(100, "a", 4, InForce)}, nil, "0 0 0 0 0", 0, 0},
	} {
		journals := Journals{Lines: c.lines, Pauses: c.pauses}
		v := journals.Evaluate(func(version uint64) bool { return version == 3 })
		got := fmt.Sprint(len(v.Exclusive), len(v.ShardConflicts), len(v.Forks), len(v.Regressions), len(v.Late))
		if got != c.want || v.Loose < c.loose-1e-6 || v.Loose > c.loose+1e-6 || v.Worst != c.worst {
			t.Errorf("%s: got counts %s, want %s; got longest coexistence %v s of version %d, want %v s of version %d",
				name, got, c.want, v.Loose, v.Worst, c.loose, c.worst)
		}
	}
}

// The rate of all groups together is the sum of the highest rate of each group's instances.
// An instance's rate counts until its lease ends, its next entry or a pause, and a span that
// ends at a time does not overlap one that begins at that time.
func TestLevels(t *testing.T) {
	withRate := func(e JournalEntry, rate float64) JournalEntry {
		e.Uses = map[string]float64{"s": rate, "other": 99}
		return e
	}
	journals := Journals{Lines: []JournalEntry{
		withRate(entry(100, "e1", 2, InForce), 40), withRate(entry(150, "e2", 2, InForce), 40),
		withRate(entry(300, "e1", 3, InForce), 30), // e2 is partitioned and uses the old version until its lease ends
		withRate(entry(1150, "w1", 7, InForce), 10), withRate(entry(1250, "e1", 3, InForce), 30),
		withRate(entry(1600, "w1", 8, None), 50), // no lease
	}, Pauses: []Pause{{Name: "e1", Sent: 1390 * ms, From: 1400 * ms, To: 1500 * ms}, {Name: "e1", Sent: 1600 * ms, From: 1700 * ms, To: Forever, Killed: true}}}
	var got []string
	for _, l := range journals.Levels("s", func(name string) string { return name[:1] }) {
		got = append(got, fmt.Sprintf("%d: e %g w %g, %g", l.At/ms, l.By["e"], l.By["w"], l.Sum()))
	}
	// e2 has no lease from 1150 on.
	want := "100: e 40 w 0, 40; 1150: e 30 w 10, 40; 1400: e 0 w 10, 10; 1500: e 30 w 10, 40; 1600: e 30 w 0, 30; 1700: e 0 w 0, 0"
	if text := strings.Join(got, "; "); text != want {
		t.Errorf("got levels %s\nwant %s", text, want)
	}
	journals.Lines[3].At = 1149 * ms // before the lease of e2 ends
	highest := 0.0
	for _, l := range journals.Levels("s", func(name string) string { return name[:1] }) {
		highest = max(highest, l.Sum())
	}
	if highest != 50 {
		t.Errorf("highest total rate: got %g, want 50", highest)
	}
}

// ReadJournal skips and counts lines that are incomplete, not JSON or not a valid entry.
func TestReadJournal(t *testing.T) {
	good, _ := json.Marshal(entry(1, "a", 2, Intersecting))
	none := `{"at":5,"name":"a","stage":"none","leased":false}`
	lines, damaged := ReadJournal([]byte(string(good) + "\n\n" + none + "\nxx\n{\"at\":5,\"name\":\"a\",\"stage\":\"odd\"}\n{\"at\":0,\"name\":\"a\",\"stage\":\"none\"}\n{\"at\":5,\"name\":\"a\",\"version\":99999,\"stage\":\"none\"}\n" + string(good)))
	if len(lines) != 2 || damaged != 5 || lines[0].Until != 1001*ms || lines[0].through() != 3 || lines[1].effective() {
		t.Errorf("got entries %+v and %d damaged lines, want 2 and 5", lines, damaged)
	}
	if v := (&Journals{Damaged: damaged}).Evaluate(nil); v.Damaged != 5 {
		t.Errorf("got verdict %+v, want 5 damaged lines", v)
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
			t.Errorf("got %d entries and %d damaged lines from %d lines", len(lines), damaged, all)
		}
		(&Journals{Lines: lines, Damaged: damaged}).Evaluate(func(v uint64) bool { return v%2 == 0 })
	})
}
