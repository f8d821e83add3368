package replica

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// newLender returns a replica on the given disk that knows a tenant with a limit of five requests a
// second. Its loop does not run; the test calls its methods instead.
func newLender(t testing.TB, folder string, policy quota.Policy) *Server {
	s, err := New(Options{
		Node: "r", Zone: "z", DataFolder: folder, DiskMB: 8, Quota: policy,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	require.NoError(t, err)
	s.lender.SetTenants(tenant.NewIndex([]tenant.Tenant{{Name: "t", Limit: tenant.Limit{PerSecond: 5}}}))
	return s
}

// startSyncer writes the replica's records to the disk until the returned function is called.
func startSyncer(s *Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.syncer.run(ctx) }()
	return func() { cancel(); <-done; _ = s.syncer.log.Close() }
}

func (s *Server) lendNow(count int) <-chan int {
	answers := make(chan int, 1)
	s.lend(ledger.Request{Borrow: &quota.Borrow{Tenant: "t", Waiting: count}}, func(reply ledger.Reply) { answers <- reply.Loan.Waiting })
	return answers
}

// A voter that restarts after a power failure must not lend the same allowances again.
func TestLendingsSurviveRestart(t *testing.T) {
	folder := t.TempDir()
	policy := quota.Policy{Window: time.Hour}
	first := newLender(t, folder, policy)
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "r", Disk: first.state.Disk()}}}
	output := first.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: set}})
	first.persist(append(output.Records, ledger.Record{Disk: first.state.Disk()}), nil)
	first.resumeLending(nil)
	stop := startSyncer(first)
	require.Equal(t, 4000, <-first.lendNow(4000))
	stop()

	second := newLender(t, folder, policy)
	stop = startSyncer(second)
	require.Equal(t, 5*3600/2-4000, <-second.lendNow(1_000_000), "the share of two voters for a window, less the lendings before the restart")
	stop()
	third := newLender(t, folder, policy)
	defer startSyncer(third)()
	require.Zero(t, <-third.lendNow(1), "the snapshot written at the restart contains the lendings")
}

// The reply waits until the lending is on the disk; otherwise a restart would lend the same
// allowances again.
func TestLoanWaitsForDiskSync(t *testing.T) {
	s := newLender(t, t.TempDir(), quota.Policy{Window: time.Hour})
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "r", Disk: s.state.Disk()}}}
	s.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: set}})
	s.resumeLending(nil)
	answer := s.lendNow(1)
	require.Empty(t, answer)
	defer startSyncer(s)()
	require.Equal(t, 1, <-answer)
}

// A voter that was removed while it was isolated together with some gateways continued to lend its
// share of the tenants' limits, which the others had taken over.
func TestIsolatedVoterLendsNothing(t *testing.T) {
	s := newLender(t, t.TempDir(), quota.Policy{Window: time.Second})
	defer startSyncer(s)()
	voters := []replicaset.Voter{{Node: "r", Disk: s.state.Disk()}, {Node: "a", Disk: "disk-a"}, {Node: "b", Disk: "disk-b"}}
	s.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: replicaset.Set{Epoch: 1, Voters: voters}}})
	lends := func() bool {
		answers := make(chan quota.Loan, 1)
		s.lend(ledger.Request{Borrow: &quota.Borrow{Tenant: "t", Waiting: 1}}, func(reply ledger.Reply) { answers <- *reply.Loan })
		return !(<-answers).Unable
	}
	require.False(t, lends(), "it has not heard from any other voter")
	s.peers["a"] = &peerState{disk: "disk-a", lastReplyAt: time.Now()}
	require.True(t, lends(), "two of three voters are a quorum")
	s.peers["a"].lastReplyAt = time.Now().Add(-replicaset.UnreachableTimeout)
	require.False(t, lends(), "the others may have removed it")
	s.members.registryFresh = true
	require.True(t, lends(), "a fresh view of the registry would show a newer set")
	s.tickedAt = time.Now().Add(-replicaset.UnreachableTimeout - time.Second)
	require.False(t, lends(), "the process was paused")
	s.peers["b"] = &peerState{disk: "another disk", lastReplyAt: time.Now()}
	require.False(t, lends(), "a machine that lost its disk is not a voter")
}
