package replica

import (
	"context"

	"swiftbank.dev/swiftbank/internal/feed"
)

// Retirements receives the progress of machines that are drained.
type Retirements interface {
	// ReportRetirement retries until the report is accepted or the context ends.
	ReportRetirement(ctx context.Context, node string, state feed.RetirementState)
}

// RetirementsChanged applies the operator's requests to drain machines, by node.
func (s *Server) RetirementsChanged(states map[string]feed.RetirementState) {
	state := states[s.options.Node]
	if state == feed.NotRetiring || state == feed.RetirementCompleted {
		return
	}
	s.post(func() {
		if s.members.leaving {
			return
		}
		if state == feed.RetirementRequested {
			s.reportRetirement(feed.RetirementRunning)
		}
		s.Leave(func() { s.reportRetirement(feed.RetirementCompleted) })
	})
}

// reportRetirement reports the progress to the operator in the background.
func (s *Server) reportRetirement(state feed.RetirementState) {
	s.log.Info().Str("event", "retirement_reported").Bool("complete", state == feed.RetirementCompleted).Msg("")
	go s.options.Retirements.ReportRetirement(s.context, s.options.Node, state)
}
