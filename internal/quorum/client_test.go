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

// standReplica serves a ledger over TCP, as a replica does, without a disk.
type standReplica struct {
	node  replicaset.Node
	mu    sync.Mutex
	state *ledger.State
	// holdDurable keeps the replies back that wait for a sync.
	holdDurable bool
	// lend answers requests for allowances.
	lend   func(ledger.Request) ledger.Reply
	server *peer.Server[ledger.Request, ledger.Reply]
	// asked counts requests for a history; while deaf it answers none of them.
	asked int
	deaf  bool
	// drops is how many commits it drops, as one does whose disk is behind.
	drops int
}

func startReplica(t *testing.T, name, address string) *standReplica {
	listener, err := peer.Listen(context.Background(), address)
	require.NoError(t, err)
	r := &standReplica{
		node:  replicaset.Node{Name: name, Role: replicaset.RoleReplica, Address: listener.Addr().String(), Zone: name, Disk: "disk-" + name},
		state: ledger.NewState("disk-"+name, "boot"),
	}
	r.server = peer.NewServer(listener, r.receive)
	go r.server.Run()
	t.Cleanup(r.server.Close)
	return r
}

func (r *standReplica) receive(from *peer.Connection[ledger.Reply], request ledger.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Borrow != nil {
		from.Send(r.lend(request))
		return
	}
	if request.Reserve != nil && request.Reserve.History != "" {
		r.asked++
		if r.deaf {
			return
		}
	}
	if request.Commit != nil && r.drops > 0 {
		r.drops--
		return
	}
	output := r.state.Step(time.Now(), request)
	replies := output.Now
	if !r.holdDurable {
		replies = append(replies, output.Durable...)
	}
	for _, reply := range replies {
		from.Send(reply)
	}
}

func (r *standReplica) step(request ledger.Request) ledger.Output {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Step(time.Now(), request)
}

// charges returns what the replica counts for the program.
func (r *standReplica) charges(program string) []ledger.Charge {
	probe := ledger.Charge{Turn: "probe", Final: true}
	output := r.step(ledger.Request{Epoch: 1 << 40, Reserve: &ledger.Reserve{Program: program, Charge: probe}})
	var charges []ledger.Charge
	for _, charge := range output.Now[0].Reserve.Charges {
		if charge.Turn != "probe" {
			charges = append(charges, charge)
		}
	}
	return charges
}

func setOf(epoch uint64, replicas ...*standReplica) replicaset.Set {
	set := replicaset.Set{Epoch: epoch}
	for _, replica := range replicas {
		set.Voters = append(set.Voters, replicaset.Voter{Node: replica.node.Name, Disk: replica.node.Disk})
	}
	return set
}

func nodesOf(replicas ...*standReplica) []replicaset.Node {
	var nodes []replicaset.Node
	for _, replica := range replicas {
		nodes = append(nodes, replica.node)
	}
	return nodes
}

func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func startThree(t *testing.T) (*Client, []*standReplica) {
	var replicas []*standReplica
	for i := range 3 {
		replicas = append(replicas, startReplica(t, fmt.Sprint("r", i), "127.0.0.1:0"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client := NewClient(ctx, "r0", quiet())
	client.SetReplicas(nodesOf(replicas...), setOf(1, replicas...))
	require.Eventually(t, client.Ready, 20*time.Second, time.Millisecond)
	return client, replicas
}

func limited(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestAReservationNeedsAQuorum(t *testing.T) {
	client, replicas := startThree(t)
	charge := ledger.Charge{Turn: "t1", Tokens: 10}
	reservation, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: charge, History: ""})
	require.NoError(t, err)
	require.NoError(t, reservation.Durable(limited(t, 20*time.Second), 1))
	replicas[0].server.Close()
	second, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t2", Tokens: 5}, History: ""})
	require.NoError(t, err)
	require.Equal(t, int64(10), second.OtherTurnTokens)
	replicas[1].server.Close()
	_, err = client.Reserve(limited(t, 300*time.Millisecond), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t3", Tokens: 5}, History: ""})
	require.ErrorIs(t, err, ErrNoQuorum)
}

func TestAcceptedIsNotDurable(t *testing.T) {
	client, replicas := startThree(t)
	for _, replica := range replicas[1:] {
		replica.mu.Lock()
		replica.holdDurable = true
		replica.mu.Unlock()
	}
	reservation, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 10}, History: ""})
	require.NoError(t, err)
	require.ErrorIs(t, reservation.Durable(limited(t, 200*time.Millisecond), 1), ErrNoQuorum)
	err = client.Commit(limited(t, 200*time.Millisecond), ledger.Commit{Turn: &ledger.Turn{ID: "t"}}, 2)
	require.ErrorIs(t, err, ErrNoQuorum, "one synced copy is not two")
}

func TestAHistoryIsFoundWhereverItIs(t *testing.T) {
	client, replicas := startThree(t)
	replicas[2].step(ledger.Request{Commit: &ledger.Commit{Turn: &ledger.Turn{ID: "old", Input: []byte("in|"), Output: []byte("out|"), Retention: time.Minute}}})
	reservation, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "", Charge: ledger.Charge{Turn: "new"}, History: "old"})
	require.NoError(t, err)
	require.True(t, reservation.Found)
	require.Equal(t, "in|out|", string(reservation.History))
	missing, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "", Charge: ledger.Charge{Turn: "new"}, History: "unknown"})
	require.NoError(t, err)
	require.False(t, missing.Found)
}

// Asked of all replicas at once, the texts fill the way between regions, which makes every
// replica late there and the next readers ask everywhere as well.
func TestAHistoryIsAskedOfOneMoreReplicaAtATime(t *testing.T) {
	for name, deaf := range map[string]bool{"the nearest lacks it": false, "the nearest is late": true} {
		t.Run(name, func(t *testing.T) {
			var replicas []*standReplica
			for i := range 5 {
				replicas = append(replicas, startReplica(t, fmt.Sprint("r", i), "127.0.0.1:0"))
			}
			client := NewClient(t.Context(), "r0", quiet())
			client.SetReplicas(nodesOf(replicas...), setOf(1, replicas...))
			require.Eventually(t, func() bool {
				client.mu.Lock()
				defer client.mu.Unlock()
				return !slices.ContainsFunc(client.replicas, func(r *replicaLink) bool { return !r.up })
			}, 20*time.Second, time.Millisecond)
			replicas[0].deaf = deaf
			for _, replica := range replicas[1:] {
				replica.step(ledger.Request{Commit: &ledger.Commit{Turn: &ledger.Turn{ID: "old", Input: []byte("in|"), Retention: time.Minute}}})
			}
			reservation, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "new"}, History: "old"})
			require.NoError(t, err)
			require.True(t, reservation.Found)
			asked := 0
			for _, replica := range replicas {
				replica.mu.Lock()
				asked += replica.asked
				replica.mu.Unlock()
			}
			require.Less(t, asked, 4, "all of them")
		})
	}
}

func TestANewerEpochIsLearnedFromARefusal(t *testing.T) {
	client, replicas := startThree(t)
	newer := setOf(2, replicas[0], replicas[1])
	for _, replica := range replicas {
		replica.step(ledger.Request{Adopt: &ledger.Adopt{Set: newer}})
	}
	_, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 10}, History: ""})
	require.NoError(t, err)
	require.Equal(t, uint64(2), client.Epoch())
}

// A turn is refused while no quorum is in reach; its reservation, where it did
// arrive, must not count for ever.
func TestASettledChargeOutlastsALostQuorum(t *testing.T) {
	// Operators grant twelve seconds for a recovery; with five the charge was lost.
	const recovery = 12 * time.Second
	require.Greater(t, settleLimit, 2*recovery)
	client, replicas := startThree(t)
	replicas[1].server.Close()
	replicas[2].server.Close()
	_, err := client.Reserve(limited(t, 200*time.Millisecond), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 10}, History: ""})
	require.ErrorIs(t, err, ErrNoQuorum)
	client.Settle("p", ledger.Charge{Turn: "t", Final: true}, time.Minute)
	back := startReplica(t, "r1", replicas[1].node.Address)
	settled := ledger.Charge{Turn: "t", Final: true}
	for _, replica := range []*standReplica{replicas[0], back} {
		require.Eventually(t, func() bool {
			charges := replica.charges("p")
			return len(charges) == 1 && charges[0] == settled
		}, 20*time.Second, 5*time.Millisecond)
	}
}

// A settled charge that overloaded replicas had dropped was not sent again while their connections
// stood, and counted at its most against the program's budget.
func TestASettledChargeThatReplicasDroppedIsRepeated(t *testing.T) {
	client, replicas := startThree(t)
	_, err := client.Reserve(limited(t, 20*time.Second), ledger.Reserve{Program: "p", Charge: ledger.Charge{Turn: "t", Tokens: 100}})
	require.NoError(t, err)
	for _, replica := range replicas {
		replica.mu.Lock()
		replica.drops = 2
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

func TestATurnOfAnotherCellIsFoundWithItsChain(t *testing.T) {
	a, b := startReplica(t, "a", "127.0.0.1:0"), startReplica(t, "b", "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cells := NewCells(ctx, "g", "a", nil, quiet())
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
		chain = cells.ChainFromOtherCells(limited(t, 5*time.Second), program, "t2", place.Homes{})
		return len(chain) == 2
	}, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, "t2", chain[0].ID)
	require.Empty(t, cells.ChainFromOtherCells(limited(t, 5*time.Second), program, "unknown", place.Homes{}))

	commit := ledger.Commit{Turn: &ledger.Turn{ID: "t3", Previous: "t2", Retention: time.Minute}, Ancestors: chain}
	require.NoError(t, cells.ForProgram(program, place.Homes{}).Commit(limited(t, 20*time.Second), commit, 1))
	whole := own.step(ledger.Request{Chain: &ledger.Chain{ID: "t3"}}).Now[0]
	require.Len(t, whole.Turns, 3, "the ancestors are kept in the program's own cell")
}
