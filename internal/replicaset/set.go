// Package replicaset implements the membership of the replicas that count charges: the
// cells, the disks that are voters of each under an increasing epoch, and the
// rules for changing them.
//
// A cell's set is stored in the registry and replaced conditionally on its revision, so
// there is a single sequence of epochs. Adjacent epochs differ by one voter, therefore their
// quorums intersect (Ongaro's thesis, section 4.1). A replica rejects reservations
// of an older epoch than it has adopted, and before a replica changes the membership it
// makes sure that a quorum has adopted the current epoch: so quorums that are two
// epochs apart cannot both act.
//
// A voter has settled an epoch once it has merged the charges of a quorum that adopted it. Every charge that a
// quorum of an older epoch accepted is then on it. The membership changes only if every quorum of the next
// set has such a voter, so no charge depends on a disk that has left.
//
// A voter is a disk, not a machine. A machine that returns with an empty disk is a
// new voter and never answers for the state of the lost one.
package replicaset

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Voter is one disk whose answers count.
type Voter struct {
	// Node is the name of the machine.
	Node string `json:"node"`
	// Disk is a random id that is generated when a replica starts on an empty disk.
	Disk string `json:"disk"`
}

// Set is one version of the membership.
type Set struct {
	Epoch  uint64  `json:"epoch"`
	Voters []Voter `json:"voters"`
}

// Quorum returns how many voters must agree.
func (s Set) Quorum() int { return len(s.Voters)/2 + 1 }

// minIntersecting returns how many voters have a member in every quorum of the set.
func (s Set) minIntersecting() int { return len(s.Voters) - s.Quorum() + 1 }

// IndexOf returns the index of the disk among the voters, or -1 if it is not a voter.
func (s Set) IndexOf(disk string) int {
	return slices.IndexFunc(s.Voters, func(v Voter) bool { return v.Disk == disk })
}

// Has reports whether the disk is a voter.
func (s Set) Has(disk string) bool { return s.IndexOf(disk) >= 0 }

// With returns the next epoch's set with one more voter.
func (s Set) With(voter Voter) Set {
	return Set{Epoch: s.Epoch + 1, Voters: append(slices.Clone(s.Voters), voter)}
}

// Without returns the next epoch's set without one voter.
func (s Set) Without(disk string) Set {
	rest := slices.DeleteFunc(slices.Clone(s.Voters), func(v Voter) bool { return v.Disk == disk })
	return Set{Epoch: s.Epoch + 1, Voters: rest}
}

// Encode returns the set as stored in the registry.
func (s Set) Encode() []byte {
	content, _ := json.Marshal(s) // plain strings and numbers always encode
	return content
}

// DecodeSet decodes a set that is stored in the registry.
func DecodeSet(content []byte) (Set, error) {
	var set Set
	if err := json.Unmarshal(content, &set); err != nil {
		return Set{}, fmt.Errorf("replica set: %w", err)
	}
	return set, nil
}

// Node is a process's description of itself in the registry.
type Node struct {
	Name string `json:"name"`
	// Role is "replica" or "gateway".
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Feed is the address at which a replica relays the content of the shared store; "" if it does not.
	Feed string `json:"feed,omitempty"`
	// Disk is set for replicas.
	Disk string `json:"disk,omitempty"`
	// Cell is the cell a replica belongs to, nil while it has none.
	Cell *int `json:"cell,omitempty"`
	// Leaving is set for a replica that is being drained; it gets no new records.
	Leaving bool `json:"leaving,omitempty"`
}

// HasCell reports whether the node registered for a cell.
func (n Node) HasCell() bool { return n.Cell != nil && *n.Cell >= 0 }

// The roles of a Node.
const (
	RoleReplica = "replica"
	RoleGateway = "gateway"
)
