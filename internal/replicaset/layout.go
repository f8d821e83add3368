package replicaset

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A cell is a replica set of its own: a few machines in different zones that keep
// the turns and charges of the programs that hash to it. The number of cells is
// fixed when the first replicas found them; machines that come later join cells.

const (
	// LayoutName is the registry object that holds the layout.
	LayoutName = "replica-layout"
	// setPrefix begins the names of the registry objects that hold the cells' sets.
	setPrefix = "replica-set-"
	// smallestCell is how many machines a cell has at least, where there are as many.
	smallestCell = 4
)

// NoCell is the cell of a node that has none yet.
const NoCell = -1

// Layout is written once, by the first replica that finds none.
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

// Encode returns the form kept in the registry.
func (l Layout) Encode() []byte {
	content, _ := json.Marshal(l) // plain strings and numbers always encode
	return content
}

// DecodeLayout reads the form kept in the registry.
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

// CellOf returns the cell that keeps a program.
func CellOf(program string, cells int) int {
	return int(xxhash.Sum64String(program) % uint64(cells))
}

// ChooseCell returns the cell that a replica belongs to: the one whose set names
// its disk or its machine, else the one it registered for before, else the one with
// the fewest voters, preferring one without a machine of its zone. Where cells are bound
// to regions, a newcomer joins one of its own region, if there is one.
func ChooseCell(own Node, ownRegion string, layout Layout, sets []Set, zones map[string]string) int {
	for cell, set := range sets {
		if slices.ContainsFunc(set.Voters, func(v Voter) bool { return v.Disk == own.Disk || v.Node == own.Name }) {
			return cell
		}
	}
	if own.HasCell() && *own.Cell < len(sets) {
		return *own.Cell
	}
	candidates := layout.CellsIn(ownRegion)
	best, bestRank := NoCell, [2]int{}
	for cell, set := range sets {
		if len(candidates) > 0 && !slices.Contains(candidates, cell) {
			continue
		}
		neighbours := 0
		for _, voter := range set.Voters {
			if zones[voter.Node] == own.Zone {
				neighbours++
			}
		}
		rank := [2]int{len(set.Voters), neighbours}
		if best == NoCell || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = cell, rank
		}
	}
	return max(best, 0)
}

// Membership is the registry's content in the product's terms.
type Membership struct {
	// HasLayout is false while no cells were founded.
	HasLayout bool
	Layout    Layout
	// Sets holds the newest set of each cell, with Revisions of their objects; a cell
	// whose object is not written yet has its founding set and revision 0.
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
