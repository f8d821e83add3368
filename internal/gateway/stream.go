package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/memorybudget"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// turn is a streamed request in progress.
type turn struct {
	*request
	// program is the program that the turn is charged to; budgeted is set if it has a token budget.
	program   string
	budgeted  bool
	maxTokens int64
	// previous is the turn whose history precedes the caller's input.
	previous    string
	reservation *quorum.Reservation
	// cell stores the program's turns and charges; reservedElsewhere is set once the charge may also
	// be in the cells of other regions.
	cell              *quorum.Client
	reservedElsewhere bool
	// parts are the parts of the prompt.
	parts []backend.PromptPart
	// ancestors are the turns before this one, if another cell stores them.
	ancestors []ledger.Turn
	// origin is the software that began the stream.
	origin  streamOrigin
	durable bool
	// output is the part of the answer that later prompts contain.
	output    []byte
	events    int
	lastEvent string
	// kept is the memory that output takes.
	kept answerHolding
	// responseStarted is set once bytes were sent to the caller.
	responseStarted bool
	ran             bool
}

// serveStream serves a request that is answered by a stream of events.
func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, r *request) {
	t := &turn{request: r, lastEvent: r.header.Get(s.dialect.LastEvent), kept: answerHolding{memory: s.answers}}
	defer t.kept.release()
	s.setProgram(t)
	t.maxTokens = maxTokens(r.header, s.dialect.TokenCount)
	t.parts = promptParts(r.header.Get(s.dialect.PromptPrefix))
	if r.route.Retained {
		t.previous = r.header.Get(s.dialect.PreviousTurn)
	}
	reserveFailure := s.reserve(ctx, t)
	if t.reservation != nil {
		// This includes refused turns: pending reservations are sent again to all replicas with
		// each connection and each replica set, and each refusal would add one permanently.
		defer t.reservation.StopRetrying()
	}
	if reserveFailure != nil {
		s.refuse(w, r, reserveFailure)
		return
	}
	if bound := t.held.grow(bodyCopies * (len(t.body) - len(t.input))); bound != memorybudget.WithinLimits {
		s.settle(t)
		s.refuse(w, r, s.refuseForMemory(r, bound))
		return
	}
	if failure := s.refuseContainedTurn(ctx, t); failure != nil {
		s.settle(t)
		s.refuse(w, r, failure)
		return
	}
	t.firstOfProgram = t.budgeted && t.previous == "" && !t.origin.resumed && t.reservation.OtherTurnTokens == 0
	// Checked last: a turn that is refused for other reasons must not consume the tenant's limit.
	if failure := s.checkTenantLimit(ctx, r); failure != nil {
		s.settle(t)
		s.refuse(w, r, failure)
		return
	}
	failure := s.relay(ctx, w, t)
	r.outcome.events, r.outcome.streamVersion, r.outcome.versionSource = t.events, t.origin.version, t.origin.source
	switch {
	case failure == nil:
	case t.responseStarted:
		s.settle(t)
		r.outcome.status, r.outcome.result, r.outcome.reason = http.StatusOK, "broken_off", failure.Reason
		panic(http.ErrAbortHandler) // the connection ends without the stream's end
	default:
		s.settle(t)
		s.refuse(w, r, s.refusalFor(ctx, r, failure, t.ran))
	}
}

// continuesOtherTenant reports whether the previous turn belongs to another tenant, according to a
// replica of the program's cell or of the cell that stores the turn.
func (t *turn) continuesOtherTenant() bool {
	if t.reservation.Foreign {
		return true
	}
	return len(t.ancestors) > 0 && t.ancestors[0].Tenant != t.tenantName()
}

// history returns the text that precedes the turn's own input.
func (t *turn) history() []byte {
	if t.reservation.Found {
		return t.reservation.History
	}
	var text []byte
	for _, ancestor := range slices.Backward(t.ancestors) {
		text = append(text, ancestor.Input...)
		text = append(text, ancestor.Output...)
	}
	return text
}

// finalCharge returns the tokens that were generated, and the prompt prefix that the instance has
// cached since.
func (t *turn) finalCharge() ledger.Charge {
	generated := t.events * t.service.TokensPerEvent
	charge := ledger.Charge{Turn: t.id, Tokens: int64(generated), Final: true, Origin: t.origin.record}
	if t.events > 0 && len(t.parts) > 0 {
		last := t.parts[len(t.parts)-1]
		charge.Cached = ledger.CachedPrompt{Instance: t.outcome.instance, Born: t.outcome.instanceStarted, Part: last.ID, Tokens: last.Tokens + generated}
	}
	return charge
}

// cached returns which parts of the turn's prompt instances have cached, as reported by the
// program's earlier turns.
func (t *turn) cached() []backend.CachedPrompt {
	if t.reservation == nil {
		return nil
	}
	var cached []backend.CachedPrompt
	for _, prompt := range t.reservation.Cached {
		for index, part := range t.parts {
			if part.ID == prompt.Part {
				cached = append(cached, backend.CachedPrompt{Instance: prompt.Instance, Born: prompt.Born, PartIndex: index, Tokens: prompt.Tokens})
			}
		}
	}
	return cached
}

// relay sends the turn to an instance and forwards its events. If the route allows that, it
// resumes a broken stream by another send.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, t *turn) *backend.Failure {
	demand := backend.Demand{
		Service: t.service.Name, Generates: t.service.Generates, PromptParts: t.parts, CachedPrompts: t.cached(),
		Homes:    t.homes(),
		Priority: t.route.Priority, ByExpectedEnd: s.placesByExpectedEnd(t.request),
		DiscountOldReports: s.options.ReportsAge && s.loadControlled(t.request),
	}
	if t.reservation != nil {
		demand.Preferred = t.reservation.Instance
	}
	instances := instanceRuns{attempts: t.route.Attempts}
	for runs := 0; ; {
		eventsBefore := t.events
		demand.Version = t.requiredVersion()
		sent, failure := s.sendUntilAccepted(ctx, t.request, demand)
		if failure == nil {
			failure = s.relayStream(ctx, w, t, sent)
			if failure == nil {
				return nil
			}
		}
		if failure.Verdict == verdict.NotRun {
			return t.allowRetryAtOtherVersion(failure) // no instance accepted the turn within its time
		}
		t.ran, t.lostAnswer, t.firstOfProgram = true, true, false
		runs++
		if failure.Verdict == verdict.Ran || !t.route.Resumable || runs > maxResumes || ctx.Err() != nil {
			return failure
		}
		// Prefer the same instance: another one would also run the request, and the route
		// bounds how many instances may.
		instances.add(t.outcome.instance)
		demand.Preferred, demand.Pinned = t.outcome.instance, instances.requiredInstance(t.events == eventsBefore)
		s.log.Info().Str("event", "stream_resumed").Str("id", t.id).Str("instance", t.outcome.instance).
			Str("instance_version", t.outcome.instanceVersion).Str("last_event", t.lastEvent).Int("events", t.events).Str("reason", failure.Reason).Msg("")
	}
}

// maxResumes is how often a stream may be resumed.
const maxResumes = 3

// relayStream forwards an instance's answer to the caller and makes the turn durable.
func (s *Server) relayStream(ctx context.Context, w http.ResponseWriter, t *turn, sent *attempt) *backend.Failure {
	response := sent.answer.Response
	if response.StatusCode != http.StatusOK || response.Header.Get(s.dialect.Signature) == "" {
		return s.relayNonStream(ctx, w, t, sent)
	}
	defer sent.release()
	s.recordVersion(t, sent.choice.Instance)
	failure := s.relayEvents(ctx, w, t, sent)
	sent.watch.explain(failure)
	sendOutcome := backend.Answered
	switch {
	case sent.watch.gone.Load():
		sendOutcome = backend.Unreachable
	case failure != nil && failure.Verdict == verdict.MayHaveRun && ctx.Err() == nil:
		sendOutcome = backend.Failed
	}
	s.directory.EndFailed(time.Now(), sent.choice, sendOutcome)
	if failure != nil {
		sent.answer.Discard()
		s.logSendFailure(t.request, sent.choice, failure)
		s.examineLostRun(ctx, t.request, sent.choice, causeOfBrokenStream(ctx, sent.watch, failure))
		return failure
	}
	sent.answer.Finish()
	s.recordAnswer(ctx, t.request, sent)
	s.observe(t.request, sent, sent.firstEventAt, sent.events)
	if failure := s.commitTurn(ctx, t); failure != nil {
		return failure
	}
	s.extendWriteDeadline(w, t.request)
	t.startResponse(w, sent) // a stream resumed at its end has no events left
	return nil
}

// startResponse forwards the header of the first instance's answer.
func (t *turn) startResponse(w http.ResponseWriter, sent *attempt) {
	if t.responseStarted {
		return
	}
	t.responseStarted = true
	t.outcome.firstMS = millisecondsSince(t.arrived)
	copyHeader(w.Header(), sent.answer.Response.Header)
	w.WriteHeader(http.StatusOK)
}

// relayNonStream forwards an answer that is not a stream of events.
func (s *Server) relayNonStream(ctx context.Context, w http.ResponseWriter, t *turn, sent *attempt) *backend.Failure {
	if t.responseStarted {
		sent.answer.Discard()
		sent.release()
		s.directory.End(time.Now(), sent.choice, backend.Answered)
		return &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the stream could not be resumed"}
	}
	t.ran = true
	failure := s.relayAnswer(ctx, w, t.request, sent)
	if failure == nil {
		s.settle(t)
	}
	return failure
}

// relayEvents forwards each event as it is received.
func (s *Server) relayEvents(ctx context.Context, w http.ResponseWriter, t *turn, sent *attempt) *backend.Failure {
	events := newEventReader(sent.answer.Buffered())
	flusher := http.NewResponseController(w)
	for {
		event, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &backend.Failure{Verdict: verdict.MayHaveRun, Reason: "the stream was interrupted: " + err.Error(), AnswerInvalid: isAnswerTooLong(err)}
		}
		t.ran = true
		if failure := t.refuseEvent(event); failure != nil {
			return failure
		}
		sent.recordEvent()
		if err := s.awaitReservation(ctx, t); err != nil {
			return &backend.Failure{Verdict: verdict.Ran, Reason: "the reservation is not durable: " + err.Error()}
		}
		s.awaitOrigin(ctx, t)
		if failure := s.recordEvent(t, event); failure != nil {
			return failure
		}
		t.startResponse(w, sent)
		s.extendWriteDeadline(w, t.request)
		if _, err := w.Write(event.raw); err != nil {
			return &backend.Failure{Verdict: verdict.Ran, Reason: s.writeErrorReason(err)}
		}
		if err := flusher.Flush(); err != nil {
			return &backend.Failure{Verdict: verdict.Ran, Reason: s.writeErrorReason(err)}
		}
	}
}

// recordEvent records an event that is about to be sent to the caller. It stores what later prompts
// contain of the event, and fails if there is no memory for that.
func (s *Server) recordEvent(t *turn, event event) *backend.Failure {
	if t.route.Retained {
		if bound := t.held.grow(len(event.data) + 1); bound != memorybudget.WithinLimits {
			s.logMemoryBound(t.request, bound, true)
			return &backend.Failure{Verdict: verdict.Ran, Reason: (&memoryError{bound: bound}).Error()}
		}
		if err := t.kept.growTo(int64(len(t.output) + len(event.data) + 1)); err != nil {
			return &backend.Failure{Verdict: verdict.Ran, Reason: err.Error(), AnswerInvalid: true}
		}
		t.output = append(t.output, event.data...)
		t.output = append(t.output, '\n')
	}
	t.events++
	if event.id != "" {
		t.lastEvent = event.id
		t.header = t.header.Clone()
		t.header.Set(s.dialect.LastEvent, event.id)
	}
	return nil
}

// commitTurn makes the finished turn durable before the end of the stream is forwarded.
func (s *Server) commitTurn(ctx context.Context, t *turn) *backend.Failure {
	t.outcome.status, t.outcome.result = http.StatusOK, "answered"
	if !t.route.Retained {
		s.settle(t)
		return nil
	}
	began := time.Now()
	commit := ledger.Commit{Program: t.program, Charge: t.finalCharge(), Retention: t.route.Retention, Ancestors: t.ancestors, Turn: &ledger.Turn{
		ID: t.id, Tenant: t.tenantName(), Previous: t.previous, Input: t.input, Output: t.output,
		Instance: t.outcome.instance, Retention: t.route.Retention,
	}}
	cell := t.cell
	if cell == nil {
		cell = s.replicas.ForProgram(s.cellKey(t), t.homes())
	}
	if cell == nil {
		return &backend.Failure{Verdict: verdict.Ran, Reason: "no replicas are known"}
	}
	s.settleElsewhere(t)
	err := cell.Commit(ctx, commit, s.options.Copies)
	t.outcome.commitMS = millisecondsSince(began)
	s.metrics.commit.Observe(time.Since(began).Seconds())
	if err != nil {
		return &backend.Failure{Verdict: verdict.Ran, Reason: "the turn is not durable: " + err.Error()}
	}
	return nil
}

// millisecondsSince returns the time since began in milliseconds.
func millisecondsSince(began time.Time) float64 {
	return float64(time.Since(began).Microseconds()) / 1000
}
