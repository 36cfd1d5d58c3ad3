package gossip

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/hashicorp/memberlist"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"example.org/bellstream/internal/cluster/quota"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares bytes with the content of a committed file, and returns that content.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
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
		t.Errorf("%s is encoded as\n%q, want\n%q", name, got, want)
	}
	return want
}

// TestGoldenMeta checks the metadata that an instance announces through memberlist.
func TestGoldenMeta(t *testing.T) {
	for name, c := range map[string]struct {
		settings quota.Settings
		exchange bool
		want     quota.Member
	}{
		"homes-region":  {quota.Settings{Owners: 3, Region: "north"}, true, quota.Member{Name: "n1", Region: "north", Build: 1}},
		"homes":         {quota.Settings{Owners: 1}, true, quota.Member{Name: "n1", Build: 1}},
		"flat":          {quota.Settings{Region: "north"}, true, quota.Member{Name: "n1"}},
		"no-exchange":   {quota.Settings{Owners: 3, Region: "north"}, false, quota.Member{Name: "n1"}},
		"longer-region": {quota.Settings{Owners: 3, Region: "a-region-of-many-letters"}, true, quota.Member{Name: "n1", Region: "a-region-", Build: 1}},
	} {
		d := delegate{&Node{Options: Options{Settings: c.settings, ExchangeEnabled: c.exchange}}}
		raw := golden(t, "meta-"+name+".bin", d.NodeMeta(10))
		if got := memberFromMeta(&memberlist.Node{Name: "n1", Meta: raw}); got != c.want {
			t.Errorf("%s decodes to %+v, want %+v", name, got, c.want)
		}
	}
	if got := memberFromMeta(&memberlist.Node{Name: "n1", Meta: []byte{7, 'x'}}); got != (quota.Member{Name: "n1", Region: "x", Build: 7}) {
		t.Errorf("a later build decodes to %+v", got)
	}
}

// goldenStatus returns a status in which every field is set, each to a different value.
func goldenStatus() *Status {
	return &Status{
		Name:            "n1",
		Cluster:         "c",
		Listen:          "127.0.0.1:1",
		Incarnation:     2,
		Joined:          true,
		HashedOwnership: true,
		OwnedTenants:    3,
		Size:            4,
		Peers: []quota.PeerStatus{
			{Name: "n2", Present: true, Age: 5.5, Acknowledges: true, ViewAgrees: true, SameTable: true, InFlight: 6, LentTenants: 7, BorrowedTenants: 8},
			{Name: "n3", Age: -1},
		},
		Tenants:   []TenantStatus{{Name: "a", Quota: 9.5, Allotment: 0.25, Started: 10.5, StartedHere: 11.5}},
		Drops:     map[string]uint64{"malformed": 12, "old or repeated": 13},
		Bounds:    quota.Bounds{UsageDelay: 14.5, RegionalUsageDelay: 15.5, ShareError: 16.5, ShiftDelay: 17.5, FailoverDelay: 18.5, LoanExpiry: 19.5, AllotmentError: 20.5, Owners: 21, RemainingFraction: 22.5, RemainingWithoutRegion: 23.5},
		Sent:      24,
		SentBytes: 25,
		Received:  26,
	}
}

// TestGoldenStatus checks the JSON of the status, which operators read.
func TestGoldenStatus(t *testing.T) {
	full, err := json.MarshalIndent(goldenStatus(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var got Status
	if err := json.Unmarshal(golden(t, "status.json", full), &got); err != nil || !reflect.DeepEqual(&got, goldenStatus()) {
		t.Errorf("decodes to %+v, %v", got, err)
	}
	empty, err := json.MarshalIndent(&Status{}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "status-empty.json", empty)
}

func TestGoldenMetrics(t *testing.T) {
	n := &Node{}
	n.status.Store(goldenStatus())
	registry := prometheus.NewRegistry()
	registry.MustRegister(n.Collector())
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&text, f); err != nil {
			t.Fatal(err)
		}
	}
	golden(t, "metrics.txt", text.Bytes())
}
