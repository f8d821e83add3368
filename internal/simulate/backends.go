package simulate

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/enginemodel"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	engineService = "agent-llm"
	// machineListLag is how far the machine list is behind.
	machineListLag = time.Second
	// loadLag is how late a back end's report of its load is.
	loadLag = 300 * time.Millisecond
	// engineRestart is how long an engine is away.
	engineRestart = 5 * time.Second
	// applicationMedian is the median time of an application or tool call.
	applicationMedian = 40 * time.Millisecond
	applicationSlots  = 64
)

// owner is the connection over which a back end's answer goes.
type owner struct {
	node    *simNode
	epoch   int
	attempt shard.AttemptID
}

// simEngine is one engine machine.
type simEngine struct {
	schedule.BackEnd
	model   *enginemodel.Engine
	epoch   int
	down    bool
	streams map[string]*simStream
	leftAt  time.Time
	// stepping is set while a step is scheduled.
	stepping bool
}

// simStream is one generation and its connection.
type simStream struct {
	owner   *owner
	request shard.Request
	begunAt time.Time
	outcome *shard.Outcome
}

// simApplication is one instance of an application or tool.
type simApplication struct {
	schedule.BackEnd
	hanging bool
	leftAt  time.Time
}

// backEnds are all engines, applications and tools.
type backEnds struct {
	world            *world
	engines          map[string]*simEngine
	engineNames      []string
	applications     map[string]*simApplication
	applicationNames []string
}

func newBackEnds(w *world) *backEnds {
	b := &backEnds{world: w, engines: map[string]*simEngine{}, applications: map[string]*simApplication{}}
	models := map[string]bool{}
	var names []string
	for _, template := range w.deployment.profile.Templates {
		if !models[template.Model] {
			models[template.Model] = true
			names = append(names, template.Model)
		}
	}
	for i := range w.deployment.engines {
		name := fmt.Sprintf("engine-%03d", i+1)
		b.engineNames = append(b.engineNames, name)
		b.engines[name] = &simEngine{
			BackEnd: schedule.BackEnd{
				Name: name, Service: engineService, Kind: shard.EngineCall, Models: names, Zone: w.zoneAt(i),
				Slots: enginemodel.DefaultSlots, CacheTokens: enginemodel.DefaultCacheTokens,
			},
			model:   enginemodel.New(enginemodel.DefaultSlots, enginemodel.DefaultCacheTokens),
			streams: map[string]*simStream{},
		}
	}
	for _, service := range w.deployment.profile.Applications {
		b.addApplications(service, shard.ApplicationCall)
	}
	for _, service := range w.deployment.profile.Tools {
		b.addApplications(service, shard.ToolCall)
	}
	return b
}

func (w *world) zoneAt(i int) string { return w.deployment.zones[i%len(w.deployment.zones)] }

func (b *backEnds) addApplications(service string, kind shard.CallKind) {
	for i := range b.world.deployment.applications {
		name := fmt.Sprintf("%s-%02d", service, i+1)
		b.applicationNames = append(b.applicationNames, name)
		b.applications[name] = &simApplication{BackEnd: schedule.BackEnd{
			Name: name, Service: service, Kind: kind, Zone: b.world.zoneAt(i), Slots: applicationSlots,
		}}
	}
}

// poll asks a back end for its load; the answer comes late, or not at all.
func (b *backEnds) poll(n *simNode, name string) {
	epoch := n.epoch
	b.world.after(b.world.network.delay(n.zone, b.zoneOf(name)), func() {
		if report, up := b.loadOf(name); up {
			b.bringReport(n, epoch, report)
		}
	})
}

func (b *backEnds) zoneOf(name string) string {
	if e := b.engines[name]; e != nil {
		return e.Zone
	}
	return b.applications[name].Zone
}

// loadOf is a back end's report of itself now.
func (b *backEnds) loadOf(name string) (schedule.LoadReport, bool) {
	e := b.engines[name]
	if e == nil {
		return schedule.LoadReport{BackEnd: name, Leaving: !b.applications[name].leftAt.IsZero()}, true
	}
	running, waiting, cached := e.model.Load()
	return schedule.LoadReport{
		BackEnd: name, Running: running, Waiting: waiting, CachedTokens: cached, Leaving: !e.leftAt.IsZero(),
	}, !e.down
}

// bringReport hands a report to a node after the lag of reports.
func (b *backEnds) bringReport(n *simNode, epoch int, report schedule.LoadReport) {
	measured := b.world.now
	b.world.after(loadLag, func() {
		report.MeasuredAt = n.localOf(measured)
		n.deliver(epoch, core.LoadReported{Report: report})
	})
}

// listed returns the machine list as it was a little while ago.
func (b *backEnds) listed() []schedule.BackEnd {
	var list []schedule.BackEnd
	add := func(backEnd schedule.BackEnd, leftAt time.Time) {
		backEnd.Leaving = !leftAt.IsZero() && !b.world.now.Before(leftAt.Add(machineListLag))
		list = append(list, backEnd)
	}
	for _, name := range b.engineNames {
		add(b.engines[name].BackEnd, b.engines[name].leftAt)
	}
	for _, name := range b.applicationNames {
		add(b.applications[name].BackEnd, b.applications[name].leftAt)
	}
	return list
}

// start carries a node's attempt to its back end.
func (b *backEnds) start(n *simNode, action core.StartAttempt) {
	own := &owner{node: n, epoch: n.epoch, attempt: action.Attempt}
	b.world.checker.dispatched(action)
	delay := b.world.network.delay(n.zone, action.BackEnd.Zone)
	b.world.after(delay, func() {
		if e := b.engines[action.BackEnd.Name]; e != nil {
			b.startEngine(e, own, action)
		} else {
			b.startApplication(b.applications[action.BackEnd.Name], own, action)
		}
	})
}

// finish carries an outcome back, if the process that waits for it still runs.
func (b *backEnds) finish(own *owner, name string, outcome shard.Outcome, retryable bool) {
	if own == nil {
		return
	}
	event := core.AttemptFinished{Attempt: own.attempt, Outcome: outcome, Retryable: retryable}
	if report, up := b.loadOf(name); up && outcome.Succeeded() {
		b.bringReport(own.node, own.epoch, report)
	}
	b.world.after(b.world.network.delay(b.zoneOf(name), own.node.zone), func() {
		own.node.deliver(own.epoch, event)
	})
}

func failed(v verdict.Verdict, reason string) shard.Outcome {
	return shard.Outcome{Verdict: v, Code: verdict.CodeBackEndFailed, Reason: reason, RetryAfter: time.Second}
}

func streamID(call shard.CallID, attempt int) string {
	return fmt.Sprintf("%s/%s#%d.%d", call.Key.Tenant, call.Key.Session, call.Sequence, attempt)
}

func engineSession(key shard.SessionKey) string { return key.Tenant + "\x00" + key.Session }

func parseEngineSession(name string) shard.SessionKey {
	tenant, session, _ := strings.Cut(name, "\x00")
	return shard.SessionKey{Tenant: tenant, Session: session}
}

func (b *backEnds) startEngine(e *simEngine, own *owner, action core.StartAttempt) {
	if e.down {
		b.finish(own, e.Name, failed(verdict.NotRun, "connection refused"), true)
		return
	}
	id := streamID(action.Request.ID, action.StreamAttempt)
	stream := e.streams[id]
	if stream != nil {
		stream.owner = own
		if stream.outcome != nil {
			b.finish(own, e.Name, *stream.outcome, false)
		}
		return
	}
	if action.Resume {
		b.finish(own, e.Name, failed(verdict.MayHaveRun, "no such stream"), true)
		return
	}
	b.world.checker.executed(action, e.Name, e.leftAt)
	e.streams[id] = &simStream{owner: own, request: action.Request, begunAt: b.world.now}
	spec := b.world.callers.specOf(action.Request.ID)
	e.model.Submit(b.world.now, enginemodel.Job{
		ID: id, Session: engineSession(action.Request.ID.Key), Prompt: b.prompt(action),
		AnswerID: xxhash.Sum64String(id), OutputTokens: spec.output, Priority: action.Priority,
	})
	b.schedule(e)
}

// prompt builds the prompt's segments: the template's own prompt, then each turn.
func (b *backEnds) prompt(action core.StartAttempt) []enginemodel.Segment {
	var segments []enginemodel.Segment
	ask := func(request shard.Request) {
		spec := b.world.callers.specOf(request.ID)
		if spec.system > 0 {
			segments = append(segments, enginemodel.Segment{ID: xxhash.Sum64String(request.Template), Tokens: spec.system})
		}
		segments = append(segments, enginemodel.Segment{
			ID: xxhash.Sum64String(streamID(request.ID, 0)), Tokens: request.BodyTokens - spec.system,
		})
	}
	for _, turn := range action.History {
		ask(turn.Request)
		segments = append(segments, enginemodel.Segment{
			ID: xxhash.Sum64(turn.Outcome.Body), Tokens: turn.Outcome.CompletionTokens,
		})
	}
	ask(action.Request)
	return segments
}

// schedule plans the engine's next step.
func (b *backEnds) schedule(e *simEngine) {
	at, busy := e.model.NextStep()
	if !busy || e.stepping {
		return
	}
	e.stepping = true
	epoch := e.epoch
	b.world.after(at.Sub(b.world.now), func() {
		if e.epoch != epoch {
			return
		}
		e.stepping = false
		for _, progress := range e.model.Step(b.world.now) {
			b.progressed(e, progress)
		}
		b.schedule(e)
	})
}

func (b *backEnds) progressed(e *simEngine, progress enginemodel.Progress) {
	stream := e.streams[progress.ID]
	if stream == nil {
		return
	}
	if progress.FirstToken {
		b.world.callers.firstToken(stream.request.ID, b.world.now)
	}
	if !progress.Done {
		return
	}
	outcome := shard.Outcome{
		Verdict: verdict.Ran, Status: 200, Body: []byte(progress.ID),
		PromptTokens: progress.PromptTokens, CachedTokens: progress.CachedTokens, CompletionTokens: progress.OutputTokens,
	}
	stream.outcome = &outcome
	b.world.callers.served(stream.request.ID.Key, progress)
	b.world.note("generated", progress.ID)
	b.finish(stream.owner, e.Name, outcome, false)
}

func (b *backEnds) cancel(n *simNode, action core.CancelAttempt) {
	for _, name := range b.engineNames {
		e := b.engines[name]
		for _, id := range sortedIDs(e.streams) {
			stream := e.streams[id]
			if stream.owner == nil || stream.owner.node != n || stream.owner.attempt != action.Attempt || stream.outcome != nil {
				continue
			}
			stream.owner = nil
			if action.Abort {
				e.model.Cancel(id)
				delete(e.streams, id)
			}
		}
	}
}

// restart ends all streams of an engine and empties its cache.
func (b *backEnds) restart(e *simEngine) {
	b.world.note("engine restart", e.Name)
	e.epoch++
	e.down = true
	e.stepping = false
	e.model = enginemodel.New(e.Slots, e.CacheTokens)
	for _, id := range sortedIDs(e.streams) {
		stream := e.streams[id]
		if stream.outcome == nil {
			b.finish(stream.owner, e.Name, failed(verdict.MayHaveRun, "the connection was cut"), true)
		}
	}
	e.streams = map[string]*simStream{}
	b.world.after(engineRestart, func() { e.down = false })
}

func (b *backEnds) startApplication(a *simApplication, own *owner, action core.StartAttempt) {
	b.world.checker.executed(action, a.Name, a.leftAt)
	if a.hanging {
		return // it runs, and no answer ever comes
	}
	took := time.Duration(float64(applicationMedian) * (0.5 + b.world.networkRandom.ExpFloat64()))
	body := []byte(fmt.Sprintf("%s ran %s", a.Name, action.Request.IdempotencyKey))
	b.world.after(took, func() {
		b.finish(own, a.Name, shard.Outcome{Verdict: verdict.Ran, Status: 200, Body: body}, false)
	})
}

func (b *backEnds) release(n *simNode, action core.ReleaseCache) {
	epoch := n.epoch
	e := b.engines[action.Release.Engine]
	b.world.after(2*b.world.network.delay(n.zone, e.Zone), func() {
		if !e.down {
			e.model.Release(engineSession(action.Release.Key))
		}
		n.deliver(epoch, core.ReleaseFinished{Release: action.Release, Confirmed: !e.down})
	})
}

func (b *backEnds) listHolds(n *simNode, name string) {
	epoch := n.epoch
	e := b.engines[name]
	b.world.after(2*b.world.network.delay(n.zone, e.Zone), func() {
		event := core.HoldsReported{Engine: name}
		for _, session := range e.model.Holds() {
			event.Keys = append(event.Keys, parseEngineSession(session))
		}
		if !e.down {
			n.deliver(epoch, event)
		}
	})
}
