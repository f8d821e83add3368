package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
)

const (
	// endedRetention is how long the record of an ended session can be asked for.
	endedRetention = 15 * time.Minute
	// tombstoneRetention is how long late copies of its calls are still recognised.
	tombstoneRetention = time.Hour
	// purgeInterval is how often a leader looks for sessions to forget.
	purgeInterval = time.Minute
)

// purgeEnded forgets the sessions that ended long ago, in all replicas.
func (n *Node) purgeEnded(now time.Time, g *group) {
	if now.Sub(g.purgedAt) < purgeInterval {
		return
	}
	g.purgedAt = now
	if g.state.Purgeable(now.Add(-endedRetention)) {
		n.propose(now, g, shard.Purge{EndedBefore: now.Add(-endedRetention), TombstonesBefore: now.Add(-tombstoneRetention)}, nil)
	}
}
