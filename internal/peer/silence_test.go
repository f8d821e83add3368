package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilenceDetectorMeasuresFromOldestRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	var silence SilenceDetector
	require.False(t, silence.TimedOut(now.Add(time.Hour)), "no request is outstanding")
	silence.RequestSent(now)
	silence.RequestSent(now.Add(AnswerTimeout - time.Millisecond))
	require.False(t, silence.TimedOut(now.Add(AnswerTimeout-time.Millisecond)))
	require.True(t, silence.TimedOut(now.Add(AnswerTimeout)))
	require.True(t, silence.Exceeds(time.Second, now.Add(AnswerTimeout)))
	silence.Reset()
	require.False(t, silence.TimedOut(now.Add(time.Hour)))
}
