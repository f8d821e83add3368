package simulate

import (
	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// connection is a caller's request that waits at a node.
type connection interface {
	replied(reply core.Reply)
	// cut is called when the node's process ends first.
	cut()
}

// connect registers a caller's request with the node and returns its id.
func (n *simNode) connect(c connection) uint64 {
	n.nextRequest++
	n.connections[n.nextRequest] = c
	return n.nextRequest
}

// question is a request that changes nothing or may be repeated at will: the end
// of a session, or an old answer asked for again. It is repeated until answered.
type question struct {
	callers *callers
	// event makes the request for a node.
	event   func(requestID uint64) core.Event
	answer  func(reply core.Reply)
	settled bool
}

func (q *question) ask() {
	w := q.callers.world
	node := q.callers.anyNode()
	if node == nil {
		w.after(reconnectDelay, q.ask)
		return
	}
	w.after(w.callerDelay(), func() {
		if !node.alive || node.stopping {
			w.after(reconnectDelay, q.ask)
			return
		}
		sent := &question{callers: q.callers, event: q.event, answer: q.answer}
		id := node.connect(sent)
		node.deliver(node.epoch, q.event(id))
		w.after(tryTimeout, func() {
			delete(node.connections, id)
			sent.cut()
		})
	})
}

func (q *question) cut() {
	if q.settled {
		return
	}
	q.settled = true
	q.callers.world.after(reconnectDelay, (&question{callers: q.callers, event: q.event, answer: q.answer}).ask)
}

func (q *question) replied(reply core.Reply) {
	if q.settled {
		return
	}
	if reply.Error != nil && reply.Error.Code != verdict.CodeNotFound {
		q.cut()
		return
	}
	q.settled = true
	q.answer(reply)
}

// endSession ends a session. The checker knows from the confirmation on that the
// session's memory must go.
func (c *callers) endSession(key shard.SessionKey) {
	ending := &question{
		callers: c,
		event:   func(id uint64) core.Event { return core.EndWanted{RequestID: id, Key: key} },
		answer: func(reply core.Reply) {
			if reply.Error == nil {
				c.world.checker.sessionEnded(key)
			}
		},
	}
	ending.ask()
}

// askAgain asks for an answer that was acknowledged before, by its number.
func (c *callers) askAgain(id shard.CallID) {
	asking := &question{
		callers: c,
		event:   func(requestID uint64) core.Event { return core.AnswerWanted{RequestID: requestID, ID: id, Wait: true} },
		answer:  func(reply core.Reply) { c.world.checker.answeredAgain(id, reply) },
	}
	asking.ask()
}
