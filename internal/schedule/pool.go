package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/shard"
)

const (
	// poolSize is how many instances of a service and model one node uses. Nodes
	// use different ones, chosen by hash, so all instances are used evenly, and a
	// node need not hear of the load of thousands.
	poolSize = 64
	// sampleSize is how many instances are compared for one call. Comparing a few
	// at random keeps nodes with the same old reports from choosing the same one
	// (Mitzenmacher, "The Power of Two Choices", 2001).
	sampleSize = 12
	// demandMemory is how long after its last call a pool's load is followed.
	demandMemory = 30 * time.Second
)

// poolKey names the back ends that can serve the same calls.
type poolKey struct {
	kind    shard.CallKind
	service string
	model   string
}

func keyOf(work *Work) poolKey {
	key := poolKey{kind: work.Kind, service: work.Service}
	if work.Kind == shard.EngineCall {
		key.model = work.Model
	}
	return key
}

// rebuildPools sorts the back ends into pools.
func (s *Scheduler) rebuildPools() {
	s.pools = map[poolKey][]*backEndState{}
	for _, name := range s.names {
		state := s.backEnds[name]
		if state.Leaving {
			continue
		}
		if state.Kind != shard.EngineCall {
			key := poolKey{kind: state.Kind, service: state.Service}
			s.pools[key] = append(s.pools[key], state)
			continue
		}
		for _, model := range state.Models {
			key := poolKey{kind: state.Kind, service: state.Service, model: model}
			s.pools[key] = append(s.pools[key], state)
		}
	}
	for key, pool := range s.pools {
		s.pools[key] = s.ownPart(pool)
	}
}

// ownPart picks this node's part of a large pool by rendezvous hashing.
func (s *Scheduler) ownPart(pool []*backEndState) []*backEndState {
	if len(pool) <= poolSize {
		return pool
	}
	weight := func(state *backEndState) uint64 { return xxhash.Sum64String(s.node + "\x00" + state.Name) }
	slices.SortFunc(pool, func(a, b *backEndState) int { return cmp.Compare(weight(a), weight(b)) })
	return pool[:poolSize]
}

// DuePolls returns the back ends to ask for their load now, at most most of them:
// those in use whose last report is older than age, the oldest first. Answers to
// calls bring reports too, so a busy back end need not be asked.
func (s *Scheduler) DuePolls(now time.Time, age time.Duration, most int) []BackEnd {
	due := map[*backEndState]bool{}
	for key, pool := range s.pools {
		if now.Sub(s.demandAt[key]) > demandMemory {
			continue
		}
		for _, state := range pool {
			due[state] = now.Sub(state.report.MeasuredAt) >= age
		}
	}
	var list []*backEndState
	for _, name := range s.names {
		state := s.backEnds[name]
		inFlight := len(state.dispatched) > 0 && now.Sub(state.report.MeasuredAt) >= age
		if due[state] || inFlight {
			list = append(list, state)
		}
	}
	slices.SortStableFunc(list, func(a, b *backEndState) int { return a.askedAt.Compare(b.askedAt) })
	list = list[:min(most, len(list))]
	asked := make([]BackEnd, 0, len(list))
	for _, state := range list {
		state.askedAt = now
		asked = append(asked, state.BackEnd)
	}
	return asked
}

// usable reports whether a back end may get new calls, as far as is known.
func (b *backEndState) usable() bool { return !b.Leaving && !b.report.Leaving }

// Uninformed reports whether all that is known of the load of the call's pool is old.
func (s *Scheduler) Uninformed(now time.Time, work *Work) bool {
	return !slices.ContainsFunc(s.pools[keyOf(work)], func(state *backEndState) bool {
		return now.Sub(state.report.MeasuredAt) <= freshness
	})
}

// servable reports whether any instance could serve the call.
func (s *Scheduler) servable(work *Work) bool {
	return slices.ContainsFunc(s.pools[keyOf(work)], (*backEndState).usable)
}

// candidates returns the back ends to compare for a call: those that held its
// session and a random sample of the pool, or the whole of a small pool. Only
// such are kept as are known to be able to take a call now.
func (s *Scheduler) candidates(now time.Time, work *Work) []*backEndState {
	pool := s.pools[keyOf(work)]
	if len(pool) <= 2*sampleSize || s.policy != Swiftbank {
		return s.withoutFailing(now, work, s.takers(now, nil, pool))
	}
	var list []*backEndState
	for _, name := range work.CachedOn {
		if state := s.backEnds[name]; state != nil {
			list = s.takers(now, list, []*backEndState{state})
		}
	}
	first := s.random.IntN(len(pool))
	for i := 0; i < len(pool) && len(list) < sampleSize; i++ {
		// A stride that shares no factor with a pool of any size used visits all.
		place := (first + i*sampleStride) % len(pool)
		list = s.takers(now, list, pool[place:place+1])
	}
	return s.withoutFailing(now, work, list)
}

// sampleStride spreads a sample over the pool; it is prime and above poolSize.
const sampleStride = 97

// takers appends the back ends that can take a call now.
func (s *Scheduler) takers(now time.Time, list, from []*backEndState) []*backEndState {
	for _, state := range from {
		fresh := now.Sub(state.report.MeasuredAt) <= freshness
		if state.usable() && fresh && state.load() < state.Slots && !slices.Contains(list, state) {
			list = append(list, state)
		}
	}
	return list
}

// withoutFailing passes over back ends that failed lately, while there are others.
func (s *Scheduler) withoutFailing(now time.Time, work *Work, list []*backEndState) []*backEndState {
	failing := func(state *backEndState) bool {
		return now.Before(state.failedUntil) || slices.Contains(work.Avoid, state.Name)
	}
	if !slices.ContainsFunc(list, failing) {
		return list
	}
	sound := slices.DeleteFunc(slices.Clone(list), failing)
	if len(sound) == 0 {
		return list
	}
	return sound
}
