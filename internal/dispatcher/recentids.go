package dispatcher

import "hash/maphash"

// maxRecentIDs limits the ids in each of the two maps of recentIDs. The two together take about 2 MB.
const maxRecentIDs = 32768

// defaultMaxSentIDs is the default of Options.MaxSentIDs.
const defaultMaxSentIDs = 1 << 20

// idSet is a set of the hashes of ids.
type idSet map[uint64]struct{}

func (s idSet) contains(hash uint64) bool {
	_, ok := s[hash]
	return ok
}

// recentIDs remembers the ids of requests for at least the retention time, unless the current map is full earlier.
// Then, or after the retention time, the current map replaces the previous one and an empty one becomes current.
// Ids must not be reused, so a request that repeats the id of an answered one is a mistake: if it were forwarded,
// the job could run a second time. So ids that were sent to a worker are kept in sets of their own, which are not
// replaced early: others, however many, don't make them forgotten.
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
	limit     int // of current
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
		sent:      sentIDs{limit: defaultMaxSentIDs, current: idSet{}, previous: idSet{}, rotatedAt: now},
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
	if r.current.contains(hash) || r.previous.contains(hash) || r.sent.contains(hash) {
		return false
	}
	r.current[hash] = struct{}{}
	return true
}

// addSent remembers an id that is sent to a worker and reports whether it is new among those. That of a job that may
// run repeatedly is not kept apart from the others while half of the limit is in use.
func (r *recentIDs) addSent(id string, atMostOnce bool, now float64) bool {
	r.rotateSent(now)
	hash := maphash.String(r.seed, id)
	if r.sent.contains(hash) {
		return false
	}
	if atMostOnce || len(r.sent.current) < r.sent.limit/2 {
		r.sent.current[hash] = struct{}{}
	}
	return true
}

// full reports whether no further id may be sent that must not run twice.
func (r *recentIDs) full(now float64) bool {
	r.rotateSent(now)
	return len(r.sent.current) >= r.sent.limit
}

func (r *recentIDs) rotateSent(now float64) {
	if now > r.sent.rotatedAt+r.retention {
		r.sent.previous = r.sent.current
		r.sent.current = idSet{}
		r.sent.rotatedAt = now
	}
}

func (s *sentIDs) contains(hash uint64) bool {
	return s.current.contains(hash) || s.previous.contains(hash)
}
