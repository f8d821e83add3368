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
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// newPlacedGateway returns a gateway with one instance in zone a of region north, and the number
// of requests that reached it. Its routes are limited to homes.
func newPlacedGateway(t *testing.T, homes ...string) (*Server, *atomic.Int64) {
	arrived := &atomic.Int64{}
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, incoming *http.Request) {
		arrived.Add(1)
		w.Header().Set("X-Test-Id", incoming.Header.Get("X-Test-Id"))
		w.WriteHeader(http.StatusTeapot)
	}))
	t.Cleanup(instance.Close)
	s := newTestGateway(t)
	s.dialect.Authorization, s.dialect.Signature = "Authorization", "X-Test-Signature"
	s.dialect.ExpectedInstance, s.dialect.Tenant = "X-Test-Instance", "X-Test-Tenant"
	s.directory.UsePlaces(place.Map{"a": "north", "b": "south"})
	routes := []*route.Route{}
	for prefix, kind := range map[string]route.Kind{"/call/": route.Unsafe, "/look/": route.Safe, "/stream/": route.Streaming} {
		routes = append(routes, &route.Route{
			Name: prefix, Host: "apps.test", Prefix: prefix, Kind: kind, Attempts: 2, Timeout: time.Minute, Homes: place.HomesOf(homes),
			Targets: []route.Target{{Service: "apps", Weight: 1}},
		})
	}
	table := route.NewTable(2, routes, []route.Service{{Name: "apps"}}, route.Limits{})
	table.Tenants = tenant.NewIndex([]tenant.Tenant{
		{Name: "free", Keys: []tenant.KeyDigest{tenant.DigestOf("free")}},
		{Name: "south", Keys: []tenant.KeyDigest{tenant.DigestOf("south")}, Homes: place.HomesOf([]string{"south"}), Limit: tenant.Limit{PerSecond: 1}},
	})
	s.ConfigurationChanged(table)
	address := strings.TrimPrefix(instance.URL, "http://")
	s.InstancesChanged(backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "i", Service: "apps", Address: address, Zone: "a", Slots: 4}}}, false)
	return s, arrived
}

// sendPlacedCall sends a request with a deadline of an hour, so that a request that waited for an
// instance would time out the test.
func sendPlacedCall(s *Server, path, key string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://apps.test"+path, nil)
	request.Header.Set(deadlineHeader, "3600000")
	request.Header.Set("X-Test-Id", "r")
	request.Header.Set("Authorization", "Bearer "+key)
	recorder := httptest.NewRecorder()
	s.handle(recorder, request)
	return recorder
}

// A request that no zone may serve must be refused at once, must not count against its tenant's
// limit, and must not reach an instance.
func TestRefusesImmediatelyWhenNoZoneIsEligible(t *testing.T) {
	cases := []struct {
		name      string
		homes     []string
		key       string
		evacuated []string
		refused   string
	}{
		{name: "unrestricted", key: "free"},
		{name: "another zone evacuated", key: "free", evacuated: []string{"b"}},
		{name: "all evacuated", key: "free", evacuated: []string{"a"}, refused: "zones_evacuated"},
		{name: "in the route's home", homes: []string{"north"}, key: "free"},
		{name: "outside the route's home", homes: []string{"south"}, key: "free", refused: "no_instance_in_home_regions"},
		{name: "outside the tenant's home", key: "south", refused: "no_instance_in_home_regions"},
		{name: "homes without a common region", homes: []string{"north"}, key: "south", refused: "no_instance_in_home_regions"},
	}
	for _, c := range cases {
		for _, path := range []string{"/call/1", "/look/1", "/stream/1"} {
			t.Run(c.name+path, func(t *testing.T) {
				s, arrived := newPlacedGateway(t, c.homes...)
				s.EvacuationsChanged(c.evacuated)
				answer := sendPlacedCall(s, path, c.key)
				if c.refused == "" {
					require.Equal(t, int64(1), arrived.Load())
					return
				}
				require.Zero(t, arrived.Load())
				require.Equal(t, http.StatusServiceUnavailable, answer.Code)
				require.Contains(t, answer.Body.String(), c.refused)
				require.Equal(t, "1", answer.Header().Get("Retry-After"))
			})
		}
	}
}

// A restarted gateway must not use an evacuated zone before it has the list of evacuated zones. If
// the list does not arrive, as from copies written by an older version, it serves after a timeout.
func TestNotReadyBeforeEvacuationsAreKnown(t *testing.T) {
	s, arrived := newPlacedGateway(t)
	require.True(t, s.Ready(), "without evacuations there is nothing to wait for")
	s.options.Evacuations = true
	require.False(t, s.Ready())
	require.Contains(t, sendPlacedCall(s, "/call/1", "free").Body.String(), "unavailable")
	require.Zero(t, arrived.Load())
	s.EvacuationsChanged(nil)
	require.True(t, s.Ready())

	late, _ := newPlacedGateway(t)
	late.options.Evacuations = true
	late.started = late.started.Add(-evacuationsTimeout)
	require.True(t, late.Ready())
}
