package core

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// overloadedRetry is when a caller may come back after its deadline passed in
	// the queue.
	overloadedRetry = 2 * time.Second
	// maxBeginTries bounds how often a call asks for an allowance before it is refused.
	maxBeginTries = 3
)

// pendingCall is a call at the leader that has not begun: it waits for an
// allowance, for a back end, or for its Begin entry to be decided.
type pendingCall struct {
	request          shard.Request
	waiters          []waiter
	template         declaration.Template
	templateRevision uint64
	limits           shard.Limits
	budgetVersion    uint64
	priority         int
	promptTokens     int64
	reserve          int64
	tries            int
	proposed         bool
}

// serveCall handles a call at the leader: attach, answer, refuse or begin.
func (n *Node) serveCall(now time.Time, g *group, from waiter, payload CallPayload) {
	request := payload.Request
	disposition, call, refusal := g.state.Classify(&request)
	switch disposition {
	case shard.Refused:
		n.refuseConfirmed(now, g, from, payload, refusal)
	case shard.Recorded:
		n.respond(now, from, Reply{Call: call})
	case shard.InProgress:
		n.attach(g, from, call)
	case shard.Fresh:
		n.admit(now, g, from, payload)
	}
}

// refuseConfirmed refuses a call that breaks a rule of its session, once it is
// certain that the record it breaks is the newest.
func (n *Node) refuseConfirmed(now time.Time, g *group, from waiter, payload CallPayload, refusal *verdict.Error) {
	n.confirmLeadership(now, g, from, func(now time.Time) {
		disposition, _, _ := g.state.Classify(&payload.Request)
		if disposition != shard.Refused {
			n.serveCall(now, g, from, payload)
			return
		}
		n.respond(now, from, Reply{Error: refusal})
	})
}

// attach lets a requester wait for a call in progress.
func (n *Node) attach(g *group, from waiter, call *shard.Call) {
	id := call.Request.ID
	g.waiters[id] = addWaiter(g.waiters[id], from)
	n.bindStream(call, from)
}

// bindStream tells the call's dispatcher to send the text as it comes to a caller
// who wants it. Whatever gets lost of it comes with the final answer.
func (n *Node) bindStream(call *shard.Call, to waiter) {
	if to.caller == nil {
		return
	}
	attempt := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	dispatcher := nodeOf(raft.MemberID(call.Dispatcher))
	if dispatcher == n.config.Node {
		n.emit(BindStream{Attempt: attempt, Caller: *to.caller})
		return
	}
	n.send(dispatcher, BindRequest{Attempt: attempt, Caller: *to.caller})
}

// admit checks a fresh call against configuration and limits, and lets it wait.
func (n *Node) admit(now time.Time, g *group, from waiter, payload CallPayload) {
	request := payload.Request
	key := request.ID.Key
	if waiting := g.pending[key]; waiting != nil {
		n.joinPending(now, waiting, from, payload)
		return
	}
	pending, refusal := n.prepare(now, g, payload)
	if refusal != nil {
		n.respond(now, from, Reply{Error: refusal})
		return
	}
	pending.waiters = []waiter{from}
	g.pending[key] = pending
	n.advance(now, g, pending)
}

func (n *Node) joinPending(now time.Time, waiting *pendingCall, from waiter, payload CallPayload) {
	same := waiting.request.ID == payload.Request.ID && waiting.request.IdempotencyKey == payload.Request.IdempotencyKey
	if !same {
		n.respond(now, from, Reply{Error: verdict.Refuse(verdict.CodePreviousInProgress, firstRecheck, "another call of the session is waiting")})
		return
	}
	waiting.waiters = addWaiter(waiting.waiters, from)
}

// advance moves a pending call to the queue for a back end, once the allowance covers it.
func (n *Node) advance(now time.Time, g *group, pending *pendingCall) {
	tenant := pending.request.ID.Key.Tenant
	if pending.reserve > 0 {
		g.lastReserved[tenant] = now
		if g.state.Spendable(tenant, pending.budgetVersion) < pending.reserve {
			n.requestAllowance(now, g, tenant, pending.reserve)
			return
		}
	}
	work := n.workFor(now, g, pending)
	if n.scheduler.Uninformed(now, &work) {
		n.nextLoadPoll = now // nothing recent is known of any instance: ask at the next tick
	}
	if refusal := n.scheduler.Enqueue(now, work); refusal != nil {
		n.refusePending(now, g, pending, refusal)
	}
}

func (n *Node) workFor(now time.Time, g *group, pending *pendingCall) schedule.Work {
	request := &pending.request
	work := schedule.Work{
		Call: request.ID, Program: request.Program, Kind: request.Kind, Service: request.Service,
		Model: request.Model, Priority: pending.priority, PromptTokens: pending.promptTokens,
		MaxTokens: request.MaxTokens, EnqueuedAt: now, Deadline: request.Deadline,
	}
	if session := g.state.Sessions[request.ID.Key]; session != nil {
		work.ServedTokens = session.ServedTokens
		work.CachedOn = slices.Clone(session.Engines)
	}
	return work
}

// refusePending ends a call that has not begun: it will never run.
func (n *Node) refusePending(now time.Time, g *group, pending *pendingCall, refusal *verdict.Error) {
	delete(g.pending, pending.request.ID.Key)
	for _, to := range pending.waiters {
		n.respond(now, to, Reply{Error: refusal})
	}
}

// expireWork refuses the calls whose deadline passed while they waited.
func (n *Node) expireWork(now time.Time) {
	for _, work := range n.scheduler.Expired(now) {
		g := n.groups[n.shardOf(work.Call.Key)]
		if g == nil {
			continue
		}
		if pending := g.pending[work.Call.Key]; pending != nil {
			n.refusePending(now, g, pending, verdict.Refuse(verdict.CodeDeadline, overloadedRetry, "the deadline passed while the call waited"))
		} else if retry := g.retries[work.Call]; retry != nil {
			n.finishRetry(now, g, work.Call, retry)
		}
	}
}

// assignWork proposes the start of the calls for which a back end is free.
func (n *Node) assignWork(now time.Time) {
	for _, assignment := range n.scheduler.Assign(now) {
		call := assignment.Work.Call
		g := n.groups[n.shardOf(call.Key)]
		if pending := g.pending[call.Key]; pending != nil && pending.request.ID == call {
			n.proposeBegin(now, g, pending, assignment)
		} else if retry := g.retries[call]; retry != nil {
			n.proposeRetry(now, g, retry, assignment)
		} else {
			n.scheduler.Finished(now, assignment.BackEnd, call, false)
		}
	}
}

func (n *Node) proposeBegin(now time.Time, g *group, pending *pendingCall, assignment schedule.Assignment) {
	pending.proposed = true
	begin := shard.Begin{
		Request: pending.request, TemplateRevision: pending.templateRevision, Limits: pending.limits,
		ConfigRevision: n.catalogue.Revision(), BudgetVersion: pending.budgetVersion, Reserve: pending.reserve,
		BackEnd: assignment.BackEnd, Dispatcher: string(n.member), Explanation: assignment.Explanation,
		EnginePriority: assignment.EnginePriority, At: now,
	}
	n.proposedAt[nextAttempt(g, pending.request.ID)] = now
	accepted := n.propose(now, g, begin, func(now time.Time, result any, applied bool) {
		n.beginDecided(now, g, pending, assignment, result, applied)
	})
	if !accepted {
		n.scheduler.Finished(now, assignment.BackEnd, pending.request.ID, false)
		n.returnPending(now, g, pending)
	}
}

// nextAttempt names the attempt that a Begin entry will make.
func nextAttempt(g *group, id shard.CallID) shard.AttemptID {
	next := shard.AttemptID{Call: id, Attempt: 1}
	if session := g.state.Sessions[id.Key]; session != nil {
		if call := session.CallBySequence(id.Sequence); call != nil {
			next.Attempt = call.Attempt + 1
		}
	}
	return next
}

// beginDecided handles the fate of a Begin entry.
func (n *Node) beginDecided(now time.Time, g *group, pending *pendingCall, assignment schedule.Assignment, result any, applied bool) {
	if !applied {
		n.scheduler.Finished(now, assignment.BackEnd, pending.request.ID, false)
		n.returnPending(now, g, pending)
		return
	}
	begin := result.(shard.BeginResult)
	if begin.Begun != nil {
		n.pendingBegun(now, g, pending, begin.Begun)
		return
	}
	n.scheduler.Finished(now, assignment.BackEnd, pending.request.ID, false)
	pending.proposed = false
	pending.tries++
	if begin.Refusal.Code == verdict.CodeBudgetExhausted && pending.tries < maxBeginTries && g.leading {
		n.advance(now, g, pending)
		return
	}
	n.refusePending(now, g, pending, begin.Refusal)
}

func (n *Node) pendingBegun(now time.Time, g *group, pending *pendingCall, call *shard.Call) {
	if g.pending[pending.request.ID.Key] == pending {
		delete(g.pending, pending.request.ID.Key)
	}
	for _, to := range pending.waiters {
		if !g.leading {
			n.respondNotLeader(now, to)
			continue
		}
		n.attach(g, to, call)
	}
}

// returnPending sends the callers of a call that did not begin to the next leader.
func (n *Node) returnPending(now time.Time, g *group, pending *pendingCall) {
	if g.pending[pending.request.ID.Key] == pending {
		delete(g.pending, pending.request.ID.Key)
	}
	for _, to := range pending.waiters {
		n.respondNotLeader(now, to)
	}
}

// answerFinished answers those who wait for the calls that just ended.
func (n *Node) answerFinished(g *group, touched []shard.CallID) {
	for _, id := range touched {
		session := g.state.Sessions[id.Key]
		call := session.CallBySequence(id.Sequence)
		waiting := g.waiters[id]
		if call.Outcome == nil || len(waiting) == 0 {
			continue
		}
		delete(g.waiters, id)
		for _, to := range waiting {
			n.respond(n.now(), to, Reply{Call: call})
		}
	}
}

// releaseCallers sends everybody who waits here to the next leader.
func (n *Node) releaseCallers(g *group) {
	now := n.now()
	for _, key := range sortedKeys(g.pending) {
		pending := g.pending[key]
		n.scheduler.Withdraw(pending.request.ID)
		if pending.proposed {
			continue // the fate of its entry is open; its decision answers
		}
		for _, to := range pending.waiters {
			n.respondNotLeader(now, to)
		}
	}
	for _, id := range sortedCalls(g.waiters) {
		for _, to := range g.waiters[id] {
			n.respondNotLeader(now, to)
		}
	}
	for _, id := range sortedCalls(g.retries) {
		n.scheduler.Withdraw(id)
	}
	g.dropLeaderState()
}
