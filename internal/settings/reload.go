package settings

import (
	"fmt"

	"example.org/bellstream/balance"
)

// maxBatchInterval is the upper bound of Settings.BatchInterval, in seconds.
const maxBatchInterval = 1

// Reload reads a configuration file for a running program and checks it more strictly than Load does at start,
// when a missing key has a default. A key that the current file has must be in the new one too: its absence is
// taken for a mistake.
func (i *Instance) Reload(path string) (*Instance, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	if err := next.checkComplete(i); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return next, nil
}

// checkComplete returns an error if a value is missing that the instance in force has, or if a value is invalid.
func (i *Instance) checkComplete(inForce *Instance) error {
	if err := i.outline.checkAgainst(inForce.outline); err != nil {
		return err
	}
	s := i.Settings
	if err := checkClasses(s.Classes); err != nil {
		return err
	}
	if err := checkTenants(s.Tenants); err != nil {
		return err
	}
	if err := s.checkModes(); err != nil {
		return err
	}
	if err := s.checkClassKinds(); err != nil {
		return err
	}
	if s.Capabilities.MaxAttempts < 1 {
		return &KeyError{"settings.caps.max_attempts", "not a positive whole number"}
	}
	if s.BatchInterval < 0 || s.BatchInterval > maxBatchInterval {
		return &KeyError{"settings.round", fmt.Sprintf("%v is not a time from 0 to 1 s", s.BatchInterval)}
	}
	if err := s.Config().Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func checkClasses(classes []Class) error {
	seen := map[string]bool{}
	for n, c := range classes {
		path := fmt.Sprintf("settings.lanes[%d].", n)
		if seen[c.Name] {
			return &KeyError{path + "name", fmt.Sprintf("there are two classes %q", c.Name)}
		}
		if err := c.check(path); err != nil {
			return err
		}
		seen[c.Name] = true
	}
	return nil
}

func checkTenants(tenants []Tenant) error {
	seen := map[string]bool{}
	for n, tenant := range tenants {
		path := fmt.Sprintf("settings.parties[%d].name", n)
		if tenant.Name == "" {
			return &KeyError{path, "missing"}
		}
		if seen[tenant.Name] {
			return &KeyError{path, fmt.Sprintf("there are two tenants %q", tenant.Name)}
		}
		seen[tenant.Name] = true
	}
	return nil
}

// checkModes returns an error for a mode that does not exist. An empty one is missing, and was missing before.
func (s *Settings) checkModes() error {
	switch s.EndpointMode {
	case "", EndpointsPushed, EndpointsOnRequest:
	default:
		return &KeyError{"settings.membership_mode", fmt.Sprintf("unknown %q", s.EndpointMode)}
	}
	switch s.LoadReports.Mode {
	case "", ReportsSilent, ReportsInOutcomes, ReportsInHealthChecks:
	default:
		return &KeyError{"settings.reporting.how", fmt.Sprintf("unknown %q", s.LoadReports.Mode)}
	}
	return nil
}

// checkClassKinds returns an error if a class needs a kind of worker that is not in the list of kinds.
func (s *Settings) checkClassKinds() error {
	for n, kind := range s.WorkerFamily.ClassKinds {
		if kind >= len(s.WorkerKinds) {
			path := fmt.Sprintf("%s[%d]", classKindsPath, n)
			return &KeyError{path, fmt.Sprintf("there is no kind %d", kind)}
		}
	}
	return nil
}

func (c *Class) check(path string) error {
	if c.Name == "" {
		return &KeyError{path + "name", "missing"}
	}
	if !(c.ClientTimeout > 0) {
		return &KeyError{path + "hard_limit", "not a positive number"}
	}
	switch balance.DedupScope(c.DedupScope) {
	case "", balance.ScopeAll, balance.ScopeZone, balance.ScopeCell:
	default:
		return &KeyError{path + "dedup_scope", fmt.Sprintf("unknown %q", c.DedupScope)}
	}
	switch balance.Idempotence(c.Idempotence) {
	case balance.Idempotent, balance.NonIdempotent:
	case balance.IdempotentWithKey:
		if c.DedupScope == "" {
			return &KeyError{path + "dedup_scope", "missing, which a keyed class needs"}
		}
		if !(c.DedupWindow > 0) {
			return &KeyError{path + "repeat_window", "not a positive number, which a keyed class needs"}
		}
	default:
		return &KeyError{path + "semantics", fmt.Sprintf("unknown %q", c.Idempotence)}
	}
	return nil
}
