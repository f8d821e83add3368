package server

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/endlessanswer"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// A back end whose bytes never end must not fill the memory, hold the call or pass for a whole answer.
func TestAnswerWithoutEndMayHaveRun(t *testing.T) {
	forms := append(slices.Concat(endlessanswer.Heads(), endlessanswer.Bodies()), endlessanswer.EngineEvents())
	for _, form := range forms {
		for _, kind := range []shard.CallKind{shard.ApplicationCall, shard.EngineCall} {
			t.Run(form.Name+" "+kind.String(), func(t *testing.T) {
				server, err := endlessanswer.NewServer(form, func(r *http.Request) string {
					return headerRequestID + ": " + r.Header.Get(headerRequestID) + "\r\n"
				})
				require.NoError(t, err)
				t.Cleanup(server.Close)
				client := newBackEndClient(&Server{streams: newStreamTable("n", nil, nil)})
				defer client.close()
				id := shard.CallID{Key: shard.SessionKey{Tenant: "t", Session: "s"}, Sequence: 1}
				began := time.Now()
				outcome := client.run(t.Context(), core.StartAttempt{
					Attempt: shard.AttemptID{Call: id, Attempt: 1}, StreamAttempt: 1, BackEnd: schedule.BackEnd{Name: "a", Address: "http://" + server.Address()},
					Timeout: time.Now().Add(time.Minute), Request: shard.Request{ID: id, Kind: kind, Path: "/x", Body: []byte("[]"), IdempotencyKey: "k"},
				}).Outcome
				require.NotEqual(t, verdict.NotRun, outcome.Verdict)
				require.False(t, outcome.Verdict == verdict.Ran && outcome.Code == "", "it passes for a whole answer")
				require.Less(t, time.Since(began), 45*time.Second, "its bytes end it, not its deadline")
				select {
				case sent := <-server.Sent:
					most := int64(maxAnswerBytes)
					if kind == shard.EngineCall {
						most = maxStreamBytes
					}
					require.LessOrEqual(t, sent, most+32<<20)
				case <-time.After(45 * time.Second):
					require.Fail(t, "the connection is not closed")
				}
			})
		}
	}
}
