package gateway

import (
	"context"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

// The voters that store the records of requests send them to all gateways as they change, over connections that both
// sides check. Messages between gateways tell the same sooner, and reach other regions, but may be lost.
//
// So a gateway knows how old its knowledge is. What it may do with old knowledge:
//
//   - While a quorum of voters or other gateways are heard, it counts as complete.
//   - Otherwise only the ends under its own sends are known, and each gateway in the same state knows other ones. It
//     goes on serving, so that a fleet that is cut in two serves at both sides. A request is stopped after the first end, or
//     possible end, until the gateway hears the others again.

const (
	// maxKnowledgeAge is the age above which the voters' records may lack ends. They confirm that nothing has changed
	// once a second.
	maxKnowledgeAge = 2500 * time.Millisecond
	// votersName is the peer in logs of what the voters tell.
	votersName = "replicas"
	// uninformedLimit is the number of instances that may end under one request at a gateway that nobody tells of ends.
	uninformedLimit = 1
)

// followRecords receives the records of other gateways until the context ends.
func (s *Server) followRecords(ctx context.Context) {
	process := s.options.Node + "/" + strconv.FormatInt(s.started.UnixNano(), 36)
	follower := s.replicas.NewQuarantineFollower(process, s.recordsChanged)
	s.containment.follower.Store(follower)
	follower.Run(ctx)
}

// recordsChanged learns records from a voter; isFirst is set for those of the time before this gateway asked.
func (s *Server) recordsChanged(records []quarantine.Record, isFirst bool) {
	now := time.Now()
	if isFirst {
		s.mergeReadRecords(now, records)
		return
	}
	s.learnRecords(now, votersName, records)
}

// observeKnowledge determines whether this gateway is told of the ends at other gateways, and logs a change.
func (s *Server) observeKnowledge(now time.Time) {
	c := s.containment
	follower, gossip := c.follower.Load(), s.gossip.Load()
	if follower == nil || gossip == nil {
		return
	}
	age := now.Sub(s.started)
	if knownAt := follower.KnownAt(); !knownAt.IsZero() {
		age = now.Sub(knownAt)
	}
	s.metrics.knowledgeAge.Set(age.Seconds())
	outdated := age > maxKnowledgeAge
	uninformed := outdated && gossip.PeersTimedOut(now)
	wasOutdated, wasUninformed := c.outdated.Swap(outdated), c.uninformed.Swap(uninformed)
	if outdated != wasOutdated || uninformed != wasUninformed {
		s.log.Warn().Str("event", "ends_knowledge_changed").Bool("outdated", outdated).Bool("uninformed", uninformed).
			Int64("age_ms", age.Milliseconds()).Int("limit", c.currentLimit()).Msg("")
	}
}

// currentLimit returns the number of instances that may end under a request as far as this gateway knows of ends.
func (c *containment) currentLimit() int {
	if c.uninformed.Load() {
		return min(uninformedLimit, c.limit)
	}
	return c.limit
}

// observeLostGateways records when a gateway was lost that may have sent requests without a record.
func (c *containment) observeLostGateways() {
	follower := c.follower.Load()
	if follower == nil {
		return
	}
	lostAt := follower.GatewayLostAt()
	if lostAt.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.GatewayLost(lostAt)
}

// mergeReadRecords adds records that the voters had before this gateway asked.
func (s *Server) mergeReadRecords(now time.Time, records []quarantine.Record) {
	c := s.containment
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		c.table.MergeRead(now, record.Key, record.Runs...)
	}
	c.records.Store(int64(c.table.Size()))
}

// leave tells the voters that this gateway has ended all its requests.
func (s *Server) leave() {
	if s.containment == nil {
		return
	}
	if follower := s.containment.follower.Load(); follower != nil {
		follower.Leave()
	}
}
