package lease

// Request is an instance's request for a lease. The instance may send it to any
// voter; a follower forwards it to the leader.
type Request struct {
	Cluster         string // identity of the cluster; empty if the instance does not know it yet
	Instance        string
	Incarnation     uint64   // unique to each process of an instance
	Nonce           uint64   // identifies the request among those of the process
	AppliedRevision Revision // the instance no longer acts on a lower revision
	ViewDigest      uint64   // digest of the instance's view; 0 if it has none
}

// Grant is the leader's response to a Request.
type Grant struct {
	Cluster      string
	Instance     string
	Incarnation  uint64
	Nonce        uint64  // of the request
	LeaseSeconds float64 // counted from when the request was sent
	Revision     Revision
	View         *View // nil if the request's ViewDigest is current
}

// Release ends the lease of a process that no longer acts on any version.
type Release struct {
	Cluster     string
	Instance    string
	Incarnation uint64
}
