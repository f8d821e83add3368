package gateway

import (
	"context"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// programPart says which part of a program the request is, where credit of limits is set aside
// for begun programs. A request without a program may be refused like a new one: nothing is
// lost with it.
func (s *Server) programPart(r *request) quota.Part {
	switch {
	case !s.options.LoadControl || !s.options.LimitSetAside:
		return quota.PartUntold
	case r.firstOfProgram || r.header.Get(s.dialect.Program) == "":
		return quota.PartFirst
	default:
		return quota.PartLater
	}
}

// awaitProgramAdmission holds a new program until there is room for it, or refuses it: one that may not
// begin must not use up its tenant's limit, nor teach that programs are short.
func (s *Server) awaitProgramAdmission(ctx context.Context, r *request) *refusal {
	for !s.mayBegin(r) {
		if !s.holdProgram(ctx, r) {
			last := &backend.Failure{Verdict: verdict.NotRun, Reason: "the time was over before the program could begin"}
			return s.failed(ctx, r, r.failureOf(last), false)
		}
	}
	return nil
}

// registerLimits registers the metrics of tenants' limits.
func (m *Metrics) registerLimits(labels prometheus.Labels) {
	m.limitRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_limit_refusals_total", ConstLabels: labels,
		Help: "Requests refused by their tenant's limit, by the part of a program and whether credit was set aside for begun ones.",
	}, []string{"part", "held"})
	m.Registry.MustRegister(m.limitRefusals)
}

// countLimitRefusal counts a request refused by its tenant's limit.
func (m *Metrics) countLimitRefusal(part quota.Part, held bool) {
	m.limitRefusals.WithLabelValues(part.String(), strconv.FormatBool(held)).Inc()
}
