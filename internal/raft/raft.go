package raft

import (
	"math/rand/v2"
	"time"
)

// Role is the part a member plays in its group.
type Role uint8

// The roles of the thesis, with the pre-candidate of section 9.6.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing of elections and retransmission. A group needs no clock to be safe;
// these only decide how soon it makes progress.
const (
	// electionRankStep spaces the candidates of a group so that the first usually wins alone.
	electionRankStep = 60 * time.Millisecond
	// electionJitter is added at random to each candidate's delay.
	electionJitter = 40 * time.Millisecond
	// electionRetry is how long a candidate waits for votes before it begins again.
	electionRetry = 250 * time.Millisecond
	// resendInterval is when unacknowledged entries are sent again.
	resendInterval = 150 * time.Millisecond
	// stalledLeaderLimit is how long a leader holds uncommitted entries before it steps down.
	stalledLeaderLimit = 1500 * time.Millisecond
	// maxEntriesPerMessage bounds one AppendEntries message.
	maxEntriesPerMessage = 64
)

// Liveness answers from the node's shared failure detector.
type Liveness interface {
	// Alive reports whether the member was heard from lately.
	Alive(id MemberID) bool
}

// Config holds what a member needs to know at creation.
type Config struct {
	ID       MemberID
	Group    uint32
	Liveness Liveness
	// Random is the only source of randomness; a fixed seed repeats a run.
	Random *rand.Rand
	// TakeSnapshot returns an immutable copy of the state after the last entry
	// returned by Ready. The owner applies entries before it calls again.
	TakeSnapshot func() any
}

// progress is what a leader knows of one other member.
type progress struct {
	match uint64
	next  uint64
	// commitAcked is the highest commit index the member was told and confirmed.
	commitAcked uint64
	sentAt      time.Time
}

// Raft is one member of one group. It is not safe for concurrent use.
type Raft struct {
	config Config

	term     uint64
	votedFor MemberID
	role     Role
	leader   MemberID

	log    entryLog
	commit uint64
	// delivered is the index up to which Ready has handed out entries.
	delivered uint64

	votes      map[MemberID]bool
	progress   map[MemberID]*progress
	campaignAt time.Time
	// stalledSince is when a leader's oldest uncommitted entry began to wait.
	stalledSince time.Time
	// removed is set once a leader said that this member is in the group no more.
	// The log is kept: the leader may add the member again.
	removed bool
	// termStart is the index of the first entry of the leader's own term.
	termStart uint64

	ready Ready
}

// Ready is what the owner must do after a call: restore the snapshot if set,
// apply the committed entries in order, then send the messages.
type Ready struct {
	Snapshot  *Snapshot
	Committed []Entry
	Messages  []Message
}

// New returns a member with an empty log. The initial membership is that of
// bootstrap, or empty for a member that is created by a leader's message.
func New(config Config, initial Membership) *Raft {
	return &Raft{
		config:   config,
		log:      newEntryLog(initial),
		progress: map[MemberID]*progress{},
	}
}

// Role returns the member's current role.
func (r *Raft) Role() Role { return r.role }

// Term returns the member's current term, which fences the actions of older leaders.
func (r *Raft) Term() uint64 { return r.term }

// IsRemoved reports whether a leader said that this member left the group.
func (r *Raft) IsRemoved() bool { return r.removed }

// Leader returns the member believed to lead, or "" when unknown.
func (r *Raft) Leader() MemberID { return r.leader }

// Membership returns the latest membership in the log, committed or not.
func (r *Raft) Membership() Membership { return r.log.membership() }

// CommitIndex returns the highest index known to be committed.
func (r *Raft) CommitIndex() uint64 { return r.commit }

// LastIndex returns the index of the last entry in the log.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// LeaderReady reports whether this member leads and has committed an entry of
// its own term, so that its state holds everything that was ever acknowledged.
func (r *Raft) LeaderReady() bool {
	return r.role == Leader && r.commit >= r.termStart
}

// TakeReady returns and clears the pending output.
func (r *Raft) TakeReady() Ready {
	if r.commit > r.delivered {
		r.ready.Committed = r.log.slice(r.delivered+1, r.commit)
		r.delivered = r.commit
	}
	out := r.ready
	r.ready = Ready{}
	return out
}

// Propose appends a command when this member leads. It returns the entry's
// index and term; the command is decided only when that index is committed
// with that term.
func (r *Raft) Propose(now time.Time, command any) (index, term uint64, accepted bool) {
	if r.role != Leader {
		return 0, 0, false
	}
	index = r.appendOwn(now, Entry{Command: command})
	return index, r.term, true
}

// ProposeMembership appends a membership that differs by one voter from the
// current one (thesis, section 4.1). It is refused while another change is not
// committed or before the leader has committed an entry of its term.
func (r *Raft) ProposeMembership(now time.Time, membership Membership) bool {
	if !r.LeaderReady() || r.log.membershipIndex() > r.commit {
		return false
	}
	if voterDifference(r.log.membership(), membership) > 1 {
		return false
	}
	r.appendOwn(now, Entry{Membership: &membership})
	return true
}

// MembershipPending reports whether a membership entry is not yet committed.
func (r *Raft) MembershipPending() bool {
	return r.log.membershipIndex() > r.commit
}

// CaughtUp reports whether the leader knows the member to hold all committed entries.
func (r *Raft) CaughtUp(id MemberID) bool {
	peer, known := r.progress[id]
	return known && peer.match >= r.commit
}

// TransferLeadership asks a caught-up voter to start an election at once
// (thesis, section 3.10). It reports whether the request was sent.
func (r *Raft) TransferLeadership(to MemberID) bool {
	if r.role != Leader || !r.Membership().Voter(to) || !r.CaughtUp(to) {
		return false
	}
	r.send(Message{Kind: TimeoutNow, To: to})
	return true
}

// Compact drops entries that are applied and older than the newest keep entries.
func (r *Raft) Compact(keep uint64) {
	if r.delivered > keep {
		r.log.compact(r.delivered - keep)
	}
}

// Tick lets the member act on the passing of time.
func (r *Raft) Tick(now time.Time) {
	switch r.role {
	case Leader:
		r.tickLeader(now)
	default:
		r.tickElection(now)
	}
}

// tickLeader sends again what is not acknowledged, and steps down when the
// quorum has been silent for too long, so that another member can be elected.
func (r *Raft) tickLeader(now time.Time) {
	if r.commit >= r.log.lastIndex() {
		r.stalledSince = time.Time{}
	} else if r.stalledSince.IsZero() {
		r.stalledSince = now
	} else if now.Sub(r.stalledSince) > stalledLeaderLimit {
		r.becomeFollower(r.term, "")
		return
	}
	for _, member := range r.Membership().Members {
		peer := r.progress[member.ID]
		if peer == nil || !r.config.Liveness.Alive(member.ID) {
			continue
		}
		behind := peer.match < r.log.lastIndex() || peer.commitAcked < r.commit
		if behind && now.Sub(peer.sentAt) >= resendInterval {
			peer.next = peer.match + 1
			r.sendAppend(now, member.ID)
		}
	}
}

// tickElection campaigns when the group has no live leader.
func (r *Raft) tickElection(now time.Time) {
	if r.removed || !r.Membership().Voter(r.config.ID) {
		return
	}
	if r.role == Follower && r.leaderAlive() {
		r.campaignAt = time.Time{}
		return
	}
	if r.campaignAt.IsZero() {
		r.campaignAt = now.Add(r.electionDelay())
	}
	if now.Before(r.campaignAt) {
		return
	}
	r.campaignAt = now.Add(electionRetry + r.electionDelay())
	r.startPreVote(now)
}

// electionDelay depends on the member's place in the membership and on the
// group, so that the leaders of many groups spread over the members.
func (r *Raft) electionDelay() time.Duration {
	members := r.Membership().Members
	rank := 0
	for place, member := range members {
		if member.ID == r.config.ID {
			rank = (place + int(r.config.Group)) % len(members)
		}
	}
	jitter := time.Duration(r.config.Random.Int64N(int64(electionJitter)))
	return time.Duration(rank)*electionRankStep + jitter
}

func (r *Raft) leaderAlive() bool {
	return r.leader != "" && r.config.Liveness.Alive(r.leader)
}

func (r *Raft) startPreVote(now time.Time) {
	r.role = PreCandidate
	r.leader = ""
	r.votes = map[MemberID]bool{r.config.ID: true}
	if r.wonVotes() {
		r.startVote(now)
		return
	}
	r.requestVotes(RequestPreVote, r.term+1)
}

func (r *Raft) startVote(now time.Time) {
	r.role = Candidate
	r.term++
	r.votedFor = r.config.ID
	r.leader = ""
	r.votes = map[MemberID]bool{r.config.ID: true}
	if r.wonVotes() {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(RequestVote, r.term)
}

func (r *Raft) requestVotes(kind MessageKind, term uint64) {
	for _, member := range r.Membership().Members {
		if member.ID == r.config.ID || member.Learner {
			continue
		}
		r.send(Message{
			Kind: kind, To: member.ID, Term: term,
			PrevIndex: r.log.lastIndex(), PrevTerm: r.log.lastTerm(),
		})
	}
}

func (r *Raft) wonVotes() bool {
	granted := 0
	for _, member := range r.Membership().Members {
		if !member.Learner && r.votes[member.ID] {
			granted++
		}
	}
	return granted >= r.Membership().Quorum()
}

func (r *Raft) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.config.ID
	r.stalledSince = time.Time{}
	r.progress = map[MemberID]*progress{}
	membership := r.Membership()
	r.syncProgress(membership)
	r.termStart = r.log.lastIndex() + 1
	r.appendOwn(now, Entry{Membership: &membership})
}

func (r *Raft) becomeFollower(term uint64, leader MemberID) {
	if term > r.term {
		r.term = term
		r.votedFor = ""
	}
	r.role = Follower
	r.leader = leader
	r.campaignAt = time.Time{}
}

// syncProgress gives each member of the newest membership a progress record.
func (r *Raft) syncProgress(membership Membership) {
	for _, member := range membership.Members {
		if member.ID == r.config.ID || r.progress[member.ID] != nil {
			continue
		}
		r.progress[member.ID] = &progress{next: r.log.lastIndex() + 1}
	}
}

func (r *Raft) appendOwn(now time.Time, entry Entry) uint64 {
	entry.Index = r.log.lastIndex() + 1
	entry.Term = r.term
	r.log.append(entry)
	if entry.Membership != nil {
		r.syncProgress(*entry.Membership)
	}
	r.advanceCommit(now)
	for _, member := range r.Membership().Members {
		if r.progress[member.ID] != nil {
			r.sendAppend(now, member.ID)
		}
	}
	return entry.Index
}

// advanceCommit commits the highest index that a quorum holds, counting only
// entries of the current term (thesis, section 3.6.2: an older term's entry on
// a quorum may still be overwritten).
func (r *Raft) advanceCommit(now time.Time) {
	membership := r.Membership()
	for index := r.log.lastIndex(); index > r.commit; index-- {
		if r.log.term(index) != r.term {
			return
		}
		held := 0
		for _, member := range membership.Members {
			if member.Learner {
				continue
			}
			if member.ID == r.config.ID || (r.progress[member.ID] != nil && r.progress[member.ID].match >= index) {
				held++
			}
		}
		if held >= membership.Quorum() {
			r.tellRemoved(r.commit, index)
			r.commit = index
			r.stalledSince = time.Time{}
			return
		}
	}
}

// tellRemoved tells the members that a newly committed membership leaves out. The
// message may be lost; a member that asks for votes later is told again.
func (r *Raft) tellRemoved(from, to uint64) {
	if r.log.membershipIndex() <= from || r.log.membershipIndex() > to {
		return
	}
	current := r.log.membership()
	for _, member := range r.log.membershipAt(r.log.membershipIndex() - 1).Members {
		if !current.Contains(member.ID) {
			r.send(Message{Kind: Removed, To: member.ID, PrevIndex: r.log.membershipIndex()})
		}
	}
}

func (r *Raft) sendAppend(now time.Time, to MemberID) {
	peer := r.progress[to]
	peer.sentAt = now
	if peer.next < r.log.firstIndex() {
		r.sendSnapshot(to)
		return
	}
	last := min(r.log.lastIndex(), peer.next+maxEntriesPerMessage-1)
	r.send(Message{
		Kind: AppendEntries, To: to,
		PrevIndex: peer.next - 1, PrevTerm: r.log.term(peer.next - 1),
		Entries: r.log.slice(peer.next, last), Commit: r.commit,
	})
	peer.next = last + 1
}

// sendSnapshot sends the state after the last delivered entry. The owner has
// applied all delivered entries, so its copy is exactly of that index.
func (r *Raft) sendSnapshot(to MemberID) {
	r.progress[to].next = r.delivered + 1
	r.send(Message{Kind: InstallSnapshot, To: to, Commit: r.delivered, Snapshot: &Snapshot{
		Index: r.delivered, Term: r.log.term(r.delivered),
		Membership: r.log.membershipAt(r.delivered), State: r.config.TakeSnapshot(),
	}})
}

func (r *Raft) send(message Message) {
	message.Group = r.config.Group
	message.From = r.config.ID
	if message.Term == 0 {
		message.Term = r.term
	}
	r.ready.Messages = append(r.ready.Messages, message)
}

// voterDifference counts voters that are in only one of two memberships.
func voterDifference(a, b Membership) int {
	difference := 0
	for _, member := range a.Members {
		if !member.Learner && !b.Voter(member.ID) {
			difference++
		}
	}
	for _, member := range b.Members {
		if !member.Learner && !a.Voter(member.ID) {
			difference++
		}
	}
	return difference
}
