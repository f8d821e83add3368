package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// largestAnswer bounds what is kept of an answer before it is passed on.
const largestAnswer = 64 << 20

// servePlain serves a request with one answer.
func (s *Server) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	if failure := s.withinLimit(ctx, r); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	demand := backend.Demand{Service: r.service.Name, Homes: r.homes(), Priority: r.route.Priority, ByExpectedEnd: s.placesByExpectedEnd(r)}
	for runs := 0; ; {
		sent, failure := s.sendUntilAccepted(ctx, r, demand)
		if failure == nil {
			failure = s.passAnswer(w, r, sent)
			if failure == nil {
				return
			}
		}
		if failure.Verdict != verdict.NotRun {
			runs++
			r.lostAnswer = true
		}
		// A request that ran and whose answer there is no memory for would need as much again.
		if r.route.Kind == route.Safe && failure.Verdict == verdict.MayHaveRun && runs < r.route.Attempts && ctx.Err() == nil {
			demand.Exclude = append(demand.Exclude, r.outcome.instance)
			continue
		}
		s.refuse(w, r, s.failed(ctx, r, failure, runs > 0))
		return
	}
}

// failed returns the truthful answer for a request without one of an instance.
func (s *Server) failed(ctx context.Context, r *request, failure *backend.Failure, ran bool) *refusal {
	late := ctx.Err() != nil || !time.Now().Before(r.deadline)
	switch {
	case !ran && failure.Bar != backend.NotBarred:
		return refuseBarred(failure.Bar)
	case !ran && failure.Verdict == verdict.NotRun:
		return refuseFor(verdict.CodeOverloaded, cmp.Or(failure.RetryAfter, max(r.retryAfter, minOverloadRetry)), failure.Reason)
	case late:
		return refuseOutcomeUnknown(http.StatusGatewayTimeout, failure.Reason)
	default:
		return refuseOutcomeUnknown(http.StatusBadGateway, failure.Reason)
	}
}

// passAnswer reads a whole answer and hands it to the caller. An answer that is
// not whole, or no answer of an instance, is a failure.
func (s *Server) passAnswer(w http.ResponseWriter, r *request, sent *attempt) *backend.Failure {
	defer sent.release()
	answer := sent.answer
	body, err := io.ReadAll(accountingReader{source: io.LimitReader(answer.Body(), largestAnswer), held: r.held, copies: 1})
	var full *memoryError
	if errors.As(err, &full) {
		answer.Discard()
		s.directory.End(time.Now(), sent.choice, backend.Answered)
		s.logMemoryBound(r, full.bound, true)
		return &backend.Failure{Verdict: verdict.Ran, Reason: full.Error()}
	}
	if err != nil {
		answer.Discard()
		s.directory.EndFailed(time.Now(), sent.choice, backend.Failed)
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the answer broke off: " + err.Error()}
		s.logSendFailure(r, sent.choice, failure)
		return failure
	}
	answer.Finish()
	response := answer.Response
	s.directory.EndFailed(time.Now(), sent.choice, endedWith(response.StatusCode))
	if response.StatusCode/100 == 2 {
		s.observe(r, sent, time.Time{}, 0)
	}
	if response.StatusCode >= http.StatusInternalServerError && s.mayRetry(r) {
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the instance answered " + strconv.Itoa(response.StatusCode)}
		s.logSendFailure(r, sent.choice, failure)
		return failure
	}
	if response.StatusCode/100 == 2 && response.Header.Get(s.dialect.Signature) == "" {
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the answer has no signature"}
		s.logSendFailure(r, sent.choice, failure)
		return failure
	}
	copyHeader(w.Header(), response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.outcome.status = response.StatusCode
	r.outcome.result = "answered"
	w.WriteHeader(response.StatusCode)
	s.writeWhole(w, r, body)
	return nil
}

// writePiece is how many bytes a caller gets at once: it has the time for a write for each.
const writePiece = 64 << 10

// writeWhole hands a whole answer to the caller. One that leaves, or reads nothing, gets an answer
// that is cut off.
func (s *Server) writeWhole(w http.ResponseWriter, r *request, body []byte) {
	for piece := range slices.Chunk(body, writePiece) {
		s.extendWriteDeadline(w, r)
		if _, err := w.Write(piece); err != nil {
			r.outcome.reason = s.writeFailure(err)
			return
		}
	}
}

// writeFailure says why an answer could not be written to its caller.
func (s *Server) writeFailure(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "the caller read nothing for " + s.unreadTimeout.String()
	}
	return "the caller left"
}

// observe tells the directory how long a whole answer took. firstAt is when its first
// event came, if it was a stream.
func (s *Server) observe(r *request, sent *attempt, firstAt time.Time, events int) {
	now := time.Now()
	seen := backend.Observation{
		Kind: r.route.Name, Missing: sent.choice.Missing, Load: sent.choice.Load, Took: now.Sub(sent.sentAt), Events: events,
	}
	if events > 0 {
		seen.First = firstAt.Sub(sent.sentAt)
	}
	s.directory.Observe(now, sent.choice, seen)
	s.recordTenantService(now, r, seen.Took)
	s.programTurnEnded(now, r, seen.Took)
}

// endedWith tells an instance's own failures from its answers.
func endedWith(status int) backend.Ended {
	if status >= http.StatusInternalServerError {
		return backend.Failed
	}
	return backend.Answered
}

// mayRetry reports whether the request may go to another instance after a run.
func (s *Server) mayRetry(r *request) bool {
	return r.route.Kind == route.Safe && r.outcome.sends < r.route.Attempts && time.Until(r.deadline) > minAnswerTimeout
}

// copyHeader passes an answer's headers on. The absence of a content type is kept.
func copyHeader(to, from http.Header) {
	for name, values := range forwardableHeaders(from) {
		to[name] = values
	}
	if _, named := to["Content-Type"]; !named {
		to["Content-Type"] = nil
	}
}
