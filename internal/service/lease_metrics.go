package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"example.org/bellstream/internal/cluster/lease/agent"
)

// leaseCollector exports the state of an instance's lease.
type leaseCollector struct {
	agent    *agent.Agent
	families []metricFamily[*agent.Status]
	dropped  *prometheus.Desc
}

func newLeaseCollector(leases *agent.Agent) prometheus.Collector {
	c := &leaseCollector{
		agent: leases,
		dropped: prometheus.NewDesc("bellstream_accord_dropped_total",
			"Answers, frames and connections that were dropped, by reason.", []string{"reason"}, nil),
	}
	add := func(name, help string, value func(*agent.Status) float64) {
		c.families = append(c.families, newMetricFamily("accord_"+name, help, gauge, value))
	}
	add("version", "The newest version of the rules that is known here.",
		func(s *agent.Status) float64 { return float64(s.Revision.Version) })
	add("stage", "Of the newest version: 1 announced, 2 narrow, 3 in force.",
		func(s *agent.Status) float64 { return float64(s.Revision.Stage) })
	add("leased", "1 while this instance has a lease of the rules.",
		func(s *agent.Status) float64 { return boolValue(s.Leased) })
	add("lease_seconds", "That the lease still runs; below 0: since when it is over.",
		func(s *agent.Status) float64 { return s.RemainingSeconds })
	add("leads", "1 while this instance leads the voters.",
		func(s *agent.Status) float64 { return boolValue(s.Voter != nil && s.Voter.IsLeader) })
	return c
}

// Describe implements prometheus.Collector.
func (c *leaseCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, family := range c.families {
		descriptions <- family.desc
	}
	descriptions <- c.dropped
}

// Collect implements prometheus.Collector.
func (c *leaseCollector) Collect(metrics chan<- prometheus.Metric) {
	status := c.agent.Status()
	for _, family := range c.families {
		metrics <- family.metric(status)
	}
	for reason, count := range status.Dropped {
		metrics <- prometheus.MustNewConstMetric(c.dropped, counter, float64(count), reason)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
