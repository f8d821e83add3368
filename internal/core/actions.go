package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
)

// Action is an output of Step.
type Action interface{ isAction() }

// SendPeer sends an envelope to another node.
type SendPeer struct {
	To       string
	Envelope Envelope
}

// ReplyCaller gives a local caller its final answer.
type ReplyCaller struct {
	RequestID uint64
	Reply     Reply
}

// StartAttempt sends a call to a back end. Exactly one AttemptFinished must
// follow. The entry that allows the attempt is committed.
type StartAttempt struct {
	Attempt shard.AttemptID
	// StreamAttempt names the engine's stream: the attempt itself, or with Resume
	// the earlier attempt whose stream is taken up.
	StreamAttempt int
	Resume        bool
	BackEnd       schedule.BackEnd
	Request       shard.Request
	// History holds the session's finished engine calls, in order.
	History []*shard.Call
	// Priority is for the engine's own queue; TenantPriority is the parameter of
	// the tenant that is in force at the dispatcher.
	Priority       int
	TenantPriority int
	// Timeout is when the attempt is given up.
	Timeout time.Time
}

// CancelAttempt tells the owner to give up an attempt; no AttemptFinished is
// needed. With Abort the back end is told to stop as well; without, another node
// may have taken the stream over.
type CancelAttempt struct {
	Attempt shard.AttemptID
	Abort   bool
}

// BindStream sends the text of an attempt, as it arrives, to a waiting caller.
type BindStream struct {
	Attempt shard.AttemptID
	Caller  CallerReference
}

// ReleaseCache tells an engine to drop a session's cache.
type ReleaseCache struct {
	Release shard.Release
	BackEnd schedule.BackEnd
}

// ListHolds asks an engine for which sessions it holds memory.
type ListHolds struct{ BackEnd schedule.BackEnd }

// ReadChanges asks for the change sets after a revision from the object API. It
// is repeated while this node is one of the few readers.
type ReadChanges struct{ After uint64 }

// ReadMachines asks to read the platform's machine list; BackEndsListed follows.
type ReadMachines struct{}

// PollLoad asks a back end for its load; LoadReported follows if it answers.
type PollLoad struct{ BackEnd schedule.BackEnd }

// FormCell asks to create the object that names the cell's founding members.
// CellFormed follows once it is known which founding stands.
type FormCell struct {
	Cell    int
	Members []raft.MemberID
}

// StopReady says that nothing keeps a draining node from stopping.
type StopReady struct{}

// LogEvent is a line for the structured log.
type LogEvent struct {
	Message string
	Shard   uint32
	Call    shard.CallID
	Detail  string
}

func (SendPeer) isAction()      {}
func (ReplyCaller) isAction()   {}
func (StartAttempt) isAction()  {}
func (CancelAttempt) isAction() {}
func (BindStream) isAction()    {}
func (ReleaseCache) isAction()  {}
func (ListHolds) isAction()     {}
func (ReadChanges) isAction()   {}
func (FormCell) isAction()      {}
func (ReadMachines) isAction()  {}
func (PollLoad) isAction()      {}
func (StopReady) isAction()     {}
func (LogEvent) isAction()      {}
