package gateway

import (
	"context"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// containmentInterval is how often a gateway checks whether it has lost contact to the other gateways, and
	// drops expired records.
	containmentInterval = time.Second
	// restoreRetryInterval is the first pause between attempts of a starting gateway to read the records.
	restoreRetryInterval = 50 * time.Millisecond
	// restoreLimit is how long it waits for them before it is ready without them.
	restoreLimit = 1500 * time.Millisecond
)

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

// isContainmentRestored reports whether the gateway knows the records of the time before it started, or has
// waited for them for restoreLimit.
func (s *Server) isContainmentRestored() bool {
	c := s.containment
	return c == nil || c.restored.Load() || s.instancesKnown.Load() && s.sinceInstancesKnown() > restoreLimit
}

// sinceInstancesKnown returns the time since the first list of instances was received.
func (s *Server) sinceInstancesKnown() time.Duration {
	return time.Since(s.started) - time.Duration(s.instancesKnownAt.Load())
}

// readQuarantine reads the records of the replicas.
func (s *Server) readQuarantine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, restoreLimit)
	defer cancel()
	records, err := s.replicas.ReadQuarantine(ctx)
	if err != nil {
		s.log.Warn().Str("event", "quarantine_unread").Err(err).Msg("")
		return err
	}
	now := time.Now()
	for _, record := range records {
		s.containment.merge(now, record.Key, record.Runs...)
	}
	s.log.Info().Str("event", "quarantine_read").Int("records", len(records)).Int64("requests", s.containment.records.Load()).Msg("")
	return nil
}
