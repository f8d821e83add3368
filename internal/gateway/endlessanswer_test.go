package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/endlessanswer"
	"swiftbank.dev/swiftbank/internal/route"
)

const (
	// mostHeadBytes and mostAnswerBytes bound what an instance may send in a head, and in a body that is kept in
	// memory; socketBytes is what the kernel may take besides.
	mostHeadBytes   = 1 << 20
	mostAnswerBytes = 64 << 20
	socketBytes     = 16 << 20
)

// endlessInstance answers each request without end.
type endlessInstance struct {
	backend.Instance
	// sent receives the number of bytes of each answer once its connection was closed.
	sent chan int64
}

func startEndlessInstance(t *testing.T, id string, form endlessanswer.Form) *endlessInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	instance := &endlessInstance{Instance: backend.Instance{ID: id, Service: "apps", Address: listener.Addr().String(), Zone: "z", Slots: 8}, sent: make(chan int64, 100)}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go instance.serve(connection, form)
		}
	}()
	return instance
}

func (e *endlessInstance) serve(connection net.Conn, form endlessanswer.Form) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		_ = connection.Close()
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	header := "X-Test-Signature: s\r\nX-Test-Id: " + request.Header.Get("X-Test-Id") + "\r\n"
	if strings.HasPrefix(form.Name, "body of 5") || strings.HasPrefix(form.Name, "body of 4") {
		header += "X-Test-Not-Executed: 1\r\n"
	}
	e.sent <- form.Send(connection, header)
}

// newEndlessGateway returns a gateway with a route of each kind.
func newEndlessGateway(t *testing.T) *containedGateway {
	g := newContainedGateway(t)
	kind := func(name string, kind route.Kind) *route.Route {
		return &route.Route{
			Name: name, Host: "apps.test", Prefix: "/" + name + "/", Kind: kind, Attempts: 1, Timeout: 20 * time.Second,
			Targets: []route.Target{{Service: "apps", Weight: 1}},
		}
	}
	g.ConfigurationChanged(route.NewTable(3, []*route.Route{kind("safe", route.Safe), kind("unsafe", route.Unsafe), kind("stream", route.Streaming)}, []route.Service{{Name: "apps"}}, route.Limits{}))
	return g
}

func (g *containedGateway) callRoute(name, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://apps.test/"+name+"/1", strings.NewReader(body))
	request.Header.Set(deadlineHeader, "20000")
	request.Header.Set(g.dialect.RequestID, "id")
	recorder := httptest.NewRecorder()
	g.handle(recorder, request)
	return recorder
}

// Bytes of an instance that never end must not fill the memory, hold the request or pass for a whole answer.
func TestAnswerWithoutEndFailsInBoundedBytesAndTime(t *testing.T) {
	for _, form := range slices.Concat(endlessanswer.Heads(), endlessanswer.Bodies()) {
		for _, kind := range []string{"safe", "unsafe", "stream"} {
			t.Run(form.Name+" "+kind, func(t *testing.T) {
				g := newEndlessGateway(t)
				endless := startEndlessInstance(t, "i-endless", form)
				g.instances = []backend.Instance{endless.Instance}
				g.publish()
				began := time.Now()
				got := g.callRoute(kind, "x")
				require.Less(t, time.Since(began), 10*time.Second)
				require.Equal(t, http.StatusBadGateway, got.Code, "the request may have run")
				require.Empty(t, got.Header().Get("X-Test-Signature"))
				most := int64(mostAnswerBytes)
				if !form.HasHead || kind == "stream" {
					most = mostHeadBytes
				}
				if form.Name == "body of an error" {
					most = mostAnswerBytes
				}
				select {
				case sent := <-endless.sent:
					require.LessOrEqual(t, sent, most+socketBytes)
				case <-time.After(10 * time.Second):
					require.Fail(t, "the connection is not closed")
				}
				require.Equal(t, 1, g.suspects()[0].Standing.Possible, "the instance is in trouble")
				g.instances = nil
				g.listAnswering("i-sound")
				require.Equal(t, http.StatusOK, g.callRoute("safe", "another").Code)
			})
		}
	}
}

// An instance that refuses a request with an answer that never ends has not run it: another one is asked at once.
func TestRefusalWithoutEndIsARefusal(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "421 Misdirected Request"} {
		for _, kind := range []string{"unsafe", "stream"} {
			t.Run(status+" "+kind, func(t *testing.T) {
				g := newEndlessGateway(t)
				endless := startEndlessInstance(t, "i-endless", endlessanswer.WithStatus(status))
				g.instances = []backend.Instance{endless.Instance}
				g.publish()
				began := time.Now()
				request := httptest.NewRequest(http.MethodPost, "http://apps.test/"+kind+"/1", strings.NewReader("x"))
				request.Header.Set(deadlineHeader, "1000")
				request.Header.Set(g.dialect.RequestID, "id")
				recorder := httptest.NewRecorder()
				g.handle(recorder, request)
				require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
				require.Less(t, time.Since(began), 1100*time.Millisecond)
				require.LessOrEqual(t, <-endless.sent, int64(mostHeadBytes+socketBytes))
				require.Empty(t, g.suspects(), "it has not run")
			})
		}
	}
}
