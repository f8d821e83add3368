package quorum

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// deadAddress returns an address at which nothing listens.
func deadAddress(t *testing.T) string {
	listener, err := peer.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	return address
}

// relayFleet is a gateway whose way to all replicas is cut, and others.
type relayFleet struct {
	replicas []*standReplica
	cut      *Cells
	relays   *Relays
	gateways map[string]replicaset.Node
}

func membershipOf(nodes []replicaset.Node, set replicaset.Set) replicaset.Membership {
	cell := 0
	read := replicaset.Membership{
		HasLayout: true, Layout: replicaset.Layout{Cells: 1},
		Sets: []replicaset.Set{set}, Replicas: map[string]replicaset.Node{},
	}
	for _, node := range nodes {
		node.Cell = &cell
		read.Replicas[node.Name] = node
	}
	return read
}

func startRelayFleet(t *testing.T) *relayFleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &relayFleet{gateways: map[string]replicaset.Node{}}
	for i := range 3 {
		f.replicas = append(f.replicas, startReplica(t, fmt.Sprint("r", i), "127.0.0.1:0"))
	}
	var cutNodes []replicaset.Node
	for _, node := range nodesOf(f.replicas...) {
		node.Address = deadAddress(t)
		cutNodes = append(cutNodes, node)
	}
	f.relays = NewRelays(ctx, "cut", "r0", nil, quiet(), func() {})
	f.cut = NewCells(ctx, "g", "r0", nil, quiet())
	f.cut.UseRelays(f.relays)
	f.cut.SetMembership(membershipOf(cutNodes, setOf(1, f.replicas...)))
	return f
}

// addGateway starts a gateway that relays; without reach its own ways are cut too.
func (f *relayFleet) addGateway(t *testing.T, name string, reaches bool) *Cells {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cells := NewCells(ctx, "g", "r0", nil, quiet())
	nodes := nodesOf(f.replicas...)
	if !reaches {
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
	if reaches {
		require.Eventually(t, cells.ForProgram("p", place.Homes{}).Ready, 20*time.Second, time.Millisecond)
	}
	f.gateways[name] = replicaset.Node{Name: name, Role: replicaset.RoleGateway, Address: listener.Addr().String(), Zone: "r0"}
	f.relays.SetGateways(f.gateways)
	return cells
}

func (f *relayFleet) reserve(t *testing.T, turn string, tokens int64) (*Reservation, error) {
	return f.cut.ForProgram("p", place.Homes{}).Reserve(limited(t, 20*time.Second), ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: turn, Tokens: tokens}, Retention: time.Minute,
	})
}

func TestACutGatewayReservesByAnother(t *testing.T) {
	f := startRelayFleet(t)
	f.addGateway(t, "g1", false)
	f.addGateway(t, "g2", true)
	reservation, err := f.reserve(t, "t1", 10)
	require.NoError(t, err)
	require.NoError(t, reservation.Durable(limited(t, 20*time.Second), 1))
	reservation.StopRetrying()
	second, err := f.reserve(t, "t2", 5)
	require.NoError(t, err)
	require.Equal(t, int64(10), second.OtherTurnTokens)
}

func TestWithoutRelaysACutGatewayReservesNothing(t *testing.T) {
	f := startRelayFleet(t)
	_, err := f.cut.ForProgram("p", place.Homes{}).Reserve(limited(t, 300*time.Millisecond), ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 10},
	})
	require.ErrorIs(t, err, ErrNoQuorum)
}

func TestARelayedCommitAndHistoryTravelWhole(t *testing.T) {
	f := startRelayFleet(t)
	f.addGateway(t, "g1", true)
	turn := &ledger.Turn{ID: "t1", Input: []byte("in"), Output: []byte("out"), Instance: "i-1", Retention: time.Minute}
	commit := ledger.Commit{Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 3, Final: true}, Retention: time.Minute, Turn: turn}
	require.NoError(t, f.cut.ForProgram("p", place.Homes{}).Commit(limited(t, 20*time.Second), commit, 2))
	reservation, err := f.cut.ForProgram("p", place.Homes{}).Reserve(limited(t, 20*time.Second), ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: "t2", Tokens: 10}, History: "t1",
	})
	require.NoError(t, err)
	require.True(t, reservation.Found)
	require.Equal(t, "inout", string(reservation.History))
	require.Equal(t, int64(3), reservation.OtherTurnTokens)
}

// A relaying gateway passes the sender's epoch on as it is: a replica that has adopted
// a newer one refuses the reservation, and the sender learns of the newer set.
func TestARelayedReservationOfAnOldEpochIsRefused(t *testing.T) {
	f := startRelayFleet(t)
	relaying := f.addGateway(t, "g1", true)
	newer := setOf(2, f.replicas...)
	for _, replica := range f.replicas {
		replica.step(ledger.Request{Adopt: &ledger.Adopt{Set: newer}})
	}
	reservation, err := f.reserve(t, "t1", 10)
	require.NoError(t, err)
	require.Equal(t, uint64(2), f.cut.ForProgram("p", place.Homes{}).Epoch())
	require.Equal(t, uint64(1), relaying.ForProgram("p", place.Homes{}).Epoch())
	reservation.StopRetrying()
}

func TestRelayOrder(t *testing.T) {
	const timeout = 30 * time.Millisecond
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	order := newRelayOrder()
	require.Empty(t, order.pick(at(0), timeout), "nobody to ask")
	order.setCandidates([]string{"a", "b", "c", "d"})
	require.Equal(t, []string{"a", "b"}, order.pick(at(0), timeout), "several while none is proven")
	order.asked(at(0), "a")
	order.asked(at(0), "b")
	require.Equal(t, []string{"a", "b"}, order.pick(at(10), timeout), "the same within the timeout")
	require.Equal(t, []string{"c", "d"}, order.pick(at(40), timeout), "those that did not answer come last")
	order.answered(at(45), "d")
	require.Equal(t, []string{"d"}, order.pick(at(46), timeout), "the proven one alone")
	order.failed(at(50), "d")
	require.NotContains(t, order.pick(at(51), timeout), "d", "no longer proven")
	order.answered(at(60), "c")
	require.Equal(t, []string{"c"}, order.pick(at(61), timeout))
	order.setCandidates([]string{"a", "b"})
	require.NotContains(t, order.pick(at(62), timeout), "c", "gone from the list")
}

// During an outage of all replicas thousands of requests wait; they must not all be sent
// again and again to gateways that have no way either.
func TestWithoutAnyWayFewRequestsAreRelayed(t *testing.T) {
	f := startRelayFleet(t)
	sent := 0
	f.relays.counted = func() { sent++ }
	f.relays.SetGateways(map[string]replicaset.Node{"g1": {Name: "g1", Address: deadAddress(t), Zone: "r0"}})
	const requests, replicas = 500, 3
	for range requests {
		for replica := range replicas {
			f.relays.send(RelayRequest{Replica: fmt.Sprint("r", replica)}, time.Hour)
		}
	}
	require.Equal(t, replicas, sent)
}

func TestALostReplicaSaysNothingOfTheRelay(t *testing.T) {
	now := time.Unix(0, 0)
	order := newRelayOrder()
	order.setCandidates([]string{"a", "b"})
	order.answered(now, "a")
	order.unreachable(now.Add(time.Millisecond), "a")
	require.Equal(t, "a", order.proven())
	order.unreachable(now.Add(2*relayFailureLife), "a")
	require.Empty(t, order.proven())
}

func TestRoundTripFollowsAnswers(t *testing.T) {
	var estimate roundTrip
	require.Equal(t, timeoutUnknown, estimate.timeout())
	for range 100 {
		estimate.observe(2 * time.Millisecond)
	}
	require.Equal(t, timeoutLeast, estimate.timeout(), "never less than the least")
	for range 200 {
		estimate.observe(40 * time.Millisecond)
	}
	require.InDelta(t, float64(40*time.Millisecond), float64(estimate.timeout()), float64(2*time.Millisecond))
	for _, usual := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		for range 200 {
			estimate.observe(usual)
		}
		require.LessOrEqual(t, estimate.timeout(), timeoutSlow, "bounded")
		require.Greater(t, estimate.timeout(), min(usual, timeoutSlow-1), "what is usual is not late")
	}
	estimate.observe(2 * time.Millisecond)
	for range 200 {
		estimate.observe(2 * time.Millisecond)
		estimate.observe(200 * time.Millisecond)
	}
	require.Equal(t, timeoutMost, estimate.timeout(), "what varies is not awaited for longer than that")
}
