package gateway

import (
	"encoding/json"

	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// RegistryChanged takes in the product's own objects: replicas, gateways and the
// replica set.
func (s *Server) RegistryChanged(objects []registry.Object, gossip *Gossip) {
	var replicas, gateways []replicaset.Node
	var set replicaset.Set
	for _, object := range objects {
		if object.Name == replicaset.SetName {
			set, _ = replicaset.Decode(object.Value)
			continue
		}
		var node replicaset.Node
		if json.Unmarshal(object.Value, &node) != nil {
			continue
		}
		switch node.Role {
		case replicaset.RoleReplica:
			replicas = append(replicas, node)
		case replicaset.RoleGateway:
			gateways = append(gateways, node)
		}
	}
	s.replicas.SetReplicas(replicas, set)
	gossip.SetGateways(gateways)
}
