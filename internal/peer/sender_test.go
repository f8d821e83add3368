package peer

import (
	"encoding/gob"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// message is of the size of a replica's reply.
type message struct {
	Number uint64
	_      [120]byte
}

// pipe returns a sender and the decoder at its other end.
func pipe(t *testing.T) (*sender[message], *gob.Decoder) {
	near, far := net.Pipe()
	s := newSender[message](near, nil)
	t.Cleanup(func() { s.close(); _ = far.Close() })
	return s, gob.NewDecoder(far)
}

func TestMessagesArriveInOrder(t *testing.T) {
	s, decoder := pipe(t)
	const count = 3 * keptMessages
	for number := range uint64(count) {
		require.True(t, s.send(message{Number: number}))
	}
	for number := range uint64(count) {
		var got message
		require.NoError(t, decoder.Decode(&got))
		require.Equal(t, number, got.Number)
	}
}

func TestTheSizeOfEachMessageIsTold(t *testing.T) {
	near, far := net.Pipe()
	sizes := make(chan int, 2)
	s := newSender(near, func(_ net.Addr, _ message, bytes int) { sizes <- bytes })
	t.Cleanup(func() { s.close(); _ = far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	require.True(t, s.send(message{Number: 1}))
	first := <-sizes
	require.True(t, s.send(message{Number: 1}))
	require.Less(t, <-sizes, first, "the first message carries the type's description")
}

func TestAPeerThatReadsNothingBoundsTheQueue(t *testing.T) {
	s, _ := pipe(t)
	accepted := 0
	for s.send(message{}) {
		accepted++
		require.Less(t, accepted, 3*queueMessages)
	}
	require.GreaterOrEqual(t, accepted, queueMessages)
	s.close()
	require.False(t, s.send(message{}))
}

// A replica has a connection from every gateway, and most of them rest.
func TestARestingConnectionHoldsLittleMemory(t *testing.T) {
	const connections, limitKB = 50, 40
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var senders []*sender[message]
	for range connections {
		s, _ := pipe(t)
		senders = append(senders, s)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, (after.HeapAlloc-before.HeapAlloc)/connections/1024, uint64(limitKB))
	runtime.KeepAlive(senders)
}
