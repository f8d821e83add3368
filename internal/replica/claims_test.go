package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A replica with an empty disk lacks all turns and every peer has them: each is fetched once.
func TestATurnIsFetchedFromOnePeer(t *testing.T) {
	const turns, peers, most = 1000, 8, 30
	start := time.Unix(1000, 0)
	var missing []string
	for number := range turns {
		missing = append(missing, fmt.Sprint("t", number))
	}
	wanted := newClaims()
	fetched := map[string]int{}
	silent := wanted.take(start, "silent", missing, most)
	require.Len(t, silent, most)
	fetch := func(now time.Time, peer string) int {
		var left []string
		for _, turn := range missing {
			if fetched[turn] == 0 {
				left = append(left, turn)
			}
		}
		taken := wanted.take(now, peer, left, most)
		for _, turn := range taken {
			fetched[turn]++
		}
		wanted.release(peer, taken)
		return len(taken)
	}
	for round := 0; round < 2*turns; round++ {
		fetch(start, fmt.Sprint("p", round%peers))
	}
	require.Len(t, fetched, turns-most, "what another peer was asked for is left to it")
	later := start.Add(askAgainAfter)
	require.Equal(t, most, fetch(later, "p0"), "until its answer is overdue")
	require.Len(t, fetched, turns)
	for turn, times := range fetched {
		require.Equal(t, 1, times, turn)
	}
	require.Len(t, wanted.byTurn, 0)
}
