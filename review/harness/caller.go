//go:build review

package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller received.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Events returns the number of whole events in the answer.
func (a Answer) Events() int { return strings.Count(a.Body, "\n\n") }

// Turn is a turn of a program.
type Turn struct {
	Path, Program, Previous, Input string
	Budget, MaxTokens              int
}

// SendTurn sends one attempt of a turn.
func (f *Fleet) SendTurn(gateway *Member, turn Turn) Answer {
	header := http.Header{
		"X-Program-Id": {turn.Program}, "X-Session-Id": {"s-" + turn.Program}, "X-Program-Deadline-Ms": {"60000"},
		"X-Token-Budget": {fmt.Sprint(turn.Budget)}, "X-Token-Count": {fmt.Sprintf("100,%d", turn.MaxTokens)},
	}
	if turn.Previous != "" {
		header.Set("X-Previous-Turn", turn.Previous)
	}
	return f.Post(gateway, AgentHost, turn.Path, header, turn.Input)
}

// Post sends one attempt of a request on a new connection and reads the whole answer.
func (f *Fleet) Post(gateway *Member, host, path string, header http.Header, body string) Answer {
	return f.PostAs(f.NewID(), gateway, host, path, header, body)
}

// PostAs sends one attempt under the given request id.
func (f *Fleet) PostAs(id string, gateway *Member, host, path string, header http.Header, body string) Answer {
	const callerDeadline = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	answer := Answer{ID: id}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.Address+path, strings.NewReader(body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", answer.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	f.Record.Line("caller sends %s to %s%s at %s", answer.ID, host, path, gateway.Name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
		f.Record.Line("caller gets no answer to %s: %v", answer.ID, err)
		return answer
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	answer.Status, answer.Header, answer.Body, answer.Err = response.StatusCode, response.Header, string(content), err
	f.Record.Line("caller gets %d to %s, signature %q, %d bytes, error %v", answer.Status, answer.ID, answer.Header.Get("X-Server-Signature"), len(content), err)
	return answer
}
