package mesh

import (
	"encoding/binary"
	"errors"
	"io"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// The body of a frame begins with a version (1 byte), a kind (1 byte) and the
// digest of the cluster's name (8 bytes, big-endian). Package peerconn prefixes
// the body with its length and checksum.
const (
	bodyHeaderLen = 10
	version       = 1

	kindHello = 1 // the first frame in each direction; names its sender and the intended receiver
	kindData  = 2
	kindPing  = 3
)

// Errors of frames that are dropped, in addition to peerconn.ErrChecksum. Their
// texts are names of counters in the admin status.
var (
	errTooLarge           = errors.New("too large")
	errWrongCluster       = errors.New("of another cluster")
	errUnsupportedVersion = errors.New("of another version")
	errCorrupt            = errors.New("garbled")
)

var countedErrors = []error{
	peerconn.ErrChecksum,
	errTooLarge,
	errWrongCluster,
	errUnsupportedVersion,
	errCorrupt,
}

func encode(cluster uint64, kind byte, content []byte) []byte {
	const contentAt = peerconn.HeaderLen + bodyHeaderLen
	frame := make([]byte, contentAt, contentAt+len(content))
	frame[peerconn.HeaderLen] = version
	frame[peerconn.HeaderLen+1] = kind
	binary.BigEndian.PutUint64(frame[peerconn.HeaderLen+2:], cluster)
	frame = append(frame, content...)
	peerconn.SealFrame(frame)
	return frame
}

// decode reads a frame and returns its kind and content. It returns an error of
// countedErrors for an invalid frame.
func decode(r io.Reader, cluster uint64) (byte, []byte, error) {
	header, err := peerconn.ReadHeader(r)
	if err != nil {
		return 0, nil, err
	}
	switch {
	case header.Size > MaxFrame+bodyHeaderLen:
		return 0, nil, errTooLarge
	case header.Size < bodyHeaderLen:
		return 0, nil, errCorrupt
	}
	body, err := header.ReadBody(r)
	if err != nil {
		return 0, nil, err
	}
	kind := body[1]
	switch {
	case body[0] != version:
		return 0, nil, errUnsupportedVersion
	case binary.BigEndian.Uint64(body[2:]) != cluster:
		return 0, nil, errWrongCluster
	case kind < kindHello || kind > kindPing:
		return 0, nil, errCorrupt
	}
	return kind, body[bodyHeaderLen:], nil
}

// appendHello appends the names of sender and receiver, each prefixed with its
// length (1 byte).
func appendHello(b []byte, from, to string) []byte {
	b = append(b, byte(len(from)))
	b = append(b, from...)
	b = append(b, byte(len(to)))
	return append(b, to...)
}

func parseHello(b []byte) (from, to string, ok bool) {
	from, b, ok = cutName(b)
	if !ok {
		return "", "", false
	}
	to, b, ok = cutName(b)
	return from, to, ok && len(b) == 0
}

// cutName splits off a name, which must not be empty.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 || b[0] == 0 || len(b)-1 < int(b[0]) {
		return "", nil, false
	}
	end := 1 + int(b[0])
	return string(b[1:end]), b[end:], true
}
