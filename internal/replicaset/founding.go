package replicaset

import (
	"cmp"
	"maps"
	"slices"

	"swiftbank.dev/swiftbank/internal/place"
)

// NewLayout divides the machines into cells so that each cell has machines of as many
// zones as possible, and enough of them to lose the tolerated number. With places of two
// regions or more, the machines of each region found cells of their own: a quorum is then
// reached without a round trip between regions. A region with too few of them for that founds
// none, and its machines go to the cells of the region that has the most. The nil map binds
// no cell to a region.
func NewLayout(nodes []Node, tolerate int, places place.Map) Layout {
	if len(places.Regions()) < 2 {
		return deal(nodes, tolerate)
	}
	byRegion := dealToRegions(nodes, tolerate, places)
	var layout Layout
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		part := deal(byRegion[region], tolerate)
		layout.Cells += part.Cells
		layout.Founding = append(layout.Founding, part.Founding...)
		layout.Regions = append(layout.Regions, slices.Repeat([]string{region}, part.Cells)...)
	}
	if layout.Cells == 0 {
		return deal(nodes, tolerate)
	}
	return layout
}

// fewestForCells is how many machines a region needs for cells of its own: with twice the
// tolerated number, a quorum has one disk more than may be lost, so what it accepted
// outlasts that loss, though the cell may accept nothing until a machine returns.
func fewestForCells(tolerate int) int { return max(1, 2*tolerate) }

// dealToRegions groups the machines by the region whose cells they found. Those of a region
// that founds none, or of no known region, go to the one with the most machines.
func dealToRegions(nodes []Node, tolerate int, places place.Map) map[string][]Node {
	byRegion := map[string][]Node{}
	for _, node := range sorted(nodes) {
		region := places.Region(node.Zone)
		byRegion[region] = append(byRegion[region], node)
	}
	var others []Node
	for region, part := range byRegion {
		if region == "" || len(part) < fewestForCells(tolerate) {
			others = append(others, part...)
			delete(byRegion, region)
		}
	}
	if len(byRegion) == 0 {
		return nil
	}
	most := slices.MaxFunc(slices.Sorted(maps.Keys(byRegion)), func(a, b string) int {
		return cmp.Compare(len(byRegion[a]), len(byRegion[b]))
	})
	byRegion[most] = append(byRegion[most], others...)
	return byRegion
}

// deal spreads machines over as many cells as their number allows.
func deal(nodes []Node, tolerate int) Layout {
	nodes = sorted(nodes)
	size := max(smallestCell, 2*tolerate+2)
	layout := Layout{Cells: max(1, len(nodes)/size)}
	layout.Founding = make([]Set, layout.Cells)
	for index, node := range nodes {
		set := &layout.Founding[index%layout.Cells]
		set.Epoch = 1
		set.Voters = append(set.Voters, Voter{Node: node.Name, Disk: node.Disk})
	}
	return layout
}

// sorted returns the machines in the order of zones and names.
func sorted(nodes []Node) []Node {
	return slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
}

// Region returns the region that a cell is bound to, "" if none.
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

// FaultTolerance returns how many voters the set may lose and still have a quorum.
func (s Set) FaultTolerance() int { return max(0, len(s.Voters)-s.Quorum()) }
