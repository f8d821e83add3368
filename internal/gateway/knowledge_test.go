package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/feed"
)

// A starting gateway may receive an outdated copy shortly before the store reports the current
// state.
func TestUnconfirmedCopyIsNotUsedBeforeTimeout(t *testing.T) {
	serves := func(s *Server) bool { return sendCall(s, "500").Code != http.StatusServiceUnavailable }
	newStartedGateway := func(status feed.Status) *Server {
		s := newTestGateway(t)
		addInstance(t, s, func(http.ResponseWriter, *http.Request) {})
		s.FeedStatusChanged(status)
		return s
	}
	s := newStartedGateway(feed.Status{})
	require.False(t, serves(s))
	require.False(t, s.Ready())
	s.FeedStatusChanged(feed.Status{Confirmed: true})
	require.True(t, serves(s))

	s = newStartedGateway(feed.Status{})
	s.instancesKnownAt.Add(-int64(confirmationTimeout))
	require.True(t, serves(s), "the store may be unavailable for a long time")
	require.True(t, serves(newStartedGateway(feed.Status{Lost: true})))
}
