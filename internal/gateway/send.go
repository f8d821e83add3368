package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// maxRefusals is how many instances that refuse a request are asked in a row
	// before the request waits or is refused.
	maxRefusals = 3
	// answerTimeoutLeast is how long an instance may always take to begin its answer.
	answerTimeoutLeast = 100 * time.Millisecond
)

// attempt is one send to an instance.
type attempt struct {
	choice backend.Choice
	answer *backend.Answer
	sentAt time.Time
	// firstEventAt is when the first event of a stream came; events counts them.
	firstEventAt time.Time
	events       int
	// watch ends a stream whose instance's machine is gone; nil for other requests.
	watch *livenessWatch
	// signSeen ends the watch for requests that are overdue.
	signSeen func()
	// release frees what the attempt holds besides the answer.
	release context.CancelFunc
}

// sawEvent notes an event of a stream.
func (a *attempt) sawEvent() {
	now := time.Now()
	if a.events == 0 {
		a.firstEventAt = now
		a.signSeen()
	}
	a.events++
	a.watch.heard(now)
}

// sendUntilTaken sends the request to one instance after another until one does
// not refuse it. A failure's verdict says whether the request may have run.
func (s *Server) sendUntilTaken(ctx context.Context, r *request, demand backend.Demand) (*attempt, *backend.Failure) {
	defer s.overload.left(r)
	refused := 0
	excluded := len(demand.Exclude)
	last := &backend.Failure{Verdict: verdict.NotRun, Reason: "no instance is known to be sound"}
	for {
		if !r.mayBeSent(time.Now()) {
			return nil, &backend.Failure{Verdict: verdict.NotRun, Reason: "too little time is left to send the request"}
		}
		choice, found := s.pick(r, refused, demand)
		if failure := s.barred(demand, found); failure != nil {
			return nil, failure
		}
		if !found && refused == 0 && excluded > 0 {
			// The instances that ran the request are the only ones: rather one of them again
			// than none.
			excluded, demand.Exclude = 0, nil
			continue
		}
		if !found {
			if failure := s.refuseWhileCold(r, demand.Service); failure != nil {
				return nil, failure
			}
			if !s.waitForSlot(ctx, r) {
				return nil, r.failureOf(last)
			}
			refused = 0
			demand.Exclude = demand.Exclude[:excluded]
			continue
		}
		sent, failure := s.send(ctx, r, choice)
		if failure == nil {
			s.overload.taken(r)
			s.programBegan(r)
			return sent, nil
		}
		if failure.Verdict != verdict.NotRun || ctx.Err() != nil {
			return nil, failure
		}
		last = failure
		refused++
		if demand.Pinned != "" && s.isGone(ctx, choice.Instance, failure) {
			demand.Pinned = ""
		}
		demand.Exclude = append(demand.Exclude, choice.Instance.ID)
	}
}

// mayBeSent reports whether enough time is left to learn what becomes of a send. A request that
// may have run already has nothing to lose by one more.
func (r *request) mayBeSent(now time.Time) bool {
	return r.lostAnswer || r.deadline.Sub(now) > overload.MinSendTime(r.deadline.Sub(r.arrived))
}

// pick chooses an instance unless enough of them have refused the request in this poll, or it
// may not ask while there is no room.
func (s *Server) pick(r *request, refused int, demand backend.Demand) (backend.Choice, bool) {
	if refused >= maxRefusals || refused == 0 && !s.admits(r) {
		return backend.Choice{}, false
	}
	return s.directory.Pick(time.Now(), demand)
}

// send makes one attempt. On success the caller must read the answer, end it, and release
// the attempt.
func (s *Server) send(ctx context.Context, r *request, choice backend.Choice) (*attempt, *backend.Failure) {
	r.outcome.sends++
	r.outcome.instance, r.outcome.born = choice.Instance.ID, choice.Instance.Born
	r.outcome.load, r.outcome.cost, r.outcome.candidates = choice.Load, choice.Cost, choice.Candidates
	r.outcome.expectedLoad, r.outcome.reportsAgeMS, r.outcome.missing = choice.ExpectedLoad, choice.ReportAge.Milliseconds(), choice.UncachedTokens
	s.metrics.sent(choice.Instance.Zone)
	s.metrics.missing.Add(float64(choice.UncachedTokens))
	sendCtx, release := context.WithCancel(ctx)
	var watch *livenessWatch
	if r.route.Kind == route.Streaming {
		watch = s.watchLiveness(sendCtx, r, choice.Instance, release)
		cancel := release
		release = func() { watch.stop(); cancel() }
	}
	signSeen := s.watchOverdue(sendCtx, r, choice)
	answerTimer := time.AfterFunc(s.answerTimeout(r), release)
	sentAt := time.Now()
	call := s.call(r, choice.Instance)
	call.MaySend = func() bool { return s.directory.MaySend(time.Now(), choice) }
	answer, failure := s.pool.Do(sendCtx, choice.Instance, call)
	answerTimer.Stop()
	if failure != nil || r.route.Kind != route.Streaming {
		signSeen()
	}
	if failure != nil {
		s.directory.Abandon(time.Now(), choice)
		release()
		watch.explain(failure)
		s.directory.EndFailed(time.Now(), choice, endedBy(ctx, failure))
		s.logSend(r, choice, failure)
		return nil, failure
	}
	s.pool.RecordActivity(time.Now(), choice.Instance.ID)
	s.directory.ResponseStarted(time.Now(), choice)
	if failure := s.instanceRefusal(choice, answer); failure != nil {
		release()
		s.logSend(r, choice, failure)
		return nil, failure
	}
	return &attempt{choice: choice, answer: answer, sentAt: sentAt, watch: watch, signSeen: signSeen, release: release}, nil
}

// endedBy returns what a send without an answer tells of its instance. A gateway that slept
// past its permit, or a caller that left, tells nothing of it.
func endedBy(ctx context.Context, failure *backend.Failure) backend.Outcome {
	switch {
	case failure.NotSent:
		return backend.NotSent
	case failure.Unreachable || ctx.Err() == nil:
		return backend.Unreachable
	default:
		return backend.NotSent
	}
}

// instanceRefusal ends an answer by which an instance refused the request without running it,
// and returns the refusal; nil if it took the request. Status 421 says that another instance
// has the address now.
func (s *Server) instanceRefusal(choice backend.Choice, answer *backend.Answer) *backend.Failure {
	status := answer.Response.StatusCode
	misdirected := status == http.StatusMisdirectedRequest
	if misdirected {
		s.directory.Misdirected(choice)
	}
	if answer.Response.Header.Get(s.dialect.NotExecuted) == "" && !misdirected {
		return nil
	}
	_, _ = io.Copy(io.Discard, answer.Body()) // read to keep the connection; a broken one is not kept
	answer.Finish()
	s.directory.End(time.Now(), choice, backend.Full)
	return &backend.Failure{
		Verdict: verdict.NotRun, Unreachable: misdirected, InstanceDown: misdirected,
		Reason: "the instance refused with status " + strconv.Itoa(status),
	}
}

// answerTimeout is how long an instance may take to begin its answer. A request that may
// run again and has another attempt goes on elsewhere after twice its objective: an
// instance that fell silent is not known to be gone for seconds.
func (s *Server) answerTimeout(r *request) time.Duration {
	remaining := time.Until(r.deadline)
	if !s.mayTryAgain(r) || r.route.Objective <= 0 {
		return remaining
	}
	return min(remaining, max(answerTimeoutLeast, 2*r.route.Objective))
}

// logSend writes a send without a usable answer.
func (s *Server) logSend(r *request, choice backend.Choice, failure *backend.Failure) {
	s.log.Warn().Str("event", "send_failed").Str("id", r.id).Str("instance", choice.Instance.ID).
		Str("verdict", failure.Verdict.String()).Str("reason", failure.Reason).Int("load", choice.Load).
		Int64("since_ms", time.Since(r.arrived).Milliseconds()).Msg("")
}
