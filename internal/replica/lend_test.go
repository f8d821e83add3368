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

// lenderOn returns a replica with the given disk that knows a tenant of five requests a second.
// Its loop is not run: the test is its owner.
func lenderOn(t *testing.T, folder string, policy quota.Policy) *Server {
	s, err := New(Options{
		Node: "r", Zone: "z", DataFolder: folder, DiskMB: 8, Quota: policy,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	require.NoError(t, err)
	s.lender.SetTenants(tenant.NewIndex([]tenant.Tenant{{Name: "t", Limit: tenant.Limit{PerSecond: 5}}}))
	return s
}

// runDisk makes the replica's records durable until the returned function is called.
func runDisk(s *Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.syncer.run(ctx) }()
	return func() { cancel(); <-done; _ = s.syncer.log.Close() }
}

func (s *Server) lendNow(most int) <-chan int {
	answers := make(chan int, 1)
	s.lend(ledger.Request{Borrow: &quota.Borrow{Tenant: "t", Waiting: most}}, func(reply ledger.Reply) { answers <- reply.Loan.Waiting })
	return answers
}

// A voter that lost power must not lend again what it lent a moment before.
func TestWhatWasLentOutlivesARestart(t *testing.T) {
	folder := t.TempDir()
	policy := quota.Policy{Window: time.Hour}
	first := lenderOn(t, folder, policy)
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "r", Disk: first.state.Disk()}}}
	output := first.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: set}})
	first.persist(append(output.Records, ledger.Record{Disk: first.state.Disk()}), nil)
	first.resumeLending(nil)
	stop := runDisk(first)
	require.Equal(t, 4000, <-first.lendNow(4000))
	stop()

	second := lenderOn(t, folder, policy)
	stop = runDisk(second)
	require.Equal(t, 5*3600/2-4000, <-second.lendNow(1_000_000), "by the share of two voters for a window, less what was lent")
	stop()
	third := lenderOn(t, folder, policy)
	defer runDisk(third)()
	require.Zero(t, <-third.lendNow(1), "the log that was written anew at the restart holds it too")
}

// A disk that stands still holds the answer back: what is not on it would be lent again.
func TestAnAnswerWaitsForTheDisk(t *testing.T) {
	s := lenderOn(t, t.TempDir(), quota.Policy{Window: time.Hour})
	set := replicaset.Set{Epoch: 1, Voters: []replicaset.Voter{{Node: "r", Disk: s.state.Disk()}}}
	s.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: set}})
	s.resumeLending(nil)
	answer := s.lendNow(1)
	require.Empty(t, answer)
	defer runDisk(s)()
	require.Equal(t, 1, <-answer)
}

// A voter that had been taken out and was cut off together with gateways went on to lend its share
// of tenants' limits, which the others had taken over.
func TestAVoterThatIsCutOffLendsNothing(t *testing.T) {
	s := lenderOn(t, t.TempDir(), quota.Policy{Window: time.Second})
	voters := []replicaset.Voter{{Node: "r", Disk: s.state.Disk()}, {Node: "a", Disk: "disk-a"}, {Node: "b", Disk: "disk-b"}}
	s.state.Step(time.Now(), ledger.Request{Adopt: &ledger.Adopt{Set: replicaset.Set{Epoch: 1, Voters: voters}}})
	lends := func() bool {
		answers := make(chan quota.Loan, 1)
		s.lend(ledger.Request{Borrow: &quota.Borrow{Tenant: "t", Waiting: 1}}, func(reply ledger.Reply) { answers <- *reply.Loan })
		return !(<-answers).Unable
	}
	require.False(t, lends(), "it has heard of nobody yet")
	s.peers["a"] = &peerState{disk: "disk-a", heardAt: time.Now()}
	require.True(t, lends(), "two of three voters are a quorum")
	s.peers["a"].heardAt = time.Now().Add(-replicaset.UnreachableTimeout)
	require.False(t, lends(), "the others may have taken it out")
	s.members.newsFresh = true
	require.True(t, lends(), "the store would tell of a newer set")
	s.tickedAt = time.Now().Add(-replicaset.UnreachableTimeout - time.Second)
	require.False(t, lends(), "it stood still meanwhile")
	s.peers["b"] = &peerState{disk: "another disk", heardAt: time.Now()}
	require.False(t, lends(), "a machine that lost its disk is no voter")
}
