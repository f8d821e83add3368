package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilenceLastsFromTheOldestUnansweredRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	var silence Silence
	require.False(t, silence.IsDead(now.Add(time.Hour)), "nothing is awaited")
	silence.Await(now)
	silence.Await(now.Add(AnswerTimeout - time.Millisecond))
	require.False(t, silence.IsDead(now.Add(AnswerTimeout-time.Millisecond)))
	require.True(t, silence.IsDead(now.Add(AnswerTimeout)))
	require.True(t, silence.LastsLongerThan(time.Second, now.Add(AnswerTimeout)))
	silence.End()
	require.False(t, silence.IsDead(now.Add(time.Hour)))
}
