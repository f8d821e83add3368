package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answers plays a watch during which something changes each interval and returns how
// many answers are read until the end.
func answers(pace pace, interval, total time.Duration) int {
	p := pacer{pace: pace}
	start := time.Unix(1000, 0)
	read := 0
	for at := time.Duration(0); at < total; {
		read++
		ready := at + p.next(start.Add(at))
		// the next answer comes with the first change that was not read yet
		at = max((at/interval+1)*interval, ready)
	}
	return read
}

func TestAStormOfChangesTakesFewAnswers(t *testing.T) {
	const interval, storm = 80 * time.Millisecond, 6 * time.Second
	require.Equal(t, 75, answers(promptPace, interval, storm), "without a pause each change is an answer")
	require.LessOrEqual(t, answers(instancePace, interval, storm), 11)
	require.LessOrEqual(t, answers(memberPace, interval, storm), 25)
}

func TestALoneChangeIsFollowedAtOnce(t *testing.T) {
	p := pacer{pace: instancePace}
	start := time.Unix(1000, 0)
	require.Equal(t, instancePace.first, p.next(start))
	require.Equal(t, 2*instancePace.first, p.next(start.Add(30*time.Millisecond)))
	for range 10 {
		require.LessOrEqual(t, p.next(start.Add(30*time.Millisecond)), instancePace.young)
	}
	const old = youth + 10*time.Second
	require.Equal(t, instancePace.first, p.next(start.Add(old)), "the storm is over")
	for range 10 {
		require.LessOrEqual(t, p.next(start.Add(old+time.Second)), instancePace.most)
	}
}
