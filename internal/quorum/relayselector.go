package quorum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unprovenFanOut is how many relays a request is sent to while none is proven, that is, known
	// to reach the replicas.
	unprovenFanOut = 2
	// relayFailureTTL is how long a relay that failed is tried only after the others.
	relayFailureTTL = time.Second
)

// relaySelector chooses the gateways to relay through. It does not read the clock; callers pass the
// time in.
type relaySelector struct {
	// candidates are the names of the gateways that may relay, the nearest first.
	candidates []string
	states     map[string]*relayState
	// nextCandidate rotates through the unproven candidates. picked are the candidates of the
	// current rotation step, chosen at pickedAt.
	nextCandidate int
	picked        []string
	pickedAt      time.Time
}

// relayState is the observed state of one candidate.
type relayState struct {
	// repliedAt is when the candidate last returned a reply of a replica. failedAt is when it last
	// reported a replica as unreachable, did not reply in time or was disconnected.
	repliedAt, failedAt time.Time
	// pendingSince is when the oldest unanswered request was sent; zero if there is none.
	pendingSince time.Time
}

func newRelaySelector() *relaySelector { return &relaySelector{states: map[string]*relayState{}} }

// setCandidates replaces the candidates. names are ordered by distance, the nearest first.
func (s *relaySelector) setCandidates(names []string) {
	s.candidates = names
	s.picked = nil
	for name := range s.states {
		if !slices.Contains(names, name) {
			delete(s.states, name)
		}
	}
}

func (s *relaySelector) state(name string) *relayState {
	state := s.states[name]
	if state == nil {
		state = &relayState{}
		s.states[name] = state
	}
	return state
}

// recordRequest records a request sent to a candidate.
func (s *relaySelector) recordRequest(now time.Time, name string) {
	if state := s.state(name); state.pendingSince.IsZero() {
		state.pendingSince = now
	}
}

// recordReply records a replica's reply that arrived through a candidate.
func (s *relaySelector) recordReply(now time.Time, name string) {
	state := s.state(name)
	state.repliedAt, state.pendingSince = now, time.Time{}
}

// recordUnreachable records that a candidate cannot reach a replica. If another reply arrived
// through the candidate within relayFailureTTL, the replica is at fault and the candidate stays
// proven.
func (s *relaySelector) recordUnreachable(now time.Time, name string) {
	state := s.state(name)
	if !state.repliedAt.IsZero() && now.Sub(state.repliedAt) < relayFailureTTL {
		state.pendingSince = time.Time{}
		return
	}
	s.recordFailure(now, name)
}

// recordFailure records that a candidate cannot reach the replicas or cannot be reached itself.
func (s *relaySelector) recordFailure(now time.Time, name string) {
	state := s.state(name)
	state.failedAt, state.pendingSince = now, time.Time{}
	if slices.Contains(s.picked, name) {
		s.picked = nil
	}
}

// pick returns the candidates to send a request to: the proven one, or unprovenFanOut others while
// none is proven. A candidate that leaves a request unanswered for longer than the timeout counts
// as failed.
func (s *relaySelector) pick(now time.Time, timeout time.Duration) []string {
	for name, state := range s.states {
		if !state.pendingSince.IsZero() && now.Sub(state.pendingSince) > timeout {
			s.recordFailure(now, name)
		}
	}
	if best := s.proven(); best != "" {
		return []string{best}
	}
	if len(s.picked) == 0 || now.Sub(s.pickedAt) > timeout {
		s.picked, s.pickedAt = s.unproven(now), now
	}
	return s.picked
}

// proven returns the candidate with the latest reply among those that have not failed since theirs.
// It returns "" if there is none.
func (s *relaySelector) proven() string {
	best := ""
	for _, name := range s.candidates {
		state := s.states[name]
		if state == nil || state.repliedAt.IsZero() || !state.repliedAt.After(state.failedAt) {
			continue
		}
		if best == "" || state.repliedAt.After(s.states[best].repliedAt) {
			best = name
		}
	}
	return best
}

// unproven returns the next candidates in rotation. Those that failed within relayFailureTTL come
// last.
func (s *relaySelector) unproven(now time.Time) []string {
	if len(s.candidates) == 0 {
		return nil
	}
	start := s.nextCandidate % len(s.candidates)
	s.nextCandidate += unprovenFanOut
	ordered := append(slices.Clone(s.candidates[start:]), s.candidates[:start]...)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return cmp.Compare(s.failureRank(now, a), s.failureRank(now, b))
	})
	return ordered[:min(unprovenFanOut, len(ordered))]
}

// failureRank returns 1 for a candidate that failed within relayFailureTTL, else 0.
func (s *relaySelector) failureRank(now time.Time, name string) int {
	state := s.states[name]
	if state != nil && !state.failedAt.IsZero() && now.Sub(state.failedAt) < relayFailureTTL {
		return 1
	}
	return 0
}
