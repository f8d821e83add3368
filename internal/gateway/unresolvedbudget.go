package gateway

import (
	"sync"
	"time"
)

const (
	// unresolvedRate is how many lost runs of unknown outcome all gateways together record per second. Each is sent
	// to all of them, in about 100 bytes.
	unresolvedRate = 50.0
	// unresolvedBurst is how many one gateway may record at once: the requests that run on a few instances.
	unresolvedBurst = 64.0
)

// unresolvedBudget is a token bucket for records of lost runs whose outcome is not known. When many connections break at
// once, or a service answers many requests with errors, most are only watched. The zero value is a full one.
type unresolvedBudget struct {
	mu        sync.Mutex
	used      float64
	updatedAt time.Time
}

// take takes the budget of one record, which a fleet of the given number of gateways shares. It reports whether there
// was one.
func (b *unresolvedBudget) take(now time.Time, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	b.used = max(0, b.used-elapsed*unresolvedRate/float64(max(1, gateways)))
	b.updatedAt = now
	if b.used+1 > unresolvedBurst {
		return false
	}
	b.used++
	return true
}
