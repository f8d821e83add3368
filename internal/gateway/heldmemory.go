package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/memorybudget"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// requestOverheadBytes is what a request holds besides its body and its answer: its goroutines'
	// stacks, and the buffers of its two connections.
	requestOverheadBytes = 32 << 10
	// bodyCopies is how often a request's body is held: as it came, and as it is sent.
	bodyCopies = 2
	// defaultUnreadTimeout is how long a caller may leave what is written to it unread, and how long it may
	// take for a body, before its connection is closed: longer than networks stall, and than
	// instances wait for a reader.
	defaultUnreadTimeout = 30 * time.Second
)

// heldMemory counts the bytes that the gateway holds for its callers. It is safe for concurrent
// use.
type heldMemory struct {
	mu     sync.Mutex
	budget *memorybudget.Budget
}

// newHeldMemory returns the count of a gateway that may hold so many bytes; nil, which bounds
// nothing, for 0.
func newHeldMemory(bytes int64) *heldMemory {
	if bytes <= 0 {
		return nil
	}
	return &heldMemory{budget: memorybudget.New(memorybudget.LimitsOf(bytes))}
}

// held returns how many bytes are held, for the metrics.
func (m *heldMemory) held() float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.budget.Held())
}

// holding is what one request holds; nil where nothing is bounded.
type holding struct {
	memory *heldMemory
	held   *memorybudget.Holding
}

// grow counts further bytes, unless they do not fit.
func (h *holding) grow(bytes int) memorybudget.Bound {
	if h == nil {
		return memorybudget.Within
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.held.Grow(int64(bytes))
}

func (h *holding) release() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.held.Release()
}

// memoryError says that the bytes of a request do not fit.
type memoryError struct{ bound memorybudget.Bound }

func (e *memoryError) Error() string {
	return "the memory for callers is used up, bound: " + e.bound.String()
}

// accountingReader counts each byte that is read from a source copies times.
type accountingReader struct {
	source io.Reader
	held   *holding
	copies int
}

func (r accountingReader) Read(buffer []byte) (int, error) {
	read, err := r.source.Read(buffer)
	if bound := r.held.grow(read * r.copies); bound != memorybudget.Within {
		return 0, &memoryError{bound: bound}
	}
	return read, err
}

// boundsMemory reports whether what is held for the request is bounded: where load control
// decides about any service that it may go to.
func (s *Server) boundsMemory(r *request) bool {
	controlled := func(target route.Target) bool { return r.table.StreamAttempts(target.Service) > 1 }
	return s.held != nil && (s.options.LoadControl || slices.ContainsFunc(r.route.Targets, controlled))
}

// holdRequestMemory counts a request that begins with its header, or refuses it.
func (s *Server) holdRequestMemory(r *request, headerBytes int) *refusal {
	if !s.boundsMemory(r) {
		return nil
	}
	s.held.mu.Lock()
	held, bound := s.held.budget.Begin(r.tenantName(), requestOverheadBytes+int64(headerBytes))
	s.held.mu.Unlock()
	if bound != memorybudget.Within {
		return s.refuseForMemory(r, bound)
	}
	r.held = &holding{memory: s.held, held: held}
	return nil
}

// readBody reads a request's body of up to limit bytes, as far as there is memory for it. After
// a failure the limit of time stays: the server reads what is left of the body.
func (s *Server) readBody(w http.ResponseWriter, r *request, incoming *http.Request, limit int64) ([]byte, *refusal) {
	s.setReadDeadline(w, r, time.Now().Add(s.unreadTimeout))
	source := http.MaxBytesReader(w, incoming.Body, limit)
	body, err := io.ReadAll(accountingReader{source: source, held: r.held, copies: bodyCopies})
	var tooLarge *http.MaxBytesError
	var outOfMemory *memoryError
	switch {
	case err == nil:
		s.setReadDeadline(w, r, time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, code: verdict.CodeTooLarge, reason: "the body is larger than allowed"}
	case errors.As(err, &outOfMemory):
		return nil, s.refuseForMemory(r, outOfMemory.bound)
	default:
		return nil, &refusal{status: http.StatusBadRequest, code: verdict.CodeBadRequest, reason: "the body ended early"}
	}
}

// refuseForMemory refuses a request that has not run for lack of memory: another gateway may have
// some.
func (s *Server) refuseForMemory(r *request, bound memorybudget.Bound) *refusal {
	s.logMemoryBound(r, bound, false)
	return refuseFor(verdict.CodeOverloaded, otherGatewayRetry, "the gateway has no memory left for the request")
}

// logMemoryBound writes which bound of memory ended a request; ran says whether it may have run.
func (s *Server) logMemoryBound(r *request, bound memorybudget.Bound, ran bool) {
	s.metrics.memoryBound.WithLabelValues(bound.String()).Inc()
	s.log.Warn().Str("event", "memory_bound").Str("id", r.id).Str("tenant", r.tenantName()).Str("bound", bound.String()).
		Bool("ran", ran).Float64("held_bytes", s.held.held()).Int64("in_flight", s.inFlight.Load()).Msg("")
}

// extendWriteDeadline gives a caller time to read what is written next. Without a limit a caller that
// reads nothing would hold its request, and the connection to its instance, for good.
func (s *Server) extendWriteDeadline(w http.ResponseWriter, r *request) {
	s.logDeadlineError(r, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.unreadTimeout)))
}

// setReadDeadline bounds how long a caller may take for a body; zero lifts the limit.
func (s *Server) setReadDeadline(w http.ResponseWriter, r *request, deadline time.Time) {
	s.logDeadlineError(r, http.NewResponseController(w).SetReadDeadline(deadline))
}

// logDeadlineError writes that a caller's connection took no limit of time.
func (s *Server) logDeadlineError(r *request, err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.log.Warn().Str("event", "caller_unlimited").Str("id", r.id).Err(err).Msg("")
	}
}
