// Package topology maps nodes to cells and sessions to shards.
//
// A cell is a small fixed set of nodes spread over the zones of a region. All
// replicas of a shard live in one cell, so a node exchanges heartbeats and log
// entries with its cell's members only, however many nodes there are. Each shard
// belongs to one cell for good; a session hashes to a shard.
package topology

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/shard"
)

// MaxCellSize is the largest number of nodes in a cell.
const MaxCellSize = 9

// Node is one node as the settings name it.
type Node struct {
	ID      string `koanf:"id" json:"id" validate:"required"`
	Zone    string `koanf:"zone" json:"zone" validate:"required"`
	Address string `koanf:"address" json:"address" validate:"required,hostname_port"`
}

// Topology is immutable once built.
type Topology struct {
	nodes         map[string]Node
	cells         [][]string
	cellOf        map[string]int
	shardsPerCell int
}

// New arranges the nodes in cells of at most MaxCellSize, with the nodes of a
// zone dealt round the cells in turn. Equal node lists give equal cells.
func New(nodes []Node, shardsPerCell int) (*Topology, error) {
	if len(nodes) == 0 {
		return nil, fmt.Errorf("topology: no nodes")
	}
	sorted := slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		if order := cmp.Compare(a.Zone, b.Zone); order != 0 {
			return order
		}
		return cmp.Compare(a.ID, b.ID)
	})
	count := (len(sorted) + MaxCellSize - 1) / MaxCellSize
	topology := &Topology{
		nodes: map[string]Node{}, cells: make([][]string, count),
		cellOf: map[string]int{}, shardsPerCell: shardsPerCell,
	}
	for place, node := range sorted {
		if _, taken := topology.nodes[node.ID]; taken {
			return nil, fmt.Errorf("topology: node %q is listed twice", node.ID)
		}
		cell := place % count
		topology.nodes[node.ID] = node
		topology.cells[cell] = append(topology.cells[cell], node.ID)
		topology.cellOf[node.ID] = cell
	}
	return topology, nil
}

// Node returns a node by id.
func (t *Topology) Node(id string) (Node, bool) {
	node, found := t.nodes[id]
	return node, found
}

// Cells returns the number of cells.
func (t *Topology) Cells() int { return len(t.cells) }

// CellMembers returns the ids of a cell's nodes, in order of zone and id.
func (t *Topology) CellMembers(cell int) []string { return t.cells[cell] }

// CellOfNode returns the cell of a node.
func (t *Topology) CellOfNode(id string) int { return t.cellOf[id] }

// CellOfShard returns the cell that holds a shard's replicas.
func (t *Topology) CellOfShard(number uint32) int { return int(number) / t.shardsPerCell }

// ShardsOfCell returns the shard numbers of a cell.
func (t *Topology) ShardsOfCell(cell int) []uint32 {
	numbers := make([]uint32, t.shardsPerCell)
	for i := range numbers {
		numbers[i] = uint32(cell*t.shardsPerCell + i)
	}
	return numbers
}

// Shards returns the number of shards.
func (t *Topology) Shards() uint32 { return uint32(len(t.cells) * t.shardsPerCell) }

// ShardOfSession returns the shard of a session.
func (t *Topology) ShardOfSession(key shard.SessionKey) uint32 {
	return t.hash(key.Tenant + "\x00" + key.Session)
}

// ShardOfTenant returns the shard that keeps a tenant's budget ledger.
func (t *Topology) ShardOfTenant(tenant string) uint32 {
	return t.hash(tenant)
}

func (t *Topology) hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name) % uint64(t.Shards()))
}

// Voters returns the nodes that vote in a new shard: the largest odd number of
// the cell's nodes. Where the cell is even, the node left out changes with the
// shard, so that the load stays even.
func (t *Topology) Voters(number uint32) []string {
	members := t.CellMembers(t.CellOfShard(number))
	if len(members)%2 == 1 {
		return members
	}
	leftOut := int(number) % len(members)
	voters := make([]string, 0, len(members)-1)
	for place, id := range members {
		if place != leftOut {
			voters = append(voters, id)
		}
	}
	return voters
}
