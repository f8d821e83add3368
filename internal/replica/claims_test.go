package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A replica with an empty disk lacks all turns and every peer has them; each turn must be fetched
// only once.
func TestTurnIsFetchedFromOnePeer(t *testing.T) {
	const turns, peers, limit = 1000, 8, 30
	start := time.Unix(1000, 0)
	var missing []string
	for number := range turns {
		missing = append(missing, fmt.Sprint("t", number))
	}
	turnClaims := newClaims()
	fetched := map[string]int{}
	silent := turnClaims.acquire(start, "silent", missing, limit)
	require.Len(t, silent, limit)
	fetch := func(now time.Time, peer string) int {
		var remaining []string
		for _, turn := range missing {
			if fetched[turn] == 0 {
				remaining = append(remaining, turn)
			}
		}
		acquired := turnClaims.acquire(now, peer, remaining, limit)
		for _, turn := range acquired {
			fetched[turn]++
		}
		turnClaims.release(peer, acquired)
		return len(acquired)
	}
	for round := 0; round < 2*turns; round++ {
		fetch(start, fmt.Sprint("p", round%peers))
	}
	require.Len(t, fetched, turns-limit, "turns that another peer has claimed are skipped")
	later := start.Add(requestRetryDelay)
	require.Equal(t, limit, fetch(later, "p0"), "a claim expires when the reply is overdue")
	require.Len(t, fetched, turns)
	for turn, times := range fetched {
		require.Equal(t, 1, times, turn)
	}
	require.Len(t, turnClaims.byTurn, 0)
}
