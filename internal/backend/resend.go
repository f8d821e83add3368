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

// CanResend reports whether a request that the instance refused can be sent to it again, on a new connection if that is
// required.
func (p *Pool) CanResend(instance Instance, requestID string, newConnection bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !newConnection && lastUsable(p.idle[instance.ID], now, hashOf(requestID)) >= 0 {
		return true
	}
	return p.refilledBudget(now, instance).available >= 1
}

// takeResend takes a connection for a refused request from the instance's budget and reports whether there was one.
func (p *Pool) takeResend(instance Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := p.refilledBudget(time.Now(), instance)
	if budget.available < 1 {
		return false
	}
	budget.available--
	return true
}

// refilledBudget returns the instance's budget as of now. The caller must hold the lock.
func (p *Pool) refilledBudget(now time.Time, instance Instance) *resendBudget {
	budget := p.resends[instance.ID]
	if budget == nil {
		budget = &resendBudget{}
		p.resends[instance.ID] = budget
	}
	budget.refill(now, float64(max(minResends, p.idleLimit[instance.Service])))
	return budget
}
