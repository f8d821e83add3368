package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// withTenants applies a configuration with tenants and a public route.
func withTenants(s *Server, version uint64, tenants ...tenant.Tenant) {
	call := func(name, prefix string, public bool) *route.Route {
		return &route.Route{
			Name: name, Host: "apps.test", Prefix: prefix, Kind: route.Unsafe, Attempts: 1, Timeout: 3 * time.Second, Public: public,
			Targets: []route.Target{{Service: "apps", Weight: 1}},
		}
	}
	table := route.NewTable(version, []*route.Route{call("call", "/call/", false), call("open", "/open/", true)},
		[]route.Service{{Name: "apps"}}, route.Limits{})
	table.Tenants = tenant.NewIndex(tenants)
	s.ConfigurationChanged(table)
}

// confirmConfiguration marks the gateway's configuration as current.
func confirmConfiguration(s *Server) { s.FeedStatusChanged(feed.Status{Confirmed: true}) }

// sendCallWithKey sends a request with the given Authorization header, or none for "".
func sendCallWithKey(s *Server, path, authorization string) int {
	request := httptest.NewRequest(http.MethodPost, "http://apps.test"+path, nil)
	request.Header.Set(s.dialect.RequestID, "r")
	request.Header.Set(deadlineHeader, "40")
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	recorder := httptest.NewRecorder()
	s.handle(recorder, request)
	return recorder.Code
}

// statusNoInstance is the status of an authenticated request: 503, because there is no instance.
const statusNoInstance = http.StatusServiceUnavailable

func TestAuthenticatesByConfiguredKeys(t *testing.T) {
	s := newTestGateway(t)
	s.dialect.Authorization = "Authorization"
	confirmConfiguration(s)
	withTenants(s, 2, tenant.Tenant{Name: "a", Keys: []tenant.KeyDigest{tenant.DigestOf("key-a")}})
	require.Equal(t, statusNoInstance, sendCallWithKey(s, "/call/1", "Bearer key-a"))
	require.Equal(t, http.StatusUnauthorized, sendCallWithKey(s, "/call/1", "Bearer key-b"))
	require.Equal(t, http.StatusUnauthorized, sendCallWithKey(s, "/call/1", ""))
	require.Equal(t, statusNoInstance, sendCallWithKey(s, "/open/1", ""), "a public route needs no key")
	require.Equal(t, statusNoInstance, sendCallWithKey(s, "/open/1", "Bearer key-b"))

	withTenants(s, 3, tenant.Tenant{Name: "a"}, tenant.Tenant{Name: "b", Keys: []tenant.KeyDigest{tenant.DigestOf("key-b")}})
	require.Equal(t, http.StatusUnauthorized, sendCallWithKey(s, "/call/1", "Bearer key-a"), "the key was removed")
	require.Equal(t, statusNoInstance, sendCallWithKey(s, "/call/1", "Bearer key-b"))
}

// A key that was just added must not be refused permanently by a gateway whose configuration may
// be outdated.
func TestUnknownKeyIsRetryableWhileConfigurationIsStale(t *testing.T) {
	s := newTestGateway(t)
	s.dialect.Authorization = "Authorization"
	withTenants(s, 2, tenant.Tenant{Name: "a"})
	s.FeedStatusChanged(feed.Status{Confirmed: false})
	require.Equal(t, http.StatusServiceUnavailable, sendCallWithKey(s, "/call/1", "Bearer new"))
	confirmConfiguration(s)
	require.Equal(t, http.StatusUnauthorized, sendCallWithKey(s, "/call/1", "Bearer new"))
}

func TestContinuesOtherTenant(t *testing.T) {
	own := &turn{
		request: &request{tenant: &tenant.Tenant{Name: "riga"}}, reservation: &quorum.Reservation{},
		ancestors: []ledger.Turn{{ID: "b", Tenant: "riga"}, {ID: "a", Tenant: "riga"}},
	}
	require.False(t, own.continuesOtherTenant())
	own.ancestors[0].Tenant = "luzon"
	require.True(t, own.continuesOtherTenant())
	require.True(t, (&turn{request: &request{}, reservation: &quorum.Reservation{Foreign: true}}).continuesOtherTenant())
}

func TestEngineControlHeadersAreNotForwarded(t *testing.T) {
	s := newTestGateway(t)
	s.dialect = Dialect{
		RequestID: "X-Id", Deadline: "X-Deadline", ExpectedInstance: "X-Expected", Priority: "X-Priority",
		Authorization: "Authorization", Tenant: "X-Tenant", EngineControlHeaders: []string{"X-Reserve", "X-Keep"},
	}
	withTenants(s, 2)
	r := &request{
		table: s.table.Load(), tenant: &tenant.Tenant{Name: "a"}, deadline: time.Now().Add(time.Second),
		header: http.Header{
			"X-Id": {"1"}, "X-Reserve": {"h"}, "X-Keep": {"4000"}, "X-Priority": {"0"}, "X-Tenant": {"forged", "again"},
			"Authorization": {"Bearer key-a"}, "X-Other": {"stays"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
		},
	}
	passed := s.instanceCall(r, backend.Instance{ID: "i"}).Header
	require.Equal(t, http.Header{"X-Id": {"1"}, "X-Tenant": {"a"}, "X-Other": {"stays"}, "X-Expected": {"i"}, "X-Deadline": passed["X-Deadline"]}, passed)

	r.tenant = nil
	require.NotContains(t, s.instanceCall(r, backend.Instance{ID: "i"}).Header, "X-Tenant", "a public request has no tenant")
	r.table = route.NewTable(3, nil, nil, route.Limits{})
	passed = s.instanceCall(r, backend.Instance{ID: "i"}).Header
	require.Contains(t, passed, "Authorization", "without tenants the header belongs to callers and instances")
	require.NotContains(t, passed, "X-Reserve")
}
