// Package peerconn holds code that several kinds of connections between instances
// share: frames with a checksum, a bounded outbox with its write loop, counters of
// dropped frames, and a dialer with a fixed source address.
package peerconn

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"
)

// HeaderLen is the length of a frame's header in bytes: the length of the body (4
// bytes) and its CRC-32C (4 bytes), both big-endian.
const HeaderLen = 8

// firstReadBytes is the maximum number of bytes that are allocated for a body before
// any of it has arrived: the length in a header may be wrong.
const firstReadBytes = 64 << 10

// ErrChecksum is returned for a body that does not match its checksum. Its text is
// the name of a counter in the admin status.
var ErrChecksum = errors.New("damaged on the way")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of a body.
func Checksum(body []byte) uint32 { return crc32.Checksum(body, castagnoli) }

// SealFrame fills in the header of a frame whose body begins at HeaderLen.
func SealFrame(frame []byte) {
	body := frame[HeaderLen:]
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	binary.BigEndian.PutUint32(frame[4:], Checksum(body))
}

// Header is the decoded header of a frame.
type Header struct {
	Size     uint32 // of the body, in bytes
	Checksum uint32
}

// ReadHeader reads the header of the next frame. It returns io.EOF if the stream
// ends before the frame, and io.ErrUnexpectedEOF if it ends within the header.
func ReadHeader(r io.Reader) (Header, error) {
	var raw [HeaderLen]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return Header{}, err
	}
	return Header{
		Size:     binary.BigEndian.Uint32(raw[:]),
		Checksum: binary.BigEndian.Uint32(raw[4:]),
	}, nil
}

// ReadBody reads the body that follows a header and verifies its checksum. The
// caller must check h.Size against its limit before. ReadBody returns ErrChecksum if
// the checksum differs, and io.ErrUnexpectedEOF if the stream ends within the body.
func (h Header) ReadBody(r io.Reader) ([]byte, error) {
	body, err := readN(r, int(h.Size))
	if err != nil {
		return nil, err
	}
	if Checksum(body) != h.Checksum {
		return nil, ErrChecksum
	}
	return body, nil
}

// readN reads n bytes. It allocates firstReadBytes at first, and then at most about
// twice as many bytes as have arrived.
func readN(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, firstReadBytes))
	for len(body) < n {
		filled := len(body)
		if filled == cap(body) {
			body = slices.Grow(body, min(n-filled, filled))
		}
		body = body[:min(n, cap(body))]
		_, err := io.ReadFull(r, body[filled:])
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // the header announced more bytes
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
