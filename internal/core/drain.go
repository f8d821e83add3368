package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
)

// balanceDelay is how long a leader leads before it hands over to the preferred one.
const balanceDelay = 5 * time.Second

// drainSettle is how many heartbeats a draining node waits at least, so that the
// others know of it and have moved its replicas before it looks whether it may go.
const drainSettle = 6

func (n *Node) beginDrain(now time.Time) {
	if !n.draining {
		n.draining = true
		n.drainingSince = now
	}
}

// drainLeadership moves the leadership of every shard led here to a live member
// that is caught up, while this node prepares to stop. Attempts already sent go
// on here and report to the new leaders.
func (n *Node) drainLeadership() {
	if !n.draining {
		return
	}
	for _, number := range n.numbers {
		g := n.groups[number]
		if g.raft.Role() != raft.Leader {
			continue
		}
		for _, successor := range n.successors(g) {
			if g.raft.TransferLeadership(successor) {
				break
			}
		}
	}
}

// successors returns the voters that could lead a group after this node.
func (n *Node) successors(g *group) []raft.MemberID {
	var list []raft.MemberID
	for _, member := range g.raft.Membership().Members {
		if !member.Learner && member.ID != n.member && n.detector.Alive(member.ID) && !n.nodeDraining(member.ID) {
			list = append(list, member.ID)
		}
	}
	return list
}

func (n *Node) nodeDraining(id raft.MemberID) bool {
	heartbeat, _, known := n.detector.Last(nodeOf(id))
	return known && heartbeat.Draining
}

// checkStop reports once that a draining node has nothing left to do: it leads
// nothing that another could lead, its attempts are recorded, and its callers are answered.
func (n *Node) checkStop() {
	recent := n.stepTime.Sub(n.drainingSince) < membership.HeartbeatInterval*drainSettle
	if !n.draining || recent || n.stopReadySent || len(n.attempts) > 0 || len(n.callerRequests) > 0 {
		return
	}
	for _, number := range n.numbers {
		g := n.groups[number]
		if g.raft.Role() == raft.Leader && len(n.successors(g)) > 0 {
			return
		}
	}
	if !n.mayStop() {
		return
	}
	n.stopReadySent = true
	n.emit(StopReady{})
}

// balanceLeadership hands one shard to the node that should lead it, so that
// leadership spreads evenly again after losses. Leaders that are new wait, and one
// shard moves at a time.
func (n *Node) balanceLeadership(now time.Time) {
	for _, number := range n.numbers {
		g := n.groups[number]
		if !g.leading || now.Sub(g.leadingSince) < balanceDelay || g.raft.MembershipPending() {
			continue
		}
		preferred := n.preferredLeader(g)
		if preferred != n.member && g.raft.TransferLeadership(preferred) {
			return
		}
	}
}

// preferredLeader is the first live voter in the shard's order of nodes, which
// begins at another node for each shard.
func (n *Node) preferredLeader(g *group) raft.MemberID {
	nodes := n.config.Topology.CellMembers(n.cell)
	for i := range nodes {
		node := nodes[(i+int(g.number))%len(nodes)]
		for _, member := range g.raft.Membership().Members {
			usable := !member.Learner && nodeOf(member.ID) == node && n.detector.Alive(member.ID)
			if usable && !n.nodeDraining(member.ID) {
				return member.ID
			}
		}
	}
	return n.member
}
