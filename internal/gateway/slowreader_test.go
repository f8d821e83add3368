package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/memorybudget"
	"swiftbank.dev/swiftbank/internal/route"
)

const (
	// slowEvents of slowEventBytes each are several times what a slow reader's sockets buffer.
	slowEvents      = 64
	slowEventBytes  = 4 << 10
	slowSocketBytes = 8 << 10
)

// newSmallBufferServer starts a server whose connections buffer little unread data.
func newSmallBufferServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		_ = connection.(*net.TCPConn).SetWriteBuffer(slowSocketBytes)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// streamingGateway returns a gateway with one instance, which streams more than slow readers'
// sockets buffer and counts the requests that it started, and the gateway's address.
func streamingGateway(t *testing.T, heldBytes int64) (s *Server, address string, started *atomic.Int64) {
	s = newTestGateway(t)
	s.options.LoadControl, s.held = true, newHeldMemory(heldBytes)
	s.dialect.Signature, s.dialect.NotExecuted = "X-Test-Signature", "X-Test-Not-Executed"
	s.dialect.ExpectedInstance, s.dialect.Priority, s.dialect.LastEvent = "X-Test-Instance", "X-Test-Priority", "X-Test-Last"
	started = &atomic.Int64{}
	engine := newSmallBufferServer(t, func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		w.Header().Set("X-Test-Id", r.Header.Get("X-Test-Id"))
		w.Header().Set("X-Test-Signature", "s")
		for i := range slowEvents {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", slowEventBytes)); err != nil {
				return
			}
		}
	})
	s.ConfigurationChanged(route.NewTable(2, []*route.Route{{
		Name: "turn", Host: "apps.test", Prefix: "/turn/", Kind: route.Streaming, Attempts: 1, Timeout: 20 * time.Second,
		Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, []route.Service{{Name: "llm", Generates: true, TokensPerEvent: 1}}, route.Limits{}))
	s.directory.ApplyChanges(time.Now(), backend.Changes{Snapshot: true, Listed: []backend.Instance{{
		ID: "i", Service: "llm", Zone: "z", Address: engine, Slots: 4000,
	}}}, false)
	return s, newSmallBufferServer(t, s.handle), started
}

// requestWithoutReading requests a stream and reads nothing of it.
func requestWithoutReading(t *testing.T, address string, number int) net.Conn {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(slowSocketBytes))
	_, err = fmt.Fprintf(connection, "GET /turn/1 HTTP/1.1\r\nHost: apps.test\r\nX-Test-Id: r%d\r\n\r\n", number)
	require.NoError(t, err)
	return connection
}

// Without a write deadline such a caller's request, and its instance's connection, were held
// forever. The aborted answer must not look complete.
func TestDisconnectsCallerThatReadsNothing(t *testing.T) {
	s, address, _ := streamingGateway(t, 8<<20)
	s.unreadTimeout = 300 * time.Millisecond
	caller := requestWithoutReading(t, address, 1)
	require.Eventually(t, func() bool { return s.inFlight.Load() == 1 }, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return s.inFlight.Load() == 0 }, 20*time.Second, 5*time.Millisecond)
	require.Zero(t, s.held.held())
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestDisconnectsCallerWithIncompleteBody(t *testing.T) {
	s, address, began := streamingGateway(t, 8<<20)
	s.unreadTimeout = 300 * time.Millisecond
	caller, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	_, err = fmt.Fprint(caller, "POST /turn/1 HTTP/1.1\r\nHost: apps.test\r\nX-Test-Id: r\r\nContent-Length: 9\r\n\r\nbegun")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, answer.StatusCode)
	require.Zero(t, began.Load())
	require.Eventually(t, func() bool { return s.inFlight.Load() == 0 && s.held.held() == 0 }, 20*time.Second, time.Millisecond)
}

// A request may be in progress for longer than its caller may leave an answer unread.
func TestRefusalAfterLongRequestReachesCaller(t *testing.T) {
	s, address, _ := streamingGateway(t, 8<<20)
	s.unreadTimeout = 50 * time.Millisecond
	broken := newSmallBufferServer(t, func(http.ResponseWriter, *http.Request) {
		<-time.After(4 * s.unreadTimeout)
		panic(http.ErrAbortHandler)
	})
	s.directory.ApplyChanges(time.Now(), backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "i", Service: "llm", Zone: "z", Address: broken, Slots: 1}}}, false)
	answer, err := http.ReadResponse(bufio.NewReader(requestWithoutReading(t, address, 1)), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, answer.StatusCode)
}

// The deadline applies to each write: a caller that keeps reading, however slowly, receives the
// whole answer.
func TestSlowReaderReceivesCompleteAnswer(t *testing.T) {
	s, address, _ := streamingGateway(t, 8<<20)
	s.unreadTimeout = time.Second
	caller := requestWithoutReading(t, address, 1)
	answer, err := http.ReadResponse(bufio.NewReaderSize(caller, 512), nil)
	require.NoError(t, err)
	began, read := time.Now(), 0
	buffer := make([]byte, 2*slowEventBytes)
	for {
		n, err := answer.Body.Read(buffer)
		read += n
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		time.Sleep(15 * time.Millisecond)
	}
	require.Greater(t, read, slowEvents*slowEventBytes)
	require.Greater(t, time.Since(began), s.unreadTimeout)
}

// Of a thousand callers that read nothing, as many are served as fit into the memory; the others
// are refused before their requests reach an instance.
func TestManySlowReadersStayWithinMemoryBound(t *testing.T) {
	const readers, heldBytes = 1000, 8 << 20
	s, address, began := streamingGateway(t, heldBytes)
	s.unreadTimeout = 2 * time.Second
	var callers []net.Conn
	for i := range readers {
		callers = append(callers, requestWithoutReading(t, address, i))
		require.LessOrEqual(t, s.held.held(), float64(memorybudget.LimitsOf(heldBytes).Total))
	}
	served, refused := 0, 0
	for _, caller := range callers {
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		switch answer.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		}
	}
	require.Equal(t, readers, served+refused)
	require.Positive(t, refused)
	require.EqualValues(t, served, began.Load(), "refused requests must not have run")
	require.Eventually(t, func() bool { return s.held.held() == 0 }, 20*time.Second, 5*time.Millisecond)
}

func TestOversizedBodyIsRefusedBeforeItRuns(t *testing.T) {
	s, address, began := streamingGateway(t, 1<<20)
	limit := memorybudget.LimitsOf(1 << 20).Request
	for _, size := range []int64{limit/bodyCopies - requestOverheadBytes/bodyCopies - 1<<10, limit} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/turn/1", io.LimitReader(zeros{}, size))
		require.NoError(t, err)
		request.Host = "apps.test"
		request.Header.Set("X-Test-Id", "large")
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		_ = answer.Body.Close()
		if size < limit {
			require.Equal(t, http.StatusOK, answer.StatusCode)
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	}
	require.EqualValues(t, 1, began.Load())
	require.Zero(t, s.held.held())
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }

// Memory is bounded only where load control applies.
func TestMemoryIsUnboundedWithoutLoadControl(t *testing.T) {
	s := newTestGateway(t)
	s.held = newHeldMemory(1)
	require.Equal(t, http.StatusServiceUnavailable, sendCall(s, "40").Code)
	require.Zero(t, s.held.held())
	r := &request{table: s.table.Load(), route: s.table.Load().Match("apps.test", "/call/1")}
	require.False(t, s.boundsMemory(r))
	s.options.LoadControl = true
	require.True(t, s.boundsMemory(r))
}
