package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/route"
)

const deadlineHeader = "X-Test-Deadline"

// newTestGateway returns a gateway with one route of plain calls and no instances.
func newTestGateway(t testing.TB) *Server {
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	s := New(Options{
		Node: "g", Zone: "z", Dialect: Dialect{Deadline: deadlineHeader, RequestID: "X-Test-Id"},
		Directory: backend.NewDirectory("z"), Replicas: quorum.NewCells(t.Context(), "g", "z", nil, quiet),
		Log: quiet, Metrics: NewMetrics("g"), ColdStarts: coldstart.Policy{Overage: 1},
	})
	table := route.NewTable(1, []*route.Route{{
		Name: "call", Host: "apps.test", Prefix: "/call/", Kind: route.Unsafe, Attempts: 1, Timeout: 3 * time.Second,
		Targets: []route.Target{{Service: "apps", Weight: 1}},
	}}, []route.Service{{Name: "apps"}}, route.Limits{})
	s.ConfigurationChanged(table)
	s.InstancesChanged(backend.Changes{Snapshot: true}, false)
	return s
}

// sendCall sends a request with the given deadline in milliseconds.
func sendCall(s *Server, deadlineMS string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://apps.test/call/1", nil)
	request.Header.Set(s.dialect.RequestID, "r")
	request.Header.Set(deadlineHeader, deadlineMS)
	recorder := httptest.NewRecorder()
	s.handle(recorder, request)
	return recorder
}

// A stopping gateway must not accept a request that it would abort before its deadline.
func TestStoppingGatewayRefusesRequestsItMayAbort(t *testing.T) {
	s := newTestGateway(t)
	require.Contains(t, sendCall(s, "100").Body.String(), "overloaded", "there is no instance")
	s.drainDeadline.Store(int64(time.Since(s.started) + time.Second))
	late := sendCall(s, "2000")
	require.Equal(t, http.StatusServiceUnavailable, late.Code)
	require.Contains(t, late.Body.String(), "unavailable")
	require.NotEmpty(t, late.Header().Get("Retry-After"))
	require.Contains(t, sendCall(s, "100").Body.String(), "overloaded", "a request that ends in time is accepted")
}

// A request that waits when the gateway begins to stop must not be sent so late that the end of the grace cuts it off. A safe
// one may be sent: its caller repeats it after any failure.
func TestStoppingGatewaySendsNoWaitingRequestThatItMayAbort(t *testing.T) {
	for prefix, want := range map[string]int{"/unsafe/": http.StatusServiceUnavailable, "/stream/": http.StatusServiceUnavailable, "/safe/": http.StatusOK} {
		t.Run(prefix, func(t *testing.T) {
			s := newTestGateway(t)
			instance := newBusyInstance("i", 0, time.Millisecond)
			if prefix == "/stream/" {
				instance.serve = writeEvents
			}
			listBusyInstances(t, s, nil, instance)
			answered := make(chan *httptest.ResponseRecorder, 1)
			go func() { answered <- postTo(s, prefix, "a") }()
			require.Eventually(t, func() bool { return instance.refusalsSoFar() > 0 }, 5*time.Second, time.Millisecond)
			s.drainDeadline.Store(int64(time.Since(s.started) + time.Second))
			instance.setSlots(1)
			got := <-answered
			require.Equal(t, want, got.Code, got.Body.String())
			if want == http.StatusServiceUnavailable {
				require.Zero(t, instance.runs["a"])
				require.NotEmpty(t, got.Header().Get("Retry-After"))
			}
		})
	}
}
