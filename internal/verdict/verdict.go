// Package verdict defines the errors that callers receive. Each carries a Verdict, which
// states whether the request may have run, so that the caller knows whether a retry could
// run it twice.
package verdict

import (
	"fmt"
	"time"
)

// Verdict is what is known about the execution of one request.
type Verdict uint8

const (
	// NotRun means that no back end has started the request and none ever will.
	NotRun Verdict = iota + 1
	// MayHaveRun means that the request was sent to a back end and its outcome is unknown.
	MayHaveRun
	// Ran means that a back end ran the request and its outcome is recorded.
	Ran
)

// String returns the form used in HTTP answers, logs and reports.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Code names the reason of a refusal or failure. Codes are part of the HTTP API.
type Code string

// Codes returned to callers. docs/API.md lists them with their HTTP status.
const (
	CodeBadRequest         Code = "bad_request"
	CodeUnauthorized       Code = "unauthorized"
	CodeNotPermitted       Code = "not_permitted"
	CodeNotFound           Code = "not_found"
	CodeSequenceGap        Code = "sequence_gap"
	CodePreviousInProgress Code = "previous_call_in_progress"
	CodeKeyConflict        Code = "idempotency_key_conflict"
	CodeSessionEnded       Code = "session_ended"
	CodeLimitReached       Code = "program_limit_reached"
	CodeBudgetExhausted    Code = "budget_exhausted"
	CodeTenantLimit        Code = "tenant_limit_reached"
	CodeOverloaded         Code = "overloaded"
	CodeDeadline           Code = "deadline_exceeded"
	CodeNoBackEnd          Code = "no_back_end"
	CodeEvacuated          Code = "zones_evacuated"
	CodeNoInstanceInHome   Code = "no_instance_in_home_regions"
	CodeNotResumable       Code = "stream_not_resumable"
	CodeOriginUnknown      Code = "stream_origin_unknown"
	CodeVersionGone        Code = "stream_version_gone"
	CodeQuarantined        Code = "request_quarantined"
	CodeBackEndFailed      Code = "back_end_failed"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeUnavailable        Code = "unavailable"
	CodeStaleConfig        Code = "configuration_behind"
	CodeInternal           Code = "internal"
	CodeTooLarge           Code = "too_large"
	CodeTooManyStreams     Code = "too_many_streams"
	CodeAnswerInProgress   Code = "answer_in_progress"
	CodeNotLeader          Code = "not_leader"
	CodeMethodUnsupported  Code = "method_not_allowed"
)

// Error is the error returned to callers. It is immutable once returned.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code is the machine-readable reason.
	Code Code
	// Reason is one human-readable sentence; it never names another caller.
	Reason string
	// RetryAfter is how long to wait before a retry may succeed; zero means that it will not.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Reason)
}

// Refuse returns a NotRun error that asks the caller to retry after retryAfter.
func Refuse(code Code, retryAfter time.Duration, format string, arguments ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Reason: fmt.Sprintf(format, arguments...), RetryAfter: retryAfter}
}

// OutcomeUnknown returns a MayHaveRun error.
func OutcomeUnknown(code Code, format string, arguments ...any) *Error {
	return &Error{Verdict: MayHaveRun, Code: code, Reason: fmt.Sprintf(format, arguments...)}
}
