package replicaset

import (
	"cmp"
	"maps"
	"slices"

	"swiftbank.dev/swiftbank/internal/place"
)

// NewLayout deals the machines to cells so that each cell has machines of as many
// zones as possible, and enough of them to lose the tolerated number. With places of two
// regions or more, each region's machines found cells of their own: a quorum is then
// reached without the way between regions. The nil map binds no cell to a region.
func NewLayout(nodes []Node, tolerate int, places place.Map) Layout {
	byRegion := dealToRegions(nodes, places)
	if len(byRegion) < 2 {
		return deal(nodes, tolerate)
	}
	var layout Layout
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		part := deal(byRegion[region], tolerate)
		layout.Cells += part.Cells
		layout.Founding = append(layout.Founding, part.Founding...)
		layout.Regions = append(layout.Regions, slices.Repeat([]string{region}, part.Cells)...)
	}
	return layout
}

// dealToRegions groups the machines. Those in a zone of unknown region go to the region
// with the fewest machines: only a known boundary is one.
func dealToRegions(nodes []Node, places place.Map) map[string][]Node {
	byRegion := map[string][]Node{}
	var unknown []Node
	for _, node := range sorted(nodes) {
		if region := places.Region(node.Zone); region != "" {
			byRegion[region] = append(byRegion[region], node)
		} else {
			unknown = append(unknown, node)
		}
	}
	if len(byRegion) == 0 {
		return nil
	}
	for _, node := range unknown {
		fewest := slices.MinFunc(slices.Sorted(maps.Keys(byRegion)), func(a, b string) int {
			return cmp.Compare(len(byRegion[a]), len(byRegion[b]))
		})
		byRegion[fewest] = append(byRegion[fewest], node)
	}
	return byRegion
}

// deal spreads machines over as many cells as their number allows.
func deal(nodes []Node, tolerate int) Layout {
	nodes = sorted(nodes)
	size := max(smallestCell, 2*tolerate+2)
	layout := Layout{Cells: max(1, len(nodes)/size)}
	layout.Founding = make([]Set, layout.Cells)
	for place, node := range nodes {
		set := &layout.Founding[place%layout.Cells]
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

// LossesBorne returns how many voters the set may lose and still have a quorum.
func (s Set) LossesBorne() int { return max(0, len(s.Voters)-s.Quorum()) }
