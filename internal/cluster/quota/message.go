package quota

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/usage"
)

// Tenant is a tenant that has a reservation.
type Tenant struct {
	Name  string
	ID    uint64  // as computed by usage.TenantID
	Quota float64 // reservation in jobs per second
}

// TenantFraction is a part of one tenant's reservation.
type TenantFraction struct {
	Tenant     uint64
	Millionths uint32
}

// Member describes another instance as announced by membership.
type Member struct {
	Name   string
	Region string
	Build  uint32 // OwnershipBuild, or 0 for an earlier build or flat ownership in the settings
}

// OwnershipBuild is the build number of instances that support ownership by a few instances per
// reservation, and that are not set to flat ownership.
const OwnershipBuild = 1

// Message is sent from one instance to another. It has one of two forms.
//
// A full message is a page of the state: it holds every demand and every grant for the tenants from
// RangeStart to RangeEnd. Demands and grants that it leaves out are zero. A delta message holds
// changes: it changes nothing for tenants that it doesn't name, and a fraction of 0 ends a demand
// or a grant.
type Message struct {
	Header
	Ack
	View

	// RangeStart and RangeEnd are the first and the last tenant id that a full message covers.
	RangeStart uint64
	RangeEnd   uint64
	Demands    []TenantFraction
	Grants     []TenantFraction
	Counts     usage.Counts // of the sender's current incarnation

	Delta        bool
	AckRequested bool
	// ViewRequested is set if the sender has not joined and needs the receiver's view.
	ViewRequested bool
	// TenantsByIndex is set if tenants are named by their index in the table, which both instances have.
	// RelayedUsage names tenants by id in any case.
	TenantsByIndex bool
	// RemoteTotals are the counts of all instances except the receiver's current incarnation, as far as
	// the sender knows.
	RemoteTotals usage.Counts
	// RelayedUsage are counts of other instances, sent to an owner of these tenants.
	RelayedUsage []*usage.InstanceUsage
}

// Header identifies a message.
type Header struct {
	// LinkID, if not 0, replaces From, Incarnation and AckIncarnation, which are empty then, and To.
	LinkID      uint64
	From        string
	To          string
	Incarnation uint64 // of the sender
	Seq         uint64 // sequence number for each receiver, from 1
	// Round is the sender's round; in a delta message it is the first Seq of the round. Messages of the
	// same round may be accepted in any order.
	Round   uint64
	Build   uint32 // of the sender, as in [Member]
	Leaving bool   // the sender leaves
}

// Ack acknowledges messages that the sender of the Ack received from the receiver.
type Ack struct {
	AckIncarnation uint64 // incarnation of the receiver; 0: unknown
	AckSeq         uint64 // the highest Seq received from that incarnation
	AckBits        uint64 // bit i: message AckSeq-1-i was received as well
}

// View is the sender's view of the cluster, on which all members have to agree before one joins. A
// delta message holds it only if it requests the receiver's view or answers such a request.
type View struct {
	ViewDigest   uint64 // of the members that the sender counts and of the rules by which owners are assigned
	LoansCovered bool   // the sender has lent no more than it owns of any tenant
	TableDigest  uint64 // of the sender's tenants
}

// DropReason is the reason why a message was dropped. It is a label value of metrics.
type DropReason string

// Reasons for which a message is dropped.
const (
	OtherReceiver    DropReason = "not for this instance"
	UnknownMember    DropReason = "from an instance that membership does not know"
	OutOfOrder       DropReason = "old or repeated"
	EndedIncarnation DropReason = "from a life that has ended"
	DuplicateName    DropReason = "under this instance's own name"
	Malformed        DropReason = "malformed"
)

// ErrOutOfOrder is returned for a message that arrived twice, or after a message of a later round.
var ErrOutOfOrder = errors.New(string(OutOfOrder))

// DropError is returned for a message that was dropped for another reason.
type DropError struct {
	From   string // empty if the sender is unknown
	Reason DropReason
}

// Error implements error.
func (e *DropError) Error() string {
	if e.From == "" {
		return "message without a sender name: " + string(e.Reason)
	}
	return "message from " + e.From + ": " + string(e.Reason)
}

// linkDigest returns a digest that identifies the incarnations of a sender and a receiver. Two pairs
// collide with a probability of 2^-64.
func linkDigest(from, to uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], from)
	binary.LittleEndian.PutUint64(buf[8:], to)
	return xxhash.Sum64(buf[:])
}
