package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
)

// While the disk stalls, a replica accepts requests up to its limit; it accepts requests again once
// the disk recovers.
func TestDiskQueueIsBounded(t *testing.T) {
	const commits, size = 100, 100_000
	s := newLender(t, t.TempDir(), quota.DefaultPolicy)
	require.Less(t, s.limits.disk, commits*size)
	commit := func(number int) ledger.Request {
		return ledger.Request{Commit: &ledger.Commit{Turn: &ledger.Turn{ID: fmt.Sprint(number), Input: make([]byte, size), Retention: time.Minute}}}
	}
	refused := 0
	for number := range commits {
		if s.overloaded(commit(number)) {
			refused++
			continue
		}
		s.persist(s.state.Step(time.Now(), commit(number)).Records, nil)
		require.LessOrEqual(t, s.syncer.waitingBytes(), s.limits.disk)
	}
	require.Positive(t, refused)
	require.Less(t, refused, commits)
	require.False(t, s.overloaded(ledger.Request{Inventory: &ledger.Inventory{}}), "requests that write nothing are answered")
	defer startSyncer(s)()
	require.Eventually(t, func() bool { return s.syncer.waitingBytes() == 0 }, 20*time.Second, time.Millisecond)
	require.False(t, s.overloaded(commit(commits)))
}
