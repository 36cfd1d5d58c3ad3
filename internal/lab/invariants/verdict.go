package invariants

import (
	"fmt"
	"slices"
)

const nanosecondsPerSecond = 1e9

// Verdict is the result of the evaluation of journals.
type Verdict struct {
	Exclusive      []Conflict // exclusively conflicting configurations that were effective at the same time
	ShardConflicts []Conflict // a shard had two owners at the same time
	Forks          []Conflict // two tables had the same version and stage
	Loose          float64    // longest interval in s in which a version and an older one were effective
	Worst          uint64     // the version with that interval
	Regressions    []string   // versions that decreased at an instance, also over restarts
	Late           []string   // entries written when their lease had expired
	Damaged        int        // unreadable lines
	Spans          int        // number of intervals that were compared
}

// Conflict is an interval in which two instances had conflicting configurations.
type Conflict struct {
	A    JournalEntry
	B    JournalEntry
	From int64
	To   int64
}

func (c Conflict) String() string {
	return fmt.Sprintf("%.3f ms from %d on: %s on %d %s beside %s on %d %s", float64(c.To-c.From)/1e6, c.From,
		c.A.Name, c.A.Version, c.A.Stage, c.B.Name, c.B.Version, c.B.Stage)
}

// Evaluate checks the journals. Exclusive reports whether a version conflicts
// exclusively with the previous one, so that both must not be effective at the same
// time. It must return false for a withdrawn version.
func (a *Journals) Evaluate(exclusive func(version uint64) bool) *Verdict {
	v := &Verdict{Damaged: a.Damaged}
	spans := a.spans(v)
	v.Spans = len(spans)
	v.compare(spans, exclusive)
	return v
}

// checkLease records an entry that was written when its lease had expired.
func (v *Verdict) checkLease(e JournalEntry) {
	if e.At >= e.Until {
		v.Late = append(v.Late,
			fmt.Sprintf("%s says at %d that it acts on %d until %d", e.Name, e.At, e.Version, e.Until))
	}
}

// checkOrder records an entry that is below the instance's highest one so far, and
// returns the higher of both.
func (v *Verdict) checkOrder(highest, e JournalEntry) JournalEntry {
	if !e.before(highest) {
		return e
	}
	v.Regressions = append(v.Regressions, fmt.Sprintf("%s went from %d %s back to %d %s at %d",
		e.Name, highest.Version, highest.Stage, e.Version, e.Stage, e.At))
	return highest
}

// interval is the time from the start of the first to the end of the last coexistence of
// a version with an older one.
type interval struct {
	first int64
	last  int64
}

// compare compares all pairs of configurations that were effective at the same time.
func (v *Verdict) compare(spans []span, exclusive func(uint64) bool) {
	coexisted := map[uint64]interval{} // by version
	var open []span
	for _, s := range spans {
		open = slices.DeleteFunc(open, func(o span) bool { return o.to <= s.from })
		for _, other := range open {
			if other.Name != s.Name {
				v.comparePair(other, s, exclusive, coexisted)
			}
		}
		open = append(open, s)
	}
	v.setLoose(coexisted)
}

// comparePair compares two overlapping spans. Span b did not begin before span a.
func (v *Verdict) comparePair(a, b span, exclusive func(uint64) bool, coexisted map[uint64]interval) {
	c := Conflict{
		A:    a.JournalEntry,
		B:    b.JournalEntry,
		From: b.from,
		To:   min(a.to, b.to),
	}
	low, high := a, b
	if high.Version < low.Version {
		low, high = high, low
	}
	conflicts := false
	for version := low.Version + 1; version <= high.Version; version++ {
		if version > low.through() && exclusive(version) {
			conflicts = true
		}
		extend(coexisted, version, c)
	}
	if conflicts {
		v.Exclusive = append(v.Exclusive, c)
	}
	if ownSameShard(a, b) {
		v.ShardConflicts = append(v.ShardConflicts, c)
	}
	if a.Version == b.Version && a.Stage == b.Stage && a.Table != b.Table {
		v.Forks = append(v.Forks, c)
	}
}

// extend extends the interval of a version to include the time of a conflict.
func extend(coexisted map[uint64]interval, version uint64, c Conflict) {
	known, ok := coexisted[version]
	if !ok {
		known.first = c.From
	}
	coexisted[version] = interval{
		first: min(known.first, c.From),
		last:  max(known.last, c.To),
	}
}

func ownSameShard(a, b span) bool {
	return slices.ContainsFunc(a.Shards, func(shard int) bool { return slices.Contains(b.Shards, shard) })
}

// setLoose sets Loose and Worst to the longest interval; of equal intervals, to that of
// the lowest version.
func (v *Verdict) setLoose(coexisted map[uint64]interval) {
	for version, i := range coexisted {
		seconds := float64(i.last-i.first) / nanosecondsPerSecond
		if seconds > v.Loose || seconds == v.Loose && version < v.Worst {
			v.Loose = seconds
			v.Worst = version
		}
	}
}
