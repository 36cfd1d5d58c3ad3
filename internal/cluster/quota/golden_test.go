package quota_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"

	"example.org/bellstream/internal/cluster/gossip/wire"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/lab/simulation"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenClusters are clusters whose messages and decisions are compared with a golden file.
var goldenClusters = []struct {
	name      string
	instances int
	set       quota.Settings
	net       simulation.Network
}{
	{"flat", 5, quota.Settings{Period: 0.25, Fanout: 2, LeaseDuration: 4, RetainedFraction: 0.02, ForgetAfter: 30, ExpectedInstances: 5, MaxDelay: 0.05, LossRate: 0.1},
		simulation.Network{Loss: 0.05, Duplication: 0.05, MaxDelay: 0.05, LateFraction: 0.01, DetectionDelay: 1, SyncInterval: 5}},
	{"few", 6, quota.Settings{Period: 0.25, LeaseDuration: 6, RetainedFraction: 0.02, ForgetAfter: 30, ExpectedInstances: 6, MaxDelay: 0.05, LossRate: 0.1, Owners: 2, Region: "r0"},
		simulation.Network{Loss: 0.05, Duplication: 0.05, MaxDelay: 0.05, LateFraction: 0.01, DetectionDelay: 1}},
	{"many", 14, quota.Settings{Period: 0.25, LeaseDuration: 6, RetainedFraction: 0.02, ForgetAfter: 30, ExpectedInstances: 14, MaxDelay: 0.05, LossRate: 0.1, Owners: 3, Region: "r0"},
		simulation.Network{Loss: 0.05, Duplication: 0.05, MaxDelay: 0.05, LateFraction: 0.01, DetectionDelay: 1}},
}

// Digests of all messages' bytes and of all allotments and counts, second by second, equal those in the golden files.
// The clusters go through message loss, a partition, a crash, a suspension, a leave and starts, with a fixed seed, so
// that any change of a decision shows.
func TestGoldenExchange(t *testing.T) {
	for _, g := range goldenClusters {
		t.Run(g.name, func(t *testing.T) {
			got := recordGolden(t, g.instances, g.set, g.net)
			path := filepath.Join("testdata", "golden", "exchange-"+g.name+".txt")
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
			gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
			for i := range min(len(gotLines), len(wantLines)) {
				if !bytes.Equal(gotLines[i], wantLines[i]) {
					t.Fatalf("first difference, line %d:\n%s\nwant\n%s", i+1, gotLines[i], wantLines[i])
				}
			}
			if len(got) != len(want) {
				t.Errorf("got %d lines, want %d", len(gotLines), len(wantLines))
			}
		})
	}
}

// goldenRecorder digests a cluster's messages and decisions.
type goldenRecorder struct {
	*simulation.Cluster
	t              *testing.T
	instances      int
	out            bytes.Buffer
	messages       int
	bytes          int
	messageDigest  *xxhash.Digest
	decisionDigest *xxhash.Digest
}

// recordGolden runs a cluster for 90.5 s and returns the contents of its golden file.
func recordGolden(t *testing.T, instances int, set quota.Settings, net simulation.Network) []byte {
	tenants := append(simulation.EqualTenants(12, 20), simulation.EqualTenants(16, 0.5)...)
	p := &goldenRecorder{
		Cluster:        simulation.New(31, set, net, tenants),
		t:              t,
		instances:      instances,
		messageDigest:  xxhash.New(),
		decisionDigest: xxhash.New(),
	}
	p.MessageSize = p.record
	for i := range instances {
		p.start(i)
	}
	p.schedule()
	p.After(1, p.playSecond)
	p.Run(90.5, nil)
	p.writeInstances()
	p.writeBounds()
	return p.out.Bytes()
}

// record adds the bytes of a message to the digest of messages, and returns how many there are.
func (p *goldenRecorder) record(m *quota.Message) int {
	data := wire.EncodeMessage(77, m)
	p.messages++
	p.bytes += len(data)
	p.messageDigest.Write(data)
	return len(data)
}

func (p *goldenRecorder) start(i int) {
	s := p.Settings
	if s.Region != "" {
		s.Region = fmt.Sprint("r", i%3)
	}
	p.StartAs(fmt.Sprintf("n%02d", i), float64(i)/3, s)
}

// schedule plans a crash, a restart, a partition, a leave, a join and a suspension.
func (p *goldenRecorder) schedule() {
	p.After(20, func() { p.Kill(p.Instances[1]) })
	p.After(24, func() { p.start(1) })
	p.After(32, func() { p.Partition(func(i int) int { return i % 2 }) })
	p.After(45, func() { p.Partition(func(int) int { return 0 }) })
	p.After(52, func() { p.Instances[0].Allocator.Leave() })
	p.After(54, func() { p.Kill(p.Instances[0]) })
	p.After(60, func() { p.start(p.instances) })
	p.After(62, func() { p.Freeze(p.Instances[2], 9) })
}

// addDecision adds a number to the digest of decisions.
func (p *goldenRecorder) addDecision(v uint64) {
	p.decisionDigest.Write(binary.LittleEndian.AppendUint64(nil, v))
}

// playSecond adds one second's load, digests what each instance has decided, and writes a line of the golden file.
func (p *goldenRecorder) playSecond() {
	for i, in := range p.Instances {
		if in.Up {
			p.addLoad(i, in)
			p.addDecisions(in)
		}
	}
	fmt.Fprintf(&p.out, "%3.0f s: %d messages, %d bytes, exchanged %016x, decided %016x\n",
		p.Now, p.messages, p.bytes, p.messageDigest.Sum64(), p.decisionDigest.Sum64())
	p.After(1, p.playSecond)
}

// addLoad records a second's jobs at instance i. Its share of each tenant's jobs changes every 15 s.
func (p *goldenRecorder) addLoad(i int, in *simulation.Instance) {
	for k, tenant := range p.Tenants {
		if (i+k)%4 == 0 {
			continue
		}
		mean := tenant.Quota / float64(p.instances) * float64(1+(i+k+int(p.Now)/15)%3)
		for range simulation.Poisson(p.Rand, mean) {
			in.Meter.RecordArrival(tenant.Name)
			in.Meter.RecordStart(tenant.Name, 1.25)
		}
	}
}

func (p *goldenRecorder) addDecisions(in *simulation.Instance) {
	for _, allotment := range in.Allotments {
		p.addDecision(uint64(allotment))
	}
	for _, remote := range in.Allocator.RemoteUsage(p.Now+in.ClockOffset, in.Usage.Snapshot()) {
		p.addDecision(math.Float64bits(remote))
	}
	for k := range p.Tenants {
		count, known := in.Allocator.KnownUsage(k, in.Usage.Snapshot())
		p.addDecision(count.Started)
		p.addDecision(count.Refunded)
		if known {
			p.addDecision(1)
		}
	}
	peers, err := json.Marshal(in.Allocator.Peers(p.Now + in.ClockOffset))
	if err != nil {
		p.t.Fatal(err)
	}
	p.decisionDigest.Write(peers)
}

// writeInstances writes the final state of each instance, and a digest that includes the final totals.
func (p *goldenRecorder) writeInstances() {
	for _, in := range p.Instances {
		drops, err := json.Marshal(in.Allocator.Drops())
		if err != nil {
			p.t.Fatal(err)
		}
		owned, all := in.Allocator.OwnedTenants()
		fmt.Fprintf(&p.out, "%s: %d heard, dropped %s, joined %t, homed %t, owns %d of %d, table %016x\n",
			in.Name, in.Allocator.Received(), drops, in.Allocator.Joined(), in.Allocator.HashedOwnership(),
			owned, all, in.Allocator.TableDigest())
		for _, total := range in.Usage.Snapshot().Totals() {
			p.addDecision(total.Tenant)
			p.addDecision(total.Started)
			p.addDecision(total.Refunded)
		}
	}
	fmt.Fprintf(&p.out, "totals %016x\n", p.decisionDigest.Sum64())
}

// writeBounds writes the bounds that follow from the settings.
func (p *goldenRecorder) writeBounds() {
	for _, jobs := range []float64{0, 0.5, 20} {
		for _, n := range []int{1, 5, 14, 1000} {
			bounds, err := json.Marshal(p.Settings.Bounds(n, jobs, 10))
			if err != nil {
				p.t.Fatal(err)
			}
			key, _ := p.Settings.Validate(n, jobs, 10, 0.2)
			fmt.Fprintf(&p.out, "bounds of %d instances, quota %g: %s, check %q\n", n, jobs, bounds, key)
		}
	}
}
