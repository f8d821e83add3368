package replicaset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/registry"
)

func voters(names ...string) []Voter {
	var all []Voter
	for _, name := range names {
		all = append(all, Voter{Node: name, Disk: "disk-" + name})
	}
	return all
}

func adopted(names ...string) map[string]bool {
	disks := map[string]bool{}
	for _, name := range names {
		disks["disk-"+name] = true
	}
	return disks
}

func unreachable(since time.Duration, names ...string) map[string]time.Duration {
	disks := map[string]time.Duration{}
	for _, name := range names {
		disks["disk-"+name] = since
	}
	return disks
}

func TestPlan(t *testing.T) {
	own := Voter{Node: "own", Disk: "disk-own"}
	const long, absent = 4 * time.Second, 8 * time.Second
	cases := map[string]struct {
		view View
		want ChangeKind
		// removed is the disk of the voter that the next set lacks.
		removed string
	}{
		"new replica waits until a quorum has adopted the epoch": {
			View{Self: own, Set: Set{3, voters("a", "b", "c")}, Adopted: adopted("a")}, Wait, ""},
		"new replica joins once a quorum has adopted the epoch": {
			View{Self: own, Set: Set{3, voters("a", "b", "c")}, Adopted: adopted("a", "b")}, Add, ""},
		"machine with a new disk first removes its old disk": {
			View{Self: Voter{"a", "new"}, Set: Set{3, voters("a", "b", "c")}, Adopted: adopted("b", "c"), Disks: map[string]string{"a": "new"}}, Remove, "disk-a"},
		"quorum without a lost disk needs all remaining voters": {
			View{Self: Voter{"a", "new"}, Set: Set{3, voters("a", "b", "c")}, Adopted: adopted("b"), Disks: map[string]string{"a": "new"}}, Wait, ""},
		"lost disks need not adopt the epoch": {
			View{Self: Voter{"a", "new"}, Set: Set{3, voters("a", "b", "c")}, Adopted: adopted("c"), Disks: map[string]string{"a": "new", "b": "newer"}}, Remove, "disk-a"},
		"unreachable voter of three stays because two cannot lose another": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c")}, Adopted: adopted("own", "b"), Unreachable: unreachable(long, "c")}, None, ""},
		"unreachable voter of four is removed because three can lose another": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(long, "d")}, Remove, "disk-d"},
		"removal waits until a quorum has adopted the epoch": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d")}, Adopted: adopted("own", "b"), Unreachable: unreachable(long, "d")}, Wait, ""},
		"short outage is ignored": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(time.Second, "d")}, None, ""},
		"one of two unreachable voters of six is removed": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d", "e", "f")}, Adopted: adopted("own", "b", "c", "d"), Unreachable: unreachable(long, "e", "f")}, Remove, "disk-e"},
		"unreachable voter of five stays for seconds because the rest tolerates another loss": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d", "e")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(long, "e")}, None, ""},
		"unreachable voter of five is removed after the removal timeout": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d", "e")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(absent, "e")}, Remove, "disk-e"},
		"unreachable voter of three is removed after the removal timeout": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c")}, Adopted: adopted("own", "b"), Unreachable: unreachable(absent, "c")}, Remove, "disk-c"},
		"unreachable voter of five is removed after the removal timeout, tolerating two losses": {
			View{Self: own, Tolerate: 2, Set: Set{3, voters("own", "b", "c", "d", "e")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(absent, "e")}, Remove, "disk-e"},
		"unreachable voter of three stays when tolerating two losses": {
			View{Self: own, Tolerate: 2, Set: Set{3, voters("own", "b", "c")}, Adopted: adopted("own", "b"), Unreachable: unreachable(absent, "c")}, None, ""},
		"removal after the removal timeout waits until a quorum has adopted the epoch": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d", "e")}, Adopted: adopted("own", "b"), Unreachable: unreachable(absent, "e")}, Wait, ""},
		"half of the voters removes no voter": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d")}, Adopted: adopted("own", "b"), Unreachable: unreachable(long, "c", "d")}, None, ""},
		"voter that is reachable from others stays because only the path to it is cut": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c")}, Adopted: adopted("own", "b"), Unreachable: unreachable(absent, "c"), ReachableFrom: map[string]int{"disk-c": 1}}, None, ""},
		"voter that is reachable from a minority is removed": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d", "e")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(absent, "e"), ReachableFrom: map[string]int{"disk-e": 1}}, Remove, "disk-e"},
		"failed voter is removed while the path to another one is cut": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b", "c", "d", "e")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(absent, "d", "e"), ReachableFrom: map[string]int{"disk-d": 2}}, Remove, "disk-e"},
		"leaving voter removes itself": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own", "b", "c")}, Adopted: adopted("own", "b")}, Remove, "disk-own"},
		"leaving voter waits until a quorum of the rest holds the older charges": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own", "b", "c", "d")}, Adopted: adopted("own", "b", "c"), Settled: adopted("own", "b")}, Wait, ""},
		"new replica need not wait for voters whose disks are lost": {
			View{Self: own, Set: Set{3, voters("a", "b")}, Disks: map[string]string{"a": "new", "b": "newer"}}, Remove, "disk-a"},
		"one of two goes on without the other": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b")}, Adopted: adopted("own"), Settled: adopted("own"), Unreachable: unreachable(absent, "b")}, Remove, "disk-b"},
		"one of two waits for the other for seconds": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b")}, Adopted: adopted("own", "b"), Settled: adopted("own"), Unreachable: unreachable(long, "b")}, None, ""},
		"one of two that nobody reaches does not go on": {
			View{Self: own, Tolerate: 1, Set: Set{3, voters("own", "b")}, Adopted: adopted("own", "b"), Settled: adopted("own"), Unreachable: unreachable(absent, "b")}, None, ""},
		"one of two that may lack charges does not go on": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b")}, Adopted: adopted("own"), Settled: adopted("b"), Unreachable: unreachable(absent, "b")}, Wait, ""},
		"two of four go on without the others": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b", "c", "d")}, Settled: adopted("own", "b"), Unreachable: unreachable(absent, "c", "d")}, Remove, "disk-c"},
		"one of three does not go on": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b", "c")}, Adopted: adopted("own", "b", "c"), Unreachable: unreachable(absent, "b", "c")}, None, ""},
		"voter that is cut off stays while the disk of another one is lost": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b", "c")}, Settled: adopted("own"), Unreachable: unreachable(absent, "b"), Disks: map[string]string{"c": "new"}}, None, ""},
		"voter of four that is cut off is removed while the disk of another one is lost": {
			View{Self: own, Tolerate: 1, InContact: true, Set: Set{3, voters("own", "b", "c", "d")}, Settled: adopted("own", "b"), Unreachable: unreachable(absent, "d"), Disks: map[string]string{"c": "new"}}, Remove, "disk-d"},
		"leaving voter waits until a lost disk has been replaced": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own", "b", "c")}, Settled: adopted("own", "b"), Disks: map[string]string{"c": "new"}}, Wait, ""},
		"leaving voter waits while another voter is unreachable and the third one may lack charges": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own", "b", "c")}, Settled: adopted("own", "b"), Unreachable: unreachable(long, "c")}, Wait, ""},
		"leaving voter of four leaves while another voter is unreachable": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own", "b", "c", "d")}, Settled: adopted("own", "b", "c"), Unreachable: unreachable(long, "d")}, Remove, "disk-own"},
		"new disk does not remove the old one while the other voter is unreachable": {
			View{Self: Voter{"a", "new"}, Set: Set{3, voters("a", "b")}, Adopted: adopted("b"), Unreachable: unreachable(long, "b"), Disks: map[string]string{"a": "new"}}, Wait, ""},
		"leaving voter of two waits until the lost disk of the other one has been replaced": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own", "b")}, Settled: adopted("own"), Disks: map[string]string{"b": "new"}}, Wait, ""},
		"last voter cannot leave": {
			View{Self: own, Leaving: true, Set: Set{3, voters("own")}, Adopted: adopted("own")}, Wait, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.view.Settled == nil && adoptedByQuorum(c.view) {
				c.view.Settled = c.view.Adopted
			}
			change := Plan(c.view)
			require.Equal(t, c.want, change.Kind, change.Reason)
			if change.Next.Epoch > 0 {
				require.Equal(t, c.view.Set.Epoch+1, change.Next.Epoch)
				difference := len(change.Next.Voters) - len(c.view.Set.Voters)
				require.Contains(t, []int{-1, 1}, difference, "adjacent epochs differ by one voter")
			}
			if c.removed != "" {
				require.True(t, c.view.Set.Has(c.removed))
				require.False(t, change.Next.Has(c.removed))
			}
		})
	}
}

func TestAdjacentQuorumsIntersect(t *testing.T) {
	for size := 1; size <= 9; size++ {
		current := Set{Voters: make([]Voter, size)}
		grown := Set{Voters: make([]Voter, size+1)}
		require.Greater(t, current.Quorum()+grown.Quorum(), size+1)
	}
}

func TestSetEncodesAndDecodes(t *testing.T) {
	set := Set{Epoch: 7, Voters: voters("a", "b")}
	decoded, err := DecodeSet(set.Encode())
	require.NoError(t, err)
	require.Equal(t, set, decoded)
	_, err = DecodeSet([]byte("no set"))
	require.Error(t, err)
}

func nodesIn(zones ...string) []Node {
	var nodes []Node
	for place, zone := range zones {
		nodes = append(nodes, Node{Name: "n" + string(rune('a'+place)), Disk: "d" + string(rune('a'+place)), Zone: zone, Role: RoleReplica})
	}
	return nodes
}

func TestNewLayoutSpreadsEachCellOverZones(t *testing.T) {
	require.Equal(t, 1, NewLayout(nodesIn("x", "y", "z"), 1, nil).Cells)
	require.Equal(t, 1, NewLayout(nodesIn("x", "y", "z", "x", "y", "z", "x"), 1, nil).Cells)
	nodes := nodesIn("x", "x", "y", "y", "z", "z", "w", "w")
	layout := NewLayout(nodes, 1, nil)
	require.Equal(t, 2, layout.Cells)
	zoneOf := map[string]string{}
	for _, node := range nodes {
		zoneOf[node.Name] = node.Zone
	}
	for _, set := range layout.Founding {
		zones := map[string]bool{}
		for _, voter := range set.Voters {
			zones[zoneOf[voter.Node]] = true
		}
		require.Len(t, zones, 4)
	}
	decoded, err := DecodeLayout(layout.Encode())
	require.NoError(t, err)
	require.Equal(t, layout, decoded)
	_, err = DecodeLayout([]byte(`{"cells":2,"founding":[]}`))
	require.Error(t, err)
}

func TestChooseCell(t *testing.T) {
	sets := []Set{{Epoch: 3, Voters: voters("a", "b", "c")}, {Epoch: 1, Voters: voters("d", "e")}}
	registered := 0
	require.Equal(t, 1, ChooseCell(Node{Name: "other", Disk: "disk-d"}, "", Layout{}, sets, nil), "the cell whose set names its disk")
	require.Equal(t, 0, ChooseCell(Node{Name: "b", Disk: "new"}, "", Layout{}, sets, nil), "the cell whose set names its machine")
	require.Equal(t, 0, ChooseCell(Node{Name: "f", Disk: "new", Cell: &registered}, "", Layout{}, sets, nil), "the cell it registered for")
	require.Equal(t, 1, ChooseCell(Node{Name: "f", Disk: "new"}, "", Layout{}, sets, nil), "the cell with the fewest voters")
	sets[1].Voters = voters("d", "e", "f")
	zones := map[string]string{"a": "x", "d": "y"}
	require.Equal(t, 1, ChooseCell(Node{Name: "g", Disk: "new", Zone: "x"}, "", Layout{}, sets, zones), "the cell without a voter in its zone")
}

func TestReadPrefersCellSetToFoundingSet(t *testing.T) {
	layout := NewLayout(nodesIn("x", "x", "y", "y", "z", "z", "w", "w"), 1, nil)
	changed := layout.Founding[1].Without(layout.Founding[1].Voters[0].Disk)
	read := NewReader().Read([]registry.Object{
		{Name: SetName(1), Revision: 9, Value: changed.Encode()}, {Name: LayoutName, Revision: 3, Value: layout.Encode()},
		{Name: "node-r", Value: []byte(`{"name":"r","role":"replica","cell":1}`)}, {Name: "node-g", Value: []byte(`{"name":"g","role":"gateway"}`)},
		{Name: "node-bad", Value: []byte(`{`)}, {Name: SetName(7), Value: changed.Encode()},
	})
	require.True(t, read.HasLayout)
	require.Equal(t, layout.Founding[0], read.Sets[0])
	require.Equal(t, changed, read.Sets[1])
	require.Equal(t, []uint64{0, 9}, read.Revisions)
	require.Equal(t, 1, read.CellOfNode(read.Replicas["r"]))
	require.Equal(t, NoCell, read.CellOfNode(Node{Name: "unknown"}))
	require.Len(t, read.Gateways, 1)
}
