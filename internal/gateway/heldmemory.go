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
	// requestOverheadBytes is the memory of a request besides its body and its answer: its
	// goroutines' stacks, and the buffers of its two connections.
	requestOverheadBytes = 32 << 10
	// bodyCopies is the number of copies of a request's body in memory: as received and as sent.
	bodyCopies = 2
	// defaultUnreadTimeout is how long a caller may leave written data unread, and how long it may
	// take to send a body, before its connection is closed. It is longer than networks stall, and
	// longer than instances wait for a reader.
	defaultUnreadTimeout = 30 * time.Second
)

// heldMemory accounts for the bytes that the gateway holds for its callers. It is safe for
// concurrent use.
type heldMemory struct {
	mu     sync.Mutex
	budget *memorybudget.Budget
}

// newHeldMemory returns the account of a gateway that may hold the given number of bytes, or
// nil, which bounds nothing, for 0.
func newHeldMemory(bytes int64) *heldMemory {
	if bytes <= 0 {
		return nil
	}
	return &heldMemory{budget: memorybudget.New(memorybudget.LimitsOf(bytes))}
}

// held returns the number of bytes held, for the metrics.
func (m *heldMemory) held() float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.budget.Held())
}

// holding is the memory of one request; nil where memory is not bounded.
type holding struct {
	memory *heldMemory
	held   *memorybudget.Reservation
}

// grow adds bytes to the holding unless that exceeds a bound, which it then returns.
func (h *holding) grow(bytes int) memorybudget.Bound {
	if h == nil {
		return memorybudget.WithinLimits
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.held.Grow(int64(bytes))
}

// release returns the holding's bytes to the budget.
func (h *holding) release() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.held.Release()
}

// memoryError reports that the bytes of a request exceed a bound on memory.
type memoryError struct{ bound memorybudget.Bound }

func (e *memoryError) Error() string {
	return "the memory for callers is used up, bound: " + e.bound.String()
}

// accountingReader accounts for each byte read from its source copies times.
type accountingReader struct {
	source io.Reader
	held   *holding
	copies int
}

func (r accountingReader) Read(buffer []byte) (int, error) {
	read, err := r.source.Read(buffer)
	if bound := r.held.grow(read * r.copies); bound != memorybudget.WithinLimits {
		return 0, &memoryError{bound: bound}
	}
	return read, err
}

// boundsMemory reports whether the request's memory is bounded: where load control applies to
// any service that the request may go to.
func (s *Server) boundsMemory(r *request) bool {
	controlled := func(target route.Target) bool { return r.table.StreamAttempts(target.Service) > 1 }
	return s.held != nil && (s.options.LoadControl || slices.ContainsFunc(r.route.Targets, controlled))
}

// holdRequestMemory accounts for the request's overhead and header, or refuses the request.
func (s *Server) holdRequestMemory(r *request, headerBytes int) *refusal {
	if !s.boundsMemory(r) {
		return nil
	}
	s.held.mu.Lock()
	held, bound := s.held.budget.Reserve(r.tenantName(), requestOverheadBytes+int64(headerBytes))
	s.held.mu.Unlock()
	if bound != memorybudget.WithinLimits {
		return s.refuseForMemory(r, bound)
	}
	r.held = &holding{memory: s.held, held: held}
	return nil
}

// readBody reads a request's body of up to limit bytes, as far as there is memory for it. After
// a failure the read deadline stays in place: the server still reads the rest of the body.
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
		return nil, &refusal{status: http.StatusBadRequest, code: verdict.CodeBadRequest, reason: "the body is incomplete"}
	}
}

// refuseForMemory refuses a request that has not run because memory is exhausted. Another gateway
// may have memory left.
func (s *Server) refuseForMemory(r *request, bound memorybudget.Bound) *refusal {
	s.logMemoryBound(r, bound, false)
	return refuseFor(verdict.CodeOverloaded, otherGatewayRetry, "the gateway has no memory left for the request")
}

// logMemoryBound logs and counts which memory bound ended a request; ran reports whether the
// request may have run.
func (s *Server) logMemoryBound(r *request, bound memorybudget.Bound, ran bool) {
	s.metrics.memoryBound.WithLabelValues(bound.String()).Inc()
	s.log.Warn().Str("event", "memory_bound").Str("id", r.id).Str("tenant", r.tenantName()).Str("bound", bound.String()).
		Bool("ran", ran).Float64("held_bytes", s.held.held()).Int64("in_flight", s.inFlight.Load()).Msg("")
}

// extendWriteDeadline gives the caller unreadTimeout to read what is written next. Without a
// deadline a caller that reads nothing would hold its request, and the connection to its
// instance, forever.
func (s *Server) extendWriteDeadline(w http.ResponseWriter, r *request) {
	s.logDeadlineError(r, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.unreadTimeout)))
}

// setReadDeadline bounds how long a caller may take to send a body; the zero time removes the
// deadline.
func (s *Server) setReadDeadline(w http.ResponseWriter, r *request, deadline time.Time) {
	s.logDeadlineError(r, http.NewResponseController(w).SetReadDeadline(deadline))
}

// logDeadlineError logs that a deadline could not be set on a caller's connection.
func (s *Server) logDeadlineError(r *request, err error) {
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.log.Warn().Str("event", "caller_unlimited").Str("id", r.id).Err(err).Msg("")
	}
}
