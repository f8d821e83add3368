package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
)

// oneInstance gives the gateway a service with one instance that answers as told, and a safe
// route to it.
func oneInstance(t *testing.T, s *Server, answer http.HandlerFunc) {
	instance := httptest.NewServer(answer)
	t.Cleanup(instance.Close)
	s.dialect.Signature, s.dialect.NotExecuted = "X-Test-Signature", "X-Test-Not-Executed"
	s.dialect.ExpectedInstance, s.dialect.Program = "X-Test-Instance", "X-Test-Program"
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{{
		Name: "call", Host: "apps.test", Prefix: "/call/", Kind: route.Safe, Attempts: 2, Timeout: 3 * time.Second,
		Targets: []route.Target{{Service: "apps", Weight: 1}},
	}}, []route.Service{{Name: "apps", ConnectionLimit: 100}}, route.Limits{}))
	s.directory.Update(time.Now(), []backend.Instance{{
		ID: "i", Service: "apps", Zone: "z", Address: strings.TrimPrefix(instance.URL, "http://"), Slots: 2,
	}}, false)
}

// askFor sends a request with an id.
func askFor(s *Server, id, deadlineMS, program string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "http://apps.test/call/1", nil)
	request.Header.Set(s.dialect.RequestID, id)
	request.Header.Set(deadlineHeader, deadlineMS)
	if program != "" {
		request.Header.Set(s.dialect.Program, program)
	}
	recorder := httptest.NewRecorder()
	s.handle(recorder, request)
	return recorder
}

func TestTheOnlyInstanceIsAskedAgainAfterAFailure(t *testing.T) {
	s := gatewayOf(t)
	var asked atomic.Int64
	oneInstance(t, s, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Test-Id", r.Header.Get("X-Test-Id"))
		w.Header().Set("X-Test-Signature", "s")
		if asked.Add(1) == 1 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	require.Equal(t, http.StatusOK, askFor(s, "a", "2000", "p").Code)
	require.EqualValues(t, 2, asked.Load())
}

func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	s := gatewayOf(t)
	oneInstance(t, s, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Test-Id", r.Header.Get("X-Test-Id"))
		w.Header().Set("X-Test-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	times := map[string]bool{}
	for _, id := range []string{"a", "b", "c", "d"} {
		refused := askFor(s, id, "300", "")
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		times[refused.Header().Get("Retry-After")] = true
	}
	require.Greater(t, len(times), 2)
}
