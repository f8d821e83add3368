package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowdownIsLearnedByTheRequestsAtAnInstance(t *testing.T) {
	var learned slowdown
	require.Equal(t, 1.0, learned.at(1), "nothing is known")
	require.Equal(t, 1.0, learned.bearable(1.5))
	const slots = 6
	for load := range slots + 3 {
		for range 3 * slowdownLeast {
			learned.observe(time.Duration(100+20*load)*time.Millisecond, load, slots)
		}
	}
	require.InDelta(t, 1.0, learned.at(0), 0.01)
	require.InDelta(t, 1.6, learned.at(0.5), 0.01, "three others")
	require.Greater(t, learned.at(1), 2.0)
	require.InDelta(t, 0.5, learned.bearable(1.5), 0.01)
	require.Equal(t, 1.0, learned.bearable(10))
}
