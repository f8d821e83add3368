package gateway

import (
	"context"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

// containmentInterval is how often a gateway checks whether it has lost contact to the other gateways, and
// drops expired records.
const containmentInterval = time.Second

// RunContainment reads the records of requests that end instances when the gateway starts, and again after it
// was cut off from the other gateways, until the context ends.
func (s *Server) RunContainment(ctx context.Context) {
	if s.containment == nil {
		return
	}
	for pause := restoreRetryInterval; s.readQuarantine(ctx) != nil; pause = min(2*pause, containmentInterval) {
		if !wait.For(ctx, pause) {
			return
		}
	}
	s.containment.restored.Store(true)
	missedMessages := false
	for wait.For(ctx, containmentInterval) {
		now := time.Now()
		s.containment.expire(now)
		gossip := s.gossip.Load()
		cutOff := gossip != nil && gossip.PeersTimedOut(now)
		if missedMessages && !cutOff {
			missedMessages = s.readQuarantine(ctx) != nil
			continue
		}
		missedMessages = missedMessages || cutOff
	}
}

// expire drops expired records.
func (c *containment) expire(now time.Time) {
	if c.records.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Expire(now)
	c.records.Store(int64(c.table.Size()))
}
