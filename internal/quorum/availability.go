package quorum

import "time"

const (
	// quorumLostAfter is how long too few replicas of a cell must be connected before turns
	// go to another region's: a restart of a replica is over, or a lost connection made anew,
	// within it.
	quorumLostAfter = 300 * time.Millisecond
	// silentAfter is how long a connected replica may leave all requests without any reply
	// before it counts as out of reach. One that is merely slow goes on replying; a connection to
	// a machine without power is closed only after 1.5 s.
	silentAfter = 500 * time.Millisecond
	// relayedLife is how long a replica counts as connected after a relayed answer: a gateway
	// that is cut off from its region's replicas goes on using them through relays.
	relayedLife = 2 * time.Second
)

// quorumReach tracks whether enough replicas of a cell are in reach. It is a pure value
// without a clock.
type quorumReach struct {
	// missingSince is when too few were first seen in reach; zero while enough are.
	missingSince time.Time
	lost         bool
}

// observe takes what is in reach now. It reports whether the cell may serve, and whether
// that has changed.
func (q *quorumReach) observe(now time.Time, enough bool) (serves, changed bool) {
	switch {
	case enough:
		q.missingSince = time.Time{}
	case q.missingSince.IsZero():
		q.missingSince = now
	}
	lost := !enough && now.Sub(q.missingSince) >= quorumLostAfter
	changed = lost != q.lost
	q.lost = lost
	return !lost, changed
}

// Ready reports whether a quorum of the replica set is connected.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quorumOf(func(r *replicaLink) bool { return r.up })
}

// serves reports whether the cell may serve: a quorum is in reach, was so moments ago, or was
// not tried.
func (c *Client) serves(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	enough := c.reachesLocked(now)
	serves, changed := c.reach.observe(now, enough)
	if changed {
		c.log.Warn().Str("event", "quorum_reach_changed").Int("cell", c.cell).Bool("lost", !serves).Uint64("epoch", c.set.Epoch).Msg("")
	}
	return serves
}

// reaches reports whether a quorum is in reach at this moment, or was not tried.
func (c *Client) reaches(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachesLocked(now)
}

// reachesLocked is reaches for callers that hold the lock.
func (c *Client) reachesLocked(now time.Time) bool {
	return c.quorumOf(func(r *replicaLink) bool {
		return r.up && !r.silent(now) || r.opening(now) || now.Sub(r.relayedAt) < relayedLife
	})
}

// quorumOf reports whether a quorum of voters meets a condition. The caller holds the lock.
func (c *Client) quorumOf(met func(*replicaLink) bool) bool {
	count := 0
	for _, replica := range c.replicas {
		if c.set.Has(replica.node.Disk) && met(replica) {
			count++
		}
	}
	return len(c.set.Voters) > 0 && count >= c.set.Quorum()
}

// silent reports whether the replica has left requests without any reply for long.
func (r *replicaLink) silent(now time.Time) bool {
	return r.silence.Exceeds(silentAfter, now)
}
