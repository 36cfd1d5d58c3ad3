package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

const samplePlatform = `{"lanes":[{"name":"job","aim":2,"hard_limit":20,"semantics":"keyed","dedup_scope":"all","repeat_window":20,"value":5},{"name":"read","aim":1,"hard_limit":5,"semantics":"keyed","dedup_scope":"zone","repeat_window":9}],
 "family_info":{"class_stretch":[2,1.5]},"parties":[{"name":"north","quota_per_s":14},{"name":"other","quota_per_s":3}],"caps":{"max_attempts":4}}`

// A table overrides the platform's settings, which are not modified.
func TestOverride(t *testing.T) {
	platform, err := settings.Parse([]byte(samplePlatform))
	if err != nil {
		t.Fatal(err)
	}
	before := fmt.Sprintf("%+v", *platform)
	table := sampleTable()
	table.Tenants[1].Weight = new(2.0)
	table.Classes[0].ObjectiveStretch, table.Classes[0].Deadline, table.Classes[0].PriorityWeight, table.Classes[0].LateWeightFraction = new(0.0), new(9.0), new(3.0), new(0.5)
	c := table.Override(platform, map[string]float64{"north": 22}).Config()
	want := []balance.Class{{Name: "job", LatencyObjective: 1, Deadline: 9, PriorityWeight: 3, LateWeightFraction: 0.5, Idempotence: balance.IdempotentWithKey, DedupScope: balance.ScopeZone, DedupWindow: 8},
		{Name: "read", LatencyObjective: 1, ObjectiveStretch: 1.5, Deadline: 5, Idempotence: balance.IdempotentWithKey, DedupScope: balance.ScopeZone, DedupWindow: 9}}
	tenants := []balance.Tenant{{Name: "north", Quota: 22, Weight: 1}, {Name: "other", Quota: 3}, {Name: "south", Quota: 10, Weight: 2}}
	if !reflect.DeepEqual(c.Classes, want) || !reflect.DeepEqual(c.Tenants, tenants) || c.MaxAttempts != 3 {
		t.Errorf("configuration is %+v, want that of the table over the platform's", c)
	}
	if q := table.Override(platform, nil).Config().Tenants[0].Quota; q != 0 {
		t.Errorf("a placed service without a usable amount has the quota %v, want 0", q)
	}
	if c := (&Table{}).Override(platform, nil).Config(); !reflect.DeepEqual(c, platform.Config()) {
		t.Errorf("an empty table changes the configuration to %+v", c)
	}
	c = Fallback(table).Override(platform, map[string]float64{"north": 22}).Config()
	for _, class := range c.Classes {
		if class.Idempotence != balance.NonIdempotent || class.DedupScope != "" {
			t.Errorf("class without a lease is %+v, want one that is never retried", class)
		}
	}
	for _, tenant := range c.Tenants {
		if tenant.Quota != 0 {
			t.Errorf("tenant without a lease is %+v, want quota 0", tenant)
		}
	}
	if after := fmt.Sprintf("%+v", *platform); after != before {
		t.Errorf("the platform's settings were modified to %s", after)
	}
	if _, err := proposal(t, sampleFile).ApplyTo(platform); err != nil {
		t.Error(err)
	}
	// If the platform's class is not keyed, clients send no key and workers can't recognize a retry.
	keyless, err := settings.Parse([]byte(strings.Replace(samplePlatform, `"keyed","dedup_scope":"all","repeat_window":20`, `"safe"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if class := table.Override(keyless, nil).Config().Classes[0]; class.Idempotence != balance.NonIdempotent {
		t.Errorf("class that only the table makes keyed is %+v, want one that is never retried", class)
	}
	if _, err := proposal(t, sampleFile).ApplyTo(keyless); err == nil || !strings.HasPrefix(err.Error(), `f.hcl:13: rules.class "job".effect: the platform's class is not keyed`) {
		t.Error(err)
	}
	if _, err := proposal(t, strings.Replace(sampleFile, `class "job"`, `class "jab"`, 1)).ApplyTo(platform); err == nil || err.Error() !=
		`f.hcl:11: rules.class "jab": the platform's configuration has no such class: leave it out` {
		t.Error(err)
	}
}
