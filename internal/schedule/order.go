package schedule

import (
	"cmp"
	"math/bits"
	"time"
)

const (
	// starvationBound is how long a call may wait before it goes first, whatever
	// service its program has had.
	starvationBound = 20 * time.Second
	// levelTokens is the service at which a program leaves the first level; each
	// further level is twice as wide.
	levelTokens = 1024
	// maxLevel is the last level.
	maxLevel = 12
	// levelsPerPriority keeps tenants' priorities above all levels of service.
	levelsPerPriority = maxLevel + 1
)

// serviceLevel puts programs in levels by the service they have had. Programs of
// one level take turns in order of arrival; a program sinks as it is served. This
// is least attained service with levels, as multi-level feedback queues and
// Autellix (Luo et al., 2025) use it, so that near-equal programs do not preempt
// each other.
func serviceLevel(servedTokens int64) int {
	return min(maxLevel, bits.Len64(uint64(servedTokens/levelTokens)))
}

// enginePriority is the order of waiting as the engine is told it.
func (s *Scheduler) enginePriority(work *Work) int {
	if s.policy != Swiftbank {
		return 0
	}
	return work.Priority*levelsPerPriority - serviceLevel(work.ServedTokens)
}

// compareWork orders waiting calls: those beyond the starvation bound, then by
// tenant priority, level of service and arrival. The baselines go by arrival.
func (s *Scheduler) compareWork(now time.Time, a, b *Work) int {
	if s.policy == Swiftbank {
		if order := cmp.Compare(starved(now, b), starved(now, a)); order != 0 {
			return order
		}
		if order := cmp.Compare(s.enginePriority(b), s.enginePriority(a)); order != 0 {
			return order
		}
	}
	return a.EnqueuedAt.Compare(b.EnqueuedAt)
}

func starved(now time.Time, work *Work) int {
	if now.Sub(work.EnqueuedAt) > starvationBound {
		return 1
	}
	return 0
}
