package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

var (
	errNotJSON   = errors.New("not valid JSON")
	errNotObject = errors.New("not an object")
)

// KeyError reports a key that is missing or has an invalid value.
type KeyError struct {
	Key     string // path of the key
	Problem string
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Parse decodes a settings object. Unknown keys are ignored. The first value of a wrong type is reported as a
// *KeyError.
func Parse(raw []byte) (*Settings, error) {
	s, err := parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func parse(raw []byte) (*Settings, error) {
	if !gjson.ValidBytes(raw) {
		return nil, errNotJSON
	}
	r := &reader{root: gjson.ParseBytes(raw)}
	if !r.root.IsObject() {
		return nil, errNotObject
	}
	s := &Settings{
		Index:              r.int("me"),
		Dispatchers:        r.int("balancers"),
		Zone:               r.text("zone"),
		EndpointMode:       r.text("membership_mode"),
		BatchInterval:      r.num("round"),
		HealthCheckCost:    r.num("charges.probe"),
		ClientsMarkRetries: r.flag("clients.marks_retry"),
		Classes:            r.classes("lanes"),
		Tenants:            r.tenants("parties"),
		WorkerKinds:        r.texts("kinds"),
		WorkerFamily:       r.workerFamily("family_info."),
		LoadReports: LoadReports{
			Mode:   r.text("reporting.how"),
			Fields: r.texts("reporting.fields"),
		},
		Capabilities: r.capabilities("caps."),
		FleetRules:   r.fleetRules("rules."),
	}
	return s, r.err
}

func (r *reader) classes(path string) (classes []Class) {
	r.each(path, func(c *reader) {
		classes = append(classes, Class{
			Name:               c.text("name"),
			LatencyObjective:   c.num("aim"),
			ObjectiveStretch:   c.num("aim_stretch"),
			ClientTimeout:      c.num("hard_limit"),
			PriorityWeight:     c.num("value"),
			LateWeightFraction: c.num("late_worth"),
			Idempotence:        c.text("semantics"),
			DedupScope:         c.text("dedup_scope"),
			DedupWindow:        c.num("repeat_window"),
		})
	})
	return classes
}

func (r *reader) tenants(path string) (tenants []Tenant) {
	r.each(path, func(t *reader) {
		tenants = append(tenants, Tenant{Name: t.text("name"), Quota: t.num("quota_per_s")})
	})
	return tenants
}

func (r *reader) workerFamily(prefix string) (f WorkerFamily) {
	r.each(prefix+"class_kind", func(k *reader) {
		f.ClassKinds = append(f.ClassKinds, int(k.element(gjson.Number).Int()))
	})
	r.each(prefix+"class_stretch", func(k *reader) {
		f.ClassStretches = append(f.ClassStretches, k.element(gjson.Number).Float())
	})
	f.ReportX0 = r.text(prefix + "report_x0")
	f.ReportX1 = r.text(prefix + "report_x1")
	f.StartNotifications = r.flag(prefix + "tells_start")
	return f
}

func (r *reader) capabilities(prefix string) Capabilities {
	c := Capabilities{
		Cancellation:  r.flag(prefix + "cancelling"),
		Hedging:       r.flag(prefix + "parallel_tries"),
		HealthChecks:  r.flag(prefix + "probes"),
		RetryAfter:    r.flag(prefix + "retry_after"),
		DialTimeout:   r.num(prefix + "dial_timeout"),
		IdleTimeout:   r.num(prefix + "keepalive"),
		MaxRetryAfter: r.num(prefix + "max_retry_after"),
		MaxAttempts:   r.int(prefix + "max_attempts"),
	}
	if attempts := r.num(prefix + "max_attempts"); attempts != float64(c.MaxAttempts) {
		r.fail(&KeyError{prefix + "max_attempts", fmt.Sprintf("%v is not a whole number", attempts)})
	}
	return c
}

func (r *reader) fleetRules(prefix string) FleetRules {
	return FleetRules{
		PollInterval:         r.num(prefix + "ask_every"),
		SlowStartFloor:       r.num(prefix + "cold_from"),
		SlowStartSeconds:     r.num(prefix + "warm_after"),
		OverloadSeconds:      r.num(prefix + "fall"),
		OverloadMultiple:     r.num(prefix + "fall_multiple"),
		AnswerGrace:          r.num(prefix + "grace_to_answer"),
		DrainGrace:           r.num(prefix + "drain_grace"),
		OverloadedMayHaveRun: r.flag(prefix + "full_unproven"),
		RemovedStayUsable:    r.flag(prefix + "dropped_stay_open"),
	}
}

// reader reads values from a JSON object. A missing or null value is read as the zero value; a value of another
// type is an error. Only the first error is kept.
type reader struct {
	root gjson.Result
	err  error
}

// fail records an error unless there is one already.
func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) get(path string, want ...gjson.Type) gjson.Result {
	return r.checkType(path, r.root.Get(path), want...)
}

func (r *reader) checkType(path string, v gjson.Result, want ...gjson.Type) gjson.Result {
	if !v.Exists() || v.Type == gjson.Null {
		return gjson.Result{}
	}
	if slices.Contains(want, v.Type) {
		return v
	}
	r.fail(&KeyError{path, fmt.Sprintf("unexpected %s", v.Type)})
	return gjson.Result{}
}

// element returns the value itself, which is an element of an array. The caller names its place.
func (r *reader) element(want ...gjson.Type) gjson.Result {
	return r.checkType("value", r.root, want...)
}

func (r *reader) text(path string) string { return r.get(path, gjson.String).String() }
func (r *reader) num(path string) float64 { return r.get(path, gjson.Number).Float() }
func (r *reader) int(path string) int     { return int(r.get(path, gjson.Number).Int()) }
func (r *reader) flag(path string) bool   { return r.get(path, gjson.True, gjson.False).Bool() }

func (r *reader) texts(path string) (texts []string) {
	r.each(path, func(element *reader) { texts = append(texts, element.element(gjson.String).String()) })
	return texts
}

// each calls read with a reader for each element of an array.
func (r *reader) each(path string, read func(*reader)) {
	v := r.get(path, gjson.JSON)
	if v.Exists() && !v.IsArray() {
		r.fail(&KeyError{path, "not an array"})
		return
	}
	for i, e := range v.Array() {
		element := &reader{root: e}
		read(element)
		if element.err != nil {
			r.fail(fmt.Errorf("%s[%d]: %w", path, i, element.err))
		}
	}
}
