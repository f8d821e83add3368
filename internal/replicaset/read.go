package replicaset

import (
	"encoding/json"
	"strings"

	"swiftbank.dev/swiftbank/internal/registry"
)

// Reader decodes the registry's objects. It decodes each object once per revision: every process
// reads the whole list on each change of it, so when a fleet of n processes starts, each would
// decode n descriptions n times. In a fleet of 985 processes, that took a third of their CPU time
// during startup. A Reader is not safe for concurrent use.
type Reader struct {
	// nodes caches the decoded descriptions by the name of their object.
	nodes map[string]decodedNode
}

// decodedNode is a node's description at one revision of its object.
type decodedNode struct {
	revision uint64
	node     Node
	// valid is false if the object does not describe a node.
	valid bool
}

// NewReader returns a reader with an empty cache.
func NewReader() *Reader { return &Reader{nodes: map[string]decodedNode{}} }

// Read decodes all of the registry's objects. Objects that cannot be decoded are skipped.
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
	listed := make(map[string]decodedNode, len(r.nodes))
	for _, object := range objects {
		if cell, isSet := CellOfSet(object.Name); isSet {
			membership.readSet(cell, object)
		} else if strings.HasPrefix(object.Name, nodePrefix) {
			decoded := r.decode(object)
			listed[object.Name] = decoded
			membership.add(decoded)
		}
	}
	r.nodes = listed // drops objects that are no longer listed
	return membership
}

// decode returns an object's description, from the cache if the revision has not changed.
func (r *Reader) decode(object registry.Object) decodedNode {
	known, exists := r.nodes[object.Name]
	if exists && known.revision == object.Revision {
		return known
	}
	decoded := decodedNode{revision: object.Revision}
	decoded.valid = json.Unmarshal(object.Value, &decoded.node) == nil
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
	if !decoded.valid {
		return
	}
	switch decoded.node.Role {
	case RoleReplica:
		m.Replicas[decoded.node.Name] = decoded.node
	case RoleGateway:
		m.Gateways[decoded.node.Name] = decoded.node
	}
}
