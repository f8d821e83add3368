package core

import (
	"encoding/gob"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// Envelope carries one message between nodes. Sequence numbers the envelopes of
// one incarnation to one node, so that the receiver can drop a repeated one.
type Envelope struct {
	From        string
	Incarnation uint64
	Sequence    uint64
	Message     any
}

// RaftMessages are log replication messages, batched for one node.
type RaftMessages struct{ Messages []raft.Message }

// Forward carries a request to the leader of a shard.
type Forward struct {
	// Incarnation is that of the sender; it comes back in the reply.
	Incarnation uint64
	// RequestID and Copy name this copy of the request at the sender.
	RequestID uint64
	Copy      uint32
	Shard     uint32
	// Hops counts the nodes that passed the request on.
	Hops    uint8
	Payload any
}

// ForwardReply answers a Forward.
type ForwardReply struct {
	// Incarnation is that of the process that asked. A later process on the same
	// machine must not take the reply for one to its own request.
	Incarnation uint64
	RequestID   uint64
	// Copies are the copies that this reply settles: none of them will run
	// anything after it.
	Copies []uint32
	// NotLeader is set when the receiver does not lead the shard; Leader is the
	// node it believes does, or "".
	NotLeader bool
	Leader    string
	Reply     Reply
}

// Reply is the final answer to a request.
type Reply struct {
	// Error is set when the request was refused or its outcome is unknown.
	Error *verdict.Error
	// Call is the recorded call with its outcome.
	Call *shard.Call
	// Session is the record that was asked for.
	Session *shard.Session
	// Grant answers a GrantWanted.
	Grant shard.GrantRecord
	// Settled answers an AttemptReport: the attempt needs no more reports.
	Settled bool
}

// CallerReference names a caller who wants an answer's text as it is generated.
// The incarnation keeps text meant for a caller of an earlier process from one of
// a later process with the same number.
type CallerReference struct {
	Node        string
	Incarnation uint64
	RequestID   uint64
	// Offset is where in the answer's text, in bytes, the stream shall begin.
	Offset int64
}

// CallPayload asks the leader to run a call, or to attach to it.
type CallPayload struct {
	Request shard.Request
	// Caller is set when the caller wants the text as it comes.
	Caller *CallerReference
}

// AnswerPayload asks the leader for the answer of a call.
type AnswerPayload struct {
	ID shard.CallID
	// Caller is set when the caller wants the text as it comes.
	Caller *CallerReference
	// Wait asks to wait for the outcome of a call in progress.
	Wait bool
}

// SessionPayload asks the leader for a session's record.
type SessionPayload struct{ Key shard.SessionKey }

// EndPayload asks the leader to end a session.
type EndPayload struct{ Key shard.SessionKey }

// GrantPayload asks the ledger's shard for an allowance.
type GrantPayload struct {
	Tenant string
	Shard  uint32
	Number uint64
	Want   int64
}

// CreditPayload returns an allowance to the ledger's shard.
type CreditPayload struct {
	Tenant string
	Shard  uint32
	Number uint64
	Amount int64
}

// HoldPayload tells a session's shard that an engine holds memory for it.
type HoldPayload struct {
	Key    shard.SessionKey
	Engine string
}

// AttemptQuery asks a dispatcher what became of an attempt.
type AttemptQuery struct {
	Shard   uint32
	Attempt shard.AttemptID
}

// BindRequest asks a dispatcher to send an attempt's text to a caller.
type BindRequest struct {
	Attempt shard.AttemptID
	Caller  CallerReference
}

// AttemptReport tells a shard's leader the outcome of an attempt.
type AttemptReport struct {
	Shard     uint32
	Attempt   shard.AttemptID
	Outcome   shard.Outcome
	Retryable bool
	// Running asks whether an attempt that has no outcome yet is still wanted.
	Running bool
}

// ConfigPull asks a peer for the change sets after a revision.
type ConfigPull struct{ After uint64 }

// ConfigPush carries change sets, in order.
type ConfigPush struct{ Changes []catalogue.Change }

// FoundingPull asks a peer who founded the cell.
type FoundingPull struct{}

// FoundingPush names the members that founded the cell.
type FoundingPush struct{ Members []raft.MemberID }

// MachinesPull asks a peer for its machine list.
type MachinesPull struct{}

// MachinesPush is a machine list. Versions rise with each change of the list.
type MachinesPush struct {
	Version  uint64
	BackEnds []schedule.BackEnd
}

// RegisterGob makes the messages known to encoding/gob.
func RegisterGob() {
	shard.RegisterGob()
	for _, value := range []any{
		membership.Heartbeat{}, RaftMessages{}, Forward{}, ForwardReply{}, CallPayload{}, AnswerPayload{},
		SessionPayload{}, EndPayload{}, GrantPayload{}, CreditPayload{}, HoldPayload{}, AttemptQuery{},
		AttemptReport{}, BindRequest{}, ConfigPull{}, ConfigPush{}, FoundingPull{}, FoundingPush{}, MachinesPull{}, MachinesPush{},
	} {
		gob.Register(value)
	}
}
