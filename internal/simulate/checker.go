package simulate

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// Property names one of the properties that must always hold.
type Property string

// The properties of the brief, and liveness.
const (
	PropertyOrder         Property = "order"
	PropertyHistory       Property = "history"
	PropertyBudget        Property = "budget"
	PropertyEngineMemory  Property = "engine-memory"
	PropertyWholeAnswer   Property = "whole-answer"
	PropertyNotRun        Property = "not-run"
	PropertyAtMostOnce    Property = "at-most-once"
	PropertyLeaving       Property = "leaving"
	PropertyPlannedStop   Property = "planned-stop"
	PropertyConfiguration Property = "configuration"
	PropertyLiveness      Property = "liveness"
)

const (
	// leavingBound is how long after it began to leave a back end may get work.
	leavingBound = 5 * time.Second
	// memoryBound is how long engine memory may stay held after a session's end
	// while nothing fails.
	memoryBound = 15 * time.Second
	// configurationBound is how soon an accepted change must be in force on every
	// node while nothing fails.
	configurationBound = 4 * time.Second
	// livenessBound is how long a call may wait when nothing has failed for long,
	// beside twice its own time on an idle engine: a caller whose deadline was too
	// short asks a second time.
	livenessBound = 30 * time.Second
	// stopBound is how long a planned stop may take after the node's last caller was
	// answered, while nothing else fails.
	stopBound = 30 * time.Second
	// maxViolations bounds the list in a report.
	maxViolations = 50
)

// Violation is one broken property.
type Violation struct {
	Property Property `json:"property"`
	// AtSeconds is the time since the start of the run.
	AtSeconds float64 `json:"atSeconds"`
	What      string  `json:"what"`
	// Events are the newest events about what it concerns.
	Events []string `json:"events"`
}

// execution is what back ends did for one call.
type execution struct {
	count int
	// openAfterNotRun is set when the caller was told that the call did not run
	// and had no other try open.
	toldNotRun bool
}

// sessionRecord is what the checker knows of a session.
type sessionRecord struct {
	// acknowledged are the answers that the caller was given, by number.
	acknowledged map[uint64][]byte
	engineCalls  map[uint64]bool
	highestRun   uint64
	// configuration is the newest configuration marker seen in a decision.
	configuration int
	endedAt       time.Time
}

// checker watches callers and back ends, and nothing of the nodes' own state.
type checker struct {
	world      *world
	violations []Violation
	executions map[shard.CallID]*execution
	sessions   map[shard.SessionKey]*sessionRecord
	// used is what engines were asked to do for each tenant, in tokens.
	used        map[string]int64
	budgets     map[string][]budgetRecord
	lost        int
	doubled     int
	outOfOrder  int
	overshoot   int64
	heldSeconds float64
	quietSince  time.Time
}

// budgetRecord is a budget and when it was accepted.
type budgetRecord struct {
	limit int64
	at    time.Time
}

func newChecker(w *world) *checker {
	return &checker{
		world: w, executions: map[shard.CallID]*execution{}, sessions: map[shard.SessionKey]*sessionRecord{},
		used: map[string]int64{}, budgets: map[string][]budgetRecord{}, quietSince: w.start,
	}
}

// violation records a broken property with the newest events about its subject.
func (c *checker) violation(property Property, subject, what string) {
	c.world.note("violation", string(property)+" "+what)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{
			Property: property, AtSeconds: c.world.elapsed().Seconds(), What: what, Events: c.world.eventsAbout(subject),
		})
	}
}

func (c *checker) session(key shard.SessionKey) *sessionRecord {
	record := c.sessions[key]
	if record == nil {
		record = &sessionRecord{acknowledged: map[uint64][]byte{}, engineCalls: map[uint64]bool{}}
		c.sessions[key] = record
	}
	return record
}

func (c *checker) execution(id shard.CallID) *execution {
	record := c.executions[id]
	if record == nil {
		record = &execution{}
		c.executions[id] = record
	}
	return record
}

func name(id shard.CallID) string {
	return fmt.Sprintf("%s/%s call %d", id.Key.Tenant, id.Key.Session, id.Sequence)
}

// dispatched checks the history that a node sends to an engine, and the
// configuration that it decided with.
func (c *checker) dispatched(action core.StartAttempt) {
	id := action.Request.ID
	record := c.session(id.Key)
	if action.Request.Kind != shard.EngineCall {
		return
	}
	if action.TenantPriority < record.configuration {
		c.violation(PropertyConfiguration, id.Key.Session, fmt.Sprintf("%s was decided with configuration %d after %d", name(id), action.TenantPriority, record.configuration))
	}
	record.configuration = max(record.configuration, action.TenantPriority)
	if action.Resume {
		return
	}
	sent := map[uint64]bool{}
	for _, turn := range action.History {
		if turn.Request.ID.Key != id.Key {
			c.violation(PropertyHistory, id.Key.Session, fmt.Sprintf("%s was given history of %s", name(id), name(turn.Request.ID)))
		}
		sequence := turn.Request.ID.Sequence
		sent[sequence] = true
		if known, told := record.acknowledged[sequence]; told && !bytes.Equal(known, turn.Outcome.Body) {
			c.violation(PropertyHistory, id.Key.Session, fmt.Sprintf("%s was given another answer of call %d than the caller", name(id), sequence))
		}
	}
	for _, sequence := range sortedIDs(record.engineCalls) {
		if sequence < id.Sequence && !sent[sequence] {
			c.violation(PropertyHistory, id.Key.Session, fmt.Sprintf("%s was run without the history of call %d", name(id), sequence))
		}
	}
}

// executed checks each beginning of work at a back end.
func (c *checker) executed(action core.StartAttempt, backEnd string, leftAt time.Time) {
	w := c.world
	id := action.Request.ID
	w.note("executed", fmt.Sprintf("%s on %s", name(id), backEnd))
	record := c.session(id.Key)
	done := c.execution(id)
	done.count++
	if done.count > 1 && action.Request.Unrepeatable {
		c.doubled++
		c.violation(PropertyAtMostOnce, id.Key.Session, fmt.Sprintf("%s ran %d times", name(id), done.count))
	}
	if done.toldNotRun {
		c.violation(PropertyNotRun, id.Key.Session, fmt.Sprintf("%s ran after the caller was told that it did not", name(id)))
	}
	if id.Sequence < record.highestRun {
		c.outOfOrder++
		c.violation(PropertyOrder, id.Key.Session, fmt.Sprintf("%s began after call %d", name(id), record.highestRun))
	}
	record.highestRun = max(record.highestRun, id.Sequence)
	if !leftAt.IsZero() && w.now.Sub(leftAt) > leavingBound {
		c.violation(PropertyLeaving, id.Key.Session, fmt.Sprintf("%s was sent to %s %s after it began to leave", name(id), backEnd, w.now.Sub(leftAt)))
	}
	if action.Request.Kind == shard.EngineCall {
		c.charge(action)
	}
}

// charge adds the tokens of a generation and compares with the budget. A lowered
// budget counts once it has had time to spread.
func (c *checker) charge(action core.StartAttempt) {
	tenant := action.Request.ID.Key.Tenant
	tokens := action.Request.BodyTokens + c.world.callers.specOf(action.Request.ID).output
	for _, turn := range action.History {
		tokens += turn.Request.BodyTokens + turn.Outcome.CompletionTokens
	}
	c.used[tenant] += tokens
	if over := c.used[tenant] - c.limitFor(tenant); over > 0 {
		c.overshoot = max(c.overshoot, over)
		c.violation(PropertyBudget, tenant, fmt.Sprintf("tenant %s used %d tokens over its budget", tenant, over))
	}
}

// limitFor returns the highest budget in force lately: a change may not have
// reached every node, and a call decided before it may begin after it.
func (c *checker) limitFor(tenant string) int64 {
	limit := int64(0)
	records := c.budgets[tenant]
	for place, record := range records {
		replaced := place+1 < len(records) && c.world.now.Sub(records[place+1].at) > c.spreadAllowance()
		if !replaced {
			limit = max(limit, record.limit)
		}
	}
	return limit
}

// spreadAllowance is how long an old budget may still be in use: for long while
// the store or the network fails, else a little over the bound for a change.
func (c *checker) spreadAllowance() time.Duration {
	if c.quiet(configurationBound) {
		return 3 * configurationBound
	}
	return 3 * time.Minute
}

func (c *checker) budgetAccepted(tenant string, limit int64) {
	c.budgets[tenant] = append(c.budgets[tenant], budgetRecord{limit: limit, at: c.world.now})
}

// acknowledged checks a complete answer that a caller got.
func (c *checker) acknowledged(call *callRun, answered *shard.Call) {
	id := call.request.ID
	c.world.note("acknowledged", name(id))
	record := c.session(id.Key)
	body := answered.Outcome.Body
	if answered.Request.ID != id || !c.bodyBelongs(call, body) {
		c.violation(PropertyWholeAnswer, id.Key.Session, fmt.Sprintf("%s was answered with %q", name(id), body))
	}
	if known, told := record.acknowledged[id.Sequence]; told && !bytes.Equal(known, body) {
		c.violation(PropertyWholeAnswer, id.Key.Session, fmt.Sprintf("%s was answered twice with different answers", name(id)))
	}
	if c.execution(id).count == 0 {
		c.violation(PropertyWholeAnswer, id.Key.Session, fmt.Sprintf("%s was answered but never ran", name(id)))
	}
	record.acknowledged[id.Sequence] = body
	if call.request.Kind == shard.EngineCall {
		record.engineCalls[id.Sequence] = true
	}
}

// bodyBelongs reports whether an answer is one that a back end made for the call.
func (c *checker) bodyBelongs(call *callRun, body []byte) bool {
	if call.request.Kind == shard.EngineCall {
		stem, _, _ := strings.Cut(streamID(call.request.ID, 0), ".")
		return strings.HasPrefix(string(body), stem+".")
	}
	return strings.HasSuffix(string(body), " ran "+call.request.IdempotencyKey)
}

// answeredAgain checks that an answer asked for again is the one given before.
func (c *checker) answeredAgain(id shard.CallID, reply core.Reply) {
	known, told := c.session(id.Key).acknowledged[id.Sequence]
	if !told {
		return
	}
	if reply.Call == nil || reply.Call.Outcome == nil || !bytes.Equal(reply.Call.Outcome.Body, known) {
		c.lost++
		c.violation(PropertyHistory, id.Key.Session, fmt.Sprintf("the answer of %s is gone", name(id)))
	}
}

// refused checks what a caller was told of a call without an answer.
func (c *checker) refused(call *callRun, failure *verdict.Error) {
	id := call.request.ID
	c.world.note("refused", fmt.Sprintf("%s %s %s", name(id), failure.Code, failure.Verdict))
	if failure.Verdict != verdict.NotRun {
		return
	}
	done := c.execution(id)
	if done.count > 0 && call.request.Unrepeatable {
		c.violation(PropertyNotRun, id.Key.Session, fmt.Sprintf("the caller of %s was told that it did not run, and it ran", name(id)))
	}
	// The caller that asks again clears the mark in asked.
	done.toldNotRun = call.openTries == 0
}

// asked clears what was promised of a call that the caller issues again.
func (c *checker) asked(id shard.CallID) {
	if done := c.executions[id]; done != nil {
		done.toldNotRun = false
	}
}

func (c *checker) sessionEnded(key shard.SessionKey) {
	record := c.session(key)
	if record.endedAt.IsZero() {
		record.endedAt = c.world.now
	}
}

// disturbed tells the checker that a fault is at work.
func (c *checker) disturbed() { c.quietSince = c.world.now }

// quiet reports whether nothing has failed for at least d.
func (c *checker) quiet(d time.Duration) bool { return c.world.now.Sub(c.quietSince) >= d }

// begin starts the checks that are made again and again.
func (c *checker) begin() {
	c.world.every(time.Second, func() {
		c.checkMemory()
		c.checkConfiguration()
		c.checkStops()
	})
}

// checkStops reports planned stops that do not come to an end.
func (c *checker) checkStops() {
	for _, nodeName := range c.world.nodeNames {
		node := c.world.nodes[nodeName]
		if len(node.connections) > 0 {
			node.stoppingSince = c.world.now // its callers are still being answered
		}
		if node.alive && node.stopping && c.world.now.Sub(node.stoppingSince) > stopBound && c.quiet(stopBound) {
			c.violation(PropertyPlannedStop, node.id, fmt.Sprintf("%s did not stop within %s of its last answer", node.id, stopBound))
			node.stoppingSince = c.world.now // report each once
		}
	}
}

// checkMemory adds up what engines hold for ended sessions.
func (c *checker) checkMemory() {
	w := c.world
	for _, engineName := range w.backEnds.engineNames {
		e := w.backEnds.engines[engineName]
		for _, held := range e.model.Holds() {
			record := c.sessions[parseEngineSession(held)]
			if record == nil || record.endedAt.IsZero() {
				continue
			}
			c.heldSeconds += float64(e.model.HeldTokens(held))
			over := w.now.Sub(record.endedAt)
			if over > memoryBound && c.quiet(memoryBound) {
				c.violation(PropertyEngineMemory, parseEngineSession(held).Session, fmt.Sprintf("%s holds %d tokens of %q %s after its end", engineName, e.model.HeldTokens(held), held, over))
				record.endedAt = w.now // report each once
			}
		}
	}
}

// checkConfiguration compares each running node with what was accepted.
func (c *checker) checkConfiguration() {
	w := c.world
	if !c.quiet(2 * configurationBound) {
		return
	}
	due := uint64(0)
	for _, accepted := range w.store.accepted {
		if w.now.Sub(accepted.at) > configurationBound {
			due = accepted.change.Revision
		}
	}
	for _, nodeName := range w.nodeNames {
		node := w.nodes[nodeName]
		if node.alive && w.now.Sub(node.bootedAt) > 2*configurationBound && node.core.Catalogue().Revision() < due {
			c.violation(PropertyConfiguration, nodeName, fmt.Sprintf("%s is at revision %d, %d was accepted over %s ago", nodeName, node.core.Catalogue().Revision(), due, configurationBound))
		}
	}
}

// finish makes the checks at the end of the run.
func (c *checker) finish() {
	w := c.world
	stuck := 0
	for _, call := range w.callers.active {
		if !call.finished && w.now.Sub(call.began) > livenessBound+2*call.idle {
			stuck++
		}
	}
	if stuck > 0 {
		c.lost += stuck
		c.violation(PropertyLiveness, "fault", fmt.Sprintf("%d calls have waited for over %s and twice their own time although all faults have healed", stuck, livenessBound))
	}
	if w.callers.stats.completed == 0 {
		c.violation(PropertyLiveness, "fault", "no call was completed")
	}
}
