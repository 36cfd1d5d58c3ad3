package wire

import (
	"bytes"
	"fmt"
	"io"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/mesh/peerconn"
)

// Frame is one message. Exactly one of the pointers is set.
type Frame struct {
	Identity  Identity
	Handshake *Handshake
	Raft      *raftpb.Message
	Request   *Request
	Response  *Response
	Ping      *Ping
}

// Encode returns a frame as bytes with its header. cluster is the digest of the
// cluster's name. The result is nil if the frame can't be encoded: it is larger than
// MaxFrameBytes, or has a string that is not UTF-8.
func Encode(cluster uint64, f Frame) []byte {
	envelope := &Envelope{
		ProtocolVersion:  ProtocolVersion,
		MinReaderVersion: MinReaderVersion,
		ClusterDigest:    cluster,
	}
	if !f.Identity.IsZero() {
		envelope.Identity = f.Identity[:]
	}
	switch {
	case f.Handshake != nil:
		envelope.Body = &Envelope_Handshake{f.Handshake}
	case f.Raft != nil:
		message, err := proto.Marshal(f.Raft)
		if err != nil {
			return nil
		}
		envelope.Body = &Envelope_Raft{message}
	case f.Request != nil:
		envelope.Body = &Envelope_Request{f.Request}
	case f.Response != nil:
		envelope.Body = &Envelope_Response{f.Response}
	case f.Ping != nil:
		envelope.Body = &Envelope_Ping{f.Ping}
	}
	return encodeEnvelope(envelope)
}

func encodeEnvelope(envelope *Envelope) []byte {
	frame := make([]byte, peerconn.HeaderLen, peerconn.HeaderLen+proto.Size(envelope))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, envelope)
	if err != nil || len(frame)-peerconn.HeaderLen > MaxFrameBytes {
		return nil
	}
	peerconn.SealFrame(frame)
	return frame
}

// Decode decodes and validates an encoded frame. Errors are those of ReadFrame.
func Decode(cluster uint64, encoded []byte) (Frame, error) {
	frame, _, err := ReadFrame(bytes.NewReader(encoded), cluster)
	return frame, err
}

// ReadFrame reads, decodes and validates a frame. size is the size of its body, in
// bytes. Errors are those of r and of this package.
func ReadFrame(r io.Reader, cluster uint64) (frame Frame, size int, err error) {
	header, err := peerconn.ReadHeader(r)
	if err != nil {
		return Frame{}, 0, err
	}
	if header.Size > MaxFrameBytes {
		return Frame{}, 0, ErrTooLarge
	}
	body, err := header.ReadBody(r)
	if err != nil {
		return Frame{}, 0, err
	}
	frame, err = decodeEnvelope(cluster, body)
	return frame, len(body), err
}

// decodeEnvelope returns a frame that may alias the body's bytes.
func decodeEnvelope(cluster uint64, body []byte) (Frame, error) {
	var envelope Envelope
	if err := proto.Unmarshal(body, &envelope); err != nil {
		return Frame{}, ErrMalformed
	}
	var f Frame
	switch {
	case envelope.ClusterDigest != cluster:
		return Frame{}, ErrWrongCluster
	case envelope.MinReaderVersion > ProtocolVersion:
		return Frame{}, fmt.Errorf("%w: version %d, this build has version %d",
			ErrUnsupportedVersion, envelope.MinReaderVersion, ProtocolVersion)
	case len(envelope.Identity) != 0 && len(envelope.Identity) != len(f.Identity):
		return Frame{}, ErrMalformed
	}
	copy(f.Identity[:], envelope.Identity)
	if !f.decodeBody(&envelope) {
		return Frame{}, ErrMalformed
	}
	return f, nil
}

// decodeBody sets f to the body and reports whether it is valid. A body of an
// unknown kind, which a newer build may have added, is not.
func (f *Frame) decodeBody(envelope *Envelope) bool {
	switch body := envelope.Body.(type) {
	case *Envelope_Handshake:
		f.Handshake = body.Handshake
		return validHandshake(f.Handshake)
	case *Envelope_Raft:
		f.Raft = &raftpb.Message{}
		return proto.Unmarshal(body.Raft, f.Raft) == nil && validRaftMessage(f.Raft)
	case *Envelope_Request:
		f.Request = body.Request
		return validRequest(f.Request)
	case *Envelope_Response:
		f.Response = body.Response
		return validResponse(f.Response)
	case *Envelope_Ping:
		f.Ping = body.Ping
		return true
	}
	return false
}
