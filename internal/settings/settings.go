// Package settings holds the one type for a dispatcher's settings. The
// simulator sends them in its first message and a real dispatcher finds them
// in its configuration file; both decode them here.
package settings

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

// Lane is one class of requests.
type Lane struct {
	Name         string
	Aim          float64
	AimStretch   float64
	HardLimit    float64
	Value        float64
	LateWorth    float64
	Semantics    string
	DedupScope   string
	RepeatWindow float64
}

// Deadline is the client's whole patience, in seconds: 60 where the settings name none, as for balance.Class.
func (l Lane) Deadline() float64 {
	if l.HardLimit <= 0 {
		return 60
	}
	return l.HardLimit
}

// Party is one tenant.
type Party struct {
	Name   string
	Quota  float64
	Weight float64 // 0 means 1; no configuration has it, rules may
}

// Settings is the part of the settings object that this project needs. Times
// are in seconds.
type Settings struct {
	Me, Balancers    int
	Zone, Membership string
	Lanes            []Lane
	Parties          []Party
	Kinds            []string
	Round            float64
	ProbeCharge      float64
	MarksRetry       bool
	Family           struct {
		ClassKind          []int
		ClassStretch       []float64
		ReportX0, ReportX1 string
		TellsStart         bool
	}
	Reporting struct {
		How    string
		Fields []string
	}
	Caps struct {
		Cancelling, Parallel, Probes, RetryAfter bool
		DialTimeout, Keepalive, MaxRetryAfter    float64
		MaxAttempts                              int
	}
	Rules struct {
		AskEvery, ColdFrom, WarmAfter, Fall, FallMultiple float64
		GraceToAnswer, DrainGrace                         float64
		FullUnproven, DroppedOpen                         bool
	}
}

// reader takes values out of an object. A value that is missing or null is its
// type's zero; one of another type is an error, of which the first is kept.
type reader struct {
	root gjson.Result
	err  error
}

func (r *reader) get(path string, want ...gjson.Type) gjson.Result {
	v := r.root.Get(path)
	if !v.Exists() || v.Type == gjson.Null {
		return gjson.Result{}
	}
	for _, t := range want {
		if v.Type == t {
			return v
		}
	}
	if r.err == nil {
		r.err = fmt.Errorf("%s: unexpected %s", path, v.Type)
	}
	return gjson.Result{}
}

func (r *reader) text(path string) string { return r.get(path, gjson.String).String() }
func (r *reader) num(path string) float64 { return r.get(path, gjson.Number).Float() }
func (r *reader) int(path string) int     { return int(r.get(path, gjson.Number).Int()) }
func (r *reader) flag(path string) bool   { return r.get(path, gjson.True, gjson.False).Bool() }

// each calls f with a reader for every element of an array.
func (r *reader) each(path string, f func(*reader)) {
	v := r.get(path, gjson.JSON)
	if v.Exists() && !v.IsArray() && r.err == nil {
		r.err = fmt.Errorf("%s: not an array", path)
		return
	}
	for i, e := range v.Array() {
		in := &reader{root: e}
		f(in)
		if in.err != nil && r.err == nil {
			r.err = fmt.Errorf("%s[%d]: %w", path, i, in.err)
		}
	}
}

// Parse decodes a settings object. Unknown fields are skipped.
func Parse(raw []byte) (*Settings, error) {
	if !gjson.ValidBytes(raw) {
		return nil, errors.New("settings: not valid JSON")
	}
	r := &reader{root: gjson.ParseBytes(raw)}
	if !r.root.IsObject() {
		return nil, errors.New("settings: not an object")
	}
	s := &Settings{Me: r.int("me"), Balancers: r.int("balancers"), Zone: r.text("zone"),
		Membership: r.text("membership_mode"), Round: r.num("round"),
		ProbeCharge: r.num("charges.probe"), MarksRetry: r.flag("clients.marks_retry")}
	r.each("lanes", func(l *reader) {
		s.Lanes = append(s.Lanes, Lane{Name: l.text("name"), Aim: l.num("aim"), AimStretch: l.num("aim_stretch"),
			HardLimit: l.num("hard_limit"), Value: l.num("value"), LateWorth: l.num("late_worth"),
			Semantics: l.text("semantics"), DedupScope: l.text("dedup_scope"), RepeatWindow: l.num("repeat_window")})
	})
	r.each("parties", func(p *reader) {
		s.Parties = append(s.Parties, Party{Name: p.text("name"), Quota: p.num("quota_per_s")})
	})
	r.each("kinds", func(k *reader) { s.Kinds = append(s.Kinds, k.root.String()) })
	f := &s.Family
	r.each("family_info.class_kind", func(k *reader) { f.ClassKind = append(f.ClassKind, int(k.root.Int())) })
	r.each("family_info.class_stretch", func(k *reader) { f.ClassStretch = append(f.ClassStretch, k.root.Float()) })
	f.ReportX0, f.ReportX1 = r.text("family_info.report_x0"), r.text("family_info.report_x1")
	f.TellsStart = r.flag("family_info.tells_start")
	s.Reporting.How = r.text("reporting.how")
	r.each("reporting.fields", func(k *reader) { s.Reporting.Fields = append(s.Reporting.Fields, k.root.String()) })
	c := &s.Caps
	c.Cancelling, c.Parallel = r.flag("caps.cancelling"), r.flag("caps.parallel_tries")
	c.Probes, c.RetryAfter = r.flag("caps.probes"), r.flag("caps.retry_after")
	c.DialTimeout, c.Keepalive = r.num("caps.dial_timeout"), r.num("caps.keepalive")
	c.MaxRetryAfter, c.MaxAttempts = r.num("caps.max_retry_after"), r.int("caps.max_attempts")
	if v := r.num("caps.max_attempts"); v != float64(c.MaxAttempts) && r.err == nil {
		r.err = fmt.Errorf("caps.max_attempts: %v is not a whole number", v)
	}
	u := &s.Rules
	u.AskEvery, u.ColdFrom, u.WarmAfter = r.num("rules.ask_every"), r.num("rules.cold_from"), r.num("rules.warm_after")
	u.Fall, u.FallMultiple = r.num("rules.fall"), r.num("rules.fall_multiple")
	u.GraceToAnswer, u.DrainGrace = r.num("rules.grace_to_answer"), r.num("rules.drain_grace")
	u.FullUnproven, u.DroppedOpen = r.flag("rules.full_unproven"), r.flag("rules.dropped_stay_open")
	if r.err != nil {
		return nil, fmt.Errorf("settings: %w", r.err)
	}
	return s, nil
}

// Config translates the settings into the module's.
func (s *Settings) Config() balance.Config {
	c := balance.Config{
		Index: s.Me, Dispatchers: s.Balancers, Zone: s.Zone,
		AskRoster: s.Membership == "on_request", AskEvery: s.Rules.AskEvery,
		StartNotes: s.Family.TellsStart, MaxAttempts: s.Caps.MaxAttempts,
		DialTimeout: s.Caps.DialTimeout, Probes: s.Caps.Probes, Cancels: s.Caps.Cancelling,
		Parallel: s.Caps.Parallel, Tick: s.Round,
		ColdFrom: s.Rules.ColdFrom, WarmAfter: s.Rules.WarmAfter,
		FallMultiple: s.Rules.FallMultiple, FallSpan: s.Rules.Fall,
		ProbeCharge: s.ProbeCharge, MarksRetry: s.MarksRetry,
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
		c.Tenants = append(c.Tenants, balance.Tenant{Name: p.Name, Quota: p.Quota, Weight: p.Weight})
	}
	if s.Reporting.How != "silent" { // no report comes, whatever is named
		for _, f := range s.Reporting.Fields {
			c.ReportFields = append(c.ReportFields, s.field(f))
		}
	}
	return c
}

// field names a report value in the module's words; empty means unused.
func (s *Settings) field(wire string) string {
	switch wire {
	case "x0":
		wire = s.Family.ReportX0
	case "x1":
		wire = s.Family.ReportX1
	}
	return map[string]string{"free slots": balance.FieldFreeSlots,
		"free memory": balance.FieldFreeMemory, "waiting": balance.FieldWaiting}[wire]
}
