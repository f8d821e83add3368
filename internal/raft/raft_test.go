package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// network is a set of members in memory, with links that can be cut.
type network struct {
	now     time.Time
	members map[MemberID]*Raft
	applied map[MemberID][]any
	down    map[MemberID]bool
	cut     map[[2]MemberID]bool
	order   []MemberID
}

func (n *network) Alive(id MemberID) bool { return !n.down[id] }

func newNetwork(size int) *network {
	n := &network{
		now: time.Unix(0, 0), members: map[MemberID]*Raft{}, applied: map[MemberID][]any{},
		down: map[MemberID]bool{}, cut: map[[2]MemberID]bool{},
	}
	var membership Membership
	for i := range size {
		membership.Members = append(membership.Members, Member{ID: MemberID(fmt.Sprintf("n%d#1", i))})
	}
	for _, member := range membership.Members {
		n.add(member.ID, membership)
	}
	return n
}

func (n *network) add(id MemberID, membership Membership) {
	n.order = append(n.order, id)
	n.members[id] = New(Config{
		ID: id, Group: 0, Liveness: n, Random: rand.New(rand.NewPCG(1, uint64(len(n.order)))),
		TakeSnapshot: func() any { return append([]any(nil), n.applied[id]...) },
	}, membership)
}

// run lets time pass and delivers all messages.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		for _, id := range n.order {
			if !n.down[id] {
				n.members[id].Tick(n.now)
			}
		}
		n.deliver()
	}
}

func (n *network) deliver() {
	for {
		var messages []Message
		for _, id := range n.order {
			ready := n.members[id].TakeReady()
			if ready.Snapshot != nil {
				n.applied[id] = append([]any(nil), ready.Snapshot.State.([]any)...)
			}
			for _, entry := range ready.Committed {
				if entry.Command != nil {
					n.applied[id] = append(n.applied[id], entry.Command)
				}
			}
			messages = append(messages, ready.Messages...)
		}
		if len(messages) == 0 {
			return
		}
		for _, message := range messages {
			receiver := n.members[message.To]
			if receiver == nil || n.down[message.To] || n.down[message.From] || n.cut[[2]MemberID{message.From, message.To}] {
				continue
			}
			receiver.Step(n.now, message)
		}
	}
}

func (n *network) leader() *Raft {
	for _, id := range n.order {
		if !n.down[id] && n.members[id].LeaderReady() {
			return n.members[id]
		}
	}
	return nil
}

func TestElectsOneLeaderAndReplicates(t *testing.T) {
	n := newNetwork(3)
	n.run(time.Second)
	leader := n.leader()
	require.NotNil(t, leader)
	_, _, accepted := leader.Propose(n.now, "a")
	require.True(t, accepted)
	n.run(100 * time.Millisecond)
	for _, id := range n.order {
		require.Equal(t, []any{"a"}, n.applied[id])
	}
}

func TestLossOfLeaderKeepsCommittedEntries(t *testing.T) {
	n := newNetwork(5)
	n.run(time.Second)
	first := n.leader()
	first.Propose(n.now, "a")
	n.run(100 * time.Millisecond)
	n.down[first.config.ID] = true
	n.run(time.Second)
	second := n.leader()
	require.NotNil(t, second)
	require.NotEqual(t, first.config.ID, second.config.ID)
	second.Propose(n.now, "b")
	n.run(100 * time.Millisecond)
	n.down[first.config.ID] = false
	n.run(time.Second)
	for _, id := range n.order {
		require.Equal(t, []any{"a", "b"}, n.applied[id])
	}
}

func TestPausedLeaderIsFencedByTerm(t *testing.T) {
	n := newNetwork(3)
	n.run(time.Second)
	paused := n.leader()
	n.down[paused.config.ID] = true
	n.run(time.Second)
	require.NotNil(t, n.leader())
	n.down[paused.config.ID] = false
	require.Equal(t, Leader, paused.Role(), "the paused member still believes that it leads")
	paused.Propose(n.now, "stale")
	n.run(time.Second)
	for _, id := range n.order {
		require.NotContains(t, n.applied[id], "stale")
	}
	require.NotEqual(t, Leader, paused.Role())
}

func TestLeaderThatHearsNobodyStepsDown(t *testing.T) {
	n := newNetwork(3)
	n.run(time.Second)
	deaf := n.leader()
	for _, id := range n.order {
		n.cut[[2]MemberID{id, deaf.config.ID}] = true
	}
	deaf.Propose(n.now, "x")
	n.run(4 * time.Second)
	require.NotEqual(t, Leader, deaf.Role())
	current := n.leader()
	require.NotNil(t, current, "the others elect a leader although they still hear the deaf one")
	require.NotEqual(t, deaf.config.ID, current.config.ID)
}

func TestReplacementWithoutShrinkingTheQuorum(t *testing.T) {
	n := newNetwork(3)
	n.run(time.Second)
	leader := n.leader()
	for i := range 20 {
		leader.Propose(n.now, i)
	}
	n.run(100 * time.Millisecond)
	leader.Compact(5)
	lost := n.order[0]
	if lost == leader.config.ID {
		lost = n.order[1]
	}
	n.down[lost] = true
	added := MemberID("n9#2")
	n.add(added, Membership{})
	members := append([]Member(nil), leader.Membership().Members...)
	require.True(t, leader.ProposeMembership(n.now, Membership{Members: append(members, Member{ID: added, Learner: true})}))
	n.run(500 * time.Millisecond)
	require.True(t, leader.CaughtUp(added))
	require.Len(t, n.applied[added], 20, "the learner got a snapshot")
	require.True(t, leader.ProposeMembership(n.now, Membership{Members: append(members, Member{ID: added})}))
	n.run(500 * time.Millisecond)
	require.False(t, leader.MembershipPending())
	var kept []Member
	for _, member := range leader.Membership().Members {
		if member.ID != lost {
			kept = append(kept, member)
		}
	}
	require.True(t, leader.ProposeMembership(n.now, Membership{Members: kept}))
	n.run(500 * time.Millisecond)
	leader.Propose(n.now, "after")
	n.run(100 * time.Millisecond)
	require.Contains(t, n.applied[added], "after")
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	n := newNetwork(3)
	n.run(time.Second)
	leader := n.leader()
	two := append([]Member(nil), leader.Membership().Members...)
	two = append(two, Member{ID: "a#1"}, Member{ID: "b#1"})
	require.False(t, leader.ProposeMembership(n.now, Membership{Members: two}))
}

func TestIdleLeaderShowsItselfToAPreCandidate(t *testing.T) {
	n := newNetwork(3)
	n.run(time.Second)
	leader := n.leader()
	lonely := n.members[n.order[0]]
	if lonely == leader {
		lonely = n.members[n.order[1]]
	}
	lonely.startPreVote(n.now)
	lonely.TakeReady() // its requests are lost
	require.Equal(t, PreCandidate, lonely.Role())
	n.run(time.Second)
	require.Equal(t, Follower, lonely.Role())
	require.Equal(t, leader.config.ID, lonely.Leader())
}

func TestRemovedMemberStopsAskingForVotes(t *testing.T) {
	n := newNetwork(4)
	n.run(time.Second)
	leader := n.leader()
	var removed MemberID
	var kept []Member
	for _, member := range leader.Membership().Members {
		if removed == "" && member.ID != leader.config.ID {
			removed = member.ID
			continue
		}
		kept = append(kept, member)
	}
	require.True(t, leader.ProposeMembership(n.now, Membership{Members: kept}))
	n.run(time.Second)
	require.True(t, n.members[removed].IsRemoved())
}
