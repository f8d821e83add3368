package core

import "fmt"

func (n *Node) DebugGroups() string {
	s := ""
	for _, k := range n.numbers {
		g := n.groups[k]
		s += fmt.Sprintf("%d: role %d term %d leader %s last %d commit %d members %v\n", k, g.raft.Role(), g.raft.Term(), g.raft.Leader(), g.raft.LastIndex(), g.raft.CommitIndex(), g.raft.Membership().Members)
	}
	return s
}
