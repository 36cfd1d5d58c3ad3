package wire

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
)

// Identity distinguishes clusters that may have the same name. The zero value means
// that there is no identity.
type Identity [16]byte

func (i Identity) String() string { return fmt.Sprintf("%x", i[:]) }

// IsZero reports whether i is the zero value.
func (i Identity) IsZero() bool { return i == Identity{} }

// ClusterDigest returns the digest of a cluster's name.
func ClusterDigest(name string) uint64 { return xxhash.Sum64String(name) }

// NodeID returns a voter's raft ID. It is never one of the IDs that raft reserves.
func NodeID(name string) uint64 {
	id := xxhash.Sum64String(name)
	if id == raft.None || id >= math.MaxUint64-1 {
		return 1
	}
	return id
}

// VoterSetDigest returns the digest of a set of names. It does not depend on their
// order.
func VoterSetDigest(names []string) uint64 {
	d := xxhash.New()
	for _, name := range slices.Sorted(slices.Values(names)) {
		d.Write(binary.BigEndian.AppendUint16(nil, uint16(len(name))))
		d.WriteString(name)
	}
	return d.Sum64()
}

// NewIdentity derives a new cluster's identity from its members' seeds. It does
// not depend on the order of the members.
func NewIdentity(cluster string, members []*Member) Identity {
	hash := sha256.New()
	write := func(field []byte) {
		length := binary.BigEndian.AppendUint32(nil, uint32(len(field)))
		hash.Write(append(length, field...))
	}
	write([]byte(cluster))
	for _, m := range SortByName(members) {
		write([]byte(m.Name))
		write(m.Seed)
	}
	var identity Identity
	copy(identity[:], hash.Sum(nil))
	return identity
}

// SortByName returns a new slice with the members sorted by name.
func SortByName(members []*Member) []*Member {
	return slices.SortedFunc(slices.Values(members), func(a, b *Member) int {
		return cmp.Compare(a.Name, b.Name)
	})
}
