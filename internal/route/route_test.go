package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableMatchesLongestPrefix(t *testing.T) {
	table := NewTable(1, []*Route{
		{Name: "short", Host: "a.test", Prefix: "/x/"}, {Name: "long", Host: "A.test", Prefix: "/x/y/"}, {Name: "other", Host: "b.test", Prefix: "/"},
	}, nil, Limits{})
	require.Equal(t, "short", table.Match("a.test", "/x/z").Name)
	require.Equal(t, "long", table.Match("a.TEST:80", "/x/y/z").Name)
	require.Nil(t, table.Match("a.test", "/x"))
	require.Equal(t, "other", table.Match("b.test", "/x/y/").Name)
	require.Nil(t, table.Match("c.test", "/"))
}

func TestSplitterFollowsWeights(t *testing.T) {
	split := &Route{Name: "r", Targets: []Target{{"a", 90}, {"b", 10}, {"none", 0}}}
	splitter := NewSplitter("g")
	counts := map[string]int{}
	for range 1000 {
		counts[splitter.Next(split)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Equal(t, "", splitter.Next(&Route{Name: "empty", Targets: []Target{{"a", 0}, {"b", 0}}}))
}

// Fifty gateways send six requests each; all of them together must match the weights.
func TestManySplittersFollowWeightsTogether(t *testing.T) {
	split := &Route{Name: "r", Targets: []Target{{"a", 95}, {"b", 5}}}
	const gateways, requests = 50, 6
	counts := map[string]int{}
	for gateway := range gateways {
		splitter := NewSplitter(fmt.Sprintf("gateway-%d", gateway))
		for range requests {
			counts[splitter.Next(split)]++
		}
	}
	require.InDelta(t, 0.05*gateways*requests, counts["b"], 7)
}
