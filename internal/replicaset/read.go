package replicaset

import (
	"encoding/json"
	"strings"

	"swiftbank.dev/swiftbank/internal/registry"
)

// Read translates the registry's objects. Objects that cannot be read are left out.
func Read(objects []registry.Object) Membership {
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
	for _, object := range objects {
		if cell, isSet := CellOfSet(object.Name); isSet {
			membership.readSet(cell, object)
		} else if strings.HasPrefix(object.Name, nodePrefix) {
			membership.readNode(object)
		}
	}
	return membership
}

func (m *Membership) readSet(cell int, object registry.Object) {
	set, err := Decode(object.Value)
	if err != nil || cell < 0 || cell >= len(m.Sets) {
		return
	}
	m.Sets[cell], m.Revisions[cell] = set, object.Revision
}

func (m *Membership) readNode(object registry.Object) {
	var node Node
	if json.Unmarshal(object.Value, &node) != nil {
		return
	}
	switch node.Role {
	case RoleReplica:
		m.Replicas[node.Name] = node
	case RoleGateway:
		m.Gateways[node.Name] = node
	}
}
