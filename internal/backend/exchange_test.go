package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// scripted is an instance whose responses are scripted.
type scripted struct {
	instance Instance
	listener net.Listener
	// requests receives the heads and bodies of requests, by connection.
	requests chan string
}

// startScripted starts an instance that calls the script for each request, with the number of the
// request on its connection, until the script returns false.
func startScripted(t *testing.T, script func(connection net.Conn, reader *bufio.Reader, number int) bool) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scripted{listener: listener, instance: Instance{ID: "i", Address: listener.Addr().String()}, requests: make(chan string, 100)}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection, script)
		}
	}()
	return s
}

func (s *scripted) serve(connection net.Conn, script func(net.Conn, *bufio.Reader, int) bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for number := 1; script(connection, reader, number); number++ {
	}
}

func readRequest(reader *bufio.Reader) (id, body string, ok bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", "", false
	}
	content, err := io.ReadAll(request.Body)
	return request.Header.Get("Id"), string(content), err == nil
}

func answerTo(id, body, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

func callWith(id, body string) Call {
	return Call{Method: http.MethodPost, Target: "/a%2Fb?q=1", Host: "h.test", Header: http.Header{"Id": {id}}, Body: []byte(body), IDHeader: "Id"}
}

func do(t *testing.T, pool *Pool, s *scripted, call Call) (string, *Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	answer, failure := pool.Do(ctx, s.instance, call)
	if failure != nil {
		return "", failure
	}
	body, err := io.ReadAll(answer.Body())
	if err != nil {
		answer.Discard()
		return "", &Failure{Verdict: verdict.MayHaveRun, Reason: err.Error()}
	}
	answer.Finish()
	return string(body), nil
}

// newCountingPool returns a pool and the number of connections that it opened.
func newCountingPool() (*Pool, *int) {
	opened := 0
	return NewPool(func() { opened++ }), &opened
}

func TestPoolReusesConnectionAndPreservesTarget(t *testing.T) {
	lines := make(chan string, 10)
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
		head, _ := r.Peek(20)
		id, body, ok := readRequest(r)
		if ok {
			lines <- strings.SplitN(string(head), " HTTP", 2)[0]
			_, _ = io.WriteString(c, answerTo(id, "echo "+body, ""))
		}
		return ok
	})
	pool, opened := newCountingPool()
	for number := range 3 {
		body, failure := do(t, pool, s, callWith(fmt.Sprint(number), "x"))
		require.Nil(t, failure)
		require.Equal(t, "echo x", body)
		require.Equal(t, "POST /a%2Fb?q=1", <-lines)
	}
	require.Equal(t, 1, *opened)
}

func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, number int) bool {
		id, _, ok := readRequest(r)
		if ok && number == 1 {
			_, _ = io.WriteString(c, answerTo("of another", "not yours", "")+answerTo(id, "yours", ""))
		}
		return ok
	})
	pool, opened := newCountingPool()
	body, failure := do(t, pool, s, callWith("mine", "x"))
	require.Nil(t, failure)
	require.Equal(t, "yours", body)
	require.Empty(t, pool.idle["i"], "a connection with an unexpected response is not reused")
	require.Equal(t, 1, *opened)
}

func TestSurplusResponseClosesConnection(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
		id, _, ok := readRequest(r)
		if ok {
			_, _ = io.WriteString(c, answerTo(id, "one", "")+answerTo(id, "again", ""))
		}
		return ok
	})
	pool, opened := newCountingPool()
	for number := range 3 {
		body, failure := do(t, pool, s, callWith(fmt.Sprint(number), "x"))
		require.Nil(t, failure)
		require.Equal(t, "one", body)
	}
	require.Equal(t, 3, *opened)
}

func TestBrokenResponsesMayHaveRun(t *testing.T) {
	broken := map[string]string{
		"no answer":   "",
		"no protocol": "garbage\r\n\r\n",
		"cut short":   "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 100\r\n\r\nhalf",
		"cut chunk":   "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no id":       "HTTP/1.1 200 OK\r\n\r\nwhole",
	}
	for name, answer := range broken {
		t.Run(name, func(t *testing.T) {
			s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, answer)
				return false
			})
			pool, _ := newCountingPool()
			_, failure := do(t, pool, s, callWith("mine", "x"))
			require.NotNil(t, failure)
			require.Equal(t, verdict.MayHaveRun, failure.Verdict)
			require.Empty(t, pool.idle["i"])
		})
	}
}

func TestUnreachableInstanceDidNotRun(t *testing.T) {
	s := startScripted(t, func(net.Conn, *bufio.Reader, int) bool { return false })
	_ = s.listener.Close()
	pool, _ := newCountingPool()
	_, failure := do(t, pool, s, callWith("mine", "x"))
	require.NotNil(t, failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	require.True(t, failure.Unreachable)
}

// An instance may respond before it has read a long body and keep reading: the connection must not
// carry another request, because its bytes would be read as the rest of the body.
func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
		request, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		_, _ = io.WriteString(c, answerTo(request.Header.Get("Id"), "no", ""))
		// It neither reads nor closes the connection, so the writer blocks.
		<-t.Context().Done()
		return false
	})
	pool, opened := newCountingPool()
	long := strings.Repeat("x", 32<<20)
	for number := range 2 {
		body, failure := do(t, pool, s, callWith(fmt.Sprint(number), long))
		require.Nil(t, failure)
		require.Equal(t, "no", body)
	}
	require.Equal(t, 2, *opened)
}

func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
		id, _, ok := readRequest(r)
		if ok {
			_, _ = io.WriteString(c, answerTo(id, "last", ""))
		}
		return false // closes the connection without notice
	})
	pool, opened := newCountingPool()
	_, failure := do(t, pool, s, callWith("1", "x"))
	require.Nil(t, failure)
	require.Eventually(t, func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.idle["i"]) == 1 && !pool.idle["i"][0].isReusable()
	}, 20*time.Second, time.Millisecond)
	_, failure = do(t, pool, s, callWith("2", "x"))
	require.Nil(t, failure)
	require.Equal(t, 2, *opened)
}

func TestPoolLimitsIdleConnections(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
		id, _, ok := readRequest(r)
		if ok {
			_, _ = io.WriteString(c, answerTo(id, "x", ""))
		}
		return ok
	})
	s.instance.Service = "llm"
	pool, _ := newCountingPool()
	pool.SetConnectionLimit("llm", 4, 1)
	var answers []*Answer
	for number := range 5 {
		answer, failure := pool.Do(t.Context(), s.instance, callWith(fmt.Sprint(number), "x"))
		require.Nil(t, failure)
		_, err := io.ReadAll(answer.Body())
		require.NoError(t, err)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		answer.Finish()
	}
	require.Len(t, pool.idle["i"], 2)
}

func TestKeepAliveTimeout(t *testing.T) {
	require.Equal(t, 3*time.Second-idleMargin, keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=3, max=5"}}))
	require.Equal(t, time.Duration(0), keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=0"}}))
	require.Equal(t, idleDefault, keepAliveTimeout(http.Header{}))
}

// A crashed instance resets each idle connection when it is used. Only the first request may have
// run: all idle connections are closed then, and the next request gets a refused connection.
func TestResetClosesAllIdleConnections(t *testing.T) {
	const concurrent = 3
	arrived := make(chan struct{}, concurrent)
	release := make(chan struct{})
	s := startScripted(t, func(connection net.Conn, reader *bufio.Reader, number int) bool {
		id, _, ok := readRequest(reader)
		if !ok {
			return false
		}
		if number > 1 { // the restarted machine does not know the connection
			_ = connection.(*net.TCPConn).SetLinger(0)
			return false
		}
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(connection, answerTo(id, "ok", ""))
		return true
	})
	pool := NewPool(func() {})
	done := make(chan *Failure, concurrent)
	for number := range concurrent {
		go func() { _, failure := do(t, pool, s, callWith(fmt.Sprint(number), "")); done <- failure }()
	}
	for range concurrent {
		<-arrived
	}
	close(release)
	for range concurrent {
		require.Nil(t, <-done)
	}
	_ = s.listener.Close()
	_, failure := do(t, pool, s, callWith("a", ""))
	require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	_, failure = do(t, pool, s, callWith("b", ""))
	require.Equal(t, verdict.NotRun, failure.Verdict)
}

// An idle connection may be dead without any sign: a request that lost a response is retried on a
// new connection.
func TestCallWithNewConnectionSkipsPool(t *testing.T) {
	s := startScripted(t, func(connection net.Conn, reader *bufio.Reader, number int) bool {
		id, _, ok := readRequest(reader)
		if !ok || number > 1 {
			<-t.Context().Done() // every connection stops responding at its second request
			return false
		}
		_, _ = connection.Write([]byte(answerTo(id, "x", "")))
		return true
	})
	pool, opened := newCountingPool()
	for number := range 3 {
		call := callWith(fmt.Sprint(number), "")
		call.NewConnection = number > 0
		body, failure := do(t, pool, s, call)
		require.Nil(t, failure)
		require.Equal(t, "x", body)
	}
	require.Equal(t, 3, *opened)
}

// The look that tells whether the instance lives is the one that is told of the reset.
func TestAnswerWhoseResetALookWasToldOfIsNotWhole(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *bufio.Reader, _ int) bool {
		id, _, ok := readRequest(r)
		if ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfirst half")
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	pool, _ := newCountingPool()
	answer, failure := pool.Do(t.Context(), s.instance, callWith("1", "x"))
	require.Nil(t, failure)
	defer answer.Discard()
	require.Eventually(t, func() bool { return !answer.Connection.life.IsOpen() }, 5*time.Second, time.Millisecond)
	_, err := io.ReadAll(answer.Body())
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
