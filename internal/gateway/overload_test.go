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
	"swiftbank.dev/swiftbank/internal/verdict"
)

// addInstance adds a service with one instance that answers by the handler, and a safe route to it.
func addInstance(t *testing.T, s *Server, answer http.HandlerFunc) {
	instance := httptest.NewServer(answer)
	t.Cleanup(instance.Close)
	s.dialect.Signature, s.dialect.NotExecuted = "X-Test-Signature", "X-Test-Not-Executed"
	s.dialect.ExpectedInstance, s.dialect.Program = "X-Test-Instance", "X-Test-Program"
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{{
		Name: "call", Host: "apps.test", Prefix: "/call/", Kind: route.Safe, Attempts: 2, Timeout: 3 * time.Second,
		Targets: []route.Target{{Service: "apps", Weight: 1}},
	}}, []route.Service{{Name: "apps", ConnectionLimit: 100}}, route.Limits{}))
	s.directory.ApplyChanges(time.Now(), backend.Changes{Snapshot: true, Listed: []backend.Instance{{
		ID: "i", Service: "apps", Zone: "z", Address: strings.TrimPrefix(instance.URL, "http://"), Slots: 2,
	}}}, false)
}

// sendCallWithID sends a request with an id.
func sendCallWithID(s *Server, id, deadlineMS, program string) *httptest.ResponseRecorder {
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

func TestRetriesOnTheOnlyInstance(t *testing.T) {
	s := newTestGateway(t)
	var asked atomic.Int64
	addInstance(t, s, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Test-Id", r.Header.Get("X-Test-Id"))
		w.Header().Set("X-Test-Signature", "s")
		if asked.Add(1) == 1 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	require.Equal(t, http.StatusOK, sendCallWithID(s, "a", "2000", "p").Code)
	require.EqualValues(t, 2, asked.Load())
}

// The overload package spreads the retry times; each caller must get the one that was decided for
// it.
func TestRefusalCarriesTheDecisionsRetryAfter(t *testing.T) {
	s := newTestGateway(t)
	notRun := &backend.Failure{Verdict: verdict.NotRun}
	for decided, expected := range map[time.Duration]time.Duration{
		0: minOverloadRetry, minOverloadRetry + time.Millisecond: minOverloadRetry + time.Millisecond, 777 * time.Millisecond: 777 * time.Millisecond,
	} {
		r := &request{retryAfter: decided, deadline: time.Now().Add(time.Hour)}
		require.Equal(t, expected, s.refusalFor(t.Context(), r, notRun, false).retryAfter)
	}
	cold := &backend.Failure{Verdict: verdict.NotRun, RetryAfter: time.Second}
	require.Equal(t, time.Second, s.refusalFor(t.Context(), &request{deadline: time.Now().Add(time.Hour)}, cold, false).retryAfter, "a cold instance determines the time")
}

// If the deadline passes before an instance's refusal arrives, the outcome is unknown: a caller
// got a 504 for a request that no instance accepted.
func TestRequestIsNotSentCloseToItsDeadline(t *testing.T) {
	s := newTestGateway(t)
	var asked atomic.Int64
	addInstance(t, s, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.Header().Set("X-Test-Id", r.Header.Get("X-Test-Id"))
		w.Header().Set("X-Test-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	table := s.table.Load()
	for _, left := range []time.Duration{99 * time.Millisecond, 0, -time.Second} {
		now := time.Now()
		r := &request{
			id: "a", method: http.MethodGet, target: "/call/1", host: "apps.test", table: table, route: table.Match("apps.test", "/call/1"), service: table.Services["apps"], header: http.Header{},
			arrived: now.Add(left - time.Second), deadline: now.Add(left),
		}
		r.service.Name = "apps"
		sent, failure := s.sendUntilAccepted(t.Context(), r, backend.Demand{Service: "apps"})
		require.Nil(t, sent)
		require.Equal(t, verdict.NotRun, failure.Verdict)
		require.Zero(t, asked.Load(), "%s of a second left", left)
	}
}
