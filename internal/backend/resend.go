package backend

import (
	"errors"
	"time"
)

// errNoResend is returned when a request may not be sent again because every idle connection has carried it.
var errNoResend = errors.New("every idle connection to the instance has carried the request")

const (
	// resendRefillTime is the time in which a gateway may replace all of its idle connections to an instance so that
	// refused requests can be sent again.
	resendRefillTime = time.Second
	// minResends is the least number of connections in that time. It also applies to services that do not limit idle
	// connections.
	minResends = 8
)

// resendBudget is a token bucket that limits the connections opened to one instance for requests that it refused. A
// new connection serves one further try of each waiting request, so the limit does not depend on their number.
type resendBudget struct {
	available float64
	updatedAt time.Time
}

// refill adds what has become available since the last call. The budget holds at most limit connections.
func (b *resendBudget) refill(now time.Time, limit float64) {
	if b.updatedAt.IsZero() {
		b.available = limit
	}
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	b.available = min(limit, b.available+limit*elapsed/resendRefillTime.Seconds())
	b.updatedAt = now
}

// CanResend reports whether a request that an instance of the service refused can be sent to it again, on a new
// connection if that is required.
func (p *Pool) CanResend(instance, service, requestID string, newConnection bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !newConnection && lastUsable(p.idle[instance], now, hashOf(requestID)) >= 0 {
		return true
	}
	budget := p.resends[instance]
	if budget == nil {
		return true
	}
	limit := p.resendLimit(service)
	budget.refill(now, limit)
	if budget.available >= limit { // as without an entry
		delete(p.resends, instance)
		return true
	}
	return budget.available >= 1
}

// takeResend takes a connection for a refused request from the instance's budget and reports whether there was one.
func (p *Pool) takeResend(instance Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := p.resends[instance.ID]
	if budget == nil {
		budget = &resendBudget{}
		p.resends[instance.ID] = budget
	}
	budget.refill(time.Now(), p.resendLimit(instance.Service))
	if budget.available < 1 {
		return false
	}
	budget.available--
	return true
}

// resendLimit returns the size of the budget for each instance of a service. The caller must hold the lock.
func (p *Pool) resendLimit(service string) float64 {
	return float64(max(minResends, p.idleLimit[service]))
}
