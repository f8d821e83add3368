package replica

import (
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/route"
)

// ConfigurationChanged takes the limits of the tenants from a configuration.
func (s *Server) ConfigurationChanged(table *route.Table) {
	s.post(func() {
		s.lender.SetTenants(table.Tenants)
		s.log.Info().Str("event", "limits_changed").Uint64("version", table.Version).Int("tenants", len(table.Tenants.Tenants())).Msg("")
	})
}

// lend answers a gateway that asks for allowances.
func (s *Server) lend(request ledger.Request) ledger.Reply {
	now := time.Now()
	s.tellLender(now)
	lent := s.lender.Lend(now, *request.Borrow)
	s.options.Metrics.lent(lent)
	return ledger.Reply{Number: request.Number, Disk: s.state.Disk(), Epoch: s.state.Set().Epoch, Loan: &lent}
}

// tellLender gives the lender its share by the adopted set of voters.
func (s *Server) tellLender(now time.Time) {
	set := s.state.Set()
	s.lender.SetVoters(now, len(set.Voters), set.Has(s.state.Disk()))
}
