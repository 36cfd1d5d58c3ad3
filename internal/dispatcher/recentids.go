package dispatcher

import (
	"maps"
	"slices"
	"strings"
)

// maxRecentIDs limits the ids in each of the two maps of recentIDs. The two together take about 1 MB.
const maxRecentIDs = 8192

// recentIDs remembers the ids of requests for at least the retention time, unless the current map is full earlier.
// Then, or after the retention time, the current map replaces the previous one and an empty one becomes current.
// Ids must not be reused, so a request that repeats the id of an answered one is a mistake: if it were forwarded,
// the job could run a second time.
type recentIDs struct {
	retention float64 // seconds
	current   map[string]bool
	previous  map[string]bool
	rotatedAt float64 // when the current map was created, in seconds
}

func newRecentIDs(retention, now float64) *recentIDs {
	return &recentIDs{
		retention: retention,
		current:   map[string]bool{},
		previous:  map[string]bool{},
		rotatedAt: now,
	}
}

// all returns all remembered ids, in no particular order.
func (r *recentIDs) all() []string {
	return slices.AppendSeq(slices.Collect(maps.Keys(r.previous)), maps.Keys(r.current))
}

// add remembers an id and reports whether it is new.
func (r *recentIDs) add(id string, now float64) bool {
	if now > r.rotatedAt+r.retention || len(r.current) >= maxRecentIDs {
		r.previous = r.current
		r.current = map[string]bool{}
		r.rotatedAt = now
	}
	if r.current[id] || r.previous[id] {
		return false
	}
	r.current[strings.Clone(id)] = true // cloned, as id would keep the memory of the request's head in use
	return true
}
