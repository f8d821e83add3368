package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/route"
)

// Where a whole service was just replaced, a gateway without a place says so at once and
// truthfully, instead of holding requests until their time is over.
func TestOnlyColdInstancesWithoutAPlaceRefuseAtOnce(t *testing.T) {
	s := gatewayOf(t)
	services := []route.Service{{Name: "apps", ColdPerSecond: 2, ColdStart: time.Hour}}
	s.directory.SetColdServices(time.Now(), coldServices(route.NewTable(2, nil, services, route.Limits{})))
	s.InstancesChanged(backend.Changes{All: true, Listed: []backend.Instance{{ID: "i", Service: "apps", Zone: "z", Slots: 1}}}, false)
	answer := ask(s, "60000")
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Equal(t, "0.02", answer.Header().Get("Retry-After"), "other gateways have places")

	s.directory.SetGateways(time.Now().Add(-time.Minute), []coldstart.Gateway{{Name: "g", Zone: "z"}})
	choice, found := s.directory.Pick(time.Now(), backend.Demand{Service: "apps"})
	require.True(t, found, "this gateway has one place")
	require.True(t, s.directory.MaySend(time.Now(), choice))
	s.directory.Arrived(time.Now(), choice)
	answer = ask(s, "60000")
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	seconds, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, seconds, otherGatewayRetry.Seconds(), "when the place is free again")
	require.LessOrEqual(t, seconds, coldstart.Window.Seconds())
}
