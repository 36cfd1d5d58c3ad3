package settings

import "example.org/bellstream/balance"

// Config returns the decision module's configuration.
func (s *Settings) Config() balance.Config {
	c := balance.Config{
		Index:                s.Index,
		Dispatchers:          s.Dispatchers,
		Zone:                 s.Zone,
		PollEndpoints:        s.EndpointMode == EndpointsOnRequest,
		PollInterval:         s.FleetRules.PollInterval,
		StartNotifications:   s.WorkerFamily.StartNotifications,
		ClientsMarkRetries:   s.ClientsMarkRetries,
		MaxAttempts:          s.Capabilities.MaxAttempts,
		DialTimeout:          s.Capabilities.DialTimeout,
		HealthChecks:         s.Capabilities.HealthChecks,
		Cancellation:         s.Capabilities.Cancellation,
		Hedging:              s.Capabilities.Hedging,
		Tick:                 s.BatchInterval,
		OverloadedMayHaveRun: s.FleetRules.OverloadedMayHaveRun,
		RemovedStayUsable:    s.FleetRules.RemovedStayUsable,
		SlowStartFloor:       s.FleetRules.SlowStartFloor,
		SlowStartSeconds:     s.FleetRules.SlowStartSeconds,
		OverloadMultiple:     s.FleetRules.OverloadMultiple,
		OverloadSeconds:      s.FleetRules.OverloadSeconds,
		HealthCheckCost:      s.HealthCheckCost,
		ReportFields:         s.reportFields(),
	}
	if s.Capabilities.RetryAfter {
		c.MaxRetryAfter = s.Capabilities.MaxRetryAfter
	}
	for i := range s.Classes {
		c.Classes = append(c.Classes, s.classConfig(i))
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota, Weight: t.Weight})
	}
	return c
}

func (s *Settings) classConfig(index int) balance.Class {
	c := s.Classes[index]
	stretch := c.ObjectiveStretch
	if stretch == 0 && index < len(s.WorkerFamily.ClassStretches) {
		stretch = s.WorkerFamily.ClassStretches[index]
	}
	return balance.Class{
		Name:               c.Name,
		LatencyObjective:   c.LatencyObjective,
		ObjectiveStretch:   stretch,
		Deadline:           c.ClientTimeout,
		PriorityWeight:     c.PriorityWeight,
		LateWeightFraction: c.LateWeightFraction,
		Idempotence:        balance.Idempotence(c.Idempotence),
		DedupScope:         balance.DedupScope(c.DedupScope),
		DedupWindow:        c.DedupWindow,
		WorkerKind:         s.workerKind(index),
	}
}

// workerKind returns the only kind of worker that runs a class, or an empty string if any kind does.
func (s *Settings) workerKind(class int) string {
	kinds := s.WorkerFamily.ClassKinds
	if class >= len(kinds) {
		return ""
	}
	kind := kinds[class]
	if kind < 0 || kind >= len(s.WorkerKinds) {
		return ""
	}
	return s.WorkerKinds[kind]
}

// reportFields returns the meaning of each value of a load report, in order; empty strings are unused values.
func (s *Settings) reportFields() (fields []string) {
	if s.LoadReports.Mode == ReportsSilent { // workers send no reports, even if fields are given
		return nil
	}
	for _, field := range s.LoadReports.Fields {
		fields = append(fields, s.reportField(field))
	}
	return fields
}

func (s *Settings) reportField(name string) string {
	switch name {
	case "x0":
		name = s.WorkerFamily.ReportX0
	case "x1":
		name = s.WorkerFamily.ReportX1
	}
	switch name {
	case "free slots":
		return balance.FieldFreeSlots
	case "free memory":
		return balance.FieldFreeMemory
	case "waiting":
		return balance.FieldQueueLength
	}
	return ""
}
