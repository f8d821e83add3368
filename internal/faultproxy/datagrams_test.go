package faultproxy

import (
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/loopback"
)

// datagramPath is a sender, a proxy and a receiver.
type datagramPath struct {
	t        *testing.T
	proxy    *Datagrams
	sender   net.Conn
	receiver net.PacketConn
}

func newDatagramPath(t *testing.T) *datagramPath {
	receiver, err := net.ListenPacket("udp", loopback.Host(1)+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = receiver.Close() })
	const address = ":29999"
	proxy, err := NewDatagrams(loopback.Host(2)+address, receiver.LocalAddr().String(), 1)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	sender, err := net.Dial("udp", loopback.Host(2)+address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	return &datagramPath{t: t, proxy: proxy, sender: sender, receiver: receiver}
}

// send sends numbered datagrams and returns those that arrive, in their order.
func (p *datagramPath) send(count int) []int {
	for number := range count {
		_, err := p.sender.Write([]byte(strconv.Itoa(number)))
		require.NoError(p.t, err)
		<-time.After(100 * time.Microsecond)
	}
	var received []int
	buffer := make([]byte, 16)
	for {
		require.NoError(p.t, p.receiver.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		size, _, err := p.receiver.ReadFrom(buffer)
		if err != nil {
			return received
		}
		number, err := strconv.Atoi(string(buffer[:size]))
		require.NoError(p.t, err)
		received = append(received, number)
	}
}

func TestDatagramsAreForwardedInOrder(t *testing.T) {
	require.Equal(t, []int{0, 1, 2, 3, 4}, newDatagramPath(t).send(5))
}

func TestShareOfDatagramsIsLost(t *testing.T) {
	path := newDatagramPath(t)
	path.proxy.Set(DatagramCondition{Loss: 0.5})
	received := path.send(100)
	require.Greater(t, len(received), 20)
	require.Less(t, len(received), 80)
	path.proxy.Set(Lost)
	require.Empty(t, path.send(5))
	require.Equal(t, 100-len(received)+5, path.proxy.Dropped())
}

func TestDatagramsOvertakeEachOtherAndArriveTwice(t *testing.T) {
	path := newDatagramPath(t)
	path.proxy.Set(DatagramCondition{Duplicates: 1, Delay: 5 * time.Millisecond, Jitter: 50 * time.Millisecond})
	received := path.send(20)
	require.Len(t, received, 40)
	require.False(t, slices.IsSorted(received))
}
