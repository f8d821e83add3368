package replica

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// settlementPollInterval is how often a replica asks the others what they have settled.
const settlementPollInterval = 100 * time.Millisecond

// settle takes the next step towards settling the present epoch: this voter reads the charges of the others, and records
// it durably once it has those of a quorum. The record lets it go on alone if the others are lost afterwards, also after
// a restart.
func (s *Server) settle(now time.Time, view replicaset.View) {
	epoch := view.Set.Epoch
	if !view.Set.Has(view.Self.Disk) || s.state.Settled() >= epoch {
		return
	}
	for _, voter := range view.Set.Voters {
		if peer := s.peers[voter.Node]; peer != nil {
			peer.requestAdoption(now, view.Set)
		}
	}
	if s.members.settling >= epoch || !replicaset.IsSettled(view) {
		return
	}
	s.members.settling = epoch
	s.persist([]ledger.Record{{Settled: epoch}}, func() {
		s.post(func() {
			s.state.Settle(epoch)
			s.log.Info().Str("event", "epoch_settled").Int("cell", s.members.cell).Uint64("epoch", epoch).Int("voters", len(view.Set.Voters)).Msg("")
		})
	})
}

// hasSettled reports whether the peer said that it has settled the epoch. One of an earlier version, which does not say, has if
// it has adopted the epoch.
func (p *peerState) hasSettled(epoch uint64) bool {
	if !p.reportsSettled {
		return p.adoptedEpoch >= epoch
	}
	return p.settledEpoch >= epoch
}

// pollSettlement asks the voters that are not known to have settled the present epoch whether they have.
func (s *Server) pollSettlement(now time.Time) {
	if now.Sub(s.members.polledAt) < settlementPollInterval {
		return
	}
	s.members.polledAt = now
	for _, voter := range s.members.set.Voters {
		if peer := s.peers[voter.Node]; peer != nil && peer.connected && !s.hasVoterSettled(voter) {
			peer.send(ledger.Request{Adopt: &ledger.Adopt{Set: s.members.set}})
		}
	}
}

// hasVoterSettled reports whether another voter said that it has settled the present epoch.
func (s *Server) hasVoterSettled(voter replicaset.Voter) bool {
	peer := s.peers[voter.Node]
	return peer != nil && peer.disk == voter.Disk && peer.hasSettled(s.members.set.Epoch)
}

// isRestSettled reports whether the voters that this leaving replica leaves behind have settled the present epoch, and
// no other replica is about to join them: then the loss of this disk takes nothing with it, and the set bears as
// many losses as it can. Replicas that do not respond are not waited for.
func (s *Server) isRestSettled(now time.Time) bool {
	s.pollSettlement(now)
	for _, peer := range s.peers {
		registered, known := s.members.registered.Replicas[peer.node.Name]
		if !known || registered.Leaving || !peer.connected || s.members.registered.CellOfNode(registered) != s.members.cell {
			continue
		}
		voter := replicaset.Voter{Node: registered.Name, Disk: registered.Disk}
		if !s.members.set.Has(voter.Disk) || !s.hasVoterSettled(voter) {
			return false
		}
	}
	return true
}

// isInContact reports whether another process has sent a request, or another voter a reply, within UnreachableTimeout.
func (s *Server) isInContact(now time.Time) bool {
	if now.Sub(s.requestedAt) <= replicaset.UnreachableTimeout {
		return true
	}
	return slices.ContainsFunc(s.members.set.Voters, func(voter replicaset.Voter) bool {
		peer := s.peers[voter.Node]
		return peer != nil && peer.connected && now.Sub(peer.lastReplyAt) <= replicaset.UnreachableTimeout
	})
}
