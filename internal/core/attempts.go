package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// maxAttempts bounds the attempts at one call.
	maxAttempts = 5
	// retryBackoff is the delay before the second attempt; it doubles for each
	// further one, with as much again at random.
	retryBackoff = 50 * time.Millisecond
	// maxRetryTokens and retryTokenShare are the node's retry budget: each call
	// begun adds a share of a token, each retry takes a whole one, so that
	// retries cannot multiply the load when many calls fail.
	maxRetryTokens  = 50
	retryTokenShare = 0.2
	// dispatchWindow is how long after proposing an attempt its dispatcher may send
	// it. It is shorter than the time without a word after which another member takes the call
	// over, less two heartbeats: a dispatcher that was paused wakes too late to send,
	// and cannot begin a call after its successor has gone on with the session. Both
	// times are measured on one machine, so clocks need not agree.
	dispatchWindow = membership.SuspectAfter - 2*membership.HeartbeatInterval
	// reportInterval is how often an outcome is reported until it is recorded.
	reportInterval = 300 * time.Millisecond
	// failedRetry is when a caller may come back after its attempts failed.
	failedRetry = 5 * time.Second
)

// attempt is a dispatch by this node, kept until its outcome is recorded.
type attempt struct {
	id      shard.AttemptID
	shard   uint32
	backEnd string
	kind    shard.CallKind
	timeout time.Time
	// outcome is set once the attempt has ended.
	outcome   *shard.Outcome
	retryable bool
	reportAt  time.Time
}

// retryState is a call in progress that waits for another attempt.
type retryState struct {
	id     shard.AttemptID // the attempt that failed
	failed shard.Outcome
}

// dispatchBegun starts an attempt whose entry was just applied, when this member
// is its dispatcher and no later entry has overtaken it.
func (n *Node) dispatchBegun(now time.Time, g *group, call *shard.Call) {
	if call.Dispatcher != string(n.member) {
		return
	}
	id := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	current := g.state.Sessions[call.Request.ID.Key].CallBySequence(call.Request.ID.Sequence)
	overtaken := current.Attempt != call.Attempt || current.Outcome != nil
	proposedAt, proposed := n.proposedAt[id]
	delete(n.proposedAt, id)
	if overtaken || n.abandoned[id] || n.attempts[id] != nil {
		return
	}
	if !proposed || now.Sub(proposedAt) > dispatchWindow {
		n.abandon(now, g, call)
		return
	}
	n.startAttempt(now, g, call)
}

// abandon gives up an attempt that was never sent, and reports so.
func (n *Node) abandon(now time.Time, g *group, call *shard.Call) {
	id := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	n.abandoned[id] = true
	outcome := failure(verdict.NotRun, verdict.CodeUnavailable, "the call was not sent in time")
	n.attempts[id] = &attempt{id: id, shard: g.number, backEnd: call.BackEnd, kind: call.Request.Kind, outcome: &outcome, retryable: true}
	n.scheduler.Finished(now, call.BackEnd, call.Request.ID, false)
	n.reportAttempt(now, n.attempts[id])
}

func (n *Node) startAttempt(now time.Time, g *group, call *shard.Call) {
	id := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	started := &attempt{
		id: id, shard: g.number, backEnd: call.BackEnd, kind: call.Request.Kind,
		timeout: n.attemptTimeout(now, &call.Request),
	}
	n.attempts[id] = started
	n.retryTokens = min(maxRetryTokens, n.retryTokens+retryTokenShare)
	backEnd, found := n.scheduler.BackEnd(call.BackEnd)
	if !found {
		n.attemptFinished(now, AttemptFinished{Attempt: id, Retryable: true, Outcome: failure(verdict.NotRun, verdict.CodeNoBackEnd, "the back end is gone")})
		return
	}
	n.scheduler.NoteDispatch(now, call.BackEnd, call.Request.ID)
	start := StartAttempt{
		Attempt: id, StreamAttempt: call.StreamAttempt, Resume: call.StreamAttempt != call.Attempt,
		BackEnd: backEnd, Request: call.Request, Timeout: started.timeout, Priority: call.EnginePriority,
	}
	if tenant, _, declared := n.catalogue.Tenant(id.Call.Key.Tenant); declared {
		start.TenantPriority = tenant.Priority
	}
	if call.Request.Kind == shard.EngineCall {
		start.History = finishedTurns(g.state.Sessions[id.Call.Key])
	}
	n.emit(start)
}

// finishedTurns returns the engine calls that make up a session's history.
func finishedTurns(session *shard.Session) []*shard.Call {
	var turns []*shard.Call
	for _, call := range session.Calls {
		if call.Request.Kind == shard.EngineCall && call.Outcome != nil && call.Outcome.Succeeded() {
			turns = append(turns, call)
		}
	}
	return turns
}

func (n *Node) attemptTimeout(now time.Time, request *shard.Request) time.Time {
	limits := n.config.Timeouts
	var limit time.Duration
	switch request.Kind {
	case shard.EngineCall:
		limit = limits.Engine
	case shard.ApplicationCall:
		limit = limits.Application
	default:
		limit = limits.Tool
	}
	timeout := now.Add(limit)
	if !request.Deadline.IsZero() && request.Deadline.Before(timeout) {
		return request.Deadline
	}
	return timeout
}

func failure(v verdict.Verdict, code verdict.Code, reason string) shard.Outcome {
	return shard.Outcome{Verdict: v, Code: code, Reason: reason, RetryAfter: failedRetry}
}

// attemptFinished handles the outcome of an attempt and brings it to the leader.
func (n *Node) attemptFinished(now time.Time, event AttemptFinished) {
	ended := n.attempts[event.Attempt]
	if ended == nil || ended.outcome != nil {
		return
	}
	outcome := event.Outcome
	outcome.FinishedAt = now
	ended.outcome = &outcome
	ended.retryable = event.Retryable
	n.scheduler.Finished(now, ended.backEnd, event.Attempt.Call, !outcome.Succeeded())
	n.reportAttempt(now, ended)
}

// reportAttempt brings an outcome to the shard's leader; tickAttempts repeats it
// until the leader says that the outcome, or a later attempt, is recorded, or
// this member sees so in its own log.
func (n *Node) reportAttempt(now time.Time, ended *attempt) {
	ended.reportAt = now.Add(reportInterval)
	report := AttemptReport{Shard: ended.shard, Attempt: ended.id, Outcome: *ended.outcome, Retryable: ended.retryable}
	if g := n.groups[ended.shard]; g != nil && g.leading {
		n.settleAttempt(now, g, report)
		return
	}
	n.submit(now, ended.shard, report, 0, now.Add(reportInterval), func(_ time.Time, reply Reply, _ bool) {
		if reply.Settled {
			delete(n.attempts, report.Attempt)
		}
	})
}

// receiveReport handles the answer to an AttemptQuery.
func (n *Node) receiveReport(now time.Time, report AttemptReport) {
	if g := n.groups[report.Shard]; g != nil && g.leading {
		n.settleAttempt(now, g, report)
	}
}

// askStillWanted asks the leader whether another member has taken over an attempt
// that runs here. A node that is about to stop may no longer see the log that
// says so.
func (n *Node) askStillWanted(now time.Time, running *attempt) {
	running.reportAt = now.Add(time.Second)
	query := AttemptReport{Shard: running.shard, Attempt: running.id, Running: true}
	n.submit(now, running.shard, query, 0, now.Add(time.Second), func(now time.Time, reply Reply, _ bool) {
		if reply.Settled && n.attempts[running.id] == running {
			delete(n.attempts, running.id)
			n.emit(CancelAttempt{Attempt: running.id})
			n.scheduler.Finished(now, running.backEnd, running.id.Call, false)
		}
	})
}

// serveReport handles an outcome at the leader. A leader that may decide holds
// every committed entry, so an attempt that is not the newest is settled.
func (n *Node) serveReport(now time.Time, g *group, from waiter, report AttemptReport) {
	settled := currentCall(g, report.Attempt) == nil
	if !report.Running {
		n.settleAttempt(now, g, report)
	}
	n.respond(now, from, Reply{Settled: settled})
}

// tickAttempts ends attempts that ran out of time and repeats reports.
func (n *Node) tickAttempts(now time.Time) {
	for _, id := range sortedAttempts(n.attempts) {
		running := n.attempts[id]
		if running == nil {
			continue
		}
		if running.outcome == nil && !now.Before(running.timeout) {
			n.emit(CancelAttempt{Attempt: id, Abort: true})
			n.attemptFinished(now, AttemptFinished{
				Attempt: id, Retryable: true,
				Outcome: failure(verdict.MayHaveRun, verdict.CodeDeadline, "the back end did not answer in time"),
			})
		} else if running.outcome != nil && !now.Before(running.reportAt) {
			n.reportAttempt(now, running)
		} else if running.outcome == nil && n.draining && !now.Before(running.reportAt) {
			n.askStillWanted(now, running)
		}
	}
}

// settleAttempt records an outcome, or prepares another attempt.
func (n *Node) settleAttempt(now time.Time, g *group, report AttemptReport) {
	call := currentCall(g, report.Attempt)
	if call == nil || g.retries[report.Attempt.Call] != nil {
		return
	}
	if n.mayRetry(now, call, report) {
		n.scheduleRetry(now, g, call, report)
		return
	}
	n.proposeFinish(now, g, report.Attempt, report.Outcome)
}

// currentCall returns the call when the attempt is its newest and has no outcome.
func currentCall(g *group, id shard.AttemptID) *shard.Call {
	session := g.state.Sessions[id.Call.Key]
	if session == nil {
		return nil
	}
	call := session.CallBySequence(id.Call.Sequence)
	if call == nil || call.Outcome != nil || call.Attempt != id.Attempt {
		return nil
	}
	return call
}

// mayRetry decides whether a failed attempt is followed by another. An
// unrepeatable call is only tried again when the attempt truly did not run.
func (n *Node) mayRetry(now time.Time, call *shard.Call, report AttemptReport) bool {
	outcome := report.Outcome
	if outcome.Succeeded() || !report.Retryable || call.Attempt >= maxAttempts || n.retryTokens < 1 {
		return false
	}
	if call.Request.Unrepeatable && outcome.Verdict != verdict.NotRun {
		return false
	}
	deadline := call.Request.Deadline
	return deadline.IsZero() || now.Before(deadline)
}

func (n *Node) scheduleRetry(now time.Time, g *group, call *shard.Call, report AttemptReport) {
	n.retryTokens--
	retry := &retryState{id: report.Attempt, failed: report.Outcome}
	g.retries[report.Attempt.Call] = retry
	delay := retryBackoff << (call.Attempt - 1)
	delay += time.Duration(n.random.Int64N(int64(delay)))
	n.timers.add(now.Add(delay), func(now time.Time) {
		if g.retries[report.Attempt.Call] == retry {
			n.enqueueRetry(now, g, call, retry)
		}
	})
}

func (n *Node) enqueueRetry(now time.Time, g *group, call *shard.Call, retry *retryState) {
	session := g.state.Sessions[call.Request.ID.Key]
	work := schedule.Work{
		Call: call.Request.ID, Program: call.Request.Program, Kind: call.Request.Kind,
		Service: call.Request.Service, Model: call.Request.Model, MaxTokens: call.Request.MaxTokens,
		PromptTokens: session.HistoryTokens + call.Request.BodyTokens, ServedTokens: session.ServedTokens,
		CachedOn: session.Engines, Avoid: []string{call.BackEnd}, EnqueuedAt: now, Deadline: call.Request.Deadline,
	}
	if refusal := n.scheduler.Enqueue(now, work); refusal != nil {
		n.finishRetry(now, g, call.Request.ID, retry)
	}
}

// finishRetry records the last failure when no further attempt is possible.
func (n *Node) finishRetry(now time.Time, g *group, id shard.CallID, retry *retryState) {
	if g.retries[id] == retry {
		delete(g.retries, id)
	}
	n.proposeFinish(now, g, retry.id, retry.failed)
}

func (n *Node) proposeRetry(now time.Time, g *group, retry *retryState, assignment schedule.Assignment) {
	id := assignment.Work.Call
	call := currentCall(g, retry.id)
	_, version, _ := n.catalogue.Tenant(id.Key.Tenant)
	if call == nil {
		n.scheduler.Finished(now, assignment.BackEnd, id, false)
		delete(g.retries, id)
		return
	}
	command := shard.Retry{
		ID: id, Attempt: call.Attempt + 1, BudgetVersion: version, Reserve: call.Reserved,
		PreviousVerdict: retry.failed.Verdict, ConfigRevision: n.catalogue.Revision(), BackEnd: assignment.BackEnd,
		Dispatcher: string(n.member), Explanation: assignment.Explanation, At: now,
	}
	n.proposedAt[shard.AttemptID{Call: id, Attempt: command.Attempt}] = now
	accepted := n.propose(now, g, command, func(now time.Time, result any, applied bool) {
		delete(g.retries, id)
		begun := applied && result.(shard.BeginResult).Begun != nil
		if begun {
			n.rebindWaiters(g, result.(shard.BeginResult).Begun)
			return
		}
		n.scheduler.Finished(now, assignment.BackEnd, id, false)
		if applied && g.leading {
			n.proposeFinish(now, g, retry.id, retry.failed)
		}
	})
	if !accepted {
		n.scheduler.Finished(now, assignment.BackEnd, id, false)
		delete(g.retries, id)
	}
}

// rebindWaiters streams a new attempt to those who wait for the call.
func (n *Node) rebindWaiters(g *group, call *shard.Call) {
	for _, to := range g.waiters[call.Request.ID] {
		n.bindStream(call, to)
	}
}

// proposeFinish records an outcome. When the entry is lost, the dispatcher's
// repeated report, or the next leader's takeover, brings the outcome again.
func (n *Node) proposeFinish(now time.Time, g *group, id shard.AttemptID, outcome shard.Outcome) {
	if g.finishing[id] {
		return
	}
	g.finishing[id] = true
	outcome.FinishedAt = now
	proposed := n.propose(now, g, shard.Finish{Attempt: id, Outcome: outcome}, func(time.Time, any, bool) {
		delete(g.finishing, id)
	})
	if !proposed {
		delete(g.finishing, id)
	}
}

// forgetSettledAttempts drops the dispatches whose outcome, or a later attempt,
// is now recorded. One that still runs is cancelled: nobody wants its result.
func (n *Node) forgetSettledAttempts(g *group, touched []shard.CallID) {
	for _, id := range touched {
		call := g.state.Sessions[id.Key].CallBySequence(id.Sequence)
		for number := 1; number <= call.Attempt; number++ {
			attemptID := shard.AttemptID{Call: id, Attempt: number}
			if number == call.Attempt && call.Outcome == nil {
				continue
			}
			delete(n.abandoned, attemptID)
			delete(n.proposedAt, attemptID)
			known := n.attempts[attemptID]
			if known == nil {
				continue
			}
			delete(n.attempts, attemptID)
			if known.outcome == nil {
				n.emit(CancelAttempt{Attempt: attemptID})
				n.scheduler.Finished(n.now(), known.backEnd, id, false)
			}
		}
	}
}

// noteServed tells the scheduler what an engine now holds. Every replica sees
// this in the log, so a new leader knows where its sessions' cache is.
func (n *Node) noteServed(now time.Time, call *shard.Call) {
	if call.Request.Kind == shard.EngineCall && call.Outcome.Succeeded() {
		n.scheduler.Served(now, call.BackEnd, call.Request.ID.Key, call.Outcome.PromptTokens+call.Outcome.CompletionTokens)
	}
}

// memberAlive reports whether a dispatcher named in the log is heard from.
func (n *Node) memberAlive(dispatcher string) bool {
	return n.detector.Alive(raft.MemberID(dispatcher))
}
