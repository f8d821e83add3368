package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// answerWriter writes one caller's answer, whole or as a stream.
type answerWriter struct {
	server     *Server
	response   http.ResponseWriter
	controller *http.ResponseController
	// base is the offset at which the caller asked the stream to begin.
	base int64
	// sent counts the bytes of text written after base.
	sent    int
	text    []byte
	started bool
}

// deltaEvent is one event of a streamed answer, in OpenAI's format.
type deltaEvent struct {
	Object  string        `json:"object"`
	Choices []deltaChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type deltaChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	TotalTokens      int64        `json:"total_tokens"`
	PromptDetails    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func usageOf(outcome *shard.Outcome) *usage {
	return &usage{
		PromptTokens: outcome.PromptTokens, CompletionTokens: outcome.CompletionTokens,
		TotalTokens:   outcome.PromptTokens + outcome.CompletionTokens,
		PromptDetails: usageDetails{CachedTokens: outcome.CachedTokens},
	}
}

// writeText streams a piece of text. An error means that the caller is gone or too slow.
func (a *answerWriter) writeText(fresh []byte) error {
	a.start()
	a.text = append(a.text, fresh...)
	a.sent += len(fresh)
	return a.event(deltaEvent{
		Object:  "chat.completion.chunk",
		Choices: []deltaChoice{{Delta: delta{Content: string(fresh)}}},
	})
}

func (a *answerWriter) start() {
	if a.started {
		return
	}
	a.started = true
	a.response.Header().Set("Content-Type", "text/event-stream")
	a.response.Header().Set("Cache-Control", "no-store")
}

// event writes one server-sent event. Its id is the offset after it, from which
// the caller can resume.
func (a *answerWriter) event(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("server: encode event: %w", err)
	}
	a.extendDeadline()
	if _, err := fmt.Fprintf(a.response, "id: %d\ndata: %s\n\n", a.base+int64(a.sent), encoded); err != nil {
		return fmt.Errorf("server: write event: %w", err)
	}
	if err := a.controller.Flush(); err != nil {
		return fmt.Errorf("server: flush event: %w", err)
	}
	return nil
}

// extendDeadline gives a slow reader a bounded time for each piece.
func (a *answerWriter) extendDeadline() {
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.server.settings.Limits.WriteTime))
}

// finish writes the final reply.
func (a *answerWriter) finish(reply *core.Reply, stream bool) {
	a.extendDeadline()
	failure := reply.Error
	if reply.Call != nil && !reply.Call.Outcome.Succeeded() {
		failure = failureOf(reply.Call.Outcome)
	}
	switch {
	case failure != nil && a.started:
		a.server.countCall(failure.Verdict, failure.Code)
		_ = a.event(detailOf(failure))
	case failure != nil:
		a.server.writeError(a.response, failure)
	case reply.Session != nil:
		a.writeJSON(sessionView(reply.Session))
	case reply.Call != nil:
		a.server.countCall(verdict.Ran, "")
		a.writeCall(reply.Call, stream)
	default:
		a.response.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) countCall(v verdict.Verdict, code verdict.Code) {
	s.metrics.calls.WithLabelValues(v.String(), string(code)).Inc()
}

func failureOf(outcome *shard.Outcome) *verdict.Error {
	return &verdict.Error{Verdict: outcome.Verdict, Code: outcome.Code, Reason: outcome.Reason, RetryAfter: outcome.RetryAfter}
}

func (a *answerWriter) writeCall(call *shard.Call, stream bool) {
	if call.Request.Kind != shard.EngineCall {
		a.writeRaw(call)
		return
	}
	if stream {
		a.finishStream(call)
		return
	}
	finish := "stop"
	a.response.Header().Set(HeaderVerdict, verdict.Ran.String())
	a.response.Header().Set(HeaderAttempt, fmt.Sprint(call.Attempt))
	a.writeJSON(completion{
		ID: call.Request.ID.Key.Session, Object: "chat.completion", Model: call.Request.Model,
		Choices: []completionChoice{{
			Message: completionMessage{Role: "assistant", Content: string(call.Outcome.Body)}, FinishReason: finish,
		}},
		Usage: usageOf(call.Outcome),
	})
}

// completion is a whole answer in OpenAI's format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writeRaw writes the answer of an application or tool as it came.
func (a *answerWriter) writeRaw(call *shard.Call) {
	header := a.response.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderVerdict, verdict.Ran.String())
	header.Set(HeaderAttempt, fmt.Sprint(call.Attempt))
	a.response.WriteHeader(call.Outcome.Status)
	_, _ = a.response.Write(call.Outcome.Body)
}

// restartEvent tells a streaming caller that what it has is not the beginning of
// the answer, since another attempt had to generate it anew: drop it and begin
// again with the text that follows.
type restartEvent struct {
	Restart bool `json:"swiftbank_restart"`
}

// finishStream writes what is missing of the answer, then usage and the end mark.
func (a *answerWriter) finishStream(call *shard.Call) {
	a.start()
	answer := call.Outcome.Body
	rest, continues := a.remaining(answer)
	if !continues {
		a.base, a.sent, a.text = 0, 0, nil
		if a.event(restartEvent{Restart: true}) != nil {
			return
		}
		rest = answer
	}
	if len(rest) > 0 && a.writeText(rest) != nil {
		return
	}
	finish := "stop"
	if a.event(deltaEvent{
		Object:  "chat.completion.chunk",
		Choices: []deltaChoice{{FinishReason: &finish}}, Usage: usageOf(call.Outcome),
	}) != nil {
		return
	}
	_, _ = fmt.Fprint(a.response, "data: [DONE]\n\n")
	_ = a.controller.Flush()
}

// remaining returns what follows the text already written, and whether that text
// is truly part of the answer.
func (a *answerWriter) remaining(answer []byte) ([]byte, bool) {
	end := a.base + int64(a.sent)
	if end > int64(len(answer)) || string(answer[a.base:end]) != string(a.text) {
		return nil, false
	}
	return answer[end:], true
}

func (a *answerWriter) writeJSON(value any) {
	a.response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.response).Encode(value)
}

// SessionView is a session's record as callers see it.
type SessionView struct {
	Session       string     `json:"session"`
	Template      string     `json:"template"`
	Program       string     `json:"program,omitempty"`
	ParentProgram string     `json:"parent_program,omitempty"`
	StartedAt     time.Time  `json:"started_at"`
	LastActiveAt  time.Time  `json:"last_active_at"`
	Ended         bool       `json:"ended"`
	HistoryTokens int64      `json:"history_tokens"`
	ServedTokens  int64      `json:"served_tokens"`
	Calls         []CallView `json:"calls"`
}

// CallView is one call of a session's record.
type CallView struct {
	Sequence         uint64       `json:"sequence"`
	IdempotencyKey   string       `json:"idempotency_key"`
	Kind             string       `json:"kind"`
	Service          string       `json:"service"`
	Attempt          int          `json:"attempt"`
	BackEnd          string       `json:"back_end"`
	Explanation      string       `json:"explanation"`
	BegunAt          time.Time    `json:"begun_at"`
	FinishedAt       *time.Time   `json:"finished_at,omitempty"`
	Verdict          string       `json:"verdict,omitempty"`
	Code             verdict.Code `json:"code,omitempty"`
	PromptTokens     int64        `json:"prompt_tokens,omitempty"`
	CachedTokens     int64        `json:"cached_tokens,omitempty"`
	CompletionTokens int64        `json:"completion_tokens,omitempty"`
}

func sessionView(session *shard.Session) SessionView {
	view := SessionView{
		Session: session.Key.Session, Template: session.Template, Program: session.Program,
		ParentProgram: session.ParentProgram, StartedAt: session.StartedAt, LastActiveAt: session.LastActiveAt,
		Ended: session.Ended, HistoryTokens: session.HistoryTokens, ServedTokens: session.ServedTokens,
		Calls: []CallView{},
	}
	for _, call := range session.Calls {
		view.Calls = append(view.Calls, callView(call))
	}
	return view
}

func callView(call *shard.Call) CallView {
	view := CallView{
		Sequence: call.Request.ID.Sequence, IdempotencyKey: call.Request.IdempotencyKey,
		Kind: call.Request.Kind.String(), Service: call.Request.Service, Attempt: call.Attempt,
		BackEnd: call.BackEnd, Explanation: call.Explanation, BegunAt: call.BegunAt,
	}
	if outcome := call.Outcome; outcome != nil {
		view.FinishedAt = &outcome.FinishedAt
		view.Verdict = outcome.Verdict.String()
		view.Code = outcome.Code
		view.PromptTokens = outcome.PromptTokens
		view.CachedTokens = outcome.CachedTokens
		view.CompletionTokens = outcome.CompletionTokens
	}
	return view
}
