package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
)

// connectionLimitLearned logs how many connections an instance was found to accept.
func (s *Server) connectionLimitLearned(learned backend.LearnedLimit) {
	if learned.TurnedAway {
		s.metrics.turnedAway.Inc()
	}
	s.log.Warn().Str("event", "connection_limit_learned").Str("instance", learned.Instance).Int("connections", learned.Connections).
		Int("open", learned.Open).Bool("turned_away", learned.TurnedAway).Msg("")
}

// registerConnections registers the metrics of connections to instances.
func (m *Metrics) registerConnections(open func() int) {
	m.turnedAway = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_backend_connections_turned_away_total", Help: "New connections with a request that instances reset while others stayed open.", ConstLabels: m.labels,
	})
	m.Registry.MustRegister(m.turnedAway, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "swiftbank_backend_open_connections", Help: "Connections to instances that are open or being opened.", ConstLabels: m.labels,
	}, func() float64 { return float64(open()) }))
}
