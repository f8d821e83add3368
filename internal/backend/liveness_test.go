package backend

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mute returns the address of a machine that lets opening packets go unanswered: a
// listener whose queue of new connections is full.
func mute(t *testing.T) string {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	require.NoError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	require.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	const more = 16
	for range more {
		filling, err := net.DialTimeout("tcp", address, checkPause)
		if err != nil {
			require.True(t, isTimeout(err))
			return address
		}
		t.Cleanup(func() { _ = filling.Close() })
	}
	t.Fatal("the queue does not fill")
	return ""
}

func TestAnInstanceWhoseMachineDoesNotAnswerIsGone(t *testing.T) {
	const idleTimeout = time.Minute
	pool := NewPool(func() {})
	gone := Instance{ID: "gone", Service: "llm", Address: mute(t)}
	require.True(t, pool.IsDown(context.Background(), gone, idleTimeout))
	require.True(t, pool.IsDown(context.Background(), gone, idleTimeout), "the same for the next request")
	pool.RecordActivity(time.Now(), "gone")
	require.False(t, pool.IsDown(context.Background(), gone, idleTimeout), "another request has heard of it")
}

func TestASilentInstanceWhoseMachineAnswersIsThere(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pool := NewPool(func() {})
	there := Instance{ID: "there", Service: "llm", Address: listener.Addr().String()}
	require.False(t, pool.IsDown(context.Background(), there, time.Millisecond))
	require.True(t, pool.isIdle("there"), "the connection serves the next request")
	require.NoError(t, listener.Close())
	pool.Forget("there")
	require.False(t, pool.IsDown(context.Background(), there, time.Millisecond), "a refusal is an answer of the machine")
}
