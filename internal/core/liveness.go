package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
)

const (
	// gossipInterval is how often a node tells one node outside its cell of itself.
	gossipInterval = time.Second
	// newsFanout is how many nodes outside the cell hear of a new configuration
	// with each heartbeat during newsDuration, an epidemic in the sense of Demers
	// et al. (1987): it reaches all in a time that grows with the logarithm.
	newsFanout   = 3
	newsDuration = time.Second
	// newsDelay joins changes that come close together.
	newsDelay = 50 * time.Millisecond
	// formationInterval spaces the tries to found a cell.
	formationInterval = time.Second
)

// sendHeartbeats sends to every member of the cell, and now and then to one node
// elsewhere, so that the cost does not grow with the number of nodes.
func (n *Node) sendHeartbeats(now time.Time) {
	if now.Before(n.nextHeartbeat) {
		return
	}
	n.nextHeartbeat = now.Add(membership.HeartbeatInterval)
	heartbeat := membership.Heartbeat{
		Incarnation: n.config.Incarnation, Formed: n.formed,
		Draining: n.draining, WholeShards: uint32(len(n.HealthyShards())), ConfigRevision: n.catalogue.Revision(), MachinesVersion: n.machines.Version,
	}
	for _, node := range n.config.Topology.CellMembers(n.cell) {
		if node != n.config.Node {
			n.send(node, heartbeat)
		}
	}
	cells := n.config.Topology.Cells()
	if cells == 1 {
		return
	}
	for range n.gossipTargets(now) {
		other := (n.cell + 1 + n.random.IntN(cells-1)) % cells
		members := n.config.Topology.CellMembers(other)
		n.send(members[n.random.IntN(len(members))], heartbeat)
	}
}

// gossipTargets returns how many nodes elsewhere hear of this one now: several
// with each heartbeat while this node has news, else one now and then.
func (n *Node) gossipTargets(now time.Time) int {
	if now.Before(n.newsUntil) {
		return newsFanout
	}
	if now.Before(n.nextGossip) {
		return 0
	}
	n.nextGossip = now.Add(gossipInterval)
	return 1
}

// spreadNews makes this node tell others of a newer configuration at once.
func (n *Node) spreadNews(now time.Time) {
	n.newsUntil = now.Add(newsDuration)
	n.nextHeartbeat = minTime(n.nextHeartbeat, now.Add(newsDelay))
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// tryFormation founds the cell when all its nodes are alive and none belongs to
// it yet. The founding is an object created once in the object API, so two nodes
// that try found the same cell. A node that starts later hears from a formed
// peer and is added by the leaders; it needs no object API.
func (n *Node) tryFormation(now time.Time) {
	if n.formed || now.Before(n.nextFormation) {
		return
	}
	n.nextFormation = now.Add(formationInterval)
	members := n.config.Topology.CellMembers(n.cell)
	founders := make([]raft.MemberID, 0, len(members))
	for _, node := range members {
		incarnation := n.config.Incarnation
		if node != n.config.Node {
			heartbeat, _, known := n.detector.Last(node)
			if !known || heartbeat.Formed || !n.detector.NodeAlive(node) {
				return
			}
			incarnation = heartbeat.Incarnation
		}
		founders = append(founders, membership.MemberID(node, incarnation))
	}
	n.emit(FormCell{Cell: n.cell, Members: founders})
}

// pullFounding asks a formed peer of the cell for its founders.
func (n *Node) pullFounding(now time.Time, from string, heartbeat membership.Heartbeat) {
	sameCell := n.config.Topology.CellOfNode(from) == n.cell
	if n.formed || !heartbeat.Formed || !sameCell || now.Sub(n.foundingPulledAt) < pullInterval {
		return
	}
	n.foundingPulledAt = now
	n.send(from, FoundingPull{})
}

func (n *Node) answerFoundingPull(from string) {
	if n.formed {
		n.send(from, FoundingPush{Members: n.founders})
	}
}

// form applies who founded the cell. A founder creates its replicas; any other
// node, as one that restarted without its state, is added by the shards' leaders.
func (n *Node) form(founders []raft.MemberID) {
	if n.formed {
		return
	}
	n.formed = true
	n.founders = founders
	byNode := map[string]raft.MemberID{}
	for _, founder := range founders {
		byNode[nodeOf(founder)] = founder
	}
	if byNode[n.config.Node] != n.member {
		return
	}
	for _, number := range n.config.Topology.ShardsOfCell(n.cell) {
		var initial raft.Membership
		for _, node := range n.config.Topology.Voters(number) {
			initial.Members = append(initial.Members, raft.Member{ID: byNode[node]})
		}
		if n.groups[number] == nil && initial.Voter(n.member) {
			n.addGroup(number, initial)
		}
	}
}
