package quorum

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// fakeReplica serves a ledger over TCP like a replica, but without a disk.
type fakeReplica struct {
	node  replicaset.Node
	mu    sync.Mutex
	state *ledger.State
	// holdDurable suppresses the replies that a replica sends after a sync.
	holdDurable bool
	// lend replies to Borrow requests.
	lend   func(ledger.Request) ledger.Reply
	server *peer.Server[ledger.Request, ledger.Reply]
	// historyRequests counts requests for a history. They get no reply while ignoreHistoryRequests
	// is set.
	historyRequests       int
	ignoreHistoryRequests bool
	// commitsToDrop is how many commits are dropped without a reply, as by a replica whose disk is
	// overloaded.
	commitsToDrop int
}

func startReplica(t *testing.T, name, address string) *fakeReplica {
	listener, err := peer.Listen(context.Background(), address)
	require.NoError(t, err)
	r := &fakeReplica{
		node:  replicaset.Node{Name: name, Role: replicaset.RoleReplica, Address: listener.Addr().String(), Zone: name, Disk: "disk-" + name},
		state: ledger.NewState("disk-"+name, "boot"),
	}
	r.server = peer.NewServer(listener, r.receive)
	go r.server.Run()
	t.Cleanup(r.server.Close)
	return r
}

func (r *fakeReplica) receive(from *peer.Connection[ledger.Reply], request ledger.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Borrow != nil {
		from.Send(r.lend(request))
		return
	}
	if request.Reserve != nil && request.Reserve.History != "" {
		r.historyRequests++
		if r.ignoreHistoryRequests {
			return
		}
	}
	if request.Commit != nil && r.commitsToDrop > 0 {
		r.commitsToDrop--
		return
	}
	output := r.state.Step(time.Now(), request)
	replies := output.Immediate
	if !r.holdDurable {
		replies = append(replies, output.AfterSync...)
	}
	for _, reply := range replies {
		from.Send(reply)
	}
}

func (r *fakeReplica) step(request ledger.Request) ledger.Output {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Step(time.Now(), request)
}

// charges returns the charges that the replica holds for the program.
func (r *fakeReplica) charges(program string) []ledger.Charge {
	probe := ledger.Charge{Turn: "probe", Final: true}
	output := r.step(ledger.Request{Epoch: 1 << 40, Reserve: &ledger.Reserve{Program: program, Charge: probe}})
	var charges []ledger.Charge
	for _, charge := range output.Immediate[0].Reserve.Charges {
		if charge.Turn != "probe" {
			charges = append(charges, charge)
		}
	}
	return charges
}

func setOf(epoch uint64, replicas ...*fakeReplica) replicaset.Set {
	set := replicaset.Set{Epoch: epoch}
	for _, replica := range replicas {
		set.Voters = append(set.Voters, replicaset.Voter{Node: replica.node.Name, Disk: replica.node.Disk})
	}
	return set
}

func nodesOf(replicas ...*fakeReplica) []replicaset.Node {
	var nodes []replicaset.Node
	for _, replica := range replicas {
		nodes = append(nodes, replica.node)
	}
	return nodes
}

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func startThreeReplicas(t *testing.T) (*Client, []*fakeReplica) {
	var replicas []*fakeReplica
	for i := range 3 {
		replicas = append(replicas, startReplica(t, fmt.Sprint("r", i), "127.0.0.1:0"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client := NewClient(ctx, "r0", discardLogger())
	client.SetReplicas(nodesOf(replicas...), setOf(1, replicas...))
	require.Eventually(t, client.Ready, 20*time.Second, time.Millisecond)
	return client, replicas
}

func contextWithTimeout(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func TestReserveNeedsQuorum(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	charge := ledger.Charge{Turn: "t1", Tokens: 10}
	reservation, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: charge, History: ""})
	require.NoError(t, err)
	require.NoError(t, reservation.Durable(contextWithTimeout(t, 20*time.Second), 1))
	replicas[0].server.Close()
	second, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t2", Tokens: 5}, History: ""})
	require.NoError(t, err)
	require.Equal(t, int64(10), second.OtherTurnTokens)
	replicas[1].server.Close()
	_, err = client.Reserve(contextWithTimeout(t, 300*time.Millisecond), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t3", Tokens: 5}, History: ""})
	require.ErrorIs(t, err, ErrNoQuorum)
}

func TestAcceptedReservationIsNotDurable(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	for _, replica := range replicas[1:] {
		replica.mu.Lock()
		replica.holdDurable = true
		replica.mu.Unlock()
	}
	reservation, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 10}, History: ""})
	require.NoError(t, err)
	require.ErrorIs(t, reservation.Durable(contextWithTimeout(t, 200*time.Millisecond), 1), ErrNoQuorum)
	err = client.Commit(contextWithTimeout(t, 200*time.Millisecond), ledger.Commit{Turn: &ledger.Turn{ID: "t"}}, 2)
	require.ErrorIs(t, err, ErrNoQuorum, "only one copy is durable")
}

func TestReserveFindsHistoryOnAnyReplica(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	replicas[2].step(ledger.Request{Commit: &ledger.Commit{Turn: &ledger.Turn{ID: "old", Input: []byte("in|"), Output: []byte("out|"), Retention: time.Minute}}})
	reservation, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "", Charge: ledger.Charge{Turn: "new"}, History: "old"})
	require.NoError(t, err)
	require.True(t, reservation.Found)
	require.Equal(t, "in|out|", string(reservation.History))
	missing, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "", Charge: ledger.Charge{Turn: "new"}, History: "unknown"})
	require.NoError(t, err)
	require.False(t, missing.Found)
}

// Asking all replicas for a history at once saturates the link between regions. Every replica
// behind the link is then late, and the next readers ask all of them too.
func TestReserveAsksOneReplicaAtATimeForHistory(t *testing.T) {
	for name, ignore := range map[string]bool{"nearest replica lacks it": false, "nearest replica is late": true} {
		t.Run(name, func(t *testing.T) {
			var replicas []*fakeReplica
			for i := range 5 {
				replicas = append(replicas, startReplica(t, fmt.Sprint("r", i), "127.0.0.1:0"))
			}
			client := NewClient(t.Context(), "r0", discardLogger())
			client.SetReplicas(nodesOf(replicas...), setOf(1, replicas...))
			require.Eventually(t, func() bool {
				client.mu.Lock()
				defer client.mu.Unlock()
				return !slices.ContainsFunc(client.replicas, func(r *replicaLink) bool { return !r.up })
			}, 20*time.Second, time.Millisecond)
			replicas[0].ignoreHistoryRequests = ignore
			for _, replica := range replicas[1:] {
				replica.step(ledger.Request{Commit: &ledger.Commit{Turn: &ledger.Turn{ID: "old", Input: []byte("in|"), Retention: time.Minute}}})
			}
			reservation, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "new"}, History: "old"})
			require.NoError(t, err)
			require.True(t, reservation.Found)
			requests := 0
			for _, replica := range replicas {
				replica.mu.Lock()
				requests += replica.historyRequests
				replica.mu.Unlock()
			}
			require.Less(t, requests, 4, "all replicas were asked")
		})
	}
}

func TestClientAdoptsNewerEpochFromStaleReply(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	newer := setOf(2, replicas[0], replicas[1])
	for _, replica := range replicas {
		replica.step(ledger.Request{Adopt: &ledger.Adopt{Set: newer}})
	}
	_, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 10}, History: ""})
	require.NoError(t, err)
	require.Equal(t, uint64(2), client.Epoch())
}

// A turn is refused while no quorum is reachable. Its reservation may have reached some replicas
// and must not count against the budget forever.
func TestSettleRetriesUntilQuorumReturns(t *testing.T) {
	// Operators allow 12 seconds for a recovery. With a timeout of 5 seconds the charge was lost.
	const recovery = 12 * time.Second
	require.Greater(t, settleTimeout, 2*recovery)
	client, replicas := startThreeReplicas(t)
	replicas[1].server.Close()
	replicas[2].server.Close()
	_, err := client.Reserve(contextWithTimeout(t, 200*time.Millisecond), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 10}, History: ""})
	require.ErrorIs(t, err, ErrNoQuorum)
	client.Settle("p", ledger.Charge{Turn: "t", Final: true}, time.Minute)
	restarted := startReplica(t, "r1", replicas[1].node.Address)
	settled := ledger.Charge{Turn: "t", Final: true}
	for _, replica := range []*fakeReplica{replicas[0], restarted} {
		require.Eventually(t, func() bool {
			charges := replica.charges("p")
			return len(charges) == 1 && charges[0] == settled
		}, 20*time.Second, 5*time.Millisecond)
	}
}

// Overloaded replicas drop commits while their connections stay up. A settled charge that is not
// resent keeps counting with its full reserved amount against the program's budget.
func TestSettleResendsDroppedCommits(t *testing.T) {
	client, replicas := startThreeReplicas(t)
	_, err := client.Reserve(contextWithTimeout(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 100}})
	require.NoError(t, err)
	for _, replica := range replicas {
		replica.mu.Lock()
		replica.commitsToDrop = 2
		replica.mu.Unlock()
	}
	client.Settle("p", ledger.Charge{Turn: "t", Tokens: 7, Final: true}, time.Minute)
	require.Eventually(t, func() bool {
		settled := 0
		for _, replica := range replicas {
			for _, charge := range replica.charges("p") {
				if charge.Turn == "t" && charge.Final && charge.Tokens == 7 {
					settled++
				}
			}
		}
		return settled >= 2
	}, 20*time.Second, 10*time.Millisecond)
}

func TestChainFromOtherCells(t *testing.T) {
	a, b := startReplica(t, "a", "127.0.0.1:0"), startReplica(t, "b", "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cells := NewCells(ctx, "g", "a", nil, discardLogger())
	require.Nil(t, cells.ForProgram("p", place.Homes{}))
	membership := replicaset.Membership{
		HasLayout: true, Layout: replicaset.Layout{Cells: 2}, Sets: []replicaset.Set{setOf(1, a), setOf(1, b)},
		Replicas: map[string]replicaset.Node{"a": a.node, "b": b.node},
	}
	cells.SetMembership(membership)
	program := "p"
	own, other := a, b
	if replicaset.CellOf(program, 2) == 1 {
		own, other = b, a
	}
	for _, turn := range []ledger.Turn{{ID: "t1", Retention: time.Minute}, {ID: "t2", Previous: "t1", Retention: time.Minute}} {
		other.step(ledger.Request{Commit: &ledger.Commit{Turn: &turn}})
	}
	require.Eventually(t, func() bool { return cells.ForProgram("p", place.Homes{}).Ready() }, 20*time.Second, time.Millisecond)
	var chain []ledger.Turn
	require.Eventually(t, func() bool {
		chain = cells.ChainFromOtherCells(contextWithTimeout(t, 5*time.Second), program, "t2", place.Homes{})
		return len(chain) == 2
	}, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, "t2", chain[0].ID)
	require.Empty(t, cells.ChainFromOtherCells(contextWithTimeout(t, 5*time.Second), program, "unknown", place.Homes{}))

	commit := ledger.Commit{Turn: &ledger.Turn{ID: "t3", Previous: "t2", Retention: time.Minute}, Ancestors: chain}
	require.NoError(t, cells.ForProgram(program, place.Homes{}).Commit(contextWithTimeout(t, 20*time.Second), commit, 1))
	reply := own.step(ledger.Request{Chain: &ledger.Chain{ID: "t3"}}).Immediate[0]
	require.Len(t, reply.Turns, 3, "the ancestors are stored in the program's own cell")
}
