package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/topology"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// single is a deployment of one node, stepped by hand.
type single struct {
	t       *testing.T
	node    *Node
	now     time.Time
	actions []Action
}

func newSingle(t *testing.T) *single {
	layout, err := topology.New([]topology.Node{{ID: "a", Zone: "z", Address: "0.0.0.0:0"}}, 2)
	require.NoError(t, err)
	s := &single{t: t, now: time.Unix(1000, 0)}
	s.node = New(Config{Node: "a", Incarnation: 1, Topology: layout, Timeouts: DefaultTimeouts()})
	s.step(CellFormed{Members: []raft.MemberID{membership.MemberID("a", 1)}})
	s.step(ChangesRead{Changes: []catalogue.Change{testChange(1, 100_000)}})
	s.step(BackEndsListed{BackEnds: []schedule.BackEnd{
		{Name: "engine", Service: "llm", Kind: shard.EngineCall, Models: []string{"m"}, Slots: 4},
		{Name: "app", Service: "billing", Kind: shard.ApplicationCall, Slots: 4},
	}})
	s.advance(2 * time.Second)
	return s
}

func testChange(revision uint64, budget int64) catalogue.Change {
	edit := func(object declaration.Object) catalogue.Edit {
		return catalogue.Edit{Reference: object.Reference, Object: &object}
	}
	return catalogue.Change{Revision: revision, Edits: []catalogue.Edit{
		edit(declaration.Object{
			Reference: declaration.Reference{Kind: declaration.KindTemplate, Name: "t"},
			Template:  &declaration.Template{Service: "llm", Model: "m", Applications: []string{"billing"}, MaxCompletionTokens: 100},
		}),
		edit(declaration.Object{
			Reference: declaration.Reference{Kind: declaration.KindTenant, Name: "coop"},
			Tenant:    &declaration.Tenant{KeyDigest: "k", BudgetTokens: budget},
		}),
		edit(declaration.Object{
			Reference: declaration.Reference{Kind: declaration.KindInstance, Name: "i"},
			Instance:  &declaration.Instance{Template: "t", Tenant: "coop"},
		}),
	}}
}

func (s *single) step(event Event) {
	s.actions = append(s.actions, s.node.Step(s.now, event)...)
}

// advance lets time pass, with fresh load reports.
func (s *single) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(TickInterval) {
		for _, name := range []string{"engine", "app"} {
			s.step(LoadReported{Report: schedule.LoadReport{BackEnd: name, MeasuredAt: s.now}})
		}
		s.step(Tick{})
	}
}

func (s *single) call(requestID, sequence uint64, key string, change func(*shard.Request)) {
	request := shard.Request{
		ID:       shard.CallID{Key: shard.SessionKey{Tenant: "coop", Session: "s"}, Sequence: sequence},
		Template: "t", IdempotencyKey: key, Kind: shard.EngineCall, BodyTokens: 10, MaxTokens: 50,
	}
	if change != nil {
		change(&request)
	}
	s.step(CallReceived{RequestID: requestID, Request: request})
	s.advance(200 * time.Millisecond)
}

func take[A Action](s *single) []A {
	var taken []A
	var rest []Action
	for _, action := range s.actions {
		if wanted, is := action.(A); is {
			taken = append(taken, wanted)
		} else {
			rest = append(rest, action)
		}
	}
	s.actions = rest
	return taken
}

func (s *single) finish(start StartAttempt, outcome shard.Outcome, retryable bool) {
	s.step(AttemptFinished{Attempt: start.Attempt, Outcome: outcome, Retryable: retryable})
	s.advance(100 * time.Millisecond)
}

var success = shard.Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte("answer"), PromptTokens: 10, CompletionTokens: 5}

func TestCallIsAnsweredAndRepeatedFromTheRecord(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "k1", nil)
	starts := take[StartAttempt](s)
	require.Len(t, starts, 1)
	s.finish(starts[0], success, false)
	replies := take[ReplyCaller](s)
	require.Len(t, replies, 1)
	require.Equal(t, "answer", string(replies[0].Reply.Call.Outcome.Body))
	s.call(2, 1, "k1", nil)
	require.Empty(t, take[StartAttempt](s), "a repeated call does not run again")
	require.Equal(t, "answer", string(take[ReplyCaller](s)[0].Reply.Call.Outcome.Body))
}

func TestRulesOfASession(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "k1", nil)
	start := take[StartAttempt](s)[0]
	cases := []struct {
		name     string
		sequence uint64
		key      string
		code     verdict.Code
	}{
		{"gap", 3, "k3", verdict.CodeSequenceGap},
		{"previous in progress", 2, "k2", verdict.CodePreviousInProgress},
		{"another key for the same number", 1, "other", verdict.CodeKeyConflict},
	}
	for place, c := range cases {
		s.call(uint64(10+place), c.sequence, c.key, nil)
		replies := take[ReplyCaller](s)
		require.Len(t, replies, 1, c.name)
		require.Equal(t, c.code, replies[0].Reply.Error.Code, c.name)
		require.Equal(t, verdict.NotRun, replies[0].Reply.Error.Verdict, c.name)
	}
	s.finish(start, success, false)
	s.call(20, 2, "k1", nil)
	require.Equal(t, verdict.CodeKeyConflict, lastReply(s).Error.Code, "a key is used once in a session")
}

func lastReply(s *single) Reply {
	replies := take[ReplyCaller](s)
	return replies[len(replies)-1].Reply
}

func unrepeatable(request *shard.Request) {
	request.Kind = shard.ApplicationCall
	request.Service = "billing"
	request.Unrepeatable = true
	request.BodyTokens, request.MaxTokens = 0, 0
}

func TestUnrepeatableIsNotRetriedWhenItMayHaveRun(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "charge", unrepeatable)
	s.finish(take[StartAttempt](s)[0], failure(verdict.MayHaveRun, verdict.CodeBackEndFailed, "cut"), true)
	s.advance(5 * time.Second)
	require.Empty(t, take[StartAttempt](s))
	require.Equal(t, verdict.MayHaveRun, lastReply(s).Call.Outcome.Verdict)
	s.call(2, 1, "charge", unrepeatable)
	require.Empty(t, take[StartAttempt](s), "asking again does not send it again")
}

func TestUnrepeatableIsRetriedWhenItDidNotRun(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "charge", unrepeatable)
	s.finish(take[StartAttempt](s)[0], failure(verdict.NotRun, verdict.CodeBackEndFailed, "refused"), true)
	s.advance(time.Second)
	starts := take[StartAttempt](s)
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Attempt.Attempt)
}

func TestBudgetIsRefusedBeforeItIsExceeded(t *testing.T) {
	s := newSingle(t)
	s.step(ChangesRead{Changes: []catalogue.Change{testChange(2, 100)}})
	s.call(1, 1, "k1", nil)
	start := take[StartAttempt](s)
	require.Len(t, start, 1, "60 of 100 tokens")
	s.finish(start[0], success, false)
	s.call(2, 2, "k2", func(request *shard.Request) { request.MaxTokens = 90 })
	require.Empty(t, take[StartAttempt](s), "15 used, worst case 115 of the 85 left")
	reply := lastReply(s)
	require.Equal(t, verdict.CodeBudgetExhausted, reply.Error.Code)
	require.Positive(t, reply.Error.RetryAfter)
}

func TestReplyForAnEarlierIncarnationIsIgnored(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "k1", nil)
	take[ReplyCaller](s)
	for id := range s.node.routed {
		stray := ForwardReply{Incarnation: 7, RequestID: id, Reply: Reply{Call: &shard.Call{Outcome: &success}}}
		s.step(PeerReceived{Envelope: Envelope{From: "b", Incarnation: 1, Sequence: 1, Message: stray}})
	}
	require.Empty(t, take[ReplyCaller](s))
}

func TestRepeatedEnvelopeActsOnce(t *testing.T) {
	links := newLinkTable("a", 1)
	first := Envelope{From: "b", Incarnation: 5, Sequence: 3}
	require.True(t, links.accept(first))
	require.False(t, links.accept(first))
	require.True(t, links.accept(Envelope{From: "b", Incarnation: 5, Sequence: 2}), "out of order is no repetition")
	require.True(t, links.accept(Envelope{From: "b", Incarnation: 5, Sequence: 3 + linkWindow}))
	require.False(t, links.accept(Envelope{From: "b", Incarnation: 5, Sequence: 1}), "too old to know")
	require.True(t, links.accept(Envelope{From: "b", Incarnation: 4, Sequence: 3}), "another incarnation")
}

func TestPausedDispatcherDoesNotSend(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "k1", nil)
	start := take[StartAttempt](s)[0]
	s.finish(start, success, false)
	g := s.node.groups[s.node.shardOf(start.Request.ID.Key)]
	call := *g.state.Sessions[start.Request.ID.Key].Calls[0]
	call.Outcome = nil
	call.Attempt = 1
	g.state.Sessions[start.Request.ID.Key].Calls[0] = &call
	s.node.proposedAt[start.Attempt] = s.now
	s.node.dispatchBegun(s.now.Add(dispatchWindow+time.Millisecond), g, &call)
	s.actions = s.node.actions
	require.Empty(t, take[StartAttempt](s))
	require.True(t, s.node.abandoned[start.Attempt])
}

func TestEndingASessionStopsItsGeneration(t *testing.T) {
	s := newSingle(t)
	s.call(1, 1, "k1", nil)
	start := take[StartAttempt](s)[0]
	s.step(EndWanted{RequestID: 2, Key: start.Request.ID.Key})
	s.advance(2 * time.Second)
	cancelled := take[CancelAttempt](s)
	require.NotEmpty(t, cancelled)
	require.True(t, cancelled[0].Abort)
	require.NotEmpty(t, take[ReleaseCache](s), "its memory is released soon")
}
