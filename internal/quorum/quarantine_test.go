package quorum

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// startCell returns the replicas of one cell, and a gateway's Cells for it.
func startQuarantineCell(t *testing.T) ([]*fakeReplica, *Cells) {
	replicas := []*fakeReplica{startReplica(t, "a", "127.0.0.1:0"), startReplica(t, "b", "127.0.0.1:0"), startReplica(t, "c", "127.0.0.1:0")}
	cell := 0
	nodes := map[string]replicaset.Node{}
	for _, replica := range replicas {
		replica.node.Cell = &cell
		nodes[replica.node.Name] = replica.node
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cells := NewCells(ctx, "g", "a", place.Map{}, discardLogger())
	cells.SetMembership(replicaset.Membership{
		HasLayout: true, Layout: replicaset.Layout{Cells: 1}, Sets: []replicaset.Set{setOf(1, replicas...)}, Replicas: nodes,
	})
	require.Eventually(t, cells.Reachable, 20*time.Second, time.Millisecond)
	return replicas, cells
}

var lethal = quarantine.Key{1}

func endedRun(id string) quarantine.Run {
	return quarantine.Run{ID: id, Instance: "i-" + id, Born: 7, Outcome: quarantine.Ended}
}

func TestRecordedRunsAreReadByOtherGateways(t *testing.T) {
	_, cells := startQuarantineCell(t)
	known, err := cells.RecordRun(t.Context(), lethal, endedRun("1"), 2)
	require.NoError(t, err)
	require.Equal(t, []quarantine.Run{endedRun("1")}, known)
	running := endedRun("2")
	running.Outcome = quarantine.Running
	_, err = cells.RecordRun(t.Context(), lethal, running, 2)
	require.NoError(t, err)
	known, err = cells.RecordRun(t.Context(), lethal, endedRun("2"), 2)
	require.NoError(t, err)
	require.ElementsMatch(t, []quarantine.Run{endedRun("1"), endedRun("2")}, known)
	_, err = cells.RecordRun(t.Context(), quarantine.Key{2}, endedRun("3"), 2)
	require.NoError(t, err)

	records, err := cells.ReadQuarantine(t.Context())
	require.NoError(t, err)
	table := quarantine.NewTable()
	for _, record := range records {
		table.Merge(time.Now(), record.Key, record.Runs...)
	}
	require.Equal(t, 2, table.Standing(time.Now(), lethal, "").Ended)
	require.Equal(t, 1, table.Standing(time.Now(), quarantine.Key{2}, "").Ended)
}

func TestReadQuarantineWithoutRecords(t *testing.T) {
	_, cells := startQuarantineCell(t)
	records, err := cells.ReadQuarantine(t.Context())
	require.NoError(t, err)
	require.Empty(t, records)
}

// Of two gateways that record the last run that is allowed at the same time, at least one must see the other's.
func TestConcurrentRunsDoNotMissEachOther(t *testing.T) {
	for number := range 20 {
		_, cells := startQuarantineCell(t)
		key := quarantine.Key{byte(number)}
		results := make(chan int, 2)
		for _, id := range []string{"1", "2"} {
			go func() {
				known, err := cells.RecordRun(t.Context(), key, endedRun(id), 2)
				if err != nil {
					results <- 0
					return
				}
				results <- len(known)
			}()
		}
		require.Equal(t, 2, max(<-results, <-results))
	}
}

func TestRecordRunWithoutQuorumReportsIt(t *testing.T) {
	replicas, cells := startQuarantineCell(t)
	for _, replica := range replicas[:2] {
		replica.server.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := cells.RecordRun(ctx, lethal, endedRun("1"), 2)
	require.ErrorIs(t, err, ErrNoQuorum)
}

func TestRunsOfAProgramComeWithItsNextReservation(t *testing.T) {
	_, cells := startQuarantineCell(t)
	client := cells.ForProgram("p", place.Homes{})
	client.Settle("p", ledger.ProgramRunCharge(lethal, endedRun("1")), time.Minute)
	reserve := ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 5}, Retention: time.Minute}
	require.Eventually(t, func() bool {
		reservation, err := client.Reserve(t.Context(), reserve)
		require.NoError(t, err)
		defer reservation.StopRetrying()
		require.Zero(t, reservation.OtherTurnTokens)
		require.Empty(t, reservation.RunsOf(func() quarantine.Key { return quarantine.Key{2} }))
		return len(reservation.RunsOf(func() quarantine.Key { return lethal })) == 1
	}, 20*time.Second, time.Millisecond)
}
