package simulate

import "time"

// spreadPoll is how finely the spread of configuration is measured.
const spreadPoll = 50 * time.Millisecond

// spreadWatch measures how long an accepted change takes until it is in force on
// every running node.
type spreadWatch struct {
	world *world
	// done is how many of the accepted changes are in force everywhere.
	done  int
	times []time.Duration
}

func newSpreadWatch(w *world) *spreadWatch { return &spreadWatch{world: w} }

func (s *spreadWatch) begin() {
	s.done = len(s.world.store.accepted) // the initial change is learned at the start
	s.world.every(spreadPoll, s.poll)
}

func (s *spreadWatch) poll() {
	for s.done < len(s.world.store.accepted) && s.everywhere(uint64(s.done+1)) {
		s.times = append(s.times, s.world.now.Sub(s.world.store.accepted[s.done].at))
		s.done++
	}
}

func (s *spreadWatch) everywhere(revision uint64) bool {
	for _, name := range s.world.nodeNames {
		node := s.world.nodes[name]
		if node.alive && node.core.Catalogue().Revision() < revision {
			return false
		}
	}
	return true
}
