package gateway

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
)

// recordRefusal records that an instance refused the request.
func (r *request) recordRefusal(instance backend.Instance) {
	if !r.wasRefusedBy(instance.ID) {
		r.refusedBy = append(r.refusedBy, instance)
	}
}

// wasRefusedBy reports whether the instance refused the request before.
func (r *request) wasRefusedBy(instance string) bool {
	return slices.ContainsFunc(r.refusedBy, func(refused backend.Instance) bool { return refused.ID == instance })
}

// withheldInstances returns the instances that refused the request and that it cannot be sent to again now, because
// every idle connection to them has carried it and their budget for new connections is used up.
func (s *Server) withheldInstances(r *request) []string {
	var withheld []string
	for _, instance := range r.refusedBy {
		if !s.pool.CanResend(instance, r.id, r.lostAnswer) {
			withheld = append(withheld, instance.ID)
		}
	}
	if len(withheld) > 0 && !r.resendWithheld {
		r.resendWithheld = true
		s.metrics.resendsWithheld.Inc()
		s.log.Info().Str("event", "resend_withheld").Str("id", r.id).Strs("instances", withheld).
			Int("sends", r.outcome.sends).Int("refused_by", len(r.refusedBy)).Msg("")
	}
	return withheld
}

// surplusReceived logs an answer that belongs to no request. Its connection is not used again.
func (s *Server) surplusReceived(surplus backend.SurplusAnswer) {
	s.metrics.surplusAnswers.Inc()
	s.log.Warn().Str("event", "surplus_answer").Str("id", surplus.RequestID).Str("instance", surplus.Instance).
		Str("answer_id", surplus.AnswerID).Int("status", surplus.Status).Int("local_port", surplus.LocalPort).Msg("")
}

// registerResends registers the metrics of refused requests that are sent again, and of surplus answers.
func (m *Metrics) registerResends(labels prometheus.Labels) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels})
	}
	m.resendConnections = counter("swiftbank_backend_resend_connections_total", "Connections opened to send refused requests again.")
	m.resendsWithheld = counter("swiftbank_resends_withheld_total", "Refused requests that had to wait for a connection that had not carried them.")
	m.surplusAnswers = counter("swiftbank_surplus_answers_total", "Answers of instances that belong to no request.")
	m.Registry.MustRegister(m.resendConnections, m.resendsWithheld, m.surplusAnswers)
}
