package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// containmentInterval is how often a gateway checks whether it has missed messages of the other gateways, and
	// drops expired records.
	containmentInterval = 200 * time.Millisecond
	// readRecordsTimeout bounds one attempt to read the records.
	readRecordsTimeout = 250 * time.Millisecond
	// maxCheckAge is the age of the last check above which this process was suspended: a check and an attempt to
	// read the records take less.
	maxCheckAge = 600 * time.Millisecond
	// restoreRetryInterval is the first pause between attempts of a starting gateway to read the records,
	// maxRestoreRetryInterval the longest.
	restoreRetryInterval    = 50 * time.Millisecond
	maxRestoreRetryInterval = time.Second
	// restoreLimit is how long it waits for them before it is ready without them, and the longest that a request
	// waits.
	restoreLimit = 1500 * time.Millisecond
	// recordsPollInterval is how often a request checks whether the records are current.
	recordsPollInterval = 5 * time.Millisecond
)

// RunContainment reads the records of requests that end instances when the gateway starts, and again after it
// was cut off from the other gateways or suspended, until the context ends.
func (s *Server) RunContainment(ctx context.Context) {
	c := s.containment
	if c == nil {
		return
	}
	var following conc.WaitGroup
	defer following.Wait()
	following.Go(func() { s.followRecords(ctx) })
	for pause := restoreRetryInterval; s.readQuarantine(ctx) != nil; pause = min(2*pause, maxRestoreRetryInterval) {
		s.observeKnowledge(time.Now())
		if !wait.For(ctx, pause) {
			return
		}
	}
	c.restored.Store(true)
	c.checkedAt.Store(int64(time.Since(s.started)))
	for missedMessages := false; wait.For(ctx, containmentInterval); {
		s.observeKnowledge(time.Now())
		s.adoptRuns(time.Now())
		missedMessages = s.checkRecords(ctx, missedMessages)
		c.checkedAt.Store(int64(time.Since(s.started)))
	}
}

// checkRecords drops expired records, and reads those of the replicas if messages of the other gateways may have been
// missed. It reports whether some may still be missing.
func (s *Server) checkRecords(ctx context.Context, missedMessages bool) bool {
	now := time.Now()
	s.containment.expire(now)
	gossip := s.gossip.Load()
	cutOff := gossip != nil && gossip.PeersTimedOut(now)
	if !s.areRecordsCurrent() {
		s.recordSuspension(now)
		// Requests wait for this. Reports that came during a suspension are not read yet, so the other gateways seem to
		// be out of reach.
		return s.readQuarantineWithin(ctx, restoreLimit) != nil || cutOff
	}
	if cutOff {
		return true
	}
	return missedMessages && s.readQuarantine(ctx) != nil
}

// readQuarantineWithin reads the records, and tries again for the given time.
func (s *Server) readQuarantineWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := s.readQuarantine(ctx)
		if err == nil || !wait.For(ctx, restoreRetryInterval) {
			return err
		}
	}
}

// areRecordsCurrent reports whether this gateway has read the records since it started, and was not suspended
// since its last check.
func (s *Server) areRecordsCurrent() bool {
	if !s.isContainmentRestored() {
		return false
	}
	checkedAt := time.Duration(s.containment.checkedAt.Load())
	return checkedAt == 0 || time.Since(s.started)-checkedAt <= maxCheckAge
}

// recordSuspension records that this process continues after it was suspended.
func (s *Server) recordSuspension(now time.Time) {
	continuedAt := now.Sub(s.started)
	s.containment.suspendedUntil.Store(int64(continuedAt))
	missed := continuedAt - time.Duration(s.containment.checkedAt.Load())
	s.log.Warn().Str("event", "checks_missed").Int64("missed_ms", missed.Milliseconds()).Msg("")
}

// observedFor returns how long this gateway has watched, without a suspension, for what may follow an event. The time
// after a suspension counts, and while it is not known whether there was one, none does.
func (s *Server) observedFor(now, event time.Time) time.Duration {
	if !s.areRecordsCurrent() {
		return 0
	}
	continuedAt := s.started.Add(time.Duration(s.containment.suspendedUntil.Load()))
	if continuedAt.After(event) {
		return now.Sub(continuedAt)
	}
	return now.Sub(event)
}

// awaitRecords waits until the records are current. A gateway that was suspended would otherwise send requests
// under which instances have ended in the meantime.
func (s *Server) awaitRecords(ctx context.Context) {
	if s.containment == nil || s.areRecordsCurrent() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restoreLimit)
	defer cancel()
	for !s.areRecordsCurrent() && wait.For(ctx, recordsPollInterval) {
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
	ctx, cancel := context.WithTimeout(ctx, readRecordsTimeout)
	defer cancel()
	records, err := s.replicas.ReadQuarantine(ctx)
	if err != nil {
		s.log.Warn().Str("event", "quarantine_unread").Err(err).Msg("")
		return err
	}
	s.mergeReadRecords(time.Now(), records)
	s.log.Info().Str("event", "quarantine_read").Int("records", len(records)).Int64("requests", s.containment.records.Load()).Msg("")
	return nil
}
