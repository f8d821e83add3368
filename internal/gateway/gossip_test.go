package gateway

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

func newTestGossip(node, zone string) *Gossip {
	directory := backend.NewDirectory(zone)
	directory.ApplyChanges(time.Unix(1000, 0), backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "e", Service: "llm", Slots: 8}}}, false)
	return NewGossip(node, zone, nil, directory, nil)
}

// believedLoad returns the load that a placement reports for the only instance.
func believedLoad(t *testing.T, g *Gossip) int {
	choice, found := g.directory.Pick(time.Unix(1000, 0), backend.Demand{Service: "llm"})
	require.True(t, found)
	g.directory.End(time.Unix(1000, 0), choice, backend.Answered)
	return choice.Load
}

func TestGossipAcceptsZoneReportFromAnyOfItsGateways(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGossip("a1", "a")
	g.apply(now, loadReport{Gateway: "a2", Loads: map[string]int{"e": 2}})
	g.apply(now, loadReport{Gateway: "b1", Zone: "b", Loads: map[string]int{"e": 5}})
	g.apply(now, loadReport{Gateway: "b2", Zone: "b", Loads: map[string]int{"e": 4}})
	require.Equal(t, 6, believedLoad(t, g), "two of a2, and the last report of zone b")
	g.apply(now, loadReport{Gateway: "a3", Zone: "a", Loads: map[string]int{"e": 9}})
	require.Equal(t, 6, believedLoad(t, g), "the own zone must not be counted twice")
	require.Equal(t, map[string]int{"e": 2}, g.directory.ZoneLoads(time.Unix(1000, 0)), "other zones' load must not be reported as the own zone's")
}

func TestGossipFanoutIsIndependentOfFleetSize(t *testing.T) {
	for _, gateways := range []int{2, 8, 51, 890} {
		g := newTestGossip("g0", "z0")
		nodes := map[string]replicaset.Node{}
		for i := range gateways {
			name := fmt.Sprintf("g%d", i)
			nodes[name] = replicaset.Node{Name: name, Zone: fmt.Sprintf("z%d", i%4), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
		}
		g.SetGateways(nodes)
		reached := map[string]bool{}
		for range 4 * gateways {
			neighbours, remotes := g.neighbours.nextAddresses(neighbourFanout), g.remotes.nextAddresses(remoteFanout)
			require.LessOrEqual(t, len(neighbours)+len(remotes), neighbourFanout+remoteFanout)
			for _, address := range append(neighbours, remotes...) {
				reached[address.String()] = true
			}
		}
		require.Len(t, reached, gateways-1, "each gateway receives reports in round-robin order")
	}
}

func TestPeersTimedOut(t *testing.T) {
	g := newTestGossip("a1", "a")
	now := g.started
	require.False(t, g.PeersTimedOut(now.Add(time.Hour)), "there are no other gateways")
	g.SetGateways(map[string]replicaset.Node{"a1": {Name: "a1", Zone: "a", Address: "127.0.0.1:1"}, "b1": {Name: "b1", Zone: "b", Address: "127.0.0.1:2"}})
	require.False(t, g.PeersTimedOut(now.Add(gossipRefresh)), "the others may not have reported yet")
	require.True(t, g.PeersTimedOut(now.Add(2*gossipTimeout)))
	g.apply(now.Add(2*gossipTimeout), loadReport{Gateway: "b1", Zone: "b"})
	require.False(t, g.PeersTimedOut(now.Add(2*gossipTimeout+gossipRefresh)))
}

func TestFewGatewaysReportToOtherRegions(t *testing.T) {
	places := place.Map{"a": "east", "b": "east", "c": "west", "d": "west"}
	nodes := map[string]replicaset.Node{}
	for i := range 40 {
		name := fmt.Sprintf("g%02d", i)
		nodes[name] = replicaset.Node{Name: name, Zone: string("abcd"[i%4]), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
	}
	reporting := 0
	for name, node := range nodes {
		g := newTestGossip(name, node.Zone)
		g.places = places
		g.SetGateways(nodes)
		remotes := slices.DeleteFunc(slices.Clone(g.remotes.addresses), func(a net.Addr) bool { return a == nil })
		require.Len(t, remotes, 10, "the region's other zone")
		require.Len(t, g.remotes.addresses, 30, "one slot per gateway outside the own zone")
		if reached := g.nextOtherRegions(); len(reached) > 0 {
			reporting++
			require.Len(t, reached, 2, "one in each zone of the other region")
			require.NotEqual(t, reached, g.nextOtherRegions(), "round-robin")
		}
	}
	require.Equal(t, 4*zoneReporters, reporting)
}

// datagrams records the destinations of sent datagrams.
type datagrams struct {
	net.PacketConn
	to []string
}

func (d *datagrams) WriteTo(content []byte, to net.Addr) (int, error) {
	d.to = append(d.to, to.String())
	return len(content), nil
}

func TestCrossRegionReportIsForwardedOnce(t *testing.T) {
	g := newTestGossip("a1", "a")
	g.places = place.Map{"a": "east", "b": "east", "c": "west"}
	g.SetGateways(map[string]replicaset.Node{
		"a1": {Name: "a1", Zone: "a", Address: "127.0.0.1:1"}, "a2": {Name: "a2", Zone: "a", Address: "127.0.0.1:2"},
		"b1": {Name: "b1", Zone: "b", Address: "127.0.0.1:3"}, "c1": {Name: "c1", Zone: "c", Address: "127.0.0.1:4"},
	})
	socket := &datagrams{}
	g.forward(socket, loadReport{Gateway: "c1", Zone: "c"})
	require.Equal(t, []string{"127.0.0.1:2"}, socket.to, "only to the own zone")
	g.forward(socket, loadReport{Gateway: "c1", Zone: "c", Passed: true})
	g.forward(socket, loadReport{Gateway: "b1", Zone: "b"})
	g.forward(socket, loadReport{Gateway: "a2"})
	require.Len(t, socket.to, 1, "neither a forwarded report, nor one of the own region")
}

// An idle gateway wakes up only as often as its report is refreshed, a busy one each
// gossipInterval. The first request wakes an idle gateway at once.
func TestIdleGatewayWakesOnlyToRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGossip("g", "z")
		turns := func(busy bool, span time.Duration) int {
			count := 0
			for began := time.Now(); time.Since(began) < span; count++ {
				require.True(t, g.awaitLoadChange(t.Context(), busy))
			}
			return count
		}
		require.Equal(t, 20, turns(false, 10*time.Second))
		require.Equal(t, 200, turns(true, 10*time.Second))
		time.AfterFunc(120*time.Millisecond, func() { g.directory.Pick(time.Unix(1000, 0), backend.Demand{Service: "llm"}) })
		began := time.Now()
		g.awaitLoadChange(t.Context(), false)
		require.Equal(t, 120*time.Millisecond, time.Since(began))
	})
}
