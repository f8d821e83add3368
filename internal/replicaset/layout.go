package replicaset

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A cell is a replica set of its own: a few machines in different zones that store
// the turns and charges of the programs that hash to it. The number of cells is
// fixed when the first replicas found them; machines that are added later join existing cells.

const (
	// LayoutName is the name of the registry object that holds the layout.
	LayoutName = "replica-layout"
	// setPrefix is the prefix of the names of the registry objects that hold the cells' sets.
	setPrefix = "replica-set-"
	// minCellSize is the minimum number of machines per cell, unless there are fewer in all.
	minCellSize = 4
)

// NoCell is the cell of a node that has not been assigned to one yet.
const NoCell = -1

// Layout is the division of the replicas into cells. It is written once, by the first replica that
// finds none in the registry.
type Layout struct {
	// Cells is the number of cells.
	Cells int `json:"cells"`
	// Founding holds the first set of each cell.
	Founding []Set `json:"founding"`
	// Regions holds the region of each cell; empty where cells are not bound to regions.
	Regions []string `json:"regions,omitempty"`
}

// SetName returns the name of the object that holds a cell's set.
func SetName(cell int) string { return setPrefix + strconv.Itoa(cell) }

// CellOfSet returns the cell whose set the object holds.
func CellOfSet(name string) (cell int, isSet bool) {
	number, isSet := strings.CutPrefix(name, setPrefix)
	if !isSet {
		return 0, false
	}
	cell, err := strconv.Atoi(number)
	return cell, err == nil
}

// Encode returns the layout as stored in the registry.
func (l Layout) Encode() []byte {
	content, _ := json.Marshal(l) // plain strings and numbers always encode
	return content
}

// DecodeLayout decodes a layout that is stored in the registry.
func DecodeLayout(content []byte) (Layout, error) {
	var layout Layout
	if err := json.Unmarshal(content, &layout); err != nil {
		return Layout{}, fmt.Errorf("replica layout: %w", err)
	}
	if layout.Cells < 1 || len(layout.Founding) != layout.Cells {
		return Layout{}, fmt.Errorf("replica layout: %d cells with %d founding sets", layout.Cells, len(layout.Founding))
	}
	if len(layout.Regions) != 0 && len(layout.Regions) != layout.Cells {
		return Layout{}, fmt.Errorf("replica layout: %d cells with %d regions", layout.Cells, len(layout.Regions))
	}
	return layout, nil
}

// CellOf returns the cell that stores a program.
func CellOf(program string, cells int) int {
	return int(xxhash.Sum64String(program) % uint64(cells))
}

// ChooseCell returns the cell that a replica belongs to: the one whose set names
// its disk or its machine, else the one it registered for before, else the one with
// the fewest voters, and of these the one with the fewest machines in its zone. Where cells are
// bound to regions, a new replica joins a cell of its region, if there is one. zones maps nodes to
// zones.
func ChooseCell(node Node, region string, layout Layout, sets []Set, zones map[string]string) int {
	for cell, set := range sets {
		if slices.ContainsFunc(set.Voters, func(v Voter) bool { return v.Disk == node.Disk || v.Node == node.Name }) {
			return cell
		}
	}
	if node.HasCell() && *node.Cell < len(sets) {
		return *node.Cell
	}
	candidates := layout.CellsIn(region)
	best, bestRank := NoCell, [2]int{}
	for cell, set := range sets {
		if len(candidates) > 0 && !slices.Contains(candidates, cell) {
			continue
		}
		sameZone := 0
		for _, voter := range set.Voters {
			if zones[voter.Node] == node.Zone {
				sameZone++
			}
		}
		rank := [2]int{len(set.Voters), sameZone}
		if best == NoCell || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = cell, rank
		}
	}
	return max(best, 0)
}

// Membership is the decoded content of the registry.
type Membership struct {
	// HasLayout is false until the cells are founded.
	HasLayout bool
	Layout    Layout
	// Sets holds the newest set of each cell, Revisions the revisions of their objects. A cell
	// whose object has not been written yet has its founding set and revision 0.
	Sets      []Set
	Revisions []uint64
	Replicas  map[string]Node
	Gateways  map[string]Node
}

// CellOfNode returns the cell of a registered replica, or NoCell.
func (m Membership) CellOfNode(node Node) int {
	for cell, set := range m.Sets {
		if slices.ContainsFunc(set.Voters, func(v Voter) bool { return v.Node == node.Name }) {
			return cell
		}
	}
	if node.HasCell() && *node.Cell < len(m.Sets) {
		return *node.Cell
	}
	return NoCell
}
