package settings

import (
	"reflect"
	"slices"
	"testing"

	"example.org/bellstream/balance"
)

// Each key of the platform's configuration files keeps its meaning.
func TestGoldenFiles(t *testing.T) {
	every := Settings{
		Index:        1,
		Dispatchers:  4,
		Zone:         "fana",
		EndpointMode: "on_request",
		Classes: []Class{
			{Name: "a", LatencyObjective: 0.15, ObjectiveStretch: 1.25, ClientTimeout: 5, PriorityWeight: 6, LateWeightFraction: 0.2, Idempotence: "safe"},
			{Name: "b", LatencyObjective: 0.3, ClientTimeout: 8, PriorityWeight: 7, Idempotence: "keyed", DedupScope: "zone", DedupWindow: 12},
		},
		Tenants:            []Tenant{{Name: "p", Quota: 14}, {Name: "q", Quota: 15}},
		WorkerKinds:        []string{"big", "small"},
		BatchInterval:      0.004,
		HealthCheckCost:    0.01,
		ClientsMarkRetries: true,
	}
	every.WorkerFamily.ClassKinds = []int{-1, 0}
	every.WorkerFamily.ClassStretches = []float64{2, 1.75}
	every.WorkerFamily.ReportX0 = "free slots"
	every.WorkerFamily.ReportX1 = "free memory"
	every.WorkerFamily.StartNotifications = true
	every.LoadReports.Mode = "pull"
	every.LoadReports.Fields = []string{"avg_ms", "waiting", "x0", "x1"}
	every.Capabilities.Cancellation = true
	every.Capabilities.Hedging = true
	every.Capabilities.HealthChecks = true
	every.Capabilities.RetryAfter = true
	every.Capabilities.DialTimeout = 0.26
	every.Capabilities.IdleTimeout = 16
	every.Capabilities.MaxRetryAfter = 2.5
	every.Capabilities.MaxAttempts = 3
	every.FleetRules.PollInterval = 11
	every.FleetRules.SlowStartFloor = 0.12
	every.FleetRules.SlowStartSeconds = 13
	every.FleetRules.OverloadSeconds = 0.5
	every.FleetRules.OverloadMultiple = 1.6
	every.FleetRules.AnswerGrace = 1.7
	every.FleetRules.DrainGrace = 1.8
	every.FleetRules.OverloadedMayHaveRun = true
	every.FleetRules.RemovedStayUsable = true
	for _, c := range []struct {
		path   string
		want   Instance
		keys   []string
		config balance.Config
	}{
		{
			path: "testdata/golden/every.json",
			want: Instance{
				Name:            "n1",
				Listen:          "127.0.0.1:8080",
				Discovery:       "127.0.0.1:8081",
				Control:         "127.0.0.1:8082",
				Seed:            0x8c1f30d27a5be964,
				Cores:           1.5,
				MemoryMB:        256,
				Sockets:         4096,
				CachedEndpoints: []byte(`{"seq":1,"whole":true,"hosts":[]}`),
				Settings:        &every,
			},
			keys: []string{
				"control", "discovery", "limits", "limits.cores", "limits.memory_mb", "limits.sockets", "listen", "name", "settings",
				"settings.balancers", "settings.caps", "settings.caps.cancelling", "settings.caps.dial_timeout",
				"settings.caps.keepalive", "settings.caps.max_attempts", "settings.caps.max_retry_after",
				"settings.caps.parallel_tries", "settings.caps.probes", "settings.caps.retry_after", "settings.charges",
				"settings.charges.probe", "settings.clients", "settings.clients.marks_retry", "settings.family_info",
				"settings.family_info.class_kind", "settings.family_info.class_stretch", "settings.family_info.report_x0",
				"settings.family_info.report_x1", "settings.family_info.tells_start", "settings.kinds", "settings.lanes",
				"settings.lanes[].aim", "settings.lanes[].hard_limit", "settings.lanes[].name", "settings.lanes[].semantics",
				"settings.lanes[].value", "settings.me", "settings.membership_mode", "settings.parties", "settings.parties[].name", "settings.parties[].quota_per_s", "settings.reporting",
				"settings.reporting.fields", "settings.reporting.how", "settings.round", "settings.rules",
				"settings.rules.ask_every", "settings.rules.cold_from", "settings.rules.drain_grace",
				"settings.rules.dropped_stay_open", "settings.rules.fall", "settings.rules.fall_multiple",
				"settings.rules.full_unproven", "settings.rules.grace_to_answer", "settings.rules.warm_after", "settings.zone",
			},
			config: balance.Config{
				Index:       1,
				Dispatchers: 4,
				Zone:        "fana",
				Classes: []balance.Class{
					{Name: "a", LatencyObjective: 0.15, ObjectiveStretch: 1.25, Deadline: 5, PriorityWeight: 6, LateWeightFraction: 0.2, Idempotence: balance.Idempotent},
					{
						Name:             "b",
						LatencyObjective: 0.3,
						ObjectiveStretch: 1.75,
						Deadline:         8,
						PriorityWeight:   7,
						Idempotence:      balance.IdempotentWithKey,
						DedupScope:       balance.ScopeZone,
						DedupWindow:      12,
						WorkerKind:       "big",
					},
				},
				Tenants:              []balance.Tenant{{Name: "p", Quota: 14}, {Name: "q", Quota: 15}},
				PollEndpoints:        true,
				PollInterval:         11,
				ReportFields:         []string{"", balance.FieldQueueLength, balance.FieldFreeSlots, balance.FieldFreeMemory},
				StartNotifications:   true,
				ClientsMarkRetries:   true,
				MaxAttempts:          3,
				DialTimeout:          0.26,
				HealthChecks:         true,
				Cancellation:         true,
				Hedging:              true,
				Tick:                 0.004,
				OverloadedMayHaveRun: true,
				RemovedStayUsable:    true,
				MaxRetryAfter:        2.5,
				SlowStartFloor:       0.12,
				SlowStartSeconds:     13,
				OverloadMultiple:     1.6,
				OverloadSeconds:      0.5,
				HealthCheckCost:      0.01,
			},
		},
		{
			path:   "testdata/golden/empty.json",
			want:   Instance{Listen: "127.0.0.1:8080", Discovery: "127.0.0.1:8081", CachedEndpoints: []byte{}, Settings: &Settings{}},
			keys:   []string{"discovery", "listen", "settings"},
			config: balance.Config{},
		},
	} {
		got, err := Load(c.path)
		if err != nil {
			t.Fatal(err)
		}
		var keys []string
		for k := range got.outline.keys {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		if !slices.Equal(keys, c.keys) {
			t.Errorf("%s: keys %q, want %q", c.path, keys, c.keys)
		}
		if config := got.Settings.Config(); !reflect.DeepEqual(config, c.config) {
			t.Errorf("%s: config\n%+v, want\n%+v", c.path, config, c.config)
		}
		if !reflect.DeepEqual(*got.Settings, *c.want.Settings) {
			t.Errorf("%s: settings\n%+v, want\n%+v", c.path, *got.Settings, *c.want.Settings)
		}
		got.Settings, c.want.Settings, got.outline = nil, nil, nil
		if !reflect.DeepEqual(*got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.path, *got, c.want)
		}
	}
}
