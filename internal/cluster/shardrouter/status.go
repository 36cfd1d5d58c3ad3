package shardrouter

import "example.org/bellstream/internal/cluster/shard"

// Status is the router's part of the admin status.
type Status struct {
	Incarnation        string            `json:"life"`
	Shards             int               `json:"shards"`
	Owned              int               `json:"seated"`  // shards that this instance owns and grants for
	Sealed             int               `json:"sealed"`  // shards that are sealed for a transfer from here
	Jobs               int               `json:"entries"` // jobs known to owners on this instance
	PendingGrants      int               `json:"grants"`  // pending grants of owners on this instance
	LocalJobs          int               `json:"held"`    // jobs that this instance accepted and has not answered
	UnresponsiveOwners int               `json:"silent"`  // shards whose owner does not respond to this instance
	Counters           map[string]uint64 `json:"counts"`
}

// Status returns the router's status. It locks every shard in turn, so it must
// not be called for each job.
func (r *Router) Status() Status {
	s := Status{
		Incarnation: r.incarnation,
		Counters:    r.counters.snapshot(),
	}
	for _, sh := range r.allShards() {
		sh.Lock()
		sh.addTo(&s)
		sh.Unlock()
	}
	return s
}

// addTo adds a shard to the status. The shard's lock is held.
func (sh *shardState) addTo(s *Status) {
	s.Shards++
	if sh.owned.balancing {
		s.Owned++
	}
	if sh.owner.State() == shard.StateSealed {
		s.Sealed++
	}
	if sh.owner.State() != shard.StateClosed {
		s.Jobs += sh.owner.JobCount()
		s.PendingGrants += sh.owner.PendingCount()
	}
	s.LocalJobs += sh.origin.localJobs
	if sh.origin.ownerUnresponsive {
		s.UnresponsiveOwners++
	}
}
