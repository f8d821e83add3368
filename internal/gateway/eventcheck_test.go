package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

func TestIDsOfEventsRise(t *testing.T) {
	for _, test := range []struct {
		before, id string
		want       bool
	}{{"", "0", true}, {"", "a", true}, {"", "", false}, {"1", "2", true}, {"9", "10", true}, {"2", "2", false}, {"2", "1", false}, {"2", "", false}, {"a", "b", true}, {"a", "a", false}, {"1", "b", true}} {
		require.Equal(t, test.want, rises(test.before, test.id), "%q after %q", test.id, test.before)
	}
}

// Events without end would spend more than the budget of their program.
func TestStreamEndsWithItsTokens(t *testing.T) {
	s := &turn{request: &request{route: &route.Route{Kind: route.Streaming}, service: route.Service{TokensPerEvent: 10}, header: http.Header{}}}
	s.maxTokens = 45
	passed := 0
	for s.refuseEvent(event{data: []byte("x")}) == nil {
		s.events++
		passed++
	}
	require.Equal(t, 5+spareEvents, passed)
	require.Equal(t, verdict.Ran, s.refuseEvent(event{}).Verdict)
	s.maxTokens = 0
	require.Nil(t, s.refuseEvent(event{data: []byte("x")}), "the request names no most")
}

// What is no event of the stream must not be joined with the rest that another instance sends.
func TestEventThatDoesNotFollowIsNotPassedOn(t *testing.T) {
	for _, streamed := range []*route.Route{{Kind: route.Streaming, Resumable: true}, {Kind: route.Streaming, Retained: true}} {
		s := &turn{request: &request{route: streamed, header: http.Header{}}, lastEvent: "3"}
		require.Nil(t, s.refuseEvent(event{id: "4", data: []byte("x")}))
		require.Nil(t, s.refuseEvent(event{raw: []byte(": comment")}))
		for _, id := range []string{"", "3", "1"} {
			failure := s.refuseEvent(event{id: id, data: []byte("x")})
			require.Equal(t, verdict.MayHaveRun, failure.Verdict)
			require.True(t, failure.AnswerInvalid)
		}
	}
}
