package simulate

import (
	"time"
)

// recoveryPoll is how finely recovery is measured.
const recoveryPoll = 20 * time.Millisecond

// recoveryWatch measures how long shards are without a leader that may decide
// after the loss of the node that led them.
type recoveryWatch struct {
	world *world
	// lostAt holds the shards that wait for a leader.
	lostAt map[uint32]time.Time
	times  []time.Duration
}

func newRecoveryWatch(w *world) *recoveryWatch {
	return &recoveryWatch{world: w, lostAt: map[uint32]time.Time{}}
}

func (r *recoveryWatch) begin() { r.world.every(recoveryPoll, r.poll) }

// nodeLost notes which shards lost their leader.
func (r *recoveryWatch) nodeLost(n *simNode) {
	if n.stopping {
		return
	}
	for number := range r.world.layout.Shards() {
		if _, waiting := r.lostAt[number]; !waiting && n.core.Leads(number) {
			r.lostAt[number] = r.world.now
		}
	}
}

func (r *recoveryWatch) poll() {
	for _, number := range sortedIDs(r.lostAt) {
		for _, name := range r.world.nodeNames {
			node := r.world.nodes[name]
			if node.alive && !node.frozen && node.core.Leads(number) {
				r.times = append(r.times, r.world.now.Sub(r.lostAt[number]))
				delete(r.lostAt, number)
				break
			}
		}
	}
}
