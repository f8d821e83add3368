package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/standin"
	"swiftbank.dev/swiftbank/internal/topology"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// startNode runs one node alone, with a platform stand-in that has nothing.
func startNode(t *testing.T, change func(*settings.Node)) *Server {
	platform := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(platform.Close)
	config := settings.Default()
	config.ID = "a"
	config.CallerAddress, config.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0"
	config.PlatformAddress = platform.URL
	config.Nodes = []topology.Node{{ID: "a", Zone: "z", Address: "127.0.0.1:0"}}
	if change != nil {
		change(&config)
	}
	node, err := New(config, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return node
}

func send(t *testing.T, node *Server, method, path, body string, headers map[string]string) (int, errorBody, http.Header) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+node.CallerAddress()+path, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var answered errorBody
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answered))
	return response.StatusCode, answered, response.Header
}

func TestBadRequestsGetClearErrors(t *testing.T) {
	node := startNode(t, nil)
	cases := []struct {
		name, method, path, body string
		headers                  map[string]string
		status                   int
		code                     verdict.Code
	}{
		{"no key", "POST", "/v1/chat/completions", "{}", nil, 401, verdict.CodeUnauthorized},
		{"unknown key", "POST", "/v1/chat/completions", "{}", map[string]string{"Authorization": "Bearer nobody"}, 401, verdict.CodeUnauthorized},
		{"unknown path", "POST", "/v2/nothing", "{}", nil, 404, verdict.CodeNotFound},
		{"wrong method", "PUT", "/v1/chat/completions", "{}", nil, 405, verdict.CodeMethodUnsupported},
		{"answer without key", "GET", "/v1/sessions/s/calls/1", "", nil, 401, verdict.CodeUnauthorized},
	}
	for _, c := range cases {
		status, answered, header := send(t, node, c.method, c.path, c.body, c.headers)
		require.Equal(t, c.status, status, c.name)
		require.Equal(t, c.code, answered.Error.Code, c.name)
		require.Equal(t, "not_run", answered.Error.Verdict, c.name)
		require.Equal(t, "not_run", header.Get(HeaderVerdict), c.name)
	}
}

func TestHeadersAndBodyAreChecked(t *testing.T) {
	s := &Server{settings: settings.Default(), core: nil}
	good := map[string]string{HeaderSession: "s", HeaderTemplate: "t", HeaderIdempotency: "k", HeaderSequence: "1"}
	cases := map[string]map[string]string{
		HeaderSession:     {HeaderSession: ""},
		HeaderTemplate:    {HeaderTemplate: strings.Repeat("x", maxNameBytes+1)},
		HeaderIdempotency: {HeaderIdempotency: ""},
		HeaderSequence:    {HeaderSequence: "0"},
		HeaderDeadline:    {HeaderDeadline: "soon"},
	}
	for named, change := range cases {
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
		for name, value := range good {
			request.Header.Set(name, value)
		}
		for name, value := range change {
			request.Header.Set(name, value)
		}
		_, refusal := s.readFields(request, "tenant")
		require.NotNil(t, refusal, named)
		require.Equal(t, verdict.CodeBadRequest, refusal.Code)
		require.Contains(t, refusal.Reason, named)
	}
}

func TestChatBodies(t *testing.T) {
	for _, body := range []string{"", "[]", "{", `{"messages":[]}`, `{"messages":[{}]}`, `{"messages":[1]}`, `{"messages":[{"role":"user"}],"max_tokens":-1}`} {
		_, refusal := parseChat([]byte(body))
		require.NotNil(t, refusal, body)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
	}
	_, refusal := parseChat([]byte(`{"messages":[{"role":"user","content":"x"}],"max_tokens":5,"temperature":0.1}`))
	require.Nil(t, refusal)
}

func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		body, refusal := parseChat(content)
		if refusal == nil && len(body.Messages) == 0 {
			t.Fatal("accepted without messages")
		}
	})
}

func FuzzSessionName(f *testing.F) {
	f.Add("tenant", "session")
	f.Add("a:b", "c:d%")
	f.Fuzz(func(t *testing.T, tenant, session string) {
		key := shard.SessionKey{Tenant: tenant, Session: session}
		parsed, valid := parseSessionName(sessionName(key))
		require.True(t, valid)
		require.Equal(t, key, parsed)
	})
}

func TestHeaderFloodHarmsNobodyElse(t *testing.T) {
	node := startNode(t, nil)
	connection, err := net.Dial("tcp", node.CallerAddress())
	require.NoError(t, err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Flood: %s\r\n\r\n", strings.Repeat("y", 64<<10))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	status, _, _ := send(t, node, "GET", "/v1/sessions/s", "", nil)
	require.Equal(t, http.StatusUnauthorized, status)
}

func TestTooManyOpenCallsAreRefusedAtOnce(t *testing.T) {
	s := &Server{settings: settings.Default(), metrics: newMetrics("a")}
	s.settings.Limits.OpenCalls = 1
	entered, leave := make(chan struct{}), make(chan struct{})
	handler := s.limitOpenCalls(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-leave
	}))
	var tasks conc.WaitGroup
	tasks.Go(func() { handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)) })
	<-entered
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	close(leave)
	tasks.Wait()
	require.Equal(t, http.StatusTooManyRequests, recorder.Code)
	require.NotEmpty(t, recorder.Header().Get("Retry-After"))
}

// TestCutAfterSendingMayHaveRun checks both sides of the first byte.
func TestCutAfterSendingMayHaveRun(t *testing.T) {
	var hits atomic.Int32
	cutting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hits.Add(1)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}))
	defer cutting.Close()
	client := &backEndClient{http: &http.Client{}}
	action := core.StartAttempt{
		BackEnd: schedule.BackEnd{Address: cutting.URL},
		Request: shard.Request{Kind: shard.ApplicationCall, IdempotencyKey: "charge", Path: "/x", Body: []byte("{}")},
	}
	require.Equal(t, verdict.MayHaveRun, client.runApplication(context.Background(), action).Outcome.Verdict)
	require.Equal(t, int32(1), hits.Load(), "the HTTP library must not send it again by itself")
	cutting.Close()
	require.Equal(t, verdict.NotRun, client.runApplication(context.Background(), action).Outcome.Verdict)
}

func TestCallersGetTextInOrderWhateverArrives(t *testing.T) {
	table := newCallerTable(7)
	id, state := table.add(0)
	for _, chunk := range []streamChunk{
		{Incarnation: 7, RequestID: id, StreamAttempt: 1, Offset: 0, Text: "Hello "},
		{Incarnation: 7, RequestID: id, StreamAttempt: 1, Offset: 9, Text: "too early"},
		{Incarnation: 6, RequestID: id, StreamAttempt: 1, Offset: 6, Text: "another process"},
		{Incarnation: 7, RequestID: id, StreamAttempt: 2, Offset: 6, Text: "another attempt"},
		{Incarnation: 7, RequestID: id, StreamAttempt: 1, Offset: 4, Text: "o world"},
		{Incarnation: 7, RequestID: id, StreamAttempt: 1, Offset: 0, Text: "Hello"},
	} {
		table.chunk(chunk)
	}
	text, reply := state.snapshot(0)
	require.Equal(t, "Hello world", string(text))
	require.Nil(t, reply)
}

func TestAnswerThatDoesNotContinueIsRestarted(t *testing.T) {
	writer := &answerWriter{base: 0, sent: 5, text: []byte("Hello")}
	rest, continues := writer.remaining([]byte("Hello world"))
	require.True(t, continues)
	require.Equal(t, " world", string(rest))
	_, continues = writer.remaining([]byte("Good day"))
	require.False(t, continues)
	resumed := &answerWriter{base: 6}
	rest, continues = resumed.remaining([]byte("Hello world"))
	require.True(t, continues)
	require.Equal(t, "world", string(rest))
}

func TestStoppedNodeLeavesNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	platform := httptest.NewServer(standin.NewPlatform().Handler())
	config := settings.Default()
	config.ID, config.CallerAddress, config.OperatorAddress = "a", "127.0.0.1:0", "127.0.0.1:0"
	config.PlatformAddress = platform.URL
	config.Nodes = []topology.Node{{ID: "a", Zone: "z", Address: "127.0.0.1:0"}}
	node, err := New(config, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, node.Run(ctx))
	platform.Close()
	http.DefaultClient.CloseIdleConnections()
}

// BenchmarkStreamedToken forwards one token from the dispatcher to a local caller.
func BenchmarkStreamedToken(b *testing.B) {
	callers := newCallerTable(1)
	streams := newStreamTable("a", callers, nil)
	attempt := shard.AttemptID{Attempt: 1}
	streams.open(attempt, 1)
	id, state := callers.add(0)
	streams.bind(core.BindStream{Attempt: attempt, Caller: core.CallerReference{Node: "a", Incarnation: 1, RequestID: id}})
	writer := &answerWriter{server: &Server{settings: settings.Default()}, response: discard{}, controller: http.NewResponseController(discard{})}
	b.ReportAllocs()
	for b.Loop() {
		streams.append(attempt, "word ")
		<-state.wake
		fresh, _ := state.snapshot(writer.sent)
		if writer.writeText(fresh) != nil {
			b.Fatal("not written")
		}
	}
}

// discard is a response writer that keeps nothing.
type discard struct{}

func (discard) Header() http.Header              { return http.Header{} }
func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) WriteHeader(int)                  {}
func (discard) Flush()                           {}
func (discard) SetWriteDeadline(time.Time) error { return nil }
