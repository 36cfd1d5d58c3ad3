package invariants

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math"
	"slices"
)

// Stages of an instance's configuration, as journals hold them.
const (
	Announced    = "announced" // a next version is known; the version in force is effective
	Intersecting = "narrow"    // the intersection of the version in force and the next one is effective
	InForce      = "in force"  // no next version is known
	None         = "none"      // no version is effective, as there is no lease
)

// stages are in the order in which an instance passes them between two versions.
var stages = []string{InForce, Announced, Intersecting}

// maxVersion bounds the versions of a journal, as Evaluate iterates over them.
const maxVersion = 1 << 16

// JournalEntry is the effective configuration of an instance from At until its next
// entry, the end of its lease or the end of its process, whichever is first. Each
// renewal of a lease adds an entry. Times are in ns on one monotonic clock.
type JournalEntry struct {
	At          int64  `json:"at"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`    // higher with each start
	Version     uint64 `json:"version"` // in force; at Intersecting the next version is respected, too
	Stage       string `json:"stage"`
	Leased      bool   `json:"leased"`
	Until       int64  `json:"until"` // end of the lease
	Table       string `json:"table"` // digest of the effective configuration
	Shards      []int  `json:"seats"` // that the instance owns

	Uses map[string]float64 `json:"uses"` // slot starts per second that the instance allows, by service
}

// effective reports whether the instance has an effective version.
func (e JournalEntry) effective() bool { return e.Leased && e.Stage != None }

// through returns the newest version that the effective configuration respects.
func (e JournalEntry) through() uint64 {
	if e.Stage == Intersecting {
		return e.Version + 1
	}
	return e.Version
}

// before reports whether the entry has a lower version than another one, or the same
// version at an earlier stage.
func (e JournalEntry) before(other JournalEntry) bool {
	return cmp.Or(
		cmp.Compare(e.Version, other.Version),
		cmp.Compare(slices.Index(stages, e.Stage), slices.Index(stages, other.Stage)),
	) < 0
}

// valid reports whether an instance can have written the entry.
func (e JournalEntry) valid() bool {
	knownStage := e.Stage == None || slices.Contains(stages, e.Stage)
	return e.Name != "" && e.At > 0 && e.Version <= maxVersion && knownStage
}

// ReadJournal reads a journal, which has one JSON entry per line. It skips damaged lines
// and returns their number; a last line without line feed is damaged.
func ReadJournal(raw []byte) (entries []JournalEntry, damaged int) {
	for line := range bytes.Lines(raw) {
		complete := bytes.HasSuffix(line, []byte("\n"))
		if complete && len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var entry JournalEntry
		if !complete || json.Unmarshal(line, &entry) != nil || !entry.valid() {
			damaged++
			continue
		}
		entries = append(entries, entry)
	}
	return entries, damaged
}

// Forever is the end of a Pause that does not end.
const Forever = math.MaxInt64

// Pause is an interval in which an instance did not run, as the process that stopped it
// recorded it. Times are in ns.
type Pause struct {
	Name   string
	Sent   int64 // when the signal to stop was sent
	From   int64 // from then on the process has certainly stopped
	To     int64 // when the process was continued
	Killed bool  // the process ended at From
}

// Journals holds the entries and pauses of all instances.
type Journals struct {
	Lines   []JournalEntry
	Pauses  []Pause
	Damaged int // unreadable lines
}

// span is an interval in which an instance ran with one effective configuration.
type span struct {
	JournalEntry
	from int64
	to   int64
}

// byName returns the entries of each instance in order of time, and the sorted names.
func (a *Journals) byName() (entries map[string][]JournalEntry, names []string) {
	entries = map[string][]JournalEntry{}
	for _, e := range a.Lines {
		if entries[e.Name] == nil {
			names = append(names, e.Name)
		}
		entries[e.Name] = append(entries[e.Name], e)
	}
	slices.Sort(names)
	for _, list := range entries {
		slices.SortStableFunc(list, func(x, y JournalEntry) int { return cmp.Compare(x.At, y.At) })
	}
	return entries, names
}

// spans returns the spans of all instances in order of their start. It adds to v the
// expired leases and the regressions in each instance's own entries.
func (a *Journals) spans(v *Verdict) (spans []span) {
	entries, names := a.byName()
	for _, name := range names {
		list := entries[name]
		var highest JournalEntry
		for i, e := range list {
			if !e.effective() {
				continue
			}
			v.checkLease(e)
			highest = v.checkOrder(highest, e)
			end := e.Until
			if i+1 < len(list) {
				end = min(end, list[i+1].At)
			}
			spans = append(spans, a.withoutPauses(e, end)...)
		}
	}
	slices.SortStableFunc(spans, func(x, y span) int { return cmp.Compare(x.from, y.from) })
	return spans
}

// withoutPauses returns the parts of the interval from an entry to end in which the
// instance ran.
func (a *Journals) withoutPauses(e JournalEntry, end int64) (ran []span) {
	rest := []span{{e, e.At, end}}
	for _, pause := range a.Pauses {
		if pause.Name == e.Name && pause.To > e.At {
			rest = cutPause(rest, pause)
		}
	}
	for _, s := range rest {
		if s.from < s.to {
			ran = append(ran, s)
		}
	}
	return ran
}

// cutPause removes a pause from the spans of the paused instance.
func cutPause(spans []span, pause Pause) (rest []span) {
	for _, s := range spans {
		if before := min(s.to, pause.From); s.from < before {
			rest = append(rest, span{s.JournalEntry, s.from, before})
		}
		if after := max(s.from, pause.To); !pause.Killed && after < s.to {
			rest = append(rest, span{s.JournalEntry, after, s.to})
		}
	}
	return rest
}
