package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"example.org/bellstream/internal/waiting"
)

// waits shows what waits as metrics. It asks the loop, once for each scrape.
type waits struct {
	ask  func() (waiting.Stats, bool)
	desc []*prometheus.Desc
}

func waitingMetrics(ask func() (waiting.Stats, bool)) prometheus.Collector {
	w := &waits{ask: ask}
	for _, d := range [][2]string{{"jobs", "Jobs that wait for others or for a time."}, {"bytes", "Bytes that they take."},
		{"strangers", "Ids that are waited for and have not come."}, {"ends_remembered", "Ends of jobs that are remembered."},
		{"released_total", "Jobs that became eligible."}, {"cascaded_total", "Jobs that ended with one that they waited for."},
		{"over_total", "Jobs whose time ended while they waited."}, {"refused_total", "Jobs refused for want of room to wait."},
		{"bad_total", "Jobs whose wish could not be granted."}} {
		w.desc = append(w.desc, prometheus.NewDesc("bellstream_waiting_"+d[0], d[1], nil, nil))
	}
	return w
}

func (w *waits) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range w.desc {
		ch <- d
	}
}

func (w *waits) Collect(ch chan<- prometheus.Metric) {
	s, ok := w.ask()
	if !ok {
		return
	}
	for i, v := range []float64{float64(s.Waiting), float64(s.Bytes), float64(s.Strangers), float64(s.Ended),
		float64(s.Released), float64(s.Cascaded), float64(s.Over), float64(s.Refused), float64(s.Bad)} {
		t := prometheus.GaugeValue
		if i >= 4 {
			t = prometheus.CounterValue
		}
		ch <- prometheus.MustNewConstMetric(w.desc[i], t, v)
	}
}
