package simulate

import (
	"fmt"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/enginemodel"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// ask sends the call to a node, as a new try.
func (c *callRun) ask() {
	w := c.run.callers.world
	if w.now.Sub(c.began) > callerTimeout {
		c.giveUp()
		return
	}
	node := c.run.callers.anyNode()
	if node == nil {
		w.after(reconnectDelay, c.ask)
		return
	}
	c.issued++
	c.openTries++
	w.checker.asked(c.request.ID)
	sent := &try{call: c, node: node}
	w.after(w.callerDelay(), sent.arrive)
}

// arrive is when the request reaches the node.
func (t *try) arrive() {
	w := t.call.run.callers.world
	if !t.node.alive || t.node.stopping {
		t.call.openTries-- // the connection was refused: nothing was sent
		t.settled = true
		w.after(reconnectDelay, t.call.ask)
		return
	}
	t.request = t.node.connect(t)
	request := t.call.request
	if t.call.hurried {
		request.Deadline = t.node.localTime().Add(hurriedDeadline)
	}
	t.node.deliver(t.node.epoch, core.CallReceived{RequestID: t.request, Request: request})
	epoch := t.node.epoch
	w.after(tryTimeout, func() { t.timeout(epoch) })
}

// timeout gives up waiting at this node and asks another. The request may still
// be on its way, so the try stays open.
func (t *try) timeout(epoch int) {
	if t.settled {
		return
	}
	t.settled = true
	delete(t.node.connections, t.request)
	t.node.deliver(epoch, core.CallerGone{RequestID: t.request})
	t.call.run.callers.stats.retried++
	t.call.ask()
}

// cut is when the connection breaks because the node's process ended.
func (t *try) cut() {
	if t.settled {
		return
	}
	t.settled = true
	w := t.call.run.callers.world
	t.call.run.callers.stats.retried++
	w.after(w.callerDelay()+reconnectDelay, t.call.ask)
}

// replied is when the final answer reaches the caller.
func (t *try) replied(reply core.Reply) {
	if t.settled {
		return
	}
	t.settled = true
	t.call.openTries--
	t.call.replied(t, reply)
}

func (c *callRun) replied(t *try, reply core.Reply) {
	w := c.run.callers.world
	stats := &c.run.callers.stats
	name := outcomeName(c.request.ID)
	stats.outcomes[name] = verdictOf(reply).String()
	if c.request.Unrepeatable {
		stats.unrepeatable[name] = true
	}
	if reply.Error != nil {
		w.checker.refused(c, reply.Error)
		c.refused(reply.Error.Verdict, reply.Error.RetryAfter, reply.Error.Code)
		return
	}
	outcome := reply.Call.Outcome
	if !outcome.Succeeded() {
		failure := &verdict.Error{Verdict: outcome.Verdict, Code: outcome.Code, Reason: outcome.Reason, RetryAfter: outcome.RetryAfter}
		w.checker.refused(c, failure)
		if outcome.Verdict == verdict.MayHaveRun && c.request.Unrepeatable {
			stats.mayHaveRun++
			c.settle()
			c.run.nextStep()
			return
		}
		c.refused(outcome.Verdict, outcome.RetryAfter, outcome.Code)
		return
	}
	w.checker.acknowledged(c, reply.Call)
	stats.completed++
	if c.request.Kind == shard.EngineCall && !c.firstAt.IsZero() {
		stats.firstTokens = append(stats.firstTokens, c.firstAt.Sub(c.began))
	}
	c.settle()
	c.run.nextStep()
}

// outcomeName names a call in stated outcomes.
func outcomeName(id shard.CallID) string {
	return fmt.Sprintf("%s/%s#%d", id.Key.Tenant, id.Key.Session, id.Sequence)
}

func verdictOf(reply core.Reply) verdict.Verdict {
	if reply.Error != nil {
		return reply.Error.Verdict
	}
	return reply.Call.Outcome.Verdict
}

// refused decides what the caller does about a refusal.
func (c *callRun) refused(v verdict.Verdict, retryAfter time.Duration, code verdict.Code) {
	stats := &c.run.callers.stats
	if code == verdict.CodeDeadline {
		c.hurried = false // told that it takes longer, the caller waits longer
	}
	if v == verdict.NotRun {
		stats.refused++
		if retryAfter == 0 || code == verdict.CodeBudgetExhausted {
			c.giveUp()
			return
		}
	} else {
		stats.retried++
	}
	wait := max(retryAfter, leastRetry)
	c.run.callers.world.after(wait, c.ask)
}

// giveUp ends the program without the call's answer.
func (c *callRun) giveUp() {
	c.run.callers.stats.givenUp++
	c.settle()
	c.run.finish(true)
}

func (c *callRun) settle() {
	c.finished = true
	delete(c.run.callers.active, c.request.ID)
}

// firstToken notes when the first token of a call came.
func (c *callers) firstToken(id shard.CallID, at time.Time) {
	if call := c.active[id]; call != nil && call.firstAt.IsZero() {
		call.firstAt = at
	}
}

// served records the engine's count for the cache figures.
func (c *callers) served(key shard.SessionKey, progress enginemodel.Progress) {
	held := c.held[key] / enginemodel.BlockTokens * enginemodel.BlockTokens
	c.stats.promptTokens += progress.PromptTokens
	c.stats.wastedTokens += max(0, min(held, progress.PromptTokens)-progress.CachedTokens)
	c.held[key] = max(c.held[key], progress.PromptTokens+progress.OutputTokens)
}

// programLatency is the measure of one whole program.
type programLatency struct {
	tenant  string
	latency time.Duration
	bound   time.Duration
	began   time.Time
}

// callerStats are what callers saw.
type callerStats struct {
	programs, ended, failedPrograms int
	issued, completed, refused      int
	mayHaveRun, retried, givenUp    int
	promptTokens, wastedTokens      int64
	latencies                       []programLatency
	outcomes                        map[string]string
	unrepeatable                    map[string]bool
	firstTokens                     []time.Duration
}
