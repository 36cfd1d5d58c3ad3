package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/dispatcher"
)

const (
	gauge   = prometheus.GaugeValue
	counter = prometheus.CounterValue
)

// metricFamily is one metric, with the function that reads its value from a status.
type metricFamily[Status any] struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(Status) float64
}

func newMetricFamily[Status any](
	name, help string, kind prometheus.ValueType, value func(Status) float64, labels ...string,
) metricFamily[Status] {
	return metricFamily[Status]{
		desc:  prometheus.NewDesc("bellstream_"+name, help, labels, nil),
		kind:  kind,
		value: value,
	}
}

func (f metricFamily[Status]) metric(status Status, labelValues ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(f.desc, f.kind, f.value(status), labelValues...)
}

// statsReader returns the loop's statistics, or false if they are not available.
type statsReader func() (dispatcher.Stats, bool)

// deferredCollector exports the store of deferred jobs. Each scrape reads the loop's statistics once.
type deferredCollector struct {
	read     statsReader
	families []metricFamily[deferred.Stats]
}

func newDeferredCollector(read statsReader) prometheus.Collector {
	c := &deferredCollector{read: read}
	add := func(name, help string, kind prometheus.ValueType, value func(deferred.Stats) float64) {
		c.families = append(c.families, newMetricFamily("waiting_"+name, help, kind, value))
	}
	add("jobs", "Jobs that wait for others or for a time.", gauge,
		func(s deferred.Stats) float64 { return float64(s.Waiting) })
	add("bytes", "Bytes that they take.", gauge,
		func(s deferred.Stats) float64 { return float64(s.Bytes) })
	add("strangers", "Ids that are waited for and have not come.", gauge,
		func(s deferred.Stats) float64 { return float64(s.UnknownParents) })
	add("ends_remembered", "Ends of jobs that are remembered.", gauge,
		func(s deferred.Stats) float64 { return float64(s.Ended) })
	add("released_total", "Jobs that became eligible.", counter,
		func(s deferred.Stats) float64 { return float64(s.Released) })
	add("cascaded_total", "Jobs that ended with one that they waited for.", counter,
		func(s deferred.Stats) float64 { return float64(s.Cascaded) })
	add("over_total", "Jobs whose time ended while they waited.", counter,
		func(s deferred.Stats) float64 { return float64(s.Expired) })
	add("refused_total", "Jobs refused for want of room to wait.", counter,
		func(s deferred.Stats) float64 { return float64(s.Refused) })
	add("bad_total", "Jobs whose wish could not be granted.", counter,
		func(s deferred.Stats) float64 { return float64(s.Invalid) })
	return c
}

// Describe implements prometheus.Collector.
func (c *deferredCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, family := range c.families {
		descriptions <- family.desc
	}
}

// Collect implements prometheus.Collector.
func (c *deferredCollector) Collect(metrics chan<- prometheus.Metric) {
	stats, ok := c.read()
	if !ok {
		return
	}
	for _, family := range c.families {
		metrics <- family.metric(stats.Stats)
	}
}

// queueCollector exports queue depths by stage, class and tenant, and statistics of the wait for the first attempt by
// class. Each scrape reads the loop's statistics once.
type queueCollector struct {
	read          statsReader
	depths        []metricFamily[deferred.Depth]
	firstAttempts []metricFamily[deferred.FirstAttempts]
}

func newQueueCollector(read statsReader) prometheus.Collector {
	c := &queueCollector{read: read}
	c.addDepths()
	c.addFirstAttempts()
	return c
}

func (c *queueCollector) addDepths() {
	add := func(name, help string, value func(deferred.Depth) float64) {
		c.depths = append(c.depths, newMetricFamily(name, help, gauge, value, "stage", "class", "tenant"))
	}
	add("queue_jobs", "Jobs without a hop: held (for others, for a time) or queued (for a worker).",
		func(d deferred.Depth) float64 { return float64(d.Jobs) })
	add("queue_oldest_seconds", "How long the one that waits longest does so.",
		func(d deferred.Depth) float64 { return d.Oldest })
}

func (c *queueCollector) addFirstAttempts() {
	add := func(name, help string, kind prometheus.ValueType, value func(deferred.FirstAttempts) float64) {
		c.firstAttempts = append(c.firstAttempts, newMetricFamily(name, help, kind, value, "class"))
	}
	add("first_hops_total", "Jobs that were sent to a worker for the first time.", counter,
		func(a deferred.FirstAttempts) float64 { return float64(a.Sent) })
	add("first_hop_wait_seconds_total", "How long they had been eligible, together.", counter,
		func(a deferred.FirstAttempts) float64 { return a.Waited })
	add("first_hop_wait_seconds_max", "The longest of these waits since the start.", gauge,
		func(a deferred.FirstAttempts) float64 { return a.Longest })
	add("ageing_late_total", "Jobs first sent later than promised.", counter,
		func(a deferred.FirstAttempts) float64 { return float64(a.Late) })
	add("ageing_unsent_total", "Jobs that were promised a turn and ended without one.", counter,
		func(a deferred.FirstAttempts) float64 { return float64(a.Unsent) })
	add("ageing_refused_total", "Jobs refused as they came: no turn could be promised.", counter,
		func(a deferred.FirstAttempts) float64 { return float64(a.Declined) })
}

// Describe implements prometheus.Collector.
func (c *queueCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, family := range c.depths {
		descriptions <- family.desc
	}
	for _, family := range c.firstAttempts {
		descriptions <- family.desc
	}
}

// Collect implements prometheus.Collector.
func (c *queueCollector) Collect(metrics chan<- prometheus.Metric) {
	stats, ok := c.read()
	if !ok {
		return
	}
	for _, depth := range stats.Depths {
		for _, family := range c.depths {
			metrics <- family.metric(depth, string(depth.Stage), depth.Class, depth.Tenant)
		}
	}
	for _, attempts := range stats.FirstAttempts {
		for _, family := range c.firstAttempts {
			metrics <- family.metric(attempts, attempts.Class)
		}
	}
}
