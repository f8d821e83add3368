package endlessanswer

import (
	"bufio"
	"net"
	"net/http"
)

// Server answers each HTTP request by one of the forms.
type Server struct {
	listener net.Listener
	form     Form
	// headerOf returns the header lines of an answer.
	headerOf func(*http.Request) string
	// Sent receives the number of bytes of each answer once its connection was closed.
	Sent chan int64
}

// maxCountedAnswers is the number of answers whose size is kept until it is read.
const maxCountedAnswers = 64

// NewServer starts a server on a loopback address.
func NewServer(form Form, headerOf func(*http.Request) string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, form: form, headerOf: headerOf, Sent: make(chan int64, maxCountedAnswers)}
	go s.accept()
	return s, nil
}

// Address returns the server's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answer(connection)
	}
}

func (s *Server) answer(connection net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		_ = connection.Close()
		return
	}
	sent := s.form.Send(connection, s.headerOf(request))
	select {
	case s.Sent <- sent:
	default:
	}
}
