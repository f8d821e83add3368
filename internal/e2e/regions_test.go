package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTwoRegions runs a fleet of two regions: one gateway in each, four replicas in the
// first and two in the second.
func TestTwoRegions(t *testing.T) {
	f := startFleetOf(t, fleetLayout{gateways: 2, replicas: 6, engines: 2, apps: 1, regions: map[string]string{
		zones[0]: "east", zones[1]: "west", zones[2]: "east",
	}})
	east, west := f.gateways[0], f.gateways[1]
	const budget, most = 400, 50
	turn := func(gateway *member, program, previous string) answered {
		return f.turn(gateway, turnRequest{path: "/chat/t", program: program, previous: previous, budget: budget, most: most, body: "x|"})
	}
	tokens := 10 * f.engines[0].EventCount
	require.Less(t, 2*tokens, budget/2, "a region's share must hold some turns")
	// spend runs turns in a region until one is refused, and returns the tokens handed out.
	spend := func(gateway *member, program string) (spent, refused int) {
		for {
			got := turn(gateway, program, "")
			if got.status != http.StatusOK {
				require.NotEqual(t, http.StatusNotFound, got.status)
				return spent, got.status
			}
			spent += tokens
		}
	}

	t.Run("a program goes on in the other region", func(t *testing.T) {
		program := f.newID()
		first := turn(west, program, "")
		require.Equal(t, http.StatusOK, first.status)
		second := turn(east, program, first.id)
		require.Equal(t, http.StatusOK, second.status, second.body)
		require.Equal(t, "x|"+f.engines[0].EventData(first.id)+"x|", runsOf(second.id, f.engines)[0].Body)
	})
	t.Run("a budget holds over regions", func(t *testing.T) {
		program := f.newID()
		inWest, refused := spend(west, program)
		require.Equal(t, http.StatusPaymentRequired, refused)
		require.Greater(t, inWest, budget/2, "one region may use more than its share")
		inEast, refused := spend(east, program)
		require.Equal(t, http.StatusPaymentRequired, refused)
		require.LessOrEqual(t, inWest+inEast, budget)
		require.Greater(t, inWest+inEast, budget-most, "and the whole budget is used")
	})
	t.Run("a region without replicas is served within the share", func(t *testing.T) {
		spentProgram, keptProgram := f.newID(), f.newID()
		spent, _ := spend(west, spentProgram)
		kept := turn(west, keptProgram, "")
		require.Equal(t, http.StatusOK, kept.status)
		f.kill(f.replicas[1])
		f.kill(f.replicas[4])
		require.Eventually(t, func() bool { return turn(west, f.newID(), "").status == http.StatusOK }, time.Minute, 50*time.Millisecond)
		for _, gateway := range f.gateways {
			require.Equal(t, http.StatusServiceUnavailable, turn(gateway, keptProgram, kept.id).status, "its turn lies in the lost region")
			inShare, refused := spend(gateway, spentProgram)
			spent += inShare
			require.Equal(t, http.StatusServiceUnavailable, refused, "the lost region may have charged more")
			require.LessOrEqual(t, spent, budget)
		}
		f.start(f.replicas[1])
		f.start(f.replicas[4])
		require.Eventually(t, func() bool { return turn(east, keptProgram, kept.id).status == http.StatusOK }, time.Minute, 50*time.Millisecond)
		require.Eventually(t, func() bool {
			_, refused := spend(east, spentProgram)
			return refused == http.StatusPaymentRequired
		}, time.Minute, 50*time.Millisecond)
	})
}
