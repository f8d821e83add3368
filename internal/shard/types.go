package shard

import (
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// SessionKey names a session. The tenant is part of the key, so two tenants
// that choose the same session name can never meet.
type SessionKey struct {
	Tenant  string
	Session string
}

// CallKind tells which kind of back end a call is for.
type CallKind uint8

// The kinds of call.
const (
	EngineCall CallKind = iota + 1
	ApplicationCall
	ToolCall
)

// String returns the name used in logs and answers.
func (k CallKind) String() string {
	switch k {
	case EngineCall:
		return "engine"
	case ApplicationCall:
		return "application"
	case ToolCall:
		return "tool"
	default:
		return "unknown"
	}
}

// CallID names one call of one session.
type CallID struct {
	Key      SessionKey
	Sequence uint64
}

// AttemptID names one attempt at a call. Back ends see it as the request id, so
// an engine recognises the same attempt when another node resumes it.
type AttemptID struct {
	Call    CallID
	Attempt int
}

// Request is a call as the caller issued it. It is immutable.
type Request struct {
	ID CallID
	// Ask names the caller's try: the gateway and its request number. Copies of one
	// try that arrive late never run a call that the try was told did not run.
	Ask            string
	Program        string
	ParentProgram  string
	Template       string
	IdempotencyKey string
	Kind           CallKind
	// Service is the back-end service, for example "agent-llm" or "hire-billing".
	Service string
	Model   string
	// Path is the path below the service for application and tool calls.
	Path string
	// Body holds the new messages of an engine call (a JSON array) or the whole
	// body of another call.
	Body []byte
	// BodyTokens is the prompt length that Body adds, in tokens.
	BodyTokens int64
	// MaxTokens bounds the completion of an engine call, in tokens.
	MaxTokens    int64
	Unrepeatable bool
	// Deadline is when the caller gives up; zero means that it does not say.
	Deadline time.Time
}

// Limits bound one session. Zero means unlimited.
type Limits struct {
	Turns    int64
	Tokens   int64
	WallTime time.Duration
}

// Call is one numbered call of a session. A Call is replaced, never changed,
// so that snapshots can share it.
type Call struct {
	Request Request
	// Attempt counts dispatches from one.
	Attempt int
	// StreamAttempt is the attempt that began the engine's stream. It is less than
	// Attempt when the newest attempt resumes an earlier one's stream.
	StreamAttempt int
	// BackEnd is where the newest attempt was sent.
	BackEnd string
	// Dispatcher is the member that sends the newest attempt.
	Dispatcher string
	// Reserved is what the allowance set aside for the newest attempt, in tokens.
	Reserved int64
	// BudgetVersion is the tenant's budget version that Reserved came from.
	BudgetVersion uint64
	// EnginePriority is what the engine is told; it serves higher values first.
	EnginePriority int
	// Explanation says why the newest attempt went to BackEnd.
	Explanation string
	BegunAt     time.Time
	// Outcome is nil while the call is in progress.
	Outcome *Outcome
}

// Outcome is the recorded end of a call.
type Outcome struct {
	Verdict verdict.Verdict
	// Code and Reason are set when the call did not succeed.
	Code       verdict.Code
	Reason     string
	RetryAfter time.Duration
	// Status is the HTTP status of the back end's answer.
	Status int
	// Body is the answer: the completion's text for an engine call, else the body.
	Body []byte
	// PromptTokens, CachedTokens and CompletionTokens are the engine's own count.
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
	FinishedAt       time.Time
}

// Succeeded reports whether the outcome is a back end's complete answer.
func (o *Outcome) Succeeded() bool {
	return o.Verdict == verdict.Ran && o.Code == ""
}

// Session is the state of one live or ended session.
type Session struct {
	Key           SessionKey
	Program       string
	ParentProgram string
	// Template and the fields below it are those in force when the session
	// began; later changes of the template do not touch a running session.
	Template         string
	TemplateRevision uint64
	Limits           Limits
	StartedAt        time.Time
	LastActiveAt     time.Time
	Calls            []*Call
	// HistoryTokens is the prompt length of all finished turns.
	HistoryTokens int64
	// ServedTokens is the service the session has had: prompt tokens computed
	// plus completion tokens.
	ServedTokens int64
	// Engines lists where cache may be held for the session, in order of use.
	Engines []string
	Ended   bool
}

// LastCall returns the newest call, or nil.
func (s *Session) LastCall() *Call {
	if len(s.Calls) == 0 {
		return nil
	}
	return s.Calls[len(s.Calls)-1]
}

// InProgress reports whether the newest call has no outcome yet.
func (s *Session) InProgress() bool {
	last := s.LastCall()
	return last != nil && last.Outcome == nil
}

// CallBySequence returns the call with the given number, or nil.
func (s *Session) CallBySequence(sequence uint64) *Call {
	if sequence == 0 || sequence > uint64(len(s.Calls)) {
		return nil
	}
	return s.Calls[sequence-1]
}

// Release is an order to an engine to drop the cache it holds for a session.
type Release struct {
	Key    SessionKey
	Engine string
}
