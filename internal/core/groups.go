package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/shard"
)

// replaceAfter is how long a voter's node must be gone before another node of
// the cell takes its place. A new incarnation of the same node replaces it at once.
const replaceAfter = 10 * time.Second

// group is this node's replica of one shard.
type group struct {
	number uint32
	raft   *raft.Raft
	state  *shard.State
	// proposals wait for their index to be applied.
	proposals map[uint64]proposal
	// leading is set while this member is a leader that may decide.
	leading bool
	// leadingSince is when that began.
	leadingSince time.Time
	// purgedAt is when this leader last looked for sessions to forget.
	purgedAt time.Time

	// The fields below belong to the leader and are dropped when it is deposed.

	// pending holds the calls that have not begun, one a session.
	pending map[shard.SessionKey]*pendingCall
	// waiters are the callers to answer when a call in progress ends.
	waiters map[shard.CallID][]waiter
	// retries are calls in progress that wait for another attempt.
	retries map[shard.CallID]*retryState
	// finishing marks outcomes whose entry is proposed and not yet decided.
	finishing map[shard.AttemptID]bool
	// requesting marks tenants for whom an allowance was asked.
	requesting map[string]bool
	// returning marks tenants with a return on its way to the ledger.
	returning map[string]bool
	// releasing marks releases sent to an engine and not yet confirmed.
	releasing map[shard.Release]bool
	// lastReserved is when a tenant's allowance was last drawn on.
	lastReserved map[string]time.Time
}

// proposal is what to do once a proposed entry is decided.
type proposal struct {
	term uint64
	// decided gets the result of Apply, or applied false when another entry took
	// the index, so that the proposed one is certain never to be applied.
	decided func(now time.Time, result any, applied bool)
}

// addGroup creates this node's replica of a shard.
func (n *Node) addGroup(number uint32, initial raft.Membership) *group {
	g := &group{number: number, state: shard.NewState(number), proposals: map[uint64]proposal{}}
	g.dropLeaderState()
	g.raft = raft.New(raft.Config{
		ID: n.member, Group: number, Liveness: n.detector,
		Random:       rand.New(rand.NewPCG(n.config.Seed, uint64(number)^n.config.Incarnation)),
		TakeSnapshot: func() any { return g.state.Clone() },
	}, initial)
	n.groups[number] = g
	n.numbers = append(n.numbers, number)
	slices.Sort(n.numbers)
	return g
}

func (g *group) dropLeaderState() {
	g.pending = map[shard.SessionKey]*pendingCall{}
	g.waiters = map[shard.CallID][]waiter{}
	g.retries = map[shard.CallID]*retryState{}
	g.finishing = map[shard.AttemptID]bool{}
	g.requesting = map[string]bool{}
	g.returning = map[string]bool{}
	g.releasing = map[shard.Release]bool{}
	g.lastReserved = map[string]time.Time{}
}

// propose appends a command to the shard's log. It reports false when this
// member does not lead; decided is then not called.
func (n *Node) propose(now time.Time, g *group, command any, decided func(now time.Time, result any, applied bool)) bool {
	index, term, accepted := g.raft.Propose(now, command)
	if !accepted {
		return false
	}
	if decided != nil {
		g.proposals[index] = proposal{term: term, decided: decided}
	}
	return true
}

func (n *Node) receiveRaft(now time.Time, batch RaftMessages) {
	for _, message := range batch.Messages {
		if message.To != n.member {
			continue // meant for an earlier incarnation
		}
		g := n.groups[message.Group]
		if g == nil {
			g = n.addGroup(message.Group, raft.Membership{})
		}
		g.raft.Step(now, message)
		n.drainGroup(now, g)
	}
}

// queueRaft collects replication messages by the node they go to.
func (n *Node) queueRaft(messages []raft.Message) {
	for _, message := range messages {
		node, _ := membership.SplitMemberID(message.To)
		if _, queued := n.raftQueue[node]; !queued {
			n.raftTargets = append(n.raftTargets, node)
		}
		n.raftQueue[node] = append(n.raftQueue[node], message)
	}
}

// flushRaft sends what queueRaft collected, one envelope a node.
func (n *Node) flushRaft() {
	for _, node := range n.raftTargets {
		n.send(node, RaftMessages{Messages: n.raftQueue[node]})
	}
	n.raftTargets = nil
	clear(n.raftQueue)
}

func (n *Node) drainGroups(now time.Time) {
	for _, number := range n.numbers {
		n.drainGroup(now, n.groups[number])
	}
	n.flushRaft()
}

// drainGroup applies what is committed, runs the continuations of decided
// proposals, and notices a change of leadership, until nothing is left to do.
func (n *Node) drainGroup(now time.Time, g *group) {
	for {
		ready := g.raft.TakeReady()
		n.queueRaft(ready.Messages)
		if ready.Snapshot != nil {
			g.state = ready.Snapshot.State.(*shard.State).Clone()
		}
		if len(ready.Committed) > 0 || ready.Snapshot != nil {
			n.applyCommitted(now, g, ready)
			continue
		}
		if g.raft.LeaderReady() != g.leading {
			n.leadershipChanged(now, g)
			continue
		}
		return
	}
}

// applyCommitted applies entries first and acts on them after, since acting may
// propose, and a snapshot taken then must be of all that was handed out.
func (n *Node) applyCommitted(now time.Time, g *group, ready raft.Ready) {
	type decision struct {
		proposal proposal
		result   any
		applied  bool
	}
	var decisions []decision
	var begun []*shard.Call
	var touched []shard.CallID
	if ready.Snapshot != nil {
		// Entries below a snapshot may or may not have been ours; the callers ask again.
		for index := range g.proposals {
			if index <= ready.Snapshot.Index {
				delete(g.proposals, index)
			}
		}
	}
	for _, entry := range ready.Committed {
		var result any
		if entry.Command != nil {
			result = g.state.Apply(entry.Command)
		}
		if done, released := entry.Command.(shard.ReleaseDone); released {
			n.scheduler.Forget(done.Release.Engine, done.Release.Key)
		}
		if waiting, found := g.proposals[entry.Index]; found {
			delete(g.proposals, entry.Index)
			decisions = append(decisions, decision{waiting, result, waiting.term == entry.Term})
		}
		switch r := result.(type) {
		case shard.BeginResult:
			if r.Begun != nil {
				begun = append(begun, r.Begun)
				touched = append(touched, r.Begun.Request.ID)
			}
		case shard.FinishResult:
			if r.Call != nil {
				touched = append(touched, r.Call.Request.ID)
				n.noteServed(now, r.Call)
			}
		}
	}
	n.forgetSettledAttempts(g, touched)
	for _, entry := range ready.Committed {
		if end, ended := entry.Command.(shard.EndSession); ended {
			n.abortEnded(now, g, end.Key)
		}
	}
	for _, call := range begun {
		n.dispatchBegun(now, g, call)
	}
	for _, d := range decisions {
		d.proposal.decided(now, d.result, d.applied)
	}
	n.answerFinished(g, touched)
}

func (n *Node) leadershipChanged(now time.Time, g *group) {
	g.leading = g.raft.LeaderReady()
	if g.leading {
		g.leadingSince = now
		n.emit(LogEvent{Message: "leadership taken", Shard: g.number})
		n.takeOver(now, g)
		return
	}
	n.emit(LogEvent{Message: "leadership lost", Shard: g.number})
	n.releaseCallers(g)
}

// maintainMembers replaces lost replicas, one change at a time: the new member
// is added as a learner, becomes a voter once it has caught up, and only then is
// the lost one removed, so that the quorum never shrinks.
func (n *Node) maintainMembers(now time.Time, g *group) {
	if g.raft.MembershipPending() {
		return
	}
	current := g.raft.Membership()
	if next, change := n.planMembership(now, g, current); change {
		g.raft.ProposeMembership(now, next)
	}
}

// planMembership returns the next single step towards a membership of live members.
func (n *Node) planMembership(now time.Time, g *group, current raft.Membership) (raft.Membership, bool) {
	for _, member := range current.Members {
		if member.Learner && !n.detector.Alive(member.ID) {
			return without(current, member.ID), true
		}
	}
	for _, member := range current.Members {
		if !member.Learner || !g.raft.CaughtUp(member.ID) {
			continue
		}
		return promote(current, member.ID), true
	}
	wanted := len(n.config.Topology.Voters(g.number))
	if current.VoterCount() > wanted {
		if surplus, found := n.surplusVoter(current); found {
			return without(current, surplus), true
		}
	}
	if hasLearner(current) {
		return current, false
	}
	return n.planAddition(now, current, wanted)
}

// surplusVoter returns the voter to remove from a group that has one too many:
// one that is gone, else one that prepares to stop.
func (n *Node) surplusVoter(current raft.Membership) (raft.MemberID, bool) {
	for _, member := range current.Members {
		if !n.detector.Alive(member.ID) {
			return member.ID, true
		}
	}
	for _, member := range current.Members {
		if member.ID != n.member && n.nodeDraining(member.ID) {
			return member.ID, true
		}
	}
	return "", false
}

// planAddition adds a learner when a voter is gone or the group is too small.
func (n *Node) planAddition(now time.Time, current raft.Membership, wanted int) (raft.Membership, bool) {
	needed := current.VoterCount() < wanted
	for _, member := range current.Members {
		node, incarnation := membership.SplitMemberID(member.ID)
		heartbeat, heardAt, known := n.detector.Last(node)
		if n.detector.Alive(member.ID) {
			needed = needed || n.nodeDraining(member.ID)
			continue
		}
		if known && heartbeat.Incarnation != incarnation && n.detector.NodeAlive(node) {
			return withLearner(current, membership.MemberID(node, heartbeat.Incarnation))
		}
		if !known || now.Sub(heardAt) > replaceAfter {
			needed = true
		}
	}
	if spare, found := n.spareMember(current); needed && found {
		return withLearner(current, spare)
	}
	return current, false
}

// spareMember returns a live node of the cell that has no replica of the group.
func (n *Node) spareMember(current raft.Membership) (raft.MemberID, bool) {
	for _, node := range n.config.Topology.CellMembers(n.cell) {
		if memberOfNode(current, node) || !n.detector.NodeAlive(node) {
			continue
		}
		if heartbeat, _, known := n.detector.Last(node); known && !heartbeat.Draining {
			return membership.MemberID(node, heartbeat.Incarnation), true
		}
	}
	return "", false
}

func hasLearner(m raft.Membership) bool {
	return slices.ContainsFunc(m.Members, func(member raft.Member) bool { return member.Learner })
}

func memberOfNode(m raft.Membership, node string) bool {
	return slices.ContainsFunc(m.Members, func(member raft.Member) bool {
		name, _ := membership.SplitMemberID(member.ID)
		return name == node
	})
}

func without(m raft.Membership, id raft.MemberID) raft.Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Members), func(member raft.Member) bool { return member.ID == id })
	return raft.Membership{Members: kept}
}

func promote(m raft.Membership, id raft.MemberID) raft.Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		if members[i].ID == id {
			members[i].Learner = false
		}
	}
	return raft.Membership{Members: members}
}

func withLearner(m raft.Membership, id raft.MemberID) (raft.Membership, bool) {
	if m.Contains(id) {
		return m, false
	}
	return raft.Membership{Members: append(slices.Clone(m.Members), raft.Member{ID: id, Learner: true})}, true
}
