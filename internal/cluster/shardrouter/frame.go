package shardrouter

import (
	"encoding/binary"
	"errors"

	"example.org/bellstream/internal/cluster/shard/wire"
)

// A frame consists of a version (1 byte), flags (1 byte), the sender's incarnation
// and any number of messages. The incarnation and each message are preceded by
// their length in bytes, a varint.
const (
	frameVersion      = 1
	flagReply    byte = 1 // the sender requests a frame in reply
	newFrameCap       = 512
)

var errCorruptFrame = errors.New("corrupt frame")

func newFrame(incarnation string, flags byte) []byte {
	b := append(make([]byte, 0, newFrameCap), frameVersion, flags)
	b = binary.AppendUvarint(b, uint64(len(incarnation)))
	return append(b, incarnation...)
}

func appendMessage(b, message []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(message))), message...)
}

// frame is a parsed frame. The messages share the memory of the raw frame.
type frame struct {
	incarnation string // the sender's
	flags       byte
	messages    [][]byte
}

func parseFrame(raw []byte) (frame, error) {
	if len(raw) < 2 || len(raw) > MaxFrame || raw[0] != frameVersion {
		return frame{}, errCorruptFrame
	}
	f := frame{flags: raw[1]}
	incarnation, rest, ok := cutPrefixed(raw[2:])
	if !ok || len(incarnation) == 0 || len(incarnation) > wire.MaxName {
		return frame{}, errCorruptFrame
	}
	f.incarnation = string(incarnation)
	for len(rest) > 0 {
		var message []byte
		message, rest, ok = cutPrefixed(rest)
		if !ok {
			return frame{}, errCorruptFrame
		}
		f.messages = append(f.messages, message)
	}
	return f, nil
}

// cutPrefixed splits b into its first length-prefixed part, without the length, and
// the rest. It reports false if b does not begin with a complete part.
func cutPrefixed(b []byte) (part, rest []byte, ok bool) {
	length, n := binary.Uvarint(b)
	if n <= 0 || length > uint64(len(b)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return b[n:end], b[end:], true
}
