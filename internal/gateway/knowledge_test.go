package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/feed"
)

// A gateway that starts hears of an old copy first, a moment before the store tells what is in force.
func TestAnOldCopyIsNotServedByWhileTheStoreMayAnswer(t *testing.T) {
	served := func(s *Server) bool { return ask(s, "500").Code != http.StatusServiceUnavailable }
	started := func(status feed.Status) *Server {
		s := gatewayOf(t)
		oneInstance(t, s, func(http.ResponseWriter, *http.Request) {})
		s.FeedStatusChanged(status)
		return s
	}
	s := started(feed.Status{})
	require.False(t, served(s))
	require.False(t, s.Ready())
	s.FeedStatusChanged(feed.Status{Confirmed: true})
	require.True(t, served(s))

	s = started(feed.Status{})
	s.instancesKnownAt.Add(-int64(confirmationTimeout))
	require.True(t, served(s), "the store may be away for long")
	require.True(t, served(started(feed.Status{Lost: true})))
}
