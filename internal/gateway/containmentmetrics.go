package gateway

import "github.com/prometheus/client_golang/prometheus"

// registerContainment registers the metrics of requests that end instances.
func (m *Metrics) registerContainment(labels prometheus.Labels) {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, []string{label})
	}
	m.lostRuns = counter("swiftbank_lost_runs_total", "Runs of this gateway whose instance ended, fell silent or got into trouble.", "outcome")
	m.contained = counter("swiftbank_contained_requests_total", "Requests that were not sent because instances ended under them.", "verdict")
	m.released = counter("swiftbank_released_requests_total", "Requests that nothing counts against any more.", "reason")
	m.unrecordedLosses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_unrecorded_losses_total", Help: "Lost runs of unknown outcome that were only watched, because there were too many.", ConstLabels: labels,
	})
	m.knowledgeAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "swiftbank_ends_knowledge_age_seconds", Help: "Age of what the replicas tell of ends at other gateways.", ConstLabels: labels,
	})
	m.Registry.MustRegister(m.lostRuns, m.contained, m.released, m.unrecordedLosses, m.knowledgeAge)
}

// registerSuspects registers the gauge of the requests under which instances ended.
func (m *Metrics) registerSuspects(known func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "swiftbank_suspect_requests", Help: "Requests under which instances ended, as known here.", ConstLabels: m.labels,
	}, known))
}
