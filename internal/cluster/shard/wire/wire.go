// Package wire encodes and decodes the messages that the origins and owners of
// shards exchange. It does no I/O. It validates what other instances send: no
// message that Decode returns exceeds the limits, and all its floating-point
// numbers are finite.
package wire

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/shard"
)

//go:generate go run example.org/bellstream/internal/tools/protogen shard.proto

// Version is the version of the format that this build writes. MinVersion is the
// lowest version whose builds can read it.
const (
	Version    = 1
	MinVersion = 1
)

// Limits of encoded and decoded messages: MaxMessage and MaxName are in bytes.
const (
	MaxMessage = 8 << 20
	MaxName    = 255
	maxChunks  = shard.MaxRecords/shard.MaxChunkRecords + 1
)

// Reasons for dropping a message, or for not encoding it. The admin status uses
// their texts as the names of counters.
var (
	ErrCorrupt            = errors.New("garbled")
	ErrWrongCluster       = errors.New("of another cluster")
	ErrUnsupportedVersion = errors.New("needs a newer build")
	ErrTooLarge           = errors.New("too large")
)

// ClusterDigest returns the digest that identifies a cluster by its name.
func ClusterDigest(name string) uint64 { return xxhash.Sum64String(name) }

// grantKinds lists the kinds of grants, indexed by their code on the wire.
var grantKinds = []shard.Kind{1: shard.Send, 2: shard.Reject, 3: shard.Fail, 4: shard.Cancel}

// Encode returns the bytes of a message for the cluster with the digest. It
// returns an error for a message that Decode would reject: ErrCorrupt or
// ErrTooLarge.
func Encode(cluster uint64, message shard.Message) ([]byte, error) {
	e, err := envelope(message)
	if err != nil {
		return nil, err
	}
	e.Version = Version
	e.MinVersion = MinVersion
	e.Cluster = cluster
	if _, err := decodeEnvelope(e); err != nil {
		return nil, err
	}
	raw, err := proto.Marshal(e)
	if len(raw) > MaxMessage {
		return nil, ErrTooLarge
	}
	return raw, err
}

// Decode returns the message that another instance sent. It returns ErrTooLarge,
// ErrCorrupt, ErrWrongCluster if the digest of the cluster differs, or an error
// that wraps ErrUnsupportedVersion.
func Decode(cluster uint64, raw []byte) (shard.Message, error) {
	if len(raw) > MaxMessage {
		return nil, ErrTooLarge
	}
	var e Envelope
	if err := proto.Unmarshal(raw, &e); err != nil {
		return nil, ErrCorrupt
	}
	switch {
	case e.Cluster != cluster:
		return nil, ErrWrongCluster
	case e.MinVersion > Version:
		return nil, fmt.Errorf("%w: version %d, this is %d", ErrUnsupportedVersion, e.MinVersion, Version)
	}
	return decodeEnvelope(&e)
}
