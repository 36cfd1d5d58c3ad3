package shardrouter

import (
	"fmt"
	"testing"

	"example.org/bellstream/internal/cluster/shard"
)

// Clients choose the names of tenants: an owner must not remember those without jobs for good.
func TestShardForgetsIdleTenants(t *testing.T) {
	s := newSim(t, 1, 1, 1, testConfig())
	s.run(1)
	sh := s.nodes[0].r.allShards()[0]
	sh.Lock()
	defer sh.Unlock()
	sh.owned.jobViews[shard.JobKey{ID: "open"}] = &jobView{tenant: "kept"}
	sh.ensureTenant("kept")
	for n := range 20 * minShardTenants {
		tenant := fmt.Sprint("name-", n)
		sh.owned.tags[tenant] = savedTags{}
		sh.ensureTenant(tenant)
	}
	if limit := minShardTenants + 1; len(sh.owned.tenants) > limit || len(sh.owned.tags) > limit {
		t.Errorf("%d tenants and %d tags are kept, want at most %d", len(sh.owned.tenants), len(sh.owned.tags), limit)
	}
	if !sh.owned.tenants["kept"] {
		t.Error("a tenant with an open job was forgotten")
	}
	for _, tenant := range s.nodes[0].r.settings.tenants {
		if !sh.owned.tenants[tenant] {
			t.Errorf("the configured tenant %s was forgotten", tenant)
		}
	}
}
