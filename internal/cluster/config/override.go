package config

import (
	"slices"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/settings"
)

// Override returns a copy of the platform's settings with a sorted table applied.
// usable has the amount that this cluster's capacity ledger lets each service use,
// in the unit of reservations. A placed tenant that is not in usable has no
// reservation here. Tenants that the platform does not have are added. Classes that
// it does not have are ignored, as the platform has no settings for their jobs.
//
// A reservation that must not be used becomes a quota of 0. An empty
// balance.QuotaUpdate would not remove it completely, and only package quota sets
// allotments.
func (t *Table) Override(platform *settings.Settings, usable map[string]float64) *settings.Settings {
	s := *platform
	s.Classes = slices.Clone(platform.Classes)
	s.WorkerFamily.ClassStretches = slices.Clone(platform.WorkerFamily.ClassStretches)
	s.Tenants = t.withNewTenants(platform.Tenants)
	for i := range s.Tenants {
		t.overrideTenant(&s.Tenants[i], usable)
	}
	for i := range s.Classes {
		t.overrideClass(&s.Classes[i])
		t.overrideClassStretch(&s, i)
	}
	if t.MaxAttempts > 0 {
		s.Capabilities.MaxAttempts = t.MaxAttempts
	}
	return &s
}

// withNewTenants returns the platform's tenants and then those that only the table has.
func (t *Table) withNewTenants(platform []settings.Tenant) []settings.Tenant {
	tenants := slices.Clone(platform)
	known := map[string]bool{}
	for _, tenant := range tenants {
		known[tenant.Name] = true
	}
	for _, tenant := range t.Tenants {
		if !known[tenant.Name] {
			tenants = append(tenants, settings.Tenant{Name: tenant.Name})
		}
	}
	return tenants
}

func (t *Table) overrideTenant(tenant *settings.Tenant, usable map[string]float64) {
	if e := t.entitlement(tenant.Name); !e.platformDefault {
		tenant.Quota = e.amount
	}
	if _, placed := t.Placement(tenant.Name); placed {
		tenant.Quota = min(tenant.Quota, usable[tenant.Name])
	}
	if entry, _ := t.Tenant(tenant.Name); entry.Weight != nil {
		tenant.Weight = *entry.Weight
	}
}

func (t *Table) overrideClass(class *settings.Class) {
	entry, _ := t.Class(class.Name)
	overrideQuantity(&class.LatencyObjective, entry.LatencyObjective)
	overrideQuantity(&class.ObjectiveStretch, entry.ObjectiveStretch)
	overrideQuantity(&class.ClientTimeout, entry.Deadline)
	overrideQuantity(&class.PriorityWeight, entry.PriorityWeight)
	overrideQuantity(&class.LateWeightFraction, entry.LateWeightFraction)
	policy := t.retryPolicy(class.Name)
	if policy.idempotence == "" {
		return
	}
	if policy.idempotence == balance.IdempotentWithKey && class.Idempotence != string(balance.IdempotentWithKey) {
		policy = neverRetry // without the platform's setting clients send no key, so workers can't recognize a retry
	}
	class.Idempotence = string(policy.idempotence)
	class.DedupScope = string(policy.dedupScope)
	class.DedupWindow = policy.dedupWindow
}

func overrideQuantity(setting *float64, quantity *float64) {
	if quantity != nil {
		*setting = *quantity
	}
}

// overrideClassStretch sets the stretch of a class in the worker family, which
// applies to a class whose own stretch is 0.
func (t *Table) overrideClassStretch(s *settings.Settings, class int) {
	entry, _ := t.Class(s.Classes[class].Name)
	if entry.ObjectiveStretch != nil && class < len(s.WorkerFamily.ClassStretches) {
		s.WorkerFamily.ClassStretches[class] = *entry.ObjectiveStretch
	}
}
