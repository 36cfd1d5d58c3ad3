package gossip

import "github.com/prometheus/client_golang/prometheus"

// collector exports a node's status as metrics. Label values are configured tenants and
// reasons from a fixed list, so that no message of a peer can create a new time series.
type collector struct {
	node            *Node
	visible         *prometheus.Desc
	size            *prometheus.Desc
	joined          *prometheus.Desc
	hashedOwnership *prometheus.Desc
	ownedTenants    *prometheus.Desc
	allotment       *prometheus.Desc
	started         *prometheus.Desc
	drops           *prometheus.Desc
	sent            *prometheus.Desc
	sentBytes       *prometheus.Desc
	received        *prometheus.Desc
}

// Collector returns a Prometheus collector of the node's metrics.
func (n *Node) Collector() prometheus.Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("bellstream_peers_"+name, help, labels, nil)
	}
	return &collector{
		node:            n,
		visible:         desc("seen", "Other instances that membership sees."),
		size:            desc("size", "Instances among which reservations are divided."),
		joined:          desc("joined", "1 if this instance may own parts of reservations."),
		hashedOwnership: desc("homed", "1 if parts are owned by a few instances, 0 if by all."),
		ownedTenants:    desc("owned_tenants", "Tenants of whose reservations this instance owns a part."),
		allotment: desc("slice_ratio",
			"Part of a tenant's reservation that this instance may use now.", "tenant"),
		started: desc("started_slots_total",
			"Slots started by all instances, as known here, less those that never ran.", "tenant"),
		drops:     desc("dropped_total", "Messages dropped.", "reason"),
		sent:      desc("sent_total", "Messages sent."),
		sentBytes: desc("sent_bytes_total", "Bytes of messages sent, before encryption."),
		received:  desc("heard_total", "Messages heard."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.visible
	ch <- c.size
	ch <- c.joined
	ch <- c.hashedOwnership
	ch <- c.ownedTenants
	ch <- c.allotment
	ch <- c.started
	ch <- c.drops
	ch <- c.sent
	ch <- c.sentBytes
	ch <- c.received
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.node.Status()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(c.visible, float64(s.visiblePeers()))
	gauge(c.size, float64(s.Size))
	gauge(c.joined, boolValue(s.Joined))
	gauge(c.hashedOwnership, boolValue(s.HashedOwnership))
	gauge(c.ownedTenants, float64(s.OwnedTenants))
	counter(c.sent, s.Sent)
	counter(c.sentBytes, s.SentBytes)
	counter(c.received, s.Received)
	for _, t := range s.Tenants {
		gauge(c.allotment, t.Allotment, t.Name)
		gauge(c.started, t.Started, t.Name)
	}
	for reason, count := range s.Drops {
		counter(c.drops, count, reason)
	}
}

// visiblePeers returns the number of other instances that memberlist reports as alive.
func (s *Status) visiblePeers() int {
	visible := 0
	for _, p := range s.Peers {
		if p.Present {
			visible++
		}
	}
	return visible
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
