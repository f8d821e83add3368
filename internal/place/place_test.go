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

func TestHomesBindTogether(t *testing.T) {
	anywhere, first, second := Homes{}, HomesOf([]string{"a", "b"}), HomesOf([]string{"b", "c"})
	require.True(t, anywhere.Allow("z"))
	require.False(t, HomesOf(nil).Limited)
	require.True(t, first.And(anywhere).Allow("a"))
	both := first.And(second)
	require.True(t, both.Allow("b"))
	require.False(t, both.Allow("a"))
	require.False(t, both.Allow(""))
	nowhere := first.And(HomesOf([]string{"c"}))
	require.True(t, nowhere.Limited)
	require.False(t, nowhere.Allow("a"))
}
