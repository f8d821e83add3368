package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// The request headers of the callers' API; docs/API.md explains them.
const (
	HeaderSession       = "Swiftbank-Session"
	HeaderSequence      = "Swiftbank-Sequence"
	HeaderTemplate      = "Swiftbank-Template"
	HeaderProgram       = "Swiftbank-Program"
	HeaderParentProgram = "Swiftbank-Parent-Program"
	HeaderUnrepeatable  = "Swiftbank-Unrepeatable"
	HeaderDeadline      = "Swiftbank-Deadline-Ms"
	HeaderVerdict       = "Swiftbank-Verdict"
	HeaderAttempt       = "Swiftbank-Attempt"
	HeaderIdempotency   = "Idempotency-Key"
)

// maxNameBytes bounds names that callers choose.
const maxNameBytes = 128

// newCallerServer returns the HTTP server for callers, with the settings' limits.
func (s *Server) newCallerServer() *http.Server {
	limits := s.settings.Limits
	return &http.Server{
		Handler:           s.limitOpenCalls(s.callerHandler()),
		ReadHeaderTimeout: limits.HeaderTime,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
}

func (s *Server) callerHandler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", s.serveChat)
	router.POST("/v1/applications/:service/*path", s.serveApplication(shard.ApplicationCall))
	router.POST("/v1/tools/:service/*path", s.serveApplication(shard.ToolCall))
	router.GET("/v1/sessions/:session", s.serveSession)
	router.DELETE("/v1/sessions/:session", s.serveEnd)
	router.GET("/v1/sessions/:session/calls/:sequence", s.serveAnswer)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, verdict.Refuse(verdict.CodeNotFound, 0, "no such path; docs/API.md lists them"))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, verdict.Refuse(verdict.CodeMethodUnsupported, 0, "the path does not take this method"))
	})
	return router
}

// limitOpenCalls refuses calls beyond the limit at once.
func (s *Server) limitOpenCalls(next http.Handler) http.Handler {
	slots := make(chan struct{}, s.settings.Limits.OpenCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			s.writeError(w, verdict.Refuse(verdict.CodeTooManyStreams, time.Second, "this node has too many calls open"))
		}
	})
}

// authenticate returns the tenant whose API key the caller presents.
func (s *Server) authenticate(r *http.Request) (string, *verdict.Error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", verdict.Refuse(verdict.CodeUnauthorized, 0, "present the tenant's key as Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	var tenant string
	var known bool
	alive := s.query(func(n *core.Node) { tenant, known = n.Catalogue().TenantByKey(hex.EncodeToString(sum[:])) })
	if !alive {
		return "", verdict.Refuse(verdict.CodeUnavailable, time.Second, "the node is stopping")
	}
	if !known {
		return "", verdict.Refuse(verdict.CodeUnauthorized, 0, "the key belongs to no tenant")
	}
	return tenant, nil
}

// readRequest reads what all calls have in common.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (shard.Request, *verdict.Error) {
	tenant, refusal := s.authenticate(r)
	if refusal != nil {
		return shard.Request{}, refusal
	}
	request, refusal := s.readFields(r, tenant)
	if refusal != nil {
		return request, refusal
	}
	var err error
	if request.Body, err = s.readBody(w, r); err != nil {
		return request, s.bodyError(err)
	}
	return request, nil
}

// readFields reads the headers of a call.
func (s *Server) readFields(r *http.Request, tenant string) (shard.Request, *verdict.Error) {
	request := shard.Request{
		ID:             shard.CallID{Key: shard.SessionKey{Tenant: tenant, Session: r.Header.Get(HeaderSession)}},
		Program:        r.Header.Get(HeaderProgram),
		ParentProgram:  r.Header.Get(HeaderParentProgram),
		Template:       r.Header.Get(HeaderTemplate),
		IdempotencyKey: r.Header.Get(HeaderIdempotency),
		Unrepeatable:   r.Header.Get(HeaderUnrepeatable) == "true",
	}
	for _, name := range []string{HeaderSession, HeaderTemplate, HeaderIdempotency} {
		if value := r.Header.Get(name); value == "" || len(value) > maxNameBytes {
			return request, verdict.Refuse(verdict.CodeBadRequest, 0, "header %s must have 1 to %d bytes", name, maxNameBytes)
		}
	}
	var err error
	if request.ID.Sequence, err = strconv.ParseUint(r.Header.Get(HeaderSequence), 10, 32); err != nil || request.ID.Sequence == 0 {
		return request, verdict.Refuse(verdict.CodeBadRequest, 0, "header %s must be the call's number in its session, from 1", HeaderSequence)
	}
	if value := r.Header.Get(HeaderDeadline); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 32)
		if err != nil || milliseconds <= 0 {
			return request, verdict.Refuse(verdict.CodeBadRequest, 0, "header %s must be a positive number of milliseconds", HeaderDeadline)
		}
		request.Deadline = time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	}
	return request, nil
}

// readBody reads the body within the settings' time and size. The time limit is
// lifted afterwards, since it would end a long answer too.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(s.settings.Limits.ReadTime)); err != nil {
		return nil, fmt.Errorf("server: read deadline: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.Limits.BodyBytes))
	if err != nil {
		return nil, fmt.Errorf("server: read body: %w", err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("server: read deadline: %w", err)
	}
	return body, nil
}

func (s *Server) bodyError(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.Refuse(verdict.CodeTooLarge, 0, "the body is over %d bytes", tooLarge.Limit)
	}
	return verdict.Refuse(verdict.CodeBadRequest, 0, "the body could not be read")
}

// chatBody is the part of an OpenAI-style request that the product reads.
type chatBody struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           int64             `json:"max_tokens"`
	MaxCompletionTokens int64             `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
}

// chatMessage is what is checked of each message.
type chatMessage struct {
	Role string `json:"role"`
}

// serveChat handles an engine call. The body holds only the session's new
// messages; the node puts the history before them.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	request, refusal := s.readRequest(w, r)
	if refusal != nil {
		s.writeError(w, refusal)
		return
	}
	body, refusal := parseChat(request.Body)
	if refusal != nil {
		s.writeError(w, refusal)
		return
	}
	request.Kind = shard.EngineCall
	request.Model = body.Model
	request.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	request.Body, _ = json.Marshal(body.Messages)
	// No token is shorter than a byte, so this is the worst case of the prompt.
	request.BodyTokens = int64(len(request.Body))
	s.runCall(w, r, request, body.Stream)
}

func parseChat(content []byte) (chatBody, *verdict.Error) {
	var body chatBody
	if err := json.Unmarshal(content, &body); err != nil {
		return body, verdict.Refuse(verdict.CodeBadRequest, 0, "the body is not valid JSON of the expected shape: %s", err)
	}
	if len(body.Messages) == 0 {
		return body, verdict.Refuse(verdict.CodeBadRequest, 0, "messages is missing or empty")
	}
	for place, content := range body.Messages {
		var message chatMessage
		if err := json.Unmarshal(content, &message); err != nil || message.Role == "" {
			return body, verdict.Refuse(verdict.CodeBadRequest, 0, "messages[%d] is no message with a role", place)
		}
	}
	if body.MaxTokens < 0 || body.MaxCompletionTokens < 0 {
		return body, verdict.Refuse(verdict.CodeBadRequest, 0, "max_tokens must not be negative")
	}
	return body, nil
}

// serveApplication handles a call to an application or a tool.
func (s *Server) serveApplication(kind shard.CallKind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
		request, refusal := s.readRequest(w, r)
		if refusal != nil {
			s.writeError(w, refusal)
			return
		}
		request.Kind = kind
		request.Service = parameters.ByName("service")
		request.Path = parameters.ByName("path")
		s.runCall(w, r, request, false)
	}
}

func (s *Server) runCall(w http.ResponseWriter, r *http.Request, request shard.Request, stream bool) {
	started := time.Now()
	requestID, state := s.callers.add(0)
	defer s.callers.remove(requestID)
	s.push(core.CallReceived{RequestID: requestID, Request: request, Stream: stream})
	s.answer(w, r, requestID, state, stream)
	s.metrics.latency.Observe(time.Since(started).Seconds())
}

// serveAnswer returns the answer of a call by its number, or streams it from an offset.
func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
	key, refusal := s.sessionKey(r, parameters)
	if refusal != nil {
		s.writeError(w, refusal)
		return
	}
	sequence, err := strconv.ParseUint(parameters.ByName("sequence"), 10, 32)
	if err != nil {
		s.writeError(w, verdict.Refuse(verdict.CodeBadRequest, 0, "the call's number is not a number"))
		return
	}
	query := r.URL.Query()
	stream := query.Get("stream") == "true"
	offset, refusal := readOffset(r)
	if refusal != nil {
		s.writeError(w, refusal)
		return
	}
	requestID, state := s.callers.add(offset)
	defer s.callers.remove(requestID)
	s.push(core.AnswerWanted{
		RequestID: requestID, ID: shard.CallID{Key: key, Sequence: sequence},
		Stream: stream, Offset: offset, Wait: query.Get("wait") == "true",
	})
	s.answer(w, r, requestID, state, stream)
}

// readOffset reads where a resumed stream begins: the offset parameter, or the
// id of the last event that the caller saw.
func readOffset(r *http.Request) (int64, *verdict.Error) {
	text := r.URL.Query().Get("offset")
	if text == "" {
		text = r.Header.Get("Last-Event-ID")
	}
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.ParseInt(text, 10, 64)
	if err != nil || offset < 0 {
		return 0, verdict.Refuse(verdict.CodeBadRequest, 0, "the offset must be a number of bytes, from 0")
	}
	return offset, nil
}

func (s *Server) sessionKey(r *http.Request, parameters httprouter.Params) (shard.SessionKey, *verdict.Error) {
	tenant, refusal := s.authenticate(r)
	if refusal != nil {
		return shard.SessionKey{}, refusal
	}
	return shard.SessionKey{Tenant: tenant, Session: parameters.ByName("session")}, nil
}

func (s *Server) serveSession(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
	s.askAboutSession(w, r, parameters, func(requestID uint64, key shard.SessionKey) core.Event {
		return core.SessionWanted{RequestID: requestID, Key: key}
	})
}

func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
	s.askAboutSession(w, r, parameters, func(requestID uint64, key shard.SessionKey) core.Event {
		return core.EndWanted{RequestID: requestID, Key: key}
	})
}

// askAboutSession hands the core an event about the session in the path and
// answers with its reply.
func (s *Server) askAboutSession(w http.ResponseWriter, r *http.Request, parameters httprouter.Params, event func(uint64, shard.SessionKey) core.Event) {
	key, refusal := s.sessionKey(r, parameters)
	if refusal != nil {
		s.writeError(w, refusal)
		return
	}
	requestID, state := s.callers.add(0)
	defer s.callers.remove(requestID)
	s.push(event(requestID, key))
	s.answer(w, r, requestID, state, false)
}

// answer waits for the reply and writes it, as a stream when asked to.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, requestID uint64, state *callerState, stream bool) {
	writer := &answerWriter{server: s, response: w, controller: http.NewResponseController(w), base: state.base}
	for {
		fresh, reply := state.snapshot(writer.sent)
		if stream && len(fresh) > 0 && writer.writeText(fresh) != nil {
			s.push(core.CallerGone{RequestID: requestID})
			return
		}
		if reply != nil {
			writer.finish(reply, stream)
			return
		}
		select {
		case <-state.wake:
		case <-r.Context().Done():
			s.push(core.CallerGone{RequestID: requestID})
			return
		case <-s.context.Done():
			writer.finish(&core.Reply{Error: verdict.OutcomeUnknown(verdict.CodeUnavailable, "the node stopped; ask another node for the answer by its number")}, stream)
			return
		}
	}
}
