//go:build review2

package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Result is what a caller saw of one attempt.
type Result struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Err    error
}

// IsServed reports whether the caller got a success whole, signed by an engine.
func (r Result) IsServed() bool {
	return r.Err == nil && r.Status == http.StatusOK && r.Header.Get("X-Server-Signature") != ""
}

// Events returns the number of events of a stream.
func (r Result) Events() int { return strings.Count(r.Body, "\n\n") }

func (r Result) String() string {
	if r.Err != nil && r.Status == 0 {
		return "no answer (" + r.Err.Error() + ")"
	}
	text := fmt.Sprintf("%d signature %q, %d bytes", r.Status, r.Header.Get("X-Server-Signature"), len(r.Body))
	if r.Err != nil {
		text += " (cut off)"
	}
	return text
}

// Turn is one turn of a program.
type Turn struct {
	Path, Program, Previous, Body string
	Budget, MaxTokens             int
}

// NewID returns a new request or program id.
func (r *Rig) NewID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, r.nextID)
}

// Turn sends a turn over a new connection.
func (r *Rig) Turn(gateway *Process, turn Turn) Result {
	if turn.MaxTokens == 0 {
		turn.MaxTokens = 4 * TokensPerEvent
	}
	header := http.Header{
		"X-Program-Id": {turn.Program}, "X-Session-Id": {"s" + turn.Program}, "X-Program-Deadline-Ms": {"90000"}, "X-Model": {"m"},
		"X-Token-Budget": {fmt.Sprint(turn.Budget)}, "X-Token-Count": {fmt.Sprintf("100,%d", turn.MaxTokens)}, "X-Prompt-Prefix": {"5c1e07a2:64," + turn.Program + ":36"},
	}
	if turn.Previous != "" {
		header.Set("X-Previous-Turn", turn.Previous)
	}
	return r.Send(gateway, http.MethodPost, AgentHost, turn.Path, header, turn.Body, 4*time.Second)
}

// Send sends a request over a new connection, and waits for the answer until the deadline and half a second more.
func (r *Rig) Send(gateway *Process, method, host, path string, header http.Header, body string, deadline time.Duration) Result {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return r.SendOver(client, gateway, method, host, path, header, body, deadline)
}

// SendOver sends a request with the client.
func (r *Rig) SendOver(client *http.Client, gateway *Process, method, host, path string, header http.Header, body string, deadline time.Duration) Result {
	result := Result{ID: r.NewID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.Callers+path, strings.NewReader(body))
	if err != nil {
		result.Err = err
		return result
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", result.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		result.Err = err
		return result
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	result.Status, result.Header, result.Body, result.Err = response.StatusCode, response.Header, string(content), err
	return result
}
