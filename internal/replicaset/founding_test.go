package replicaset

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/place"
)

var twoRegions = place.Map{"x": "east", "y": "east", "z": "east", "u": "west", "v": "west", "w": "west"}

func TestNewLayoutFoundsCellsForEachRegion(t *testing.T) {
	cases := map[string]struct {
		zones    []string
		tolerate int
		places   place.Map
		// regions, voters and losses are the region, the number of voters and the tolerated losses
		// of each cell.
		regions []string
		voters  []int
		losses  []int
	}{
		"five and four":              {[]string{"x", "x", "y", "y", "z", "u", "u", "v", "w"}, 2, twoRegions, []string{"east", "west"}, []int{5, 4}, []int{2, 1}},
		"one and eight":              {[]string{"x", "u", "u", "u", "v", "v", "v", "w", "w"}, 2, twoRegions, []string{"west"}, []int{9}, []int{4}},
		"one and eight, one loss":    {[]string{"x", "u", "u", "u", "v", "v", "v", "w", "w"}, 1, twoRegions, []string{"west", "west"}, []int{5, 4}, []int{2, 1}},
		"several cells in a region":  {[]string{"x", "y", "z", "x", "y", "z", "x", "y", "u", "v"}, 1, twoRegions, []string{"east", "east", "west"}, []int{4, 4, 2}, []int{1, 1, 0}},
		"a zone of unknown region":   {[]string{"x", "y", "z", "u", "v", "?"}, 1, twoRegions, []string{"east", "west"}, []int{4, 2}, []int{1, 0}},
		"too few in every region":    {[]string{"x", "y", "u", "v"}, 2, twoRegions, nil, []int{4}, []int{1}},
		"machines in one region":     {[]string{"x", "y", "z", "x"}, 1, twoRegions, []string{"east"}, []int{4}, []int{1}},
		"cells not bound to regions": {[]string{"x", "y", "z", "u", "v", "w"}, 1, nil, nil, []int{6}, []int{2}},
		"no zone of a known region":  {[]string{"?", "!", "?"}, 1, twoRegions, nil, []int{3}, []int{1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			nodes := nodesIn(c.zones...)
			layout := NewLayout(nodes, c.tolerate, c.places)
			require.Equal(t, c.regions, layout.Regions)
			zoneOf := map[string]string{}
			for _, node := range nodes {
				zoneOf[node.Name] = node.Zone
			}
			for cell, set := range layout.Founding {
				require.Len(t, set.Voters, c.voters[cell])
				require.Equal(t, c.losses[cell], set.FaultTolerance())
				for _, voter := range set.Voters {
					region := c.places.Region(zoneOf[voter.Node])
					bound := layout.Region(cell)
					small := c.zones[0] == "x" && region == "east" && !slices.Contains(c.regions, region)
					require.True(t, region == "" || bound == "" || region == bound || small)
				}
			}
			slices.Reverse(nodes)
			require.Equal(t, layout, NewLayout(nodes, c.tolerate, c.places), "the layout does not depend on the order of the nodes")
			decoded, err := DecodeLayout(layout.Encode())
			require.NoError(t, err)
			require.Equal(t, layout, decoded)
		})
	}
}

func TestDecodeLayoutWithoutRegions(t *testing.T) {
	layout, err := DecodeLayout([]byte(`{"cells":1,"founding":[{"epoch":1,"voters":[{"node":"a","disk":"d"}]}]}`))
	require.NoError(t, err)
	require.Empty(t, layout.Region(0))
	require.Empty(t, layout.CellsIn("east"))
	_, err = DecodeLayout([]byte(`{"cells":1,"founding":[{}],"regions":["east","west"]}`))
	require.Error(t, err, "the number of regions differs from the number of cells")
}

func TestChooseCellPrefersOwnRegion(t *testing.T) {
	layout := Layout{Cells: 2, Regions: []string{"east", "west"}}
	sets := []Set{{Voters: voters("a", "b", "c", "d", "e")}, {Voters: voters("f")}}
	added := Node{Name: "new", Disk: "new", Zone: "x"}
	require.Equal(t, 0, ChooseCell(added, "east", layout, sets, nil), "although the other cell has fewer voters")
	require.Equal(t, 1, ChooseCell(added, "west", layout, sets, nil))
	require.Equal(t, 1, ChooseCell(added, "north", layout, sets, nil), "a node of a region without a cell joins the cell with the fewest voters")
	returned := Node{Name: "f", Disk: "new", Zone: "x"}
	require.Equal(t, 1, ChooseCell(returned, "east", layout, sets, nil), "a machine stays in its cell")
}
