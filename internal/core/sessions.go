package core

import (
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

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
		refusal := verdict.OutcomeUnknown(verdict.CodeAnswerInProgress, "the call is in progress")
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

// confirmLeadership calls confirmed once a quorum has shown that this leader is
// still the newest. What a leader says does not exist must not come from the state
// of one that was replaced without noticing; what it finds recorded stands anyway.
func (n *Node) confirmLeadership(now time.Time, g *group, from waiter, confirmed func(now time.Time)) {
	proposed := n.propose(now, g, shard.Barrier{}, func(now time.Time, _ any, applied bool) {
		if !applied || !g.leading {
			n.respondNotLeader(now, from)
			return
		}
		confirmed(now)
	})
	if !proposed {
		n.respondNotLeader(now, from)
	}
}

func (n *Node) serveSession(now time.Time, g *group, from waiter, payload SessionPayload) {
	n.confirmLeadership(now, g, from, func(now time.Time) {
		session := g.state.Sessions[payload.Key]
		if session == nil {
			n.respond(now, from, Reply{Error: verdict.Refuse(verdict.CodeNotFound, 0, "no such session")})
			return
		}
		copied := *session
		copied.Calls = slices.Clone(session.Calls)
		n.respond(now, from, Reply{Session: &copied})
	})
}

func (n *Node) serveEnd(now time.Time, g *group, from waiter, payload EndPayload) {
	proposed := n.propose(now, g, shard.EndSession{Key: payload.Key, At: now}, func(now time.Time, _ any, applied bool) {
		if !applied {
			n.respondNotLeader(now, from)
			return
		}
		if g.state.Sessions[payload.Key] == nil {
			n.respond(now, from, Reply{Error: verdict.Refuse(verdict.CodeNotFound, 0, "no such session")})
			return
		}
		n.orderReleases(g)
		n.respond(now, from, Reply{})
	})
	if !proposed {
		n.respondNotLeader(now, from)
	}
}
