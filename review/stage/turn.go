//go:build review2

package stage

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answerLimit is how long a client waits for an answer.
const answerLimit = 4 * time.Second

// Turn is a turn of a program.
type Turn struct {
	ID, Program, Previous, Path string
	Input                       []byte
	MaxTokens, Budget           int
}

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	// Events is the number of events, also of a stream that was broken off.
	Events int
	Err    error
}

// IsWhole reports whether the answer is a success that was read to its end.
func (a Answer) IsWhole() bool { return a.Status == http.StatusOK && a.Err == nil }

// String describes the answer without its body.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("%d, %d events, then %v", a.Status, a.Events, a.Err)
	}
	return fmt.Sprintf("%d, %d events", a.Status, a.Events)
}

// SendTurn sends a turn to a gateway on a connection of its own, and reads the answer.
func SendTurn(gateway *Process, turn Turn) Answer {
	header := map[string]string{
		"X-Request-Id": turn.ID, "X-Program-Id": turn.Program, "X-Session-Id": "s-" + turn.Program, "X-Program-Deadline-Ms": "20000",
		"X-Token-Budget": fmt.Sprint(turn.Budget), "X-Token-Count": fmt.Sprintf("%d,%d", max(1, len(turn.Input)/4), turn.MaxTokens), "X-Model": "m",
	}
	if turn.Previous != "" {
		header["X-Previous-Turn"] = turn.Previous
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return Send(client, gateway, "agents.test", turn.Path, header, turn.Input)
}

// Send sends a request to a gateway and reads the answer.
func Send(client *http.Client, gateway *Process, host, path string, header map[string]string, body []byte) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.Caller+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(answerLimit.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(content), Events: bytes.Count(content, []byte("data:")), Err: err}
}
