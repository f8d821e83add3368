package replicaset

import (
	"encoding/json"
	"strings"

	"swiftbank.dev/swiftbank/internal/registry"
)

// Reader translates the registry's objects time after time. Each object is decoded once a
// revision: every process reads the whole list with each change of it, so a fleet of n
// processes that start would decode n descriptions n times in each of them. At 985 processes
// that was a third of their processor time while they started (sampled on a fleet of that
// size). It is not safe for concurrent use.
type Reader struct {
	// nodes holds the descriptions decoded last, by the name of their object.
	nodes map[string]decodedNode
}

// decodedNode is a node's description at a revision of its object.
type decodedNode struct {
	revision uint64
	node     Node
	// readable is false for an object that describes no node.
	readable bool
}

// NewReader returns a reader that has decoded nothing yet.
func NewReader() *Reader { return &Reader{nodes: map[string]decodedNode{}} }

// Read translates all of the registry's objects. Objects that cannot be read are left out.
func (r *Reader) Read(objects []registry.Object) Membership {
	membership := Membership{Replicas: map[string]Node{}, Gateways: map[string]Node{}}
	for _, object := range objects {
		if object.Name == LayoutName {
			layout, err := DecodeLayout(object.Value)
			membership.Layout, membership.HasLayout = layout, err == nil
		}
	}
	if membership.HasLayout {
		membership.Sets = append(membership.Sets, membership.Layout.Founding...)
		membership.Revisions = make([]uint64, membership.Layout.Cells)
	}
	present := make(map[string]decodedNode, len(r.nodes))
	for _, object := range objects {
		if cell, isSet := CellOfSet(object.Name); isSet {
			membership.readSet(cell, object)
		} else if strings.HasPrefix(object.Name, nodePrefix) {
			decoded := r.decode(object)
			present[object.Name] = decoded
			membership.add(decoded)
		}
	}
	r.nodes = present // what is no longer listed is forgotten
	return membership
}

// decode returns an object's description, from before if the object has not changed.
func (r *Reader) decode(object registry.Object) decodedNode {
	known, exists := r.nodes[object.Name]
	if exists && known.revision == object.Revision {
		return known
	}
	decoded := decodedNode{revision: object.Revision}
	decoded.readable = json.Unmarshal(object.Value, &decoded.node) == nil
	return decoded
}

func (m *Membership) readSet(cell int, object registry.Object) {
	set, err := DecodeSet(object.Value)
	if err != nil || cell < 0 || cell >= len(m.Sets) {
		return
	}
	m.Sets[cell], m.Revisions[cell] = set, object.Revision
}

func (m *Membership) add(decoded decodedNode) {
	if !decoded.readable {
		return
	}
	switch decoded.node.Role {
	case RoleReplica:
		m.Replicas[decoded.node.Name] = decoded.node
	case RoleGateway:
		m.Gateways[decoded.node.Name] = decoded.node
	}
}
