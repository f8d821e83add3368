package gateway

import (
	"context"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// A run without a complete answer is examined: its instance may have ended, its machine may have fallen
// silent, or only the connection broke.

// lossCause is how a run was lost.
type lossCause uint8

const (
	// connectionBroke means that the instance's end of the connection was closed or reset.
	connectionBroke lossCause = iota
	// machineSilent means that the instance's machine did not answer any more.
	machineSilent
	// answerOverdue means that this gateway stopped waiting for the answer.
	answerOverdue
	// callerLeft means that the caller disconnected, or its deadline passed.
	callerLeft
)

// String returns the name used in logs.
func (c lossCause) String() string {
	return [...]string{"connection_broke", "machine_silent", "answer_overdue", "caller_left"}[c]
}

// lostRun is a run without a complete answer.
type lostRun struct {
	requestID string
	key       quarantine.Key
	run       quarantine.Run
	instance  backend.Instance
	cause     lossCause
	sentAt    time.Time
	lostAt    time.Time
}

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

// newLostRun returns the lost run of a request's last send.
func (s *Server) newLostRun(r *request, choice backend.Choice, cause lossCause) *lostRun {
	return &lostRun{
		requestID: r.id, key: s.keyOf(r), run: r.currentRun(choice.Instance), instance: choice.Instance,
		cause: cause, sentAt: choice.PickedAt, lostAt: time.Now(),
	}
}

// currentRun identifies the request's last send to an instance.
func (r *request) currentRun(instance backend.Instance) quarantine.Run {
	return quarantine.Run{ID: r.id + "#" + strconv.Itoa(r.outcome.sends), Instance: instance.ID, Born: instance.Born}
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

// loggedKey returns the request's key if it was needed, else "".
func (r *request) loggedKey() string {
	if !r.hasKey {
		return ""
	}
	return r.key.String()
}

// examineLostRun logs what became of the instance of a run without a complete answer. Only a broken connection
// is examined, by a connection attempt in the background.
func (s *Server) examineLostRun(r *request, choice backend.Choice, cause lossCause) {
	lost := s.newLostRun(r, choice, cause)
	if cause != connectionBroke {
		s.logLostRun(lost, s.directory.EntryStateOf(lost.instance), "")
		return
	}
	go func() {
		contact, _ := s.pool.ContactSince(context.Background(), lost.instance, lost.lostAt)
		s.logLostRun(lost, s.directory.EntryStateOf(lost.instance), contact.String())
	}()
}

// logLostRun logs what is known of a lost run and of its instance.
func (s *Server) logLostRun(lost *lostRun, entry backend.EntryState, contact string) {
	s.log.Warn().Str("event", "run_lost").Str("id", lost.requestID).Stringer("request_key", lost.key).Str("instance", lost.instance.ID).
		Uint64("instance_born", lost.instance.Born).Stringer("cause", lost.cause).Str("contact", contact).Stringer("entry", entry).
		Int64("ran_ms", lost.lostAt.Sub(lost.sentAt).Milliseconds()).Int64("known_after_ms", time.Since(lost.lostAt).Milliseconds()).
		Int64("list_age_ms", s.instanceListAge().Milliseconds()).Msg("")
}
