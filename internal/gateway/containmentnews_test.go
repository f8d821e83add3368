package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

// A gateway that nobody tells of ends stops a request after the first one, and goes on serving others.
func TestUninformedGatewayStopsARequestAfterItsFirstEnd(t *testing.T) {
	g := newContainedGateway(t)
	sent := g.listAnswering("i-1")
	g.containment.uninformed.Store(true)
	require.Equal(t, http.StatusOK, g.call("other").Code)
	key := g.keyOfCall("x")
	g.containment.merge(time.Now(), key, quarantine.Run{ID: "a#1", Instance: "i-9", Outcome: quarantine.Ended})
	require.Equal(t, http.StatusServiceUnavailable, g.call("x").Code)
	require.Equal(t, http.StatusOK, g.call("another").Code)
	g.containment.uninformed.Store(false)
	require.Equal(t, http.StatusOK, g.call("x").Code)
	require.EqualValues(t, 3, sent.Load())
}
