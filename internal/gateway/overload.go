package gateway

import (
	"context"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/wait"
)

// queues holds the requests that wait for a slot, by service. It is safe for concurrent use.
type queues struct {
	mu        sync.Mutex
	byService map[string]*overload.Queue
}

func newQueues() *queues { return &queues{byService: map[string]*overload.Queue{}} }

// queue returns a service's queue. The caller must hold the lock.
func (q *queues) queue(service string) *overload.Queue {
	queue := q.byService[service]
	if queue == nil {
		queue = overload.NewQueue()
		q.byService[service] = queue
	}
	return queue
}

// admits reports whether a request may poll instances now.
func (q *queues) admits(service string, request overload.Request, capacity overload.Capacity) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue(service).Admits(request, capacity)
}

// decide returns whether a request that no instance accepted waits or is rejected.
func (q *queues) decide(now time.Time, service string, request overload.Request, capacity overload.Capacity) overload.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue(service).Decide(now, request, capacity)
}

// recordAccepted records that an instance accepted the request.
func (q *queues) recordAccepted(r *request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue(r.service.Name).Accepted(time.Now(), r.id)
}

// remove removes the request from its queue, for whatever reason.
func (q *queues) remove(r *request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue(r.service.Name).Remove(r.id)
}

// waitForSlot pauses before the request polls instances again; polled reports whether it could ask any. It returns false
// if the request is refused or its caller has disconnected.
func (s *Server) waitForSlot(ctx context.Context, r *request, polled bool) bool {
	if r.isHeld() {
		return s.awaitNextDecision(ctx, r)
	}
	now := time.Now()
	capacity := s.capacity(now, r)
	waiting := s.overloadRequest(r)
	waiting.NotPolled = !polled
	decision := s.overload.decide(now, r.service.Name, waiting, capacity)
	s.logDecision(now, r, decision, capacity)
	r.polls++
	if decision.Verdict == overload.Reject {
		r.retryAfter = decision.RetryAfter
		return false
	}
	return wait.For(ctx, decision.Pause)
}

// admits reports whether the request may poll instances now.
func (s *Server) admits(r *request) bool {
	return !r.firstOfProgram || s.overload.admits(r.service.Name, s.overloadRequest(r), s.capacity(time.Now(), r)) && s.admitProgram(r)
}

// capacity returns the estimated capacity of the request's service.
func (s *Server) capacity(now time.Time, r *request) overload.Capacity {
	return overload.Capacity(s.directory.Capacity(now, r.service.Name))
}

// overloadRequest returns the properties of a request that the overload decision needs.
func (s *Server) overloadRequest(r *request) overload.Request {
	request := overload.Request{
		ID:               r.id,
		FirstOfProgram:   r.firstOfProgram && r.route.Objective > 0,
		LaterOfProgram:   !r.firstOfProgram && (r.header.Get(s.dialect.Program) != "" || r.header.Get(s.dialect.LastEvent) != ""),
		Arrived:          r.arrived,
		Deadline:         r.deadline,
		StartBy:          r.arrived.Add(r.route.Objective),
		LatencyObjective: r.route.Objective,
		RouteRank:        r.table.RelativePriority(r.route, r.service.Name),
	}
	if r.tenant != nil {
		request.TenantRank = r.tenant.Priority + excessRank(s.tenantExcess(r))
	}
	return request
}

// logDecision logs the first decision on a request and each refusal, with their inputs; the polls
// in between differ in their time only.
func (s *Server) logDecision(now time.Time, r *request, decision overload.Decision, capacity overload.Capacity) {
	if r.polls > 0 && decision.Verdict == overload.Wait {
		return
	}
	s.log.Info().Str("event", "overload").Str("id", r.id).Str("service", r.service.Name).Str("verdict", decision.Verdict.String()).
		Int("slots", capacity.Slots).Int("busy", capacity.Busy).Dur("usual", capacity.Usual).Dur("recent_first", capacity.RecentFirst).
		Int("waiting", decision.Waiting).Int("rank", decision.Rank).Int("looks", r.polls).
		Float64("chance", decision.Probability).Dur("expected", decision.ExpectedWait).Dur("left", decision.TimeLeft).
		Dur("retry_after", decision.RetryAfter).Int64("age_ms", now.Sub(r.arrived).Milliseconds()).
		Int64("list_age_ms", s.instanceListAge().Milliseconds()).Float64("excess", r.outcome.tenantExcess).Msg("")
}
