package raft

import "slices"

// MemberID names one incarnation of a node, in the form "node#incarnation".
type MemberID string

// Member is one replica of a group.
type Member struct {
	ID MemberID
	// Learner members receive the log but count in no quorum (thesis, section 4.2.1).
	Learner bool
}

// Membership is the set of replicas of a group, in a fixed order.
type Membership struct {
	Members []Member
}

// Voter reports whether id counts in quorums.
func (m Membership) Voter(id MemberID) bool {
	return slices.Contains(m.Members, Member{ID: id})
}

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id MemberID) bool {
	return m.Voter(id) || slices.Contains(m.Members, Member{ID: id, Learner: true})
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	count := 0
	for _, member := range m.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// Quorum returns the number of voters that must agree.
func (m Membership) Quorum() int {
	return m.VoterCount()/2 + 1
}

// Entry is one numbered record of the log. Entries are immutable once created.
type Entry struct {
	Index uint64
	Term  uint64
	// Membership is set on entries that state or change the membership.
	Membership *Membership
	// Command is what the owner proposed; nil on membership entries.
	Command any
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// State is the owner's state machine after applying Index. It is immutable.
	State any
}

// MessageKind tells what a Message is for.
type MessageKind uint8

// The kinds of message, with the names of the thesis.
const (
	AppendEntries MessageKind = iota + 1
	AppendEntriesReply
	RequestPreVote
	RequestPreVoteReply
	RequestVote
	RequestVoteReply
	InstallSnapshot
	TimeoutNow
	// Removed tells a member that asks for votes that the group goes on without it.
	Removed
)

// Message is what members of a group send each other.
type Message struct {
	Kind MessageKind
	// Group is the shard number.
	Group    uint32
	From, To MemberID
	Term     uint64
	// PrevIndex and PrevTerm identify the entry before Entries in AppendEntries,
	// and the sender's last entry in vote requests. In a reply PrevIndex is the
	// last index known to match, or on rejection the index to try next.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Reject    bool
	Snapshot  *Snapshot
}
