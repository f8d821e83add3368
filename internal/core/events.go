package core

import (
	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
)

// Event is an input of Step.
type Event interface{ isEvent() }

// Tick says that time has passed. The owner sends one every TickInterval.
type Tick struct{}

// PeerReceived is a message from another node.
type PeerReceived struct{ Envelope Envelope }

// CallReceived is a call that a caller sent to this node.
type CallReceived struct {
	// RequestID is chosen by the owner and returned in Reply.
	RequestID uint64
	Request   shard.Request
	// Stream asks for the answer's text as it is generated.
	Stream bool
}

// AnswerWanted asks for the answer of a call by its number.
type AnswerWanted struct {
	RequestID uint64
	ID        shard.CallID
	Stream    bool
	// Offset is where in the answer's text, in bytes, the stream shall begin.
	Offset int64
	// Wait asks to wait for the outcome of a call in progress.
	Wait bool
}

// SessionWanted asks for the record of a session.
type SessionWanted struct {
	RequestID uint64
	Key       shard.SessionKey
}

// EndWanted asks to end a session.
type EndWanted struct {
	RequestID uint64
	Key       shard.SessionKey
}

// CallerGone says that the caller of a request went away.
type CallerGone struct{ RequestID uint64 }

// AttemptFinished is the outcome of an attempt that this node dispatched.
type AttemptFinished struct {
	Attempt shard.AttemptID
	Outcome shard.Outcome
	// Retryable is set when another attempt may succeed.
	Retryable bool
}

// BackEndsListed is the platform's newest machine list.
type BackEndsListed struct{ BackEnds []schedule.BackEnd }

// LoadReported is a back end's report of itself.
type LoadReported struct{ Report schedule.LoadReport }

// HoldsReported lists the sessions for which an engine holds memory.
type HoldsReported struct {
	Engine string
	Keys   []shard.SessionKey
}

// ReleaseFinished says whether an engine confirmed a release.
type ReleaseFinished struct {
	Release   shard.Release
	Confirmed bool
}

// ChangesRead are change sets read from the object API, in order.
type ChangesRead struct {
	Changes []catalogue.Change
}

// CellFormed says which incarnations founded this node's cell.
type CellFormed struct{ Members []raft.MemberID }

// StopWanted asks the node to prepare for a planned stop.
type StopWanted struct{}

func (Tick) isEvent()            {}
func (PeerReceived) isEvent()    {}
func (CallReceived) isEvent()    {}
func (AnswerWanted) isEvent()    {}
func (SessionWanted) isEvent()   {}
func (EndWanted) isEvent()       {}
func (CallerGone) isEvent()      {}
func (AttemptFinished) isEvent() {}
func (BackEndsListed) isEvent()  {}
func (LoadReported) isEvent()    {}
func (HoldsReported) isEvent()   {}
func (ReleaseFinished) isEvent() {}
func (ChangesRead) isEvent()     {}
func (CellFormed) isEvent()      {}
func (StopWanted) isEvent()      {}
