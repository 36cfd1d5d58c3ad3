package dispatcher

import (
	"maps"
	"slices"
	"strings"
)

// recentMost bounds how many ids one generation remembers: some 1 MB in all.
const recentMost = 8192

// recent remembers the ids of requests for a span of time at least, unless
// there are very many. Ids are never reused, so one that comes again after its
// answer is somebody else's: passed on, it could run the job a second time.
type recent struct {
	span     float64
	now, old map[string]bool
	turned   float64 // when now was begun
}

func newRecent(span, at float64) *recent {
	return &recent{span: span, now: map[string]bool{}, old: map[string]bool{}, turned: at}
}

// all are the ids that are remembered.
func (r *recent) all() []string {
	return slices.AppendSeq(slices.Collect(maps.Keys(r.old)), maps.Keys(r.now))
}

// add remembers an id, and is false where it was there already.
func (r *recent) add(id string, at float64) bool {
	if at > r.turned+r.span || len(r.now) >= recentMost {
		r.old, r.now, r.turned = r.now, map[string]bool{}, at
	}
	if r.now[id] || r.old[id] {
		return false
	}
	r.now[strings.Clone(id)] = true // not the head that it was cut from
	return true
}
