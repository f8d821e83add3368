package core

import (
	"cmp"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// limitRetry is zero: a program that reached its limit is not helped by waiting.
	limitRetry = 0
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

func nodeOf(id raft.MemberID) string {
	node, _, _ := cutMember(id)
	return node
}

// serveCall handles a call at the leader: attach, answer, refuse or begin.
func (n *Node) serveCall(now time.Time, g *group, from waiter, payload CallPayload) {
	request := payload.Request
	disposition, call, refusal := g.state.Classify(&request)
	switch disposition {
	case Refused:
		n.refuseConfirmed(now, g, from, payload, refusal)
	case Recorded:
		n.respond(now, from, Reply{Call: call})
	case InProgress:
		n.attach(g, from, call)
	case Fresh:
		n.admit(now, g, from, payload)
	}
}

// refuseConfirmed refuses a call that breaks a rule of its session, once it is
// certain that the record it breaks is the newest.
func (n *Node) refuseConfirmed(now time.Time, g *group, from waiter, payload CallPayload, refusal *verdict.Error) {
	n.confirmLeadership(now, g, from, func(now time.Time) {
		disposition, _, _ := g.state.Classify(&payload.Request)
		if disposition != Refused {
			n.serveCall(now, g, from, payload)
			return
		}
		n.respond(now, from, Reply{Error: refusal})
	})
}

// The dispositions of package shard, short.
const (
	Fresh      = shard.Fresh
	InProgress = shard.InProgress
	Recorded   = shard.Recorded
	Refused    = shard.Refused
)

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
		n.respond(now, from, Reply{Error: verdict.Refuse(verdict.CodePreviousUnended, firstRecheck, "another call of the session is waiting")})
		return
	}
	waiting.waiters = addWaiter(waiting.waiters, from)
}

// prepare works out what a call may do and what it may cost.
func (n *Node) prepare(now time.Time, g *group, payload CallPayload) (*pendingCall, *verdict.Error) {
	request := payload.Request
	if n.catalogue.Revision() < g.state.ConfigFloor {
		return nil, verdict.Refuse(verdict.CodeStaleConfig, time.Second, "this node's configuration is behind")
	}
	tenant, tenantRevision, found := n.catalogue.Tenant(request.ID.Key.Tenant)
	if !found {
		return nil, verdict.Refuse(verdict.CodeUnauthorized, 0, "the tenant is not declared")
	}
	session := g.state.Sessions[request.ID.Key]
	if session != nil && request.Template != "" && request.Template != session.Template {
		return nil, verdict.Refuse(verdict.CodeBadRequest, 0, "the session was opened with another template")
	}
	if session != nil {
		request.Template = session.Template
	}
	template, revision, found := n.catalogue.Template(request.Template)
	if !found {
		return nil, verdict.Refuse(verdict.CodeNotFound, 0, "template %q is not declared", request.Template)
	}
	instance, found := n.catalogue.InstanceFor(request.ID.Key.Tenant, request.Template)
	if !found {
		return nil, verdict.Refuse(verdict.CodeNotPermitted, 0, "template %q is not instantiated for this tenant", request.Template)
	}
	pending := &pendingCall{
		request: request, template: template, templateRevision: revision,
		limits:        declaration.MergeLimits(instance.Limits, tenant.Limits, template.Limits),
		budgetVersion: tenantRevision, priority: tenant.Priority,
	}
	if session != nil {
		pending.limits = session.Limits
	}
	if refusal := pending.checkPermitted(&tenant); refusal != nil {
		return nil, refusal
	}
	if refusal := checkLimits(now, session, pending.limits); refusal != nil {
		return nil, refusal
	}
	pending.price(session)
	return pending, nil
}

// checkPermitted refuses services and models that the tenant or template does not allow.
func (p *pendingCall) checkPermitted(tenant *declaration.Tenant) *verdict.Error {
	switch p.request.Kind {
	case shard.EngineCall:
		p.request.Service = p.template.Service
		p.request.Model = cmp.Or(p.request.Model, p.template.Model)
		if p.request.Model != p.template.Model && !slices.Contains(tenant.PermittedModels, p.request.Model) {
			return verdict.Refuse(verdict.CodeNotPermitted, 0, "model %q is not permitted", p.request.Model)
		}
	case shard.ToolCall:
		if !slices.Contains(p.template.Tools, p.request.Service) || !slices.Contains(tenant.PermittedTools, p.request.Service) {
			return verdict.Refuse(verdict.CodeNotPermitted, 0, "tool %q is not permitted", p.request.Service)
		}
	case shard.ApplicationCall:
		if !slices.Contains(p.template.Applications, p.request.Service) {
			return verdict.Refuse(verdict.CodeNotPermitted, 0, "application %q is not permitted", p.request.Service)
		}
	}
	return nil
}

// checkLimits refuses a call of a program that has used up its turns, tokens or time.
func checkLimits(now time.Time, session *shard.Session, limits shard.Limits) *verdict.Error {
	if session == nil {
		return nil
	}
	switch {
	case limits.Turns > 0 && int64(len(session.Calls)) >= limits.Turns:
		return verdict.Refuse(verdict.CodeLimitReached, limitRetry, "the session has had its %d calls", limits.Turns)
	case limits.Tokens > 0 && session.ServedTokens >= limits.Tokens:
		return verdict.Refuse(verdict.CodeLimitReached, limitRetry, "the session has used its %d tokens", limits.Tokens)
	case limits.WallTime > 0 && now.Sub(session.StartedAt) >= limits.WallTime:
		return verdict.Refuse(verdict.CodeLimitReached, limitRetry, "the session has run for its %s", limits.WallTime)
	}
	return nil
}

// price works out the prompt and the worst case of an engine call, in tokens.
func (p *pendingCall) price(session *shard.Session) {
	if p.request.Kind != shard.EngineCall {
		return
	}
	if p.request.MaxTokens <= 0 || p.request.MaxTokens > p.template.MaxCompletionTokens {
		p.request.MaxTokens = p.template.MaxCompletionTokens
	}
	p.promptTokens = p.request.BodyTokens
	if session != nil {
		p.promptTokens += session.HistoryTokens
	}
	p.reserve = p.promptTokens + p.request.MaxTokens
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

// overloadedRetry is when a caller may come back after its deadline passed in the queue.
const overloadedRetry = 2 * time.Second

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

// serveAnswer returns the recorded answer of a call, or attaches to it.
func (n *Node) serveAnswer(now time.Time, g *group, from waiter, payload AnswerPayload) {
	session := g.state.Sessions[payload.ID.Key]
	var call *shard.Call
	if session != nil {
		call = session.CallBySequence(payload.ID.Sequence)
	}
	switch {
	case call == nil:
		n.confirmLeadership(now, g, from, func(now time.Time) {
			n.answerConfirmed(now, g, from, payload)
		})
	case call.Outcome != nil:
		n.respond(now, from, Reply{Call: call})
	case payload.Wait || payload.Caller != nil:
		n.attach(g, from, call)
	default:
		refusal := verdict.Unknown(verdict.CodeAnswerInProgress, "the call is in progress")
		refusal.RetryAfter = time.Second
		n.respond(now, from, Reply{Error: refusal})
	}
}

// answerConfirmed says that a call does not exist, unless it appeared meanwhile.
func (n *Node) answerConfirmed(now time.Time, g *group, from waiter, payload AnswerPayload) {
	session := g.state.Sessions[payload.ID.Key]
	if session != nil && session.CallBySequence(payload.ID.Sequence) != nil {
		n.serveAnswer(now, g, from, payload)
		return
	}
	n.respond(now, from, Reply{Error: verdict.Refuse(verdict.CodeNotFound, 0, "no such call")})
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
