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

func compress(t *testing.T, raw []byte) []byte {
	t.Helper()
	var compressed bytes.Buffer
	w := lzw.NewWriter(&compressed, lzw.LSB, 8)
	w.Write(raw)
	w.Close()
	out := []byte{compressMsg}
	var body []byte
	if err := codec.NewEncoderBytes(&body, &codec.MsgpackHandle{}).Encode(struct {
		Algo uint8
		Buf  []byte
	}{0, compressed.Bytes()}); err != nil {
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

// Each byte of a datagram counts once, for the kind of the message that carries it, however the message is packed.
func TestBytesByKind(t *testing.T) {
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
	// 50 of the 100 bytes are the user state, which carries usage.
	push = append(append(push, head...), make([]byte, 99-len(head))...)
	for name, c := range map[string]struct {
		raw  []byte
		want map[TrafficKind]float64 // fractions of the bytes
	}{
		"a probe":                        {ping, map[TrafficKind]float64{TrafficMembership: 1}},
		"exchange message":               {user, map[TrafficKind]float64{TrafficExchange: 1}},
		"labelled":                       {label(user), map[TrafficKind]float64{TrafficExchange: 1}},
		"checksum and label":             {label(crc(ping)), map[TrafficKind]float64{TrafficMembership: 1}},
		"compound":                       {compound(ping, user), map[TrafficKind]float64{TrafficMembership: 0.25, TrafficExchange: 0.75}},
		"compound, compressed, labelled": {label(crc(compress(t, compound(user, ping)))), map[TrafficKind]float64{TrafficMembership: 0.25, TrafficExchange: 0.75}},
		"compound in a compound":         {compound(compound(ping, ping), user), map[TrafficKind]float64{TrafficMembership: 204.0 / 506, TrafficExchange: 302.0 / 506}},
		"push/pull":                      {compress(t, push), map[TrafficKind]float64{TrafficPushPullUsage: 0.5, TrafficPushPull: 0.5}},
		"unknown":                        {[]byte{200, 1, 2}, map[TrafficKind]float64{TrafficOther: 1}},
		"truncated label":                {[]byte{labelMsg, 9, 1}, map[TrafficKind]float64{TrafficOther: 1}},
		"truncated compound":             {compound(ping, user)[:20], map[TrafficKind]float64{TrafficOther: 1}},
		"empty compound":                 {[]byte{compoundMsg, 0}, map[TrafficKind]float64{TrafficOther: 1}},
		"invalid compression":            {[]byte{compressMsg, 1, 2, 3}, map[TrafficKind]float64{TrafficOther: 1}},
		"push/pull without header":       {[]byte{pushPullMsg}, map[TrafficKind]float64{TrafficOther: 1}},
		"only a checksum":                {[]byte{crcMsg, 1}, map[TrafficKind]float64{TrafficOther: 1}},
	} {
		got, sum := bytesByKind(peersService, c.raw), 0.0
		for k, n := range got {
			if sum += n; math.Abs(n/float64(len(c.raw))-c.want[k]) > 0.01 {
				t.Errorf("%s: got %v of %d bytes", name, got, len(c.raw))
			}
		}
		if math.Abs(sum-float64(len(c.raw))) > 1e-6 || len(got) != len(c.want) {
			t.Errorf("%s: got %v of %d bytes, want %v", name, got, len(c.raw), c.want)
		}
	}
	if got := bytesByKind("", ping); !maps.Equal(got, map[TrafficKind]float64{TrafficOther: 100}) {
		t.Errorf("forwarder without a service: got %v", got)
	}
}

// Two gossip nodes exchange messages through a relay. The relay counts as many bytes of exchange messages as the
// nodes report as sent, plus the overhead of packing; membership traffic is counted separately. One node receives as
// many messages as the other sends.
func TestRelayMeters(t *testing.T) {
	relay := NewRelay(1, Link{})
	defer relay.Close()
	var nodes []*gossip.Node
	var forwarders []string
	for i := range 2 {
		address, err := freePort(IP(i).String())
		if err != nil {
			t.Fatal(err)
		}
		forwarder, err := relay.ForwardTraffic(peersService, Anyone, i, address)
		if err != nil {
			t.Fatal(err)
		}
		forwarders = append(forwarders, forwarder)
		n, err := gossip.New(gossip.Options{Name: []string{"a", "b"}[i], Listen: address, Advertise: forwarder, Join: forwarders[:i], Cluster: "test", Incarnation: uint64(i + 1),
			ExchangeEnabled: true, Tenants: []quota.Tenant{{Name: "t", ID: usage.TenantID("t", 20, 1), Quota: 20}},
			Settings: quota.Settings{Period: 0.05, LeaseDuration: 1.5, RetainedFraction: 0.02, ExpectedInstances: 2}, Log: zerolog.Nop(), Now: time.Now, OnQuotaUpdate: func([]balance.QuotaUpdate) {}})
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		nodes = append(nodes, n)
	}
	if err := Until(15*time.Second, "both nodes have joined and sent 20 messages", func() bool {
		for _, n := range nodes {
			if status := n.Status(); !status.Joined || status.Sent < 20 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	// The counts may differ by a message or two that are in flight while they are read.
	if err := Until(10*time.Second, "equal counts at the relay and the nodes", func() bool {
		traffic := relay.Traffic()
		for i, n := range nodes {
			status, sender, receiver := n.Status(), traffic[i][TrafficExchange], traffic[1-i][TrafficExchange]
			sent, received := sender.Sent.Messages, receiver.Received.Messages
			if math.Abs(sent-float64(status.Sent)) > 2 || math.Abs(sent-received) > 2 || sender.Sent.Bytes < 0.95*float64(status.SentBytes) || sender.Sent.Bytes > 1.6*float64(status.SentBytes) {
				t.Logf("node %d: relay counts %+v, the node %d messages of %d bytes sent", i, sender, status.Sent, status.SentBytes)
				return false
			}
			for _, k := range []TrafficKind{TrafficMembership, TrafficPushPull, TrafficPushPullUsage} {
				if traffic[i][k].Sent.Bytes == 0 || traffic[i][k].Received.Bytes == 0 {
					return false
				}
			}
			if traffic[i][TrafficOther].Sent.Bytes > 0 || traffic[i][TrafficAgreement].Sent.Bytes > 0 {
				t.Fatalf("unexpected kinds of traffic: %+v", traffic[i])
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// Each instance sends from its own address, and forwarders identify the sender by it.
func TestSenders(t *testing.T) {
	d, seen := &forwarder{from: Anyone}, map[string]bool{}
	for i := range 1000 {
		address := IP(i)
		if seen[address.String()] || !address.IsLoopback() || d.sender(address) != i {
			t.Fatalf("instance %d: address %v is invalid or repeated, or identified as instance %d", i, address, d.sender(address))
		}
		seen[address.String()] = true
	}
}
