package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/tcpend"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// maxAnswerBytes bounds what is read of one back end's answer.
	maxAnswerBytes = 16 << 20
	// maxStreamBytes bounds a stream, in which each token comes with its event.
	maxStreamBytes = 64 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 256 << 10
	// idleConnections is how many idle connections to one back end are kept.
	idleConnections = 64
)

// errAnswerTooLong is returned for a stream of more than maxAnswerBytes.
var errAnswerTooLong = errors.New("server: the stream is too long")

// backEndClient sends calls to back ends and reports what became of them.
type backEndClient struct {
	server *Server
	http   *http.Client

	mu      sync.Mutex
	running map[shard.AttemptID]runningAttempt
}

// runningAttempt is an attempt that waits for its back end.
type runningAttempt struct {
	cancel context.CancelFunc
	// abort is the URL that stops an engine's stream; empty for other back ends.
	abort string
}

func newBackEndClient(server *Server) *backEndClient {
	transport := &http.Transport{DialContext: tcpend.DialContext(&net.Dialer{}), MaxIdleConnsPerHost: idleConnections, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &backEndClient{
		server: server, http: &http.Client{Transport: newMatchingTransport(transport)},
		running: map[shard.AttemptID]runningAttempt{},
	}
}

func (c *backEndClient) close() { c.http.CloseIdleConnections() }

// start dispatches an attempt in a goroutine of its own.
func (c *backEndClient) start(action core.StartAttempt) {
	ctx, cancel := context.WithDeadline(c.server.context, action.Timeout)
	c.mu.Lock()
	c.running[action.Attempt] = runningAttempt{cancel: cancel, abort: abortAddress(action)}
	c.mu.Unlock()
	c.server.streams.open(action.Attempt, action.StreamAttempt)
	c.server.tasks.Go(func() {
		defer cancel()
		finished := c.run(ctx, action)
		finished.Attempt = action.Attempt
		c.server.streams.close(action.Attempt)
		c.mu.Lock()
		delete(c.running, action.Attempt)
		c.mu.Unlock()
		c.server.push(finished)
	})
}

// abortAddress is where an engine's stream is stopped.
func abortAddress(action core.StartAttempt) string {
	if action.Request.Kind != shard.EngineCall {
		return ""
	}
	return action.BackEnd.Address + "/v1/streams/" + url.PathEscape(streamName(action))
}

// cancel gives up an attempt.
func (c *backEndClient) cancel(action core.CancelAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, running := c.running[action.Attempt]
	if !running {
		return
	}
	known.cancel()
	if action.Abort && known.abort != "" {
		c.server.tasks.Go(func() { _ = c.control(http.MethodDelete, known.abort, nil) })
	}
}

func (c *backEndClient) run(ctx context.Context, action core.StartAttempt) core.AttemptFinished {
	if action.Request.Kind == shard.EngineCall {
		return c.runEngine(ctx, action)
	}
	return c.runApplication(ctx, action)
}

// sentMark notes whether any byte of a request may have left.
type sentMark struct{ sent atomic.Bool }

func (m *sentMark) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { m.sent.Store(true) },
	})
}

// failed turns a transport error into an outcome. Before the first byte left, the
// request truly did not run; after that nobody knows.
func (m *sentMark) failed(err error) core.AttemptFinished {
	outcome := shard.Outcome{
		Verdict: verdict.NotRun, Code: verdict.CodeBackEndFailed,
		Reason: "the back end could not be reached", RetryAfter: 2 * time.Second,
	}
	if m.sent.Load() {
		outcome.Verdict = verdict.MayHaveRun
		outcome.Reason = "the connection to the back end was cut"
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) || errors.Is(err, errAnswerTooLong) {
		outcome.Reason = "the back end's answer is too long"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		outcome.Code = verdict.CodeDeadline
		outcome.Reason = "the back end did not answer in time"
	}
	return core.AttemptFinished{Outcome: outcome, Retryable: true}
}

// onceReader hides the body's type from net/http. Without this the client could
// send a request a second time by itself when a kept connection was cut, for it
// takes a request with an idempotency key to be repeatable.
type onceReader struct{ io.Reader }

// runApplication sends a call to an application or a tool.
func (c *backEndClient) runApplication(ctx context.Context, action core.StartAttempt) core.AttemptFinished {
	mark := &sentMark{}
	address := action.BackEnd.Address + action.Request.Path
	request, err := http.NewRequestWithContext(mark.attach(ctx), http.MethodPost, address, onceReader{bytes.NewReader(action.Request.Body)})
	if err != nil {
		return mark.failed(err)
	}
	request.ContentLength = int64(len(action.Request.Body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", action.Request.IdempotencyKey)
	request.Header.Set(headerRequestID, streamName(action))
	response, err := c.http.Do(request)
	if err != nil {
		return mark.failed(err)
	}
	defer response.Body.Close()
	c.noteLoad(action.BackEnd.Name, response.Header)
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswerBytes))
	if err != nil {
		return mark.failed(err)
	}
	return applicationOutcome(response, body)
}

// applicationOutcome judges a complete answer. 429 and 503 are the back end's
// own word that it did not begin; 502 and 504 come from something in between.
func applicationOutcome(response *http.Response, body []byte) core.AttemptFinished {
	outcome := shard.Outcome{Verdict: verdict.Ran, Status: response.StatusCode, Body: body}
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		outcome = shard.Outcome{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Reason: "the back end refused the call", RetryAfter: 2 * time.Second}
		return core.AttemptFinished{Outcome: outcome, Retryable: true}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		outcome = shard.Outcome{Verdict: verdict.MayHaveRun, Code: verdict.CodeBackEndFailed, Reason: "the back end's answer was lost"}
		return core.AttemptFinished{Outcome: outcome, Retryable: true}
	}
	return core.AttemptFinished{Outcome: outcome}
}

// engineRequest is the body of an engine call.
type engineRequest struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	MaxTokens     int64             `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions streamOptions     `json:"stream_options"`
	Priority      int               `json:"priority"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// engineEvent is one server-sent event of an engine.
type engineEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// runEngine sends a call to an engine, or takes up its stream again, and reads
// the stream to its end.
func (c *backEndClient) runEngine(ctx context.Context, action core.StartAttempt) core.AttemptFinished {
	mark := &sentMark{}
	request, err := newEngineRequest(mark.attach(ctx), action)
	if err != nil {
		return mark.failed(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return mark.failed(err)
	}
	defer response.Body.Close()
	c.noteLoad(action.BackEnd.Name, response.Header)
	if response.StatusCode == http.StatusNotFound && action.Resume {
		return core.AttemptFinished{Retryable: true, Outcome: shard.Outcome{
			Verdict: verdict.MayHaveRun, Code: verdict.CodeBackEndFailed, Reason: "the engine no longer has the stream",
		}}
	}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		finished := applicationOutcome(response, body)
		if finished.Outcome.Verdict == verdict.Ran {
			finished.Outcome.Code = verdict.CodeBackEndFailed
			finished.Outcome.Reason = fmt.Sprintf("the engine answered with status %d", response.StatusCode)
		}
		return finished
	}
	return c.readStream(action, http.MaxBytesReader(nil, response.Body, maxStreamBytes), mark)
}

func newEngineRequest(ctx context.Context, action core.StartAttempt) (*http.Request, error) {
	if action.Resume {
		address := action.BackEnd.Address + "/v1/streams/" + url.PathEscape(streamName(action)) + "?offset=0"
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
		if err != nil {
			return nil, fmt.Errorf("server: resume request: %w", err)
		}
		request.Header.Set(headerRequestID, fmt.Sprintf("%s:%d", streamName(action), action.Attempt.Attempt))
		return request, nil
	}
	messages, err := joinMessages(action.History, action.Request)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(engineRequest{
		Model: action.Request.Model, Messages: messages, MaxTokens: action.Request.MaxTokens,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true}, Priority: action.Priority,
	})
	if err != nil {
		return nil, fmt.Errorf("server: encode engine request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, action.BackEnd.Address+"/v1/chat/completions", onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, fmt.Errorf("server: engine request: %w", err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, streamName(action))
	request.Header.Set("X-Session-Id", sessionName(action.Request.ID.Key))
	return request, nil
}

// streamName is the request id under which an engine knows the stream.
func streamName(action core.StartAttempt) string {
	id := action.Request.ID
	return fmt.Sprintf("%s:%d:%d", sessionName(id.Key), id.Sequence, action.StreamAttempt)
}

// sessionName is the name under which engines know a session.
func sessionName(key shard.SessionKey) string {
	return url.QueryEscape(key.Tenant) + ":" + url.QueryEscape(key.Session)
}

// parseSessionName is the inverse of sessionName.
func parseSessionName(name string) (shard.SessionKey, bool) {
	tenant, session, found := strings.Cut(name, ":")
	if !found {
		return shard.SessionKey{}, false
	}
	tenant, tenantErr := url.QueryUnescape(tenant)
	session, sessionErr := url.QueryUnescape(session)
	return shard.SessionKey{Tenant: tenant, Session: session}, tenantErr == nil && sessionErr == nil
}

// joinMessages builds the whole prompt: every finished turn, then the new messages.
func joinMessages(history []*shard.Call, request shard.Request) ([]json.RawMessage, error) {
	var messages []json.RawMessage
	for _, turn := range history {
		var asked []json.RawMessage
		if err := json.Unmarshal(turn.Request.Body, &asked); err != nil {
			return nil, fmt.Errorf("server: history of call %d: %w", turn.Request.ID.Sequence, err)
		}
		answer, err := json.Marshal(map[string]string{"role": "assistant", "content": string(turn.Outcome.Body)})
		if err != nil {
			return nil, fmt.Errorf("server: history of call %d: %w", turn.Request.ID.Sequence, err)
		}
		messages = append(append(messages, asked...), answer)
	}
	var asked []json.RawMessage
	if err := json.Unmarshal(request.Body, &asked); err != nil {
		return nil, fmt.Errorf("server: messages: %w", err)
	}
	return append(messages, asked...), nil
}

// readStream collects an engine's answer. Only a stream that ended with its
// finish reason and usage is a complete answer.
func (c *backEndClient) readStream(action core.StartAttempt, body io.Reader, mark *sentMark) core.AttemptFinished {
	var text bytes.Buffer
	var last engineEvent
	finished := false
	err := readEvents(body, func(data []byte) error {
		var event engineEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return fmt.Errorf("server: engine event: %w", err)
		}
		for _, choice := range event.Choices {
			if text.Len()+len(choice.Delta.Content) > maxAnswerBytes {
				return errAnswerTooLong
			}
			text.WriteString(choice.Delta.Content)
			if choice.Delta.Content != "" {
				c.server.streams.append(action.Attempt, choice.Delta.Content)
			}
			finished = finished || choice.FinishReason != ""
		}
		if event.Usage != nil {
			last = event
		}
		return nil
	})
	if err != nil || !finished || last.Usage == nil {
		return mark.failed(err)
	}
	return core.AttemptFinished{Outcome: shard.Outcome{
		Verdict: verdict.Ran, Status: http.StatusOK, Body: text.Bytes(),
		PromptTokens: last.Usage.PromptTokens, CompletionTokens: last.Usage.CompletionTokens,
		CachedTokens: last.Usage.Details.CachedTokens,
	}}
}
