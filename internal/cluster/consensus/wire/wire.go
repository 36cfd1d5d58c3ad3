// Package wire encodes and decodes the messages between voters, and between
// instances and voters. It validates all received data: decoded messages are within
// the limits below, and malformed raft messages, on which raft's state machine would
// panic, are rejected.
//
// The body of a frame is an [Envelope]; package peerconn adds a header with its
// length and checksum.
package wire

import (
	"errors"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

//go:generate go run example.org/bellstream/internal/tools/protogen consensus.proto

// Versions of the protocol.
const (
	ProtocolVersion  = 1 // of this build
	MinReaderVersion = 1 // the lowest version that can read what this build writes
)

// Sizes of fixed parts, in bytes.
const (
	ProposalHeaderLen = 16 // header of a proposal: the proposer's incarnation and the sequence number
	SeedLen           = 16 // seed of a member
)

// Limits of decoded messages. Constants whose names end in Bytes are in bytes, the others are counts.
const (
	MaxProposalBytes     = 1 << 20
	MaxPayloadBytes      = 4 << 20 // payload of a request or a response
	MaxSnapshotBytes     = 8 << 20
	MaxMessageEntryBytes = 2*MaxProposalBytes + 64<<10 // all entries of one message
	MaxFrameBytes        = MaxSnapshotBytes + 64<<10
	MaxNameBytes         = 255
	MaxMembers           = 32   // members in a list
	MaxRemovedNames      = 1024 // names in a list
	maxContextBytes      = 64   // context of a raft message
)

// Reasons for dropping a frame. Their texts are values of a metric's label.
var (
	ErrChecksum           = peerconn.ErrChecksum
	ErrMalformed          = errors.New("garbled")
	ErrWrongCluster       = errors.New("of another cluster")
	ErrUnsupportedVersion = errors.New("needs a newer build")
	ErrTooLarge           = errors.New("too large")
)
