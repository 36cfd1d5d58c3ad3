package wire

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
)

var update = flag.Bool("update", false, "write the golden files anew")

// goldenCluster is the cluster digest in all golden files.
const goldenCluster = 0x0102030405060708

// golden compares bytes with the content of a committed file, and returns that content.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".bin")
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is encoded as\n%x, want\n%x", name, got, want)
	}
	return want
}

// goldenCounts returns counts of two tenants. Both ids are small enough to be table indexes.
func goldenCounts(n uint64) usage.Counts {
	return usage.Counts{
		{Tenant: n, Count: usage.Count{Started: 5000 + n, Refunded: 100 + n}},
		{Tenant: n + 1000, Count: usage.Count{Started: 6000 + n}},
	}
}

func goldenInstances() []*usage.InstanceUsage {
	return []*usage.InstanceUsage{
		{
			Name:         "n1",
			Rollup:       usage.Rollup{Writer: 1<<60 + 71, Sequence: 72, Through: 1<<60 + 70, Counts: goldenCounts(73)},
			Incarnations: []usage.IncarnationUsage{{Incarnation: 1<<60 + 71, Counts: goldenCounts(74)}, {Incarnation: 1<<60 + 75, Counts: goldenCounts(76)}},
		},
		{Name: "n2", Incarnations: []usage.IncarnationUsage{{Incarnation: 1<<60 + 77, Counts: usage.Counts{{Tenant: 1<<63 + 78, Count: usage.Count{Started: 79}}}}}},
	}
}

// goldenFull returns a full message in which every field is set, each to a different value.
func goldenFull() *quota.Message {
	return &quota.Message{
		Header: quota.Header{
			From:        "n1",
			To:          "n2",
			Incarnation: 1<<60 + 1,
			Seq:         302,
			Round:       303,
			Leaving:     true,
			Build:       quota.OwnershipBuild,
		},
		Ack: quota.Ack{
			AckIncarnation: 1<<60 + 4,
			AckSeq:         305,
			AckBits:        1<<63 + 6,
		},
		View: quota.View{
			ViewDigest:   1<<62 + 7,
			LoansCovered: true,
			TableDigest:  1<<61 + 10,
		},
		RangeStart: 8,
		RangeEnd:   1<<63 + 9,
		Demands:    []quota.TenantFraction{{Tenant: 1<<63 + 11, Millionths: 12_000}, {Tenant: 1<<63 + 13, Millionths: 1_000_000}},
		Grants:     []quota.TenantFraction{{Tenant: 1<<63 + 14, Millionths: 15_000}},
		Counts:     goldenCounts(16),
	}
}

// goldenDelta returns a delta message that names sender and receiver, without flags and
// acknowledgement; all other fields are set.
func goldenDelta() *quota.Message {
	return &quota.Message{
		Header: quota.Header{
			Build:       quota.OwnershipBuild,
			From:        "n1",
			To:          "n2",
			Incarnation: 1<<60 + 21,
			Seq:         322,
			Round:       319,
		},
		View: quota.View{
			ViewDigest:  1<<62 + 27,
			TableDigest: 1<<61 + 28,
		},
		Delta:        true,
		Demands:      []quota.TenantFraction{{Tenant: 1<<63 + 29, Millionths: 30_000}, {Tenant: 1<<63 + 31, Millionths: 0}},
		Grants:       []quota.TenantFraction{{Tenant: 1<<63 + 32, Millionths: 33_000}, {Tenant: 1<<63 + 34, Millionths: 0}},
		Counts:       goldenCounts(35),
		RemoteTotals: goldenCounts(36),
		RelayedUsage: []*usage.InstanceUsage{{Name: "n3", Incarnations: []usage.IncarnationUsage{{Incarnation: 1<<60 + 37, Counts: goldenCounts(38)}}}},
	}
}

// goldenMessages returns full and delta messages by the names of their golden files.
func goldenMessages() map[string]*quota.Message {
	withAck := goldenDelta()
	withAck.AckIncarnation, withAck.AckSeq, withAck.AckBits = 1<<60+24, 325, 1<<63+26
	byIndex := goldenDelta()
	byIndex.AckIncarnation, byIndex.AckSeq, byIndex.AckBits, byIndex.TenantsByIndex = 1<<60+24, 25, 1<<23+1<<20+1, true
	byIndex.Demands = []quota.TenantFraction{{Tenant: 40, Millionths: 41_000}, {Tenant: 342, Millionths: 0}}
	byIndex.Grants = []quota.TenantFraction{{Tenant: 43, Millionths: 44_000}}
	linked := goldenDelta()
	linked.LinkID, linked.From, linked.Incarnation = 1<<63+50, "", 0
	linked.AckSeq, linked.AckBits, linked.TenantsByIndex = 52, 1<<50+53, true
	linked.Demands, linked.Grants = byIndex.Demands, byIndex.Grants
	empty := &quota.Message{Header: quota.Header{Build: quota.OwnershipBuild, From: "a", To: "b", Incarnation: 1, Seq: 1, Round: 1}, Delta: true}
	cases := map[string]*quota.Message{
		"flat":             goldenFull(),
		"flat-bare":        {Header: quota.Header{From: "a", To: "b"}},
		"homed":            goldenDelta(),
		"homed-echo":       withAck,
		"homed-places":     byIndex,
		"homed-link":       linked,
		"homed-bare":       empty,
		"homed-link-bare":  {Header: quota.Header{Build: quota.OwnershipBuild, LinkID: 1<<63 + 60, Seq: 61, Round: 61}, Delta: true},
		"homed-next-round": {Header: quota.Header{Build: quota.OwnershipBuild, LinkID: 1<<63 + 62, Seq: 1000, Round: 937}, Delta: true},
	}
	addGoldenFlags(cases, empty)
	return cases
}

// addGoldenFlags adds messages in each of which a single flag is set.
func addGoldenFlags(cases map[string]*quota.Message, empty *quota.Message) {
	for name, set := range map[string]func(*quota.Message){
		"settled": func(m *quota.Message) { m.LoansCovered = true },
		"leaving": func(m *quota.Message) { m.Leaving = true },
		"ask":     func(m *quota.Message) { m.AckRequested = true },
		"hello":   func(m *quota.Message) { m.ViewRequested = true },
	} {
		delta := *empty
		set(&delta)
		cases["homed-"+name] = &delta
	}
	for name, set := range map[string]func(*quota.Message){
		"settled": func(m *quota.Message) { m.LoansCovered = true },
		"leaving": func(m *quota.Message) { m.Leaving = true },
	} {
		full := quota.Message{Header: quota.Header{From: "a", To: "b"}}
		set(&full)
		cases["flat-"+name] = &full
	}
}

func TestGoldenMessages(t *testing.T) {
	for name, content := range goldenMessages() {
		raw := golden(t, name, EncodeMessage(goldenCluster, content))
		if len(raw) != MessageSize(content) {
			t.Errorf("%s: MessageSize is %d, but %d bytes were encoded", name, MessageSize(content), len(raw))
		}
		got, instances, err := Decode(goldenCluster, raw)
		want := *content
		if content.Delta && (content.AckIncarnation != 0 || content.LinkID != 0) { // the receiver is identified by its incarnation
			want.To = ""
		}
		if err != nil || instances != nil || !reflect.DeepEqual(got, &want) {
			t.Errorf("%s decodes to %+v, usage %v, error %v", name, got, instances, err)
		}
	}
}

func TestGoldenStates(t *testing.T) {
	for name, content := range map[string][]*usage.InstanceUsage{
		"knowledge":       goldenInstances(),
		"knowledge-one":   goldenInstances()[1:],
		"knowledge-empty": nil,
	} {
		state, _ := usage.EmptyState().Merge(content...)
		m, got, err := Decode(goldenCluster, golden(t, name, EncodeState(goldenCluster, state)))
		// These incarnations are sorted and later than the rollup, so that none is dropped.
		if err != nil || m != nil || !reflect.DeepEqual(got, content) {
			t.Errorf("%s decodes to message %v, usage %+v, error %v", name, m, got, err)
		}
	}
}

// TestGoldenUsage checks how the counts of a meter are encoded, in a state and in a delta message.
func TestGoldenUsage(t *testing.T) {
	tenants := []usage.Tenant{
		{Name: "a", ID: usage.TenantID("a", 20, 1)},
		{Name: "b", ID: usage.TenantID("b", 0.5, 3)},
		{Name: "idle", ID: usage.TenantID("idle", 7, 2)},
	}
	meter := usage.NewMeter(tenants)
	meter.RecordArrival("a")
	meter.RecordStart("a", 1.5)
	meter.RecordStart("a", 0.0004)
	meter.RecordStart("b", 0.0015)
	meter.RecordStart("b", 4)
	meter.RecordRefund("b", 4)
	meter.RecordStart("nobody", 9)
	replica := usage.NewReplica("n1", 1<<60+81)
	replica.UpdateLocal(meter.Counts())
	counts, _ := replica.Snapshot().Instance("n1").Incarnation(1<<60 + 81)
	want := []*usage.InstanceUsage{{Name: "n1", Incarnations: []usage.IncarnationUsage{{Incarnation: 1<<60 + 81, Counts: usage.Normalize(usage.Counts{
		{Tenant: tenants[0].ID, Count: usage.Count{Started: 1500}},
		{Tenant: tenants[1].ID, Count: usage.Count{Started: 4002, Refunded: 4000}},
	})}}}}
	if _, got, err := Decode(goldenCluster, golden(t, "usage-record", EncodeState(goldenCluster, replica.Snapshot()))); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the state decodes to %+v, error %v", got, err)
	}
	m := &quota.Message{Header: quota.Header{Build: quota.OwnershipBuild, From: "n1", To: "n2", Incarnation: 1<<60 + 81, Seq: 82, Round: 82}, Delta: true, Counts: counts}
	if got, _, err := Decode(goldenCluster, golden(t, "usage-message", EncodeMessage(goldenCluster, m))); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("the message decodes to %+v, error %v", got, err)
	}
}

func TestGoldenDigest(t *testing.T) {
	if got, want := ClusterDigest("north"), uint64(0x6b6bcc743400eb9d); got != want {
		t.Errorf("the digest of a cluster's name is %#x, want %#x", got, want)
	}
}
