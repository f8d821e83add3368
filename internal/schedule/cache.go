package schedule

import "time"

// prefixRetention is how long an unused prefix is taken to stay in an engine.
const prefixRetention = 10 * time.Minute

// cachedTokens estimates how much of a call's prompt the engine still holds. An
// engine evicts the least recently used, so a prefix that this node saw computed
// is taken to be there unless it has not been used for prefixRetention.
func (b *backEndState) cachedTokens(now time.Time, work *Work) int64 {
	held, known := b.held[work.Call.Key]
	if !known || now.Sub(held.at) > prefixRetention {
		return 0
	}
	return min(held.tokens, work.PromptTokens)
}

// pendingPrefill is how many prompt tokens this node's calls in flight still have
// to compute on the engine, those since its last report.
func (b *backEndState) pendingPrefill() float64 {
	pending := int64(0)
	for _, sent := range b.dispatched {
		if sent.at.After(b.report.MeasuredAt) {
			pending += sent.uncached
		}
	}
	return float64(pending)
}
