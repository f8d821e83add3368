// Package rawanswer makes a server for tests that sends given bytes where an answer is due, and ends the connection.
package rawanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
)

// IDMark stands in an answer for the id of the request.
const IDMark = "{id}"

// End is how a server ends a connection.
type End func(*net.TCPConn)

// Close ends a connection in order, unless bytes of the request are unread.
func Close(connection *net.TCPConn) { _ = connection.Close() }

// Reset resets a connection.
func Reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// Server answers each request once its head has arrived, on a connection of its own.
type Server struct {
	listener net.Listener
	answer   string
	idHeader string
	end      End
}

// NewServer starts a server on a free port. The header with the given name holds the id of a request.
func NewServer(answer, idHeader string, end End) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rawanswer: %w", err)
	}
	s := &Server{listener: listener, answer: answer, idHeader: idHeader, end: end}
	go s.run()
	return s, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) run() {
	for {
		accepted, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(accepted.(*net.TCPConn))
	}
}

func (s *Server) serve(connection *net.TCPConn) {
	defer s.end(connection)
	head := textproto.NewReader(bufio.NewReader(connection))
	if _, err := head.ReadLine(); err != nil {
		return
	}
	header, err := head.ReadMIMEHeader()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, strings.ReplaceAll(s.answer, IDMark, header.Get(s.idHeader)))
}
