package gateway

import (
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// RegistryChanged takes in the product's own objects: the cells of replicas and the
// other gateways.
func (s *Server) RegistryChanged(objects []registry.Object, gossip *Gossip, relays *quorum.Relays) {
	s.sources.Lock()
	defer s.sources.Unlock()
	s.heard.members = true
	s.adoptMembers(objects, gossip, relays)
}

func (s *Server) adoptMembers(objects []registry.Object, gossip *Gossip, relays *quorum.Relays) {
	membership := replicaset.Read(objects)
	s.replicas.SetMembership(membership)
	gossip.SetGateways(membership.Gateways)
	s.gossip.Store(gossip)
	relays.SetGateways(membership.Gateways)
	s.gateways.Store(int64(len(membership.Gateways)))
	s.boundIdle()
}
