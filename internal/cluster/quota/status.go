package quota

import "math"

// PeerStatus describes the state of another instance for operators.
type PeerStatus struct {
	Name            string  `json:"name"`
	Present         bool    `json:"present"` // membership sees the instance
	Age             float64 `json:"age_s"`   // seconds since its last message; below 0: none was received
	Acknowledges    bool    `json:"echoes"`  // it has received messages of this instance's current incarnation
	ViewAgrees      bool    `json:"agrees"`  // its latest view counts the same instances
	SameTable       bool    `json:"table"`   // it has the same tenant table
	InFlight        int     `json:"open"`    // messages that may or may not have been received
	LentTenants     int     `json:"lent"`    // number of tenants of which it may hold a loan
	BorrowedTenants int     `json:"borrows"` // number of tenants of which it lends to this instance
}

// Peers returns the status of all other members, sorted by name.
func (a *Allocator) Peers(now float64) []PeerStatus {
	var list []PeerStatus
	for _, p := range a.members.sorted {
		status := PeerStatus{
			Name:            p.name,
			Present:         p.presence.present,
			Age:             -1,
			Acknowledges:    p.received.acknowledges,
			ViewAgrees:      p.received.viewDigest == a.members.viewDigest,
			SameTable:       p.received.tableDigest == a.tenants.digest,
			InFlight:        len(p.sent.inFlight),
			LentTenants:     len(p.loans.lent),
			BorrowedTenants: len(p.loans.borrowed),
		}
		if !math.IsInf(p.presence.lastReceived, -1) {
			status.Age = now - p.presence.lastReceived
		}
		list = append(list, status)
	}
	return list
}

// Drops returns the number of dropped messages by reason. The caller must not change the map.
func (a *Allocator) Drops() map[DropReason]uint64 { return a.stats.drops }

// Received returns the number of messages received, including dropped ones.
func (a *Allocator) Received() uint64 { return a.stats.received }

// TableDigest returns the digest of this instance's tenant table.
func (a *Allocator) TableDigest() uint64 { return a.tenants.digest }
