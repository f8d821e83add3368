package backend

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// maxRequestsPerConnection bounds the ids that a connection records.
	maxRequestsPerConnection = 1024
)

// connection is a connection to an instance. It carries one request at a time, and each request id once: an instance
// may send unsolicited copies of its answers at any later time, and only the id tells them apart from the answer that is
// due.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused is set from the second request on.
	reused bool
	// idleUntil is when the instance may close the connection.
	idleUntil time.Time
	// carried holds the hashes of the ids that were sent.
	carried map[uint64]struct{}
}

func newConnection(opened net.Conn) *connection {
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), carried: map[uint64]struct{}{}}
}

// hashOf returns the hash under which connections record a request id. Equal hashes of two ids cost a connection.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// hasCarried reports whether a request whose id has the hash was sent on the connection.
func (c *connection) hasCarried(idHash uint64) bool {
	_, carried := c.carried[idHash]
	return carried
}

// recordSend records that a request whose id has the hash is sent.
func (c *connection) recordSend(idHash uint64) { c.carried[idHash] = struct{}{} }

// isUsedUp reports whether the connection may carry no further request.
func (c *connection) isUsedUp() bool { return len(c.carried) >= maxRequestsPerConnection }

// isReusable reports whether an idle connection is open and has no data to read. Unsolicited data
// belongs to no request.
func isReusable(connection net.Conn) bool {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
