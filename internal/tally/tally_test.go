package tally

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTallyToleratesRepeatedAndLostReports(t *testing.T) {
	now := time.Unix(1000, 0)
	sums := New[string](time.Second)
	a, zone := Source{Gateway: "a"}, Source{Zone: "z"}
	sums.Replace(now, a, map[string]float64{"x": 2})
	sums.Replace(now, a, map[string]float64{"x": 3, "y": 0.1})
	sums.Replace(now, a, map[string]float64{"x": 3, "y": 0.1})
	sums.Replace(now, zone, map[string]float64{"x": 4})
	require.Equal(t, 7.0, sums.Sums(now)["x"])
	require.Equal(t, map[string]float64{"x": 5, "y": 0.1, "own": 1}, sums.ZoneTotals(now, map[string]float64{"x": 2, "own": 1}),
		"figures of other zones are not reported as this zone's")
	sums.Replace(now, a, map[string]float64{"x": 1})
	require.Equal(t, map[string]float64{"x": 5}, sums.Sums(now))
}

func TestTallyExpiresSilentSources(t *testing.T) {
	now := time.Unix(1000, 0)
	sums := New[string](time.Second)
	sums.Replace(now, Source{Gateway: "a"}, map[string]float64{"x": 2})
	sums.Replace(now.Add(900*time.Millisecond), Source{Gateway: "b"}, map[string]float64{"x": 5})
	require.Equal(t, 7.0, sums.Sums(now.Add(time.Second))["x"])
	require.Equal(t, 5.0, sums.Sums(now.Add(1100 * time.Millisecond))["x"])
	require.Zero(t, sums.SourceCount(now.Add(3*time.Second)))
}

func TestVersionBefore(t *testing.T) {
	require.True(t, Version{Started: 1, Number: 9}.Before(Version{Started: 2, Number: 1}), "a restarted process starts its numbers again")
	require.True(t, Version{Started: 1, Number: 1}.Before(Version{Started: 1, Number: 2}))
	require.False(t, Version{Started: 1, Number: 2}.Before(Version{Started: 1, Number: 2}))
}
