package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countAnswers simulates a watch with a change every interval and returns the number of answers
// read until the end.
func countAnswers(pace pace, interval, total time.Duration) int {
	p := pacer{pace: pace}
	start := time.Unix(1000, 0)
	read := 0
	for at := time.Duration(0); at < total; {
		read++
		ready := at + p.next(start.Add(at))
		// the next answer arrives with the first change that was not read yet
		at = max((at/interval+1)*interval, ready)
	}
	return read
}

func TestPacerBatchesBurstOfChanges(t *testing.T) {
	const interval, storm = 80 * time.Millisecond, 6 * time.Second
	require.Equal(t, 75, countAnswers(promptPace, interval, storm), "without a pause each change is an answer")
	require.LessOrEqual(t, countAnswers(instancePace, interval, storm), 11)
	require.LessOrEqual(t, countAnswers(memberPace, interval, storm), 25)
}

func TestPacerFollowsSingleChangeAtOnce(t *testing.T) {
	p := pacer{pace: instancePace}
	start := time.Unix(1000, 0)
	require.Equal(t, instancePace.initial, p.next(start))
	require.Equal(t, 2*instancePace.initial, p.next(start.Add(30*time.Millisecond)))
	for range 10 {
		require.LessOrEqual(t, p.next(start.Add(30*time.Millisecond)), instancePace.startupLimit)
	}
	const old = startupPeriod + 10*time.Second
	require.Equal(t, instancePace.initial, p.next(start.Add(old)), "the burst has ended")
	for range 10 {
		require.LessOrEqual(t, p.next(start.Add(old+time.Second)), instancePace.limit)
	}
}
