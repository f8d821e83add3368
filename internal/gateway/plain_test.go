package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// pieces records what is written at once, and fails after so many bytes.
type pieces struct {
	*httptest.ResponseRecorder
	sizes []int
	most  int
}

func (p *pieces) Write(piece []byte) (int, error) {
	if p.Body.Len() >= p.most {
		return 0, os.ErrDeadlineExceeded
	}
	p.sizes = append(p.sizes, len(piece))
	return p.ResponseRecorder.Write(piece)
}

// A caller that reads steadily has the time for a write for each piece, however large the answer.
func TestALargeAnswerIsWrittenInPieces(t *testing.T) {
	s, body := gatewayOf(t), bytes.Repeat([]byte("x"), 3*writePiece+1)
	caller := &pieces{ResponseRecorder: httptest.NewRecorder(), most: len(body)}
	s.writeWhole(caller, &request{id: "r"}, body)
	require.Equal(t, []int{writePiece, writePiece, writePiece, 1}, caller.sizes)
	require.Equal(t, body, caller.Body.Bytes())
}

func TestACallerThatStopsReadingIsToldOfInTheLog(t *testing.T) {
	s, r := gatewayOf(t), &request{id: "r", header: http.Header{}}
	caller := &pieces{ResponseRecorder: httptest.NewRecorder(), most: writePiece}
	s.writeWhole(caller, r, bytes.Repeat([]byte("x"), 3*writePiece))
	require.Len(t, caller.sizes, 1)
	require.Contains(t, r.outcome.reason, "the caller read nothing for")
}
