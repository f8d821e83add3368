package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
)

// addReplica gives the gateway a cell of one replica, which stores nothing on disk.
func addReplica(t testing.TB, s *Server) {
	listener, err := peer.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	state := ledger.NewState("disk", "life")
	server := peer.NewServer(listener, func(from *peer.Connection[ledger.Reply], request ledger.Request) {
		mu.Lock()
		defer mu.Unlock()
		output := state.Step(time.Now(), request)
		for _, reply := range append(output.Immediate, output.AfterSync...) {
			from.Send(reply)
		}
	})
	go server.Run()
	t.Cleanup(server.Close)
	cell := 0
	s.replicas.SetMembership(replicaset.Membership{
		HasLayout: true, Layout: replicaset.Layout{Cells: 1},
		Sets:     []replicaset.Set{{Epoch: 1, Voters: []replicaset.Voter{{Node: "r", Disk: "disk"}}}},
		Replicas: map[string]replicaset.Node{"r": {Name: "r", Role: replicaset.RoleReplica, Address: listener.Addr().String(), Zone: "z", Disk: "disk", Cell: &cell}},
	})
	require.Eventually(t, s.replicas.Reachable, 20*time.Second, time.Millisecond)
}

// Pending reservations are sent to the replicas again with each connection and each replica set. A
// refused turn that stayed pending made each change of the set more expensive than the one
// before, until no other traffic got through.
func TestRefusedTurnLeavesNoPendingReservation(t *testing.T) {
	s := newTestGateway(t)
	s.dialect.Program, s.dialect.TokenBudget, s.dialect.TokenCount, s.dialect.PreviousTurn = "X-Test-Program", "X-Test-Budget", "X-Test-Tokens", "X-Test-Previous"
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{{
		Name: "turn", Host: "apps.test", Prefix: "/turn/", Kind: route.Streaming, Attempts: 1, Timeout: 3 * time.Second, Retained: true, Retention: time.Minute,
		Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, []route.Service{{Name: "llm", TokensPerEvent: 1}}, route.Limits{}))
	addReplica(t, s)
	for name, test := range map[string]struct {
		budget, previous string
		status           int
	}{
		"budget exhausted":        {"10", "", http.StatusPaymentRequired},
		"previous turn not found": {"1000", "unknown", http.StatusServiceUnavailable},
		"no eligible instance":    {"1000", "", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "http://apps.test/turn/1", nil)
			for header, value := range map[string]string{
				"X-Test-Id": name, "X-Test-Program": name, "X-Test-Budget": test.budget, "X-Test-Tokens": "1,50",
				"X-Test-Previous": test.previous, deadlineHeader: "200",
			} {
				request.Header.Set(header, value)
			}
			recorder := httptest.NewRecorder()
			s.handle(recorder, request)
			require.Equal(t, test.status, recorder.Code, recorder.Body.String())
			require.Eventually(t, func() bool { return s.replicas.PendingOperations() == 0 }, 20*time.Second, time.Millisecond)
		})
	}
}

// A gateway that has just started serves callers before it knows the replicas.
func TestTurnIsRefusedWhileNoReplicasAreKnown(t *testing.T) {
	s := newTestGateway(t)
	s.dialect.Program, s.dialect.TokenBudget, s.dialect.TokenCount = "X-Test-Program", "X-Test-Budget", "X-Test-Tokens"
	s.dialect.LastEvent, s.dialect.Resumes = "X-Test-Last", "X-Test-Resumes"
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{{
		Name: "turn", Host: "apps.test", Prefix: "/turn/", Kind: route.Streaming, Attempts: 1, Timeout: 3 * time.Second, Resumable: true,
		Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, []route.Service{{Name: "llm", TokensPerEvent: 1}}, route.Limits{}))
	for name, header := range map[string]map[string]string{
		"new stream":                    {"X-Test-Program": "p", "X-Test-Budget": "100"},
		"resumed stream":                {"X-Test-Program": "p", "X-Test-Budget": "100", "X-Test-Last": "1", "X-Test-Resumes": "a"},
		"resumed stream without budget": {"X-Test-Last": "1", "X-Test-Resumes": "a"},
	} {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "http://apps.test/turn/1", nil)
			request.Header.Set("X-Test-Id", name)
			for field, value := range header {
				request.Header.Set(field, value)
			}
			recorder := httptest.NewRecorder()
			s.handle(recorder, request)
			require.Equal(t, http.StatusServiceUnavailable, recorder.Code, recorder.Body.String())
			require.NotEmpty(t, recorder.Header().Get("Retry-After"))
		})
	}
}
