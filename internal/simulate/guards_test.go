package simulate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// altered stands between the world and a node in place of one of its guards.
type altered struct {
	world  *world
	node   *simNode
	inner  stepper
	event  func(a *altered, event core.Event) core.Event
	action func(a *altered, action core.Action) []core.Action
}

func (a *altered) Step(now time.Time, event core.Event) []core.Action {
	if a.event != nil {
		event = a.event(a, event)
	}
	actions := a.inner.Step(now, event)
	if a.action == nil {
		return actions
	}
	var changed []core.Action
	for _, action := range actions {
		changed = append(changed, a.action(a, action)...)
	}
	return changed
}

// removal is a guard that is taken away, and the property that then breaks.
type removal struct {
	property Property
	guard    string
	faults   []Fault
	budget   int64
	event    func(a *altered, event core.Event) core.Event
	action   func(a *altered, action core.Action) []core.Action
}

var removals = []removal{
	{
		property: PropertyOrder, guard: "attempts that were overtaken are never sent",
		action: func(a *altered, action core.Action) []core.Action {
			start, isStart := action.(core.StartAttempt)
			if isStart && start.Request.Kind == shard.EngineCall && start.Request.ID.Sequence == 1 {
				late := start
				late.StreamAttempt = 99
				a.world.after(20*time.Second, func() { a.node.perform(late) })
			}
			return []core.Action{action}
		},
	},
	{
		property: PropertyHistory, guard: "the prompt holds every recorded turn",
		action: func(_ *altered, action core.Action) []core.Action {
			if start, isStart := action.(core.StartAttempt); isStart && len(start.History) > 1 {
				start.History = start.History[:len(start.History)-1]
				return []core.Action{start}
			}
			return []core.Action{action}
		},
	},
	{
		property: PropertyBudget, guard: "grants stay within the ledger's limit", budget: 500_000,
		action: func(_ *altered, action core.Action) []core.Action {
			send, isSend := action.(core.SendPeer)
			if !isSend {
				return []core.Action{action}
			}
			if reply, isReply := send.Envelope.Message.(core.ForwardReply); isReply && reply.Reply.Grant.Number > 0 {
				reply.Reply.Grant.Amount = 100_000
				send.Envelope.Message = reply
			}
			return []core.Action{send}
		},
	},
	{
		property: PropertyEngineMemory, guard: "releases and sweeps reach the engines",
		action: func(_ *altered, action core.Action) []core.Action {
			switch action.(type) {
			case core.ReleaseCache, core.ListHolds:
				return nil
			}
			return []core.Action{action}
		},
	},
	{
		property: PropertyWholeAnswer, guard: "a reply goes to the caller of its request",
		action: func(a *altered, action core.Action) []core.Action {
			reply, isReply := action.(core.ReplyCaller)
			if !isReply || reply.Reply.Call == nil {
				return []core.Action{action}
			}
			for _, id := range sortedIDs(a.node.connections) {
				if _, isTry := a.node.connections[id].(*try); isTry && id != reply.RequestID {
					reply.RequestID = id
					break
				}
			}
			return []core.Action{reply}
		},
	},
	{
		property: PropertyNotRun, guard: "a lost outcome is told as may have run", faults: []Fault{FaultToolHang},
		action: func(_ *altered, action core.Action) []core.Action {
			reply, isReply := action.(core.ReplyCaller)
			if !isReply || reply.Reply.Call == nil || reply.Reply.Call.Outcome.Verdict != verdict.MayHaveRun {
				return []core.Action{action}
			}
			call := *reply.Reply.Call
			outcome := *call.Outcome
			outcome.Verdict = verdict.NotRun
			call.Outcome = &outcome
			reply.Reply.Call = &call
			return []core.Action{reply}
		},
	},
	{
		property: PropertyAtMostOnce, guard: "one intent is sent once",
		action: func(_ *altered, action core.Action) []core.Action {
			if start, isStart := action.(core.StartAttempt); isStart && start.Request.Unrepeatable {
				return []core.Action{action, action}
			}
			return []core.Action{action}
		},
	},
	{
		property: PropertyLeaving, guard: "word that a back end leaves is heeded", faults: []Fault{FaultEngineRestart},
		event: func(_ *altered, event core.Event) core.Event {
			switch e := event.(type) {
			case core.BackEndsListed:
				for i := range e.BackEnds {
					e.BackEnds[i].Leaving = false
				}
			case core.LoadReported:
				e.Report.Leaving = false
				return e
			}
			return event
		},
	},
	{
		property: PropertyPlannedStop, guard: "a stop waits for callers", faults: []Fault{FaultRestartWave},
		event: func(a *altered, event core.Event) core.Event {
			if _, stop := event.(core.StopWanted); stop {
				epoch := a.node.epoch
				a.world.after(0, func() { a.node.stopReady(epoch) })
			}
			return event
		},
	},
	{
		property: PropertyConfiguration, guard: "changes spread from node to node", faults: []Fault{FaultOperatorRace},
		event: func(_ *altered, event core.Event) core.Event {
			if received, fromPeer := event.(core.PeerReceived); fromPeer {
				if _, push := received.Envelope.Message.(core.ConfigPush); push {
					received.Envelope.Message = core.ConfigPush{}
					return received
				}
			}
			return event
		},
	},
	{
		property: PropertyLiveness, guard: "a lost leader is replaced", faults: []Fault{FaultKill},
		event: func(_ *altered, event core.Event) core.Event {
			received, fromPeer := event.(core.PeerReceived)
			if !fromPeer {
				return event
			}
			batch, isBatch := received.Envelope.Message.(core.RaftMessages)
			if !isBatch {
				return event
			}
			var kept []raft.Message
			for _, message := range batch.Messages {
				if message.Kind != raft.RequestPreVote || message.Term <= 1 {
					kept = append(kept, message)
				}
			}
			received.Envelope.Message = core.RaftMessages{Messages: kept}
			return received
		},
	},
}

// guardSeeds are tried in turn until the checker catches the missing guard.
const guardSeeds = 8

// TestCheckerCatchesMissingGuards takes each guard away and expects the checker
// to report the property that it keeps, and to be content with the guard in place.
func TestCheckerCatchesMissingGuards(t *testing.T) {
	for _, removed := range removals {
		t.Run(string(removed.property), func(t *testing.T) {
			t.Parallel()
			options := Options{
				Deployment: "riga", Duration: 4 * time.Minute, Load: 0.2, Faults: removed.faults, budget: removed.budget,
			}
			for options.Seed = 1; options.Seed <= guardSeeds; options.Seed++ {
				options.wrap = nil
				whole, err := Run(options)
				require.NoError(t, err)
				require.Empty(t, whole.Violations, "with the guard in place, seed %d", options.Seed)
				options.wrap = func(w *world, node *simNode) stepper {
					return &altered{world: w, node: node, inner: node.core, event: removed.event, action: removed.action}
				}
				broken, err := Run(options)
				require.NoError(t, err)
				for _, violation := range broken.Violations {
					if violation.Property == removed.property {
						t.Logf("without %q, seed %d: %s", removed.guard, options.Seed, violation.What)
						return
					}
				}
			}
			t.Fatalf("without %q the checker found nothing in %d seeds", removed.guard, guardSeeds)
		})
	}
}
