package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/rawanswer"
)

// listRaw lists an instance that sends the given bytes as its answer.
func (g *containedGateway) listRaw(answer string, end rawanswer.End) {
	server, err := rawanswer.NewServer(answer, g.dialect.RequestID, end)
	require.NoError(g.t, err)
	g.t.Cleanup(server.Close)
	g.instances = []backend.Instance{{ID: "i-raw", Service: "apps", Address: server.Address(), Zone: "z", Slots: 8}}
	g.publish()
}

// An instance answers a long upload at once without a length, and resets the connection: the caller must not get the part
// that has arrived as a whole answer, although the write of the upload may be the one that is told of the reset.
func TestAnswerThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Test-Id: {id}\r\nX-Test-Signature: s\r\n"
	answers := map[string]string{
		"safe":   head + "\r\nfirst half",
		"unsafe": head + "\r\nfirst half",
		"stream": head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n",
	}
	upload := strings.Repeat("x", 3<<20)
	for kind, answer := range answers {
		t.Run(kind, func(t *testing.T) {
			const tries = 10 // the reset is told to the write in nearly all of them
			for range tries {
				g := newEndlessGateway(t)
				g.listRaw(answer, rawanswer.Reset)
				got, aborted := g.callRoute(kind, upload)
				require.True(t, aborted || got.Code == http.StatusBadGateway, "status %d with body %q", got.Code, got.Body.String())
			}
		})
	}
}

// Bytes that are no answer in the protocol are none for the caller either, whatever follows them.
func TestInvalidAnswerIsNoAnswer(t *testing.T) {
	const fields = "X-Test-Id: {id}\r\nX-Test-Signature: s\r\n"
	answers := rawanswer.Invalid(fields)
	answers["stream of events"] = "HTTP/1.1 200 OK\r\n" + fields + "X Field: a\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n"
	answers["refusal"] = "HTTP/1.1 503 Service Unavailable\r\nX-Test-Not-Executed: 1\r\n" + fields + "X Field: a\r\nContent-Length: 0\r\n\r\n"
	answers["answer to another request"] = "HTTP/1.1 200 OK\r\nX-Test-Id: other\r\nX Field: a\r\nContent-Length: 0\r\n\r\n" +
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother"
	for name, answer := range answers {
		for _, kind := range []string{"safe", "unsafe", "stream"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				g := newEndlessGateway(t)
				g.listRaw(answer, rawanswer.Close)
				got, aborted := g.callRoute(kind, "x")
				require.False(t, aborted)
				require.Equal(t, http.StatusBadGateway, got.Code, "%s", got.Body.String())
				require.Empty(t, got.Header().Get("X-Test-Signature"))
				require.Equal(t, 1, g.suspects()[0].Standing.Possible, "the instance is in trouble")
			})
		}
	}
}
