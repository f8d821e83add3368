package raft

import "time"

// Step handles one message from another member.
func (r *Raft) Step(now time.Time, message Message) {
	if message.To != r.config.ID {
		return // addressed to an earlier incarnation of this node
	}
	switch message.Kind {
	case RequestPreVote:
		r.stepPreVote(now, message)
		return
	case RequestPreVoteReply:
		r.stepPreVoteReply(now, message)
		return
	case Removed:
		r.stepRemoved(message)
		return
	}
	if message.Term > r.term {
		r.becomeFollower(message.Term, "")
	}
	switch message.Kind {
	case RequestVote:
		r.stepVote(message)
	case RequestVoteReply:
		r.stepVoteReply(now, message)
	case AppendEntries, InstallSnapshot:
		r.stepFromLeader(message)
	case AppendEntriesReply:
		r.stepAppendReply(now, message)
	case TimeoutNow:
		if message.Term == r.term && r.Membership().Voter(r.config.ID) && r.role != Leader {
			r.startVote(now)
		}
	}
}

// stepPreVote grants when this member would vote for the sender and knows no
// live leader. It changes no term, so a member that was cut off cannot disturb
// a working leader when it returns (thesis, section 9.6).
func (r *Raft) stepPreVote(now time.Time, message Message) {
	if r.LeaderReady() && !r.MembershipPending() && !r.Membership().Contains(message.From) {
		r.send(Message{Kind: Removed, To: message.From, PrevIndex: r.log.membershipIndex()})
		return
	}
	if r.role == Leader && r.progress[message.From] != nil {
		r.sendAppend(now, message.From) // an idle leader is silent; it shows itself
		return
	}
	if r.leader == message.From {
		r.leader = "" // the leader itself says that it no longer leads
	}
	upToDate := r.log.upToDate(message.PrevIndex, message.PrevTerm)
	grant := message.Term > r.term && upToDate && r.role != Leader && !r.leaderAlive()
	term := message.Term
	if !grant {
		term = max(r.term, 1)
	}
	r.send(Message{Kind: RequestPreVoteReply, To: message.From, Term: term, Reject: !grant})
}

// stepRemoved stops the member from asking for votes. A message that is older
// than the newest membership known here was overtaken by an addition.
func (r *Raft) stepRemoved(message Message) {
	if message.Term < r.term || message.PrevIndex <= r.log.membershipIndex() {
		return
	}
	r.removed = true
	r.role = Follower
	r.leader = ""
}

func (r *Raft) stepPreVoteReply(now time.Time, message Message) {
	if message.Reject {
		if message.Term > r.term {
			r.becomeFollower(message.Term, "")
		}
		return
	}
	if r.role != PreCandidate || message.Term != r.term+1 {
		return
	}
	r.votes[message.From] = true
	if r.wonVotes() {
		r.startVote(now)
	}
}

func (r *Raft) stepVote(message Message) {
	free := r.votedFor == "" || r.votedFor == message.From
	grant := message.Term == r.term && free && r.role != Leader &&
		r.log.upToDate(message.PrevIndex, message.PrevTerm)
	if grant {
		r.votedFor = message.From
	}
	r.send(Message{Kind: RequestVoteReply, To: message.From, Reject: !grant})
}

func (r *Raft) stepVoteReply(now time.Time, message Message) {
	if r.role != Candidate || message.Term != r.term || message.Reject {
		return
	}
	r.votes[message.From] = true
	if r.wonVotes() {
		r.becomeLeader(now)
	}
}

// stepFromLeader handles what only a leader sends. A message of an older term
// comes from a deposed leader; the reply's term tells it so.
func (r *Raft) stepFromLeader(message Message) {
	if message.Term < r.term {
		r.send(Message{Kind: AppendEntriesReply, To: message.From, Reject: true})
		return
	}
	r.role = Follower
	r.leader = message.From
	r.removed = false
	if message.Kind == InstallSnapshot {
		r.installSnapshot(message)
		return
	}
	if message.PrevIndex > r.log.lastIndex() || !r.log.matches(message.PrevIndex, message.PrevTerm) {
		hint := min(r.log.lastIndex(), message.PrevIndex-1)
		hint = max(hint, r.commit)
		r.send(Message{Kind: AppendEntriesReply, To: message.From, Reject: true, PrevIndex: hint})
		return
	}
	for _, entry := range message.Entries {
		r.acceptEntry(entry)
	}
	match := message.PrevIndex + uint64(len(message.Entries))
	r.commit = max(r.commit, min(message.Commit, match))
	r.send(Message{Kind: AppendEntriesReply, To: message.From, PrevIndex: match, Commit: r.commit})
}

// acceptEntry stores one entry, dropping a conflicting suffix first.
func (r *Raft) acceptEntry(entry Entry) {
	if entry.Index <= r.commit || entry.Index < r.log.firstIndex() {
		return
	}
	if entry.Index <= r.log.lastIndex() {
		if r.log.term(entry.Index) == entry.Term {
			return
		}
		r.log.truncateFrom(entry.Index)
	}
	r.log.append(entry)
}

func (r *Raft) installSnapshot(message Message) {
	snapshot := message.Snapshot
	if snapshot.Index > r.commit {
		r.log.restore(*snapshot)
		r.commit = snapshot.Index
		r.delivered = snapshot.Index
		r.ready.Snapshot = snapshot
		r.ready.Committed = nil
	}
	r.send(Message{Kind: AppendEntriesReply, To: message.From, PrevIndex: r.commit, Commit: r.commit})
}

func (r *Raft) stepAppendReply(now time.Time, message Message) {
	peer := r.progress[message.From]
	if r.role != Leader || message.Term != r.term || peer == nil {
		return
	}
	if message.Reject {
		if message.PrevIndex+1 < peer.next && message.PrevIndex >= peer.match {
			peer.next = message.PrevIndex + 1
			r.sendAppend(now, message.From)
		}
		return
	}
	peer.match = max(peer.match, message.PrevIndex)
	peer.next = max(peer.next, peer.match+1)
	peer.commitAcked = max(peer.commitAcked, message.Commit)
	before := r.commit
	r.advanceCommit(now)
	if r.commit > before {
		r.tellCommit(now)
		return
	}
	if peer.next <= r.log.lastIndex() {
		r.sendAppend(now, message.From)
	}
}

// tellCommit sends the new commit index to all live members at once, so that
// followers apply it without waiting for the next proposal.
func (r *Raft) tellCommit(now time.Time) {
	for _, member := range r.Membership().Members {
		if r.progress[member.ID] != nil && r.config.Liveness.Alive(member.ID) {
			r.sendAppend(now, member.ID)
		}
	}
}
