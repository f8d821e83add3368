package place

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDistanceFollowsRegions(t *testing.T) {
	zones := Map{"a1": "a", "a2": "a", "b1": "b"}
	require.Equal(t, SameZone, zones.Distance("a1", "a1"))
	require.Equal(t, SameRegion, zones.Distance("a1", "a2"))
	require.Equal(t, OtherRegion, zones.Distance("a1", "b1"))
	require.Equal(t, SameRegion, zones.Distance("a1", "unlisted"))
	require.Equal(t, SameRegion, Map(nil).Distance("x", "y"))
	require.Equal(t, []string{"a", "b"}, zones.Regions())
}

func TestHomesIntersect(t *testing.T) {
	anywhere, first, second := Homes{}, HomesOf([]string{"a", "b"}), HomesOf([]string{"b", "c"})
	require.True(t, anywhere.Allows("z"))
	require.False(t, HomesOf(nil).Limited)
	require.True(t, first.Intersect(anywhere).Allows("a"))
	both := first.Intersect(second)
	require.True(t, both.Allows("b"))
	require.False(t, both.Allows("a"))
	require.False(t, both.Allows(""))
	nowhere := first.Intersect(HomesOf([]string{"c"}))
	require.True(t, nowhere.Limited)
	require.False(t, nowhere.Allows("a"))
}
