package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// maxRefusals is how many instances in a row may refuse a request before the request waits
	// or is refused.
	maxRefusals = 3
	// minAnswerTimeout is the minimum time that an instance has to begin its answer.
	minAnswerTimeout = 100 * time.Millisecond
)

// attempt is one send of a request to an instance.
type attempt struct {
	choice backend.Choice
	answer *backend.Answer
	sentAt time.Time
	// firstEventAt is when the first event of a stream was received; events counts the events.
	firstEventAt time.Time
	events       int
	// watch cancels a stream whose instance's machine is gone; nil for other requests.
	watch *livenessWatch
	// stopOverdueWatch stops the watch for an overdue first event.
	stopOverdueWatch func()
	// release frees what the attempt holds besides the answer.
	release context.CancelFunc
}

// recordEvent records that an event of the stream was received.
func (a *attempt) recordEvent() {
	now := time.Now()
	if a.events == 0 {
		a.firstEventAt = now
		a.stopOverdueWatch()
	}
	a.events++
	a.watch.recordActivity(now)
}

// sendUntilAccepted sends the request to one instance after another until one accepts it. A
// failure's verdict states whether the request may have run.
func (s *Server) sendUntilAccepted(ctx context.Context, r *request, demand backend.Demand) (*attempt, *backend.Failure) {
	defer s.overload.remove(r)
	if s.containment != nil && r.outcome.sends >= s.containment.limit-1 {
		r.awaitExaminations(ctx)
	}
	refusals := 0
	excludedBefore := len(demand.Exclude)
	lastFailure := &backend.Failure{Verdict: verdict.NotRun, Reason: "no healthy instance is known"}
	for {
		s.examineRefusals(ctx, r)
		if failure := s.awaitContainment(ctx, r); failure != nil {
			return nil, failure
		}
		demand.EndsBehind, demand.RequestID = r.outcome.endsBehind, r.id
		if !r.hasTimeToSend(time.Now()) {
			return nil, &backend.Failure{Verdict: verdict.NotRun, Reason: "too little time is left to send the request"}
		}
		if s.mayAbort(r) {
			return nil, &backend.Failure{Verdict: verdict.NotRun, RetryAfter: otherGatewayRetry, Reason: stoppingReason}
		}
		choice, found := s.pick(r, refusals, demand)
		if failure := s.placementFailure(demand, found); failure != nil {
			return nil, failure
		}
		if !found && refusals == 0 && excludedBefore > 0 && len(r.withheld) == 0 {
			// Only instances that ran the request before are available: ask one of them again
			// rather than none.
			excludedBefore, demand.Exclude = 0, nil
			continue
		}
		if !found {
			if failure := s.refuseWhileCold(r, demand.Service); failure != nil {
				return nil, failure
			}
			s.logWithheld(r)
			if !s.waitForSlot(ctx, r, refusals > 0 || len(r.withheld) == 0) {
				return nil, r.failureIfHeld(lastFailure)
			}
			refusals = 0
			demand.Exclude = demand.Exclude[:excludedBefore]
			continue
		}
		sent, failure := s.send(ctx, r, choice)
		if failure == nil {
			s.overload.recordAccepted(r)
			s.recordProgramStart(r)
			return sent, nil
		}
		if decision, _ := s.verdictOn(r, ""); failure.Contained == quarantine.Withheld && decision == quarantine.Withheld {
			continue // it waits for the outcomes of other runs
		}
		if failure.Verdict != verdict.NotRun || failure.Contained.Stops() || ctx.Err() != nil {
			return nil, failure
		}
		lastFailure = failure
		refusals++
		if demand.Pinned != "" && s.isGone(ctx, choice.Instance, failure) {
			demand.Pinned = ""
		}
		demand.Exclude = append(demand.Exclude, choice.Instance.ID)
	}
}

// hasTimeToSend reports whether enough time is left to learn the outcome of a send. For a request
// that may have run already, the outcome is uncertain anyway, so it may always be sent.
func (r *request) hasTimeToSend(now time.Time) bool {
	return r.lostAnswer || r.deadline.Sub(now) > overload.MinSendTime(r.deadline.Sub(r.arrived))
}

// pick selects an instance. It finds none if enough instances have refused the request in this
// poll, or if the request may not poll instances while there is no capacity.
func (s *Server) pick(r *request, refusals int, demand backend.Demand) (backend.Choice, bool) {
	r.withheld = nil
	if refusals >= maxRefusals || refusals == 0 && !s.admits(r) {
		return backend.Choice{}, false
	}
	demand.IsWithheld = s.isWithheld(r)
	now := time.Now()
	if instances, confined := s.confinedTo(now, r); confined && demand.Pinned == "" {
		untried := slices.IndexFunc(instances, func(id string) bool { return !slices.Contains(demand.Exclude, id) })
		if untried < 0 {
			return backend.Choice{}, false
		}
		demand.Pinned = instances[untried]
	}
	return s.directory.Pick(now, demand)
}

// send makes one attempt. On success the caller must read the answer, end it, and release
// the attempt.
func (s *Server) send(ctx context.Context, r *request, choice backend.Choice) (*attempt, *backend.Failure) {
	r.outcome.sends++
	r.outcome.instance, r.outcome.instanceStarted = choice.Instance.ID, choice.Instance.Born
	r.outcome.instanceVersion = choice.Instance.Version
	r.outcome.load, r.outcome.cost, r.outcome.candidates = choice.Load, choice.Cost, choice.Candidates
	r.outcome.expectedLoad, r.outcome.reportsAgeMS, r.outcome.uncachedTokens = choice.ExpectedLoad, choice.ReportAge.Milliseconds(), choice.UncachedTokens
	s.metrics.countSend(choice.Instance.Zone)
	s.metrics.uncachedTokens.Add(float64(choice.UncachedTokens))
	sendCtx, release := context.WithCancel(ctx)
	var watch *livenessWatch
	if r.route.Kind == route.Streaming {
		watch = s.watchLiveness(sendCtx, r, choice.Instance, release)
		cancel := release
		release = func() { watch.stop(); cancel() }
	}
	stopOverdueWatch := s.watchOverdue(sendCtx, r, choice)
	var overdue atomic.Bool
	answerTimer := time.AfterFunc(s.answerTimeout(r), func() { overdue.Store(true); release() })
	sentAt := time.Now()
	call := s.instanceCall(r, choice.Instance)
	var contained *backend.Failure
	call.MaySend = func(life *backend.Life) bool {
		contained = s.beginRun(ctx, r, choice, life)
		return contained == nil && s.directory.MaySend(time.Now(), choice)
	}
	answer, failure := s.pool.Do(sendCtx, choice.Instance, call)
	answerTimer.Stop()
	if contained != nil {
		failure = contained
	}
	if failure != nil || r.route.Kind != route.Streaming {
		stopOverdueWatch()
	}
	if failure != nil {
		s.directory.Abandon(time.Now(), choice)
		release()
		watch.explain(failure)
		s.directory.EndFailed(time.Now(), choice, outcomeOfFailedSend(ctx, failure))
		s.logSendFailure(r, choice, failure)
		if failure.Verdict == verdict.NotRun {
			s.endRecordedRun(r)
		} else {
			s.examineLostRun(ctx, r, choice, causeOfLoss(ctx, overdue.Load(), watch))
		}
		return nil, failure
	}
	s.pool.RecordActivity(time.Now(), choice.Instance.ID)
	s.directory.ResponseStarted(time.Now(), choice)
	if failure := s.instanceRefusal(choice, answer); failure != nil {
		release()
		r.recordRefusal(choice.Instance.ID)
		if failure.InstanceDown {
			s.endRecordedRun(r)
			s.pool.RecordEnd(time.Now(), choice.Instance.ID)
		} else {
			s.recordRefusedRun(ctx, r, choice)
		}
		s.logSendFailure(r, choice, failure)
		return nil, failure
	}
	return &attempt{choice: choice, answer: answer, sentAt: sentAt, watch: watch, stopOverdueWatch: stopOverdueWatch, release: release}, nil
}

// outcomeOfFailedSend returns what a send without an answer implies for its instance: it is full if it accepts no further
// connection, nothing is implied if
// the gateway was suspended beyond its permission to send, or the caller disconnected.
func outcomeOfFailedSend(ctx context.Context, failure *backend.Failure) backend.Outcome {
	switch {
	case failure.NoConnection:
		return backend.Full
	case failure.NotSent:
		return backend.NotSent
	case failure.Unreachable || ctx.Err() == nil:
		return backend.Unreachable
	default:
		return backend.NotSent
	}
}

// instanceRefusal returns the failure if the instance refused the request without running it, and
// then consumes the answer; it returns nil if the instance accepted the request. Status 421 means
// that the address now belongs to another instance.
func (s *Server) instanceRefusal(choice backend.Choice, answer *backend.Answer) *backend.Failure {
	status := answer.Response.StatusCode
	misdirected := status == http.StatusMisdirectedRequest
	if misdirected {
		s.directory.Misdirected(choice)
	}
	if answer.Response.Header.Get(s.dialect.NotExecuted) == "" && !misdirected {
		return nil
	}
	answer.FinishUnread()
	s.directory.End(time.Now(), choice, backend.Full)
	return &backend.Failure{
		Verdict: verdict.NotRun, Unreachable: misdirected, InstanceDown: misdirected, LocalPort: answer.LocalPort(),
		Reason: "the instance refused with status " + strconv.Itoa(status),
	}
}

// answerTimeout returns how long an instance may take to begin its answer. A request that may
// run again and has another attempt left is retried elsewhere after twice its objective: it
// takes seconds until a silent instance is known to be gone.
func (s *Server) answerTimeout(r *request) time.Duration {
	remaining := time.Until(r.deadline)
	if !s.mayRetry(r) || r.route.Objective <= 0 {
		return remaining
	}
	return min(remaining, max(minAnswerTimeout, 2*r.route.Objective))
}

// logSendFailure logs a send without a usable answer.
func (s *Server) logSendFailure(r *request, choice backend.Choice, failure *backend.Failure) {
	s.log.Warn().Str("event", "send_failed").Str("id", r.id).Str("instance", choice.Instance.ID).
		Str("verdict", failure.Verdict.String()).Str("reason", failure.Reason).Int("load", choice.Load).
		Int("local_port", failure.LocalPort).Int64("since_ms", time.Since(r.arrived).Milliseconds()).Msg("")
}
