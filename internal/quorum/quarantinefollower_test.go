package quorum

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// followedTable holds what a follower was told.
type followedTable struct {
	mu    sync.Mutex
	table *quarantine.Table
}

func (f *followedTable) changed(records []quarantine.Record, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		f.table.Merge(time.Now(), record.Key, record.Runs...)
	}
}

func (f *followedTable) ended(key quarantine.Key) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Standing(time.Now(), key, "").Ended
}

// startFollower follows a cell until the test ends.
func startFollower(t *testing.T, cells *Cells) (*QuarantineFollower, *followedTable) {
	told := &followedTable{table: quarantine.NewTable()}
	follower := cells.NewQuarantineFollower("g/1", told.changed)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return follower, told
}

func TestFollowerIsToldWhatOtherGatewaysRecord(t *testing.T) {
	_, cells := startQuarantineCell(t)
	follower, told := startFollower(t, cells)
	require.Eventually(t, func() bool { return time.Since(follower.KnownAt()) < renewInterval }, 20*time.Second, time.Millisecond)
	require.NoError(t, cells.ShareRun(t.Context(), lethal, endedRun("1")))
	require.Eventually(t, func() bool { return told.ended(lethal) == 1 }, 20*time.Second, time.Millisecond)
	require.Zero(t, follower.GatewayLostAt())
}

func TestKnowledgeAgesWithoutAQuorum(t *testing.T) {
	replicas, cells := startQuarantineCell(t)
	follower, told := startFollower(t, cells)
	require.Eventually(t, func() bool { return !follower.KnownAt().IsZero() }, 20*time.Second, time.Millisecond)
	replicas[0].server.Close()
	after := time.Now()
	require.Eventually(t, func() bool { return follower.KnownAt().After(after) }, 20*time.Second, time.Millisecond, "two of three are a quorum")
	replicas[1].server.Close()
	<-time.After(100 * time.Millisecond)
	lost := time.Now()
	<-time.After(2 * renewInterval)
	require.True(t, follower.KnownAt().Before(lost))
	require.Zero(t, told.ended(lethal))
}

func TestRepliesThatLeaveAGapConfirmNothing(t *testing.T) {
	follower := (&Cells{}).NewQuarantineFollower("g/1", func([]quarantine.Record, bool) {})
	position := func(boot string, number uint64) ledger.QuarantinePosition {
		return ledger.QuarantinePosition{Boot: boot, Position: number}
	}
	followed := &followedVoter{renewal: 2, renewedAt: time.Unix(1000, 0)}
	require.True(t, follower.advance(followed, &ledger.QuarantineReply{Next: position("a", 5), Renewal: 1}))
	require.Zero(t, followed.confirmedAt, "it answers an earlier request")
	require.True(t, follower.advance(followed, &ledger.QuarantineReply{After: position("a", 5), Next: position("a", 6), Renewal: 2, More: true}))
	require.Zero(t, followed.confirmedAt, "there is more")
	require.False(t, follower.advance(followed, &ledger.QuarantineReply{After: position("a", 7), Next: position("a", 8), Renewal: 2}))
	require.Equal(t, position("a", 6), followed.position)
	require.False(t, follower.advance(followed, &ledger.QuarantineReply{After: position("b", 3), Next: position("b", 4), Renewal: 2}))
	require.True(t, follower.advance(followed, &ledger.QuarantineReply{After: position("b", 0), Next: position("b", 4), Renewal: 2}), "of another run, from its start")
	require.Equal(t, position("b", 4), followed.position)
	require.Equal(t, followed.renewedAt, followed.confirmedAt)
	require.True(t, follower.advance(followed, &ledger.QuarantineReply{After: position("b", 1), Next: position("b", 2), Renewal: 2}), "overtaken by a newer one")
	require.Equal(t, position("b", 4), followed.position)
}

// A voter of an earlier version sends all records with each reply.
func TestVoterOfAnEarlierVersionConfirmsWithEachReply(t *testing.T) {
	follower := (&Cells{}).NewQuarantineFollower("g/1", func([]quarantine.Record, bool) {})
	followed := &followedVoter{renewal: 3, renewedAt: time.Unix(1000, 0)}
	require.True(t, follower.advance(followed, &ledger.QuarantineReply{}))
	require.Equal(t, followed.renewedAt, followed.confirmedAt)
}

func TestRecordsOfTheTimeBeforeAreToldApart(t *testing.T) {
	var first []bool
	follower := (&Cells{}).NewQuarantineFollower("g/1", func(_ []quarantine.Record, isFirst bool) { first = append(first, isFirst) })
	client := &Client{}
	followed := &followedVoter{client: client, operation: &operation{}, renewal: 1}
	apply := func(after, next uint64, more bool) {
		reply := &ledger.QuarantineReply{
			Records: []quarantine.Record{{}}, Renewal: 1, More: more,
			After: ledger.QuarantinePosition{Boot: "a", Position: after}, Next: ledger.QuarantinePosition{Boot: "a", Position: next},
		}
		followed.operation.changes = append(followed.operation.changes, reply)
		follower.apply(followed)
	}
	apply(0, 5, true)
	apply(5, 8, false)
	apply(8, 9, false)
	require.Equal(t, []bool{true, true, false}, first)
}
