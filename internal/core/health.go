package core

// HealthyShards returns the shards that this node leads with all replicas in place.
func (n *Node) HealthyShards() []uint32 {
	var healthy []uint32
	for _, number := range n.numbers {
		if g := n.groups[number]; g.raft.LeaderReady() && n.fullyReplicated(g) {
			healthy = append(healthy, number)
		}
	}
	return healthy
}

// fullyReplicated reports whether all voters of a group are alive and caught up,
// and none is about to stop that a spare node could replace.
func (n *Node) fullyReplicated(g *group) bool {
	current := g.raft.Membership()
	_, spare := n.spareMember(current)
	for _, member := range current.Members {
		self := member.ID == n.member
		if member.Learner || !n.detector.Alive(member.ID) || (!self && !g.raft.CaughtUp(member.ID)) {
			return false
		}
		if spare && !self && n.nodeDraining(member.ID) {
			return false
		}
	}
	return current.VoterCount() >= len(n.config.Topology.Voters(g.number)) && !g.raft.MembershipPending()
}

// cellWhole reports whether the cell's leaders together say that every shard has
// all its replicas. A shard without a leader is missing in the sum.
func (n *Node) cellWhole() bool {
	whole := len(n.HealthyShards())
	for _, node := range n.config.Topology.CellMembers(n.cell) {
		if heartbeat, _, known := n.detector.Last(node); known && node != n.config.Node && n.detector.NodeAlive(node) {
			whole += int(heartbeat.WholeShards)
		}
	}
	return whole >= len(n.config.Topology.ShardsOfCell(n.cell))
}

// mayStop reports whether a draining node can go without harm: the cell is whole
// without it, and no other draining node goes first. When no other node would go
// on serving, waiting helps nobody.
func (n *Node) mayStop() bool {
	serving := false
	for _, node := range n.config.Topology.CellMembers(n.cell) {
		heartbeat, _, known := n.detector.Last(node)
		if node == n.config.Node || !known || !n.detector.NodeAlive(node) {
			continue
		}
		if heartbeat.Draining && node < n.config.Node {
			return false
		}
		serving = serving || !heartbeat.Draining
	}
	return !serving || n.cellWhole()
}

// VotesIn returns in how many of the shards led here a member votes.
func (n *Node) VotesIn(node string) int {
	count := 0
	for _, number := range n.numbers {
		g := n.groups[number]
		for _, member := range g.raft.Membership().Members {
			if g.leading && !member.Learner && nodeOf(member.ID) == node {
				count++
			}
		}
	}
	return count
}
