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
	// decodeSecondsPerCall is what one more running call adds to each step.
	decodeSecondsPerCall = 0.4e-3
	// expectedOutput is the length of an answer when nothing is known.
	expectedOutput = 120
	// waitingSeconds is what each call that waits at an engine adds.
	waitingSeconds = 0.15
	// zoneSeconds is the cost of a call to another zone.
	zoneSeconds = 3e-3
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

// cost predicts the wait, the prefill of what is not cached, and the slowdown
// that the call suffers and causes while it decodes.
func (s *Scheduler) cost(state *backEndState, work *Work, cached int64) float64 {
	uncached := float64(work.PromptTokens - cached)
	output := float64(min(work.MaxTokens, expectedOutput))
	running := float64(state.load())
	return uncached*prefillSecondsPerToken + state.pendingPrefill()*prefillSecondsPerToken +
		running*output*decodeSecondsPerCall + float64(state.report.Waiting)*waitingSeconds +
		float64(s.distance(state))*zoneSeconds
}
