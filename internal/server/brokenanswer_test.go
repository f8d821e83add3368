package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/rawanswer"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// callRaw calls a back end that sends the given bytes as its answer.
func callRaw(t *testing.T, answer string, end rawanswer.End, body string) shard.Outcome {
	server, err := rawanswer.NewServer(answer, headerRequestID, end)
	require.NoError(t, err)
	defer server.Close()
	client := newBackEndClient(&Server{streams: newStreamTable("n", nil, nil)})
	defer client.close()
	id := shard.CallID{Key: shard.SessionKey{Tenant: "t", Session: "s"}, Sequence: 1}
	return client.run(t.Context(), core.StartAttempt{
		Attempt: shard.AttemptID{Call: id, Attempt: 1}, StreamAttempt: 1, BackEnd: schedule.BackEnd{Name: "a", Address: "http://" + server.Address()},
		Timeout: time.Now().Add(time.Minute), Request: shard.Request{ID: id, Kind: shard.ApplicationCall, Path: "/x", Body: []byte(body), IdempotencyKey: "k"},
	}).Outcome
}

// The part of an answer that arrived before a reset is no whole answer, although the write of the call may be told of the reset.
func TestAnswerThatIsResetDuringAnUploadMayHaveRun(t *testing.T) {
	const tries = 300 // the reset is told to the write in some of them
	upload := strings.Repeat("x", 3<<20)
	for range tries {
		outcome := callRaw(t, "HTTP/1.1 200 OK\r\n"+headerRequestID+": {id}\r\n\r\nfirst half", rawanswer.Reset, upload)
		require.Equal(t, verdict.MayHaveRun, outcome.Verdict, "%s", outcome.Body)
	}
}

// Bytes that are no answer in the protocol say nothing about the call, whatever follows them.
func TestInvalidAnswerMayHaveRun(t *testing.T) {
	for name, answer := range rawanswer.Invalid(headerRequestID + ": {id}\r\n") {
		t.Run(name, func(t *testing.T) {
			outcome := callRaw(t, answer, rawanswer.Close, "[]")
			require.Equal(t, verdict.MayHaveRun, outcome.Verdict, "%s", outcome.Body)
		})
	}
}
