package main

import (
	"fmt"

	"example.org/irisfold/balance"
)

// settings is the part of the start message that the module needs.
type settings struct {
	Me         int    `json:"me"`
	Balancers  int    `json:"balancers"`
	Zone       string `json:"zone"`
	Membership string `json:"membership_mode"`
	Lanes      []struct {
		Name         string  `json:"name"`
		Aim          float64 `json:"aim"`
		AimStretch   float64 `json:"aim_stretch"`
		HardLimit    float64 `json:"hard_limit"`
		Value        float64 `json:"value"`
		LateWorth    float64 `json:"late_worth"`
		Semantics    string  `json:"semantics"`
		DedupScope   string  `json:"dedup_scope"`
		RepeatWindow float64 `json:"repeat_window"`
	} `json:"lanes"`
	Parties []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"parties"`
	Kinds  []string `json:"kinds"`
	Family struct {
		ClassKind    []int     `json:"class_kind"`
		ClassStretch []float64 `json:"class_stretch"`
		ReportX0     string    `json:"report_x0"`
		ReportX1     string    `json:"report_x1"`
		TellsStart   bool      `json:"tells_start"`
	} `json:"family_info"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Reporting struct {
		Fields []string `json:"fields"`
	} `json:"reporting"`
	Caps struct {
		Cancelling    bool    `json:"cancelling"`
		DialTimeout   float64 `json:"dial_timeout"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		Parallel      bool    `json:"parallel_tries"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"caps"`
	Rules struct {
		AskEvery     float64 `json:"ask_every"`
		ColdFrom     float64 `json:"cold_from"`
		WarmAfter    float64 `json:"warm_after"`
		Fall         float64 `json:"fall"`
		FallMultiple float64 `json:"fall_multiple"`
		FullUnproven bool    `json:"full_unproven"`
		DroppedOpen  bool    `json:"dropped_stay_open"`
	} `json:"rules"`
	Charges struct {
		Probe float64 `json:"probe"`
	} `json:"charges"`
	Round float64 `json:"round"`
}

// powerOn starts an instance from its first message.
func powerOn(m *opening) (*balance.Balancer, error) {
	var seed uint64
	if _, err := fmt.Sscan(m.Salt.String(), &seed); err != nil {
		if i, err := m.Salt.Int64(); err == nil {
			seed = uint64(i)
		}
	}
	return balance.New(m.Options.config(), seed)
}

// config translates the wire's settings into the module's.
func (s *settings) config() balance.Config {
	c := balance.Config{
		Index: s.Me, Dispatchers: s.Balancers, Zone: s.Zone,
		AskRoster: s.Membership == "on_request", AskEvery: s.Rules.AskEvery,
		StartNotes: s.Family.TellsStart, MaxAttempts: s.Caps.MaxAttempts,
		DialTimeout: s.Caps.DialTimeout, Probes: s.Caps.Probes, Cancels: s.Caps.Cancelling,
		Parallel: s.Caps.Parallel, Tick: s.Round,
		ColdFrom: s.Rules.ColdFrom, WarmAfter: s.Rules.WarmAfter,
		FallMultiple: s.Rules.FallMultiple, FallSpan: s.Rules.Fall,
		ProbeCharge: s.Charges.Probe, MarksRetry: s.Clients.MarksRetry,
		FullMayHaveRun: s.Rules.FullUnproven, OnlyDrainBinds: s.Rules.DroppedOpen,
	}
	if s.Caps.RetryAfter {
		c.MaxRetryAfter = s.Caps.MaxRetryAfter
	}
	for i, l := range s.Lanes {
		k := balance.Class{Name: l.Name, Aim: l.Aim, Stretch: l.AimStretch, Deadline: l.HardLimit,
			Worth: l.Value, LateWorth: l.LateWorth, Repeat: balance.Repeat(l.Semantics),
			Scope: balance.Scope(l.DedupScope), Window: l.RepeatWindow}
		if k.Stretch == 0 && i < len(s.Family.ClassStretch) {
			k.Stretch = s.Family.ClassStretch[i]
		}
		if i < len(s.Family.ClassKind) {
			if n := s.Family.ClassKind[i]; n >= 0 && n < len(s.Kinds) {
				k.Kind = s.Kinds[n]
			}
		}
		c.Classes = append(c.Classes, k)
	}
	for _, p := range s.Parties {
		c.Tenants = append(c.Tenants, balance.Tenant{Name: p.Name, Quota: p.Quota})
	}
	for _, f := range s.Reporting.Fields {
		c.ReportFields = append(c.ReportFields, s.field(f))
	}
	return c
}

// field names a report value in the module's words; empty means unused.
func (s *settings) field(wire string) string {
	switch wire {
	case "x0":
		wire = s.Family.ReportX0
	case "x1":
		wire = s.Family.ReportX1
	}
	return map[string]string{"free slots": balance.FieldFreeSlots,
		"free memory": balance.FieldFreeMemory, "waiting": balance.FieldWaiting}[wire]
}
