package operatorconfig

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/deferred"
)

// content is what a golden file is decoded to: its blocks, and the settings that are derived from them.
type content struct {
	file            *File
	quotaSettings   quota.Settings
	leaseSettings   lease.Settings
	deferredLimits  deferred.Limits
	maxWaits        map[string]float64
	proposal        *config.Table
	shardBounds     shard.Bounds
	shardLimits     shard.Limits
	concurrentMoves int
	settledTime     time.Duration
	instances       int
}

func decode(t *testing.T, path string) content {
	t.Helper()
	f, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	c := content{file: f, instances: 7}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	c.quotaSettings, err = f.QuotaSettings(c.instances)
	must(err)
	c.leaseSettings, err = f.LeaseSettings()
	must(err)
	c.deferredLimits, err = f.DeferredLimits()
	must(err)
	c.maxWaits, err = f.MaxWaits(nil)
	must(err)
	if p := f.Proposal(); p != nil {
		c.proposal, err = p.TableOn([]*config.Table{{Version: f.Config.BaseVersion}}, "n1")
		must(err)
	}
	if f.Shards != nil {
		c.shardBounds, c.shardLimits = f.Shards.Settings()
	}
	if f.Migration != nil {
		c.concurrentMoves, c.settledTime, err = f.Migration.Settings()
		must(err)
	}
	f.text = nil
	return c
}

// Each key of the operators' file keeps its meaning.
func TestGoldenFiles(t *testing.T) {
	for path, want := range map[string]content{
		"testdata/golden/every.hcl":      everyKey(),
		"../../deploy/bellstream.hcl":    deployedFile(),
		"../../deploy/regions.hcl":       regionsFile(),
		"testdata/golden/nothing.hcl":    emptyFile(),
		"testdata/golden/only-rules.hcl": onlyRules(),
	} {
		want.instances = 7
		got := decode(t, filepath.FromSlash(path))
		if diff := cmp.Diff(want, got, cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
			t.Errorf("%s: decoded content differs (-want +got):\n%s", path, diff)
		}
	}
}

func everyKey() content {
	return content{
		file: &File{
			Log:   &Log{Level: "warn", Format: "console"},
			Admin: &Admin{Listen: "127.0.0.1:9090"},
			Gossip: &Gossip{
				Name:      "n1",
				Region:    "north",
				Listen:    "127.0.0.1:7946",
				Advertise: "192.0.2.1:7947",
				Join:      []string{"127.0.0.1:7948", "127.0.0.1:7949"},
				KeyFile:   "testdata/golden/keys",
				Period:    "300ms",
				Cluster:   "example",
			},
			Usage: &Usage{
				Owners:     new(2),
				Staleness:  "21s",
				ShareFloor: new(0.03),
				MaxError:   new(0.26),
				Retention:  "3m",
				Delay:      "51ms",
				Loss:       new(0.011),
				Instances:  4,
				Exchange:   new(true),
			},
			Deferred: &Deferred{
				Jobs:               new(20001),
				Bytes:              new(int64(33554433)),
				Parents:            new(33),
				Depth:              new(16385),
				UnknownParents:     new(5001),
				UnknownParentGrace: "2.5s",
				Retention:          "61s",
				RetainedOutcomes:   new(100001),
			},
			Ageing: []*Ageing{
				{MaxWait: "5s", Classes: []string{"a", "b"}},
				{MaxWait: "7s", Classes: []string{"c"}},
			},
			Config: &config.Block{
				BaseVersion:       6,
				MaxAttempts:       new(3),
				CordonedWorkers:   []string{"w3"},
				ShardInstances:    []string{"n1", "n2"},
				EndpointListEpoch: 9,
				Tenants:           []config.TenantBlock{{Name: "north", Reservation: new(30.0), Weight: new(2.0)}},
				Classes: []config.ClassBlock{{
					Name:               "c",
					LatencyObjective:   new("150ms"),
					ObjectiveStretch:   new(1.5),
					Deadline:           new("9s"),
					PriorityWeight:     new(4.0),
					LateWeightFraction: new(0.25),
					Idempotence:        "keyed",
					DedupScope:         "zone",
					DedupWindow:        new("8s"),
				}},
				Voters: []config.VoterBlock{
					{Name: "v1", Address: "192.0.2.1:7950"},
					{Name: "v2", Address: "192.0.2.2:7950"},
					{Name: "v3", Address: "192.0.2.3:7950"},
				},
				Clusters: []config.ClusterBlock{
					{Name: "east", Capacity: 200},
					{Name: "west", Capacity: 300},
				},
				Placements: []config.PlacementBlock{{Service: "north", Cluster: "west", ForceRelease: true, Origin: "east"}},
			},
			Lease: &Lease{
				Cluster:      "east-accord",
				Name:         "n2",
				Listen:       "192.0.2.1:7951",
				Folder:       "/var/lib/bellstream",
				Voters:       map[string]string{"v1": "192.0.2.1:7950", "v2": "192.0.2.2:7950", "v3": "192.0.2.3:7950"},
				Lease:        "3.5s",
				Period:       "800ms",
				Delay:        "45ms",
				PollInterval: "55ms",
				Drift:        new(0.012),
				MaxConflict:  "4s",
				Journal:      "/var/log/accord.journal",
				Leases:       new(false),
			},
			Shards: &Shards{
				Count:        64,
				Listen:       "127.0.0.1:7500",
				Instances:    map[string]string{"n1": "127.0.0.1:7500", "n2": "127.0.0.1:7501"},
				Tolerance:    new(0.2),
				MaxTransfers: new(9),
				MaxJobs:      new(100002),
			},
			Migration: &Migration{
				Self:               "east",
				Peers:              []MigrationPeer{{Name: "west", Cluster: "west-accord", Voters: map[string]string{"w1": "10.1.0.1:7950"}}},
				MaxConcurrentMoves: new(5),
				SettledTime:        "31s",
			},
		},
		quotaSettings: quota.Settings{
			Period:            0.3,
			LeaseDuration:     21,
			RetainedFraction:  0.03,
			ForgetAfter:       180,
			ExpectedInstances: 4,
			MaxDelay:          0.051,
			LossRate:          0.011,
			Owners:            2,
			Region:            "north",
		},
		leaseSettings: lease.Settings{LeaseSeconds: 3.5, RenewIntervalSeconds: 0.8, NetworkDelaySeconds: 0.045, ClockDrift: 0.012, PollIntervalSeconds: 0.055},
		deferredLimits: deferred.Limits{
			Jobs:               20001,
			Bytes:              33554433,
			Parents:            33,
			Depth:              16385,
			UnknownParents:     5001,
			UnknownParentGrace: 2.5,
			Retention:          61,
			RetainedOutcomes:   100001,
		},
		maxWaits: map[string]float64{"a": 5, "b": 5, "c": 7},
		proposal: &config.Table{
			Version:           7,
			BaseVersion:       6,
			ProposedBy:        "n1",
			Tenants:           []config.Tenant{{Name: "north", Reservation: new(30.0), Weight: new(2.0)}},
			MaxAttempts:       3,
			CordonedWorkers:   []string{"w3"},
			ShardInstances:    []string{"n1", "n2"},
			EndpointListEpoch: 9,
			Classes: []config.Class{{
				Name:               "c",
				LatencyObjective:   new(0.15),
				ObjectiveStretch:   new(1.5),
				Deadline:           new(9.0),
				PriorityWeight:     new(4.0),
				LateWeightFraction: new(0.25),
				Idempotence:        "keyed",
				DedupScope:         "zone",
				DedupWindow:        8,
			}},
			Voters: []config.Voter{
				{Name: "v1", Address: "192.0.2.1:7950"},
				{Name: "v2", Address: "192.0.2.2:7950"},
				{Name: "v3", Address: "192.0.2.3:7950"},
			},
			Clusters:   []config.Cluster{{Name: "east", Capacity: 200}, {Name: "west", Capacity: 300}},
			Placements: []config.Placement{{Service: "north", Cluster: "west", ForceRelease: true, Origin: "east"}},
		},
		shardBounds:     shard.Bounds{Tolerance: 0.2, MaxTransfers: 9},
		shardLimits:     shard.Limits{MaxJobs: 100002},
		concurrentMoves: 5,
		settledTime:     31 * time.Second,
	}
}

// emptyFile is the content of a file without blocks: all settings are defaults.
func emptyFile() content {
	return content{
		file: &File{},
		quotaSettings: quota.Settings{
			Period:            0.25,
			LeaseDuration:     20,
			RetainedFraction:  0.02,
			ForgetAfter:       120,
			ExpectedInstances: 7,
			MaxDelay:          0.05,
			LossRate:          0.01,
			Owners:            3,
		},
		leaseSettings: lease.Settings{LeaseSeconds: 3, RenewIntervalSeconds: 0.75, NetworkDelaySeconds: 0.05, ClockDrift: 0.01, PollIntervalSeconds: 0.05},
		deferredLimits: deferred.Limits{
			Jobs:               20000,
			Bytes:              33554432,
			Parents:            32,
			Depth:              16384,
			UnknownParents:     5000,
			UnknownParentGrace: 2,
			Retention:          60,
			RetainedOutcomes:   100000,
		},
		maxWaits: map[string]float64{},
	}
}

// onlyRules is the content of a file with an empty rules block.
func onlyRules() content {
	c := emptyFile()
	c.file.Config = &config.Block{}
	c.proposal = &config.Table{}
	return c
}

func deployedFile() content {
	c := emptyFile()
	c.file = &File{
		Log:   &Log{Level: "info", Format: "json"},
		Admin: &Admin{Listen: "127.0.0.1:9090"},
		Gossip: &Gossip{
			Listen:  "127.0.0.1:7946",
			Join:    []string{"127.0.0.1:7946", "127.0.0.1:7947"},
			Period:  "250ms",
			Cluster: "example",
		},
		Usage: &Usage{
			Owners:     new(3),
			Staleness:  "20s",
			ShareFloor: new(0.02),
			MaxError:   new(0.25),
			Retention:  "2m",
			Delay:      "50ms",
			Loss:       new(0.01),
			Instances:  2,
		},
		Deferred: &Deferred{
			Jobs:               new(20000),
			Bytes:              new(int64(33554432)),
			Parents:            new(32),
			Depth:              new(16384),
			UnknownParents:     new(5000),
			UnknownParentGrace: "2s",
			Retention:          "60s",
			RetainedOutcomes:   new(100000),
		},
	}
	c.quotaSettings.ExpectedInstances = 2
	return c
}

func regionsFile() content {
	c := emptyFile()
	shardInstances, seats := map[string]string{}, []string{}
	for region := 1; region <= 6; region++ {
		for k, letter := range []string{"a", "b"} {
			name := "s" + string(rune('0'+region)) + letter
			shardInstances[name] = "10." + string(rune('0'+region)) + ".0." + string(rune('2'+k)) + ":7500"
			seats = append(seats, name)
		}
	}
	c.file = &File{
		Admin: &Admin{Listen: "127.0.0.1:7901"},
		Lease: &Lease{
			Cluster: "six-regions",
			Listen:  "10.1.0.11:7950",
			Folder:  "/var/lib/bellstream",
			Voters: map[string]string{
				"v1": "10.1.0.1:7950",
				"v2": "10.2.0.1:7950",
				"v3": "10.3.0.1:7950",
				"v4": "10.4.0.1:7950",
				"v5": "10.5.0.1:7950",
			},
			Lease:       "3s",
			Period:      "500ms",
			Delay:       "100ms",
			MaxConflict: "4s",
		},
		Shards: &Shards{
			Count:        128,
			Listen:       "10.1.0.11:7500",
			Tolerance:    new(0.1),
			MaxTransfers: new(8),
			Instances:    shardInstances,
		},
		Config: &config.Block{ShardInstances: seats},
	}
	c.leaseSettings = lease.Settings{LeaseSeconds: 3, RenewIntervalSeconds: 0.5, NetworkDelaySeconds: 0.1, ClockDrift: 0.01, PollIntervalSeconds: 0.05}
	c.proposal = &config.Table{Version: 1, ProposedBy: "n1", ShardInstances: seats}
	c.shardBounds = shard.Bounds{Tolerance: 0.1, MaxTransfers: 8}
	c.shardLimits = shard.Limits{MaxJobs: 100000}
	return c
}
