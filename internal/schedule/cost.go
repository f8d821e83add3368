package schedule

import (
	"fmt"
	"math"
	"time"
)

// The cost model predicts what a call adds to the latency of programs, in
// seconds, from an engine's own speed. Engines do not tell their speed, so these
// are the orders of magnitude of engines of the 8-billion-parameter class; only
// their ratios matter for the choice.
const (
	// prefillSecondsPerToken is the time to compute one uncached prompt token.
	prefillSecondsPerToken = 100e-6
	// attentionSecondsPerToken is what each token of context of each running call
	// adds to a step.
	attentionSecondsPerToken = 65e-9
	// expectedOutput is the length of an answer when nothing is known.
	expectedOutput = 120
	// waitingSeconds is what each call that waits at an engine adds.
	waitingSeconds = 0.15
	// zoneSeconds is the cost of a call to another zone.
	zoneSeconds = 3e-3
	// returnShare is how much of what an engine must evict is wanted again.
	returnShare = 0.8
	// pressureSeconds spreads new sessions by the memory in use, so that engines
	// fill evenly before any must evict.
	pressureSeconds = 0.3
)

// leastCost takes the engine with the lowest predicted cost.
func (s *Scheduler) leastCost(now time.Time, work *Work, candidates []*backEndState) choice {
	var best *backEndState
	lowest := math.Inf(1)
	var cached int64
	for _, state := range candidates {
		held := state.cachedTokens(now, work)
		if cost := s.cost(state, work, held); cost < lowest {
			best, lowest, cached = state, cost, held
		}
	}
	return choice{best, fmt.Sprintf("predicted cost %.3f s, lowest of %d: %d of %d prompt tokens cached, %d calls there",
		lowest, len(candidates), cached, work.PromptTokens, best.load())}
}

// cost predicts, in seconds, the wait, the prefill of what is not cached, the
// slowdown that the call suffers and causes while it decodes, and what programs
// lose whose prefixes it pushes out of the engine's memory.
func (s *Scheduler) cost(state *backEndState, work *Work, cached int64) float64 {
	uncached := float64(work.PromptTokens - cached)
	output := float64(min(work.MaxTokens, expectedOutput))
	running := float64(state.load())
	prefill := (uncached + state.pendingPrefill()) * prefillSecondsPerToken
	decode := output * running * float64(work.PromptTokens) * attentionSecondsPerToken
	wait := float64(state.report.Waiting) * waitingSeconds
	return prefill + decode + wait + s.memoryCost(state, uncached) + float64(s.distance(state))*zoneSeconds
}

// memoryCost is the price of the memory that uncached tokens will take.
func (s *Scheduler) memoryCost(state *backEndState, uncached float64) float64 {
	if state.CacheTokens == 0 {
		return 0
	}
	capacity := float64(state.CacheTokens)
	used := float64(state.report.CachedTokens) + state.pendingPrefill()
	evicted := max(0, used+uncached-capacity)
	return min(evicted, uncached)*prefillSecondsPerToken*returnShare + min(1, uncached/1000)*pressureSeconds*used/capacity
}
