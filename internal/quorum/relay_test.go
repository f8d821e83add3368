package quorum

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// deadAddress returns an address on which nothing listens.
func deadAddress(t *testing.T) string {
	listener, err := peer.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	return address
}

// relayFleet has three replicas, a gateway that is disconnected from all of them, and relays.
type relayFleet struct {
	replicas     []*fakeReplica
	disconnected *Cells
	relays       *Relays
	gateways     map[string]replicaset.Node
}

func membershipOf(nodes []replicaset.Node, set replicaset.Set) replicaset.Membership {
	cell := 0
	membership := replicaset.Membership{
		HasLayout: true, Layout: replicaset.Layout{Cells: 1},
		Sets: []replicaset.Set{set}, Replicas: map[string]replicaset.Node{},
	}
	for _, node := range nodes {
		node.Cell = &cell
		membership.Replicas[node.Name] = node
	}
	return membership
}

func startRelayFleet(t *testing.T) *relayFleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &relayFleet{gateways: map[string]replicaset.Node{}}
	for i := range 3 {
		f.replicas = append(f.replicas, startReplica(t, fmt.Sprint("r", i), "127.0.0.1:0"))
	}
	var unreachableNodes []replicaset.Node
	for _, node := range nodesOf(f.replicas...) {
		node.Address = deadAddress(t)
		unreachableNodes = append(unreachableNodes, node)
	}
	f.relays = NewRelays(ctx, "cut", "r0", nil, discardLogger(), func() {})
	f.disconnected = NewCells(ctx, "g", "r0", nil, discardLogger())
	f.disconnected.UseRelays(f.relays)
	f.disconnected.SetMembership(membershipOf(unreachableNodes, setOf(1, f.replicas...)))
	return f
}

// addGateway starts a relay. If connected is false, it cannot reach the replicas either.
func (f *relayFleet) addGateway(t *testing.T, name string, connected bool) *Cells {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cells := NewCells(ctx, "g", "r0", nil, discardLogger())
	nodes := nodesOf(f.replicas...)
	if !connected {
		for i := range nodes {
			nodes[i].Address = deadAddress(t)
		}
	}
	cells.SetMembership(membershipOf(nodes, setOf(1, f.replicas...)))
	listener, err := peer.Listen(ctx, "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(listener, cells.Forward)
	go server.Run()
	t.Cleanup(server.Close)
	if connected {
		require.Eventually(t, cells.ForProgram("p", place.Homes{}).Ready, 20*time.Second, time.Millisecond)
	}
	f.gateways[name] = replicaset.Node{Name: name, Role: replicaset.RoleGateway, Address: listener.Addr().String(), Zone: "r0"}
	f.relays.SetGateways(f.gateways)
	return cells
}

func (f *relayFleet) reserve(t *testing.T, turn string, tokens int64) (*Reservation, error) {
	return f.disconnected.ForProgram("p", place.Homes{}).Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: turn, Tokens: tokens}, Retention: time.Minute,
	})
}

func TestDisconnectedGatewayReservesThroughRelay(t *testing.T) {
	f := startRelayFleet(t)
	f.addGateway(t, "g1", false)
	f.addGateway(t, "g2", true)
	reservation, err := f.reserve(t, "t1", 10)
	require.NoError(t, err)
	require.NoError(t, reservation.Durable(contextWithTimeout(t, 20*time.Second), 1))
	reservation.StopRetrying()
	second, err := f.reserve(t, "t2", 5)
	require.NoError(t, err)
	require.Equal(t, int64(10), second.OtherTurnTokens)
}

func TestDisconnectedGatewayWithoutRelaysFails(t *testing.T) {
	f := startRelayFleet(t)
	_, err := f.disconnected.ForProgram("p", place.Homes{}).Reserve(contextWithTimeout(t, 300*time.Millisecond), ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 10},
	})
	require.ErrorIs(t, err, ErrNoQuorum)
}

func TestRelayedCommitAndHistory(t *testing.T) {
	f := startRelayFleet(t)
	f.addGateway(t, "g1", true)
	turn := &ledger.Turn{ID: "t1", Input: []byte("in"), Output: []byte("out"), Instance: "i-1", Retention: time.Minute}
	commit := ledger.Commit{Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 3, Final: true}, Retention: time.Minute, Turn: turn}
	require.NoError(t, f.disconnected.ForProgram("p", place.Homes{}).Commit(contextWithTimeout(t, 20*time.Second), commit, 2))
	reservation, err := f.disconnected.ForProgram("p", place.Homes{}).Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: "t2", Tokens: 10}, History: "t1",
	})
	require.NoError(t, err)
	require.True(t, reservation.Found)
	require.Equal(t, "inout", string(reservation.History))
	require.Equal(t, int64(3), reservation.OtherTurnTokens)
}

// A relay must forward the sender's epoch unchanged, so that a replica that has adopted a newer one
// refuses the reservation and the sender learns the newer set.
func TestRelayKeepsSenderEpoch(t *testing.T) {
	f := startRelayFleet(t)
	relaying := f.addGateway(t, "g1", true)
	newer := setOf(2, f.replicas...)
	for _, replica := range f.replicas {
		replica.step(ledger.Request{Adopt: &ledger.Adopt{Set: newer}})
	}
	reservation, err := f.reserve(t, "t1", 10)
	require.NoError(t, err)
	require.Equal(t, uint64(2), f.disconnected.ForProgram("p", place.Homes{}).Epoch())
	require.Equal(t, uint64(1), relaying.ForProgram("p", place.Homes{}).Epoch())
	reservation.StopRetrying()
}

func TestRelaySelector(t *testing.T) {
	const timeout = 30 * time.Millisecond
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	selector := newRelaySelector()
	require.Empty(t, selector.pick(at(0), timeout), "no candidates")
	selector.setCandidates([]string{"a", "b", "c", "d"})
	require.Equal(t, []string{"a", "b"}, selector.pick(at(0), timeout), "several while none is proven")
	selector.recordRequest(at(0), "a")
	selector.recordRequest(at(0), "b")
	require.Equal(t, []string{"a", "b"}, selector.pick(at(10), timeout), "unchanged within the timeout")
	require.Equal(t, []string{"c", "d"}, selector.pick(at(40), timeout), "candidates that did not reply come last")
	selector.recordReply(at(45), "d")
	require.Equal(t, []string{"d"}, selector.pick(at(46), timeout), "only the proven candidate")
	selector.recordFailure(at(50), "d")
	require.NotContains(t, selector.pick(at(51), timeout), "d", "no longer proven")
	selector.recordReply(at(60), "c")
	require.Equal(t, []string{"c"}, selector.pick(at(61), timeout))
	selector.setCandidates([]string{"a", "b"})
	require.NotContains(t, selector.pick(at(62), timeout), "c", "no longer a candidate")
}

// During an outage of all replicas, thousands of requests wait. They must not all be sent
// repeatedly to relays that cannot reach the replicas either.
func TestUnprovenRelayGetsOneProbePerReplica(t *testing.T) {
	f := startRelayFleet(t)
	sent := 0
	f.relays.onRequest = func() { sent++ }
	f.relays.SetGateways(map[string]replicaset.Node{"g1": {Name: "g1", Address: deadAddress(t), Zone: "r0"}})
	const requests, replicas = 500, 3
	for range requests {
		for replica := range replicas {
			f.relays.send(RelayRequest{Replica: fmt.Sprint("r", replica)}, time.Hour)
		}
	}
	require.Equal(t, replicas, sent)
}

func TestUnreachableReplicaKeepsRelayProven(t *testing.T) {
	now := time.Unix(0, 0)
	selector := newRelaySelector()
	selector.setCandidates([]string{"a", "b"})
	selector.recordReply(now, "a")
	selector.recordUnreachable(now.Add(time.Millisecond), "a")
	require.Equal(t, "a", selector.proven())
	selector.recordUnreachable(now.Add(2*relayFailureTTL), "a")
	require.Empty(t, selector.proven())
}

func TestRoundTripTimeoutFollowsSamples(t *testing.T) {
	var estimate roundTripEstimator
	require.Equal(t, initialTimeout, estimate.timeout())
	for range 100 {
		estimate.observe(2 * time.Millisecond)
	}
	require.Equal(t, minTimeout, estimate.timeout(), "not less than the minimum")
	for range 200 {
		estimate.observe(40 * time.Millisecond)
	}
	require.InDelta(t, float64(40*time.Millisecond), float64(estimate.timeout()), float64(2*time.Millisecond))
	for _, latency := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		for range 200 {
			estimate.observe(latency)
		}
		require.LessOrEqual(t, estimate.timeout(), maxSlowTimeout, "bounded")
		require.Greater(t, estimate.timeout(), min(latency, maxSlowTimeout-1), "a usual response time is not late")
	}
	estimate.observe(2 * time.Millisecond)
	for range 200 {
		estimate.observe(2 * time.Millisecond)
		estimate.observe(200 * time.Millisecond)
	}
	require.Equal(t, maxTimeout, estimate.timeout(), "variance does not raise the timeout above the maximum")
}

// repeatReplies delivers each relayed reply again, together with those to earlier operations, whenever another arrives.
// It returns the number of replies that were delivered again.
func (f *relayFleet) repeatReplies() *atomic.Int64 {
	var delivered atomic.Int64
	deliver := f.relays.onReply
	var mu sync.Mutex
	var earlier []RelayReply
	f.relays.onReply = func(reply RelayReply) {
		mu.Lock()
		earlier = append(earlier, reply)
		repeated := slices.Clone(earlier)
		mu.Unlock()
		for _, again := range repeated {
			deliver(again)
			delivered.Add(1)
		}
		deliver(reply)
	}
	return &delivered
}

// Replies that a relay returns late or repeatedly belong to the operation whose number they carry and count once for
// each replica.
func TestRepeatedRelayedRepliesChangeNothing(t *testing.T) {
	f := startRelayFleet(t)
	f.repeatReplies()
	f.addGateway(t, "g1", true)
	charged := int64(0)
	for number := range int64(5) {
		reservation, err := f.reserve(t, fmt.Sprint("t", number), 10+number)
		require.NoError(t, err)
		require.Equal(t, charged, reservation.OtherTurnTokens)
		require.NoError(t, reservation.Durable(contextWithTimeout(t, 20*time.Second), 1))
		reservation.StopRetrying()
		charged += 10 + number
	}
}

func TestRepeatedRelayedRepliesOfOneReplicaAreNoQuorum(t *testing.T) {
	f := startRelayFleet(t)
	delivered := f.repeatReplies()
	for _, replica := range f.replicas[1:] {
		replica.server.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cells := NewCells(ctx, "g", "r0", nil, discardLogger())
	cells.SetMembership(membershipOf(nodesOf(f.replicas...), setOf(1, f.replicas...)))
	listener, err := peer.Listen(ctx, "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer(listener, cells.Forward)
	go server.Run()
	t.Cleanup(server.Close)
	f.relays.SetGateways(map[string]replicaset.Node{"g1": {Name: "g1", Role: replicaset.RoleGateway, Address: listener.Addr().String(), Zone: "r0"}})
	reserveCtx, stop := context.WithCancel(ctx)
	result := make(chan error, 1)
	go func() {
		_, err := f.disconnected.ForProgram("p", place.Homes{}).Reserve(reserveCtx, ledger.Reserve{
			Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 10}, Retention: time.Minute,
		})
		result <- err
	}()
	require.Eventually(t, func() bool { return delivered.Load() >= 3 }, 20*time.Second, time.Millisecond, "the replica that is reached replies")
	stop()
	require.ErrorIs(t, <-result, ErrNoQuorum)
}
