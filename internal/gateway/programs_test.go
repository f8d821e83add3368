package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tally"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// firstOfProgram returns the first request of a program, of a kind whose known demand exceeds the
// capacity of the only instance.
func firstOfProgram(t *testing.T, s *Server) *request {
	s.options.LoadControl, s.options.ProgramAdmission = true, true
	s.dialect.Program = "X-Test-Program"
	served := &route.Route{
		Name: "turn", Host: "apps.test", Prefix: "/turn/", Kind: route.Streaming, Attempts: 1, Objective: time.Millisecond,
		Targets: []route.Target{{Service: "llm", Weight: 1}},
	}
	llm := route.Service{Name: "llm", Generates: true}
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{served}, []route.Service{llm}, route.Limits{}))
	s.directory.ApplyChanges(time.Now(), backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "i", Service: "llm", Zone: "z", Slots: 2}}}, false)
	now := time.Now()
	r := &request{
		id: "r", arrived: now, deadline: now.Add(3 * time.Second), firstOfProgram: true, route: served, table: s.table.Load(), service: llm,
		header: http.Header{"X-Test-Program": {"p"}},
	}
	for i := range 100 {
		s.programs.controller.ProgramStarted(now.Add(-10*time.Second), admission.ProgramStart{Kind: r.programKind(), Program: fmt.Sprint(i)})
	}
	for i := range 100 {
		for turn := range 2 {
			ended := admission.Turn{Kind: r.programKind(), Program: fmt.Sprint(i), First: turn == 0, SlotTime: time.Second}
			s.programs.controller.TurnCompleted(now.Add(-8*time.Second), ended)
		}
	}
	s.admitProgram(r) // the first decision applies what was learned
	for range 100 {
		s.recordProgramStart(r)
	}
	r.admission = admission.Decision{}
	return r
}

func TestNewProgramIsRefusedWithoutCapacity(t *testing.T) {
	s := newTestGateway(t)
	r := firstOfProgram(t, s)
	require.False(t, s.admitProgram(r))
	require.False(t, s.awaitNextDecision(t.Context(), r))
	failure := r.failureIfHeld(&backend.Failure{})
	require.Equal(t, verdict.NotRun, failure.Verdict)
	require.Positive(t, s.refusalFor(t.Context(), r, failure, false).retryAfter)
}

func TestProgramAdmissionAppliesOnlyToNewPrograms(t *testing.T) {
	for name, change := range map[string]func(*Server, *request){
		"begun":                      func(_ *Server, r *request) { r.firstOfProgram = false },
		"no program":                 func(s *Server, r *request) { r.header.Del(s.dialect.Program) },
		"program admission disabled": func(s *Server, _ *request) { s.options.ProgramAdmission = false },
		"no load control":            func(s *Server, _ *request) { s.options.LoadControl = false },
		"service without generation": func(_ *Server, r *request) { r.service.Generates = false },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t)
			r := firstOfProgram(t, s)
			change(s, r)
			require.True(t, s.admits(r))
		})
	}
}

func TestProgramSectionIsAppliedByOtherGateways(t *testing.T) {
	reporting, other := newTestGateway(t), newTestGateway(t)
	r := firstOfProgram(t, reporting)
	now := time.Now()
	sender, receiver := reporting.ProgramSection(), other.ProgramSection()
	source, version := tally.Source{Gateway: "one"}, tally.Version{Started: 1, Number: 2}
	receiver.apply(now, source, version, sender.ownFigures(now))
	receiver.apply(now, source, tally.Version{Started: 1, Number: 1}, sender.ownFigures(now.Add(time.Hour))) // received out of order
	decision := other.programs.controller.Decide(now, admission.Request{ID: "x", Kind: r.programKind()}, admission.Load{Slots: 2})
	require.True(t, decision.HasForecast)
	require.Equal(t, 1, decision.Sources)
	require.Less(t, decision.Probability, 1.0)
}
