package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// maxRefusals is how many instances that refuse a request are asked in a row
	// before the gateway pauses.
	maxRefusals = 3
	// refusalPause is the pause before instances that had no room are asked again.
	refusalPause = 25 * time.Millisecond
	// waitShare is the part of a request's time that may pass without an instance
	// that takes it; the rest is left for a new attempt.
	waitShare = 2
	// leastPatience is how long an instance may always take to begin its answer.
	leastPatience = 100 * time.Millisecond
	// largestAnswer bounds what is kept of an answer before it is passed on.
	largestAnswer = 64 << 20
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
	watch *silenceWatch
	// release frees what the attempt holds besides the answer.
	release context.CancelFunc
}

// sawEvent notes an event of a stream.
func (a *attempt) sawEvent() {
	now := time.Now()
	if a.events == 0 {
		a.firstEventAt = now
	}
	a.events++
	a.watch.heard(now)
}

// sendUntilTaken sends the request to one instance after another until one does
// not refuse it. tried grows by each instance that was asked. A failure's verdict
// says whether the request may have run.
func (s *Server) sendUntilTaken(ctx context.Context, r *request, demand backend.Demand) (*attempt, *backend.Failure) {
	giveUp := r.arrived.Add(r.deadline.Sub(r.arrived) / waitShare)
	refused := 0
	excluded := len(demand.Exclude)
	last := &backend.Failure{Verdict: verdict.NotRun, Reason: "no instance is known to be sound"}
	for {
		choice, found := s.directory.Pick(time.Now(), demand)
		if !found || refused >= maxRefusals {
			if found {
				s.directory.End(time.Now(), choice.Instance.ID, backend.Answered)
			}
			if time.Now().After(giveUp) || !wait.For(ctx, refusalPause) {
				return nil, last
			}
			refused = 0
			demand.Exclude = demand.Exclude[:excluded]
			continue
		}
		sent, failure := s.send(ctx, r, choice)
		if failure == nil {
			return sent, nil
		}
		if failure.Verdict != verdict.NotRun || ctx.Err() != nil {
			return nil, failure
		}
		last = failure
		refused++
		demand.Exclude = append(demand.Exclude, choice.Instance.ID)
	}
}

// send makes one attempt. On success the caller must end it with done.
func (s *Server) send(ctx context.Context, r *request, choice backend.Choice) (*attempt, *backend.Failure) {
	r.outcome.sends++
	r.outcome.instance = choice.Instance.ID
	r.outcome.load, r.outcome.cost, r.outcome.candidates = choice.Load, choice.Cost, choice.Candidates
	s.metrics.sends.Inc()
	sendCtx, release := context.WithCancel(ctx)
	var watch *silenceWatch
	if r.route.Kind == route.Streaming {
		watch = s.watchSilence(sendCtx, r, choice.Instance, release)
		cancel := release
		release = func() { watch.stop(); cancel() }
	}
	silence := time.AfterFunc(s.patience(r), release)
	sentAt := time.Now()
	answer, failure := s.pool.Do(sendCtx, choice.Instance, s.call(r, choice.Instance))
	silence.Stop()
	if failure != nil {
		release()
		watch.explain(failure)
		ended := backend.Answered
		if failure.Unreachable || ctx.Err() == nil {
			ended = backend.Unreachable
		}
		s.directory.End(time.Now(), choice.Instance.ID, ended)
		s.logSend(r, choice, failure)
		return nil, failure
	}
	s.pool.Heard(time.Now(), choice.Instance.ID)
	status := answer.Response.StatusCode
	if answer.Response.Header.Get(s.dialect.NotExecuted) != "" || status == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, answer.Body())
		answer.Finish()
		release()
		s.directory.End(time.Now(), choice.Instance.ID, backend.Full)
		failure := &backend.Failure{Verdict: verdict.NotRun, Reason: "the instance refused with status " + strconv.Itoa(status)}
		s.logSend(r, choice, failure)
		return nil, failure
	}
	return &attempt{choice: choice, answer: answer, sentAt: sentAt, watch: watch, release: release}, nil
}

// patience is how long an instance may take to begin its answer. A request that may
// run again and has another attempt goes on elsewhere after twice its objective: an
// instance that fell silent is not known to be gone for seconds.
func (s *Server) patience(r *request) time.Duration {
	remaining := time.Until(r.deadline)
	if !s.mayTryAgain(r) || r.route.Objective <= 0 {
		return remaining
	}
	return min(remaining, max(leastPatience, 2*r.route.Objective))
}

// logSend writes a send without a usable answer.
func (s *Server) logSend(r *request, choice backend.Choice, failure *backend.Failure) {
	s.log.Warn().Str("event", "send_failed").Str("id", r.id).Str("instance", choice.Instance.ID).
		Str("verdict", failure.Verdict.String()).Str("reason", failure.Reason).Int("load", choice.Load).
		Int64("since_ms", time.Since(r.arrived).Milliseconds()).Msg("")
}

// plain serves a request with one answer.
func (s *Server) plain(ctx context.Context, w http.ResponseWriter, r *request) {
	demand := backend.Demand{Service: r.service.Name}
	for runs := 0; ; {
		sent, failure := s.sendUntilTaken(ctx, r, demand)
		if failure == nil {
			failure = s.passAnswer(w, r, sent)
			if failure == nil {
				return
			}
		}
		if failure.Verdict != verdict.NotRun {
			runs++
		}
		if r.route.Kind == route.Safe && failure.Verdict != verdict.NotRun && runs < r.route.Attempts && ctx.Err() == nil {
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
	case !ran && failure.Verdict == verdict.NotRun:
		return refuseFor(verdict.CodeOverloaded, fullRetry, failure.Reason)
	case late:
		return uncertain(http.StatusGatewayTimeout, failure.Reason)
	default:
		return uncertain(http.StatusBadGateway, failure.Reason)
	}
}

// passAnswer reads a whole answer and hands it to the caller. An answer that is
// not whole, or no answer of an instance, is a failure.
func (s *Server) passAnswer(w http.ResponseWriter, r *request, sent *attempt) *backend.Failure {
	defer sent.release()
	answer := sent.answer
	body, err := io.ReadAll(io.LimitReader(answer.Body(), largestAnswer))
	if err != nil {
		answer.Discard()
		s.directory.End(time.Now(), sent.choice.Instance.ID, backend.Failed)
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the answer broke off: " + err.Error()}
		s.logSend(r, sent.choice, failure)
		return failure
	}
	answer.Finish()
	response := answer.Response
	s.directory.End(time.Now(), sent.choice.Instance.ID, endedWith(response.StatusCode))
	if response.StatusCode/100 == 2 {
		s.observe(r, sent, time.Time{}, 0)
	}
	if response.StatusCode >= http.StatusInternalServerError && s.mayTryAgain(r) {
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the instance answered " + strconv.Itoa(response.StatusCode)}
		s.logSend(r, sent.choice, failure)
		return failure
	}
	if response.StatusCode/100 == 2 && response.Header.Get(s.dialect.Signature) == "" {
		failure := &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the answer has no signature"}
		s.logSend(r, sent.choice, failure)
		return failure
	}
	copyHeader(w.Header(), response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.outcome.status = response.StatusCode
	r.outcome.result = "answered"
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
	return nil
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
	s.directory.Observe(now, sent.choice.Instance.ID, seen)
}

// endedWith tells an instance's own failures from its answers.
func endedWith(status int) backend.Ended {
	if status >= http.StatusInternalServerError {
		return backend.Failed
	}
	return backend.Answered
}

// mayTryAgain reports whether the request may go to another instance after a run.
func (s *Server) mayTryAgain(r *request) bool {
	return r.route.Kind == route.Safe && r.outcome.sends < r.route.Attempts && time.Until(r.deadline) > leastPatience
}

// copyHeader passes an answer's headers on. The absence of a content type is kept.
func copyHeader(to, from http.Header) {
	for name, values := range passable(from) {
		to[name] = values
	}
	if _, named := to["Content-Type"]; !named {
		to["Content-Type"] = nil
	}
}
