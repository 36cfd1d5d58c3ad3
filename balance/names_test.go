package balance

import (
	"fmt"
	"slices"
	"testing"
)

// The names of classes, tenants, zones and kinds must not influence decisions: with any other names, the same
// settings, seed and events yield the same actions. The other names here reverse the alphabetical order,
// permute the names, or differ in length.
func TestNamesDoNotAffectDecisions(t *testing.T) {
	names := []string{"read", "write", "put", "a", "b", "c", "here", "there", "far", "k", "m"}
	renamings := map[string]func(i int) string{
		"reversed": func(i int) string { return fmt.Sprintf("%02d", len(names)-i) },
		"rotated":  func(i int) string { return names[(i+1)%len(names)] },
		"long":     func(i int) string { return fmt.Sprintf("norte-%d-of a much longer name", i*i*7919%101) },
	}
	cfgs := recordedConfigs()
	withKinds := cfgs["four"]
	withKinds.Classes = slices.Clone(withKinds.Classes)
	withKinds.Classes[1].WorkerKind, withKinds.Classes[2].DedupScope, withKinds.Classes[2].DedupWindow = "m", ScopeAll, 0.8
	withKinds.SlowStartFloor, withKinds.SlowStartSeconds, withKinds.OverloadMultiple, withKinds.OverloadSeconds = 0.3, 8, 3, 3
	cfgs["withKinds"] = withKinds
	for label, cfg := range cfgs {
		for seed := range uint64(2) {
			want := actionDigest(t, cfg, seed, extraEvents(func(name string) string { return name }))
			for variant, renaming := range renamings {
				as := func(name string) string {
					i := slices.Index(names, name)
					if i < 0 {
						t.Fatalf("no replacement for name %q", name)
					}
					return renaming(i)
				}
				if got := renamedActionDigest(t, renameConfig(cfg, as), seed, extraEvents(as), as); got != want {
					t.Errorf("config %s, seed %d, names %s: got digest %s, want %s as with the original names",
						label, seed, variant, got, want)
				}
			}
		}
	}
}

// renameConfig returns the configuration with all names replaced.
func renameConfig(c Config, as func(string) string) Config {
	c.Zone = as(c.Zone)
	c.Classes, c.Tenants = slices.Clone(c.Classes), slices.Clone(c.Tenants)
	for i := range c.Classes {
		if k := &c.Classes[i]; k.WorkerKind != "" {
			k.WorkerKind = as(k.WorkerKind)
		}
		c.Classes[i].Name = as(c.Classes[i].Name)
	}
	for i := range c.Tenants {
		c.Tenants[i].Name = as(c.Tenants[i].Name)
	}
	return c
}

// extraEvents returns a source of further events: workers of another zone and kind, some of which warm up, and
// quota updates from other dispatchers.
func extraEvents(as func(string) string) func(*Balancer, float64) []Event {
	calls := 0
	return func(_ *Balancer, now float64) []Event {
		calls++
		switch {
		case calls%500 == 1:
			var list []WorkerInfo
			for i := range 6 {
				list = append(list, WorkerInfo{ID: fmt.Sprint("x", i), Zone: as([]string{"far", "here"}[i%2]),
					Kind: as([]string{"m", "k", "m"}[i%3]), State: Running, Cell: i % 4, StartedAt: now - float64(i)})
			}
			return []Event{EndpointUpdate{Kind: EndpointsDelta, Workers: list}}
		case calls%170 == 0:
			return []Event{QuotaUpdate{Tenant: as([]string{"a", "b"}[calls/170%2]), Allotment: 0.4,
				RemoteUsage: float64(calls % 3)}}
		}
		return nil
	}
}
