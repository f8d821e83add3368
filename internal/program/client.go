package program

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/httpanswer"
	"swiftbank.dev/swiftbank/internal/server"
	"swiftbank.dev/swiftbank/internal/tcpend"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// Call is one request of a caller.
type Call struct {
	APIKey         string // API key of the tenant
	Session        string
	Sequence       int
	IdempotencyKey string
	Template       string
	Program        string
	ParentProgram  string
	Unrepeatable   bool
	Stream         bool
	// Path is the path on the node, for example /v1/chat/completions.
	Path string
	Body []byte
}

// Response is the outcome of one attempt at a call.
type Response struct {
	Status  int
	Verdict verdict.Verdict
	Code    verdict.Code
	// RetryAfter is the delay that the node requests before a retry.
	RetryAfter time.Duration
	// Text is the completion of an engine call, and the body of any other call.
	Text string
	// PromptTokens, CachedTokens and CompletionTokens are set for engine calls.
	PromptTokens, CachedTokens, CompletionTokens int64
	// FirstByte is the time from sending the request to the first event of a stream, or to
	// the end of a response that is not streamed.
	FirstByte time.Duration
	Attempt   int
}

// Succeeded reports whether the complete response arrived.
func (a *Response) Succeeded() bool { return a.Verdict == verdict.Ran && a.Code == "" }

// maxAnswerBytes is the maximum size of an answer.
const maxAnswerBytes = 16 << 20

// Client sends calls to nodes in round-robin order. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
	next      atomic.Uint64
}

// NewClient returns a client for the given node addresses ("host:port").
func NewClient(addresses []string) *Client {
	transport := &http.Transport{DialContext: tcpend.DialContext(&net.Dialer{}), MaxIdleConnsPerHost: 256}
	return &Client{addresses: addresses, http: &http.Client{Transport: httpanswer.NewTransport(transport)}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// address returns the address of the next node.
func (c *Client) address() string {
	return c.addresses[int(c.next.Add(1))%len(c.addresses)]
}

// Send makes one attempt at a call. It returns an error if no complete response arrived.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+call.APIKey)
	header.Set(server.HeaderSession, call.Session)
	header.Set(server.HeaderSequence, strconv.Itoa(call.Sequence))
	header.Set(server.HeaderIdempotency, call.IdempotencyKey)
	header.Set(server.HeaderTemplate, call.Template)
	header.Set(server.HeaderProgram, call.Program)
	header.Set(server.HeaderParentProgram, call.ParentProgram)
	header.Set(server.HeaderUnrepeatable, strconv.FormatBool(call.Unrepeatable))
	started := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	defer response.Body.Close()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(response, started)
	}
	return readResponse(response, started, call)
}

// EndSession ends a session of the tenant with the API key.
func (c *Client) EndSession(ctx context.Context, key, session string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+c.address()+"/v1/sessions/"+session, nil)
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("caller: end session: status %d", response.StatusCode)
	}
	return nil
}

// responseBody is the union of the fields of a complete response, of a stream event and of
// an error.
type responseBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Restart bool `json:"swiftbank_restart"`
	Error   *struct {
		Code         verdict.Code `json:"code"`
		Verdict      string       `json:"verdict"`
		RetryAfterMs int64        `json:"retry_after_ms"`
	} `json:"error"`
}

func (a *Response) setError(body *responseBody) {
	a.Code = body.Error.Code
	a.Verdict = verdict.MayHaveRun
	if body.Error.Verdict == verdict.NotRun.String() {
		a.Verdict = verdict.NotRun
	}
	a.RetryAfter = time.Duration(body.Error.RetryAfterMs) * time.Millisecond
}

func (a *Response) setUsage(body *responseBody) {
	if body.Usage != nil {
		a.PromptTokens = body.Usage.PromptTokens
		a.CachedTokens = body.Usage.Details.CachedTokens
		a.CompletionTokens = body.Usage.CompletionTokens
	}
}

func readResponse(response *http.Response, started time.Time, call Call) (*Response, error) {
	content, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("caller: read response: %w", err)
	}
	answer := &Response{Status: response.StatusCode, FirstByte: time.Since(started), Text: string(content)}
	answer.Attempt, _ = strconv.Atoi(response.Header.Get(server.HeaderAttempt))
	if response.Header.Get(server.HeaderVerdict) == verdict.Ran.String() {
		answer.Verdict = verdict.Ran
	}
	var body responseBody
	if json.Unmarshal(content, &body) != nil {
		return answer, nil
	}
	if answer.Verdict != verdict.Ran && body.Error != nil {
		answer.setError(&body)
		return answer, nil
	}
	answer.setUsage(&body)
	if strings.HasPrefix(call.Path, "/v1/chat/") && len(body.Choices) == 1 {
		answer.Text = body.Choices[0].Message.Content
	}
	return answer, nil
}

func readStream(response *http.Response, started time.Time) (*Response, error) {
	answer := &Response{Status: response.StatusCode, Verdict: verdict.MayHaveRun, Code: verdict.CodeOutcomeUnknown}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxTraceLine)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if answer.FirstByte == 0 {
			answer.FirstByte = time.Since(started)
		}
		if data == "[DONE]" {
			answer.Verdict, answer.Code = verdict.Ran, ""
			return answer, nil
		}
		var body responseBody
		if err := json.Unmarshal([]byte(data), &body); err != nil {
			return nil, fmt.Errorf("caller: stream event: %w", err)
		}
		if body.Error != nil {
			answer.setError(&body)
			return answer, nil
		}
		if body.Restart {
			answer.Text = ""
		}
		answer.setUsage(&body)
		for _, choice := range body.Choices {
			answer.Text += choice.Delta.Content
		}
	}
	return nil, fmt.Errorf("caller: stream ended before [DONE]: %w", io.ErrUnexpectedEOF)
}
