package experiments

import (
	"bytes"
	"compress/lzw"
	"encoding/binary"
	"maps"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/rs/zerolog"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/gossip"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

func packed(t *testing.T, raw []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w := lzw.NewWriter(&b, lzw.LSB, 8)
	w.Write(raw)
	w.Close()
	out := []byte{compressMsg}
	var body []byte
	if err := codec.NewEncoderBytes(&body, &codec.MsgpackHandle{}).Encode(struct {
		Algo uint8
		Buf  []byte
	}{0, b.Bytes()}); err != nil {
		t.Fatal(err)
	}
	return append(out, body...)
}

func compound(parts ...[]byte) []byte {
	out := []byte{compoundMsg, byte(len(parts))}
	for _, p := range parts {
		out = binary.BigEndian.AppendUint16(out, uint16(len(p)))
	}
	return append(out, bytes.Join(parts, nil)...)
}

// Each byte of a datagram counts once, for the kind of what it carries, whatever it is packed in.
func TestKindsOf(t *testing.T) {
	label := func(raw []byte) []byte { return append([]byte{labelMsg, 3, 'l', 'a', 'b'}, raw...) }
	crc := func(raw []byte) []byte { return append([]byte{crcMsg, 0, 0, 0, 0}, raw...) }
	ping, user := append([]byte{0}, make([]byte, 99)...), append([]byte{userMsg}, make([]byte, 299)...)
	push := []byte{pushPullMsg}
	var head []byte
	if err := codec.NewEncoderBytes(&head, &codec.MsgpackHandle{}).Encode(struct {
		Nodes, UserStateLen int
		Join                bool
	}{1, 50, true}); err != nil {
		t.Fatal(err)
	}
	push = append(append(push, head...), make([]byte, 99-len(head))...) // of 100 bytes 50 are the exchange's
	for name, c := range map[string]struct {
		raw  []byte
		want map[TrafficKind]float64 // parts
	}{
		"a probe":                  {ping, map[TrafficKind]float64{TrafficMembership: 1}},
		"of the exchange":          {user, map[TrafficKind]float64{TrafficExchange: 1}},
		"labelled":                 {label(user), map[TrafficKind]float64{TrafficExchange: 1}},
		"checked, labelled":        {label(crc(ping)), map[TrafficKind]float64{TrafficMembership: 1}},
		"two":                      {compound(ping, user), map[TrafficKind]float64{TrafficMembership: 0.25, TrafficExchange: 0.75}},
		"two, packed and labelled": {label(crc(packed(t, compound(user, ping)))), map[TrafficKind]float64{TrafficMembership: 0.25, TrafficExchange: 0.75}},
		"two in two":               {compound(compound(ping, ping), user), map[TrafficKind]float64{TrafficMembership: 204.0 / 506, TrafficExchange: 302.0 / 506}},
		"push/pull":                {packed(t, push), map[TrafficKind]float64{TrafficPushPullUsage: 0.5, TrafficPushPull: 0.5}},
		"unknown":                  {[]byte{200, 1, 2}, map[TrafficKind]float64{TrafficOther: 1}},
		"a label that ends":        {[]byte{labelMsg, 9, 1}, map[TrafficKind]float64{TrafficOther: 1}},
		"a compound that ends":     {compound(ping, user)[:20], map[TrafficKind]float64{TrafficOther: 1}},
		"a compound of nothing":    {[]byte{compoundMsg, 0}, map[TrafficKind]float64{TrafficOther: 1}},
		"packed badly":             {[]byte{compressMsg, 1, 2, 3}, map[TrafficKind]float64{TrafficOther: 1}},
		"push/pull with no head":   {[]byte{pushPullMsg}, map[TrafficKind]float64{TrafficOther: 1}},
		"only a checksum":          {[]byte{crcMsg, 1}, map[TrafficKind]float64{TrafficOther: 1}},
	} {
		got, sum := bytesByKind(peersDoor, c.raw), 0.0
		for k, n := range got {
			if sum += n; math.Abs(n/float64(len(c.raw))-c.want[k]) > 0.01 {
				t.Errorf("%s: %v of %d bytes", name, got, len(c.raw))
			}
		}
		if math.Abs(sum-float64(len(c.raw))) > 1e-6 || len(got) != len(c.want) {
			t.Errorf("%s: %v of %d bytes, want %v", name, got, len(c.raw), c.want)
		}
	}
	if got := bytesByKind("", ping); !maps.Equal(got, map[TrafficKind]float64{TrafficOther: 100}) {
		t.Errorf("at a door of no kind: %v", got)
	}
}

// Two of the product's own nodes by way of the relay: what is counted as theirs is what they say they sent, more what
// packs it, and membership's own is told apart. What one sends the other receives.
func TestRelayMeters(t *testing.T) {
	relay := NewRelay(1, Link{})
	defer relay.Close()
	var list []*gossip.Node
	var doors []string
	for i := range 2 {
		at, err := freePort(IP(i).String())
		if err != nil {
			t.Fatal(err)
		}
		door, err := relay.DoorTo(peersDoor, Anyone, i, at)
		if err != nil {
			t.Fatal(err)
		}
		doors = append(doors, door)
		n, err := gossip.New(gossip.Options{Name: []string{"a", "b"}[i], Listen: at, Advertise: door, Join: doors[:i], Cluster: "test", Incarnation: uint64(i + 1),
			ExchangeEnabled: true, Tenants: []quota.Tenant{{Name: "t", ID: usage.TenantID("t", 20, 1), Quota: 20}},
			Settings: quota.Settings{Period: 0.05, LeaseDuration: 1.5, RetainedFraction: 0.02, ExpectedInstances: 2}, Log: zerolog.Nop(), Now: time.Now, OnQuotaUpdate: func([]balance.QuotaUpdate) {}})
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		list = append(list, n)
	}
	if err := Until(15*time.Second, "they have met and said something", func() bool {
		for _, n := range list {
			if s := n.Status(); !s.Joined || s.Sent < 20 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	// What is under way as they are asked differs by a message or two.
	if err := Until(10*time.Second, "both counts agree", func() bool {
		now := relay.Traffic()
		for i, n := range list {
			s, x, y := n.Status(), now[i][TrafficExchange], now[1-i][TrafficExchange]
			sent, got := x.Sent.Messages, y.Received.Messages
			if math.Abs(sent-float64(s.Sent)) > 2 || math.Abs(sent-got) > 2 || x.Sent.Bytes < 0.95*float64(s.SentBytes) || x.Sent.Bytes > 1.6*float64(s.SentBytes) {
				t.Logf("%d: %+v, %d messages of %d bytes sent", i, x, s.Sent, s.SentBytes)
				return false
			}
			for _, k := range []TrafficKind{TrafficMembership, TrafficPushPull, TrafficPushPullUsage} {
				if now[i][k].Sent.Bytes == 0 || now[i][k].Received.Bytes == 0 {
					return false
				}
			}
			if now[i][TrafficOther].Sent.Bytes > 0 || now[i][TrafficAgreement].Sent.Bytes > 0 {
				t.Fatalf("%+v", now[i])
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// Each instance sends from an address of its own, by which doors tell it.
func TestSenders(t *testing.T) {
	d, seen := &door{from: Anyone}, map[string]bool{}
	for i := range 1000 {
		at := IP(i)
		if seen[at.String()] || !at.IsLoopback() || d.sender(at) != i {
			t.Fatalf("%d: %v, taken for %d", i, at, d.sender(at))
		}
		seen[at.String()] = true
	}
}
