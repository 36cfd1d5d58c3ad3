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

// TrafficKind is a kind of traffic between instances, as the relay tells it by the door and by the bytes. Bytes are those
// of datagrams and streams; IP, UDP and TCP's own headers and acknowledgements are not among them.
type TrafficKind string

// Kinds. What is packed together is divided by length, with what packs it.
const (
	TrafficMembership    TrafficKind = "membership"            // datagrams: probes, acknowledgements, gossip of who comes and goes; streams of probes
	TrafficExchange      TrafficKind = "counts and loans"      // datagrams of the exchange
	TrafficPushPull      TrafficKind = "membership, push/pull" // streams: who is there, as one tells another now and then
	TrafficPushPullUsage TrafficKind = "counts, push/pull"     // what the exchange tells in these streams
	TrafficAgreement     TrafficKind = "agreement"             // questions for leases, raft
	TrafficShards        TrafficKind = "seats"
	TrafficOther         TrafficKind = "other"
)

// Doors by what listens behind them.
const (
	peersDoor  = "peers"
	accordDoor = "accord"
	seatsDoor  = "seats"
)

// Amount is what passed in one direction. A message is a datagram, or what one read of a stream gave.
type Amount struct{ Bytes, Messages float64 }

// Traffic is what an instance sent and received.
type Traffic struct{ Sent, Received Amount }

// trafficMeter counts what passes a relay.
type trafficMeter struct {
	mu sync.Mutex
	by map[int]map[TrafficKind]Traffic // instance
}

// addTraffic counts what one has sent to another, and whether it came there: a lost datagram is sent and not received.
func (m *trafficMeter) add(from, to int, k TrafficKind, a Amount, sent, received bool) {
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
		t.Sent.Bytes, t.Sent.Messages = t.Sent.Bytes+a.Bytes, t.Sent.Messages+a.Messages
		m.by[from][k] = t
	}
	if received {
		t := m.by[to][k]
		t.Received.Bytes, t.Received.Messages = t.Received.Bytes+a.Bytes, t.Received.Messages+a.Messages
		m.by[to][k] = t
	}
}

// Traffic is what each instance has sent and received by way of this relay until now, by kind.
func (r *Relay) Traffic() map[int]map[TrafficKind]Traffic {
	r.meter.mu.Lock()
	defer r.meter.mu.Unlock()
	all := map[int]map[TrafficKind]Traffic{}
	for i, t := range r.meter.by {
		all[i] = maps.Clone(t)
	}
	return all
}

// count counts a datagram by its kinds.
func (r *Relay) count(d *door, from int, raw []byte, sent, received bool) {
	for k, n := range bytesByKind(d.serves, raw) {
		r.meter.add(from, d.to, k, Amount{n, n / float64(len(raw))}, sent, received)
	}
}

// bytesByKind divides a datagram's bytes by kind.
func bytesByKind(serves string, raw []byte) map[TrafficKind]float64 {
	by := map[TrafficKind]float64{}
	switch serves {
	case peersDoor:
		if !addByKind(raw, float64(len(raw)), by) {
			by = map[TrafficKind]float64{TrafficOther: float64(len(raw))}
		}
	default:
		by[TrafficOther] = float64(len(raw))
	}
	return by
}

// What memberlist writes in front of a message: its format, version 5. Numbers are those of its wire.
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

// addByKind puts so many bytes to the kinds of a message, by the length of what it is made of; false: it can't be
// read, as where it is encrypted.
func addByKind(raw []byte, size float64, by map[TrafficKind]float64) bool {
	if len(raw) == 0 {
		return false
	}
	switch raw[0] {
	case labelMsg:
		if len(raw) < labelHeaderLen || len(raw) < labelHeaderLen+int(raw[1]) {
			return false
		}
		return addByKind(raw[labelHeaderLen+int(raw[1]):], size, by)
	case crcMsg:
		return len(raw) >= crcHeaderLen && addByKind(raw[crcHeaderLen:], size, by)
	case compressMsg:
		inner, err := decompress(raw[1:])
		return err == nil && addByKind(inner, size, by)
	case compoundMsg:
		if len(raw) < 2 || len(raw) < 2+2*int(raw[1]) || raw[1] == 0 {
			return false
		}
		lengths, parts := raw[2:2+2*int(raw[1])], raw[2+2*int(raw[1]):]
		all := float64(len(parts))
		for ; len(lengths) > 0; lengths = lengths[2:] {
			n := int(binary.BigEndian.Uint16(lengths))
			if n > len(parts) || !addByKind(parts[:n], size*float64(n)/all, by) {
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
		by[TrafficPushPullUsage] += known
		by[TrafficPushPull] += size - known
		return true
	case userMsg:
		by[TrafficExchange] += size
		return true
	}
	if raw[0] > crcMsg+1 { // none that there is
		return false
	}
	by[TrafficMembership] += size
	return true
}

// maxDecompressedLen is what a compressed message may be long.
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

// streamMeter is one direction of a stream, as it is counted. Streams of membership tell their kind by all that they
// carried, so they are counted when that side ends.
type streamMeter struct {
	relay    *Relay
	serves   string
	from, to int
	buffered []byte
	reads    float64
}

// maxBufferedLen is what of a stream of membership is kept until it ends; what is longer is taken for push/pull.
const maxBufferedLen = 32 << 20

func (s *streamMeter) read(data []byte) {
	if len(data) == 0 {
		return
	}
	kind := map[string]TrafficKind{accordDoor: TrafficAgreement, seatsDoor: TrafficShards}[s.serves]
	switch {
	case s.serves == peersDoor && len(s.buffered) < maxBufferedLen:
		s.buffered, s.reads = append(s.buffered, data...), s.reads+1
	case s.serves == peersDoor:
		kind = TrafficPushPull
	case kind == "":
		kind = TrafficOther
	}
	if kind != "" {
		s.relay.meter.add(s.from, s.to, kind, Amount{float64(len(data)), 1}, true, true)
	}
}

// flush counts what was kept.
func (s *streamMeter) flush() {
	if len(s.buffered) == 0 {
		return
	}
	all := float64(len(s.buffered))
	by := map[TrafficKind]float64{}
	if !addByKind(s.buffered, all, by) {
		by = map[TrafficKind]float64{TrafficPushPull: all} // cut off on the way, or encrypted
	}
	for k, n := range by {
		s.relay.meter.add(s.from, s.to, k, Amount{n, s.reads * n / all}, true, true)
	}
	s.buffered = nil
}
