package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// signalled reports whether a place may try now.
func signalled(p *place) bool {
	select {
	case <-p.free:
		return true
	default:
		return false
	}
}

func TestWhoeverCameFirstIsTriedFirst(t *testing.T) {
	l := newLines()
	require.True(t, l.empty("apps"))
	first, second, third := l.join("apps"), l.join("apps"), l.join("apps")
	require.False(t, l.empty("apps"))
	require.True(t, l.empty("llm"), "each service has a line of its own")
	l.freed("apps")
	require.True(t, signalled(first))
	require.False(t, signalled(second))
	l.leave(second)
	require.False(t, signalled(third), "the first one is still there")
	l.leave(first)
	require.True(t, signalled(third), "the next one may try at once")
	l.leave(third)
	require.True(t, l.empty("apps"))
	l.freed("apps")
}

func TestARequestThatNobodyTakesLetsOthersPass(t *testing.T) {
	l := newLines()
	large, small := l.join("llm"), l.join("llm")
	for range mostFailures - 1 {
		l.failed(large)
		require.True(t, l.isFirst(large))
	}
	l.failed(large)
	require.True(t, l.isFirst(small))
	require.True(t, signalled(small))
	for range 3 * mostFailures {
		l.failed(large)
	}
	require.True(t, l.isFirst(small), "only tries of the first one count")
	l.leave(small)
	require.True(t, signalled(large))
}

func TestWaitingEndsWhenItIsTimeToGiveUp(t *testing.T) {
	l := newLines()
	l.join("apps")
	second := l.join("apps")
	require.False(t, l.await(context.Background(), second, time.Nanosecond, time.Now().Add(time.Millisecond)))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, l.await(ended, second, time.Nanosecond, time.Now().Add(time.Hour)))
	require.True(t, l.await(context.Background(), l.byService["apps"][0], time.Nanosecond, time.Now().Add(time.Hour)), "the first one tries again after a pause")
}
