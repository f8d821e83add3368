package quorum

import (
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

const (
	// quorumLossDelay is how long a cell must be without a reachable quorum before turns go to
	// another region's cell. A replica restarts, and a lost connection is reopened, within it.
	quorumLossDelay = 300 * time.Millisecond
	// silenceThreshold is how long a connected replica may leave all requests without a reply
	// before it counts as unreachable. A replica that is only slow keeps replying, while the
	// connection to a machine that lost power is closed only after 1.5 s.
	silenceThreshold = 500 * time.Millisecond
	// relayReplyTTL is how long a replica counts as reachable after a relayed reply, so that a
	// gateway that is cut off from the replicas of its region keeps using them through relays.
	relayReplyTTL = 2 * time.Second
	// contactInterval is how often the replicas of a cell without a quorum are asked for a sign of life, while requests for it
	// are refused: without it nothing would be sent, and silence would not end.
	contactInterval = 250 * time.Millisecond
)

// quorumAvailability tracks whether a cell has a reachable quorum, and tolerates short losses. It
// does not read the clock.
type quorumAvailability struct {
	// belowQuorumSince is when the quorum was first seen to be unreachable; zero while it is
	// reachable.
	belowQuorumSince time.Time
	lost             bool
	// contactedAt is when the replicas were last asked for a sign of life while the quorum was lost.
	contactedAt time.Time
}

// isContactDue reports whether the replicas are to be asked for a sign of life now, and records that they are.
func (q *quorumAvailability) isContactDue(now time.Time) bool {
	if !q.lost || now.Sub(q.contactedAt) < contactInterval {
		return false
	}
	q.contactedAt = now
	return true
}

// observe records whether a quorum is reachable now. It returns whether the cell can serve requests
// and whether that has changed since the last call.
func (q *quorumAvailability) observe(now time.Time, hasQuorum bool) (available, changed bool) {
	switch {
	case hasQuorum:
		q.belowQuorumSince = time.Time{}
	case q.belowQuorumSince.IsZero():
		q.belowQuorumSince = now
	}
	lost := !hasQuorum && now.Sub(q.belowQuorumSince) >= quorumLossDelay
	changed = lost != q.lost
	q.lost = lost
	return !lost, changed
}

// Ready reports whether a quorum of the replica set is connected.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quorumSatisfies(func(r *replicaLink) bool { return r.up })
}

// isAvailable reports whether the cell can serve requests: a quorum is reachable, was reachable
// within quorumLossDelay, or has not been tried yet.
func (c *Client) isAvailable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observeAvailability(now)
}

// LostFor returns for how long the cell is known to have no quorum in reach of this gateway, directly or through others; 0
// if it has one. The replicas of such a cell are asked for a sign of life.
func (c *Client) LostFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observeAvailability(now) {
		return 0
	}
	if c.availability.isContactDue(now) {
		c.contactReplicas(now)
	}
	return now.Sub(c.availability.belowQuorumSince)
}

// contactReplicas sends each replica the set, which it confirms. The caller holds the lock.
func (c *Client) contactReplicas(now time.Time) {
	request := ledger.Request{Epoch: c.set.Epoch, Adopt: &ledger.Adopt{Set: c.set}}
	for _, replica := range c.replicas {
		c.transmit(now, replica, request)
	}
}

// observeAvailability determines whether the cell can serve requests, and logs a change. The caller holds the lock.
func (c *Client) observeAvailability(now time.Time) bool {
	hasQuorum := c.quorumReachableLocked(now)
	available, changed := c.availability.observe(now, hasQuorum)
	if changed {
		c.log.Warn().Str("event", "quorum_reach_changed").Int("cell", c.cell).Bool("lost", !available).Uint64("epoch", c.set.Epoch).Int("voters", len(c.set.Voters)).Msg("")
	}
	return available
}

// quorumReachable reports whether a quorum is reachable now or has not been tried yet.
func (c *Client) quorumReachable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quorumReachableLocked(now)
}

// quorumReachableLocked is like quorumReachable. The caller holds the lock.
func (c *Client) quorumReachableLocked(now time.Time) bool {
	return c.quorumSatisfies(func(r *replicaLink) bool {
		return r.up && !r.silent(now) || r.opening(now) || now.Sub(r.lastRelayReplyAt) < relayReplyTTL
	})
}

// quorumSatisfies reports whether a quorum of the voters satisfies a condition. The caller holds
// the lock.
func (c *Client) quorumSatisfies(condition func(*replicaLink) bool) bool {
	count := 0
	for _, replica := range c.replicas {
		if c.set.Has(replica.node.Disk) && condition(replica) {
			count++
		}
	}
	return len(c.set.Voters) > 0 && count >= c.set.Quorum()
}

// silent reports whether the replica has not replied to requests for longer than silenceThreshold.
func (r *replicaLink) silent(now time.Time) bool {
	return r.silence.Exceeds(silenceThreshold, now)
}
