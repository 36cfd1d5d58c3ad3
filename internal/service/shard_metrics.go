package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"example.org/bellstream/internal/cluster/shardrouter"
)

// shardCollector exports the state of the shards at an instance.
type shardCollector struct {
	shards   *shardSubsystem
	families []metricFamily[shardrouter.Status]
	events   *prometheus.Desc
}

func newShardCollector(shards *shardSubsystem) prometheus.Collector {
	c := &shardCollector{
		shards: shards,
		events: prometheus.NewDesc("bellstream_shards_events_total",
			"What happened to shards, seats and grants, by kind.", []string{"kind"}, nil),
	}
	add := func(name, help string, value func(shardrouter.Status) int) {
		c.families = append(c.families, newMetricFamily("shards_"+name, help, gauge,
			func(s shardrouter.Status) float64 { return float64(value(s)) }))
	}
	add("seated", "Shards whose seat here grants.",
		func(s shardrouter.Status) int { return s.Owned })
	add("sealed", "Seats here that move.",
		func(s shardrouter.Status) int { return s.Sealed })
	add("entries", "Jobs at seats here.",
		func(s shardrouter.Status) int { return s.Jobs })
	add("grants", "Grants from here of which it is not known what became.",
		func(s shardrouter.Status) int { return s.PendingGrants })
	add("held", "Jobs that this instance took and has not answered.",
		func(s shardrouter.Status) int { return s.LocalJobs })
	add("silent", "Shards whose seat does not answer this instance.",
		func(s shardrouter.Status) int { return s.UnresponsiveOwners })
	return c
}

// Describe implements prometheus.Collector.
func (c *shardCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, family := range c.families {
		descriptions <- family.desc
	}
	descriptions <- c.events
}

// Collect implements prometheus.Collector.
func (c *shardCollector) Collect(metrics chan<- prometheus.Metric) {
	if c.shards.router == nil {
		return
	}
	status := c.shards.router.Status()
	for _, family := range c.families {
		metrics <- family.metric(status)
	}
	for kind, count := range status.Counters {
		metrics <- prometheus.MustNewConstMetric(c.events, counter, float64(count), kind)
	}
}
