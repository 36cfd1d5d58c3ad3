package experiments

import (
	"bytes"
	"compress/lzw"
	"encoding/binary"
	"io"
	"maps"
	"sync"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// TrafficKind is a kind of traffic between instances, which the relay derives from the door and the bytes. Bytes are
// those of datagrams and streams, without the headers and acknowledgements of IP, UDP and TCP.
type TrafficKind string

// Kinds of traffic. Messages packed into one datagram are divided by length, each with its part of the packing's
// bytes.
const (
	TrafficMembership    TrafficKind = "membership"            // datagrams: probes, acknowledgements, gossip of joins and leaves; streams of probes
	TrafficExchange      TrafficKind = "counts and loans"      // datagrams of the quota exchange
	TrafficPushPull      TrafficKind = "membership, push/pull" // streams: membership states, exchanged with one other instance at intervals
	TrafficPushPullUsage TrafficKind = "counts, push/pull"     // the exchange's state in these streams
	TrafficAgreement     TrafficKind = "agreement"             // lease requests, raft
	TrafficShards        TrafficKind = "seats"
	TrafficOther         TrafficKind = "other"
)

// Services that instances reach through the relay's forwarders.
const (
	peersService  = "peers"
	accordService = "accord"
	seatsService  = "seats"
)

// Amount is the traffic in one direction. A message is a datagram, or the data of one read of a stream.
type Amount struct{ Bytes, Messages float64 }

// Traffic is what one instance sent and received.
type Traffic struct{ Sent, Received Amount }

// trafficMeter counts the traffic that passes a relay.
type trafficMeter struct {
	mu sync.Mutex
	by map[int]map[TrafficKind]Traffic // by instance
}

// add counts traffic from one instance to another. A lost datagram is sent but not received.
func (m *trafficMeter) add(from, to int, k TrafficKind, amount Amount, sent, received bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.by == nil {
		m.by = map[int]map[TrafficKind]Traffic{}
	}
	for _, i := range []int{from, to} {
		if m.by[i] == nil {
			m.by[i] = map[TrafficKind]Traffic{}
		}
	}
	if sent {
		t := m.by[from][k]
		t.Sent.Bytes, t.Sent.Messages = t.Sent.Bytes+amount.Bytes, t.Sent.Messages+amount.Messages
		m.by[from][k] = t
	}
	if received {
		t := m.by[to][k]
		t.Received.Bytes, t.Received.Messages = t.Received.Bytes+amount.Bytes, t.Received.Messages+amount.Messages
		m.by[to][k] = t
	}
}

// Traffic returns what each instance has sent and received through this relay until now, by kind.
func (r *Relay) Traffic() map[int]map[TrafficKind]Traffic {
	r.meter.mu.Lock()
	defer r.meter.mu.Unlock()
	all := map[int]map[TrafficKind]Traffic{}
	for i, t := range r.meter.by {
		all[i] = maps.Clone(t)
	}
	return all
}

// count adds a datagram to the meter, divided by kind.
func (r *Relay) count(d *forwarder, from int, raw []byte, sent, received bool) {
	for k, n := range bytesByKind(d.traffic, raw) {
		r.meter.add(from, d.to, k, Amount{n, n / float64(len(raw))}, sent, received)
	}
}

// bytesByKind divides the bytes of a datagram by kind.
func bytesByKind(service string, raw []byte) map[TrafficKind]float64 {
	byKind := map[TrafficKind]float64{}
	switch service {
	case peersService:
		if !addByKind(raw, float64(len(raw)), byKind) {
			byKind = map[TrafficKind]float64{TrafficOther: float64(len(raw))}
		}
	default:
		byKind[TrafficOther] = float64(len(raw))
	}
	return byKind
}

// Message types and header lengths of memberlist's wire format, protocol version 5.
const (
	pushPullMsg    = 6
	compoundMsg    = 7
	userMsg        = 8
	compressMsg    = 9
	crcMsg         = 12
	labelMsg       = 244
	labelHeaderLen = 2
	crcHeaderLen   = 5
)

// addByKind adds size bytes to the kinds of a message, in proportion to the lengths of its parts. It returns false if
// the message cannot be read, for example because it is encrypted.
func addByKind(raw []byte, size float64, byKind map[TrafficKind]float64) bool {
	if len(raw) == 0 {
		return false
	}
	switch raw[0] {
	case labelMsg:
		if len(raw) < labelHeaderLen || len(raw) < labelHeaderLen+int(raw[1]) {
			return false
		}
		return addByKind(raw[labelHeaderLen+int(raw[1]):], size, byKind)
	case crcMsg:
		return len(raw) >= crcHeaderLen && addByKind(raw[crcHeaderLen:], size, byKind)
	case compressMsg:
		inner, err := decompress(raw[1:])
		return err == nil && addByKind(inner, size, byKind)
	case compoundMsg:
		if len(raw) < 2 || len(raw) < 2+2*int(raw[1]) || raw[1] == 0 {
			return false
		}
		lengths, parts := raw[2:2+2*int(raw[1])], raw[2+2*int(raw[1]):]
		total := float64(len(parts))
		for ; len(lengths) > 0; lengths = lengths[2:] {
			n := int(binary.BigEndian.Uint16(lengths))
			if n > len(parts) || !addByKind(parts[:n], size*float64(n)/total, byKind) {
				return false
			}
			parts = parts[n:]
		}
		return true
	case pushPullMsg:
		var head struct{ Nodes, UserStateLen int }
		if codec.NewDecoderBytes(raw[1:], &codec.MsgpackHandle{}).Decode(&head) != nil || head.UserStateLen < 0 || head.UserStateLen > len(raw) {
			return false
		}
		known := size * float64(head.UserStateLen) / float64(len(raw))
		byKind[TrafficPushPullUsage] += known
		byKind[TrafficPushPull] += size - known
		return true
	case userMsg:
		byKind[TrafficExchange] += size
		return true
	}
	if raw[0] > crcMsg+1 { // not a message type of memberlist
		return false
	}
	byKind[TrafficMembership] += size
	return true
}

// maxDecompressedLen is the largest length of a decompressed message, in bytes; longer ones are truncated.
const maxDecompressedLen = 64 << 20

func decompress(raw []byte) ([]byte, error) {
	var c struct {
		Algo uint8
		Buf  []byte
	}
	if err := codec.NewDecoderBytes(raw, &codec.MsgpackHandle{}).Decode(&c); err != nil {
		return nil, err
	}
	in := lzw.NewReader(bytes.NewReader(c.Buf), lzw.LSB, 8)
	defer in.Close()
	return io.ReadAll(io.LimitReader(in, maxDecompressedLen))
}

// streamMeter counts one direction of a stream. The kind of a membership stream depends on all of its data, so that
// data is counted when the direction ends.
type streamMeter struct {
	relay    *Relay
	serves   string
	from, to int
	buffered []byte
	reads    float64
}

// maxBufferedLen is how many bytes of a membership stream are kept until it ends; data beyond that is counted as
// push/pull.
const maxBufferedLen = 32 << 20

func (s *streamMeter) read(data []byte) {
	if len(data) == 0 {
		return
	}
	kind := map[string]TrafficKind{accordService: TrafficAgreement, seatsService: TrafficShards}[s.serves]
	switch {
	case s.serves == peersService && len(s.buffered) < maxBufferedLen:
		s.buffered, s.reads = append(s.buffered, data...), s.reads+1
	case s.serves == peersService:
		kind = TrafficPushPull
	case kind == "":
		kind = TrafficOther
	}
	if kind != "" {
		s.relay.meter.add(s.from, s.to, kind, Amount{float64(len(data)), 1}, true, true)
	}
}

// flush counts the buffered data.
func (s *streamMeter) flush() {
	if len(s.buffered) == 0 {
		return
	}
	total := float64(len(s.buffered))
	byKind := map[TrafficKind]float64{}
	if !addByKind(s.buffered, total, byKind) {
		byKind = map[TrafficKind]float64{TrafficPushPull: total} // truncated, or encrypted
	}
	for k, n := range byKind {
		s.relay.meter.add(s.from, s.to, k, Amount{n, s.reads * n / total}, true, true)
	}
	s.buffered = nil
}
