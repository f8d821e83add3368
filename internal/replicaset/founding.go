package replicaset

import (
	"cmp"
	"maps"
	"slices"

	"swiftbank.dev/swiftbank/internal/place"
)

// NewLayout divides the machines into cells so that each cell has machines in as many
// zones as possible, and enough of them to lose the tolerated number. If places has two or
// more regions, the machines of each region found their own cells, so that a quorum is
// reached without a round trip between regions. A region with too few machines founds
// none, and its machines join the cells of the region with the most machines. A nil map binds
// no cell to a region.
func NewLayout(nodes []Node, tolerate int, places place.Map) Layout {
	if len(places.Regions()) < 2 {
		return spreadOverCells(nodes, tolerate)
	}
	byRegion := groupByRegion(nodes, tolerate, places)
	var layout Layout
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		regional := spreadOverCells(byRegion[region], tolerate)
		layout.Cells += regional.Cells
		layout.Founding = append(layout.Founding, regional.Founding...)
		layout.Regions = append(layout.Regions, slices.Repeat([]string{region}, regional.Cells)...)
	}
	if layout.Cells == 0 {
		return spreadOverCells(nodes, tolerate)
	}
	return layout
}

// minReplicasPerRegion is how many machines a region needs for cells of its own. With twice the
// tolerated number, a quorum has one disk more than may be lost, so whatever a quorum accepted
// survives that loss, although the cell may accept nothing until a machine returns.
func minReplicasPerRegion(tolerate int) int { return max(1, 2*tolerate) }

// groupByRegion groups the machines by the region whose cells they found. Machines of a region
// that founds no cell, or of no known region, are added to the region with the most machines.
func groupByRegion(nodes []Node, tolerate int, places place.Map) map[string][]Node {
	byRegion := map[string][]Node{}
	for _, node := range sortedByZone(nodes) {
		region := places.Region(node.Zone)
		byRegion[region] = append(byRegion[region], node)
	}
	var unassigned []Node
	for region, members := range byRegion {
		if region == "" || len(members) < minReplicasPerRegion(tolerate) {
			unassigned = append(unassigned, members...)
			delete(byRegion, region)
		}
	}
	if len(byRegion) == 0 {
		return nil
	}
	largest := slices.MaxFunc(slices.Sorted(maps.Keys(byRegion)), func(a, b string) int {
		return cmp.Compare(len(byRegion[a]), len(byRegion[b]))
	})
	byRegion[largest] = append(byRegion[largest], unassigned...)
	return byRegion
}

// FoundingEpoch is the epoch of the set of voters that founded a cell.
const FoundingEpoch = 1

// spreadOverCells distributes the machines evenly over as many cells as their number allows.
func spreadOverCells(nodes []Node, tolerate int) Layout {
	nodes = sortedByZone(nodes)
	size := max(minCellSize, 2*tolerate+2)
	layout := Layout{Cells: max(1, len(nodes)/size)}
	layout.Founding = make([]Set, layout.Cells)
	for index, node := range nodes {
		set := &layout.Founding[index%layout.Cells]
		set.Epoch = FoundingEpoch
		set.Voters = append(set.Voters, Voter{Node: node.Name, Disk: node.Disk})
	}
	return layout
}

// sortedByZone returns the machines ordered by zone, then by name.
func sortedByZone(nodes []Node) []Node {
	return slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
}

// Region returns the region that a cell is bound to, or "".
func (l Layout) Region(cell int) string {
	if cell < 0 || cell >= len(l.Regions) {
		return ""
	}
	return l.Regions[cell]
}

// CellsIn returns the cells that are bound to a region.
func (l Layout) CellsIn(region string) []int {
	var cells []int
	for cell, bound := range l.Regions {
		if bound == region {
			cells = append(cells, cell)
		}
	}
	return cells
}

// FaultTolerance returns how many voters the set can lose and still have a quorum.
func (s Set) FaultTolerance() int { return max(0, len(s.Voters)-s.Quorum()) }
