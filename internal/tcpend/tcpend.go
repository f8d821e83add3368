// Package tcpend tells the orderly end of a TCP connection from its abort: a reset by the peer, or a lost path.
//
// Linux reports the error of an aborted connection to one call only, be it a read, a write or a look at the connection. All
// others see the end of the stream, as after an orderly end. An answer that ends with its connection would be taken
// for a whole one if a concurrent write or look was told of the reset. So whoever reads the end asks the kernel for
// the state of the connection: after an orderly end by the peer it is not closed.
package tcpend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE of linux/tcp_states.h.
const stateClosed = 7

// ReadError returns the error of a read: that of a reset in place of io.EOF if the connection was aborted.
func ReadError(connection net.Conn, err error) error {
	if !errors.Is(err, io.EOF) || !isAborted(connection) {
		return err
	}
	return &net.OpError{
		Op: "read", Net: "tcp", Source: connection.LocalAddr(), Addr: connection.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
	}
}

// isAborted reports whether a connection that is open here was aborted. A connection whose state cannot be read counts
// as aborted, because nothing shows that the peer ended it. One that is no TCP connection never does.
func isAborted(connection net.Conn) bool {
	socket, isSocket := connection.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	aborted := true
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		aborted = infoErr != nil || info.State == stateClosed
	})
	return err != nil || aborted
}

// conn is a connection whose end is never an abort.
type conn struct{ net.Conn }

// Read implements net.Conn.
func (c conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	return count, ReadError(c.Conn, err)
}

// DialContext returns a function for http.Transport that opens connections on which a response is never ended by an abort.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn{opened}, nil
	}
}
