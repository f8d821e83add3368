package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
	"swiftbank.dev/swiftbank/internal/verdict"
)

func TestProgramPart(t *testing.T) {
	s := &Server{dialect: Dialect{Program: "X-Program"}, options: Options{LoadControl: true, LimitSetAside: true}}
	part := func(program string, first bool) quota.Part {
		return s.programPart(&request{header: http.Header{"X-Program": {program}}, firstOfProgram: first})
	}
	require.Equal(t, quota.PartFirst, part("p", true))
	require.Equal(t, quota.PartLater, part("p", false), "a tool call counts as well")
	require.Equal(t, quota.PartFirst, part("", false))
	for _, off := range []Options{{LoadControl: true}, {LimitSetAside: true}} {
		s.options = off
		require.Equal(t, quota.PartUnknown, part("p", true))
	}
}

// limitedProgram returns a gateway and the first request of a program whose tenant has a limit.
func limitedProgram(t *testing.T) (s *Server, r *request, now time.Time) {
	s = newTestGateway(t)
	addInstance(t, s, func(http.ResponseWriter, *http.Request) {})
	s.options.LoadControl, s.options.LimitSetAside, s.options.ProgramAdmission = true, true, true
	now = time.Now()
	r = &request{
		id: "r", firstOfProgram: true, arrived: now, deadline: now.Add(time.Second), table: s.table.Load(), route: &route.Route{Name: "call"},
		service: route.Service{Name: "apps", Generates: true}, header: http.Header{"X-Test-Program": {"p"}},
		tenant: &tenant.Tenant{Name: "t", Limit: tenant.Limit{PerSecond: 1}},
	}
	return s, r, now
}

// A program that is refused for lack of capacity must not ask a lender, or it would use up its
// tenant's limit.
func TestRefusedProgramConsumesNoAllowance(t *testing.T) {
	s, r, now := limitedProgram(t)
	for number := range 200 { // twenty programs a second, each of two turns of one second, on two slots
		at := now.Add(time.Duration(number-200) * 50 * time.Millisecond)
		began := admission.ProgramStart{Kind: r.programKind(), Program: fmt.Sprint(number), TimeLeft: time.Second}
		s.programs.controller.ProgramStarted(at, began)
		s.programs.controller.TurnCompleted(at, admission.Turn{Kind: began.Kind, Program: began.Program, First: true, SlotTime: time.Second, Utilization: 1})
		s.programs.controller.TurnCompleted(at, admission.Turn{Kind: began.Kind, Program: began.Program, SlotTime: time.Second, Utilization: 1})
	}
	refused := s.checkTenantLimit(t.Context(), r)
	require.NotNil(t, refused)
	require.Equal(t, "the programs in progress leave no capacity for a new one", refused.reason)
	require.Equal(t, verdict.CodeOverloaded, refused.code)

	s.options.ProgramAdmission = false
	require.Equal(t, "no replicas are known yet", s.checkTenantLimit(t.Context(), r).reason)
}

// Callers beyond their tenant's limit retry often; no capacity must be reserved for them.
func TestProgramBeyondTenantLimitAddsNoDemand(t *testing.T) {
	s, r, now := limitedProgram(t)
	const requests = 100
	for range requests {
		r.admission = admission.Decision{}
		require.Equal(t, "no replicas are known yet", s.checkTenantLimit(t.Context(), r).reason)
	}
	decision := s.programs.controller.Decide(now, admission.Request{Kind: r.programKind(), Deadline: r.deadline}, admission.Load{Slots: 2})
	require.Less(t, decision.ArrivalRate, requests/10.0)
}
