//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// PlainServer is an engine of a plain service. It runs as many requests at once as it has slots, turns away the
// others with the header that says that they did not run, and serves one request at a time on each connection.
// As a faulty engine it sends one of its answers twice, the second time late.
type PlainServer struct {
	ID string
	// Work is how long a request runs.
	Work time.Duration
	// Slots is the number of requests that run at once.
	Slots int

	record   *Record
	listener net.Listener
	mu       sync.Mutex
	running  int
	runs     map[string]int
	answers  int
	// surplusOf is the request whose refusal is sent twice; "" for none. surpluses counts the surplus answers.
	surplusOf string
	surpluses int
}

// NewPlainServer starts an engine on a loopback address.
func NewPlainServer(id string, slots int, work time.Duration, record *Record) (*PlainServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &PlainServer{ID: id, Work: work, Slots: slots, record: record, listener: listener, runs: map[string]int{}}
	go s.accept()
	return s, nil
}

// Close stops accepting connections.
func (s *PlainServer) Close() { _ = s.listener.Close() }

// Entry returns the engine's entry for the store.
func (s *PlainServer) Entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": s.listener.Addr().String(), "zone": zone, "version": "v1", "slots": s.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	}
}

// RepeatRefusalOf makes the engine send one refusal of the request a second time, late: where the next answer on
// that connection is due.
func (s *PlainServer) RepeatRefusalOf(id string) {
	s.mu.Lock()
	s.surplusOf = id
	s.mu.Unlock()
}

// RunsOf returns how often the engine ran the request.
func (s *PlainServer) RunsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Answers returns the number of answers and, of these, the surplus ones.
func (s *PlainServer) Answers() (all, surplus int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers, s.surpluses
}

func (s *PlainServer) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

// serve serves the requests of one connection.
func (s *PlainServer) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	var last plainAnswer
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		s.record.Line("engine %s receives %s from %s", s.ID, id, connection.RemoteAddr())
		answer := s.answer(request, id, func() { s.repeat(connection, last) })
		s.mu.Lock()
		s.answers++
		s.mu.Unlock()
		s.record.Line("engine %s answers %d to %s", s.ID, answer.status, id)
		if _, err := io.WriteString(connection, answer.text); err != nil {
			return
		}
		last = answer
	}
}

// repeat sends the connection's last answer a second time if it is the refusal that is to be repeated.
func (s *PlainServer) repeat(connection net.Conn, last plainAnswer) {
	s.mu.Lock()
	due := s.surplusOf != "" && last.id == s.surplusOf && last.status == http.StatusServiceUnavailable
	if due {
		s.surplusOf = ""
		s.answers++
		s.surpluses++
	}
	s.mu.Unlock()
	if !due {
		return
	}
	s.record.Line("engine %s sends its answer %d to %s a second time", s.ID, last.status, last.id)
	_, _ = io.WriteString(connection, last.text)
}

// plainAnswer is an answer as it is sent.
type plainAnswer struct {
	id     string
	status int
	text   string
}

// answer runs a request or turns it away. It calls begun once a run has begun.
func (s *PlainServer) answer(request *http.Request, id string, begun func()) plainAnswer {
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != s.ID {
		return s.format(http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", "")
	}
	s.mu.Lock()
	if s.running >= s.Slots {
		s.mu.Unlock()
		return s.format(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", "full")
	}
	s.running++
	s.runs[id]++
	run := s.runs[id]
	s.mu.Unlock()
	s.record.Line("engine %s begins run %d of %s", s.ID, run, id)
	begun()
	time.Sleep(s.Work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	return s.format(http.StatusOK, id, "X-Server-Signature: "+s.ID+"."+id+"\r\n", "answer to "+id)
}

func (s *PlainServer) format(status int, id, header, body string) plainAnswer {
	return plainAnswer{id, status, fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, header, len(body), body)}
}
