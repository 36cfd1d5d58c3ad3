// Package wire encodes and decodes the messages between clusters, and the records and
// states that a cluster stores. It does no I/O. Decoding validates: it returns an error
// for input that is invalid or exceeds the limits.
package wire

import (
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/migration"
)

//go:generate go run example.org/bellstream/internal/tools/protogen clusters.proto

// Version is the format version of this build. MinVersion is the lowest version that can
// read the data that this build writes.
const (
	Version    = 1
	MinVersion = 1
)

// Limits of the data that is decoded.
const (
	MaxMessages    = 64 // in one packet
	MaxPacketBytes = 64 << 10
	MaxStateBytes  = 16 << 20
)

// Errors of decoding.
var (
	ErrCorrupt            = errors.New("malformed data")
	ErrUnsupportedVersion = errors.New("needs a newer build")
	ErrTooLarge           = errors.New("too large")
)

// Enumerations. A value's index is its number on the wire, and index 0 is the zero value.
// New values may only be appended.
var (
	messageTypes = []migration.MessageType{
		"",
		migration.MessageOffer,
		migration.MessageHold,
		migration.MessageReject,
		migration.MessageShift,
		migration.MessageAck,
		migration.MessageTokenPass,
		migration.MessageSettled,
		migration.MessageDone,
	}
	directions = []migration.Direction{
		"",
		migration.Forward,
		migration.Backward,
		migration.Stop,
	}
	ends = []migration.EndReason{
		migration.Open,
		migration.Completed,
		migration.EndedByPeer,
		migration.Rejected,
		migration.ForceReleased,
	}
	steps = []migration.Step{
		"",
		migration.StepSetCapacity,
		migration.StepReserve,
		migration.StepBeginMove,
		migration.StepReceive,
		migration.StepShift,
		migration.StepPassToken,
		migration.StepSetDirection,
		migration.StepFinish,
		migration.StepForceRelease,
	}
)

func indexOf[T comparable](list []T, v T) uint32 { return uint32(max(0, slices.Index(list, v))) }

func marshal(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil { // only invalid UTF-8 causes an error, and valid names contain none
		return nil
	}
	return raw
}

// versioned is a message that names the lowest version that can read it.
type versioned interface {
	proto.Message
	GetMinVersion() uint32
}

// unmarshal decodes at most maxBytes bytes. Errors are ErrTooLarge, ErrCorrupt and
// ErrUnsupportedVersion.
func unmarshal(raw []byte, m versioned, maxBytes int) error {
	if len(raw) > maxBytes {
		return ErrTooLarge
	}
	if proto.Unmarshal(raw, m) != nil {
		return ErrCorrupt
	}
	if m.GetMinVersion() > Version {
		return fmt.Errorf("%w: version %d, this build has %d", ErrUnsupportedVersion, m.GetMinVersion(), Version)
	}
	return nil
}

// decoder converts fields and records whether any of them was invalid.
type decoder struct{ invalid bool }

func (d *decoder) require(valid bool) { d.invalid = d.invalid || !valid }

// enum returns the value with number n in list. For an unknown number it returns the zero
// value and marks the decoder as invalid.
func enum[T any](d *decoder, list []T, n uint32) (v T) {
	if n >= uint32(len(list)) {
		d.invalid = true
		return v
	}
	return list[n]
}

func (d *decoder) amount(a uint64) migration.Amount {
	d.require(a <= uint64(migration.MaxAmount))
	return migration.Amount(a)
}

func validName(s string) bool { return s != "" && len(s) <= migration.MaxName && utf8.ValidString(s) }

func encodeID(id migration.ID) *IDProto {
	return &IDProto{
		From:    id.From,
		To:      id.To,
		Service: id.Service,
		Seq:     id.Seq,
	}
}

// id decodes a move's ID. The record that begins a move has a Seq of 0.
func (d *decoder) id(m *IDProto) migration.ID {
	d.require(validName(m.GetFrom()) && validName(m.GetTo()) && validName(m.GetService()))
	d.require(m.GetFrom() != m.GetTo())
	key := migration.Key{
		From:    m.GetFrom(),
		To:      m.GetTo(),
		Service: m.GetService(),
	}
	return migration.ID{Key: key, Seq: m.GetSeq()}
}

func (d *decoder) request(number uint64, direction uint32) migration.DirectionRequest {
	return migration.DirectionRequest{
		Number:    number,
		Direction: enum(d, directions, direction),
	}
}
