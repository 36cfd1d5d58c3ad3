package lease

import (
	"cmp"
	"fmt"
)

// Stage is how far the rollout of a version has advanced.
type Stage uint8

// The stages, in order.
const (
	// StageAnnounced means that holders are being sent the version and still act on the previous one.
	StageAnnounced Stage = 1
	// StageIntersection means that holders act only on what both the previous version and this one allow.
	StageIntersection Stage = 2
	// StageInForce means that holders act on this version alone.
	StageInForce Stage = 3
)

// String returns the name of the stage in operators' output.
func (s Stage) String() string {
	switch s {
	case StageAnnounced:
		return "announced"
	case StageIntersection:
		return "narrow"
	case StageInForce:
		return "in force"
	}
	return "none"
}

// Revision identifies a version in one of its stages. The revision of a state
// and of a holder never decreases. The zero value precedes all others; it means
// that no version has been agreed on yet.
type Revision struct {
	Version uint64 `json:"Version"`
	Stage   Stage  `json:"Stage"`
}

// Compare returns a negative number if r precedes other, 0 if they are equal
// and a positive number otherwise.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Version, other.Version), cmp.Compare(r.Stage, other.Stage))
}

// String formats the revision for operators.
func (r Revision) String() string {
	return fmt.Sprintf("version %d %s", r.Version, r.Stage)
}

func (r Revision) isValid() bool {
	if r == (Revision{}) {
		return true
	}
	return r.Version > 0 && r.Stage >= StageAnnounced && r.Stage <= StageInForce
}
