package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/tcpend"
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
	// headLimit bounds what the reader takes while a head is read.
	headLimit *headLimit
	// reused is set from the second request on.
	reused bool
	// idleUntil is when the instance may close the connection.
	idleUntil time.Time
	// carried holds the hashes of the ids that were sent.
	carried map[uint64]struct{}
	// life is the life of the instance that accepted the connection, acceptedAt when that was. The connection is
	// provisional as long as it may belong to the next life; the life guards both.
	life        *Life
	acceptedAt  time.Time
	provisional bool
	// limit counts the connection as open until it is closed; nil counts nothing.
	limit  *connectionLimit
	closed atomic.Bool
	// lost is set once the path to the instance was lost: the kernel tells that only once.
	lost atomic.Bool
}

func newConnection(opened net.Conn, limit *connectionLimit) *connection {
	c := &connection{Conn: opened, limit: limit, carried: map[uint64]struct{}{}}
	c.headLimit = &headLimit{source: c}
	c.reader = bufio.NewReaderSize(c.headLimit, readBuffer)
	return c
}

// Read implements net.Conn. It returns io.EOF only if the instance has ended the connection in order: another call on the
// connection may be the one that is told of a reset.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.recordError(err)
	return count, tcpend.ReadError(c.Conn, err)
}

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.recordError(err)
	return count, err
}

// recordError keeps in mind what only this call was told.
func (c *connection) recordError(err error) {
	if isPathLoss(err) {
		c.lost.Store(true)
	}
}

// state returns what can be told of the connection without reading from it.
func (c *connection) state() connectionState {
	state := stateOf(c.Conn)
	if state == connectionLost {
		c.lost.Store(true)
	}
	if state == connectionClosed && c.lost.Load() {
		return connectionLost
	}
	return state
}

// Close closes the connection. Whether the instance had closed it before says whether the instance's life goes on.
func (c *connection) Close() error {
	c.life.remove(c, false)
	return c.close()
}

// close closes the connection, which counts as open no longer.
func (c *connection) close() error {
	if c.limit != nil && !c.closed.Swap(true) {
		c.limit.release()
	}
	return c.Conn.Close()
}

// closeExpired closes a connection that was idle for so long that the instance may have closed it. Callers ignore its error:
// nothing is left to send or to read on such a connection.
func (c *connection) closeExpired() error {
	c.life.remove(c, true)
	return c.close()
}

// readHead reads the head of a response, of maxHeadBytes at most.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.headLimit.begin(maxHeadBytes)
	defer c.headLimit.end()
	return http.ReadResponse(c.reader, request)
}

// errHeadTooLong is returned for a head of more than maxHeadBytes.
var errHeadTooLong = errors.New("the head of the answer is too long")

// headLimit bounds the bytes that are read between begin and end.
type headLimit struct {
	source  io.Reader
	limited bool
	left    int
}

func (l *headLimit) begin(bytes int) { l.limited, l.left = true, bytes }
func (l *headLimit) end()            { l.limited = false }

// Read implements io.Reader.
func (l *headLimit) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.source.Read(buffer)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	read, err := l.source.Read(buffer[:min(len(buffer), l.left)])
	l.left -= read
	return read, err
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
func (c *connection) isReusable() bool { return c.state() == connectionOpen }
