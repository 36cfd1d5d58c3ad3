package dispatcher

import "hash/maphash"

// maxRecentIDs limits the ids in each of the two maps of recentIDs. The two together take about 1 MB.
const maxRecentIDs = 8192

// maxSentIDs limits the ids in each of the two sets of sentIDs.
const maxSentIDs = 1 << 16

// idSet is a set of the hashes of ids.
type idSet map[uint64]struct{}

func (s idSet) contains(hash uint64) bool {
	_, ok := s[hash]
	return ok
}

// recentIDs remembers the ids of requests for at least the retention time, unless the current map is full earlier.
// Then, or after the retention time, the current map replaces the previous one and an empty one becomes current.
// Ids must not be reused, so a request that repeats the id of an answered one is a mistake: if it were forwarded,
// the job could run a second time. Ids that were sent to a worker are in sets of their own, too.
type recentIDs struct {
	seed      maphash.Seed
	retention float64 // seconds
	current   idSet
	previous  idSet
	rotatedAt float64 // when the current map was created, in seconds
	sent      sentIDs
}

// sentIDs are the ids of requests that were sent to a worker.
type sentIDs struct {
	current   idSet
	previous  idSet
	rotatedAt float64 // when the current set was created, in seconds
}

func newRecentIDs(retention, now float64) *recentIDs {
	return &recentIDs{
		seed:      maphash.MakeSeed(),
		retention: retention,
		current:   idSet{},
		previous:  idSet{},
		rotatedAt: now,
		sent:      sentIDs{current: idSet{}, previous: idSet{}, rotatedAt: now},
	}
}

// add remembers an id and reports whether it is new.
func (r *recentIDs) add(id string, now float64) bool {
	if now > r.rotatedAt+r.retention || len(r.current) >= maxRecentIDs {
		r.previous = r.current
		r.current = idSet{}
		r.rotatedAt = now
	}
	hash := maphash.String(r.seed, id)
	if r.current.contains(hash) || r.previous.contains(hash) {
		return false
	}
	r.current[hash] = struct{}{}
	return true
}

// addSent remembers an id that is sent to a worker and reports whether it is new among those.
func (r *recentIDs) addSent(id string, now float64) bool {
	r.rotateSent(now)
	hash := maphash.String(r.seed, id)
	if r.sent.contains(hash) {
		return false
	}
	r.sent.current[hash] = struct{}{}
	return true
}

func (r *recentIDs) rotateSent(now float64) {
	if now > r.sent.rotatedAt+r.retention || len(r.sent.current) >= maxSentIDs {
		r.sent.previous = r.sent.current
		r.sent.current = idSet{}
		r.sent.rotatedAt = now
	}
}

func (s *sentIDs) contains(hash uint64) bool {
	return s.current.contains(hash) || s.previous.contains(hash)
}
