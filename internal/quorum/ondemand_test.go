package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// fleetOfCells returns the membership of a fleet with the given number of cells of four unreachable
// replicas each.
func fleetOfCells(cells int) replicaset.Membership {
	const voters = 4
	membership := replicaset.Membership{
		HasLayout: true, Layout: replicaset.Layout{Cells: cells}, Sets: make([]replicaset.Set, cells), Replicas: map[string]replicaset.Node{},
	}
	for cell := range cells {
		for number := range voters {
			name := fmt.Sprintf("r%d-%d", cell, number)
			membership.Replicas[name] = replicaset.Node{Name: name, Address: "127.0.0.1:1", Zone: "a", Disk: name, Cell: &cell}
			membership.Sets[cell].Voters = append(membership.Sets[cell].Voters, replicaset.Voter{Node: name, Disk: name})
		}
	}
	return membership
}

// openConnections returns the number of connections to replicas that a gateway holds, per cell and
// in total.
func openConnections(cells *Cells) (perCell []int, total int) {
	perCell = make([]int, len(cells.clients()))
	for cell, client := range cells.clients() {
		client.mu.Lock()
		for _, replica := range client.replicas {
			if replica.link != nil {
				perCell[cell]++
				total++
			}
		}
		client.mu.Unlock()
	}
	return perCell, total
}

// An idle gateway must not hold more connections in a larger fleet. Otherwise the total number of
// connections would be gateways times replicas.
func TestReplicaConnectionsDoNotGrowWithFleet(t *testing.T) {
	for _, cells := range []int{2, 30, 60} {
		gateway := NewCells(t.Context(), "g", "a", nil, discardLogger())
		gateway.SetMembership(fleetOfCells(cells))
		_, total := openConnections(gateway)
		require.Equal(t, 8, total, cells)
	}
}

func TestPreconnectedCellsAreSpreadEvenly(t *testing.T) {
	const gateways, cells = 600, 30
	counts := make([]int, cells)
	for number := range gateways {
		gateway := &Cells{node: fmt.Sprint("g", number), layout: replicaset.Layout{Cells: cells}}
		preconnected := gateway.preconnectedCells()
		require.Len(t, preconnected, maxPreconnectedCells)
		for _, cell := range preconnected {
			counts[cell]++
		}
	}
	for cell, count := range counts {
		require.InDelta(t, gateways*maxPreconnectedCells/cells, count, 20, cell)
	}
}

// A relay without a connection to the replica must open one instead of replying that the replica is
// unreachable.
func TestRelayOpensConnectionOnDemand(t *testing.T) {
	f := startRelayFleet(t)
	relaying := f.addGateway(t, "g1", true)
	client := relaying.ForProgram("p", place.Homes{})
	client.mu.Lock()
	client.onDemand = true
	for index, replica := range client.replicas {
		replica.close()
		client.replicas[index] = &replicaLink{client: client, node: replica.node, zone: replica.zone}
	}
	client.mu.Unlock()
	replies := make(chan RelayReply, 8)
	link := peer.NewLink[RelayRequest, RelayReply](t.Context(), f.gateways["g1"].Address, relayReplies(replies))
	request := RelayRequest{Replica: "r1", Request: ledger.Request{Number: 7, Epoch: 1, Reserve: &ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 3}, Retention: time.Minute,
	}}}
	require.Eventually(t, func() bool { return link.Send(request) }, 20*time.Second, time.Millisecond)
	reply := <-replies
	require.False(t, reply.Unreachable)
	require.Equal(t, uint64(7), reply.Reply.Number)
	require.NotNil(t, reply.Reply.Reserve)
}

// relayReplies receives the replies of a relay.
type relayReplies chan RelayReply

func (r relayReplies) LinkUp()                   {}
func (r relayReplies) LinkDown(error)            {}
func (r relayReplies) Received(reply RelayReply) { r <- reply }
