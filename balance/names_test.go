package balance

import (
	"fmt"
	"slices"
	"testing"
)

// A deployment's names tell its classes, tenants, zones and kinds apart and say nothing: under any
// other names the same settings, seed and events give the same actions. The names here also turn
// their order around, are taken from one another, and differ in length.
func TestNamesDoNotAffectDecisions(t *testing.T) {
	names := []string{"read", "write", "put", "a", "b", "c", "here", "there", "far", "k", "m"}
	renamings := map[string]func(i int) string{
		"reversed": func(i int) string { return fmt.Sprintf("%02d", len(names)-i) },
		"rotated":  func(i int) string { return names[(i+1)%len(names)] },
		"long":     func(i int) string { return fmt.Sprintf("norte-%d-of a much longer name", i*i*7919%101) },
	}
	cfgs := recordedConfigs()
	kinded := cfgs["four"]
	kinded.Classes = slices.Clone(kinded.Classes)
	kinded.Classes[1].WorkerKind, kinded.Classes[2].DedupScope, kinded.Classes[2].DedupWindow = "m", ScopeAll, 0.8
	kinded.SlowStartFloor, kinded.SlowStartSeconds, kinded.OverloadMultiple, kinded.OverloadSeconds = 0.3, 8, 3, 3
	cfgs["kinded"] = kinded
	for label, cfg := range cfgs {
		for seed := range uint64(2) {
			want := actionDigest(t, cfg, seed, extraEvents(func(name string) string { return name }))
			for how, renaming := range renamings {
				as := func(name string) string {
					i := slices.Index(names, name)
					if i < 0 {
						t.Fatalf("%q has no other name", name)
					}
					return renaming(i)
				}
				if got := renamedActionDigest(t, renameConfig(cfg, as), seed, extraEvents(as), as); got != want {
					t.Errorf("%s, seed %d, names %s: actions %s, under the first names %s", label, seed, how, got, want)
				}
			}
		}
	}
}

// renameConfig returns the settings with other names.
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

// extraEvents adds workers of a further zone and another kind, a warming one among them, to a stream, and
// shares that others tell of.
func extraEvents(as func(string) string) func(*Balancer, float64) []Event {
	looks := 0
	return func(_ *Balancer, now float64) []Event {
		looks++
		switch {
		case looks%500 == 1:
			var list []WorkerInfo
			for i := range 6 {
				list = append(list, WorkerInfo{ID: fmt.Sprint("x", i), Zone: as([]string{"far", "here"}[i%2]),
					Kind: as([]string{"m", "k", "m"}[i%3]), State: Running, Cell: i % 4, StartedAt: now - float64(i)})
			}
			return []Event{EndpointUpdate{Kind: EndpointsDelta, Workers: list}}
		case looks%170 == 0:
			return []Event{QuotaUpdate{Tenant: as([]string{"a", "b"}[looks/170%2]), Allotment: 0.4, RemoteUsage: float64(looks % 3)}}
		}
		return nil
	}
}
