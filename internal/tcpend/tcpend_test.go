package tcpend

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/rawanswer"
)

const answer = "HTTP/1.1 200 OK\r\n\r\npart"

// newServer returns the address of a server that answers without a length and ends the connection.
func newServer(t *testing.T, end rawanswer.End) (address string) {
	server, err := rawanswer.NewServer(answer, "Id", end)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

// The write of a request's body is told of a reset before the body of the answer is read to its end.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	address := newServer(t, rawanswer.Reset)
	client := &http.Client{Transport: &http.Transport{DialContext: DialContext(&net.Dialer{})}}
	upload := bytes.Repeat([]byte("x"), 3<<20)
	for range 60 {
		response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(upload))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		require.Error(t, err)
		_ = response.Body.Close()
	}
}

func TestAnswerEndedByItsPeerIsWhole(t *testing.T) {
	address := newServer(t, rawanswer.Close)
	client := &http.Client{Transport: &http.Transport{DialContext: DialContext(&net.Dialer{})}}
	response, err := client.Get("http://" + address)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "part", string(body))
}

// dialEnded returns a connection that its peer has ended, and whose error another call was told if there is one.
func dialEnded(t *testing.T, end rawanswer.End) net.Conn {
	opened, err := net.Dial("tcp", newServer(t, end))
	require.NoError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	_, err = io.WriteString(opened, "GET / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadFull(opened, make([]byte, len(answer)))
	require.NoError(t, err)
	raw, err := opened.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var peekErr error
		require.NoError(t, raw.Control(func(descriptor uintptr) {
			_, _, peekErr = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return peekErr != syscall.EAGAIN
	}, 5*time.Second, time.Millisecond)
	return opened
}

// A look at the connection is told of the reset; the read after it sees the end of the stream.
func TestResetThatALookWasToldOfEndsNoStream(t *testing.T) {
	opened := dialEnded(t, rawanswer.Reset)
	_, err := opened.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the kernel reports the reset once")
	require.ErrorIs(t, ReadError(opened, err), syscall.ECONNRESET)
}

func TestOrderlyEndIsNoReset(t *testing.T) {
	opened := dialEnded(t, rawanswer.Close)
	_, err := opened.Read(make([]byte, 1))
	require.Equal(t, io.EOF, ReadError(opened, err))
	other := errors.New("other")
	require.Equal(t, other, ReadError(opened, other))
	require.NoError(t, ReadError(opened, nil))
	first, second := net.Pipe()
	require.NoError(t, first.Close())
	require.Equal(t, io.EOF, ReadError(second, io.EOF), "a connection in memory is never aborted")
}
