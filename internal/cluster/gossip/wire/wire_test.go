package wire

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

var sample = &quota.Message{Header: quota.Header{From: "a", To: "b", Incarnation: 9, Seq: 3}, Ack: quota.Ack{AckIncarnation: 4, AckSeq: 2, AckBits: 1}, View: quota.View{ViewDigest: 77, LoansCovered: true, TableDigest: 8}, RangeStart: 1, RangeEnd: 1 << 63, Demands: []quota.TenantFraction{{Tenant: 4, Millionths: 100}}, Grants: []quota.TenantFraction{{Tenant: 5, Millionths: 7}}, Counts: usage.Counts{{Tenant: 4, Count: usage.Count{Started: 5000, Refunded: 1000}}, {Tenant: 6, Count: usage.Count{Started: 1}}}}

func testState() usage.State {
	s, _ := usage.EmptyState().Merge(
		&usage.InstanceUsage{Name: "a", Rollup: usage.Rollup{Writer: 9, Sequence: 1, Through: 3, Counts: usage.Counts{{Tenant: 1, Count: usage.Count{Started: 2}}}},
			Incarnations: []usage.IncarnationUsage{{Incarnation: 4, Counts: sample.Counts}, {Incarnation: 9}}},
		&usage.InstanceUsage{Name: "b", Incarnations: []usage.IncarnationUsage{{Incarnation: 1, Counts: sample.Counts}}})
	return s
}

func TestRoundTrip(t *testing.T) {
	m, _, err := Decode(5, EncodeMessage(5, sample))
	if err != nil || !reflect.DeepEqual(m, sample) {
		t.Errorf("decoded %+v, error %v", m, err)
	}
	_, list, err := Decode(5, EncodeState(5, testState()))
	if err != nil {
		t.Fatal(err)
	}
	back, _ := usage.EmptyState().Merge(list...)
	if !reflect.DeepEqual(back.Totals(), testState().Totals()) || back.Len() != 2 {
		t.Errorf("got totals %v", back.Totals())
	}
	if len(EncodeMessage(5, sample)) != MessageSize(sample) {
		t.Error("MessageSize differs from the encoded length")
	}
}

// A delta message holds the same content in fewer bytes. The receiver's incarnation replaces the
// receiver's name and the cluster, and table indexes replace tenant ids.
func TestDeltaRoundTrip(t *testing.T) {
	m := &quota.Message{Header: quota.Header{From: "a", To: "b", Incarnation: 9, Seq: 9, Round: 7, Build: quota.OwnershipBuild}, View: quota.View{LoansCovered: true, ViewDigest: 77, TableDigest: 8}, Delta: true, AckRequested: true, ViewRequested: true, Demands: sample.Demands, Grants: []quota.TenantFraction{{Tenant: 5, Millionths: 0}}, Counts: sample.Counts, RemoteTotals: sample.Counts, RelayedUsage: []*usage.InstanceUsage{{Name: "c", Incarnations: []usage.IncarnationUsage{{Incarnation: 4, Counts: sample.Counts}}}}}
	if got, _, err := Decode(5, EncodeMessage(5, m)); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("decoded %+v, error %v", got, err)
	}
	if _, _, err := Decode(6, EncodeMessage(5, m)); !errors.Is(err, ErrWrongCluster) {
		t.Errorf("message of another cluster: got error %v", err)
	}
	m.Leaving, m.ViewRequested, m.ViewDigest, m.TableDigest, m.LoansCovered, m.TenantsByIndex = true, false, 0, 0, false, true
	m.AckIncarnation, m.AckSeq, m.AckBits = 1<<60|3, 70, 1<<63|5
	got, _, err := Decode(5, EncodeMessage(5, m))
	if err != nil || got.To != "" {
		t.Fatalf("decoded %+v, error %v; want no receiver's name", got, err)
	}
	got.To = "b"
	if !reflect.DeepEqual(got, m) || len(EncodeMessage(5, m)) != MessageSize(m) {
		t.Errorf("decoded %+v, want the encoded message of MessageSize bytes", got)
	}
	for _, seq := range []uint64{1, 2, 64, 65, 1000} { // bits of numbers below 1 must not be set
		m.AckSeq, m.AckBits = seq, ackMask(seq)
		if got, _, _ := Decode(5, EncodeMessage(5, m)); got.AckBits != m.AckBits {
			t.Errorf("acknowledgement of %d: got bits %x, want %x", seq, got.AckBits, m.AckBits)
		}
	}
	empty := &quota.Message{Header: quota.Header{From: "n001", Incarnation: 1 << 60, Seq: 900, Round: 900}, Ack: quota.Ack{AckIncarnation: 1 << 60, AckSeq: 900, AckBits: math.MaxUint64}, Delta: true}
	if n := MessageSize(empty); n > 38 {
		t.Errorf("a message without content takes %d bytes, want at most 38", n)
	}
	// A link alone identifies sender and receiver.
	linked := &quota.Message{Header: quota.Header{LinkID: 1<<63 | 7, Seq: 900, Round: 900, Build: quota.OwnershipBuild}, Ack: quota.Ack{AckSeq: 900, AckBits: math.MaxUint64}, Delta: true, TenantsByIndex: true, Counts: sample.Counts}
	linked.To = "b" // used only by the sender, for the address; not encoded
	if got, _, err := Decode(5, EncodeMessage(5, linked)); err != nil || got.To != "" || got.LinkID != linked.LinkID || got.AckIncarnation != 0 || !reflect.DeepEqual(got.Counts, linked.Counts) {
		t.Errorf("decoded %+v, error %v", got, err)
	}
	if linked.Counts = nil; MessageSize(linked) > 24 {
		t.Errorf("a message without content and with a link takes %d bytes, want at most 24", MessageSize(linked))
	}
}

// Unknown fields of a newer build are ignored. If the newer build requires a later reader version,
// the message is rejected.
func TestOtherBuilds(t *testing.T) {
	raw := EncodeMessage(5, sample)
	raw = protowire.AppendTag(raw, 999, protowire.BytesType)
	raw = protowire.AppendBytes(raw, []byte("new"))
	if m, _, err := Decode(5, raw); err != nil || m.Seq != 3 {
		t.Errorf("unknown field: decoded %v, error %v", m, err)
	}
	newer, _ := proto.Marshal(&Envelope{Version: 3, MinReaderVersion: 2, Cluster: 5})
	if _, _, err := Decode(5, newer); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("newer reader version required: got error %v", err)
	}
}

func TestRejected(t *testing.T) {
	envelope := func(e *Envelope) []byte { e.Cluster, e.MinReaderVersion = 5, 1; return marshal(e) }
	counts := func(r *Counts) []byte {
		return envelope(&Envelope{Body: &Envelope_Full{Full: &FullMessage{From: "a", To: "b", Counts: r}}})
	}
	instance := func(r *Instance) []byte {
		return envelope(&Envelope{Body: &Envelope_State{State: &StateMessage{Instances: []*Instance{r}}}})
	}
	for name, c := range map[string]struct {
		raw  []byte
		want error
	}{
		"other cluster":                 {EncodeMessage(6, sample), ErrWrongCluster},
		"truncated":                     {EncodeMessage(5, sample)[:40], ErrCorrupt},
		"empty":                         {nil, ErrWrongCluster},
		"no body":                       {envelope(&Envelope{}), ErrCorrupt},
		"no sender":                     {envelope(&Envelope{Body: &Envelope_Full{Full: &FullMessage{To: "b"}}}), ErrCorrupt},
		"delta without receiver":        {envelope(&Envelope{Body: &Envelope_Delta{Delta: &DeltaMessage{From: "a"}}}), ErrCorrupt},
		"indexes without incarnation":   {envelope(&Envelope{Body: &Envelope_Delta{Delta: &DeltaMessage{From: "a", To: "b", Flags: flagTenantsByIndex}}}), ErrCorrupt},
		"fewer fractions than indexes":  {envelope(&Envelope{Body: &Envelope_Delta{Delta: &DeltaMessage{From: "a", AckIncarnation: 1, Flags: flagTenantsByIndex, Demands: &Fractions{Index: []uint32{1}}}}}), ErrCorrupt},
		"link and name":                 {envelope(&Envelope{Body: &Envelope_Delta{Delta: &DeltaMessage{LinkId: 7, From: "a", Seq: 1}}}), ErrCorrupt},
		"link and incarnation":          {envelope(&Envelope{Body: &Envelope_Delta{Delta: &DeltaMessage{LinkId: 7, AckIncarnation: 9, Seq: 1}}}), ErrCorrupt},
		"page before the first message": {envelope(&Envelope{Body: &Envelope_Delta{Delta: &DeltaMessage{LinkId: 7, Seq: 2, Page: 2}}}), ErrCorrupt},
		"fewer counts than tenants":     {counts(&Counts{Tenant: []uint64{1}}), ErrCorrupt},
		"more refunds than starts":      {counts(&Counts{Tenant: []uint64{1}, Started: []uint64{1}, Refunded: []uint64{2}}), ErrCorrupt},
		"sums overflow":                 {counts(&Counts{Tenant: []uint64{1}, Started: []uint64{1 << 60}}), ErrCorrupt},
		"message too large":             {counts(&Counts{Tenant: make([]uint64, MaxTenants), Started: make([]uint64, MaxTenants)}), ErrTooLarge},
		"state too large":               {make([]byte, MaxStateBytes+1), ErrTooLarge},
		"instance without name":         {instance(&Instance{}), ErrCorrupt},
		"unsorted incarnations":         {instance(&Instance{Name: "x", Incarnations: []*Incarnation{{Incarnation: 2}, {Incarnation: 1}}}), ErrCorrupt},
		"rollup beyond its writer":      {instance(&Instance{Name: "x", RollupWriter: 1, RollupThrough: 2}), ErrCorrupt},
	} {
		if _, _, err := Decode(5, c.raw); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
	}
}

// Decode doesn't crash on any input, and an exchange accepts whatever Decode accepts without crashing
// or an allotment above the full reservation.
func FuzzRead(f *testing.F) {
	f.Add(EncodeMessage(5, sample))
	f.Add(EncodeState(5, testState()))
	f.Add(EncodeMessage(5, &quota.Message{Header: quota.Header{LinkID: 7, Seq: 3, Round: 2}, Ack: quota.Ack{AckSeq: 1}, Delta: true, AckRequested: true, TenantsByIndex: true, Counts: sample.Counts}))
	f.Add([]byte{0x09, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, list, err := Decode(5, raw)
		if err != nil {
			return
		}
		x := quota.NewExchange(quota.Settings{Period: 1, LeaseDuration: 4}, "b", 2, []quota.Tenant{{Name: "t", ID: 4, Quota: 1}}, 0)
		x.Allocator.UpdateMemberNames(0, []string{"a"})
		if m != nil {
			x.Receive(0, m)
		}
		x.MergeAll(0, list)
		x.Round(1)
		for _, s := range x.Allocator.Allotments(1, nil) {
			if s > quota.FullReservation {
				t.Fatalf("allotment of %d millionths exceeds the full reservation", s)
			}
		}
	})
}
