package gateway

import (
	"context"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// programPart returns which part of a program the request is, where credit of limits is reserved
// for begun programs. A request without a program may be refused like a new program: no work
// is lost with it.
func (s *Server) programPart(r *request) quota.Part {
	switch {
	case !s.options.LoadControl || !s.options.LimitSetAside:
		return quota.PartUnknown
	case r.firstOfProgram || r.header.Get(s.dialect.Program) == "":
		return quota.PartFirst
	default:
		return quota.PartLater
	}
}

// awaitProgramAdmission waits until there is capacity for a new program, or refuses it. It is
// called before the tenant's limit is checked: a program that may not begin must neither consume
// its tenant's limit nor count as a shortage of the limit.
func (s *Server) awaitProgramAdmission(ctx context.Context, r *request) *refusal {
	for !s.admitProgram(r) {
		if !s.awaitNextDecision(ctx, r) {
			last := &backend.Failure{Verdict: verdict.NotRun, Reason: "the deadline passed before the program could begin"}
			return s.refusalFor(ctx, r, r.failureIfHeld(last), false)
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
