package peer

import (
	"encoding/gob"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// message has the size of a replica's reply.
type message struct {
	Number uint64
	_      [120]byte
}

// pipe returns a sender and a decoder for the other end of its connection.
func pipe(t *testing.T) (*sender[message], *gob.Decoder) {
	near, far := net.Pipe()
	s := newSender[message](near, nil, nil)
	t.Cleanup(func() { s.close(); _ = far.Close() })
	return s, gob.NewDecoder(far)
}

func TestSenderPreservesOrder(t *testing.T) {
	s, decoder := pipe(t)
	const count = 3 * maxSpareMessages
	for number := range uint64(count) {
		require.True(t, s.send(message{Number: number}))
	}
	for number := range uint64(count) {
		var got message
		require.NoError(t, decoder.Decode(&got))
		require.Equal(t, number, got.Number)
	}
}

func TestSenderReportsMessageSizes(t *testing.T) {
	near, far := net.Pipe()
	sizes := make(chan int, 2)
	s := newSender(near, nil, func(_ net.Addr, _ message, bytes int) { sizes <- bytes })
	t.Cleanup(func() { s.close(); _ = far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	require.True(t, s.send(message{Number: 1}))
	first := <-sizes
	require.True(t, s.send(message{Number: 1}))
	require.Less(t, <-sizes, first, "the first message carries the type's description")
}

func TestSenderQueueIsBounded(t *testing.T) {
	s, _ := pipe(t)
	accepted := 0
	for s.send(message{}) {
		accepted++
		require.Less(t, accepted, 3*maxQueuedMessages)
	}
	require.GreaterOrEqual(t, accepted, maxQueuedMessages)
	s.close()
	require.False(t, s.send(message{}))
}

func (m message) Bytes() int { return 1000 }

// Connections whose peers read nothing must not hold more bytes in total than their shared budget,
// however many they are. Closing them must release all of it.
func TestStalledConnectionsShareBudget(t *testing.T) {
	const connections, limit = 20, 50_000
	budget := NewBudget(limit)
	var senders []*sender[message]
	for range connections {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		senders = append(senders, newSender[message](near, budget, nil))
	}
	sent := 0
	for _, s := range senders {
		for sent < 3*limit && s.send(message{}) {
			sent++
			require.LessOrEqual(t, budget.Used(), limit)
		}
	}
	require.GreaterOrEqual(t, sent, limit/1000)
	require.Less(t, sent, 3*limit/1000, "messages being written and queued messages")
	for _, s := range senders {
		s.close()
	}
	require.Eventually(t, func() bool { return budget.Used() == 0 }, 20*time.Second, time.Millisecond)
}

// A message that is encoded but not yet written is still in memory and must still count against
// the budget.
func TestSenderHoldsBudgetUntilWritten(t *testing.T) {
	const messages = 10
	near, far := net.Pipe()
	budget := NewBudget(2 * messages * message{}.Bytes())
	encoded := make(chan struct{}, messages)
	s := newSender(near, budget, func(net.Addr, message, int) { encoded <- struct{}{} })
	t.Cleanup(func() { s.close(); _ = far.Close() })
	for range messages {
		require.True(t, s.send(message{}))
	}
	<-encoded
	require.Equal(t, messages*message{}.Bytes(), budget.Used())
	go func() { _, _ = io.Copy(io.Discard, far) }()
	require.Eventually(t, func() bool { return budget.Used() == 0 }, 20*time.Second, time.Millisecond)
}

func TestBudgetAcquireBlocksUntilRelease(t *testing.T) {
	budget := NewBudget(100)
	require.True(t, budget.Acquire(1000), "a message larger than the whole budget is admitted alone")
	require.False(t, budget.TryAcquire(1))
	acquired := make(chan bool)
	go func() { acquired <- budget.Acquire(60) }()
	budget.Release(1000)
	require.True(t, <-acquired)
	require.False(t, budget.TryAcquire(60))
	go func() { acquired <- budget.Acquire(60) }()
	budget.Close()
	require.False(t, <-acquired)
}

// A replica has a connection from every gateway, and most of them are idle.
func TestIdleConnectionHoldsLittleMemory(t *testing.T) {
	const connections, limitKB = 50, 40
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the second run frees what earlier tests left in pools
	runtime.ReadMemStats(&before)
	var senders []*sender[message]
	for range connections {
		s, _ := pipe(t)
		senders = append(senders, s)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, (int64(after.HeapAlloc)-int64(before.HeapAlloc))/connections/1024, int64(limitKB))
	runtime.KeepAlive(senders)
}
