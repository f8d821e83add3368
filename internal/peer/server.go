package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"sync"
)

// Server accepts the links of peers.
type Server[Receive, Send any] struct {
	listener net.Listener
	receive  func(from *Connection[Send], message Receive)
	sent     func(to net.Addr, message Send, bytes int)
	// outgoing bounds what waits to be sent on all connections.
	outgoing *Budget

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// Connection sends answers to one peer.
type Connection[Send any] struct {
	sender *sender[Send]
}

// Send queues a message; it reports false when the connection ended or is full.
func (c *Connection[Send]) Send(message Send) bool { return c.sender.send(message) }

// NewServer returns a server over the listener. receive is called from one
// goroutine for each connection.
func NewServer[Receive, Send any](listener net.Listener, receive func(*Connection[Send], Receive)) *Server[Receive, Send] {
	return &Server[Receive, Send]{listener: listener, receive: receive, open: map[net.Conn]bool{}}
}

// CountSent makes the server tell of the size of each message that was written. It must be
// called before Run.
func (s *Server[Receive, Send]) CountSent(sent func(to net.Addr, message Send, bytes int)) {
	s.sent = sent
}

// LimitOutgoing bounds the bytes of messages that wait to be sent, on all connections
// together. It must be called before Run.
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

// Close ends the listener and all connections.
func (s *Server[Receive, Send]) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for connection := range s.open {
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
	s.open[connection] = true
	return true
}

func (s *Server[Receive, Send]) read(connection net.Conn) {
	accepted := &Connection[Send]{sender: newSender(connection, s.outgoing, s.sent)}
	defer func() {
		accepted.sender.close()
		s.mu.Lock()
		delete(s.open, connection)
		s.mu.Unlock()
	}()
	decoder := gob.NewDecoder(bufio.NewReaderSize(connection, bufferBytes))
	for {
		var message Receive
		if decoder.Decode(&message) != nil {
			return
		}
		s.receive(accepted, message)
	}
}
