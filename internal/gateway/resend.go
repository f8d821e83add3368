package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
)

// recordRefusal records that an instance refused the request.
func (r *request) recordRefusal(instance string) {
	if r.refusedBy == nil {
		r.refusedBy = map[string]bool{}
	}
	r.refusedBy[instance] = true
}

// isWithheld returns the function that reports whether the request cannot be sent again now to an instance that refused
// it: every idle connection has carried it, and the budget for new ones is used up. It is nil for a request that was not
// refused.
func (s *Server) isWithheld(r *request) func(instance string) bool {
	if r.refusedBy == nil {
		return nil
	}
	return func(instance string) bool {
		if !r.refusedBy[instance] || s.pool.CanResend(instance, r.service.Name, r.id, r.lostAnswer) {
			return false
		}
		r.withheld = append(r.withheld, instance)
		return true
	}
}

// logWithheld logs the first time that the request waits although instances were only withheld.
func (s *Server) logWithheld(r *request) {
	if len(r.withheld) == 0 || r.waitedForConnection {
		return
	}
	r.waitedForConnection = true
	s.metrics.resendsWithheld.Inc()
	s.log.Info().Str("event", "resend_withheld").Str("id", r.id).Strs("instances", r.withheld[:min(maxLoggedInstances, len(r.withheld))]).
		Int("sends", r.outcome.sends).Int("refused_by", len(r.refusedBy)).Msg("")
}

// unsolicitedReceived logs an answer that belongs to no request. Its connection is not used again.
func (s *Server) unsolicitedReceived(unsolicited backend.UnsolicitedAnswer) {
	s.metrics.unsolicitedAnswers.Inc()
	s.log.Warn().Str("event", "unsolicited_answer").Str("id", unsolicited.RequestID).Str("instance", unsolicited.Instance).
		Str("answer_id", unsolicited.AnswerID).Int("status", unsolicited.Status).Int("local_port", unsolicited.LocalPort).Msg("")
}

// registerResends registers the metrics of refused requests that are sent again, and of unsolicited answers.
func (m *Metrics) registerResends(labels prometheus.Labels) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels})
	}
	m.resendConnections = counter("swiftbank_backend_resend_connections_total", "Connections opened to send refused requests again.")
	m.resendsWithheld = counter("swiftbank_resends_withheld_total", "Refused requests that had to wait for a connection that had not carried them.")
	m.unsolicitedAnswers = counter("swiftbank_unsolicited_answers_total", "Answers of instances that belong to no request.")
	m.Registry.MustRegister(m.resendConnections, m.resendsWithheld, m.unsolicitedAnswers)
}
