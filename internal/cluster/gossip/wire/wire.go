// Package wire encodes and decodes the messages between instances. It does no I/O. It
// validates what it decodes: nothing that Decode returns exceeds the limits below.
package wire

import (
	"errors"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

//go:generate go run example.org/bellstream/internal/tools/protogen peers.proto

const (
	// Version is the version of the encoding that this build writes.
	Version = 1
	// MinReaderVersion is the lowest version of a build that can read what this build writes.
	MinReaderVersion = 1
)

// Limits of decoded content.
const (
	MaxMessageBytes = 16 << 10
	MaxStateBytes   = 16 << 20
	MaxTenants      = 10_000 // in one list
	MaxNameBytes    = 255

	maxStarted      = 1 << 53                   // in thousandths of a slot; sums of larger counts could overflow
	maxIncarnations = 4 * usage.MaxIncarnations // of one instance
)

// Errors of content that is dropped. Their texts are label values of metrics.
var (
	ErrCorrupt            = errors.New("garbled")
	ErrWrongCluster       = errors.New("of another cluster")
	ErrUnsupportedVersion = errors.New("needs a newer build")
	ErrTooLarge           = errors.New("too large")
)

// Flags of a delta message.
const (
	flagLoansCovered = 1 << iota
	flagLeaving
	flagAckRequested
	flagViewRequested
	flagTenantsByIndex
)

// ClusterDigest returns the hash of a cluster's name, which identifies the cluster in messages.
func ClusterDigest(name string) uint64 { return xxhash.Sum64String(name) }

// MessageSize returns the size of an encoded message in bytes.
func MessageSize(m *quota.Message) int { return proto.Size(newEnvelope(1, m)) }

// ackMask returns the mask of the valid bits in an acknowledgement of seq: bit i stands for message
// seq-1-i, and messages are numbered from 1.
func ackMask(seq uint64) uint64 {
	const window = 64
	switch {
	case seq > window:
		return ^uint64(0)
	case seq == 0:
		return 0
	}
	return 1<<(seq-1) - 1
}
