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

// fleetOfCells returns the membership of a fleet with so many cells of four replicas, none of
// which can be reached.
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

// connections returns how many connections to replicas a gateway keeps, by cell.
func connections(cells *Cells) (kept []int, total int) {
	kept = make([]int, len(cells.clients()))
	for cell, client := range cells.clients() {
		client.mu.Lock()
		for _, replica := range client.replicas {
			if replica.link != nil {
				kept[cell]++
				total++
			}
		}
		client.mu.Unlock()
	}
	return kept, total
}

// A gateway that has nothing to do must not keep more connections in a larger fleet: all
// gateways together would keep gateways times replicas.
func TestConnectionsToReplicasDoNotGrowWithTheFleet(t *testing.T) {
	for _, cells := range []int{2, 30, 60} {
		gateway := NewCells(t.Context(), "g", "a", nil, quiet())
		gateway.SetMembership(fleetOfCells(cells))
		_, total := connections(gateway)
		require.Equal(t, 8, total, cells)
	}
}

func TestGatewaysSpreadOverTheCells(t *testing.T) {
	const gateways, cells = 600, 30
	counts := make([]int, cells)
	for number := range gateways {
		gateway := &Cells{node: fmt.Sprint("g", number), layout: replicaset.Layout{Cells: cells}}
		kept := gateway.keptCells()
		require.Len(t, kept, keptCells)
		for _, cell := range kept {
			counts[cell]++
		}
	}
	for cell, count := range counts {
		require.InDelta(t, gateways*keptCells/cells, count, 20, cell)
	}
}

// A gateway that relays for another one opens the connection that it does not have, in place
// of saying that the replica is out of reach.
func TestARelayOpensItsConnection(t *testing.T) {
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
	answers := make(chan RelayReply, 8)
	link := peer.NewLink[RelayRequest, RelayReply](t.Context(), f.gateways["g1"].Address, relayAnswers(answers))
	request := RelayRequest{Replica: "r1", Request: ledger.Request{Number: 7, Epoch: 1, Reserve: &ledger.Reserve{
		Program: "p", Charge: ledger.Charge{Turn: "t1", Tokens: 3}, Retention: time.Minute,
	}}}
	require.Eventually(t, func() bool { return link.Send(request) }, 20*time.Second, time.Millisecond)
	answer := <-answers
	require.False(t, answer.Unreachable)
	require.Equal(t, uint64(7), answer.Reply.Number)
	require.NotNil(t, answer.Reply.Reserve)
}

// relayAnswers takes the answers of a relaying gateway.
type relayAnswers chan RelayReply

func (r relayAnswers) LinkUp()                   {}
func (r relayAnswers) LinkDown(error)            {}
func (r relayAnswers) Received(reply RelayReply) { r <- reply }
