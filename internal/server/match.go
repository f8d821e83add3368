package server

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"

	"swiftbank.dev/swiftbank/internal/httpanswer"
)

// headerRequestID names a send; back ends that repeat it in their answers let connections be kept.
const headerRequestID = "X-Request-Id"

// foreignAnswerError is returned for an answer that belongs to another send on the same connection.
type foreignAnswerError struct{ sent, received string }

// Error implements error.
func (e *foreignAnswerError) Error() string {
	return fmt.Sprintf("server: the answer to %q carries the id %q", e.sent, e.received)
}

// matchingTransport accepts only answers that belong to their requests. A back end may send an unsolicited answer at any
// later time, where the answer to another request on the connection is due. Connections are kept for back ends that
// repeat the request id, which tells such answers apart; other connections carry one request each. It is safe for
// concurrent use.
type matchingTransport struct {
	transport *httpanswer.Transport
	unnamed   atomic.Uint64

	mu sync.Mutex
	// repeats holds the back ends, by host and port, whose last answer repeated the request id.
	repeats map[string]bool
}

func newMatchingTransport(transport *http.Transport) *matchingTransport {
	return &matchingTransport{transport: httpanswer.NewTransport(transport), repeats: map[string]bool{}}
}

// RoundTrip implements http.RoundTripper. The request's id must not have been used before; a request without one gets
// an id.
func (t *matchingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { connection = got.Conn }}
	request = request.Clone(httptrace.WithClientTrace(request.Context(), trace))
	id := request.Header.Get(headerRequestID)
	if id == "" {
		id = "unnamed-" + strconv.FormatUint(t.unnamed.Add(1), 10)
		request.Header.Set(headerRequestID, id)
	}
	kept := t.repeatsIDs(request.URL.Host)
	request.Close = !kept
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	received := response.Header.Get(headerRequestID)
	t.setRepeatsIDs(request.URL.Host, received == id)
	if received == id || received == "" && !kept {
		return response, nil
	}
	_ = connection.Close() // answers to later requests on it would be mistaken, too
	_ = response.Body.Close()
	return nil, &foreignAnswerError{sent: id, received: received}
}

// CloseIdleConnections closes the kept connections that are not in use; http.Client calls it.
func (t *matchingTransport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

func (t *matchingTransport) repeatsIDs(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.repeats[host]
}

func (t *matchingTransport) setRepeatsIDs(host string, repeats bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if repeats {
		t.repeats[host] = true
		return
	}
	delete(t.repeats, host)
}
