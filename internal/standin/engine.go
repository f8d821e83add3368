package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// bytesPerToken approximates a tokenizer.
const bytesPerToken = 4

// EngineOptions configure an engine's speed and capacity.
type EngineOptions struct {
	Slots int
	// PrefillTokensPerSecond is the prefill rate for uncached prompt tokens.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int64
}

// Engine is a stand-in for a model engine with an OpenAI-style interface.
type Engine struct {
	options EngineOptions
	tasks   conc.WaitGroup

	mu      sync.Mutex
	running int
	waiting int
	slots   chan struct{}
	streams map[string]*engineStream
	cache   map[string]int64
	// recent lists the cached sessions from least to most recently used.
	recent []string
	// runs counts the generations started, by request id.
	runs map[string]int
}

// engineStream is one generation. It outlives the connection that started it.
type engineStream struct {
	mu     sync.Mutex
	text   string
	done   bool
	cancel chan struct{}
	wake   chan struct{}

	promptTokens, cachedTokens, completionTokens int64
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options, slots: make(chan struct{}, options.Slots),
		streams: map[string]*engineStream{}, cache: map[string]int64{}, runs: map[string]int{},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.serveChat)
	router.GET("/v1/streams/:id", e.serveResume)
	router.DELETE("/v1/streams/:id", e.serveCancel)
	router.GET("/load", e.serveLoad)
	router.GET("/holds", e.serveHolds)
	router.DELETE("/holds", e.serveRelease)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		repeatID(w, r)
		router.ServeHTTP(w, r)
	})
}

// repeatID repeats the request's id in its answer, which lets callers keep the connection.
func repeatID(w http.ResponseWriter, r *http.Request) {
	const header = "X-Request-Id"
	w.Header().Set(header, r.Header.Get(header))
}

// Runs returns the number of generations started, by request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := map[string]int{}
	for id, count := range e.runs {
		copied[id] = count
	}
	return copied
}

// CachedSessions returns the sessions in the prefix cache, sorted by name.
func (e *Engine) CachedSessions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := slices.Clone(e.recent)
	slices.Sort(held)
	return held
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	session := r.Header.Get("X-Session-Id")
	e.mu.Lock()
	stream := e.streams[id]
	if stream == nil || id == "" {
		stream = &engineStream{cancel: make(chan struct{}), wake: make(chan struct{})}
		e.streams[id] = stream
		e.runs[id]++
		e.tasks.Go(func() { e.generate(stream, request, session) })
	}
	e.mu.Unlock()
	e.writeStream(w, r, stream, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
	e.mu.Lock()
	stream := e.streams[parameters.ByName("id")]
	e.mu.Unlock()
	if stream == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.writeStream(w, r, stream, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, _ *http.Request, parameters httprouter.Params) {
	e.mu.Lock()
	stream := e.streams[parameters.ByName("id")]
	e.mu.Unlock()
	if stream != nil {
		stream.stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *engineStream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.cancel:
	default:
		close(s.cancel)
	}
}

// generate simulates a generation: it waits for a slot, prefills the prompt and emits
// tokens.
func (e *Engine) generate(stream *engineStream, request chatRequest, session string) {
	e.adjust(&e.waiting, 1)
	e.slots <- struct{}{}
	e.adjust(&e.waiting, -1)
	e.adjust(&e.running, 1)
	defer func() {
		<-e.slots
		e.adjust(&e.running, -1)
	}()
	prompt := int64(0)
	digest := fnv.New64a()
	for _, message := range request.Messages {
		prompt += int64(len(message.Content))/bytesPerToken + 1
		digest.Write(message.Content)
	}
	cached := e.lookup(session, prompt)
	prefill := time.Duration(float64(prompt-cached) / e.options.PrefillTokensPerSecond * float64(time.Second))
	stream.mu.Lock()
	stream.promptTokens, stream.cachedTokens = prompt, cached
	stream.mu.Unlock()
	if !stream.pause(prefill) {
		return
	}
	seed := digest.Sum64()
	length := min(request.MaxTokens, int64(8+seed%40))
	for i := range length {
		if !stream.pause(e.options.TokenInterval) {
			return
		}
		stream.push(fmt.Sprintf("word%d ", (seed+uint64(i)*7919)%997))
	}
	e.store(session, prompt+length)
	stream.finish()
}

func (e *Engine) adjust(counter *int, change int) {
	e.mu.Lock()
	*counter += change
	e.mu.Unlock()
}

// pause waits for d and returns false if the stream was cancelled.
func (s *engineStream) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.cancel:
		s.finish()
		return false
	}
}

func (s *engineStream) push(token string) {
	s.mu.Lock()
	s.text += token
	s.completionTokens++
	close(s.wake)
	s.wake = make(chan struct{})
	s.mu.Unlock()
}

func (s *engineStream) finish() {
	s.mu.Lock()
	s.done = true
	close(s.wake)
	s.wake = make(chan struct{})
	s.mu.Unlock()
}

func (e *Engine) lookup(session string, prompt int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(e.cache[session], prompt)
}

// store caches a session's prefix and evicts the least recently used sessions while the
// cache exceeds its capacity.
func (e *Engine) store(session string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(session)
	e.cache[session] = tokens
	e.recent = append(e.recent, session)
	total := int64(0)
	for _, held := range e.cache {
		total += held
	}
	for total > e.options.CacheTokens && len(e.recent) > 1 {
		oldest := e.recent[0]
		total -= e.cache[oldest]
		e.forget(oldest)
	}
}

func (e *Engine) forget(session string) {
	delete(e.cache, session)
	e.recent = slices.DeleteFunc(e.recent, func(held string) bool { return held == session })
}

// writeStream sends a generation as server-sent events from a byte offset.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, stream *engineStream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if encoded, err := json.Marshal(e.load()); err == nil {
		w.Header().Set("X-Load", string(encoded))
	}
	flusher, _ := w.(http.Flusher)
	for {
		stream.mu.Lock()
		text, done, wake := stream.text, stream.done, stream.wake
		usage := fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
			stream.promptTokens, stream.completionTokens, stream.cachedTokens)
		stream.mu.Unlock()
		if offset < len(text) {
			encoded, _ := json.Marshal(text[offset:])
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", encoded)
			offset = len(text)
		}
		if done {
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n", usage)
			return
		}
		flusher.Flush()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, e.load())
}

// load returns the load report of the engine.
func (e *Engine) load() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := int64(0)
	for _, held := range e.cache {
		total += held
	}
	return map[string]int64{"running": int64(e.running), "waiting": int64(e.waiting), "cachedTokens": total}
}

func (e *Engine) serveHolds(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, e.CachedSessions())
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	e.forget(r.URL.Query().Get("session"))
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readableName replaces slashes, which are path separators, in a name.
func readableName(name string) string { return strings.ReplaceAll(name, "/", "-") }
