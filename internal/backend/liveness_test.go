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

// unansweringAddress returns the address of a machine that does not answer SYN packets: a listener
// whose accept queue is full.
func unansweringAddress(t *testing.T) string {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	require.NoError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	require.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	const maxDials = 16
	for range maxDials {
		filling, err := net.DialTimeout("tcp", address, probeInterval)
		if err != nil {
			require.True(t, isTimeout(err))
			return address
		}
		t.Cleanup(func() { _ = filling.Close() })
	}
	t.Fatal("the queue does not fill")
	return ""
}

func TestInstanceOnUnresponsiveMachineIsDown(t *testing.T) {
	const idleTimeout = time.Minute
	pool := NewPool(func() {})
	down := Instance{ID: "gone", Service: "llm", Address: unansweringAddress(t)}
	require.True(t, pool.IsDown(context.Background(), down, idleTimeout))
	require.True(t, pool.IsDown(context.Background(), down, idleTimeout), "the result applies to the next request")
	pool.RecordActivity(time.Now(), "gone")
	require.False(t, pool.IsDown(context.Background(), down, idleTimeout), "another request received data from the instance")
}

func TestSilentInstanceOnResponsiveMachineIsNotDown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pool := NewPool(func() {})
	silent := Instance{ID: "there", Service: "llm", Address: listener.Addr().String()}
	require.False(t, pool.IsDown(context.Background(), silent, time.Millisecond))
	require.True(t, pool.isIdle("there", "a"), "the connection is kept for the next request")
	require.NoError(t, listener.Close())
	pool.Forget("there")
	require.False(t, pool.IsDown(context.Background(), silent, time.Millisecond), "a refusal is a response of the machine")
}
