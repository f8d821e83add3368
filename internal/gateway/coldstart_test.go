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

// After a whole service was replaced, only cold instances exist. A gateway without a slot at them
// must refuse at once, instead of holding requests until their deadline.
func TestRefusesImmediatelyWhenColdInstancesHaveNoSlot(t *testing.T) {
	s := newTestGateway(t)
	services := []route.Service{{Name: "apps", ColdPerSecond: 2, ColdStart: time.Hour}}
	s.directory.SetColdServices(time.Now(), coldServices(route.NewTable(2, nil, services, route.Limits{})))
	s.InstancesChanged(backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "i", Service: "apps", Zone: "z", Slots: 1}}}, false)
	answer := sendCall(s, "60000")
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Equal(t, "0.02", answer.Header().Get("Retry-After"), "other gateways have slots")

	s.directory.SetGateways(time.Now().Add(-time.Minute), []coldstart.Gateway{{Name: "g", Zone: "z"}})
	choice, found := s.directory.Pick(time.Now(), backend.Demand{Service: "apps"})
	require.True(t, found, "this gateway has one slot")
	require.True(t, s.directory.MaySend(time.Now(), choice))
	s.directory.ResponseStarted(time.Now(), choice)
	answer = sendCall(s, "60000")
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	seconds, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, seconds, otherGatewayRetry.Seconds(), "when the slot is free again")
	require.LessOrEqual(t, seconds, coldstart.Window.Seconds())
}
