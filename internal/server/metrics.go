package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics are the node's counters in the Prometheus format.
type metrics struct {
	registry  *prometheus.Registry
	calls     *prometheus.CounterVec
	attempts  prometheus.Counter
	peerDrops prometheus.Counter
	latency   prometheus.Histogram
}

func newMetrics(node string) *metrics {
	labels := prometheus.Labels{"node": node}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "swiftbank_calls_total", Help: "Calls answered at this node, by verdict and code.", ConstLabels: labels,
		}, []string{"verdict", "code"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "swiftbank_attempts_total", Help: "Attempts dispatched to back ends.", ConstLabels: labels,
		}),
		peerDrops: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "swiftbank_peer_frames_dropped_total", Help: "Frames dropped because a peer was too slow.", ConstLabels: labels,
		}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "swiftbank_call_seconds", Help: "Time from a call's arrival to its last byte.", ConstLabels: labels,
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 16),
		}),
	}
	m.registry.MustRegister(m.calls, m.attempts, m.peerDrops, m.latency,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
