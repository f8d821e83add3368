package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// servePlain serves a request that is answered as a whole, not by a stream.
func (s *Server) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	if failure := s.checkTenantLimit(ctx, r); failure != nil {
		s.refuse(w, r, failure)
		return
	}
	demand := backend.Demand{Service: r.service.Name, Homes: r.homes(), Priority: r.route.Priority, ByExpectedEnd: s.placesByExpectedEnd(r)}
	for runs := 0; ; {
		sent, failure := s.sendUntilAccepted(ctx, r, demand)
		if failure == nil {
			failure = s.relayAnswer(ctx, w, r, sent)
			if failure == nil {
				return
			}
		}
		if failure.Verdict != verdict.NotRun {
			runs++
			r.lostAnswer = true
		}
		// A request whose answer exceeded the memory bound is not retried: it would need as much again.
		if r.route.Kind == route.Safe && failure.Verdict == verdict.MayHaveRun && runs < r.route.Attempts && ctx.Err() == nil {
			demand.Exclude = append(demand.Exclude, r.outcome.instance)
			continue
		}
		s.refuse(w, r, s.refusalFor(ctx, r, failure, runs > 0))
		return
	}
}

// refusalFor returns the refusal of a failed request; ran reports whether it may have run before.
// The refusal states that the request has not run only if that is known.
func (s *Server) refusalFor(ctx context.Context, r *request, failure *backend.Failure, ran bool) *refusal {
	if ran {
		r.awaitExaminations(ctx) // the caller may come back at another gateway, which must know of the ends by then
	}
	late := ctx.Err() != nil || !time.Now().Before(r.deadline)
	switch {
	case !ran && failure.Contained.Stops():
		return containmentRefusal(failure)
	case !ran && failure.Restriction != backend.NotRestricted:
		return refuseIneligible(failure.Restriction)
	case !ran && failure.Verdict == verdict.NotRun:
		return refuseFor(verdict.CodeOverloaded, cmp.Or(failure.RetryAfter, max(r.retryAfter, minOverloadRetry)), failure.Reason)
	case late:
		return refuseOutcomeUnknown(http.StatusGatewayTimeout, failure.Reason)
	default:
		return refuseOutcomeUnknown(http.StatusBadGateway, failure.Reason)
	}
}

// relayAnswer reads a complete answer and writes it to the caller. An incomplete answer, or one
// without an instance's signature, is a failure.
func (s *Server) relayAnswer(ctx context.Context, w http.ResponseWriter, r *request, sent *attempt) *backend.Failure {
	defer sent.release()
	answer := sent.answer
	body := &answerBuffer{answerHolding: answerHolding{memory: s.answers}}
	defer body.release()
	err := body.read(answer.Response, accountingReader{source: answer.Body(), held: r.held, copies: 1})
	var outOfMemory *memoryError
	if errors.As(err, &outOfMemory) {
		answer.Discard()
		s.directory.End(time.Now(), sent.choice, backend.Answered)
		s.logMemoryBound(r, outOfMemory.bound, true)
		return &backend.Failure{Verdict: verdict.Ran, Reason: outOfMemory.Error()}
	}
	if err != nil {
		answer.Discard()
		s.directory.EndFailed(time.Now(), sent.choice, backend.Failed)
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the answer was interrupted: " + err.Error()}
		s.logSendFailure(r, sent.choice, failure)
		s.examineLostRun(ctx, r, sent.choice, causeOfBrokenAnswer(ctx, sent.watch, err))
		return failure
	}
	answer.Finish()
	s.recordAnswer(ctx, r, sent)
	response := answer.Response
	s.directory.EndFailed(time.Now(), sent.choice, outcomeOfAnswer(response.StatusCode))
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
	w.Header().Set("Content-Length", strconv.FormatInt(body.size, 10))
	r.outcome.status = response.StatusCode
	r.outcome.result = "answered"
	w.WriteHeader(response.StatusCode)
	s.writeInChunks(w, r, body.chunks)
	return nil
}

// writeChunkBytes is how many bytes are written to a caller at once; each write has its own deadline.
const writeChunkBytes = 64 << 10

// writeInChunks writes a complete answer to the caller. The answer of a caller that disconnects or
// stops reading is cut off.
func (s *Server) writeInChunks(w http.ResponseWriter, r *request, body [][]byte) {
	for _, part := range body {
		for chunk := range slices.Chunk(part, writeChunkBytes) {
			s.extendWriteDeadline(w, r)
			if _, err := w.Write(chunk); err != nil {
				r.outcome.reason = s.writeErrorReason(err)
				return
			}
		}
	}
}

// writeErrorReason returns why an answer could not be written to its caller.
func (s *Server) writeErrorReason(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "the caller read nothing for " + s.unreadTimeout.String()
	}
	return "the caller disconnected"
}

// observe reports to the directory, the tenant's share and the program's figures how long a
// complete answer took. firstEventAt is when its first event was received, if it was a stream.
func (s *Server) observe(r *request, sent *attempt, firstEventAt time.Time, events int) {
	now := time.Now()
	observation := backend.Observation{
		Kind: r.route.Name, UncachedTokens: sent.choice.UncachedTokens, Load: sent.choice.Load, Duration: now.Sub(sent.sentAt), Events: events,
	}
	if events > 0 {
		observation.TimeToFirstEvent = firstEventAt.Sub(sent.sentAt)
	}
	s.directory.Observe(now, sent.choice, observation)
	s.recordTenantUsage(now, r, observation.Duration)
	s.recordProgramTurn(now, r, observation.Duration)
}

// outcomeOfAnswer distinguishes an instance's own failures from its other answers.
func outcomeOfAnswer(status int) backend.Outcome {
	if status >= http.StatusInternalServerError {
		return backend.Failed
	}
	return backend.Answered
}

// mayRetry reports whether the request may be sent to another instance after a run.
func (s *Server) mayRetry(r *request) bool {
	return r.route.Kind == route.Safe && r.outcome.sends < r.route.Attempts && time.Until(r.deadline) > minAnswerTimeout
}

// copyHeader copies the headers that are forwarded. An absent content type stays absent.
func copyHeader(to, from http.Header) {
	for name, values := range forwardableHeaders(from) {
		to[name] = values
	}
	if _, named := to["Content-Type"]; !named {
		to["Content-Type"] = nil
	}
}
