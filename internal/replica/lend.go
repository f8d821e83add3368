package replica

import (
	"time"

	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
)

// ConfigurationChanged applies the tenants' limits of a new configuration.
func (s *Server) ConfigurationChanged(table *route.Table) {
	s.post(func() {
		s.lender.SetTenants(table.Tenants)
		s.log.Info().Str("event", "limits_changed").Uint64("version", table.Version).Int("tenants", len(table.Tenants.Tenants())).Msg("")
	})
}

// resumeLending restores the outstanding lendings of a restarted voter from its disk.
func (s *Server) resumeLending(recent map[string]int) {
	set := s.state.Set()
	if index := set.IndexOf(s.state.Disk()); index >= 0 {
		s.lender.Resume(s.started, index, len(set.Voters), recent)
	}
}

// lend answers a gateway's request for allowances. Lendings are written to the disk; the reply
// waits for the sync if too many of them are not durable yet.
func (s *Server) lend(request ledger.Request, send func(ledger.Reply)) {
	now := time.Now()
	s.updateLender(now)
	if !s.isMembershipCurrent(now) {
		send(ledger.Reply{Number: request.Number, Disk: s.state.Disk(), Epoch: s.state.Set().Epoch, Loan: &quota.Loan{Unable: true}})
		return
	}
	tenant := request.Borrow.Tenant
	loan, sync := s.lender.Lend(now, *request.Borrow)
	s.options.Metrics.observeLoan(loan)
	reply := ledger.Reply{Number: request.Number, Disk: s.state.Disk(), Epoch: s.state.Set().Epoch, Loan: &loan}
	if !sync {
		send(reply)
	}
	allowances := loan.Waiting + loan.Ahead
	if allowances == 0 {
		return
	}
	s.persist([]ledger.Record{s.lendingRecord(now, tenant, allowances)}, func() {
		sent := loan
		if sync {
			sent = loan.HeldBack(time.Since(now))
			reply.Loan = &sent
			send(reply)
		}
		s.post(func() {
			s.lender.Postpone(now, tenant, loan, sent)
			s.lender.Synced(tenant, allowances)
		})
	})
}

// isMembershipCurrent reports whether this voter would know of a newer set: it received something
// from a quorum of its set, or its view of the registry is fresh, within the time after which other
// voters may remove it. An isolated voter lends nothing, because the others may have taken over its
// share.
func (s *Server) isMembershipCurrent(now time.Time) bool {
	s.detectPause(now)
	current := s.members.registryFresh || s.isQuorumReachable(now)
	if current == s.members.isolated {
		s.members.isolated = !current
		s.log.Warn().Str("event", "cut_off_changed").Bool("cut_off", !current).Int("cell", s.members.cell).
			Uint64("epoch", s.state.Set().Epoch).Bool("news_fresh", s.members.registryFresh).Msg("")
	}
	return current
}

// detectPause marks the view of the registry as outdated when this process was paused for longer than
// UnreachableTimeout: the view dates from before the pause, and other voters may have removed this
// one since.
func (s *Server) detectPause(now time.Time) {
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > replicaset.UnreachableTimeout {
		s.members.registryFresh = false
		s.observingSince = now
	}
}

// isQuorumReachable reports whether this replica has received something from a quorum of the voters,
// itself included, within UnreachableTimeout.
func (s *Server) isQuorumReachable(now time.Time) bool {
	set := s.state.Set()
	reachable := 0
	for _, voter := range set.Voters {
		peer := s.peers[voter.Node]
		isReachable := peer != nil && peer.disk == voter.Disk && now.Sub(peer.lastReplyAt) <= replicaset.UnreachableTimeout
		if isReachable || voter.Disk == s.state.Disk() {
			reachable++
		}
	}
	return reachable >= set.Quorum()
}

// FeedStatusChanged records whether the view of the registry is as current as a read from the store.
func (s *Server) FeedStatusChanged(status feed.Status) {
	s.post(func() { s.members.registryFresh = status.Fresh() })
}

func (s *Server) lendingRecord(now time.Time, tenant string, allowances int) ledger.Record {
	return ledger.Record{Lent: &quota.Lending{Tenant: tenant, Allowances: allowances, Life: s.runID, Uptime: now.Sub(s.started)}}
}

// snapshot returns records that rebuild the ledger and the outstanding lendings.
func (s *Server) snapshot(now time.Time) []ledger.Record {
	records := s.state.Snapshot()
	for tenant, allowances := range s.lender.Outstanding(now) {
		records = append(records, s.lendingRecord(now, tenant, allowances))
	}
	return records
}

// updateLender sets the lender's share of the limits according to the adopted set of voters.
func (s *Server) updateLender(now time.Time) {
	set := s.state.Set()
	setVoters := s.lender.SetVoters
	if set.Epoch == replicaset.FoundingEpoch {
		setVoters = s.lender.SetFoundingVoters
	}
	setVoters(now, set.IndexOf(s.state.Disk()), len(set.Voters))
}
