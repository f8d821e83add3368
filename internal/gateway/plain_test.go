package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// chunkRecorder records the size of each write, and fails once limit bytes were written.
type chunkRecorder struct {
	*httptest.ResponseRecorder
	sizes []int
	limit int
}

func (p *chunkRecorder) Write(chunk []byte) (int, error) {
	if p.Body.Len() >= p.limit {
		return 0, os.ErrDeadlineExceeded
	}
	p.sizes = append(p.sizes, len(chunk))
	return p.ResponseRecorder.Write(chunk)
}

// Each chunk has its own write deadline, so a caller that reads steadily receives an answer of any
// size.
func TestLargeAnswerIsWrittenInChunks(t *testing.T) {
	s, body := newTestGateway(t), bytes.Repeat([]byte("x"), 3*writeChunkBytes+1)
	caller := &chunkRecorder{ResponseRecorder: httptest.NewRecorder(), limit: len(body)}
	s.writeInChunks(caller, &request{id: "r"}, [][]byte{body})
	require.Equal(t, []int{writeChunkBytes, writeChunkBytes, writeChunkBytes, 1}, caller.sizes)
	require.Equal(t, body, caller.Body.Bytes())
}

func TestLogsCallerThatStopsReading(t *testing.T) {
	s, r := newTestGateway(t), &request{id: "r", header: http.Header{}}
	caller := &chunkRecorder{ResponseRecorder: httptest.NewRecorder(), limit: writeChunkBytes}
	s.writeInChunks(caller, r, [][]byte{bytes.Repeat([]byte("x"), 3*writeChunkBytes)})
	require.Len(t, caller.sizes, 1)
	require.Contains(t, r.outcome.reason, "the caller read nothing for")
}
