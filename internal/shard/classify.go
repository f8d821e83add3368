package shard

import (
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// previousCallRetry is when a caller may ask again after sending a call while
// the one before it was still in progress.
const previousCallRetry = 500 * time.Millisecond

// Disposition says what to do with a request in view of what is recorded.
type Disposition uint8

// The dispositions of a request.
const (
	// Fresh requests may begin.
	Fresh Disposition = iota + 1
	// InProgress requests repeat a call that has no outcome yet.
	InProgress
	// Recorded requests repeat a call whose outcome stands.
	Recorded
	// Refused requests break a rule of the session.
	Refused
)

// Classify compares a request with the session's record. The call is set for
// InProgress and Recorded, the error for Refused.
func (s *State) Classify(request *Request) (Disposition, *Call, *verdict.Error) {
	session := s.Sessions[request.ID.Key]
	if session == nil {
		if _, forgotten := s.Tombstones[request.ID.Key]; forgotten {
			return Refused, nil, verdict.Refuse(verdict.CodeSessionEnded, 0, "the session has ended")
		}
		if request.ID.Sequence != 1 {
			return Refused, nil, verdict.Refuse(verdict.CodeSequenceGap, 0, "the session's next call is 1, not %d", request.ID.Sequence)
		}
		return Fresh, nil, nil
	}
	if call := session.CallBySequence(request.ID.Sequence); call != nil {
		return classifyRepeat(session, call, request)
	}
	if refusal := session.refuseNew(request); refusal != nil {
		return Refused, nil, refusal
	}
	return Fresh, nil, nil
}

// classifyRepeat handles a request whose number is already recorded.
func classifyRepeat(session *Session, call *Call, request *Request) (Disposition, *Call, *verdict.Error) {
	if call.Request.IdempotencyKey != request.IdempotencyKey {
		return Refused, nil, verdict.Refuse(verdict.CodeKeyConflict, 0, "call %d was issued with another idempotency key", request.ID.Sequence)
	}
	if call.Outcome == nil {
		return InProgress, call, nil
	}
	newest := session.LastCall() == call && !session.Ended
	anotherTry := call.Request.Ask != request.Ask
	if newest && anotherTry && call.mayBeginAgain() {
		return Fresh, call, nil
	}
	return Recorded, call, nil
}

// mayBeginAgain reports whether asking again for a finished call may run it
// again: it did not run, or it is repeatable and nobody knows.
func (c *Call) mayBeginAgain() bool {
	switch c.Outcome.Verdict {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return !c.Request.Unrepeatable
	default:
		return false
	}
}

// refuseNew returns why a call with the next number may not begin, or nil.
func (s *Session) refuseNew(request *Request) *verdict.Error {
	next := uint64(len(s.Calls)) + 1
	switch {
	case s.Ended:
		return verdict.Refuse(verdict.CodeSessionEnded, 0, "the session has ended")
	case request.ID.Sequence != next:
		return verdict.Refuse(verdict.CodeSequenceGap, 0, "the session's next call is %d, not %d", next, request.ID.Sequence)
	case s.InProgress():
		return verdict.Refuse(verdict.CodePreviousInProgress, previousCallRetry, "call %d is still in progress", next-1)
	}
	for _, call := range s.Calls {
		if call.Request.IdempotencyKey == request.IdempotencyKey {
			return verdict.Refuse(verdict.CodeKeyConflict, 0, "the idempotency key was used by call %d", call.Request.ID.Sequence)
		}
	}
	if last := s.LastCall(); last != nil && last.Outcome.Verdict == verdict.NotRun {
		return verdict.Refuse(verdict.CodeSequenceGap, 0, "call %d did not run; issue it again first", last.Request.ID.Sequence)
	}
	return nil
}
