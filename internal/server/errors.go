package server

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// statusOf maps codes to HTTP status.
func statusOf(code verdict.Code) int {
	switch code {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeNotPermitted, verdict.CodeLimitReached:
		return http.StatusForbidden
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeMethodUnsupported:
		return http.StatusMethodNotAllowed
	case verdict.CodeSequenceGap, verdict.CodePreviousInProgress, verdict.CodeKeyConflict, verdict.CodeAnswerInProgress:
		return http.StatusConflict
	case verdict.CodeSessionEnded:
		return http.StatusGone
	case verdict.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeBudgetExhausted, verdict.CodeTooManyStreams:
		return http.StatusTooManyRequests
	case verdict.CodeDeadline:
		return http.StatusGatewayTimeout
	case verdict.CodeBackEndFailed, verdict.CodeOutcomeUnknown:
		return http.StatusBadGateway
	case verdict.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// errorBody is the format of every error, after OpenAI's.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         verdict.Code `json:"code"`
	Message      string       `json:"message"`
	Verdict      string       `json:"verdict"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

func detailOf(failure *verdict.Error) errorBody {
	return errorBody{Error: errorDetail{
		Code: failure.Code, Message: failure.Reason, Verdict: failure.Verdict.String(),
		RetryAfterMs: failure.RetryAfter.Milliseconds(),
	}}
}

func (s *Server) writeError(w http.ResponseWriter, failure *verdict.Error) {
	s.metrics.calls.WithLabelValues(failure.Verdict.String(), string(failure.Code)).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderVerdict, failure.Verdict.String())
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	w.WriteHeader(statusOf(failure.Code))
	_ = json.NewEncoder(w).Encode(detailOf(failure))
}
