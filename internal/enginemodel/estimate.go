package enginemodel

import "time"

// IdleTime is how long a generation takes on an idle engine on which everything
// but the new tokens of its prompt is cached. It is the bound that no scheduler
// can beat.
func IdleTime(newTokens, promptTokens, outputTokens int64) time.Duration {
	steps := (newTokens + StepTokenBudget - 1) / StepTokenBudget
	prefill := time.Duration(steps)*stepBase + time.Duration(newTokens)*prefillPerToken +
		time.Duration(steps*promptTokens)*attentionPerToken
	perToken := stepBase + time.Duration(promptTokens+outputTokens/2)*attentionPerToken
	return prefill + time.Duration(outputTokens-1)*perToken
}

// SharedSeconds is the engine time that a generation takes when everything but
// the new tokens is cached and the engine runs as many such sequences side by side
// as its slots and memory allow, in seconds. Its inverse is the engine's capacity.
func SharedSeconds(newTokens, promptTokens, outputTokens int64) float64 {
	batch := min(DefaultSlots, max(1, DefaultCacheTokens/(promptTokens+outputTokens)))
	perToken := stepBase/time.Duration(batch) + time.Duration(promptTokens)*attentionPerToken
	return (time.Duration(newTokens)*prefillPerToken + time.Duration(outputTokens)*perToken).Seconds()
}
