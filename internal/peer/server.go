package peer

import (
	"net"
	"sync"
)

// Server accepts connections from the links of peers.
type Server[Receive, Send any] struct {
	listener net.Listener
	receive  func(from *Connection[Send], message Receive)
	onSent   func(to net.Addr, message Send, bytes int)
	// onEnd is called when a connection has ended; nil if nobody needs it.
	onEnd func(from *Connection[Send])
	// outgoing bounds the bytes queued for sending on all connections.
	outgoing *Budget

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// Connection sends replies to one peer.
type Connection[Send any] struct {
	sender *sender[Send]
}

// Send queues a message. It returns false if the connection ended, its queue is full or the budget
// is exhausted.
func (c *Connection[Send]) Send(message Send) bool { return c.sender.send(message) }

// NewServer returns a server for the listener. receive is called from one goroutine per
// connection.
func NewServer[Receive, Send any](listener net.Listener, receive func(*Connection[Send], Receive)) *Server[Receive, Send] {
	return &Server[Receive, Send]{listener: listener, receive: receive, connections: map[net.Conn]bool{}}
}

// CountSent makes the server call onSent with the encoded size of each message. It must be called
// before Run.
func (s *Server[Receive, Send]) CountSent(onSent func(to net.Addr, message Send, bytes int)) {
	s.onSent = onSent
}

// ReportEnds makes the server call onEnd when a connection has ended. It must be called before Run.
func (s *Server[Receive, Send]) ReportEnds(onEnd func(from *Connection[Send])) { s.onEnd = onEnd }

// LimitOutgoing bounds the total bytes of the messages queued for sending on all connections. It
// must be called before Run.
func (s *Server[Receive, Send]) LimitOutgoing(budget *Budget) { s.outgoing = budget }

// Run accepts connections until Close.
func (s *Server[Receive, Send]) Run() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			continue
		}
		if !s.track(connection) {
			return
		}
		go s.read(connection)
	}
}

// Close closes the listener and all connections.
func (s *Server[Receive, Send]) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for connection := range s.connections {
		_ = connection.Close()
	}
}

func (s *Server[Receive, Send]) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server[Receive, Send]) track(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = connection.Close()
		return false
	}
	s.connections[connection] = true
	return true
}

func (s *Server[Receive, Send]) read(connection net.Conn) {
	accepted := &Connection[Send]{sender: newSender(connection, s.outgoing, s.onSent)}
	defer func() {
		accepted.sender.close()
		s.mu.Lock()
		delete(s.connections, connection)
		s.mu.Unlock()
		if s.onEnd != nil {
			s.onEnd(accepted)
		}
	}()
	decoder := NewDecoder(connection)
	for {
		var message Receive
		if decoder.Decode(&message) != nil {
			return
		}
		s.receive(accepted, message)
	}
}
