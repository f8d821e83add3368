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

// withReplica gives the gateway a cell of one replica, which keeps nothing on disk.
func withReplica(t *testing.T, s *Server) {
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

// What is under way at the replicas is sent to them again with each connection and each set. A
// refused turn that stayed under way for good made each change of the set dearer than the one
// before, until nothing else got through.
func TestARefusedTurnLeavesNothingUnderWay(t *testing.T) {
	s := gatewayOf(t)
	s.dialect.Program, s.dialect.TokenBudget, s.dialect.TokenCount, s.dialect.PreviousTurn = "X-Test-Program", "X-Test-Budget", "X-Test-Tokens", "X-Test-Previous"
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{{
		Name: "turn", Host: "apps.test", Prefix: "/turn/", Kind: route.Streaming, Attempts: 1, Timeout: 3 * time.Second, Retained: true, Retention: time.Minute,
		Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, []route.Service{{Name: "llm", TokensPerEvent: 1}}, route.Limits{}))
	withReplica(t, s)
	for name, test := range map[string]struct {
		budget, previous string
		status           int
	}{
		"its budget is spent":                  {"10", "", http.StatusPaymentRequired},
		"the turn before is nowhere":           {"1000", "unknown", http.StatusServiceUnavailable},
		"there is no instance that may run it": {"1000", "", http.StatusServiceUnavailable},
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
