package gateway

import (
	"context"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/verdict"
	"swiftbank.dev/swiftbank/internal/wait"
)

// A run without a valid answer is examined: its instance may have ended, its machine may have fallen silent, or
// only the connection broke. An instance in trouble may accept connections and answer others until it ends, so no
// sign of life at the time of the loss decides. What cannot be told at once counts against the request, and is
// watched until the very life that got the request has outlived it or the list of instances tells its end. What
// happens at the instance's address afterwards proves nothing: another life may have taken it over.
//
// A run that nothing can show to have been outlived counts until the request completes, or until another run of it
// at the same instance is outlived.

// closingTime is how long the ends of all connections to a process that has ended may take to arrive after the first of
// them. A connection that is opened sooner would seem to belong to its life.
const closingTime = 20 * time.Millisecond

// lossCause is how a run was lost.
type lossCause uint8

const (
	// connectionBroke means that the instance's end of the connection was closed or reset.
	connectionBroke lossCause = iota
	// machineSilent means that the instance's machine did not answer any more.
	machineSilent
	// answerOverdue means that this gateway stopped waiting for the answer.
	answerOverdue
	// callerLeft means that the caller disconnected, or its deadline passed, or that the gateway could not pass
	// the answer on.
	callerLeft
	// answerInvalid means that the instance answered with an error of its own, without its signature, at too great a
	// length, or with an answer whose end cannot be told from the end of the instance.
	answerInvalid
	// runRefused means that the instance refused the request; it has promised not to run it.
	runRefused
)

// String returns the name used in logs.
func (c lossCause) String() string {
	return [...]string{"connection_broke", "machine_silent", "answer_overdue", "caller_left", "answer_invalid", "refused"}[c]
}

// lostRun is a run without a complete answer.
type lostRun struct {
	requestID string
	key       quarantine.Key
	run       quarantine.Run
	instance  backend.Instance
	// life is the life of the instance that got the request.
	life   *backend.Life
	cause  lossCause
	sentAt time.Time
	lostAt time.Time
	// recordWithProgram records the run under the request's program; nil if there is none.
	recordWithProgram func(quarantine.Run)
	// hasLeft is set once the instance may have stopped as planned.
	hasLeft bool
	// checkedAt is when the instance was last checked; unobservedUntil is the end of the last time in which checks were
	// missed, because this gateway was suspended.
	checkedAt, unobservedUntil time.Time
	// isSuspected is set once the run counts against its request although its outcome is not known; isLocal is set if
	// only this gateway knows of it then.
	isSuspected, isLocal bool
	// exposedSince is when the instance had outlived the run; it may still end of it. Zero otherwise.
	exposedSince time.Time
	// isWatched is set once the run is checked in the background. isAdopted is set if another gateway sent the request.
	isWatched, isAdopted bool
	// isLate is set once the instance ended, or may have ended, after that.
	isLate bool
}

// isAbandoned reports whether the run may still have been in progress when it was lost.
func (l *lostRun) isAbandoned() bool { return l.cause == answerOverdue || l.cause == callerLeft }

// causeOfLoss returns how a run was lost. ctx is the request's context; overdue is set if this gateway stopped
// waiting for the answer.
func causeOfLoss(ctx context.Context, overdue bool, watch *livenessWatch) lossCause {
	switch {
	case watch != nil && watch.gone.Load():
		return machineSilent
	case ctx.Err() != nil:
		return callerLeft
	case overdue || watch != nil && watch.silent.Load():
		return answerOverdue
	default:
		return connectionBroke
	}
}

// causeOfBrokenAnswer returns how a run was lost whose answer could not be read to its end.
func causeOfBrokenAnswer(ctx context.Context, watch *livenessWatch, err error) lossCause {
	if isAnswerTooLong(err) {
		return answerInvalid
	}
	return causeOfLoss(ctx, false, watch)
}

// causeOfBrokenStream returns how the run of a stream was lost that was not relayed to its end.
func causeOfBrokenStream(ctx context.Context, watch *livenessWatch, failure *backend.Failure) lossCause {
	switch {
	case failure.AnswerInvalid:
		return answerInvalid
	case failure.Verdict == verdict.MayHaveRun:
		return causeOfLoss(ctx, false, watch)
	default:
		return callerLeft
	}
}

// newLostRun returns the lost run of a request's last send.
func (s *Server) newLostRun(r *request, choice backend.Choice, cause lossCause) *lostRun {
	run := r.currentRun(choice.Instance)
	if r.recordedRun != nil {
		run = *r.recordedRun
	}
	return &lostRun{
		requestID: r.id, key: s.keyOf(r), run: run, instance: choice.Instance, life: r.life,
		cause: cause, sentAt: choice.PickedAt, lostAt: time.Now(), recordWithProgram: r.recordWithProgram,
	}
}

// currentRun identifies the request's last send to an instance.
func (r *request) currentRun(instance backend.Instance) quarantine.Run {
	return quarantine.Run{ID: quarantine.RunIDOf(r.id, r.outcome.sends), Instance: instance.ID, Born: instance.Born, Life: int(r.life.ID())}
}

// keyOf returns the key that the request shares with all attempts of its caller.
func (s *Server) keyOf(r *request) quarantine.Key {
	if !r.hasKey {
		r.key = quarantine.KeyOf(quarantine.Identity{
			Tenant: r.tenantName(), Host: r.host, Method: r.method, Target: r.target, Program: r.header.Get(s.dialect.Program),
			Session: r.header.Get(s.dialect.Session), PreviousTurn: r.header.Get(s.dialect.PreviousTurn), Body: r.input,
		})
		r.hasKey = true
	}
	return r.key
}

// awaitExaminations waits until it is known what became of the instances of the request's lost runs.
func (r *request) awaitExaminations(ctx context.Context) {
	examined := make(chan struct{})
	go func() {
		r.examinations.Wait()
		close(examined)
	}()
	select {
	case <-examined:
	case <-ctx.Done():
	}
}

// loggedKey returns the request's key if it was needed, else "".
func (r *request) loggedKey() string {
	if !r.hasKey {
		return ""
	}
	return r.key.String()
}

// examineLostRun determines what became of the instance of a run without a valid answer, and records the run if
// the instance ended or may end.
//
// A run that this gateway abandoned is examined while the request is tried elsewhere; one whose caller left is
// only watched. All others take one connection attempt.
func (s *Server) examineLostRun(ctx context.Context, r *request, choice backend.Choice, cause lossCause) {
	if s.containment == nil {
		return
	}
	if cause == connectionBroke {
		wait.For(ctx, closingTime)
	}
	lost := s.newLostRun(r, choice, cause)
	r.recordedRun = nil // the lost run stands for it
	mayHaveStopped := s.mayHaveStopped(lost, lost.lostAt)
	switch entry := s.directory.EntryStateOf(lost.instance, lost.life, lost.sentAt); {
	case cause == callerLeft:
		s.suspectLostRun(ctx, lost, entry, "")
		s.watchLostRun(lost)
	case entry == backend.EntryLeaving && mayHaveStopped:
		s.settleLostRun(ctx, r, lost, quarantine.Survived, entry, "")
	case entry == backend.EntryReplaced:
		s.settleLostRun(ctx, r, lost, quarantine.Ended, entry, "")
	case cause == machineSilent && entry == backend.EntryGone:
		s.settleLostRun(ctx, r, lost, quarantine.Ended, entry, "")
	case cause == machineSilent:
		s.settleLostRun(ctx, r, lost, quarantine.Silent, entry, "")
	case cause == connectionBroke && entry == backend.EntryGone && mayHaveStopped:
		s.settleLostRun(ctx, r, lost, quarantine.Survived, entry, "") // it finished its requests after it left
	case cause == answerInvalid:
		s.suspectLostRun(ctx, lost, entry, "")
		s.watchLostRun(lost)
	case cause == answerOverdue:
		r.examinations.Go(func() { s.probeLostRun(context.WithoutCancel(ctx), r, lost) })
	default:
		s.probeLostRun(ctx, r, lost)
	}
}

// mayHaveStopped reports whether the instance, if it has left, may have stopped as planned at the given time. One
// that was listed when it got the request must still have been serving DrainTime later.
func (s *Server) mayHaveStopped(lost *lostRun, at time.Time) bool {
	served := at.Sub(lost.sentAt)
	return served >= s.options.DrainTime || served > s.freshFor(at)
}

// probeLostRun determines by a connection attempt what became of the instance of a lost run. An accepted one does
// not prove that the instance outlives the run.
func (s *Server) probeLostRun(ctx context.Context, r *request, lost *lostRun) {
	lost.life.Follow(time.Now())
	contact, known := s.pool.ContactSince(ctx, lost.instance, lost.lostAt)
	entry := s.directory.EntryStateOf(lost.instance, lost.life, lost.sentAt)
	switch {
	case entry == backend.EntryLeaving && s.mayHaveStopped(lost, time.Now()):
		s.settleLostRun(ctx, r, lost, quarantine.Survived, entry, contact.String())
	case known && contact == backend.Refused:
		s.settleLostRun(ctx, r, lost, quarantine.Ended, entry, contact.String())
	case known && contact == backend.NoContact:
		s.settleLostRun(ctx, r, lost, quarantine.Silent, entry, contact.String())
	default:
		s.suspectLostRun(ctx, lost, entry, contact.String())
		s.watchLostRun(lost)
	}
}

// suspectLostRun records a lost run whose instance may be about to end, so that it counts against the request until
// its outcome is known. Runs that were abandoned count only if the instance has been silent for troubleSilence. Beyond
// the budget, a run counts at this gateway only, unless the request has a record already.
func (s *Server) suspectLostRun(ctx context.Context, lost *lostRun, entry backend.EntryState, contact string) {
	if lost.isSuspected || lost.isAbandoned() && !s.hasBeenSilent(lost) {
		return
	}
	lost.isSuspected = true
	lost.run.Outcome, lost.run.Lost, lost.run.Unproven = quarantine.Running, !lost.isAbandoned(), !lost.isProvable()
	lost.isLocal = !s.mayShare(lost)
	if lost.mayEndLater() && !lost.run.Unproven {
		s.containment.expose(time.Now(), lost)
	}
	s.logLostRun(lost, entry, contact)
	if lost.isLocal {
		s.metrics.unrecordedLosses.Inc()
	}
	s.recordUnresolved(ctx, lost)
}

// mayShare reports whether all gateways may be told of a lost run: the request has a record already, or the budget for
// new ones is not used up.
func (s *Server) mayShare(lost *lostRun) bool {
	return s.containment.hasRecord(lost.key) || s.containment.unresolvedBudget.take(time.Now(), int(s.gatewayCount.Load()), 1)
}

// isProvable reports whether it may become known that the instance outlived the run: the life that ran it has an open
// connection.
func (l *lostRun) isProvable() bool {
	if l.isAbandoned() {
		return !l.life.HasClosed()
	}
	return l.life.IsOpen()
}

// hasBeenSilent reports whether the instance has sent this gateway nothing for troubleSilence since it got the
// request.
func (s *Server) hasBeenSilent(lost *lostRun) bool {
	silentSince := lost.sentAt
	if active := s.pool.LastActivity(lost.instance.ID); active.After(silentSince) {
		silentSince = active
	}
	return time.Since(silentSince) >= troubleSilence
}

// settleLostRun logs what is known of a lost run, and records it if the instance ended or may have ended. r
// is nil once the request is over.
func (s *Server) settleLostRun(ctx context.Context, r *request, lost *lostRun, outcome quarantine.Outcome, entry backend.EntryState, contact string) {
	lost.run.Outcome, lost.run.Lost, lost.run.Unproven = outcome, outcome == quarantine.Survived && lost.isExposed(), false
	lost.isLocal = lost.isLocal && (outcome == quarantine.Survived || lost.cause == runRefused)
	s.logLostRun(lost, entry, contact)
	switch {
	case lost.isLocal:
		s.containment.merge(time.Now(), lost.key, lost.run)
	case outcome == quarantine.Ended:
		s.recordLoss(ctx, r, lost)
	case outcome == quarantine.Silent:
		s.recordLoss(ctx, r, lost)
		s.watchLostRun(lost)
	case s.containment.isRecorded(lost):
		s.recordLoss(ctx, nil, lost)
	}
}

// isRecorded reports whether a lost run is in the table: it was recorded before it was sent, as silent, or as suspected.
func (c *containment) isRecorded(lost *lostRun) bool {
	return slices.ContainsFunc(c.runsOf(lost.key), func(run quarantine.Run) bool { return run.ID == lost.run.ID })
}

// hasRecord reports whether there is a record of a request.
func (c *containment) hasRecord(key quarantine.Key) bool { return len(c.runsOf(key)) > 0 }

// runsOf returns the known runs of a request.
func (c *containment) runsOf(key quarantine.Key) []quarantine.Run {
	if c.records.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Runs(key)
}

// logLostRun logs what is known of a lost run and of its instance.
func (s *Server) logLostRun(lost *lostRun, entry backend.EntryState, contact string) {
	s.log.Warn().Str("event", "run_lost").Str("id", lost.requestID).Str("request_key", lost.key.String()).Str("instance", lost.instance.ID).
		Uint64("instance_born", lost.instance.Born).Int64("life", lost.life.ID()).Bool("life_open", lost.life.IsOpen()).Bool("life_closed", lost.life.HasClosed()).
		Str("cause", lost.cause.String()).Bool("late", lost.isLate).Bool("adopted", lost.isAdopted).Str("contact", contact).Str("entry", entry.String()).
		Str("outcome", lost.run.State()).Int64("ran_ms", lost.lostAt.Sub(lost.sentAt).Milliseconds()).Int64("known_after_ms", time.Since(lost.lostAt).Milliseconds()).
		Int64("list_age_ms", s.instanceListAge().Milliseconds()).Msg("")
}
