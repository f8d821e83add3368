package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/shard"
)

// choice is a chosen back end and why.
type choice struct {
	backEnd *backEndState
	why     string
}

// choose picks a back end for a call, or none when it must wait.
func (s *Scheduler) choose(now time.Time, work *Work) choice {
	candidates := s.candidates(now, work)
	if len(candidates) == 0 {
		return choice{}
	}
	// Equal costs are decided at random, not by name.
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if work.Kind != shard.EngineCall {
		return s.leastLoaded(candidates)
	}
	switch s.policy {
	case RoundRobin:
		return s.roundRobin(candidates)
	case LeastLoaded:
		return s.leastLoaded(candidates)
	case SessionSticky:
		return s.sticky(work, candidates)
	case PrefixHash:
		return s.prefixHash(work, candidates)
	default:
		return s.leastCost(now, work, candidates)
	}
}

// roundRobin takes the next back end by name.
func (s *Scheduler) roundRobin(candidates []*backEndState) choice {
	slices.SortFunc(candidates, func(a, b *backEndState) int { return cmp.Compare(a.Name, b.Name) })
	s.turn++
	return choice{candidates[s.turn%len(candidates)], "next in turn"}
}

// leastLoaded takes the back end with the fewest calls for its size, in this
// node's zone when equal.
func (s *Scheduler) leastLoaded(candidates []*backEndState) choice {
	best := slices.MinFunc(candidates, func(a, b *backEndState) int {
		if order := cmp.Compare(a.relativeLoad(), b.relativeLoad()); order != 0 {
			return order
		}
		return cmp.Compare(s.distance(a), s.distance(b))
	})
	return choice{best, fmt.Sprintf("least loaded of %d: %d of %d slots", len(candidates), best.load(), best.Slots)}
}

func (b *backEndState) relativeLoad() float64 {
	return float64(b.load()) / float64(max(b.Slots, 1))
}

// distance is one for a back end in another zone.
func (s *Scheduler) distance(state *backEndState) int {
	if state.Zone == s.zone {
		return 0
	}
	return 1
}

// sticky takes the engine that served the session last, if it can take the call.
func (s *Scheduler) sticky(work *Work, candidates []*backEndState) choice {
	if len(work.CachedOn) > 0 {
		last := work.CachedOn[len(work.CachedOn)-1]
		for _, state := range candidates {
			if state.Name == last {
				return choice{state, "served the session last"}
			}
		}
	}
	return s.leastLoaded(candidates)
}

// prefixHash takes the engine that the session's beginning hashes to, by
// rendezvous hashing, so that equal beginnings meet on one engine.
func (s *Scheduler) prefixHash(work *Work, candidates []*backEndState) choice {
	best := slices.MaxFunc(candidates, func(a, b *backEndState) int {
		return cmp.Compare(prefixWeight(work, a), prefixWeight(work, b))
	})
	return choice{best, "the session's prefix hashes to it"}
}

func prefixWeight(work *Work, state *backEndState) uint64 {
	return xxhash.Sum64String(work.Call.Key.Tenant + "\x00" + work.Call.Key.Session + "\x00" + state.Name)
}
