package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// takeOver begins a leader's term: it looks at the calls in progress, and only
// at those, so that it costs nothing for idle sessions.
func (n *Node) takeOver(now time.Time, g *group) {
	g.dropLeaderState()
	n.checkOpenCalls(now, g)
}

// checkOpenCalls sees to the calls in progress that this member did not dispatch:
// a live dispatcher is asked for the outcome; one that is dead, or about to stop
// with an engine's stream in hand, is replaced.
func (n *Node) checkOpenCalls(now time.Time, g *group) {
	for _, key := range g.state.OpenSessions() {
		call := g.state.Sessions[key].LastCall()
		if call == nil || call.Outcome != nil || g.retries[call.Request.ID] != nil {
			continue
		}
		n.checkOpenCall(now, g, call)
	}
}

func (n *Node) checkOpenCall(now time.Time, g *group, call *shard.Call) {
	id := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	switch {
	case call.Dispatcher == string(n.member):
		if n.attempts[id] == nil {
			n.neverDispatched(now, g, id)
		}
	case n.memberAlive(call.Dispatcher) && call.Request.Kind == shard.EngineCall && n.nodeDraining(raft.MemberID(call.Dispatcher)):
		n.replaceDispatcher(now, g, call) // the stream moves whole before its node stops
	case n.memberAlive(call.Dispatcher):
		n.send(nodeOf(raft.MemberID(call.Dispatcher)), AttemptQuery{Shard: g.number, Attempt: id})
	default:
		n.replaceDispatcher(now, g, call)
	}
}

// neverDispatched settles an attempt that its dispatcher learned of by snapshot
// and so never sent. Marking it abandoned makes sure that it never will be.
func (n *Node) neverDispatched(now time.Time, g *group, id shard.AttemptID) {
	n.abandoned[id] = true
	n.settleAttempt(now, g, AttemptReport{
		Shard: g.number, Attempt: id, Retryable: true,
		Outcome: failure(verdict.NotRun, verdict.CodeUnavailable, "the call was not sent"),
	})
}

// replaceDispatcher acts for a dispatcher that is gone. The dead node may have
// sent the call, so what is unrepeatable is never sent again. An engine keeps
// the stream of an attempt for a while, so the stream is taken up where it is.
func (n *Node) replaceDispatcher(now time.Time, g *group, call *shard.Call) {
	id := shard.AttemptID{Call: call.Request.ID, Attempt: call.Attempt}
	if n.catalogue.Revision() < g.state.ConfigFloor {
		return // this node learns the newer configuration first
	}
	if call.Request.Kind == shard.EngineCall && call.Attempt < maxAttempts && n.backEndThere(call.BackEnd) {
		n.proposeResume(now, g, call)
		return
	}
	n.settleAttempt(now, g, AttemptReport{
		Shard: g.number, Attempt: id, Retryable: true,
		Outcome: failure(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the node that sent the call was lost"),
	})
}

func (n *Node) backEndThere(name string) bool {
	_, found := n.scheduler.BackEnd(name)
	return found
}

// proposeResume makes this member the dispatcher of an engine stream that
// another member began. The reservation goes over unchanged.
func (n *Node) proposeResume(now time.Time, g *group, call *shard.Call) {
	id := call.Request.ID
	retry := &retryState{id: shard.AttemptID{Call: id, Attempt: call.Attempt}}
	g.retries[id] = retry
	command := shard.Retry{
		ID: id, Attempt: call.Attempt + 1, Resume: true, ConfigRevision: n.catalogue.Revision(), BackEnd: call.BackEnd,
		Dispatcher: string(n.member), Explanation: "stream resumed after the loss of its node", At: now,
	}
	n.proposedAt[shard.AttemptID{Call: id, Attempt: command.Attempt}] = now
	accepted := n.propose(now, g, command, func(now time.Time, result any, applied bool) {
		delete(g.retries, id)
		if applied && result.(shard.BeginResult).Begun != nil {
			n.rebindWaiters(g, result.(shard.BeginResult).Begun)
		}
	})
	if !accepted {
		delete(g.retries, id)
	}
}

// answerQuery tells a leader what became of an attempt of this node.
func (n *Node) answerQuery(from string, query AttemptQuery) {
	g := n.groups[query.Shard]
	known := n.attempts[query.Attempt]
	switch {
	case known != nil && known.outcome != nil:
		n.send(from, AttemptReport{Shard: query.Shard, Attempt: query.Attempt, Outcome: *known.outcome, Retryable: known.retryable})
	case known != nil || g == nil:
		return // still running, or not caught up: the leader asks again
	default:
		n.answerUnknown(from, g, query)
	}
}

// answerUnknown answers for an attempt that this node does not know although its
// log says that it is the dispatcher: the entry came in a snapshot.
func (n *Node) answerUnknown(from string, g *group, query AttemptQuery) {
	call := currentCall(g, query.Attempt)
	if call == nil || call.Dispatcher != string(n.member) {
		return
	}
	n.abandoned[query.Attempt] = true
	n.send(from, AttemptReport{
		Shard: query.Shard, Attempt: query.Attempt, Retryable: true,
		Outcome: failure(verdict.NotRun, verdict.CodeUnavailable, "the call was not sent"),
	})
}
