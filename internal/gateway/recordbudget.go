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
	// refusedRate and refusedBurst are the same for instances that refused a request that was not answered.
	refusedRate, refusedBurst = 8.0, 16.0
)

// recordBudget is a token bucket for records that are not of an end. When many connections break at once, a service
// answers many requests with errors, or all instances are full, most have none. The zero value allows nothing.
type recordBudget struct {
	// rate is the records a second of all gateways, burst those of one at once.
	rate, burst float64

	mu        sync.Mutex
	used      float64
	updatedAt time.Time
}

// take takes the budget of some records, which a fleet of the given number of gateways shares. It reports whether there
// was enough.
func (b *recordBudget) take(now time.Time, gateways, records int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	b.used = max(0, b.used-elapsed*b.rate/float64(max(1, gateways)))
	b.updatedAt = now
	if b.used+float64(records) > b.burst {
		return false
	}
	b.used += float64(records)
	return true
}
