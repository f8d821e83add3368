package replica

import (
	"time"

	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
)

// ConfigurationChanged takes the limits of the tenants from a configuration.
func (s *Server) ConfigurationChanged(table *route.Table) {
	s.post(func() {
		s.lender.SetTenants(table.Tenants)
		s.log.Info().Str("event", "limits_changed").Uint64("version", table.Version).Int("tenants", len(table.Tenants.Tenants())).Msg("")
	})
}

// resumeLending makes a voter that was restarted go on with what its disk says that it lent.
func (s *Server) resumeLending(recent map[string]int) {
	set := s.state.Set()
	if index := set.IndexOf(s.state.Disk()); index >= 0 {
		s.lender.Resume(s.started, index, len(set.Voters), recent)
	}
}

// lend answers a gateway that asks for allowances. What was lent goes to the disk; the answer
// waits for that if much is not there yet.
func (s *Server) lend(request ledger.Request, send func(ledger.Reply)) {
	now := time.Now()
	s.tellLender(now)
	if !s.maySpeakForCell(now) {
		send(ledger.Reply{Number: request.Number, Disk: s.state.Disk(), Epoch: s.state.Set().Epoch, Loan: &quota.Loan{Unable: true}})
		return
	}
	tenant := request.Borrow.Tenant
	lent, sync := s.lender.Lend(now, *request.Borrow)
	s.options.Metrics.lent(lent)
	reply := ledger.Reply{Number: request.Number, Disk: s.state.Disk(), Epoch: s.state.Set().Epoch, Loan: &lent}
	if !sync {
		send(reply)
	}
	allowances := lent.Waiting + lent.Ahead
	if allowances == 0 {
		return
	}
	s.persist([]ledger.Record{s.lendingRecord(now, tenant, allowances)}, func() {
		if sync {
			send(reply)
		}
		s.post(func() { s.lender.Synced(tenant, allowances) })
	})
}

// maySpeakForCell reports whether this voter would know of a newer set: it heard from a quorum of
// its set, or of the store, within the time after which others may take it out. A voter that is cut
// off lends nothing, for the rest has taken its share over by then.
func (s *Server) maySpeakForCell(now time.Time) bool {
	s.noticePause(now)
	may := s.members.newsFresh || s.heardQuorum(now)
	if may == s.members.cutOff {
		s.members.cutOff = !may
		s.log.Warn().Str("event", "cut_off_changed").Bool("cut_off", !may).Int("cell", s.members.cell).
			Uint64("epoch", s.state.Set().Epoch).Bool("news_fresh", s.members.newsFresh).Msg("")
	}
	return may
}

// noticePause forgets that the news are fresh when this process stood still for longer than others
// wait for a voter: what it believed is from before.
func (s *Server) noticePause(now time.Time) {
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > replicaset.UnreachableTimeout {
		s.members.newsFresh = false
	}
}

// heardQuorum reports whether so many voters as make a quorum said something of late.
func (s *Server) heardQuorum(now time.Time) bool {
	set := s.state.Set()
	heard := 0
	for _, voter := range set.Voters {
		peer := s.peers[voter.Node]
		isHeard := peer != nil && peer.disk == voter.Disk && now.Sub(peer.heardAt) <= replicaset.UnreachableTimeout
		if isHeard || voter.Disk == s.state.Disk() {
			heard++
		}
	}
	return heard >= set.Quorum()
}

// FeedStatusChanged says whether the news of the registry is as good as the store's own word.
func (s *Server) FeedStatusChanged(status feed.Status) {
	s.post(func() { s.members.newsFresh = status.Fresh() })
}

func (s *Server) lendingRecord(now time.Time, tenant string, allowances int) ledger.Record {
	return ledger.Record{Lent: &quota.Lending{Tenant: tenant, Allowances: allowances, Life: s.life, Uptime: now.Sub(s.started)}}
}

// snapshot returns records that rebuild the ledger and what counts of the lendings.
func (s *Server) snapshot(now time.Time) []ledger.Record {
	records := s.state.Snapshot()
	for tenant, allowances := range s.lender.Outstanding(now) {
		records = append(records, s.lendingRecord(now, tenant, allowances))
	}
	return records
}

// tellLender gives the lender its share by the adopted set of voters.
func (s *Server) tellLender(now time.Time) {
	set := s.state.Set()
	s.lender.SetVoters(now, set.IndexOf(s.state.Disk()), len(set.Voters))
}
