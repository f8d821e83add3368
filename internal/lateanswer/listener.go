// Package lateanswer makes an HTTP server faulty for tests: it sends copies of whole answers late, where the answer
// to a later request on the same connection is due.
package lateanswer

import (
	"net"
	"sync"
)

// Listener wraps the listener of an HTTP server. Its connections send the copies that the selector asks for.
type Listener struct {
	net.Listener
	// selectCopy is called with each whole answer, once the next request on its connection begins. The answer is
	// sent again when the request that is after requests later begins: 1 is the one that begins now, 0 is none.
	selectCopy func(answer []byte) (after int)
}

// NewListener returns a listener that sends copies of answers. The selector is called from all connections at once.
func NewListener(listener net.Listener, selectCopy func(answer []byte) (after int)) *Listener {
	return &Listener{Listener: listener, selectCopy: selectCopy}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: accepted, selectCopy: l.selectCopy}, nil
}

// connection is a connection of the server.
type connection struct {
	net.Conn
	selectCopy func(answer []byte) (after int)

	mu sync.Mutex
	// answer is what was written since the last request began.
	answer []byte
	copies []scheduledCopy
}

// scheduledCopy is an answer that is sent again when the request that is after requests later begins.
type scheduledCopy struct {
	answer []byte
	after  int
}

// Read implements net.Conn. The first bytes that arrive after an answer begin the next request.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.requestArrived()
	}
	return count, err
}

// Write implements net.Conn.
func (c *connection) Write(content []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = append(c.answer, content...)
	return c.Conn.Write(content)
}

// requestArrived sends the copies that are due if bytes of a new request have arrived.
func (c *connection) requestArrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer) == 0 {
		return
	}
	if after := c.selectCopy(c.answer); after > 0 {
		c.copies = append(c.copies, scheduledCopy{answer: c.answer, after: after})
	}
	c.answer = nil
	var later []scheduledCopy
	for _, scheduled := range c.copies {
		if scheduled.after > 1 {
			later = append(later, scheduledCopy{answer: scheduled.answer, after: scheduled.after - 1})
			continue
		}
		_, _ = c.Conn.Write(scheduled.answer) // the peer may have closed the connection
	}
	c.copies = later
}
